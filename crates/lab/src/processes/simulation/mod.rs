//! Several processes in simulated time: the council's core and its members' core, as the program has them, on links and disks
//! with faults. One seed is one run, the same each time.

mod callers;
mod clients;
mod disk;
mod drains;
mod faults;
mod operators;

use super::checker::{Belief, Done, Op, Out, Seen, Watched};
use super::plan::{InjectedBug, Kind, Listed, Plan};
use super::workload::Keys;
use crate::server_model::Micros;
use disk::{After, MemoryDisk};
use heronhoist_coordination::backoff::Backoff;
use heronhoist_coordination::bootstrap::{initial_state, ClusterInfo};
use heronhoist_coordination::lease_holder::{LeaseHolder, MemberInfo, MembershipState};
use heronhoist_coordination::log::{Disk, DiskError, DurableState, WriteBatch};
use heronhoist_coordination::node::{Node, NodeError, NodeSettings};
use heronhoist_coordination::permit::{self, PermitDenial};
use heronhoist_coordination::retry_schedule::{RetrySchedule, CALL_TIMEOUT};
use heronhoist_coordination::service::Service;
use heronhoist_coordination::state::{
    Change, Check, ClusterId, Command, CommandRequest, CommandResult, MemberStatus, Peer, Txn, Write,
};
use heronhoist_coordination::wire::{Envelope, Refusal, Request, Response, View, PROTOCOL};
use heronhoist_coordination::Limits;
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
/// Things that a process asks at the same time: its lease; records; what drains; what it says of that.
const ASKERS: usize = 4;
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
    /// Processes that ended by themselves, since their disks were not what they had been.
    pub ended: usize,
    /// Writes and reads of disks that failed.
    pub disk_failures: usize,
    /// How often a process went on from what its disk held, after it had failed.
    pub reopened: usize,
    /// Tells runs apart.
    pub digest: u64,
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
    Deliver(usize, usize, Box<Parcel>),
    Wake(usize, u32),
    /// A council process whose disk has failed opens it again.
    Reopen(usize, u32),
    GivenUp(usize, u32, u64),
    Chaos,
    Fault(usize),
    Heal(Heal),
}

enum Heal {
    Wake(usize),
    Start(usize),
    /// It is killed, and its disk put back to the copy that was made of it; it is started.
    PutBack(usize),
    MendDisk(usize),
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
    caller: RetrySchedule,
    out: Option<(u64, Micros)>,
    due: Micros,
}

struct Agent {
    holder: LeaseHolder,
    ready_at: Micros,
    belief: Option<Belief>,
    look_at: Micros,
    sends: drains::Sends,
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
    history: ClusterId,
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
    holder: LeaseHolder,
    belief: Option<Belief>,
    doing: Doing,
    session: u64,
    number: u64,
    asked: Option<Request>,
    /// When the permit that it has was agreed.
    granted: Micros,
    next_at: Micros,
}

enum Role {
    Council {
        desk: Option<Box<Service>>,
        disk: Box<MemoryDisk>,
        number: u64,
        backoff: Backoff,
    },
    Agent(Box<Agent>),
    Client(Client),
    Watcher(Watcher),
    Operator(Box<Operator>),
    Drainer(Box<drains::Drainer>),
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
    askers: [Asker; ASKERS],
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
    /// Who waits for an answer, and of which council process.
    callers: BTreeMap<u64, (usize, usize)>,
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
            ended: 0,
            disk_failures: 0,
            reopened: 0,
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
            callers: BTreeMap::new(),
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
        let peers: BTreeMap<u64, Peer> = (0..plan.coordinators)
            .map(|n| {
                (world.rng.random_range(1..u64::MAX), Peer { name: format!("c{n}"), address: String::new() })
            })
            .collect();
        let image = initial_state(&ClusterInfo { cluster_id: ClusterId(seed.max(1)), peers: peers.clone() });
        let mut peers: Vec<(u64, Peer)> = peers.into_iter().collect();
        peers.sort_by(|a, b| a.1.name.cmp(&b.1.name));
        for (number, peer) in peers {
            let disk = Box::new(MemoryDisk::new(image.clone(), plan.planted));
            let council = Role::Council { desk: None, disk, number, backoff: Backoff::default() };
            let at = world.add(&peer.name, "", council, Life::Down);
            world.numbers.insert(number, at);
        }
        for at in 0..plan.coordinators {
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
            let watcher = Watcher {
                history: ClusterId::NONE,
                reading: None,
                watched: Watched::default(),
                next_at: 0,
                sent: 0,
            };
            world.add(&format!("w{n}"), "", Role::Watcher(watcher), Life::Up);
        }
        for n in 0..plan.operators {
            world.add_operator(&format!("o{n}"));
        }
        for n in 0..plan.drainers {
            world.add_drainer(&format!("d{n}"));
        }
        for (number, fault) in plan.listed.iter().enumerate() {
            world.at(fault.at, Event::Fault(number));
        }
        if plan.every > 0 && !plan.faults.is_empty() {
            world.at(plan.every, Event::Chaos);
        }
        world
    }

    fn about(name: &str, site: &str) -> MemberInfo {
        MemberInfo { name: name.into(), site: site.into(), version: "lab".into(), address: String::new() }
    }

    fn add_agent(&mut self, name: &str, site: &str) -> usize {
        let holder = LeaseHolder::new(Self::about(name, site), self.rng.random(), 0);
        let ready_at = self.now + BOOT;
        let sends = drains::Sends::default();
        let agent = Agent { holder, ready_at, belief: None, look_at: 0, sends };
        self.add(name, site, Role::Agent(Box::new(agent)), Life::Up)
    }

    fn add_operator(&mut self, name: &str) -> usize {
        let nonce: u64 = self.rng.random();
        let holder = LeaseHolder::new(Self::about(&format!("hold:{name}.{nonce:x}"), ""), nonce, 0);
        let next_at = self.now + self.rng.random_range(0..2_000_000);
        let operator = Operator {
            holder,
            belief: None,
            doing: Doing::Idle,
            session: 0,
            number: 0,
            asked: None,
            granted: 0,
            next_at,
        };
        self.add(name, "", Role::Operator(Box::new(operator)), Life::Up)
    }

    fn add(&mut self, name: &str, site: &str, role: Role, life: Life) -> usize {
        let drift = self.plan.terms.max_clock_drift;
        let rate = match self.rng.random_range(0..4) {
            0 => 1.0 - drift,
            1 => 1.0 + drift,
            _ => 1.0 + drift * self.rng.random_range(-1.0..=1.0),
        };
        let clock = Clock { offset: self.rng.random_range(0..1_000_000_000_000), rate };
        let council = self.plan.coordinators;
        let mut asker =
            || Asker { caller: RetrySchedule::new(council, self.rng.random()), out: None, due: 0 };
        let askers = [(); ASKERS].map(|()| asker());
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
            if !self.healed && self.now >= self.plan.duration {
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
            if self.now > self.plan.duration + SETTLE {
                let why = self.unsettled();
                self.outcome.seen.wrongs.push(format!("nothing came right after the last fault: {why}"));
                break;
            }
        }
        self.finish();
    }

    fn unsettled(&self) -> String {
        let late = self.processes.iter().filter(|process| !self.is_right(process));
        let about = |process: &Process| match &process.role {
            Role::Operator(operator) => {
                format!("{} ({:?}, {:?})", process.name, operator.holder.membership_state(), operator.doing)
            }
            Role::Agent(agent) => format!("{} ({:?})", process.name, agent.holder.membership_state()),
            Role::Drainer(drainer) => format!("{} ({drainer:?})", process.name),
            _ => process.name.clone(),
        };
        let names: Vec<String> = late.map(about).collect();
        let behind = self.laggards().join(" ");
        let state = self.processes.iter().find_map(|process| match &process.role {
            Role::Council { desk: Some(desk), .. } => Some(desk.node().state()),
            _ => None,
        });
        let budgets = state.map(|state| {
            let records = state.records.iter().filter(|(key, _)| key.starts_with("budget/"));
            records.map(|(key, record)| format!("{key} {}", record.value)).collect::<Vec<_>>().join(" ")
        });
        let names = names.join(" ");
        format!("leader {:?}, {names}, behind: {behind}; {budgets:?}", self.leader.is_some())
    }

    fn is_right(&self, process: &Process) -> bool {
        match &process.role {
            Role::Council { .. } | Role::Watcher(_) => true,
            Role::Agent(agent) => {
                // One that holds no lease may only not have heard yet that it has ended.
                let local = process.clock.local(self.now);
                process.life == Life::Down
                    || agent.holder.membership_state() == MembershipState::Superseded
                    || agent.holder.held_incarnation(local).is_some()
            }
            Role::Client(client) => client.now.is_none(),
            Role::Operator(operator) => process.life == Life::Down || operator.doing == Doing::Idle,
            Role::Drainer(drainer) => process.life == Life::Down || drainer.is_idle(),
            Role::Warden { wanted, .. } => wanted.is_empty(),
        }
    }

    fn is_settled(&self) -> bool {
        self.leader.is_some()
            && self.processes.iter().all(|process| self.is_right(process))
            && self.laggards().is_empty()
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
            Event::Deliver(from, to, parcel) => self.deliver(from, to, *parcel),
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
            Event::Reopen(at, epoch) => {
                let process = &mut self.processes[at];
                if process.epoch != epoch {
                    return;
                }
                match process.life {
                    Life::Down => {}
                    Life::Stopped => process.deferred.push(Event::Reopen(at, epoch)),
                    Life::Up => self.reopen(at),
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
        if self.plan.measured && self.now > self.plan.duration / 2 && self.now <= self.plan.duration {
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
        self.at(self.now + self.plan.one_way + spread + late, Event::Deliver(from, to, Box::new(parcel)));
    }

    fn deliver(&mut self, from: usize, to: usize, parcel: Parcel) {
        match self.processes[to].life {
            Life::Down => return,
            Life::Stopped => {
                let deferred = &mut self.processes[to].deferred;
                if deferred.len() < INBOX_MOST {
                    deferred.push(Event::Deliver(from, to, Box::new(parcel)));
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
                    self.ends(to, &fault.to_string());
                    return;
                }
                self.work(to);
            }
            Parcel::Request(id, asker, envelope, mut request) => {
                let Role::Council { desk, .. } = &mut self.processes[to].role else { return };
                let Some(desk) = desk else {
                    let refusal = Refusal::NotFormed("its disk fails".into());
                    self.send(to, asker, Parcel::Response(id, Response::Refused(refusal)));
                    return;
                };
                match &mut request {
                    Request::Read { stale, .. } if planted == InjectedBug::StaleRead => *stale = true,
                    Request::Command(call) if planted == InjectedBug::AppliedTwice => call.session = None,
                    _ => {}
                }
                self.callers.insert(id, (asker, to));
                desk.handle_request(local, id, &envelope, request);
                self.work(to);
            }
            Parcel::Response(id, response) => self.answered(to, id, Some(response)),
        }
    }

    /// A council process carries on with what has come in.
    fn work(&mut self, at: usize) {
        let local = self.local(at);
        let Role::Council { desk: Some(desk), disk, .. } = &mut self.processes[at].role else { return };
        let output = match desk.advance(&mut **disk, local) {
            Ok(output) => output,
            Err(fault) if fault.is_store_failure() => return self.store_fails(at),
            Err(fault) => return self.ends(at, &fault.to_string()),
        };
        let failed_unseen = disk.after_failure().is_some();
        for (number, message) in output.messages {
            if let Some(to) = self.numbers.get(&number).copied() {
                self.send(at, to, Parcel::Raft(message));
            }
        }
        for (id, response) in output.responses {
            if let Some((to, _)) = self.callers.remove(&id) {
                self.send(at, to, Parcel::Response(id, response));
            }
        }
        if failed_unseen {
            return self.store_fails(at);
        }
        self.look_at(at);
    }

    /// What can be seen of a council process after each step: new changes, ended leases, who leads.
    fn look_at(&mut self, at: usize) {
        let Role::Council { desk: Some(desk), .. } = &self.processes[at].role else { return };
        let state = desk.node().state();
        let known = self.agreed.last().map_or(0, |(_, revision)| *revision);
        if state.cluster_id != ClusterId::NONE && state.revision > known {
            if let Ok((changes, _)) = state.changes_after(known, usize::MAX) {
                self.agreed.push((self.now, state.revision));
                for change in &changes {
                    self.note_end(change);
                    self.note_undrained(change);
                }
                self.outcome.seen.changes.extend(changes);
            } else if self.plan.planted != InjectedBug::AckBeforeSync {
                self.outcome.seen.wrongs.push("changes were compacted before they were seen".into());
            }
        }
        let Role::Council { desk: Some(desk), number: own, .. } = &self.processes[at].role else { return };
        if desk.node().is_leader() && self.leader != Some(*own) && self.isolated != Some(*own) {
            self.leader = Some(*own);
            self.outcome.leaders += 1;
            if let Some(lost) = self.leader_lost.take().filter(|lost| *lost > 0) {
                let timeout = self.plan.tick * NodeSettings::default().election_ticks as Micros;
                self.outcome.leaderless.push((self.now - lost) as f64 / timeout as f64);
            }
        }
    }

    fn note_end(&mut self, change: &Change) {
        let heronhoist_coordination::state::ChangedItem::Member(name, Some(member)) = &change.item else {
            return;
        };
        if self.plan.servers > 0 && heronhoist_coordination::state::is_agent(name) {
            let downs = &mut self.outcome.seen.downs;
            let serves = member.status == MemberStatus::Living && member.ready;
            match downs.iter_mut().find(|down| down.what == *name && down.to.is_none()) {
                Some(down) => down.to = serves.then_some(self.now),
                None if serves => {}
                None => {
                    let (budget, what) = (permit::agent_budget_key(&member.site), name.clone());
                    downs.push(super::checker::Down { budget, what, from: self.now, to: None });
                }
            }
        }
        if !member.status.may_hold_lease() {
            self.outcome.seen.ended.entry((name.clone(), member.incarnation)).or_insert(self.now);
        }
    }

    // The end.

    fn finish(&mut self) {
        for process in &self.processes {
            if let Role::Council { disk, .. } = &process.role {
                self.outcome.disk_failures += disk.failures;
            }
        }
        let mut states: BTreeMap<u64, (String, heronhoist_coordination::state::State)> = BTreeMap::new();
        for at in 0..self.processes.len() {
            let belief = match &mut self.processes[at].role {
                Role::Agent(agent) => agent.belief.take(),
                Role::Operator(operator) => operator.belief.take(),
                Role::Watcher(watcher) => {
                    let watched = std::mem::take(&mut watcher.watched);
                    self.outcome.seen.watched.push(watched);
                    None
                }
                Role::Council { desk: Some(desk), disk, .. } => {
                    let (state, spoilt) = (desk.node().state().clone(), disk.spoilt);
                    let name = self.processes[at].name.clone();
                    if spoilt {
                        let wrong = format!("{name} goes on with a disk that is not what it left there");
                        self.outcome.seen.wrongs.push(wrong);
                    }
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
            let living =
                state.members.values().filter(|member| member.status == MemberStatus::Living).count();
            if living < self.plan.agents.min(1) {
                self.outcome.seen.wrongs.push("no member is living at the end".into());
            }
        }
        if self.plan.measured {
            let seconds = self.plan.duration as f64 / 2e6;
            let (messages, bytes) = self.counted;
            self.outcome.at_leader = Some((messages as f64 / seconds, bytes as f64 / seconds));
        }
        let mut hasher = DefaultHasher::new();
        format!("{:?}", (&self.outcome.seen.done, &self.outcome.seen.beliefs, self.outcome.messages))
            .hash(&mut hasher);
        self.outcome.digest = hasher.finish();
    }
}
