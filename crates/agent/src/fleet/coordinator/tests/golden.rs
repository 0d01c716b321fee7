//! What council processes send each other, byte by byte: the files below `tests/golden/` are what the first version sends.
//! A file is never changed to make a test pass: processes of both versions run side by side. In a `.bytes` file, bytes that
//! are not printable ASCII stand as in a Rust byte string.

#[path = "../../../../../coordination/tests/support/escaped_bytes.rs"]
mod escaped_bytes;

use super::super::super::link::{ClientRequest, RAFT_PATH, REQUEST_PATH};
use super::super::peer_links::Frame;
use super::*;
use escaped_bytes::unescape;
use heronhoist_coordination::bootstrap::{initial_state, ClusterInfo};
use heronhoist_coordination::state::{ClusterId, Peer};
use std::collections::BTreeMap;

const OWN_NUMBER: u64 = 5;
const OTHER_NUMBER: u64 = 9;
/// Where the process under test says that it is reached; nobody goes there.
const ADVERTISED: &str = "127.0.0.1:7400";
/// `MsgRequestPreVoteResponse`, as the first field of a message.
const VOTE_ANSWER: [u8; 2] = [0x08, 18];

fn golden_text(file: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
    let text = std::fs::read_to_string(path).unwrap_or_else(|why| panic!("{file}: {why}"));
    text.trim_end().to_string()
}

/// Bytes as they stand in a file; a line feed ends the file's line.
fn escaped(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

fn formation(other: SocketAddr) -> ClusterInfo {
    let peer = |name: &str, address: String| Peer { name: name.into(), address };
    let own = (OWN_NUMBER, peer("c1", ADVERTISED.into()));
    let peers = BTreeMap::from([own, (OTHER_NUMBER, peer("c2", other.to_string()))]);
    ClusterInfo { cluster_id: ClusterId(77), peers }
}

fn two_processes(listen: SocketAddr, other: SocketAddr) -> CoordinatorConfig {
    let peers = vec![("c1".into(), ADVERTISED.parse().expect("an address")), ("c2".into(), other)];
    CoordinatorConfig { peers, ..config(listen, None) }
}

/// A disk of the first process, which takes part in a council already or in none.
fn disk(formation: Option<ClusterInfo>) -> Medium {
    let medium = Medium::default();
    let first = formation.as_ref().map(initial_state);
    let identity = Identity { node_id: OWN_NUMBER, name: "c1".into(), cluster: formation };
    on(&medium).and_then(|store| store.initialize(&identity, first.as_ref())).expect("begun");
    medium
}

/// The head and body of one request; it is answered with a body of this text.
async fn serve_one(listener: &TcpListener, answer: &str) -> (String, Vec<u8>) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a head"));
    }
    let head = String::from_utf8(head).expect("text");
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")).expect("a length");
    let mut body = vec![0; length.parse().expect("a number")];
    stream.read_exact(&mut body).await.expect("a body");
    let length = answer.len();
    let answer = format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{answer}");
    stream.write_all(answer.as_bytes()).await.expect("answered");
    (head, body)
}

/// The first line and the body of an answer.
async fn send(address: SocketAddr, method: &str, path: &str, body: &[u8]) -> (String, String) {
    let mut stream = until("a connection", async || TcpStream::connect(address).await.ok()).await;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
    );
    stream.write_all(&[head.as_bytes(), body].concat()).await.expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
    (head.lines().next().unwrap_or_default().to_string(), body.to_string())
}

/// Plays the other process, at a listener, beside one that runs on the disk which is made for the other's address.
fn beside(disk: impl FnOnce(SocketAddr) -> Medium, play: impl AsyncFnOnce(SocketAddr, TcpListener)) {
    let (_lines, _log) = Lines::kept();
    crate::run_local(async {
        let listen = free();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let other = listener.local_addr().expect("an address");
        let medium = disk(other);
        let store = on(&medium).expect("a store");
        let reopen: ReopenStore = Box::new(move || on(&medium));
        tokio::select! {
            ended = serve(two_processes(listen, other), None, store, reopen) => panic!("it ended: {ended:?}"),
            () = play(listen, listener) => {}
        }
    })
    .expect("a runtime");
}

/// The head of a request of the process to the other one.
fn head(path: &str, listener: &TcpListener, body: &[u8]) -> String {
    let address = listener.local_addr().expect("an address");
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: {address}\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n")
}

#[test]
fn paths() {
    assert_eq!((REQUEST_PATH, RAFT_PATH), ("/v1/ask", "/v1/raft"));
}

#[test]
fn bodies_of_requests_and_the_head_of_a_batch() {
    let envelope =
        Envelope { fleet: "gulf".into(), protocol: PROTOCOL, from: "c1".into(), incarnation: 0, term: 0 };
    let asked = ClientRequest { envelope: envelope.clone(), request: Request::Identify };
    assert_eq!(serde_json::to_string(&asked).expect("written"), golden_text("ask-hello.json"));
    let read: ClientRequest = serde_json::from_str(&golden_text("ask-hello.json")).expect("read");
    assert_eq!((read.envelope, read.request), (envelope.clone(), Request::Identify));
    let address = ADVERTISED.parse().expect("an address");
    let frame = Frame { envelope: envelope.clone(), node_id: OWN_NUMBER, address };
    assert_eq!(serde_json::to_string(&frame).expect("written"), golden_text("raft-frame.json"));
    let read: Frame = serde_json::from_str(&golden_text("raft-frame.json")).expect("read");
    assert_eq!((read.envelope, read.node_id, read.address), (envelope, OWN_NUMBER, address));
}

/// A process without a council asks the other who it is, takes part in the council that the answer names, and says so itself.
#[test]
fn a_process_asks_and_tells_who_it_is() {
    beside(
        |_| disk(None),
        async |listen, listener| {
            let (sent, body) = serve_one(&listener, &golden_text("hello-of-c2.json")).await;
            assert_eq!(sent, head("/v1/ask", &listener, &body));
            assert_eq!(String::from_utf8(body).expect("text"), golden_text("ask-hello.json"));
            let asked = golden_text("ask-hello.json");
            let formed = until("it takes part", async || {
                let (status, answer) = send(listen, "POST", "/v1/ask", asked.as_bytes()).await;
                assert_eq!(status, "HTTP/1.1 200 OK");
                (answer != golden_text("hello-without-council.json")).then_some(answer)
            })
            .await;
            assert_eq!(formed, golden_text("hello-of-c1.json"));
        },
    );
}

/// A batch is sent and taken as it stands in the files: the process stands for election, and answers the vote that the other
/// one asks for.
#[test]
fn batches_of_raft_messages() {
    beside(
        |other| disk(Some(formation(other))),
        async |listen, listener| {
            let (sent, body) = serve_one(&listener, "").await;
            assert_eq!(sent, head("/v1/raft", &listener, &body));
            assert_eq!(escaped(&body), golden_text("raft-batch-of-c1.bytes"));
            let batch = unescape(&golden_text("raft-batch-of-c2.bytes"));
            let taken = send(listen, "POST", "/v1/raft", &batch).await;
            assert_eq!(taken, ("HTTP/1.1 200 OK".into(), String::new()));
            let answer = loop {
                let (_, body) = serve_one(&listener, "").await;
                let message = body.iter().position(|byte| *byte == b'\n').expect("a frame") + 5;
                if body[message..].starts_with(&VOTE_ANSWER) {
                    break body;
                }
            };
            assert_eq!(escaped(&answer), golden_text("raft-batch-answer-of-c1.bytes"));
        },
    );
}

/// What is not taken is refused in these words.
#[test]
fn refusals_of_the_carrier() {
    beside(
        |_| disk(None),
        async |listen, _listener| {
            let other_fleet = golden_text("raft-frame.json").replace("gulf", "lake") + "\n";
            for (method, path, body, status, text) in [
                ("GET", "/v1/ask", "", "405 Method Not Allowed", "only POST\n"),
                ("POST", "/v1/other", "", "404 Not Found", "there are /v1/ask and /v1/raft\n"),
                ("POST", "/v1/raft", "x", "400 Bad Request", "messages that can't be read\n"),
                (
                    "POST",
                    "/v1/raft",
                    other_fleet.as_str(),
                    "403 Forbidden",
                    "this is fleet \"gulf\"; the message is of \"lake\"\n",
                ),
            ] {
                let answer = send(listen, method, path, body.as_bytes()).await;
                assert_eq!(answer, (format!("HTTP/1.1 {status}"), text.into()));
            }
        },
    );
}
