//! Connections that fail in a forced order; those that don't are real ones. Time is the runtime's own and moves only when nothing
//! else can happen.

use super::*;
use crate::dialect::NEW;
use rustix::io::Errno;
use std::collections::VecDeque;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const WITHIN: Duration = Duration::from_millis(250);

/// Fails with these, and then makes the connections that it is asked for.
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

/// A peer on loopback; connections wait in its queue.
struct Peer {
    listener: TcpListener,
    place: EndpointAddress,
}

async fn peer(number: u32) -> Peer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    Peer {
        listener,
        place: EndpointAddress {
            server: ServerId(number),
            address,
            incarnation: Incarnation(0),
            dialect: NEW,
        },
    }
}

impl Reachability {
    async fn fails(&self, errno: Errno, place: EndpointAddress) -> Outcome {
        self.connect(&Scripted::failing([errno]), place, WITHIN).await.expect_err("it fails")
    }

    async fn comes_up(&self, place: EndpointAddress) {
        self.connect(&Tcp, place, WITHIN).await.expect("it comes up");
    }
}

/// The bytes of a connection go over a real one.
async fn talks(mut stream: TcpStream, peer: &Peer) {
    let (mut other, _) = peer.listener.accept().await.unwrap();
    stream.write_all(b"ask").await.unwrap();
    let mut read = [0; 3];
    other.read_exact(&mut read).await.unwrap();
    assert_eq!(&read, b"ask");
}

/// The want is here: however often it comes and whoever else is reached, it says nothing of the server.
#[tokio::test(start_paused = true)]
async fn want_of_something_here_is_never_the_servers_fault() {
    let (one, other, reachability) = (peer(1).await, peer(2).await, Reachability::default());
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL, Errno::AGAIN]
    {
        for _ in 0..5 {
            assert_eq!(reachability.fails(errno, one.place).await, Outcome::NotSent, "{errno:?}");
            sleep(2 * WITHIN).await;
            reachability.comes_up(other.place).await;
        }
    }
    let stream = reachability.connect(&Scripted::default(), one.place, WITHIN).await.expect("now it can");
    talks(stream, &one).await;
}

/// What the peer or the network has answered is the server's at once.
#[tokio::test(start_paused = true)]
async fn a_peer_that_refuses_is_the_servers_fault() {
    let (one, reachability) = (peer(1).await, Reachability::default());
    for errno in [Errno::CONNREFUSED, Errno::CONNRESET, Errno::TIMEDOUT, Errno::HOSTUNREACH] {
        assert_eq!(reachability.fails(errno, one.place).await, Outcome::ConnectFailed, "{errno:?}");
    }
}

/// A machine that has lost its network has no route to anybody: no server is to blame, however long that lasts, nor when it is over.
#[tokio::test(start_paused = true)]
async fn a_machine_without_a_network_blames_no_server() {
    let (one, other, reachability) = (peer(1).await, peer(2).await, Reachability::default());
    reachability.comes_up(one.place).await;
    reachability.comes_up(other.place).await;
    for errno in [Errno::NETUNREACH, Errno::NETDOWN, Errno::PERM, Errno::ACCESS] {
        for round in 0..20 {
            for peer in [&one, &other] {
                assert_eq!(
                    reachability.fails(errno, peer.place).await,
                    Outcome::NotSent,
                    "{errno:?} {round}"
                );
            }
            // An answer that had come before.
            if round == 0 {
                reachability.record_reached();
            }
            sleep(WITHIN).await;
        }
        reachability.comes_up(one.place).await;
        reachability.comes_up(other.place).await;
    }
    // It is lost again, long after: what was reached between says nothing of this time.
    assert_eq!(reachability.fails(Errno::NETUNREACH, other.place).await, Outcome::NotSent);
    sleep(2 * SPELL_GAP).await;
    reachability.comes_up(one.place).await;
    assert_eq!(reachability.fails(Errno::NETUNREACH, other.place).await, Outcome::NotSent);
}

/// No route leads to one server, and others are reached: it is ejected like any that can't be reached, by new connections or by
/// answers on old ones.
#[tokio::test(start_paused = true)]
async fn a_server_to_which_alone_no_route_leads_is_to_blame() {
    let (one, other) = (peer(1).await, peer(2).await);
    for by_answer in [false, true] {
        let reachability = Reachability::default();
        assert_eq!(reachability.fails(Errno::NETUNREACH, one.place).await, Outcome::NotSent);
        sleep(2 * WITHIN).await;
        match by_answer {
            true => reachability.record_reached(),
            false => reachability.comes_up(other.place).await,
        }
        for _ in 0..3 {
            assert_eq!(reachability.fails(Errno::NETUNREACH, one.place).await, Outcome::ConnectFailed);
        }
        // Another incarnation of it may stand elsewhere.
        let moved = EndpointAddress { incarnation: Incarnation(1), ..one.place };
        assert_eq!(reachability.fails(Errno::NETUNREACH, moved).await, Outcome::NotSent);
        // Once it has been reached all begins anew.
        reachability.comes_up(one.place).await;
        assert_eq!(reachability.fails(Errno::NETUNREACH, one.place).await, Outcome::NotSent);
    }
}

/// Servers come and go under ever new numbers.
#[tokio::test(start_paused = true)]
async fn servers_that_have_left_are_forgotten() {
    let (one, reachability) = (peer(1).await, Reachability::default());
    for server in 0..100 {
        reachability
            .fails(Errno::NETUNREACH, EndpointAddress { server: ServerId(server), ..one.place })
            .await;
    }
    reachability.retain(|server, _| server == ServerId(7));
    assert_eq!(reachability.unrouted.borrow().len(), 1);
}

/// A signal that comes while a connection is begun says nothing, and costs no attempt.
#[tokio::test(start_paused = true)]
async fn an_interrupted_connect_is_made_again() {
    let (one, reachability) = (peer(1).await, Reachability::default());
    let connector = Scripted::failing([Errno::INTR; 9]);
    let stream = reachability.connect(&connector, one.place, WITHIN).await.expect("in the end");
    assert_eq!(connector.calls.get(), 10);
    talks(stream, &one).await;
    let (connector, begun) = (Scripted::failing([Errno::INTR; 9]), Instant::now());
    let stream = connect_with_retry(&connector, one.place.address, WITHIN).await.expect("in the end");
    assert_eq!((connector.calls.get(), begun.elapsed()), (10, Duration::ZERO), "at once");
    talks(stream, &one).await;
}

/// For one with a single peer, a failure of this machine is tried again soon; one of the peer is told at once.
#[tokio::test(start_paused = true)]
async fn what_could_not_be_begun_is_tried_again_soon() {
    let one = peer(1).await;
    let row = [Errno::MFILE, Errno::ADDRNOTAVAIL, Errno::NETUNREACH, Errno::NOBUFS, Errno::INTR];
    let (connector, begun) = (Scripted::failing(row), Instant::now());
    let stream = connect_with_retry(&connector, one.place.address, WITHIN).await.expect("in the end");
    assert_eq!(connector.calls.get(), row.len() + 1);
    assert!(begun.elapsed() < Duration::from_secs(2), "{:?}", begun.elapsed());
    talks(stream, &one).await;
    for errno in [Errno::CONNREFUSED, Errno::HOSTUNREACH, Errno::TIMEDOUT] {
        let connector = Scripted::failing([errno]);
        let error = connect_with_retry(&connector, one.place.address, WITHIN).await.expect_err("told");
        assert_eq!((Errno::from_io_error(&error), connector.calls.get()), (Some(errno), 1));
    }
}
