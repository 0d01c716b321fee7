use super::*;
use crate::connections::ConnectionRegistry;
use heronhoist_engine::Quota;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::sleep;

fn of(most: usize, fields: &[&str]) -> Rc<Inner> {
    let fields: Vec<String> = fields.iter().map(|f| f.to_string()).collect();
    let has_reports = !fields.is_empty();
    let (connect, keepalive) = (Duration::from_secs(20), Duration::from_secs(60));
    let connections = Connections::new(
        Quota::single_share(most),
        &Rc::new(ConnectionRegistry::default()),
        connect,
        keepalive,
    );
    HttpUpstream::new(connections, Quota::single_share(1 << 20), fields, has_reports).0
}

fn post(body: usize) -> UpstreamRequest {
    let (uri, headers) = (Uri::from_static("/x"), HeaderMap::new());
    UpstreamRequest {
        method: Method::POST,
        uri,
        headers,
        body: RequestBody::Buffered(vec![7; body].into()),
        legacy: None,
        client_timeout: Duration::from_secs(60),
        counters: None,
        client: None,
        _reservation: None,
    }
}

async fn attempt(address: SocketAddr, body: usize) -> Outcome {
    attempt_of(&of(4, &[]), address, body).await
}

async fn attempt_of(backends: &Inner, address: SocketAddr, body: usize) -> Outcome {
    gated(backends, address, body, true).await
}

async fn gated(backends: &Inner, address: SocketAddr, body: usize, may_send: bool) -> Outcome {
    let place = EndpointAddress { server: ServerId(0), address, incarnation: Incarnation(0), dialect: NEW };
    let (sent, lawful) = (Cell::new(false), || may_send);
    let gate = Gate::new(&sent, &lawful, Instant::now() + Duration::from_secs(60));
    backends.attempt(place, &post(body), &gate).await.outcome
}

/// The drain rule counts a send from its first byte: what was decided before may come too late to go.
#[tokio::test]
async fn nothing_is_written_once_it_may_not_be_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let local = LocalSet::new();
    assert_eq!(local.run_until(gated(&of(4, &[]), address, 9, false)).await, Outcome::NotSent);
    drop(local);
    let (mut stream, _) = listener.accept().await.unwrap();
    assert_eq!(stream.read(&mut [0; 1]).await.unwrap_or(0), 0);
}

/// A client may close after the last look at its connection, and the process be held up there: the kernel is asked right
/// before the first byte, also where the close stands behind bytes that nobody has read.
#[tokio::test]
async fn nothing_is_written_for_a_client_that_closed_after_the_gate_was_asked() {
    for (behind, closes) in [("", true), ("GET /next", true), ("", false), ("GET /next", false)] {
        let clients = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut client = std::net::TcpStream::connect(clients.local_addr().unwrap()).unwrap();
        let (_wire, monitor) =
            crate::metered_stream::MeteredStream::for_client(clients.accept().await.unwrap().0);
        std::io::Write::write_all(&mut client, behind.as_bytes()).unwrap();
        let server = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let place = EndpointAddress {
            server: ServerId(0),
            address: server.local_addr().unwrap(),
            incarnation: Incarnation(0),
            dialect: NEW,
        };
        let (sent, client) = (Cell::new(false), Cell::new(Some(client)));
        // The close comes once the gate has been found open: no event of the runtime tells of it in time.
        let lawful = || {
            client.set(client.take().filter(|_| !closes));
            true
        };
        let gate = Gate::new(&sent, &lawful, Instant::now() + Duration::from_secs(60));
        let backends = of(4, &[]);
        let call = UpstreamRequest { client: Some(monitor), ..post(9) };
        let (outcome, heard) = LocalSet::new()
            .run_until(async {
                let heard = async {
                    let (mut stream, _) = server.accept().await.unwrap();
                    let heard = stream.read(&mut [0; 64]).await.unwrap_or(0);
                    (heard, stream)
                };
                tokio::select! {
                    biased;
                    ended = backends.attempt(place, &call, &gate) => (Some(ended.outcome), 0),
                    (heard, _stream) = heard => (None, heard),
                }
            })
            .await;
        let expected = if closes { Some(Outcome::NotSent) } else { None };
        assert_eq!((outcome, heard > 0), (expected, !closes), "{behind:?}, closes: {closes}");
        assert_eq!(sent.get(), !closes, "{behind:?}");
    }
}

/// The cap on connections: when all are at work nothing more is opened, and the server is not blamed.
#[tokio::test]
async fn past_the_cap_nothing_is_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let backends = of(1, &[]);
    let both = async {
        tokio::select! {
            biased;
            outcome = attempt_of(&backends, address, 9) => panic!("silence gave {outcome:?}"),
            outcome = attempt_of(&backends, address, 9) => outcome,
        }
    };
    let outcome = timeout(Duration::from_secs(20), LocalSet::new().run_until(both)).await;
    assert_eq!(outcome.ok(), Some(Outcome::NotSent));
    // What the first held is free again.
    tokio::task::yield_now().await;
    assert_eq!(backends.connections.count(), 0);
}

/// More than the two sockets can hold, to a peer that closes: the last byte is provably not written.
#[tokio::test]
async fn a_break_before_the_last_byte_never_ran() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let peer = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 1]).await;
    };
    let both = async { tokio::join!(attempt(address, 64 << 20), peer).0 };
    assert_eq!(LocalSet::new().run_until(both).await, Outcome::ConnectFailed);
}

/// A server that ends each new connection before anything could be written gets no storm of them.
#[tokio::test]
async fn a_new_connection_that_ends_at_once_is_not_repeated() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let mut accepted = 0;
    // Closes each connection before the runtime hears that it is up.
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

/// A machine that is cut off says nothing; the connect must not wait for ever, and nothing has run.
#[tokio::test(start_paused = true)]
async fn a_connection_that_never_comes_up_fails_in_time() {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    // What fills the queue is answered; what comes after it is not.
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
fn a_report_is_read_by_name_and_a_malformed_one_is_none() {
    let backends = of(4, &["qps", "queue"]);
    assert_eq!(backends.report(b" queue=2, util=0.6,qps=7"), Some(vec![7.0, 2.0]));
    for bad in [
        "",
        "queue=2",
        "queue=2,qps",
        "queue=2,qps=x",
        "queue=2,qps=NaN",
        "queue=2,qps=-1",
        "queue=1e9,qps=1",
        "\u{ff}",
    ] {
        assert_eq!(backends.report(bad.as_bytes()), None, "{bad:?}");
    }
}

/// A server's answer without a length, ended by `end` before the agent gets to read any of it.
async fn ended_by(end: impl FnOnce(&socket2::Socket)) -> Outcome {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let peer = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = Vec::new();
        while !request.ends_with(&[7; 9]) {
            stream.read_buf(&mut request).await.unwrap();
        }
        // Nothing else runs from here to the end: the agent finds all of it at once.
        let socket: socket2::Socket = stream.into_std().unwrap().into();
        socket.send(b"HTTP/1.1 200 OK\r\n\r\nbody").unwrap();
        end(&socket);
        drop(socket);
    };
    let both = async { tokio::join!(attempt(address, 9), peer).0 };
    LocalSet::new().run_until(both).await
}

/// A stream that reads as ended has not always ended in order: the socket may know better.
#[tokio::test]
async fn an_end_that_a_reset_followed_is_none() {
    let reset = |socket: &socket2::Socket| socket.set_linger(Some(Duration::ZERO)).unwrap();
    let fin = |socket: &socket2::Socket| socket.shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!(ended_by(|socket| fin(socket)).await, Outcome::Success);
    assert_eq!(ended_by(|socket| reset(socket)).await, Outcome::ConnectionReset);
    let both = |socket: &socket2::Socket| {
        fin(socket);
        reset(socket);
    };
    assert_eq!(ended_by(both).await, Outcome::ConnectionReset);
}

/// A server may forget connections that rest, and say nothing: they have to rest shorter, as where it closes them.
#[tokio::test]
async fn connections_that_are_forgotten_at_rest_are_soon_not_used() {
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
    let backends = of(16, &[]);
    let client = async {
        let mut served = 0;
        for _ in 0..40 {
            let place =
                EndpointAddress { server: ServerId(0), address, incarnation: Incarnation(0), dialect: NEW };
            let (sent, lawful, until) =
                (Cell::new(false), || true, Instant::now() + Duration::from_millis(200));
            let (gate, call) = (Gate::new(&sent, &lawful, until), post(9));
            // As the engine calls it off.
            let ended = timeout_at(until, backends.attempt(place, &call, &gate)).await;
            served += usize::from(ended.is_ok_and(|ended| ended.outcome == Outcome::Success));
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
    // It is tried again now and then whether they still do.
    let served = LocalSet::new().run_until(all).await;
    assert!(
        served >= 28,
        "{served} of 40 served: half is what is left where each connection that has rested is used"
    );
}
