//! What both modes share: the servers at work, the timeline of faults, and the clients. Time is `tokio`'s, which is paused in
//! the virtual mode and the machine's in the real one; every draw comes from the seed.

use crate::checker::{Call, ClientAttempt, ClientResponse, Ledger, RepeatEffect, UnavailableServer};
use crate::messages::MessageCorpus;
use crate::registry::{building, Registry};
use crate::scenario::{Event, EventKind, Scenario};
use crate::server_model::{Admission, DeduplicationMemory, JobId, Micros, Reachability, Server};
use crate::signal::Signal;
use heronhoist_engine::EndpointState;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal, Pareto};
use rand_pcg::Pcg64;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::mem::size_of;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Set when the one who started the run wants it to end now; what there is by then is judged.
pub static INTERRUPTED: AtomicBool = AtomicBool::new(false);

/// A final answer that is later than the deadline by more than this does not count as one.
const ANSWER_GRACE: Duration = Duration::from_millis(250);
/// A connection that is not up by then has failed.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// A connection that has not been used for so long is closed.
pub const KEEPALIVE: Duration = Duration::from_secs(15);
/// The servers' load is looked at so often.
const SAMPLE: Duration = Duration::from_millis(500);
/// Whatever discovery has to tell counts as told then, whether it came or not.
const TOLD_AT_THE_LATEST: Micros = 6_000_000;
/// The window counts from the sending of the first attempt to the sending of a repeat; on the way each may take so much
/// longer than the other.
const MEMORY_SLACK: Micros = 50_000;
/// Plots show so many servers at most.
const SAMPLED_SERVERS: usize = 64;

/// What became of a request at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerOutcome {
    /// It ran.
    Completed,
    /// It ran, and its answer is spoilt.
    Error,
    /// It was turned away unseen.
    Rejected,
    /// The server died.
    Reset,
}

type Waiting = BTreeMap<JobId, oneshot::Sender<()>>;

/// The servers, discovery, and the ledger of what happens.
pub struct World {
    /// What is played.
    pub scenario: Scenario,
    start: Cell<Instant>,
    /// The truth about each server.
    pub servers: RefCell<Vec<Server>>,
    /// How each can be reached, and in which life, for those who must hear of it.
    pub reachability: Vec<Signal<(u32, Reachability)>>,
    /// What they speak, and what is said, where both dialects are spoken.
    pub speaks_old: RefCell<Vec<bool>>,
    /// See [`speaks_old`](World::speaks_old).
    pub messages: Option<MessageCorpus>,
    /// What is written down.
    pub ledger: RefCell<Ledger>,
    /// Discovery.
    pub registry: RefCell<Registry>,
    /// Grows when its list changes, or it goes down or comes back.
    pub changed: Signal<u64>,
    /// Whoever asks is served, and nothing is judged: requests that the servers were sent.
    pub unchecked_requests: Cell<Option<u64>>,
    /// The servers' requests in flight, now and then.
    pub load_samples: RefCell<Vec<(Micros, Vec<u32>)>>,
    work_of: RefCell<Vec<Micros>>,
    waiting: RefCell<Vec<Waiting>>,
    wakes: Vec<Notify>,
    memories: RefCell<Vec<DeduplicationMemory>>,
    spoilt: RefCell<Vec<f64>>,
    /// When each last started, and the version of the list that says so.
    starts: RefCell<Vec<(Micros, i64)>>,
    paces: RefCell<Vec<f64>>,
    draws: RefCell<Pcg64>,
    next_job: Cell<JobId>,
    /// Bytes of the arrivals that were drawn ahead.
    drawn: Cell<usize>,
}

impl World {
    /// All servers warm and up.
    pub fn new(scenario: &Scenario, seed: u64) -> Rc<Self> {
        let fleet = &scenario.fleet;
        let mut draws = Pcg64::seed_from_u64(seed ^ 0x5eed_0f5e_7e75);
        let paces: Vec<f64> = (0..fleet.servers)
            .map(|_| if draws.random::<f64>() < fleet.slow.0 { fleet.slow.1 } else { 1.0 })
            .collect();
        let mut servers = vec![Server::new(fleet.server_spec.clone()); fleet.servers];
        servers.iter_mut().zip(&paces).for_each(|(server, pace)| server.set_speed_factor(*pace));
        let mixed = scenario.dialects.as_ref();
        let old_servers = mixed.map_or(0, |mixed| mixed.old_servers);
        let names = scenario.classes.iter().map(|class| class.name.as_str());
        let messages = mixed.and_then(|_| MessageCorpus::new(names).ok());
        let mut registry = Registry::new(fleet.servers, fleet.buildings, scenario.registry.lines_per_s);
        (0..old_servers).for_each(|server| registry.set_dialect(server, true));
        Rc::new(World {
            start: Cell::new(Instant::now()),
            servers: RefCell::new(servers),
            reachability: (0..fleet.servers).map(|_| Signal::new((0, Reachability::Up))).collect(),
            speaks_old: RefCell::new((0..fleet.servers).map(|server| server < old_servers).collect()),
            messages,
            ledger: RefCell::new(Ledger {
                list_versions: vec![Vec::new(); scenario.agents],
                ..Ledger::default()
            }),
            registry: RefCell::new(registry),
            changed: Signal::new(1),
            unchecked_requests: Cell::new(None),
            load_samples: RefCell::default(),
            work_of: RefCell::default(),
            waiting: RefCell::new((0..fleet.servers).map(|_| BTreeMap::new()).collect()),
            wakes: (0..fleet.servers).map(|_| Notify::new()).collect(),
            memories: RefCell::new(vec![DeduplicationMemory::default(); scenario.classes.len()]),
            spoilt: RefCell::new(vec![0.0; fleet.servers]),
            starts: RefCell::new(vec![(0, 0); fleet.servers]),
            paces: RefCell::new(paces),
            draws: RefCell::new(draws),
            next_job: Cell::new(0),
            drawn: Cell::new(0),
            scenario: scenario.clone(),
        })
    }

    /// Time begins now; nothing has happened yet.
    pub fn start_clock(&self) {
        self.start.set(Instant::now());
        self.load_samples.borrow_mut().clear();
        self.ledger.borrow_mut().list_versions.iter_mut().flatten().for_each(|told| told.0 = 0);
    }

    /// From now on whoever asks is served; one call stands for all of its class.
    pub fn accept_unchecked_requests(&self) {
        self.unchecked_requests.set(Some(0));
        let classes = self.scenario.classes.iter().enumerate();
        self.work_of.replace(classes.clone().map(|(_, mix)| mix.work).collect());
        let call = |(class, _): (usize, &crate::scenario::ClassMix)| Call {
            scheduled_at: 0,
            class,
            tenant: 0,
            repeat_effect: RepeatEffect::Harmless,
            effects: Vec::new(),
        };
        self.ledger.borrow_mut().calls = classes.map(call).collect();
    }

    /// The time of the run.
    pub fn now(&self) -> Micros {
        self.start.get().elapsed().as_micros() as Micros
    }

    /// A time of the run.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start.get() + Duration::from_micros(at)
    }

    /// A draw of 0 to 1.
    pub fn draw(&self) -> f64 {
        self.draws.borrow_mut().random()
    }

    /// How late somebody hears of a change this time: some hear of it sooner than others.
    pub fn notification_delay(&self) -> Duration {
        let late = self.scenario.registry.notification_delay as f64 * (0.5 + self.draw());
        Duration::from_micros(late as u64)
    }

    /// An agent has been told this version of the list.
    pub fn record_list_version(&self, agent: usize, version: i64) {
        let now = self.now();
        self.ledger.borrow_mut().list_versions[agent].push((now, version));
    }

    /// Whether an agent has been told that a server has just started, or must count as told. Who is not known counts too.
    fn knows_of_start(&self, server: usize, agent: Option<usize>) -> bool {
        let (at, version) = self.starts.borrow()[server];
        let told = agent.and_then(|agent| self.ledger.borrow().list_versions[agent].last().copied());
        told.is_none_or(|(_, told)| told >= version) || self.now() > at + TOLD_AT_THE_LATEST
    }

    /// A connection comes up at a server; false if it has no room for one.
    pub fn connect(&self, server: usize, agent: Option<usize>) -> bool {
        let now = self.now();
        self.settle(server, now);
        let told = self.knows_of_start(server, agent);
        let mut servers = self.servers.borrow_mut();
        let up = servers[server].connect(now, told);
        let mut ledger = self.ledger.borrow_mut();
        ledger.connections_opened += u64::from(up);
        ledger.max_open_connections = ledger.max_open_connections.max(servers[server].max_open_connections);
        drop((servers, ledger));
        self.wakes[server].notify_one();
        up
    }

    /// A connection that came up in this life of a server has ended.
    pub fn disconnect(&self, server: usize, life: u32) {
        self.servers.borrow_mut()[server].disconnect(life);
    }

    /// Tells those who wait for what is done by now.
    fn settle(&self, server: usize, now: Micros) {
        let done = self.servers.borrow_mut()[server].advance(now);
        let mut waiting = self.waiting.borrow_mut();
        for job in done {
            if let Some(waits) = waiting[server].remove(&job) {
                let _ = waits.send(());
            }
        }
    }

    /// A call's request has come whole to a server, in this try, and its repeats are known by `key`. Calling it off is dropping
    /// this.
    pub async fn serve(&self, server: usize, call: usize, number: Option<usize>, key: u64) -> ServerOutcome {
        let now = self.now();
        self.settle(server, now);
        let (class, repeat_effect, agent, risk) = {
            let ledger = self.ledger.borrow();
            let is = number.map(|number| &ledger.client_attempts[number]);
            let (agent, risk) = (is.map(|t| t.agent), is.map_or(0, |t| t.risk));
            (ledger.calls[call].class, ledger.calls[call].repeat_effect, agent, risk)
        };
        let told = self.knows_of_start(server, agent);
        let job = self.next_job.replace(self.next_job.get() + 1);
        let work = self.work_of.borrow()[call];
        let fleet = &self.scenario.fleet;
        let (remembers, place) = match repeat_effect {
            RepeatEffect::Deduplicated { everywhere: false, window } => {
                (Some(window + MEMORY_SLACK), building(server, fleet.servers, fleet.buildings))
            }
            RepeatEffect::Deduplicated { everywhere: true, window } => (Some(window + MEMORY_SLACK), 0),
            RepeatEffect::Harmless | RepeatEffect::Duplicated => (None, 0),
        };
        let known = remembers
            .is_some_and(|window| self.memories.borrow_mut()[class].contains(now, place, key, window));
        // A repeat that is remembered is only looked up.
        let fate =
            self.servers.borrow_mut()[server].submit(now, job, if known { work / 10 } else { work }, told);
        match fate {
            Admission::Accepted => {}
            Admission::Rejected => return ServerOutcome::Rejected,
            Admission::Unresponsive => std::future::pending().await,
            Admission::Down => {
                // It may just have fallen over, with all that it held.
                self.fell(server);
                return ServerOutcome::Reset;
            }
        }
        if let Some(window) = remembers {
            self.memories.borrow_mut()[class].record(now, place, key, window);
        }
        if !known && self.unchecked_requests.get().is_none() {
            self.ledger.borrow_mut().calls[call].effects.push((now, server, risk));
        }
        let (tell, done) = oneshot::channel();
        self.waiting.borrow_mut()[server].insert(job, tell);
        self.wakes[server].notify_one();
        let _waits = Waits { world: self, server, job };
        if done.await.is_err() {
            return ServerOutcome::Reset;
        }
        if self.servers.borrow()[server].reach() == Reachability::Unresponsive {
            std::future::pending::<()>().await;
        }
        let spoilt = self.spoilt.borrow()[server];
        if spoilt > 0.0 && self.draw() < spoilt {
            return ServerOutcome::Error;
        }
        ServerOutcome::Completed
    }

    /// Says what has become of a server, and lets go of all who wait for it if it is down.
    fn fell(&self, server: usize) {
        let is = {
            let servers = self.servers.borrow();
            (servers[server].incarnation(), servers[server].reach())
        };
        if is.1 == Reachability::Down {
            self.waiting.borrow_mut()[server].clear();
        }
        if self.reachability[server].get() != is {
            self.reachability[server].set(is);
        }
    }

    /// Runs the servers' work; never ends.
    pub fn spawn_servers(self: &Rc<Self>) {
        for server in 0..self.scenario.fleet.servers {
            let world = Rc::clone(self);
            spawn_local(async move {
                loop {
                    let next = world.servers.borrow()[server].next();
                    match next {
                        Some(at) => {
                            tokio::select! {
                                biased;
                                () = sleep_until(world.instant(at)) => {}
                                () = world.wakes[server].notified() => continue,
                            }
                        }
                        None => world.wakes[server].notified().await,
                    }
                    world.settle(server, world.now());
                }
            });
        }
        let world = Rc::clone(self);
        spawn_local(async move {
            loop {
                let now = world.now();
                if world.unchecked_requests.get().is_some() {
                    return;
                }
                let load =
                    world.servers.borrow().iter().take(SAMPLED_SERVERS).map(|s| s.load() as u32).collect();
                world.load_samples.borrow_mut().push((now, load));
                sleep(SAMPLE).await;
            }
        });
        if self.scenario.fleet.noisy.0 > 0.0 {
            let world = Rc::clone(self);
            spawn_local(async move {
                let (share, pace) = world.scenario.fleet.noisy;
                loop {
                    for server in 0..world.scenario.fleet.servers {
                        let neighbour = if world.draw() < share { pace } else { 1.0 };
                        let own = world.paces.borrow()[server];
                        world.servers.borrow_mut()[server].set_speed_factor(own * neighbour);
                    }
                    sleep(Duration::from_secs(1)).await;
                }
            });
        }
    }

    /// Something happens to servers or discovery; what happens to agents is the carrier's.
    fn happen(&self, event: &Event) {
        let now = self.now();
        match event.kind {
            EventKind::RegistryDown | EventKind::RegistryUp => {
                self.registry.borrow_mut().set_down(event.kind == EventKind::RegistryDown);
                self.changed.set(self.changed.get() + 1);
                return;
            }
            _ => {}
        }
        for server in event.targets.clone() {
            self.settle(server, now);
            {
                let target = &mut self.servers.borrow_mut()[server];
                match event.kind {
                    EventKind::Kill | EventKind::Crash => target.kill(),
                    what if what.starts_servers() => target.start(now),
                    EventKind::Isolate => target.set_unresponsive(true),
                    EventKind::Reconnect => target.set_unresponsive(false),
                    EventKind::Stall => target.set_stalled(now, true),
                    EventKind::Resume => target.set_stalled(now, false),
                    EventKind::SetSpeed(pace) => {
                        self.paces.borrow_mut()[server] = pace;
                        target.set_speed_factor(pace);
                    }
                    EventKind::FailResponses(share) => self.spoilt.borrow_mut()[server] = share,
                    _ => {}
                }
            }
            if event.kind.starts_servers() {
                // All who waited for an earlier life learn that it is over; `fell` tells those of one that has died.
                self.waiting.borrow_mut()[server].clear();
            }
            self.fell(server);
            self.wakes[server].notify_one();
            let mut registry = self.registry.borrow_mut();
            let mut ledger = self.ledger.borrow_mut();
            match event.kind {
                EventKind::Kill | EventKind::Drain => {
                    let state = if event.kind == EventKind::Kill {
                        EndpointState::Removed
                    } else {
                        EndpointState::Draining
                    };
                    let version = registry.set(server, state, None);
                    ledger.unavailable.push(UnavailableServer { server, version, until: None });
                }
                what if what.starts_servers() => {
                    ledger
                        .unavailable
                        .iter_mut()
                        .filter(|off| off.server == server && off.until.is_none())
                        .for_each(|off| off.until = Some(now));
                    let version = match event.kind {
                        EventKind::Replace
                        | EventKind::ReplaceWithNewDialect
                        | EventKind::ReplaceWithOldDialect => registry.replace(server, now),
                        _ => registry.set(server, EndpointState::Serving, Some(now)),
                    };
                    let old = &mut self.speaks_old.borrow_mut()[server];
                    *old = match event.kind {
                        EventKind::ReplaceWithNewDialect => false,
                        EventKind::ReplaceWithOldDialect => true,
                        EventKind::SwitchDialect => !*old,
                        _ => *old,
                    };
                    registry.set_dialect(server, *old);
                    self.starts.borrow_mut()[server] = (now, version);
                }
                _ => {}
            }
        }
        self.changed.set(self.changed.get() + 1);
    }

    /// What is written down, now that all is over.
    pub fn take_ledger(&self) -> Ledger {
        let mut ledger = self.ledger.take();
        let servers = self.servers.borrow();
        ledger.cold_crashes = servers.iter().map(|server| server.cold_crashes.1).sum();
        ledger.list_entries = self.registry.borrow().entries_written;
        ledger
    }

    /// Bytes of what is written down of the run, and of what was drawn ahead for it.
    pub fn recorded_bytes(&self) -> i64 {
        let load = self.load_samples.borrow();
        let load_bytes = load.capacity() * size_of::<(Micros, Vec<u32>)>()
            + load.iter().map(|(_, by_server)| by_server.capacity() * size_of::<u32>()).sum::<usize>();
        let work_bytes = self.work_of.borrow().capacity() * size_of::<Micros>();
        crate::memory::ledger_bytes(&self.ledger.borrow())
            + (load_bytes + work_bytes + self.drawn.get() + self.registry.borrow().held_bytes()) as i64
    }

    /// The greatest push on a cold server, as a multiple of what it bears.
    pub fn worst_cold_load(&self) -> f64 {
        self.servers.borrow().iter().map(|server| server.worst_cold_load).fold(0.0, f64::max)
    }
}

/// Calls a job off when nobody waits for it any more.
struct Waits<'a> {
    world: &'a World,
    server: usize,
    job: JobId,
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        if self.world.waiting.borrow_mut()[self.server].remove(&self.job).is_some() {
            let now = self.world.now();
            self.world.servers.borrow_mut()[self.server].cancel(now, self.job);
            self.world.wakes[self.server].notify_one();
        }
    }
}

/// What a client asks of its agent in one try.
#[derive(Debug, Clone, Copy)]
pub struct ClientRequest {
    /// The call's place in the ledger.
    pub call: usize,
    /// The try's place.
    pub attempt: usize,
    /// Its class.
    pub class: usize,
    /// Its tenant.
    pub tenant: usize,
    /// The client's guess at its work.
    pub cost_hint: Option<Micros>,
    /// It is not the first try.
    pub is_retry: bool,
    /// How long the client waits.
    pub budget: Duration,
}

/// What a client gets for a try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AgentReply {
    /// A final answer.
    Response(ClientResponse),
    /// There was no agent.
    Unreachable,
    /// The agent died.
    AgentDied,
    /// The agent lives, and has ended the connection without a whole answer.
    ConnectionLost,
}

/// The agents, of whatever kind: they carry what clients ask to servers.
pub trait Agents: 'static {
    /// Carries one try. The client leaves by dropping this.
    fn handle_request(&self, agent: usize, ask: ClientRequest) -> impl Future<Output = AgentReply>;
    /// Something happens to an agent.
    fn apply_agent_event(self: &Rc<Self>, agent: usize, what: EventKind);
}

/// A call that is to come.
struct Arrival {
    at: Micros,
    agent: usize,
    class: usize,
    tenant: usize,
    work: Micros,
    hint: Option<Micros>,
    /// When each try is given up before its time, as a share of that.
    patience: Option<f64>,
}

/// A draw of a place, by the shares of all places.
fn place(rng: &mut Pcg64, shares: impl Iterator<Item = f64> + Clone) -> usize {
    let mut left = rng.random::<f64>() * shares.clone().sum::<f64>();
    let count = shares.clone().count();
    let drawn = shares.into_iter().position(|share| {
        left -= share;
        left < 0.0
    });
    drawn.unwrap_or(count.saturating_sub(1))
}

/// All arrivals are drawn ahead, so that a slow answer never slows the next.
fn arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let clients = &scenario.clients;
    let surge = clients.surges.iter().map(|(_, times)| times.max(1.0)).product::<f64>();
    let peak = clients.rate * (1.0 + clients.wave) * surge;
    let mut times = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / peak * 1e6;
        if at >= scenario.duration as f64 {
            break;
        }
        let turn = at / clients.wave_period as f64 * std::f64::consts::TAU;
        let surge = clients.surges.iter().filter(|(when, _)| when.contains(&(at as Micros)));
        let rate = clients.rate * (1.0 + clients.wave * turn.sin()) * surge.map(|(_, t)| t).product::<f64>();
        // Thinning keeps the arrivals of a changing rate independent of each other.
        if rng.random::<f64>() * peak < rate {
            times.push(at as Micros);
        }
    }
    for (when, requests) in &clients.herds {
        times.extend((0..*requests).map(|_| rng.random_range(when.clone())));
    }
    times.sort_unstable();
    let mut arrival = |at| {
        let class = place(&mut rng, scenario.classes.iter().map(|class| class.share));
        let mix = &scenario.classes[class];
        // Its mean is the class's work, however wide it is.
        let scale = match mix.tail_exponent {
            Some(tail) => Pareto::new((tail - 1.0) / tail, tail).map_or(1.0, |d| d.sample(&mut rng)),
            None => LogNormal::new(-mix.work_spread * mix.work_spread / 2.0, mix.work_spread)
                .map_or(1.0, |d| d.sample(&mut rng)),
        };
        let work = (mix.work as f64 * scale).clamp(1.0, 1e9) as Micros;
        let guess = 0.7 + 0.6 * rng.random::<f64>();
        let agent = rng.random_range(0..scenario.agents);
        let tenant = place(&mut rng, scenario.tenants.iter().map(|(_, share)| *share));
        let leaves = rng.random::<f64>() < clients.early_cancel_share;
        let patience = leaves.then(|| rng.random::<f64>());
        let hint = mix.sends_cost_hints.then_some((work as f64 * guess) as Micros);
        Arrival { at, agent, class, tenant, work, hint, patience }
    };
    times.into_iter().map(&mut arrival).collect()
}

/// Plays a scenario: sends all clients' calls, lets happen what happens, and returns when all is answered. True if it was
/// not interrupted.
pub async fn run_clients<C: Agents>(
    world: &Rc<World>,
    carrier: &Rc<C>,
    seed: u64,
    progress: impl Fn(Micros),
) -> bool {
    let scenario = world.scenario.clone();
    let arrivals = arrivals(&scenario, seed);
    world.drawn.set(arrivals.capacity() * size_of::<Arrival>());
    let timeline = {
        let (world, carrier) = (Rc::clone(world), Rc::clone(carrier));
        let events = scenario.events.clone();
        spawn_local(async move {
            for event in events {
                sleep_until(world.instant(event.at)).await;
                match event.kind {
                    EventKind::KillAgent
                    | EventKind::StopAgent
                    | EventKind::StartAgent
                    | EventKind::UpgradeAgent
                    | EventKind::ReloadAgent => {
                        event.targets.clone().for_each(|agent| carrier.apply_agent_event(agent, event.kind));
                    }
                    _ => world.happen(&event),
                }
            }
        })
    };
    let pending = Rc::new(Cell::new(0_usize));
    let mut whole = true;
    for arrival in arrivals {
        sleep_until(world.instant(arrival.at)).await;
        if INTERRUPTED.load(Ordering::Relaxed) {
            whole = false;
            break;
        }
        progress(arrival.at);
        let (world, carrier, pending) = (Rc::clone(world), Rc::clone(carrier), Rc::clone(&pending));
        pending.set(pending.get() + 1);
        spawn_local(async move {
            client(&world, &*carrier, arrival).await;
            pending.set(pending.get() - 1);
        });
    }
    while pending.get() > 0 {
        sleep(Duration::from_millis(10)).await;
    }
    if whole {
        let _ = timeline.await;
    }
    timeline_grace(world).await;
    whole
}

/// What was sent at the very end has time to reach a server.
async fn timeline_grace(world: &World) {
    sleep(Duration::from_micros(2 * world.scenario.fleet.one_way_delay) + Duration::from_millis(20)).await;
}

/// One call, from its first try to its last.
async fn client(world: &World, carrier: &impl Agents, arrival: Arrival) {
    let scenario = &world.scenario;
    let mix = &scenario.classes[arrival.class];
    let call = {
        world.work_of.borrow_mut().push(arrival.work);
        let mut ledger = world.ledger.borrow_mut();
        ledger.calls.push(Call {
            scheduled_at: arrival.at,
            class: arrival.class,
            tenant: arrival.tenant,
            repeat_effect: mix.repeat_effect,
            effects: Vec::new(),
        });
        ledger.calls.len() - 1
    };
    let (mut advised, mut risk) = (None, 0);
    for n in 0..scenario.clients.max_attempts {
        let now = world.now();
        let left = (arrival.at + mix.deadline).saturating_sub(now);
        if left < 1000 {
            return;
        }
        let budget = Duration::from_micros(left);
        let number = {
            let mut ledger = world.ledger.borrow_mut();
            let (agent, at) = (arrival.agent, if n == 0 { arrival.at } else { now });
            ledger.client_attempts.push(ClientAttempt {
                call,
                agent,
                sent_at: at,
                responses: Vec::new(),
                excused: false,
                risk,
                advised_until: advised.take(),
            });
            ledger.client_attempts.len() - 1
        };
        let (class, tenant, hint) = (arrival.class, arrival.tenant, arrival.hint);
        let ask =
            ClientRequest { call, attempt: number, class, tenant, cost_hint: hint, is_retry: n > 0, budget };
        let patience = arrival.patience.map_or(budget + ANSWER_GRACE, |share| budget.mul_f64(share));
        let reply = timeout(patience, carrier.handle_request(arrival.agent, ask)).await;
        let now = world.now();
        let pause = Duration::from_micros(scenario.clients.backoff << n.min(10));
        // All servers drop a repeat for the window; a client that leaves itself room comes within it.
        let may_repeat = match mix.repeat_effect {
            RepeatEffect::Harmless => true,
            RepeatEffect::Deduplicated { everywhere, window } => {
                everywhere && now + window / 2 < arrival.at + window
            }
            RepeatEffect::Duplicated => false,
        };
        // Only a refusal says that a repeat is harmless; and where servers drop repeats, only for so long.
        let refused =
            matches!(reply, Ok(AgentReply::Response(ClientResponse::Rejected(_)) | AgentReply::Unreachable));
        risk += u32::from(
            !refused || matches!(mix.repeat_effect, RepeatEffect::Deduplicated { everywhere: true, .. }),
        );
        let tried = |change: &dyn Fn(&mut ClientAttempt)| {
            change(&mut world.ledger.borrow_mut().client_attempts[number]);
        };
        let wait = match reply {
            Ok(AgentReply::Response(answer)) => {
                tried(&|t| t.responses.push((now, answer)));
                match answer {
                    ClientResponse::Success => return,
                    ClientResponse::Rejected(advice) => {
                        let heeded = advice.filter(|_| scenario.clients.honors_retry_after);
                        advised = heeded.map(|wait| now + wait);
                        heeded.map_or(pause, |wait| Duration::from_micros(wait).max(pause))
                    }
                    ClientResponse::Failed if may_repeat => pause,
                    ClientResponse::Failed => return,
                }
            }
            Ok(AgentReply::Unreachable) => {
                tried(&|t| t.excused = true);
                pause
            }
            Ok(AgentReply::AgentDied) => {
                tried(&|t| t.excused = true);
                if !may_repeat {
                    return;
                }
                pause
            }
            Ok(AgentReply::ConnectionLost) => return,
            Err(_) => {
                tried(&|t| t.excused = arrival.patience.is_some());
                return;
            }
        };
        sleep(wait).await;
    }
}
