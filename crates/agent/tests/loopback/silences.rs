//! Long responses whose server or client is silent for some seconds and then goes on: they are not cut off.

use crate::bulk::{raw_server, read_head};
use crate::common::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Longer than a silence after which a response gives way to other clients.
const SILENCE: Duration = Duration::from_millis(4500);
/// After this silence every response ends, whether or not other clients need its connection.
const SILENCE_LIMIT: Duration = Duration::from_secs(26);
/// What a server sends before it is silent: more than is buffered of a response without a length.
const BEGINNING_BYTES: usize = 80 * 1024;
const LONG: usize = 1024 * 1024;
const FRAMINGS: [&str; 3] = ["Content-Length: 1048576\r\n", "Transfer-Encoding: chunked\r\n", ""];

/// A server whose responses to `once` are long. It takes the framing of each from [`FRAMINGS`] by the number in the request's body,
/// and goes on after the beginning when the test says so.
fn silent_server() -> (SocketAddr, mpsc::Sender<()>) {
    let (go_on, signals) = mpsc::channel::<()>();
    let signals = Arc::new(Mutex::new(signals));
    let address = raw_server(move |stream| {
        let mut input = BufReader::new(stream.try_clone().unwrap());
        while let Some(head) = read_head(&mut input) {
            if !head.path().starts_with("/once") {
                let _ = (&stream).write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
                continue;
            }
            let mut number = [0; 4];
            let _ = input.read_exact(&mut number);
            let framing = FRAMINGS[usize::from(number[3] - b'0')];
            let write = |bytes: usize| {
                let body = "x".repeat(bytes);
                let is_chunked = framing.contains("chunked");
                let text = if is_chunked { format!("{bytes:x}\r\n{body}\r\n") } else { body };
                (&stream).write_all(text.as_bytes())
            };
            let _ = (&stream).write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n").as_bytes());
            let _ = write(BEGINNING_BYTES);
            let _ = signals.lock().unwrap().recv_timeout(TEST_TIMEOUT);
            let _ = write(LONG - BEGINNING_BYTES);
            if framing.contains("chunked") {
                let _ = (&stream).write_all(b"0\r\n\r\n");
            }
            if framing.is_empty() {
                let _ = stream.shutdown(Shutdown::Write);
            }
        }
    });
    (address, go_on)
}

fn agent(server: SocketAddr, sockets: usize) -> (Agent, Discovery) {
    let targets = serving("s", server);
    let discovery = Discovery::new(targets.clone());
    (Agent::start(&config(discovery.address, &targets, SETTINGS, sockets)), discovery)
}

/// Sends a request for a long response in a framing, and reads the head and the first byte.
fn begin_response(agent: &Agent, framing: usize) -> BufReader<TcpStream> {
    let mut client = Client::connect(agent);
    client.write(&request("once", 9000).replace("body", &format!("000{framing}")));
    let mut input = BufReader::new(client.stream);
    assert_eq!(read_head(&mut input).map(|head| head.status()), Some(200));
    assert!(!input.fill_buf().unwrap().is_empty());
    input
}

/// Reads the rest of a response. Returns the number of bytes of its body; `None` if it states no length and has no end.
fn read_rest(input: &mut impl Read, framing: usize) -> Option<usize> {
    let (mut body, mut piece) = (Vec::new(), [0; 16 * 1024]);
    let count = |body: &[u8]| body.iter().filter(|byte| **byte == b'x').count();
    while !body.ends_with(b"0\r\n\r\n") && count(&body) < LONG + framing.min(1) {
        match input.read(&mut piece) {
            Ok(read @ 1..) => body.extend_from_slice(&piece[..read]),
            Ok(_) | Err(_) => break,
        }
    }
    (framing == 0 || body.ends_with(b"0\r\n\r\n")).then(|| count(&body))
}

/// Guards against a limit on the silence of a server within its response: a building that is cut off for some seconds comes back, and
/// its responses go on. A reload that removes the server, or a shutdown, within the silence changes nothing.
#[test]
fn a_response_outlasts_a_silence_of_its_server() {
    for disturbance in ["none", "removal", "shutdown"] {
        let (server, go_on) = silent_server();
        let (mut agent, discovery) = agent(server, 1024);
        let mut responses: Vec<_> =
            (0..FRAMINGS.len()).map(|framing| begin_response(&agent, framing)).collect();
        match disturbance {
            "removal" => discovery.set_targets(serving("other", server)),
            "shutdown" => agent.terminate(),
            _ => {}
        }
        thread::sleep(SILENCE);
        responses.iter().for_each(|_| go_on.send(()).unwrap());
        for (framing, input) in responses.iter_mut().enumerate() {
            assert_eq!(read_rest(input, framing), Some(LONG), "{disturbance}, {:?}", FRAMINGS[framing]);
        }
        drop(responses);
        if disturbance == "shutdown" {
            assert_eq!(agent.wait_for_exit(), Some(0));
        }
    }
}

/// The same in the other direction: a client that reads nothing for some seconds gets the rest once it reads on.
#[test]
fn a_response_outlasts_a_silence_of_its_client() {
    let (server, go_on) = silent_server();
    let (agent, _discovery) = agent(server, 1024);
    let small = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    small.set_recv_buffer_size(2048).unwrap();
    small.connect(&agent.address.into()).unwrap();
    let mut client = Client::from_stream(small.into());
    client.write(&request("once", 9000).replace("body", "0000"));
    go_on.send(()).unwrap();
    thread::sleep(SILENCE);
    let mut input = BufReader::new(client.stream);
    assert_eq!(read_head(&mut input).map(|head| head.status()), Some(200));
    assert_eq!(read_rest(&mut input, 0), Some(LONG));
}

/// Guards against responses of silent servers that hold all connections, so that other clients find none, and against ending more of
/// them than other clients need.
#[test]
fn responses_of_silent_servers_give_way_to_other_clients() {
    const CONNECTIONS: usize = 8;
    let (server, go_on) = silent_server();
    // 64 descriptors less the reserve leave 8 connections for clients.
    let (agent, _discovery) = agent(server, 64);
    let mut silent: Vec<_> = (0..CONNECTIONS).map(|_| begin_response(&agent, 0)).collect();
    let mut other = Client::connect(&agent);
    other.stream.set_read_timeout(Some(SILENCE_LIMIT / 2)).unwrap();
    assert_eq!(other.exchange(&request("read", 9000)).status(), 200);
    silent.iter().for_each(|_| go_on.send(()).unwrap());
    let whole =
        silent.iter_mut().filter_map(|input| read_rest(input, 0)).filter(|bytes| *bytes == LONG).count();
    assert!((1..CONNECTIONS).contains(&whole), "{whole} responses went on");
}
