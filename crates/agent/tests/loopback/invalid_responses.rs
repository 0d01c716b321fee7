//! Invalid responses: each is a failed attempt that may have run. Its connection is closed, and its request does not wait.

use crate::bulk::{raw_server, read_head};
use crate::common::*;
use crate::outcomes::{outcome, outcome_in_time};
use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const BODY: &str = "\r\n\r\nfirst";

/// The head states no valid length, or more than one: the bytes after it may be anything, and reading on would not end. A request
/// that may be repeated is retried elsewhere at once.
#[test]
fn a_response_without_one_valid_length_is_invalid() {
    for head in [
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6",
        "HTTP/1.1 200 OK\r\nContent-Length: 5, 5",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000",
        "HTTP/1.1 200 OK\r\nContent-Length: -5",
        "HTTP/1.1 503 X\r\nX-Rejected: 1",
    ] {
        let text = format!("{head}{BODY}");
        for (class, expected) in [("once", (502, 1)), ("read", (200, 2))] {
            let text = text.clone();
            assert_eq!(outcome(class, move || Action::Respond(text.clone())), expected, "{class}: {head}");
        }
    }
}

/// A response without a length may be a long one that its server writes slowly, so what has come of it in time is forwarded. Its client
/// can tell that it is not whole.
#[test]
fn a_response_without_a_length_that_never_ends_is_forwarded_without_an_end() {
    let text = format!("HTTP/1.1 200 OK{BODY}");
    let first = text.clone();
    assert_eq!(outcome("read", move || Action::Respond(first.clone())), (200, 2));
    let (close, closed) = std::sync::mpsc::channel::<()>();
    let closed = std::sync::Mutex::new(closed);
    let server = raw_server(write_and_reset(closed, text));
    let targets = serving("s", server);
    let discovery = Discovery::new(targets.clone());
    let agent = Agent::start(&config(discovery.address, &targets, SETTINGS, 1024));
    let mut client = Client::connect(&agent);
    let (start, budget) = (Instant::now(), Duration::from_millis(1500));
    client.write(&request("once", 1500));
    let mut input = BufReader::new(client.stream);
    let head = read_head(&mut input).expect("a response");
    assert!(start.elapsed() < budget, "{:?}", start.elapsed());
    assert_eq!((head.status(), head.header("transfer-encoding")), (200, Some("chunked")));
    close.send(()).unwrap();
    let mut body = Vec::new();
    let _ = input.read_to_end(&mut body);
    assert_eq!(String::from_utf8_lossy(&body), "5\r\nfirst\r\n", "the last chunk is missing");
}

/// Writes this in response to a request, and resets the connection once the test says so.
fn write_and_reset(
    closed: std::sync::Mutex<std::sync::mpsc::Receiver<()>>,
    text: String,
) -> impl Fn(TcpStream) + Send + Sync + Clone + 'static {
    let closed = std::sync::Arc::new(closed);
    move |stream| {
        let mut input = BufReader::new(stream.try_clone().unwrap());
        let _ = Message::read(&mut input);
        let _ = (&stream).write_all(text.as_bytes());
        let _ = closed.lock().unwrap().recv_timeout(TEST_TIMEOUT);
        let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
}

/// A response that never ends keeps its request until the time of its client is up, and no longer; a request that may be repeated is
/// sent to another server meanwhile.
#[test]
fn a_response_that_never_ends_does_not_keep_its_request_for_longer_than_its_client_waits() {
    const BUDGET_MS: u64 = 3000;
    for beginning in ["HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", "HTTP/1.1 200 OK\r\nX-Long: ", "H"]
    {
        let first = move || Action::Respond(beginning.into());
        let start = Instant::now();
        assert_eq!(outcome_in_time("once", BUDGET_MS, first), (502, 1), "{beginning}");
        let elapsed = start.elapsed();
        assert!(elapsed < Duration::from_millis(BUDGET_MS + 500), "{beginning}: {elapsed:?}");
        assert_eq!(outcome("read", first), (200, 2), "{beginning}");
    }
}

/// After a 1xx response the final one may take longer than the stall timeout, but an endless row of them is invalid.
#[test]
fn a_limited_number_of_1xx_responses_is_skipped() {
    let (interim, last) =
        ("HTTP/1.1 103 X\r\nX-A: b\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst");
    let parts = move || Action::RespondInParts([interim, last].map(String::from).into());
    assert_eq!(outcome("once", parts), (200, 1));
    let endless = move || Action::Respond(interim.repeat(100_000));
    assert_eq!(outcome("once", endless), (502, 1));
}

/// The server sends each response twice: the next request must not be served with the copy.
#[test]
fn bytes_after_a_response_do_not_serve_the_next_request() {
    let server = RecordServer::new(|m| {
        let body = m.header("X-Call-Id").unwrap_or_default().to_string();
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        Action::Respond(response.repeat(2))
    });
    let (agent, _discovery) = Agent::with_servers(&[&server]);
    let mut client = Client::connect(&agent);
    for n in 1..=20 {
        let text = request("once", 9000);
        let sent = Message::read(&mut text.as_bytes()).unwrap();
        let response = client.exchange(&text);
        assert_eq!(
            (response.status(), response.body.as_slice()),
            (200, sent.header("X-Call-Id").unwrap().as_bytes())
        );
        assert_eq!(server.requests.all().len(), n);
    }
}

/// A copy of a response may arrive a little later, when the next request has been written to the connection, and must not serve that
/// request. Where a request follows within 10 ms of a response, this server sends a copy of that response ahead of its own.
#[test]
fn a_late_copy_of_a_response_does_not_serve_the_next_request() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || {
                let (mut output, mut input) = (stream.try_clone().unwrap(), BufReader::new(stream));
                let mut before = None::<(Instant, String)>;
                while let Some(message) = Message::read(&mut input) {
                    let late = before.take().filter(|(at, _)| at.elapsed() < Duration::from_millis(10));
                    let body = message.header("X-Call-Id").unwrap_or_default();
                    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                    before = Some((Instant::now(), response.clone()));
                    let all = late.map_or(String::new(), |(_, copy)| copy) + &response;
                    if output.write_all(all.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    let targets = serving("s", address);
    let discovery = Discovery::new(targets.clone());
    let agent = Agent::start(&config(discovery.address, &targets, SETTINGS, 1024));
    let mut client = Client::connect(&agent);
    for _ in 0..50 {
        let text = request("once", 9000);
        let sent = Message::read(&mut text.as_bytes()).unwrap();
        let response = client.exchange(&text);
        let body = String::from_utf8_lossy(&response.body).into_owned();
        assert_eq!((response.status(), body.as_str()), (200, sent.header("X-Call-Id").unwrap()));
    }
}

/// If connections always stayed idle for a moment before reuse, faster requests would open more of them. Once a server has long sent
/// no unrequested bytes and has as many connections as a busy server needs, they are reused at once.
#[test]
fn connections_of_a_trusted_server_are_reused_at_once() {
    let server = RecordServer::new(|_| ok("done"));
    let (agent, _discovery) = Agent::with_servers(&[&server]);
    let mut client = Client::connect(&agent);
    // Each connection is idle for longer than a copy of its response may take, and none arrives.
    for _ in 0..140 {
        assert_eq!(client.exchange(&request("once", 9000)).status(), 200);
        thread::sleep(Duration::from_millis(25));
    }
    for _ in 0..2000 {
        assert_eq!(client.exchange(&request("once", 9000)).status(), 200);
    }
    // Three idle ones and the one in use, and some for health probes in between.
    let opened = server.connections_opened.all().len();
    assert!(opened <= 8, "{opened} opened for requests that came one at a time");
}
