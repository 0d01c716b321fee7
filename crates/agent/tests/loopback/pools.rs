//! The project's own configuration format: several pools, fronts and routes in one process, and how reloads change them.
use crate::common::*;
use crate::shutdown_streaming::{begin_long_response, long_server, Pace, LONG};
use std::io::Read;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

const CLASSES: &str = r#"
[[class]]
name = "read"
effect = "idempotent"
aim_ms = 5000
deadline_ms = 10000
[[class]]
name = "once"
effect = "at_most_once"
aim_ms = 5000
deadline_ms = 10000
"#;

fn pool(name: &str, address: SocketAddr) -> String {
    format!("[[pool]]\nname = \"{name}\"\nmembership = \"static\"\n[[pool.server]]\nname = \"{name}-1\"\naddress = \"{address}\"\n")
}

fn route(class: &str, pool: &str) -> String {
    format!("[[route]]\nname = \"{class}\"\nclass = \"{class}\"\npool = \"{pool}\"\n")
}

fn config_text(sockets: usize, front: &str, sections: &[String]) -> String {
    format!(
        "default_pool = \"main\"\n[ops]\nlisten = \"127.0.0.1:0\"\n[limits]\nsockets = {sockets}\n{CLASSES}\n{front}{}",
        sections.concat()
    )
}

const FRONT: &str = "[[front]]\nname = \"desk\"\nlisten = \"127.0.0.1:0\"\n";

fn request_paths(server: &RecordServer) -> Vec<String> {
    server
        .requests
        .all()
        .iter()
        .map(|message| message.path().split('?').next().unwrap().to_string())
        .collect()
}

/// The server of one pool hangs, so the pool occupies all connections, memory and requests it can get. The other pool must keep
/// serving, and requests beyond the quota are rejected at once.
#[test]
fn hanging_pool_leaves_the_other_its_share() {
    let (fast, hanging) = (RecordServer::new(|_| ok("fast")), RecordServer::new(|_| Action::Hang));
    let sections = [pool("main", fast.address), pool("hanging", hanging.address), route("once", "hanging")];
    let agent = Agent::start_with_toml(&temp_dir(), &config_text(128, FRONT, &sections));
    let mut waiting = Vec::new();
    let mut rejected = 0;
    // 40 requests may be in flight at once, of which 10 are reserved for the other pool.
    while rejected == 0 {
        let mut client = Client::connect(&agent);
        client.write(&request("once", 10_000));
        waiting.push(client);
        if waiting.len() > 30 {
            let response = waiting.pop().unwrap().read().expect("a response at once");
            assert_eq!(response.status(), 503);
            assert!(response
                .header("retry-after")
                .is_some_and(|seconds| seconds.parse::<f64>().unwrap() > 0.0));
            rejected += 1;
        }
    }
    assert_eq!(waiting.len(), 30);
    for _ in 0..50 {
        assert_eq!(Client::connect(&agent).exchange(&request("read", 5000)).status(), 200);
    }
    assert!(request_paths(&hanging).iter().all(|path| path == "/once"));
}

/// Requests in flight in a pool that a reload removes complete there; later ones follow the new file.
#[test]
fn reload_removes_a_pool_with_requests_in_flight() {
    let (main, (old, release)) = (RecordServer::new(|_| ok("main")), RecordServer::gated());
    let folder = temp_dir();
    let both = [pool("main", main.address), pool("old", old.address), route("once", "old")];
    let agent = Agent::start_with_toml(&folder, &config_text(1024, FRONT, &both));
    let mut client = Client::connect(&agent);
    client.write(&request("once", 9000));
    old.requests.wait_for(1);
    agent.reload(&config_text(1024, FRONT, &both[..1]));
    agent.wait_for_metric("app_reloads_ok_total", 1.0);
    for _ in 0..10 {
        let response = Client::connect(&agent).exchange(&request("once", 5000));
        assert_eq!((response.status(), response.body), (200, b"main".to_vec()));
    }
    release.send(()).unwrap();
    let response = client.read().expect("a response");
    assert_eq!((response.status(), response.body), (200, b"done".to_vec()));
    assert_eq!(old.requests.all().len(), 1, "no new request was sent to it");
    agent.wait_for_metric("app_record_servers_known", 1.0);
}

/// A reload must not cut off a long response that is received from a server of a pool that it removes.
#[test]
fn reload_removes_a_pool_that_receives_a_long_response() {
    let (folder, other) = (temp_dir(), RecordServer::new(|_| ok("other")));
    let both =
        [pool("main", other.address), pool("old", long_server(Pace::Slow, false)), route("once", "old")];
    let agent = Agent::start_with_toml(&folder, &config_text(1024, FRONT, &both));
    let mut client = Client::connect(&agent);
    let mut input = begin_long_response(&mut client, 9000);
    agent.reload(&config_text(1024, FRONT, &[pool("main", other.address)]));
    agent.wait_for_metric("app_reloads_ok_total", 1.0);
    assert_eq!(Client::connect(&agent).exchange(&request("once", 5000)).body, b"other");
    let mut body = vec![0; LONG];
    input.read_exact(&mut body).expect("the whole response");
}

/// A pool without an endpoint list rejects requests at once, with Retry-After, and serves once it has a list.
#[test]
fn pool_without_a_list_rejects_at_once() {
    let (main, late) = (RecordServer::new(|_| ok("main")), RecordServer::new(|_| ok("late")));
    let discovery = Discovery::new(serving("l", late.address));
    discovery.set_down(true);
    let platform = format!(
        "[[pool]]\nname = \"late\"\nmembership = \"platform\"\ndiscovery = \"{}\"\n",
        discovery.address
    );
    let sections = [pool("main", main.address), platform, route("once", "late")];
    let agent = Agent::start_with_toml(&temp_dir(), &config_text(1024, FRONT, &sections));
    let response = Client::connect(&agent).exchange(&request("once", 9000));
    assert_eq!(response.status(), 503);
    let retry_after: f64 = response.header("retry-after").expect("a Retry-After header").parse().unwrap();
    assert!(retry_after > 0.0 && retry_after < 2.0, "{retry_after}");
    assert_eq!(Client::connect(&agent).exchange(&request("read", 9000)).status(), 200);
    discovery.set_down(false);
    let served = |_: &u32| Client::connect(&agent).exchange(&request("once", 9000)).status() == 200;
    assert!((0..100_000).any(|n| served(&n)), "the pool serves once it has its list");
}

/// The successor process takes over the socket of the front that both configurations have, and opens the added front itself.
#[test]
fn hot_restart_with_an_added_front() {
    let server = RecordServer::new(|_| ok("main"));
    let folder = temp_dir();
    let sections = [pool("main", server.address)];
    let mut old = Agent::start_with_toml(&folder, &config_text(1024, FRONT, &sections));
    let extra = "[[front]]\nname = \"extra\"\nlisten = \"127.0.0.1:0\"\n";
    // Both files state 127.0.0.1:0, which is part of the name of the Unix socket at which the successor finds the predecessor.
    let new = Agent::start_with_toml(&folder, &config_text(1024, &format!("{FRONT}{extra}"), &sections));
    assert_eq!(new.fronts[0], old.address, "it uses the same socket");
    assert_ne!(new.fronts[1], old.address);
    old.terminate();
    assert_eq!(old.wait_for_exit(), Some(0));
    for front in &new.fronts {
        assert_eq!(Client::connect_to(*front).exchange(&request("read", 5000)).status(), 200);
    }
}

/// Under load, a hundred reload signals with a file each, half of them invalid: no request may be lost, and the last
/// valid file is in force at the end.
#[test]
fn storm_of_reloads_loses_no_request() {
    let (first, second) = (RecordServer::new(|_| ok("first")), RecordServer::new(|_| ok("second")));
    let valid = |address| config_text(1024, FRONT, &[pool("main", address)]);
    let agent = Agent::start_with_toml(&temp_dir(), &valid(first.address));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (address, is_over) = (agent.address, Arc::clone(&is_over));
            thread::spawn(move || {
                let mut served = 0;
                let mut client = Client::connect_to(address);
                while !is_over.load(Ordering::Relaxed) {
                    assert_eq!(client.exchange(&request("read", 9000)).status(), 200);
                    served += 1;
                }
                served
            })
        })
        .collect();
    for n in 0..50 {
        let invalid =
            valid(second.address).replace("aim_ms = 5000", if n % 2 == 0 { "aim_ms = 0" } else { "aim = " });
        agent.reload(&invalid);
        agent.reload(&valid(if n % 2 == 0 { second.address } else { first.address }));
    }
    // Signals that arrive while one is pending are merged; the last file is read nevertheless.
    agent.reload(&valid(second.address));
    let is_in_force = || {
        let before = second.requests.all().len();
        let response = Client::connect(&agent).exchange(&request("read", 9000));
        response.body == b"second" && second.requests.all().len() > before
    };
    assert!((0..100_000).any(|_| is_in_force()), "the last valid file is in force");
    let (applied, _) = agent.reloads();
    agent.reload("no = [toml");
    while agent.reloads().1 == 0.0 || agent.reloads().0 < applied {
        thread::yield_now();
    }
    is_over.store(true, Ordering::Relaxed);
    let served: Vec<u32> =
        clients.into_iter().map(|client| client.join().expect("no request was lost")).collect();
    assert!(served.iter().all(|&served| served > 0));
    assert!((0..20).all(|_| Client::connect(&agent).exchange(&request("read", 9000)).body == b"second"));
}

/// A file that changes what a running process can't change is rejected completely.
#[test]
fn reload_that_changes_a_front_is_rejected() {
    let (first, second) = (RecordServer::new(|_| ok("first")), RecordServer::new(|_| ok("second")));
    let agent =
        Agent::start_with_toml(&temp_dir(), &config_text(1024, FRONT, &[pool("main", first.address)]));
    let other = FRONT.replace("desk", "office");
    agent.reload(&config_text(1024, &other, &[pool("main", second.address)]));
    agent.wait_for_metric("app_reloads_failed_total", 1.0);
    assert_eq!(Client::connect(&agent).exchange(&request("read", 9000)).body, b"first");
}

/// A route can select the pool by the front that received the request.
#[test]
fn route_selects_the_pool_by_front() {
    let (main, other) = (RecordServer::new(|_| ok("main")), RecordServer::new(|_| ok("other")));
    let fronts = format!("{FRONT}[[front]]\nname = \"yard\"\nlisten = \"127.0.0.1:0\"\n");
    let by_front = "[[route]]\nname = \"yard\"\nfront = \"yard\"\npool = \"other\"\n".to_string();
    let sections = [pool("main", main.address), pool("other", other.address), by_front];
    let agent = Agent::start_with_toml(&temp_dir(), &config_text(1024, &fronts, &sections));
    assert_eq!(Client::connect_to(agent.fronts[0]).exchange(&request("read", 9000)).body, b"main");
    assert_eq!(Client::connect_to(agent.fronts[1]).exchange(&request("read", 9000)).body, b"other");
}

fn heronhoist(arguments: &[&str]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_heronhoist"));
    let output = command.args(arguments).env_remove("LB_CONFIG").output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (output.status.code(), text(output.stdout), text(output.stderr))
}

/// The documented exit codes and error positions, for checked files and for a start.
#[test]
fn command_line_reports_exit_codes_and_error_positions() {
    let server = SocketAddr::from(([127, 0, 0, 1], 9));
    let text = config_text(1024, FRONT, &[pool("main", server)]);
    let write_config = |text: &str| {
        let path = config_file(text).with_extension("toml");
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_string()
    };
    let (valid, invalid) = (write_config(&text), write_config(&text.replace("aim_ms = 5000", "aim_ms = 0")));
    let (code, out, _) = heronhoist(&["check", &valid]);
    assert!(code == Some(0) && out.contains("main-1 at 127.0.0.1:9"), "{out}");
    let (code, _, err) = heronhoist(&["check", &valid, &invalid]);
    assert_eq!((code, err.lines().count()), (Some(1), 2), "one line per error: {err}");
    assert!(err.contains(&format!("{invalid}:10:10: class[0].aim_ms: found 0; wanted")), "{err}");
    let (code, _, err) = heronhoist(&["run", "--config", &invalid]);
    assert_eq!((code, err.lines().count()), (Some(1), 1), "a failed start prints one line: {err}");
    assert_eq!(heronhoist(&["check", "/no/such/file.toml"]).0, Some(2));
    assert_eq!(heronhoist(&["run"]).0, Some(2));
    assert_eq!(heronhoist(&["fly"]).0, Some(2));
    let (code, out, _) = heronhoist(&["config", "--config", &valid]);
    assert!(code == Some(0) && out.contains("pool[0].drain_grace_ms = 500.0  # default"), "{out}");
    assert!(heronhoist(&["--version"]).1.starts_with("heronhoist "));
}

/// The example in the repository is valid.
#[test]
fn example_is_valid() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/heronhoist.toml");
    assert_eq!(heronhoist(&["check", path]).0, Some(0));
}
