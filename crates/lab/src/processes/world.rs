//! Several processes in simulated time: the council's core and its members' core, as the program has them, on links and disks
//! with faults. One seed is one run, the same each time.

use super::judge::{Belief, Done, Op, Out, Seen, Watched};
use super::plan::{Kind, Listed, Plan, Planted};
use super::workload::Keys;
use crate::world::Micros;
use heronhoist_council::caller::{Caller, DEADLINE};
use heronhoist_council::desk::Desk;
use heronhoist_council::formation::{beginning, Formation};
use heronhoist_council::holder::{About, Holder, Stand};
use heronhoist_council::log::{Disk, DiskFault, Image, Save};
use heronhoist_council::node::{Node, Settings};
use heronhoist_council::permit::{self, Denied};
use heronhoist_council::state::{Call, Change, Check, Command, Peer, Reply, Standing, Txn, Write};
use heronhoist_council::wire::{Envelope, Refusal, Request, Response, View, PROTOCOL};
use heronhoist_council::Bounds;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

const FLEET: &str = "lab";
/// An agent that was started can serve after this.
const BOOT: Micros = 200_000;
/// A client gives an operation up after this.
const PATIENCE: Micros = 4_000_000;
/// After the last fault everything comes right within this, or nothing does.
const SETTLE: Micros = 180_000_000;
/// An agent looks whether a permit is out for itself so often.
const LOOK: Micros = 1_000_000;
/// Messages that wait for a process that is stopped.
const INBOX_MOST: usize = 10_000;

/// What a run came to.
#[derive(Debug)]
pub struct Outcome {
    /// What was seen.
    pub seen: Seen,
    /// Operations with a known outcome, and without.
    pub settled: usize,
    /// Without.
    pub unknown: usize,
    /// How often another process came to lead.
    pub leaders: usize,
    /// For each time that a leader was lost: how long it took until another was known, in multiples of the election timeout.
    pub leaderless: Vec<f64>,
    /// Messages between processes.
    pub messages: u64,
    /// Where that is measured: messages and bytes that the leader sent or was sent, in a second of the second half.
    pub at_leader: Option<(f64, f64)>,
    /// Permits that were given.
    pub permits: usize,
    /// Faults that were begun.
    pub faults: usize,
    /// Tells runs apart.
    pub digest: u64,
}

/// A disk that keeps what it says it keeps, unless it is planted not to.
#[derive(Default)]
struct MemoryDisk {
    kept: Image,
    /// What was acknowledged but is not kept yet.
    pending: Vec<Save>,
    lies: bool,
    saves: u64,
}

impl Disk for MemoryDisk {
    fn save(&mut self, save: &Save) -> Result<(), DiskFault> {
        self.saves += 1;
        self.pending.push(save.clone());
        // One that lies gets round to it only now and then.
        if !self.lies || self.saves % 64 == 0 {
            self.pending.drain(..).for_each(|save| self.kept.take(&save));
        }
        Ok(())
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Life {
    Up,
    Stopped,
    Down,
}

#[derive(Clone, Copy)]
struct Clock {
    offset: Micros,
    rate: f64,
}

impl Clock {
    fn local(self, at: Micros) -> Micros {
        self.offset + (at as f64 * self.rate) as Micros
    }

    fn truth(self, local: Micros) -> Micros {
        (local.saturating_sub(self.offset) as f64 / self.rate) as Micros
    }
}

#[derive(Clone)]
enum Parcel {
    Raft(Vec<u8>),
    Request(u64, usize, Envelope, Request),
    Response(u64, Response),
}

impl Parcel {
    /// Bytes of what is said, without the HTTP round it.
    fn size(&self) -> u64 {
        let json = |length: Result<Vec<u8>, _>| length.map_or(0, |bytes: Vec<u8>| bytes.len() as u64);
        match self {
            Parcel::Raft(bytes) => bytes.len() as u64,
            Parcel::Request(_, _, envelope, request) => json(serde_json::to_vec(&(envelope, request))),
            Parcel::Response(_, response) => json(serde_json::to_vec(response)),
        }
    }
}

enum Event {
    Tick(usize, u32),
    Deliver(usize, usize, Parcel),
    Wake(usize, u32),
    GivenUp(usize, u32, u64),
    Chaos,
    Fault(usize),
    Heal(Heal),
}

enum Heal {
    Wake(usize),
    Start(usize),
    Undrop(Vec<(usize, usize)>),
    Undelay(Vec<(usize, usize)>),
    Release(Vec<(usize, usize)>),
}

#[derive(Default)]
struct Link {
    dropped: u32,
    held: u32,
    late: Micros,
    queue: Vec<Parcel>,
}

/// One thing that a process has asked.
struct Asker {
    caller: Caller,
    out: Option<(u64, Micros)>,
    due: Micros,
}

struct Agent {
    holder: Holder,
    ready_at: Micros,
    belief: Option<Belief>,
    look_at: Micros,
}

struct Client {
    session: Option<u64>,
    number: u64,
    /// The operation under way: its key, what, and when it was called.
    now: Option<(String, Op, Micros)>,
    /// What it last saw of each record: value and revision.
    seen: BTreeMap<String, (u64, u64)>,
    next_at: Micros,
}

struct Watcher {
    history: u64,
    reading: Option<bool>,
    watched: Watched,
    next_at: Micros,
    sent: Micros,
}

#[derive(Clone, Debug, PartialEq)]
enum Doing {
    Idle,
    /// It has asked for a permit for this agent.
    Taking(String),
    /// It has the permit, and says that it begins.
    Starting(String),
    /// Its command has run: the agent is down. It says so then.
    Finishing(String),
    /// It waits until the agent has given the permit back.
    Waiting(String),
}

struct Operator {
    holder: Holder,
    belief: Option<Belief>,
    doing: Doing,
    session: u64,
    number: u64,
    asked: Option<Request>,
    next_at: Micros,
}

enum Role {
    Council {
        desk: Option<Box<Desk>>,
        disk: MemoryDisk,
        number: u64,
    },
    Agent(Box<Agent>),
    Client(Client),
    Watcher(Watcher),
    Operator(Box<Operator>),
    /// Who takes new processes into the council.
    Warden {
        wanted: Vec<(u64, u64, Peer)>,
    },
}

struct Process {
    name: String,
    site: String,
    life: Life,
    epoch: u32,
    clock: Clock,
    deferred: Vec<Event>,
    askers: [Asker; 2],
    wake_at: Micros,
    role: Role,
}

/// The world of one run.
pub struct World<'p> {
    plan: &'p Plan,
    rng: Pcg64Mcg,
    now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: HashMap<u64, Event>,
    next: u64,
    processes: Vec<Process>,
    links: BTreeMap<(usize, usize), Link>,
    numbers: BTreeMap<u64, usize>,
    callers: HashMap<u64, usize>,
    keys: Keys,
    values: u64,
    agreed: Vec<(Micros, u64)>,
    leader: Option<u64>,
    leader_lost: Option<Micros>,
    healed: bool,
    replacing: bool,
    /// A council process that nobody can reach; whether it believes that it leads is no matter.
    isolated: Option<u64>,
    counted: (u64, u64),
    /// What is out by a permit, and where that stands.
    out: BTreeMap<String, usize>,
    outcome: Outcome,
}

/// Plays one seed.
pub fn play(plan: &Plan, seed: u64) -> Outcome {
    let mut world = World::new(plan, seed);
    world.run();
    world.outcome
}

impl<'p> World<'p> {
    fn new(plan: &'p Plan, seed: u64) -> World<'p> {
        let outcome = Outcome {
            seen: Seen::default(),
            settled: 0,
            unknown: 0,
            leaders: 0,
            leaderless: Vec::new(),
            messages: 0,
            at_leader: None,
            permits: 0,
            faults: 0,
            digest: 0,
        };
        let mut world = World {
            plan,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next: 1,
            processes: Vec::new(),
            links: BTreeMap::new(),
            numbers: BTreeMap::new(),
            callers: HashMap::new(),
            keys: Keys::default(),
            values: 0,
            agreed: Vec::new(),
            leader: None,
            leader_lost: Some(0),
            healed: false,
            replacing: false,
            isolated: None,
            counted: (0, 0),
            out: BTreeMap::new(),
            outcome,
        };
        let peers: BTreeMap<u64, Peer> = (0..plan.council)
            .map(|n| {
                (world.rng.random_range(1..u64::MAX), Peer { name: format!("c{n}"), address: String::new() })
            })
            .collect();
        let image = beginning(&Formation { history: seed.max(1), peers: peers.clone() });
        let mut peers: Vec<(u64, Peer)> = peers.into_iter().collect();
        peers.sort_by(|a, b| a.1.name.cmp(&b.1.name));
        for (number, peer) in peers {
            let lies = plan.planted == Planted::AckBeforeSync;
            let disk = MemoryDisk { kept: image.clone(), lies, ..MemoryDisk::default() };
            let at = world.add(&peer.name, "", Role::Council { desk: None, disk, number }, Life::Down);
            world.numbers.insert(number, at);
        }
        for at in 0..plan.council {
            world.start(at);
        }
        world.add("warden", "", Role::Warden { wanted: Vec::new() }, Life::Up);
        for n in 0..plan.agents {
            let site = format!("site{}", n % plan.sites);
            world.add_agent(&format!("a{n}"), &site);
        }
        for n in 0..plan.clients {
            let client = Client { session: None, number: 0, now: None, seen: BTreeMap::new(), next_at: 0 };
            world.add(&format!("k{n}"), "", Role::Client(client), Life::Up);
        }
        for n in 0..plan.watchers {
            let watcher =
                Watcher { history: 0, reading: None, watched: Watched::default(), next_at: 0, sent: 0 };
            world.add(&format!("w{n}"), "", Role::Watcher(watcher), Life::Up);
        }
        for n in 0..plan.operators {
            world.add_operator(&format!("o{n}"));
        }
        for (number, fault) in plan.listed.iter().enumerate() {
            world.at(fault.at, Event::Fault(number));
        }
        if plan.every > 0 && !plan.faults.is_empty() {
            world.at(plan.every, Event::Chaos);
        }
        world
    }

    fn about(name: &str, site: &str) -> About {
        About { name: name.into(), site: site.into(), version: "lab".into(), address: String::new() }
    }

    fn add_agent(&mut self, name: &str, site: &str) -> usize {
        let holder = Holder::new(Self::about(name, site), self.rng.random(), 0);
        let ready_at = self.now + BOOT;
        let agent = Agent { holder, ready_at, belief: None, look_at: 0 };
        self.add(name, site, Role::Agent(Box::new(agent)), Life::Up)
    }

    fn add_operator(&mut self, name: &str) -> usize {
        let nonce: u64 = self.rng.random();
        let holder = Holder::new(Self::about(&format!("hold:{name}.{nonce:x}"), ""), nonce, 0);
        let next_at = self.now + self.rng.random_range(0..2_000_000);
        let operator = Operator {
            holder,
            belief: None,
            doing: Doing::Idle,
            session: 0,
            number: 0,
            asked: None,
            next_at,
        };
        self.add(name, "", Role::Operator(Box::new(operator)), Life::Up)
    }

    fn add(&mut self, name: &str, site: &str, role: Role, life: Life) -> usize {
        let drift = self.plan.terms.drift;
        let rate = match self.rng.random_range(0..4) {
            0 => 1.0 - drift,
            1 => 1.0 + drift,
            _ => 1.0 + drift * self.rng.random_range(-1.0..=1.0),
        };
        let clock = Clock { offset: self.rng.random_range(0..1_000_000_000_000), rate };
        let council = self.plan.council;
        let mut asker = || Asker { caller: Caller::new(council, self.rng.random()), out: None, due: 0 };
        let askers = [asker(), asker()];
        let process = Process {
            name: name.into(),
            site: site.into(),
            life,
            epoch: 0,
            clock,
            deferred: Vec::new(),
            askers,
            wake_at: Micros::MAX,
            role,
        };
        self.processes.push(process);
        let at = self.processes.len() - 1;
        if life == Life::Up {
            self.wake(at, self.now);
        }
        at
    }

    fn at(&mut self, when: Micros, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((when.max(self.now), self.next)));
        self.events.insert(self.next, event);
    }

    fn wake(&mut self, process: usize, when: Micros) {
        let when = when.max(self.now);
        let one = &mut self.processes[process];
        if when < one.wake_at {
            one.wake_at = when;
            let epoch = one.epoch;
            self.at(when, Event::Wake(process, epoch));
        }
    }

    fn local(&self, process: usize) -> Micros {
        self.processes[process].clock.local(self.now)
    }

    fn run(&mut self) {
        let mut settled_at = None;
        while let Some(Reverse((when, number))) = self.queue.pop() {
            self.now = when;
            let Some(event) = self.events.remove(&number) else { continue };
            if !self.healed && self.now >= self.plan.length {
                self.heal_all();
            }
            self.happen(event);
            if !self.healed {
                continue;
            }
            if settled_at.is_none() && self.is_settled() {
                // Long enough for the last entries to reach everybody.
                settled_at = Some(self.now);
            }
            if settled_at.is_some_and(|at| self.now > at + 3_000_000) {
                break;
            }
            if self.now > self.plan.length + SETTLE {
                let why = self.unsettled();
                self.outcome.seen.wrongs.push(format!("nothing came right after the last fault: {why}"));
                break;
            }
        }
        self.finish();
    }

    fn unsettled(&self) -> String {
        let late = self.processes.iter().filter(|process| !Self::is_right(process));
        let about = |process: &Process| match &process.role {
            Role::Operator(operator) => {
                format!("{} ({:?}, {:?})", process.name, operator.holder.stand(), operator.doing)
            }
            Role::Agent(agent) => format!("{} ({:?})", process.name, agent.holder.stand()),
            _ => process.name.clone(),
        };
        let names: Vec<String> = late.map(about).collect();
        let behind = self.laggards().join(" ");
        format!("leader {:?}, {}, behind: {behind}", self.leader.is_some(), names.join(" "))
    }

    fn is_right(process: &Process) -> bool {
        match &process.role {
            Role::Council { .. } | Role::Watcher(_) => true,
            Role::Agent(agent) => {
                process.life == Life::Down || matches!(agent.holder.stand(), Stand::Member | Stand::Displaced)
            }
            Role::Client(client) => client.now.is_none(),
            Role::Operator(operator) => process.life == Life::Down || operator.doing == Doing::Idle,
            Role::Warden { wanted, .. } => wanted.is_empty(),
        }
    }

    fn is_settled(&self) -> bool {
        self.leader.is_some() && self.processes.iter().all(Self::is_right) && self.laggards().is_empty()
    }

    /// Processes of the council that are behind the others.
    fn laggards(&self) -> Vec<&str> {
        let revision = |process: &Process| match &process.role {
            Role::Council { desk: Some(desk), .. } => Some(desk.node().state().revision),
            _ => None,
        };
        let newest = self.processes.iter().filter_map(revision).max();
        let council = self.processes.iter().filter(|process| matches!(process.role, Role::Council { .. }));
        council.filter(|process| revision(process) != newest).map(|process| process.name.as_str()).collect()
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Tick(at, epoch) => {
                if self.processes[at].epoch != epoch {
                    return;
                }
                match self.processes[at].life {
                    Life::Down => return,
                    Life::Stopped => {
                        self.processes[at].deferred.push(Event::Tick(at, epoch));
                        return;
                    }
                    Life::Up => {}
                }
                let local = self.local(at);
                if let Role::Council { desk: Some(desk), .. } = &mut self.processes[at].role {
                    desk.tick(local);
                }
                self.work(at);
                let rate = self.processes[at].clock.rate;
                self.at(self.now + (self.plan.tick as f64 / rate) as Micros, Event::Tick(at, epoch));
            }
            Event::Deliver(from, to, parcel) => self.deliver(from, to, parcel),
            Event::Wake(at, epoch) => {
                let process = &mut self.processes[at];
                if process.epoch != epoch || process.wake_at > self.now {
                    return;
                }
                process.wake_at = Micros::MAX;
                match process.life {
                    Life::Down => {}
                    Life::Stopped => {
                        process.wake_at = self.now;
                        process.deferred.push(Event::Wake(at, epoch));
                    }
                    Life::Up => self.poll(at),
                }
            }
            Event::GivenUp(at, epoch, id) => {
                let process = &mut self.processes[at];
                if process.epoch != epoch {
                    return;
                }
                match process.life {
                    Life::Down => {}
                    Life::Stopped => process.deferred.push(Event::GivenUp(at, epoch, id)),
                    Life::Up => self.answered(at, id, None),
                }
            }
            Event::Chaos => {
                if self.healed {
                    return;
                }
                let kind = *self.plan.faults.choose(&mut self.rng).unwrap_or(&Kind::Cut);
                let length = self.rng.random_range(self.plan.tick..=self.plan.most);
                self.begin(&Listed { at: self.now, what: kind, who: None, to: None, length });
                let pause = self.rng.random_range(self.plan.every / 4..=self.plan.every * 7 / 4);
                self.at(self.now + pause.max(1000), Event::Chaos);
            }
            Event::Fault(number) => {
                if !self.healed {
                    let fault = self.plan.listed[number].clone();
                    self.begin(&fault);
                }
            }
            Event::Heal(heal) => self.heal(heal),
        }
    }

    // Links.

    fn send(&mut self, from: usize, to: usize, parcel: Parcel) {
        self.outcome.messages += 1;
        if self.plan.measured && self.now > self.plan.length / 2 && self.now <= self.plan.length {
            let leader = self.leader.and_then(|number| self.numbers.get(&number).copied());
            if leader.is_some_and(|leader| leader == from || leader == to) {
                self.counted.0 += 1;
                self.counted.1 += parcel.size();
            }
        }
        let spread = if self.plan.spread == 0 { 0 } else { self.rng.random_range(0..=self.plan.spread) };
        let link = self.links.entry((from, to)).or_default();
        if link.dropped > 0 {
            return;
        }
        if link.held > 0 {
            link.queue.push(parcel);
            return;
        }
        let late = if link.late == 0 { 0 } else { self.rng.random_range(link.late / 2..=link.late) };
        self.at(self.now + self.plan.one_way + spread + late, Event::Deliver(from, to, parcel));
    }

    fn deliver(&mut self, from: usize, to: usize, parcel: Parcel) {
        match self.processes[to].life {
            Life::Down => return,
            Life::Stopped => {
                let deferred = &mut self.processes[to].deferred;
                if deferred.len() < INBOX_MOST {
                    deferred.push(Event::Deliver(from, to, parcel));
                }
                return;
            }
            Life::Up => {}
        }
        let local = self.local(to);
        let planted = self.plan.planted;
        match parcel {
            Parcel::Raft(bytes) => {
                let Role::Council { desk: Some(desk), .. } = &mut self.processes[to].role else { return };
                if let Err(fault) = desk.receive(local, &bytes) {
                    self.outcome.seen.wrongs.push(format!("{}: {fault}", self.processes[to].name));
                    self.kill(to);
                    return;
                }
                self.work(to);
            }
            Parcel::Request(id, asker, envelope, mut request) => {
                let Role::Council { desk: Some(desk), .. } = &mut self.processes[to].role else { return };
                match &mut request {
                    Request::Read { stale, .. } if planted == Planted::StaleRead => *stale = true,
                    Request::Command(call) if planted == Planted::AppliedTwice => call.session = None,
                    _ => {}
                }
                self.callers.insert(id, asker);
                desk.request(local, id, &envelope, request);
                self.work(to);
            }
            Parcel::Response(id, response) => self.answered(to, id, Some(response)),
        }
    }

    /// A council process carries on with what has come in.
    fn work(&mut self, at: usize) {
        let local = self.local(at);
        let Role::Council { desk: Some(desk), disk, .. } = &mut self.processes[at].role else { return };
        let output = match desk.work(disk, local) {
            Ok(output) => output,
            Err(fault) => {
                self.outcome.seen.wrongs.push(format!("{}: {fault}", self.processes[at].name));
                self.kill(at);
                return;
            }
        };
        for (number, message) in output.messages {
            if let Some(to) = self.numbers.get(&number).copied() {
                self.send(at, to, Parcel::Raft(message));
            }
        }
        for (id, response) in output.responses {
            if let Some(to) = self.callers.remove(&id) {
                self.send(at, to, Parcel::Response(id, response));
            }
        }
        self.look_at(at);
    }

    /// What can be seen of a council process after each step: new changes, ended leases, who leads.
    fn look_at(&mut self, at: usize) {
        let Role::Council { desk: Some(desk), .. } = &self.processes[at].role else { return };
        let state = desk.node().state();
        let known = self.agreed.last().map_or(0, |(_, revision)| *revision);
        if state.history != 0 && state.revision > known {
            if let Ok((changes, _)) = state.changes_after(known, usize::MAX) {
                self.agreed.push((self.now, state.revision));
                for change in &changes {
                    self.note_end(change);
                }
                self.outcome.seen.changes.extend(changes);
            } else if self.plan.planted != Planted::AckBeforeSync {
                self.outcome.seen.wrongs.push("changes were compacted before they were seen".into());
            }
        }
        let Role::Council { desk: Some(desk), number: own, .. } = &self.processes[at].role else { return };
        if desk.node().leads() && self.leader != Some(*own) && self.isolated != Some(*own) {
            self.leader = Some(*own);
            self.outcome.leaders += 1;
            if let Some(lost) = self.leader_lost.take().filter(|lost| *lost > 0) {
                let timeout = self.plan.tick * Settings::default().election_ticks as Micros;
                self.outcome.leaderless.push((self.now - lost) as f64 / timeout as f64);
            }
        }
    }

    fn note_end(&mut self, change: &Change) {
        let heronhoist_council::state::Changed::Member(name, Some(member)) = &change.what else { return };
        if !member.standing.may_hold() {
            self.outcome.seen.ended.entry((name.clone(), member.incarnation)).or_insert(self.now);
        }
    }

    // Askers.

    fn ask(&mut self, at: usize, which: usize, request: Request) {
        self.next += 1;
        let id = self.next;
        let process = &mut self.processes[at];
        let target = process.askers[which].caller.target();
        process.askers[which].out = Some((id, self.now));
        let incarnation = match (&process.role, &request) {
            (Role::Agent(agent), _) => agent.holder.incarnation(),
            (Role::Operator(operator), _) => operator.holder.incarnation(),
            _ => 0,
        };
        let from = match &process.role {
            Role::Operator(operator) => operator.holder.name().to_string(),
            _ => process.name.clone(),
        };
        let envelope = Envelope { fleet: FLEET.into(), protocol: PROTOCOL, from, incarnation, term: 0 };
        let epoch = process.epoch;
        self.send(at, target, Parcel::Request(id, at, envelope, request));
        self.at(self.now + DEADLINE, Event::GivenUp(at, epoch, id));
    }

    /// An answer came, or none will; says what is made of it, and how long the asker pauses.
    fn answered(&mut self, at: usize, id: u64, response: Option<Response>) {
        let which =
            self.processes[at].askers.iter().position(|asker| asker.out.is_some_and(|out| out.0 == id));
        // What comes after it was given up is not read.
        let Some(which) = which else { return };
        let draw: f64 = self.rng.random();
        let plan = self.plan;
        let process = &mut self.processes[at];
        let asker = &mut process.askers[which];
        asker.out = None;
        let pause = match &response {
            Some(Response::Refused(Refusal::NotLeader { leader })) => {
                let leader = leader.as_ref().and_then(|peer| peer.name.strip_prefix('c')?.parse().ok());
                Some(asker.caller.hinted(leader.filter(|at| *at < plan.council), draw))
            }
            None | Some(Response::Refused(Refusal::Unknown | Refusal::NotFormed(_) | Refusal::Over(_))) => {
                Some(asker.caller.failed(draw))
            }
            Some(_) => {
                asker.caller.settled();
                None
            }
        };
        asker.due = self.now + pause.unwrap_or(0);
        let settled = response.filter(|_| pause.is_none());
        match &self.processes[at].role {
            Role::Agent(_) if which == 0 => self.held(at, settled, pause.unwrap_or(0)),
            Role::Operator(_) if which == 0 => self.held(at, settled, pause.unwrap_or(0)),
            Role::Agent(_) => self.agent_told(at, settled),
            Role::Operator(_) => self.operator_told(at, settled),
            Role::Client(_) => self.client_told(at, settled),
            Role::Watcher(_) => self.watcher_told(at, settled),
            Role::Warden { .. } => self.warden_told(settled.as_ref()),
            Role::Council { .. } => {}
        }
        if self.processes[at].life == Life::Up {
            self.poll(at);
        }
    }

    /// The answer to a member's own asking.
    fn held(&mut self, at: usize, response: Option<Response>, pause: Micros) {
        let draw = self.rng.random();
        let local = self.local(at);
        let (now, plan) = (self.now, self.plan);
        let clock = self.processes[at].clock;
        let (holder, belief) = match &mut self.processes[at].role {
            Role::Agent(agent) => (&mut agent.holder, &mut agent.belief),
            Role::Operator(operator) => (&mut operator.holder, &mut operator.belief),
            _ => return,
        };
        holder.answered(local, response.as_ref(), pause, draw);
        let ended = match holder.holds(local) {
            Some(incarnation) => {
                let mut to = clock.truth(holder.until());
                let granted = matches!(response, Some(Response::Renewed(_)));
                if plan.planted == Planted::LeaseWithoutMargin && granted {
                    // By a clock of its own rate, from now on.
                    to = clock.truth(local + plan.terms.term + plan.terms.term / 50);
                }
                let name = holder.name().to_string();
                match belief {
                    Some(belief) if belief.incarnation == incarnation => {
                        belief.to = belief.to.max(to);
                        None
                    }
                    _ => belief.replace(Belief { name, incarnation, from: now, to }),
                }
            }
            None if holder.stand() != Stand::Member => belief.take(),
            None => None,
        };
        self.keep_belief(ended);
    }

    /// A belief that is given up now, if it has not run out before.
    fn keep_belief(&mut self, belief: Option<Belief>) {
        if let Some(belief) = belief {
            self.outcome.seen.beliefs.push(Belief { to: belief.to.min(self.now), ..belief });
        }
    }

    /// What a process does when it is its time.
    fn poll(&mut self, at: usize) {
        let local = self.local(at);
        let now = self.now;
        let mut due = Micros::MAX;
        let clock = self.processes[at].clock;
        let askers_at = |process: &Process, which: usize| process.askers[which].due;
        let mut asks: Vec<(usize, Request)> = Vec::new();
        let free = [0, 1].map(|which| self.processes[at].askers[which].out.is_none());
        let (due_0, due_1) = (askers_at(&self.processes[at], 0), askers_at(&self.processes[at], 1));
        let can = [free[0] && now >= due_0, free[1] && now >= due_1];
        if free[0] {
            due = due.min(due_0.max(now + 1));
        }
        match &mut self.processes[at].role {
            Role::Agent(agent) => {
                if now >= agent.ready_at {
                    agent.holder.set_ready(true, local);
                    if let Some(number) = self.out.remove(agent.holder.name()) {
                        self.outcome.seen.outs[number].to = Some(now);
                    }
                } else {
                    due = due.min(agent.ready_at);
                }
                if can[0] {
                    asks.extend(agent.holder.ask(local).map(|request| (0, request)));
                }
                let member = agent.holder.stand() == Stand::Member && now >= agent.ready_at;
                if can[1] && member && now >= agent.look_at && self.plan.operators > 0 {
                    agent.look_at = now + LOOK;
                    asks.push((1, Request::Read { stale: false, prefix: "budget/".into(), members: true }));
                }
                due = due.min(agent.look_at.max(now + 1000));
                due =
                    due.min(agent.holder.due().map_or(Micros::MAX, |due| clock.truth(due).saturating_add(2)));
            }
            Role::Operator(operator) => {
                if can[0] {
                    asks.extend(operator.holder.ask(local).map(|request| (0, request)));
                }
                if free[1] {
                    due = due.min(operator.next_at.max(due_1).max(now + 1));
                }
                due = due
                    .min(operator.holder.due().map_or(Micros::MAX, |due| clock.truth(due).saturating_add(2)));
                if can[1] && now >= operator.next_at {
                    asks.extend(self.operator_asks(at).map(|request| (1, request)));
                }
            }
            Role::Client(client) => {
                due = due.min(client.next_at.max(due_0).max(now + 1));
                if can[0] && now >= client.next_at {
                    asks.extend(self.client_asks(at).map(|request| (0, request)));
                }
            }
            Role::Watcher(watcher) => {
                due = due.min(watcher.next_at.max(due_0).max(now + 1));
                if can[0] && now >= watcher.next_at && !self.healed {
                    watcher.sent = now;
                    let request = match watcher.reading {
                        Some(false) => {
                            let after = watcher.watched.stretches.last().map_or(0, |stretch| stretch.3);
                            Request::Watch { history: watcher.history, after, prefix: String::new() }
                        }
                        _ => {
                            let stale = self.rng.random_bool(0.5);
                            watcher.reading = Some(true);
                            Request::Read { stale, prefix: String::new(), members: true }
                        }
                    };
                    asks.push((0, request));
                }
            }
            Role::Warden { wanted } => {
                if can[0] {
                    if let Some((add, remove, peer)) = wanted.first() {
                        asks.push((
                            0,
                            Request::Replace { add: Some((*add, peer.clone())), remove: Some(*remove) },
                        ));
                    }
                }
                due = due.min(now + 200_000);
            }
            Role::Council { .. } => {}
        }
        let asked = !asks.is_empty();
        for (which, request) in asks {
            self.ask(at, which, request);
        }
        // Whoever waits for an answer is woken by it; the others by their time.
        if due != Micros::MAX || asked {
            self.wake(at, due.max(now + 1000).min(now + 1_000_000));
        }
    }

    // Clients.

    fn client_asks(&mut self, at: usize) -> Option<Request> {
        let now = self.now;
        if let Role::Client(client) = &self.processes[at].role {
            if let Some((key, op, called)) = client.now.clone() {
                if now > called + PATIENCE {
                    self.client_ends(at, Done { key, op, called, returned: None });
                    return None;
                }
                return self.client_request(at);
            }
            if client.session.is_none() {
                return Some(Request::Command(Call { session: None, command: Command::Open }));
            }
        }
        if self.healed {
            return None;
        }
        let key = self.keys.draw(self.plan.clients, &mut self.rng);
        let roll: f64 = self.rng.random();
        let Role::Client(client) = &mut self.processes[at].role else { return None };
        self.values += 1;
        let new = self.values;
        let op = Op::draw(roll, client.seen.get(&key).map(|seen| seen.0), new);
        client.number += 1;
        client.now = Some((key, op, now));
        self.client_request(at)
    }

    fn client_request(&self, at: usize) -> Option<Request> {
        let Role::Client(client) = &self.processes[at].role else { return None };
        let (key, op, _) = client.now.as_ref()?;
        let txn = match op {
            Op::Read(_) => return Some(Request::Read { stale: false, prefix: key.clone(), members: false }),
            Op::Put(new) => {
                Txn { checks: Vec::new(), writes: vec![Write::Put(key.clone(), new.to_string())] }
            }
            Op::Swap(old, new, _) => {
                let check = match (old, client.seen.get(key)) {
                    (Some(_), Some((_, revision))) => Check::At(key.clone(), *revision),
                    _ => Check::Absent(key.clone()),
                };
                Txn { checks: vec![check], writes: vec![Write::Put(key.clone(), new.to_string())] }
            }
            _ => return None,
        };
        let session = Some((client.session?, client.number));
        Some(Request::Command(Call { session, command: Command::Write(txn) }))
    }

    fn client_told(&mut self, at: usize, response: Option<Response>) {
        let now = self.now;
        let Role::Client(client) = &mut self.processes[at].role else { return };
        let Some((key, op, called)) = client.now.clone() else {
            if let Some(Response::Reply(Reply::Opened(session), _)) = response {
                client.session = Some(session);
            }
            return;
        };
        let done = |op| Some(Done { key: key.clone(), op, called, returned: Some(now) });
        let unknown = Some(Done { key: key.clone(), op, called, returned: None });
        let ended = match (response, op) {
            (None, _) => None,
            (Some(Response::Read(view)), Op::Read(_)) => {
                let record = view.records.get(&key);
                let value = record.and_then(|record| record.value.parse().ok());
                match (record, value) {
                    (Some(record), Some(value)) => {
                        client.seen.insert(key.clone(), (value, record.revision));
                    }
                    _ => drop(client.seen.remove(&key)),
                }
                done(Op::Read(value))
            }
            (Some(Response::Reply(Reply::Done(revision), _)), Op::Put(new) | Op::Swap(_, new, _)) => {
                client.seen.insert(key.clone(), (new, revision));
                done(op)
            }
            (Some(Response::Reply(Reply::Conflict { .. }, _)), _) => match op {
                Op::Swap(old, new, _) => done(Op::Swap(old, new, false)),
                _ => unknown,
            },
            (Some(Response::Reply(Reply::NoSession, _)), _) => {
                client.session = None;
                unknown
            }
            (Some(other), op) => {
                self.outcome.seen.wrongs.push(format!("{op:?} was answered by {other:?}"));
                unknown
            }
        };
        if let Some(done) = ended {
            self.client_ends(at, done);
        }
    }

    fn client_ends(&mut self, at: usize, mut done: Done) {
        if done.returned.is_none() {
            self.outcome.unknown += 1;
            done.op = done.op.unknown();
        } else {
            self.outcome.settled += 1;
        }
        self.outcome.seen.done.push(done);
        let pause = self.rng.random_range(self.plan.pause / 2..=self.plan.pause * 3 / 2);
        let now = self.now;
        if let Role::Client(client) = &mut self.processes[at].role {
            client.now = None;
            client.next_at = now + pause;
        }
    }

    // Watchers.

    fn watcher_told(&mut self, at: usize, response: Option<Response>) {
        let now = self.now;
        let away = if self.rng.random_bool(0.02) { self.rng.random_range(0..8_000_000) } else { 0 };
        let drift = self.plan.terms.drift;
        let Role::Watcher(watcher) = &mut self.processes[at].role else { return };
        watcher.next_at = now + away;
        match response {
            Some(Response::Read(view)) => {
                let seen = watcher.watched.stretches.last().map_or(0, |stretch| stretch.3);
                if let Some(age) = view.age {
                    // All that was agreed before this must be in it.
                    let fresh = watcher.sent.saturating_sub((age as f64 * (1.0 + 2.0 * drift)) as Micros);
                    let upto = self.agreed.partition_point(|(at, _)| *at < fresh);
                    let least = upto.checked_sub(1).map_or(0, |at| self.agreed[at].1);
                    if view.revision < least {
                        self.outcome.seen.wrongs.push(format!(
                            "a view said to be {age} old was of revision {}, when {least} was agreed",
                            view.revision
                        ));
                    }
                }
                if view.history != 0 && view.revision >= seen {
                    watcher.history = view.history;
                    watcher.reading = Some(false);
                    let revision = view.revision;
                    watcher.watched.stretches.push((view.history, revision, Vec::new(), revision));
                }
            }
            Some(Response::Changes { changes, upto }) => {
                if let Some(stretch) = watcher.watched.stretches.last_mut() {
                    stretch.2.extend(changes);
                    if upto < stretch.3 {
                        self.outcome
                            .seen
                            .wrongs
                            .push(format!("a watcher at {} was told of {upto}", stretch.3));
                    }
                    stretch.3 = stretch.3.max(upto);
                }
            }
            Some(Response::Refused(Refusal::Compacted { .. })) => watcher.reading = Some(true),
            _ => {}
        }
    }

    // Operators, and what agents do about permits.

    fn agent_told(&mut self, at: usize, response: Option<Response>) {
        let Some(Response::Read(view)) = response else { return };
        let Role::Agent(agent) = &self.processes[at].role else { return };
        let (name, incarnation) = (agent.holder.name().to_string(), agent.holder.incarnation());
        let Some(key) = permit::out_for(&view, &name).into_iter().next() else { return };
        let Ok(txn) = permit::give_back(&view, &key, &name, incarnation) else { return };
        self.ask(at, 1, Request::Command(Call { session: None, command: Command::Write(txn) }));
    }

    fn operator_asks(&mut self, at: usize) -> Option<Request> {
        let local = self.local(at);
        let idle = self.healed;
        let Role::Operator(operator) = &mut self.processes[at].role else { return None };
        operator.holder.holds(local)?;
        if operator.doing == Doing::Idle && idle {
            return None;
        }
        if operator.asked.is_some() {
            // The same again, under the same number.
            return operator.asked.clone();
        }
        Some(Request::Read { stale: false, prefix: "budget/".into(), members: true })
    }

    fn operator_told(&mut self, at: usize, response: Option<Response>) {
        let local = self.local(at);
        let now = self.now;
        let pause = self.rng.random_range(200_000..1_500_000);
        let Role::Operator(operator) = &mut self.processes[at].role else { return };
        match response {
            None => {}
            Some(Response::Read(view)) => self.operator_reads(at, &view),
            Some(Response::Reply(reply, _)) => {
                operator.asked = None;
                operator.next_at = now;
                match (reply, operator.doing.clone()) {
                    (Reply::Done(_), Doing::Taking(agent)) => {
                        self.outcome.permits += 1;
                        operator.doing = Doing::Starting(agent);
                    }
                    (Reply::Done(_), Doing::Starting(agent)) => {
                        // At the last moment before: is the lease still there?
                        if operator.holder.holds(local) == Some(operator.session) {
                            operator.doing = Doing::Finishing(agent.clone());
                            operator.next_at = now + pause;
                            self.take_out(&agent);
                        } else {
                            operator.doing = Doing::Idle;
                        }
                    }
                    (Reply::Done(_), Doing::Finishing(agent)) => operator.doing = Doing::Waiting(agent),
                    // Not taken, or not known: a look at the budget tells.
                    _ => {}
                }
                let Role::Operator(operator) = &mut self.processes[at].role else { return };
                if operator.doing == Doing::Idle {
                    operator.next_at = now + pause;
                }
            }
            Some(_) => operator.next_at = now + pause,
        }
    }

    fn operator_writes(&mut self, at: usize, txn: Txn) {
        let Role::Operator(operator) = &mut self.processes[at].role else { return };
        operator.number += 1;
        operator.session = operator.holder.incarnation();
        let session = Some((operator.session, operator.number));
        operator.asked = Some(Request::Command(Call { session, command: Command::Write(txn) }));
    }

    /// An operator with all budgets before it does the next thing.
    fn operator_reads(&mut self, at: usize, view: &View) {
        let now = self.now;
        let pause = self.rng.random_range(200_000..1_500_000);
        let agent = format!("a{}", self.rng.random_range(0..self.plan.agents.max(1)));
        let Role::Operator(operator) = &mut self.processes[at].role else { return };
        let me = (operator.holder.name().to_string(), operator.holder.incarnation());
        let doing = operator.doing.clone();
        operator.next_at = now;
        let about = match &doing {
            Doing::Idle => agent,
            Doing::Taking(agent)
            | Doing::Starting(agent)
            | Doing::Finishing(agent)
            | Doing::Waiting(agent) => agent.clone(),
        };
        let site = view.members.get(&about).map(|member| member.site.clone());
        let Some(key) = site.map(|site| permit::agents_of(&site)) else {
            operator.next_at = now + pause;
            return;
        };
        let mine = permit::of(view, &key, &about).filter(|permit| permit.taker == me);
        let taker = (me.0.as_str(), me.1);
        let txn = match (&doing, mine) {
            (Doing::Idle, _) => match permit::take(view, &key, &about, taker, "kernel") {
                Ok(txn) => {
                    operator.doing = Doing::Taking(about);
                    Some(txn)
                }
                Err(Denied::NoBudget(_)) => permit::state_number(view, &key, self.plan.permits).ok(),
                Err(_) if self.plan.planted == Planted::FreedBySilence => freed_by_silence(view, &key),
                Err(_) => None,
            },
            (_, None) => {
                // It was given back, or never taken.
                operator.doing = Doing::Idle;
                None
            }
            (Doing::Taking(_) | Doing::Starting(_), Some(permit)) => {
                // One that had begun and does not know it has not touched the agent: it begins anew.
                operator.doing = Doing::Starting(about.clone());
                match permit.started {
                    _ if self.healed => permit::finish(view, &key, &about, taker).ok(),
                    _ => permit::start(view, &key, &about, taker).ok(),
                }
            }
            (Doing::Finishing(..), Some(_)) => permit::finish(view, &key, &about, taker).ok(),
            (Doing::Waiting(_), Some(_)) => None,
        };
        match txn {
            Some(txn) => self.operator_writes(at, txn),
            None => operator.next_at = now + pause,
        }
    }

    /// The wrapper's command: the agent's process ends, and is started again after a while, whatever becomes of the wrapper.
    fn take_out(&mut self, name: &str) {
        let of_name: Vec<usize> = (0..self.processes.len())
            .filter(|at| {
                matches!(self.processes[*at].role, Role::Agent(_)) && self.processes[*at].name == name
            })
            .collect();
        let process = of_name.first().copied();
        let down = self.rng.random_range(500_000..self.plan.terms.term * 3);
        if let Some(process) = process {
            let (budget, what) = (permit::agents_of(&self.processes[process].site), name.to_string());
            let number = self.outcome.seen.outs.len();
            self.outcome.seen.outs.push(Out { budget, what, from: self.now, to: None });
            self.out.insert(name.into(), number);
            of_name.iter().for_each(|at| self.kill(*at));
            self.at(self.now + down, Event::Heal(Heal::Start(process)));
        }
    }

    fn warden_told(&mut self, response: Option<&Response>) {
        if !matches!(response, Some(Response::Replaced)) {
            return;
        }
        let warden = self.processes.iter_mut().find_map(|process| match &mut process.role {
            Role::Warden { wanted, .. } => Some(wanted),
            _ => None,
        });
        if let Some(wanted) = warden {
            wanted.remove(0);
            self.replacing = !wanted.is_empty();
        }
    }

    // Faults.

    fn kill(&mut self, at: usize) {
        let process = &mut self.processes[at];
        process.life = Life::Down;
        process.epoch += 1;
        process.deferred.clear();
        process.wake_at = Micros::MAX;
        process.askers.iter_mut().for_each(|asker| asker.out = None);
        let mut led = None;
        let belief = match &mut process.role {
            Role::Council { desk, disk, number } => {
                disk.pending.clear();
                *desk = None;
                led = Some(*number);
                None
            }
            Role::Agent(agent) => agent.belief.take(),
            Role::Operator(operator) => operator.belief.take(),
            _ => None,
        };
        self.keep_belief(belief);
        self.lose(led);
    }

    fn lose(&mut self, number: Option<u64>) {
        if number.is_some() && self.leader == number {
            self.leader = None;
            self.leader_lost = Some(self.now);
        }
    }

    fn start(&mut self, at: usize) {
        if self.processes[at].life != Life::Down {
            return;
        }
        let local = self.local(at);
        let (life_draw, now): (u64, Micros) = (self.rng.random(), self.now);
        let plan = self.plan;
        let process = &mut self.processes[at];
        process.life = Life::Up;
        process.epoch += 1;
        let epoch = process.epoch;
        match &mut process.role {
            Role::Council { desk, disk, number } => {
                let settings = Settings {
                    terms: plan.terms,
                    tick: plan.tick,
                    bounds: Bounds {
                        log_entries: plan.log_entries,
                        changes: plan.changes,
                        ..Bounds::default()
                    },
                    ..Settings::default()
                };
                match Node::new(*number, &disk.kept, settings, life_draw, local) {
                    Ok(node) => *desk = Some(Box::new(Desk::new(node))),
                    Err(fault) => {
                        self.outcome.seen.wrongs.push(format!("{} does not start: {fault}", process.name));
                        process.life = Life::Down;
                        return;
                    }
                }
                self.at(now + 1, Event::Tick(at, epoch));
            }
            Role::Agent(agent) => {
                agent.holder = Holder::new(Self::about(&process.name, &process.site), life_draw, 0);
                agent.ready_at = now + BOOT;
                agent.look_at = now;
                self.wake(at, now);
            }
            _ => self.wake(at, now),
        }
    }

    fn stop(&mut self, at: usize, length: Micros) {
        if self.processes[at].life == Life::Up {
            self.processes[at].life = Life::Stopped;
            if let Role::Council { number, .. } = self.processes[at].role {
                self.lose(Some(number));
            }
            self.at(self.now + length, Event::Heal(Heal::Wake(at)));
        }
    }

    fn heal(&mut self, heal: Heal) {
        match heal {
            Heal::Wake(at) => {
                if self.processes[at].life == Life::Stopped {
                    self.processes[at].life = Life::Up;
                    for event in std::mem::take(&mut self.processes[at].deferred) {
                        self.at(self.now, event);
                    }
                }
            }
            Heal::Start(at) => self.start(at),
            Heal::Undrop(links) => {
                for link in links {
                    let link = self.links.entry(link).or_default();
                    link.dropped = link.dropped.saturating_sub(1);
                }
            }
            Heal::Undelay(links) => {
                for link in links {
                    self.links.entry(link).or_default().late = 0;
                }
            }
            Heal::Release(links) => {
                for (from, to) in links {
                    let link = self.links.entry((from, to)).or_default();
                    link.held = link.held.saturating_sub(1);
                    if link.held == 0 {
                        for parcel in std::mem::take(&mut link.queue) {
                            self.at(self.now + 1, Event::Deliver(from, to, parcel));
                        }
                    }
                }
            }
        }
    }

    fn heal_all(&mut self) {
        self.healed = true;
        self.isolated = None;
        let links: Vec<(usize, usize)> = self.links.keys().copied().collect();
        for link in &links {
            let of = self.links.entry(*link).or_default();
            (of.dropped, of.late, of.held) = (0, 0, 1);
        }
        self.heal(Heal::Release(links));
        for at in 0..self.processes.len() {
            self.heal(Heal::Wake(at));
            if matches!(self.processes[at].role, Role::Council { .. }) {
                self.start(at);
            }
        }
    }

    fn named(&self, name: &str) -> Option<usize> {
        if name == "leader" {
            return self.leader.and_then(|number| self.numbers.get(&number).copied());
        }
        self.processes.iter().position(|process| process.name == name && process.life != Life::Down)
    }

    fn some(&mut self, is: impl Fn(&Process) -> bool) -> Option<usize> {
        let all: Vec<usize> = (0..self.processes.len()).filter(|at| is(&self.processes[*at])).collect();
        all.choose(&mut self.rng).copied()
    }

    fn begin(&mut self, fault: &Listed) {
        self.outcome.faults += 1;
        let length = fault.length;
        let council = self.plan.council;
        let up = |process: &Process| process.life == Life::Up;
        let named = fault.who.as_deref().and_then(|who| self.named(who));
        let is_council = |process: &Process| matches!(process.role, Role::Council { .. }) && up(process);
        let is_agent = |process: &Process| matches!(process.role, Role::Agent(_)) && up(process);
        let is_operator = |process: &Process| matches!(process.role, Role::Operator(_)) && up(process);
        // Half of the time it is the leader that is hit.
        let leader = self.leader.and_then(|number| self.numbers.get(&number).copied());
        let leader = leader.filter(|at| up(&self.processes[*at]) && self.rng.random_bool(0.5));
        let one_of_council = named.or(leader).or_else(|| self.some(is_council));
        match fault.what {
            Kind::StopCouncil => {
                if let Some(at) = one_of_council {
                    self.stop(at, length);
                }
            }
            Kind::KillCouncil => {
                if let Some(at) = one_of_council {
                    self.kill(at);
                    self.at(self.now + length, Event::Heal(Heal::Start(at)));
                }
            }
            Kind::EmptyDisk => {
                // One at a time: a council that has lost a majority of its disks is gone.
                let all_up = self.processes.iter().filter(|process| is_council(process)).count() == council;
                if let Some(at) = one_of_council.filter(|_| !self.replacing && all_up && council > 2) {
                    self.replace(at);
                    self.at(self.now + length, Event::Heal(Heal::Start(at)));
                }
            }
            Kind::StopAgent => {
                if let Some(at) = named.or_else(|| self.some(is_agent)) {
                    self.stop(at, length);
                }
            }
            Kind::KillAgent => {
                if let Some(at) = named.or_else(|| self.some(is_agent)) {
                    self.kill(at);
                    self.at(self.now + length, Event::Heal(Heal::Start(at)));
                }
            }
            Kind::TwinAgent => {
                if let Some(at) = named.or_else(|| self.some(is_agent)) {
                    self.stop(at, length);
                    let (name, site) = (self.processes[at].name.clone(), self.processes[at].site.clone());
                    self.add_agent(&name, &site);
                }
            }
            Kind::StopOperator => {
                if let Some(at) = named.or_else(|| self.some(is_operator)) {
                    self.stop(at, length);
                }
            }
            Kind::KillOperator => {
                if let Some(at) = named.or_else(|| self.some(is_operator)) {
                    self.kill(at);
                    let name = self.processes[at].name.clone();
                    self.add_operator(&name);
                }
            }
            Kind::Cut | Kind::OneWay | Kind::Slow | Kind::Hold => {
                let one = one_of_council;
                let other = fault.to.as_deref().and_then(|to| self.named(to));
                let other = other.or_else(|| self.some(|process| process.life != Life::Down));
                let (Some(one), Some(other)) = (one, other.filter(|other| Some(*other) != one)) else {
                    return;
                };
                let both = match fault.what {
                    Kind::OneWay => vec![if self.rng.random_bool(0.5) { (one, other) } else { (other, one) }],
                    _ => vec![(one, other), (other, one)],
                };
                self.spoil(both, fault.what, length);
            }
            Kind::Split => {
                let part: Vec<bool> = (0..self.processes.len()).map(|_| self.rng.random_bool(0.5)).collect();
                let apart = self.pairs(|a, b| part[a] != part[b]);
                self.spoil(apart, Kind::Cut, length);
            }
            Kind::Ring => {
                // Each of them misses one other, and each one another.
                let ring = self.pairs(|a, b| a < council && b < council && (a + 1) % council == b);
                let back: Vec<_> = ring.iter().map(|(a, b)| (*b, *a)).collect();
                self.spoil(ring.into_iter().chain(back).collect(), Kind::Cut, length);
            }
            Kind::LostReplies => {
                if let Some(one) = one_of_council {
                    let replies = self.pairs(|a, b| a == one && b >= council);
                    self.spoil(replies, Kind::OneWay, length);
                }
            }
            Kind::Isolate => {
                if let Some(one) = one_of_council {
                    if let Role::Council { number, .. } = self.processes[one].role {
                        self.isolated = Some(number);
                        self.lose(Some(number));
                    }
                    let all = self.pairs(|a, b| a == one || b == one);
                    self.spoil(all, Kind::Cut, length);
                }
            }
            Kind::SlowProcess => {
                if let Some(one) = one_of_council {
                    let all = self.pairs(|a, b| a == one || b == one);
                    self.spoil(all, Kind::Slow, length);
                }
            }
        }
    }

    fn pairs(&self, are: impl Fn(usize, usize) -> bool) -> Vec<(usize, usize)> {
        let all = 0..self.processes.len();
        all.clone()
            .flat_map(|a| all.clone().map(move |b| (a, b)))
            .filter(|(a, b)| a != b && are(*a, *b))
            .collect()
    }

    fn spoil(&mut self, links: Vec<(usize, usize)>, how: Kind, length: Micros) {
        let late = self.rng.random_range(100_000..5_000_000);
        for link in &links {
            let link = self.links.entry(*link).or_default();
            match how {
                Kind::Slow => link.late = late,
                Kind::Hold => link.held += 1,
                _ => link.dropped += 1,
            }
        }
        let heal = match how {
            Kind::Slow => Heal::Undelay(links),
            Kind::Hold => Heal::Release(links),
            _ => Heal::Undrop(links),
        };
        self.at(self.now + length, Event::Heal(heal));
    }

    /// A council process comes back with nothing: another one, as far as votes go, which the warden takes in.
    fn replace(&mut self, at: usize) {
        self.kill(at);
        let new: u64 = self.rng.random_range(1..u64::MAX);
        let lies = self.plan.planted == Planted::AckBeforeSync;
        let name = self.processes[at].name.clone();
        let Role::Council { disk, number, .. } = &mut self.processes[at].role else { return };
        let old = std::mem::replace(number, new);
        *disk = MemoryDisk { lies, ..MemoryDisk::default() };
        self.numbers.remove(&old);
        self.numbers.insert(new, at);
        self.replacing = true;
        for process in &mut self.processes {
            if let Role::Warden { wanted, .. } = &mut process.role {
                wanted.push((new, old, Peer { name: name.clone(), address: String::new() }));
            }
        }
    }

    // The end.

    fn finish(&mut self) {
        let mut states: BTreeMap<u64, (String, heronhoist_council::state::State)> = BTreeMap::new();
        for at in 0..self.processes.len() {
            let belief = match &mut self.processes[at].role {
                Role::Agent(agent) => agent.belief.take(),
                Role::Operator(operator) => operator.belief.take(),
                Role::Watcher(watcher) => {
                    let watched = std::mem::take(&mut watcher.watched);
                    self.outcome.seen.watched.push(watched);
                    None
                }
                Role::Council { desk: Some(desk), .. } => {
                    let state = desk.node().state().clone();
                    let name = self.processes[at].name.clone();
                    match states.get(&state.revision) {
                        Some((other, known)) if *known != state => {
                            let wrong = format!("{other} and {name} differ at revision {}", state.revision);
                            self.outcome.seen.wrongs.push(wrong);
                        }
                        _ => drop(states.insert(state.revision, (name, state))),
                    }
                    None
                }
                _ => None,
            };
            self.keep_belief(belief);
        }
        // What is there at the end, read as one more operation on each record.
        let last = states.into_iter().next_back();
        if let Some((_, (_, state))) = last.filter(|_| self.leader.is_some()) {
            let mut keys: Vec<String> = self.outcome.seen.done.iter().map(|done| done.key.clone()).collect();
            keys.sort();
            keys.dedup();
            for key in keys {
                let value = state.records.get(&key).and_then(|record| record.value.parse().ok());
                let (called, returned) = (self.now, Some(self.now + 1));
                self.outcome.seen.done.push(Done { key, op: Op::Read(value), called, returned });
            }
            let living = state.members.values().filter(|member| member.standing == Standing::Living).count();
            if living < self.plan.agents.min(1) {
                self.outcome.seen.wrongs.push("no member is living at the end".into());
            }
        }
        if self.plan.measured {
            let seconds = self.plan.length as f64 / 2e6;
            let (messages, bytes) = self.counted;
            self.outcome.at_leader = Some((messages as f64 / seconds, bytes as f64 / seconds));
        }
        let mut hasher = DefaultHasher::new();
        format!("{:?}", (&self.outcome.seen.done, &self.outcome.seen.beliefs, self.outcome.messages))
            .hash(&mut hasher);
        self.outcome.digest = hasher.finish();
    }
}

/// The planted way of taking permits whose takers are gone for free.
fn freed_by_silence(view: &View, key: &str) -> Option<Txn> {
    let record = view.records.get(key)?;
    let mut budget: permit::Budget = serde_json::from_str(&record.value).ok()?;
    let before = budget.out.len();
    budget.out.retain(|_, permit| {
        view.members
            .get(&permit.taker.0)
            .is_some_and(|member| member.incarnation == permit.taker.1 && member.standing.may_hold())
    });
    let value = serde_json::to_string(&budget).ok()?;
    (budget.out.len() < before).then(|| Txn {
        checks: vec![Check::At(key.into(), record.revision)],
        writes: vec![Write::Put(key.into(), value)],
    })
}
