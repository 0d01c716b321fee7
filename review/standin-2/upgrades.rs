//! Two upgrades follow each other within one long answer, and then its record server is drained.

use crate::world::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const BYTES: usize = 16 * 1024 * 1024;
const CLIENTS: usize = 4;
/// The servers write this much at a time, this far apart: some 640 kB a second.
const PIECE: usize = 16 * 1024;
const PAUSE: Duration = Duration::from_millis(25);

struct Ended(Child);

impl Drop for Ended {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A record server whose connections can all be ended, as by the end of its process.
#[derive(Clone, Default)]
struct Connections(Arc<Mutex<(bool, Vec<TcpStream>)>>);

impl Connections {
    fn stop(&self) {
        let mut state = self.0.lock().unwrap();
        state.0 = true;
        for stream in state.1.drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

pub fn run(folder: &Path, scratch: &Path, trouble: bool) -> i32 {
    let record = Record::new(&folder.join("record.txt"));
    let stopped = Connections::default();
    let servers: Vec<_> = (0..2)
        .map(|n| {
            let (record, stopped) = (record.clone(), stopped.clone());
            record_server(move |request, stream| {
                if n == 1 {
                    // The second server takes nothing: all long answers come from the first.
                    let _ = stream.write_all(b"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n");
                    return true;
                }
                if let (Ok(copy), Ok(mut state)) = (stream.try_clone(), stopped.0.lock()) {
                    if state.0 {
                        return false;
                    }
                    state.1.push(copy);
                }
                record.line(format!("s1 runs {} and begins its answer", request.id()));
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BYTES}\r\n\r\n");
                if stream.write_all(head.as_bytes()).is_err() {
                    return false;
                }
                let piece = vec![b'r'; PIECE];
                for _ in 0..BYTES / PIECE {
                    if stream.write_all(&piece).is_err() {
                        record.line(format!("s1 could not give {} its whole answer", request.id()));
                        return false;
                    }
                    thread::sleep(PAUSE);
                }
                true
            })
        })
        .collect();
    let council = free_address();
    let council_file = scratch.join("council.toml");
    let text = format!("[council]\nfleet = \"gulf\"\nname = \"c1\"\nlisten = \"{council}\"\ndisk = \"council.redb\"\n");
    std::fs::write(&council_file, text).expect("the council's file");
    let log = std::fs::File::create(scratch.join("council.log")).expect("a log");
    let mut command = Command::new("target/release/heronhoist-coordinator");
    command.arg("--config").arg(&council_file).stdin(Stdio::null());
    command.stdout(log.try_clone().expect("a log")).stderr(log);
    let Ok(council_process) = command.spawn() else { return CANNOT_RUN };
    let _council_process = Ended(council_process);
    let configuration = format!(
        "[ops]\nlisten = \"{{ops}}\"\n[limits]\nsockets = 1024\nmemory_mb = 64\n\
         [[class]]\nname = \"certified-copy\"\neffect = \"at_most_once\"\naim_ms = 500\ndeadline_ms = 1500\n\
         [[pool]]\nname = \"records\"\nmembership = \"static\"\nmax_attempts = 5\ndrain_grace_ms = 500\nconnect_timeout_ms = 250\nkeepalive_ms = 10000\n\
         [[pool.server]]\nname = \"s1\"\naddress = \"{}\"\n[[pool.server]]\nname = \"s2\"\naddress = \"{}\"\n\
         [[front]]\nname = \"desk\"\nprotocol = \"http\"\nlisten = \"{{listen}}\"\n\
         [fleet]\nname = \"gulf\"\nmember = \"n1\"\nsite = \"jackson\"\ncouncil = [\"{council}\"]\n",
        servers[0], servers[1]
    );
    let arguments = "run --config {file}";
    let first = Agent::start(scratch, "n1.toml", &configuration, arguments);
    first.wait_ready();
    let until = Instant::now() + ms(15_000);
    while first.metric("app_fleet_lease_held") != Some(1.0) {
        if Instant::now() > until {
            return CANNOT_RUN;
        }
        thread::sleep(ms(100));
    }
    record.line("the agent serves and holds its lease");
    let address = first.listen;
    let threads: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let record = record.clone();
            thread::spawn(move || {
                let id = call_id();
                let mut client = Client::connect(address).ok()?;
                let _ = client.stream.set_read_timeout(Some(ms(60_000)));
                let text = request("certified-copy", &id, 1500, None, Some("copy=1"));
                client.stream.write_all(text.as_bytes()).ok()?;
                let head = Message::read_head(client.input()).ok()??;
                record.line(format!("{id} gets {}", head.status));
                if head.status != 200 {
                    return None;
                }
                let (mut got, mut buffer) = (0, vec![0; 64 * 1024]);
                while got < BYTES {
                    match client.input().read(&mut buffer) {
                        Ok(0) | Err(_) => break,
                        Ok(count) => got += count,
                    }
                }
                let mark = if got < BYTES { "CUT OFF: " } else { "" };
                record.line(format!("{mark}{id} got {got} of {BYTES} bytes"));
                Some(got < BYTES)
            })
        })
        .collect();
    thread::sleep(ms(1500));
    let mut newest = first.upgrade(scratch, "n1-2.toml", &configuration, arguments);
    let mut old = vec![first];
    for upgrade in 1..=2 {
        if !newest.wait_says_yes() {
            return CANNOT_RUN;
        }
        record.line(format!("upgrade {upgrade}: the new process says yes; SIGTERM to the one before it"));
        old[upgrade - 1].signal(SIGTERM);
        thread::sleep(ms(3500));
        if upgrade == 1 {
            if !trouble {
                break;
            }
            let next = newest.upgrade(scratch, "n1-3.toml", &configuration, arguments);
            old.push(std::mem::replace(&mut newest, next));
        }
    }
    let until = Instant::now() + ms(15_000);
    while newest.metric("app_fleet_lease_held") != Some(1.0) && Instant::now() < until {
        thread::sleep(ms(100));
    }
    record.line("heronhoist drain server s1 --wait");
    let drain = Command::new("target/release/heronhoist")
        .args(["drain", "server", "s1", "--why", "disk", "--wait", "--over-budget", "--config"])
        .arg(&newest.file)
        .stdin(Stdio::null())
        .output();
    let Ok(drain) = drain else { return CANNOT_RUN };
    let said = [&drain.stdout[..], &drain.stderr[..]].concat();
    record.line(format!("drain ended with {:?}: {}", drain.status.code(), String::from_utf8_lossy(&said).trim()));
    if drain.status.code() != Some(0) {
        return CANNOT_RUN;
    }
    record.line("the operator stops s1");
    stopped.stop();
    let results: Vec<bool> = threads.into_iter().filter_map(|thread| thread.join().ok()?).collect();
    let cut = results.iter().filter(|cut| **cut).count();
    record.line(format!("{} long answers had begun, {cut} were cut off", results.len()));
    match (results.len(), cut) {
        (0, _) => CANNOT_RUN,
        (_, 0) => HELD,
        _ => BROKEN,
    }
}
