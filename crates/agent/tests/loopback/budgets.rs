//! The time budget that an attempt sends to its server must never exceed what its client has left by the client's own
//! clock, with the allowed tolerance of 0.15 s.

use crate::common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const TOLERANCE: Duration = Duration::from_millis(150);
/// More bytes than the agent buffers of a body.
const LONG_BODY_BYTES: usize = 100 << 10;

/// A server whose connections open late: its accept queue is full until [`LateServer::open`].
struct LateServer {
    listener: socket2::Socket,
    address: SocketAddr,
    fillers: Vec<socket2::Socket>,
}

impl LateServer {
    fn new() -> LateServer {
        let socket = || socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        let listener = socket();
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        listener.listen(0).unwrap();
        let address = listener.local_addr().unwrap().as_socket().unwrap();
        let fillers = (0..8).map(|_| socket()).collect::<Vec<_>>();
        for filler in &fillers {
            filler.set_nonblocking(true).unwrap();
            let _ = filler.connect(&address.into());
        }
        LateServer { listener, address, fillers }
    }

    /// Accepts connections from now on; those of the agent open when its kernel retransmits the SYN.
    fn open(self, received: &Arc<EventLog<(Message, Instant)>>, response_time: Duration) {
        drop(self.fillers);
        let received = Arc::clone(received);
        thread::spawn(move || {
            while let Ok((stream, _)) = self.listener.accept() {
                let received = Arc::clone(&received);
                thread::spawn(move || {
                    serve(stream.into(), &received, |_| {
                        thread::sleep(response_time);
                        Some("done")
                    });
                });
            }
        });
    }
}

/// Responds to each request, and records when the complete request was received. Closes the connection where `respond` returns
/// `None`.
fn serve(
    mut stream: TcpStream,
    received: &EventLog<(Message, Instant)>,
    respond: impl Fn(&Message) -> Option<&'static str>,
) {
    let mut input = BufReader::new(stream.try_clone().unwrap());
    while let Some(message) = Message::read(&mut input) {
        received.push((message.clone(), Instant::now()));
        let Some(body) = respond(&message) else { return };
        let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    }
}

fn agent(addresses: &[SocketAddr]) -> (Agent, Discovery) {
    let lines = addresses.iter().enumerate().map(|(n, address)| serving(&format!("s{n}"), *address));
    let lines = lines.collect::<Vec<_>>().join(",");
    let discovery = Discovery::new(lines.clone());
    (Agent::start(&config(discovery.address, &lines, SETTINGS, 1024)), discovery)
}

/// Checks that the budget in a received request is no more than what a client that waits since `since` had left
/// then.
fn check_sent_budget(received: &(Message, Instant), since: Instant, budget: Duration) -> Result<(), String> {
    let sent =
        received.0.header("X-Budget-Ms").expect("a budget").parse().map(Duration::from_millis).unwrap();
    let left = (since + budget).saturating_duration_since(received.1);
    assert!(sent > Duration::ZERO, "a request with no time left is not sent");
    let fits = sent <= left + TOLERANCE;
    fits.then_some(()).ok_or_else(|| format!("{sent:?} sent, {left:?} left of {budget:?}"))
}

/// Checks that a response arrived in time; one that is half a second late counts as lost.
fn check_response_time(since: Instant, budget: Duration) -> Result<(), String> {
    let elapsed = since.elapsed();
    let in_time = elapsed < budget + Duration::from_millis(500);
    in_time.then_some(()).ok_or_else(|| format!("response after {elapsed:?} of {budget:?}"))
}

/// Fails if `check` fails three times in a row: a busy machine may exceed the tolerance now and then, but a fault of the agent
/// exceeds it each time.
fn assert_within_three_tries(check: impl Fn() -> Result<(), String>) {
    let errors: Vec<String> = (0..3).map_while(|_| check().err()).collect();
    assert!(errors.len() < 3, "{errors:?}");
}

/// Returns the head and the body of a `once` request with a body of `bytes` bytes.
fn with_body(budget: Duration, bytes: usize) -> (String, Vec<u8>) {
    let text = request("once", budget.as_millis() as u64);
    let head = text.replace("Content-Length: 4\r\n\r\nbody", &format!("Content-Length: {bytes}\r\n\r\n"));
    (head, vec![b'x'; bytes])
}

/// While a connection is being opened the agent does not read on in a long body, but the client may have sent all of
/// it: its time runs, so the budget that is sent must be smaller.
#[test]
fn budget_shrinks_while_the_connection_opens() {
    assert_within_three_tries(|| {
        let budget = Duration::from_secs(5);
        for bytes in [4, LONG_BODY_BYTES] {
            let (late, received) = (LateServer::new(), Arc::default());
            let (agent, _discovery) = agent(&[late.address]);
            let (head, body) = with_body(budget, bytes);
            let mut client = Client::connect(&agent);
            client.write(&head);
            client.stream.write_all(&body).unwrap();
            let since = Instant::now();
            thread::sleep(Duration::from_millis(500));
            late.open(&received, Duration::ZERO);
            let response = client.read().expect("a response");
            assert_eq!((response.status(), response.body.as_slice()), (200, "done".as_bytes()), "{bytes}");
            let received = received.all();
            assert_eq!(received.len(), 1);
            assert!(received[0].1 - since > 2 * TOLERANCE, "the connection opened too early");
            check_sent_budget(&received[0], since, budget)?;
        }
        Ok(())
    });
}

/// A request with a long body must get its response in time although no connection opens.
#[test]
fn unread_long_body_gets_its_response_in_time() {
    assert_within_three_tries(|| {
        let budget = Duration::from_millis(800);
        let (first, second) = (LateServer::new(), LateServer::new());
        let (agent, _discovery) = agent(&[first.address, second.address]);
        let (head, body) = with_body(budget, LONG_BODY_BYTES);
        let mut client = Client::connect(&agent);
        client.write(&head);
        client.stream.write_all(&body).unwrap();
        let since = Instant::now();
        let response = client.read().expect("a response");
        check_response_time(since, budget)?;
        assert!(matches!(response.status(), 502..=504), "{}", response.start_line);
        Ok(())
    });
}

/// The time that a long body waited unread must not extend the deadline once an attempt has read it.
#[test]
fn long_body_that_was_read_late_gets_its_response_in_time() {
    assert_within_three_tries(|| {
        let budget = Duration::from_millis(1800);
        let (late, received) = (LateServer::new(), Arc::default());
        let (agent, _discovery) = agent(&[late.address]);
        let (head, body) = with_body(budget, LONG_BODY_BYTES);
        let mut client = Client::connect(&agent);
        client.write(&head);
        client.stream.write_all(&body).unwrap();
        let since = Instant::now();
        thread::sleep(Duration::from_millis(500));
        late.open(&received, TEST_TIMEOUT);
        let response = client.read().expect("a response");
        check_response_time(since, budget)?;
        assert!(matches!(response.status(), 502 | 504), "{}", response.start_line);
        check_sent_budget(&received.wait_for(1)[0], since, budget)?;
        Ok(())
    });
}

/// The budget of a client that sends a long body slowly starts at its last byte, however long the connection took to open.
#[test]
fn budget_of_a_slow_long_body_starts_at_its_last_byte_despite_a_late_connection() {
    assert_within_three_tries(|| {
        let budget = Duration::from_millis(2500);
        let (late, received) = (LateServer::new(), Arc::default());
        let (agent, _discovery) = agent(&[late.address]);
        let (head, body) = with_body(budget, LONG_BODY_BYTES);
        let mut client = Client::connect(&agent);
        client.write(&head);
        client.stream.write_all(&body[..LONG_BODY_BYTES / 2]).unwrap();
        let start = Instant::now();
        thread::sleep(Duration::from_millis(500));
        // Longer than would be left if the time without a connection counted against the client.
        late.open(&received, Duration::from_millis(1900));
        // The agent reads the first half; only then the client sends the rest, chunk by chunk.
        while start.elapsed() < Duration::from_millis(1500) {
            thread::sleep(Duration::from_millis(20));
        }
        let mut since = start;
        for chunk in body[LONG_BODY_BYTES / 2..].chunks(LONG_BODY_BYTES / 8) {
            thread::sleep(Duration::from_millis(300));
            since = Instant::now();
            client.stream.write_all(chunk).unwrap();
        }
        assert!(start.elapsed() > budget);
        assert_eq!(client.read().map(|response| response.status()), Some(200));
        check_sent_budget(&received.all()[0], since, budget)?;
        Ok(())
    });
}

/// The budget of a client that sends its body slowly starts at the last byte.
#[test]
fn budget_of_a_slow_body_starts_at_its_last_byte() {
    assert_within_three_tries(|| {
        let budget = Duration::from_millis(800);
        for bytes in [4, 3000, LONG_BODY_BYTES] {
            let received: Arc<EventLog<(Message, Instant)>> = Arc::default();
            let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            let server_log = Arc::clone(&received);
            thread::spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    let server_log = Arc::clone(&server_log);
                    thread::spawn(move || serve(stream, &server_log, |_| Some("done")));
                }
            });
            let (agent, _discovery) = agent(&[address]);
            let (head, body) = with_body(budget, bytes);
            let mut client = Client::connect(&agent);
            client.write(&head);
            let mut since = Instant::now();
            for chunk in body.chunks(bytes.div_ceil(4)) {
                thread::sleep(Duration::from_millis(240));
                since = Instant::now();
                client.stream.write_all(chunk).unwrap();
            }
            assert_eq!(client.read().map(|response| response.status()), Some(200), "{bytes}");
            check_sent_budget(&received.all()[0], since, budget)?;
        }
        Ok(())
    });
}

/// A retry sends what the first attempt has left of the budget, also when a server held that one for long, or when the agent's
/// process was paused meanwhile.
#[test]
fn retry_sends_the_remaining_budget() {
    assert_within_three_tries(|| {
        let budget = Duration::from_secs(4);
        for paused in [false, true] {
            let received: Arc<EventLog<(Message, Instant)>> = Arc::default();
            let ended: Arc<EventLog<()>> = Arc::default();
            let addresses = [(); 2].map(|()| {
                let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
                let (address, received, ended) =
                    (listener.local_addr().unwrap(), Arc::clone(&received), Arc::clone(&ended));
                thread::spawn(move || {
                    for stream in listener.incoming().map_while(Result::ok) {
                        let (received, ended) = (Arc::clone(&received), Arc::clone(&ended));
                        thread::spawn(move || {
                            serve(stream, &received, |_| {
                                let is_first = received.all().len() == 1;
                                is_first.then(|| thread::sleep(Duration::from_millis(700)));
                                (!is_first).then_some("done")
                            });
                            ended.push(());
                        });
                    }
                });
                address
            });
            let (agent, _discovery) = agent(&addresses);
            let signal = |signal: &str| {
                let pid = agent.child.id().to_string();
                assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
            };
            let mut client = Client::connect(&agent);
            let since = Instant::now();
            client.write(&request("read", budget.as_millis() as u64));
            if paused {
                received.wait_for(1);
                signal("-STOP");
                ended.wait_for(1);
                thread::sleep(Duration::from_millis(500));
                signal("-CONT");
            }
            assert_eq!(client.read().map(|response| response.status()), Some(200));
            let received = received.all();
            assert_eq!(received.len(), 2);
            received.iter().try_for_each(|received| check_sent_budget(received, since, budget))?;
            assert!(received[1].1 - since > 2 * TOLERANCE);
        }
        Ok(())
    });
}

/// With hardly any time left servers may drop a request silently: its client must get a response in time all the same, and with
/// none left nothing is sent.
#[test]
fn tiny_budgets_get_a_response_in_time() {
    assert_within_three_tries(|| {
        let server = RecordServer::new(|_| Action::Hang);
        let (agent, _discovery) = Agent::with_servers(&[&server]);
        for budget in [0, 1, 2, 5, 5, 5, 20] {
            for class in ["read", "once", "zoned", "all"] {
                let since = Instant::now();
                let response = Client::connect(&agent).exchange(&request(class, budget));
                assert!(matches!(response.status(), 502..=504), "{class} {budget}: {}", response.start_line);
                check_response_time(since, Duration::from_millis(budget))?;
            }
        }
        for message in server.requests.all() {
            let sent: u64 = message.header("X-Budget-Ms").unwrap().parse().unwrap();
            assert!((1..=20).contains(&sent), "{sent}");
        }
        Ok(())
    });
}
