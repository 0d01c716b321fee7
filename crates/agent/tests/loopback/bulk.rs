//! Long bodies and long answers: relayed as they come, never held whole, and every form that HTTP/1.1 gives them.

use crate::common::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;

const LONG: usize = 32 << 20;
const PIECE: usize = 256 << 10;

/// A backend whose connections are each given to `serve`.
fn raw(serve: impl Fn(TcpStream) + Send + Sync + Clone + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

fn agent(backend: SocketAddr) -> (Agent, Discovery) {
    let discovery = Discovery::new(serving("s", backend));
    let agent = Agent::start(&with_ops(&config(discovery.address, &serving("s", backend), SETTINGS, 1024)));
    (agent, discovery)
}

fn head(input: &mut impl BufRead) -> Option<Message> {
    let mut text = String::new();
    while input.read_line(&mut text).ok()? > 0 {
        if text.ends_with("\r\n\r\n") {
            let text = text.replace("Content-Length", "X-Length").replace("content-length", "x-length");
            return Message::read(&mut text.as_bytes());
        }
    }
    None
}

/// The head of a `once` that says how its body is framed.
fn post(framing: &str) -> String {
    request("once", 9000).replace("Content-Length: 4\r\n\r\nbody", &format!("{framing}\r\n\r\n"))
}

/// The most memory that the agent has held, in bytes.
fn peak(agent: &Agent) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", agent.child.id())).unwrap();
    let line = status.lines().find(|l| l.starts_with("VmHWM")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() << 10
}

/// The rest of an answer is sent only once its beginning has been read: nothing may be held back or gathered.
#[test]
fn a_long_answer_is_passed_on_as_it_comes() {
    for framed in ["Content-Length: 33554432", "Transfer-Encoding: chunked"] {
        let (go, wait) = mpsc::channel::<()>();
        let wait = std::sync::Arc::new(std::sync::Mutex::new(wait));
        let chunked = framed.starts_with("Transfer");
        let backend = raw(move |stream| {
            let mut input = BufReader::new(stream.try_clone().unwrap());
            let mut output = stream;
            if head(&mut input).is_none() {
                return;
            }
            write!(output, "HTTP/1.1 200 OK\r\n{framed}\r\n\r\n").unwrap();
            let piece = vec![b'x'; PIECE];
            for n in 0..LONG / PIECE {
                if n == 1 {
                    let _ = wait.lock().unwrap().recv_timeout(TEST_TIMEOUT);
                }
                if chunked {
                    write!(output, "{PIECE:x};n=1\r\n").unwrap();
                }
                output.write_all(&piece).unwrap();
                if chunked {
                    output.write_all(b"\r\n").unwrap();
                }
            }
            if chunked {
                output.write_all(b"0\r\nX-Trailer: 1\r\n\r\n").unwrap();
            }
        });
        let (agent, _discovery) = agent(backend);
        // The program's own size is no part of what it holds.
        let at_rest = peak(&agent);
        let mut client = Client::connect(&agent);
        client.write(&request("read", 9000));
        let mut input = BufReader::new(client.stream.try_clone().unwrap());
        let answer = head(&mut input).unwrap();
        assert_eq!(answer.status(), 200);
        let mut body = vec![0; PIECE / 2];
        input.read_exact(&mut body).unwrap();
        assert_eq!(agent.metric("app_in_flight"), Some(1.0));
        go.send(()).unwrap();
        let mut left = LONG - body.len();
        if chunked {
            // Framing comes on top: read to the last chunk.
            let mut tail = Vec::new();
            while !tail.ends_with(b"0\r\n\r\n") {
                let n = input.read(&mut body).unwrap();
                assert!(n > 0, "cut short");
                tail.extend_from_slice(&body[..n]);
                tail.drain(..tail.len().saturating_sub(5));
            }
        }
        while left > 0 && !chunked {
            let n = input.read(&mut body).unwrap();
            assert!(n > 0, "{left} bytes are missing");
            left -= n;
        }
        agent.wait_for_metric("app_served_total{class=\"read\"}", 1.0);
        let grown = peak(&agent) - at_rest;
        assert!(grown < LONG / 2, "{grown} bytes held");
    }
}

/// The client sends the rest only once the backend has its beginning.
#[test]
fn a_long_body_is_sent_on_as_it_comes() {
    for chunked in [false, true] {
        let (begun, heard) = mpsc::channel::<()>();
        let backend = raw(move |stream| {
            let mut input = BufReader::new(stream.try_clone().unwrap());
            let mut output = stream;
            let Some(head) = head(&mut input) else { return };
            assert!(head.header("X-Call-Id").is_some());
            let (mut left, mut piece) = (LONG, vec![0; PIECE]);
            if chunked {
                left = usize::MAX;
            }
            let mut tail = Vec::new();
            while left > 0 && !tail.ends_with(b"0\r\n\r\n") {
                let n = input.read(&mut piece).unwrap();
                assert!(n > 0, "cut short");
                begun.send(()).unwrap();
                left -= n;
                tail.extend_from_slice(&piece[..n]);
                tail.drain(..tail.len().saturating_sub(5));
            }
            output.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone").unwrap();
            let _ = head_of_next(&mut input);
        });
        let (agent, _discovery) = agent(backend);
        let at_rest = peak(&agent);
        let mut client = Client::connect(&agent);
        let framing =
            if chunked { "Transfer-Encoding: chunked".into() } else { format!("Content-Length: {LONG}") };
        client.write(&post(&format!("{framing}\r\nExpect: 100-continue")));
        let mut input = BufReader::new(client.stream.try_clone().unwrap());
        assert_eq!(head(&mut input).map(|m| m.status()), Some(100));
        let piece = vec![b'x'; PIECE];
        for n in 0..LONG / PIECE {
            if n == 1 {
                heard.recv_timeout(TEST_TIMEOUT).expect("the beginning has gone on");
                assert_eq!(agent.metric("app_attempts_total{class=\"once\"}"), Some(0.0));
            }
            if chunked {
                client.write(&format!("{PIECE:x};name=\"v\"\r\n"));
            }
            client.stream.write_all(&piece).unwrap();
            if chunked {
                client.write("\r\n");
            }
        }
        if chunked {
            client.write("0\r\nX-Trailer: 1\r\n\r\n");
        }
        assert_eq!(Message::read(&mut input).map(|m| (m.status(), m.body)), Some((200, b"done".to_vec())));
        assert_eq!(agent.metric("app_attempts_total{class=\"once\"}"), Some(1.0));
        let grown = peak(&agent) - at_rest;
        assert!(grown < LONG / 2, "{grown} bytes held");
    }
}

fn head_of_next(input: &mut impl BufRead) -> Option<Message> {
    head(input)
}

/// An answer that breaks off must look broken to its client, and counts as failed.
#[test]
fn a_long_answer_that_breaks_is_cut() {
    for framed in ["Content-Length: 1000000", "Transfer-Encoding: chunked"] {
        let backend = raw(move |stream| {
            let mut input = BufReader::new(stream.try_clone().unwrap());
            let mut output = stream;
            if head(&mut input).is_some() {
                let piece = "x".repeat(PIECE);
                let _ = write!(output, "HTTP/1.1 200 OK\r\n{framed}\r\n\r\n{PIECE:x}\r\n{piece}");
            }
        });
        let (agent, _discovery) = agent(backend);
        let mut client = Client::connect(&agent);
        client.write(&request("once", 9000));
        let mut all = Vec::new();
        let _ = client.stream.read_to_end(&mut all);
        assert!(all.starts_with(b"HTTP/1.1 200"), "{framed}");
        assert!(all.len() < 1_000_000 && !all.ends_with(b"0\r\n\r\n"), "{framed}");
        agent.wait_for_metric("app_failed_total{class=\"once\"}", 1.0);
        assert_eq!(agent.metric("app_in_flight"), Some(0.0));
    }
}

/// A body whose beginning is still held may be sent again where its class allows; one that has gone on may not.
#[test]
fn a_long_body_is_sent_again_only_while_it_is_held() {
    let (heard, connections) = mpsc::channel();
    let backend = raw(move |stream| {
        let mut input = BufReader::new(stream);
        // Takes part of the body and breaks, which no attempt outlives.
        if head(&mut input).is_some() {
            let mut piece = vec![0; PIECE];
            let _ = input.read_exact(&mut piece);
            heard.send(()).unwrap();
        }
    });
    let (agent, _discovery) = agent(backend);
    let mut client = Client::connect(&agent);
    let text =
        request("all", 9000).replace("Content-Length: 4\r\n\r\nbody", "Content-Length: 4000000\r\n\r\n");
    client.write(&text);
    let mut output = client.stream.try_clone().unwrap();
    // The agent answers before it has all: what is still written is read and thrown away.
    thread::spawn(move || {
        for _ in 0..400 {
            if output.write_all(&[b'x'; 10_000]).is_err() {
                return;
            }
        }
    });
    // Nothing has run, so that the client may ask again.
    assert_eq!(client.read().map(|m| m.status()), Some(503));
    assert_eq!(connections.iter().take(1).count(), 1);
    assert!(connections.try_recv().is_err(), "it was sent again");
}

#[test]
fn a_body_without_end_is_turned_away() {
    let backend = raw(|stream| {
        let mut input = BufReader::new(stream);
        let _ = std::io::copy(&mut input, &mut std::io::sink());
    });
    let (agent, _discovery) = agent(backend);
    let mut client = Client::connect(&agent);
    client.write(&post("Transfer-Encoding: chunked"));
    let mut output = client.stream.try_clone().unwrap();
    thread::spawn(move || {
        let piece = format!("{PIECE:x}\r\n{}\r\n", "x".repeat(PIECE));
        while output.write_all(piece.as_bytes()).is_ok() {}
    });
    assert_eq!(client.read().map(|m| m.status()), Some(413));
}

/// A client that stops in the middle of its body is let go, and no server is blamed.
#[test]
fn a_body_that_stops_is_an_error() {
    let backend = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = agent(backend.address);
    for framing in ["Content-Length: 100", "Content-Length: 1000000", "Transfer-Encoding: chunked"] {
        let mut client = Client::connect(&agent);
        client.write(&post(framing));
        client.write("5\r\nx");
        assert_eq!(client.read().map(|m| m.status()), Some(408), "{framing}");
    }
    assert_eq!(agent.metric("app_record_servers_excluded"), Some(0.0));
}

/// Requests that are sent without waiting for answers get theirs in order, whatever their bodies look like.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let backend = RecordServer::new(|m| ok(m.header("X-Call-Id").unwrap()));
    let (agent, _discovery) = agent(backend.address);
    let mut client = Client::connect(&agent);
    let hidden = "GET /read HTTP/1.1\r\n\r\n";
    let all = [
        request("read", 9000),
        post(&format!("Content-Length: {}", hidden.len())) + hidden,
        post("Transfer-Encoding: chunked") + "3;a=b\r\nabc\r\n0\r\nX-T: 1\r\n\r\n",
        request("read", 9000).replace("Host:", "Connection: close\r\nHost:"),
    ];
    client.write(&all.concat());
    for text in &all {
        let id = Message::read(&mut text.as_bytes()).unwrap().header("X-Call-Id").unwrap().to_string();
        let answer = client.read().unwrap();
        assert_eq!((answer.status(), String::from_utf8(answer.body).unwrap()), (200, id));
    }
    assert!(client.read().is_none(), "the last one asked for a close");
}
