//! The overhead of the agent per request: CPU time and latency in a closed loop of 16 connections, with responses of 512 bytes
//! from 12 emulated record servers, compared with the same loop without an agent. Another binary can be measured in alternation
//! with this one:
//!
//!     cargo bench -p heronhoist --bench overhead -- --against OTHER --rounds 9 --requests 20000
//!
//! Absolute times depend on the machine; quote the ratios of a single run.

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

const SERVERS: usize = 12;
const CONNECTIONS: usize = 16;
const RESPONSE_BYTES: usize = 512;
const SETTINGS: &str = r#"{"zones":["a"],"kinds":["m"],"discovery":"on_request","classes":[
 {"name":"read","effect":"idempotent","aimMs":500,"deadlineMs":2000,"points":1}],
 "limits":{"cancel":true,"retryAfter":true,"connectTimeoutMs":250,"keepaliveMs":60000,"maxAttempts":3},
 "rules":{"stopSendingWithinMs":500}}"#;

/// The number of connections that the emulated servers have accepted.
static ACCEPTED: AtomicUsize = AtomicUsize::new(0);

/// Runs a future and the tasks that it spawns on this thread.
fn run_local<T>(future: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, future)
}

/// Reads one head and removes it from the buffer; false at the end of the stream.
async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    loop {
        if let Some(position) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            buffer.drain(..position + 4);
            return true;
        }
        if !matches!(stream.read_buf(buffer).await, Ok(n) if n > 0) {
            return false;
        }
    }
}

/// Emulates record servers on one thread, and returns their addresses.
fn start_record_servers() -> Vec<SocketAddr> {
    let (address_sender, addresses) = std::sync::mpsc::channel();
    thread::spawn(move || {
        run_local(async move {
            for _ in 0..SERVERS {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
                address_sender.send(listener.local_addr().expect("an address")).expect("a receiver");
                spawn_local(async move {
                    while let Ok((mut stream, _)) = listener.accept().await {
                        ACCEPTED.fetch_add(1, Ordering::Relaxed);
                        let _ = stream.set_nodelay(true);
                        spawn_local(async move {
                            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {RESPONSE_BYTES}\r\n\r\n")
                                .into_bytes();
                            let response = [head, vec![b'x'; RESPONSE_BYTES]].concat();
                            let mut buffer = Vec::new();
                            while read_head(&mut stream, &mut buffer).await {
                                if stream.write_all(&response).await.is_err() {
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
    (0..SERVERS).map(|_| addresses.recv().expect("an address")).collect()
}

/// Sends requests to the targets; returns the sorted latencies in microseconds, and the requests per second.
fn load(targets: &[SocketAddr], requests: usize) -> (Vec<u64>, f64) {
    let start = Instant::now();
    let mut latencies: Vec<u64> = run_local(async {
        let loops = (0..CONNECTIONS).map(|n| {
            let target = targets[n % targets.len()];
            spawn_local(async move {
                let mut stream = TcpStream::connect(target).await.expect("cannot connect");
                let _ = stream.set_nodelay(true);
                let (mut buffer, mut latencies) = (Vec::new(), Vec::new());
                for i in 0..requests / CONNECTIONS {
                    let request = format!("GET /read?i={i} HTTP/1.1\r\nHost: o\r\nX-Call-Id: c{n}-{i}\r\nX-Call-Class: read\r\nX-Budget-Ms: 2000\r\n\r\n");
                    let sent_at = Instant::now();
                    stream.write_all(request.as_bytes()).await.expect("cannot write a request");
                    assert!(read_head(&mut stream, &mut buffer).await, "the connection was closed");
                    while buffer.len() < RESPONSE_BYTES {
                        assert!(stream.read_buf(&mut buffer).await.expect("read") > 0);
                    }
                    buffer.drain(..RESPONSE_BYTES);
                    latencies.push(sent_at.elapsed().as_micros() as u64);
                }
                latencies
            })
        });
        let mut latencies = Vec::new();
        for connection_loop in loops.collect::<Vec<_>>() {
            latencies.extend(connection_loop.await.expect("a connection loop has panicked"));
        }
        latencies
    });
    let rate = latencies.len() as f64 / start.elapsed().as_secs_f64();
    latencies.sort_unstable();
    (latencies, rate)
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let value = |name: &str| {
        let position = arguments.iter().position(|argument| argument == name)?;
        arguments.get(position + 1).cloned()
    };
    let number =
        |name: &str, default: usize| value(name).and_then(|text| text.parse().ok()).unwrap_or(default);
    let (rounds, requests) = (number("--rounds", 5), number("--requests", 20_000));
    let mut binaries = vec![PathBuf::from(env!("CARGO_BIN_EXE_heronhoist"))];
    binaries.extend(value("--against").map(PathBuf::from));

    let servers = start_record_servers();
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
    std::fs::write(&path, config).expect("cannot write the configuration");

    // For each binary: CPU microseconds per request, median and 99th percentile latency, requests per second, peak KiB, and
    // connections opened to the servers per thousand requests, including those of the warm-up.
    let mut results: Vec<Vec<[f64; 6]>> = vec![Vec::new(); binaries.len()];
    let mut direct = Vec::new();
    for round in 0..rounds {
        direct.push(load(&servers, requests).1);
        // All agents run at once and are loaded in turns of a tenth of the requests, so that other activity of the machine
        // affects them equally.
        let agents: Vec<Agent> = binaries.iter().map(|binary| Agent::start(binary, &path)).collect();
        let load_agent = |agent: &Agent, requests: usize| {
            let accepted_before = ACCEPTED.load(Ordering::Relaxed);
            let measured = load(&[agent.1], requests);
            (measured, ACCEPTED.load(Ordering::Relaxed) - accepted_before)
        };
        let mut opened: Vec<usize> = agents.iter().map(|agent| load_agent(agent, requests / 10).1).collect();
        let cpu_before: Vec<Duration> = agents.iter().map(Agent::cpu).collect();
        let (mut latencies, mut elapsed_s) = (vec![Vec::new(); agents.len()], vec![0.0; agents.len()]);
        for turn in 0..10 * agents.len() {
            let index = (turn + turn / agents.len() + round) % agents.len();
            let ((measured, rate), more) = load_agent(&agents[index], requests / 10);
            opened[index] += more;
            elapsed_s[index] += measured.len() as f64 / rate;
            latencies[index].extend(measured);
        }
        for (index, agent) in agents.iter().enumerate() {
            latencies[index].sort_unstable();
            let count = latencies[index].len() as f64;
            let cpu = (agent.cpu() - cpu_before[index]).as_secs_f64() * 1e6 / count;
            let percentile = |fraction: f64| latencies[index][((count - 1.0) * fraction) as usize] as f64;
            let opened = opened[index] as f64 * 1e3 / (count + (requests / 10) as f64);
            results[index].push([
                cpu,
                percentile(0.5),
                percentile(0.99),
                count / elapsed_s[index],
                agent.peak_kib() as f64,
                opened,
            ]);
        }
    }
    let _ = std::fs::remove_file(&path);
    let names = ["CPU us a request", "median us", "99th pct us", "requests/s", "peak KiB", "opened per 1000"];
    println!("{rounds} rounds of {requests} requests, {CONNECTIONS} connections, {RESPONSE_BYTES} bytes, {SERVERS} servers");
    println!("direct: {:.0} requests/s", median(direct.clone()));
    for (binary, rows) in binaries.iter().zip(&results) {
        let medians = (0..names.len())
            .map(|i| format!("{} {:.1}", names[i], median(rows.iter().map(|row| row[i]).collect())));
        println!("{}: {}", binary.display(), medians.collect::<Vec<_>>().join(", "));
        let ratios = rows.iter().zip(&direct).map(|(row, direct)| row[3] / direct).collect();
        println!("  proxied/direct {:.3}", median(ratios));
    }
    if let [this, other] = &results[..] {
        for (i, name) in names.iter().enumerate() {
            let ratios: Vec<f64> = this.iter().zip(other).map(|(a, b)| a[i] / b[i]).collect();
            let (min, max) = ratios
                .iter()
                .fold((f64::MAX, 0.0_f64), |(min, max), ratio| (min.min(*ratio), max.max(*ratio)));
            println!("this/other {name}: {:.3} ({min:.3} to {max:.3})", median(ratios));
        }
    }
}
