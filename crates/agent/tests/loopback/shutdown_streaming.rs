//! Long responses at SIGTERM: they continue to their end, however long after the longest deadline it comes.

use crate::bulk::{raw_server, read_head};
use crate::common::*;
use std::io::{BufReader, Read, Write};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// A process without long responses exits at most this long after SIGTERM: it accepts connections for 0.5 s, then come the longest
/// deadline (0.2 s here) and 1 s.
const LONGEST_SHORT_SHUTDOWN: Duration = Duration::from_millis(1700);
const PIECE_BYTES: usize = 16 * 1024;
const PIECES: usize = 32;
/// The pieces that a server sends at once: the agent forwards a response without a length only when more than 64 KiB have arrived.
const BEGINNING_PIECES: usize = 5;
/// The length of a long response.
pub const LONG: usize = PIECES * PIECE_BYTES;

/// How a server sends a long response.
#[derive(Clone, Copy)]
pub enum Pace {
    /// In pieces, which together take far longer than [`LONGEST_SHORT_SHUTDOWN`].
    Slow,
    /// As fast as it is taken.
    Full,
    /// The beginning, then nothing.
    Stalls,
}

/// A server whose responses to `once` are long.
pub fn long_server(pace: Pace, chunked: bool) -> SocketAddr {
    raw_server(move |stream| {
        let mut input = BufReader::new(stream.try_clone().unwrap());
        let mut output = stream;
        while let Some(head) = read_head(&mut input) {
            if !head.path().starts_with("/once") {
                let _ = output.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
                continue;
            }
            let _ = input.read_exact(&mut [0; 4]);
            let framing =
                if chunked { "Transfer-Encoding: chunked".into() } else { format!("Content-Length: {LONG}") };
            let piece = "x".repeat(PIECE_BYTES);
            let piece = if chunked { format!("{PIECE_BYTES:x}\r\n{piece}\r\n") } else { piece };
            // At once: a response that stalls before the agent forwards it is broken.
            let beginning = format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n{}", piece.repeat(BEGINNING_PIECES));
            let _ = output.write_all(beginning.as_bytes());
            for _ in BEGINNING_PIECES..PIECES {
                match pace {
                    Pace::Slow => thread::sleep(LONGEST_SHORT_SHUTDOWN / 16),
                    Pace::Stalls => thread::sleep(TEST_TIMEOUT),
                    Pace::Full => {}
                }
                if output.write_all(piece.as_bytes()).is_err() {
                    return;
                }
            }
            if chunked {
                let _ = output.write_all(b"0\r\n\r\n");
            }
        }
    })
}

/// Starts an agent whose longest deadline is 0.2 s.
fn start(server: SocketAddr) -> (Agent, Discovery) {
    let settings = SETTINGS.replace(r#""aimMs":5000,"deadlineMs":10000"#, r#""aimMs":100,"deadlineMs":200"#);
    let targets = serving("s", server);
    let discovery = Discovery::new(targets.clone());
    (Agent::start(&config(discovery.address, &targets, &settings, 1024)), discovery)
}

/// Sends a request whose response is long, and reads the head.
pub fn begin_long_response(client: &mut Client, budget_ms: u64) -> BufReader<std::net::TcpStream> {
    client.write(&request("once", budget_ms));
    let mut input = BufReader::new(client.stream.try_clone().unwrap());
    assert_eq!(read_head(&mut input).map(|head| head.status()), Some(200));
    input
}

/// A planned restart must not cut off a response that its server is still sending: it may have run and can't be repeated.
#[test]
fn a_streamed_response_outlasts_the_longest_deadline_after_sigterm() {
    for chunked in [false, true] {
        let (mut agent, _discovery) = start(long_server(Pace::Slow, chunked));
        let mut client = Client::connect(&agent);
        let mut input = begin_long_response(&mut client, 200);
        agent.terminate();
        let terminated_at = Instant::now();
        let mut body = Vec::new();
        input.read_to_end(&mut body).unwrap();
        let is_whole = if chunked { body.ends_with(b"0\r\n\r\n") } else { body.len() == LONG };
        assert!(is_whole, "chunked: {chunked}, only {} of {LONG} bytes", body.len());
        assert!(terminated_at.elapsed() > LONGEST_SHORT_SHUTDOWN, "the response was too short for this test");
        assert_eq!(agent.wait_for_exit(), Some(0));
    }
}

/// A planned restart must not cut off a response that its client is still reading, nor destroy the end of it when the client's next
/// request crosses the close.
#[test]
fn a_client_that_reads_slowly_gets_its_streamed_response_after_sigterm() {
    let (mut agent, _discovery) = start(long_server(Pace::Full, false));
    let small = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    small.set_recv_buffer_size(2048).unwrap();
    small.connect(&agent.address.into()).unwrap();
    let mut client = Client::from_stream(small.into());
    let mut input = begin_long_response(&mut client, 200);
    agent.terminate();
    let mut body = Vec::new();
    let mut piece = [0; PIECE_BYTES];
    while body.len() < LONG / 2 {
        let read = input.read(&mut piece).unwrap();
        assert!(read > 0, "only {} of {LONG} bytes", body.len());
        body.extend_from_slice(&piece[..read]);
        // Half of the response takes twice as long as a shutdown without it.
        thread::sleep(LONGEST_SHORT_SHUTDOWN.mul_f64(4.0 * read as f64 / LONG as f64));
    }
    client.write(&request("read", 200));
    while body.len() < LONG {
        let read = input.read(&mut piece).unwrap_or(0);
        assert!(read > 0, "only {} of {LONG} bytes", body.len());
        body.extend_from_slice(&piece[..read]);
    }
    drop((client, input));
    assert_eq!(agent.wait_for_exit(), Some(0));
}

/// A server that stops in the middle of a response must not hold the process: the response is broken, and the process exits.
#[test]
fn a_streamed_response_that_stalls_does_not_hold_the_process() {
    let (mut agent, _discovery) = start(long_server(Pace::Stalls, false));
    let mut client = Client::connect(&agent);
    let mut input = begin_long_response(&mut client, 200);
    agent.terminate();
    let mut body = Vec::new();
    let _ = input.read_to_end(&mut body);
    assert!(body.len() < LONG);
    assert_eq!(agent.wait_for_exit(), Some(0));
}
