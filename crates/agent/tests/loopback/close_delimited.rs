//! Answers that state no length and end with their connection (RFC 9112, 6.3): an orderly end makes them whole, and nothing
//! else does.

use crate::common::*;
use crate::outcomes::outcome;
use socket2::SockRef;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How a server ends its answer.
#[derive(Clone, Copy, PartialEq)]
enum End {
    /// By a FIN.
    Orderly,
    /// By a RST.
    Reset,
    /// It leaves the connection open.
    Never,
}

/// What a server writes piece by piece once told to for each but the first, and how it ends that.
type Script = Arc<dyn Fn(&Message) -> (Vec<Vec<u8>>, End) + Send + Sync>;

/// A server that answers each request by its script; of each connection it tells how many requests came on it.
fn server(script: Script, go: mpsc::Receiver<()>) -> (SocketAddr, Arc<EventLog<Message>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, heard) = (listener.local_addr().unwrap(), Arc::new(EventLog::default()));
    let (tally, go) = (Arc::clone(&heard), Arc::new(Mutex::new(go)));
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (script, tally, go) = (Arc::clone(&script), Arc::clone(&tally), Arc::clone(&go));
            thread::spawn(move || {
                let mut input = BufReader::new(stream.try_clone().unwrap());
                let Some(message) = Message::read(&mut input) else { return };
                tally.push(message.clone());
                let (pieces, end) = script(&message);
                for (n, piece) in pieces.iter().enumerate() {
                    if n > 0 {
                        let _ = go.lock().unwrap().recv_timeout(TEST_TIMEOUT);
                    }
                    let _ = (&stream).write_all(piece);
                }
                match end {
                    End::Orderly => drop(stream.shutdown(Shutdown::Write)),
                    End::Reset => {
                        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
                        return;
                    }
                    End::Never => {}
                }
                // A second request on the same connection would be heard.
                while let Some(message) = Message::read(&mut input) {
                    tally.push(message);
                }
            });
        }
    });
    (address, heard)
}

fn agent(address: SocketAddr) -> (Agent, Discovery) {
    let line = serving("s", address);
    let discovery = Discovery::new(line.clone());
    (Agent::start(&config(discovery.address, &line, SETTINGS, 1024)), discovery)
}

/// The heads that state no length, in the forms that HTTP/1.1 and HTTP/1.0 give them.
const HEADS: [&str; 4] = [
    "HTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
    "HTTP/1.0 200 OK\r\n\r\n",
    "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nX-Load-Report: qps=1,queue=2\r\n\r\n",
];
const LENGTHS: [usize; 5] = [0, 1, 700, 20_000, 64 * 1024];

/// A body of which no two pages are alike.
fn body(bytes: usize) -> Vec<u8> {
    (0..bytes).map(|n| (n / 251 + n) as u8).collect()
}

/// What the client is given is whole and says so; the connection carries nothing else.
#[test]
fn an_orderly_end_makes_an_answer_without_a_length_whole() {
    let (_go, wait) = mpsc::channel();
    let number = std::sync::atomic::AtomicUsize::new(0);
    let script = move |_: &Message| {
        let n = number.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        let text = [HEADS[n % 4].as_bytes(), &body(LENGTHS[n / 4 % 5])].concat();
        (vec![text], End::Orderly)
    };
    let (address, heard) = server(Arc::new(script), wait);
    let (agent, _discovery) = agent(address);
    let mut client = Client::connect(&agent);
    for n in 0..40 {
        let class = ["once", "read", "zoned"][n % 3];
        let answer = client.exchange(&request(class, 9000));
        let expected = body(LENGTHS[n / 4 % 5]);
        assert_eq!(answer.status(), 200, "{class} {n}: {}", HEADS[n % 4]);
        assert_eq!(answer.header("content-length"), Some(expected.len().to_string().as_str()), "{n}");
        assert!(answer.body == expected, "{n}");
    }
    assert_eq!(heard.all().len(), 40, "one attempt each, on a connection of its own");
}

/// A reset may fall anywhere; what has come before it is never passed on as whole.
#[test]
fn a_reset_is_no_end_of_an_answer_without_a_length() {
    let (_go, wait) = mpsc::channel();
    let number = std::sync::atomic::AtomicUsize::new(0);
    let script = move |_: &Message| {
        let n = number.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        let text = [HEADS[n % 4].as_bytes(), &body(LENGTHS[n / 4 % 5])].concat();
        (vec![text], End::Reset)
    };
    let (address, heard) = server(Arc::new(script), wait);
    let (agent, _discovery) = agent(address);
    let mut client = Client::connect(&agent);
    for n in 0..40 {
        assert_eq!(client.exchange(&request("once", 9000)).status(), 502, "{n}: {}", HEADS[n % 4]);
    }
    assert_eq!(heard.all().len(), 40, "it may have run");
}

/// The first bytes go on while the rest is still to come; the client is told the end by the last chunk, and by none if
/// there is no orderly end.
#[test]
fn a_long_answer_without_a_length_is_passed_on_as_it_comes() {
    let (begun, rest) = (body(200_000), body(300_000));
    for end in [End::Orderly, End::Reset, End::Never] {
        let (go, wait) = mpsc::channel();
        let text = [HEADS[0].as_bytes(), &begun].concat();
        let pieces = vec![text, rest.clone(), Vec::new()];
        let (address, _) = server(Arc::new(move |_: &Message| (pieces.clone(), end)), wait);
        let (agent, _discovery) = agent(address);
        let client = Client::connect(&agent);
        let mut stream: TcpStream = client.stream.try_clone().unwrap();
        stream.write_all(request("read", 9000).as_bytes()).unwrap();
        let (mut got, mut piece) = (Vec::new(), [0; 16 * 1024]);
        let mut told = 0;
        loop {
            let read = stream.read(&mut piece).unwrap_or(0);
            got.extend_from_slice(&piece[..read]);
            // The server goes on once the client has had what came before.
            if got.len() > begun.len() && told == 0 {
                (told, ()) = (1, go.send(()).unwrap());
            }
            if got.len() > begun.len() + rest.len() && told == 1 {
                (told, ()) = (2, go.send(()).unwrap());
            }
            if read == 0 || got.ends_with(b"\r\n0\r\n\r\n") {
                break;
            }
        }
        let is_whole = got.ends_with(b"\r\n0\r\n\r\n");
        assert_eq!((is_whole, told), (end == End::Orderly, 2), "{} bytes came", got.len());
        let head = String::from_utf8_lossy(&got[..got.len().min(300)]).to_lowercase();
        assert!(head.starts_with("http/1.1 200") && head.contains("transfer-encoding: chunked"), "{head}");
        if is_whole {
            assert!(unchunked(&got) == [begun.as_slice(), &rest].concat());
        }
    }
}

/// The body of a chunked message.
fn unchunked(text: &[u8]) -> Vec<u8> {
    let at = |text: &[u8], end: &[u8]| text.windows(end.len()).position(|window| window == end).unwrap();
    let (mut rest, mut body) = (&text[at(text, b"\r\n\r\n") + 4..], Vec::new());
    loop {
        let line = at(rest, b"\r\n");
        let length = usize::from_str_radix(std::str::from_utf8(&rest[..line]).unwrap(), 16).unwrap();
        if length == 0 {
            return body;
        }
        body.extend_from_slice(&rest[line + 2..line + 2 + length]);
        rest = &rest[line + 4 + length..];
    }
}

/// What is no 200 says what it says by its head; but only an orderly end shows that the head was all.
#[test]
fn other_answers_without_a_length_count_by_their_head() {
    let turned_away = || Action::RespondAndClose("HTTP/1.1 503 X\r\nX-Rejected: 1\r\n\r\nfull".into());
    assert_eq!(outcome("once", turned_away), (200, 2));
    for head in ["HTTP/1.1 500 X\r\n\r\nbroken", "HTTP/1.1 503 X\r\n\r\n", "HTTP/1.1 204 X\r\n\r\n"] {
        assert_eq!(outcome("once", move || Action::RespondAndClose(head.into())), (502, 1), "{head}");
        assert_eq!(outcome("read", move || Action::RespondAndClose(head.into())), (200, 2), "{head}");
    }
    let (_go, wait) = mpsc::channel();
    let text = b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\n\r\nfull".to_vec();
    let (address, heard) = server(Arc::new(move |_: &Message| (vec![text.clone()], End::Reset)), wait);
    let (agent, _discovery) = agent(address);
    assert_eq!(Client::connect(&agent).exchange(&request("once", 9000)).status(), 502);
    assert_eq!(heard.all().len(), 1, "it may have run");
}

/// Lengths stated twice or wrongly, and codings that don't say where they end, are no better for an orderly end.
#[test]
fn an_orderly_end_mends_no_head() {
    for head in [
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip",
        "HTTP/1.1 200 OK\r\nContent-Length: 9",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked",
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade",
    ] {
        let act = format!("{head}\r\n\r\nfirst");
        assert_eq!(outcome("once", move || Action::RespondAndClose(act.clone())), (502, 1), "{head}");
    }
}
