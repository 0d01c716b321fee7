//! Requests that come again under their id after their client has left, and requests whose client has left: nothing runs twice, and
//! nothing is sent for a client that has gone.

use crate::bulk::raw_server;
use crate::common::*;
use std::io::{Read, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Until then after a close, an attempt for a client that has gone may still begin.
const GONE_AFTER: Duration = Duration::from_millis(100);

/// How many requests of this path have reached a server.
fn count(server: &RecordServer, path: &str) -> usize {
    server.requests.all().iter().filter(|request| request.path().starts_with(path)).count()
}

/// Guards against forgetting an id with the connection of its client.
#[test]
fn an_id_that_comes_again_after_its_client_has_left_does_not_run_twice() {
    for class in ["once", "zoned", "all"] {
        let server = RecordServer::new(|_| {
            thread::sleep(Duration::from_millis(300));
            ok("x")
        });
        let (agent, _discovery) = Agent::with_servers(&[&server]);
        let text = request(class, 9000);
        for delay_ms in [0, 50, 600, 1500] {
            let mut client = Client::connect(&agent);
            client.write(&text);
            server.requests.wait_for(1);
            thread::sleep(Duration::from_millis(delay_ms));
            drop(client);
        }
        thread::sleep(Duration::from_millis(200));
        assert_eq!(count(&server, "/"), 1, "{class}");
    }
}

/// The same after a response: an id is used once.
#[test]
fn an_id_that_comes_again_after_its_response_does_not_run_twice() {
    let server = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with_servers(&[&server]);
    let text = request("once", 9000);
    let statuses: Vec<u16> = (0..3).map(|_| Client::connect(&agent).exchange(&text).status()).collect();
    assert_eq!((statuses[0], count(&server, "/once")), (200, 1), "{statuses:?}");
}

/// A request that has certainly not run may come again.
#[test]
fn an_id_whose_request_has_not_run_may_come_again() {
    let server = RecordServer::new(move |m| {
        if m.path().starts_with("/once") {
            status(503, "X-Rejected: 1\r\n")
        } else {
            ok("x")
        }
    });
    let (agent, _discovery) = Agent::with_servers(&[&server]);
    let text = request("once", 900);
    assert_eq!(Client::connect(&agent).exchange(&text).status(), 503);
    let attempts = count(&server, "/once");
    assert!(attempts > 0);
    assert_eq!(Client::connect(&agent).exchange(&text).status(), 503);
    assert!(count(&server, "/once") > attempts);
}

/// The same if the second copy meets the other process of an upgrade, in either direction.
#[test]
fn an_id_that_comes_again_at_the_other_process_does_not_run_twice() {
    for (class, first_is_new) in [("once", false), ("once", true), ("zoned", false), ("zoned", true)] {
        let server =
            RecordServer::new(|m| if m.path().starts_with("/read") { ok("x") } else { Action::Hang });
        let targets = serving("s", server.address);
        let discovery = Discovery::new(targets.clone());
        let folder = temp_dir();
        let text = config(discovery.address, &targets, SETTINGS, 1024);
        let old = Agent::start_in_dir(&folder, &text);
        let mut at_old: Vec<Client> = (0..3).map(|_| Client::connect(&old)).collect();
        for client in &mut at_old {
            assert_eq!(client.exchange(&request("read", 9000)).status(), 200);
        }
        let reads = count(&server, "/read");
        let before = request(class, 2000);
        at_old[2].write(&before);
        server.requests.wait_for(reads + 1);
        let new = Agent::start_in_dir(&folder, &text);
        // Connections that have just opened may be accepted by either process, so the new one is found by trying.
        let mut at_new = loop {
            let mut client = Client::connect(&new);
            assert_eq!(client.exchange(&request("read", 9000)).status(), 200);
            if is_connected_to(&new, &client) {
                break client;
            }
        };
        let request_text = request(class, 2000);
        let (mut first, mut second) = (at_old.remove(0), at_old.remove(0));
        if first_is_new {
            std::mem::swap(&mut first, &mut at_new);
            second = std::mem::replace(&mut at_new, second);
            drop(at_new);
        } else {
            drop(second);
            second = at_new;
        }
        first.write(&request_text);
        while count(&server, &format!("/{class}")) < 2 {
            thread::yield_now();
        }
        drop(first);
        second.write(&request_text);
        let status = second.read().map(|response| response.status());
        assert_eq!(
            count(&server, &format!("/{class}")),
            2,
            "{class}, first at the new one: {first_is_new}, {status:?}"
        );
        // An id from before the upgrade is known to the new process too.
        if !first_is_new {
            drop(at_old.pop());
            let mut third = Client::from_stream(second.stream);
            third.write(&before);
            let _ = third.read();
            assert_eq!(count(&server, &format!("/{class}")), 2, "{class}: an id from before the upgrade");
        }
    }
}

/// Whether the process holds the other end of the client's connection.
fn is_connected_to(agent: &Agent, client: &Client) -> bool {
    let (client_port, agent_port) =
        (client.stream.local_addr().unwrap().port(), client.stream.peer_addr().unwrap().port());
    let table = std::fs::read_to_string(format!("/proc/{}/net/tcp", agent.child.id())).unwrap();
    let inode = table.lines().find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_ours = fields.get(1)?.ends_with(&format!(":{agent_port:04X}"))
            && fields.get(2)?.ends_with(&format!(":{client_port:04X}"));
        is_ours.then(|| fields.get(9).map(ToString::to_string)).flatten()
    });
    let Some(inode) = inode else { return false };
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", agent.child.id())).unwrap();
    descriptors
        .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
        .any(|target| target.to_string_lossy() == format!("socket:[{inode}]"))
}

/// Writes as much as the kernel takes at once, and closes the connection a moment later. Nothing has been read from it.
fn write_and_leave(agent: &Agent, text: &str) -> Instant {
    let client = Client::connect(agent);
    client.stream.set_nonblocking(true).unwrap();
    let mut left = text.as_bytes();
    let start = Instant::now();
    while !left.is_empty() && start.elapsed() < Duration::from_millis(20) {
        left = &left[(&client.stream).write(left).unwrap_or(0)..];
    }
    drop(client);
    Instant::now()
}

/// Guards against serving what a client has sent ahead after it has gone: its close lies behind bytes that have not been read.
#[test]
fn no_attempt_begins_for_a_client_that_has_gone_behind_unread_bytes() {
    let delay = Duration::from_millis(300);
    let server = RecordServer::new(move |_| {
        thread::sleep(delay);
        status(503, "X-Rejected: 1\r\n")
    });
    let (agent, _discovery) = Agent::with_servers(&[&server]);
    for class in ["once", "read"] {
        let before = count(&server, "/");
        let text: String = (0..4000).map(|_| request(class, 9000)).collect();
        let closed_at = write_and_leave(&agent, &text);
        thread::sleep((closed_at + GONE_AFTER).saturating_duration_since(Instant::now()));
        let until_then = count(&server, "/");
        thread::sleep(delay * 4);
        assert!(until_then > before, "{class}: no request was sent");
        assert_eq!(count(&server, "/"), until_then, "{class}: attempts for a client that had gone");
    }
}

/// The same with long bodies that wait for a server: of one the agent can read all that has arrived, of the other it can't.
#[test]
fn a_long_request_that_waits_for_a_server_is_not_sent_once_its_client_has_gone() {
    for bytes in [500_000, 3_000_000] {
        let received = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&received);
        let server = raw_server(move |mut stream| {
            while let Ok(read @ 1..) = stream.read(&mut [0; 4096]) {
                count.fetch_add(read, Ordering::SeqCst);
            }
        });
        let draining = target("s", server, "DRAINING", 0);
        let discovery = Discovery::new(draining.clone());
        let agent = Agent::start(&config(discovery.address, &draining, SETTINGS, 1024));
        let head = long_head(bytes);
        let closed_at = write_and_leave(&agent, &(head + &"x".repeat(bytes)));
        thread::sleep((closed_at + GONE_AFTER).saturating_duration_since(Instant::now()));
        discovery.set_targets(serving("s", server));
        discovery.sent_versions.wait_for(2);
        thread::sleep(Duration::from_millis(500));
        assert_eq!(received.load(Ordering::SeqCst), 0, "{bytes}: sent for a client that had gone");
    }
}

/// The head of a request with a body of this length.
fn long_head(bytes: usize) -> String {
    let length = format!("Content-Length: {bytes}\r\n\r\n");
    request("once", 9000).replace("Content-Length: 4\r\n\r\nbody", &length)
}

/// A client that stays is served after such a wait if its body can be read ahead. A longer one may be rejected.
#[test]
fn a_long_request_that_waits_for_a_server_is_answered() {
    for (bytes, expected) in [(500_000, &[200][..]), (3_000_000, &[200, 503])] {
        let server = RecordServer::new(|_| ok("x"));
        let draining = target("s", server.address, "DRAINING", 0);
        let discovery = Discovery::new(draining.clone());
        let agent = Agent::start(&config(discovery.address, &draining, SETTINGS, 1024));
        let mut client = Client::connect(&agent);
        let mut output = client.stream.try_clone().unwrap();
        let text = long_head(bytes) + &"x".repeat(bytes);
        let writing = thread::spawn(move || drop(output.write_all(text.as_bytes())));
        thread::sleep(GONE_AFTER * 2);
        discovery.set_targets(serving("s", server.address));
        let status = client.read().map(|response| response.status());
        assert!(status.is_some_and(|status| expected.contains(&status)), "{bytes}: {status:?}");
        writing.join().unwrap();
    }
}

/// Guards against waiting for the rest of a body that has ended: behind it lie other requests, which are not read ahead.
#[test]
fn a_long_request_with_others_behind_it_does_not_wait_until_its_deadline() {
    const BUDGET: Duration = Duration::from_secs(9);
    let server = RecordServer::new(|_| ok("x"));
    let draining = target("s", server.address, "DRAINING", 0);
    let discovery = Discovery::new(draining.clone());
    let agent = Agent::start(&config(discovery.address, &draining, SETTINGS, 1024));
    let client = Client::connect(&agent);
    let bytes = 100_000;
    let text = long_head(bytes) + &"x".repeat(bytes) + &request("read", 9000).repeat(2000);
    let mut output = client.stream.try_clone().unwrap();
    let start = Instant::now();
    let writing = thread::spawn(move || drop(output.write_all(text.as_bytes())));
    thread::sleep(GONE_AFTER * 2);
    discovery.set_targets(serving("s", server.address));
    let mut client = client;
    let status = client.read().map(|response| response.status());
    assert_eq!(status, Some(503));
    assert!(start.elapsed() < BUDGET / 2, "{:?}", start.elapsed());
    let _ = client.stream.shutdown(std::net::Shutdown::Both);
    writing.join().unwrap();
}
