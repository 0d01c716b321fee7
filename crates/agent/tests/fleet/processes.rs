//! Starts, stops and calls coordinator processes and agents of the program, as operators do.

use heronhoist_coordination::retry_schedule::CALL_TIMEOUT;
use heronhoist_coordination::state::{Command, CommandRequest, CommandResult, MemberStatus};
use heronhoist_coordination::wire::{Envelope, Refusal, Request, Response, View, PROTOCOL};
use rustix::process::{prlimit, Pid, Resource, Rlimit};
use std::cell::RefCell;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a condition is waited for, far longer than a working program needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const PROGRAM: &str = env!("CARGO_BIN_EXE_heronhoist");

/// Checks repeatedly until there is a result.
pub fn wait_until<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let started_at = Instant::now();
    loop {
        if let Some(result) = check() {
            return result;
        }
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "not reached: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Returns an address on which no process listens, and that the system does not assign to an outgoing connection: its host and
/// its port are outside the ranges that the system uses.
fn free_address() -> SocketAddr {
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

/// Returns an address on which no process listens.
pub fn unused_address() -> SocketAddr {
    free_address()
}

/// Sends a POST request; returns the response's status, 0 if there is none, and its body.
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
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    let split = response.windows(4).position(|w| w == b"\r\n\r\n")?;
    let status = std::str::from_utf8(&response[..split]).ok()?.split(' ').nth(1)?.parse().ok()?;
    Some((status, response[split + 4..].to_vec()))
}

/// One process of the program.
pub struct Process {
    pub name: String,
    /// The listening address of a coordinator process, or the operators' address of an agent.
    pub address: SocketAddr,
    /// The program to start: the agent's unless a test sets another.
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

    /// Starts the program from a shell that runs `before` first.
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

    /// Removes the limit on the size of the process's files.
    pub fn remove_file_size_limit(&self) {
        let unlimited = Rlimit { current: None, maximum: None };
        let pid = Pid::from_raw(self.id() as i32);
        prlimit(pid, Resource::Fsize, unlimited).expect("only the soft limit was set");
    }

    pub fn is_running(&self) -> bool {
        self.child.borrow_mut().as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns the process's log so far.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.child.borrow_mut().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn id(&self) -> u32 {
        self.child.borrow().as_ref().expect("a running process").id()
    }

    pub fn signal(&self, signal: &str) {
        let sent =
            std::process::Command::new("kill").args([&format!("-{signal}"), &self.id().to_string()]).status();
        assert!(sent.expect("kill").success());
    }

    /// Returns an agent's metrics page.
    pub fn metrics_page(&self) -> String {
        let (status, page) = call(self.address, "GET", "/-/metrics", b"").expect("a response");
        assert_eq!(status, 200);
        String::from_utf8(page).expect("UTF-8")
    }

    /// Returns an agent's lease metrics: whether it holds a lease, and its incarnation.
    pub fn lease(&self) -> Option<(bool, u64)> {
        let (_, page) = call(self.address, "GET", "/-/metrics", b"")?;
        let page = String::from_utf8(page).ok()?;
        let metric = |name: &str| {
            let line = page.lines().find(|line| line.split(' ').next() == Some(name))?;
            line.split(' ').nth(1)?.parse::<f64>().ok()
        };
        Some((metric("app_fleet_lease_held")? > 0.0, metric("app_fleet_incarnation")? as u64))
    }

    pub fn wait_ready(&self) {
        wait_until("ready", || {
            call(self.address, "GET", "/-/ready", b"").filter(|(status, _)| *status == 200)
        });
    }

    pub fn threads(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/task", self.id())).expect("a process").count()
    }

    /// Returns the kinds of the process's open file descriptors, except its standard streams.
    pub fn descriptors(&self) -> Vec<String> {
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.id())).expect("a process");
        let open = descriptors
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

/// The coordinator processes of a fleet and the directory of its files.
pub struct Fleet {
    pub directory: PathBuf,
    processes: Vec<Process>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl Fleet {
    pub fn new(name: &str) -> Fleet {
        let directory = std::env::temp_dir().join(format!("heronhoist-fleet-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&directory);
        std::fs::create_dir_all(&directory).expect("a directory");
        Fleet { directory, processes: Vec::new() }
    }

    /// Configures and starts this number of coordinator processes, with leases of 1.5 s.
    pub fn with_coordinators(mut self, count: usize) -> Fleet {
        self.configure_coordinators(count, 1500);
        self.start_all();
        self
    }

    pub fn configure_coordinators(&mut self, count: usize, lease_ms: u32) {
        let addresses: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
        for (n, address) in addresses.iter().enumerate() {
            let name = format!("c{}", n + 1);
            let mut text = format!(
                "[council]\nfleet = \"gulf\"\nname = \"{name}\"\nlisten = \"{address}\"\ndisk = \"{name}.redb\"\n\
                 lease_ms = {lease_ms}\nelection_ms = 250\n"
            );
            for (n, address) in addresses.iter().enumerate() {
                text += &format!("[[council.peer]]\nname = \"c{}\"\naddress = \"{address}\"\n", n + 1);
            }
            let file = self.directory.join(format!("{name}.toml"));
            std::fs::write(&file, text).expect("written");
            let arguments = vec!["council".into(), "--config".into(), file.to_string_lossy().into()];
            self.processes.push(self.new_process(&name, *address, arguments, Vec::new()));
        }
    }

    /// Sets the program by which each process is started, and the subcommand, if any.
    pub fn set_program(&mut self, program: &'static str, subcommand: Option<&str>) {
        for process in &mut self.processes {
            process.program = program;
            process.arguments.splice(..1, subcommand.map(String::from));
        }
    }

    fn new_process(
        &self,
        name: &str,
        address: SocketAddr,
        arguments: Vec<String>,
        variables: Vec<(String, String)>,
    ) -> Process {
        let log = self.directory.join(format!("{name}-{}.log", address.port()));
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

    fn process_mut(&mut self, name: &str) -> &mut Process {
        self.processes.iter_mut().find(|process| process.name == name).expect("one")
    }

    pub fn start(&mut self, name: &str) {
        self.process_mut(name).start();
    }

    pub fn start_with(&mut self, name: &str, before: &str) {
        self.process_mut(name).start_with(before);
    }

    pub fn kill(&mut self, name: &str) {
        self.process_mut(name).kill();
    }

    pub fn start_all(&mut self) {
        self.processes.iter_mut().for_each(Process::start);
    }

    pub fn kill_all(&mut self) {
        self.processes.iter_mut().for_each(|process| process.kill());
    }

    pub fn delete_store(&mut self, name: &str) {
        std::fs::remove_file(self.directory.join(format!("{name}.redb"))).expect("a disk");
    }

    /// Waits until a process exits by itself; returns its exit code and its log.
    pub fn wait_exit(&mut self, name: &str) -> (Option<i32>, String) {
        let process = self.process_mut(name);
        let code = wait_until("the exit", || process.child.borrow_mut().as_mut()?.try_wait().ok()?).code();
        process.child.borrow_mut().take();
        (code, std::fs::read_to_string(&process.log).unwrap_or_default())
    }

    pub fn client(&self) -> Client {
        let addresses = self.processes.iter().map(|process| process.address).collect();
        Client { fleet: "gulf".into(), addresses, at: 0, session: None, number: 0 }
    }

    pub fn leader(&self) -> &Process {
        self.leader_other_than("")
    }

    /// Waits until a process other than the named one is the leader, and returns it.
    pub fn leader_other_than(&self, other: &str) -> &Process {
        let client = self.client();
        wait_until("a leader", || {
            self.processes.iter().filter(|process| process.name != other).find(|process| {
                matches!(client.restricted_to(process.address).call_once(&Request::Status),
                    Some(Response::Status(status, _)) if status.leader == status.node_id)
            })
        })
    }

    fn coordinator_addresses(&self) -> String {
        let list: Vec<String> =
            self.processes.iter().map(|process| format!("\"{}\"", process.address)).collect();
        list.join(", ")
    }

    /// Starts an agent that is a member of the fleet.
    pub fn agent(&self, name: &str, site: &str) -> Process {
        let council = self.coordinator_addresses();
        let part = format!(
            "[fleet]\nname = \"gulf\"\nmember = \"{name}\"\nsite = \"{site}\"\ncouncil = [{council}]\n"
        );
        self.standalone_agent(name, &part)
    }

    /// Starts an agent that is a member of the fleet and sends to these servers; also returns the address of its front.
    pub fn agent_with_servers(
        &self,
        name: &str,
        site: &str,
        servers: &[(&str, SocketAddr)],
    ) -> (Process, SocketAddr) {
        let front = free_address();
        (self.agent_at_front(name, site, servers, front), front)
    }

    /// Starts an agent whose front listens on this address; if another process of the agent does, as its successor.
    pub fn agent_at_front(
        &self,
        name: &str,
        site: &str,
        servers: &[(&str, SocketAddr)],
        front: SocketAddr,
    ) -> Process {
        let council = self.coordinator_addresses();
        let part = format!(
            "[fleet]\nname = \"gulf\"\nmember = \"{name}\"\nsite = \"{site}\"\ncouncil = [{council}]\n"
        );
        let servers: Vec<String> =
            servers.iter().map(|(n, a)| format!("{{ name = \"{n}\", address = \"{a}\" }}")).collect();
        self.start_agent(name, &part, front, &servers.join(", "))
    }

    /// Starts an agent with a configuration file of this project's format, to which `more` is appended.
    pub fn standalone_agent(&self, name: &str, more: &str) -> Process {
        let server = format!("{{ name = \"s1\", address = \"{}\" }}", free_address());
        self.start_agent(name, more, free_address(), &server)
    }

    fn start_agent(&self, name: &str, more: &str, front: SocketAddr, servers: &str) -> Process {
        let ops = free_address();
        let text = format!(
            "[ops]\nlisten = \"{ops}\"\n[[class]]\nname = \"lookup\"\neffect = \"idempotent\"\naim_ms = 200\ndeadline_ms = 1000\n\
             [[pool]]\nname = \"records\"\nmembership = \"static\"\nserver = [{servers}]\n\
             [[front]]\nname = \"desk\"\nlisten = \"{front}\"\n{more}"
        );
        let file = self.directory.join(format!("{name}-{}.toml", ops.port()));
        std::fs::write(&file, text).expect("written");
        let arguments = vec!["run".into(), "--config".into(), file.to_string_lossy().into()];
        let mut process = self.new_process(name, ops, arguments, self.environment());
        process.start();
        process
    }

    /// Starts an agent with a configuration file of the platform's format, which begins with `more`.
    pub fn platform_agent(&self, more: &str) -> Process {
        let (front, ops) = (free_address(), free_address());
        let text = format!(
            "{{{more}\"listen\":\"{front}\",\"ops\":\"{ops}\",\"discovery\":\"127.0.0.1:9\",\
             \"known\":{{\"rev\":1,\"all\":true,\"targets\":[{{\"uid\":\"s1\",\"endpoint\":\"127.0.0.1:9\",\"az\":\"a\",\
             \"model\":\"m\",\"pod_group\":0,\"state\":\"SERVING\",\"boot_ms\":0}}]}},\
             \"settings\":{{\"zones\":[\"a\"],\"kinds\":[\"m\"],\"discovery\":\"on_request\",\"classes\":[\
             {{\"name\":\"read\",\"effect\":\"idempotent\",\"aimMs\":200,\"deadlineMs\":1000}}]}}}}"
        );
        let file = self.directory.join(format!("platform-{}.json", ops.port()));
        std::fs::write(&file, text).expect("written");
        let mut variables = self.environment();
        variables.push(("LB_CONFIG".into(), file.to_string_lossy().into()));
        let mut process = self.new_process("platform", ops, Vec::new(), variables);
        process.start();
        process
    }

    /// Returns the environment variable by which the processes of an agent find each other only within this fleet.
    fn environment(&self) -> Vec<(String, String)> {
        vec![("TMPDIR".into(), self.directory.to_string_lossy().into())]
    }

    /// Runs an operators' command; returns its exit code, or -1 if it was killed, and its output.
    pub fn run(&self, arguments: &[&str]) -> (i32, String) {
        let list: Vec<String> = self.processes.iter().map(|process| process.address.to_string()).collect();
        let depth = if arguments[0] == "hold" { 1 } else { 2 };
        let done = std::process::Command::new(PROGRAM)
            .args(&arguments[..depth])
            .args(["--council", &list.join(","), "--fleet", "gulf"])
            .args(&arguments[depth..])
            .stdin(Stdio::null())
            .output()
            .expect("run");
        let output = [done.stdout, done.stderr].concat();
        (done.status.code().unwrap_or(-1), String::from_utf8_lossy(&output).into())
    }
}

/// A client of the coordination service.
pub struct Client {
    pub fleet: String,
    addresses: Vec<SocketAddr>,
    at: usize,
    session: Option<u64>,
    /// The number of the last command.
    pub number: u64,
}

impl Client {
    /// Returns a client of the same fleet that calls only the process at this address.
    pub fn restricted_to(&self, address: SocketAddr) -> Client {
        Client { fleet: self.fleet.clone(), addresses: vec![address], at: 0, session: None, number: 0 }
    }

    /// Calls the current process once.
    pub fn call_once(&mut self, request: &Request) -> Option<Response> {
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
        (status == 200).then(|| serde_json::from_slice(&body).expect("a response"))
    }

    fn is_conclusive(response: &Response) -> bool {
        !matches!(
            response,
            Response::Refused(Refusal::NotLeader { .. } | Refusal::Unknown | Refusal::NotFormed(_))
        )
    }

    /// Calls one process after the other, at most `calls` times; returns the first conclusive response.
    pub fn try_calls(&mut self, calls: usize, request: &Request) -> Option<Response> {
        for _ in 0..calls {
            match self.call_once(request) {
                Some(response) if Client::is_conclusive(&response) => return Some(response),
                _ => self.at += 1,
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        None
    }

    /// Calls until there is a conclusive response.
    pub fn call(&mut self, request: &Request) -> Response {
        wait_until("a response", || self.try_calls(1, request))
    }

    pub fn session(&mut self) -> u64 {
        if self.session.is_none() {
            match self
                .call(&Request::Command(CommandRequest { session: None, command: Command::OpenSession }))
            {
                Response::Reply(CommandResult::SessionOpened(session), _) => self.session = Some(session),
                other => panic!("no session: {other:?}"),
            }
        }
        self.session.expect("one")
    }

    /// Executes a command, exactly once.
    pub fn execute(&mut self, command: Command) {
        self.number += 1;
        let session = Some((self.session(), self.number));
        let reply = self.call(&Request::Command(CommandRequest { session, command }));
        assert!(matches!(reply, Response::Reply(CommandResult::Done(_), _)), "{reply:?}");
    }

    pub fn read(&mut self, prefix: &str) -> View {
        match self.call(&Request::Read { stale: false, prefix: prefix.into(), members: true }) {
            Response::Read(view) => view,
            other => panic!("{other:?}"),
        }
    }

    /// Waits until a member is living and ready, and returns its incarnation.
    pub fn wait_living(&mut self, name: &str) -> u64 {
        wait_until("a member", || {
            let member = self.read("").members.get(name)?.clone();
            (member.status == MemberStatus::Living && member.ready).then_some(member.incarnation)
        })
    }
}

/// The length of a long response.
pub const LONG_BYTES: usize = 512 * 1024;
/// The part of a long response that a server sends at once; more than what an agent buffers as a whole.
const LONG_BEGINNING_BYTES: usize = 128 * 1024;
/// How often a server sends a byte of a long response after that. An agent gives up on one that is silent for long.
const LONG_BYTE_INTERVAL: Duration = Duration::from_millis(100);

/// A record server, which responds to each request and records when each request's head arrived. Its response to a path that ends
/// in `/long` is long, and ends only when the test releases it.
pub struct Server {
    pub address: SocketAddr,
    arrivals: Arc<Mutex<Vec<Instant>>>,
    is_released: Arc<AtomicBool>,
}

impl Server {
    pub fn start() -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let (address, arrivals) = (listener.local_addr().expect("one"), Arc::new(Mutex::new(Vec::new())));
        let shared_arrivals = Arc::clone(&arrivals);
        let is_released = Arc::new(AtomicBool::new(false));
        let shared_is_released = Arc::clone(&is_released);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared_arrivals = Arc::clone(&shared_arrivals);
                let shared_is_released = Arc::clone(&shared_is_released);
                std::thread::spawn(move || serve(stream, &shared_arrivals, &shared_is_released));
            }
        });
        Server { address, arrivals, is_released }
    }

    /// Lets the long responses end.
    pub fn release_long_responses(&self) {
        self.is_released.store(true, Ordering::Relaxed);
    }

    /// Returns the number of requests so far.
    pub fn count(&self) -> usize {
        self.arrivals.lock().expect("not poisoned").len()
    }
}

fn serve(mut stream: TcpStream, arrivals: &Mutex<Vec<Instant>>, is_released: &AtomicBool) {
    let mut head = Vec::new();
    let mut byte = [0];
    while matches!(stream.read(&mut byte), Ok(1)) {
        head.push(byte[0]);
        if head.ends_with(b"\r\n\r\n") {
            let is_long = String::from_utf8_lossy(&head).contains("/long HTTP/1.1");
            head.clear();
            arrivals.lock().expect("not poisoned").push(Instant::now());
            let sent = if is_long {
                send_long_response(&mut stream, is_released)
            } else {
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            };
            if sent.is_err() {
                return;
            }
        }
    }
}

fn send_long_response(stream: &mut TcpStream, is_released: &AtomicBool) -> std::io::Result<()> {
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {LONG_BYTES}\r\n\r\n")?;
    stream.write_all(&vec![b'x'; LONG_BEGINNING_BYTES])?;
    let mut left = LONG_BYTES - LONG_BEGINNING_BYTES;
    while !is_released.load(Ordering::Relaxed) && left > 1 {
        stream.write_all(b"x")?;
        left -= 1;
        std::thread::sleep(LONG_BYTE_INTERVAL);
    }
    stream.write_all(&vec![b'x'; left])
}

/// Sends a client's request for a long response, and returns the connection once its status is 200 and its head has been read.
pub fn begin_long_lookup(front: SocketAddr, id: usize) -> BufReader<TcpStream> {
    let mut stream = TcpStream::connect(front).expect("connected");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
    let head = format!(
        "GET /lookup/long HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Call-Id: call-{id:016x}\r\nX-Call-Class: lookup\r\n\
         X-Caller: courts\r\nX-Budget-Ms: 1000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("written");
    let mut input = BufReader::new(stream);
    let mut line = String::new();
    input.read_line(&mut line).expect("a status line");
    assert!(line.starts_with("HTTP/1.1 200"), "{line}");
    while !line.trim_end().is_empty() {
        line.clear();
        input.read_line(&mut line).expect("a header");
    }
    input
}

/// Sends a client's lookup request; returns the status of the response.
pub fn lookup(front: SocketAddr, id: usize) -> Option<u16> {
    let mut stream = TcpStream::connect(front).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let head = format!(
        "GET /lookup HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Call-Id: call-{id:016x}\r\nX-Call-Class: lookup\r\n\
         X-Caller: courts\r\nX-Budget-Ms: 1000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).ok()?;
    response.split(' ').nth(1)?.parse().ok()
}
