//! Real mode: the same servers, discovery, clients and events on loopback sockets, with the real agent between them. Each agent
//! is a process, to which the events of that agent are applied.

use crate::checker::ClientResponse;
use crate::emulation::{
    self, AgentReply, Agents, ClientRequest, ServerOutcome, World, CONNECT_TIMEOUT, KEEPALIVE_TIMEOUT,
};
use crate::policy::{PlainPolicy, Policy, Transport};
use crate::record::{Mode, Run};
use crate::scenario::{EventKind, Scenario};
use crate::server_model::{Micros, Reachability};
use crate::signal::Signal as ValueSignal;
use crate::wire::{Connection, Message};
use hdrhistogram::Histogram;
use heronhoist_decision::{DeduplicationScope, Effect, Outcome, ReportSource};
use heronhoist_engine::EndpointState;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use socket2::{Domain, SockRef, Socket, Type};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

/// The run fails if an agent is not ready after this time.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the run measures how late its own timers fire.
const TIMER_CHECK_INTERVAL: Duration = Duration::from_millis(10);
const LISTEN_BACKLOG: i32 = 1024;

/// An address that stays bound while nobody listens on it, so that connections to it are refused.
struct ReservedAddress {
    socket: Socket,
    address: SocketAddr,
}

impl ReservedAddress {
    /// Binds the given address, or a free port on loopback.
    fn new(address: Option<SocketAddr>) -> io::Result<ReservedAddress> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        let address = address.unwrap_or(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
        socket.bind(&address.into())?;
        let address = socket.local_addr()?.as_socket().unwrap_or(address);
        Ok(ReservedAddress { socket, address })
    }

    fn listen(self) -> io::Result<TcpListener> {
        self.socket.listen(LISTEN_BACKLOG)?;
        TcpListener::from_std(self.socket.into())
    }
}

type ReachabilitySignal = ValueSignal<(u32, Reachability)>;

/// Runs a server on its address, through all its incarnations.
async fn run_server(world: Rc<World>, server: usize, reserved: ReservedAddress) -> io::Result<()> {
    let reachability = &world.reachability[server];
    let address = reserved.address;
    let mut reserved = Some(reserved);
    loop {
        let (incarnation, state) = reachability.get();
        if state == Reachability::Down {
            if reserved.is_none() {
                reserved = Some(ReservedAddress::new(Some(address))?);
            }
            reachability.wait_for(|now| now != (incarnation, state)).await;
            continue;
        }
        let Some(bound) = reserved.take() else { return Ok(()) };
        let listener = bound.listen()?;
        // Connections that fill the accept queue while the server is unresponsive.
        let mut queued: Vec<TcpStream> = Vec::new();
        while reachability.get().0 == incarnation && reachability.get().1 != Reachability::Down {
            let current = reachability.get();
            if current.1 == Reachability::Unresponsive {
                // With a full accept queue no connection can be established, as if the machine were cut off.
                let _ = SockRef::from(&listener).listen(0);
                while queued.len() < 8 {
                    match timeout(Duration::from_millis(20), TcpStream::connect(address)).await {
                        Ok(Ok(stream)) => queued.push(stream),
                        _ => break,
                    }
                }
                reachability.wait_for(|now| now != current).await;
                continue;
            }
            if !queued.is_empty() {
                queued.clear();
                let _ = SockRef::from(&listener).listen(LISTEN_BACKLOG);
            }
            tokio::select! {
                biased;
                _ = reachability.wait_for(|now| now != current) => {}
                accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                    spawn_local(serve_connection(Rc::clone(&world), server, incarnation, Connection::new(stream)));
                }
            }
        }
        drop(listener);
        reserved = Some(ReservedAddress::new(Some(address))?);
    }
}

/// Waits until this incarnation of a server can no longer be reached.
async fn wait_until_unreachable(reachability: &ReachabilitySignal, incarnation: u32) {
    reachability.wait_for(|(now, state)| now != incarnation || state != Reachability::Up).await;
}

/// Serves the requests of one connection.
async fn serve_connection(world: Rc<World>, server: usize, incarnation: u32, mut connection: Connection) {
    let reachability = &world.reachability[server];
    let mut counted = false;
    let closes_normally = loop {
        tokio::select! {
            biased;
            () = wait_until_unreachable(reachability, incarnation) => break false,
            has_data = timeout(KEEPALIVE_TIMEOUT, connection.wait_for_data()) => {
                if !matches!(has_data, Ok(Ok(true))) { break true }
            }
        }
        let received_at = world.now();
        let accepted = counted || world.connect(server, None);
        counted |= accepted;
        if !accepted {
            let _ = connection.read(false).await;
            let _ = connection
                .write(b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
                .await;
            break true;
        }
        let result = tokio::select! {
            biased;
            () = wait_until_unreachable(reachability, incarnation) => break false,
            result = respond(&world, server, received_at, &mut connection) => result,
        };
        match result {
            Ok(true) => {}
            Ok(false) => break true,
            Err(_) => break false,
        }
    };
    if counted {
        world.disconnect(server, incarnation);
    }
    if !closes_normally {
        // The connections of an unresponsive server stay silent, and are reset once the server can be reached again.
        reachability.wait_for(|(_, state)| state != Reachability::Unresponsive).await;
        connection.reset();
    }
}

/// Reads one request, whose first byte arrived at `received_at`, and responds to it. Returns false if the connection is to be
/// closed.
async fn respond(
    world: &World,
    server: usize,
    received_at: Micros,
    connection: &mut Connection,
) -> io::Result<bool> {
    let Some(request) = connection.read(false).await? else { return Ok(false) };
    let one_way_delay = Duration::from_micros(world.scenario.fleet.one_way_delay);
    let report = |world: &World| {
        let values = world.servers.borrow_mut()[server].load_report(world.now());
        format!("X-Load-Report: inflight={},queue={},util={}\r\n", values[0], values[1], values[2])
    };
    if request.target == "/health/live" || request.target == "/stats" {
        world.ledger.borrow_mut().probes += 1;
        sleep(2 * one_way_delay).await;
        connection
            .write(format!("HTTP/1.1 200 OK\r\n{}Content-Length: 0\r\n\r\n", report(world)).as_bytes())
            .await?;
        return Ok(true);
    }
    let attempt = request.header("x-call-id").and_then(|id| usize::from_str_radix(id, 16).ok());
    let checked = attempt.and_then(|attempt| {
        let ledger = world.ledger.borrow();
        ledger.client_attempts.get(attempt).map(|attempt| (attempt.call, attempt.agent))
    });
    let class = request.target.split(['/', '?']).nth(1).unwrap_or_default();
    let unchecked = || {
        let received = world.unchecked_requests.get()?;
        let class = world.scenario.classes.iter().position(|mix| mix.name == class)?;
        world.unchecked_requests.set(Some(received + 1));
        Some((class, None))
    };
    let call_and_agent = checked.map(|(call, agent)| (call, Some(agent))).or_else(unchecked);
    let Some((call, agent)) = call_and_agent else {
        connection.write(b"HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n").await?;
        return Ok(true);
    };
    if let Some(agent) = agent {
        world.ledger.borrow_mut().sends.push((received_at, server, agent));
    }
    let served = tokio::select! {
        biased;
        () = connection.closed() => return Ok(false),
        served = async {
            sleep(one_way_delay).await;
            let served = world.serve(server, call, attempt.filter(|_| agent.is_some()), call as u64).await;
            sleep(one_way_delay).await;
            served
        } => served,
    };
    let body = format!("served {call} by s{server}");
    let load_reports_enabled = world.scenario.settings.report_source != ReportSource::None;
    let report = if load_reports_enabled { report(world) } else { String::new() };
    let response = match served {
        ServerOutcome::Completed => {
            format!("HTTP/1.1 200 OK\r\n{report}Content-Length: {}\r\n\r\n{body}", body.len())
        }
        ServerOutcome::Error => "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n".into(),
        ServerOutcome::Rejected => "HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n".into(),
        ServerOutcome::Reset => return Err(io::ErrorKind::ConnectionReset.into()),
    };
    connection.write(response.as_bytes()).await?;
    Ok(true)
}

/// The addresses of the servers, from which discovery's lists are made.
struct ServerAddresses {
    servers: Vec<SocketAddr>,
    /// The system time at the start of the run, in milliseconds since the Unix epoch.
    epoch_ms: Cell<u64>,
}

impl ServerAddresses {
    /// Returns the current version and the list as JSON: the full list, or only the entries changed after a version.
    fn list_json(&self, world: &World, since: Option<i64>) -> (i64, String) {
        let registry = world.registry.borrow();
        let entries = registry.entries_since(since);
        let target = |entry: &crate::registry::ListEntry| {
            let state = match entry.state {
                EndpointState::Serving => "SERVING",
                EndpointState::Draining => "DRAINING",
                EndpointState::Removed => "DELETED",
            };
            json!({"uid": entry.name, "endpoint": self.servers[entry.server], "az": "a", "model": "m",
                "pod_group": entry.building, "state": state, "capacity_hint": 1.0,
                "boot_ms": entry.started.map_or(0, |at| self.epoch_ms.get() + at / 1000)})
        };
        let targets: Vec<Value> = entries.iter().map(target).collect();
        let version = registry.version();
        let list = json!({"rev": version, "all": since.is_none(), "targets": targets});
        (version, list.to_string())
    }
}

/// Serves discovery's lists to one agent.
async fn serve_discovery(
    world: Rc<World>,
    addresses: Rc<ServerAddresses>,
    agent: Rc<AgentHandle>,
    listener: TcpListener,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let (world, addresses, agent) = (Rc::clone(&world), Rc::clone(&addresses), Rc::clone(&agent));
        spawn_local(async move {
            let mut connection = Connection::new(stream);
            while let Ok(Some(request)) = connection.read(false).await {
                let Some(body) = list_response(&world, &addresses, &agent, &request).await else { break };
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                if connection.write([head.as_bytes(), body.as_bytes()].concat().as_slice()).await.is_err() {
                    break;
                }
            }
        });
    }
}

/// Returns the body of the response to one list request, or `None` if discovery rejects the request.
async fn list_response(
    world: &World,
    addresses: &ServerAddresses,
    agent: &AgentHandle,
    request: &Message,
) -> Option<String> {
    let query = request.target.split_once('?').map_or("", |(_, query)| query);
    let query_number = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse::<i64>().ok())
    };
    let since = query_number("from");
    if let Some(since) = since {
        let hold = Duration::from_millis(query_number("hold_ms").unwrap_or(0).clamp(0, 60_000) as u64);
        let newer = world.changed.wait_for(|_| {
            let registry = world.registry.borrow();
            registry.version() > since && !registry.is_down()
        });
        if timeout(hold, newer).await.is_ok() {
            sleep(world.notification_delay()).await;
        }
    }
    // Discovery sends nothing while it is down.
    world.changed.wait_for(|_| !world.registry.borrow().is_down()).await;
    let now = world.now();
    let written_at = {
        let mut registry = world.registry.borrow_mut();
        let entry_count = registry.entries_since(since).len();
        registry.write_list(now, entry_count)?
    };
    sleep(Duration::from_micros(written_at - now)).await;
    let (version, list) = addresses.list_json(world, since);
    world.record_list_version(agent.number, version);
    *agent.known_list.borrow_mut() = addresses.list_json(world, None).1;
    Some(list)
}

/// One agent: its addresses and folder, its processes, and its clients' connections.
struct AgentHandle {
    number: usize,
    address: SocketAddr,
    discovery: SocketAddr,
    folder: PathBuf,
    child: RefCell<Option<Child>>,
    /// Processes that were signalled to stop.
    stopping: RefCell<Vec<Child>>,
    /// How many of the agent's processes have been killed.
    kill_count: Cell<u32>,
    /// The full list at the time when the agent last received one or its changes.
    known_list: RefCell<String>,
    /// The clients' idle connections, each with the last attempt sent on it.
    idle_connections: RefCell<Vec<(Connection, usize)>>,
    peak_memory_kb: Cell<u64>,
    /// Keeps the address bound between two processes of the agent.
    _reserved_address: ReservedAddress,
}

/// Returns the peak resident memory of a process, or 0 if it cannot be read.
fn peak_memory_kb(child: &Child) -> u64 {
    let status = child.id().and_then(|id| std::fs::read_to_string(format!("/proc/{id}/status")).ok());
    let line = status.as_deref().unwrap_or_default().lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.and_then(|kb| kb.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}

fn send_signal(child: &Child, signal: Signal) {
    if let Some(pid) = child.id().and_then(|id| Pid::from_raw(id as i32)) {
        let _ = kill_process(pid, signal);
    }
}

/// The agent processes of a run.
struct AgentProcesses {
    world: Rc<World>,
    program: PathBuf,
    handles: Vec<Rc<AgentHandle>>,
    seed: u64,
    processes_started: Cell<u64>,
}

impl AgentProcesses {
    /// Starts a process of an agent. The receiver gets the operators' address once the process has logged it.
    fn start(&self, agent: usize) -> io::Result<watch::Receiver<Option<SocketAddr>>> {
        let handle = &self.handles[agent];
        let nonce = self.processes_started.replace(self.processes_started.get() + 1);
        let known: Value = serde_json::from_str(&handle.known_list.borrow()).unwrap_or(Value::Null);
        self.world.record_list_version(agent, known["rev"].as_i64().unwrap_or(0));
        let seed = format!("{:016x}", self.seed.wrapping_mul(1_000_003).wrapping_add(nonce));
        let config = json!({"name": format!("a{agent}"), "listen": handle.address, "discovery": handle.discovery,
            "seed": seed, "ops": "127.0.0.1:0", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known, "settings": settings_json(&self.world.scenario)});
        let config_file = handle.folder.join("config.json");
        std::fs::write(&config_file, config.to_string())?;
        let mut command = Command::new(&self.program);
        command.env_clear().env("LB_CONFIG", &config_file).env("TMPDIR", &handle.folder);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
        let mut child = command.spawn()?;
        // The log must be read to its end, as a full pipe would block the agent. One of its first lines contains the
        // operators' address.
        let (ops_sender, ops_address) = watch::channel(None);
        if let Some(log) = child.stderr.take() {
            let path = handle.folder.join("agent.log");
            spawn_local(async move {
                let mut lines = BufReader::new(log).lines();
                let mut log_file = std::fs::File::options().create(true).append(true).open(path).ok();
                let mut remaining_bytes: usize = 1 << 20;
                while let Ok(Some(line)) = lines.next_line().await {
                    if let Some((_, rest)) = line.split_once("operators may call at ") {
                        ops_sender.send_replace(
                            rest.split_whitespace().next().and_then(|address| address.parse().ok()),
                        );
                    }
                    remaining_bytes = remaining_bytes.saturating_sub(line.len() + 1);
                    if let Some(log_file) = log_file.as_mut().filter(|_| remaining_bytes > 0) {
                        let _ = io::Write::write_all(log_file, format!("{line}\n").as_bytes());
                    }
                }
            });
        }
        *handle.child.borrow_mut() = Some(child);
        Ok(ops_address)
    }

    /// Takes the process of an agent away and records its peak memory.
    fn take_process(&self, agent: usize) -> Option<Child> {
        let handle = &self.handles[agent];
        let child = handle.child.borrow_mut().take()?;
        handle.peak_memory_kb.set(handle.peak_memory_kb.get().max(peak_memory_kb(&child)));
        Some(child)
    }

    /// Ends all processes. Returns the peak memory of any of them in MiB, and how many had ended without being signalled or
    /// with an error.
    async fn end_all(&self) -> (f64, usize) {
        let (mut peak, mut crashed) = (0, 0);
        for agent in 0..self.handles.len() {
            if let Some(mut child) = self.take_process(agent) {
                crashed += usize::from(!matches!(child.try_wait(), Ok(None)));
                let _ = child.kill().await;
            }
            let handle = &self.handles[agent];
            let stopping = std::mem::take(&mut *handle.stopping.borrow_mut());
            for mut child in stopping {
                // A process that was signalled to stop must either still be running or have exited successfully.
                crashed += usize::from(matches!(child.try_wait(), Ok(Some(status)) if !status.success()));
                let _ = child.kill().await;
            }
            peak = peak.max(handle.peak_memory_kb.get());
        }
        (peak as f64 / 1024.0, crashed)
    }
}

/// Returns the agent's settings as the platform would provide them.
fn settings_json(scenario: &Scenario) -> Value {
    let ms = |micros: u64| micros as f64 / 1000.0;
    let settings = &scenario.settings;
    let classes = scenario.classes.iter().zip(&settings.classes).map(|(mix, class)| {
        let (effect, group, window) = match class.effect {
            Effect::Idempotent => ("idempotent", "all", 0.0),
            Effect::AtMostOnce => ("at_most_once", "all", 0.0),
            Effect::Deduplicated { scope: DeduplicationScope::All, window } => ("deduplicated", "all", ms(window.0)),
            Effect::Deduplicated { scope: DeduplicationScope::Zone, window } => ("deduplicated", "zone", ms(window.0)),
            Effect::Deduplicated { scope: DeduplicationScope::Cell, window } => ("deduplicated", "cell", ms(window.0)),
        };
        json!({"name": mix.name, "effect": effect, "group": group, "dedupWindowMs": window, "points": 1.0,
            "aimMs": ms(mix.latency_objective), "deadlineMs": ms(mix.deadline), "lateWorth": class.late_weight_share, "stream": false})
    });
    let tenants = scenario.tenants.iter().zip(&settings.tenants);
    let tenants = tenants.map(|((name, share), tenant)| {
        json!({"name": name, "fraction": share, "allowancePerS": tenant.quota_per_second})
    });
    let source = if settings.report_source == ReportSource::None { "silent" } else { "piggyback" };
    json!({
        "balancers": scenario.settings.balancers, "zones": ["a"], "kinds": ["m"], "zone": 0, "discovery": "pushed",
        "classes": classes.collect::<Vec<_>>(), "parties": tenants.collect::<Vec<_>>(),
        "feedback": {"fields": ["inflight", "queue", "util"], "source": source},
        "limits": {"cancel": settings.cancel, "retryAfter": settings.retry_after, "probes": settings.health_checks,
            "connectTimeoutMs": CONNECT_TIMEOUT.as_millis() as u64, "keepaliveMs": KEEPALIVE_TIMEOUT.as_millis() as u64,
            "maxAttempts": settings.max_attempts, "secondCopies": settings.hedging,
            "maxRetryAfterMs": ms(settings.max_retry_after.0)},
        "rules": {"stopSendingWithinMs": ms(settings.drain_grace.0), "coldShare": settings.initial_capacity_share,
            "warmAfterMs": ms(settings.warm_up_time.0), "overloadFactor": settings.overload_factor,
            "fallMs": ms(settings.overload_tolerance.0)}
    })
}

/// Encodes a client's request as it is sent on the wire.
fn encode_request(scenario: &Scenario, request: &ClientRequest) -> Vec<u8> {
    let class = &scenario.classes[request.class];
    let effect = scenario.settings.classes[request.class].effect;
    let (id, budget) = (request.attempt, request.budget.as_millis().max(1));
    let mut head = format!(
        "{} /{name}/{call} HTTP/1.1\r\nHost: records\r\nX-Call-Id: {id:016x}\r\nX-Call-Class: {name}\r\nX-Budget-Ms: {budget}\r\n",
        if effect == Effect::Idempotent { "GET" } else { "POST" },
        name = class.name,
        call = request.call
    );
    if matches!(effect, Effect::Deduplicated { .. }) {
        head += &format!("Idempotency-Key: {:032x}\r\n", request.call);
    }
    if let Some((name, _)) = scenario.tenants.get(request.tenant) {
        head += &format!("X-Caller: {name}\r\n");
    }
    if let Some(hint) = request.cost_hint {
        head += &format!("X-Call-Cost: {hint}\r\n");
    }
    if request.is_retry {
        head += "X-Again: 1\r\n";
    }
    if effect == Effect::Idempotent {
        head += "\r\n";
    } else {
        let body = format!("call={}", request.call);
        head += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    }
    head.into_bytes()
}

/// Whether a response body is what a server sends for this call.
fn is_expected_body(body: &[u8], call: usize) -> bool {
    body.strip_prefix(format!("served {call} by s").as_bytes())
        .is_some_and(|rest| rest.iter().all(u8::is_ascii_digit))
}

impl Agents for AgentProcesses {
    async fn handle_request(&self, agent: usize, request: ClientRequest) -> AgentReply {
        let handle = &self.handles[agent];
        let kill_count = handle.kill_count.get();
        let encoded = encode_request(&self.world.scenario, &request);
        loop {
            let idle_connection = handle.idle_connections.borrow_mut().pop();
            let reused = idle_connection.is_some();
            let mut connection = match idle_connection {
                Some((connection, last_attempt)) if connection.has_unread_data() => {
                    // Any data after a response counts as a second response to the last attempt.
                    let now = self.world.now();
                    self.world.ledger.borrow_mut().client_attempts[last_attempt]
                        .responses
                        .push((now, ClientResponse::Failed));
                    continue;
                }
                Some((connection, _)) => connection,
                None => match TcpStream::connect(handle.address).await {
                    Ok(stream) => Connection::new(stream),
                    Err(_) => return AgentReply::Unreachable,
                },
            };
            match connection.exchange(&encoded).await {
                Ok(Some(response)) => {
                    if !response.closes {
                        handle.idle_connections.borrow_mut().push((connection, request.attempt));
                    }
                    let retry_after =
                        response.header("retry-after").and_then(|value| value.parse::<f64>().ok());
                    return AgentReply::Response(match response.status {
                        200 if is_expected_body(&response.body, request.call) => ClientResponse::Success,
                        // The body is not one that a server sent for this call.
                        200 => return AgentReply::ConnectionLost,
                        429 | 503 => {
                            ClientResponse::Rejected(retry_after.map(|seconds| (seconds * 1e6) as Micros))
                        }
                        _ => ClientResponse::Failed,
                    });
                }
                _ if handle.kill_count.get() != kill_count => return AgentReply::AgentDied,
                // The agent closed the idle connection between two requests. The request is sent again, once, on a new
                // connection.
                Ok(None) | Err(_) if reused => {
                    handle.idle_connections.borrow_mut().clear();
                }
                Ok(None) | Err(_) => return AgentReply::ConnectionLost,
            }
        }
    }

    fn apply_agent_event(self: &Rc<Self>, agent: usize, kind: EventKind) {
        let handle = Rc::clone(&self.handles[agent]);
        match kind {
            EventKind::KillAgent => {
                if let Some(mut child) = self.take_process(agent) {
                    handle.kill_count.set(handle.kill_count.get() + 1);
                    let _ = child.start_kill();
                    spawn_local(async move { child.wait().await });
                }
            }
            EventKind::StopAgent => {
                if let Some(child) = self.take_process(agent) {
                    send_signal(&child, Signal::TERM);
                    handle.stopping.borrow_mut().push(child);
                }
            }
            EventKind::StartAgent if handle.child.borrow().is_none() => {
                let _ = self.start(agent);
            }
            EventKind::ReloadAgent => {
                if let Some(child) = &*handle.child.borrow() {
                    send_signal(child, Signal::HUP);
                }
            }
            EventKind::UpgradeAgent => {
                let old = self.take_process(agent);
                let ops_address = self.start(agent);
                spawn_local(async move {
                    if let Ok(mut ops_address) = ops_address {
                        let address =
                            ops_address.wait_for(Option::is_some).await.ok().and_then(|address| *address);
                        if let Some(address) = address {
                            wait_until_ready(address, "/-/ready").await;
                        }
                    }
                    if let Some(old) = old {
                        send_signal(&old, Signal::TERM);
                        handle.stopping.borrow_mut().push(old);
                    }
                });
            }
            _ => {}
        }
    }
}

/// Waits until the agent at this address reports that it is ready.
async fn wait_until_ready(address: SocketAddr, path: &str) {
    loop {
        if let Ok(stream) = TcpStream::connect(address).await {
            let mut connection = Connection::new(stream);
            let text = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
            if matches!(connection.exchange(text.as_bytes()).await, Ok(Some(response)) if response.status == 200)
            {
                return;
            }
        }
        sleep(Duration::from_millis(5)).await;
    }
}

/// The transport of a plain policy: connects to the servers directly over sockets.
struct DirectTransport {
    world: Rc<World>,
    addresses: Rc<ServerAddresses>,
    /// Idle connections by server.
    idle_connections: RefCell<HashMap<usize, Vec<Connection>>>,
}

impl Transport for DirectTransport {
    async fn attempt(&self, server: usize, request: &ClientRequest, may_send: &dyn Fn() -> bool) -> Outcome {
        loop {
            let idle_connection = self.idle_connections.borrow_mut().entry(server).or_default().pop();
            let reused = idle_connection.is_some();
            let mut connection = match idle_connection {
                Some(connection) => connection,
                None => {
                    match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addresses.servers[server])).await {
                        Ok(Ok(stream)) => Connection::new(stream),
                        _ => return Outcome::ConnectFailed,
                    }
                }
            };
            if !may_send() {
                return Outcome::NotSent;
            }
            let encoded = encode_request(&self.world.scenario, request);
            return match connection.exchange(&encoded).await {
                Ok(Some(response)) => {
                    let outcome = match response.status {
                        200 => Outcome::Success,
                        503 | 504 if response.header("x-rejected") == Some("1") => Outcome::Rejected,
                        _ => Outcome::ServerError,
                    };
                    if !response.closes {
                        self.idle_connections.borrow_mut().entry(server).or_default().push(connection);
                    }
                    outcome
                }
                // The server closed the idle connection without an error, so it has not read the request.
                Ok(None) if reused => continue,
                Ok(None) | Err(_) => Outcome::ConnectionReset,
            };
        }
    }
}

/// Records how late the run's own timers fire.
async fn record_timer_lateness(lateness: Rc<RefCell<Histogram<u64>>>) {
    loop {
        let scheduled_at = tokio::time::Instant::now() + TIMER_CHECK_INTERVAL;
        tokio::time::sleep_until(scheduled_at).await;
        let _ = lateness.borrow_mut().record(scheduled_at.elapsed().as_micros() as u64);
    }
}

/// Runs a scenario with a seed. The agents run `program`, and keep their configuration and logs in `folder`.
pub fn run(
    scenario: &Scenario,
    policy: Policy,
    seed: u64,
    (program, folder): (&Path, &Path),
    progress: impl Fn(Micros),
) -> Result<Run, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot create the runtime: {e}"))?;
    let started_at = std::time::Instant::now();
    let local = LocalSet::new();
    let run = local.block_on(&runtime, async {
        let testbed =
            Testbed::new(scenario, seed).map_err(|e| format!("cannot open the servers' sockets: {e}"))?;
        testbed.run_policy(policy, seed, (program, folder), progress).await
    });
    run.map(|run| Run { seconds: started_at.elapsed().as_secs_f64(), ..run })
}

/// The emulated servers on their sockets.
pub struct Testbed {
    /// The state of the servers and of discovery, and the ledger.
    pub world: Rc<World>,
    addresses: Rc<ServerAddresses>,
}

impl Testbed {
    /// Opens the servers' sockets and starts the servers.
    pub fn new(scenario: &Scenario, seed: u64) -> io::Result<Testbed> {
        let world = World::new(scenario, seed);
        let reserved = (0..scenario.fleet.servers)
            .map(|_| ReservedAddress::new(None))
            .collect::<io::Result<Vec<_>>>()?;
        let servers = reserved.iter().map(|reserved| reserved.address).collect();
        let addresses = Rc::new(ServerAddresses { servers, epoch_ms: Cell::new(0) });
        world.spawn_servers();
        for (server, reserved) in reserved.into_iter().enumerate() {
            spawn_local(run_server(Rc::clone(&world), server, reserved));
        }
        Ok(Testbed { world, addresses })
    }

    /// Returns the address of each server.
    pub fn servers(&self) -> &[SocketAddr] {
        &self.addresses.servers
    }

    /// Starts the clock of the run.
    pub fn start_clock(&self) {
        self.world.start_clock();
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.addresses.epoch_ms.set(epoch.as_millis() as u64);
    }

    /// Prepares one agent: its folder, its reserved address, and a discovery listener of its own.
    async fn prepare_agent(&self, number: usize, folder: &Path) -> io::Result<Rc<AgentHandle>> {
        let listener = ReservedAddress::new(None)?.listen()?;
        let reserved = ReservedAddress::new(None)?;
        let folder = folder.join(format!("agent-{number}"));
        std::fs::create_dir_all(&folder)?;
        let handle = Rc::new(AgentHandle {
            number,
            address: reserved.address,
            discovery: listener.local_addr()?,
            folder,
            child: RefCell::default(),
            stopping: RefCell::default(),
            kill_count: Cell::new(0),
            known_list: RefCell::new(self.addresses.list_json(&self.world, None).1),
            idle_connections: RefCell::default(),
            peak_memory_kb: Cell::new(0),
            _reserved_address: reserved,
        });
        let (world, addresses) = (Rc::clone(&self.world), Rc::clone(&self.addresses));
        spawn_local(serve_discovery(world, addresses, Rc::clone(&handle), listener));
        Ok(handle)
    }

    /// Starts all agents and waits until they are ready.
    async fn start_processes(
        &self,
        seed: u64,
        program: &Path,
        folder: &Path,
    ) -> Result<Rc<AgentProcesses>, String> {
        let scenario = &self.world.scenario;
        let mut handles = Vec::new();
        for agent in 0..scenario.agents {
            handles.push(
                self.prepare_agent(agent, folder)
                    .await
                    .map_err(|e| format!("cannot prepare agent {agent}: {e}"))?,
            );
        }
        let (world, program) = (Rc::clone(&self.world), program.to_path_buf());
        let processes =
            Rc::new(AgentProcesses { world, program, handles, seed, processes_started: Cell::new(0) });
        for agent in 0..scenario.agents {
            let started = processes.start(agent);
            started.map_err(|e| format!("cannot start {}: {e}", processes.program.display()))?;
        }
        let all_ready = async {
            for handle in &processes.handles {
                wait_until_ready(handle.address, "/health/ready").await;
            }
        };
        match timeout(START_TIMEOUT, all_ready).await {
            Ok(()) => Ok(processes),
            Err(_) => {
                Err(format!("not all agents became ready in time; their logs are in {}", folder.display()))
            }
        }
    }

    /// Runs the scenario with a policy.
    async fn run_policy(
        &self,
        policy: Policy,
        seed: u64,
        (program, folder): (&Path, &Path),
        progress: impl Fn(Micros),
    ) -> Result<Run, String> {
        let complete = if policy == Policy::Heronhoist {
            let processes = self.start_processes(seed, program, folder).await?;
            let complete = self.run_clients(&processes, seed, progress).await;
            let (memory, crashed) = processes.end_all().await;
            let mut ledger = self.world.ledger.borrow_mut();
            (ledger.memory_mb, ledger.crashed_agents) = (Some(memory), crashed);
            complete
        } else {
            let transport = || DirectTransport {
                world: Rc::clone(&self.world),
                addresses: Rc::clone(&self.addresses),
                idle_connections: RefCell::default(),
            };
            let transports = (0..self.world.scenario.agents).map(|_| Rc::new(transport())).collect();
            let plain_policy = PlainPolicy::new(policy, Rc::clone(&self.world), transports, !seed);
            self.run_clients(&plain_policy, seed, progress).await
        };
        Ok(Run::from_emulation(&self.world, Mode::Real, policy, seed, complete))
    }

    /// Starts the clock, runs the clients, and records how late the run's own timers fired meanwhile.
    async fn run_clients<C: Agents>(&self, agents: &Rc<C>, seed: u64, progress: impl Fn(Micros)) -> bool {
        let lateness =
            Rc::new(RefCell::new(Histogram::new(3).expect("three significant digits are supported")));
        self.start_clock();
        let lateness_task = spawn_local(record_timer_lateness(Rc::clone(&lateness)));
        let complete = emulation::run_clients(&self.world, agents, seed, progress).await;
        lateness_task.abort();
        self.world.ledger.borrow_mut().timer_lateness = lateness.borrow().value_at_quantile(0.99);
        complete
    }

    /// Starts the agents, leaves them running, and serves all requests without checking them.
    pub async fn start_agents(&self, program: &Path, folder: &Path) -> Result<RunningAgents, String> {
        let processes = self.start_processes(1, program, folder).await?;
        self.start_clock();
        self.world.accept_unchecked_requests();
        Ok(RunningAgents(processes))
    }

    /// Returns one line with the totals so far and the number of requests that the servers hold.
    pub fn status(&self) -> String {
        let ledger = self.world.ledger.borrow();
        let held: usize = self.world.servers.borrow().iter().map(crate::server_model::Server::load).sum();
        format!(
            "{} s: {} sends, {} connections opened, {} probes, {held} requests held",
            self.world.now() / 1_000_000,
            self.world.unchecked_requests.get().unwrap_or(0),
            ledger.connections_opened,
            ledger.probes
        )
    }
}

/// Agent processes that keep running until they are ended.
pub struct RunningAgents(Rc<AgentProcesses>);

impl RunningAgents {
    /// Returns the address of each agent.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.0.handles.iter().map(|handle| handle.address)
    }

    /// Ends all agents.
    pub async fn end_all(&self) {
        self.0.end_all().await;
    }
}
