//! Responses that state no length and end with their connection (RFC 9112, 6.3): a clean close completes them, and nothing else does.

use crate::common::*;
use crate::outcomes::outcome;
use socket2::SockRef;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How a server ends its response.
#[derive(Clone, Copy, PartialEq)]
enum End {
    /// With a FIN.
    Clean,
    /// With a reset.
    Reset,
    /// It leaves the connection open.
    Never,
}

/// The pieces that a server writes, each but the first after a signal of the test, and how it ends the response.
type Script = Arc<dyn Fn(&Message) -> (Vec<Vec<u8>>, End) + Send + Sync>;

/// A server that responds to each request by its script; records all requests.
fn server(script: Script, signals: mpsc::Receiver<()>) -> (SocketAddr, Arc<EventLog<Message>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, requests) = (listener.local_addr().unwrap(), Arc::new(EventLog::default()));
    let (log, signals) = (Arc::clone(&requests), Arc::new(Mutex::new(signals)));
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (script, log, signals) = (Arc::clone(&script), Arc::clone(&log), Arc::clone(&signals));
            thread::spawn(move || {
                let mut input = BufReader::new(stream.try_clone().unwrap());
                let Some(message) = Message::read(&mut input) else { return };
                log.push(message.clone());
                let (pieces, end) = script(&message);
                for (n, piece) in pieces.iter().enumerate() {
                    if n > 0 {
                        let _ = signals.lock().unwrap().recv_timeout(TEST_TIMEOUT);
                    }
                    let _ = (&stream).write_all(piece);
                }
                match end {
                    End::Clean => drop(stream.shutdown(Shutdown::Write)),
                    End::Reset => {
                        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
                        return;
                    }
                    End::Never => {}
                }
                // A second request on the same connection would be recorded.
                while let Some(message) = Message::read(&mut input) {
                    log.push(message);
                }
            });
        }
    });
    (address, requests)
}

fn agent(address: SocketAddr) -> (Agent, Discovery) {
    let targets = serving("s", address);
    let discovery = Discovery::new(targets.clone());
    (Agent::start(&config(discovery.address, &targets, SETTINGS, 1024)), discovery)
}

/// Heads that state no length, in the forms of HTTP/1.1 and HTTP/1.0.
const HEADS: [&str; 4] = [
    "HTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
    "HTTP/1.0 200 OK\r\n\r\n",
    "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nX-Load-Report: qps=1,queue=2\r\n\r\n",
];
const LENGTHS: [usize; 5] = [0, 1, 700, 20_000, 64 * 1024];

/// A body without repetitions, so that a missing or repeated part shows.
fn body(bytes: usize) -> Vec<u8> {
    (0..bytes).map(|n| (n / 251 + n) as u8).collect()
}

/// The client gets the complete body with a length, and the connection is not used again.
#[test]
fn a_clean_close_completes_a_response_without_a_length() {
    let (_signal, signals) = mpsc::channel();
    let number = std::sync::atomic::AtomicUsize::new(0);
    let script = move |_: &Message| {
        let n = number.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        let text = [HEADS[n % 4].as_bytes(), &body(LENGTHS[n / 4 % 5])].concat();
        (vec![text], End::Clean)
    };
    let (address, requests) = server(Arc::new(script), signals);
    let (agent, _discovery) = agent(address);
    let mut client = Client::connect(&agent);
    for n in 0..40 {
        let class = ["once", "read", "zoned"][n % 3];
        let response = client.exchange(&request(class, 9000));
        let expected = body(LENGTHS[n / 4 % 5]);
        assert_eq!(response.status(), 200, "{class} {n}: {}", HEADS[n % 4]);
        assert_eq!(response.header("content-length"), Some(expected.len().to_string().as_str()), "{n}");
        assert!(response.body == expected, "{n}");
    }
    assert_eq!(requests.all().len(), 40, "one attempt each, on a connection of its own");
}

/// A reset may come anywhere; what arrived before it is never forwarded as a complete response.
#[test]
fn a_reset_does_not_complete_a_response_without_a_length() {
    let (_signal, signals) = mpsc::channel();
    let number = std::sync::atomic::AtomicUsize::new(0);
    let script = move |_: &Message| {
        let n = number.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        let text = [HEADS[n % 4].as_bytes(), &body(LENGTHS[n / 4 % 5])].concat();
        (vec![text], End::Reset)
    };
    let (address, requests) = server(Arc::new(script), signals);
    let (agent, _discovery) = agent(address);
    let mut client = Client::connect(&agent);
    for n in 0..40 {
        assert_eq!(client.exchange(&request("once", 9000)).status(), 502, "{n}: {}", HEADS[n % 4]);
    }
    assert_eq!(requests.all().len(), 40, "it may have run");
}

/// The beginning is forwarded before the rest has arrived. The client gets a last chunk only after a clean close.
#[test]
fn a_long_response_without_a_length_is_streamed() {
    let (beginning, rest) = (body(200_000), body(300_000));
    for end in [End::Clean, End::Reset, End::Never] {
        let (signal, signals) = mpsc::channel();
        let text = [HEADS[0].as_bytes(), &beginning].concat();
        let pieces = vec![text, rest.clone(), Vec::new()];
        let (address, _) = server(Arc::new(move |_: &Message| (pieces.clone(), end)), signals);
        let (agent, _discovery) = agent(address);
        let client = Client::connect(&agent);
        let mut stream: TcpStream = client.stream.try_clone().unwrap();
        stream.write_all(request("read", 9000).as_bytes()).unwrap();
        let (mut got, mut piece) = (Vec::new(), [0; 16 * 1024]);
        let mut signalled = 0;
        loop {
            let read = stream.read(&mut piece).unwrap_or(0);
            got.extend_from_slice(&piece[..read]);
            // The server continues once the client has everything that was sent before.
            if got.len() > beginning.len() && signalled == 0 {
                (signalled, ()) = (1, signal.send(()).unwrap());
            }
            if got.len() > beginning.len() + rest.len() && signalled == 1 {
                (signalled, ()) = (2, signal.send(()).unwrap());
            }
            if read == 0 || got.ends_with(b"\r\n0\r\n\r\n") {
                break;
            }
        }
        let is_complete = got.ends_with(b"\r\n0\r\n\r\n");
        assert_eq!((is_complete, signalled), (end == End::Clean, 2), "{} bytes arrived", got.len());
        let head = String::from_utf8_lossy(&got[..got.len().min(300)]).to_lowercase();
        assert!(head.starts_with("http/1.1 200") && head.contains("transfer-encoding: chunked"), "{head}");
        if is_complete {
            assert!(decode_chunked(&got) == [beginning.as_slice(), &rest].concat());
        }
    }
}

/// The body of a chunked message.
fn decode_chunked(text: &[u8]) -> Vec<u8> {
    let find = |text: &[u8], end: &[u8]| text.windows(end.len()).position(|window| window == end).unwrap();
    let (mut rest, mut body) = (&text[find(text, b"\r\n\r\n") + 4..], Vec::new());
    loop {
        let line = find(rest, b"\r\n");
        let length = usize::from_str_radix(std::str::from_utf8(&rest[..line]).unwrap(), 16).unwrap();
        if length == 0 {
            return body;
        }
        body.extend_from_slice(&rest[line + 2..line + 2 + length]);
        rest = &rest[line + 4 + length..];
    }
}

/// A response other than 200 counts by its head, but only if a clean close completes it.
#[test]
fn other_responses_without_a_length_count_by_their_head() {
    let rejected = || Action::RespondAndClose("HTTP/1.1 503 X\r\nX-Rejected: 1\r\n\r\nfull".into());
    assert_eq!(outcome("once", rejected), (200, 2));
    for head in ["HTTP/1.1 500 X\r\n\r\nbroken", "HTTP/1.1 503 X\r\n\r\n", "HTTP/1.1 204 X\r\n\r\n"] {
        assert_eq!(outcome("once", move || Action::RespondAndClose(head.into())), (502, 1), "{head}");
        assert_eq!(outcome("read", move || Action::RespondAndClose(head.into())), (200, 2), "{head}");
    }
    let (_signal, signals) = mpsc::channel();
    let text = b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\n\r\nfull".to_vec();
    let (address, requests) = server(Arc::new(move |_: &Message| (vec![text.clone()], End::Reset)), signals);
    let (agent, _discovery) = agent(address);
    assert_eq!(Client::connect(&agent).exchange(&request("once", 9000)).status(), 502);
    assert_eq!(requests.all().len(), 1, "it may have run");
}

/// A clean close does not make a response valid that states its length twice or wrongly, or whose transfer coding has no end.
#[test]
fn a_clean_close_does_not_mend_an_invalid_head() {
    for head in [
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip",
        "HTTP/1.1 200 OK\r\nContent-Length: 9",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked",
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade",
    ] {
        let text = format!("{head}\r\n\r\nfirst");
        assert_eq!(outcome("once", move || Action::RespondAndClose(text.clone())), (502, 1), "{head}");
    }
}
