//! Each row of the protocol's table of outcomes, and the one final answer.

use crate::common::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A script for several backends: the first request that any of them hears is treated by `first`.
fn first_then_ok(
    first: impl Fn() -> Action + Send + Sync + Clone + 'static,
) -> impl Fn(&Message) -> Action + Send + Sync + Clone + 'static {
    let count = Arc::new(AtomicUsize::new(0));
    move |_| if count.fetch_add(1, Ordering::SeqCst) == 0 { first() } else { ok("later") }
}

fn two(first: impl Fn() -> Action + Send + Sync + Clone + 'static) -> [RecordServer; 2] {
    let script = first_then_ok(first);
    [RecordServer::new(script.clone()), RecordServer::new(script)]
}

fn heard(backends: &[RecordServer]) -> usize {
    backends.iter().map(|b| b.requests.all().len()).sum()
}

/// One request of a class against two backends, the first message treated by `first`: the answer's status and
/// how many attempts the backends heard.
pub fn outcome(class: &str, first: impl Fn() -> Action + Send + Sync + Clone + 'static) -> (u16, usize) {
    let backends = two(first);
    let (agent, _discovery) = Agent::with_servers(&[&backends[0], &backends[1]]);
    let answer = Client::connect(&agent).exchange(&request(class, 9000));
    (answer.status(), heard(&backends))
}

#[test]
fn a_200_is_passed_on_unchanged_and_so_is_the_request() {
    let backend = RecordServer::new(|_| ok("the answer\r\n\0"));
    let (agent, _discovery) = Agent::with_servers(&[&backend]);
    let mut client = Client::connect(&agent);
    let text = request("zoned", 9000);
    let sent = Message::read(&mut text.as_bytes()).unwrap();
    let answer = client.exchange(&text);
    assert_eq!((answer.status(), answer.body.as_slice()), (200, "the answer\r\n\0".as_bytes()));
    let got = &backend.requests.all()[0];
    assert_eq!((&got.start_line, &got.body), (&sent.start_line, &sent.body));
    for name in ["X-Call-Id", "Idempotency-Key"] {
        assert_eq!(got.header(name), sent.header(name), "{name}");
        assert!(got.header(name).is_some());
    }
    let left: u64 = got.header("X-Budget-Ms").unwrap().parse().unwrap();
    assert!(left <= 9000);
    // One that has just brought an answer rests for a moment, in case that was not all of it.
    thread::sleep(Duration::from_millis(100));
    client.exchange(&request("read", 9000));
    assert_eq!(backend.requests.all()[1].start_line, "GET /read?a=1&b=%20 HTTP/1.1");
    assert_eq!(backend.connections_opened.all().len(), 1, "a connection is kept and used again");
}

#[test]
fn an_error_may_have_run() {
    assert_eq!(outcome("once", || status(500, "")), (502, 1));
    assert_eq!(outcome("read", || status(500, "")), (200, 2));
}

#[test]
fn turned_away_never_ran() {
    assert_eq!(outcome("once", || status(503, "X-Rejected: 1\r\n")), (200, 2));
    assert_eq!(outcome("once", || status(504, "X-Rejected: 1\r\n")), (200, 2));
}

#[test]
fn a_503_that_does_not_say_so_may_have_run() {
    assert_eq!(outcome("once", || status(503, "")), (502, 1));
    assert_eq!(outcome("once", || status(500, "X-Rejected: 1\r\n")), (502, 1));
}

#[test]
fn a_refused_connection_never_ran() {
    let backend = RecordServer::new(|_| ok("here"));
    let dead = "127.0.0.1:1".parse().unwrap();
    let lines = [serving("dead", dead), serving("here", backend.address)].join(",");
    let discovery = Discovery::new(lines.clone());
    let agent = Agent::start(&config(discovery.address, &lines, SETTINGS, 1024));
    let mut client = Client::connect(&agent);
    for _ in 0..10 {
        assert_eq!(client.exchange(&request("once", 9000)).status(), 200);
    }
    assert_eq!(backend.requests.all().len(), 10);
}

#[test]
fn a_connection_that_ends_after_the_request_may_have_run() {
    assert_eq!(outcome("once", || Action::RespondAndClose(String::new())), (502, 1));
    assert_eq!(outcome("read", || Action::RespondAndClose(String::new())), (200, 2));
}

#[test]
fn half_an_answer_is_none() {
    let cut = || Action::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".into());
    assert_eq!(outcome("once", cut), (502, 1));
    let noise = || Action::RespondAndClose("\u{1}\u{2} no head\r\n\r\n".into());
    assert_eq!(outcome("once", noise), (502, 1));
}

/// Nobody reads an answer that is said to be longer than any may be.
#[test]
fn an_answer_over_the_most_is_none() {
    let long = || {
        let body = "x".repeat(64 * 1024 + 1);
        Action::Respond(format!("HTTP/1.1 200 OK\r\nContent-Length: 33554433\r\n\r\n{body}"))
    };
    assert_eq!(outcome("once", long), (502, 1));
}

/// A silent backend hangs nothing: the answer comes within the client's time, once, and the connection that
/// was given up is closed and not used again.
#[test]
fn silence_is_answered_at_the_deadline_once() {
    let backend =
        RecordServer::new(|m| if m.path().starts_with("/once") { Action::Hang } else { ok("next") });
    let (agent, _discovery) = Agent::with_servers(&[&backend]);
    let mut client = Client::connect(&agent);
    let answer = client.exchange(&request("once", 1500));
    assert!(matches!(answer.status(), 502 | 504), "{}", answer.start_line);
    assert_eq!(backend.requests.all().len(), 1);
    backend.connections_closed.wait_for(1);
    // The next thing on the connection belongs to the next request.
    assert_eq!(client.exchange(&request("read", 9000)).body, b"next");
    assert_eq!(backend.connections_opened.all().len(), 2);
}

/// The promise of an answer does not hang on there being a server that can be reached.
#[test]
fn with_no_server_left_the_answer_comes_at_once() {
    let dead = serving("dead", "127.0.0.1:1".parse().unwrap());
    let discovery = Discovery::new(dead.clone());
    let agent = Agent::start(&config(discovery.address, &dead, SETTINGS, 1024));
    let mut client = Client::connect(&agent);
    for class in ["read", "once", "zoned", "all"] {
        assert_eq!(
            client.exchange(&request(class, 800)).status(),
            503,
            "{class}: nothing ran, so it is a refusal"
        );
    }
}

/// A client that closes is nobody to answer; the agent goes on with the others.
#[test]
fn a_client_that_goes_takes_nothing_with_it() {
    let backend = RecordServer::new(|m| if m.path().starts_with("/once") { Action::Hang } else { ok("x") });
    let (agent, _discovery) = Agent::with_servers(&[&backend]);
    let mut gone = Client::connect(&agent);
    gone.write(&request("once", 1500));
    backend.requests.wait_for(1);
    drop(gone);
    // The attempt is waited for to its own end, then its connection goes.
    backend.connections_closed.wait_for(1);
    assert_eq!(Client::connect(&agent).exchange(&request("read", 9000)).status(), 200);
}

/// Guards against writing a request to a connection that the backend has already closed: nobody would read it,
/// and it would look as if it may have run.
#[test]
fn a_pooled_connection_that_was_closed_is_not_used() {
    let backend = RecordServer::new(|_| {
        Action::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx".into())
    });
    let (agent, _discovery) = Agent::with_servers(&[&backend]);
    let mut client = Client::connect(&agent);
    for n in 1..=20 {
        assert_eq!(client.exchange(&request("once", 9000)).status(), 200, "request {n}");
        backend.connections_closed.wait_for(n);
    }
    assert_eq!(backend.requests.all().len(), 20);
}

#[test]
fn a_report_that_cannot_be_read_is_no_failure() {
    let backend = RecordServer::new(|_| {
        Action::Respond("HTTP/1.1 200 OK\r\nX-Load-Report: qps=,,queue\r\nContent-Length: 1\r\n\r\nx".into())
    });
    let (agent, _discovery) = Agent::with_servers(&[&backend]);
    assert_eq!(Client::connect(&agent).exchange(&request("once", 9000)).status(), 200);
}
