//! The building of a record server is cut off for some seconds while a long answer is on its way, and comes back.

use crate::world::*;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::path::Path;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Instant;

const BYTES: usize = 4 * 1024 * 1024;
const CUT_MS: u64 = 5_500;
const CLIENTS: usize = 4;

/// A link that carries nothing while it is cut; its connections stay open and silent.
#[derive(Clone, Default)]
struct Link(Arc<(Mutex<bool>, Condvar)>);

impl Link {
    fn set_cut(&self, is_cut: bool) {
        *self.0 .0.lock().unwrap() = is_cut;
        self.0 .1.notify_all();
    }

    fn wait(&self) {
        drop(self.0 .1.wait_while(self.0 .0.lock().unwrap(), |is_cut| *is_cut));
    }

    /// Carries bytes one way, `pace_ms` apart.
    fn carry(&self, mut from: TcpStream, mut to: TcpStream, pace_ms: u64) {
        let mut buffer = vec![0; 16 * 1024];
        loop {
            let count = from.read(&mut buffer).unwrap_or(0);
            self.wait();
            if count == 0 || to.write_all(&buffer[..count]).is_err() {
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
            if count > 1000 {
                thread::sleep(ms(pace_ms));
            }
        }
    }
}

pub fn run(folder: &Path, scratch: &Path, trouble: bool) -> i32 {
    let record = Record::new(&folder.join("record.txt"));
    let link = Link::default();
    let servers: Vec<Listed> = (0..2)
        .map(|n| {
            let record = record.clone();
            let server = record_server(move |request, stream| {
                thread::sleep(ms(15));
                let body: Vec<u8> = (0..BYTES).map(|i| b'a' + ((i / 1024 + n) % 26) as u8).collect();
                let written = stream.write_all(&ok_answer(&body));
                let _ = stream.flush();
                record.line(format!("s{n} has run {} and written its answer: {}", request.id(), written.is_ok()));
                written.is_ok()
            });
            let link = link.clone();
            let address = listen(move |near| {
                let Ok(far) = TcpStream::connect(server) else { return };
                let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) else { return };
                let back = link.clone();
                thread::spawn(move || back.carry(far_too, near_too, 5));
                link.carry(near, far, 0);
            });
            Listed { uid: format!("s-{n}"), address, zone: "jackson", group: 1, state: "SERVING" }
        })
        .collect();
    let discovery = Discovery::start(servers);
    let configuration = platform_file(&discovery, &settings(&[LOOKUP, CORRECTION, CERTIFIED_COPY]));
    let agent = Agent::start(scratch, "config.json", &configuration, "");
    agent.wait_ready();
    let start = Instant::now();
    let address = agent.listen;
    let threads: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let record = record.clone();
            thread::spawn(move || {
                let id = call_id();
                let Ok(mut client) = Client::connect(address) else { return None };
                let _ = client.stream.set_read_timeout(Some(ms(30_000)));
                let text = request("certified-copy", &id, 1500, None, Some("copy=1"));
                client.stream.write_all(text.as_bytes()).ok()?;
                let head = Message::read_head(client.input()).ok()??;
                let length: usize = head.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
                record.line(format!("{id} gets {} with a stated length of {length}", head.status));
                if head.status != 200 || length != BYTES {
                    return None;
                }
                let (mut got, mut buffer) = (0, vec![0; 16 * 1024]);
                while got < length {
                    match client.input().read(&mut buffer) {
                        Ok(0) | Err(_) => break,
                        Ok(count) => got += count,
                    }
                }
                let mark = if got < length { "CUT OFF: " } else { "" };
                record.line(format!("{mark}{id} got {got} of {length} bytes, {} ms after the start", start.elapsed().as_millis()));
                Some(got < length)
            })
        })
        .collect();
    thread::sleep(ms(400));
    if trouble {
        record.line("the building is cut off");
        link.set_cut(true);
        thread::sleep(ms(CUT_MS));
        link.set_cut(false);
        record.line("the building is back");
    }
    let results: Vec<bool> = threads.into_iter().filter_map(|thread| thread.join().ok()?).collect();
    let cut = results.iter().filter(|cut| **cut).count();
    record.line(format!("{} long answers had begun, {cut} were cut off", results.len()));
    match (results.len(), cut) {
        (0, _) => CANNOT_RUN,
        (_, 0) => HELD,
        _ => BROKEN,
    }
}
