//! Graceful shutdown at SIGTERM: accepted requests get their responses, new connections are served for a while, and the process exits
//! with code 0.

use crate::common::*;
use std::time::{Duration, Instant};

/// A client that connected before the listener closed may send its request after that: no other listener is left for it.
#[test]
fn a_connection_without_a_request_outlives_the_listener() {
    let (server, release) = RecordServer::gated();
    let (mut agent, _discovery) = Agent::with_servers(&[&server]);
    let mut busy = Client::connect(&agent);
    busy.write(&request("once", 9000));
    server.requests.wait_for(1);
    let mut idle = Client::connect(&agent);
    assert_eq!(idle.exchange(&request("read", 9000)).status(), 200);
    let mut new = Client::connect(&agent);
    agent.terminate();
    // Idle connections are closed once the listener is. The pause leaves time for the agent to close others by mistake.
    assert!(idle.read().is_none());
    std::thread::sleep(Duration::from_millis(100));
    assert!(std::net::TcpStream::connect(agent.address).is_err());
    assert_eq!(new.exchange(&request("read", 9000)).status(), 200);
    assert!(new.read().is_none(), "and is closed after its response");
    release.send(()).unwrap();
    assert_eq!(busy.read().map(|m| m.status()), Some(200));
    assert_eq!(agent.wait_for_exit(), Some(0));
}

#[test]
fn sigterm_finishes_requests_and_serves_new_connections() {
    let (server, release) = RecordServer::gated();
    let (mut agent, _discovery) = Agent::with_servers(&[&server]);
    let mut idle = Client::connect(&agent);
    assert_eq!(idle.exchange(&request("read", 9000)).status(), 200);
    let mut busy = Client::connect(&agent);
    busy.write(&request("once", 9000));
    server.requests.wait_for(2);
    agent.terminate();
    // The agent has noticed the signal once a new connection's response closes it.
    let closing = loop {
        let response = Client::connect(&agent).exchange(&request("read", 9000));
        assert_eq!(response.status(), 200);
        if response.header("Connection") == Some("close") {
            break true;
        }
    };
    assert!(closing);
    // A connection that was idle at the signal may still be used.
    let response = idle.exchange(&request("read", 9000));
    assert_eq!((response.status(), response.header("Connection")), (200, Some("close")));
    release.send(()).unwrap();
    let response = busy.read().expect("an accepted request gets its response");
    assert_eq!((response.status(), response.body.as_slice()), (200, "done".as_bytes()));
    assert_eq!(agent.wait_for_exit(), Some(0));
}

/// Settings with deadlines as short as at some sites.
fn short_deadlines() -> String {
    SETTINGS.replace(r#""aimMs":5000,"deadlineMs":10000"#, r#""aimMs":600,"deadlineMs":1200"#)
}

fn start(server: &RecordServer, settings: &str) -> (Agent, Discovery) {
    let targets = serving("s", server.address);
    let discovery = Discovery::new(targets.clone());
    (Agent::start(&config(discovery.address, &targets, settings, 1024)), discovery)
}

/// A request that arrives after SIGTERM keeps its whole time: the process must not exit before its response.
#[test]
fn a_request_on_the_last_open_connection_gets_its_response() {
    let server = RecordServer::new(|m| if m.path().starts_with("/once") { Action::Hang } else { ok("x") });
    let (mut agent, _discovery) = start(&server, &short_deadlines());
    let mut idle = Client::connect(&agent);
    assert_eq!(idle.exchange(&request("read", 1200)).status(), 200);
    let mut new = Client::connect(&agent);
    let mut last = Client::connect(&agent);
    // The agent has accepted both before the signal.
    assert_eq!(idle.exchange(&request("read", 1200)).status(), 200);
    agent.terminate();
    assert!(idle.read().is_none(), "idle connections are closed with the listener");
    // Its server never responds, so it ends at its deadline, which is later than the longest deadline counted from the signal.
    new.write(&request("once", 1200));
    assert!(new.read().is_some(), "its response is pending");
    last.write("");
    assert_eq!(agent.wait_for_exit(), Some(0));
}

/// The supervisor kills the process 0.7 s after the longest deadline, of which at most 3 s count. All servers hang, and discovery
/// reports them as draining. Requests from before the signal, after it, and after the listener has closed must get their responses
/// before that, and the process must have exited.
#[test]
fn all_requests_get_responses_before_the_process_is_killed() {
    for deadline_ms in [200, 3000, 10_000] {
        let server =
            RecordServer::new(|m| if m.path().starts_with("/once") { Action::Hang } else { ok("x") });
        let deadlines = format!(r#""aimMs":100,"deadlineMs":{deadline_ms}"#);
        let settings = SETTINGS.replace(r#""aimMs":5000,"deadlineMs":10000"#, &deadlines);
        let (mut agent, discovery) = start(&server, &settings);
        let mut idle = Client::connect(&agent);
        assert_eq!(idle.exchange(&request("read", 150)).status(), 200);
        let mut clients: Vec<Client> = (0..5).map(|_| Client::connect(&agent)).collect();
        let mut unused = Client::connect(&agent);
        assert_eq!(idle.exchange(&request("read", 150)).status(), 200, "by now all have been accepted");
        let text = move || request("once", deadline_ms);
        clients[0].write(&text());
        agent.terminate();
        let sending = std::thread::spawn(move || {
            clients[1].write(&text());
            discovery.set_targets(target("s", server.address, "DRAINING", 0));
            clients[2].write(&(text() + &text()));
            assert!(idle.read().is_none(), "idle connections are closed with the listener");
            clients[3].write(&text());
            clients[4].write(&(text() + &text()));
            for (number, responses) in [1, 1, 2, 1, 2].into_iter().enumerate() {
                for _ in 0..responses {
                    let status = clients[number].read().map(|m| m.status());
                    assert!(status.is_some_and(|s| s >= 500), "{deadline_ms} ms, {number}: {status:?}");
                }
                assert!(clients[number].read().is_none(), "{deadline_ms} ms, {number}: one response each");
            }
            assert!(unused.read().is_none());
        });
        std::thread::sleep(Duration::from_millis(deadline_ms.min(3000) + 700));
        // Has no effect on a process that has exited.
        let _ = agent.child.kill();
        assert_eq!(agent.wait_for_exit(), Some(0), "{deadline_ms} ms: it was killed");
        sending.join().unwrap();
    }
}

/// A shutdown must not count on a deadline that a reload has removed: the kill comes by the deadlines that are left. The request has
/// a server that hangs, and arrives so late that only the schedule of the shutdown can end it in time.
#[test]
fn a_removed_deadline_does_not_delay_the_responses_of_a_shutdown() {
    const LONGEST_MS: u64 = 1200;
    let server = RecordServer::new(|_| Action::Hang);
    let targets = serving("s", server.address);
    let discovery = Discovery::new(targets.clone());
    let config = |settings: &str| with_ops(&config(discovery.address, &targets, settings, 1024));
    let class = r#"{"name":"read","effect":"idempotent","aimMs":600,"deadlineMs":"#;
    let shorter = short_deadlines();
    let longer = shorter.replace(&format!("{class}{LONGEST_MS}"), &format!("{class}3000"));
    assert_ne!(longer, shorter);
    let mut agent = Agent::start(&config(&longer));
    agent.reload(&config(&shorter));
    agent.wait_for_metric("app_reloads_ok_total", 1.0);
    let mut client = Client::connect(&agent);
    let text = request("once", LONGEST_MS);
    let (beginning, rest) = text.split_at(text.len() / 2);
    client.write(beginning);
    agent.terminate();
    let terminated_at = Instant::now();
    let at = |ms| std::thread::sleep((terminated_at + Duration::from_millis(ms)) - Instant::now());
    // Its own time ends 0.3 s after the kill.
    at(LONGEST_MS - 200);
    client.write(rest);
    at(LONGEST_MS + 700);
    let _ = agent.child.kill();
    let status = client.read().map(|response| response.status());
    assert!(status.is_some_and(|status| status >= 500), "{status:?}");
}

/// A request that has been read behind another gets a response too, before the connection is closed.
#[test]
fn a_pipelined_request_is_answered_before_the_close() {
    let (server, release) = RecordServer::gated();
    let (mut agent, _discovery) = Agent::with_servers(&[&server]);
    let mut client = Client::connect(&agent);
    client.write(&request("once", 9000));
    server.requests.wait_for(1);
    client.write(&request("read", 9000));
    agent.terminate();
    // After this loop the agent has noticed the signal, and has read what was written before it.
    while Client::connect(&agent).exchange(&request("read", 9000)).header("Connection") != Some("close") {}
    release.send(()).unwrap();
    let first = client.read().expect("the first response");
    assert_eq!((first.status(), first.header("Connection")), (200, None));
    let second = client.read().expect("the second response");
    assert_eq!((second.status(), second.header("Connection")), (200, Some("close")));
    assert!(client.read().is_none());
    assert_eq!(agent.wait_for_exit(), Some(0));
}

/// A long response that its client reads slowly is not cut off, even if it is the last one of its connection, and however much of it
/// the kernel can buffer.
#[test]
fn a_client_that_reads_its_last_response_slowly_gets_all_of_it() {
    let server = RecordServer::new(|m| match String::from_utf8_lossy(&m.body).parse() {
        Ok(length) => ok(&"y".repeat(length)),
        Err(_) => ok("x"),
    });
    let (mut agent, _discovery) = Agent::with_servers(&[&server]);
    let mut idle = Client::connect(&agent);
    let lengths: Vec<usize> = (0..24).map(|n| 100_000 + n * 10_000).collect();
    let mut slow: Vec<Client> = lengths
        .iter()
        .map(|_| {
            let small = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
            small.set_recv_buffer_size(2048).unwrap();
            small.connect(&agent.address.into()).unwrap();
            Client::from_stream(small.into())
        })
        .collect();
    assert_eq!(idle.exchange(&request("read", 9000)).status(), 200);
    agent.terminate();
    assert!(idle.read().is_none());
    for (client, length) in slow.iter_mut().zip(&lengths) {
        client.write(&request("once", 9000).replace("4\r\n\r\nbody", &format!("6\r\n\r\n{length}")));
    }
    server.requests.wait_for(1 + lengths.len());
    // Longer than the timeout of a lingering close.
    std::thread::sleep(Duration::from_millis(1500));
    for (client, length) in slow.iter_mut().zip(&lengths) {
        let response = client.read().unwrap_or_else(|| panic!("not all of {length}"));
        assert_eq!((response.header("Connection"), response.body.len()), (Some("close"), *length));
    }
    drop(slow);
    assert_eq!(agent.wait_for_exit(), Some(0));
}

/// At the signal a part of a request has arrived on an idle connection: the agent waits for the rest and serves it.
#[test]
fn a_request_that_is_arriving_at_the_shutdown_is_served() {
    let server = RecordServer::new(|_| ok("x"));
    let (mut agent, _discovery) = Agent::with_servers(&[&server]);
    let (mut idle, mut slow) = (Client::connect(&agent), Client::connect(&agent));
    assert_eq!(slow.exchange(&request("read", 9000)).status(), 200);
    let text = request("read", 9000);
    let (beginning, rest) = text.split_at(text.len() / 2);
    slow.write(beginning);
    // This response shows that the first half has been read.
    assert_eq!(idle.exchange(&request("read", 9000)).status(), 200);
    agent.terminate();
    assert!(idle.read().is_none());
    slow.write(rest);
    assert_eq!(slow.read().map(|m| m.status()), Some(200));
    assert_eq!(agent.wait_for_exit(), Some(0));
}

/// Bytes that arrive after a close reset the connection, and a client that reads slowly would lose the rest of its response. So a
/// request that crosses the close is read and dropped, and reaches no server.
#[test]
fn a_request_that_crosses_the_close_does_not_destroy_the_response() {
    const LONG: usize = 60_000;
    let server =
        RecordServer::new(|m| if m.path().starts_with("/once") { ok(&"y".repeat(LONG)) } else { ok("x") });
    let targets = serving("s", server.address);
    let discovery = Discovery::new(targets.clone());
    let mut agent = Agent::start(&with_ops(&config(discovery.address, &targets, SETTINGS, 1024)));
    let mut idle = Client::connect(&agent);
    assert_eq!(idle.exchange(&request("read", 9000)).status(), 200);
    // A small receive buffer: what the client has not read stays with the agent.
    let small = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    small.set_recv_buffer_size(2048).unwrap();
    small.connect(&agent.address.into()).unwrap();
    let mut slow = Client::from_stream(small.into());
    assert_eq!(idle.exchange(&request("read", 9000)).status(), 200);
    agent.terminate();
    assert!(idle.read().is_none());
    slow.write(&request("once", 9000));
    server.requests.wait_for(3);
    agent.wait_for_metric("app_served_total{class=\"once\"}", 1.0);
    agent.wait_for_metric("app_in_flight", 0.0);
    slow.write(&request("read", 9000));
    let response = slow.read().expect("the complete response");
    assert_eq!((response.header("Connection"), response.body.len()), (Some("close"), LONG));
    assert!(slow.read().is_none());
    drop(slow);
    assert_eq!(agent.wait_for_exit(), Some(0));
    assert_eq!(server.requests.all().len(), 3);
}
