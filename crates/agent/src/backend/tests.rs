use super::*;
use crate::connections::ConnectionRegistry;
use heronhoist_engine::timing::timeout;
use heronhoist_engine::Quota;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::sleep;

fn new_upstream(max_connections: usize, report_names: &[&str]) -> Rc<Inner> {
    let report_names: Vec<String> = report_names.iter().map(|name| name.to_string()).collect();
    let has_reports = !report_names.is_empty();
    let (connect_timeout, keepalive) = (Duration::from_secs(20), Duration::from_secs(60));
    let connections = Connections::new(
        Quota::single_share(max_connections),
        &Rc::new(ConnectionRegistry::default()),
        connect_timeout,
        keepalive,
    );
    HttpUpstream::new(connections, Quota::single_share(1 << 20), report_names, has_reports).0
}

fn post(body_bytes: usize) -> UpstreamRequest {
    let (uri, headers) = (Uri::from_static("/x"), HeaderMap::new());
    UpstreamRequest {
        method: Method::POST,
        uri,
        headers,
        body: RequestBody::Buffered(vec![7; body_bytes].into()),
        legacy: None,
        client_timeout: Duration::from_secs(60),
        counters: None,
        client_dialect: NEW,
        client: None,
        _reservation: None,
    }
}

async fn attempt(address: SocketAddr, body_bytes: usize) -> Outcome {
    attempt_on(&new_upstream(4, &[]), address, body_bytes).await
}

async fn attempt_on(upstream: &Inner, address: SocketAddr, body_bytes: usize) -> Outcome {
    gated_attempt(upstream, address, body_bytes, true).await
}

async fn gated_attempt(upstream: &Inner, address: SocketAddr, body_bytes: usize, may_send: bool) -> Outcome {
    let endpoint =
        EndpointAddress { server: ServerId(0), address, incarnation: Incarnation(0), dialect: NEW };
    let (is_sent, may_send) = (Cell::new(false), || may_send);
    let gate = Gate::new(&is_sent, &may_send, Instant::now() + Duration::from_secs(60));
    upstream.attempt(endpoint, &post(body_bytes), &gate).await.outcome
}

/// A drain forbids every send whose first byte is not yet written, so a closed gate stops an attempt that was decided before.
#[tokio::test]
async fn nothing_is_written_after_the_gate_has_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let local = LocalSet::new();
    assert_eq!(
        local.run_until(gated_attempt(&new_upstream(4, &[]), address, 9, false)).await,
        Outcome::NotSent
    );
    drop(local);
    let (mut stream, _) = listener.accept().await.unwrap();
    assert_eq!(stream.read(&mut [0; 1]).await.unwrap_or(0), 0);
}

/// A client may close its connection after the gate was checked, and the process may be paused then. So the kernel is
/// asked right before the first byte is written, and also finds a close that follows unread bytes.
#[tokio::test]
async fn nothing_is_written_for_a_client_that_closed_after_the_gate_opened() {
    for (unread, closes) in [("", true), ("GET /next", true), ("", false), ("GET /next", false)] {
        let clients = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut client = std::net::TcpStream::connect(clients.local_addr().unwrap()).unwrap();
        let (_stream, monitor) =
            crate::metered_stream::MeteredStream::for_client(clients.accept().await.unwrap().0);
        std::io::Write::write_all(&mut client, unread.as_bytes()).unwrap();
        let server = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let endpoint = EndpointAddress {
            server: ServerId(0),
            address: server.local_addr().unwrap(),
            incarnation: Incarnation(0),
            dialect: NEW,
        };
        let (is_sent, client) = (Cell::new(false), Cell::new(Some(client)));
        // The client closes once the gate has opened: no event of the runtime reports it in time.
        let may_send = || {
            client.set(client.take().filter(|_| !closes));
            true
        };
        let gate = Gate::new(&is_sent, &may_send, Instant::now() + Duration::from_secs(60));
        let upstream = new_upstream(4, &[]);
        let request = UpstreamRequest { client: Some(ClientPresence::new(monitor)), ..post(9) };
        let (outcome, received) = LocalSet::new()
            .run_until(async {
                let receive = async {
                    let (mut stream, _) = server.accept().await.unwrap();
                    let received = stream.read(&mut [0; 64]).await.unwrap_or(0);
                    (received, stream)
                };
                tokio::select! {
                    biased;
                    result = upstream.attempt(endpoint, &request, &gate) => (Some(result.outcome), 0),
                    (received, _stream) = receive => (None, received),
                }
            })
            .await;
        let expected = if closes { Some(Outcome::NotSent) } else { None };
        assert_eq!((outcome, received > 0), (expected, !closes), "{unread:?}, closes: {closes}");
        assert_eq!(is_sent.get(), !closes, "{unread:?}");
    }
}

/// When all connections of the quota are in use no other is opened, and the failure does not count against the server.
#[tokio::test]
async fn nothing_is_sent_beyond_the_connection_quota() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let upstream = new_upstream(1, &[]);
    let both = async {
        tokio::select! {
            biased;
            outcome = attempt_on(&upstream, address, 9) => panic!("{outcome:?} without a response"),
            outcome = attempt_on(&upstream, address, 9) => outcome,
        }
    };
    let outcome = timeout(Duration::from_secs(20), LocalSet::new().run_until(both)).await;
    assert_eq!(outcome.ok(), Some(Outcome::NotSent));
    // The connection of the first attempt is closed and its reservation released.
    tokio::task::yield_now().await;
    assert_eq!(upstream.connections.count(), 0);
}

/// The peer closes the connection during a request that exceeds both socket buffers: its last byte is provably not written, so
/// the request was not executed.
#[tokio::test]
async fn reset_before_the_last_byte_proves_not_executed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let peer = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 1]).await;
    };
    let both = async { tokio::join!(attempt(address, 64 << 20), peer).0 };
    assert_eq!(LocalSet::new().run_until(both).await, Outcome::ConnectFailed);
}

/// A server that closes each new connection before anything is written must not cause a storm of connections.
#[tokio::test]
async fn new_connection_that_ends_at_once_is_not_repeated() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let mut accepted = 0;
    // Closes each connection before the runtime learns that it is open.
    let peer = async {
        while accepted < 20 {
            while listener.accept().is_ok() {
                accepted += 1;
            }
            tokio::task::yield_now().await;
        }
    };
    let outcome = LocalSet::new()
        .run_until(async {
            tokio::select! {
                biased;
                outcome = attempt(address, 9) => Some(outcome),
                () = peer => None,
            }
        })
        .await;
    assert_eq!(outcome, Some(Outcome::ConnectFailed), "after {accepted} connections");
    assert_eq!(accepted, 1);
}

/// An unreachable machine does not respond at all: the connect must time out, and nothing was executed.
#[tokio::test(start_paused = true)]
async fn connection_that_never_opens_times_out() {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    // The accept queue completes the connections that fill it, and ignores all later ones.
    let mut queue = Vec::new();
    for _ in 0..8 {
        let filler = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        filler.set_nonblocking(true).unwrap();
        let _ = filler.connect(&address.into());
        queue.push(filler);
    }
    assert_eq!(LocalSet::new().run_until(attempt(address, 9)).await, Outcome::ConnectFailed);
}

#[test]
fn load_report_is_parsed_by_name_and_a_malformed_one_rejected() {
    let upstream = new_upstream(4, &["qps", "queue"]);
    assert_eq!(upstream.parse_report(b" queue=2, util=0.6,qps=7"), Some(vec![7.0, 2.0]));
    for malformed in [
        "",
        "queue=2",
        "queue=2,qps",
        "queue=2,qps=x",
        "queue=2,qps=NaN",
        "queue=2,qps=-1",
        "queue=1e9,qps=1",
        "\u{ff}",
    ] {
        assert_eq!(upstream.parse_report(malformed.as_bytes()), None, "{malformed:?}");
    }
}

/// Returns the outcome of a response without a length that `end` ends before the agent reads any of it.
async fn outcome_when_ended_by(end: impl FnOnce(&socket2::Socket)) -> Outcome {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let peer = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = Vec::new();
        while !request.ends_with(&[7; 9]) {
            stream.read_buf(&mut request).await.unwrap();
        }
        // No other task runs from here to the end, so the agent finds the response and its end at once.
        let socket: socket2::Socket = stream.into_std().unwrap().into();
        socket.send(b"HTTP/1.1 200 OK\r\n\r\nbody").unwrap();
        end(&socket);
        drop(socket);
    };
    let both = async { tokio::join!(attempt(address, 9), peer).0 };
    LocalSet::new().run_until(both).await
}

/// A read may return the end of the stream although a reset followed the FIN; only the socket's pending error shows that.
#[tokio::test]
async fn end_of_stream_followed_by_a_reset_is_a_reset() {
    let reset = |socket: &socket2::Socket| socket.set_linger(Some(Duration::ZERO)).unwrap();
    let fin = |socket: &socket2::Socket| socket.shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!(outcome_when_ended_by(|socket| fin(socket)).await, Outcome::Success);
    assert_eq!(outcome_when_ended_by(|socket| reset(socket)).await, Outcome::ConnectionReset);
    let fin_and_reset = |socket: &socket2::Socket| {
        fin(socket);
        reset(socket);
    };
    assert_eq!(outcome_when_ended_by(fin_and_reset).await, Outcome::ConnectionReset);
}

/// A server may silently forget idle connections. The agent must then keep them idle for a shorter time, as it does where the
/// server closes them.
#[tokio::test]
async fn idle_connections_that_the_server_forgets_are_avoided() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let peer = async {
        let mut forgotten = Vec::new();
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = Vec::new();
            while !request.ends_with(&[7; 9]) {
                stream.read_buf(&mut request).await.unwrap();
            }
            stream.try_write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx").unwrap();
            forgotten.push(stream);
        }
    };
    let upstream = new_upstream(16, &[]);
    let client = async {
        let mut served = 0;
        for _ in 0..40 {
            let endpoint =
                EndpointAddress { server: ServerId(0), address, incarnation: Incarnation(0), dialect: NEW };
            let (is_sent, may_send, deadline) =
                (Cell::new(false), || true, Instant::now() + Duration::from_millis(200));
            let (gate, request) = (Gate::new(&is_sent, &may_send, deadline), post(9));
            // The engine cancels attempts in the same way.
            let result = timeout_at(deadline, upstream.attempt(endpoint, &request, &gate)).await;
            served += usize::from(result.is_ok_and(|result| result.outcome == Outcome::Success));
            sleep(Duration::from_millis(70)).await;
        }
        served
    };
    let all = async {
        tokio::select! {
            served = client => served,
            () = peer => 0,
        }
    };
    // Now and then a long-idle connection is tried again.
    let served = LocalSet::new().run_until(all).await;
    assert!(
        served >= 28,
        "{served} of 40 requests served; if each idle connection were reused, only half would be"
    );
}
