//! A planned restart (SIGTERM) while long answers are being passed on.
//!
//! The platform waits 20 s before SIGKILL. No taken request may be without its whole answer when the agent exits by itself.
#[path = "../common/standin.rs"]
mod standin;

use standin::*;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The long answers: 16 MiB in pieces of 16 KiB, one every 10 ms or so.
const LONG_BYTES: u64 = 16 * 1024 * 1024;
const PIECE_BYTES: u64 = 16 * 1024;
/// How long after SIGTERM the platform sends SIGKILL. The pages set the longest deadline (1.5 s here) and 0.7 s as the minimum.
const KILL_AFTER: Duration = Duration::from_secs(20);

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let code = run(&folder);
    std::process::exit(code);
}

fn run(folder: &std::path::Path) -> i32 {
    let (record, temporary) = (Record::create(folder), TemporaryFolder::create());
    let pids = Arc::new(Mutex::new(Vec::new()));
    watchdog(Duration::from_secs(110), Arc::clone(&pids));
    let zones = ["jackson", "jackson", "mobile", "mobile"];
    let servers: Vec<_> =
        zones.iter().enumerate().map(|(i, zone)| RecordServer::start(&format!("s{}", i + 1), zone, &record)).collect();
    let discovery = Discovery::start(servers.iter().map(|server| server.target()).collect(), &record);
    let options = AgentOptions {
        listen: free_address(),
        discovery: discovery.address,
        known: discovery.whole(),
        settings: SETTINGS,
        temporary: &temporary.0,
        tag: "a",
    };
    let mut agent = Agent::start(&options, &pids);
    if !agent.wait_ready(Duration::from_secs(10)) {
        record.say("the agent did not become ready");
        return CANNOT_RUN;
    }
    record.say("the agent is ready");

    // Usual clients: short requests, one after another, on kept connections.
    let stop = Arc::new(AtomicBool::new(false));
    let usual: Vec<_> = (0..4)
        .map(|i| {
            let (record, stop, listen) = (Arc::clone(&record), Arc::clone(&stop), agent.listen);
            thread::spawn(move || {
                let mut client = Client::new(listen, &record);
                while !stop.load(Ordering::SeqCst) {
                    let class = ["lookup", "correction", "lookup", "certified-copy"][i];
                    let body = if class == "lookup" { Vec::new() } else { vec![b'x'; 200] };
                    let call = Call { id: fresh_id("u"), class, rest: "7".into(), budget_ms: 400, body };
                    client.call(&call, Duration::from_millis(900), Duration::from_secs(2));
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1500));

    // Long answers: a class that is safe to repeat, and one that is not.
    let long: Vec<_> = ["lookup", "lookup", "certified-copy"]
        .into_iter()
        .map(|class| {
            let (record, listen) = (Arc::clone(&record), agent.listen);
            thread::spawn(move || {
                let body = if class == "lookup" { Vec::new() } else { vec![b'x'; 200] };
                let rest = format!("17?size={LONG_BYTES}&pace={PIECE_BYTES}");
                let call = Call { id: fresh_id("long"), class, rest, budget_ms: if class == "lookup" { 400 } else { 1500 }, body };
                record.line(format!("a client sends {} ({class})", call.id));
                let answer = Client::new(listen, &record).call(&call, Duration::from_secs(3), Duration::from_secs(30));
                record.line(format!(
                    "{} got status {:?}, {} of {LONG_BYTES} bytes, whole: {}, right: {} {}",
                    call.id, answer.status, answer.bytes, answer.is_whole, answer.is_right, answer.error
                ));
                (call.id, class, answer)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1000));

    let mut was_killed = false;
    if has_trouble() {
        record.say("SIGTERM");
        stop.store(true, Ordering::SeqCst);
        agent.signal(SIGTERM);
        let start = Instant::now();
        while !agent.has_exited(&record) {
            if start.elapsed() >= KILL_AFTER {
                record.say("SIGKILL");
                was_killed = true;
                agent.signal(SIGKILL);
                break;
            }
            thread::sleep(Duration::from_millis(2));
        }
        if !was_killed {
            record.say(format!("the agent exited by itself {:.0} ms after SIGTERM", start.elapsed().as_secs_f64() * 1e3));
        }
    }
    let answers: Vec<_> = long.into_iter().map(|client| client.join().expect("a client")).collect();
    stop.store(true, Ordering::SeqCst);
    usual.into_iter().for_each(|client| client.join().expect("a client"));
    if agent.has_exited(&record) && !has_trouble() {
        record.say("the agent has exited, but nobody has stopped it");
        return CANNOT_RUN;
    }

    let mut lost = 0;
    for (id, class, answer) in &answers {
        let ran = servers.iter().any(|server| server.runs.lock().unwrap().iter().any(|run| run.id == *id));
        // Whatever SIGKILL finds is the platform's doing.
        if !answer.is_whole && !was_killed {
            lost += 1;
            record.say(format!(
                "LOST: {id} ({class}, run by a record server: {ran}) got {} of {LONG_BYTES} bytes, then the agent ended the connection",
                answer.bytes
            ));
        } else {
            record.say(format!("{id} ({class}): whole {}, right {}", answer.is_whole, answer.is_right));
        }
    }
    if answers.iter().all(|(.., answer)| answer.status != Some(200)) {
        record.say("no long answer began");
        return CANNOT_RUN;
    }
    record.say(if lost > 0 { "the rule was broken" } else { "the rule held" });
    i32::from(lost > 0)
}
