//! Long bodies, while half of the record servers hang in the middle of their work.

use crate::world::*;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 20;
const HANGING: usize = 10;
const REQUESTS: usize = 320;
const GAP_MS: u64 = 40;
/// The bodies have from this many bytes on, in steps.
const SMALLEST: usize = 5_850_000;
const STEP: usize = 20_000;
const SIZES: usize = 16;
/// A hanging server reads this much of a body, and nothing after it.
const READ_BEFORE_HANG: usize = 1024 * 1024;
/// How long the client waits, from the moment that it has sent the request, ...
const BUDGET_MS: u64 = 1000;
/// ... the grace after which a late answer counts as lost, and by how much every time limit is longer.
const GRACE_MS: u64 = 500 + 50;

extern "C" {
    fn ioctl(file: i32, request: u64, ...) -> i32;
}

/// The bytes that the peer's machine has not acknowledged (SIOCOUTQ).
fn unacknowledged(stream: &TcpStream) -> i32 {
    let mut count = 0i32;
    // SAFETY: the request writes one int.
    unsafe { ioctl(stream.as_raw_fd(), 0x5411, &mut count as *mut i32) };
    count
}

fn serve(stream: TcpStream, hangs: bool, name: usize, record: &Record) -> Option<()> {
    let mut output = stream.try_clone().ok()?;
    let mut input = BufReader::with_capacity(64 * 1024, stream);
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let request = Message::read_head(&mut input).ok()??;
        if request.path() == "/stats" {
            output.write_all(&ok_answer(b"inflight=0,queue=0,qps=1")).ok()?;
            continue;
        }
        let length: usize = request.header("content-length")?.parse().ok()?;
        let mut got = 0;
        while got < length {
            if hangs && got >= READ_BEFORE_HANG {
                record.line(format!("s{name} hangs after {got} bytes of {}", request.id()));
                thread::sleep(ms(60_000));
                return None;
            }
            let most = buffer.len().min(length - got);
            match input.read(&mut buffer[..most]).ok()? {
                0 => return None,
                count => got += count,
            }
        }
        record.line(format!("s{name} has run {}", request.id()));
        output.write_all(&ok_answer(request.id().as_bytes())).ok()?;
    }
}

pub fn run(folder: &Path, scratch: &Path, trouble: bool) -> i32 {
    let record = Record::new(&folder.join("record.txt"));
    let servers: Vec<Listed> = (0..SERVERS)
        .map(|n| {
            let (record, hangs) = (record.clone(), trouble && n < HANGING);
            let address = listen(move |stream| {
                serve(stream, hangs, n, &record);
            });
            Listed { uid: format!("s-{n}"), address, zone: "jackson", group: 1, state: "SERVING" }
        })
        .collect();
    let discovery = Discovery::start(servers);
    let configuration = platform_file(&discovery, &settings(&[LOOKUP, CORRECTION, CERTIFIED_COPY]));
    let agent = Agent::start(scratch, "config.json", &configuration, "");
    agent.wait_ready();
    let address = agent.listen;
    let threads: Vec<_> = (0..REQUESTS)
        .map(|n| {
            thread::sleep(ms(GAP_MS));
            let record = record.clone();
            thread::spawn(move || {
                let length = SMALLEST + STEP * (n * 7 % SIZES);
                let id = call_id();
                let mut client = Client::connect(address).ok()?;
                let head = format!(
                    "POST /certified-copy/7 HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: certified-copy\r\nX-Budget-Ms: {BUDGET_MS}\r\nContent-Length: {length}\r\n\r\n"
                );
                client.stream.write_all(head.as_bytes()).ok()?;
                let mut writer = client.stream.try_clone().ok()?;
                // Writes at full speed; the time of the request counts from its last byte.
                let writing = thread::spawn(move || {
                    let piece = vec![b'x'; 64 * 1024];
                    let mut sent = 0;
                    while sent < length {
                        match writer.write(&piece[..piece.len().min(length - sent)]) {
                            Ok(count) => sent += count,
                            Err(_) => return None,
                        }
                    }
                    Some((Instant::now(), unacknowledged(&writer)))
                });
                let _ = client.stream.set_read_timeout(Some(Duration::from_secs(20)));
                let status = client.read().map_or(0, |answer| answer.status);
                let answered = Instant::now();
                let _ = client.stream.shutdown(std::net::Shutdown::Both);
                let written = writing.join().ok()?;
                let Some((last_byte, left)) = written.filter(|(at, _)| *at < answered) else {
                    record.line(format!("{id} of {length} bytes got {status} before its last byte was written"));
                    return Some(false);
                };
                let took = answered.duration_since(last_byte).as_millis() as u64;
                let is_lost = took > BUDGET_MS + GRACE_MS;
                let mark = if is_lost { "LOST: " } else { "" };
                record.line(format!(
                    "{mark}{id} of {length} bytes got {status} {took} ms after its last byte was written ({left} bytes of it were unacknowledged then)"
                ));
                Some(is_lost)
            })
        })
        .collect();
    let results: Vec<bool> = threads.into_iter().filter_map(|thread| thread.join().ok()?).collect();
    let lost = results.iter().filter(|lost| **lost).count();
    record.line(format!("{} requests, {lost} answered more than {GRACE_MS} ms after their time", results.len()));
    match (results.len(), lost) {
        (0..160, _) => CANNOT_RUN,
        (_, 0) => HELD,
        _ => BROKEN,
    }
}
