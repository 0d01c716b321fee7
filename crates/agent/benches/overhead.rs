//! What the agent costs a request: CPU time and latency, in a closed loop of 16 connections with answers of 512 bytes from
//! 12 stand-ins, beside the same loop without an agent. Another binary can be paired with this one in turns:
//!
//!     cargo bench -p heronhoist --bench overhead -- --against OTHER --rounds 9 --requests 20000
//!
//! Absolute times of a machine say little; quote the ratios, taken in one run.

#[path = "support/agent.rs"]
mod agent;

use agent::Agent;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};

const STAND_INS: usize = 12;
const CONNECTIONS: usize = 16;
const ANSWER_BYTES: usize = 512;
const SETTINGS: &str = r#"{"zones":["a"],"kinds":["m"],"discovery":"on_request","classes":[
 {"name":"read","effect":"idempotent","aimMs":500,"deadlineMs":2000,"points":1}],
 "limits":{"cancel":true,"retryAfter":true,"connectTimeoutMs":250,"keepaliveMs":60000,"maxAttempts":3},
 "rules":{"stopSendingWithinMs":500}}"#;

/// Connections that the stand-ins have accepted.
static OPENED: AtomicUsize = AtomicUsize::new(0);

fn on_a_thread<T>(work: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, work)
}

/// Reads one head; false at the end of the stream.
async fn head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    loop {
        if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            buffer.drain(..at + 4);
            return true;
        }
        if !matches!(stream.read_buf(buffer).await, Ok(n) if n > 0) {
            return false;
        }
    }
}

fn stand_ins() -> Vec<SocketAddr> {
    let (tell, told) = std::sync::mpsc::channel();
    thread::spawn(move || {
        on_a_thread(async move {
            for _ in 0..STAND_INS {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
                tell.send(listener.local_addr().expect("an address")).expect("heard");
                spawn_local(async move {
                    while let Ok((mut stream, _)) = listener.accept().await {
                        OPENED.fetch_add(1, Ordering::Relaxed);
                        let _ = stream.set_nodelay(true);
                        spawn_local(async move {
                            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n")
                                .into_bytes();
                            let answer = [answer, vec![b'x'; ANSWER_BYTES]].concat();
                            let mut buffer = Vec::new();
                            while head(&mut stream, &mut buffer).await {
                                if stream.write_all(&answer).await.is_err() {
                                    return;
                                }
                            }
                        });
                    }
                });
            }
            std::future::pending::<()>().await;
        });
    });
    (0..STAND_INS).map(|_| told.recv().expect("an address")).collect()
}

/// Latencies in microseconds, sorted, and requests a second.
fn load(targets: &[SocketAddr], requests: usize) -> (Vec<u64>, f64) {
    let start = Instant::now();
    let mut all: Vec<u64> = on_a_thread(async {
        let loops = (0..CONNECTIONS).map(|n| {
            let target = targets[n % targets.len()];
            spawn_local(async move {
                let mut stream = TcpStream::connect(target).await.expect("connects");
                let _ = stream.set_nodelay(true);
                let (mut buffer, mut times) = (Vec::new(), Vec::new());
                for i in 0..requests / CONNECTIONS {
                    let request = format!("GET /read?i={i} HTTP/1.1\r\nHost: o\r\nX-Call-Id: c{n}-{i}\r\nX-Call-Class: read\r\nX-Budget-Ms: 2000\r\n\r\n");
                    let sent = Instant::now();
                    stream.write_all(request.as_bytes()).await.expect("written");
                    assert!(head(&mut stream, &mut buffer).await, "the connection has ended");
                    while buffer.len() < ANSWER_BYTES {
                        assert!(stream.read_buf(&mut buffer).await.expect("read") > 0);
                    }
                    buffer.drain(..ANSWER_BYTES);
                    times.push(sent.elapsed().as_micros() as u64);
                }
                times
            })
        });
        let mut times = Vec::new();
        for one in loops.collect::<Vec<_>>() {
            times.extend(one.await.expect("served"));
        }
        times
    });
    let rate = all.len() as f64 / start.elapsed().as_secs_f64();
    all.sort_unstable();
    (all, rate)
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let value = |name: &str| {
        let at = arguments.iter().position(|a| a == name)?;
        arguments.get(at + 1).cloned()
    };
    let number = |name: &str, other: usize| value(name).and_then(|v| v.parse().ok()).unwrap_or(other);
    let (rounds, requests) = (number("--rounds", 5), number("--requests", 20_000));
    let mut binaries = vec![PathBuf::from(env!("CARGO_BIN_EXE_heronhoist"))];
    binaries.extend(value("--against").map(PathBuf::from));

    let servers = stand_ins();
    let targets: Vec<String> = servers
        .iter()
        .enumerate()
        .map(|(n, a)| format!(r#"{{"uid":"s{n}","endpoint":"{a}","az":"a","model":"m","state":"SERVING"}}"#))
        .collect();
    let config = format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1f","limits":{{"sockets":1024,"memory_mb":64}},
        "known":{{"rev":1,"all":true,"targets":[{}]}},"settings":{SETTINGS}}}"#,
        targets.join(",")
    );
    let path = std::env::temp_dir().join(format!("heronhoist-overhead-{}.json", std::process::id()));
    std::fs::write(&path, config).expect("a file");

    // Per binary: CPU microseconds a request, median and 99th percentile latency, requests a second, peak KiB, connections
    // opened to the stand-ins per thousand requests, those ahead of the measurement included.
    let mut seen: Vec<Vec<[f64; 6]>> = vec![Vec::new(); binaries.len()];
    let mut direct = Vec::new();
    for round in 0..rounds {
        direct.push(load(&servers, requests).1);
        // All live at once and are asked in turns of a tenth of the requests, so that what the machine does meanwhile
        // falls on each alike.
        let agents: Vec<Agent> = binaries.iter().map(|binary| Agent::start(binary, &path)).collect();
        let loaded = |agent: &Agent, requests: usize| {
            let before = OPENED.load(Ordering::Relaxed);
            let seen = load(&[agent.1], requests);
            (seen, OPENED.load(Ordering::Relaxed) - before)
        };
        let mut opened: Vec<usize> = agents.iter().map(|agent| loaded(agent, requests / 10).1).collect();
        let before: Vec<Duration> = agents.iter().map(Agent::cpu).collect();
        let (mut times, mut took) = (vec![Vec::new(); agents.len()], vec![0.0; agents.len()]);
        for turn in 0..10 * agents.len() {
            let at = (turn + turn / agents.len() + round) % agents.len();
            let ((seen, rate), more) = loaded(&agents[at], requests / 10);
            opened[at] += more;
            took[at] += seen.len() as f64 / rate;
            times[at].extend(seen);
        }
        for (at, agent) in agents.iter().enumerate() {
            times[at].sort_unstable();
            let count = times[at].len() as f64;
            let cpu = (agent.cpu() - before[at]).as_secs_f64() * 1e6 / count;
            let at_share = |share: f64| times[at][((count - 1.0) * share) as usize] as f64;
            let opened = opened[at] as f64 * 1e3 / (count + (requests / 10) as f64);
            seen[at].push([
                cpu,
                at_share(0.5),
                at_share(0.99),
                count / took[at],
                agent.peak() as f64,
                opened,
            ]);
        }
    }
    let _ = std::fs::remove_file(&path);
    let names = ["CPU us a request", "median us", "99th pct us", "requests/s", "peak KiB", "opened per 1000"];
    println!("{rounds} rounds of {requests} requests, {CONNECTIONS} connections, {ANSWER_BYTES} bytes, {STAND_INS} stand-ins");
    println!("direct: {:.0} requests/s", median(direct.clone()));
    for (binary, rows) in binaries.iter().zip(&seen) {
        let told = (0..names.len())
            .map(|i| format!("{} {:.1}", names[i], median(rows.iter().map(|r| r[i]).collect())));
        println!("{}: {}", binary.display(), told.collect::<Vec<_>>().join(", "));
        let share = rows.iter().zip(&direct).map(|(row, direct)| row[3] / direct).collect();
        println!("  proxied/direct {:.3}", median(share));
    }
    if let [this, other] = &seen[..] {
        for (i, name) in names.iter().enumerate() {
            let ratios: Vec<f64> = this.iter().zip(other).map(|(a, b)| a[i] / b[i]).collect();
            let (least, most) = ratios.iter().fold((f64::MAX, 0.0_f64), |(l, m), r| (l.min(*r), m.max(*r)));
            println!("this/other {name}: {:.3} ({least:.3} to {most:.3})", median(ratios));
        }
    }
}
