//! Watches that fall silent, before a discovery that is scripted call by call. Time is the runtime's own and moves only
//! when nothing else can happen.

use super::*;
use heronhoist_decision::{Discovery as Way, Outcome, ServerId, Settings};
use heronhoist_engine::{Ended, Gate, Payload, Place, Pool, Quota, ServerNames, Setup, Upstream};
use std::cell::Cell;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};

mod local_errors;

/// What a watch has missed counts as told so long after it fell silent.
const TOLD: Duration = Duration::from_secs(6);

/// Nothing is sent to its servers.
struct Nobody;
struct Nothing;
impl Payload for Nothing {}

impl Upstream for Nobody {
    type Address = SocketAddr;
    type Call = Nothing;
    type Answer = ();
    async fn attempt(&self, _: Place<SocketAddr>, _: &Nothing, _: Gate<'_>) -> Ended<()> {
        Outcome::NotSent.into()
    }
    async fn probe(&self, _: Place<SocketAddr>) -> Ended<()> {
        Outcome::TimedOut.into()
    }
    fn close_idle(&self, _: ServerId) {}
    fn retire(&self, _: &dyn Fn(ServerId, u64) -> bool) {}
}

/// What becomes of a call.
#[derive(Clone, Copy)]
enum Act {
    /// Nothing comes, and the connection stays.
    Silence,
    /// The connection ends.
    Close,
    /// The head and so many bytes of the list, and nothing more.
    Half(usize),
    /// The list, a few bytes at a time with so many milliseconds between.
    Trickle(u64),
    /// The list.
    List,
    /// What a watch gets to whom nothing is new: an empty answer once its time is over.
    NoNews,
}

fn list(state: &str) -> String {
    let line = format!(r#"{{"uid":"s","endpoint":"127.0.0.1:9","state":"{state}"}}"#);
    format!(r#"{{"rev":7,"all":true,"targets":[{line}]}}"#)
}

/// Answers the calls as they come, the last act for all that follow; tells when each came, and what it asked.
async fn serve(
    listener: TcpListener,
    acts: &'static [Act],
    asked: Rc<std::cell::RefCell<Vec<(Instant, String)>>>,
) {
    let next = Rc::new(Cell::new(0));
    while let Ok((mut stream, _)) = listener.accept().await {
        let (next, asked) = (Rc::clone(&next), Rc::clone(&asked));
        spawn_local(async move {
            let (mut read, mut buffer) = (Vec::new(), [0; 1024]);
            loop {
                while !read.ends_with(b"\r\n\r\n") {
                    match stream.read(&mut buffer).await {
                        Ok(0) | Err(_) => return,
                        Ok(n) => read.extend_from_slice(&buffer[..n]),
                    }
                }
                let line = String::from_utf8_lossy(&read).lines().next().unwrap_or_default().to_string();
                let hold = line.split("hold_ms=").nth(1).and_then(|t| t.split(' ').next()?.parse().ok());
                asked.borrow_mut().push((Instant::now(), line));
                read.clear();
                let act = acts[next.get().min(acts.len() - 1)];
                next.set(next.get() + 1);
                let body = match act {
                    Act::NoNews => r#"{"rev":1,"all":false,"targets":[]}"#.to_string(),
                    _ => list("DRAINING"),
                };
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                let text = head.clone() + &body;
                let written = match act {
                    Act::Silence => return std::future::pending().await,
                    Act::Close => return,
                    Act::Half(bytes) => {
                        let _ = stream.write_all(&text.as_bytes()[..head.len() + bytes]).await;
                        return std::future::pending().await;
                    }
                    Act::Trickle(pause) => {
                        for piece in text.as_bytes().chunks(16) {
                            let _ = stream.write_all(piece).await;
                            sleep(Duration::from_millis(pause)).await;
                        }
                        Ok(())
                    }
                    Act::List => stream.write_all(text.as_bytes()).await,
                    Act::NoNews => {
                        sleep(Duration::from_millis(hold.unwrap_or(0))).await;
                        stream.write_all(text.as_bytes()).await
                    }
                };
                if written.is_err() {
                    return;
                }
            }
        });
    }
}

/// How long it takes from the start until a drain is known that the last of these acts tells; and the calls.
async fn drained_after(way: Way, acts: &'static [Act]) -> (Duration, Vec<(Instant, String)>) {
    drained_over(way, acts, |discovery| Box::new(discovery)).await
}

async fn drained_over(
    way: Way,
    acts: &'static [Act],
    over: impl FnOnce(Discovery) -> Box<dyn Membership<SocketAddr>>,
) -> (Duration, Vec<(Instant, String)>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let asked = Rc::default();
    let (_keep, source) = watch::channel(address);
    let settings = Settings { discovery: way, ..Settings::default() };
    let known = List { version: 1, whole: true, members: vec![Member::serving("s", address)] };
    let pool = Pool::new(Setup {
        name: "main".into(),
        settings,
        seed: 7,
        names: ServerNames::default(),
        known: Some(known),
        known_stands: true,
        epoch: None,
        upstream: Nobody,
        requests: Quota::alone(9),
    });
    let pool = pool.expect("usable settings");
    let discovery = Discovery { source, pushed: way == Way::Pushed, old_kinds: Vec::new() };
    let begun = Instant::now();
    spawn_local(serve(listener, acts, Rc::clone(&asked)));
    spawn_local(pool.clone().run(over(discovery)));
    while pool.can_decide() {
        assert!(begun.elapsed() < Duration::from_secs(120), "the drain is never heard of");
        sleep(Duration::from_millis(10)).await;
    }
    let asked = asked.borrow().clone();
    (begun.elapsed(), asked)
}

/// Both ways in which lists come, before the same script.
fn each_way(acts: &'static [Act], judge: impl Fn(Duration, &[(Instant, String)])) {
    for way in [Way::Pushed, Way::OnRequest] {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
        let (took, asked) = LocalSet::new().block_on(&runtime.unwrap(), drained_after(way, acts));
        judge(took, &asked);
    }
}

/// The connection stays up and nothing is said on it: that is noticed before what it misses counts as told.
#[test]
fn a_watch_that_falls_silent_is_opened_anew_in_time() {
    each_way(&[Act::Silence, Act::List], |took, asked| {
        assert!(took < TOLD, "{took:?}");
        assert!(asked[1].1.contains("from=1&"), "it goes on from what is known: {asked:?}");
    });
}

/// So is one that falls silent after others that brought nothing new.
#[test]
fn a_watch_that_falls_silent_later_is_opened_anew_in_time() {
    each_way(&[Act::NoNews, Act::NoNews, Act::NoNews, Act::Silence, Act::List], |_, asked| {
        let (silent, again) = (asked[3].0, asked[4].0);
        assert!(again - silent < TOLD, "{:?}", again - silent);
        // Between two watches lie no more than 200 ms, or what changes there is told as to nobody.
        for pair in asked[..4].windows(2) {
            let apart = pair[1].0 - pair[0].0;
            assert!(apart < HOLD + Duration::from_millis(200), "{apart:?}");
        }
    });
}

/// Silence in the middle of a list is silence too.
#[test]
fn a_list_that_stops_in_its_middle_is_asked_for_again_in_time() {
    each_way(&[Act::Half(0), Act::List], |took, _| assert!(took < TOLD, "{took:?}"));
    each_way(&[Act::Half(30), Act::List], |took, _| assert!(took < TOLD, "{took:?}"));
}

/// A list that trickles in is waited for: each new call would only begin it again.
#[test]
fn a_list_that_trickles_in_is_taken() {
    each_way(&[Act::Trickle(700)], |took, asked| {
        assert!(took > Duration::from_secs(4), "it must have come slowly: {took:?}");
        assert_eq!(asked.len(), 1, "{asked:?}");
    });
}

/// However often calls have failed, the next comes soon enough for what discovery has when it can be reached again.
#[test]
fn after_many_failures_discovery_is_still_asked_in_time() {
    const DOWN: [Act; 14] = {
        let mut acts = [Act::Close; 14];
        acts[12] = Act::Silence;
        acts[13] = Act::List;
        acts
    };
    each_way(&DOWN, |_, asked| {
        // It could be reached right after the call before the last, which nobody answers.
        let (lost, again) = (asked[12].0, asked[13].0);
        assert!(again - lost < TOLD, "{:?}", again - lost);
    });
}
