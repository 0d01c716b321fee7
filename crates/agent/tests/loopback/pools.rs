//! The project's own configuration: several pools, fronts and routes in one process, and how they change.
use crate::common::*;
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

fn file(sockets: usize, front: &str, rest: &[String]) -> String {
    format!(
        "default_pool = \"main\"\n[ops]\nlisten = \"127.0.0.1:0\"\n[limits]\nsockets = {sockets}\n{CLASSES}\n{front}{}",
        rest.concat()
    )
}

const FRONT: &str = "[[front]]\nname = \"desk\"\nlisten = \"127.0.0.1:0\"\n";

fn paths(backend: &RecordServer) -> Vec<String> {
    backend
        .requests
        .all()
        .iter()
        .map(|message| message.path().split('?').next().unwrap().to_string())
        .collect()
}

/// One pool's servers all hang and take what they can get of connections, memory and requests; the other's answers go on,
/// and what finds no room is turned away at once.
#[test]
fn a_pool_that_hangs_leaves_the_other_its_share() {
    let (quick, mute) = (RecordServer::new(|_| ok("quick")), RecordServer::new(|_| Action::Hang));
    let rest = [pool("main", quick.address), pool("mute", mute.address), route("once", "mute")];
    let agent = Agent::start_with_toml(&temp_dir(), &file(128, FRONT, &rest));
    let mut hung = Vec::new();
    let mut refused = 0;
    // 40 clients may be here at once, of whom 10 are the other pool's own.
    while refused == 0 {
        let mut client = Client::connect(&agent);
        client.write(&request("once", 10_000));
        hung.push(client);
        if hung.len() > 30 {
            let answer = hung.pop().unwrap().read().expect("an answer at once");
            assert_eq!(answer.status(), 503);
            assert!(answer.header("retry-after").is_some_and(|after| after.parse::<f64>().unwrap() > 0.0));
            refused += 1;
        }
    }
    assert_eq!(hung.len(), 30);
    for _ in 0..50 {
        assert_eq!(Client::connect(&agent).exchange(&request("read", 5000)).status(), 200);
    }
    assert!(paths(&mute).iter().all(|path| path == "/once"));
}

/// What is under way in a pool that is removed ends there as it began; what comes after goes where the new file says.
#[test]
fn a_reload_removes_a_pool_with_requests_under_way() {
    let (main, (old, release)) = (RecordServer::new(|_| ok("main")), RecordServer::gated());
    let folder = temp_dir();
    let both = [pool("main", main.address), pool("old", old.address), route("once", "old")];
    let agent = Agent::start_with_toml(&folder, &file(1024, FRONT, &both));
    let mut client = Client::connect(&agent);
    client.write(&request("once", 9000));
    old.requests.wait_for(1);
    agent.reload(&file(1024, FRONT, &both[..1]));
    agent.wait_for_metric("app_reloads_ok_total", 1.0);
    for _ in 0..10 {
        let answer = Client::connect(&agent).exchange(&request("once", 5000));
        assert_eq!((answer.status(), answer.body), (200, b"main".to_vec()));
    }
    release.send(()).unwrap();
    let answer = client.read().expect("an answer");
    assert_eq!((answer.status(), answer.body), (200, b"done".to_vec()));
    assert_eq!(old.requests.all().len(), 1, "nothing new has come");
    agent.wait_for_metric("app_record_servers_known", 1.0);
}

/// A pool that nobody has told its servers refuses at once, with a time to come back, and serves once it has a list.
#[test]
fn a_route_to_a_pool_without_a_list_is_refused_at_once() {
    let (main, late) = (RecordServer::new(|_| ok("main")), RecordServer::new(|_| ok("late")));
    let discovery = Discovery::new(serving("l", late.address));
    discovery.set_down(true);
    let platform = format!(
        "[[pool]]\nname = \"late\"\nmembership = \"platform\"\ndiscovery = \"{}\"\n",
        discovery.address
    );
    let rest = [pool("main", main.address), platform, route("once", "late")];
    let agent = Agent::start_with_toml(&temp_dir(), &file(1024, FRONT, &rest));
    let answer = Client::connect(&agent).exchange(&request("once", 9000));
    assert_eq!(answer.status(), 503);
    let after: f64 = answer.header("retry-after").expect("a time to come back").parse().unwrap();
    assert!(after > 0.0 && after < 2.0, "{after}");
    assert_eq!(Client::connect(&agent).exchange(&request("read", 9000)).status(), 200);
    discovery.set_down(false);
    let served = |_: &u32| Client::connect(&agent).exchange(&request("once", 9000)).status() == 200;
    assert!((0..100_000).any(|n| served(&n)), "its list has come");
}

/// The new process takes the socket of the front that both have over, and opens the other itself.
#[test]
fn a_handover_to_a_file_that_adds_a_front() {
    let backend = RecordServer::new(|_| ok("main"));
    let folder = temp_dir();
    let rest = [pool("main", backend.address)];
    let mut old = Agent::start_with_toml(&folder, &file(1024, FRONT, &rest));
    let extra = "[[front]]\nname = \"extra\"\nlisten = \"127.0.0.1:0\"\n";
    // The old one waits under the address that its own file has; the new one asks for it by that name.
    let new = Agent::start_with_toml(&folder, &file(1024, &format!("{FRONT}{extra}"), &rest));
    assert_eq!(new.fronts[0], old.address, "it listens on the same socket");
    assert_ne!(new.fronts[1], old.address);
    old.terminate();
    assert_eq!(old.wait_for_exit(), Some(0));
    for front in &new.fronts {
        assert_eq!(Client::connect_to(*front).exchange(&request("read", 5000)).status(), 200);
    }
}

/// Under load, a hundred signals with a file each, half of them broken: no request is lost, and what is in force at the
/// end is the last file that was sound.
#[test]
fn a_storm_of_signals_loses_nothing() {
    let (first, second) = (RecordServer::new(|_| ok("first")), RecordServer::new(|_| ok("second")));
    let sound = |address| file(1024, FRONT, &[pool("main", address)]);
    let agent = Agent::start_with_toml(&temp_dir(), &sound(first.address));
    let over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (address, over) = (agent.address, Arc::clone(&over));
            thread::spawn(move || {
                let mut served = 0;
                let mut client = Client::connect_to(address);
                while !over.load(Ordering::Relaxed) {
                    assert_eq!(client.exchange(&request("read", 9000)).status(), 200);
                    served += 1;
                }
                served
            })
        })
        .collect();
    for n in 0..50 {
        let broken =
            sound(second.address).replace("aim_ms = 5000", if n % 2 == 0 { "aim_ms = 0" } else { "aim = " });
        agent.reload(&broken);
        agent.reload(&sound(if n % 2 == 0 { second.address } else { first.address }));
    }
    // Signals that come while one waits are one: the last file is read all the same.
    agent.reload(&sound(second.address));
    let told = || {
        let before = second.requests.all().len();
        let answer = Client::connect(&agent).exchange(&request("read", 9000));
        answer.body == b"second" && second.requests.all().len() > before
    };
    assert!((0..100_000).any(|_| told()), "the last sound file is in force");
    let (taken, _) = agent.reloads();
    agent.reload("no = [toml");
    while agent.reloads().1 == 0.0 || agent.reloads().0 < taken {
        thread::yield_now();
    }
    over.store(true, Ordering::Relaxed);
    let served: Vec<u32> =
        clients.into_iter().map(|client| client.join().expect("nothing was lost")).collect();
    assert!(served.iter().all(|&served| served > 0));
    assert!((0..20).all(|_| Client::connect(&agent).exchange(&request("read", 9000)).body == b"second"));
}

/// What a process can't change while it runs is turned down with its key, and nothing else of the file is taken either.
#[test]
fn a_file_that_changes_a_front_is_turned_down() {
    let (first, second) = (RecordServer::new(|_| ok("first")), RecordServer::new(|_| ok("second")));
    let agent = Agent::start_with_toml(&temp_dir(), &file(1024, FRONT, &[pool("main", first.address)]));
    let other = FRONT.replace("desk", "office");
    agent.reload(&file(1024, &other, &[pool("main", second.address)]));
    agent.wait_for_metric("app_reloads_failed_total", 1.0);
    assert_eq!(Client::connect(&agent).exchange(&request("read", 9000)).body, b"first");
}

/// Routes see the front by which a request came.
#[test]
fn a_front_has_its_own_pool() {
    let (main, other) = (RecordServer::new(|_| ok("main")), RecordServer::new(|_| ok("other")));
    let fronts = format!("{FRONT}[[front]]\nname = \"yard\"\nlisten = \"127.0.0.1:0\"\n");
    let by_front = "[[route]]\nname = \"yard\"\nfront = \"yard\"\npool = \"other\"\n".to_string();
    let rest = [pool("main", main.address), pool("other", other.address), by_front];
    let agent = Agent::start_with_toml(&temp_dir(), &file(1024, &fronts, &rest));
    assert_eq!(Client::connect_to(agent.fronts[0]).exchange(&request("read", 9000)).body, b"main");
    assert_eq!(Client::connect_to(agent.fronts[1]).exchange(&request("read", 9000)).body, b"other");
}

fn heronhoist(arguments: &[&str]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_heronhoist"));
    let output = command.args(arguments).env_remove("LB_CONFIG").output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (output.status.code(), text(output.stdout), text(output.stderr))
}

/// The exit codes and places that the documentation promises, for files and for a start.
#[test]
fn the_command_line_keeps_its_word() {
    let backend = SocketAddr::from(([127, 0, 0, 1], 9));
    let text = file(1024, FRONT, &[pool("main", backend)]);
    let written = |text: &str| {
        let path = config_file(text).with_extension("toml");
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_string()
    };
    let (sound, bad) = (written(&text), written(&text.replace("aim_ms = 5000", "aim_ms = 0")));
    let (code, out, _) = heronhoist(&["check", &sound]);
    assert!(code == Some(0) && out.contains("main-1 at 127.0.0.1:9"), "{out}");
    let (code, _, err) = heronhoist(&["check", &sound, &bad]);
    assert_eq!((code, err.lines().count()), (Some(1), 2), "each fault has a line: {err}");
    assert!(err.contains(&format!("{bad}:10:10: class[0].aim_ms: found 0; wanted")), "{err}");
    let (code, _, err) = heronhoist(&["run", "--config", &bad]);
    assert_eq!((code, err.lines().count()), (Some(1), 1), "a bad start is one line: {err}");
    assert_eq!(heronhoist(&["check", "/no/such/file.toml"]).0, Some(2));
    assert_eq!(heronhoist(&["run"]).0, Some(2));
    assert_eq!(heronhoist(&["fly"]).0, Some(2));
    let (code, out, _) = heronhoist(&["config", "--config", &sound]);
    assert!(code == Some(0) && out.contains("pool[0].drain_grace_ms = 500.0  # default"), "{out}");
    assert!(heronhoist(&["--version"]).1.starts_with("heronhoist "));
}

/// The example in the repository is sound.
#[test]
fn the_example_is_sound() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/heronhoist.toml");
    assert_eq!(heronhoist(&["check", path]).0, Some(0));
}
