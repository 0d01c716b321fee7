//! The messages between coordinator processes, byte for byte: the files below `tests/golden/` contain what the first version
//! sends. They are never changed to make a test pass, because processes of both versions run side by side. In a `.bytes` file,
//! bytes that are not printable ASCII are escaped as in a Rust byte string.

#[path = "../../../../../coordination/tests/support/escaped_bytes.rs"]
mod escaped_bytes;

use super::super::super::transport::{ClientRequest, RAFT_PATH, REQUEST_PATH};
use super::super::peer_links::Frame;
use super::*;
use escaped_bytes::unescape;
use heronhoist_coordination::bootstrap::{initial_state, ClusterInfo};
use heronhoist_coordination::state::{ClusterId, Peer};
use std::collections::BTreeMap;

const OWN_ID: u64 = 5;
const OTHER_ID: u64 = 9;
/// The advertised address of the process under test; no process connects to it.
const ADVERTISED: &str = "127.0.0.1:7400";
/// `MsgRequestPreVoteResponse`, as the first field of a message.
const VOTE_RESPONSE: [u8; 2] = [0x08, 18];

fn golden_text(file: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
    let text = std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{file}: {error}"));
    text.trim_end().to_string()
}

/// Returns bytes as they are escaped in a golden file; a line feed ends the file's line.
fn escaped(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

fn cluster_info(other: SocketAddr) -> ClusterInfo {
    let peer = |name: &str, address: String| Peer { name: name.into(), address };
    let own = (OWN_ID, peer("c1", ADVERTISED.into()));
    let peers = BTreeMap::from([own, (OTHER_ID, peer("c2", other.to_string()))]);
    ClusterInfo { cluster_id: ClusterId(77), peers }
}

fn two_processes(listen: SocketAddr, other: SocketAddr) -> CoordinatorConfig {
    let peers = vec![("c1".into(), ADVERTISED.parse().expect("an address")), ("c2".into(), other)];
    CoordinatorConfig { peers, ..config(listen, None) }
}

/// Returns the backend of the first process's store, which belongs to this cluster, or to none.
fn backend_of(cluster: Option<ClusterInfo>) -> FaultyBackend {
    let backend = FaultyBackend::default();
    let initial = cluster.as_ref().map(initial_state);
    let identity = Identity { node_id: OWN_ID, name: "c1".into(), cluster };
    store_on(&backend).and_then(|store| store.initialize(&identity, initial.as_ref())).expect("initialized");
    backend
}

/// Serves one request with this response body; returns the request's head and body.
async fn serve_one(listener: &TcpListener, response: &str) -> (String, Vec<u8>) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a head"));
    }
    let head = String::from_utf8(head).expect("text");
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")).expect("a length");
    let mut body = vec![0; length.parse().expect("a number")];
    stream.read_exact(&mut body).await.expect("a body");
    let length = response.len();
    let response =
        format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{response}");
    stream.write_all(response.as_bytes()).await.expect("responded");
    (head, body)
}

/// Sends a request; returns the first line and the body of the response.
async fn send(address: SocketAddr, method: &str, path: &str, body: &[u8]) -> (String, String) {
    let mut stream = wait_until("a connection", async || TcpStream::connect(address).await.ok()).await;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
    );
    stream.write_all(&[head.as_bytes(), body].concat()).await.expect("sent");
    let mut response = String::new();
    stream.read_to_string(&mut response).await.expect("a response");
    let (head, body) = response.split_once("\r\n\r\n").expect("a head");
    (head.lines().next().unwrap_or_default().to_string(), body.to_string())
}

/// Runs the process under test beside a scenario that acts as the other process, at a listener. The store of the process under
/// test is created for the other's address.
fn run_beside(
    make_backend: impl FnOnce(SocketAddr) -> FaultyBackend,
    scenario: impl AsyncFnOnce(SocketAddr, TcpListener),
) {
    let (_lines, _log) = LogLines::capture();
    crate::run_local(async {
        let listen = free_address();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let other = listener.local_addr().expect("an address");
        let backend = make_backend(other);
        let store = store_on(&backend).expect("a store");
        let reopen: ReopenStore = Box::new(move || store_on(&backend));
        tokio::select! {
            ended = serve(two_processes(listen, other), None, store, reopen) => panic!("the process ended: {ended:?}"),
            () = scenario(listen, listener) => {}
        }
    })
    .expect("a runtime");
}

/// Returns the head of a request from the process under test to the other one.
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
    let request = ClientRequest { envelope: envelope.clone(), request: Request::Identify };
    assert_eq!(serde_json::to_string(&request).expect("written"), golden_text("ask-hello.json"));
    let read: ClientRequest = serde_json::from_str(&golden_text("ask-hello.json")).expect("read");
    assert_eq!((read.envelope, read.request), (envelope.clone(), Request::Identify));
    let address = ADVERTISED.parse().expect("an address");
    let frame = Frame { envelope: envelope.clone(), node_id: OWN_ID, address };
    assert_eq!(serde_json::to_string(&frame).expect("written"), golden_text("raft-frame.json"));
    let read: Frame = serde_json::from_str(&golden_text("raft-frame.json")).expect("read");
    assert_eq!((read.envelope, read.node_id, read.address), (envelope, OWN_ID, address));
}

/// A process without a council asks the other for its identity, joins the council in the response, and returns its own identity
/// with that council.
#[test]
fn identities_are_requested_and_returned() {
    run_beside(
        |_| backend_of(None),
        async |listen, listener| {
            let (sent, body) = serve_one(&listener, &golden_text("hello-of-c2.json")).await;
            assert_eq!(sent, head("/v1/ask", &listener, &body));
            assert_eq!(String::from_utf8(body).expect("text"), golden_text("ask-hello.json"));
            let request = golden_text("ask-hello.json");
            let identity = wait_until("the process has joined the council", async || {
                let (status, response) = send(listen, "POST", "/v1/ask", request.as_bytes()).await;
                assert_eq!(status, "HTTP/1.1 200 OK");
                (response != golden_text("hello-without-council.json")).then_some(response)
            })
            .await;
            assert_eq!(identity, golden_text("hello-of-c1.json"));
        },
    );
}

/// Batches are sent and accepted as in the golden files: the process starts an election, and responds to the other one's request
/// for a vote.
#[test]
fn batches_of_raft_messages() {
    run_beside(
        |other| backend_of(Some(cluster_info(other))),
        async |listen, listener| {
            let (sent, body) = serve_one(&listener, "").await;
            assert_eq!(sent, head("/v1/raft", &listener, &body));
            assert_eq!(escaped(&body), golden_text("raft-batch-of-c1.bytes"));
            let batch = unescape(&golden_text("raft-batch-of-c2.bytes"));
            let response = send(listen, "POST", "/v1/raft", &batch).await;
            assert_eq!(response, ("HTTP/1.1 200 OK".into(), String::new()));
            let response = loop {
                let (_, body) = serve_one(&listener, "").await;
                let message = body.iter().position(|byte| *byte == b'\n').expect("a frame") + 5;
                if body[message..].starts_with(&VOTE_RESPONSE) {
                    break body;
                }
            };
            assert_eq!(escaped(&response), golden_text("raft-batch-answer-of-c1.bytes"));
        },
    );
}

/// Invalid HTTP requests are refused with these statuses and texts.
#[test]
fn refusals_over_http() {
    run_beside(
        |_| backend_of(None),
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
                let response = send(listen, method, path, body.as_bytes()).await;
                assert_eq!(response, (format!("HTTP/1.1 {status}"), text.into()));
            }
        },
    );
}
