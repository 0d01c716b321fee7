//! Virtual mode: the engine with its decision module, or a plain policy, in simulated time. One thread, tasks in the order
//! in which they become ready, and every draw from a seed, so that a run can be repeated to the byte.

use crate::checker::ClientResponse;
use crate::emulation::{
    self, AgentReply, Agents, ClientRequest, ServerOutcome, World, CONNECT_TIMEOUT, KEEPALIVE_TIMEOUT,
};
use crate::memory::{HeapMeter, SAMPLES};
use crate::messages::EncodedRequest;
use crate::policy::{PlainPolicy, Policy, Transport};
use crate::record::{Mode, Run};
use crate::scenario::{EventKind, Scenario, TranslationBug};
use crate::server_model::{Micros, Reachability};
use crate::signal::Signal;
use heronhoist_decision::{ClassId, DialectId, Dialects, KeyId, Outcome, ServerId, Span, TenantId, Time};
use heronhoist_engine::*;
use heronhoist_translate::mixed_fleet::Sides;
use heronhoist_translate::Side;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::cell::{Cell, RefCell};
use std::collections::hash_map::DefaultHasher;
use std::collections::{HashMap, VecDeque};
use std::future::Future;
use std::hash::{Hash, Hasher};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until};

/// Discovery that has turned a call away is called again after this.
const ASK_AGAIN: Duration = Duration::from_secs(1);

/// The connections of one agent, and what becomes of what is sent on them.
pub struct AgentConnections {
    world: Rc<World>,
    agent: usize,
    /// By server: the life in which each came up, and since when it rests; the longest first.
    resting: RefCell<HashMap<usize, VecDeque<(u32, Micros)>>>,
    gone: Cell<bool>,
}

impl AgentConnections {
    /// One without connections.
    pub fn new(world: &Rc<World>, agent: usize) -> Rc<Self> {
        let net = AgentConnections {
            world: Rc::clone(world),
            agent,
            resting: RefCell::default(),
            gone: Cell::new(false),
        };
        Rc::new(net)
    }

    fn is_current(&self, server: usize, life: u32) -> bool {
        self.world.servers.borrow()[server].incarnation() == life
    }

    /// Closes what has rested for too long, or all.
    fn close(&self, server: usize, since: Micros) {
        let mut resting = self.resting.borrow_mut();
        let Some(all) = resting.get_mut(&server) else { return };
        while all.front().is_some_and(|(_, at)| *at <= since) {
            let (life, _) = all.pop_front().unwrap_or_default();
            self.world.disconnect(server, life);
        }
        if all.is_empty() {
            resting.remove(&server);
        }
    }

    /// Closes everything, as a process that ends does.
    fn end(&self) {
        self.gone.set(true);
        let mut servers: Vec<usize> = self.resting.borrow().keys().copied().collect();
        servers.sort_unstable();
        servers.into_iter().for_each(|server| self.close(server, Micros::MAX));
    }

    async fn connection(&self, server: usize) -> Result<u32, Outcome> {
        let now = self.world.now();
        self.close(server, now.saturating_sub(KEEPALIVE_TIMEOUT.as_micros() as Micros));
        loop {
            let rested = self.resting.borrow_mut().get_mut(&server).and_then(VecDeque::pop_back);
            match rested {
                Some((life, _)) if self.is_current(server, life) => return Ok(life),
                Some(_) => {}
                None => break,
            }
        }
        sleep(self.one_way_delay() * 2).await;
        let reach = self.world.servers.borrow()[server].reach();
        match reach {
            Reachability::Up if self.world.connect(server, Some(self.agent)) => {
                Ok(self.world.servers.borrow()[server].incarnation())
            }
            Reachability::Up | Reachability::Down => Err(Outcome::ConnectFailed),
            Reachability::Unresponsive => {
                sleep(CONNECT_TIMEOUT).await;
                Err(Outcome::ConnectFailed)
            }
        }
    }

    fn one_way_delay(&self) -> Duration {
        Duration::from_micros(self.world.scenario.fleet.one_way_delay)
    }
}

/// A connection in use: closed unless it is kept.
struct InUse<'a> {
    net: &'a AgentConnections,
    server: usize,
    life: u32,
    kept: bool,
}

impl Drop for InUse<'_> {
    fn drop(&mut self) {
        if self.kept && !self.net.gone.get() && self.net.is_current(self.server, self.life) {
            let now = self.net.world.now();
            self.net.resting.borrow_mut().entry(self.server).or_default().push_back((self.life, now));
        } else {
            self.net.world.disconnect(self.server, self.life);
        }
    }
}

impl Transport for AgentConnections {
    async fn attempt(&self, server: usize, ask: &ClientRequest, may_send: &dyn Fn() -> bool) -> Outcome {
        self.send(server, ask, None, may_send).await
    }
}

impl AgentConnections {
    /// One attempt; of what is `said` in one dialect, where both are spoken.
    async fn send(
        &self,
        server: usize,
        ask: &ClientRequest,
        said: Option<(&EncodedRequest, Side)>,
        may_send: &dyn Fn() -> bool,
    ) -> Outcome {
        let life = match self.connection(server).await {
            Ok(life) => life,
            Err(outcome) => return outcome,
        };
        let mut connection = InUse { net: self, server, life, kept: false };
        if !may_send() {
            connection.kept = true;
            return Outcome::NotSent;
        }
        let sent = (self.world.now(), server, self.agent);
        self.world.ledger.borrow_mut().sends.push(sent);
        sleep(self.one_way_delay()).await;
        if !self.is_current(server, life) {
            return Outcome::ConnectionReset;
        }
        let key = match said {
            Some((asked, side)) => match self.hear(server, ask, asked, side) {
                Some(key) => key,
                None => {
                    // It speaks otherwise by now and makes nothing of it.
                    sleep(self.one_way_delay()).await;
                    connection.kept = true;
                    return Outcome::ServerError;
                }
            },
            None => ask.call as u64,
        };
        let served = self.world.serve(server, ask.call, Some(ask.attempt), key).await;
        sleep(self.one_way_delay()).await;
        connection.kept = served != ServerOutcome::Reset;
        match served {
            ServerOutcome::Completed => Outcome::Success,
            ServerOutcome::Error => Outcome::ServerError,
            ServerOutcome::Rejected => Outcome::Rejected,
            ServerOutcome::Reset => Outcome::ConnectionReset,
        }
    }
}

impl AgentConnections {
    /// A server reads what it was sent: by which key it knows repeats of it; `None` if it does not speak that.
    fn hear(&self, server: usize, ask: &ClientRequest, asked: &EncodedRequest, side: Side) -> Option<u64> {
        let (messages, said) = (self.world.messages.as_ref()?, asked.message(side)?);
        if self.world.speaks_old.borrow()[server] != (side == Side::Old) {
            return None;
        }
        let mut ledger = self.world.ledger.borrow_mut();
        ledger.mistranslated += usize::from(!messages.is_expected_request(ask.class, ask.call, side, said));
        if side != asked.side {
            let count = &mut ledger.translated;
            *(if side == Side::Old { &mut count.0 } else { &mut count.1 }) += 1;
        }
        let key = messages.key_at_server(ask.class, side, said, asked.key());
        Some(key.map_or(ask.call as u64, |key| {
            let mut hasher = DefaultHasher::new();
            key.hash(&mut hasher);
            hasher.finish()
        }))
    }
}

/// A try as an agent holds it.
struct Held {
    ask: ClientRequest,
    said: Option<EncodedRequest>,
}

impl RequestPayload for Held {}

/// An answer, in the dialect of the server that gave it, where both are spoken.
type Answered = Option<(Side, Vec<u8>)>;

const OLD: DialectId = DialectId(1);

/// How an agent of ours reaches the servers.
struct Simulated {
    net: Rc<AgentConnections>,
    reports: bool,
    /// Which server of the module's list is which machine, and in which incarnation it was last met.
    places: RefCell<HashMap<ServerId, (usize, Incarnation)>>,
    /// What the planted leak keeps.
    leaked: RefCell<Vec<Vec<u8>>>,
}

impl Upstream for Simulated {
    type Address = usize;
    type Request = Held;
    type Response = Answered;

    async fn attempt(
        &self,
        place: EndpointAddress<usize>,
        call: &Held,
        gate: Gate<'_>,
    ) -> AttemptResult<Answered> {
        self.places.borrow_mut().insert(place.server, (place.address, place.incarnation));
        let side = if place.dialect == OLD { Side::Old } else { Side::New };
        let said = call.said.as_ref().map(|asked| (asked, side));
        if said.is_some_and(|(asked, side)| asked.message(side).is_none()) {
            return Outcome::NotSent.into();
        }
        let outcome = self.net.send(place.address, &call.ask, said, &|| gate.open()).await;
        if self.net.world.scenario.leak_bytes > 0 {
            self.leaked.borrow_mut().push(vec![0; self.net.world.scenario.leak_bytes]);
        }
        let report = (self.reports && outcome == Outcome::Success).then(|| {
            let world = &self.net.world;
            world.servers.borrow_mut()[place.address].load_report(world.now()).to_vec()
        });
        let answer = (outcome == Outcome::Success).then(|| {
            let messages = self.net.world.messages.as_ref().filter(|_| call.said.is_some())?;
            Some((side, messages.response(call.ask.class, call.ask.call, side)))
        });
        AttemptResult { response: answer, load_report: report, ..outcome.into() }
    }

    async fn health_check(&self, place: EndpointAddress<usize>) -> AttemptResult<Answered> {
        let world = &self.net.world;
        world.ledger.borrow_mut().probes += 1;
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, self.net.connection(place.address)).await;
        let life = match connected {
            Ok(Ok(life)) => life,
            Ok(Err(outcome)) => return outcome.into(),
            Err(_) => return Outcome::TimedOut.into(),
        };
        let mut connection = InUse { net: &self.net, server: place.address, life, kept: false };
        sleep(self.net.one_way_delay() * 2).await;
        if !self.net.is_current(place.address, life) {
            return Outcome::ConnectionReset.into();
        }
        if world.servers.borrow()[place.address].reach() != Reachability::Up {
            sleep(CONNECT_TIMEOUT).await;
            return Outcome::TimedOut.into();
        }
        connection.kept = true;
        Outcome::Success.into()
    }

    fn close_idle(&self, server: ServerId) {
        if let Some((server, _)) = self.places.borrow().get(&server) {
            self.net.close(*server, Micros::MAX);
        }
    }

    fn close_stale(&self, is_current: &dyn Fn(ServerId, Incarnation) -> bool) {
        // Servers that leave under ever new names are not kept. Another may have taken the machine's place by now.
        self.places.borrow_mut().retain(|server, (_, incarnation)| is_current(*server, *incarnation));
    }
}

/// Discovery as one agent hears it: late, through what room there is, and not at all while it is down.
struct Told {
    world: Rc<World>,
    agent: usize,
    /// The change that it has seen last.
    seen: u64,
}

impl EndpointSource<usize> for Told {
    fn run(mut self: Box<Self>, sink: EndpointSink<usize>) -> Pin<Box<dyn Future<Output = ()>>> {
        Box::pin(async move {
            let mut owed = true;
            loop {
                if !owed {
                    tokio::select! {
                        biased;
                        _ = self.world.changed.wait_for(|n| n != self.seen) => {}
                        () = sink.fetch_requested() => owed = true,
                    }
                }
                self.seen = self.world.changed.get();
                let (down, newest) = {
                    let registry = self.world.registry.borrow();
                    (registry.is_down(), registry.version())
                };
                if down {
                    if std::mem::take(&mut owed) {
                        sink.report_failure();
                    }
                    continue;
                }
                if !owed && sink.version() == Some(newest) {
                    continue;
                }
                sleep(self.world.notification_delay()).await;
                let whole = sink.version().is_none() || owed;
                let now = self.world.now();
                let (version, lines, written) = {
                    let mut registry = self.world.registry.borrow_mut();
                    let lines = registry.entries_since(if whole { None } else { sink.version() });
                    let written = registry.write_list(now, lines.len());
                    (registry.version(), lines, written)
                };
                let Some(written) = written else {
                    sink.report_failure();
                    sleep(ASK_AGAIN.mul_f64(0.5 + self.world.draw())).await;
                    continue;
                };
                sleep_until(self.world.instant(written)).await;
                owed = false;
                self.world.record_list_version(self.agent, version);
                sink.publish(EndpointList {
                    version,
                    is_complete: whole,
                    endpoints: lines.iter().map(member).collect(),
                });
            }
        })
    }
}

fn member(line: &crate::registry::ListEntry) -> EndpointInfo<usize> {
    EndpointInfo {
        state: line.state,
        dialect: if line.speaks_old { OLD } else { DialectId(0) },
        cell: line.building,
        started_at: line.started.map(Time),
        ..EndpointInfo::serving(&line.name, line.server)
    }
}

struct Life {
    pool: Pool<Simulated>,
    net: Rc<AgentConnections>,
    /// True once the process is dead.
    dead: Signal<bool>,
    runs: tokio::task::JoinHandle<()>,
}

/// Agents of ours.
struct Engines {
    world: Rc<World>,
    seed: u64,
    lives: RefCell<Vec<Option<Rc<Life>>>>,
    /// The list as each agent last had it: what its next life knows.
    known: RefCell<Vec<EndpointList<usize>>>,
    started: Cell<u64>,
}

impl Engines {
    fn new(world: &Rc<World>, seed: u64) -> Rc<Self> {
        let first = {
            let registry = world.registry.borrow();
            let members = registry.entries_since(None).iter().map(member).collect();
            EndpointList { version: registry.version(), is_complete: true, endpoints: members }
        };
        let agents = world.scenario.agents;
        let engines = Rc::new(Engines {
            world: Rc::clone(world),
            seed,
            lives: RefCell::new((0..agents).map(|_| None).collect()),
            known: RefCell::new(vec![first; agents]),
            started: Cell::new(0),
        });
        (0..agents).for_each(|agent| engines.start(agent));
        engines
    }

    fn start(self: &Rc<Self>, agent: usize) {
        let world = &self.world;
        let nonce = self.started.replace(self.started.get() + 1);
        let net = AgentConnections::new(world, agent);
        let known = self.known.borrow()[agent].clone();
        world.record_list_version(agent, known.version);
        let setup = PoolOptions {
            name: format!("a{agent}"),
            settings: world.scenario.settings.clone(),
            seed: self.seed.wrapping_mul(1_000_003).wrapping_add(nonce),
            server_names: ServerNames::default(),
            initial_list: Some(known),
            continues_versions: true,
            epoch: Some(Time(world.now())),
            upstream: Simulated {
                net: Rc::clone(&net),
                reports: world.scenario.settings.report_source != heronhoist_decision::ReportSource::None,
                places: RefCell::default(),
                leaked: RefCell::default(),
            },
            request_quota: Quota::single_share(100_000),
        };
        let pool = Pool::new(setup).expect("a scenario's settings are usable");
        let told = Told { world: Rc::clone(world), agent, seen: 0 };
        let runs = spawn_local(pool.clone().run(Box::new(told)));
        let life = Life { pool, net, dead: Signal::new(false), runs };
        self.lives.borrow_mut()[agent] = Some(Rc::new(life));
    }

    /// The list that a process leaves behind is as old as its end.
    fn end(&self, agent: usize) -> Option<Rc<Life>> {
        let life = self.lives.borrow_mut()[agent].take()?;
        let version =
            self.world.ledger.borrow().list_versions[agent].last().map_or(1, |(_, version)| *version);
        let registry = self.world.registry.borrow();
        if version == registry.version() {
            let members = registry.entries_since(None).iter().map(member).collect();
            self.known.borrow_mut()[agent] = EndpointList { version, is_complete: true, endpoints: members };
        }
        Some(life)
    }
}

impl Engines {
    /// What a client says and where that may go, where both dialects are spoken.
    fn say(&self, life: &Life, ask: &ClientRequest) -> Result<Option<EncodedRequest>, ()> {
        let (Some(messages), Some(mixed)) = (&self.world.messages, &self.world.scenario.dialects) else {
            return Ok(None);
        };
        // A client speaks the same each time.
        let draw = |salt: u64| {
            let mut rng = Pcg64::seed_from_u64((ask.call as u64).wrapping_mul(7) + salt);
            rng.random::<f64>()
        };
        let side = if draw(0) < mixed.old_clients { Side::Old } else { Side::New };
        let serving = life.pool.serving_dialects();
        let serving = Sides { old: serving.contains(OLD), new: serving.contains(DialectId(0)) };
        let asked = messages.encode_request(ask.class, ask.call, side, draw(1) < mixed.own_keys, serving);
        let mut asked = asked.ok_or(())?;
        match mixed.bug {
            TranslationBug::Absent => {}
            TranslationBug::WrongKeys => asked.corrupt_key(),
            TranslationBug::WrongFields => asked.corrupt_field(),
        }
        Ok(Some(asked))
    }

    /// A server's answer on its way to the client.
    fn pass_on(&self, ask: &ClientRequest, side: Option<Side>, answered: Answered) -> ClientResponse {
        let (Some(messages), Some(side), Some((from, bytes))) = (&self.world.messages, side, answered) else {
            return ClientResponse::Success;
        };
        let bytes =
            if from == side { Some(bytes) } else { messages.translate_response(ask.class, from, &bytes) };
        let Some(bytes) = bytes else { return ClientResponse::Failed };
        let is_true = messages.is_expected_response(ask.class, ask.call, side, &bytes);
        self.world.ledger.borrow_mut().mistranslated += usize::from(!is_true);
        ClientResponse::Success
    }
}

impl Agents for Engines {
    async fn handle_request(&self, agent: usize, ask: ClientRequest) -> AgentReply {
        let life = self.lives.borrow()[agent].clone();
        let Some(life) = life else { return AgentReply::Unreachable };
        let Ok(said) = self.say(&life, &ask) else { return AgentReply::Response(ClientResponse::Failed) };
        let dialects = said.as_ref().map_or(Dialects::ALL, |asked| {
            let Sides { old, new } = asked.sides();
            let with =
                |all: Dialects, (is, dialect): (bool, DialectId)| if is { all.with(dialect) } else { all };
            [(new, DialectId(0)), (old, OLD)].into_iter().fold(Dialects::NONE, with)
        });
        let side = said.as_ref().map(|asked| asked.side);
        let request = NewRequest {
            correlation_id: None,
            dialects,
            tenant: (!self.world.scenario.tenants.is_empty()).then_some(TenantId(ask.tenant)),
            key: Some(KeyId(ask.call as u64)),
            cost_hint: ask.cost_hint.map(Span),
            is_retry: ask.is_retry,
            ..NewRequest::new(Held { ask, said }, ClassId(ask.class), ask.budget)
        };
        let pending = match life.pool.submit(request) {
            Err(declined) => {
                return AgentReply::Response(ClientResponse::Rejected(
                    declined.retry_after().map(|wait| wait.0),
                ));
            }
            Ok(pending) => pending,
        };
        tokio::select! {
            biased;
            _ = life.dead.wait_for(|dead| dead) => AgentReply::AgentDied,
            answer = pending.wait(|deadline| deadline) => AgentReply::Response(match answer {
                FinalResponse::Success(answered) => self.pass_on(&ask, side, answered),
                FinalResponse::Rejected(wait) => ClientResponse::Rejected(wait.map(|wait| wait.0)),
                FinalResponse::Failed | FinalResponse::DeadlineExceeded | FinalResponse::IncompleteRequest => ClientResponse::Failed,
            }),
        }
    }

    fn apply_agent_event(self: &Rc<Self>, agent: usize, what: EventKind) {
        match what {
            EventKind::KillAgent => {
                if let Some(life) = self.end(agent) {
                    life.dead.set(true);
                    life.runs.abort();
                    life.net.end();
                }
            }
            EventKind::StopAgent => {
                if let Some(life) = self.end(agent) {
                    life.pool.close();
                }
            }
            EventKind::StartAgent if self.lives.borrow()[agent].is_none() => self.start(agent),
            EventKind::UpgradeAgent => {
                let old = self.end(agent);
                self.start(agent);
                if let Some(old) = old {
                    old.pool.close();
                }
            }
            EventKind::ReloadAgent => {
                if let Some(life) = &self.lives.borrow()[agent] {
                    let settings = &self.world.scenario.settings;
                    let classes = (0..settings.classes.len()).map(ClassId).collect();
                    life.pool.update_settings(settings.clone(), classes, &[]);
                }
            }
            _ => {}
        }
    }
}

/// Writes down, evenly over the run, what the process holds beside what the run itself writes down.
fn look_at_memory(world: &Rc<World>) {
    let (meter, world, pause) =
        (HeapMeter::start(), Rc::clone(world), world.scenario.duration / (SAMPLES + 1));
    spawn_local(async move {
        for look in 1..=SAMPLES {
            sleep_until(world.instant(look * pause)).await;
            let (now, held) = (world.now(), meter.held_bytes() - world.recorded_bytes());
            world.ledger.borrow_mut().memory.push((now, held));
        }
    });
}

/// Plays a scenario with a seed; `progress` hears how far it has come.
pub fn run(scenario: &Scenario, policy: Policy, seed: u64, progress: impl Fn(Micros)) -> Run {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.expect("a runtime without sockets");
    let begun = std::time::Instant::now();
    let mut run = LocalSet::new().block_on(&runtime, async {
        let world = World::new(scenario, seed);
        world.spawn_servers();
        if scenario.requirements.memory_growth.is_some() {
            look_at_memory(&world);
        }
        let whole = match policy {
            Policy::Heronhoist => {
                let engines = Engines::new(&world, seed);
                let whole = emulation::run_clients(&world, &engines, seed, progress).await;
                for life in engines.lives.borrow().iter().flatten() {
                    life.pool.close();
                }
                whole
            }
            _ => {
                let nets = (0..scenario.agents).map(|agent| AgentConnections::new(&world, agent)).collect();
                let plain = PlainPolicy::new(policy, Rc::clone(&world), nets, !seed);
                emulation::run_clients(&world, &plain, seed, progress).await
            }
        };
        Run::from_emulation(&world, Mode::Virtual, policy, seed, whole)
    });
    run.seconds = begun.elapsed().as_secs_f64();
    run
}

#[cfg(test)]
mod tests;
