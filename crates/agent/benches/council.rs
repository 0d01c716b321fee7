//! Throughput and latency of the coordination service, with one coordinator process and with three, and with 1 and 32 concurrent
//! callers. The processes store their data in the temporary directory, or in DIR:
//!
//!     cargo bench -p heronhoist --bench council -- --folder DIR

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// How long each measurement takes.
const MEASUREMENT_TIME: Duration = Duration::from_secs(3);

/// The coordinator processes of a fleet, which are killed and their files removed when this is dropped.
struct Coordinators {
    children: Vec<Child>,
    addresses: Vec<SocketAddr>,
    directory: PathBuf,
}

impl Drop for Coordinators {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("an address")
}

fn start(count: usize, parent_directory: &Path) -> Coordinators {
    let directory = parent_directory.join(format!("heronhoist-bench-{}-{count}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("cannot create the directory");
    let addresses: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
    let mut children = Vec::new();
    for (n, address) in addresses.iter().enumerate() {
        let mut text = format!(
            "[council]\nfleet = \"b\"\nname = \"c{n}\"\nlisten = \"{address}\"\ndisk = \"c{n}.redb\"\n"
        );
        for (n, address) in addresses.iter().enumerate() {
            text += &format!("[[council.peer]]\nname = \"c{n}\"\naddress = \"{address}\"\n");
        }
        let file = directory.join(format!("c{n}.toml"));
        std::fs::write(&file, text).expect("cannot write the configuration");
        let mut command = Command::new(env!("CARGO_BIN_EXE_heronhoist-council"));
        let child = command.arg("--config").arg(&file).stderr(Stdio::null()).spawn();
        children.push(child.expect("cannot start the coordinator"));
    }
    Coordinators { children, addresses, directory }
}

/// A connection that is kept between requests.
struct Connection(BufReader<TcpStream>);

impl Connection {
    /// Sends a request and returns the response body; `None` if the connection fails.
    fn send(&mut self, request: &str) -> Option<String> {
        let body = format!("{{\"envelope\":{{\"fleet\":\"b\",\"protocol\":1,\"from\":\"x\",\"incarnation\":0,\"term\":0}},\"request\":{request}}}");
        let head =
            format!("POST /v1/ask HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        self.0.get_mut().write_all(head.as_bytes()).ok()?;
        let mut length = 0;
        loop {
            let mut line = String::new();
            self.0.read_line(&mut line).ok().filter(|n| *n > 0)?;
            match line.trim_end().split_once(": ") {
                Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                    length = value.parse().ok()?;
                }
                None if line.trim_end().is_empty() => break,
                _ => {}
            }
        }
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).ok()?;
        String::from_utf8(body).ok()
    }
}

fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(Connection(BufReader::new(stream)))
}

/// Waits until a process accepts a write, and returns its address.
fn leader(coordinators: &Coordinators) -> SocketAddr {
    loop {
        for address in &coordinators.addresses {
            let put = r#"{"command":{"session":null,"command":{"write":{"checks":[],"writes":[{"put":["note/a","1"]}]}}}}"#;
            let response = connect(*address).and_then(|mut connection| connection.send(put));
            if response.is_some_and(|response| response.contains("done")) {
                return *address;
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Sends a request repeatedly from several callers; returns the requests per second and the sorted latencies.
fn measure(coordinators: &Coordinators, callers: usize, request: &'static str) -> (f64, Vec<Duration>) {
    let address = leader(coordinators);
    let threads: Vec<_> = (0..callers)
        .map(|_| {
            std::thread::spawn(move || {
                let mut connection = connect(address).expect("cannot connect");
                let (start, mut latencies) = (Instant::now(), Vec::new());
                while start.elapsed() < MEASUREMENT_TIME {
                    let sent_at = Instant::now();
                    connection.send(request).expect("no response");
                    latencies.push(sent_at.elapsed());
                }
                latencies
            })
        })
        .collect();
    let mut latencies: Vec<Duration> =
        threads.into_iter().flat_map(|thread| thread.join().expect("a caller has panicked")).collect();
    latencies.sort();
    (latencies.len() as f64 / MEASUREMENT_TIME.as_secs_f64(), latencies)
}

fn main() {
    let mut arguments = std::env::args().skip_while(|argument| argument != "--folder").skip(1);
    let directory = arguments.next().map_or_else(std::env::temp_dir, PathBuf::from);
    let write =
        r#"{"command":{"session":null,"command":{"write":{"checks":[],"writes":[{"put":["note/a","1"]}]}}}}"#;
    let read = r#"{"read":{"stale":false,"prefix":"note/a","members":false}}"#;
    println!(
        "{:<10} {:>7} {:<12} {:>9} {:>9} {:>9}",
        "processes", "callers", "what", "a second", "p50 ms", "p99 ms"
    );
    for count in [1, 3] {
        let coordinators = start(count, &directory);
        for callers in [1, 32] {
            for (operation, request) in [("write", write), ("read", read)] {
                let (rate, latencies) = measure(&coordinators, callers, request);
                let percentile_ms = |fraction: f64| {
                    latencies[(latencies.len() as f64 * fraction) as usize].as_secs_f64() * 1e3
                };
                println!(
                    "{count:<10} {callers:>7} {operation:<12} {rate:>9.0} {:>9.2} {:>9.2}",
                    percentile_ms(0.5),
                    percentile_ms(0.99)
                );
            }
        }
    }
}
