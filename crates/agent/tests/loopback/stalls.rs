//! A process that was held up: what had come by the time it goes on is read before anything is decided without it.

use crate::common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::sleep;
use std::time::Duration;

/// Longer than a watch is waited for, and than any grace here: at the waking all of that is over.
const HELD_UP: Duration = Duration::from_millis(4500);

/// A drain that was told while the process stood still binds from its first send on: requests that wait for it in the
/// sockets of its clients are read in the same turn as the list, or before it.
#[test]
fn a_drain_told_while_the_process_stood_still_is_kept_from_the_waking_on() {
    std::thread::scope(|scope| {
        for (way, servers) in [("pushed", 2), ("on_request", 2), ("pushed", 3000)] {
            scope.spawn(move || drain_while_held_up(way, servers));
        }
    });
}

fn drain_while_held_up(way: &str, servers: usize) {
    let (old, new) = (RecordServer::new(|_| ok("old")), RecordServer::new(|_| ok("new")));
    let settings = SETTINGS.replace("on_request", way).replace(":2000}", ":400}");
    assert!(settings.contains(r#""stopSendingWithinMs":400"#));
    // More than two are told as gone, so that nothing else goes to them and the list is a long one.
    let gone = (2..servers).map(|n| target(&format!("gone-{n}"), old.address, "DELETED", 0));
    let gone: String = gone.map(|line| format!(",{line}")).collect();
    let both = [serving("s0", old.address), serving("s1", new.address)].join(",") + &gone;
    let discovery = Discovery::new(both.clone());
    let agent = Agent::start(&config(discovery.address, "", &settings, 1024));
    discovery.requests.wait_for(2);
    let mut clients: Vec<Client> = (0..40).map(|_| Client::connect(&agent)).collect();
    // Both serve, on connections that are kept.
    while old.requests.all().is_empty() || new.requests.all().is_empty() {
        clients.iter_mut().for_each(|client| client.write(&request("read", 9000)));
        clients.iter_mut().for_each(|client| assert_eq!(client.read().map(|m| m.status()), Some(200)));
    }
    // A watch is out, and its time runs out before the waking.
    agent.pause();
    let told = discovery.sent_versions.all().len();
    discovery.set_targets(
        [target("s0", old.address, "DRAINING", 0), serving("s1", new.address)].join(",") + &gone,
    );
    discovery.sent_versions.wait_for(told + 1);
    let before = old.requests.all().len();
    clients.iter_mut().for_each(|client| client.write(&request("once", 9000)));
    sleep(HELD_UP);
    agent.resume();
    for turn in 0..5 {
        if turn > 0 {
            clients.iter_mut().for_each(|client| client.write(&request("once", 9000)));
        }
        for client in &mut clients {
            let answer = client.read().expect("an answer");
            assert_eq!((answer.status(), &*answer.body), (200, &b"new"[..]), "{way}, {servers}");
        }
    }
    assert_eq!(old.requests.all().len(), before, "{way}, {servers}");
}

/// A long answer, and a body of a request.
const LONG: usize = 300_000;
const BODY: usize = 40_000;

/// A backend that answers each request by its query, in two parts: the second comes once it is told to go on. Tells what
/// requests have come, and who has been written the second part.
struct Halves {
    address: SocketAddr,
    requests: Arc<EventLog<String>>,
    written: Arc<EventLog<String>>,
    go: Arc<(Mutex<bool>, Condvar)>,
}

impl Halves {
    fn new() -> Halves {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let halves =
            Halves { address, requests: Arc::default(), written: Arc::default(), go: Arc::default() };
        let (heard, written) = (Arc::clone(&halves.requests), Arc::clone(&halves.written));
        let go = Arc::clone(&halves.go);
        std::thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let (heard, written, go) = (Arc::clone(&heard), Arc::clone(&written), Arc::clone(&go));
                std::thread::spawn(move || {
                    let mut input = BufReader::new(stream.try_clone().unwrap());
                    while let Some(message) = Message::read(&mut input) {
                        let head = |length| format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
                        let way = message.path().split("a=").nth(1).unwrap_or_default().to_string();
                        let (first, second) = match way.split('&').next() {
                            Some("late") => (String::new(), head(4) + "done"),
                            Some("short") => (head(4) + "do", "ne".into()),
                            Some("long") => (head(LONG) + &"x".repeat(LONG / 2), "x".repeat(LONG / 2)),
                            _ => (head(4) + "done", String::new()),
                        };
                        let _ = stream.write_all(first.as_bytes());
                        heard.push(way.clone());
                        if !second.is_empty() {
                            drop(go.1.wait_while(go.0.lock().unwrap(), |go| !*go).unwrap());
                            let _ = stream.write_all(second.as_bytes());
                            written.push(way);
                        }
                    }
                });
            }
        });
        halves
    }

    fn go_on(&self) {
        *self.go.0.lock().unwrap() = true;
        self.go.1.notify_all();
    }
}

/// What servers and clients wrote while the process stood still is no silence: an answer that was there in time is passed
/// on, be it that its time is over at the waking, and so is the rest of one that had begun; a client that has spoken is
/// heard.
#[test]
fn what_came_while_the_process_stood_still_counts() {
    std::thread::scope(|scope| {
        for way in ["late", "short", "long", "upload", "silent"] {
            scope.spawn(move || heard_while_held_up(way));
        }
    });
}

fn heard_while_held_up(way: &str) {
    let backend = Halves::new();
    let line = serving("s", backend.address);
    let discovery = Discovery::new(line.clone());
    let agent = Agent::start(&config(discovery.address, &line, SETTINGS, 1024));
    let mut client = Client::connect(&agent);
    let ask = |budget| request("read", budget).replace("a=1", &format!("a={way}"));
    let body = "b".repeat(BODY);
    let head = request("once", 9000).replace("Content-Length: 4", &format!("Content-Length: {BODY}"));
    let head = head.strip_suffix("body").unwrap();
    let (before, meanwhile) = match way {
        "late" => (ask(2000), String::new()),
        "short" | "long" => (ask(9000), String::new()),
        "upload" => (format!("{head}{}", &body[..BODY / 2]), body[BODY / 2..].to_string()),
        _ => (String::new(), ask(9000)),
    };
    client.write(&before);
    if meanwhile.is_empty() {
        backend.requests.wait_for(1);
    }
    // Time for the agent to read what there is; whether it has, the order of what follows is forced.
    if way != "short" {
        sleep(Duration::from_millis(100));
    }
    agent.pause();
    backend.go_on();
    if meanwhile.is_empty() {
        backend.written.wait_for(1);
    }
    client.write(&meanwhile);
    sleep(HELD_UP);
    agent.resume();
    let got = client.read().map(|answer| (answer.status(), answer.body.len()));
    assert_eq!(got, Some((200, if way == "long" { LONG } else { 4 })), "{way}");
}

/// Clients that came while a process that is told to end stood still are let in and served, though it has stopped
/// listening by its clock.
#[test]
fn who_came_while_the_process_stood_still_at_its_end_is_served() {
    let backend = RecordServer::new(|_| ok("done"));
    let line = serving("s", backend.address);
    let discovery = Discovery::new(line.clone());
    let agent = Agent::start(&with_ops(&config(discovery.address, &line, SETTINGS, 1024)));
    agent.terminate();
    while agent.ops_request("GET", "/-/ready").status() == 200 {
        std::thread::yield_now();
    }
    agent.pause();
    let mut clients: Vec<Client> = (0..20).map(|_| Client::connect(&agent)).collect();
    clients.iter_mut().for_each(|client| client.write(&request("once", 9000)));
    sleep(Duration::from_secs(1));
    agent.resume();
    for client in &mut clients {
        assert_eq!(client.read().map(|answer| answer.status()), Some(200));
    }
}
