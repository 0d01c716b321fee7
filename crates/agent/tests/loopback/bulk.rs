//! Long requests and long responses: streamed, never buffered completely, in every framing of HTTP/1.1.

use crate::common::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;

const LONG: usize = 32 << 20;
const CHUNK: usize = 256 << 10;

/// A server that passes each connection to `serve`.
pub fn raw_server(serve: impl Fn(TcpStream) + Send + Sync + Clone + 'static) -> SocketAddr {
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

fn agent(server: SocketAddr) -> (Agent, Discovery) {
    let discovery = Discovery::new(serving("s", server));
    let agent = Agent::start(&with_ops(&config(discovery.address, &serving("s", server), SETTINGS, 1024)));
    (agent, discovery)
}

/// Reads a head alone, whatever length it states.
pub fn read_head(input: &mut impl BufRead) -> Option<Message> {
    let mut text = String::new();
    while input.read_line(&mut text).ok()? > 0 {
        if text.ends_with("\r\n\r\n") {
            let text = text.replace("Content-Length", "X-Length").replace("content-length", "x-length");
            return Message::read(&mut text.as_bytes());
        }
    }
    None
}

/// The head of a request of class `once` with this framing.
fn post_head(framing: &str) -> String {
    request("once", 9000).replace("Content-Length: 4\r\n\r\nbody", &format!("{framing}\r\n\r\n"))
}

/// The agent's peak resident memory, in bytes.
fn peak_memory(agent: &Agent) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", agent.child.id())).unwrap();
    let line = status.lines().find(|l| l.starts_with("VmHWM")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() << 10
}

/// The server sends the rest of its response only once the client has read the beginning: the agent must not hold it back.
#[test]
fn a_long_response_is_streamed() {
    for framing in ["Content-Length: 33554432", "Transfer-Encoding: chunked"] {
        let (release, wait) = mpsc::channel::<()>();
        let wait = std::sync::Arc::new(std::sync::Mutex::new(wait));
        let chunked = framing.starts_with("Transfer");
        let server = raw_server(move |stream| {
            let mut input = BufReader::new(stream.try_clone().unwrap());
            let mut output = stream;
            if read_head(&mut input).is_none() {
                return;
            }
            write!(output, "HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").unwrap();
            let chunk = vec![b'x'; CHUNK];
            for n in 0..LONG / CHUNK {
                if n == 1 {
                    let _ = wait.lock().unwrap().recv_timeout(TEST_TIMEOUT);
                }
                if chunked {
                    write!(output, "{CHUNK:x};n=1\r\n").unwrap();
                }
                output.write_all(&chunk).unwrap();
                if chunked {
                    output.write_all(b"\r\n").unwrap();
                }
            }
            if chunked {
                output.write_all(b"0\r\nX-Trailer: 1\r\n\r\n").unwrap();
            }
        });
        let (agent, _discovery) = agent(server);
        // The memory of the program itself does not count.
        let baseline = peak_memory(&agent);
        let mut client = Client::connect(&agent);
        client.write(&request("read", 9000));
        let mut input = BufReader::new(client.stream.try_clone().unwrap());
        let response = read_head(&mut input).unwrap();
        assert_eq!(response.status(), 200);
        let mut body = vec![0; CHUNK / 2];
        input.read_exact(&mut body).unwrap();
        assert_eq!(agent.metric("app_in_flight"), Some(1.0));
        release.send(()).unwrap();
        let mut left = LONG - body.len();
        if chunked {
            // The framing adds bytes: read to the last chunk.
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
        let grown = peak_memory(&agent) - baseline;
        assert!(grown < LONG / 2, "{grown} bytes held");
    }
}

/// The client sends the rest of its body only once the server has read the beginning.
#[test]
fn a_long_body_is_streamed() {
    for chunked in [false, true] {
        let (read_some, server_read) = mpsc::channel::<()>();
        let server = raw_server(move |stream| {
            let mut input = BufReader::new(stream.try_clone().unwrap());
            let mut output = stream;
            let Some(head) = read_head(&mut input) else { return };
            assert!(head.header("X-Call-Id").is_some());
            let (mut left, mut chunk) = (LONG, vec![0; CHUNK]);
            if chunked {
                left = usize::MAX;
            }
            let mut tail = Vec::new();
            while left > 0 && !tail.ends_with(b"0\r\n\r\n") {
                let n = input.read(&mut chunk).unwrap();
                assert!(n > 0, "cut short");
                read_some.send(()).unwrap();
                left -= n;
                tail.extend_from_slice(&chunk[..n]);
                tail.drain(..tail.len().saturating_sub(5));
            }
            output.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone").unwrap();
            let _ = read_next_head(&mut input);
        });
        let (agent, _discovery) = agent(server);
        let baseline = peak_memory(&agent);
        let mut client = Client::connect(&agent);
        let framing =
            if chunked { "Transfer-Encoding: chunked".into() } else { format!("Content-Length: {LONG}") };
        client.write(&post_head(&format!("{framing}\r\nExpect: 100-continue")));
        let mut input = BufReader::new(client.stream.try_clone().unwrap());
        assert_eq!(read_head(&mut input).map(|m| m.status()), Some(100));
        let chunk = vec![b'x'; CHUNK];
        for n in 0..LONG / CHUNK {
            if n == 1 {
                server_read.recv_timeout(TEST_TIMEOUT).expect("the server has the beginning");
                assert_eq!(agent.metric("app_attempts_total{class=\"once\"}"), Some(0.0));
            }
            if chunked {
                client.write(&format!("{CHUNK:x};name=\"v\"\r\n"));
            }
            client.stream.write_all(&chunk).unwrap();
            if chunked {
                client.write("\r\n");
            }
        }
        if chunked {
            client.write("0\r\nX-Trailer: 1\r\n\r\n");
        }
        assert_eq!(Message::read(&mut input).map(|m| (m.status(), m.body)), Some((200, b"done".to_vec())));
        assert_eq!(agent.metric("app_attempts_total{class=\"once\"}"), Some(1.0));
        let grown = peak_memory(&agent) - baseline;
        assert!(grown < LONG / 2, "{grown} bytes held");
    }
}

fn read_next_head(input: &mut impl BufRead) -> Option<Message> {
    read_head(input)
}

/// A streamed response breaks off: the client must notice that it is incomplete, and the request counts as failed.
#[test]
fn a_long_response_that_breaks_off_looks_incomplete() {
    for framing in ["Content-Length: 1000000", "Transfer-Encoding: chunked"] {
        let server = raw_server(move |stream| {
            let mut input = BufReader::new(stream.try_clone().unwrap());
            let mut output = stream;
            if read_head(&mut input).is_some() {
                let chunk = "x".repeat(CHUNK);
                let _ = write!(output, "HTTP/1.1 200 OK\r\n{framing}\r\n\r\n{CHUNK:x}\r\n{chunk}");
            }
        });
        let (agent, _discovery) = agent(server);
        let mut client = Client::connect(&agent);
        client.write(&request("once", 9000));
        let mut text = Vec::new();
        let _ = client.stream.read_to_end(&mut text);
        assert!(text.starts_with(b"HTTP/1.1 200"), "{framing}");
        assert!(text.len() < 1_000_000 && !text.ends_with(b"0\r\n\r\n"), "{framing}");
        agent.wait_for_metric("app_failed_total{class=\"once\"}", 1.0);
        assert_eq!(agent.metric("app_in_flight"), Some(0.0));
    }
}

/// A long body may be sent again, where its class allows, only as long as its beginning is still buffered.
#[test]
fn a_long_body_is_sent_again_only_while_it_is_buffered() {
    let (received, attempts) = mpsc::channel();
    let server = raw_server(move |stream| {
        let mut input = BufReader::new(stream);
        // Reads a part of the body and closes, which fails the attempt.
        if read_head(&mut input).is_some() {
            let mut chunk = vec![0; CHUNK];
            let _ = input.read_exact(&mut chunk);
            received.send(()).unwrap();
        }
    });
    let (agent, _discovery) = agent(server);
    let mut client = Client::connect(&agent);
    let text =
        request("all", 9000).replace("Content-Length: 4\r\n\r\nbody", "Content-Length: 4000000\r\n\r\n");
    client.write(&text);
    let mut output = client.stream.try_clone().unwrap();
    // The agent responds before it has the whole body, and reads and drops what the client still writes.
    thread::spawn(move || {
        for _ in 0..400 {
            if output.write_all(&[b'x'; 10_000]).is_err() {
                return;
            }
        }
    });
    // The request has not run, so the client may send it again.
    assert_eq!(client.read().map(|m| m.status()), Some(503));
    assert_eq!(attempts.iter().take(1).count(), 1);
    assert!(attempts.try_recv().is_err(), "it was sent again");
}

#[test]
fn an_endless_body_is_rejected() {
    let server = raw_server(|stream| {
        let mut input = BufReader::new(stream);
        let _ = std::io::copy(&mut input, &mut std::io::sink());
    });
    let (agent, _discovery) = agent(server);
    let mut client = Client::connect(&agent);
    client.write(&post_head("Transfer-Encoding: chunked"));
    let mut output = client.stream.try_clone().unwrap();
    thread::spawn(move || {
        let chunk = format!("{CHUNK:x}\r\n{}\r\n", "x".repeat(CHUNK));
        while output.write_all(chunk.as_bytes()).is_ok() {}
    });
    assert_eq!(client.read().map(|m| m.status()), Some(413));
}

/// A client that stops in the middle of its body gets an error, and the server is not ejected for it.
#[test]
fn a_body_that_stops_arriving_is_the_clients_error() {
    let server = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = agent(server.address);
    for framing in ["Content-Length: 100", "Content-Length: 1000000", "Transfer-Encoding: chunked"] {
        let mut client = Client::connect(&agent);
        client.write(&post_head(framing));
        client.write("5\r\nx");
        assert_eq!(client.read().map(|m| m.status()), Some(408), "{framing}");
    }
    assert_eq!(agent.metric("app_record_servers_excluded"), Some(0.0));
}

/// Pipelined requests get their responses in order, also where a body looks like a request.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let server = RecordServer::new(|m| ok(m.header("X-Call-Id").unwrap()));
    let (agent, _discovery) = agent(server.address);
    let mut client = Client::connect(&agent);
    let hidden = "GET /read HTTP/1.1\r\n\r\n";
    let requests = [
        request("read", 9000),
        post_head(&format!("Content-Length: {}", hidden.len())) + hidden,
        post_head("Transfer-Encoding: chunked") + "3;a=b\r\nabc\r\n0\r\nX-T: 1\r\n\r\n",
        request("read", 9000).replace("Host:", "Connection: close\r\nHost:"),
    ];
    client.write(&requests.concat());
    for text in &requests {
        let id = Message::read(&mut text.as_bytes()).unwrap().header("X-Call-Id").unwrap().to_string();
        let response = client.read().unwrap();
        assert_eq!((response.status(), String::from_utf8(response.body).unwrap()), (200, id));
    }
    assert!(client.read().is_none(), "the last one requested a close");
}
