//! Clients that send at full speed: the others get their responses in time.

use crate::common::*;
use rustix::thread::{sched_getaffinity, sched_setaffinity, CpuSet, Pid};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Up to this long after its time, a response only earns nothing; a later one counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// How long a flood lasts.
const FLOOD: Duration = Duration::from_secs(2);
const FLOODING_CLIENTS: usize = 6;
/// The requests that a flooding client writes at once.
const BATCH: usize = 32;
/// The programs that share a processor with the agent.
const BUSY_PROGRAMS: usize = 7;

/// Clients that write requests at full speed and read the responses, on new connections if the agent closes them.
struct Flood {
    is_over: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Flood {
    fn start(agent: &Agent, text: impl Fn() -> String + Send + Clone + 'static) -> Flood {
        let (is_over, address) = (Arc::new(AtomicBool::new(false)), agent.address);
        let client = |_| {
            let (is_over, text) = (Arc::clone(&is_over), text.clone());
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let Ok(stream) = TcpStream::connect(address) else { continue };
                    let mut input = stream.try_clone().unwrap();
                    let reading =
                        thread::spawn(
                            move || while input.read(&mut [0; 16384]).is_ok_and(|read| read > 0) {},
                        );
                    while !is_over.load(Ordering::Relaxed) {
                        let batch: String = (0..BATCH).map(|_| text()).collect();
                        if (&stream).write_all(batch.as_bytes()).is_err() {
                            break;
                        }
                    }
                    let _ = stream.shutdown(Shutdown::Both);
                    let _ = reading.join();
                }
            })
        };
        let clients = (0..FLOODING_CLIENTS).map(client).collect();
        Flood { is_over, clients }
    }

    fn stop(self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.clients.into_iter().for_each(|client| client.join().unwrap());
    }
}

/// Other programs that keep the agent's processor busy, so that the agent gets a small part of it.
struct BusyProcessor {
    is_over: Arc<AtomicBool>,
    programs: Vec<JoinHandle<()>>,
}

impl BusyProcessor {
    fn share_with(agent: &Agent) -> BusyProcessor {
        let allowed = sched_getaffinity(None).unwrap();
        let processor = (0..CpuSet::MAX_CPU).rev().find(|number| allowed.is_set(*number)).unwrap();
        let mut only = CpuSet::new();
        only.set(processor);
        sched_setaffinity(Pid::from_raw(agent.child.id() as i32), &only).unwrap();
        let is_over = Arc::new(AtomicBool::new(false));
        let program = |_| {
            let is_over = Arc::clone(&is_over);
            thread::spawn(move || {
                sched_setaffinity(None, &only).unwrap();
                while !is_over.load(Ordering::Relaxed) {
                    std::hint::spin_loop();
                }
            })
        };
        let programs = (0..BUSY_PROGRAMS).map(program).collect();
        BusyProcessor { is_over, programs }
    }
}

impl Drop for BusyProcessor {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.programs.drain(..).for_each(|program| program.join().unwrap());
    }
}

/// Sends requests of a client that waits this long, one after the other, until the flood is over. Returns the largest delay of a
/// response after that time.
fn largest_delay(agent: &Agent, class: &str, budget_ms: u64) -> Duration {
    let (start, mut largest) = (Instant::now(), Duration::ZERO);
    let mut client = Client::connect(agent);
    while start.elapsed() < FLOOD {
        let sent = Instant::now();
        client.write(&request(class, budget_ms));
        let response = client.read();
        largest = largest.max(sent.elapsed().saturating_sub(Duration::from_millis(budget_ms)));
        if response.is_none_or(|response| response.header("Connection") == Some("close")) {
            client = Client::connect(agent);
        }
    }
    largest
}

/// Guards against turns of the event loop that are as long as a peer wants, and against waits that count such turns.
#[test]
fn a_flood_of_requests_does_not_delay_the_responses_to_others() {
    let padding = "X-Pad: 0123456789abcdef0123456789abcdef0123456789abcdef\r\n".repeat(40);
    let fields = "a:b\r\n".repeat(300);
    let kinds: [(&str, String); 6] = [
        ("padded fields", request("read", 9000).replace("Host", &format!("{padding}Host"))),
        ("many short fields", request("read", 9000).replace("Host", &format!("{fields}Host"))),
        ("unknown classes", request("read", 9000).replace("read", "nowhere")),
        ("readiness", "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n".into()),
        ("bodies for unknown classes", request("once", 9000).replace("once", "nowhere")),
        ("unsound", "GET /read HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n".into()),
    ];
    for (kind, text) in kinds {
        let server =
            RecordServer::new(|m| if m.path().starts_with("/once") { Action::Hang } else { ok("x") });
        let (mut agent, _discovery) = Agent::with_servers(&[&server]);
        let _busy = BusyProcessor::share_with(&agent);
        let number = Arc::new(AtomicUsize::new(0));
        let flood = Flood::start(&agent, move || {
            let number = number.fetch_add(1, Ordering::Relaxed);
            text.replacen("X-Call-Id: ", &format!("X-Call-Id: f{number}-"), 1)
        });
        let delays = thread::scope(|scope| {
            let hanging = scope.spawn(|| largest_delay(&agent, "once", 77));
            let served = scope.spawn(|| largest_delay(&agent, "read", 300));
            [hanging.join().unwrap(), served.join().unwrap()]
        });
        flood.stop();
        println!("{kind}: {delays:?}");
        assert!(delays.iter().all(|delay| *delay < LOST_AFTER), "{kind}: {delays:?}");
        assert_eq!(agent.child.try_wait().unwrap(), None, "{kind}");
    }
}
