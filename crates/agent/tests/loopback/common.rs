//! The test bench: scripted record servers, a scripted discovery and clients on loopback, and the agent's program between them.
//! Tests wait for events; the timeout only ends a test that hangs.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Far longer than a working agent needs for anything.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// An HTTP message as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Reads one message with a `Content-Length`; `None` when the peer has closed.
    pub fn read(input: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::default();
        let mut line = String::new();
        if input.read_line(&mut line).ok()? == 0 {
            return None;
        }
        message.start_line = line.trim_end().to_string();
        loop {
            line.clear();
            if input.read_line(&mut line).ok()? == 0 {
                return None;
            }
            match line.trim_end().split_once(':') {
                Some((name, value)) => message.headers.push((name.into(), value.trim().into())),
                None => break,
            }
        }
        let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        input.read_exact(&mut message.body).ok()?;
        Some(message)
    }
}

/// How a server reacts to a request.
pub enum Action {
    /// Writes this and keeps the connection open.
    Respond(String),
    /// Writes this and closes the connection.
    RespondAndClose(String),
    /// Writes these one after the other, each followed by a pause longer than the stall timeout.
    RespondInParts(Vec<String>),
    /// Writes nothing until the agent closes the connection.
    Hang,
}

pub fn ok(body: &str) -> Action {
    Action::Respond(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

pub fn status(code: u16, headers: &str) -> Action {
    Action::Respond(format!("HTTP/1.1 {code} X\r\n{headers}Content-Length: 0\r\n\r\n"))
}

/// A list of events. Tests can wait until it has a certain length.
pub struct EventLog<T> {
    events: Mutex<Vec<T>>,
    added: Condvar,
}

impl<T> Default for EventLog<T> {
    fn default() -> Self {
        EventLog { events: Mutex::default(), added: Condvar::new() }
    }
}

impl<T: Clone> EventLog<T> {
    pub fn push(&self, event: T) {
        self.events.lock().unwrap().push(event);
        self.added.notify_all();
    }

    pub fn all(&self) -> Vec<T> {
        self.events.lock().unwrap().clone()
    }

    /// Waits until there are at least `count` events.
    pub fn wait_for(&self, count: usize) -> Vec<T> {
        let events = self.events.lock().unwrap();
        let (events, wait) =
            self.added.wait_timeout_while(events, TEST_TIMEOUT, |events| events.len() < count).unwrap();
        assert!(!wait.timed_out(), "only {} of {count} events", events.len());
        events.clone()
    }
}

/// A scripted record server.
pub struct RecordServer {
    pub address: SocketAddr,
    pub requests: Arc<EventLog<Message>>,
    pub connections_opened: Arc<EventLog<()>>,
    pub connections_closed: Arc<EventLog<()>>,
}

impl RecordServer {
    pub fn new(script: impl Fn(&Message) -> Action + Send + Sync + 'static) -> RecordServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (requests, connections_opened, connections_closed) =
            (Arc::default(), Arc::default(), Arc::default());
        let server = RecordServer { address, requests, connections_opened, connections_closed };
        let script = Arc::new(script);
        let (requests, opened, closed) = (
            Arc::clone(&server.requests),
            Arc::clone(&server.connections_opened),
            Arc::clone(&server.connections_closed),
        );
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (script, requests, closed) =
                    (Arc::clone(&script), Arc::clone(&requests), Arc::clone(&closed));
                opened.push(());
                thread::spawn(move || {
                    serve_connection(stream, &*script, &requests);
                    closed.push(());
                });
            }
        });
        server
    }
}

impl RecordServer {
    /// A server that holds requests of class `once` until the test sends a release for each.
    pub fn gated() -> (RecordServer, mpsc::Sender<()>) {
        let (release, held) = mpsc::channel::<()>();
        let held = Mutex::new(held);
        let server = RecordServer::new(move |m| {
            if m.path().starts_with("/once") {
                let _ = held.lock().unwrap().recv_timeout(TEST_TIMEOUT);
            }
            ok("done")
        });
        (server, release)
    }
}

fn serve_connection(
    mut stream: TcpStream,
    script: &dyn Fn(&Message) -> Action,
    requests: &EventLog<Message>,
) {
    let mut input = BufReader::new(stream.try_clone().unwrap());
    while let Some(message) = Message::read(&mut input) {
        requests.push(message.clone());
        match script(&message) {
            Action::Respond(text) => {
                let _ = stream.write_all(text.as_bytes());
            }
            Action::RespondAndClose(text) => {
                let _ = stream.write_all(text.as_bytes());
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            Action::RespondInParts(texts) => {
                for text in texts {
                    let _ = stream.write_all(text.as_bytes());
                    thread::sleep(Duration::from_millis(300));
                }
            }
            Action::Hang => {
                let _ = input.read(&mut [0; 1]);
                return;
            }
        }
    }
}

/// A scripted discovery with a list that tests can change.
pub struct Discovery {
    pub address: SocketAddr,
    /// The paths of the requests.
    pub requests: Arc<EventLog<String>>,
    /// The versions of the lists that have been sent.
    pub sent_versions: Arc<EventLog<i64>>,
    list: Arc<(Mutex<List>, Condvar)>,
}

struct List {
    rev: i64,
    targets: String,
    down: bool,
    /// Sent in place of a list, after which the connection is closed.
    invalid_response: Option<String>,
}

impl Discovery {
    pub fn new(targets: String) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let list = Arc::new((
            Mutex::new(List { rev: 2, targets, down: false, invalid_response: None }),
            Condvar::new(),
        ));
        let discovery = Discovery { address, requests: Arc::default(), sent_versions: Arc::default(), list };
        let (requests, sent_versions) =
            (Arc::clone(&discovery.requests), Arc::clone(&discovery.sent_versions));
        let list = Arc::clone(&discovery.list);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (requests, sent_versions, list) =
                    (Arc::clone(&requests), Arc::clone(&sent_versions), Arc::clone(&list));
                thread::spawn(move || serve_discovery(stream, &requests, &sent_versions, &list));
            }
        });
        discovery
    }

    pub fn set_targets(&self, targets: String) {
        let mut list = self.list.0.lock().unwrap();
        (list.rev, list.targets) = (list.rev + 1, targets);
        self.list.1.notify_all();
    }

    /// Sends this text and a close in response to each request; `None` restores the list.
    pub fn set_invalid_response(&self, text: Option<String>) {
        self.list.0.lock().unwrap().invalid_response = text;
        self.list.1.notify_all();
    }

    /// Replaces the list by one of this version.
    pub fn set_list(&self, rev: i64, targets: String) {
        let mut list = self.list.0.lock().unwrap();
        (list.rev, list.targets, list.invalid_response) = (rev, targets, None);
        self.list.1.notify_all();
    }

    /// While it is down, watches end and requests fail.
    pub fn set_down(&self, down: bool) {
        self.list.0.lock().unwrap().down = down;
        self.list.1.notify_all();
    }
}

fn serve_discovery(
    mut stream: TcpStream,
    requests: &EventLog<String>,
    sent_versions: &EventLog<i64>,
    list: &(Mutex<List>, Condvar),
) {
    let mut input = BufReader::new(stream.try_clone().unwrap());
    while let Some(message) = Message::read(&mut input) {
        let path = message.path().to_string();
        requests.push(path.clone());
        let from = path.split("from=").nth(1).and_then(|t| t.split('&').next()?.parse::<i64>().ok());
        let state = list.0.lock().unwrap();
        let state = list
            .1
            .wait_while(state, |s| {
                !s.down && s.invalid_response.is_none() && from.is_some_and(|f| f >= s.rev)
            })
            .unwrap();
        let text = if state.down {
            "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n".to_string()
        } else {
            let body = format!(r#"{{"rev":{},"all":true,"targets":[{}]}}"#, state.rev, state.targets);
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        };
        let (invalid_response, rev) = (state.invalid_response.clone(), state.rev);
        drop(state);
        let text = invalid_response.as_deref().unwrap_or(&text);
        if stream.write_all(text.as_bytes()).is_err() || invalid_response.is_some() {
            return;
        }
        sent_versions.push(rev);
    }
}

pub fn target(uid: &str, address: SocketAddr, state: &str, boot_ms: u64) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"m","pod_group":0,"state":"{state}","boot_ms":{boot_ms}}}"#
    )
}

pub fn serving(uid: &str, address: SocketAddr) -> String {
    target(uid, address, "SERVING", 0)
}

/// Four classes, one of each effect, with deadlines that only matter to tests that wait for them.
pub const SETTINGS: &str = r#"{"zones":["a"],"kinds":["m"],"discovery":"on_request","classes":[
 {"name":"read","effect":"idempotent","aimMs":5000,"deadlineMs":10000,"points":1},
 {"name":"once","effect":"at_most_once","aimMs":5000,"deadlineMs":10000,"points":1},
 {"name":"zoned","effect":"deduplicated","group":"zone","dedupWindowMs":60000,"aimMs":5000,"deadlineMs":10000,"points":1},
 {"name":"all","effect":"deduplicated","group":"all","dedupWindowMs":60000,"aimMs":5000,"deadlineMs":10000,"points":1}],
 "feedback":{"fields":["qps","queue"],"source":"piggyback"},"parties":[{"name":"courts","fraction":1.0}],
 "limits":{"cancel":true,"retryAfter":true,"connectTimeoutMs":2000,"keepaliveMs":60000,"maxAttempts":3,"secondCopies":true},
 "rules":{"stopSendingWithinMs":2000}}"#;

pub fn config(discovery: SocketAddr, known: &str, settings: &str, sockets: usize) -> String {
    format!(
        r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1f","limits":{{"sockets":{sockets}}},
        "known":{{"rev":1,"all":true,"targets":[{known}]}},"settings":{settings}}}"#
    )
}

/// Adds an address for operators to a configuration.
pub fn with_ops(config: &str) -> String {
    config.replacen('{', r#"{"ops":"127.0.0.1:0","#, 1)
}

pub struct Agent {
    pub child: Child,
    pub address: SocketAddr,
    /// The addresses for clients, front by front.
    pub fronts: Vec<SocketAddr>,
    /// The address for operators, if the configuration has one.
    pub ops: Option<SocketAddr>,
    /// Its log until it listened.
    pub startup_log: String,
    /// The lines of its log after that.
    pub log_lines: Arc<EventLog<String>>,
    config: PathBuf,
}

static FILE_COUNT: AtomicUsize = AtomicUsize::new(0);

pub fn config_file(text: &str) -> PathBuf {
    let number = FILE_COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("config-{}-{number}.json", std::process::id());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

/// Creates a private temporary folder, as a deployment provides one.
pub fn temp_dir() -> PathBuf {
    let number = FILE_COUNT.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("heronhoist-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    path
}

pub fn command(config: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_heronhoist"));
    command
        .env("LB_CONFIG", config)
        .env_remove("LB_LISTEN")
        .env_remove("LB_DISCOVERY")
        .env_remove("LB_OPS")
        .env_remove("TMPDIR");
    command.stderr(Stdio::piped());
    command
}

impl Agent {
    pub fn start(config: &str) -> Agent {
        let config = config_file(config);
        Agent::wait_until_listening(command(&config).spawn().unwrap(), config, 1)
    }

    /// Starts an agent with a TOML configuration, whose processes hand over through this folder.
    pub fn start_with_toml(folder: &Path, config: &str) -> Agent {
        let (fronts, config) = (config.matches("[[front]]").count(), config_file(config));
        // The extension determines the form.
        let file = config.with_extension("toml");
        std::fs::rename(&config, &file).unwrap();
        let mut command = command(&file);
        command.env_remove("LB_CONFIG").env("TMPDIR", folder).args(["run", "--config"]).arg(&file);
        Agent::wait_until_listening(command.spawn().unwrap(), file, fronts)
    }

    /// Starts an agent whose processes hand over through this folder.
    pub fn start_in_dir(folder: &Path, config: &str) -> Agent {
        let config = config_file(config);
        Agent::wait_until_listening(command(&config).env("TMPDIR", folder).spawn().unwrap(), config, 1)
    }

    /// Starts an agent with one server and a configuration with this limit on sockets.
    pub fn with_socket_limit(server: &RecordServer, sockets: usize) -> (Agent, Discovery) {
        let line = serving("s", server.address);
        let discovery = Discovery::new(line.clone());
        (Agent::start(&config(discovery.address, &line, SETTINGS, sockets)), discovery)
    }

    /// Starts an agent whose process may open fewer descriptors than its configuration states.
    pub fn start_with_descriptor_limit(config: &str, descriptors: usize) -> Agent {
        let mut shell = Command::new("sh");
        let script = format!("ulimit -n {descriptors}; exec {}", env!("CARGO_BIN_EXE_heronhoist"));
        let config = config_file(config);
        shell.args(["-c", &script]).env("LB_CONFIG", &config).stderr(Stdio::piped());
        Agent::wait_until_listening(
            shell
                .env_remove("LB_LISTEN")
                .env_remove("LB_DISCOVERY")
                .env_remove("LB_OPS")
                .env_remove("TMPDIR")
                .spawn()
                .unwrap(),
            config,
            1,
        )
    }

    fn wait_until_listening(mut child: Child, config: PathBuf, fronts: usize) -> Agent {
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let (mut line, mut ops, mut listening) = (String::new(), None, Vec::new());
        let mut startup_log = String::new();
        loop {
            startup_log.push_str(&line);
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "the agent exited during its start");
            if let Some((_, place)) = line.split_once("operators may call at ") {
                ops = Some(place.trim().parse().unwrap());
            }
            if let Some((_, address)) = line.split_once("listening on ") {
                listening.push(address.split_whitespace().next().unwrap().parse().unwrap());
                if listening.len() == fronts {
                    break;
                }
            }
        }
        // The log is read to its end, since a full pipe would block the agent.
        let log_lines = Arc::<EventLog<String>>::default();
        let lines = Arc::clone(&log_lines);
        thread::spawn(move || log.lines().map_while(Result::ok).for_each(|line| lines.push(line)));
        Agent { child, address: listening[0], fronts: listening, ops, startup_log, log_lines, config }
    }

    /// Sends one request to the operators' address.
    pub fn ops_request(&self, method: &str, path: &str) -> Message {
        let mut stream = TcpStream::connect(self.ops.expect("an address for operators")).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        write!(stream, "{method} {path} HTTP/1.1\r\nHost: ops\r\n\r\n").unwrap();
        Message::read(&mut BufReader::new(stream)).expect("a response")
    }

    /// The value of a metric on the operators' page.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let page = String::from_utf8(self.ops_request("GET", "/-/metrics").body).unwrap();
        page.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' ')?.parse().ok())
    }

    /// Waits until a metric has this value.
    pub fn wait_for_metric(&self, name: &str, value: f64) {
        let start = Instant::now();
        while self.metric(name) != Some(value) {
            assert!(start.elapsed() < TEST_TIMEOUT, "{name} is {:?}, not {value}", self.metric(name));
            thread::yield_now();
        }
    }

    /// Starts an agent that knows these servers from the start, with a discovery that lists the same.
    pub fn with_servers(servers: &[&RecordServer]) -> (Agent, Discovery) {
        let lines: Vec<String> =
            servers.iter().enumerate().map(|(i, server)| serving(&format!("s{i}"), server.address)).collect();
        let discovery = Discovery::new(lines.join(","));
        (Agent::start(&config(discovery.address, &lines.join(","), SETTINGS, 1024)), discovery)
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::rename(config_file(config), &self.config).unwrap();
        self.signal("-HUP");
    }

    /// The numbers of successful and of failed reloads.
    pub fn reloads(&self) -> (f64, f64) {
        let metric = |name| self.metric(name).expect("a metric");
        (metric("app_reloads_ok_total"), metric("app_reloads_failed_total"))
    }

    /// Suspends the process; returns once it is stopped.
    pub fn pause(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        let stopped = || std::fs::read_to_string(&stat).is_ok_and(|text| text.contains(") T "));
        while !stopped() {
            thread::yield_now();
        }
    }

    /// Resumes the process.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }

    /// Waits until the process has exited; returns the exit code.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            assert!(start.elapsed() < TEST_TIMEOUT, "the agent does not exit");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Client {
    pub stream: TcpStream,
    input: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(agent: &Agent) -> Client {
        Client::connect_to(agent.address)
    }

    pub fn connect_to(address: SocketAddr) -> Client {
        Client::from_stream(TcpStream::connect(address).unwrap())
    }

    pub fn from_stream(stream: TcpStream) -> Client {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let input = BufReader::new(stream.try_clone().unwrap());
        Client { stream, input }
    }

    pub fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// Reads the next response; `None` if the agent has closed.
    pub fn read(&mut self) -> Option<Message> {
        Message::read(&mut self.input)
    }

    /// Sends a request and reads its response.
    pub fn exchange(&mut self, text: &str) -> Message {
        self.write(text);
        self.read().expect("a response")
    }
}

static REQUEST_COUNT: AtomicUsize = AtomicUsize::new(0);

/// A valid request of this class.
pub fn request(class: &str, budget_ms: u64) -> String {
    let id = REQUEST_COUNT.fetch_add(1, Ordering::Relaxed);
    let head = format!(
        "Host: origin.svc\r\nX-Call-Id: call-{id}\r\nX-Call-Class: {class}\r\nX-Caller: courts\r\nX-Budget-Ms: {budget_ms}\r\n"
    );
    match class {
        "read" => format!("GET /{class}?a=1&b=%20 HTTP/1.1\r\n{head}\r\n"),
        "once" => format!("POST /{class} HTTP/1.1\r\n{head}Content-Length: 4\r\n\r\nbody"),
        _ => format!(
            "POST /{class} HTTP/1.1\r\n{head}Idempotency-Key: key-{id}\r\nContent-Length: 4\r\n\r\nbody"
        ),
    }
}
