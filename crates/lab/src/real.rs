//! Real mode: the same servers, discovery, clients and faults, on loopback sockets, with the real agent between them, one
//! process an agent. What happens to an agent happens to its process.

use crate::checker::ClientResponse;
use crate::emulation::{
    self, AgentReply, Agents, ClientRequest, ServerOutcome, World, CONNECT_TIMEOUT, KEEPALIVE_TIMEOUT,
};
use crate::policy::{PlainPolicy, Policy, Transport};
use crate::record::{Mode, Run};
use crate::scenario::{EventKind, Scenario};
use crate::server_model::{Micros, Reachability};
use crate::signal::Signal as Changing;
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

/// All agents are ready by then, or the run fails.
const START_WAIT: Duration = Duration::from_secs(30);
/// How often the run looks whether it is late itself.
const TICK: Duration = Duration::from_millis(10);
const BACKLOG: i32 = 1024;

/// An address that stays ours while nobody listens there: connections to it are refused.
struct Held {
    socket: Socket,
    address: SocketAddr,
}

impl Held {
    fn new(address: Option<SocketAddr>) -> io::Result<Held> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        let address = address.unwrap_or(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
        socket.bind(&address.into())?;
        let address = socket.local_addr()?.as_socket().unwrap_or(address);
        Ok(Held { socket, address })
    }

    fn listen(self) -> io::Result<TcpListener> {
        self.socket.listen(BACKLOG)?;
        TcpListener::from_std(self.socket.into())
    }
}

type Reaching = Changing<(u32, Reachability)>;

/// A server on its address, through all its lives.
async fn host(world: Rc<World>, server: usize, held: Held) -> io::Result<()> {
    let reach = &world.reachability[server];
    let address = held.address;
    let mut held = Some(held);
    loop {
        let (life, is) = reach.get();
        if is == Reachability::Down {
            if held.is_none() {
                held = Some(Held::new(Some(address))?);
            }
            reach.wait_for(|now| now != (life, is)).await;
            continue;
        }
        let Some(here) = held.take() else { return Ok(()) };
        let listener = here.listen()?;
        // The queue of connections that it has not taken, while it is cut off.
        let mut queue: Vec<TcpStream> = Vec::new();
        while reach.get().0 == life && reach.get().1 != Reachability::Down {
            let seen = reach.get();
            if seen.1 == Reachability::Unresponsive {
                // A full queue lets no connection come up, as a machine that is cut off lets none.
                let _ = SockRef::from(&listener).listen(0);
                while queue.len() < 8 {
                    match timeout(Duration::from_millis(20), TcpStream::connect(address)).await {
                        Ok(Ok(stream)) => queue.push(stream),
                        _ => break,
                    }
                }
                reach.wait_for(|now| now != seen).await;
                continue;
            }
            if !queue.is_empty() {
                queue.clear();
                let _ = SockRef::from(&listener).listen(BACKLOG);
            }
            tokio::select! {
                biased;
                _ = reach.wait_for(|now| now != seen) => {}
                taken = listener.accept() => if let Ok((stream, _)) = taken {
                    spawn_local(connection(Rc::clone(&world), server, life, Connection::new(stream)));
                }
            }
        }
        drop(listener);
        held = Some(Held::new(Some(address))?);
    }
}

/// Waits until this life can't be reached any more.
async fn cut(reach: &Reaching, life: u32) {
    reach.wait_for(|(now, is)| now != life || is != Reachability::Up).await;
}

async fn connection(world: Rc<World>, server: usize, life: u32, mut line: Connection) {
    let reach = &world.reachability[server];
    let mut counted = false;
    let ends = loop {
        tokio::select! {
            biased;
            () = cut(reach, life) => break false,
            begun = timeout(KEEPALIVE_TIMEOUT, line.wait_for_data()) => if !matches!(begun, Ok(Ok(true))) { break true },
        }
        let at = world.now();
        let has_room = counted || world.connect(server, None);
        counted |= has_room;
        if !has_room {
            let _ = line.read(false).await;
            let _ = line
                .write(b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
                .await;
            break true;
        }
        let answered = tokio::select! {
            biased;
            () = cut(reach, life) => break false,
            answered = answer(&world, server, at, &mut line) => answered,
        };
        match answered {
            Ok(true) => {}
            Ok(false) => break true,
            Err(_) => break false,
        }
    };
    if counted {
        world.disconnect(server, life);
    }
    if !ends {
        // What is cut off stays silent; when it can be reached again, its old connections are not.
        reach.wait_for(|(_, is)| is != Reachability::Unresponsive).await;
        line.reset();
    }
}

/// Reads one request, whose first byte came then, and answers it; false if the connection is to end.
async fn answer(world: &World, server: usize, at: Micros, line: &mut Connection) -> io::Result<bool> {
    let Some(request) = line.read(false).await? else { return Ok(false) };
    let one_way_delay = Duration::from_micros(world.scenario.fleet.one_way_delay);
    let report = |world: &World| {
        let values = world.servers.borrow_mut()[server].load_report(world.now());
        format!("X-Load-Report: inflight={},queue={},util={}\r\n", values[0], values[1], values[2])
    };
    if request.target == "/health/live" || request.target == "/stats" {
        world.ledger.borrow_mut().probes += 1;
        sleep(2 * one_way_delay).await;
        line.write(format!("HTTP/1.1 200 OK\r\n{}Content-Length: 0\r\n\r\n", report(world)).as_bytes())
            .await?;
        return Ok(true);
    }
    let number = request.header("x-call-id").and_then(|id| usize::from_str_radix(id, 16).ok());
    let known = number.and_then(|n| {
        let ledger = world.ledger.borrow();
        ledger.client_attempts.get(n).map(|t| (t.call, t.agent))
    });
    let class = request.target.split(['/', '?']).nth(1).unwrap_or_default();
    let stray = || {
        let sent = world.unchecked_requests.get()?;
        let class = world.scenario.classes.iter().position(|mix| mix.name == class)?;
        world.unchecked_requests.set(Some(sent + 1));
        Some((class, None))
    };
    let known = known.map(|(call, agent)| (call, Some(agent))).or_else(stray);
    let Some((call, agent)) = known else {
        line.write(b"HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n").await?;
        return Ok(true);
    };
    if let Some(agent) = agent {
        world.ledger.borrow_mut().sends.push((at, server, agent));
    }
    let served = tokio::select! {
        biased;
        () = line.closed() => return Ok(false),
        served = async {
            sleep(one_way_delay).await;
            let served = world.serve(server, call, number.filter(|_| agent.is_some()), call as u64).await;
            sleep(one_way_delay).await;
            served
        } => served,
    };
    let body = format!("served {call} by s{server}");
    let reports = world.scenario.settings.report_source != ReportSource::None;
    let report = if reports { report(world) } else { String::new() };
    let answer = match served {
        ServerOutcome::Completed => {
            format!("HTTP/1.1 200 OK\r\n{report}Content-Length: {}\r\n\r\n{body}", body.len())
        }
        ServerOutcome::Error => "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n".into(),
        ServerOutcome::Rejected => "HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n".into(),
        ServerOutcome::Reset => return Err(io::ErrorKind::ConnectionReset.into()),
    };
    line.write(answer.as_bytes()).await?;
    Ok(true)
}

/// Where everything is.
struct Places {
    servers: Vec<SocketAddr>,
    /// The system's time at the beginning of the run, in milliseconds.
    epoch_ms: Cell<u64>,
}

impl Places {
    fn list(&self, world: &World, from: Option<i64>) -> (i64, String) {
        let registry = world.registry.borrow();
        let lines = registry.entries_since(from);
        let target = |line: &crate::registry::ListEntry| {
            let state = match line.state {
                EndpointState::Serving => "SERVING",
                EndpointState::Draining => "DRAINING",
                EndpointState::Removed => "DELETED",
            };
            json!({"uid": line.name, "endpoint": self.servers[line.server], "az": "a", "model": "m",
                "pod_group": line.building, "state": state, "capacity_hint": 1.0,
                "boot_ms": line.started.map_or(0, |at| self.epoch_ms.get() + at / 1000)})
        };
        let targets: Vec<Value> = lines.iter().map(target).collect();
        let version = registry.version();
        let list = json!({"rev": version, "all": from.is_none(), "targets": targets});
        (version, list.to_string())
    }
}

/// Discovery as one agent has it.
async fn discovery(world: Rc<World>, places: Rc<Places>, agent: Rc<AgentSlot>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let (world, places, agent) = (Rc::clone(&world), Rc::clone(&places), Rc::clone(&agent));
        spawn_local(async move {
            let mut line = Connection::new(stream);
            while let Ok(Some(request)) = line.read(false).await {
                let Some(body) = lists(&world, &places, &agent, &request).await else { break };
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                if line.write([head.as_bytes(), body.as_bytes()].concat().as_slice()).await.is_err() {
                    break;
                }
            }
        });
    }
}

/// The answer to one call of discovery; `None` if it is turned away.
async fn lists(world: &World, places: &Places, agent: &AgentSlot, request: &Message) -> Option<String> {
    let query = request.target.split_once('?').map_or("", |(_, query)| query);
    let figure = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse::<i64>().ok())
    };
    let from = figure("from");
    if let Some(from) = from {
        let hold = Duration::from_millis(figure("hold_ms").unwrap_or(0).clamp(0, 60_000) as u64);
        let newer = world.changed.wait_for(|_| {
            let registry = world.registry.borrow();
            registry.version() > from && !registry.is_down()
        });
        if timeout(hold, newer).await.is_ok() {
            sleep(world.notification_delay()).await;
        }
    }
    // While it is down it says nothing.
    world.changed.wait_for(|_| !world.registry.borrow().is_down()).await;
    let now = world.now();
    let written = {
        let mut registry = world.registry.borrow_mut();
        let lines = registry.entries_since(from).len();
        registry.write_list(now, lines)?
    };
    sleep(Duration::from_micros(written - now)).await;
    let (version, list) = places.list(world, from);
    world.record_list_version(agent.number, version);
    *agent.known.borrow_mut() = places.list(world, None).1;
    Some(list)
}

/// One agent: its place, its processes, and its clients' connections.
struct AgentSlot {
    number: usize,
    address: SocketAddr,
    discovery: SocketAddr,
    folder: PathBuf,
    child: RefCell<Option<Child>>,
    /// Processes that were asked to stop.
    ending: RefCell<Vec<Child>>,
    /// Grows whenever a process of it is killed.
    killed: Cell<u32>,
    known: RefCell<String>,
    /// Its clients' connections that rest, and which try each carried last.
    clients: RefCell<Vec<(Connection, usize)>>,
    peak_kb: Cell<u64>,
    /// Keeps the address ours between its processes.
    _held: Held,
}

fn peak_kb(child: &Child) -> u64 {
    let status = child.id().and_then(|id| std::fs::read_to_string(format!("/proc/{id}/status")).ok());
    let line = status.as_deref().unwrap_or_default().lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.and_then(|kb| kb.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}

fn signal(child: &Child, signal: Signal) {
    if let Some(pid) = child.id().and_then(|id| Pid::from_raw(id as i32)) {
        let _ = kill_process(pid, signal);
    }
}

/// Real agents.
struct Processes {
    world: Rc<World>,
    program: PathBuf,
    slots: Vec<Rc<AgentSlot>>,
    seed: u64,
    started: Cell<u64>,
}

impl Processes {
    fn start(&self, agent: usize) -> io::Result<watch::Receiver<Option<SocketAddr>>> {
        let slot = &self.slots[agent];
        let nonce = self.started.replace(self.started.get() + 1);
        let known: Value = serde_json::from_str(&slot.known.borrow()).unwrap_or(Value::Null);
        self.world.record_list_version(agent, known["rev"].as_i64().unwrap_or(0));
        let seed = format!("{:016x}", self.seed.wrapping_mul(1_000_003).wrapping_add(nonce));
        let config = json!({"name": format!("a{agent}"), "listen": slot.address, "discovery": slot.discovery,
            "seed": seed, "ops": "127.0.0.1:0", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known, "settings": settings(&self.world.scenario)});
        let file = slot.folder.join("config.json");
        std::fs::write(&file, config.to_string())?;
        let mut command = Command::new(&self.program);
        command.env_clear().env("LB_CONFIG", &file).env("TMPDIR", &slot.folder);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
        let mut child = command.spawn()?;
        // Its log is read to its end, or a full pipe would stop it; what it says first tells where operators call.
        let (tell, ops) = watch::channel(None);
        if let Some(log) = child.stderr.take() {
            let path = slot.folder.join("agent.log");
            spawn_local(async move {
                let mut lines = BufReader::new(log).lines();
                let mut kept = std::fs::File::options().create(true).append(true).open(path).ok();
                let mut room: usize = 1 << 20;
                while let Ok(Some(line)) = lines.next_line().await {
                    if let Some((_, place)) = line.split_once("operators may call at ") {
                        tell.send_replace(place.split_whitespace().next().and_then(|at| at.parse().ok()));
                    }
                    room = room.saturating_sub(line.len() + 1);
                    if let Some(kept) = kept.as_mut().filter(|_| room > 0) {
                        let _ = io::Write::write_all(kept, format!("{line}\n").as_bytes());
                    }
                }
            });
        }
        *slot.child.borrow_mut() = Some(child);
        Ok(ops)
    }

    /// Takes the process away, with its greatest memory written down.
    fn take(&self, agent: usize) -> Option<Child> {
        let slot = &self.slots[agent];
        let child = slot.child.borrow_mut().take()?;
        slot.peak_kb.set(slot.peak_kb.get().max(peak_kb(&child)));
        Some(child)
    }

    /// Ends all; returns the greatest memory of any, and how many had ended by themselves.
    async fn end(&self) -> (f64, usize) {
        let (mut peak, mut crashed) = (0, 0);
        for agent in 0..self.slots.len() {
            if let Some(mut child) = self.take(agent) {
                crashed += usize::from(!matches!(child.try_wait(), Ok(None)));
                let _ = child.kill().await;
            }
            let slot = &self.slots[agent];
            let ending = std::mem::take(&mut *slot.ending.borrow_mut());
            for mut child in ending {
                // One that was asked to stop has done so well, or is still at it.
                crashed += usize::from(matches!(child.try_wait(), Ok(Some(status)) if !status.success()));
                let _ = child.kill().await;
            }
            peak = peak.max(slot.peak_kb.get());
        }
        (peak as f64 / 1024.0, crashed)
    }
}

/// The settings as the platform would give them.
fn settings(scenario: &Scenario) -> Value {
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
    let parties = scenario.tenants.iter().zip(&settings.tenants);
    let parties = parties.map(|((name, share), tenant)| {
        json!({"name": name, "fraction": share, "allowancePerS": tenant.quota_per_second})
    });
    let source = if settings.report_source == ReportSource::None { "silent" } else { "piggyback" };
    json!({
        "balancers": scenario.settings.balancers, "zones": ["a"], "kinds": ["m"], "zone": 0, "discovery": "pushed",
        "classes": classes.collect::<Vec<_>>(), "parties": parties.collect::<Vec<_>>(),
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

/// A try as it is written on the wire.
fn request(scenario: &Scenario, ask: &ClientRequest) -> Vec<u8> {
    let class = &scenario.classes[ask.class];
    let effect = scenario.settings.classes[ask.class].effect;
    let (id, budget) = (ask.attempt, ask.budget.as_millis().max(1));
    let mut head = format!(
        "{} /{name}/{call} HTTP/1.1\r\nHost: records\r\nX-Call-Id: {id:016x}\r\nX-Call-Class: {name}\r\nX-Budget-Ms: {budget}\r\n",
        if effect == Effect::Idempotent { "GET" } else { "POST" },
        name = class.name,
        call = ask.call
    );
    if matches!(effect, Effect::Deduplicated { .. }) {
        head += &format!("Idempotency-Key: {:032x}\r\n", ask.call);
    }
    if let Some((name, _)) = scenario.tenants.get(ask.tenant) {
        head += &format!("X-Caller: {name}\r\n");
    }
    if let Some(hint) = ask.cost_hint {
        head += &format!("X-Call-Cost: {hint}\r\n");
    }
    if ask.is_retry {
        head += "X-Again: 1\r\n";
    }
    if effect == Effect::Idempotent {
        head += "\r\n";
    } else {
        let body = format!("call={}", ask.call);
        head += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    }
    head.into_bytes()
}

/// True if a body is what a server made for this call.
fn is_ours(body: &[u8], call: usize) -> bool {
    body.strip_prefix(format!("served {call} by s").as_bytes())
        .is_some_and(|rest| rest.iter().all(u8::is_ascii_digit))
}

impl Agents for Processes {
    async fn handle_request(&self, agent: usize, ask: ClientRequest) -> AgentReply {
        let slot = &self.slots[agent];
        let killed = slot.killed.get();
        let text = request(&self.world.scenario, &ask);
        loop {
            let kept = slot.clients.borrow_mut().pop();
            let reused = kept.is_some();
            let mut line = match kept {
                Some((line, last)) if line.has_unread_data() => {
                    // Whatever comes after an answer is a second one.
                    let now = self.world.now();
                    self.world.ledger.borrow_mut().client_attempts[last]
                        .responses
                        .push((now, ClientResponse::Failed));
                    continue;
                }
                Some((line, _)) => line,
                None => match TcpStream::connect(slot.address).await {
                    Ok(stream) => Connection::new(stream),
                    Err(_) => return AgentReply::Unreachable,
                },
            };
            match line.exchange(&text).await {
                Ok(Some(answer)) => {
                    if !answer.closes {
                        slot.clients.borrow_mut().push((line, ask.attempt));
                    }
                    let wait = answer.header("retry-after").and_then(|value| value.parse::<f64>().ok());
                    return AgentReply::Response(match answer.status {
                        200 if is_ours(&answer.body, ask.call) => ClientResponse::Success,
                        // Served with something that no server made for it.
                        200 => return AgentReply::ConnectionLost,
                        429 | 503 => ClientResponse::Rejected(wait.map(|wait| (wait * 1e6) as Micros)),
                        _ => ClientResponse::Failed,
                    });
                }
                _ if slot.killed.get() != killed => return AgentReply::AgentDied,
                // The agent closed it between two requests: this one is sent again, once, on a new one.
                Ok(None) | Err(_) if reused => {
                    slot.clients.borrow_mut().clear();
                }
                Ok(None) | Err(_) => return AgentReply::ConnectionLost,
            }
        }
    }

    fn apply_agent_event(self: &Rc<Self>, agent: usize, what: EventKind) {
        let slot = Rc::clone(&self.slots[agent]);
        match what {
            EventKind::KillAgent => {
                if let Some(mut child) = self.take(agent) {
                    slot.killed.set(slot.killed.get() + 1);
                    let _ = child.start_kill();
                    spawn_local(async move { child.wait().await });
                }
            }
            EventKind::StopAgent => {
                if let Some(child) = self.take(agent) {
                    signal(&child, Signal::TERM);
                    slot.ending.borrow_mut().push(child);
                }
            }
            EventKind::StartAgent if slot.child.borrow().is_none() => {
                let _ = self.start(agent);
            }
            EventKind::ReloadAgent => {
                if let Some(child) = &*slot.child.borrow() {
                    signal(child, Signal::HUP);
                }
            }
            EventKind::UpgradeAgent => {
                let old = self.take(agent);
                let ops = self.start(agent);
                spawn_local(async move {
                    if let Ok(mut ops) = ops {
                        let place = ops.wait_for(Option::is_some).await.ok().and_then(|place| *place);
                        if let Some(place) = place {
                            ready(place, "/-/ready").await;
                        }
                    }
                    if let Some(old) = old {
                        signal(&old, Signal::TERM);
                        slot.ending.borrow_mut().push(old);
                    }
                });
            }
            _ => {}
        }
    }
}

/// Waits until somebody answers there that he is ready.
async fn ready(address: SocketAddr, path: &str) {
    loop {
        if let Ok(stream) = TcpStream::connect(address).await {
            let mut line = Connection::new(stream);
            let text = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
            if matches!(line.exchange(text.as_bytes()).await, Ok(Some(answer)) if answer.status == 200) {
                return;
            }
        }
        sleep(Duration::from_millis(5)).await;
    }
}

/// How a plain policy reaches servers over sockets.
struct Direct {
    world: Rc<World>,
    places: Rc<Places>,
    resting: RefCell<HashMap<usize, Vec<Connection>>>,
}

impl Transport for Direct {
    async fn attempt(&self, server: usize, ask: &ClientRequest, may_send: &dyn Fn() -> bool) -> Outcome {
        loop {
            let kept = self.resting.borrow_mut().entry(server).or_default().pop();
            let reused = kept.is_some();
            let mut line = match kept {
                Some(line) => line,
                None => match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.places.servers[server])).await
                {
                    Ok(Ok(stream)) => Connection::new(stream),
                    _ => return Outcome::ConnectFailed,
                },
            };
            if !may_send() {
                return Outcome::NotSent;
            }
            let text = request(&self.world.scenario, ask);
            return match line.exchange(&text).await {
                Ok(Some(answer)) => {
                    let outcome = match answer.status {
                        200 => Outcome::Success,
                        503 | 504 if answer.header("x-rejected") == Some("1") => Outcome::Rejected,
                        _ => Outcome::ServerError,
                    };
                    if !answer.closes {
                        self.resting.borrow_mut().entry(server).or_default().push(line);
                    }
                    outcome
                }
                // An orderly end of a connection that had rested: nothing was read there.
                Ok(None) if reused => continue,
                Ok(None) | Err(_) => Outcome::ConnectionReset,
            };
        }
    }
}

/// Notes how late the run's own timers are.
async fn ticks(late: Rc<RefCell<Histogram<u64>>>) {
    loop {
        let due = tokio::time::Instant::now() + TICK;
        tokio::time::sleep_until(due).await;
        let _ = late.borrow_mut().record(due.elapsed().as_micros() as u64);
    }
}

/// Plays a scenario with a seed, with this program as agent and this folder for what it leaves.
pub fn run(
    scenario: &Scenario,
    policy: Policy,
    seed: u64,
    (program, folder): (&Path, &Path),
    progress: impl Fn(Micros),
) -> Result<Run, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    let begun = std::time::Instant::now();
    let local = LocalSet::new();
    let run = local.block_on(&runtime, async {
        let testbed = Testbed::new(scenario, seed).map_err(|e| format!("no sockets for the servers: {e}"))?;
        testbed.play(policy, seed, (program, folder), progress).await
    });
    run.map(|run| Run { seconds: begun.elapsed().as_secs_f64(), ..run })
}

/// The servers on their sockets.
pub struct Testbed {
    /// What is behind them.
    pub world: Rc<World>,
    places: Rc<Places>,
}

impl Testbed {
    /// Opens all servers' addresses and lets them work.
    pub fn new(scenario: &Scenario, seed: u64) -> io::Result<Testbed> {
        let world = World::new(scenario, seed);
        let held = (0..scenario.fleet.servers).map(|_| Held::new(None)).collect::<io::Result<Vec<_>>>()?;
        let servers = held.iter().map(|held| held.address).collect();
        let places = Rc::new(Places { servers, epoch_ms: Cell::new(0) });
        world.spawn_servers();
        for (server, held) in held.into_iter().enumerate() {
            spawn_local(host(Rc::clone(&world), server, held));
        }
        Ok(Testbed { world, places })
    }

    /// Where each server listens.
    pub fn servers(&self) -> &[SocketAddr] {
        &self.places.servers
    }

    /// Time begins now.
    pub fn begin(&self) {
        self.world.start_clock();
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.places.epoch_ms.set(epoch.as_millis() as u64);
    }

    /// A list for one agent, at an address of its own.
    async fn slot(&self, number: usize, folder: &Path) -> io::Result<Rc<AgentSlot>> {
        let listener = Held::new(None)?.listen()?;
        let held = Held::new(None)?;
        let folder = folder.join(format!("agent-{number}"));
        std::fs::create_dir_all(&folder)?;
        let slot = Rc::new(AgentSlot {
            number,
            address: held.address,
            discovery: listener.local_addr()?,
            folder,
            child: RefCell::default(),
            ending: RefCell::default(),
            killed: Cell::new(0),
            known: RefCell::new(self.places.list(&self.world, None).1),
            clients: RefCell::default(),
            peak_kb: Cell::new(0),
            _held: held,
        });
        let (world, places) = (Rc::clone(&self.world), Rc::clone(&self.places));
        spawn_local(discovery(world, places, Rc::clone(&slot), listener));
        Ok(slot)
    }

    async fn agents(&self, seed: u64, program: &Path, folder: &Path) -> Result<Rc<Processes>, String> {
        let scenario = &self.world.scenario;
        let mut slots = Vec::new();
        for agent in 0..scenario.agents {
            slots.push(
                self.slot(agent, folder).await.map_err(|e| format!("no place for agent {agent}: {e}"))?,
            );
        }
        let (world, program) = (Rc::clone(&self.world), program.to_path_buf());
        let processes = Rc::new(Processes { world, program, slots, seed, started: Cell::new(0) });
        for agent in 0..scenario.agents {
            let started = processes.start(agent);
            started.map_err(|e| format!("cannot start {}: {e}", processes.program.display()))?;
        }
        let all_ready = async {
            for slot in &processes.slots {
                ready(slot.address, "/health/ready").await;
            }
        };
        match timeout(START_WAIT, all_ready).await {
            Ok(()) => Ok(processes),
            Err(_) => {
                Err(format!("not all agents were ready in time; their logs are in {}", folder.display()))
            }
        }
    }

    async fn play(
        &self,
        policy: Policy,
        seed: u64,
        (program, folder): (&Path, &Path),
        progress: impl Fn(Micros),
    ) -> Result<Run, String> {
        let whole = if policy == Policy::Heronhoist {
            let processes = self.agents(seed, program, folder).await?;
            let whole = self.timed(&processes, seed, progress).await;
            let (memory, crashed) = processes.end().await;
            let mut ledger = self.world.ledger.borrow_mut();
            (ledger.memory_mb, ledger.crashed_agents) = (Some(memory), crashed);
            whole
        } else {
            let way = || Direct {
                world: Rc::clone(&self.world),
                places: Rc::clone(&self.places),
                resting: RefCell::default(),
            };
            let ways = (0..self.world.scenario.agents).map(|_| Rc::new(way())).collect();
            let plain = PlainPolicy::new(policy, Rc::clone(&self.world), ways, !seed);
            self.timed(&plain, seed, progress).await
        };
        Ok(Run::from_emulation(&self.world, Mode::Real, policy, seed, whole))
    }

    /// Begins, plays, and writes down how late the run's own timers were meanwhile.
    async fn timed<C: Agents>(&self, carrier: &Rc<C>, seed: u64, progress: impl Fn(Micros)) -> bool {
        let late = Rc::new(RefCell::new(Histogram::new(3).expect("three digits are kept")));
        self.begin();
        let ticks = spawn_local(ticks(Rc::clone(&late)));
        let whole = emulation::run_clients(&self.world, carrier, seed, progress).await;
        ticks.abort();
        self.world.ledger.borrow_mut().timer_lateness = late.borrow().value_at_quantile(0.99);
        whole
    }

    /// Starts the agents and leaves everything up.
    pub async fn start_agents(&self, program: &Path, folder: &Path) -> Result<RunningAgents, String> {
        let processes = self.agents(1, program, folder).await?;
        self.begin();
        self.world.accept_unchecked_requests();
        Ok(RunningAgents(processes))
    }

    /// In one line: what has been sent so far and what the servers hold.
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

/// Agents that were left up.
pub struct RunningAgents(Rc<Processes>);

impl RunningAgents {
    /// Where each listens.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.0.slots.iter().map(|slot| slot.address)
    }

    /// Ends them.
    pub async fn end_all(&self) {
        self.0.end().await;
    }
}
