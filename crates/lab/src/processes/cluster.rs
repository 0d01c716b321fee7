//! Real mode: coordinator processes, agents and operators' wrappers are processes of the program, each behind a proxy, with faults
//! of links and processes. The checked observations are the responses to clients, the leases that agents report, and which agents
//! were out when.

mod servers;

use super::checker::{Done, Observations, Op, Outage, WatchLog};
use super::links::{LinkMode, Links};
use super::plan::{FaultKind, Plan};
use super::workload::Keys;
use crate::server_model::Micros;
use heronhoist_coordination::retry_schedule::{RetrySchedule, CALL_TIMEOUT};
use heronhoist_coordination::state::{
    Check, ClusterId, Command, CommandRequest, CommandResult, MemberStatus, Txn, Write,
};
use heronhoist_coordination::wire::{Envelope, Refusal, Request, Response, View, PROTOCOL};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::{getrlimit, kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::Child;
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::{sleep, timeout, Instant};

const FLEET: &str = "lab";
/// The time within which all processes must have recovered after the last fault. A correct program needs far less.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(90);
/// The time after which a client gives up an operation.
const OPERATION_TIMEOUT: Duration = Duration::from_secs(6);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The range of file sizes from which the limit for a failing disk is drawn; writes beyond the limit fail. It lies within what a
/// small cluster writes at each step, and above the size of a process's log file, to which writes must not fail.
const FILE_SIZE_LIMITS: RangeInclusive<u64> = 16 << 10..=64 << 10;

/// The outcome of a run.
pub struct Outcome {
    /// Everything that was observed.
    pub observations: Observations,
    /// Operations with a known outcome.
    pub completed: usize,
    /// Operations with an unknown outcome.
    pub unknown: usize,
    /// Faults that were started.
    pub faults_started: usize,
    /// Outages under permits.
    pub permits_granted: usize,
    /// Checks of agents' leases.
    pub lease_checks: usize,
    /// Processes that exited because their disks had been altered by a fault.
    pub self_terminated: usize,
    /// The number of clients' calls that got a response from a record server, and the number of others.
    pub calls: (u64, u64),
}

struct Process {
    name: String,
    arguments: Vec<String>,
    log: PathBuf,
    child: RefCell<Option<Child>>,
    /// Whether a fault has suspended or killed the process. Only that fault may restart it.
    under_fault: Cell<bool>,
    /// How often the process was started.
    starts: Cell<u64>,
    /// The address on which a coordinator process listens, or the operations address of an agent.
    address: SocketAddr,
}

impl Process {
    fn signal(&self, signal: Signal) {
        let id = self.child.borrow().as_ref().and_then(Child::id);
        if let Some(pid) = id.and_then(|id| Pid::from_raw(id as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    fn start(&self, program: &Path) -> Result<(), String> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.map_err(|e| format!("{}: {e}", self.log.display()))?;
        let mut command = match self.arguments.first().is_some_and(|argument| argument == "council") {
            // With this trap, writes beyond the file size limit that `FaultKind::FailDisk` sets fail instead of killing the
            // process.
            true => {
                let mut shell = tokio::process::Command::new("sh");
                shell.args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""]).arg(program);
                shell
            }
            false => tokio::process::Command::new(program),
        };
        let folder = self.log.parent().unwrap_or(Path::new("."));
        command
            .args(&self.arguments)
            .env("TMPDIR", folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        let child =
            command.kill_on_drop(true).spawn().map_err(|e| format!("cannot start {}: {e}", self.name))?;
        let id = child.id().unwrap_or(0);
        let _ = std::fs::write(self.log.with_extension("pid"), id.to_string());
        *self.child.borrow_mut() = Some(child);
        self.starts.set(self.starts.get() + 1);
        Ok(())
    }

    async fn kill(&self) {
        let child = self.child.borrow_mut().take();
        if let Some(mut child) = child {
            let _ = child.kill().await;
        }
    }

    /// Returns whether the process has exited or was killed.
    fn has_ended(&self) -> bool {
        self.child.borrow_mut().as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }
}

/// What happens to the disk of a process that is killed and restarted.
#[derive(Clone, Copy, PartialEq)]
enum DiskChange {
    Unchanged,
    Wiped,
    Truncated,
}

struct ProcessCluster {
    plan: Plan,
    program: PathBuf,
    folder: PathBuf,
    links: Links,
    coordinators: Vec<Rc<Process>>,
    agents: Vec<Rc<Process>>,
    proxies: Vec<SocketAddr>,
    /// The addresses to which the agents' clients connect.
    fronts: Vec<SocketAddr>,
    /// The listeners of the record servers, until the servers are started.
    listeners: RefCell<Vec<(String, TcpListener)>>,
    calls: servers::Calls,
    started_at: Instant,
    faults_ended: Cell<bool>,
    observations: RefCell<Observations>,
    lease_ends: RefCell<HashMap<(String, u64), Micros>>,
    /// The number of processes that exited by themselves.
    self_terminated: Cell<usize>,
    unknown: Cell<usize>,
    lease_checks: Cell<usize>,
    faults_started: Cell<usize>,
    open_outages: RefCell<BTreeMap<String, usize>>,
    keys: RefCell<Keys>,
    last_value: Cell<u64>,
    rng: RefCell<Pcg64Mcg>,
    command_pids: RefCell<Vec<u32>>,
}

/// Runs one seed with processes of the program.
pub fn run_seed(plan: &Plan, seed: u64, program: &Path, folder: &Path) -> Result<Outcome, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot create the runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        let cluster = Rc::new(ProcessCluster::new(plan, seed, program, folder).await?);
        let outcome = Rc::clone(&cluster).run().await;
        for process in cluster.coordinators.iter().chain(&cluster.agents) {
            process.kill().await;
        }
        outcome
    })
}

/// Returns an address on which nobody listens. Its host is used by this run only and its port lies outside the system's ephemeral
/// range, so that no other connection can take it as its local address.
async fn unused_address() -> std::io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let (next, process) = (NEXT.fetch_add(1, Ordering::Relaxed), std::process::id());
        let parts = [64 + process % 128, next / 254 % 256, 1 + next % 254].map(|part| part as u8);
        let host = Ipv4Addr::new(127, parts[0], parts[1], parts[2]);
        let port = 10_000 + (process.wrapping_mul(31) + next) % 20_000;
        match TcpListener::bind((host, port as u16)).await {
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse => {}
            bound => return bound?.local_addr(),
        }
    }
}

/// Sends one request on its own connection. Returns the status and the body of the response.
async fn http(address: SocketAddr, method: &str, path: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(&[head.as_bytes(), body].concat()).await.ok()?;
        let mut received = Vec::new();
        stream.read_to_end(&mut received).await.ok()?;
        let split = received.windows(4).position(|window| window == b"\r\n\r\n")?;
        let status = std::str::from_utf8(&received[..split]).ok()?.split(' ').nth(1)?.parse().ok()?;
        Some((status, received[split + 4..].to_vec()))
    };
    timeout(Duration::from_micros(CALL_TIMEOUT), exchange).await.ok().flatten()
}

/// A client of the coordinator processes that sends its requests through the proxies.
struct CoordinationClient {
    name: String,
    addresses: Vec<SocketAddr>,
    retry_schedule: RetrySchedule,
    session: Option<u64>,
    sequence: u64,
}

impl CoordinationClient {
    fn new(cluster: &ProcessCluster, name: &str) -> CoordinationClient {
        let (addresses, random) = (cluster.proxies.clone(), cluster.rng.borrow_mut().random());
        CoordinationClient {
            name: name.into(),
            retry_schedule: RetrySchedule::new(addresses.len(), random),
            addresses,
            session: None,
            sequence: 0,
        }
    }

    /// Sends a request once. Returns the response, or the delay before a retry if there is no conclusive response.
    async fn try_request(&mut self, request: &Request) -> Result<Response, Duration> {
        let envelope = Envelope {
            fleet: FLEET.into(),
            protocol: PROTOCOL,
            from: self.name.clone(),
            incarnation: 0,
            term: 0,
        };
        let body = serde_json::json!({ "envelope": envelope, "request": request }).to_string();
        let reply =
            http(self.addresses[self.retry_schedule.target()], "POST", "/v1/ask", body.as_bytes()).await;
        let response = reply.and_then(|(_, body)| serde_json::from_slice::<Response>(&body).ok());
        let delay = match &response {
            Some(Response::Refused(Refusal::NotLeader { leader })) => {
                let index = leader.as_ref().and_then(|peer| {
                    self.addresses.iter().position(|address| address.to_string() == peer.address)
                });
                self.retry_schedule.record_redirect(index, 0.5)
            }
            None
            | Some(Response::Refused(Refusal::Unknown | Refusal::NotFormed(_) | Refusal::LimitExceeded(_))) => {
                self.retry_schedule.record_failure(0.5)
            }
            Some(_) => {
                self.retry_schedule.record_success();
                return response.ok_or(Duration::ZERO);
            }
        };
        Err(Duration::from_micros(delay))
    }

    /// Repeats a request until there is a conclusive response or the time limit has passed.
    async fn request_until(&mut self, request: &Request, time_limit: Duration) -> Option<Response> {
        let deadline = Instant::now() + time_limit;
        loop {
            match self.try_request(request).await {
                Ok(response) => return Some(response),
                Err(_) if Instant::now() > deadline => return None,
                Err(delay) => sleep(delay).await,
            }
        }
    }

    async fn view(&mut self, prefix: &str, time_limit: Duration) -> Option<View> {
        let read = Request::Read { stale: false, prefix: prefix.into(), members: true };
        match self.request_until(&read, time_limit).await {
            Some(Response::Read(view)) => Some(view),
            _ => None,
        }
    }

    /// Returns the request for the next command of the session, which is opened if necessary.
    async fn prepare_command(&mut self, command: Command) -> Option<Request> {
        if self.session.is_none() {
            let open = Request::Command(CommandRequest { session: None, command: Command::OpenSession });
            match self.request_until(&open, OPERATION_TIMEOUT).await {
                Some(Response::Reply(CommandResult::SessionOpened(session), _)) => {
                    self.session = Some(session);
                }
                _ => return None,
            }
        }
        self.sequence += 1;
        Some(Request::Command(CommandRequest {
            session: self.session.map(|session| (session, self.sequence)),
            command,
        }))
    }
}

impl ProcessCluster {
    async fn new(plan: &Plan, seed: u64, program: &Path, folder: &Path) -> Result<ProcessCluster, String> {
        let to_text = |e: std::io::Error| e.to_string();
        std::fs::create_dir_all(folder).map_err(to_text)?;
        let links = Links::default();
        let (mut listen_addresses, mut proxies) = (Vec::new(), Vec::new());
        for n in 0..plan.coordinators {
            let listen = unused_address().await.map_err(to_text)?;
            proxies.push(links.start_proxy(&format!("c{n}"), listen).await.map_err(to_text)?);
            listen_addresses.push(listen);
        }
        let process = |name: String, file: PathBuf, command: &str, address| {
            let arguments = vec![command.into(), "--config".into(), file.to_string_lossy().into()];
            let (child, under_fault, log) =
                (RefCell::new(None), Cell::new(false), folder.join(format!("{name}.log")));
            let starts = Cell::new(0);
            Rc::new(Process { name, arguments, log, child, under_fault, starts, address })
        };
        let election_ms = plan.tick_interval as f64 / 1e3 * 10.0;
        let mut coordinators = Vec::new();
        for (n, listen) in listen_addresses.iter().enumerate() {
            let mut text = format!(
                "[council]\nfleet = \"{FLEET}\"\nname = \"c{n}\"\nlisten = \"{listen}\"\ndisk = \"c{n}.redb\"\nlease_ms = {}\n\
                 election_ms = {election_ms}\ndrift = {:?}\nlog_entries = {}\n",
                plan.lease_terms.duration as f64 / 1e3,
                plan.lease_terms.max_clock_drift,
                plan.log_entries.max(64)
            );
            // The number of retained changes keeps its default, since all changes are read at the end to check what watchers
            // received.
            for (n, proxy) in proxies.iter().enumerate() {
                text += &format!("[[council.peer]]\nname = \"c{n}\"\naddress = \"{proxy}\"\n");
            }
            let file = folder.join(format!("c{n}.toml"));
            std::fs::write(&file, text).map_err(to_text)?;
            coordinators.push(process(format!("c{n}"), file, "council", *listen));
        }
        let proxy_list: Vec<String> = proxies.iter().map(|proxy| format!("\"{proxy}\"")).collect();
        let mut listeners = Vec::new();
        let mut servers = Vec::new();
        for n in 0..plan.servers {
            let listener =
                TcpListener::bind(unused_address().await.map_err(to_text)?).await.map_err(to_text)?;
            let address = listener.local_addr().map_err(to_text)?;
            servers.push(format!("{{ name = \"s{n}\", address = \"{address}\" }}"));
            listeners.push((format!("s{n}"), listener));
        }
        if servers.is_empty() {
            let unused = unused_address().await.map_err(to_text)?;
            servers.push(format!("{{ name = \"s0\", address = \"{unused}\" }}"));
        }
        let servers = servers.join(", ");
        let (mut agents, mut fronts) = (Vec::new(), Vec::new());
        for n in 0..plan.agents {
            let [front, ops] =
                [unused_address().await.map_err(to_text)?, unused_address().await.map_err(to_text)?];
            fronts.push(front);
            let text = format!(
                "[ops]\nlisten = \"{ops}\"\n[[class]]\nname = \"lookup\"\neffect = \"idempotent\"\naim_ms = 200\n\
                 deadline_ms = 1000\n[[pool]]\nname = \"records\"\nmembership = \"static\"\n\
                 server = [{servers}]\n[[front]]\nname = \"desk\"\nlisten = \"{front}\"\n\
                 [fleet]\nname = \"{FLEET}\"\nmember = \"a{n}\"\nsite = \"site{}\"\ncouncil = [{}]\n",
                n % plan.sites,
                proxy_list.join(", ")
            );
            let file = folder.join(format!("a{n}.toml"));
            std::fs::write(&file, text).map_err(to_text)?;
            agents.push(process(format!("a{n}"), file, "run", ops));
        }
        Ok(ProcessCluster {
            plan: plan.clone(),
            program: program.into(),
            folder: folder.into(),
            links,
            coordinators,
            agents,
            proxies,
            fronts,
            listeners: RefCell::new(listeners),
            calls: servers::Calls::default(),
            started_at: Instant::now(),
            faults_ended: Cell::new(false),
            observations: RefCell::default(),
            lease_ends: RefCell::default(),
            self_terminated: Cell::new(0),
            unknown: Cell::new(0),
            lease_checks: Cell::new(0),
            faults_started: Cell::new(0),
            open_outages: RefCell::default(),
            keys: RefCell::default(),
            last_value: Cell::new(0),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            command_pids: RefCell::default(),
        })
    }

    fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    fn record_violation(&self, violation: String) {
        self.observations.borrow_mut().violations.push(violation);
    }

    /// Sets the budgets with the program's own command.
    async fn set_budgets(&self) -> Result<(), String> {
        let mut text =
            format!("[[budget]]\nof = \"servers\"\nby = \"all\"\nmost = {}\n", self.plan.max_servers_out);
        text +=
            &format!("[[budget]]\nof = \"agents\"\nby = \"site\"\nmost = {}\n", self.plan.permits_per_site);
        for n in 0..self.plan.servers {
            text += &format!("[[server]]\nname = \"s{n}\"\nsite = \"site{}\"\n", n % self.plan.sites);
        }
        let file = self.folder.join("budgets.toml");
        std::fs::write(&file, text).map_err(|e| e.to_string())?;
        match self.run_command(&["fleet", "budgets", &file.to_string_lossy()]).await {
            Some(0) => Ok(()),
            other => Err(format!("setting the budgets failed: the command ended with {other:?}")),
        }
    }

    async fn run(self: Rc<Self>) -> Result<Outcome, String> {
        self.start_servers();
        for process in self.coordinators.iter().chain(&self.agents) {
            process.start(&self.program)?;
        }
        let mut client = CoordinationClient::new(&self, "judge");
        if client.view("note/", SETTLE_TIMEOUT).await.is_none() {
            return Err(format!(
                "the coordinator processes did not form a cluster in time; their logs are in {}",
                self.folder.display()
            ));
        }
        if self.plan.operators > 0 {
            for site in 0..self.plan.sites {
                let max_out = self.plan.permits_per_site.to_string();
                let site = format!("site{site}");
                self.run_command(&["fleet", "permits", "--site", &site, "--most", &max_out]).await;
            }
        }
        if self.plan.servers > 0 {
            self.set_budgets().await?;
        }
        let mut tasks: Vec<JoinHandle<()>> = Vec::new();
        for agent in &self.agents {
            tasks.push(spawn_local(Rc::clone(&self).supervise_agent(Rc::clone(agent))));
        }
        let lease_reader = spawn_local(Rc::clone(&self).record_lease_ends());
        let watchers: Vec<JoinHandle<WatchLog>> =
            (0..self.plan.watchers).map(|n| spawn_local(Rc::clone(&self).watch(n))).collect();
        let clients: Vec<JoinHandle<()>> =
            (0..self.plan.clients).map(|n| spawn_local(Rc::clone(&self).client(n))).collect();
        let operators: Vec<JoinHandle<()>> =
            (0..self.plan.operators).map(|_| spawn_local(Rc::clone(&self).operator())).collect();
        let callers = if self.plan.servers > 0 { self.agents.len() } else { 0 };
        let callers: Vec<JoinHandle<()>> =
            (0..callers).map(|n| spawn_local(Rc::clone(&self).call_agent(n))).collect();
        let drainers: Vec<JoinHandle<()>> =
            (0..self.plan.drainers).map(|n| spawn_local(Rc::clone(&self).drainer(n))).collect();
        self.inject_faults().await;
        self.faults_ended.set(true);
        self.links.clear();
        for process in self.coordinators.iter().chain(&self.agents) {
            process.signal(Signal::CONT);
        }
        for client in clients.into_iter().chain(operators).chain(callers).chain(drainers) {
            let _ = client.await;
        }
        self.wait_for_recovery(&mut client).await;
        for watcher in watchers {
            let log = watcher.await.unwrap_or_default();
            self.observations.borrow_mut().watch_logs.push(log);
        }
        lease_reader.abort();
        tasks.iter().for_each(JoinHandle::abort);
        self.read_final_state(&mut client).await;
        let mut observations = self.observations.take();
        observations.requests_to_draining = self.requests_received();
        let completed = observations.operations.iter().filter(|done| done.returned.is_some()).count();
        let permits_granted = observations.outages.len();
        let (unknown, faults_started, lease_checks) =
            (self.unknown.get(), self.faults_started.get(), self.lease_checks.get());
        Ok(Outcome {
            completed,
            unknown,
            faults_started,
            permits_granted,
            lease_checks,
            self_terminated: self.self_terminated.get(),
            calls: self.calls.call_counts(),
            observations,
        })
    }

    /// Waits until every agent is living and ready again.
    async fn wait_for_recovery(&self, client: &mut CoordinationClient) {
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(view) = client.view("budget/", OPERATION_TIMEOUT).await {
                let is_ready = |agent: &Rc<Process>| {
                    view.members.get(&agent.name).is_some_and(|m| m.status == MemberStatus::Living && m.ready)
                };
                if self.agents.iter().all(is_ready) {
                    return;
                }
            }
            sleep(POLL_INTERVAL).await;
        }
        self.record_violation("the processes did not recover after the last fault".into());
    }

    /// Reads all changes from the first one on, and the final state, which counts as one more read of each record.
    async fn read_final_state(&self, client: &mut CoordinationClient) {
        let Some(view) = client.view("", OPERATION_TIMEOUT).await else { return };
        let mut after = 0;
        while after < view.revision {
            let watch = Request::Watch { cluster_id: view.cluster_id, after, prefix: String::new() };
            match client.request_until(&watch, OPERATION_TIMEOUT).await {
                Some(Response::Changes { changes, upto }) => {
                    self.observations.borrow_mut().changes.extend(changes);
                    after = upto;
                }
                other => {
                    return self.record_violation(format!(
                        "the changes after revision {after} can't be read: {other:?}"
                    ))
                }
            }
        }
        let mut keys: Vec<String> =
            self.observations.borrow().operations.iter().map(|done| done.key.clone()).collect();
        keys.sort();
        keys.dedup();
        let now = self.now();
        for key in keys {
            let value = view.records.get(&key).and_then(|record| record.value.parse().ok());
            let done = Done { key, op: Op::Read(value), called: now, returned: Some(now + 1) };
            self.observations.borrow_mut().operations.push(done);
        }
    }

    async fn run_command(&self, arguments: &[&str]) -> Option<i32> {
        let proxy_list: Vec<String> = self.proxies.iter().map(ToString::to_string).collect();
        let subcommand_length = if arguments[0] == "hold" { 1 } else { 2 };
        let mut command = tokio::process::Command::new(&self.program);
        command
            .args(&arguments[..subcommand_length])
            .args(["--council", &proxy_list.join(","), "--fleet", FLEET])
            .args(&arguments[subcommand_length..]);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null()).kill_on_drop(true);
        let mut child = command.spawn().ok()?;
        let id = child.id().unwrap_or(0);
        self.command_pids.borrow_mut().push(id);
        let code = child.wait().await.ok().and_then(|status| status.code());
        self.command_pids.borrow_mut().retain(|other| *other != id);
        code
    }

    // Agents.

    /// Restarts an agent when it has ended, and checks the lease that it reports.
    async fn supervise_agent(self: Rc<Self>, agent: Rc<Process>) {
        let marker = agent.log.with_extension("out");
        loop {
            sleep(POLL_INTERVAL).await;
            if agent.has_ended() && !agent.under_fault.get() {
                if std::fs::remove_file(&marker).is_ok() {
                    let agent_index =
                        self.agents.iter().position(|other| other.name == agent.name).unwrap_or(0);
                    let budget = format!("site{}", agent_index % self.plan.sites);
                    let mut observations = self.observations.borrow_mut();
                    self.open_outages.borrow_mut().insert(agent.name.clone(), observations.outages.len());
                    let from = self.now();
                    observations.outages.push(Outage {
                        budget,
                        agent: agent.name.clone(),
                        granted: from,
                        from,
                        to: None,
                    });
                }
                let downtime = self.rng.borrow_mut().random_range(100..2000);
                sleep(Duration::from_millis(downtime)).await;
                if let Err(why) = agent.start(&self.program) {
                    self.record_violation(why);
                }
            }
            let (lease_ends, start_count) = (self.lease_ends.borrow().clone(), agent.starts.get());
            let Some((_, metrics)) = http(agent.address, "GET", "/-/metrics", b"").await else { continue };
            let metrics = String::from_utf8_lossy(&metrics).into_owned();
            let metric = |name: &str| {
                let line = metrics.lines().find(|line| line.split(' ').next() == Some(name))?;
                line.split(' ').nth(1)?.parse::<f64>().ok()
            };
            let Some((holds_lease, incarnation)) = metric("app_fleet_lease_held")
                .zip(metric("app_fleet_incarnation"))
                .map(|(h, i)| (h > 0.0, i as u64))
            else {
                continue;
            };
            self.lease_checks.set(self.lease_checks.get() + 1);
            if holds_lease && agent.starts.get() == start_count {
                self.calls.record_lease(&agent.name, incarnation, start_count);
            }
            if let Some(ended_at) = lease_ends.get(&(agent.name.clone(), incarnation)).filter(|_| holds_lease)
            {
                self.record_violation(format!(
                    "{} (incarnation {incarnation}) reports that it holds a lease that had ended at {ended_at}",
                    agent.name
                ));
            }
            // The outage ends once the agent is ready again.
            if http(agent.address, "GET", "/-/ready", b"").await.is_some_and(|(status, _)| status == 200) {
                if let Some(outage_index) = self.open_outages.borrow_mut().remove(&agent.name) {
                    self.observations.borrow_mut().outages[outage_index].to = Some(self.now());
                }
            }
        }
    }

    /// Records which leases the coordinator processes count as ended, as seen by a reader.
    async fn record_lease_ends(self: Rc<Self>) {
        let mut client = CoordinationClient::new(&self, "reader");
        loop {
            if let Some(view) = client.view("budget/", OPERATION_TIMEOUT).await {
                let ended_at = self.now();
                for (name, member) in view.members {
                    if !member.status.may_hold_lease() {
                        self.lease_ends.borrow_mut().entry((name, member.incarnation)).or_insert(ended_at);
                    }
                }
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    // Clients and watchers.

    async fn client(self: Rc<Self>, number: usize) {
        let mut client = CoordinationClient::new(&self, &format!("k{number}"));
        let mut seen: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        while !self.faults_ended.get() {
            let key = self.keys.borrow_mut().draw(self.plan.clients, &mut *self.rng.borrow_mut());
            let random: f64 = self.rng.borrow_mut().random();
            let new_value = self.last_value.get() + 1;
            self.last_value.set(new_value);
            let called = self.now();
            let op = Op::draw(random, seen.get(&key).map(|seen| seen.0), new_value);
            let mut checks = Vec::new();
            if let Op::Swap(..) = op {
                let check = seen.get(&key).map(|(_, revision)| Check::At(key.clone(), *revision));
                checks.push(check.unwrap_or(Check::Absent(key.clone())));
            }
            let request = match op {
                Op::Read(_) => Some(Request::Read { stale: false, prefix: key.clone(), members: false }),
                _ => {
                    let writes = vec![Write::Put(key.clone(), new_value.to_string())];
                    client.prepare_command(Command::Write(Txn { checks, writes })).await
                }
            };
            let Some(request) = request else { continue };
            let response = client.request_until(&request, OPERATION_TIMEOUT).await;
            let returned = Some(self.now());
            let (op, returned) = match (response, op) {
                (Some(Response::Read(view)), Op::Read(_)) => {
                    let record = view.records.get(&key);
                    let value: Option<u64> = record.and_then(|record| record.value.parse().ok());
                    match record.zip(value) {
                        Some((record, value)) => drop(seen.insert(key.clone(), (value, record.revision))),
                        None => drop(seen.remove(&key)),
                    }
                    (Op::Read(value), returned)
                }
                (Some(Response::Reply(CommandResult::Done(revision), _)), op) => {
                    seen.insert(key.clone(), (new_value, revision));
                    (op, returned)
                }
                (Some(Response::Reply(CommandResult::Conflict { .. }, _)), Op::Swap(old, new, _)) => {
                    (Op::Swap(old, new, false), returned)
                }
                (other, op) => {
                    if matches!(other, Some(Response::Reply(CommandResult::NoSession, _))) {
                        client.session = None;
                    }
                    self.unknown.set(self.unknown.get() + 1);
                    (op.unknown(), None)
                }
            };
            self.observations.borrow_mut().operations.push(Done { key, op, called, returned });
            let pause = self
                .rng
                .borrow_mut()
                .random_range(self.plan.mean_client_pause / 2..=self.plan.mean_client_pause * 3 / 2);
            sleep(Duration::from_micros(pause)).await;
        }
    }

    async fn watch(self: Rc<Self>, number: usize) -> WatchLog {
        let mut client = CoordinationClient::new(&self, &format!("w{number}"));
        let mut log = WatchLog::default();
        let mut from: Option<(ClusterId, u64)> = None;
        while !self.faults_ended.get() {
            let request = match from {
                None => Request::Read { stale: false, prefix: String::new(), members: true },
                Some((cluster_id, after)) => Request::Watch { cluster_id, after, prefix: String::new() },
            };
            match client.try_request(&request).await {
                Ok(Response::Read(view)) => {
                    from = Some((view.cluster_id, view.revision));
                    log.segments.push((view.cluster_id, view.revision, Vec::new(), view.revision));
                }
                Ok(Response::Changes { changes, upto }) => {
                    if let Some(segment) = log.segments.last_mut() {
                        segment.2.extend(changes);
                        segment.3 = upto;
                        from = Some((segment.0, upto));
                    }
                }
                Ok(_) => from = None,
                Err(delay) => sleep(delay).await,
            }
        }
        log
    }

    /// Takes agents out under permits, with the program's own wrapper.
    async fn operator(self: Rc<Self>) {
        while !self.faults_ended.get() {
            let pause = self.rng.borrow_mut().random_range(100..1500);
            sleep(Duration::from_millis(pause)).await;
            let agent = self.rng.borrow_mut().random_range(0..self.agents.len().max(1));
            let Some(agent) = self.agents.get(agent) else { return };
            // The marker file shows that the agent was killed under a permit. A suspended agent is killed like any other.
            let (marker, pid_file) = (agent.log.with_extension("out"), agent.log.with_extension("pid"));
            let line = format!("touch '{}'; kill -9 $(cat '{}')", marker.display(), pid_file.display());
            let subject = format!("agent:{}", agent.name);
            let arguments = ["hold", "--for", &subject, "--why", "lab", "--", "sh", "-c", &line];
            // After the last fault, the operator doesn't wait for an agent that its command failed to kill.
            tokio::select! {
                _ = self.run_command(&arguments) => {}
                () = async { while !self.faults_ended.get() { sleep(POLL_INTERVAL).await } } => {}
            }
        }
    }

    // Faults.

    fn random_process<'a>(&self, processes: &'a [Rc<Process>]) -> Option<&'a Rc<Process>> {
        processes.choose(&mut *self.rng.borrow_mut())
    }

    async fn inject_faults(self: &Rc<Self>) {
        let started_at = Instant::now();
        let ends_at = started_at + Duration::from_micros(self.plan.duration);
        let mut tasks = Vec::new();
        for fault in self.plan.scheduled_faults.clone() {
            let cluster = Rc::clone(self);
            tasks.push(spawn_local(async move {
                tokio::time::sleep_until(started_at + Duration::from_micros(fault.starts_at)).await;
                cluster.faults_started.set(cluster.faults_started.get() + 1);
                let (target, peer) = (fault.target.as_deref(), fault.peer.as_deref());
                Rc::clone(&cluster)
                    .inject_fault(fault.kind, (target, peer), Duration::from_micros(fault.duration))
                    .await;
            }));
        }
        if self.plan.fault_interval == 0 || self.plan.fault_kinds.is_empty() {
            tokio::time::sleep_until(ends_at).await;
        }
        while self.plan.fault_interval > 0
            && Instant::now() < ends_at
            && !crate::emulation::INTERRUPTED.load(std::sync::atomic::Ordering::Relaxed)
        {
            let (kind, duration, pause) = {
                let mut rng = self.rng.borrow_mut();
                let kind = *self.plan.fault_kinds.choose(&mut *rng).unwrap_or(&FaultKind::CutLink);
                let duration = rng.random_range(self.plan.tick_interval..=self.plan.max_fault_duration);
                (
                    kind,
                    duration,
                    rng.random_range(self.plan.fault_interval / 4..=self.plan.fault_interval * 7 / 4),
                )
            };
            self.faults_started.set(self.faults_started.get() + 1);
            tasks.push(spawn_local(Rc::clone(self).inject_fault(
                kind,
                (None, None),
                Duration::from_micros(duration),
            )));
            sleep(Duration::from_micros(pause)).await;
        }
        // Each fault ends by itself and undoes its effects.
        for task in tasks {
            let _ = task.await;
        }
    }

    /// Returns the process with this name, the leader for `leader`, or a random process if no name is given.
    async fn select_process(&self, name: Option<&str>, processes: &[Rc<Process>]) -> Option<Rc<Process>> {
        match name {
            None => self.random_process(processes).cloned(),
            Some("leader") => {
                for process in &self.coordinators {
                    let body = serde_json::json!({
                        "envelope": { "fleet": FLEET, "protocol": PROTOCOL, "from": "rig", "incarnation": 0, "term": 0 },
                        "request": Request::Status,
                    });
                    let reply = http(process.address, "POST", "/v1/ask", body.to_string().as_bytes()).await;
                    let response = reply.and_then(|(_, body)| serde_json::from_slice::<Response>(&body).ok());
                    if matches!(response, Some(Response::Status(status, _)) if status.leader == status.node_id)
                    {
                        return Some(Rc::clone(process));
                    }
                }
                self.random_process(processes).cloned()
            }
            Some(name) => processes.iter().find(|process| process.name == name).cloned(),
        }
    }

    async fn inject_fault(
        self: Rc<Self>,
        kind: FaultKind,
        (target, peer): (Option<&str>, Option<&str>),
        duration: Duration,
    ) {
        let coordinators: Vec<String> =
            self.coordinators.iter().map(|process| process.name.clone()).collect();
        let clients = (0..self.plan.clients).map(|n| format!("k{n}"));
        let watchers = (0..self.plan.watchers).map(|n| format!("w{n}"));
        let agents = self.agents.iter().map(|process| process.name.clone());
        let names: Vec<String> =
            coordinators.iter().cloned().chain(agents).chain(clients).chain(watchers).collect();
        let coordinator = self.select_process(target, &self.coordinators).await;
        let agent = self.select_process(target, &self.agents).await;
        let one = coordinator.as_ref().map_or_else(String::new, |process| process.name.clone());
        let drawn = || names.choose(&mut *self.rng.borrow_mut()).cloned().unwrap_or_default();
        let other = peer.map_or_else(drawn, String::from);
        let links_between = |includes: &dyn Fn(&str, &str) -> bool| -> Vec<(String, String)> {
            let pair = |a: &String| names.iter().map(|b| (a.clone(), b.clone())).collect::<Vec<_>>();
            names.iter().flat_map(pair).filter(|(a, b)| a != b && includes(a, b)).collect()
        };
        let delay = Duration::from_millis(self.rng.borrow_mut().random_range(100..5000));
        match kind {
            FaultKind::SuspendCoordinator => self.suspend(coordinator, duration).await,
            FaultKind::SuspendAgent | FaultKind::DuplicateAgent => self.suspend(agent, duration).await,
            FaultKind::KillCoordinator => self.restart(coordinator, duration, DiskChange::Unchanged).await,
            FaultKind::KillAgent => self.restart(agent, duration, DiskChange::Unchanged).await,
            FaultKind::WipeDisk => self.restart(coordinator, duration, DiskChange::Wiped).await,
            FaultKind::TruncateDisk => self.restart(coordinator, duration, DiskChange::Truncated).await,
            FaultKind::RollBackDisk => self.roll_back_disk(target, duration).await,
            FaultKind::FailDisk => self.fail_disk(coordinator, duration).await,
            FaultKind::SuspendOperator | FaultKind::KillOperator => {
                let id = self.command_pids.borrow().choose(&mut *self.rng.borrow_mut()).copied();
                let pid = id.and_then(|id| Pid::from_raw(id as i32));
                let Some(pid) = pid else { return };
                if kind == FaultKind::KillOperator {
                    let _ = kill_process(pid, Signal::KILL);
                    return;
                }
                let _ = kill_process(pid, Signal::STOP);
                sleep(duration).await;
                if self.command_pids.borrow().iter().any(|other| Some(*other) == id) {
                    let _ = kill_process(pid, Signal::CONT);
                }
            }
            FaultKind::CutLink => {
                self.apply_link_mode(
                    links_between(&|a, b| (a, b) == (&one, &other) || (b, a) == (&one, &other)),
                    LinkMode::Drop,
                    duration,
                )
                .await;
            }
            FaultKind::CutOneWay => {
                let reversed = self.rng.borrow_mut().random_bool(0.5);
                let direction = if reversed { (other, one) } else { (one, other) };
                self.apply_link_mode(vec![direction], LinkMode::Drop, duration).await;
            }
            FaultKind::Partition => {
                let in_first_part: BTreeMap<String, bool> =
                    names.iter().map(|name| (name.clone(), self.rng.borrow_mut().random_bool(0.5))).collect();
                self.apply_link_mode(
                    links_between(&|a, b| in_first_part[a] != in_first_part[b]),
                    LinkMode::Drop,
                    duration,
                )
                .await;
            }
            FaultKind::CutRing => {
                let position = |name: &str| coordinators.iter().position(|other| other == name);
                let is_next = |a: &str, b: &str| {
                    position(a).zip(position(b)).is_some_and(|(a, b)| (a + 1) % coordinators.len() == b)
                };
                self.apply_link_mode(
                    links_between(&|a, b| is_next(a, b) || is_next(b, a)),
                    LinkMode::Reset,
                    duration,
                )
                .await;
            }
            FaultKind::DelayLink => {
                let throttles = self.rng.borrow_mut().random_bool(0.3);
                let mode = if throttles { LinkMode::Throttle(400) } else { LinkMode::Delay(delay) };
                self.apply_link_mode(vec![(one.clone(), other.clone()), (other, one)], mode, duration).await;
            }
            FaultKind::HoldLink => {
                self.apply_link_mode(
                    vec![(one.clone(), other.clone()), (other, one)],
                    LinkMode::Hold,
                    duration,
                )
                .await;
            }
            FaultKind::DropReplies => {
                self.apply_link_mode(
                    links_between(&|a, b| a == one && !coordinators.iter().any(|c| c == b)),
                    LinkMode::Drop,
                    duration,
                )
                .await;
            }
            FaultKind::IsolateCoordinator => {
                self.apply_link_mode(links_between(&|a, b| a == one || b == one), LinkMode::Drop, duration)
                    .await;
            }
            FaultKind::DelayProcess => {
                self.apply_link_mode(
                    links_between(&|a, b| a == one || b == one),
                    LinkMode::Delay(delay),
                    duration,
                )
                .await;
            }
        }
    }

    async fn apply_link_mode(&self, links: Vec<(String, String)>, mode: LinkMode, duration: Duration) {
        for (from, to) in &links {
            self.links.set(from, to, mode);
        }
        sleep(duration).await;
        for (from, to) in &links {
            self.links.set(from, to, LinkMode::Forward);
        }
    }

    async fn suspend(&self, process: Option<Rc<Process>>, duration: Duration) {
        let Some(process) = process.filter(|process| !process.under_fault.replace(true)) else { return };
        process.signal(Signal::STOP);
        sleep(duration).await;
        process.signal(Signal::CONT);
        process.under_fault.set(false);
    }

    /// Kills a process and restarts it. A coordinator process that has lost its disk is replaced by a new member.
    async fn restart(&self, process: Option<Rc<Process>>, duration: Duration, disk_change: DiskChange) {
        let Some(process) = process.filter(|process| !process.under_fault.replace(true)) else { return };
        process.kill().await;
        sleep(duration).await;
        // Only one disk is lost at a time, since a cluster can't recover from the loss of a majority of its disks.
        let disk_change =
            if self.others_are_unaffected(&process) { disk_change } else { DiskChange::Unchanged };
        let disk = self.disk_path(&process);
        if disk_change == DiskChange::Wiped {
            self.replace(&process).await;
        } else {
            if disk_change == DiskChange::Truncated {
                let truncated = std::fs::OpenOptions::new().write(true).open(&disk);
                let truncated = truncated.and_then(|file| file.set_len(file.metadata()?.len() / 2));
                if let Err(why) = truncated {
                    self.record_violation(format!("{}: {why}", disk.display()));
                }
            }
            if let Err(why) = process.start(&self.program) {
                self.record_violation(why);
            }
            if disk_change == DiskChange::Truncated {
                self.expect_exit_and_replace(&process, "cut short").await;
            }
        }
        process.under_fault.set(false);
    }

    /// Kills a process that isn't the leader and restarts it, kills it again after a while, and sets its disk back to the copy from
    /// the first kill.
    async fn roll_back_disk(&self, target: Option<&str>, duration: Duration) {
        let leader =
            self.select_process(Some("leader"), &self.coordinators).await.map(|process| process.name.clone());
        let others: Vec<Rc<Process>> = self
            .coordinators
            .iter()
            .filter(|process| Some(&process.name) != leader.as_ref())
            .cloned()
            .collect();
        let process =
            self.select_process(target, &others).await.filter(|process| !process.under_fault.replace(true));
        let Some(process) = process else { return };
        let (disk, copy) = (self.disk_path(&process), self.folder.join("older.redb"));
        if self.others_are_unaffected(&process) {
            process.kill().await;
            let copied = std::fs::copy(&disk, &copy);
            let started = process.start(&self.program);
            sleep(duration).await;
            process.kill().await;
            let restored = copied.and_then(|_| std::fs::rename(&copy, &disk));
            if let Err(why) =
                started.and(restored.map_err(|e| e.to_string())).and(process.start(&self.program))
            {
                self.record_violation(why);
            }
            self.expect_exit_and_replace(&process, "older than what it has acknowledged").await;
        }
        process.under_fault.set(false);
    }

    /// Limits the file size of a process for a while, so that writes beyond the limit fail, and the write that crosses it fails in
    /// its middle.
    async fn fail_disk(&self, process: Option<Rc<Process>>, duration: Duration) {
        let Some(process) = process.filter(|process| !process.under_fault.replace(true)) else { return };
        let limit = self.rng.borrow_mut().random_range(FILE_SIZE_LIMITS);
        let id = process.child.borrow().as_ref().and_then(Child::id);
        let pid = id.and_then(|id| Pid::from_raw(id as i32));
        // The process inherited its limit from this one, its parent.
        let own_limit = getrlimit(Resource::Fsize);
        if let Some(pid) = pid {
            let limited = prlimit(Some(pid), Resource::Fsize, Rlimit { current: Some(limit), ..own_limit });
            sleep(duration).await;
            if let Err(why) = limited.and_then(|_| prlimit(Some(pid), Resource::Fsize, own_limit)) {
                self.record_violation(format!(
                    "{}: cannot set or reset the limit of its file size: {why}",
                    process.name
                ));
            }
        }
        process.under_fault.set(false);
    }

    fn disk_path(&self, process: &Process) -> PathBuf {
        self.folder.join(format!("{}.redb", process.name))
    }

    fn others_are_unaffected(&self, process: &Process) -> bool {
        self.coordinators.iter().all(|other| other.name == process.name || !other.under_fault.get())
    }

    /// Waits until a process whose disk was altered by a fault exits and reports the reason in one line. It is then replaced by a new
    /// member.
    async fn expect_exit_and_replace(&self, process: &Process, why: &str) {
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        while !process.has_ended() {
            if Instant::now() > deadline {
                return self
                    .record_violation(format!("{} still runs, although its disk is {why}", process.name));
            }
            sleep(POLL_INTERVAL).await;
        }
        let log = std::fs::read_to_string(&process.log).unwrap_or_default();
        let last_line = log.lines().last().unwrap_or_default();
        if !last_line.contains(why) || log.contains("panicked") {
            self.record_violation(format!(
                "{} did not report that its disk is {why}, its last log line is: {last_line}",
                process.name
            ));
        }
        self.self_terminated.set(self.self_terminated.get() + 1);
        self.replace(process).await;
    }

    /// Starts a process with an empty disk and adds it to the cluster in place of the old one.
    async fn replace(&self, process: &Process) {
        let _ = std::fs::remove_file(self.disk_path(process));
        if let Err(why) = process.start(&self.program) {
            self.record_violation(why);
        }
        while self.run_command(&["fleet", "replace", &process.name]).await != Some(0) {
            sleep(POLL_INTERVAL).await;
        }
    }
}
