//! Council processes and agents of the program, started, stopped and asked as operators would.

use heronhoist_coordination::retry_schedule::CALL_TIMEOUT;
use heronhoist_coordination::state::{Command, CommandRequest, CommandResult, MemberStatus};
use heronhoist_coordination::wire::{Envelope, Refusal, Request, Response, View, PROTOCOL};
use rustix::process::{prlimit, Pid, Resource, Rlimit};
use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Far beyond anything that a sound program needs.
const BOUND: Duration = Duration::from_secs(60);
const PROGRAM: &str = env!("CARGO_BIN_EXE_heronhoist");

/// Looks until there is something to see.
pub fn wait<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let begun = Instant::now();
    loop {
        if let Some(seen) = look() {
            return seen;
        }
        assert!(begun.elapsed() < BOUND, "not seen: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// An address that nobody listens on, and that no connection takes as its own end meanwhile: a host and a port of its own,
/// outside of those that the system gives out.
fn free() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let (next, process) = (NEXT.fetch_add(1, Ordering::Relaxed), std::process::id());
        let parts = [64 + process % 128, next / 254 % 256, 1 + next % 254].map(|part| part as u8);
        let host = Ipv4Addr::new(127, parts[0], parts[1], parts[2]);
        let port = 10_000 + (process.wrapping_mul(31) + next) % 20_000;
        if let Ok(listener) = TcpListener::bind((host, port as u16)) {
            return listener.local_addr().expect("an address");
        }
    }
}

/// An address at which nobody is.
pub fn nobody() -> SocketAddr {
    free()
}

/// One call; status 0 if there was no answer.
pub fn post(address: SocketAddr, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
    call(address, "POST", path, body).unwrap_or((0, Vec::new()))
}

fn call(address: SocketAddr, method: &str, path: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_micros(CALL_TIMEOUT))).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let _ = stream.write_all(body);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let split = answer.windows(4).position(|w| w == b"\r\n\r\n")?;
    let status = std::str::from_utf8(&answer[..split]).ok()?.split(' ').nth(1)?.parse().ok()?;
    Some((status, answer[split + 4..].to_vec()))
}

/// One process of the program.
pub struct Process {
    pub name: String,
    /// Where it listens, for a council process; where operators call, for an agent.
    pub address: SocketAddr,
    /// The program that is started, the agent's unless a test says otherwise.
    program: &'static str,
    arguments: Vec<String>,
    variables: Vec<(String, String)>,
    log: PathBuf,
    child: RefCell<Option<Child>>,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Process {
    pub fn start(&mut self) {
        self.start_with("exec");
    }

    /// Started by a shell that does this first.
    pub fn start_with(&mut self, before: &str) {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log).expect("a log");
        let words = [self.program.to_string()].into_iter().chain(self.arguments.clone());
        let words: Vec<String> = words.map(|word| format!("'{word}'")).collect();
        let child = std::process::Command::new("bash")
            .args(["-c", &format!("{before} {}", words.join(" "))])
            .envs(self.variables.clone())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        *self.child.borrow_mut() = Some(child.expect("started"));
    }

    /// Its files may have any length from now on.
    pub fn unbound(&self) {
        let unbound = Rlimit { current: None, maximum: None };
        let pid = Pid::from_raw(self.id() as i32);
        prlimit(pid, Resource::Fsize, unbound).expect("its bound was a soft one");
    }

    pub fn is_running(&self) -> bool {
        self.child.borrow_mut().as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// What it has said so far.
    pub fn said(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.child.borrow_mut().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn id(&self) -> u32 {
        self.child.borrow().as_ref().expect("runs").id()
    }

    pub fn signal(&self, signal: &str) {
        let sent =
            std::process::Command::new("kill").args([&format!("-{signal}"), &self.id().to_string()]).status();
        assert!(sent.expect("kill").success());
    }

    /// The page of an agent's figures.
    pub fn figures(&self) -> String {
        let (status, page) = call(self.address, "GET", "/-/metrics", b"").expect("an answer");
        assert_eq!(status, 200);
        String::from_utf8(page).expect("UTF-8")
    }

    /// The figures of an agent's lease: whether it holds one, and its incarnation.
    pub fn lease(&self) -> Option<(bool, u64)> {
        let (_, page) = call(self.address, "GET", "/-/metrics", b"")?;
        let page = String::from_utf8(page).ok()?;
        let figure = |name: &str| {
            let line = page.lines().find(|line| line.split(' ').next() == Some(name))?;
            line.split(' ').nth(1)?.parse::<f64>().ok()
        };
        Some((figure("app_fleet_lease_held")? > 0.0, figure("app_fleet_incarnation")? as u64))
    }

    pub fn wait_ready(&self) {
        wait("ready", || call(self.address, "GET", "/-/ready", b"").filter(|(status, _)| *status == 200));
    }

    pub fn threads(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/task", self.id())).expect("a process").count()
    }

    /// The kinds of what it has open, but for its standard streams.
    pub fn descriptors(&self) -> Vec<String> {
        let folder = std::fs::read_dir(format!("/proc/{}/fd", self.id())).expect("a process");
        let open = folder
            .flatten()
            .filter(|fd| fd.file_name().to_string_lossy().parse::<u32>().is_ok_and(|n| n > 2));
        let kind = |fd: std::fs::DirEntry| {
            let to = std::fs::read_link(fd.path()).unwrap_or_default().to_string_lossy().to_string();
            if to.starts_with('/') {
                "file".to_string()
            } else {
                to.split(':').next().unwrap_or_default().to_string()
            }
        };
        let mut kinds: Vec<String> = open.map(kind).collect();
        kinds.sort();
        kinds
    }
}

/// A council, its folder, and whoever asks it.
pub struct Fleet {
    pub folder: PathBuf,
    processes: Vec<Process>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    pub fn new(name: &str) -> Fleet {
        let folder = std::env::temp_dir().join(format!("heronhoist-fleet-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        Fleet { folder, processes: Vec::new() }
    }

    /// So many council processes, started, with leases of 1.5 s.
    pub fn council(mut self, count: usize) -> Fleet {
        self.write_council(count, 1500);
        self.start_all();
        self
    }

    pub fn write_council(&mut self, count: usize, lease_ms: u32) {
        let addresses: Vec<SocketAddr> = (0..count).map(|_| free()).collect();
        for (n, address) in addresses.iter().enumerate() {
            let name = format!("c{}", n + 1);
            let mut text = format!(
                "[council]\nfleet = \"gulf\"\nname = \"{name}\"\nlisten = \"{address}\"\ndisk = \"{name}.redb\"\n\
                 lease_ms = {lease_ms}\nelection_ms = 250\n"
            );
            for (n, address) in addresses.iter().enumerate() {
                text += &format!("[[council.peer]]\nname = \"c{}\"\naddress = \"{address}\"\n", n + 1);
            }
            let file = self.folder.join(format!("{name}.toml"));
            std::fs::write(&file, text).expect("written");
            let arguments = vec!["council".into(), "--config".into(), file.to_string_lossy().into()];
            self.processes.push(self.made(&name, *address, arguments, Vec::new()));
        }
    }

    /// Each process is started by this program, under a subcommand or none.
    pub fn run_by(&mut self, program: &'static str, subcommand: Option<&str>) {
        for process in &mut self.processes {
            process.program = program;
            process.arguments.splice(..1, subcommand.map(String::from));
        }
    }

    fn made(
        &self,
        name: &str,
        address: SocketAddr,
        arguments: Vec<String>,
        variables: Vec<(String, String)>,
    ) -> Process {
        let log = self.folder.join(format!("{name}-{}.log", address.port()));
        Process {
            name: name.into(),
            address,
            program: PROGRAM,
            arguments,
            variables,
            log,
            child: RefCell::new(None),
        }
    }

    pub fn process(&self, name: &str) -> &Process {
        self.processes.iter().find(|process| process.name == name).expect("one")
    }

    fn its(&mut self, name: &str) -> &mut Process {
        self.processes.iter_mut().find(|process| process.name == name).expect("one")
    }

    pub fn start(&mut self, name: &str) {
        self.its(name).start();
    }

    pub fn start_with(&mut self, name: &str, before: &str) {
        self.its(name).start_with(before);
    }

    pub fn kill(&mut self, name: &str) {
        self.its(name).kill();
    }

    pub fn start_all(&mut self) {
        self.processes.iter_mut().for_each(Process::start);
    }

    pub fn kill_all(&mut self) {
        self.processes.iter_mut().for_each(|process| process.kill());
    }

    pub fn empty_disk(&mut self, name: &str) {
        std::fs::remove_file(self.folder.join(format!("{name}.redb"))).expect("a disk");
    }

    /// How a process ended by itself, and what it had said.
    pub fn ended(&mut self, name: &str) -> (Option<i32>, String) {
        let process = self.its(name);
        let code = wait("the end", || process.child.borrow_mut().as_mut()?.try_wait().ok()?).code();
        process.child.borrow_mut().take();
        (code, std::fs::read_to_string(&process.log).unwrap_or_default())
    }

    pub fn client(&self) -> Client {
        let addresses = self.processes.iter().map(|process| process.address).collect();
        Client { fleet: "gulf".into(), addresses, at: 0, session: None, number: 0 }
    }

    pub fn leader(&self) -> &Process {
        self.leader_but("")
    }

    /// The process that leads, and is not that one.
    pub fn leader_but(&self, other: &str) -> &Process {
        let client = self.client();
        wait("a leader", || {
            self.processes.iter().filter(|process| process.name != other).find(|process| {
                matches!(client.only(process.address).once(&Request::Status),
                    Some(Response::Status(stand, _)) if stand.leader == stand.node_id)
            })
        })
    }

    fn council_list(&self) -> String {
        let list: Vec<String> =
            self.processes.iter().map(|process| format!("\"{}\"", process.address)).collect();
        list.join(", ")
    }

    /// An agent that takes part, started.
    pub fn agent(&self, name: &str, site: &str) -> Process {
        let council = self.council_list();
        let part = format!(
            "[fleet]\nname = \"gulf\"\nmember = \"{name}\"\nsite = \"{site}\"\ncouncil = [{council}]\n"
        );
        self.alone(name, &part)
    }

    /// An agent that takes part and sends to these servers, started; and where its clients call.
    pub fn agent_of(&self, name: &str, site: &str, servers: &[(&str, SocketAddr)]) -> (Process, SocketAddr) {
        let council = self.council_list();
        let part = format!(
            "[fleet]\nname = \"gulf\"\nmember = \"{name}\"\nsite = \"{site}\"\ncouncil = [{council}]\n"
        );
        let front = free();
        let servers: Vec<String> =
            servers.iter().map(|(n, a)| format!("{{ name = \"{n}\", address = \"{a}\" }}")).collect();
        (self.with(name, &part, front, &servers.join(", ")), front)
    }

    /// An agent of this project's own file, started, with more in the file.
    pub fn alone(&self, name: &str, more: &str) -> Process {
        let server = format!("{{ name = \"s1\", address = \"{}\" }}", free());
        self.with(name, more, free(), &server)
    }

    fn with(&self, name: &str, more: &str, front: SocketAddr, servers: &str) -> Process {
        let ops = free();
        let text = format!(
            "[ops]\nlisten = \"{ops}\"\n[[class]]\nname = \"lookup\"\neffect = \"idempotent\"\naim_ms = 200\ndeadline_ms = 1000\n\
             [[pool]]\nname = \"records\"\nmembership = \"static\"\nserver = [{servers}]\n\
             [[front]]\nname = \"desk\"\nlisten = \"{front}\"\n{more}"
        );
        let file = self.folder.join(format!("{name}-{}.toml", ops.port()));
        std::fs::write(&file, text).expect("written");
        let arguments = vec!["run".into(), "--config".into(), file.to_string_lossy().into()];
        let mut process = self.made(name, ops, arguments, self.apart());
        process.start();
        process
    }

    /// The platform's agent, with more in its file.
    pub fn platform(&self, more: &str) -> Process {
        let (front, ops) = (free(), free());
        let text = format!(
            "{{{more}\"listen\":\"{front}\",\"ops\":\"{ops}\",\"discovery\":\"127.0.0.1:9\",\
             \"known\":{{\"rev\":1,\"all\":true,\"targets\":[{{\"uid\":\"s1\",\"endpoint\":\"127.0.0.1:9\",\"az\":\"a\",\
             \"model\":\"m\",\"pod_group\":0,\"state\":\"SERVING\",\"boot_ms\":0}}]}},\
             \"settings\":{{\"zones\":[\"a\"],\"kinds\":[\"m\"],\"discovery\":\"on_request\",\"classes\":[\
             {{\"name\":\"read\",\"effect\":\"idempotent\",\"aimMs\":200,\"deadlineMs\":1000}}]}}}}"
        );
        let file = self.folder.join(format!("platform-{}.json", ops.port()));
        std::fs::write(&file, text).expect("written");
        let mut variables = self.apart();
        variables.push(("LB_CONFIG".into(), file.to_string_lossy().into()));
        let mut process = self.made("platform", ops, Vec::new(), variables);
        process.start();
        process
    }

    /// Where processes of one agent find each other is this fleet's own.
    fn apart(&self) -> Vec<(String, String)> {
        vec![("TMPDIR".into(), self.folder.to_string_lossy().into())]
    }

    /// An operator's command: its exit code, -1 if it was killed, and what it said.
    pub fn tool(&self, words: &[&str]) -> (i32, String) {
        let list: Vec<String> = self.processes.iter().map(|process| process.address.to_string()).collect();
        let depth = if words[0] == "hold" { 1 } else { 2 };
        let done = std::process::Command::new(PROGRAM)
            .args(&words[..depth])
            .args(["--council", &list.join(","), "--fleet", "gulf"])
            .args(&words[depth..])
            .stdin(Stdio::null())
            .output()
            .expect("run");
        let said = [done.stdout, done.stderr].concat();
        (done.status.code().unwrap_or(-1), String::from_utf8_lossy(&said).into())
    }
}

/// Somebody who asks the council.
pub struct Client {
    pub fleet: String,
    addresses: Vec<SocketAddr>,
    at: usize,
    session: Option<u64>,
    /// That of the last command.
    pub number: u64,
}

impl Client {
    /// The same, who asks only there.
    pub fn only(&self, address: SocketAddr) -> Client {
        Client { fleet: self.fleet.clone(), addresses: vec![address], at: 0, session: None, number: 0 }
    }

    /// One call to the process whose turn it is.
    pub fn once(&mut self, request: &Request) -> Option<Response> {
        let envelope = Envelope {
            fleet: self.fleet.clone(),
            protocol: PROTOCOL,
            from: "test".into(),
            incarnation: 0,
            term: 0,
        };
        let body = serde_json::json!({ "envelope": envelope, "request": request }).to_string();
        let address = self.addresses[self.at % self.addresses.len()];
        let (status, body) = post(address, "/v1/ask", body.as_bytes());
        (status == 200).then(|| serde_json::from_slice(&body).expect("an answer"))
    }

    fn settles(response: &Response) -> bool {
        !matches!(
            response,
            Response::Refused(Refusal::NotLeader { .. } | Refusal::Unknown | Refusal::NotFormed(_))
        )
    }

    /// Up to so many calls, one process after the other; the first answer that settles it.
    pub fn try_for(&mut self, calls: usize, request: &Request) -> Option<Response> {
        for _ in 0..calls {
            match self.once(request) {
                Some(response) if Client::settles(&response) => return Some(response),
                _ => self.at += 1,
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        None
    }

    /// Asks until an answer settles it.
    pub fn settled(&mut self, request: &Request) -> Response {
        wait("an answer", || self.try_for(1, request))
    }

    pub fn session(&mut self) -> u64 {
        if self.session.is_none() {
            match self
                .settled(&Request::Command(CommandRequest { session: None, command: Command::OpenSession }))
            {
                Response::Reply(CommandResult::SessionOpened(session), _) => self.session = Some(session),
                other => panic!("no session: {other:?}"),
            }
        }
        self.session.expect("one")
    }

    /// A command is carried out, once.
    pub fn done(&mut self, command: Command) {
        self.number += 1;
        let session = Some((self.session(), self.number));
        let reply = self.settled(&Request::Command(CommandRequest { session, command }));
        assert!(matches!(reply, Response::Reply(CommandResult::Done(_), _)), "{reply:?}");
    }

    pub fn read(&mut self, prefix: &str) -> View {
        match self.settled(&Request::Read { stale: false, prefix: prefix.into(), members: true }) {
            Response::Read(view) => view,
            other => panic!("{other:?}"),
        }
    }

    /// The incarnation of a member, once it is living and ready.
    pub fn living(&mut self, name: &str) -> u64 {
        wait("a member", || {
            let member = self.read("").members.get(name)?.clone();
            (member.status == MemberStatus::Living && member.ready).then_some(member.incarnation)
        })
    }
}

/// A record server: answers each request, and keeps when the last byte of each came.
pub struct Server {
    pub address: SocketAddr,
    heard: Arc<Mutex<Vec<Instant>>>,
}

impl Server {
    pub fn start() -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let (address, heard) = (listener.local_addr().expect("one"), Arc::new(Mutex::new(Vec::new())));
        let notes = Arc::clone(&heard);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let notes = Arc::clone(&notes);
                std::thread::spawn(move || serve(stream, &notes));
            }
        });
        Server { address, heard }
    }

    /// Requests so far.
    pub fn count(&self) -> usize {
        self.heard.lock().expect("whole").len()
    }
}

fn serve(mut stream: TcpStream, notes: &Mutex<Vec<Instant>>) {
    let mut head = Vec::new();
    let mut byte = [0];
    while matches!(stream.read(&mut byte), Ok(1)) {
        head.push(byte[0]);
        if head.ends_with(b"\r\n\r\n") {
            head.clear();
            notes.lock().expect("whole").push(Instant::now());
            if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").is_err() {
                return;
            }
        }
    }
}

/// One client's request of a lookup; the status of its answer.
pub fn lookup(front: SocketAddr, id: usize) -> Option<u16> {
    let mut stream = TcpStream::connect(front).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let head = format!(
        "GET /lookup HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Call-Id: call-{id:016x}\r\nX-Call-Class: lookup\r\n\
         X-Caller: courts\r\nX-Budget-Ms: 1000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    answer.split(' ').nth(1)?.parse().ok()
}
