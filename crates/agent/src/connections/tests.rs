use super::*;
use crate::dialect::NEW;
use crate::upload::RequestBody;
use bytes::Bytes;
use heronhoist_engine::Quota;
use http_body_util::BodyExt;
use hyper::Request;
use std::future::Future;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now, LocalSet};
use tokio::time::advance;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
/// Quiet idle periods that earn trust.
const PERIODS_FOR_TRUST: usize = 128;

/// A server on loopback, and its ends of the connections in the order in which they were accepted.
struct Server {
    endpoint: EndpointAddress,
    streams: Rc<RefCell<Vec<Weak<TcpStream>>>>,
    /// Written after each response, in the same call.
    trailing: Rc<Cell<&'static [u8]>>,
}

impl Server {
    async fn new(number: u32) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let endpoint =
            EndpointAddress { server: ServerId(number), address, incarnation: Incarnation(0), dialect: NEW };
        let (streams, trailing) = (Rc::<RefCell<Vec<_>>>::default(), Rc::new(Cell::new(&b""[..])));
        let server = Server { endpoint, streams: Rc::clone(&streams), trailing: Rc::clone(&trailing) };
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (stream, trailing) = (Rc::new(stream), Rc::clone(&trailing));
                streams.borrow_mut().push(Rc::downgrade(&stream));
                spawn_local(async move {
                    let mut received = Vec::new();
                    while stream.readable().await.is_ok() {
                        let mut buffer = [0; 1024];
                        match stream.try_read(&mut buffer) {
                            Ok(0) => return,
                            Ok(n) => received.extend_from_slice(&buffer[..n]),
                            Err(_) => {}
                        }
                        if received.ends_with(b"\r\n\r\n") {
                            received.clear();
                            let response = [RESPONSE, trailing.get()].concat();
                            assert_eq!(stream.try_write(&response).unwrap(), response.len());
                        }
                    }
                });
            }
        });
        server
    }

    fn opened(&self) -> usize {
        self.streams.borrow().len()
    }

    fn stream(&self, n: usize) -> Rc<TcpStream> {
        self.streams.borrow()[n].upgrade().expect("an open connection")
    }

    /// Sends unrequested bytes on the n-th connection.
    fn send_unrequested(&self, n: usize, bytes: &[u8]) {
        assert_eq!(self.stream(n).try_write(bytes).unwrap(), bytes.len());
    }

    /// Closes the n-th connection, with a FIN or a reset.
    fn end(&self, n: usize, is_reset: bool) {
        let stream = self.stream(n);
        let socket = socket2::SockRef::from(&*stream);
        if is_reset {
            socket.set_linger(Some(Duration::ZERO)).unwrap();
        }
        // The reading task then reads the end of the stream and drops it.
        socket.shutdown(std::net::Shutdown::Read).unwrap();
    }
}

fn connections(max: usize) -> Rc<Connections> {
    let (connect_timeout, keepalive) = (Duration::from_secs(20), Duration::from_secs(60));
    Connections::new(Quota::single_share(max), &Rc::default(), connect_timeout, keepalive)
}

/// Runs `work` with a clock that only the test advances: while a blocking task runs, the paused clock never advances by itself.
async fn with_frozen_clock(work: impl Future<Output = ()>) {
    let (done, wait) = std::sync::mpsc::channel::<()>();
    let blocking = tokio::task::spawn_blocking(move || wait.recv());
    LocalSet::new().run_until(work).await;
    drop(done);
    let _ = blocking.await;
}

/// Waits until the other tasks have made `done` true, for far longer than they need.
async fn until(done: impl Fn() -> bool) {
    let start = std::time::Instant::now();
    while !done() {
        assert!(start.elapsed() < Duration::from_secs(30), "the condition is never met");
        yield_now().await;
    }
}

/// Waits until the kernel has made `done` true, while no other task runs.
fn block_until(done: impl Fn() -> bool) {
    let start = std::time::Instant::now();
    while !done() {
        assert!(start.elapsed() < Duration::from_secs(30), "the condition is never met");
        std::thread::yield_now();
    }
}

/// Sends a request and reads its complete response.
async fn exchange(connection: &mut PooledConnection) {
    let mut request = Request::new(RequestBody::Buffered(Bytes::new()).attempt_body());
    *request.uri_mut() = hyper::Uri::from_static("/x");
    connection.monitor.begin_request(1 << 20, None);
    let response =
        connection.sender().unwrap().try_send_request(request).await.map_err(|_| "no response").unwrap();
    assert_eq!(response.into_body().collect().await.unwrap().to_bytes(), "ok");
    // hyper finishes the exchange.
    until(|| connection.sender.iter().all(|sender| sender.is_ready() || sender.is_closed())).await;
}

/// Sends `count` requests at once, each on its own connection, and releases the connections.
async fn exchange_on_each(connections: &Connections, server: &Server, count: usize) {
    let mut acquired = Vec::new();
    for _ in 0..count {
        acquired.push(connections.acquire(server.endpoint).await.unwrap());
    }
    for mut connection in acquired {
        exchange(&mut connection).await;
        connections.release(server.endpoint, connection);
    }
}

/// Lets the server earn trust by quiet idle periods. Its connections have just been used on return.
async fn earn_trust(connections: &Connections, server: &Server) {
    for _ in 0..PERIODS_FOR_TRUST.div_ceil(MIN_RECENT_FOR_REUSE) {
        exchange_on_each(connections, server, MIN_RECENT_FOR_REUSE).await;
        advance(MIN_IDLE).await;
    }
    exchange_on_each(connections, server, MIN_RECENT_FOR_REUSE).await;
}

fn is_trusted(connections: &Connections, server: &Server) -> bool {
    connections.trust.is_trusted(server.endpoint.server, server.endpoint.incarnation)
}

/// Waits until hyper has closed an idle connection because of what the server sent.
async fn until_closed(connections: &Connections, server: &Server) {
    until(|| connections.idle.borrow()[&server.endpoint.server].iter().any(|idle| idle.sender.is_closed()))
        .await;
}

#[tokio::test(start_paused = true)]
async fn connections_of_untrusted_server_wait_for_min_idle() {
    with_frozen_clock(async {
        let (connections, server) = (connections(100), Server::new(1).await);
        for _ in 0..PERIODS_FOR_TRUST / MIN_RECENT_FOR_REUSE {
            exchange_on_each(&connections, &server, MIN_RECENT_FOR_REUSE).await;
            assert!(!is_trusted(&connections, &server));
            assert!(connections.pop(server.endpoint).is_none(), "none has been idle");
            advance(MIN_IDLE - Duration::from_millis(1)).await;
            assert!(connections.pop(server.endpoint).is_none(), "none has been idle long enough");
            advance(Duration::from_millis(1)).await;
        }
        exchange_on_each(&connections, &server, MIN_RECENT_FOR_REUSE).await;
        assert!(is_trusted(&connections, &server));
        assert_eq!(server.opened(), MIN_RECENT_FOR_REUSE);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn trusted_servers_recent_connections_are_reused_longest_idle_first() {
    with_frozen_clock(async {
        let (connections, server) = (connections(100), Server::new(1).await);
        earn_trust(&connections, &server).await;
        advance(Duration::from_millis(3)).await;
        exchange_on_each(&connections, &server, 1).await;
        let connection = connections.acquire(server.endpoint).await.unwrap();
        assert_eq!(connection.idle_for, Some(Duration::from_millis(3)), "not the most recently used one");
        assert_eq!(server.opened(), MIN_RECENT_FOR_REUSE);
        // Too few recent connections are left: a new one is opened, as without trust.
        assert!(connections.acquire(server.endpoint).await.unwrap().is_new());
        // A connection past the minimum idle time is preferred to recent ones.
        advance(MIN_IDLE).await;
        let connection = connections.acquire(server.endpoint).await.unwrap();
        assert_eq!(connection.idle_for, Some(MIN_IDLE));
    })
    .await;
}

/// Unrequested bytes end trust whenever they are noticed.
#[tokio::test(start_paused = true)]
async fn unrequested_byte_ends_trust_and_resets_the_other_servers() {
    with_frozen_clock(async {
        for noticed in [
            "by hyper",
            "when acquired",
            "before the first byte",
            "after a response",
            "by close_stale",
            "by close_idle",
        ] {
            let connections = connections(100);
            let (bad, good) = (Server::new(1).await, Server::new(2).await);
            earn_trust(&connections, &good).await;
            earn_trust(&connections, &bad).await;
            exchange_on_each(&connections, &good, MIN_RECENT_FOR_REUSE).await;
            assert!(is_trusted(&connections, &bad) && is_trusted(&connections, &good));
            let has_unread = |server: &Server| {
                connections.idle.borrow()[&server.endpoint.server]
                    .iter()
                    .any(|idle| idle.monitor.has_unread_bytes())
            };
            match noticed {
                "by hyper" => {
                    bad.send_unrequested(1, b"H");
                    until_closed(&connections, &bad).await;
                }
                // Only the kernel has the byte: no task has run since.
                "when acquired" => {
                    bad.send_unrequested(0, b"H");
                    block_until(|| has_unread(&bad));
                    assert!(connections.pop(bad.endpoint).is_none());
                }
                "before the first byte" => {
                    let mut connection = connections.acquire(bad.endpoint).await.unwrap();
                    connection.monitor.begin_request(1 << 20, None);
                    bad.send_unrequested(0, b"H");
                    block_until(|| connection.monitor.has_unread_bytes());
                    let request = Request::new(RequestBody::Buffered(Bytes::new()).attempt_body());
                    assert!(connection.sender().unwrap().try_send_request(request).await.is_err());
                    connections.record_use(bad.endpoint, &connection.usage(), ConnectionEnd::Broken);
                }
                "after a response" => {
                    bad.trailing.set(RESPONSE);
                    exchange_on_each(&connections, &bad, 1).await;
                    until_closed(&connections, &bad).await;
                    bad.trailing.set(b"");
                }
                "by close_stale" => {
                    bad.send_unrequested(1, b"H");
                    block_until(|| has_unread(&bad));
                    connections.close_stale(|_, _| true);
                }
                _ => {
                    bad.send_unrequested(1, b"H");
                    block_until(|| has_unread(&bad));
                    connections.close_idle(bad.endpoint.server);
                }
            }
            assert!(!is_trusted(&connections, &bad), "{noticed}");
            assert!(!is_trusted(&connections, &good), "{noticed}: the others are reset too");
            let opened = (bad.opened(), good.opened());
            exchange_on_each(&connections, &bad, 1).await;
            exchange_on_each(&connections, &good, 1).await;
            assert_eq!(
                (bad.opened(), good.opened()),
                (opened.0 + 1, opened.1 + 1),
                "{noticed}: new connections are opened"
            );
            advance(MIN_IDLE).await;
            earn_trust(&connections, &good).await;
            earn_trust(&connections, &bad).await;
            assert!(is_trusted(&connections, &good), "{noticed}: trust is earned again");
            assert!(!is_trusted(&connections, &bad), "{noticed}: trust stays lost");
        }
    })
    .await;
}

/// Servers may close and reset idle connections at any time; that must not end trust.
#[tokio::test(start_paused = true)]
async fn close_or_reset_does_not_end_trust() {
    with_frozen_clock(async {
        let (connections, server) = (connections(100), Server::new(1).await);
        earn_trust(&connections, &server).await;
        for (n, is_reset) in [(0, false), (1, true)] {
            server.end(n, is_reset);
            until_closed(&connections, &server).await;
            connections.close_stale(|_, _| true);
        }
        assert!(connections.idle.borrow().is_empty());
        assert!(is_trusted(&connections, &server));
        assert_eq!(server.opened(), MIN_RECENT_FOR_REUSE);
    })
    .await;
}

/// A quiet idle period counts once, whether `close_stale` or `acquire` records it, and only after a response.
#[tokio::test(start_paused = true)]
async fn quiet_idle_period_counts_once() {
    with_frozen_clock(async {
        let (connections, server) = (connections(100), Server::new(1).await);
        for _ in 0..PERIODS_FOR_TRUST - 1 {
            exchange_on_each(&connections, &server, 1).await;
            advance(MIN_IDLE).await;
            connections.close_stale(|_, _| true);
            connections.close_stale(|_, _| true);
        }
        assert!(!is_trusted(&connections, &server));
        for _ in 0..3 {
            // Acquired and released with nothing sent: its idle period was recorded before.
            let connection = connections.acquire(server.endpoint).await.unwrap();
            connections.release(server.endpoint, connection);
            advance(MIN_IDLE).await;
        }
        assert!(!is_trusted(&connections, &server));
        exchange_on_each(&connections, &server, 1).await;
        connections.close_stale(|_, _| true);
        assert!(!is_trusted(&connections, &server), "the idle period is too short");
        advance(MIN_IDLE).await;
        connections.close_stale(|_, _| true);
        assert!(is_trusted(&connections, &server));
        connections.close_stale(|_, _| false);
        assert!(!is_trusted(&connections, &server), "the history of a server that left is dropped");
    })
    .await;
}

/// Each idle period needs one more connection than the quota allows. Closing the least recently used one each time would leave
/// none idle for long enough to be reused.
#[tokio::test(start_paused = true)]
async fn idle_connections_are_kept_when_the_quota_is_too_small() {
    with_frozen_clock(async {
        let (connections, server) = (connections(4), Server::new(1).await);
        for _ in 0..50 {
            exchange_on_each(&connections, &server, 1).await;
            // The closed connection releases its reservation.
            until(|| connections.count() <= 4).await;
            advance(MIN_IDLE / 5).await;
        }
        assert!(server.opened() <= 4 + 50 / 4, "{} opened for 50 requests", server.opened());
        // Once all have been idle for long, the least recently used one is closed.
        advance(ALL_IN_USE_IDLE).await;
        let oldest = connections.oldest_idle_since().unwrap();
        let other = Server::new(2).await;
        assert!(connections.acquire(other.endpoint).await.unwrap().is_new());
        assert!(connections.oldest_idle_since().unwrap() > oldest);
    })
    .await;
}

/// An idle connection that its server has closed holds no descriptor any more, so closing it allows no new connection.
#[tokio::test(start_paused = true)]
async fn only_open_connections_are_closed_in_favor_of_new_ones() {
    with_frozen_clock(async {
        for idle_time in [Duration::ZERO, ALL_IN_USE_IDLE] {
            let (connections, server) = (connections(1), Server::new(1).await);
            exchange_on_each(&connections, &server, 1).await;
            server.end(0, false);
            until_closed(&connections, &server).await;
            until(|| connections.count() == 0).await;
            let other = Server::new(2).await;
            let in_use = connections.acquire(other.endpoint).await.unwrap();
            advance(idle_time).await;
            assert!(
                matches!(connections.acquire(other.endpoint).await, Err(Outcome::NotSent)),
                "{idle_time:?}"
            );
            assert_eq!(connections.count(), 1);
            drop(in_use);
        }
    })
    .await;
}

/// Connections that were opened while the server was not yet trusted are closed once it is.
#[tokio::test(start_paused = true)]
async fn excess_idle_connections_of_a_trusted_server_are_closed() {
    with_frozen_clock(async {
        let (connections, server) = (connections(100), Server::new(1).await);
        let idle = || connections.idle.borrow()[&server.endpoint.server].len();
        exchange_on_each(&connections, &server, 50).await;
        assert_eq!(idle(), 50);
        earn_trust(&connections, &server).await;
        exchange_on_each(&connections, &server, 50).await;
        assert_eq!(idle(), MAX_TRUSTED_IDLE);
        assert!(is_trusted(&connections, &server));
    })
    .await;
}
