//! A reload removes the class with the longest deadline. Later the agent is told to end while the record servers hang.

use crate::world::*;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Instant;

const CLIENTS: usize = 8;
/// The longest deadline of the classes in force at the shutdown, and what the platform adds to it before SIGKILL.
const LONGEST_MS: u64 = 1500;
const KILL_SLACK_MS: u64 = 700;
const EXTRACT: &str = r#"{"name":"extract","effect":"idempotent","aimMs":1000.0,"deadlineMs":3000.0,"dedupWindowMs":5000.0,"group":"all","lateWorth":0.5,"points":1.0,"stream":false}"#;

pub fn run(folder: &Path, scratch: &Path, trouble: bool) -> i32 {
    let record = Record::new(&folder.join("record.txt"));
    let hangs = Arc::new(AtomicBool::new(false));
    let servers: Vec<Listed> = (0..6)
        .map(|n| {
            let (record, hangs) = (record.clone(), Arc::clone(&hangs));
            let address = record_server(move |request, stream| {
                if hangs.load(Ordering::Relaxed) {
                    record.line(format!("s{n} gets {} and hangs", request.id()));
                    thread::sleep(ms(20_000));
                    return false;
                }
                thread::sleep(ms(15));
                stream.write_all(&ok_answer(request.id().as_bytes())).is_ok()
            });
            Listed { uid: format!("s-{n}"), address, zone: "jackson", group: 1, state: "SERVING" }
        })
        .collect();
    let discovery = Discovery::start(servers);
    let before = platform_file(&discovery, &settings(&[LOOKUP, CORRECTION, CERTIFIED_COPY, EXTRACT]));
    let after = platform_file(&discovery, &settings(&[LOOKUP, CORRECTION, CERTIFIED_COPY]));
    let mut agent = Agent::start(scratch, "config.json", if trouble { &before } else { &after }, "");
    agent.wait_ready();
    let mut warm = Client::connect(agent.listen).expect("a connection");
    let mut warm_up = |count: usize| {
        let mut served = 0;
        for _ in 0..count {
            let _ = warm.stream.write_all(request("lookup", &call_id(), 400, None, None).as_bytes());
            served += usize::from(warm.read().is_ok_and(|answer| answer.status == 200));
            thread::sleep(ms(5));
        }
        served
    };
    let mut served = warm_up(100);
    if trouble {
        if !agent.reload(&after) {
            return CANNOT_RUN;
        }
        record.line("reloaded: the class extract, with a deadline of 3000 ms, is gone; the longest deadline is now 1500 ms");
    }
    // Nothing that came under the old settings is open any more.
    thread::sleep(ms(6000));
    served += warm_up(100);
    record.line(format!("{served} of 200 requests served"));
    if served < 180 {
        return CANNOT_RUN;
    }
    hangs.store(true, Ordering::Relaxed);
    record.line("the record servers hang; SIGTERM");
    let term = Instant::now();
    agent.signal(SIGTERM);
    let address = agent.listen;
    let threads: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let record = record.clone();
            thread::spawn(move || {
                // New connections keep arriving for 0.2 to 0.4 s. These clients take half a second for a request.
                sleep_until(term + ms(200 + 25 * n as u64));
                let id = call_id();
                let Ok(mut client) = Client::connect(address) else { return false };
                let text = request("certified-copy", &id, LONGEST_MS, None, Some("copy=1"));
                let (first, last) = text.split_at(text.len() / 2);
                if client.stream.write_all(first.as_bytes()).is_err() {
                    return false;
                }
                sleep_until(term + ms(800 + 25 * n as u64));
                if client.stream.write_all(last.as_bytes()).is_err() {
                    record.line(format!("{id}: the connection was closed before its last byte"));
                    return false;
                }
                let sent = term.elapsed().as_millis();
                let answer = client.read();
                let lost = answer.is_err();
                let mark = if lost { "LOST: " } else { "" };
                record.line(format!(
                    "{mark}{id}, last byte {sent} ms after SIGTERM, got {} {} ms after it",
                    answer.map_or("no answer, only the end of its connection".into(), |a| a.status.to_string()),
                    term.elapsed().as_millis()
                ));
                lost
            })
        })
        .collect();
    // The platform kills no sooner than this.
    let kill = term + ms(LONGEST_MS + KILL_SLACK_MS);
    while Instant::now() < kill && !agent.has_exited() {
        thread::sleep(ms(5));
    }
    if agent.has_exited() {
        record.line(format!("the agent has ended {} ms after SIGTERM", term.elapsed().as_millis()));
    } else {
        record.line(format!("SIGKILL {} ms after SIGTERM", term.elapsed().as_millis()));
        agent.signal(SIGKILL);
    }
    let lost = threads.into_iter().filter_map(|thread| thread.join().ok()).filter(|lost| *lost).count();
    record.line(format!("{lost} of {CLIENTS} requests were taken and got no answer"));
    if lost > 0 { BROKEN } else { HELD }
}
