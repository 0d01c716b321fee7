//! Peers that make the agent hold as much as it can: the process stays within its memory limit, whatever they send.

use crate::bulk::{raw_server, read_head};
use crate::common::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The least memory of a deployment, in MB, which the limit on descriptors goes with.
const LEAST_MEMORY_MB: usize = 32;
const DESCRIPTORS: usize = 1024;
/// More clients than the agent has connections for.
const CROWD: usize = 400;
/// Clients that send bodies in tiny chunks: few, so that the agent gets to read all of them.
const CHUNKING_CLIENTS: usize = 40;
/// How long a flood lasts.
const FLOOD: Duration = Duration::from_secs(4);

/// One test at a time, so that they stay within the descriptors of the test process.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn take_turn() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts an agent with the least memory and this server.
fn small_agent(server: SocketAddr) -> (Agent, Discovery) {
    let targets = serving("s", server);
    let discovery = Discovery::new(targets.clone());
    let text = config(discovery.address, &targets, SETTINGS, DESCRIPTORS);
    let limit = format!(r#""limits":{{"memory_mb":{LEAST_MEMORY_MB},"#);
    (
        Agent::start(&with_ops(&text.replace(r#""limits":{"sockets""#, &format!(r#"{limit}"sockets""#)))),
        discovery,
    )
}

/// The peak of the agent's resident memory so far, in bytes.
fn peak_memory(agent: &Agent) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", agent.child.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() * 1024
}

fn assert_within_limit(agent: &mut Agent, what: &str) {
    assert_eq!(agent.child.try_wait().unwrap(), None, "{what}: the agent has ended");
    let peak = peak_memory(agent);
    println!("{what}: peak {} KiB", peak / 1024);
    assert!(peak <= LEAST_MEMORY_MB << 20, "{what}: {} KiB", peak / 1024);
}

/// Clients that have written this, and read nothing.
fn crowd(agent: &Agent, text: impl Fn() -> Vec<u8>) -> Vec<TcpStream> {
    clients(agent, CROWD, text)
}

fn clients(agent: &Agent, count: usize, text: impl Fn() -> Vec<u8>) -> Vec<TcpStream> {
    let connect = |_| {
        let stream = TcpStream::connect(agent.address).unwrap();
        stream.set_nonblocking(true).unwrap();
        let _ = (&stream).write(&text());
        stream
    };
    (0..count).map(connect).collect()
}

/// Waits until the agent has read what it reads, while it serves another client.
fn settle() {
    thread::sleep(Duration::from_millis(1500));
}

fn chunked(head: &str, bytes: usize) -> Vec<u8> {
    let mut text = head.as_bytes().to_vec();
    text.extend_from_slice("1\r\nx\r\n".repeat(bytes).as_bytes());
    text
}

/// Sends one text again and again at full speed, and reads nothing.
fn flood(agent: &Agent, text: impl Fn(usize) -> String) {
    let stream = TcpStream::connect(agent.address).unwrap();
    stream.set_write_timeout(Some(Duration::from_millis(200))).unwrap();
    let start = Instant::now();
    let mut number = 0;
    while start.elapsed() < FLOOD {
        let batch: String = (0..64).map(|n| text(number + n)).collect();
        number += 64;
        if (&stream).write_all(batch.as_bytes()).is_err() {
            break;
        }
    }
}

fn hanging_server() -> SocketAddr {
    raw_server(|stream| {
        let mut input = BufReader::new(stream);
        while read_head(&mut input).is_some() {}
    })
}

/// Guards against counting a connection as smaller than it is.
#[test]
fn incomplete_heads_of_many_short_fields_stay_within_the_memory() {
    let _turn = take_turn();
    let (mut agent, _discovery) = small_agent(hanging_server());
    let head = format!("GET /read HTTP/1.1\r\n{}", "a:b\r\n".repeat(3000));
    let clients = crowd(&agent, || head.clone().into_bytes());
    settle();
    drop(clients);
    let head = format!("GET /read HTTP/1.1\r\n{}", "a:b\r\n".repeat(60));
    let clients = crowd(&agent, || head.clone().into_bytes());
    settle();
    drop(clients);
    assert_within_limit(&mut agent, "incomplete heads");
}

#[test]
fn bodies_in_tiny_chunks_stay_within_the_memory() {
    let _turn = take_turn();
    let (mut agent, _discovery) = small_agent(hanging_server());
    let clients = clients(&agent, CHUNKING_CLIENTS, || {
        let head = request("once", 9000)
            .replace("Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n");
        chunked(&head, 60_000)
    });
    let (start, more) = (Instant::now(), "1\r\nx\r\n".repeat(2000));
    while start.elapsed() < FLOOD * 3 {
        for stream in &clients {
            let _ = (&*stream).write(more.as_bytes());
        }
    }
    assert_within_limit(&mut agent, "bodies in tiny chunks");
}

#[test]
fn large_requests_that_stop_half_way_stay_within_the_memory() {
    let _turn = take_turn();
    let (mut agent, _discovery) = small_agent(hanging_server());
    let body = "x".repeat(1 << 20);
    let clients = crowd(&agent, || {
        let head =
            request("once", 9000).replace("Content-Length: 4\r\n\r\nbody", "Content-Length: 2097152\r\n\r\n");
        (head + &body).into_bytes()
    });
    settle();
    drop(clients);
    assert_within_limit(&mut agent, "large requests");
}

#[test]
fn responses_in_tiny_chunks_stay_within_the_memory() {
    let _turn = take_turn();
    let server = raw_server(|stream| {
        let mut input = BufReader::new(stream.try_clone().unwrap());
        while read_head(&mut input).is_some() {
            let text = chunked("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 40_000);
            let _ = (&stream).write_all(&text);
        }
    });
    let (mut agent, _discovery) = small_agent(server);
    let clients = crowd(&agent, || request("read", 9000).into_bytes());
    settle();
    drop(clients);
    assert_within_limit(&mut agent, "responses in tiny chunks");
}

#[test]
fn long_responses_that_are_read_slowly_stay_within_the_memory() {
    let _turn = take_turn();
    let server = raw_server(|stream| {
        let mut input = BufReader::new(stream.try_clone().unwrap());
        let body = vec![b'x'; 4 << 20];
        while read_head(&mut input).is_some() {
            let _ = write!(&stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            let _ = (&stream).write_all(&body);
        }
    });
    let (mut agent, _discovery) = small_agent(server);
    let clients = crowd(&agent, || request("read", 9000).into_bytes());
    for _ in 0..20 {
        thread::sleep(Duration::from_millis(100));
        clients.iter().for_each(|stream| drop((&*stream).read(&mut [0; 64])));
    }
    assert_within_limit(&mut agent, "long responses");
}

/// A head is written to memory while the client reads nothing: that must not go on for as long as the client sends.
#[test]
fn responses_that_a_client_does_not_read_stay_within_the_memory() {
    let _turn = take_turn();
    for path in ["health/ready", "read"] {
        let (mut agent, _discovery) = small_agent(hanging_server());
        flood(&agent, |_| format!("GET /{path} HTTP/1.1\r\nHost: a\r\n\r\n"));
        assert_within_limit(&mut agent, path);
    }
}

#[test]
fn ever_new_names_stay_within_the_memory() {
    let _turn = take_turn();
    let server = RecordServer::new(|_| ok("x"));
    let (mut agent, _discovery) = small_agent(server.address);
    let reader = TcpStream::connect(agent.address).unwrap();
    let mut input = reader.try_clone().unwrap();
    let reading = thread::spawn(move || while input.read(&mut [0; 16384]).is_ok_and(|read| read > 0) {});
    let start = Instant::now();
    let mut number = 0;
    while start.elapsed() < FLOOD {
        number += 1;
        let text = request("read", 9000)
            .replace("courts", &format!("tenant-{number}"))
            .replace("Host", &format!("X-Route-Hash: k{number}\r\nHost"));
        let text = if number % 2 == 0 { text.replace("read", &format!("class{number}")) } else { text };
        if (&reader).write_all(text.as_bytes()).is_err() {
            break;
        }
    }
    let _ = reader.shutdown(std::net::Shutdown::Both);
    let _ = reading.join();
    assert_within_limit(&mut agent, "ever new names");
}

/// As many requests in flight as there are connections to servers.
#[test]
fn a_crowd_of_requests_stays_within_the_memory() {
    let _turn = take_turn();
    let server = raw_server(|stream| {
        let mut input = BufReader::new(stream.try_clone().unwrap());
        while read_head(&mut input).is_some() {
            thread::sleep(Duration::from_millis(700));
            let _ = write!(
                &stream,
                "HTTP/1.1 200 OK\r\nX-Long: {}\r\nContent-Length: 60000\r\n\r\n{}",
                "y".repeat(12000),
                "x".repeat(60000)
            );
        }
    });
    let (mut agent, _discovery) = small_agent(server);
    let clients = crowd(&agent, || {
        request("read", 9000).replace("Host", &format!("X-Pad: {}\r\nHost", "p".repeat(12000))).into_bytes()
    });
    settle();
    drop(clients);
    assert_within_limit(&mut agent, "a crowd");
}

/// The bytes that lie in the receive buffers of the connections to this server that other processes have opened.
fn received_by_peers_of(server: SocketAddr) -> u64 {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let remote = format!(":{:04X}", server.port());
    let queue = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (_, received) = fields.get(4)?.split_once(':')?;
        fields.get(2)?.ends_with(&remote).then(|| u64::from_str_radix(received, 16).unwrap())
    };
    table.lines().filter_map(queue).sum()
}

/// Guards against the kernel's own limit on what a connection holds, which is tens of megabytes on some machines.
#[test]
fn a_server_that_sends_faster_than_its_client_reads_fills_no_large_buffer() {
    const READ_FAST: usize = 20 << 20;
    const MAX_RECEIVED: u64 = 512 * 1024;
    let _turn = take_turn();
    let server = raw_server(|stream| {
        let mut input = BufReader::new(stream.try_clone().unwrap());
        while read_head(&mut input).is_some() {
            let _ = write!(&stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", 32 << 20);
            let _ = (&stream).write_all(&vec![b'x'; 32 << 20]);
        }
    });
    let (agent, _discovery) = small_agent(server);
    let mut client = Client::connect(&agent);
    client.write(&request("read", 9000));
    // The kernel enlarges the buffer of a connection that is read fast.
    client.stream.read_exact(&mut vec![0; READ_FAST]).unwrap();
    thread::sleep(Duration::from_millis(300));
    let received = received_by_peers_of(server);
    assert!(received <= MAX_RECEIVED, "{received} bytes");
}

/// Guards against giving up a response for want of memory after its request has run: without memory a request is not sent.
#[test]
fn a_request_that_has_run_gets_its_response_while_others_hold_the_memory() {
    // The memory for bodies is a quarter of all. Of it, less is left than the response has.
    const RESERVED_FOR_A_LONG_BODY: usize = 64 * 1024;
    const LONG_BODIES: usize = (LEAST_MEMORY_MB << 20) / 4 / RESERVED_FOR_A_LONG_BODY - 1;
    const RESPONSE_BYTES: usize = 60_000;
    let _turn = take_turn();
    let server = RecordServer::new(|_| ok(&"x".repeat(RESPONSE_BYTES)));
    let (agent, _discovery) = small_agent(server.address);
    let incomplete = |bytes: usize| {
        let length = format!("Content-Length: {bytes}\r\n\r\nbody");
        request("once", 9000).replace("Content-Length: 4\r\n\r\nbody", &length).into_bytes()
    };
    let holders = clients(&agent, LONG_BODIES, || incomplete(300_000));
    let last = clients(&agent, 1, || incomplete(20_000));
    // Clients may pause for a little longer than this within a body.
    thread::sleep(Duration::from_millis(600));
    let response = Client::connect(&agent).exchange(&request("once", 9000));
    match response.status() {
        200 => assert_eq!(response.body.len(), RESPONSE_BYTES),
        status => assert_eq!((status, server.requests.all().len()), (503, 0), "it has run"),
    }
    drop((holders, last));
    // What they held is available again.
    let start = Instant::now();
    while Client::connect(&agent).exchange(&request("read", 9000)).status() != 200 {
        assert!(start.elapsed() < TEST_TIMEOUT);
    }
}
