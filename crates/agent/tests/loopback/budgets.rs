//! The time that an attempt tells its server: never more than its client has left, by the client's own clock, with the 0.15 s
//! that the terms allow.

use crate::common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const SLACK: Duration = Duration::from_millis(150);
/// More than is held of a body.
const LONG: usize = 100 << 10;

/// A server whose connections come up late: its queue is full until it is opened.
struct Late {
    listener: socket2::Socket,
    address: SocketAddr,
    fillers: Vec<socket2::Socket>,
}

impl Late {
    fn new() -> Late {
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
        Late { listener, address, fillers }
    }

    /// Takes connections from now on; those of the agent come up when its machine asks again.
    fn open(self, heard: &Arc<EventLog<(Message, Instant)>>, takes: Duration) {
        drop(self.fillers);
        let heard = Arc::clone(heard);
        thread::spawn(move || {
            while let Ok((stream, _)) = self.listener.accept() {
                let heard = Arc::clone(&heard);
                thread::spawn(move || {
                    serve(stream.into(), &heard, |_| {
                        thread::sleep(takes);
                        Some("done")
                    });
                });
            }
        });
    }
}

/// Answers what it hears, and tells when it had all of it; what `answer` says nothing to it drops, and the connection with it.
fn serve(
    mut stream: TcpStream,
    heard: &EventLog<(Message, Instant)>,
    answer: impl Fn(&Message) -> Option<&'static str>,
) {
    let mut input = BufReader::new(stream.try_clone().unwrap());
    while let Some(message) = Message::read(&mut input) {
        heard.push((message.clone(), Instant::now()));
        let Some(body) = answer(&message) else { return };
        let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    }
}

fn agent(addresses: &[SocketAddr]) -> (Agent, Discovery) {
    let lines = addresses.iter().enumerate().map(|(n, address)| serving(&format!("s{n}"), *address));
    let lines = lines.collect::<Vec<_>>().join(",");
    let discovery = Discovery::new(lines.clone());
    (Agent::start(&config(discovery.address, &lines, SETTINGS, 1024)), discovery)
}

/// What a server was told is no more than the client had left when it was told, if the client began to wait then.
fn check(heard: &(Message, Instant), since: Instant, budget: Duration) -> Result<(), String> {
    let told = heard.0.header("X-Budget-Ms").expect("a time").parse().map(Duration::from_millis).unwrap();
    let left = (since + budget).saturating_duration_since(heard.1);
    assert!(told > Duration::ZERO, "a request with no time left is not sent");
    let fits = told <= left + SLACK;
    fits.then_some(()).ok_or_else(|| format!("{told:?} told, {left:?} left of {budget:?}"))
}

/// An answer that comes half a second late is a lost one.
fn check_answered(since: Instant, budget: Duration) -> Result<(), String> {
    let took = since.elapsed();
    let in_time = took < budget + Duration::from_millis(500);
    in_time.then_some(()).ok_or_else(|| format!("answered after {took:?} of {budget:?}"))
}

/// A busy machine may be late itself by more than the terms leave, now and then; what is wrong here is so each time.
fn thrice(play: impl Fn() -> Result<(), String>) {
    let told: Vec<String> = (0..3).map_while(|_| play().err()).collect();
    assert!(told.len() < 3, "{told:?}");
}

/// A `once` with a body of so many bytes.
fn with_body(budget: Duration, bytes: usize) -> (String, Vec<u8>) {
    let text = request("once", budget.as_millis() as u64);
    let head = text.replace("Content-Length: 4\r\n\r\nbody", &format!("Content-Length: {bytes}\r\n\r\n"));
    (head, vec![b'x'; bytes])
}

/// Nobody reads on in a long body while a connection is on its way, but its client may have sent all of it.
#[test]
fn on_a_late_connection_less_is_left() {
    thrice(|| {
        let budget = Duration::from_secs(5);
        for bytes in [4, LONG] {
            let (late, heard) = (Late::new(), Arc::default());
            let (agent, _discovery) = agent(&[late.address]);
            let (head, body) = with_body(budget, bytes);
            let mut client = Client::connect(&agent);
            client.write(&head);
            client.stream.write_all(&body).unwrap();
            let since = Instant::now();
            thread::sleep(Duration::from_millis(500));
            late.open(&heard, Duration::ZERO);
            let answer = client.read().expect("an answer");
            assert_eq!((answer.status(), answer.body.as_slice()), (200, "done".as_bytes()), "{bytes}");
            let heard = heard.all();
            assert_eq!(heard.len(), 1);
            assert!(heard[0].1 - since > 2 * SLACK, "the connection was not late");
            check(&heard[0], since, budget)?;
        }
        Ok(())
    });
}

/// A long request whose connection does not come up owes its answer like any other.
#[test]
fn a_long_body_that_nobody_reads_is_answered_in_time() {
    thrice(|| {
        let budget = Duration::from_millis(800);
        let (one, two) = (Late::new(), Late::new());
        let (agent, _discovery) = agent(&[one.address, two.address]);
        let (head, body) = with_body(budget, LONG);
        let mut client = Client::connect(&agent);
        client.write(&head);
        client.stream.write_all(&body).unwrap();
        let since = Instant::now();
        let answer = client.read().expect("an answer");
        check_answered(since, budget)?;
        assert!(matches!(answer.status(), 502..=504), "{}", answer.start_line);
        Ok(())
    });
}

/// Nor does the time that it lay there unread come on top once an attempt has read it.
#[test]
fn a_long_body_that_was_read_late_is_answered_in_time() {
    thrice(|| {
        let budget = Duration::from_millis(1800);
        let (late, heard) = (Late::new(), Arc::default());
        let (agent, _discovery) = agent(&[late.address]);
        let (head, body) = with_body(budget, LONG);
        let mut client = Client::connect(&agent);
        client.write(&head);
        client.stream.write_all(&body).unwrap();
        let since = Instant::now();
        thread::sleep(Duration::from_millis(500));
        late.open(&heard, TEST_TIMEOUT);
        let answer = client.read().expect("an answer");
        check_answered(since, budget)?;
        assert!(matches!(answer.status(), 502 | 504), "{}", answer.start_line);
        check(&heard.wait_for(1)[0], since, budget)?;
        Ok(())
    });
}

/// A client that is slow itself has its time from its last byte, however long a connection took.
#[test]
fn a_long_body_that_still_comes_has_its_time() {
    thrice(|| {
        let budget = Duration::from_millis(2500);
        let (late, heard) = (Late::new(), Arc::default());
        let (agent, _discovery) = agent(&[late.address]);
        let (head, body) = with_body(budget, LONG);
        let mut client = Client::connect(&agent);
        client.write(&head);
        client.stream.write_all(&body[..LONG / 2]).unwrap();
        let began = Instant::now();
        thread::sleep(Duration::from_millis(500));
        // Longer than would be left if the time without a connection were the client's.
        late.open(&heard, Duration::from_millis(1900));
        // What was sent is read on; only then comes the rest, a piece at a time.
        while began.elapsed() < Duration::from_millis(1500) {
            thread::sleep(Duration::from_millis(20));
        }
        let mut since = began;
        for piece in body[LONG / 2..].chunks(LONG / 8) {
            thread::sleep(Duration::from_millis(300));
            since = Instant::now();
            client.stream.write_all(piece).unwrap();
        }
        assert!(began.elapsed() > budget);
        assert_eq!(client.read().map(|answer| answer.status()), Some(200));
        check(&heard.all()[0], since, budget)?;
        Ok(())
    });
}

/// Of a body that comes slowly the last byte counts.
#[test]
fn a_slow_body_has_its_time_from_its_last_byte() {
    thrice(|| {
        let budget = Duration::from_millis(800);
        for bytes in [4, 3000, LONG] {
            let heard: Arc<EventLog<(Message, Instant)>> = Arc::default();
            let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            let tally = Arc::clone(&heard);
            thread::spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    let tally = Arc::clone(&tally);
                    thread::spawn(move || serve(stream, &tally, |_| Some("done")));
                }
            });
            let (agent, _discovery) = agent(&[address]);
            let (head, body) = with_body(budget, bytes);
            let mut client = Client::connect(&agent);
            client.write(&head);
            let mut since = Instant::now();
            for piece in body.chunks(bytes.div_ceil(4)) {
                thread::sleep(Duration::from_millis(240));
                since = Instant::now();
                client.stream.write_all(piece).unwrap();
            }
            assert_eq!(client.read().map(|answer| answer.status()), Some(200), "{bytes}");
            check(&heard.all()[0], since, budget)?;
        }
        Ok(())
    });
}

/// A further attempt has what the first has left, also when a server kept that one for long, or when the agent's own process
/// was held up meanwhile.
#[test]
fn a_further_attempt_tells_what_is_left() {
    thrice(|| {
        let budget = Duration::from_secs(4);
        for held_up in [false, true] {
            let heard: Arc<EventLog<(Message, Instant)>> = Arc::default();
            let ended: Arc<EventLog<()>> = Arc::default();
            let addresses = [(); 2].map(|()| {
                let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
                let (address, heard, ended) =
                    (listener.local_addr().unwrap(), Arc::clone(&heard), Arc::clone(&ended));
                thread::spawn(move || {
                    for stream in listener.incoming().map_while(Result::ok) {
                        let (heard, ended) = (Arc::clone(&heard), Arc::clone(&ended));
                        thread::spawn(move || {
                            serve(stream, &heard, |_| {
                                let is_first = heard.all().len() == 1;
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
            if held_up {
                heard.wait_for(1);
                signal("-STOP");
                ended.wait_for(1);
                thread::sleep(Duration::from_millis(500));
                signal("-CONT");
            }
            assert_eq!(client.read().map(|answer| answer.status()), Some(200));
            let heard = heard.all();
            assert_eq!(heard.len(), 2);
            heard.iter().try_for_each(|heard| check(heard, since, budget))?;
            assert!(heard[1].1 - since > 2 * SLACK);
        }
        Ok(())
    });
}

/// With next to no time left servers may drop a request without a word: its client is answered in its time all the same, and
/// with none left nothing is sent.
#[test]
fn next_to_no_time_is_answered_in_time() {
    thrice(|| {
        let backend = RecordServer::new(|_| Action::Hang);
        let (agent, _discovery) = Agent::with_servers(&[&backend]);
        for budget in [0, 1, 2, 5, 5, 5, 20] {
            for class in ["read", "once", "zoned", "all"] {
                let since = Instant::now();
                let answer = Client::connect(&agent).exchange(&request(class, budget));
                assert!(matches!(answer.status(), 502..=504), "{class} {budget}: {}", answer.start_line);
                check_answered(since, Duration::from_millis(budget))?;
            }
        }
        for message in backend.requests.all() {
            let told: u64 = message.header("X-Budget-Ms").unwrap().parse().unwrap();
            assert!((1..=20).contains(&told), "{told}");
        }
        Ok(())
    });
}
