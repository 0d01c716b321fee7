//! Long request bodies while one of four record servers hangs.
//!
//! Each request whose last byte has arrived on the agent's machine needs its final answer within the client's time and half a second.
#[path = "../common/standin.rs"]
mod standin;

use standin::*;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The time that the clients allow, in milliseconds: two thirds of the class's deadline.
const BUDGET_MS: u64 = 1000;
/// How much later a final answer may come: 0.5 s, and 50 ms that every limit on sockets is longer.
const GRACE_MS: f64 = 550.0;
const CALLS: usize = 48;
/// The lengths of the bodies, one after another. What the sockets on the way hold differs between machines; a body must be longer
/// than what the hanging server's side holds, and short enough for the rest to fit on the agent's machine.
const BODY_BYTES: [usize; 6] = [416 * 1024, 448 * 1024, 480 * 1024, 512 * 1024, 576 * 1024, 640 * 1024];

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let code = run(&folder);
    std::process::exit(code);
}

fn run(folder: &Path) -> i32 {
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
    let mut warm = Client::new(agent.listen, &record);
    for _ in 0..20 {
        let call = Call { id: fresh_id("w"), class: "lookup", rest: "7".into(), budget_ms: 400, body: Vec::new() };
        warm.call(&call, Duration::from_secs(1), Duration::from_secs(1));
    }

    if has_trouble() {
        record.say("s1 hangs: it accepts connections, and neither reads nor answers");
        servers[0].hangs.store(true, Ordering::SeqCst);
    }
    let clients: Vec<_> = (0..CALLS)
        .map(|i| {
            thread::sleep(Duration::from_millis(60));
            let (record, listen) = (Arc::clone(&record), agent.listen);
            thread::spawn(move || {
                let (class, body_bytes) = (["certified-copy", "correction"][i % 2], BODY_BYTES[i % BODY_BYTES.len()]);
                let call = Call { id: fresh_id("body"), class, rest: "17".into(), budget_ms: BUDGET_MS, body: vec![b'x'; body_bytes] };
                record.line(format!("a client sends {} ({class}, {body_bytes} bytes)", call.id));
                let patience = Duration::from_secs(8);
                let answer = Client::new(listen, &record).call(&call, patience, patience);
                record.line(format!(
                    "{}: last byte written at {:.1}, on the agent's machine at {:?}, status {:?}, whole {}, ended at {:.1} {}",
                    call.id, answer.written_at, answer.taken_at, answer.status, answer.is_whole, answer.ended_at, answer.error
                ));
                (call.id, class, answer)
            })
        })
        .collect();
    let answers: Vec<_> = clients.into_iter().map(|client| client.join().expect("a client")).collect();
    if agent.has_exited(&record) {
        record.say("the agent has exited");
        return 1;
    }
    let (mut lost, mut judged) = (0, 0);
    for (id, class, answer) in &answers {
        // A request that the agent's machine has not wholly got before its answer came is not judged.
        let Some(taken_at) = answer.taken_at else { continue };
        judged += 1;
        let latest = taken_at + BUDGET_MS as f64 + GRACE_MS;
        let is_lost = !answer.is_whole || answer.ended_at > latest;
        lost += usize::from(is_lost);
        let ran = servers.iter().any(|server| server.runs.lock().unwrap().iter().any(|run| run.id == *id));
        record.say(format!(
            "{}{id} ({class}): status {:?} {:.0} ms after its last byte had arrived; {BUDGET_MS} ms allowed, {GRACE_MS} ms grace; run: {ran}",
            if is_lost { "LOST: " } else { "" },
            answer.status,
            answer.ended_at - taken_at
        ));
    }
    if lost == 0 && judged < CALLS / 4 {
        record.say(format!("only {judged} of {CALLS} requests can be judged"));
        return CANNOT_RUN;
    }
    record.say(if lost > 0 { "the rule was broken" } else { "the rule held" });
    i32::from(lost > 0)
}
