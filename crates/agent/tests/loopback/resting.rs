//! Connections to servers that end while they rest, or just as a request goes out on them, and attempts that fail at once.

use crate::common::*;
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// What a server does to a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Fin,
    Reset,
    /// Bytes that nobody asked for, and the connection stays open.
    HalfALine,
    /// The same, and then a FIN.
    HalfALineAndFin,
    /// The same, and then a reset.
    HalfALineAndReset,
    /// It stays open, and nothing is ever said on it again.
    Silence,
}

const ENDS: [End; 6] =
    [End::Fin, End::Reset, End::HalfALine, End::HalfALineAndFin, End::HalfALineAndReset, End::Silence];

/// Ends a connection; what has to stay open is held to the end of the test's process.
fn end(stream: TcpStream, how: End) {
    if matches!(how, End::HalfALine | End::HalfALineAndFin | End::HalfALineAndReset) {
        let _ = (&stream).write_all(b"HTTP/1.1 4");
    }
    match how {
        End::Fin | End::HalfALineAndFin => drop(stream.shutdown(Shutdown::Both)),
        End::Reset | End::HalfALineAndReset => {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            let ports = (stream.local_addr().unwrap().port(), stream.peer_addr().unwrap().port());
            drop(stream);
            until_gone(ports);
        }
        End::HalfALine | End::Silence => std::mem::forget(stream),
    }
}

/// Waits until a reset has arrived: a process that another test is just starting may hold the socket a little longer, and the
/// machine may take its time.
fn until_gone((one, other): (u16, u16)) {
    let begun = Instant::now();
    let (one, other) = (format!(":{one:04X}"), format!(":{other:04X}"));
    let is_between = |line: &str| {
        let mut ends = line.split_whitespace().skip(1).take(2);
        let ends = (ends.next().unwrap_or_default(), ends.next().unwrap_or_default());
        ends.0.ends_with(&one) && ends.1.ends_with(&other)
            || ends.0.ends_with(&other) && ends.1.ends_with(&one)
    };
    while std::fs::read_to_string("/proc/net/tcp").unwrap().lines().any(is_between) {
        assert!(begun.elapsed() < TEST_TIMEOUT, "the reset does not arrive");
        thread::yield_now();
    }
}

/// When a server ends its connections.
#[derive(Clone, Copy, PartialEq)]
enum When {
    /// As they come.
    Accepted,
    /// When a request has come, the first or a later one, in place of its answer.
    Asked(usize),
    /// When it is told to after the first answer, with nothing asked.
    Rested,
}

/// A server that ends its connections so.
struct Server {
    address: SocketAddr,
    requests: Arc<EventLog<Message>>,
    connections_closed: Arc<EventLog<()>>,
    /// As many connections may end at rest as this has entries.
    go: Arc<EventLog<()>>,
}

fn server(when: When, how: End) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server =
        Server { address, requests: Arc::default(), connections_closed: Arc::default(), go: Arc::default() };
    let (tally, ends, go) =
        (Arc::clone(&server.requests), Arc::clone(&server.connections_closed), Arc::clone(&server.go));
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (tally, ends, go) = (Arc::clone(&tally), Arc::clone(&ends), Arc::clone(&go));
            thread::spawn(move || {
                let mut input = BufReader::new(stream.try_clone().unwrap());
                let mut asked = 0;
                loop {
                    if when == When::Accepted {
                        break;
                    }
                    let Some(message) = Message::read(&mut input) else { return };
                    tally.push(message);
                    if when == When::Asked(asked) {
                        break;
                    }
                    asked += 1;
                    let _ = (&stream).write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
                    if when == When::Rested {
                        go.wait_for(ends.all().len() + 1);
                        break;
                    }
                }
                drop(input);
                end(stream, how);
                ends.push(());
            });
        }
    });
    server
}

fn agent(addresses: &[SocketAddr]) -> (Agent, Discovery) {
    let lines = addresses.iter().enumerate().map(|(n, address)| serving(&format!("s{n}"), *address));
    let lines = lines.collect::<Vec<_>>().join(",");
    let discovery = Discovery::new(lines.clone());
    (Agent::start(&config(discovery.address, &lines, SETTINGS, 1024)), discovery)
}

/// Whatever a server has done to a resting connection that can be seen there: the next request goes on another, once.
#[test]
fn what_has_ended_at_rest_carries_no_request() {
    for how in ENDS.into_iter().filter(|how| *how != End::Silence) {
        let server = server(When::Rested, how);
        let (agent, _discovery) = agent(&[server.address]);
        let mut client = Client::connect(&agent);
        for n in 1..=6 {
            assert_eq!(client.exchange(&request("once", 9000)).status(), 200, "{how:?}, request {n}");
            // Rested long enough to be used again.
            thread::sleep(Duration::from_millis(50));
            server.go.push(());
            server.connections_closed.wait_for(n);
        }
        assert_eq!(server.requests.all().len(), 6, "{how:?}");
    }
}

/// The same where the agent has been held up, and comes to see the end and the request at one moment, in either order.
#[test]
fn what_ends_at_rest_while_nobody_looks_carries_no_request() {
    for how in ENDS.into_iter().filter(|how| *how != End::Silence) {
        for request_first in [false, true] {
            let server = server(When::Rested, how);
            let (agent, _discovery) = agent(&[server.address]);
            let signal = |signal: &str| {
                let pid = agent.child.id().to_string();
                assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
            };
            let mut client = Client::connect(&agent);
            assert_eq!(client.exchange(&request("once", 9000)).status(), 200);
            // Rested long enough to be used again.
            thread::sleep(Duration::from_millis(50));
            signal("-STOP");
            if request_first {
                client.write(&request("once", 9000));
            }
            server.go.push(());
            server.connections_closed.wait_for(1);
            if !request_first {
                client.write(&request("once", 9000));
            }
            signal("-CONT");
            let status = client.read().map(|answer| answer.status());
            assert_eq!((status, server.requests.all().len()), (Some(200), 2), "{how:?} {request_first}");
        }
    }
}

/// What was written to a connection that ends then may have run: it is repeated where that is lawful, on a new connection, and
/// has its one answer in time.
#[test]
fn a_request_that_crosses_the_end_of_a_resting_connection_is_treated_as_begun() {
    for how in ENDS {
        // The first request on a connection is answered, the second meets its end.
        let Server { address, requests: heard, .. } = server(When::Asked(1), how);
        for (class, expected, attempts) in [("once", 502, 1), ("read", 200, 2), ("zoned", 200, 2)] {
            let (agent, _discovery) = agent(&[address]);
            let mut client = Client::connect(&agent);
            let before = heard.all().len();
            let budget = if how == End::Silence { 1500 } else { 9000 };
            assert_eq!(client.exchange(&request(class, budget)).status(), 200);
            // Rested long enough to be used again.
            thread::sleep(Duration::from_millis(100));
            let since = Instant::now();
            let status = client.exchange(&request(class, budget)).status();
            assert!(since.elapsed() < Duration::from_millis(budget + 500), "{how:?} {class}");
            let heard = heard.all().len() - before - 1;
            match how {
                // Nobody can tell that from a server that takes its time.
                End::Silence => {
                    assert!((502..=504).contains(&status) && heard == 1, "{class} {status} {heard}");
                }
                _ => assert_eq!((status, heard), (expected, attempts), "{how:?} {class}"),
            }
        }
    }
}

/// Servers that fail each attempt at once: no storm of attempts, no connection after connection, and one answer.
#[test]
fn attempts_that_fail_at_once_end_in_one_answer() {
    let refused = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    for when in [When::Accepted, When::Asked(0)] {
        for how in [End::Fin, End::Reset, End::HalfALineAndFin, End::HalfALineAndReset] {
            let servers = [(); 3].map(|()| server(when, how));
            let addresses: Vec<SocketAddr> = servers.iter().map(|server| server.address).collect();
            let (agent, _discovery) = agent(&[addresses.as_slice(), &[refused]].concat());
            let heard = || servers.iter().map(|server| server.requests.all().len()).sum::<usize>();
            let mut client = Client::connect(&agent);
            for class in ["once", "read", "zoned", "all"] {
                let (before, since) = (heard(), Instant::now());
                let answer = client.exchange(&request(class, 3000));
                assert!(since.elapsed() < Duration::from_millis(3500), "{how:?} {class}");
                assert!(matches!(answer.status(), 502..=504), "{how:?} {class}: {}", answer.start_line);
                let most = if class == "once" { 1 } else { 3 };
                assert!(heard() - before <= most, "{how:?} {class}: {} attempts", heard() - before);
            }
            // Each attempt has one connection at most.
            let ended: usize = servers.iter().map(|server| server.connections_closed.all().len()).sum();
            assert!(ended <= 4 * 3, "{how:?}: {ended} connections");
        }
    }
}

/// And one server that does so takes nothing from those that may be repeated while others are well.
#[test]
fn attempts_that_fail_at_once_go_on_elsewhere() {
    for when in [When::Accepted, When::Asked(0)] {
        for how in [End::Fin, End::Reset] {
            let bad = server(when, how).address;
            let good = RecordServer::new(|_| ok("well"));
            let (agent, _discovery) = agent(&[bad, good.address]);
            let mut client = Client::connect(&agent);
            for class in ["read", "zoned", "all"].repeat(5) {
                assert_eq!(client.exchange(&request(class, 9000)).status(), 200, "{how:?} {class}");
            }
        }
    }
}
