//! A process that was suspended: everything that arrived meanwhile is read before any decision is made without it.

use crate::common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::sleep;
use std::time::Duration;

/// Longer than the timeout of a watch and than any grace period here, so that all of them have expired at the resume.
const SUSPENSION: Duration = Duration::from_millis(4500);

/// A drain that is announced while the process is suspended holds from the first attempt after the resume, although requests that
/// wait in the clients' sockets are read at the same time as the list, or before it.
#[test]
fn a_drain_announced_during_a_suspension_holds_from_the_resume_on() {
    std::thread::scope(|scope| {
        for (case, servers) in [("pushed", 2), ("on_request", 2), ("pushed", 3000)] {
            scope.spawn(move || drain_while_suspended(case, servers));
        }
    });
}

fn drain_while_suspended(case: &str, servers: usize) {
    let (old, new) = (RecordServer::new(|_| ok("old")), RecordServer::new(|_| ok("new")));
    let settings = SETTINGS.replace("on_request", case).replace(":2000}", ":400}");
    assert!(settings.contains(r#""stopSendingWithinMs":400"#));
    // All but two are listed as deleted, which makes the list long without adding servers.
    let deleted = (2..servers).map(|n| target(&format!("gone-{n}"), old.address, "DELETED", 0));
    let deleted: String = deleted.map(|line| format!(",{line}")).collect();
    let both = [serving("s0", old.address), serving("s1", new.address)].join(",") + &deleted;
    let discovery = Discovery::new(both.clone());
    let agent = Agent::start(&config(discovery.address, "", &settings, 1024));
    discovery.requests.wait_for(2);
    let mut clients: Vec<Client> = (0..40).map(|_| Client::connect(&agent)).collect();
    // Both serve, on connections that are kept alive.
    while old.requests.all().is_empty() || new.requests.all().is_empty() {
        clients.iter_mut().for_each(|client| client.write(&request("read", 9000)));
        clients.iter_mut().for_each(|client| assert_eq!(client.read().map(|m| m.status()), Some(200)));
    }
    // A watch is open, and its timeout expires before the resume.
    agent.pause();
    let sent = discovery.sent_versions.all().len();
    discovery.set_targets(
        [target("s0", old.address, "DRAINING", 0), serving("s1", new.address)].join(",") + &deleted,
    );
    discovery.sent_versions.wait_for(sent + 1);
    let before = old.requests.all().len();
    clients.iter_mut().for_each(|client| client.write(&request("once", 9000)));
    sleep(SUSPENSION);
    agent.resume();
    for turn in 0..5 {
        if turn > 0 {
            clients.iter_mut().for_each(|client| client.write(&request("once", 9000)));
        }
        for client in &mut clients {
            let response = client.read().expect("a response");
            assert_eq!((response.status(), &*response.body), (200, &b"new"[..]), "{case}, {servers}");
        }
    }
    assert_eq!(old.requests.all().len(), before, "{case}, {servers}");
}

/// The size of a long response, and that of a request's body.
const LONG: usize = 300_000;
const BODY: usize = 40_000;

/// A server that sends each response in two parts, split as the request's query says; the second part waits for `release`. Records the
/// requests, and those whose second part has been written.
struct TwoPartServer {
    address: SocketAddr,
    requests: Arc<EventLog<String>>,
    written: Arc<EventLog<String>>,
    released: Arc<(Mutex<bool>, Condvar)>,
}

impl TwoPartServer {
    fn new() -> TwoPartServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let server = TwoPartServer {
            address,
            requests: Arc::default(),
            written: Arc::default(),
            released: Arc::default(),
        };
        let (requests, written) = (Arc::clone(&server.requests), Arc::clone(&server.written));
        let released = Arc::clone(&server.released);
        std::thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let (requests, written, released) =
                    (Arc::clone(&requests), Arc::clone(&written), Arc::clone(&released));
                std::thread::spawn(move || {
                    let mut input = BufReader::new(stream.try_clone().unwrap());
                    while let Some(message) = Message::read(&mut input) {
                        let head = |length| format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
                        let case = message.path().split("a=").nth(1).unwrap_or_default().to_string();
                        let (first, second) = match case.split('&').next() {
                            Some("late") => (String::new(), head(4) + "done"),
                            Some("short") => (head(4) + "do", "ne".into()),
                            Some("long") => (head(LONG) + &"x".repeat(LONG / 2), "x".repeat(LONG / 2)),
                            _ => (head(4) + "done", String::new()),
                        };
                        let _ = stream.write_all(first.as_bytes());
                        requests.push(case.clone());
                        if !second.is_empty() {
                            drop(
                                released
                                    .1
                                    .wait_while(released.0.lock().unwrap(), |released| !*released)
                                    .unwrap(),
                            );
                            let _ = stream.write_all(second.as_bytes());
                            written.push(case);
                        }
                    }
                });
            }
        });
        server
    }

    /// Lets all second parts go.
    fn release(&self) {
        *self.released.0.lock().unwrap() = true;
        self.released.1.notify_all();
    }
}

/// What servers and clients write while the process is suspended counts as written in time: a response is forwarded even if its
/// deadline has passed at the resume, and so is the rest of one that had begun; a client's request is served.
#[test]
fn bytes_that_arrive_during_a_suspension_count() {
    std::thread::scope(|scope| {
        for case in ["late", "short", "long", "upload", "silent"] {
            scope.spawn(move || bytes_while_suspended(case));
        }
    });
}

fn bytes_while_suspended(case: &str) {
    let server = TwoPartServer::new();
    let targets = serving("s", server.address);
    let discovery = Discovery::new(targets.clone());
    let agent = Agent::start(&config(discovery.address, &targets, SETTINGS, 1024));
    let mut client = Client::connect(&agent);
    let read_request = |budget| request("read", budget).replace("a=1", &format!("a={case}"));
    let body = "b".repeat(BODY);
    let head = request("once", 9000).replace("Content-Length: 4", &format!("Content-Length: {BODY}"));
    let head = head.strip_suffix("body").unwrap();
    let (before, meanwhile) = match case {
        "late" => (read_request(2000), String::new()),
        "short" | "long" => (read_request(9000), String::new()),
        "upload" => (format!("{head}{}", &body[..BODY / 2]), body[BODY / 2..].to_string()),
        _ => (String::new(), read_request(9000)),
    };
    client.write(&before);
    if meanwhile.is_empty() {
        server.requests.wait_for(1);
    }
    // Gives the agent time to read what has been sent. The order of what follows is forced in any case.
    if case != "short" {
        sleep(Duration::from_millis(100));
    }
    agent.pause();
    server.release();
    if meanwhile.is_empty() {
        server.written.wait_for(1);
    }
    client.write(&meanwhile);
    sleep(SUSPENSION);
    agent.resume();
    let got = client.read().map(|response| (response.status(), response.body.len()));
    assert_eq!(got, Some((200, if case == "long" { LONG } else { 4 })), "{case}");
}

/// Clients that connect while a process is suspended during its shutdown are accepted and served, although the time for accepting
/// has passed at the resume.
#[test]
fn clients_that_connect_during_a_suspended_shutdown_are_served() {
    let server = RecordServer::new(|_| ok("done"));
    let targets = serving("s", server.address);
    let discovery = Discovery::new(targets.clone());
    let agent = Agent::start(&with_ops(&config(discovery.address, &targets, SETTINGS, 1024)));
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
        assert_eq!(client.read().map(|response| response.status()), Some(200));
    }
}
