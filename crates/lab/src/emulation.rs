//! The parts that both modes share: the servers, the timeline of events, and the clients. Time is `tokio`'s, which is simulated
//! in virtual mode and the machine's in real mode. Every random draw comes from the seed.

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

/// Set when the user interrupts the run. The checker then evaluates what has happened so far.
pub static INTERRUPTED: AtomicBool = AtomicBool::new(false);

/// A client waits this long beyond the deadline; a later response does not count as a final response.
const RESPONSE_GRACE: Duration = Duration::from_millis(250);
/// An attempt to connect that takes longer than this has failed.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// A connection that has been idle for this long is closed.
pub const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval at which the servers' load is sampled.
const LOAD_SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// After this time a change in discovery counts as known to every agent, whether it was delivered or not.
const MAX_NOTIFICATION_DELAY: Micros = 6_000_000;
/// Servers remember keys for longer than the deduplication window by this. The window counts from the sending of the first
/// attempt to the sending of a repeat, and one of them may take longer to arrive than the other.
const DEDUPLICATION_SLACK: Micros = 50_000;
/// The load of at most this many servers is sampled, which is as many as plots show.
const MAX_SAMPLED_SERVERS: usize = 64;

/// The outcome of a request at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerOutcome {
    /// The request ran.
    Completed,
    /// The request ran, and its response is an injected error.
    Error,
    /// The request was rejected and had no effect.
    Rejected,
    /// The server died before it completed the request.
    Reset,
}

type JobWaiters = BTreeMap<JobId, oneshot::Sender<()>>;

/// The emulated servers and discovery, and the ledger of the run.
pub struct World {
    /// The scenario that is run.
    pub scenario: Scenario,
    start: Cell<Instant>,
    /// The model of each server.
    pub servers: RefCell<Vec<Server>>,
    /// The incarnation and reachability of each server, for tasks that wait for a change.
    pub reachability: Vec<Signal<(u32, Reachability)>>,
    /// Whether each server speaks the old dialect.
    pub speaks_old: RefCell<Vec<bool>>,
    /// The messages of a scenario with mixed dialects.
    pub messages: Option<MessageCorpus>,
    /// The record of the run, which the checker evaluates.
    pub ledger: RefCell<Ledger>,
    /// The state of discovery.
    pub registry: RefCell<Registry>,
    /// Incremented when discovery's list changes, and when discovery goes down or comes back up.
    pub changed: Signal<u64>,
    /// The number of requests that servers have received, if requests are served without being checked.
    pub unchecked_requests: Cell<Option<u64>>,
    /// Samples of each server's requests in flight.
    pub load_samples: RefCell<Vec<(Micros, Vec<u32>)>>,
    call_work: RefCell<Vec<Micros>>,
    job_waiters: RefCell<Vec<JobWaiters>>,
    wakeups: Vec<Notify>,
    deduplication_memories: RefCell<Vec<DeduplicationMemory>>,
    error_shares: RefCell<Vec<f64>>,
    /// When each server last started, and the list version that announced it.
    last_starts: RefCell<Vec<(Micros, i64)>>,
    speed_factors: RefCell<Vec<f64>>,
    rng: RefCell<Pcg64>,
    next_job_id: Cell<JobId>,
    /// Size in bytes of the arrivals drawn in advance.
    arrival_bytes: Cell<usize>,
}

impl World {
    /// Creates the world of a run, in which all servers are up and warm.
    pub fn new(scenario: &Scenario, seed: u64) -> Rc<Self> {
        let fleet = &scenario.fleet;
        let mut rng = Pcg64::seed_from_u64(seed ^ 0x5eed_0f5e_7e75);
        let speed_factors: Vec<f64> = (0..fleet.servers)
            .map(|_| if rng.random::<f64>() < fleet.slow.0 { fleet.slow.1 } else { 1.0 })
            .collect();
        let mut servers = vec![Server::new(fleet.server_spec.clone()); fleet.servers];
        servers.iter_mut().zip(&speed_factors).for_each(|(server, factor)| server.set_speed_factor(*factor));
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
            call_work: RefCell::default(),
            job_waiters: RefCell::new((0..fleet.servers).map(|_| BTreeMap::new()).collect()),
            wakeups: (0..fleet.servers).map(|_| Notify::new()).collect(),
            deduplication_memories: RefCell::new(vec![
                DeduplicationMemory::default();
                scenario.classes.len()
            ]),
            error_shares: RefCell::new(vec![0.0; fleet.servers]),
            last_starts: RefCell::new(vec![(0, 0); fleet.servers]),
            speed_factors: RefCell::new(speed_factors),
            rng: RefCell::new(rng),
            next_job_id: Cell::new(0),
            arrival_bytes: Cell::new(0),
            scenario: scenario.clone(),
        })
    }

    /// Starts the clock of the run. Discards earlier load samples, and dates the list versions known so far to the start.
    pub fn start_clock(&self) {
        self.start.set(Instant::now());
        self.load_samples.borrow_mut().clear();
        self.ledger.borrow_mut().list_versions.iter_mut().flatten().for_each(|entry| entry.0 = 0);
    }

    /// Serves all requests from now on without checking them. One call in the ledger represents all requests of a class.
    pub fn accept_unchecked_requests(&self) {
        self.unchecked_requests.set(Some(0));
        let classes = self.scenario.classes.iter().enumerate();
        self.call_work.replace(classes.clone().map(|(_, mix)| mix.work).collect());
        let call = |(class, _): (usize, &crate::scenario::ClassMix)| Call {
            scheduled_at: 0,
            class,
            tenant: 0,
            repeat_effect: RepeatEffect::Harmless,
            effects: Vec::new(),
        };
        self.ledger.borrow_mut().calls = classes.map(call).collect();
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Micros {
        self.start.get().elapsed().as_micros() as Micros
    }

    /// Converts a time of the run to an instant.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start.get() + Duration::from_micros(at)
    }

    /// Draws a random number in 0..1.
    pub fn draw(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    /// Draws the delay after which an agent is notified of a change, which differs between agents.
    pub fn notification_delay(&self) -> Duration {
        let delay = self.scenario.registry.notification_delay as f64 * (0.5 + self.draw());
        Duration::from_micros(delay as u64)
    }

    /// Records that an agent has received this version of the list.
    pub fn record_list_version(&self, agent: usize, version: i64) {
        let now = self.now();
        self.ledger.borrow_mut().list_versions[agent].push((now, version));
    }

    /// Whether the sender knows of a server's last start. A sender that is no known agent counts as knowing, and so does every
    /// agent [`MAX_NOTIFICATION_DELAY`] after the start.
    fn knows_of_start(&self, server: usize, agent: Option<usize>) -> bool {
        let (started_at, version) = self.last_starts.borrow()[server];
        let last_list = agent.and_then(|agent| self.ledger.borrow().list_versions[agent].last().copied());
        last_list.is_none_or(|(_, known)| known >= version)
            || self.now() > started_at + MAX_NOTIFICATION_DELAY
    }

    /// Opens a connection to a server. Returns false if the server holds as many as it may.
    pub fn connect(&self, server: usize, agent: Option<usize>) -> bool {
        let now = self.now();
        self.advance_server(server, now);
        let knows_start = self.knows_of_start(server, agent);
        let mut servers = self.servers.borrow_mut();
        let accepted = servers[server].connect(now, knows_start);
        let mut ledger = self.ledger.borrow_mut();
        ledger.connections_opened += u64::from(accepted);
        ledger.max_open_connections = ledger.max_open_connections.max(servers[server].max_open_connections);
        drop((servers, ledger));
        self.wakeups[server].notify_one();
        accepted
    }

    /// Closes a connection that was opened in this incarnation of a server.
    pub fn disconnect(&self, server: usize, incarnation: u32) {
        self.servers.borrow_mut()[server].disconnect(incarnation);
    }

    /// Advances a server to `now` and notifies the waiters of the jobs that have completed.
    fn advance_server(&self, server: usize, now: Micros) {
        let completed_jobs = self.servers.borrow_mut()[server].advance(now);
        let mut job_waiters = self.job_waiters.borrow_mut();
        for job in completed_jobs {
            if let Some(waiter) = job_waiters[server].remove(&job) {
                let _ = waiter.send(());
            }
        }
    }

    /// Serves a request that a server has received completely, as part of the given attempt of a client. The server recognizes
    /// repeats of the call by `key`. Dropping the future cancels the request.
    pub async fn serve(&self, server: usize, call: usize, attempt: Option<usize>, key: u64) -> ServerOutcome {
        let now = self.now();
        self.advance_server(server, now);
        let (class, repeat_effect, agent, risk) = {
            let ledger = self.ledger.borrow();
            let attempt = attempt.map(|attempt| &ledger.client_attempts[attempt]);
            let (agent, risk) =
                (attempt.map(|attempt| attempt.agent), attempt.map_or(0, |attempt| attempt.risk));
            (ledger.calls[call].class, ledger.calls[call].repeat_effect, agent, risk)
        };
        let knows_start = self.knows_of_start(server, agent);
        let job = self.next_job_id.replace(self.next_job_id.get() + 1);
        let work = self.call_work.borrow()[call];
        let fleet = &self.scenario.fleet;
        let (memory_window, scope) = match repeat_effect {
            RepeatEffect::Deduplicated { everywhere: false, window } => {
                (Some(window + DEDUPLICATION_SLACK), building(server, fleet.servers, fleet.buildings))
            }
            RepeatEffect::Deduplicated { everywhere: true, window } => {
                (Some(window + DEDUPLICATION_SLACK), 0)
            }
            RepeatEffect::Harmless | RepeatEffect::Duplicated => (None, 0),
        };
        let is_repeat = memory_window.is_some_and(|window| {
            self.deduplication_memories.borrow_mut()[class].contains(now, scope, key, window)
        });
        // A repeat that the server remembers costs only a lookup.
        let admission = self.servers.borrow_mut()[server].submit(
            now,
            job,
            if is_repeat { work / 10 } else { work },
            knows_start,
        );
        match admission {
            Admission::Accepted => {}
            Admission::Rejected => return ServerOutcome::Rejected,
            Admission::Unresponsive => std::future::pending().await,
            Admission::Down => {
                // This request may have crashed a cold server, in which case the server's other requests fail too.
                self.publish_reachability(server);
                return ServerOutcome::Reset;
            }
        }
        if let Some(window) = memory_window {
            self.deduplication_memories.borrow_mut()[class].record(now, scope, key, window);
        }
        if !is_repeat && self.unchecked_requests.get().is_none() {
            self.ledger.borrow_mut().calls[call].effects.push((now, server, risk));
        }
        let (waiter, completed) = oneshot::channel();
        self.job_waiters.borrow_mut()[server].insert(job, waiter);
        self.wakeups[server].notify_one();
        let _guard = JobGuard { world: self, server, job };
        if completed.await.is_err() {
            return ServerOutcome::Reset;
        }
        if self.servers.borrow()[server].reach() == Reachability::Unresponsive {
            std::future::pending::<()>().await;
        }
        let error_share = self.error_shares.borrow()[server];
        if error_share > 0.0 && self.draw() < error_share {
            return ServerOutcome::Error;
        }
        ServerOutcome::Completed
    }

    /// Publishes a server's incarnation and reachability, and fails all its pending requests if it is down.
    fn publish_reachability(&self, server: usize) {
        let current = {
            let servers = self.servers.borrow();
            (servers[server].incarnation(), servers[server].reach())
        };
        if current.1 == Reachability::Down {
            self.job_waiters.borrow_mut()[server].clear();
        }
        if self.reachability[server].get() != current {
            self.reachability[server].set(current);
        }
    }

    /// Spawns the tasks that run the servers, sample their load and vary their speed. They never end.
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
                                () = world.wakeups[server].notified() => continue,
                            }
                        }
                        None => world.wakeups[server].notified().await,
                    }
                    world.advance_server(server, world.now());
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
                let load = world
                    .servers
                    .borrow()
                    .iter()
                    .take(MAX_SAMPLED_SERVERS)
                    .map(|server| server.load() as u32)
                    .collect();
                world.load_samples.borrow_mut().push((now, load));
                sleep(LOAD_SAMPLE_INTERVAL).await;
            }
        });
        if self.scenario.fleet.noisy.0 > 0.0 {
            let world = Rc::clone(self);
            spawn_local(async move {
                let (share, factor) = world.scenario.fleet.noisy;
                loop {
                    for server in 0..world.scenario.fleet.servers {
                        let neighbour_factor = if world.draw() < share { factor } else { 1.0 };
                        let base_factor = world.speed_factors.borrow()[server];
                        world.servers.borrow_mut()[server].set_speed_factor(base_factor * neighbour_factor);
                    }
                    sleep(Duration::from_secs(1)).await;
                }
            });
        }
    }

    /// Applies an event to servers or discovery. Events of agents go to [`Agents::apply_agent_event`].
    fn apply_event(&self, event: &Event) {
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
            self.advance_server(server, now);
            {
                let target = &mut self.servers.borrow_mut()[server];
                match event.kind {
                    EventKind::Kill | EventKind::Crash => target.kill(),
                    kind if kind.starts_servers() => target.start(now),
                    EventKind::Isolate => target.set_unresponsive(true),
                    EventKind::Reconnect => target.set_unresponsive(false),
                    EventKind::Stall => target.set_stalled(now, true),
                    EventKind::Resume => target.set_stalled(now, false),
                    EventKind::SetSpeed(factor) => {
                        self.speed_factors.borrow_mut()[server] = factor;
                        target.set_speed_factor(factor);
                    }
                    EventKind::FailResponses(share) => self.error_shares.borrow_mut()[server] = share,
                    _ => {}
                }
            }
            if event.kind.starts_servers() {
                // Fails the pending requests of the earlier incarnation. `publish_reachability` does this only for a server
                // that is down.
                self.job_waiters.borrow_mut()[server].clear();
            }
            self.publish_reachability(server);
            self.wakeups[server].notify_one();
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
                kind if kind.starts_servers() => {
                    ledger
                        .unavailable
                        .iter_mut()
                        .filter(|period| period.server == server && period.until.is_none())
                        .for_each(|period| period.until = Some(now));
                    let version = match event.kind {
                        EventKind::Replace
                        | EventKind::ReplaceWithNewDialect
                        | EventKind::ReplaceWithOldDialect => registry.replace(server, now),
                        _ => registry.set(server, EndpointState::Serving, Some(now)),
                    };
                    let speaks_old = &mut self.speaks_old.borrow_mut()[server];
                    *speaks_old = match event.kind {
                        EventKind::ReplaceWithNewDialect => false,
                        EventKind::ReplaceWithOldDialect => true,
                        EventKind::SwitchDialect => !*speaks_old,
                        _ => *speaks_old,
                    };
                    registry.set_dialect(server, *speaks_old);
                    self.last_starts.borrow_mut()[server] = (now, version);
                }
                _ => {}
            }
        }
        self.changed.set(self.changed.get() + 1);
    }

    /// Takes the ledger after the run and fills in the totals of the servers and discovery.
    pub fn take_ledger(&self) -> Ledger {
        let mut ledger = self.ledger.take();
        let servers = self.servers.borrow();
        ledger.cold_crashes = servers.iter().map(|server| server.cold_crashes.1).sum();
        ledger.list_entries = self.registry.borrow().entries_written;
        ledger
    }

    /// Returns the size in bytes of the run's records and of the arrivals drawn in advance.
    pub fn recorded_bytes(&self) -> i64 {
        let load = self.load_samples.borrow();
        let load_bytes = load.capacity() * size_of::<(Micros, Vec<u32>)>()
            + load.iter().map(|(_, by_server)| by_server.capacity() * size_of::<u32>()).sum::<usize>();
        let work_bytes = self.call_work.borrow().capacity() * size_of::<Micros>();
        crate::memory::ledger_bytes(&self.ledger.borrow())
            + (load_bytes + work_bytes + self.arrival_bytes.get() + self.registry.borrow().held_bytes())
                as i64
    }

    /// Returns the highest load on a cold server, as a multiple of its capacity.
    pub fn worst_cold_load(&self) -> f64 {
        self.servers.borrow().iter().map(|server| server.worst_cold_load).fold(0.0, f64::max)
    }
}

/// Cancels a job when the future that waits for it is dropped.
struct JobGuard<'a> {
    world: &'a World,
    server: usize,
    job: JobId,
}

impl Drop for JobGuard<'_> {
    fn drop(&mut self) {
        if self.world.job_waiters.borrow_mut()[self.server].remove(&self.job).is_some() {
            let now = self.world.now();
            self.world.servers.borrow_mut()[self.server].cancel(now, self.job);
            self.world.wakeups[self.server].notify_one();
        }
    }
}

/// One attempt of a client, as it sends it to its agent.
#[derive(Debug, Clone, Copy)]
pub struct ClientRequest {
    /// The call's index in the ledger.
    pub call: usize,
    /// The attempt's index in the ledger.
    pub attempt: usize,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// The client's estimate of the work.
    pub cost_hint: Option<Micros>,
    /// Whether the client has tried this call before.
    pub is_retry: bool,
    /// Time until the client's deadline.
    pub budget: Duration,
}

/// The result of an attempt as its client sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AgentReply {
    /// The agent sent a final response.
    Response(ClientResponse),
    /// No agent accepted the connection.
    Unreachable,
    /// The agent was killed before it responded.
    AgentDied,
    /// The agent is alive, but the connection ended without a complete response, or with one that no server sent.
    ConnectionLost,
}

/// A set of agents of any kind, which forward the clients' requests to the servers.
pub trait Agents: 'static {
    /// Handles one attempt of a client. Dropping the future cancels it.
    fn handle_request(&self, agent: usize, request: ClientRequest) -> impl Future<Output = AgentReply>;
    /// Applies an event to an agent.
    fn apply_agent_event(self: &Rc<Self>, agent: usize, kind: EventKind);
}

/// A call drawn in advance.
struct Arrival {
    scheduled_at: Micros,
    agent: usize,
    class: usize,
    tenant: usize,
    work: Micros,
    cost_hint: Option<Micros>,
    /// The share of the remaining time after which the client cancels each attempt, if it cancels early.
    cancel_after_share: Option<f64>,
}

/// Draws an index with the given weights.
fn draw_weighted_index(rng: &mut Pcg64, shares: impl Iterator<Item = f64> + Clone) -> usize {
    let mut remaining = rng.random::<f64>() * shares.clone().sum::<f64>();
    let count = shares.clone().count();
    let index = shares.into_iter().position(|share| {
        remaining -= share;
        remaining < 0.0
    });
    index.unwrap_or(count.saturating_sub(1))
}

/// Draws all arrivals in advance, so that a slow response never delays later calls.
fn draw_arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let clients = &scenario.clients;
    let surge = clients.surges.iter().map(|(_, factor)| factor.max(1.0)).product::<f64>();
    let peak = clients.rate * (1.0 + clients.wave) * surge;
    let mut times = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / peak * 1e6;
        if at >= scenario.duration as f64 {
            break;
        }
        let phase = at / clients.wave_period as f64 * std::f64::consts::TAU;
        let surge = clients.surges.iter().filter(|(period, _)| period.contains(&(at as Micros)));
        let rate = clients.rate
            * (1.0 + clients.wave * phase.sin())
            * surge.map(|(_, factor)| factor).product::<f64>();
        // Thinning a Poisson process keeps the arrivals independent of each other while the rate changes.
        if rng.random::<f64>() * peak < rate {
            times.push(at as Micros);
        }
    }
    for (period, requests) in &clients.herds {
        times.extend((0..*requests).map(|_| rng.random_range(period.clone())));
    }
    times.sort_unstable();
    let mut draw_arrival = |scheduled_at| {
        let class = draw_weighted_index(&mut rng, scenario.classes.iter().map(|class| class.share));
        let mix = &scenario.classes[class];
        // The distribution has a mean of 1, whatever its spread, so that the mean work is that of the class.
        let scale = match mix.tail_exponent {
            Some(exponent) => Pareto::new((exponent - 1.0) / exponent, exponent)
                .map_or(1.0, |distribution| distribution.sample(&mut rng)),
            None => LogNormal::new(-mix.work_spread * mix.work_spread / 2.0, mix.work_spread)
                .map_or(1.0, |distribution| distribution.sample(&mut rng)),
        };
        let work = (mix.work as f64 * scale).clamp(1.0, 1e9) as Micros;
        let hint_error = 0.7 + 0.6 * rng.random::<f64>();
        let agent = rng.random_range(0..scenario.agents);
        let tenant = draw_weighted_index(&mut rng, scenario.tenants.iter().map(|(_, share)| *share));
        let cancels_early = rng.random::<f64>() < clients.early_cancel_share;
        let cancel_after_share = cancels_early.then(|| rng.random::<f64>());
        let cost_hint = mix.sends_cost_hints.then_some((work as f64 * hint_error) as Micros);
        Arrival { scheduled_at, agent, class, tenant, work, cost_hint, cancel_after_share }
    };
    times.into_iter().map(&mut draw_arrival).collect()
}

/// Runs a scenario: makes all calls, applies all events, and returns when every call has ended. Returns false if the run was
/// interrupted.
pub async fn run_clients<C: Agents>(
    world: &Rc<World>,
    agents: &Rc<C>,
    seed: u64,
    progress: impl Fn(Micros),
) -> bool {
    let scenario = world.scenario.clone();
    let arrivals = draw_arrivals(&scenario, seed);
    world.arrival_bytes.set(arrivals.capacity() * size_of::<Arrival>());
    let timeline = {
        let (world, agents) = (Rc::clone(world), Rc::clone(agents));
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
                        event.targets.clone().for_each(|agent| agents.apply_agent_event(agent, event.kind));
                    }
                    _ => world.apply_event(&event),
                }
            }
        })
    };
    let pending = Rc::new(Cell::new(0_usize));
    let mut complete = true;
    for arrival in arrivals {
        sleep_until(world.instant(arrival.scheduled_at)).await;
        if INTERRUPTED.load(Ordering::Relaxed) {
            complete = false;
            break;
        }
        progress(arrival.scheduled_at);
        let (world, agents, pending) = (Rc::clone(world), Rc::clone(agents), Rc::clone(&pending));
        pending.set(pending.get() + 1);
        spawn_local(async move {
            run_call(&world, &*agents, arrival).await;
            pending.set(pending.get() - 1);
        });
    }
    while pending.get() > 0 {
        sleep(Duration::from_millis(10)).await;
    }
    if complete {
        let _ = timeline.await;
    }
    wait_for_last_sends(world).await;
    complete
}

/// Waits until attempts that were sent at the very end have reached their servers.
async fn wait_for_last_sends(world: &World) {
    sleep(Duration::from_micros(2 * world.scenario.fleet.one_way_delay) + Duration::from_millis(20)).await;
}

/// Runs one call of a client, from its first attempt to its last.
async fn run_call(world: &World, agents: &impl Agents, arrival: Arrival) {
    let scenario = &world.scenario;
    let mix = &scenario.classes[arrival.class];
    let call = {
        world.call_work.borrow_mut().push(arrival.work);
        let mut ledger = world.ledger.borrow_mut();
        ledger.calls.push(Call {
            scheduled_at: arrival.scheduled_at,
            class: arrival.class,
            tenant: arrival.tenant,
            repeat_effect: mix.repeat_effect,
            effects: Vec::new(),
        });
        ledger.calls.len() - 1
    };
    let (mut advised_until, mut risk) = (None, 0);
    for attempt_number in 0..scenario.clients.max_attempts {
        let now = world.now();
        let remaining = (arrival.scheduled_at + mix.deadline).saturating_sub(now);
        if remaining < 1000 {
            return;
        }
        let budget = Duration::from_micros(remaining);
        let attempt = {
            let mut ledger = world.ledger.borrow_mut();
            let (agent, sent_at) =
                (arrival.agent, if attempt_number == 0 { arrival.scheduled_at } else { now });
            ledger.client_attempts.push(ClientAttempt {
                call,
                agent,
                sent_at,
                responses: Vec::new(),
                excused: false,
                risk,
                advised_until: advised_until.take(),
            });
            ledger.client_attempts.len() - 1
        };
        let (class, tenant, cost_hint) = (arrival.class, arrival.tenant, arrival.cost_hint);
        let request =
            ClientRequest { call, attempt, class, tenant, cost_hint, is_retry: attempt_number > 0, budget };
        let client_timeout =
            arrival.cancel_after_share.map_or(budget + RESPONSE_GRACE, |share| budget.mul_f64(share));
        let reply = timeout(client_timeout, agents.handle_request(arrival.agent, request)).await;
        let now = world.now();
        let backoff = Duration::from_micros(scenario.clients.backoff << attempt_number.min(10));
        // Servers ignore repeats within the window. The client repeats only in the first half of it, so that the repeat
        // arrives in time.
        let may_repeat = match mix.repeat_effect {
            RepeatEffect::Harmless => true,
            RepeatEffect::Deduplicated { everywhere, window } => {
                everywhere && now + window / 2 < arrival.scheduled_at + window
            }
            RepeatEffect::Duplicated => false,
        };
        // Only a rejection guarantees that a repeat is harmless. Where servers ignore repeats, each attempt counts as a
        // separate risk, since they do so only within the window.
        let rejected =
            matches!(reply, Ok(AgentReply::Response(ClientResponse::Rejected(_)) | AgentReply::Unreachable));
        risk += u32::from(
            !rejected || matches!(mix.repeat_effect, RepeatEffect::Deduplicated { everywhere: true, .. }),
        );
        let update_attempt = |change: &dyn Fn(&mut ClientAttempt)| {
            change(&mut world.ledger.borrow_mut().client_attempts[attempt]);
        };
        let retry_delay = match reply {
            Ok(AgentReply::Response(response)) => {
                update_attempt(&|attempt| attempt.responses.push((now, response)));
                match response {
                    ClientResponse::Success => return,
                    ClientResponse::Rejected(retry_after) => {
                        let honored_delay = retry_after.filter(|_| scenario.clients.honors_retry_after);
                        advised_until = honored_delay.map(|delay| now + delay);
                        honored_delay.map_or(backoff, |delay| Duration::from_micros(delay).max(backoff))
                    }
                    ClientResponse::Failed if may_repeat => backoff,
                    ClientResponse::Failed => return,
                }
            }
            Ok(AgentReply::Unreachable) => {
                update_attempt(&|attempt| attempt.excused = true);
                backoff
            }
            Ok(AgentReply::AgentDied) => {
                update_attempt(&|attempt| attempt.excused = true);
                if !may_repeat {
                    return;
                }
                backoff
            }
            Ok(AgentReply::ConnectionLost) => return,
            Err(_) => {
                update_attempt(&|attempt| attempt.excused = arrival.cancel_after_share.is_some());
                return;
            }
        };
        sleep(retry_delay).await;
    }
}
