//! Stand-ins for the clients, the record servers, discovery and the platform, for the cases of this review. Only the standard
//! library is used. Everything listens on 127.0.0.1, on ports that the system chooses.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn ioctl(descriptor: i32, request: u64, ...) -> i32;
}

/// `SIOCOUTQ`: the bytes that the peer's machine has not acknowledged yet.
const SIOCOUTQ: u64 = 0x5411;

/// Whether the peer's machine has acknowledged every byte that was written to the connection.
fn is_all_acknowledged(stream: &TcpStream) -> bool {
    use std::os::fd::AsRawFd;
    let mut bytes: i32 = -1;
    let result = unsafe { ioctl(stream.as_raw_fd(), SIOCOUTQ, std::ptr::addr_of_mut!(bytes)) };
    result == 0 && bytes == 0
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// The exit code of a case that could not run.
pub const CANNOT_RUN: i32 = 2;

/// The record of a run: one line for each event, with the milliseconds since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(folder: &Path) -> Arc<Record> {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Arc::new(Record { start: Instant::now(), file: Mutex::new(file) })
    }

    pub fn ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:10.1} ms  {}\n", self.ms(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// Ends the process with code 2 if the case takes longer than `limit`.
pub fn watchdog(limit: Duration, pids: Arc<Mutex<Vec<u32>>>) {
    thread::spawn(move || {
        thread::sleep(limit);
        eprintln!("the case did not end in time");
        for pid in pids.lock().unwrap().iter() {
            unsafe { kill(*pid as i32, SIGKILL) };
        }
        std::process::exit(CANNOT_RUN);
    });
}

/// The root of the repository: the working directory of the script.
pub fn root() -> PathBuf {
    std::env::current_dir().expect("there is a working directory")
}

/// Whether the run has its disruption; not with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The command `run` of the deploy file.
pub fn run_command() -> String {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).expect("the deploy file can be read");
    let line = text.lines().find(|line| line.starts_with("run = ")).expect("the deploy file has a run line");
    line.split('"').nth(1).expect("the run line has a command").to_string()
}

/// A free port of 127.0.0.1.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// An agent process, started as on the platform.
pub struct Agent {
    child: Child,
    pub listen: SocketAddr,
    pub ops: SocketAddr,
    pub exited_at: Option<f64>,
    pids: Arc<Mutex<Vec<u32>>>,
}

/// Starts the project's program with these arguments, by the command `run` of the deploy file.
pub fn start_program(arguments: &str, temporary: &Path, tag: &str, pids: &Arc<Mutex<Vec<u32>>>) -> Program {
    let log = File::create(temporary.join(format!("log-{tag}.txt"))).expect("a log file");
    let private = temporary.join(format!("tmp-{tag}"));
    let _ = std::fs::create_dir(&private);
    let child = Command::new("/bin/sh")
        .arg("-c")
        .arg(format!("{} {arguments}", run_command()))
        .current_dir(root())
        .env("TMPDIR", &private)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a log file"))
        .stderr(log)
        .spawn()
        .expect("the program can be started");
    pids.lock().unwrap().push(child.id());
    Program { child, pids: Arc::clone(pids) }
}

/// A process of the project, ended when dropped.
pub struct Program {
    pub child: Child,
    pids: Arc<Mutex<Vec<u32>>>,
}

impl Program {
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits for the end of the process; `None` if it has not ended in time, else its exit code.
    pub fn wait(&mut self, limit: Duration) -> Option<i32> {
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.code().unwrap_or(-1));
            }
            thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.pids.lock().unwrap().retain(|pid| *pid != self.child.id());
    }
}

/// What an agent is told.
pub struct AgentOptions<'a> {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The list of record servers as this agent last had it, as JSON.
    pub known: String,
    pub settings: &'a str,
    pub temporary: &'a Path,
    /// A name for its files.
    pub tag: &'a str,
}

impl Agent {
    pub fn start(options: &AgentOptions, pids: &Arc<Mutex<Vec<u32>>>) -> Agent {
        let ops = free_address();
        let AgentOptions { listen, discovery, known, settings, temporary, tag } = options;
        let seed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
        let config = format!(
            "{{\"name\":\"n1\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"ops\":\"{ops}\",\"seed\":\"{seed:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":128,\"sockets\":1024}},\"known\":{known},\"settings\":{settings}}}"
        );
        let path = temporary.join(format!("config-{tag}.json"));
        std::fs::write(&path, config).expect("the configuration can be written");
        let private = temporary.join("tmp");
        let _ = std::fs::create_dir(&private);
        let log = File::create(temporary.join(format!("log-{tag}.txt"))).expect("a log file");
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_command())
            .current_dir(root())
            .env("LB_NAME", "n1")
            .env("LB_LISTEN", listen.to_string())
            .env("LB_DISCOVERY", discovery.to_string())
            .env("LB_OPS", ops.to_string())
            .env("LB_CONFIG", &path)
            .env("TMPDIR", &private)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("the agent can be started");
        pids.lock().unwrap().push(child.id());
        Agent { child, listen: *listen, ops, exited_at: None, pids: Arc::clone(pids) }
    }

    /// Waits until `GET /health/ready` returns 200.
    pub fn wait_ready(&mut self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            if simple_get(self.listen, "/health/ready").is_ok_and(|status| status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Waits until the second address says yes.
    pub fn wait_yes(&mut self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            if simple_get(self.ops, "/-/ready").is_ok_and(|status| (200..300).contains(&status)) {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Whether the process has ended; records when that was first seen.
    pub fn has_exited(&mut self, record: &Record) -> bool {
        if self.exited_at.is_none() && matches!(self.child.try_wait(), Ok(Some(_))) {
            self.exited_at = Some(record.ms());
            self.pids.lock().unwrap().retain(|pid| *pid != self.child.id());
        }
        self.exited_at.is_some()
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.pids.lock().unwrap().retain(|pid| *pid != self.child.id());
    }
}

/// A GET on a connection of its own; returns the status.
pub fn simple_get(address: SocketAddr, path: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(ErrorKind::UnexpectedEof)?;
    head.status().ok_or_else(|| ErrorKind::InvalidData.into())
}

/// A start line with its headers; the names are in lower case.
pub struct Head {
    pub start: String,
    pub headers: HashMap<String, String>,
}

impl Head {
    pub fn status(&self) -> Option<u16> {
        self.start.split(' ').nth(1)?.parse().ok()
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// Reads a head; `None` at a clean end before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut start = String::new();
    if reader.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(Head { start: start.trim_end().to_string(), headers }));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
    }
}

/// Reads a body by its framing and passes each part to `take`; returns its length.
pub fn read_body(reader: &mut impl BufRead, head: &Head, mut take: impl FnMut(&[u8])) -> io::Result<u64> {
    let mut total = 0;
    let mut read_exactly = |reader: &mut dyn BufRead, mut left: u64| -> io::Result<()> {
        while left > 0 {
            let part = reader.fill_buf()?;
            if part.is_empty() {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            let n = part.len().min(left as usize);
            take(&part[..n]);
            reader.consume(n);
            left -= n as u64;
        }
        Ok(())
    };
    if head.get("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            let digits = line.trim().split(';').next().unwrap_or_default();
            let size = u64::from_str_radix(digits, 16).map_err(|_| ErrorKind::InvalidData)?;
            if size > 0 {
                read_exactly(reader, size)?;
                total += size;
            }
            let mut end = String::new();
            if reader.read_line(&mut end)? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            if size == 0 {
                return Ok(total);
            }
        }
    }
    let length = head.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    read_exactly(reader, length)?;
    Ok(length)
}

/// The byte at a position of the body that belongs to an id.
pub fn pattern(id: &str, position: u64) -> u8 {
    let sum = id.bytes().fold(7u64, |sum, byte| sum.wrapping_mul(31).wrapping_add(u64::from(byte)));
    (sum.wrapping_add(position / 7)) as u8
}

/// One record server of discovery's list.
#[derive(Clone)]
pub struct Target {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub zone: &'static str,
    pub state: &'static str,
}

impl Target {
    fn json(&self) -> String {
        let Target { uid, endpoint, zone, state } = self;
        format!(
            "{{\"uid\":\"{uid}\",\"endpoint\":\"{endpoint}\",\"az\":\"{zone}\",\"model\":\"mid-2c\",\"pod_group\":1,\
             \"state\":\"{state}\",\"capacity_hint\":1.0,\"boot_ms\":0}}"
        )
    }
}

pub fn list_json(rev: i64, all: bool, targets: &[Target]) -> String {
    let targets: Vec<String> = targets.iter().map(Target::json).collect();
    format!("{{\"rev\":{rev},\"all\":{all},\"targets\":[{}]}}", targets.join(","))
}

struct Listed {
    rev: i64,
    /// The targets, each with the version of its last change.
    targets: Vec<(i64, Target)>,
}

/// Discovery. While it is down it accepts connections and says nothing.
pub struct Discovery {
    pub address: SocketAddr,
    listed: Mutex<Listed>,
    changed: Condvar,
    pub is_down: AtomicBool,
    record: Arc<Record>,
}

impl Discovery {
    pub fn start(targets: Vec<Target>, record: &Arc<Record>) -> Arc<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let discovery = Arc::new(Discovery {
            address: listener.local_addr().unwrap(),
            listed: Mutex::new(Listed { rev: 41, targets: targets.into_iter().map(|target| (41, target)).collect() }),
            changed: Condvar::new(),
            is_down: AtomicBool::new(false),
            record: Arc::clone(record),
        });
        let server = Arc::clone(&discovery);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(stream));
            }
        });
        discovery
    }

    /// The whole list as JSON.
    pub fn whole(&self) -> String {
        let listed = self.listed.lock().unwrap();
        let targets: Vec<Target> = listed.targets.iter().map(|(_, target)| target.clone()).collect();
        list_json(listed.rev, true, &targets)
    }

    pub fn set_state(&self, uid: &str, state: &'static str) {
        let mut listed = self.listed.lock().unwrap();
        listed.rev += 1;
        let rev = listed.rev;
        for (changed, target) in listed.targets.iter_mut().filter(|(_, target)| target.uid == uid) {
            (*changed, target.state) = (rev, state);
        }
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
        let mut writer = stream;
        while let Ok(Some(head)) = read_head(&mut reader) {
            let path = head.start.split(' ').nth(1).unwrap_or_default().to_string();
            let number = |name: &str| -> Option<i64> {
                let query = path.split_once('?')?.1;
                query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
            };
            let body = match number("from") {
                None => self.whole(),
                Some(from) => self.changes(from, Duration::from_millis(number("hold_ms").unwrap_or(0) as u64)),
            };
            // While it is down, it stays silent: an answer that was due is never given on this connection.
            if self.is_down.load(Ordering::SeqCst) {
                while self.is_down.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(20));
                }
                return;
            }
            if body.contains("DRAINING") {
                self.record.line(format!("discovery writes to the agent: {path} -> {}", summary(&body)));
            }
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn changes(&self, from: i64, hold: Duration) -> String {
        let deadline = Instant::now() + hold;
        let mut listed = self.listed.lock().unwrap();
        while listed.rev <= from {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            listed = self.changed.wait_timeout(listed, left).unwrap().0;
        }
        let changed: Vec<Target> =
            listed.targets.iter().filter(|(rev, _)| *rev > from).map(|(_, target)| target.clone()).collect();
        list_json(listed.rev, false, &changed)
    }
}

fn summary(list: &str) -> String {
    let draining: Vec<&str> =
        list.split("{\"uid\":\"").filter(|part| part.contains("DRAINING")).filter_map(|part| part.split('"').next()).collect();
    format!("DRAINING: {}", draining.join(", "))
}

/// A request as a record server got it.
#[derive(Clone)]
pub struct Run {
    pub server: String,
    pub id: String,
    pub at: f64,
}

/// A record server.
pub struct RecordServer {
    pub uid: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    /// While it hangs, it accepts connections, and neither reads nor writes anything.
    pub hangs: AtomicBool,
    /// While it is cut off, what it writes does not leave, and nothing reaches it; what was written goes out afterwards.
    pub is_cut_off: AtomicBool,
    pub runs: Mutex<Vec<Run>>,
    /// The ids of the long answers that are being written.
    pub writing: Mutex<Vec<String>>,
    connections: Mutex<Vec<TcpStream>>,
    has_stopped: AtomicBool,
    in_flight: AtomicUsize,
    record: Arc<Record>,
}

impl RecordServer {
    pub fn start(uid: &str, zone: &'static str, record: &Arc<Record>) -> Arc<RecordServer> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Arc::new(RecordServer {
            uid: uid.to_string(),
            address: listener.local_addr().unwrap(),
            zone,
            hangs: AtomicBool::new(false),
            is_cut_off: AtomicBool::new(false),
            runs: Mutex::default(),
            writing: Mutex::default(),
            connections: Mutex::default(),
            has_stopped: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            record: Arc::clone(record),
        });
        let accepting = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.has_stopped.load(Ordering::SeqCst) {
                    return;
                }
                accepting.connections.lock().unwrap().extend(stream.try_clone());
                let server = Arc::clone(&accepting);
                thread::spawn(move || {
                    let _ = server.serve(stream);
                });
            }
        });
        server
    }

    pub fn target(&self) -> Target {
        Target { uid: self.uid.clone(), endpoint: self.address, zone: self.zone, state: "SERVING" }
    }

    /// Ends the server as the end of its process does: its connections break, and it accepts no new ones.
    pub fn stop(&self) {
        self.has_stopped.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the thread that accepts, which then drops the listener.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
    }

    fn wait_while_hanging(&self) {
        while self.hangs.load(Ordering::SeqCst) || self.is_cut_off.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(15)))?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::with_capacity(16 * 1024, HangingReader { stream, server: self });
        while let Some(head) = read_head(&mut reader)? {
            let path = head.start.split(' ').nth(1).unwrap_or_default().to_string();
            let length = read_body(&mut reader, &head, |_| {})?;
            if path == "/stats" || path == "/health/live" {
                let body = format!("inflight={},queue=0,qps=20", self.in_flight.load(Ordering::SeqCst));
                write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
                continue;
            }
            let Some(id) = head.get("x-call-id").map(str::to_string) else {
                write!(writer, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            };
            self.runs.lock().unwrap().push(Run { server: self.uid.clone(), id: id.clone(), at: self.record.ms() });
            self.record.line(format!("{} runs {id} ({path}, {length} bytes)", self.uid));
            self.in_flight.fetch_add(1, Ordering::SeqCst);
            let answered = self.answer(&mut writer, &path, &id);
            self.in_flight.fetch_sub(1, Ordering::SeqCst);
            if let Err(error) = &answered {
                self.record.line(format!("{} could not finish its answer to {id}: {error}", self.uid));
            }
            answered?;
        }
        Ok(())
    }

    /// Works for a while and answers. `size` and `pace` of the query set the length of the answer, and the bytes of each piece,
    /// of which it writes one every 10 ms.
    fn answer(&self, writer: &mut TcpStream, path: &str, id: &str) -> io::Result<()> {
        let number = |name: &str| -> Option<u64> {
            let query = path.split_once('?')?.1;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let work = match path.split('/').nth(1).unwrap_or_default() {
            "lookup" => 15,
            "correction" => 45,
            _ => 60,
        };
        thread::sleep(Duration::from_millis(work));
        let (size, piece) = (number("size").unwrap_or(200), number("pace").unwrap_or(64 * 1024));
        self.wait_while_hanging();
        write!(writer, "HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: {size}\r\n\r\n")?;
        let mut position = 0;
        let is_long = size > 64 * 1024;
        if is_long {
            self.writing.lock().unwrap().push(id.to_string());
        }
        while position < size {
            let end = (position + piece).min(size);
            let bytes: Vec<u8> = (position..end).map(|position| pattern(id, position)).collect();
            self.wait_while_hanging();
            writer.write_all(&bytes)?;
            position = end;
            if position < size {
                thread::sleep(Duration::from_millis(10));
            }
        }
        if is_long {
            self.writing.lock().unwrap().retain(|other| other != id);
            self.record.line(format!("{} has written its whole answer to {id}", self.uid));
        }
        Ok(())
    }
}

/// Reads from a connection, but not while the server hangs.
struct HangingReader<'a> {
    stream: TcpStream,
    server: &'a RecordServer,
}

impl Read for HangingReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.server.wait_while_hanging();
        // Waits for bytes without taking them: the server may begin to hang meanwhile.
        self.stream.peek(&mut [0])?;
        self.server.wait_while_hanging();
        self.stream.read(buffer)
    }
}

/// What came back for a request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status; `None` if no head came.
    pub status: Option<u16>,
    /// Whether the answer came whole.
    pub is_whole: bool,
    /// Whether each byte is the one of the record server's answer to this request. Only meaningful with status 200.
    pub is_right: bool,
    pub bytes: u64,
    /// When the last byte of the request was written, when the agent's machine had acknowledged it (if it has before the answer
    /// came), and when the last byte of the answer came or the connection ended.
    pub written_at: f64,
    pub taken_at: Option<f64>,
    pub ended_at: f64,
    pub error: String,
}

/// A request of a client.
pub struct Call {
    pub id: String,
    pub class: &'static str,
    /// What follows the class in the path.
    pub rest: String,
    pub budget_ms: u64,
    pub body: Vec<u8>,
}

impl Call {
    pub fn head(&self) -> String {
        let Call { id, class, rest, budget_ms, body } = self;
        let (method, more) = match *class {
            "lookup" => ("GET", String::new()),
            "correction" => ("POST", format!("Idempotency-Key: k{id}\r\nContent-Length: {}\r\n", body.len())),
            _ => ("POST", format!("Content-Length: {}\r\n", body.len())),
        };
        format!(
            "{method} /{class}/{rest} HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\n\
             X-Budget-Ms: {budget_ms}\r\n{more}\r\n"
        )
    }
}

/// A client's connection, which it keeps.
pub struct Client {
    address: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
    record: Arc<Record>,
}

impl Client {
    pub fn new(address: SocketAddr, record: &Arc<Record>) -> Client {
        Client { address, stream: None, record: Arc::clone(record) }
    }

    /// Whether it holds a connection.
    pub fn is_connected(&self) -> bool {
        self.stream.is_some()
    }

    /// Sends a request and reads its answer, at most `patience` after its last byte. A long answer may take `long`. A connection
    /// that the agent closes before it has sent any byte of an answer to a request on a kept connection is the allowed close
    /// between requests: the request is sent once more on a new one.
    pub fn call(&mut self, call: &Call, patience: Duration, long: Duration) -> Answer {
        let was_kept = self.stream.is_some();
        let answer = self.try_call(call, patience, long);
        if was_kept && answer.status.is_none() && answer.error == "closed" {
            return self.try_call(call, patience, long);
        }
        answer
    }

    fn try_call(&mut self, call: &Call, patience: Duration, long: Duration) -> Answer {
        let mut answer = Answer {
            status: None,
            is_whole: false,
            is_right: true,
            bytes: 0,
            written_at: self.record.ms(),
            taken_at: None,
            ended_at: 0.0,
            error: String::new(),
        };
        if let Err(error) = self.exchange(call, patience, long, &mut answer) {
            answer.error = match error.kind() {
                ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset | ErrorKind::BrokenPipe => "closed".into(),
                ErrorKind::WouldBlock | ErrorKind::TimedOut => "nothing came".into(),
                _ => error.to_string(),
            };
            self.stream = None;
        }
        answer.ended_at = self.record.ms();
        answer
    }

    fn exchange(&mut self, call: &Call, patience: Duration, long: Duration, answer: &mut Answer) -> io::Result<()> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            self.stream = Some(BufReader::with_capacity(64 * 1024, stream));
        }
        let reader = self.stream.as_mut().unwrap();
        let mut message = call.head().into_bytes();
        message.extend_from_slice(&call.body);
        reader.get_mut().write_all(&message)?;
        answer.written_at = self.record.ms();
        let start = Instant::now();
        reader.get_ref().set_read_timeout(Some(Duration::from_millis(2)))?;
        // Ends with the first byte of the answer.
        while answer.taken_at.is_none() && start.elapsed() < patience {
            if is_all_acknowledged(reader.get_ref()) {
                answer.taken_at = Some(self.record.ms());
            } else if reader.get_ref().peek(&mut [0]).is_ok() {
                break;
            }
        }
        reader.get_ref().set_read_timeout(Some(patience))?;
        let head = read_head(reader)?.ok_or(ErrorKind::UnexpectedEof)?;
        answer.status = head.status();
        reader.get_ref().set_read_timeout(Some(long))?;
        let (mut position, mut is_right) = (0, true);
        let read = read_body(reader, &head, |part| {
            is_right &= part.iter().enumerate().all(|(i, byte)| *byte == pattern(&call.id, position + i as u64));
            position += part.len() as u64;
        });
        (answer.bytes, answer.is_right) = (position, is_right);
        read?;
        answer.is_whole = true;
        if head.get("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
            self.stream = None;
        }
        Ok(())
    }
}

/// A fresh id.
pub fn fresh_id(prefix: &str) -> String {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
    format!("{prefix}{:04x}{:08x}", NEXT.fetch_add(1, Ordering::SeqCst), now as u32)
}

/// A temporary folder, removed when dropped.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    pub fn create() -> TemporaryFolder {
        let base = std::env::temp_dir();
        let path = base.join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        TemporaryFolder(path)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Settings like those of a small deployment: three classes with the deadlines of the operators' example, lists that are pushed.
pub const SETTINGS: &str = r#"{"balancers":3,
"classes":[
{"name":"lookup","aimMs":200.0,"deadlineMs":400.0,"effect":"idempotent","group":"all","dedupWindowMs":5000.0,"lateWorth":0.5,"points":3.0,"stream":false},
{"name":"correction","aimMs":400.0,"deadlineMs":1000.0,"effect":"deduplicated","group":"zone","dedupWindowMs":600.0,"lateWorth":0.3,"points":5.0,"stream":false},
{"name":"certified-copy","aimMs":500.0,"deadlineMs":1500.0,"effect":"at_most_once","group":"all","dedupWindowMs":5000.0,"lateWorth":0.3,"points":2.0,"stream":false}],
"clientHabits":{"marksRetry":false},"discovery":"pushed","familyInfo":{"warmKeys":false},
"feedback":{"fields":["inflight","queue","qps"],"source":"pull"},
"goal":{"whole":0.55,"worstClass":0.3,"worstTenant":0.0,"worstWindow":0.15},
"kinds":["new-2c","mid-2c","old-2c"],
"limits":{"cancel":true,"connectTimeoutMs":100.0,"cpuUsPerRequest":0.0,"cpuUsPerS":80000,"keepaliveMs":15000.0,"maxAttempts":5,"maxOpen":20000,"maxRetryAfterMs":750.0,"maxStreams":1,"peers":false,"probes":true,"retryAfter":true,"secondCopies":true},
"overShareWorth":0.1,"parties":[],
"penalties":{"connection":0.0,"crossZone":0.02,"discovery":0.0,"handshake":0.0,"lateFail":0.05,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.002,"waste":0.05},
"periodMs":2.0,
"rules":{"askWithinMs":10000.0,"coldShare":0.31,"fallMs":3000.0,"graceToAnswerMs":8.0,"overloadFactor":3.0,"stopSendingWithinMs":500.0,"warmAfterMs":9000.0},
"serviceType":"mesh","slotNo":0,"tier":0,"tiers":["record-servers"],"weights":"silent","worthBy":"work","zone":0,
"zones":["jackson","mobile","baton-rouge"]}"#;
