//! Long bodies whose servers do not take them: the time of the client counts from its last byte, wherever that byte lies.

use crate::bulk::{raw_server, read_head};
use crate::common::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

/// A body that is streamed, and that fits into the buffers of the client's connection.
const BODY_BYTES: usize = 400 * 1024;
/// The same of a body that is several times as long as what the server's connection holds.
const LONGER_BODY_BYTES: usize = 4 * BODY_BYTES;
/// What a server reads of a body before it hangs or becomes slow: more than the agent can send again.
const BEGINNING_BYTES: usize = 128 * 1024;
const PIECE_BYTES: usize = 2048;
/// How long a server works on a request.
const RESPONSE_DELAY: Duration = Duration::from_millis(150);

/// Starts an agent. Requests of class `once` may take `once_ms`, all others `other_ms`.
fn agent(server: SocketAddr, once_ms: u64, other_ms: u64) -> (Agent, Discovery) {
    let deadline = |ms: u64| format!(r#""aimMs":{},"deadlineMs":{ms}"#, ms / 2);
    let classes = SETTINGS.replace(r#""aimMs":5000,"deadlineMs":10000"#, &deadline(other_ms));
    let once = r#"{"name":"once","effect":"at_most_once","#;
    let settings =
        classes.replace(&format!("{once}{}", deadline(other_ms)), &format!("{once}{}", deadline(once_ms)));
    assert!(settings.contains(&deadline(once_ms)) && settings.contains(&deadline(other_ms)));
    let targets = serving("s", server);
    let discovery = Discovery::new(targets.clone());
    (Agent::start(&config(discovery.address, &targets, &settings, 1024)), discovery)
}

/// A server whose connections hold few bytes that it has not read. It reads the beginning of a body and sends a signal; from then on
/// it reads `bytes` every 20 ms, or nothing at all. It responds once it has the whole body.
fn slow_reader(bytes: Option<usize>) -> (SocketAddr, mpsc::Receiver<()>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(16 * 1024).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(64).unwrap();
    let listener: TcpListener = socket.into();
    let address = listener.local_addr().unwrap();
    let (has_beginning, signals) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let has_beginning = has_beginning.clone();
            thread::spawn(move || {
                let mut input = BufReader::with_capacity(512, stream.try_clone().unwrap());
                if read_head(&mut input).is_none() || input.read_exact(&mut vec![0; BEGINNING_BYTES]).is_err()
                {
                    return;
                }
                has_beginning.send(()).unwrap();
                let Some(bytes) = bytes else { return thread::sleep(TEST_TIMEOUT) };
                for _ in 0..(LONGER_BODY_BYTES - BEGINNING_BYTES) / bytes {
                    thread::sleep(Duration::from_millis(20));
                    if input.read_exact(&mut vec![0; bytes]).is_err() {
                        return;
                    }
                }
                let _ = (&stream).write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
                let _ = input.read(&mut [0]);
            });
        }
    });
    (address, signals)
}

/// A server that reads bodies in any framing to their end, with a pause after each 256 KiB, and responds.
fn reader(pause: Duration) -> SocketAddr {
    raw_server(move |stream| {
        let mut input = BufReader::new(stream.try_clone().unwrap());
        let mut output = stream;
        let Some(head) = read_head(&mut input) else { return };
        let mut left = head.header("X-Length").and_then(|length| length.parse().ok()).unwrap_or(usize::MAX);
        let (mut piece, mut tail) = (vec![0; 256 * 1024], Vec::new());
        let mut since_pause = 0;
        while left > 0 && !tail.ends_with(b"\r\n0\r\n\r\n") {
            let Ok(read @ 1..) = input.read(&mut piece) else { return };
            left -= read;
            tail.extend_from_slice(&piece[..read]);
            tail.drain(..tail.len().saturating_sub(7));
            since_pause += read;
            if since_pause >= piece.len() {
                since_pause = 0;
                thread::sleep(pause);
            }
        }
        thread::sleep(RESPONSE_DELAY);
        let _ = output.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        let _ = input.read(&mut [0]);
    })
}

/// The head of a request whose body has this length.
fn upload_head(class: &str, bytes: usize, chunked: bool, budget_ms: u64) -> String {
    let framing =
        if chunked { "Transfer-Encoding: chunked".into() } else { format!("Content-Length: {bytes}") };
    request(class, budget_ms).replace("Content-Length: 4\r\n\r\nbody", &format!("{framing}\r\n\r\n"))
}

/// Writes a part of a body.
fn write_piece(mut stream: &TcpStream, bytes: usize, chunked: bool) {
    let body = "x".repeat(bytes);
    let text = if chunked { format!("{bytes:x}\r\n{body}\r\n") } else { body };
    // The agent may have responded and closed.
    let _ = stream.write_all(text.as_bytes());
}

fn write_end(mut stream: &TcpStream, chunked: bool) {
    if chunked {
        let _ = stream.write_all(b"0\r\n\r\n");
    }
}

/// A server that stops reading must not hold back the response to a request that has arrived completely: it is due with the time of
/// its own client, and comes before that of a request with a longer time that was sent earlier.
#[test]
fn a_server_that_hangs_does_not_delay_the_response_to_a_long_body() {
    for chunked in [false, true] {
        let (server, has_beginning) = slow_reader(None);
        // The longer time is less than a stalled write is waited for.
        let (agent, _discovery) = agent(server, 2500, 1000);
        let (log, responses) = mpsc::channel();
        let send = |name: &'static str, head: String, bytes: usize| {
            let (mut client, log) = (Client::connect(&agent), log.clone());
            thread::spawn(move || {
                client.write(&head);
                if bytes > 0 {
                    write_piece(&client.stream, bytes, chunked);
                    write_end(&client.stream, chunked);
                }
                let status = client.read().map(|response| response.status());
                let _ = log.send((name, status));
            })
        };
        let short = send("short", request("once", 2500), 0);
        let long = send("long", upload_head("all", BODY_BYTES, chunked, 1000), BODY_BYTES);
        has_beginning.recv_timeout(TEST_TIMEOUT).expect("the long request is sent to the server");
        let first = responses.recv_timeout(TEST_TIMEOUT).unwrap();
        assert!(matches!(first, ("long", Some(502..=504))), "chunked: {chunked}, first: {first:?}");
        long.join().unwrap();
        short.join().unwrap();
    }
}

/// The same where more lies in the client's send buffer than the kernel uses by default: the request has been written, so its time runs,
/// whatever share of it has reached the agent.
#[test]
fn a_server_that_hangs_does_not_delay_the_response_to_a_body_in_a_large_send_buffer() {
    let (server, has_beginning) = slow_reader(None);
    let (agent, _discovery) = agent(server, 2500, 1000);
    let large = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    // As much as the system allows: 8 MiB where the limit is 4 MiB, since the kernel doubles it.
    large.set_send_buffer_size(1 << 30).unwrap();
    let body_bytes = BEGINNING_BYTES + large.send_buffer_size().unwrap() / 4 * 3;
    large.connect(&agent.address.into()).unwrap();
    let (mut short, mut long) = (Client::connect(&agent), Client::from_stream(large.into()));
    let (log, responses) = mpsc::channel();
    let written = log.clone();
    short.write(&request("once", 2500));
    let writing = thread::spawn(move || {
        long.write(&upload_head("all", body_bytes, false, 1000));
        write_piece(&long.stream, body_bytes, false);
        written.send(("written", None)).unwrap();
        log.send(("long", long.read().map(|response| response.status()))).unwrap();
    });
    has_beginning.recv_timeout(TEST_TIMEOUT).expect("the long request is sent to the server");
    let reading = thread::spawn(move || short.read());
    assert_eq!(responses.recv_timeout(TEST_TIMEOUT), Ok(("written", None)));
    let status = responses.recv_timeout(TEST_TIMEOUT).unwrap().1;
    assert!(matches!(status, Some(502..=504)), "{status:?}");
    assert!(!reading.is_finished(), "the request with the longer time was first");
    writing.join().unwrap();
    reading.join().unwrap();
}

/// A server that takes a body in small pieces never stalls, so no limit on stalls ends the wait: the time of the client must.
#[test]
fn a_server_that_reads_slowly_does_not_delay_the_response_to_a_long_body() {
    for chunked in [false, true] {
        // The server takes 1.8 s for the body, of which the last 0.3 s or so come after the agent has read all of it.
        let (server, has_beginning) = slow_reader(Some(16 * 1024));
        let (agent, _discovery) = agent(server, 1000, 1000);
        let mut client = Client::connect(&agent);
        client.write(&upload_head("once", LONGER_BODY_BYTES, chunked, 1000));
        write_piece(&client.stream, LONGER_BODY_BYTES, chunked);
        write_end(&client.stream, chunked);
        has_beginning.recv_timeout(TEST_TIMEOUT).expect("the request is sent to the server");
        let status = client.read().map(|response| response.status());
        assert!(matches!(status, Some(502..=504)), "chunked: {chunked}, {status:?} long after its time");
    }
}

/// The time of a client that is still sending does not run: neither if it sends small pieces without a pause that is worth mentioning,
/// nor if it pauses before the last one.
#[test]
fn a_client_that_sends_for_longer_than_its_time_is_served() {
    for chunked in [false, true] {
        for (interval, last_pause, end_pause) in [(8, 8, 0), (0, 800, 0), (0, 0, 450)] {
            let (agent, _discovery) = agent(reader(Duration::ZERO), 500, 500);
            let mut client = Client::connect(&agent);
            client.write(&upload_head("once", BODY_BYTES, chunked, 500));
            for n in 1..=BODY_BYTES / PIECE_BYTES {
                let pause = if n == BODY_BYTES / PIECE_BYTES { last_pause } else { interval };
                thread::sleep(Duration::from_millis(pause));
                write_piece(&client.stream, PIECE_BYTES, chunked);
            }
            // In chunks, the end of the body may come long after its last byte.
            thread::sleep(Duration::from_millis(if chunked { end_pause } else { 0 }));
            write_end(&client.stream, chunked);
            let status = client.read().map(|response| response.status());
            assert_eq!(
                status,
                Some(200),
                "chunked: {chunked}, pauses: {interval}, {last_pause}, {end_pause} ms"
            );
        }
    }
}

/// A body that is longer than what the sockets hold has not been sent while its server is still reading it.
#[test]
fn a_body_whose_server_reads_for_longer_than_the_time_of_its_client_is_served() {
    const LONG: usize = 31 * 1024 * 1024;
    for chunked in [false, true] {
        // 124 pauses, of which 16 are in the part that the sockets can hold.
        let (agent, _discovery) = agent(reader(Duration::from_millis(20)), 1500, 1500);
        let mut client = Client::connect(&agent);
        client.write(&upload_head("once", LONG, chunked, 1500));
        for _ in 0..LONG / (1024 * 1024) {
            write_piece(&client.stream, 1024 * 1024, chunked);
        }
        write_end(&client.stream, chunked);
        assert_eq!(client.read().map(|response| response.status()), Some(200), "chunked: {chunked}");
    }
}
