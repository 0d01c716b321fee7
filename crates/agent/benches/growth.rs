//! What one agent needs more where its fleet has sixteen times the record servers: the same load beside 200 and beside 3,200
//! stand-ins, with five changes of the list a second, lists pushed.
//!
//!     cargo bench -p heronhoist --bench growth -- --seconds 20
//!
//! The caps are those that the operators state for a fleet of sixteen times the size. Absolute figures say little; quote the ratios.

#[path = "support/agent.rs"]
mod agent;

use agent::Agent;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const USUAL_SERVERS: usize = 200;
const MANY_SERVERS: usize = 3200;
const REQUESTS_PER_S: f64 = 20.0;
const CHANGES_PER_S: f64 = 5.0;
const SETTINGS: &str = r#"{"zones":["a"],"kinds":["m"],"discovery":"pushed","balancers":900,"classes":[
 {"name":"read","effect":"idempotent","aimMs":500,"deadlineMs":2000,"points":1}],
 "limits":{"cancel":true,"retryAfter":true,"connectTimeoutMs":250,"keepaliveMs":60000,"maxAttempts":3},
 "rules":{"stopSendingWithinMs":500}}"#;

/// What a run has needed.
#[derive(Debug, Clone, Copy)]
struct Needs {
    cpu_s: f64,
    peak_mb: f64,
    descriptors: f64,
    connections: f64,
    list_bytes: f64,
    share_served: f64,
}

/// Stand-ins of record servers on one thread; all answer at once.
fn stand_ins(count: usize, connections: &Arc<AtomicU64>) -> Vec<SocketAddr> {
    let (addresses, listening) = std::sync::mpsc::channel();
    let connections = Arc::clone(connections);
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime, async move {
            for _ in 0..count {
                let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("an address");
                addresses.send(listener.local_addr().expect("an address")).expect("a receiver");
                let connections = Arc::clone(&connections);
                tokio::task::spawn_local(async move {
                    while let Ok((stream, _)) = listener.accept().await {
                        connections.fetch_add(1, Ordering::Relaxed);
                        tokio::task::spawn_local(answer_requests(stream));
                    }
                });
            }
            std::future::pending::<()>().await;
        });
    });
    (0..count).map(|_| listening.recv().expect("an address")).collect()
}

async fn answer_requests(mut stream: tokio::net::TcpStream) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut buffer = Vec::new();
    while matches!(stream.read_buf(&mut buffer).await, Ok(read) if read > 0) {
        if buffer.ends_with(b"\r\n\r\n") {
            buffer.clear();
            if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await.is_err() {
                return;
            }
        }
    }
}

fn line(number: usize, address: SocketAddr, state: &str) -> String {
    format!(r#"{{"uid":"s{number}","endpoint":"{address}","az":"a","model":"m","state":"{state}"}}"#)
}

/// Discovery: the version of the list, and the line of its last change.
type Change = Arc<(Mutex<(i64, String)>, Condvar)>;

/// Answers watches with the last change, once there is one that is newer.
fn discovery(change: &Change, sent: &Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let address = listener.local_addr().expect("an address");
    let (change, sent) = (Arc::clone(change), Arc::clone(sent));
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (change, sent) = (Arc::clone(&change), Arc::clone(&sent));
            thread::spawn(move || watch(stream, &change, &sent));
        }
    });
    address
}

fn watch(mut stream: TcpStream, change: &Change, sent: &AtomicU64) -> Option<()> {
    let mut input = BufReader::new(stream.try_clone().ok()?);
    loop {
        let mut request = String::new();
        while !request.ends_with("\r\n\r\n") {
            if input.read_line(&mut request).ok()? == 0 {
                return None;
            }
        }
        let from = request.split_once("from=")?.1.split('&').next()?.parse::<i64>().ok()?;
        let newest = change.0.lock().ok()?;
        let wait = Duration::from_millis(2500);
        let (newest, _) = change.1.wait_timeout_while(newest, wait, |(version, _)| *version <= from).ok()?;
        let targets = if newest.0 > from { newest.1.as_str() } else { "" };
        let body = format!(r#"{{"rev":{},"all":false,"targets":[{targets}]}}"#, newest.0);
        drop(newest);
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        stream.write_all(text.as_bytes()).ok()?;
        sent.fetch_add(text.len() as u64, Ordering::Relaxed);
    }
}

/// How many descriptors a process has open.
fn descriptors_of(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

/// One request at a time on one connection; whether it was served.
fn ask(stream: &mut TcpStream, number: usize) -> bool {
    let text = format!("GET /read HTTP/1.1\r\nHost: o\r\nX-Call-Id: c{number}\r\nX-Call-Class: read\r\nX-Budget-Ms: 2000\r\n\r\n");
    let mut answer = [0; 4096];
    let mut read = 0;
    if stream.write_all(text.as_bytes()).is_err() {
        return false;
    }
    while read < answer.len() {
        match stream.read(&mut answer[read..]) {
            Ok(more) if more > 0 => read += more,
            _ => return false,
        }
        let text = &answer[..read];
        if text.windows(4).any(|four| four == b"\r\n\r\n")
            && (text.ends_with(b"ok") || !text.starts_with(b"HTTP/1.1 200"))
        {
            break;
        }
    }
    answer.starts_with(b"HTTP/1.1 200")
}

fn play(servers: usize, seconds: f64) -> Needs {
    let (connections, sent) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let addresses = stand_ins(servers, &connections);
    let change: Change = Arc::new((Mutex::new((1, String::new())), Condvar::new()));
    let source = discovery(&change, &sent);
    let known: Vec<String> = addresses.iter().enumerate().map(|(n, a)| line(n, *a, "SERVING")).collect();
    let config = format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"{source}","seed":"1f","limits":{{"sockets":1024,"memory_mb":64}},
        "known":{{"rev":1,"all":true,"targets":[{}]}},"settings":{SETTINGS}}}"#,
        known.join(",")
    );
    let path = std::env::temp_dir().join(format!("heronhoist-growth-{}-{servers}.json", std::process::id()));
    std::fs::write(&path, config).expect("a file");
    let agent = Agent::start(std::path::Path::new(env!("CARGO_BIN_EXE_heronhoist")), &path);
    let mut stream = TcpStream::connect(agent.1).expect("connects");
    let _ = stream.set_nodelay(true);
    let (begun, mut served, mut asked, mut changes, mut descriptors) = (Instant::now(), 0, 0, 0, 0);
    while begun.elapsed().as_secs_f64() < seconds {
        served += usize::from(ask(&mut stream, asked));
        asked += 1;
        if asked as f64 * CHANGES_PER_S / REQUESTS_PER_S > changes as f64 {
            let number = changes / 2 % servers;
            let state = if changes % 2 == 0 { "DRAINING" } else { "SERVING" };
            let mut newest = change.0.lock().expect("whole");
            *newest = (newest.0 + 1, line(number, addresses[number], state));
            change.1.notify_all();
            changes += 1;
        }
        descriptors = descriptors.max(descriptors_of(agent.0.id()));
        let next = Duration::from_secs_f64(asked as f64 / REQUESTS_PER_S);
        thread::sleep(next.saturating_sub(begun.elapsed()));
    }
    let _ = std::fs::remove_file(&path);
    Needs {
        cpu_s: agent.cpu().as_secs_f64(),
        peak_mb: agent.peak() as f64 / 1024.0,
        descriptors: descriptors as f64,
        connections: connections.load(Ordering::Relaxed) as f64,
        list_bytes: sent.load(Ordering::Relaxed) as f64,
        share_served: served as f64 / asked as f64,
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let at = arguments.iter().position(|argument| argument == "--seconds");
    let seconds = at.and_then(|at| arguments.get(at + 1)?.parse().ok()).unwrap_or(20.0);
    let (usual, many) = (play(USUAL_SERVERS, seconds), play(MANY_SERVERS, seconds));
    let thousands = MANY_SERVERS as f64 / 1000.0;
    let rows = [
        ("CPU seconds", usual.cpu_s, many.cpu_s, 1.4 * usual.cpu_s + 0.02 + 0.03 * thousands),
        ("peak MB", usual.peak_mb, many.peak_mb, 1.5 * usual.peak_mb + 8.0 + 4.0 * thousands),
        ("descriptors", usual.descriptors, many.descriptors, 2.0 * usual.descriptors + 40.0),
        ("connections made", usual.connections, many.connections, 2.5 * usual.connections + 40.0),
        (
            "bytes of changes",
            usual.list_bytes,
            many.list_bytes,
            2.0 * usual.list_bytes + 64e3 + 500e3 * thousands,
        ),
    ];
    println!("{seconds} s, {REQUESTS_PER_S} requests/s, {CHANGES_PER_S} changes/s, {USUAL_SERVERS} and {MANY_SERVERS} servers");
    for (what, at_usual, at_many, cap) in rows {
        let held = if at_many <= cap { "held" } else { "OVER" };
        println!(
            "{what}: {at_usual:.3} and {at_many:.3}, ratio {:.2}, cap {cap:.3}: {held}",
            at_many / at_usual
        );
    }
    let least = 0.85 * usual.share_served;
    let held = if many.share_served >= least { "held" } else { "OVER" };
    println!(
        "share served: {:.3} and {:.3}, at least {least:.3}: {held}",
        usual.share_served, many.share_served
    );
}
