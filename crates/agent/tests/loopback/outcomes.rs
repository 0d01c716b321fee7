//! Each row of the protocol's table of outcomes, and the one final response.

use crate::common::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A script that several servers share: `first` handles the first request that any of them receives.
fn first_then_ok(
    first: impl Fn() -> Action + Send + Sync + Clone + 'static,
) -> impl Fn(&Message) -> Action + Send + Sync + Clone + 'static {
    let count = Arc::new(AtomicUsize::new(0));
    move |_| if count.fetch_add(1, Ordering::SeqCst) == 0 { first() } else { ok("later") }
}

fn two_servers(first: impl Fn() -> Action + Send + Sync + Clone + 'static) -> [RecordServer; 2] {
    let script = first_then_ok(first);
    [RecordServer::new(script.clone()), RecordServer::new(script)]
}

fn attempt_count(servers: &[RecordServer]) -> usize {
    servers.iter().map(|b| b.requests.all().len()).sum()
}

/// Sends one request to an agent with two servers, of which `first` handles the first attempt. Returns the status of the response and
/// the number of attempts.
pub fn outcome(class: &str, first: impl Fn() -> Action + Send + Sync + Clone + 'static) -> (u16, usize) {
    outcome_in_time(class, 9000, first)
}

/// The same for a client that waits for this long.
pub fn outcome_in_time(
    class: &str,
    budget_ms: u64,
    first: impl Fn() -> Action + Send + Sync + Clone + 'static,
) -> (u16, usize) {
    let servers = two_servers(first);
    let (agent, _discovery) = Agent::with_servers(&[&servers[0], &servers[1]]);
    let response = Client::connect(&agent).exchange(&request(class, budget_ms));
    (response.status(), attempt_count(&servers))
}

#[test]
fn a_request_and_its_200_are_forwarded_unchanged() {
    let server = RecordServer::new(|_| ok("the answer\r\n\0"));
    let (agent, _discovery) = Agent::with_servers(&[&server]);
    let mut client = Client::connect(&agent);
    let text = request("zoned", 9000);
    let sent = Message::read(&mut text.as_bytes()).unwrap();
    let response = client.exchange(&text);
    assert_eq!((response.status(), response.body.as_slice()), (200, "the answer\r\n\0".as_bytes()));
    let received = &server.requests.all()[0];
    assert_eq!((&received.start_line, &received.body), (&sent.start_line, &sent.body));
    for name in ["X-Call-Id", "Idempotency-Key"] {
        assert_eq!(received.header(name), sent.header(name), "{name}");
        assert!(received.header(name).is_some());
    }
    let left: u64 = received.header("X-Budget-Ms").unwrap().parse().unwrap();
    assert!(left <= 9000);
    // After a response a connection stays idle for a moment, in case more bytes follow.
    thread::sleep(Duration::from_millis(100));
    client.exchange(&request("read", 9000));
    assert_eq!(server.requests.all()[1].start_line, "GET /read?a=1&b=%20 HTTP/1.1");
    assert_eq!(server.connections_opened.all().len(), 1, "the connection is kept alive and reused");
}

#[test]
fn a_request_with_an_error_response_may_have_run() {
    assert_eq!(outcome("once", || status(500, "")), (502, 1));
    assert_eq!(outcome("read", || status(500, "")), (200, 2));
}

#[test]
fn a_rejected_request_has_not_run() {
    assert_eq!(outcome("once", || status(503, "X-Rejected: 1\r\n")), (200, 2));
    assert_eq!(outcome("once", || status(504, "X-Rejected: 1\r\n")), (200, 2));
}

#[test]
fn a_503_without_the_rejected_header_may_have_run() {
    assert_eq!(outcome("once", || status(503, "")), (502, 1));
    assert_eq!(outcome("once", || status(500, "X-Rejected: 1\r\n")), (502, 1));
}

#[test]
fn a_request_whose_connection_was_refused_has_not_run() {
    let server = RecordServer::new(|_| ok("here"));
    let dead = "127.0.0.1:1".parse().unwrap();
    let targets = [serving("dead", dead), serving("here", server.address)].join(",");
    let discovery = Discovery::new(targets.clone());
    let agent = Agent::start(&config(discovery.address, &targets, SETTINGS, 1024));
    let mut client = Client::connect(&agent);
    for _ in 0..10 {
        assert_eq!(client.exchange(&request("once", 9000)).status(), 200);
    }
    assert_eq!(server.requests.all().len(), 10);
}

#[test]
fn a_request_whose_connection_ended_after_it_may_have_run() {
    assert_eq!(outcome("once", || Action::RespondAndClose(String::new())), (502, 1));
    assert_eq!(outcome("read", || Action::RespondAndClose(String::new())), (200, 2));
}

#[test]
fn an_incomplete_response_is_invalid() {
    let cut = || Action::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".into());
    assert_eq!(outcome("once", cut), (502, 1));
    let noise = || Action::RespondAndClose("\u{1}\u{2} no head\r\n\r\n".into());
    assert_eq!(outcome("once", noise), (502, 1));
}

/// A response that states a length over the limit is not read.
#[test]
fn a_response_over_the_size_limit_is_invalid() {
    let long = || {
        let body = "x".repeat(64 * 1024 + 1);
        Action::Respond(format!("HTTP/1.1 200 OK\r\nContent-Length: 33554433\r\n\r\n{body}"))
    };
    assert_eq!(outcome("once", long), (502, 1));
}

/// The server never responds: the client gets one response by its deadline, and the connection to the server is closed and not used
/// again.
#[test]
fn a_request_without_a_server_response_ends_at_the_deadline() {
    let server = RecordServer::new(|m| if m.path().starts_with("/once") { Action::Hang } else { ok("next") });
    let (agent, _discovery) = Agent::with_servers(&[&server]);
    let mut client = Client::connect(&agent);
    let response = client.exchange(&request("once", 1500));
    assert!(matches!(response.status(), 502 | 504), "{}", response.start_line);
    assert_eq!(server.requests.all().len(), 1);
    server.connections_closed.wait_for(1);
    // The next response on the client's connection is that of the next request.
    assert_eq!(client.exchange(&request("read", 9000)).body, b"next");
    assert_eq!(server.connections_opened.all().len(), 2);
}

/// A client gets its response even if no server can be reached.
#[test]
fn without_a_reachable_server_requests_are_rejected() {
    let dead = serving("dead", "127.0.0.1:1".parse().unwrap());
    let discovery = Discovery::new(dead.clone());
    let agent = Agent::start(&config(discovery.address, &dead, SETTINGS, 1024));
    let mut client = Client::connect(&agent);
    for class in ["read", "once", "zoned", "all"] {
        assert_eq!(
            client.exchange(&request(class, 800)).status(),
            503,
            "{class}: nothing ran, so the request is rejected"
        );
    }
}

/// A client closes before it has its response: the agent goes on serving others.
#[test]
fn a_client_that_closes_early_affects_no_other() {
    let server = RecordServer::new(|m| if m.path().starts_with("/once") { Action::Hang } else { ok("x") });
    let (agent, _discovery) = Agent::with_servers(&[&server]);
    let mut closed = Client::connect(&agent);
    closed.write(&request("once", 1500));
    server.requests.wait_for(1);
    drop(closed);
    // The attempt goes on until it ends by itself; then its connection is closed.
    server.connections_closed.wait_for(1);
    assert_eq!(Client::connect(&agent).exchange(&request("read", 9000)).status(), 200);
}

/// Guards against writing a request to an idle connection that the server has already closed: the request would never be read, but
/// look as if it may have run.
#[test]
fn a_closed_idle_connection_is_not_reused() {
    let server = RecordServer::new(|_| {
        Action::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx".into())
    });
    let (agent, _discovery) = Agent::with_servers(&[&server]);
    let mut client = Client::connect(&agent);
    for n in 1..=20 {
        assert_eq!(client.exchange(&request("once", 9000)).status(), 200, "request {n}");
        server.connections_closed.wait_for(n);
    }
    assert_eq!(server.requests.all().len(), 20);
}

#[test]
fn an_invalid_load_report_is_no_failure() {
    let server = RecordServer::new(|_| {
        Action::Respond("HTTP/1.1 200 OK\r\nX-Load-Report: qps=,,queue\r\nContent-Length: 1\r\n\r\nx".into())
    });
    let (agent, _discovery) = Agent::with_servers(&[&server]);
    assert_eq!(Client::connect(&agent).exchange(&request("once", 9000)).status(), 200);
}
