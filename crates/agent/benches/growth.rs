//! How the resource use of one agent grows with its fleet: the same load with 200 and with 3,200 emulated record servers, with
//! five changes of the pushed endpoint list per second.
//!
//!     cargo bench -p heronhoist --bench growth -- --seconds 20
//!
//! The limits are those that operators require for a fleet of sixteen times the size. Absolute figures depend on the machine;
//! quote the ratios.

#[path = "support/agent.rs"]
mod agent;

use agent::Agent;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const FEW_SERVERS: usize = 200;
const MANY_SERVERS: usize = 3200;
const REQUESTS_PER_S: f64 = 20.0;
const CHANGES_PER_S: f64 = 5.0;
const SETTINGS: &str = r#"{"zones":["a"],"kinds":["m"],"discovery":"pushed","balancers":900,"classes":[
 {"name":"read","effect":"idempotent","aimMs":500,"deadlineMs":2000,"points":1}],
 "limits":{"cancel":true,"retryAfter":true,"connectTimeoutMs":250,"keepaliveMs":60000,"maxAttempts":3},
 "rules":{"stopSendingWithinMs":500}}"#;

/// The resources that a run has used.
#[derive(Debug, Clone, Copy)]
struct Usage {
    cpu_s: f64,
    peak_mb: f64,
    descriptors: f64,
    connections: f64,
    list_bytes: f64,
    share_served: f64,
}

/// Emulates record servers on one thread; all respond at once.
fn start_record_servers(count: usize, connections: &Arc<AtomicU64>) -> Vec<SocketAddr> {
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
                        tokio::task::spawn_local(respond_to_requests(stream));
                    }
                });
            }
            std::future::pending::<()>().await;
        });
    });
    (0..count).map(|_| listening.recv().expect("an address")).collect()
}

async fn respond_to_requests(mut stream: tokio::net::TcpStream) {
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

/// Returns an element of discovery's list.
fn list_entry(number: usize, address: SocketAddr, state: &str) -> String {
    format!(r#"{{"uid":"s{number}","endpoint":"{address}","az":"a","model":"m","state":"{state}"}}"#)
}

/// The version of discovery's list, and the entry that its last change concerns.
type Change = Arc<(Mutex<(i64, String)>, Condvar)>;

/// Emulates discovery: responds to each watch with the last change, once that is newer than the watch's version.
fn start_discovery(change: &Change, sent: &Arc<AtomicU64>) -> SocketAddr {
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
        let hold_time = Duration::from_millis(2500);
        let (newest, _) =
            change.1.wait_timeout_while(newest, hold_time, |(version, _)| *version <= from).ok()?;
        let targets = if newest.0 > from { newest.1.as_str() } else { "" };
        let body = format!(r#"{{"rev":{},"all":false,"targets":[{targets}]}}"#, newest.0);
        drop(newest);
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        stream.write_all(text.as_bytes()).ok()?;
        sent.fetch_add(text.len() as u64, Ordering::Relaxed);
    }
}

/// Returns the number of descriptors that a process has open.
fn open_descriptors(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

/// Sends one request, and returns whether it was served.
fn send_request(stream: &mut TcpStream, number: usize) -> bool {
    let text = format!("GET /read HTTP/1.1\r\nHost: o\r\nX-Call-Id: c{number}\r\nX-Call-Class: read\r\nX-Budget-Ms: 2000\r\n\r\n");
    let mut response = [0; 4096];
    let mut read = 0;
    if stream.write_all(text.as_bytes()).is_err() {
        return false;
    }
    while read < response.len() {
        match stream.read(&mut response[read..]) {
            Ok(more) if more > 0 => read += more,
            _ => return false,
        }
        let text = &response[..read];
        if text.windows(4).any(|four| four == b"\r\n\r\n")
            && (text.ends_with(b"ok") || !text.starts_with(b"HTTP/1.1 200"))
        {
            break;
        }
    }
    response.starts_with(b"HTTP/1.1 200")
}

/// Runs an agent under load with this many servers.
fn measure(servers: usize, seconds: f64) -> Usage {
    let (connections, sent) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let addresses = start_record_servers(servers, &connections);
    let change: Change = Arc::new((Mutex::new((1, String::new())), Condvar::new()));
    let discovery = start_discovery(&change, &sent);
    let known: Vec<String> =
        addresses.iter().enumerate().map(|(n, address)| list_entry(n, *address, "SERVING")).collect();
    let config = format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1f","limits":{{"sockets":1024,"memory_mb":64}},
        "known":{{"rev":1,"all":true,"targets":[{}]}},"settings":{SETTINGS}}}"#,
        known.join(",")
    );
    let path = std::env::temp_dir().join(format!("heronhoist-growth-{}-{servers}.json", std::process::id()));
    std::fs::write(&path, config).expect("cannot write the configuration");
    let agent = Agent::start(std::path::Path::new(env!("CARGO_BIN_EXE_heronhoist")), &path);
    let mut stream = TcpStream::connect(agent.1).expect("cannot connect to the agent");
    let _ = stream.set_nodelay(true);
    let (start, mut served, mut sent_requests, mut changes, mut descriptors) = (Instant::now(), 0, 0, 0, 0);
    while start.elapsed().as_secs_f64() < seconds {
        served += usize::from(send_request(&mut stream, sent_requests));
        sent_requests += 1;
        if sent_requests as f64 * CHANGES_PER_S / REQUESTS_PER_S > changes as f64 {
            let number = changes / 2 % servers;
            let state = if changes % 2 == 0 { "DRAINING" } else { "SERVING" };
            let mut newest = change.0.lock().expect("a thread has panicked");
            *newest = (newest.0 + 1, list_entry(number, addresses[number], state));
            change.1.notify_all();
            changes += 1;
        }
        descriptors = descriptors.max(open_descriptors(agent.0.id()));
        let next = Duration::from_secs_f64(sent_requests as f64 / REQUESTS_PER_S);
        thread::sleep(next.saturating_sub(start.elapsed()));
    }
    let _ = std::fs::remove_file(&path);
    Usage {
        cpu_s: agent.cpu().as_secs_f64(),
        peak_mb: agent.peak_kib() as f64 / 1024.0,
        descriptors: descriptors as f64,
        connections: connections.load(Ordering::Relaxed) as f64,
        list_bytes: sent.load(Ordering::Relaxed) as f64,
        share_served: served as f64 / sent_requests as f64,
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let at = arguments.iter().position(|argument| argument == "--seconds");
    let seconds = at.and_then(|at| arguments.get(at + 1)?.parse().ok()).unwrap_or(20.0);
    let (few, many) = (measure(FEW_SERVERS, seconds), measure(MANY_SERVERS, seconds));
    let thousands = MANY_SERVERS as f64 / 1000.0;
    let rows = [
        ("CPU seconds", few.cpu_s, many.cpu_s, 1.4 * few.cpu_s + 0.02 + 0.03 * thousands),
        ("peak MB", few.peak_mb, many.peak_mb, 1.5 * few.peak_mb + 8.0 + 4.0 * thousands),
        ("descriptors", few.descriptors, many.descriptors, 2.0 * few.descriptors + 40.0),
        ("connections made", few.connections, many.connections, 2.5 * few.connections + 40.0),
        (
            "bytes of changes",
            few.list_bytes,
            many.list_bytes,
            2.0 * few.list_bytes + 64e3 + 500e3 * thousands,
        ),
    ];
    println!("{seconds} s, {REQUESTS_PER_S} requests/s, {CHANGES_PER_S} changes/s, {FEW_SERVERS} and {MANY_SERVERS} servers");
    for (resource, with_few, with_many, cap) in rows {
        let result = if with_many <= cap { "held" } else { "OVER" };
        println!(
            "{resource}: {with_few:.3} and {with_many:.3}, ratio {:.2}, cap {cap:.3}: {result}",
            with_many / with_few
        );
    }
    let min_share = 0.85 * few.share_served;
    let result = if many.share_served >= min_share { "held" } else { "OVER" };
    println!(
        "share served: {:.3} and {:.3}, at least {min_share:.3}: {result}",
        few.share_served, many.share_served
    );
}
