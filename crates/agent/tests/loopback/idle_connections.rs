//! Connections to servers that end while they are idle, or just as a request is sent on them, and attempts that fail at once.

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
    /// Unrequested bytes, and the connection stays open.
    PartialLine,
    /// The same, and then a FIN.
    PartialLineThenFin,
    /// The same, and then a reset.
    PartialLineThenReset,
    /// It stays open, and nothing is ever sent on it again.
    Silence,
}

const ENDS: [End; 6] = [
    End::Fin,
    End::Reset,
    End::PartialLine,
    End::PartialLineThenFin,
    End::PartialLineThenReset,
    End::Silence,
];

/// Ends a connection. One that has to stay open does so until the test process exits.
fn end(stream: TcpStream, how: End) {
    if matches!(how, End::PartialLine | End::PartialLineThenFin | End::PartialLineThenReset) {
        let _ = (&stream).write_all(b"HTTP/1.1 4");
    }
    match how {
        End::Fin | End::PartialLineThenFin => drop(stream.shutdown(Shutdown::Both)),
        End::Reset | End::PartialLineThenReset => {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            let ports = (stream.local_addr().unwrap().port(), stream.peer_addr().unwrap().port());
            drop(stream);
            wait_until_closed(ports);
        }
        End::PartialLine | End::Silence => std::mem::forget(stream),
    }
}

/// Waits until a reset has arrived: a process that another test is just starting may hold the socket a little longer, and the
/// kernel may take its time.
fn wait_until_closed((one, other): (u16, u16)) {
    let start = Instant::now();
    let (one, other) = (format!(":{one:04X}"), format!(":{other:04X}"));
    let is_between = |line: &str| {
        let mut ends = line.split_whitespace().skip(1).take(2);
        let ends = (ends.next().unwrap_or_default(), ends.next().unwrap_or_default());
        ends.0.ends_with(&one) && ends.1.ends_with(&other)
            || ends.0.ends_with(&other) && ends.1.ends_with(&one)
    };
    while std::fs::read_to_string("/proc/net/tcp").unwrap().lines().any(is_between) {
        assert!(start.elapsed() < TEST_TIMEOUT, "the reset does not arrive");
        thread::yield_now();
    }
}

/// When a server ends its connections.
#[derive(Clone, Copy, PartialEq)]
enum When {
    /// As soon as they are accepted.
    OnAccept,
    /// In place of the response to this request of a connection; the first is 0.
    OnRequest(usize),
    /// When the test releases it after the first response, while the connection is idle.
    WhileIdle,
}

/// A server that ends its connections in a given way.
struct EndingServer {
    address: SocketAddr,
    requests: Arc<EventLog<Message>>,
    connections_closed: Arc<EventLog<()>>,
    /// As many idle connections are ended as this has entries.
    releases: Arc<EventLog<()>>,
}

fn server(when: When, how: End) -> EndingServer {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = EndingServer {
        address,
        requests: Arc::default(),
        connections_closed: Arc::default(),
        releases: Arc::default(),
    };
    let (requests, closed, releases) =
        (Arc::clone(&server.requests), Arc::clone(&server.connections_closed), Arc::clone(&server.releases));
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (requests, closed, releases) =
                (Arc::clone(&requests), Arc::clone(&closed), Arc::clone(&releases));
            thread::spawn(move || {
                let mut input = BufReader::new(stream.try_clone().unwrap());
                let mut received = 0;
                loop {
                    if when == When::OnAccept {
                        break;
                    }
                    let Some(message) = Message::read(&mut input) else { return };
                    requests.push(message);
                    if when == When::OnRequest(received) {
                        break;
                    }
                    received += 1;
                    let _ = (&stream).write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
                    if when == When::WhileIdle {
                        releases.wait_for(closed.all().len() + 1);
                        break;
                    }
                }
                drop(input);
                end(stream, how);
                closed.push(());
            });
        }
    });
    server
}

fn agent(addresses: &[SocketAddr]) -> (Agent, Discovery) {
    let targets = addresses.iter().enumerate().map(|(n, address)| serving(&format!("s{n}"), *address));
    let targets = targets.collect::<Vec<_>>().join(",");
    let discovery = Discovery::new(targets.clone());
    (Agent::start(&config(discovery.address, &targets, SETTINGS, 1024)), discovery)
}

/// Whatever a server does to an idle connection that the agent can notice: the next request is sent once, on another connection.
#[test]
fn a_connection_that_ended_while_idle_carries_no_request() {
    for how in ENDS.into_iter().filter(|how| *how != End::Silence) {
        let server = server(When::WhileIdle, how);
        let (agent, _discovery) = agent(&[server.address]);
        let mut client = Client::connect(&agent);
        for n in 1..=6 {
            assert_eq!(client.exchange(&request("once", 9000)).status(), 200, "{how:?}, request {n}");
            // Idle for long enough to be used again.
            thread::sleep(Duration::from_millis(50));
            server.releases.push(());
            server.connections_closed.wait_for(n);
        }
        assert_eq!(server.requests.all().len(), 6, "{how:?}");
    }
}

/// The same where the agent is suspended, and notices the end and the request at the same moment, in either order.
#[test]
fn a_connection_that_ended_during_a_suspension_carries_no_request() {
    for how in ENDS.into_iter().filter(|how| *how != End::Silence) {
        for request_first in [false, true] {
            let server = server(When::WhileIdle, how);
            let (agent, _discovery) = agent(&[server.address]);
            let signal = |signal: &str| {
                let pid = agent.child.id().to_string();
                assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
            };
            let mut client = Client::connect(&agent);
            assert_eq!(client.exchange(&request("once", 9000)).status(), 200);
            // Idle for long enough to be used again.
            thread::sleep(Duration::from_millis(50));
            signal("-STOP");
            if request_first {
                client.write(&request("once", 9000));
            }
            server.releases.push(());
            server.connections_closed.wait_for(1);
            if !request_first {
                client.write(&request("once", 9000));
            }
            signal("-CONT");
            let status = client.read().map(|response| response.status());
            assert_eq!((status, server.requests.all().len()), (Some(200), 2), "{how:?} {request_first}");
        }
    }
}

/// A request that is written to an idle connection just as that ends may have run: it is retried where its class allows, on a new
/// connection, and gets its one response in time.
#[test]
fn a_request_that_crosses_the_end_of_an_idle_connection_may_have_run() {
    for how in ENDS {
        // The first request on a connection gets a response; the second gets the end of the connection.
        let EndingServer { address, requests, .. } = server(When::OnRequest(1), how);
        for (class, expected, attempts) in [("once", 502, 1), ("read", 200, 2), ("zoned", 200, 2)] {
            let (agent, _discovery) = agent(&[address]);
            let mut client = Client::connect(&agent);
            let before = requests.all().len();
            let budget = if how == End::Silence { 1500 } else { 9000 };
            assert_eq!(client.exchange(&request(class, budget)).status(), 200);
            // Idle for long enough to be used again.
            thread::sleep(Duration::from_millis(100));
            let since = Instant::now();
            let status = client.exchange(&request(class, budget)).status();
            assert!(since.elapsed() < Duration::from_millis(budget + 500), "{how:?} {class}");
            let sent = requests.all().len() - before - 1;
            match how {
                // The agent can't tell that from a slow server.
                End::Silence => {
                    assert!((502..=504).contains(&status) && sent == 1, "{class} {status} {sent}");
                }
                _ => assert_eq!((status, sent), (expected, attempts), "{how:?} {class}"),
            }
        }
    }
}

/// Servers that fail each attempt at once cause no storm of attempts or connections, and the client gets one response.
#[test]
fn attempts_that_fail_at_once_end_in_one_response() {
    let refused = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    for when in [When::OnAccept, When::OnRequest(0)] {
        for how in [End::Fin, End::Reset, End::PartialLineThenFin, End::PartialLineThenReset] {
            let servers = [(); 3].map(|()| server(when, how));
            let addresses: Vec<SocketAddr> = servers.iter().map(|server| server.address).collect();
            let (agent, _discovery) = agent(&[addresses.as_slice(), &[refused]].concat());
            let attempts = || servers.iter().map(|server| server.requests.all().len()).sum::<usize>();
            let mut client = Client::connect(&agent);
            for class in ["once", "read", "zoned", "all"] {
                let (before, since) = (attempts(), Instant::now());
                let response = client.exchange(&request(class, 3000));
                assert!(since.elapsed() < Duration::from_millis(3500), "{how:?} {class}");
                assert!(matches!(response.status(), 502..=504), "{how:?} {class}: {}", response.start_line);
                let max_attempts = if class == "once" { 1 } else { 3 };
                assert!(
                    attempts() - before <= max_attempts,
                    "{how:?} {class}: {} attempts",
                    attempts() - before
                );
            }
            // Each attempt opens one connection at most.
            let closed: usize = servers.iter().map(|server| server.connections_closed.all().len()).sum();
            assert!(closed <= 4 * 3, "{how:?}: {closed} connections");
        }
    }
}

/// One server that fails each attempt at once does not affect requests that may be repeated while others work.
#[test]
fn attempts_that_fail_at_once_are_retried_elsewhere() {
    for when in [When::OnAccept, When::OnRequest(0)] {
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
