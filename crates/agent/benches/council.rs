//! What agreement costs: commands a second and their latency, with one council process and with three, by callers at once,
//! on the disk of the folder for temporary files. `cargo bench -p heronhoist --bench council`, or with `-- --folder DIR`.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const LENGTH: Duration = Duration::from_secs(3);

struct Council {
    children: Vec<Child>,
    addresses: Vec<SocketAddr>,
    folder: PathBuf,
}

impl Drop for Council {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn free() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("an address")
}

fn start(count: usize, folder: &Path) -> Council {
    let folder = folder.join(format!("heronhoist-bench-{}-{count}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let addresses: Vec<SocketAddr> = (0..count).map(|_| free()).collect();
    let mut children = Vec::new();
    for (n, address) in addresses.iter().enumerate() {
        let mut text = format!(
            "[council]\nfleet = \"b\"\nname = \"c{n}\"\nlisten = \"{address}\"\ndisk = \"c{n}.redb\"\n"
        );
        for (n, address) in addresses.iter().enumerate() {
            text += &format!("[[council.peer]]\nname = \"c{n}\"\naddress = \"{address}\"\n");
        }
        let file = folder.join(format!("c{n}.toml"));
        std::fs::write(&file, text).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_heronhoist-council"));
        let child = command.arg("--config").arg(&file).stderr(Stdio::null()).spawn();
        children.push(child.expect("started"));
    }
    Council { children, addresses, folder }
}

/// A connection that is kept.
struct Line(BufReader<TcpStream>);

impl Line {
    fn ask(&mut self, request: &str) -> Option<String> {
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

fn connect(address: SocketAddr) -> Option<Line> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(Line(BufReader::new(stream)))
}

fn leader(council: &Council) -> SocketAddr {
    loop {
        for address in &council.addresses {
            let put = r#"{"command":{"session":null,"command":{"write":{"checks":[],"writes":[{"put":["note/a","1"]}]}}}}"#;
            let answer = connect(*address).and_then(|mut line| line.ask(put));
            if answer.is_some_and(|answer| answer.contains("done")) {
                return *address;
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn measure(council: &Council, callers: usize, request: &'static str) -> (f64, Vec<Duration>) {
    let address = leader(council);
    let threads: Vec<_> = (0..callers)
        .map(|_| {
            std::thread::spawn(move || {
                let mut line = connect(address).expect("a connection");
                let (begun, mut took) = (Instant::now(), Vec::new());
                while begun.elapsed() < LENGTH {
                    let at = Instant::now();
                    line.ask(request).expect("an answer");
                    took.push(at.elapsed());
                }
                took
            })
        })
        .collect();
    let mut took: Vec<Duration> =
        threads.into_iter().flat_map(|thread| thread.join().expect("a caller")).collect();
    took.sort();
    (took.len() as f64 / LENGTH.as_secs_f64(), took)
}

fn main() {
    let mut arguments = std::env::args().skip_while(|argument| argument != "--folder").skip(1);
    let folder = arguments.next().map_or_else(std::env::temp_dir, PathBuf::from);
    let write =
        r#"{"command":{"session":null,"command":{"write":{"checks":[],"writes":[{"put":["note/a","1"]}]}}}}"#;
    let read = r#"{"read":{"stale":false,"prefix":"note/a","members":false}}"#;
    println!(
        "{:<10} {:>7} {:<12} {:>9} {:>9} {:>9}",
        "processes", "callers", "what", "a second", "p50 ms", "p99 ms"
    );
    for count in [1, 3] {
        let council = start(count, &folder);
        for callers in [1, 32] {
            for (what, request) in [("write", write), ("read", read)] {
                let (rate, took) = measure(&council, callers, request);
                let part = |share: f64| took[(took.len() as f64 * share) as usize].as_secs_f64() * 1e3;
                println!(
                    "{count:<10} {callers:>7} {what:<12} {rate:>9.0} {:>9.2} {:>9.2}",
                    part(0.5),
                    part(0.99)
                );
            }
        }
    }
}
