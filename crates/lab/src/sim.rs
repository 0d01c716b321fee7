//! Virtual mode: runs the engine with its decision module, or a simple policy, in simulated time. There is one thread, tasks
//! run in the order in which they become ready, and every random draw comes from the seed, so a run can be reproduced exactly.

use crate::checker::ClientResponse;
use crate::emulation::{
    self, AgentReply, Agents, ClientRequest, ServerOutcome, World, CONNECT_TIMEOUT, KEEPALIVE_TIMEOUT,
};
use crate::memory::{HeapMeter, SAMPLES};
use crate::messages::EncodedRequest;
use crate::policy::{Policy, SimplePolicy, Transport};
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

/// Mean delay before an agent fetches the list again after discovery has rejected a fetch.
const DISCOVERY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The simulated connections of one agent, and the attempts that are sent on them.
pub struct AgentConnections {
    world: Rc<World>,
    agent: usize,
    /// By server: the server's incarnation when each connection was opened, and since when it is idle; longest idle first.
    idle: RefCell<HashMap<usize, VecDeque<(u32, Micros)>>>,
    closed: Cell<bool>,
}

impl AgentConnections {
    /// Creates the set without any connection.
    pub fn new(world: &Rc<World>, agent: usize) -> Rc<Self> {
        let connections = AgentConnections {
            world: Rc::clone(world),
            agent,
            idle: RefCell::default(),
            closed: Cell::new(false),
        };
        Rc::new(connections)
    }

    fn is_current(&self, server: usize, incarnation: u32) -> bool {
        self.world.servers.borrow()[server].incarnation() == incarnation
    }

    /// Closes the connections to a server that became idle at `since` or earlier.
    fn close_idle_since(&self, server: usize, since: Micros) {
        let mut idle = self.idle.borrow_mut();
        let Some(all) = idle.get_mut(&server) else { return };
        while all.front().is_some_and(|(_, at)| *at <= since) {
            let (incarnation, _) = all.pop_front().unwrap_or_default();
            self.world.disconnect(server, incarnation);
        }
        if all.is_empty() {
            idle.remove(&server);
        }
    }

    /// Closes all connections, as the end of a process does.
    fn close_all(&self) {
        self.closed.set(true);
        let mut servers: Vec<usize> = self.idle.borrow().keys().copied().collect();
        servers.sort_unstable();
        servers.into_iter().for_each(|server| self.close_idle_since(server, Micros::MAX));
    }

    async fn connection(&self, server: usize) -> Result<u32, Outcome> {
        let now = self.world.now();
        self.close_idle_since(server, now.saturating_sub(KEEPALIVE_TIMEOUT.as_micros() as Micros));
        loop {
            let idle_connection = self.idle.borrow_mut().get_mut(&server).and_then(VecDeque::pop_back);
            match idle_connection {
                Some((incarnation, _)) if self.is_current(server, incarnation) => return Ok(incarnation),
                Some(_) => {}
                None => break,
            }
        }
        sleep(self.one_way_delay() * 2).await;
        let reachability = self.world.servers.borrow()[server].reachability();
        match reachability {
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

/// A connection in use. When dropped, the connection becomes idle if `keep` is set, and is closed otherwise.
struct InUse<'a> {
    connections: &'a AgentConnections,
    server: usize,
    incarnation: u32,
    keep: bool,
}

impl Drop for InUse<'_> {
    fn drop(&mut self) {
        if self.keep
            && !self.connections.closed.get()
            && self.connections.is_current(self.server, self.incarnation)
        {
            let now = self.connections.world.now();
            self.connections
                .idle
                .borrow_mut()
                .entry(self.server)
                .or_default()
                .push_back((self.incarnation, now));
        } else {
            self.connections.world.disconnect(self.server, self.incarnation);
        }
    }
}

impl Transport for AgentConnections {
    async fn attempt(&self, server: usize, request: &ClientRequest, may_send: &dyn Fn() -> bool) -> Outcome {
        self.send(server, request, None, may_send).await
    }
}

impl AgentConnections {
    /// Makes one attempt. In scenarios with mixed dialects it sends the encoded request in the given dialect.
    async fn send(
        &self,
        server: usize,
        request: &ClientRequest,
        encoded: Option<(&EncodedRequest, Side)>,
        may_send: &dyn Fn() -> bool,
    ) -> Outcome {
        let incarnation = match self.connection(server).await {
            Ok(incarnation) => incarnation,
            Err(outcome) => return outcome,
        };
        let mut connection = InUse { connections: self, server, incarnation, keep: false };
        if !may_send() {
            connection.keep = true;
            return Outcome::NotSent;
        }
        let sent = (self.world.now(), server, self.agent);
        self.world.ledger.borrow_mut().sends.push(sent);
        sleep(self.one_way_delay()).await;
        if !self.is_current(server, incarnation) {
            return Outcome::ConnectionReset;
        }
        let key = match encoded {
            Some((encoded, side)) => match self.receive_at_server(server, request, encoded, side) {
                Some(key) => key,
                None => {
                    // The server has changed its dialect by now and cannot parse the request.
                    sleep(self.one_way_delay()).await;
                    connection.keep = true;
                    return Outcome::ServerError;
                }
            },
            None => request.call as u64,
        };
        let served = self.world.serve(server, request.call, Some(request.attempt), key).await;
        sleep(self.one_way_delay()).await;
        connection.keep = served != ServerOutcome::Reset;
        match served {
            ServerOutcome::Completed => Outcome::Success,
            ServerOutcome::Error => Outcome::ServerError,
            ServerOutcome::Rejected => Outcome::Rejected,
            ServerOutcome::Reset => Outcome::ConnectionReset,
        }
    }
}

impl AgentConnections {
    /// Receives a request as the server does, counts it if it is mistranslated, and returns the key by which the server
    /// recognizes its repeats. Returns `None` if the server does not speak the dialect of the request.
    fn receive_at_server(
        &self,
        server: usize,
        request: &ClientRequest,
        encoded: &EncodedRequest,
        side: Side,
    ) -> Option<u64> {
        let (messages, message) = (self.world.messages.as_ref()?, encoded.message(side)?);
        if self.world.speaks_old.borrow()[server] != (side == Side::Old) {
            return None;
        }
        let mut ledger = self.world.ledger.borrow_mut();
        ledger.mistranslated +=
            usize::from(!messages.is_expected_request(request.class, request.call, side, message));
        if side != encoded.side {
            let count = &mut ledger.translated;
            *(if side == Side::Old { &mut count.0 } else { &mut count.1 }) += 1;
        }
        let key = messages.key_at_server(request.class, side, message, encoded.key());
        Some(key.map_or(request.call as u64, |key| {
            let mut hasher = DefaultHasher::new();
            key.hash(&mut hasher);
            hasher.finish()
        }))
    }
}

/// A client's request as the pool of an agent holds it.
struct SimulatedRequest {
    client_request: ClientRequest,
    encoded: Option<EncodedRequest>,
}

impl RequestPayload for SimulatedRequest {}

/// A response with the dialect of the server that sent it; `None` if the scenario has no dialects.
type SimulatedResponse = Option<(Side, Vec<u8>)>;

const OLD_DIALECT: DialectId = DialectId(1);

/// The upstream of a simulated agent: sends its pool's attempts to the simulated servers.
struct SimulatedUpstream {
    connections: Rc<AgentConnections>,
    load_reports_enabled: bool,
    /// For each server of the decision module: the emulated server at its address, and its incarnation when last used.
    addresses: RefCell<HashMap<ServerId, (usize, Incarnation)>>,
    /// Memory that the injected leak holds.
    leaked: RefCell<Vec<Vec<u8>>>,
}

impl Upstream for SimulatedUpstream {
    type Address = usize;
    type Request = SimulatedRequest;
    type Response = SimulatedResponse;

    async fn attempt(
        &self,
        endpoint: EndpointAddress<usize>,
        request: &SimulatedRequest,
        gate: Gate<'_>,
    ) -> AttemptResult<SimulatedResponse> {
        self.addresses.borrow_mut().insert(endpoint.server, (endpoint.address, endpoint.incarnation));
        let side = if endpoint.dialect == OLD_DIALECT { Side::Old } else { Side::New };
        let encoded = request.encoded.as_ref().map(|encoded| (encoded, side));
        if encoded.is_some_and(|(encoded, side)| encoded.message(side).is_none()) {
            return Outcome::NotSent.into();
        }
        let outcome =
            self.connections.send(endpoint.address, &request.client_request, encoded, &|| gate.open()).await;
        if self.connections.world.scenario.leak_bytes > 0 {
            self.leaked.borrow_mut().push(vec![0; self.connections.world.scenario.leak_bytes]);
        }
        let report = (self.load_reports_enabled && outcome == Outcome::Success).then(|| {
            let world = &self.connections.world;
            world.servers.borrow_mut()[endpoint.address].load_report(world.now()).to_vec()
        });
        let response = (outcome == Outcome::Success).then(|| {
            let messages = self.connections.world.messages.as_ref().filter(|_| request.encoded.is_some())?;
            Some((side, messages.response(request.client_request.class, request.client_request.call, side)))
        });
        AttemptResult { response, load_report: report, ..outcome.into() }
    }

    async fn health_check(&self, endpoint: EndpointAddress<usize>) -> AttemptResult<SimulatedResponse> {
        let world = &self.connections.world;
        world.ledger.borrow_mut().probes += 1;
        let connected =
            tokio::time::timeout(CONNECT_TIMEOUT, self.connections.connection(endpoint.address)).await;
        let incarnation = match connected {
            Ok(Ok(incarnation)) => incarnation,
            Ok(Err(outcome)) => return outcome.into(),
            Err(_) => return Outcome::TimedOut.into(),
        };
        let mut connection =
            InUse { connections: &self.connections, server: endpoint.address, incarnation, keep: false };
        sleep(self.connections.one_way_delay() * 2).await;
        if !self.connections.is_current(endpoint.address, incarnation) {
            return Outcome::ConnectionReset.into();
        }
        if world.servers.borrow()[endpoint.address].reachability() != Reachability::Up {
            sleep(CONNECT_TIMEOUT).await;
            return Outcome::TimedOut.into();
        }
        connection.keep = true;
        Outcome::Success.into()
    }

    fn close_idle(&self, server: ServerId) {
        if let Some((server, _)) = self.addresses.borrow().get(&server) {
            self.connections.close_idle_since(*server, Micros::MAX);
        }
    }

    fn close_stale(&self, is_current: &dyn Fn(ServerId, Incarnation) -> bool) {
        // Each replacement of a server adds a new name, so the entries of removed servers must not accumulate. The idle
        // connections stay open, as another server may have the same address by now.
        self.addresses.borrow_mut().retain(|server, (_, incarnation)| is_current(*server, *incarnation));
    }
}

/// Discovery as seen by one agent: changes arrive late, lists are limited by discovery's capacity, and nothing arrives while
/// discovery is down.
struct SimulatedDiscovery {
    world: Rc<World>,
    agent: usize,
    /// The last value of [`World::changed`] that the agent has seen.
    seen_change: u64,
}

impl EndpointSource<usize> for SimulatedDiscovery {
    fn run(mut self: Box<Self>, sink: EndpointSink<usize>) -> Pin<Box<dyn Future<Output = ()>>> {
        Box::pin(async move {
            let mut fetch_pending = true;
            loop {
                if !fetch_pending {
                    tokio::select! {
                        biased;
                        _ = self.world.changed.wait_for(|n| n != self.seen_change) => {}
                        () = sink.fetch_requested() => fetch_pending = true,
                    }
                }
                self.seen_change = self.world.changed.get();
                let (is_down, newest_version) = {
                    let registry = self.world.registry.borrow();
                    (registry.is_down(), registry.version())
                };
                if is_down {
                    if std::mem::take(&mut fetch_pending) {
                        sink.report_failure();
                    }
                    continue;
                }
                if !fetch_pending && sink.version() == Some(newest_version) {
                    continue;
                }
                sleep(self.world.notification_delay()).await;
                let full_list = sink.version().is_none() || fetch_pending;
                let now = self.world.now();
                let (version, entries, written_at) = {
                    let mut registry = self.world.registry.borrow_mut();
                    let entries = registry.entries_since(if full_list { None } else { sink.version() });
                    let written_at = registry.write_list(now, entries.len());
                    (registry.version(), entries, written_at)
                };
                let Some(written_at) = written_at else {
                    sink.report_failure();
                    sleep(DISCOVERY_RETRY_DELAY.mul_f64(0.5 + self.world.draw())).await;
                    continue;
                };
                sleep_until(self.world.instant(written_at)).await;
                fetch_pending = false;
                self.world.record_list_version(self.agent, version);
                sink.publish(EndpointList {
                    version,
                    is_complete: full_list,
                    endpoints: entries.iter().map(endpoint_info).collect(),
                });
            }
        })
    }
}

fn endpoint_info(entry: &crate::registry::ListEntry) -> EndpointInfo<usize> {
    EndpointInfo {
        state: entry.state,
        dialect: if entry.speaks_old { OLD_DIALECT } else { DialectId(0) },
        cell: entry.building,
        started_at: entry.started.map(Time),
        ..EndpointInfo::serving(&entry.name, entry.server)
    }
}

/// A running simulated agent. A restart or an upgrade replaces it with a new instance.
struct AgentInstance {
    pool: Pool<SimulatedUpstream>,
    connections: Rc<AgentConnections>,
    /// True once the process has been killed.
    killed: Signal<bool>,
    pool_task: tokio::task::JoinHandle<()>,
}

/// The simulated agents: each runs a pool of the engine.
struct EngineAgents {
    world: Rc<World>,
    seed: u64,
    instances: RefCell<Vec<Option<Rc<AgentInstance>>>>,
    /// The list with which the next instance of each agent starts.
    last_lists: RefCell<Vec<EndpointList<usize>>>,
    instances_started: Cell<u64>,
}

impl EngineAgents {
    fn new(world: &Rc<World>, seed: u64) -> Rc<Self> {
        let initial_list = {
            let registry = world.registry.borrow();
            let endpoint_infos = registry.entries_since(None).iter().map(endpoint_info).collect();
            EndpointList { version: registry.version(), is_complete: true, endpoints: endpoint_infos }
        };
        let agents = world.scenario.agents;
        let engine_agents = Rc::new(EngineAgents {
            world: Rc::clone(world),
            seed,
            instances: RefCell::new((0..agents).map(|_| None).collect()),
            last_lists: RefCell::new(vec![initial_list; agents]),
            instances_started: Cell::new(0),
        });
        (0..agents).for_each(|agent| engine_agents.start(agent));
        engine_agents
    }

    fn start(self: &Rc<Self>, agent: usize) {
        let world = &self.world;
        let nonce = self.instances_started.replace(self.instances_started.get() + 1);
        let connections = AgentConnections::new(world, agent);
        let known_list = self.last_lists.borrow()[agent].clone();
        world.record_list_version(agent, known_list.version);
        let options = PoolOptions {
            name: format!("a{agent}"),
            settings: world.scenario.settings.clone(),
            seed: self.seed.wrapping_mul(1_000_003).wrapping_add(nonce),
            server_names: ServerNames::default(),
            initial_list: Some(known_list),
            continues_versions: true,
            epoch: Some(Time(world.now())),
            upstream: SimulatedUpstream {
                connections: Rc::clone(&connections),
                load_reports_enabled: world.scenario.settings.report_source
                    != heronhoist_decision::ReportSource::None,
                addresses: RefCell::default(),
                leaked: RefCell::default(),
            },
            request_quota: Quota::single_share(100_000),
            claims: LocalClaims::new(0),
        };
        let pool = Pool::new(options).expect("a parsed scenario has valid settings");
        let discovery = SimulatedDiscovery { world: Rc::clone(world), agent, seen_change: 0 };
        let pool_task = spawn_local(pool.clone().run(Box::new(discovery)));
        let instance = AgentInstance { pool, connections, killed: Signal::new(false), pool_task };
        self.instances.borrow_mut()[agent] = Some(Rc::new(instance));
    }

    /// Removes the running instance of an agent. If it has the newest list, the agent's next instance starts with that list.
    fn take_instance(&self, agent: usize) -> Option<Rc<AgentInstance>> {
        let instance = self.instances.borrow_mut()[agent].take()?;
        let version =
            self.world.ledger.borrow().list_versions[agent].last().map_or(1, |(_, version)| *version);
        let registry = self.world.registry.borrow();
        if version == registry.version() {
            let endpoint_infos = registry.entries_since(None).iter().map(endpoint_info).collect();
            self.last_lists.borrow_mut()[agent] =
                EndpointList { version, is_complete: true, endpoints: endpoint_infos };
        }
        Some(instance)
    }
}

impl EngineAgents {
    /// Encodes a client's request and determines the dialects in which it may be sent. Returns `None` if the scenario has no
    /// dialects, and an error if the request cannot be sent in any.
    fn encode(
        &self,
        instance: &AgentInstance,
        request: &ClientRequest,
    ) -> Result<Option<EncodedRequest>, ()> {
        let (Some(messages), Some(mixed)) = (&self.world.messages, &self.world.scenario.dialects) else {
            return Ok(None);
        };
        // Derived from the call alone, so that a client uses the same dialect and key in each retry.
        let draw = |salt: u64| {
            let mut rng = Pcg64::seed_from_u64((request.call as u64).wrapping_mul(7) + salt);
            rng.random::<f64>()
        };
        let side = if draw(0) < mixed.old_clients { Side::Old } else { Side::New };
        let serving = instance.pool.serving_dialects();
        let serving = Sides { old: serving.contains(OLD_DIALECT), new: serving.contains(DialectId(0)) };
        let encoded =
            messages.encode_request(request.class, request.call, side, draw(1) < mixed.own_keys, serving);
        let mut encoded = encoded.ok_or(())?;
        match mixed.bug {
            TranslationBug::Absent => {}
            TranslationBug::WrongKeys => encoded.corrupt_key(),
            TranslationBug::WrongFields => encoded.corrupt_field(),
        }
        Ok(Some(encoded))
    }

    /// Translates a server's response into the client's dialect, and counts it if it is mistranslated.
    fn deliver_response(
        &self,
        request: &ClientRequest,
        side: Option<Side>,
        response: SimulatedResponse,
    ) -> ClientResponse {
        let (Some(messages), Some(side), Some((response_side, bytes))) =
            (&self.world.messages, side, response)
        else {
            return ClientResponse::Success;
        };
        let bytes = if response_side == side {
            Some(bytes)
        } else {
            messages.translate_response(request.class, response_side, &bytes)
        };
        let Some(bytes) = bytes else { return ClientResponse::Failed };
        let is_expected = messages.is_expected_response(request.class, request.call, side, &bytes);
        self.world.ledger.borrow_mut().mistranslated += usize::from(!is_expected);
        ClientResponse::Success
    }
}

impl Agents for EngineAgents {
    async fn handle_request(&self, agent: usize, client_request: ClientRequest) -> AgentReply {
        let instance = self.instances.borrow()[agent].clone();
        let Some(instance) = instance else { return AgentReply::Unreachable };
        let Ok(encoded) = self.encode(&instance, &client_request) else {
            return AgentReply::Response(ClientResponse::Failed);
        };
        let dialects = encoded.as_ref().map_or(Dialects::ALL, |encoded| {
            let Sides { old, new } = encoded.sides();
            let add_if = |set: Dialects, (allowed, dialect): (bool, DialectId)| {
                if allowed {
                    set.with(dialect)
                } else {
                    set
                }
            };
            [(new, DialectId(0)), (old, OLD_DIALECT)].into_iter().fold(Dialects::NONE, add_if)
        });
        let side = encoded.as_ref().map(|encoded| encoded.side);
        let request = NewRequest {
            correlation_id: None,
            dialects,
            tenant: (!self.world.scenario.tenants.is_empty()).then_some(TenantId(client_request.tenant)),
            key: Some(KeyId(client_request.call as u64)),
            cost_hint: client_request.cost_hint.map(Span),
            is_retry: client_request.is_retry,
            ..NewRequest::new(
                SimulatedRequest { client_request, encoded },
                ClassId(client_request.class),
                client_request.budget,
            )
        };
        let pending = match instance.pool.submit(request) {
            Err(declined) => {
                return AgentReply::Response(ClientResponse::Rejected(
                    declined.retry_after().map(|delay| delay.0),
                ));
            }
            Ok(pending) => pending,
        };
        tokio::select! {
            biased;
            _ = instance.killed.wait_for(|killed| killed) => AgentReply::AgentDied,
            response = pending.wait(|deadline| deadline) => AgentReply::Response(match response {
                FinalResponse::Success(response) => self.deliver_response(&client_request, side, response),
                FinalResponse::Rejected(retry_after) => ClientResponse::Rejected(retry_after.map(|delay| delay.0)),
                FinalResponse::Failed | FinalResponse::DeadlineExceeded | FinalResponse::IncompleteRequest => ClientResponse::Failed,
            }),
        }
    }

    fn apply_agent_event(self: &Rc<Self>, agent: usize, kind: EventKind) {
        match kind {
            EventKind::KillAgent => {
                if let Some(instance) = self.take_instance(agent) {
                    instance.killed.set(true);
                    instance.pool_task.abort();
                    instance.connections.close_all();
                }
            }
            EventKind::StopAgent => {
                if let Some(instance) = self.take_instance(agent) {
                    instance.pool.close();
                }
            }
            EventKind::StartAgent if self.instances.borrow()[agent].is_none() => self.start(agent),
            EventKind::UpgradeAgent => {
                let old = self.take_instance(agent);
                self.start(agent);
                if let Some(old) = old {
                    old.pool.close();
                }
            }
            EventKind::ReloadAgent => {
                if let Some(instance) = &self.instances.borrow()[agent] {
                    let settings = &self.world.scenario.settings;
                    let classes = (0..settings.classes.len()).map(ClassId).collect();
                    instance.pool.update_settings(settings.clone(), classes, &[]);
                }
            }
            _ => {}
        }
    }
}

/// Samples, at even intervals over the run, the heap memory of the process without the records of the run itself.
fn sample_memory(world: &Rc<World>) {
    let (meter, world, interval) =
        (HeapMeter::start(), Rc::clone(world), world.scenario.duration / (SAMPLES + 1));
    spawn_local(async move {
        for sample in 1..=SAMPLES {
            sleep_until(world.instant(sample * interval)).await;
            let (now, held_bytes) = (world.now(), meter.held_bytes() - world.recorded_bytes());
            world.ledger.borrow_mut().memory.push((now, held_bytes));
        }
    });
}

/// Runs a scenario with a seed. `progress` is called with the simulated time as the run advances.
pub fn run(scenario: &Scenario, policy: Policy, seed: u64, progress: impl Fn(Micros)) -> Run {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.expect("a current-thread runtime with time only can be built");
    let started_at = std::time::Instant::now();
    let mut run = LocalSet::new().block_on(&runtime, async {
        let world = World::new(scenario, seed);
        world.spawn_servers();
        if scenario.requirements.memory_growth.is_some() {
            sample_memory(&world);
        }
        let complete = match policy {
            Policy::Heronhoist => {
                let engine_agents = EngineAgents::new(&world, seed);
                let complete = emulation::run_clients(&world, &engine_agents, seed, progress).await;
                for instance in engine_agents.instances.borrow().iter().flatten() {
                    instance.pool.close();
                }
                complete
            }
            _ => {
                let transports =
                    (0..scenario.agents).map(|agent| AgentConnections::new(&world, agent)).collect();
                let simple_policy = SimplePolicy::new(policy, Rc::clone(&world), transports, !seed);
                emulation::run_clients(&world, &simple_policy, seed, progress).await
            }
        };
        Run::from_emulation(&world, Mode::Virtual, policy, seed, complete)
    });
    run.seconds = started_at.elapsed().as_secs_f64();
    run
}

#[cfg(test)]
mod tests;
