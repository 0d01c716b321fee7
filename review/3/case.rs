//! An operator drains a record server and stops it as soon as the tool says that it may stop, while long answers of it are being
//! passed on.
#[path = "../common/standin.rs"]
mod standin;

use standin::*;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The long answers: 16 MiB in pieces of 16 KiB, one every 10 ms or so.
const LONG_BYTES: u64 = 16 * 1024 * 1024;
const PIECE_BYTES: u64 = 16 * 1024;
const CALLS: usize = 6;
/// How long the operator takes to stop the server once the tool has ended.
const OPERATOR_DELAY: Duration = Duration::from_secs(1);

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let code = run(&folder);
    std::process::exit(code);
}

fn agent_file(listen: std::net::SocketAddr, council: std::net::SocketAddr, servers: &[Arc<RecordServer>]) -> String {
    let mut file = format!(
        "[ops]\nlisten = \"{}\"\n[limits]\nsockets = 1024\nmemory_mb = 128\n\
         [[class]]\nname = \"lookup\"\neffect = \"idempotent\"\naim_ms = 200\ndeadline_ms = 1000\n\
         [[class]]\nname = \"certified-copy\"\neffect = \"at_most_once\"\naim_ms = 500\ndeadline_ms = 1500\n\
         [[pool]]\nname = \"records\"\nmembership = \"static\"\nmax_attempts = 3\nsecond_copies = true\ndrain_grace_ms = 500\n\
         connect_timeout_ms = 250\nkeepalive_ms = 10000\n",
        free_address()
    );
    for server in servers {
        file += &format!("[[pool.server]]\nname = \"{}\"\naddress = \"{}\"\n", server.uid, server.address);
    }
    file + &format!(
        "[[front]]\nname = \"desk\"\nprotocol = \"http\"\nlisten = \"{listen}\"\n\
         [fleet]\nname = \"gulf\"\nmember = \"n1\"\nsite = \"jackson\"\ncouncil = [\"{council}\"]\n"
    )
}

fn run(folder: &Path) -> i32 {
    let (record, temporary) = (Record::create(folder), TemporaryFolder::create());
    let pids = Arc::new(Mutex::new(Vec::new()));
    watchdog(Duration::from_secs(110), Arc::clone(&pids));
    let servers: Vec<_> = (1..=3).map(|i| RecordServer::start(&format!("s{i}"), "jackson", &record)).collect();
    let (listen, council) = (free_address(), free_address());
    let (council_file, agent_path) = (temporary.0.join("council.toml"), temporary.0.join("n1.toml"));
    std::fs::write(
        &council_file,
        format!("[council]\nfleet = \"gulf\"\nname = \"c1\"\nlisten = \"{council}\"\ndisk = \"c1.redb\"\n"),
    )
    .expect("a file");
    std::fs::write(&agent_path, agent_file(listen, council, &servers)).expect("a file");
    let agent_path = agent_path.display().to_string();
    let _council = start_program(&format!("council --config {}", council_file.display()), &temporary.0, "council", &pids);
    let mut agent = start_program(&format!("run --config {agent_path}"), &temporary.0, "agent", &pids);
    let mut is_ready = false;
    for _ in 0..400 {
        let mut status = start_program(&format!("fleet status --json --config {agent_path}"), &temporary.0, "status", &pids);
        status.wait(Duration::from_secs(5));
        let text = std::fs::read_to_string(temporary.0.join("log-status.txt")).unwrap_or_default();
        if text.contains("\"n1\"") && simple_get(listen, "/health/ready").is_ok_and(|status| status == 200) {
            is_ready = true;
            break;
        }
        thread::sleep(Duration::from_millis(25));
    }
    if !is_ready {
        record.say("the agent did not become a ready member of its fleet");
        return CANNOT_RUN;
    }
    record.say("the agent is ready, and a member of its fleet");
    let budgets = temporary.0.join("budgets.toml");
    let listed: String = servers.iter().map(|server| format!("[[server]]\nname = \"{}\"\nsite = \"jackson\"\n", server.uid)).collect();
    std::fs::write(&budgets, format!("[[budget]]\nof = \"servers\"\nby = \"all\"\nmost = 1\n{listed}")).expect("a file");
    let arguments = format!("fleet budgets {} --config {agent_path}", budgets.display());
    if start_program(&arguments, &temporary.0, "budgets", &pids).wait(Duration::from_secs(10)) != Some(0) {
        record.say("the budgets could not be set");
        return CANNOT_RUN;
    }

    let clients: Vec<_> = (0..CALLS)
        .map(|i| {
            let record = Arc::clone(&record);
            thread::spawn(move || {
                let class = ["lookup", "certified-copy"][i % 2];
                let body = if class == "lookup" { Vec::new() } else { vec![b'x'; 200] };
                let rest = format!("17?size={LONG_BYTES}&pace={PIECE_BYTES}");
                let call = Call { id: fresh_id("long"), class, rest, budget_ms: 1000, body };
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
    let server = servers.iter().max_by_key(|server| server.writing.lock().unwrap().len()).expect("a server");
    let given: Vec<String> = server.writing.lock().unwrap().clone();
    record.say(format!("{} is giving {} long answers", server.uid, given.len()));

    if has_trouble() {
        record.say(format!("an operator runs: heronhoist drain server {} --why disk --wait", server.uid));
        let mut drain = start_program(
            &format!("drain server {} --why disk --wait --config {agent_path}", server.uid),
            &temporary.0,
            "drain",
            &pids,
        );
        let code = drain.wait(Duration::from_secs(60));
        let text = std::fs::read_to_string(temporary.0.join("log-drain.txt")).unwrap_or_default();
        record.say(format!("the tool ends with {code:?}: {}", text.trim().replace('\n', " / ")));
        if code != Some(0) {
            return CANNOT_RUN;
        }
        thread::sleep(OPERATOR_DELAY);
        let left = server.writing.lock().unwrap().clone();
        record.say(format!("the operator stops {}, {:?} after the tool's word; it is still giving {} answers", server.uid, OPERATOR_DELAY, left.len()));
        server.stop();
    }
    let answers: Vec<_> = clients.into_iter().map(|client| client.join().expect("a client")).collect();
    if agent.has_exited() {
        record.say("the agent has exited");
        return CANNOT_RUN;
    }
    let mut lost = 0;
    for (id, class, answer) in &answers {
        let is_of_drained = given.contains(id);
        if is_of_drained && !answer.is_whole {
            lost += 1;
        }
        record.say(format!(
            "{}{id} ({class}{}): status {:?}, {} of {LONG_BYTES} bytes",
            if is_of_drained && !answer.is_whole { "LOST: " } else { "" },
            if is_of_drained { format!(", from {}", server.uid) } else { String::new() },
            answer.status,
            answer.bytes
        ));
    }
    if given.is_empty() {
        record.say("no long answer began");
        return CANNOT_RUN;
    }
    record.say(if lost > 0 { "the rule was broken" } else { "the rule held" });
    i32::from(lost > 0)
}
