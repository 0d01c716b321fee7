//! Real mode: council processes, agents and operators' wrappers of the program, each behind a proxy, with faults of links and
//! processes. What is judged is what clients were answered, what agents say of their leases, and who was out when.

mod servers;

use super::checker::{Done, Op, Out, Seen, Watched};
use super::links::{Does, Links};
use super::plan::{Kind, Plan};
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
/// After the last fault everything comes right within this, or nothing does; far beyond what a sound program needs.
const SETTLE: Duration = Duration::from_secs(90);
/// A client gives an operation up after this.
const PATIENCE: Duration = Duration::from_secs(6);
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Where a process's disk fails, writes beyond a bound do that is drawn from these: within what a small council writes at each
/// step, and beyond what it has said in its log.
const FAILS_BEYOND: RangeInclusive<u64> = 16 << 10..=64 << 10;

/// What a run came to.
pub struct Outcome {
    /// What was seen.
    pub seen: Seen,
    /// Operations with a known outcome.
    pub settled: usize,
    /// Without.
    pub unknown: usize,
    /// Faults that were begun.
    pub faults: usize,
    /// Permits under which something was out.
    pub permits: usize,
    /// Looks at agents' leases.
    pub looks: usize,
    /// Processes that ended by themselves, since their disks were not what they had been.
    pub ended: usize,
    /// Calls of clients that had an answer of a record server, and others.
    pub calls: (u64, u64),
}

struct Process {
    name: String,
    arguments: Vec<String>,
    log: PathBuf,
    child: RefCell<Option<Child>>,
    /// It is stopped, or down on purpose: nobody starts it but the fault that did it.
    held: Cell<bool>,
    /// How often it was started.
    starts: Cell<u64>,
    /// Where it listens, or operators call.
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
        let mut command = match self.arguments.first().is_some_and(|word| word == "council") {
            // Writes beyond a bound, which `Kind::FailDisk` sets, fail then, and do not kill.
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

    /// It has ended by itself, or by another's hand.
    fn has_ended(&self) -> bool {
        self.child.borrow_mut().as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }
}

/// What becomes of the disk of a process that is killed and started again.
#[derive(Clone, Copy, PartialEq)]
enum After {
    Kept,
    Emptied,
    Cut,
}

struct ProcessCluster {
    plan: Plan,
    program: PathBuf,
    folder: PathBuf,
    links: Links,
    council: Vec<Rc<Process>>,
    agents: Vec<Rc<Process>>,
    proxies: Vec<SocketAddr>,
    /// Where the agents' clients call.
    fronts: Vec<SocketAddr>,
    /// Where record servers listen, until they serve.
    listeners: RefCell<Vec<(String, TcpListener)>>,
    calls: servers::Calls,
    begun: Instant,
    healed: Cell<bool>,
    seen: RefCell<Seen>,
    endings: RefCell<HashMap<(String, u64), Micros>>,
    /// Processes that ended by themselves.
    ended: Cell<usize>,
    unknown: Cell<usize>,
    looks: Cell<usize>,
    faults: Cell<usize>,
    out: RefCell<BTreeMap<String, usize>>,
    keys: RefCell<Keys>,
    values: Cell<u64>,
    rng: RefCell<Pcg64Mcg>,
    wrappers: RefCell<Vec<u32>>,
}

/// Plays one seed with processes of the program.
pub fn play(plan: &Plan, seed: u64, program: &Path, folder: &Path) -> Result<Outcome, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        let cluster = Rc::new(ProcessCluster::new(plan, seed, program, folder).await?);
        let played = Rc::clone(&cluster).run().await;
        for process in cluster.council.iter().chain(&cluster.agents) {
            process.kill().await;
        }
        played
    })
}

/// An address that nobody listens on, and that no connection takes as its own end meanwhile: a host and a port of its own,
/// outside of those that the system gives out.
async fn free() -> std::io::Result<SocketAddr> {
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

/// One call with a body of its own connection.
async fn http(address: SocketAddr, method: &str, path: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
    let calling = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(&[head.as_bytes(), body].concat()).await.ok()?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.ok()?;
        let split = answer.windows(4).position(|window| window == b"\r\n\r\n")?;
        let status = std::str::from_utf8(&answer[..split]).ok()?.split(' ').nth(1)?.parse().ok()?;
        Some((status, answer[split + 4..].to_vec()))
    };
    timeout(Duration::from_micros(CALL_TIMEOUT), calling).await.ok().flatten()
}

/// Somebody who asks the council through the links.
struct Asker {
    name: String,
    addresses: Vec<SocketAddr>,
    caller: RetrySchedule,
    session: Option<u64>,
    number: u64,
}

impl Asker {
    fn new(cluster: &ProcessCluster, name: &str) -> Asker {
        let (addresses, draw) = (cluster.proxies.clone(), cluster.rng.borrow_mut().random());
        Asker {
            name: name.into(),
            caller: RetrySchedule::new(addresses.len(), draw),
            addresses,
            session: None,
            number: 0,
        }
    }

    /// One call, and the pause that is due if it settled nothing.
    async fn once(&mut self, request: &Request) -> Result<Response, Duration> {
        let envelope = Envelope {
            fleet: FLEET.into(),
            protocol: PROTOCOL,
            from: self.name.clone(),
            incarnation: 0,
            term: 0,
        };
        let body = serde_json::json!({ "envelope": envelope, "request": request }).to_string();
        let answer = http(self.addresses[self.caller.target()], "POST", "/v1/ask", body.as_bytes()).await;
        let response = answer.and_then(|(_, body)| serde_json::from_slice::<Response>(&body).ok());
        let pause = match &response {
            Some(Response::Refused(Refusal::NotLeader { leader })) => {
                let at = leader.as_ref().and_then(|peer| {
                    self.addresses.iter().position(|address| address.to_string() == peer.address)
                });
                self.caller.record_redirect(at, 0.5)
            }
            None
            | Some(Response::Refused(Refusal::Unknown | Refusal::NotFormed(_) | Refusal::LimitExceeded(_))) => {
                self.caller.record_failure(0.5)
            }
            Some(_) => {
                self.caller.record_success();
                return response.ok_or(Duration::ZERO);
            }
        };
        Err(Duration::from_micros(pause))
    }

    /// Asks until it is settled, for so long.
    async fn settled(&mut self, request: &Request, within: Duration) -> Option<Response> {
        let until = Instant::now() + within;
        loop {
            match self.once(request).await {
                Ok(response) => return Some(response),
                Err(_) if Instant::now() > until => return None,
                Err(pause) => sleep(pause).await,
            }
        }
    }

    async fn view(&mut self, prefix: &str, within: Duration) -> Option<View> {
        let read = Request::Read { stale: false, prefix: prefix.into(), members: true };
        match self.settled(&read, within).await {
            Some(Response::Read(view)) => Some(view),
            _ => None,
        }
    }

    /// The next command under the session, which is opened if there is none.
    async fn call(&mut self, command: Command) -> Option<Request> {
        if self.session.is_none() {
            let open = Request::Command(CommandRequest { session: None, command: Command::OpenSession });
            match self.settled(&open, PATIENCE).await {
                Some(Response::Reply(CommandResult::SessionOpened(session), _)) => {
                    self.session = Some(session);
                }
                _ => return None,
            }
        }
        self.number += 1;
        Some(Request::Command(CommandRequest {
            session: self.session.map(|session| (session, self.number)),
            command,
        }))
    }
}

impl ProcessCluster {
    async fn new(plan: &Plan, seed: u64, program: &Path, folder: &Path) -> Result<ProcessCluster, String> {
        let fault = |e: std::io::Error| e.to_string();
        std::fs::create_dir_all(folder).map_err(fault)?;
        let links = Links::default();
        let (mut listens, mut proxies) = (Vec::new(), Vec::new());
        for n in 0..plan.coordinators {
            let listen = free().await.map_err(fault)?;
            proxies.push(links.before(&format!("c{n}"), listen).await.map_err(fault)?);
            listens.push(listen);
        }
        let process = |name: String, file: PathBuf, command: &str, address| {
            let arguments = vec![command.into(), "--config".into(), file.to_string_lossy().into()];
            let (child, held, log) =
                (RefCell::new(None), Cell::new(false), folder.join(format!("{name}.log")));
            let starts = Cell::new(0);
            Rc::new(Process { name, arguments, log, child, held, starts, address })
        };
        let election = plan.tick as f64 / 1e3 * 10.0;
        let mut council = Vec::new();
        for (n, listen) in listens.iter().enumerate() {
            let mut text = format!(
                "[council]\nfleet = \"{FLEET}\"\nname = \"c{n}\"\nlisten = \"{listen}\"\ndisk = \"c{n}.redb\"\nlease_ms = {}\n\
                 election_ms = {election}\ndrift = {:?}\nlog_entries = {}\n",
                plan.terms.duration as f64 / 1e3,
                plan.terms.max_clock_drift,
                plan.log_entries.max(64)
            );
            // Changes are kept as many as the program keeps: watchers are judged by all of them, read at the end.
            for (n, proxy) in proxies.iter().enumerate() {
                text += &format!("[[council.peer]]\nname = \"c{n}\"\naddress = \"{proxy}\"\n");
            }
            let file = folder.join(format!("c{n}.toml"));
            std::fs::write(&file, text).map_err(fault)?;
            council.push(process(format!("c{n}"), file, "council", *listen));
        }
        let list: Vec<String> = proxies.iter().map(|proxy| format!("\"{proxy}\"")).collect();
        let mut listeners = Vec::new();
        let mut servers = Vec::new();
        for n in 0..plan.servers {
            let listener = TcpListener::bind(free().await.map_err(fault)?).await.map_err(fault)?;
            let address = listener.local_addr().map_err(fault)?;
            servers.push(format!("{{ name = \"s{n}\", address = \"{address}\" }}"));
            listeners.push((format!("s{n}"), listener));
        }
        if servers.is_empty() {
            let nobody = free().await.map_err(fault)?;
            servers.push(format!("{{ name = \"s0\", address = \"{nobody}\" }}"));
        }
        let servers = servers.join(", ");
        let (mut agents, mut fronts) = (Vec::new(), Vec::new());
        for n in 0..plan.agents {
            let [front, ops] = [free().await.map_err(fault)?, free().await.map_err(fault)?];
            fronts.push(front);
            let text = format!(
                "[ops]\nlisten = \"{ops}\"\n[[class]]\nname = \"lookup\"\neffect = \"idempotent\"\naim_ms = 200\n\
                 deadline_ms = 1000\n[[pool]]\nname = \"records\"\nmembership = \"static\"\n\
                 server = [{servers}]\n[[front]]\nname = \"desk\"\nlisten = \"{front}\"\n\
                 [fleet]\nname = \"{FLEET}\"\nmember = \"a{n}\"\nsite = \"site{}\"\ncouncil = [{}]\n",
                n % plan.sites,
                list.join(", ")
            );
            let file = folder.join(format!("a{n}.toml"));
            std::fs::write(&file, text).map_err(fault)?;
            agents.push(process(format!("a{n}"), file, "run", ops));
        }
        Ok(ProcessCluster {
            plan: plan.clone(),
            program: program.into(),
            folder: folder.into(),
            links,
            council,
            agents,
            proxies,
            fronts,
            listeners: RefCell::new(listeners),
            calls: servers::Calls::default(),
            begun: Instant::now(),
            healed: Cell::new(false),
            seen: RefCell::default(),
            endings: RefCell::default(),
            ended: Cell::new(0),
            unknown: Cell::new(0),
            looks: Cell::new(0),
            faults: Cell::new(0),
            out: RefCell::default(),
            keys: RefCell::default(),
            values: Cell::new(0),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            wrappers: RefCell::default(),
        })
    }

    fn now(&self) -> Micros {
        self.begun.elapsed().as_micros() as Micros
    }

    fn wrong(&self, what: String) {
        self.seen.borrow_mut().wrongs.push(what);
    }

    /// States how much may be out, with the program's own command.
    async fn state_budgets(&self) -> Result<(), String> {
        let mut text =
            format!("[[budget]]\nof = \"servers\"\nby = \"all\"\nmost = {}\n", self.plan.servers_out);
        text += &format!("[[budget]]\nof = \"agents\"\nby = \"site\"\nmost = {}\n", self.plan.permits);
        for n in 0..self.plan.servers {
            text += &format!("[[server]]\nname = \"s{n}\"\nsite = \"site{}\"\n", n % self.plan.sites);
        }
        let file = self.folder.join("budgets.toml");
        std::fs::write(&file, text).map_err(|e| e.to_string())?;
        match self.tool(&["fleet", "budgets", &file.to_string_lossy()]).await {
            Some(0) => Ok(()),
            other => Err(format!("the budgets were not taken: {other:?}")),
        }
    }

    async fn run(self: Rc<Self>) -> Result<Outcome, String> {
        self.serve();
        for process in self.council.iter().chain(&self.agents) {
            process.start(&self.program)?;
        }
        let mut asker = Asker::new(&self, "judge");
        if asker.view("note/", SETTLE).await.is_none() {
            return Err(format!("the council was not formed; its logs are in {}", self.folder.display()));
        }
        if self.plan.operators > 0 {
            for site in 0..self.plan.sites {
                let most = self.plan.permits.to_string();
                let site = format!("site{site}");
                self.tool(&["fleet", "permits", "--site", &site, "--most", &most]).await;
            }
        }
        if self.plan.servers > 0 {
            self.state_budgets().await?;
        }
        let mut tasks: Vec<JoinHandle<()>> = Vec::new();
        for agent in &self.agents {
            tasks.push(spawn_local(Rc::clone(&self).look_after(Rc::clone(agent))));
        }
        let endings = spawn_local(Rc::clone(&self).note_endings());
        let watchers: Vec<JoinHandle<Watched>> =
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
        self.chaos().await;
        self.healed.set(true);
        self.links.clear();
        for process in self.council.iter().chain(&self.agents) {
            process.signal(Signal::CONT);
        }
        for client in clients.into_iter().chain(operators).chain(callers).chain(drainers) {
            let _ = client.await;
        }
        self.come_right(&mut asker).await;
        for watcher in watchers {
            let watched = watcher.await.unwrap_or_default();
            self.seen.borrow_mut().watched.push(watched);
        }
        endings.abort();
        tasks.iter().for_each(JoinHandle::abort);
        self.last_look(&mut asker).await;
        let mut seen = self.seen.take();
        seen.sent = self.sent();
        let settled = seen.done.iter().filter(|done| done.returned.is_some()).count();
        let permits = seen.outs.len();
        let (unknown, faults, looks) = (self.unknown.get(), self.faults.get(), self.looks.get());
        Ok(Outcome {
            settled,
            unknown,
            faults,
            permits,
            looks,
            ended: self.ended.get(),
            calls: self.calls.answered(),
            seen,
        })
    }

    /// Everybody takes part again, and there is one state.
    async fn come_right(&self, asker: &mut Asker) {
        let until = Instant::now() + SETTLE;
        while Instant::now() < until {
            if let Some(view) = asker.view("budget/", PATIENCE).await {
                let lives = |agent: &Rc<Process>| {
                    view.members.get(&agent.name).is_some_and(|m| m.status == MemberStatus::Living && m.ready)
                };
                if self.agents.iter().all(lives) {
                    return;
                }
            }
            sleep(LOOK_EVERY).await;
        }
        self.wrong("nothing came right after the last fault".into());
    }

    /// All changes from the first on, and what stands there at the end.
    async fn last_look(&self, asker: &mut Asker) {
        let Some(view) = asker.view("", PATIENCE).await else { return };
        let mut after = 0;
        while after < view.revision {
            let watch = Request::Watch { cluster_id: view.cluster_id, after, prefix: String::new() };
            match asker.settled(&watch, PATIENCE).await {
                Some(Response::Changes { changes, upto }) => {
                    self.seen.borrow_mut().changes.extend(changes);
                    after = upto;
                }
                other => return self.wrong(format!("the changes from {after} on can't be read: {other:?}")),
            }
        }
        let mut keys: Vec<String> = self.seen.borrow().done.iter().map(|done| done.key.clone()).collect();
        keys.sort();
        keys.dedup();
        let now = self.now();
        for key in keys {
            let value = view.records.get(&key).and_then(|record| record.value.parse().ok());
            let done = Done { key, op: Op::Read(value), called: now, returned: Some(now + 1) };
            self.seen.borrow_mut().done.push(done);
        }
    }

    async fn tool(&self, words: &[&str]) -> Option<i32> {
        let list: Vec<String> = self.proxies.iter().map(ToString::to_string).collect();
        let depth = if words[0] == "hold" { 1 } else { 2 };
        let mut command = tokio::process::Command::new(&self.program);
        command
            .args(&words[..depth])
            .args(["--council", &list.join(","), "--fleet", FLEET])
            .args(&words[depth..]);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null()).kill_on_drop(true);
        let mut child = command.spawn().ok()?;
        let id = child.id().unwrap_or(0);
        self.wrappers.borrow_mut().push(id);
        let code = child.wait().await.ok().and_then(|status| status.code());
        self.wrappers.borrow_mut().retain(|other| *other != id);
        code
    }

    // Agents.

    /// Starts an agent again when it has ended, and looks at what it says of its lease.
    async fn look_after(self: Rc<Self>, agent: Rc<Process>) {
        let mark = agent.log.with_extension("out");
        loop {
            sleep(LOOK_EVERY).await;
            if agent.has_ended() && !agent.held.get() {
                if std::fs::remove_file(&mark).is_ok() {
                    let site = self.agents.iter().position(|other| other.name == agent.name).unwrap_or(0);
                    let budget = format!("site{}", site % self.plan.sites);
                    let mut seen = self.seen.borrow_mut();
                    self.out.borrow_mut().insert(agent.name.clone(), seen.outs.len());
                    let from = self.now();
                    seen.outs.push(Out { budget, what: agent.name.clone(), granted: from, from, to: None });
                }
                let down = self.rng.borrow_mut().random_range(100..2000);
                sleep(Duration::from_millis(down)).await;
                if let Err(why) = agent.start(&self.program) {
                    self.wrong(why);
                }
            }
            let (known, process) = (self.endings.borrow().clone(), agent.starts.get());
            let Some((_, page)) = http(agent.address, "GET", "/-/metrics", b"").await else { continue };
            let page = String::from_utf8_lossy(&page).into_owned();
            let figure = |name: &str| {
                let line = page.lines().find(|line| line.split(' ').next() == Some(name))?;
                line.split(' ').nth(1)?.parse::<f64>().ok()
            };
            let Some((held, incarnation)) = figure("app_fleet_lease_held")
                .zip(figure("app_fleet_incarnation"))
                .map(|(h, i)| (h > 0.0, i as u64))
            else {
                continue;
            };
            self.looks.set(self.looks.get() + 1);
            if held && agent.starts.get() == process {
                self.calls.holds(&agent.name, incarnation, process);
            }
            if let Some(at) = known.get(&(agent.name.clone(), incarnation)).filter(|_| held) {
                self.wrong(format!("{} {incarnation} holds a lease that was seen ended at {at}", agent.name));
            }
            // Serving again: the end of what the permit was for.
            if http(agent.address, "GET", "/-/ready", b"").await.is_some_and(|(status, _)| status == 200) {
                if let Some(number) = self.out.borrow_mut().remove(&agent.name) {
                    self.seen.borrow_mut().outs[number].to = Some(self.now());
                }
            }
        }
    }

    /// Which leases the council counts as ended, as a reader sees it.
    async fn note_endings(self: Rc<Self>) {
        let mut asker = Asker::new(&self, "reader");
        loop {
            if let Some(view) = asker.view("budget/", PATIENCE).await {
                let at = self.now();
                for (name, member) in view.members {
                    if !member.status.may_hold_lease() {
                        self.endings.borrow_mut().entry((name, member.incarnation)).or_insert(at);
                    }
                }
            }
            sleep(LOOK_EVERY).await;
        }
    }

    // Whoever reads, writes and watches.

    async fn client(self: Rc<Self>, number: usize) {
        let mut asker = Asker::new(&self, &format!("k{number}"));
        let mut seen: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        while !self.healed.get() {
            let key = self.keys.borrow_mut().draw(self.plan.clients, &mut *self.rng.borrow_mut());
            let roll: f64 = self.rng.borrow_mut().random();
            let new = self.values.get() + 1;
            self.values.set(new);
            let called = self.now();
            let op = Op::draw(roll, seen.get(&key).map(|seen| seen.0), new);
            let mut checks = Vec::new();
            if let Op::Swap(..) = op {
                let at = seen.get(&key).map(|(_, revision)| Check::At(key.clone(), *revision));
                checks.push(at.unwrap_or(Check::Absent(key.clone())));
            }
            let request = match op {
                Op::Read(_) => Some(Request::Read { stale: false, prefix: key.clone(), members: false }),
                _ => {
                    let writes = vec![Write::Put(key.clone(), new.to_string())];
                    asker.call(Command::Write(Txn { checks, writes })).await
                }
            };
            let Some(request) = request else { continue };
            let response = asker.settled(&request, PATIENCE).await;
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
                    seen.insert(key.clone(), (new, revision));
                    (op, returned)
                }
                (Some(Response::Reply(CommandResult::Conflict { .. }, _)), Op::Swap(old, new, _)) => {
                    (Op::Swap(old, new, false), returned)
                }
                (other, op) => {
                    if matches!(other, Some(Response::Reply(CommandResult::NoSession, _))) {
                        asker.session = None;
                    }
                    self.unknown.set(self.unknown.get() + 1);
                    (op.unknown(), None)
                }
            };
            self.seen.borrow_mut().done.push(Done { key, op, called, returned });
            let pause = self.rng.borrow_mut().random_range(self.plan.pause / 2..=self.plan.pause * 3 / 2);
            sleep(Duration::from_micros(pause)).await;
        }
    }

    async fn watch(self: Rc<Self>, number: usize) -> Watched {
        let mut asker = Asker::new(&self, &format!("w{number}"));
        let mut watched = Watched::default();
        let mut from: Option<(ClusterId, u64)> = None;
        while !self.healed.get() {
            let request = match from {
                None => Request::Read { stale: false, prefix: String::new(), members: true },
                Some((history, after)) => {
                    Request::Watch { cluster_id: history, after, prefix: String::new() }
                }
            };
            match asker.once(&request).await {
                Ok(Response::Read(view)) => {
                    from = Some((view.cluster_id, view.revision));
                    watched.stretches.push((view.cluster_id, view.revision, Vec::new(), view.revision));
                }
                Ok(Response::Changes { changes, upto }) => {
                    if let Some(stretch) = watched.stretches.last_mut() {
                        stretch.2.extend(changes);
                        stretch.3 = upto;
                        from = Some((stretch.0, upto));
                    }
                }
                Ok(_) => from = None,
                Err(pause) => sleep(pause).await,
            }
        }
        watched
    }

    /// Takes agents out under permits, with the program's own wrapper.
    async fn operator(self: Rc<Self>) {
        while !self.healed.get() {
            let pause = self.rng.borrow_mut().random_range(100..1500);
            sleep(Duration::from_millis(pause)).await;
            let agent = self.rng.borrow_mut().random_range(0..self.agents.len().max(1));
            let Some(agent) = self.agents.get(agent) else { return };
            // The mark says that it was by a permit. A stopped agent is killed like any other.
            let (mark, pid) = (agent.log.with_extension("out"), agent.log.with_extension("pid"));
            let line = format!("touch '{}'; kill -9 $(cat '{}')", mark.display(), pid.display());
            let thing = format!("agent:{}", agent.name);
            let words = ["hold", "--for", &thing, "--why", "lab", "--", "sh", "-c", &line];
            // After the last fault nobody waits for an agent that a command missed.
            tokio::select! {
                _ = self.tool(&words) => {}
                () = async { while !self.healed.get() { sleep(LOOK_EVERY).await } } => {}
            }
        }
    }

    // Faults.

    fn some<'a>(&self, of: &'a [Rc<Process>]) -> Option<&'a Rc<Process>> {
        of.choose(&mut *self.rng.borrow_mut())
    }

    async fn chaos(self: &Rc<Self>) {
        let begun = Instant::now();
        let ends = begun + Duration::from_micros(self.plan.duration);
        let mut faults = Vec::new();
        for listed in self.plan.listed.clone() {
            let cluster = Rc::clone(self);
            faults.push(spawn_local(async move {
                tokio::time::sleep_until(begun + Duration::from_micros(listed.at)).await;
                cluster.faults.set(cluster.faults.get() + 1);
                let (who, to) = (listed.who.as_deref(), listed.to.as_deref());
                Rc::clone(&cluster).begin(listed.what, (who, to), Duration::from_micros(listed.length)).await;
            }));
        }
        if self.plan.every == 0 || self.plan.faults.is_empty() {
            tokio::time::sleep_until(ends).await;
        }
        while self.plan.every > 0
            && Instant::now() < ends
            && !crate::emulation::INTERRUPTED.load(std::sync::atomic::Ordering::Relaxed)
        {
            let (kind, length, pause) = {
                let mut rng = self.rng.borrow_mut();
                let kind = *self.plan.faults.choose(&mut *rng).unwrap_or(&Kind::Cut);
                let length = rng.random_range(self.plan.tick..=self.plan.most);
                (kind, length, rng.random_range(self.plan.every / 4..=self.plan.every * 7 / 4))
            };
            self.faults.set(self.faults.get() + 1);
            faults.push(spawn_local(Rc::clone(self).begin(
                kind,
                (None, None),
                Duration::from_micros(length),
            )));
            sleep(Duration::from_micros(pause)).await;
        }
        // Each ends by itself: what it held is let go then.
        for fault in faults {
            let _ = fault.await;
        }
    }

    /// The process that is meant: by its name, or `leader`.
    async fn meant(&self, who: Option<&str>, of: &[Rc<Process>]) -> Option<Rc<Process>> {
        match who {
            None => self.some(of).cloned(),
            Some("leader") => {
                for process in &self.council {
                    let ask = serde_json::json!({
                        "envelope": { "fleet": FLEET, "protocol": PROTOCOL, "from": "rig", "incarnation": 0, "term": 0 },
                        "request": Request::Status,
                    });
                    let answer = http(process.address, "POST", "/v1/ask", ask.to_string().as_bytes()).await;
                    let response =
                        answer.and_then(|(_, body)| serde_json::from_slice::<Response>(&body).ok());
                    if matches!(response, Some(Response::Status(stand, _)) if stand.leader == stand.node_id) {
                        return Some(Rc::clone(process));
                    }
                }
                self.some(of).cloned()
            }
            Some(name) => of.iter().find(|process| process.name == name).cloned(),
        }
    }

    async fn begin(self: Rc<Self>, kind: Kind, (who, to): (Option<&str>, Option<&str>), length: Duration) {
        let council: Vec<String> = self.council.iter().map(|process| process.name.clone()).collect();
        let clients = (0..self.plan.clients).map(|n| format!("k{n}"));
        let watchers = (0..self.plan.watchers).map(|n| format!("w{n}"));
        let agents = self.agents.iter().map(|process| process.name.clone());
        let all: Vec<String> = council.iter().cloned().chain(agents).chain(clients).chain(watchers).collect();
        let council_process = self.meant(who, &self.council).await;
        let agent_process = self.meant(who, &self.agents).await;
        let one = council_process.as_ref().map_or_else(String::new, |process| process.name.clone());
        let drawn = || all.choose(&mut *self.rng.borrow_mut()).cloned().unwrap_or_default();
        let other = to.map_or_else(drawn, String::from);
        let pairs = |are: &dyn Fn(&str, &str) -> bool| -> Vec<(String, String)> {
            let pair = |a: &String| all.iter().map(|b| (a.clone(), b.clone())).collect::<Vec<_>>();
            all.iter().flat_map(pair).filter(|(a, b)| a != b && are(a, b)).collect()
        };
        let late = Duration::from_millis(self.rng.borrow_mut().random_range(100..5000));
        match kind {
            Kind::StopCouncil => self.stop(council_process, length).await,
            Kind::StopAgent | Kind::TwinAgent => self.stop(agent_process, length).await,
            Kind::KillCouncil => self.restart(council_process, length, After::Kept).await,
            Kind::KillAgent => self.restart(agent_process, length, After::Kept).await,
            Kind::EmptyDisk => self.restart(council_process, length, After::Emptied).await,
            Kind::CutDisk => self.restart(council_process, length, After::Cut).await,
            Kind::OldDisk => self.put_back(who, length).await,
            Kind::FailDisk => self.fail_disk(council_process, length).await,
            Kind::StopOperator | Kind::KillOperator => {
                let id = self.wrappers.borrow().choose(&mut *self.rng.borrow_mut()).copied();
                let pid = id.and_then(|id| Pid::from_raw(id as i32));
                let Some(pid) = pid else { return };
                if kind == Kind::KillOperator {
                    let _ = kill_process(pid, Signal::KILL);
                    return;
                }
                let _ = kill_process(pid, Signal::STOP);
                sleep(length).await;
                if self.wrappers.borrow().iter().any(|other| Some(*other) == id) {
                    let _ = kill_process(pid, Signal::CONT);
                }
            }
            Kind::Cut => {
                self.spoil(
                    pairs(&|a, b| (a, b) == (&one, &other) || (b, a) == (&one, &other)),
                    Does::Drops,
                    length,
                )
                .await;
            }
            Kind::OneWay => {
                let back = self.rng.borrow_mut().random_bool(0.5);
                let way = if back { (other, one) } else { (one, other) };
                self.spoil(vec![way], Does::Drops, length).await;
            }
            Kind::Split => {
                let part: BTreeMap<String, bool> =
                    all.iter().map(|name| (name.clone(), self.rng.borrow_mut().random_bool(0.5))).collect();
                self.spoil(pairs(&|a, b| part[a] != part[b]), Does::Drops, length).await;
            }
            Kind::Ring => {
                let place = |name: &str| council.iter().position(|other| other == name);
                let next = |a: &str, b: &str| {
                    place(a).zip(place(b)).is_some_and(|(a, b)| (a + 1) % council.len() == b)
                };
                self.spoil(pairs(&|a, b| next(a, b) || next(b, a)), Does::Resets, length).await;
            }
            Kind::Slow => {
                let drips = self.rng.borrow_mut().random_bool(0.3);
                let does = if drips { Does::Drips(400) } else { Does::Delays(late) };
                self.spoil(vec![(one.clone(), other.clone()), (other, one)], does, length).await;
            }
            Kind::Hold => {
                self.spoil(vec![(one.clone(), other.clone()), (other, one)], Does::Holds, length).await;
            }
            Kind::LostReplies => {
                self.spoil(pairs(&|a, b| a == one && !council.iter().any(|c| c == b)), Does::Drops, length)
                    .await;
            }
            Kind::Isolate => self.spoil(pairs(&|a, b| a == one || b == one), Does::Drops, length).await,
            Kind::SlowProcess => {
                self.spoil(pairs(&|a, b| a == one || b == one), Does::Delays(late), length).await;
            }
        }
    }

    async fn spoil(&self, links: Vec<(String, String)>, does: Does, length: Duration) {
        for (from, to) in &links {
            self.links.set(from, to, does);
        }
        sleep(length).await;
        for (from, to) in &links {
            self.links.set(from, to, Does::Passes);
        }
    }

    async fn stop(&self, process: Option<Rc<Process>>, length: Duration) {
        let Some(process) = process.filter(|process| !process.held.replace(true)) else { return };
        process.signal(Signal::STOP);
        sleep(length).await;
        process.signal(Signal::CONT);
        process.held.set(false);
    }

    /// Kills a process and starts it again; a council process whose disk is gone is taken in as another.
    async fn restart(&self, process: Option<Rc<Process>>, length: Duration, after: After) {
        let Some(process) = process.filter(|process| !process.held.replace(true)) else { return };
        process.kill().await;
        sleep(length).await;
        // One at a time: a council that has lost a majority of its disks is gone.
        let after = if self.others_are_up(&process) { after } else { After::Kept };
        let disk = self.disk(&process);
        if after == After::Emptied {
            self.replace(&process).await;
        } else {
            if after == After::Cut {
                let cut = std::fs::OpenOptions::new().write(true).open(&disk);
                let cut = cut.and_then(|file| file.set_len(file.metadata()?.len() / 2));
                if let Err(why) = cut {
                    self.wrong(format!("{}: {why}", disk.display()));
                }
            }
            if let Err(why) = process.start(&self.program) {
                self.wrong(why);
            }
            if after == After::Cut {
                self.ends_and_is_replaced(&process, "cut short").await;
            }
        }
        process.held.set(false);
    }

    /// Kills one that does not lead, starts it, kills it again after a while, and puts its disk back to the copy of the first time.
    async fn put_back(&self, who: Option<&str>, length: Duration) {
        let leader = self.meant(Some("leader"), &self.council).await.map(|process| process.name.clone());
        let others: Vec<Rc<Process>> =
            self.council.iter().filter(|process| Some(&process.name) != leader.as_ref()).cloned().collect();
        let process = self.meant(who, &others).await.filter(|process| !process.held.replace(true));
        let Some(process) = process else { return };
        let (disk, copy) = (self.disk(&process), self.folder.join("older.redb"));
        if self.others_are_up(&process) {
            process.kill().await;
            let copied = std::fs::copy(&disk, &copy);
            let started = process.start(&self.program);
            sleep(length).await;
            process.kill().await;
            let put = copied.and_then(|_| std::fs::rename(&copy, &disk));
            if let Err(why) = started.and(put.map_err(|e| e.to_string())).and(process.start(&self.program)) {
                self.wrong(why);
            }
            self.ends_and_is_replaced(&process, "older than what it has acknowledged").await;
        }
        process.held.set(false);
    }

    /// For a while a process's writes beyond a bound within its disk's file fail, and so the one that crosses it in its middle.
    async fn fail_disk(&self, process: Option<Rc<Process>>, length: Duration) {
        let Some(process) = process.filter(|process| !process.held.replace(true)) else { return };
        let bound = self.rng.borrow_mut().random_range(FAILS_BEYOND);
        let id = process.child.borrow().as_ref().and_then(Child::id);
        let pid = id.and_then(|id| Pid::from_raw(id as i32));
        // What it had from this process, whose child it is.
        let own = getrlimit(Resource::Fsize);
        if let Some(pid) = pid {
            let bounded = prlimit(Some(pid), Resource::Fsize, Rlimit { current: Some(bound), ..own });
            sleep(length).await;
            if let Err(why) = bounded.and_then(|_| prlimit(Some(pid), Resource::Fsize, own)) {
                self.wrong(format!("{}: its disk cannot be bounded, or stays so: {why}", process.name));
            }
        }
        process.held.set(false);
    }

    fn disk(&self, process: &Process) -> PathBuf {
        self.folder.join(format!("{}.redb", process.name))
    }

    fn others_are_up(&self, process: &Process) -> bool {
        self.council.iter().all(|other| other.name == process.name || !other.held.get())
    }

    /// A process whose disk is not what it left there says why in one line and ends; then it is taken in as another.
    async fn ends_and_is_replaced(&self, process: &Process, why: &str) {
        let until = Instant::now() + SETTLE;
        while !process.has_ended() {
            if Instant::now() > until {
                return self.wrong(format!("{} goes on, though its disk is {why}", process.name));
            }
            sleep(LOOK_EVERY).await;
        }
        let log = std::fs::read_to_string(&process.log).unwrap_or_default();
        let last = log.lines().last().unwrap_or_default();
        if !last.contains(why) || log.contains("panicked") {
            self.wrong(format!("{} does not say that its disk is {why}: {last}", process.name));
        }
        self.ended.set(self.ended.get() + 1);
        self.replace(process).await;
    }

    /// Starts a process on an empty disk, and has it taken in.
    async fn replace(&self, process: &Process) {
        let _ = std::fs::remove_file(self.disk(process));
        if let Err(why) = process.start(&self.program) {
            self.wrong(why);
        }
        while self.tool(&["fleet", "replace", &process.name]).await != Some(0) {
            sleep(LOOK_EVERY).await;
        }
    }
}
