//! Spoilt answers: a failed attempt that may have run, whose connection is closed and on which nothing waits.

use crate::common::*;
use crate::outcomes::outcome;
use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

const BODY: &str = "\r\n\r\nfirst";

/// A head that does not say once where its answer ends, or says it wrongly: what is read behind it may be anything, and
/// to read on would last for ever. A request that may be
/// repeated is sent elsewhere at once.
#[test]
fn an_answer_whose_end_is_not_stated_once_is_none() {
    for head in [
        "HTTP/1.1 200 OK",
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
        let act = format!("{head}{BODY}");
        for (class, expected) in [("once", (502, 1)), ("read", (200, 2))] {
            let act = act.clone();
            assert_eq!(outcome(class, move || Action::Respond(act.clone())), expected, "{class}: {head}");
        }
    }
}

/// An answer that has begun and goes no further would hold its request to the end of its time.
#[test]
fn an_answer_that_stalls_is_given_up() {
    for begun in ["HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", "HTTP/1.1 200 OK\r\nX-Long: ", "H"] {
        assert_eq!(outcome("once", move || Action::Respond(begun.into())), (502, 1), "{begun}");
        assert_eq!(outcome("read", move || Action::Respond(begun.into())), (200, 2), "{begun}");
    }
}

/// An answer 1xx comes ahead of the one that counts, which may take longer than an answer may stall; but not for ever.
#[test]
fn answers_1xx_are_passed_over_within_bounds() {
    let (ahead, last) =
        ("HTTP/1.1 103 X\r\nX-A: b\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst");
    let parts = move || Action::RespondInParts([ahead, last].map(String::from).into());
    assert_eq!(outcome("once", parts), (200, 1));
    let endless = move || Action::Respond(ahead.repeat(100_000));
    assert_eq!(outcome("once", endless), (502, 1));
}

/// What comes behind a good answer belongs to nobody: the next request must not be served with it.
#[test]
fn what_comes_behind_an_answer_is_not_the_next_one() {
    let backend = RecordServer::new(|m| {
        let body = m.header("X-Call-Id").unwrap_or_default().to_string();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        Action::Respond(answer.repeat(2))
    });
    let (agent, _discovery) = Agent::with_servers(&[&backend]);
    let mut client = Client::connect(&agent);
    for n in 1..=20 {
        let text = request("once", 9000);
        let sent = Message::read(&mut text.as_bytes()).unwrap();
        let answer = client.exchange(&text);
        assert_eq!(
            (answer.status(), answer.body.as_slice()),
            (200, sent.header("X-Call-Id").unwrap().as_bytes())
        );
        assert_eq!(backend.requests.all().len(), n);
    }
}

/// The second answer may come a little after the first, when the next request has been written to its connection: that
/// must not be served with it. Where the next request comes within 10 ms of an answer, the server here lets a copy of that
/// answer go ahead of its own.
#[test]
fn a_second_answer_that_crosses_the_next_request_is_not_its_answer() {
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
                    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                    before = Some((Instant::now(), answer.clone()));
                    let all = late.map_or(String::new(), |(_, copy)| copy) + &answer;
                    if output.write_all(all.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    let line = serving("s", address);
    let discovery = Discovery::new(line.clone());
    let agent = Agent::start(&config(discovery.address, &line, SETTINGS, 1024));
    let mut client = Client::connect(&agent);
    for _ in 0..50 {
        let text = request("once", 9000);
        let sent = Message::read(&mut text.as_bytes()).unwrap();
        let answer = client.exchange(&text);
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        assert_eq!((answer.status(), body.as_str()), (200, sent.header("X-Call-Id").unwrap()));
    }
}

/// Did a busy server's connections always rest, more would be opened the faster requests come. One that has long sent nothing
/// too much is asked again on those that it has, once they are as many as a busy server needs.
#[test]
fn a_server_that_sends_nothing_too_much_is_asked_again_without_a_rest() {
    let backend = RecordServer::new(|_| ok("done"));
    let (agent, _discovery) = Agent::with_servers(&[&backend]);
    let mut client = Client::connect(&agent);
    // Each rests for longer than a second answer may take, and shows that none comes.
    for _ in 0..140 {
        assert_eq!(client.exchange(&request("once", 9000)).status(), 200);
        thread::sleep(Duration::from_millis(25));
    }
    for _ in 0..2000 {
        assert_eq!(client.exchange(&request("once", 9000)).status(), 200);
    }
    // Three that rest and the one at work, and some for probes that come between.
    let opened = backend.connections_opened.all().len();
    assert!(opened <= 8, "{opened} opened for requests that came one at a time");
}
