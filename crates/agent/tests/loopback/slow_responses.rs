//! Servers that write their responses slowly: no response is cut off, and its client gets what its server gives in time.

use crate::bulk::{raw_server, read_head};
use crate::common::*;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A body that is too long to be buffered.
const LONG: usize = 150_000;
const SHORT: usize = 9_000;
/// What a server writes before it pauses within the body: less than shows that a body without a length is long.
const BEGINNING: usize = 2_000;
/// The client's time, and how long it waits in vain at most.
const BUDGET_MS: u64 = 1200;

/// Bytes that are held back for this long count as lost.
const HOLD_LIMIT: Duration = Duration::from_secs(2);

/// How a response states its length.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Length,
    Chunked,
    Close,
}

/// A response that pauses after its head, after a part of its body, or both.
#[derive(Clone, Copy, Debug)]
struct Slow {
    framing: Framing,
    bytes: usize,
    pause_after_head: Duration,
    pause_in_body: Duration,
}

/// Writes a slow response, as far as its reader takes it.
fn write_slowly(stream: &TcpStream, slow: Slow) -> std::io::Result<()> {
    let mut output = stream;
    let head = match slow.framing {
        Framing::Length => format!("Content-Length: {}\r\n", slow.bytes),
        Framing::Chunked => "Transfer-Encoding: chunked\r\n".into(),
        Framing::Close => "Connection: close\r\n".into(),
    };
    let part = |bytes: usize| {
        let text = "x".repeat(bytes);
        if slow.framing == Framing::Chunked {
            format!("{bytes:x}\r\n{text}\r\n")
        } else {
            text
        }
    };
    write!(output, "HTTP/1.1 200 OK\r\n{head}\r\n")?;
    thread::sleep(slow.pause_after_head);
    output.write_all(part(BEGINNING).as_bytes())?;
    thread::sleep(slow.pause_in_body);
    output.write_all(part(slow.bytes - BEGINNING).as_bytes())?;
    match slow.framing {
        Framing::Length => Ok(()),
        Framing::Chunked => output.write_all(b"0\r\n\r\n"),
        Framing::Close => stream.shutdown(Shutdown::Write),
    }
}

/// A server whose responses are all slow in the same way, and the number of requests that it has got.
fn slow_server(slow: Slow) -> (std::net::SocketAddr, Arc<AtomicUsize>) {
    let requests = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&requests);
    let address = raw_server(move |stream| {
        let mut input = BufReader::new(stream.try_clone().unwrap());
        while let Some(head) = read_head(&mut input) {
            let length = head.header("x-length").map_or(0, |length| length.parse().unwrap());
            let _ = input.read_exact(&mut vec![0; length]);
            count.fetch_add(1, Ordering::SeqCst);
            if write_slowly(&stream, slow).is_err() {
                return;
            }
        }
    });
    (address, requests)
}

fn start(server: std::net::SocketAddr, settings: &str) -> (Agent, Discovery) {
    let targets = serving("s", server);
    let discovery = Discovery::new(targets.clone());
    (Agent::start(&config(discovery.address, &targets, settings, 1024)), discovery)
}

/// The status of the response, the number of bytes of its body (each is an `x`), and when its first byte came.
fn fetch(agent: &Agent, class: &str, budget_ms: u64) -> (u16, usize, Duration) {
    let mut client = Client::connect(agent);
    let start = Instant::now();
    client.write(&request(class, budget_ms).replace("Host", "Connection: close\r\nHost"));
    let mut first = [0];
    client.stream.peek(&mut first).unwrap();
    let first_byte = start.elapsed();
    let mut input = BufReader::new(client.stream);
    let status = read_head(&mut input).map_or(0, |head| head.status());
    let mut body = Vec::new();
    let _ = input.read_to_end(&mut body);
    (status, body.iter().filter(|byte| **byte == b'x').count(), first_byte)
}

/// Runs all cases at the same time, each with its own agent.
fn assert_served(cases: Vec<Slow>, classes: &[&str]) {
    thread::scope(|scope| {
        for slow in cases {
            for class in classes {
                scope.spawn(move || {
                    let (server, requests) = slow_server(slow);
                    let (agent, _discovery) = start(server, SETTINGS);
                    let (status, bytes, first_byte) = fetch(&agent, class, BUDGET_MS);
                    assert_eq!((status, bytes), (200, slow.bytes), "{class}: {slow:?}");
                    assert!(
                        first_byte < Duration::from_millis(BUDGET_MS),
                        "{class}: {first_byte:?}, {slow:?}"
                    );
                    if *class == "once" {
                        assert_eq!(requests.load(Ordering::SeqCst), 1, "{slow:?}");
                    }
                });
            }
        }
    });
}

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunked, Framing::Close];

/// Guards against taking a pause of a server for the end of its response.
#[test]
fn a_response_that_pauses_within_the_time_of_its_client_is_served() {
    let ms = Duration::from_millis;
    let pauses = [(ms(250), ms(0)), (ms(0), ms(250)), (ms(700), ms(0)), (ms(0), ms(700)), (ms(400), ms(400))];
    let mut cases = Vec::new();
    for framing in FRAMINGS {
        for bytes in [SHORT, LONG] {
            for (pause_after_head, pause_in_body) in pauses {
                cases.push(Slow { framing, bytes, pause_after_head, pause_in_body });
            }
        }
    }
    assert_served(cases, &["once", "read"]);
}

/// The first bytes of a long response must come in time; its end may come later.
#[test]
fn a_long_response_that_goes_on_after_the_time_of_its_client_is_served() {
    let mut cases = Vec::new();
    for framing in FRAMINGS {
        let (pause_after_head, pause_in_body) = (Duration::from_millis(600), Duration::from_millis(1400));
        cases.push(Slow { framing, bytes: LONG, pause_after_head, pause_in_body });
        cases.push(Slow {
            framing,
            bytes: LONG,
            pause_after_head: pause_in_body,
            pause_in_body: pause_after_head,
        });
    }
    assert_served(cases, &["once", "all", "read"]);
}

/// What has come of a response is not held back for seconds while its server pauses, however long its client would wait.
#[test]
fn a_response_that_pauses_is_not_held_back() {
    let pause_in_body = Duration::from_secs(4);
    thread::scope(|scope| {
        for framing in FRAMINGS {
            for pause_after_head in [Duration::ZERO, Duration::from_millis(300)] {
                scope.spawn(move || {
                    let slow = Slow { framing, bytes: LONG, pause_after_head, pause_in_body };
                    let (server, _) = slow_server(slow);
                    let (agent, _discovery) = start(server, SETTINGS);
                    let (status, bytes, first_byte) = fetch(&agent, "once", 9000);
                    assert_eq!((status, bytes), (200, LONG), "{slow:?}");
                    assert!(first_byte < HOLD_LIMIT, "{first_byte:?}, {slow:?}");
                });
            }
        }
    });
}

/// Many slow responses in a row: what is learned from some of them must not cut off others. Requests may be rejected, since a single
/// server is that slow, but none that has reached it.
#[test]
fn many_slow_responses_in_a_row_are_not_cut_off() {
    const REQUESTS: u64 = 40;
    let (pause_after_head, pause_in_body) = (Duration::from_millis(50), Duration::from_millis(800));
    let slow = Slow { framing: Framing::Chunked, bytes: LONG, pause_after_head, pause_in_body };
    let (server, requests) = slow_server(slow);
    let (agent, _discovery) = start(server, SETTINGS);
    let served = AtomicUsize::new(0);
    thread::scope(|scope| {
        for number in 0..REQUESTS {
            let (agent, served) = (&agent, &served);
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(50 * number));
                let (status, bytes, _) = fetch(agent, "once", BUDGET_MS);
                assert!(
                    matches!((status, bytes), (200, LONG) | (503, 0)),
                    "{number}: {status}, {bytes} bytes"
                );
                served.fetch_add(usize::from(status == 200), Ordering::SeqCst);
            });
        }
    });
    assert_eq!(served.load(Ordering::SeqCst), requests.load(Ordering::SeqCst));
}

/// A request that may be repeated need not wait for a server that has stopped within its response, and neither does it end that
/// response: another server may be asked beside it, where the settings allow that.
#[test]
fn a_stopped_response_does_not_keep_a_repeatable_request_waiting() {
    let never = Duration::from_secs(60);
    let stopped = Slow {
        framing: Framing::Length,
        bytes: SHORT,
        pause_after_head: Duration::ZERO,
        pause_in_body: never,
    };
    let (slow, _) = slow_server(stopped);
    let fast = RecordServer::new(|_| ok("xx"));
    let targets = [serving("slow", slow), serving("fast", fast.address)].join(",");
    let discovery = Discovery::new(targets.clone());
    let agent = Agent::start(&config(discovery.address, &targets, SETTINGS, 1024));
    for _ in 0..12 {
        let (status, bytes, _) = fetch(&agent, "read", 9000);
        assert_eq!((status, bytes), (200, 2));
    }
}
