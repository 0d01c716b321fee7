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

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
/// Rests that earn trust.
const EARNED: usize = 128;

/// A server on loopback, and its ends of the connections in the order in which they came.
struct Server {
    place: EndpointAddress,
    streams: Rc<RefCell<Vec<Weak<TcpStream>>>>,
    /// Written behind each answer, in the same piece.
    behind: Rc<Cell<&'static [u8]>>,
}

impl Server {
    async fn new(number: u32) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let place =
            EndpointAddress { server: ServerId(number), address, incarnation: Incarnation(0), dialect: NEW };
        let (streams, behind) = (Rc::<RefCell<Vec<_>>>::default(), Rc::new(Cell::new(&b""[..])));
        let server = Server { place, streams: Rc::clone(&streams), behind: Rc::clone(&behind) };
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (stream, behind) = (Rc::new(stream), Rc::clone(&behind));
                streams.borrow_mut().push(Rc::downgrade(&stream));
                spawn_local(async move {
                    let mut heard = Vec::new();
                    while stream.readable().await.is_ok() {
                        let mut some = [0; 1024];
                        match stream.try_read(&mut some) {
                            Ok(0) => return,
                            Ok(n) => heard.extend_from_slice(&some[..n]),
                            Err(_) => {}
                        }
                        if heard.ends_with(b"\r\n\r\n") {
                            heard.clear();
                            let answer = [ANSWER, behind.get()].concat();
                            assert_eq!(stream.try_write(&answer).unwrap(), answer.len());
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

    /// Nobody has asked for this, on the connection that came as the n-th.
    fn say(&self, n: usize, bytes: &[u8]) {
        assert_eq!(self.stream(n).try_write(bytes).unwrap(), bytes.len());
    }

    /// Ends the connection that came as the n-th, in order or with a reset.
    fn end(&self, n: usize, is_reset: bool) {
        let stream = self.stream(n);
        let socket = socket2::SockRef::from(&*stream);
        if is_reset {
            socket.set_linger(Some(Duration::ZERO)).unwrap();
        }
        // The task that reads there hears of an end, and drops it.
        socket.shutdown(std::net::Shutdown::Read).unwrap();
    }
}

fn connections(most: usize) -> Rc<Connections> {
    let (connect, keepalive) = (Duration::from_secs(20), Duration::from_secs(60));
    Connections::new(Quota::single_share(most), &Rc::default(), connect, keepalive)
}

/// Time stands but for what the test advances: while a blocking task runs, the clock does not go on by itself.
async fn in_frozen_time(work: impl Future<Output = ()>) {
    let (done, wait) = std::sync::mpsc::channel::<()>();
    let blocking = tokio::task::spawn_blocking(move || wait.recv());
    LocalSet::new().run_until(work).await;
    drop(done);
    let _ = blocking.await;
}

/// Waits for what the tasks are about to do; far longer than they need.
async fn until(done: impl Fn() -> bool) {
    let start = std::time::Instant::now();
    while !done() {
        assert!(start.elapsed() < Duration::from_secs(30), "it does not happen");
        yield_now().await;
    }
}

/// Waits for the kernel, while nothing else runs.
fn block_until(done: impl Fn() -> bool) {
    let start = std::time::Instant::now();
    while !done() {
        assert!(start.elapsed() < Duration::from_secs(30), "it does not happen");
        std::thread::yield_now();
    }
}

/// A request and all of its answer.
async fn exchange(connection: &mut PooledConnection) {
    let mut request = Request::new(RequestBody::Buffered(Bytes::new()).attempt_body());
    *request.uri_mut() = hyper::Uri::from_static("/x");
    connection.monitor.begin_request(1 << 20, None);
    let answer =
        connection.sender().unwrap().try_send_request(request).await.map_err(|_| "no answer").unwrap();
    assert_eq!(answer.into_body().collect().await.unwrap().to_bytes(), "ok");
    // hyper puts it behind it.
    until(|| connection.sender.iter().all(|sender| sender.is_ready() || sender.is_closed())).await;
}

/// So many requests at once, each on a connection of its own, which then rest.
async fn wave(connections: &Connections, server: &Server, count: usize) {
    let mut acquired = Vec::new();
    for _ in 0..count {
        acquired.push(connections.acquire(server.place).await.unwrap());
    }
    for mut connection in acquired {
        exchange(&mut connection).await;
        connections.release(server.place, connection);
    }
}

/// Waves until the server has shown as many quiet rests as earn trust; its connections have just been used then.
async fn earn(connections: &Connections, server: &Server) {
    for _ in 0..EARNED.div_ceil(UNRESTED_LEAST) {
        wave(connections, server, UNRESTED_LEAST).await;
        advance(IDLE_LEAST).await;
    }
    wave(connections, server, UNRESTED_LEAST).await;
}

fn is_trusted(connections: &Connections, server: &Server) -> bool {
    connections.trust.is_trusted(server.place.server, server.place.incarnation)
}

/// Until hyper has heard what the server sent on that connection.
async fn until_closed(connections: &Connections, server: &Server) {
    until(|| connections.idle.borrow()[&server.place.server].iter().any(|i| i.sender.is_closed())).await;
}

#[tokio::test(start_paused = true)]
async fn until_trust_is_earned_each_connection_rests() {
    in_frozen_time(async {
        let (connections, server) = (connections(100), Server::new(1).await);
        for _ in 0..EARNED / UNRESTED_LEAST {
            wave(&connections, &server, UNRESTED_LEAST).await;
            assert!(!is_trusted(&connections, &server));
            assert!(connections.pop(server.place).is_none(), "none has rested");
            advance(IDLE_LEAST - Duration::from_millis(1)).await;
            assert!(connections.pop(server.place).is_none(), "none has rested long enough");
            advance(Duration::from_millis(1)).await;
        }
        wave(&connections, &server, UNRESTED_LEAST).await;
        assert!(is_trusted(&connections, &server));
        assert_eq!(server.opened(), UNRESTED_LEAST);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_trusted_servers_unrested_connection_is_reused_the_longest_rested_first() {
    in_frozen_time(async {
        let (connections, server) = (connections(100), Server::new(1).await);
        earn(&connections, &server).await;
        advance(Duration::from_millis(3)).await;
        wave(&connections, &server, 1).await;
        let connection = connections.acquire(server.place).await.unwrap();
        assert_eq!(connection.rested, Some(Duration::from_millis(3)), "not the one that was used just now");
        assert_eq!(server.opened(), UNRESTED_LEAST);
        // Fewer are resting now than a busy server needs: as without trust, one more is opened.
        assert!(connections.acquire(server.place).await.unwrap().is_new());
        // One that has rested goes before all that have not.
        advance(IDLE_LEAST).await;
        let connection = connections.acquire(server.place).await.unwrap();
        assert_eq!(connection.rested, Some(IDLE_LEAST));
    })
    .await;
}

/// What ends trust: nobody has asked for the bytes, whenever they are seen.
#[tokio::test(start_paused = true)]
async fn one_unrequested_byte_ends_trust_and_sets_the_other_servers_back() {
    in_frozen_time(async {
        for seen in [
            "by hyper",
            "when taken",
            "before the first byte",
            "behind an answer",
            "by the sweep",
            "at the close",
        ] {
            let connections = connections(100);
            let (bad, good) = (Server::new(1).await, Server::new(2).await);
            earn(&connections, &good).await;
            earn(&connections, &bad).await;
            wave(&connections, &good, UNRESTED_LEAST).await;
            assert!(is_trusted(&connections, &bad) && is_trusted(&connections, &good));
            let resting = |server: &Server| {
                connections.idle.borrow()[&server.place.server].iter().any(|i| i.monitor.has_unread_bytes())
            };
            match seen {
                "by hyper" => {
                    bad.say(1, b"H");
                    until_closed(&connections, &bad).await;
                }
                // Only the kernel knows of it: nothing has run since.
                "when taken" => {
                    bad.say(0, b"H");
                    block_until(|| resting(&bad));
                    assert!(connections.pop(bad.place).is_none());
                }
                "before the first byte" => {
                    let mut connection = connections.acquire(bad.place).await.unwrap();
                    connection.monitor.begin_request(1 << 20, None);
                    bad.say(0, b"H");
                    block_until(|| connection.monitor.has_unread_bytes());
                    let request = Request::new(RequestBody::Buffered(Bytes::new()).attempt_body());
                    assert!(connection.sender().unwrap().try_send_request(request).await.is_err());
                    connections.record_use(bad.place, &connection.usage(), ConnectionEnd::Broken);
                }
                "behind an answer" => {
                    bad.behind.set(ANSWER);
                    wave(&connections, &bad, 1).await;
                    until_closed(&connections, &bad).await;
                    bad.behind.set(b"");
                }
                "by the sweep" => {
                    bad.say(1, b"H");
                    block_until(|| resting(&bad));
                    connections.close_stale(|_, _| true);
                }
                _ => {
                    bad.say(1, b"H");
                    block_until(|| resting(&bad));
                    connections.close_idle(bad.place.server);
                }
            }
            assert!(!is_trusted(&connections, &bad), "{seen}");
            assert!(!is_trusted(&connections, &good), "{seen}: the others too");
            let opened = (bad.opened(), good.opened());
            wave(&connections, &bad, 1).await;
            wave(&connections, &good, 1).await;
            assert_eq!((bad.opened(), good.opened()), (opened.0 + 1, opened.1 + 1), "{seen}: new ones");
            advance(IDLE_LEAST).await;
            earn(&connections, &good).await;
            earn(&connections, &bad).await;
            assert!(is_trusted(&connections, &good), "{seen}: earned anew");
            assert!(!is_trusted(&connections, &bad), "{seen}: lost for good");
        }
    })
    .await;
}

/// Servers close and reset resting connections as they like.
#[tokio::test(start_paused = true)]
async fn a_close_or_a_reset_is_no_unrequested_byte() {
    in_frozen_time(async {
        let (connections, server) = (connections(100), Server::new(1).await);
        earn(&connections, &server).await;
        for (n, is_reset) in [(0, false), (1, true)] {
            server.end(n, is_reset);
            until_closed(&connections, &server).await;
            connections.close_stale(|_, _| true);
        }
        assert!(connections.idle.borrow().is_empty());
        assert!(is_trusted(&connections, &server));
        assert_eq!(server.opened(), UNRESTED_LEAST);
    })
    .await;
}

/// A rest counts once, whoever sees it first, and only one that came after an answer.
#[tokio::test(start_paused = true)]
async fn a_quiet_rest_counts_once() {
    in_frozen_time(async {
        let (connections, server) = (connections(100), Server::new(1).await);
        for _ in 0..EARNED - 1 {
            wave(&connections, &server, 1).await;
            advance(IDLE_LEAST).await;
            connections.close_stale(|_, _| true);
            connections.close_stale(|_, _| true);
        }
        assert!(!is_trusted(&connections, &server));
        for _ in 0..3 {
            // Taken, and given back with nothing sent: its answer's rest was seen before.
            let connection = connections.acquire(server.place).await.unwrap();
            connections.release(server.place, connection);
            advance(IDLE_LEAST).await;
        }
        assert!(!is_trusted(&connections, &server));
        wave(&connections, &server, 1).await;
        connections.close_stale(|_, _| true);
        assert!(!is_trusted(&connections, &server), "not before it has rested");
        advance(IDLE_LEAST).await;
        connections.close_stale(|_, _| true);
        assert!(is_trusted(&connections, &server));
        connections.close_stale(|_, _| false);
        assert!(!is_trusted(&connections, &server), "nothing is kept of what has left");
    })
    .await;
}

/// One more connection is wanted in each rest than there may be. To close the coldest each time leaves none to rest.
#[tokio::test(start_paused = true)]
async fn with_too_few_connections_those_that_rest_are_kept() {
    in_frozen_time(async {
        let (connections, server) = (connections(4), Server::new(1).await);
        for _ in 0..50 {
            wave(&connections, &server, 1).await;
            // What was closed gives back its room.
            until(|| connections.count() <= 4).await;
            advance(IDLE_LEAST / 5).await;
        }
        assert!(server.opened() <= 4 + 50 / 4, "{} opened for 50 requests", server.opened());
        // Where all have rested long, the coldest is the one that is closed.
        advance(IN_TURN).await;
        let coldest = connections.coldest().unwrap();
        let other = Server::new(2).await;
        assert!(connections.acquire(other.place).await.unwrap().is_new());
        assert!(connections.coldest().unwrap() > coldest);
    })
    .await;
}

/// What its server has closed already holds no descriptor that could be given to another.
#[tokio::test(start_paused = true)]
async fn room_is_made_only_by_closing_what_is_open() {
    in_frozen_time(async {
        for rest in [Duration::ZERO, IN_TURN] {
            let (connections, server) = (connections(1), Server::new(1).await);
            wave(&connections, &server, 1).await;
            server.end(0, false);
            until_closed(&connections, &server).await;
            until(|| connections.count() == 0).await;
            let other = Server::new(2).await;
            let at_work = connections.acquire(other.place).await.unwrap();
            advance(rest).await;
            assert!(matches!(connections.acquire(other.place).await, Err(Outcome::NotSent)), "{rest:?}");
            assert_eq!(connections.count(), 1);
            drop(at_work);
        }
    })
    .await;
}

/// What was opened while each connection had to rest is not kept.
#[tokio::test(start_paused = true)]
async fn of_a_trusted_server_no_more_are_kept_than_a_busy_one_needs() {
    in_frozen_time(async {
        let (connections, server) = (connections(100), Server::new(1).await);
        let idle = || connections.idle.borrow()[&server.place.server].len();
        wave(&connections, &server, 50).await;
        assert_eq!(idle(), 50);
        earn(&connections, &server).await;
        wave(&connections, &server, 50).await;
        assert_eq!(idle(), IDLE_ENOUGH);
        assert!(is_trusted(&connections, &server));
    })
    .await;
}
