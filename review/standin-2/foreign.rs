//! Record servers answer once for a long quiet time; then some answers come a second time, some milliseconds late.

use crate::world::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const AGENTS: usize = 5;
const SERVERS: usize = 4;
/// The clients of each agent: in the quiet time they pause and send some 250 requests a second, and in the busy time they do not pause
/// and send some 1,100. (An agent receives 200 to 320 requests a second, and four times as many on one day.)
const QUIET_CLIENTS: usize = 14;
const QUIET_PAUSE_MS: u64 = 42;
const BUSY_CLIENTS: usize = 14;
const QUIET_MS: u64 = 20_000;
const BUSY_MS: u64 = 40_000;
/// How long a message takes between the agent and a record server: they stand in different buildings.
const ONE_WAY: Duration = Duration::from_micros(780);
/// From 2 s into the busy time, one answer in this many comes twice, this late.
const TWICE_ONE_IN: u64 = 2500;
const LATE_US: (u64, u64) = (7_000, 12_000);

pub fn run(folder: &Path, scratch: &Path, trouble: bool) -> i32 {
    let record = Record::new(&folder.join("record.txt"));
    let is_busy = Arc::new(AtomicBool::new(false));
    // The bodies that record servers made, by the id of their request.
    let made: Arc<Mutex<HashMap<String, Vec<String>>>> = Arc::default();
    let servers: Vec<Listed> = (0..SERVERS)
        .map(|n| {
            let (record, is_busy, made) = (record.clone(), Arc::clone(&is_busy), Arc::clone(&made));
            let random = Mutex::new(Random(0x9e37_79b9 + n as u64));
            let address = listen(move |mut stream| {
                let Ok(input) = stream.try_clone() else { return };
                let mut input = BufReader::new(input);
                // How many requests have arrived on this connection.
                let arrived = Arc::new(AtomicUsize::new(0));
                while let Ok(Some(request)) = Message::read(&mut input) {
                    thread::sleep(ONE_WAY);
                    let number = arrived.fetch_add(1, Ordering::SeqCst) + 1;
                    if request.path() == "/stats" {
                        thread::sleep(ONE_WAY);
                        let _ = stream.write_all(&ok_answer(b"inflight=0,queue=0,qps=1"));
                        continue;
                    }
                    let (work, is_twice, late) = {
                        let mut random = random.lock().unwrap();
                        (random.between(8, 14), random.next() % TWICE_ONE_IN == 0, random.between(LATE_US.0, LATE_US.1))
                    };
                    let body = format!("record for {} by s{n}", request.id());
                    made.lock().unwrap().entry(request.id().into()).or_default().push(body.clone());
                    thread::sleep(ms(work));
                    // The server goes on while the answer is on its way.
                    if is_twice && trouble && is_busy.load(Ordering::Relaxed) {
                        let Ok(mut copy) = stream.try_clone() else { return };
                        let (arrived, record, body) = (Arc::clone(&arrived), record.clone(), body.clone());
                        let id = request.id().to_string();
                        thread::spawn(move || {
                            thread::sleep(Duration::from_micros(late));
                            // Only when nothing else waits on the connection.
                            if arrived.load(Ordering::SeqCst) == number {
                                record.line(format!("s{n} answers {id} a second time, {late} us late"));
                                thread::sleep(ONE_WAY);
                                let _ = copy.write_all(&ok_answer(body.as_bytes()));
                            }
                        });
                    }
                    thread::sleep(ONE_WAY);
                    if stream.write_all(&ok_answer(body.as_bytes())).is_err() {
                        return;
                    }
                }
            });
            Listed { uid: format!("s-{n}"), address, zone: "jackson", group: 1, state: "SERVING" }
        })
        .collect();
    let discovery = Discovery::start(servers);
    let configuration = platform_file(&discovery, &settings(&[LOOKUP, CORRECTION, CERTIFIED_COPY]));
    let agents: Vec<Agent> =
        (0..AGENTS).map(|n| Agent::start(scratch, &format!("n{n}.json"), &configuration, "")).collect();
    agents.iter().for_each(Agent::wait_ready);

    let served = Arc::new(AtomicUsize::new(0));
    let foreign = Arc::new(AtomicUsize::new(0));
    let clients = |count: usize, pause: u64, until: Instant| {
        let threads: Vec<_> = (0..count * AGENTS)
            .map(|n| {
                let (record, made) = (record.clone(), Arc::clone(&made));
                let (served, foreign) = (Arc::clone(&served), Arc::clone(&foreign));
                let address = agents[n % AGENTS].listen;
                thread::spawn(move || {
                    let mut random = Random(77 + n as u64);
                    let mut client = Client::connect(address).ok();
                    while Instant::now() < until {
                        let Some(open) = &mut client else {
                            client = Client::connect(address).ok();
                            continue;
                        };
                        let id = call_id();
                        let class = if random.next() % 3 == 0 { "certified-copy" } else { "lookup" };
                        let body = (class != "lookup").then_some("copy=1");
                        let budget = if body.is_some() { 1500 } else { 400 };
                        let sent = open.stream.write_all(request(class, &id, budget, None, body).as_bytes());
                        match sent.and_then(|()| open.read()) {
                            Ok(answer) => {
                                let text = String::from_utf8_lossy(&answer.body).into_owned();
                                if answer.status == 200 {
                                    served.fetch_add(1, Ordering::Relaxed);
                                    let known = made.lock().unwrap().get(&id).cloned().unwrap_or_default();
                                    if !known.contains(&text) {
                                        foreign.fetch_add(1, Ordering::Relaxed);
                                        record.line(format!(
                                            "FOREIGN: {class} {id} got 200 with \"{text}\"; the record servers made {known:?}"
                                        ));
                                    }
                                }
                                if answer.header("connection") == Some("close") {
                                    client = None;
                                }
                            }
                            Err(_) => client = None,
                        }
                        if pause > 0 {
                            thread::sleep(ms(random.between(pause / 2, pause * 3 / 2)));
                        }
                    }
                })
            })
            .collect();
        threads.into_iter().for_each(|thread| drop(thread.join()));
    };
    record.line("quiet time: each answer comes once");
    clients(QUIET_CLIENTS, QUIET_PAUSE_MS, Instant::now() + ms(QUIET_MS));
    record.line(format!("busy time begins; {} served so far", served.load(Ordering::Relaxed)));
    let begin = Arc::clone(&is_busy);
    thread::spawn(move || {
        thread::sleep(ms(2000));
        begin.store(true, Ordering::Relaxed);
    });
    clients(BUSY_CLIENTS, 0, Instant::now() + ms(BUSY_MS));
    let foreign = foreign.load(Ordering::Relaxed);
    record.line(format!("{} served, {foreign} of them with the answer of another request", served.load(Ordering::Relaxed)));
    if served.load(Ordering::Relaxed) < 1000 {
        return CANNOT_RUN;
    }
    if foreign > 0 { BROKEN } else { HELD }
}
