//! Connections that fail with scripted errors; all others are real ones. The clock is paused and advances only when no task
//! can run.

use super::*;
use crate::dialect::NEW;
use rustix::io::Errno;
use std::collections::VecDeque;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Fails with these errors in order, and then opens real connections.
#[derive(Default)]
struct Scripted {
    errors: RefCell<VecDeque<Errno>>,
    calls: Cell<usize>,
}

impl Scripted {
    fn failing(errors: impl IntoIterator<Item = Errno>) -> Scripted {
        Scripted { errors: RefCell::new(errors.into_iter().collect()), calls: Cell::new(0) }
    }
}

impl Connector for Scripted {
    async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        self.calls.set(self.calls.get() + 1);
        let error = self.errors.borrow_mut().pop_front();
        match error {
            Some(errno) => Err(io::Error::from_raw_os_error(errno.raw_os_error())),
            None => TcpStream::connect(address).await,
        }
    }
}

/// A peer on loopback; connections stay in its accept queue.
struct Peer {
    listener: TcpListener,
    endpoint: EndpointAddress,
}

async fn peer(number: u32) -> Peer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    Peer {
        listener,
        endpoint: EndpointAddress {
            server: ServerId(number),
            address,
            incarnation: Incarnation(0),
            dialect: NEW,
        },
    }
}

impl Reachability {
    async fn expect_failure(&self, errno: Errno, endpoint: EndpointAddress) -> Outcome {
        self.connect(&Scripted::failing([errno]), endpoint, CONNECT_TIMEOUT)
            .await
            .expect_err("the connection fails")
    }

    async fn expect_connection(&self, endpoint: EndpointAddress) {
        self.connect(&Tcp, endpoint, CONNECT_TIMEOUT).await.expect("the connection opens");
    }
}

/// Checks that bytes written to `stream` arrive at the peer.
async fn assert_connected_to(mut stream: TcpStream, peer: &Peer) {
    let (mut accepted, _) = peer.listener.accept().await.unwrap();
    stream.write_all(b"ask").await.unwrap();
    let mut read = [0; 3];
    accepted.read_exact(&mut read).await.unwrap();
    assert_eq!(&read, b"ask");
}

/// A lack of resources on this machine never counts against the server, however often it occurs and whichever other
/// servers are reached.
#[tokio::test(start_paused = true)]
async fn local_resource_failures_never_count_against_the_server() {
    let (server, other, reachability) = (peer(1).await, peer(2).await, Reachability::default());
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL, Errno::AGAIN]
    {
        for _ in 0..5 {
            assert_eq!(
                reachability.expect_failure(errno, server.endpoint).await,
                Outcome::NotSent,
                "{errno:?}"
            );
            sleep(2 * CONNECT_TIMEOUT).await;
            reachability.expect_connection(other.endpoint).await;
        }
    }
    let stream = reachability
        .connect(&Scripted::default(), server.endpoint, CONNECT_TIMEOUT)
        .await
        .expect("the errors are used up");
    assert_connected_to(stream, &server).await;
}

/// An error that the peer or the network reported counts against the server at once.
#[tokio::test(start_paused = true)]
async fn errors_of_the_peer_count_against_the_server() {
    let (server, reachability) = (peer(1).await, Reachability::default());
    for errno in [Errno::CONNREFUSED, Errno::CONNRESET, Errno::TIMEDOUT, Errno::HOSTUNREACH] {
        assert_eq!(
            reachability.expect_failure(errno, server.endpoint).await,
            Outcome::ConnectFailed,
            "{errno:?}"
        );
    }
}

/// A machine that has lost its network has no route to any server. This counts against no server, however long it lasts, nor
/// once the network is back.
#[tokio::test(start_paused = true)]
async fn network_loss_of_this_machine_counts_against_no_server() {
    let (server, other, reachability) = (peer(1).await, peer(2).await, Reachability::default());
    reachability.expect_connection(server.endpoint).await;
    reachability.expect_connection(other.endpoint).await;
    for errno in [Errno::NETUNREACH, Errno::NETDOWN, Errno::PERM, Errno::ACCESS] {
        for round in 0..20 {
            for peer in [&server, &other] {
                assert_eq!(
                    reachability.expect_failure(errno, peer.endpoint).await,
                    Outcome::NotSent,
                    "{errno:?} {round}"
                );
            }
            // A response that was received before the loss.
            if round == 0 {
                reachability.record_reached();
            }
            sleep(CONNECT_TIMEOUT).await;
        }
        reachability.expect_connection(server.endpoint).await;
        reachability.expect_connection(other.endpoint).await;
    }
    // The network is lost again, much later: servers reached in between prove nothing about this loss.
    assert_eq!(reachability.expect_failure(Errno::NETUNREACH, other.endpoint).await, Outcome::NotSent);
    sleep(2 * MAX_STREAK_GAP).await;
    reachability.expect_connection(server.endpoint).await;
    assert_eq!(reachability.expect_failure(Errno::NETUNREACH, other.endpoint).await, Outcome::NotSent);
}

/// There is no route to one server while others are reached, by new connections or by responses on existing ones: the failure
/// counts against that server, so that it is ejected.
#[tokio::test(start_paused = true)]
async fn missing_route_to_a_single_server_counts_against_it() {
    let (server, other) = (peer(1).await, peer(2).await);
    for by_response in [false, true] {
        let reachability = Reachability::default();
        assert_eq!(reachability.expect_failure(Errno::NETUNREACH, server.endpoint).await, Outcome::NotSent);
        sleep(2 * CONNECT_TIMEOUT).await;
        match by_response {
            true => reachability.record_reached(),
            false => reachability.expect_connection(other.endpoint).await,
        }
        for _ in 0..3 {
            assert_eq!(
                reachability.expect_failure(Errno::NETUNREACH, server.endpoint).await,
                Outcome::ConnectFailed
            );
        }
        // Another incarnation of the server may be in another network.
        let moved = EndpointAddress { incarnation: Incarnation(1), ..server.endpoint };
        assert_eq!(reachability.expect_failure(Errno::NETUNREACH, moved).await, Outcome::NotSent);
        // Reaching the server starts a new streak.
        reachability.expect_connection(server.endpoint).await;
        assert_eq!(reachability.expect_failure(Errno::NETUNREACH, server.endpoint).await, Outcome::NotSent);
    }
}

/// Servers join and leave with ever new ids, so the records of those that left must be removed.
#[tokio::test(start_paused = true)]
async fn servers_that_have_left_are_forgotten() {
    let (server, reachability) = (peer(1).await, Reachability::default());
    for number in 0..100 {
        reachability
            .expect_failure(
                Errno::NETUNREACH,
                EndpointAddress { server: ServerId(number), ..server.endpoint },
            )
            .await;
    }
    reachability.retain(|server, _| server == ServerId(7));
    assert_eq!(reachability.no_route.borrow().len(), 1);
}

/// A signal that interrupts `connect` is no evidence against the server, and must not cost an attempt.
#[tokio::test(start_paused = true)]
async fn interrupted_connect_is_repeated() {
    let (server, reachability) = (peer(1).await, Reachability::default());
    let connector = Scripted::failing([Errno::INTR; 9]);
    let stream = reachability
        .connect(&connector, server.endpoint, CONNECT_TIMEOUT)
        .await
        .expect("after the interruptions");
    assert_eq!(connector.calls.get(), 10);
    assert_connected_to(stream, &server).await;
    let (connector, start) = (Scripted::failing([Errno::INTR; 9]), Instant::now());
    let stream = connect_with_retry(&connector, server.endpoint.address, CONNECT_TIMEOUT)
        .await
        .expect("after the interruptions");
    assert_eq!((connector.calls.get(), start.elapsed()), (10, Duration::ZERO), "at once");
    assert_connected_to(stream, &server).await;
}

/// With a single peer, a failure of this machine is retried after a short delay, and one of the peer is returned at once.
#[tokio::test(start_paused = true)]
async fn local_failure_is_retried_and_failure_of_the_peer_is_returned() {
    let server = peer(1).await;
    let errors = [Errno::MFILE, Errno::ADDRNOTAVAIL, Errno::NETUNREACH, Errno::NOBUFS, Errno::INTR];
    let (connector, start) = (Scripted::failing(errors), Instant::now());
    let stream = connect_with_retry(&connector, server.endpoint.address, CONNECT_TIMEOUT)
        .await
        .expect("after the scripted errors");
    assert_eq!(connector.calls.get(), errors.len() + 1);
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
    assert_connected_to(stream, &server).await;
    for errno in [Errno::CONNREFUSED, Errno::HOSTUNREACH, Errno::TIMEDOUT] {
        let connector = Scripted::failing([errno]);
        let error = connect_with_retry(&connector, server.endpoint.address, CONNECT_TIMEOUT)
            .await
            .expect_err("the error of the peer");
        assert_eq!((Errno::from_io_error(&error), connector.calls.get()), (Some(errno), 1));
    }
}
