//! Watches that fall silent, before a discovery that is scripted call by call. Time is the runtime's own and moves only
//! when nothing else can happen.

use super::*;
use heronhoist_decision::{Discovery as Way, Outcome, ServerId, Settings};
use heronhoist_engine::{
    AttemptResult, EndpointAddress, Gate, Incarnation, Pool, PoolOptions, Quota, RequestPayload, ServerNames,
    Upstream,
};
use std::cell::Cell;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};

mod local_errors;
mod words;

/// What a watch has missed counts as told so long after it fell silent.
const TOLD: Duration = Duration::from_secs(6);

/// Nothing is sent to its servers.
struct Nobody;
struct Nothing;
impl RequestPayload for Nothing {}

impl Upstream for Nobody {
    type Address = SocketAddr;
    type Request = Nothing;
    type Response = ();
    async fn attempt(&self, _: EndpointAddress<SocketAddr>, _: &Nothing, _: Gate<'_>) -> AttemptResult<()> {
        Outcome::NotSent.into()
    }
    async fn health_check(&self, _: EndpointAddress<SocketAddr>) -> AttemptResult<()> {
        Outcome::TimedOut.into()
    }
    fn close_idle(&self, _: ServerId) {}
    fn close_stale(&self, _: &dyn Fn(ServerId, Incarnation) -> bool) {}
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
    /// The list, after so many milliseconds.
    Late(u64),
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
                    Act::Late(pause) => {
                        sleep(Duration::from_millis(pause)).await;
                        stream.write_all(text.as_bytes()).await
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

/// Longer than any play, by the runtime's clock.
const LONGEST: Duration = Duration::from_secs(3600);

/// How long it takes from the start until a drain is known that the last of these acts tells; and the calls. The source is
/// the one that the list is from, or a new one, of which nothing is known.
async fn drained_after(way: Way, acts: &'static [Act], is_new: bool) -> (Duration, Vec<(Instant, String)>) {
    drained_over(way, acts, is_new, |discovery| Box::new(discovery)).await
}

async fn drained_over(
    way: Way,
    acts: &'static [Act],
    is_new: bool,
    over: impl FnOnce(Discovery) -> Box<dyn EndpointSource<SocketAddr>>,
) -> (Duration, Vec<(Instant, String)>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let asked = Rc::default();
    let (_keep, source) = watch::channel(address);
    let settings = Settings { discovery: way, ..Settings::default() };
    let known =
        EndpointList { version: 1, is_complete: true, endpoints: vec![EndpointInfo::serving("s", address)] };
    let pool = Pool::new(PoolOptions {
        name: "main".into(),
        settings,
        seed: 7,
        server_names: ServerNames::default(),
        initial_list: Some(known),
        continues_versions: !is_new,
        epoch: None,
        upstream: Nobody,
        request_quota: Quota::single_share(9),
    });
    let pool = pool.expect("usable settings");
    let discovery = Discovery { source, pushed: way == Way::Pushed, old_kinds: Vec::new() };
    let begun = Instant::now();
    spawn_local(serve(listener, acts, Rc::clone(&asked)));
    spawn_local(pool.clone().run(over(discovery)));
    while pool.has_serving_server() {
        assert!(begun.elapsed() < LONGEST, "the drain is never heard of");
        sleep(Duration::from_millis(50)).await;
    }
    let asked = asked.borrow().clone();
    (begun.elapsed(), asked)
}

/// Both ways in which lists come, before the same script.
fn each_way(acts: &'static [Act], judge: impl Fn(Duration, &[(Instant, String)])) {
    each_of(&BOTH, acts, false, judge);
}

/// The same where the source is a new one.
fn each_way_anew(acts: &'static [Act], judge: impl Fn(Duration, &[(Instant, String)])) {
    each_of(&BOTH, acts, true, judge);
}

const BOTH: [Way; 2] = [Way::Pushed, Way::OnRequest];

fn each_of(ways: &[Way], acts: &'static [Act], is_new: bool, judge: impl Fn(Duration, &[(Instant, String)])) {
    for way in ways.iter().copied() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
        let (took, asked) = LocalSet::new().block_on(&runtime.unwrap(), drained_after(way, acts, is_new));
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

/// What a new source has to tell must be known within this.
const TOLD_ANEW: Duration = Duration::from_secs(4);

/// A new source that is slow to answer, as one is that many ask at once, is heard all the same: whoever gives each call up
/// before its answer never hears it.
#[test]
fn a_new_source_that_is_slow_is_heard_in_time() {
    for acts in [&[Act::Late(1000)], &[Act::Late(2000)], &[Act::Late(3500)]] {
        each_way_anew(acts, |took, asked| {
            assert!(took < TOLD_ANEW, "{took:?}");
            assert!(asked.len() <= NEW_CALLS_MOST + 1, "no more calls than help: {asked:?}");
        });
    }
}

/// One call to it that nobody answers keeps nothing back, and neither do many that fail.
#[test]
fn a_new_source_that_is_silent_once_is_asked_again_in_time() {
    each_way_anew(&[Act::Silence, Act::List], |took, _| assert!(took < TOLD_ANEW, "{took:?}"));
    each_way_anew(&[Act::Silence, Act::Silence, Act::List], |took, _| {
        assert!(took < TOLD_ANEW, "{took:?}");
    });
    each_way_anew(&[Act::Close, Act::Half(0), Act::Close, Act::List], |took, _| {
        assert!(took < TOLD_ANEW, "{took:?}");
    });
}

/// It stays silent for minutes: few calls are open at any time, and what it tells in the end counts at once.
#[test]
fn a_new_source_that_is_silent_for_long_is_not_flooded() {
    const SILENT: [Act; 61] = {
        let mut acts = [Act::Silence; 61];
        acts[60] = Act::List;
        acts
    };
    // Where lists are asked for, the module's own calls come beside.
    each_of(&[Way::Pushed], &SILENT, true, |_, asked| {
        let apart = asked[60].0 - asked[59].0;
        assert!(apart < TOLD_ANEW, "{apart:?}");
        for calls in asked[..60].windows(1 + NEW_CALLS_MOST) {
            let within = calls[NEW_CALLS_MOST].0 - calls[0].0;
            assert!(within >= HOLD + HEAD_WAIT, "{within:?}");
        }
    });
}

/// Many minutes in which nothing happens, and then the watch falls silent, is closed or stops in the middle of a list, as if in the
/// first seconds.
#[test]
fn a_fault_after_a_long_quiet_time_is_noticed_in_time() {
    const QUIET: usize = 300;
    const fn then(fault: Act) -> [Act; QUIET + 2] {
        let mut acts = [Act::NoNews; QUIET + 2];
        acts[QUIET] = fault;
        acts[QUIET + 1] = Act::List;
        acts
    }
    const SILENCE: [Act; QUIET + 2] = then(Act::Silence);
    const CLOSE: [Act; QUIET + 2] = then(Act::Close);
    const HALF: [Act; QUIET + 2] = then(Act::Half(30));
    for acts in [&SILENCE, &CLOSE, &HALF] {
        each_way(acts, |took, asked| {
            assert!(took > HOLD * QUIET as u32, "the time was quiet: {took:?}");
            let apart = asked[QUIET + 1].0 - asked[QUIET].0;
            assert!(apart < TOLD, "{apart:?}");
        });
    }
}

/// An outage of several minutes, first with connections closed and then with silence: what discovery tells at its return is
/// known at once, and it was asked neither without end nor too seldom.
#[test]
fn after_a_long_outage_what_discovery_tells_counts_at_once() {
    const CLOSED: usize = 400;
    const OUT: usize = CLOSED + 100;
    const OUTAGE: [Act; OUT + 1] = {
        let mut acts = [Act::Silence; OUT + 1];
        let mut call = 0;
        while call < CLOSED {
            acts[call] = Act::Close;
            call += 1;
        }
        acts[OUT] = Act::List;
        acts
    };
    each_way(&OUTAGE, |took, asked| {
        assert!(took > HOLD * 100, "the outage was long: {took:?}");
        assert_eq!(asked.len().min(OUT + 1), OUT + 1);
        for pair in asked.windows(2) {
            assert!(pair[1].0 - pair[0].0 < TOLD, "{:?}", pair[1].0 - pair[0].0);
        }
        let a_minute_of_refusals = asked[..CLOSED].iter().filter(|call| call.0 - asked[0].0 < TOLD * 10);
        assert!(a_minute_of_refusals.count() < 500, "no storm of calls");
    });
}
