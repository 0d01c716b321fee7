//! The stand-ins of the cases: the platform, discovery, record servers and clients, on loopback addresses and the real clock.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// The exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const CANNOT_RUN: i32 = 2;

/// The record of a run: what was sent, answered and executed.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn new(path: &Path) -> Record {
        Record(Arc::new((Mutex::new(File::create(path).expect("record.txt")), Instant::now())))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.0 .1.elapsed().as_secs_f64() * 1e3;
        let _ = writeln!(self.0 .0.lock().unwrap(), "{ms:10.1} {}", text.as_ref());
    }
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// A small deterministic source of random numbers.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
}

/// A new request id.
pub fn call_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("c{:015x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

/// The agents that were started.
static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// An agent process, started as the deploy file says.
pub struct Agent {
    child: Child,
    pub listen: SocketAddr,
    pub ops: SocketAddr,
    pub file: PathBuf,
    agent_folder: PathBuf,
}

impl Agent {
    /// Starts a new version beside this process: the same address and folder, another address for operators.
    pub fn upgrade(&self, folder: &Path, name: &str, configuration: &str, arguments: &str) -> Agent {
        Agent::spawn(folder, name, configuration, arguments, self.listen, self.agent_folder.clone())
    }

    /// Starts an agent with `arguments` behind the deploy file's command. `{listen}` and `{ops}` in the configuration are replaced.
    pub fn start(folder: &Path, name: &str, configuration: &str, arguments: &str) -> Agent {
        Agent::spawn(folder, name, configuration, arguments, free_address(), folder.join(format!("{name}.tmp")))
    }

    fn spawn(
        folder: &Path,
        name: &str,
        configuration: &str,
        arguments: &str,
        listen: SocketAddr,
        agent_folder: PathBuf,
    ) -> Agent {
        let ops = free_address();
        let file = folder.join(name);
        std::fs::create_dir_all(&agent_folder).expect("the agent's folder");
        let text = configuration.replace("{listen}", &listen.to_string()).replace("{ops}", &ops.to_string());
        std::fs::write(&file, text).expect("the configuration");
        let deploy = std::fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).expect("run");
        let run = run.split('"').next().expect("run");
        let arguments = arguments.replace("{file}", &file.display().to_string());
        let log = File::create(folder.join(format!("{name}.log"))).expect("the agent's log");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("{run} {arguments}")).stdin(Stdio::null());
        command.stdout(log.try_clone().expect("log")).stderr(log).env("TMPDIR", &agent_folder);
        if arguments.is_empty() {
            command.env("LB_NAME", "n1").env("LB_CONFIG", &file);
            command.env("LB_LISTEN", listen.to_string()).env("LB_OPS", ops.to_string());
        }
        let child = command.spawn().expect("the agent");
        STARTED.lock().unwrap().push(child.id() as i32);
        Agent { child, listen, ops, file, agent_folder }
    }

    /// Waits until the agent says that it can serve; ends the case if it does not within 10 s.
    pub fn wait_ready(&self) {
        let until = Instant::now() + ms(10_000);
        while Instant::now() < until {
            if let Ok(mut client) = Client::connect(self.listen) {
                let _ = client.stream.set_read_timeout(Some(ms(1000)));
                let _ = client.stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
                if client.read().is_ok_and(|answer| answer.status == 200) {
                    return;
                }
            }
            thread::sleep(ms(50));
        }
        eprintln!("the agent is not ready");
        for pid in STARTED.lock().unwrap().iter() {
            // SAFETY: children of this process, none of which has been waited for yet.
            unsafe { kill(*pid, SIGKILL) };
        }
        std::process::exit(CANNOT_RUN);
    }

    /// Waits until the operators' address says that this process can serve.
    pub fn wait_says_yes(&self) -> bool {
        let until = Instant::now() + ms(6000);
        while Instant::now() < until {
            if let Ok(mut stream) = TcpStream::connect(self.ops) {
                let mut page = String::new();
                let _ = stream.set_read_timeout(Some(ms(1000)));
                let _ = stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
                let _ = stream.read_to_string(&mut page);
                if page.starts_with("HTTP/1.1 200") {
                    return true;
                }
            }
            thread::sleep(ms(20));
        }
        false
    }

    /// A value on the operators' page.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let mut stream = TcpStream::connect(self.ops).ok()?;
        stream.set_read_timeout(Some(ms(2000))).ok()?;
        stream.write_all(b"GET /-/metrics HTTP/1.1\r\nHost: a\r\n\r\n").ok()?;
        let mut page = String::new();
        let _ = stream.read_to_string(&mut page);
        let line = page.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        line?.trim().parse().ok()
    }

    /// Replaces the configuration, sends SIGHUP and waits until the file was taken.
    pub fn reload(&self, configuration: &str) -> bool {
        let text = configuration
            .replace("{listen}", &self.listen.to_string())
            .replace("{ops}", &self.ops.to_string());
        std::fs::write(&self.file, text).expect("the configuration");
        let before = self.metric("app_reloads_ok_total").unwrap_or(0.0);
        self.signal(SIGHUP);
        let until = Instant::now() + ms(4000);
        while Instant::now() < until {
            if self.metric("app_reloads_ok_total").is_some_and(|count| count > before) {
                return true;
            }
            thread::sleep(ms(50));
        }
        false
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: a signal to a child that this process has started and not yet waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        let pid = self.child.id() as i32;
        STARTED.lock().unwrap().retain(|other| *other != pid);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// One HTTP message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn id(&self) -> &str {
        self.header("x-call-id").unwrap_or("-")
    }

    /// Reads the head; `Ok(None)` if the peer has closed before it.
    pub fn read_head(input: &mut impl BufRead) -> std::io::Result<Option<Message>> {
        let mut message = Message::default();
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        message.start = line.trim_end().to_string();
        message.status = message.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        loop {
            line.clear();
            if input.read_line(&mut line)? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            match line.trim_end().split_once(':') {
                Some((name, value)) => message.headers.push((name.into(), value.trim().into())),
                None => return Ok(Some(message)),
            }
        }
    }

    /// Reads a message with its body.
    pub fn read(input: &mut impl BufRead) -> std::io::Result<Option<Message>> {
        let Some(mut message) = Message::read_head(input)? else { return Ok(None) };
        if message.header("transfer-encoding").is_some() {
            loop {
                let mut line = String::new();
                input.read_line(&mut line)?;
                let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
                let mut chunk = vec![0; size + 2];
                input.read_exact(&mut chunk)?;
                if size == 0 {
                    return Ok(Some(message));
                }
                message.body.extend_from_slice(&chunk[..size]);
            }
        }
        let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        input.read_exact(&mut message.body)?;
        Ok(Some(message))
    }
}

pub fn ok_answer(body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    text.extend_from_slice(body);
    text
}

/// Serves each connection on a thread of its own with `serve`.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = Arc::clone(&serve);
            let _ = stream.set_nodelay(true);
            let _ = thread::Builder::new().stack_size(128 * 1024).spawn(move || serve(stream));
        }
    });
    address
}

/// A record server: `answer` gets each request with the connection that it came on, and returns whether to go on with it.
pub fn record_server(answer: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static) -> SocketAddr {
    listen(move |mut stream| {
        let Ok(input) = stream.try_clone() else { return };
        let mut input = BufReader::new(input);
        while let Ok(Some(request)) = Message::read(&mut input) {
            if matches!(request.path(), "/stats" | "/health/live") {
                let _ = stream.write_all(&ok_answer(b"inflight=0,queue=0,qps=1"));
                continue;
            }
            if !answer(&request, &mut stream) {
                return;
            }
        }
    })
}

/// One entry of discovery's list.
#[derive(Clone)]
pub struct Listed {
    pub uid: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub group: u32,
    pub state: &'static str,
}

impl Listed {
    fn json(&self) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"{}","model":"mid-2c","pod_group":{},"state":"{}","capacity_hint":1.0,"boot_ms":0}}"#,
            self.uid, self.address, self.zone, self.group, self.state
        )
    }
}

/// Discovery, which answers a watch with the whole list when something is newer.
#[derive(Clone)]
pub struct Discovery {
    state: Arc<(Mutex<(i64, Vec<Listed>)>, Condvar)>,
    pub address: SocketAddr,
}

impl Discovery {
    pub fn start(servers: Vec<Listed>) -> Discovery {
        let state = Arc::new((Mutex::new((41, servers)), Condvar::new()));
        let shared = Arc::clone(&state);
        let address = listen(move |mut stream| {
            let Ok(input) = stream.try_clone() else { return };
            let mut input = BufReader::new(input);
            while let Ok(Some(request)) = Message::read(&mut input) {
                let query = request.path().split_once('?').map_or("", |(_, query)| query).to_string();
                let query: HashMap<&str, &str> = query.split('&').filter_map(|p| p.split_once('=')).collect();
                let number = |name: &str| query.get(name).and_then(|v| v.parse::<i64>().ok());
                let mut state = shared.0.lock().unwrap();
                if let Some(from) = number("from") {
                    let hold = ms(number("hold_ms").unwrap_or(0).clamp(0, 60_000) as u64);
                    state = shared.1.wait_timeout_while(state, hold, |state| state.0 <= from).unwrap().0;
                    if state.0 <= from {
                        let body = format!(r#"{{"rev":{},"all":false,"targets":[]}}"#, state.0);
                        drop(state);
                        if stream.write_all(&ok_answer(body.as_bytes())).is_err() {
                            return;
                        }
                        continue;
                    }
                }
                let body = list(&state);
                drop(state);
                if stream.write_all(&ok_answer(body.as_bytes())).is_err() {
                    return;
                }
            }
        });
        Discovery { state, address }
    }

    /// The whole list, as JSON.
    pub fn list(&self) -> String {
        list(&self.state.0.lock().unwrap())
    }
}

fn list(state: &(i64, Vec<Listed>)) -> String {
    let targets: Vec<String> = state.1.iter().map(Listed::json).collect();
    format!(r#"{{"rev":{},"all":true,"targets":[{}]}}"#, state.0, targets.join(","))
}

/// A client's connection to the agent.
pub struct Client {
    pub stream: TcpStream,
    input: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, ms(1000))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ms(10_000)))?;
        let input = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, input })
    }

    /// Reads one answer with its body.
    pub fn read(&mut self) -> std::io::Result<Message> {
        Message::read(&mut self.input)?.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
    }

    pub fn input(&mut self) -> &mut BufReader<TcpStream> {
        &mut self.input
    }
}

/// A request as the protocol page has it: GET without a body, or POST with one.
pub fn request(class: &str, id: &str, budget_ms: u64, key: Option<&str>, body: Option<&str>) -> String {
    let method = if body.is_some() { "POST" } else { "GET" };
    let key = key.map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
    let (length, body) = match body {
        Some(body) => (format!("Content-Length: {}\r\n", body.len()), body),
        None => (String::new(), ""),
    };
    format!(
        "{method} /{class}/7 HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\nX-Budget-Ms: {budget_ms}\r\n{key}{length}\r\n{body}"
    )
}

/// The `settings` of a small deployment, with these classes (JSON objects).
pub fn settings(classes: &[&str]) -> String {
    format!(
        r#"{{"balancers":3,"classes":[{}],"clientHabits":{{"marksRetry":false}},"discovery":"pushed",
"familyInfo":{{"warmKeys":false}},"feedback":{{"fields":["inflight","queue","qps"],"source":"pull"}},
"goal":{{"whole":0.55,"worstClass":0.3,"worstTenant":0.0,"worstWindow":0.15}},"kinds":["new-2c","mid-2c","old-2c"],
"limits":{{"cancel":true,"connectTimeoutMs":100.0,"cpuUsPerRequest":0.0,"cpuUsPerS":80000,"keepaliveMs":15000.0,"maxAttempts":5,"maxOpen":20000,"maxRetryAfterMs":750.0,"maxStreams":1,"peers":false,"probes":true,"retryAfter":true,"secondCopies":true}},
"overShareWorth":0.1,"parties":[],
"penalties":{{"connection":0.0,"crossZone":0.02,"discovery":0.0,"handshake":0.0,"lateFail":0.05,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.002,"waste":0.05}},
"periodMs":2.0,"rules":{{"askWithinMs":10000.0,"coldShare":0.31,"fallMs":3000.0,"graceToAnswerMs":8.0,"overloadFactor":3.0,"stopSendingWithinMs":500.0,"warmAfterMs":9000.0}},
"serviceType":"mesh","slotNo":0,"tier":0,"tiers":["record-servers"],"weights":"silent","worthBy":"work","zone":0,"zones":["jackson","mobile","baton-rouge"]}}"#,
        classes.join(",")
    )
}

pub const LOOKUP: &str = r#"{"name":"lookup","effect":"idempotent","aimMs":200.0,"deadlineMs":400.0,"dedupWindowMs":5000.0,"group":"all","lateWorth":0.5,"points":3.0,"stream":false}"#;
pub const CORRECTION: &str = r#"{"name":"correction","effect":"deduplicated","aimMs":400.0,"deadlineMs":1000.0,"dedupWindowMs":600.0,"group":"zone","lateWorth":0.3,"points":5.0,"stream":false}"#;
pub const CERTIFIED_COPY: &str = r#"{"name":"certified-copy","effect":"at_most_once","aimMs":500.0,"deadlineMs":1500.0,"dedupWindowMs":5000.0,"group":"all","lateWorth":0.3,"points":2.0,"stream":false}"#;

/// The platform's configuration file of an agent.
pub fn platform_file(discovery: &Discovery, settings: &str) -> String {
    format!(
        r#"{{"name":"n1","listen":"{{listen}}","ops":"{{ops}}","discovery":"{}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{},"settings":{settings}}}"#,
        discovery.address,
        discovery.list()
    )
}
