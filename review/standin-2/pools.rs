//! A reload removes a class and opens a pool. Connections are reset under requests that have begun.

use crate::world::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;

const REQUESTS: usize = 40;

fn class(name: &str, effect: &str, aim_ms: u64, deadline_ms: u64) -> String {
    format!("[[class]]\nname = \"{name}\"\neffect = \"{effect}\"\naim_ms = {aim_ms}\ndeadline_ms = {deadline_ms}\n")
}

fn pool(name: &str, servers: &[SocketAddr]) -> String {
    let mut text = format!(
        "[[pool]]\nname = \"{name}\"\nmembership = \"static\"\nmax_attempts = 3\ndrain_grace_ms = 500\nconnect_timeout_ms = 250\nkeepalive_ms = 10000\n"
    );
    for (n, address) in servers.iter().enumerate() {
        text += &format!("[[pool.server]]\nname = \"{name}-{n}\"\naddress = \"{address}\"\n");
    }
    text
}

pub fn run(folder: &Path, scratch: &Path, trouble: bool) -> i32 {
    let record = Record::new(&folder.join("record.txt"));
    // How often each request has run.
    let runs: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    let server = |name: &'static str, resets: bool| {
        let (record, runs) = (record.clone(), Arc::clone(&runs));
        let random = Mutex::new(Random(name.bytes().fold(7, |a, b| a * 31 + u64::from(b))));
        record_server(move |request, stream| {
            *runs.lock().unwrap().entry(request.id().into()).or_default() += 1;
            thread::sleep(ms(20));
            if resets && random.lock().unwrap().next() % 2 == 0 {
                record.line(format!("{name} has run {} and its connection breaks", request.id()));
                return false;
            }
            record.line(format!("{name} has run {} and answers", request.id()));
            stream.write_all(&ok_answer(request.id().as_bytes())).is_ok()
        })
    };
    let records = [server("records-0", false), server("records-1", false)];
    let archive = [server("archive-0", true), server("archive-1", true)];
    let head = "[ops]\nlisten = \"{ops}\"\n[limits]\nsockets = 1024\nmemory_mb = 64\n".to_string();
    let front = "[[front]]\nname = \"desk\"\nprotocol = \"http\"\nlisten = \"{listen}\"\n";
    let lookup = class("lookup", "idempotent", 200, 1000);
    let copy = class("certified-copy", "at_most_once", 1000, 3000);
    let correction = class("correction", "deduplicated", 400, 2000) + "dedup_group = \"cell\"\ndedup_window_ms = 600\n";
    let before = format!("{head}{lookup}{copy}{correction}{}{front}", pool("records", &records));
    let after = format!(
        "{head}{copy}{correction}{}{}{front}[[route]]\nname = \"copies\"\nclass = \"certified-copy\"\npool = \"archive\"\n[[route]]\nname = \"rest\"\npool = \"records\"\n",
        pool("records", &records),
        pool("archive", &archive)
    );
    let agent = Agent::start(scratch, "agent.toml", if trouble { &before } else { &after }, "run --config {file}");
    agent.wait_ready();
    if trouble {
        let mut client = Client::connect(agent.listen).expect("a connection");
        let _ = client.stream.write_all(request("lookup", &call_id(), 900, None, None).as_bytes());
        record.line(format!("before the reload a lookup gets {:?}", client.read().map(|a| a.status).ok()));
        if !agent.reload(&after) {
            return CANNOT_RUN;
        }
        record.line("reloaded: the class lookup is gone, the pool archive is new");
        thread::sleep(ms(1500));
    }
    let (mut answered, mut twice) = (0, 0);
    for _ in 0..REQUESTS {
        let Ok(mut client) = Client::connect(agent.listen) else { continue };
        let id = call_id();
        let _ = client.stream.write_all(request("certified-copy", &id, 2500, None, Some("copy=1")).as_bytes());
        let status = client.read().map_or(0, |answer| answer.status);
        answered += usize::from(status != 0);
        thread::sleep(ms(30));
        let count = runs.lock().unwrap().get(&id).copied().unwrap_or(0);
        let mark = if count > 1 { "TWICE: " } else { "" };
        record.line(format!("{mark}certified-copy {id} got {status}; it has run {count} times"));
        twice += usize::from(count > 1);
    }
    record.line(format!("{answered} answered, {twice} have run more than once"));
    match (answered, twice) {
        (0..20, _) => CANNOT_RUN,
        (_, 0) => HELD,
        _ => BROKEN,
    }
}
