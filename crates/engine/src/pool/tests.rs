use super::rejection::RETRY_AFTER;
use super::*;
use crate::endpoint_source::{EndpointInfo, EndpointList};
use crate::quota::Quota;
use crate::upstream::{
    AttemptResult, BodyProgress, EndpointAddress, Gate, Incarnation, RequestPayload, StreamingBody,
};
use heronhoist_decision::{AttemptNumber, DeduplicationScope, Effect, Outcome, ServerId, Span};
use std::future::Future;
use std::pin::Pin;
use tokio::task::{yield_now, LocalSet};
use tokio::time::Instant;

/// Its servers never answer.
struct Mute;
struct Nothing;
impl RequestPayload for Nothing {}

impl Upstream for Mute {
    type Address = u16;
    type Request = Nothing;
    type Response = ();
    async fn attempt(&self, _: EndpointAddress<u16>, _: &Nothing, gate: Gate<'_>) -> AttemptResult<()> {
        gate.open();
        std::future::pending().await
    }
    async fn health_check(&self, _: EndpointAddress<u16>) -> AttemptResult<()> {
        Outcome::TimedOut.into()
    }
    fn close_idle(&self, _: ServerId) {}
    fn close_stale(&self, _: &dyn Fn(ServerId, Incarnation) -> bool) {}
}

fn pool(known: bool, most: usize) -> Pool<Mute> {
    let known = known.then(|| EndpointList {
        version: 1,
        is_complete: true,
        endpoints: vec![EndpointInfo::serving("s", 80)],
    });
    Pool::new(PoolOptions {
        name: "main".into(),
        settings: Settings::default(),
        seed: 7,
        server_names: ServerNames::default(),
        initial_list: known,
        continues_versions: true,
        epoch: None,
        upstream: Mute,
        request_quota: Quota::single_share(most),
    })
    .expect("usable")
}

fn exchange(name: &str) -> NewRequest<Nothing> {
    let name = Some(name.as_bytes().into());
    NewRequest { correlation_id: name, ..NewRequest::new(Nothing, ClassId(0), Duration::from_secs(60)) }
}

/// Guards the module's counts of what is in flight: a request that ends right after one of its attempts was
/// called off must not be forgotten before that attempt's outcome is told.
#[tokio::test]
async fn an_attempt_called_off_is_reported_though_its_request_has_ended() {
    let test = async {
        let pool = pool(true, 9);
        let owed = pool.submit(exchange("id")).expect("taken");
        let id = owed.id;
        let cancel = Action::Cancel { request: id, attempt: AttemptNumber(0) };
        pool.perform(vec![cancel, Action::Fail { request: id }]);
        assert!(matches!(owed.wait(|deadline| deadline).await, FinalResponse::Failed));
        assert!(pool.0.state.borrow().requests.contains_key(&id), "its outcome has not been told");
        assert_eq!(pool.submit(exchange("id")).err(), Some(Rejection::CorrelationIdInUse));
        while pool.stats().open_requests > 0 {
            yield_now().await;
        }
        assert!(pool.submit(exchange("id")).is_ok(), "its name is free again");
    };
    LocalSet::new().run_until(test).await;
}

/// Nothing is answered twice, and nothing is kept of a request that is over.
#[tokio::test]
async fn the_first_answer_is_the_only_one() {
    let test = async {
        let pool = pool(true, 9);
        let owed = pool.submit(exchange("id")).expect("taken");
        let id = owed.id;
        pool.perform(vec![Action::Fail { request: id }, Action::Reject { request: id, retry_after: None }]);
        assert!(matches!(owed.wait(|deadline| deadline).await, FinalResponse::Failed));
        pool.perform(vec![Action::Cancel { request: id, attempt: AttemptNumber(0) }]);
        while pool.stats().open_requests > 0 {
            yield_now().await;
        }
    };
    LocalSet::new().run_until(test).await;
}

/// A client that waits for 23 ms gets nearly all of them for its attempt, and its answer in time.
#[tokio::test(start_paused = true)]
async fn a_short_budget_is_not_spent_on_reserves() {
    let test = async {
        let (pool, begun, budget) = (pool(true, 9), Instant::now(), Duration::from_millis(23));
        let mut settings = Settings::default();
        settings.classes[0].latency_objective = Span::from_ms(11.0);
        pool.update_settings(settings, vec![ClassId(1)], &[]);
        let owed = pool.submit(NewRequest::new(Nothing, ClassId(1), budget)).expect("taken");
        let answer = owed.wait(|deadline| deadline).await;
        let waited = begun.elapsed();
        assert!(!matches!(answer, FinalResponse::Success(())), "its server never answers");
        assert!((Duration::from_millis(18)..budget).contains(&waited), "{waited:?}");
    };
    LocalSet::new().run_until(test).await;
}

/// What can't be taken is turned away at once, with a time to come back.
#[tokio::test(start_paused = true)]
async fn a_pool_without_a_list_or_room_declines_at_once() {
    let test = async {
        let empty = pool(false, 9);
        let declined = empty.submit(exchange("a")).err().expect("declined");
        assert_eq!(declined, Rejection::NoEndpoints(RETRY_AFTER));
        assert!(declined.retry_after().is_some());
        empty.on_endpoints(EndpointList {
            version: 1,
            is_complete: true,
            endpoints: vec![EndpointInfo::serving("s", 80)],
        });
        assert!(empty.submit(exchange("a")).is_ok());
        let full = pool(true, 1);
        let first = full.submit(exchange("a")).expect("taken");
        assert_eq!(full.submit(exchange("b")).err(), Some(Rejection::PoolFull(RETRY_AFTER)));
        drop(first);
        full.close();
        assert_eq!(full.submit(exchange("b")).err(), Some(Rejection::PoolClosed(RETRY_AFTER)));
    };
    LocalSet::new().run_until(test).await;
}

/// Its connections come up when they are told to; so many requests are then read and their connections reset.
struct Slow {
    up: Rc<Notify>,
    breaks: Cell<u32>,
    opened: Rc<RefCell<Vec<bool>>>,
}

impl Upstream for Slow {
    type Address = u16;
    type Request = Nothing;
    type Response = ();
    async fn attempt(&self, _: EndpointAddress<u16>, _: &Nothing, gate: Gate<'_>) -> AttemptResult<()> {
        self.up.notified().await;
        let opens = gate.open();
        self.opened.borrow_mut().push(opens);
        match self.breaks.get() {
            0 if opens => std::future::pending().await,
            0 => Outcome::NotSent.into(),
            left => {
                self.breaks.set(left - 1);
                Outcome::ConnectionReset.into()
            }
        }
    }
    async fn health_check(&self, _: EndpointAddress<u16>) -> AttemptResult<()> {
        Outcome::TimedOut.into()
    }
    fn close_idle(&self, _: ServerId) {}
    fn close_stale(&self, _: &dyn Fn(ServerId, Incarnation) -> bool) {}
}

/// A pool whose class has this effect, what brings its connections up, and what the gate has said of each.
fn slow(effect: Effect, breaks: u32) -> (Pool<Slow>, Rc<Notify>, Rc<RefCell<Vec<bool>>>) {
    let (up, opened) = (Rc::new(Notify::new()), Rc::default());
    let mut settings = Settings::default();
    settings.classes[0].effect = effect;
    let members = vec![EndpointInfo::serving("s", 80), EndpointInfo::serving("t", 81)];
    let pool = Pool::new(PoolOptions {
        name: "main".into(),
        settings,
        seed: 7,
        server_names: ServerNames::default(),
        initial_list: Some(EndpointList { version: 1, is_complete: true, endpoints: members }),
        continues_versions: true,
        epoch: None,
        upstream: Slow { up: Rc::clone(&up), breaks: Cell::new(breaks), opened: Rc::clone(&opened) },
        request_quota: Quota::single_share(9),
    });
    (pool.expect("usable"), up, opened)
}

/// A client that has gone while a connection came up is sent nowhere; one that waits is.
#[tokio::test(start_paused = true)]
async fn nothing_begins_for_a_client_that_has_gone() {
    let test = async {
        for gone in [false, true] {
            let (pool, up, opened) = slow(Effect::Idempotent, 0);
            let owed = pool.submit(exchange("id")).expect("taken");
            yield_now().await;
            let kept = (!gone).then_some(owed);
            up.notify_one();
            while opened.borrow().is_empty() {
                yield_now().await;
            }
            assert_eq!(*opened.borrow(), [!gone]);
            drop(kept);
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Its attempts panic, some once they have been sent.
struct Faulty(Cell<u32>);

impl Upstream for Faulty {
    type Address = u16;
    type Request = Nothing;
    type Response = ();
    async fn attempt(&self, _: EndpointAddress<u16>, _: &Nothing, gate: Gate<'_>) -> AttemptResult<()> {
        let number = self.0.replace(self.0.get() + 1);
        if number > 0 {
            gate.open();
            yield_now().await;
        }
        panic!("attempt {number}");
    }
    async fn health_check(&self, _: EndpointAddress<u16>) -> AttemptResult<()> {
        Outcome::TimedOut.into()
    }
    fn close_idle(&self, _: ServerId) {}
    fn close_stale(&self, _: &dyn Fn(ServerId, Incarnation) -> bool) {}
}

/// A panic of an attempt is an end of it like any other: its request has its answer long before its time is up, and
/// nothing of it is left.
#[tokio::test(start_paused = true)]
async fn a_panic_of_an_attempt_ends_that_attempt_only() {
    let test = async {
        let members = vec![EndpointInfo::serving("s", 80), EndpointInfo::serving("t", 81)];
        let pool = Pool::new(PoolOptions {
            name: "main".into(),
            settings: Settings::default(),
            seed: 7,
            server_names: ServerNames::default(),
            initial_list: Some(EndpointList { version: 1, is_complete: true, endpoints: members }),
            continues_versions: true,
            epoch: None,
            upstream: Faulty(Cell::new(0)),
            request_quota: Quota::single_share(9),
        });
        let pool = pool.expect("usable");
        let start = Instant::now();
        let owed = pool.submit(exchange("id")).expect("taken");
        let answer = owed.wait(|deadline| deadline).await;
        assert!(matches!(answer, FinalResponse::Failed | FinalResponse::Rejected(_)), "{answer:?}");
        assert!(start.elapsed() < Duration::from_secs(1), "of a minute, by the test's own clock");
        assert_eq!(pool.stats().open_requests, 0);
        assert!(pool.submit(exchange("id")).is_ok(), "its name is free again");
    };
    LocalSet::new().run_until(test).await;
}

/// A request of which more is always to come.
struct Endless;

impl StreamingBody for Endless {
    fn progress(&self) -> BodyProgress {
        BodyProgress::Incomplete
    }
    fn is_consumed(&self) -> bool {
        false
    }
    fn finished(&self) -> Pin<Box<dyn Future<Output = BodyProgress> + '_>> {
        Box::pin(std::future::pending())
    }
}

impl RequestPayload for Endless {
    fn streaming_body(&self) -> Option<&dyn StreamingBody> {
        Some(self)
    }
}

/// Its servers never answer.
struct Silent;

impl Upstream for Silent {
    type Address = u16;
    type Request = Endless;
    type Response = ();
    async fn attempt(&self, _: EndpointAddress<u16>, _: &Endless, gate: Gate<'_>) -> AttemptResult<()> {
        gate.open();
        std::future::pending().await
    }
    async fn health_check(&self, _: EndpointAddress<u16>) -> AttemptResult<()> {
        Outcome::TimedOut.into()
    }
    fn close_idle(&self, _: ServerId) {}
    fn close_stale(&self, _: &dyn Fn(ServerId, Incarnation) -> bool) {}
}

/// That each request has its answer does not hang on the module, for one that is still coming either: what the module forgets
/// goes to no server, so nobody would come to its end. One that is being sent may take its time.
#[tokio::test(start_paused = true)]
async fn a_request_that_the_module_forgets_while_it_comes_is_answered() {
    for forgets in [true, false] {
        let test = async {
            let pool = Pool::new(PoolOptions {
                name: "main".into(),
                settings: Settings::default(),
                seed: 7,
                server_names: ServerNames::default(),
                initial_list: Some(EndpointList {
                    version: 1,
                    is_complete: true,
                    endpoints: vec![EndpointInfo::serving("s", 80)],
                }),
                continues_versions: true,
                epoch: None,
                upstream: Silent,
                request_quota: Quota::single_share(9),
            });
            let pool = pool.expect("usable");
            let budget = Duration::from_secs(60);
            let coming = NewRequest { deadline: None, ..NewRequest::new(Endless, ClassId(0), budget) };
            let owed = pool.submit(coming).expect("taken");
            if forgets {
                pool.handle_event(Event::ClientDisconnected { request: owed.id });
                pool.perform(vec![Action::Cancel { request: owed.id, attempt: AttemptNumber(0) }]);
            }
            let answer = tokio::time::timeout(10 * budget, owed.wait(|deadline| deadline)).await;
            match answer {
                Ok(answer) => {
                    assert!(forgets && matches!(answer, FinalResponse::DeadlineExceeded), "{answer:?}")
                }
                Err(_) => assert!(!forgets, "no answer"),
            }
        };
        LocalSet::new().run_until(test).await;
    }
}

/// The window of a keyed class runs on while the repeat's connection comes up: nothing is sent after it.
#[tokio::test(start_paused = true)]
async fn no_repeat_begins_after_its_window() {
    let window = Span::from_ms(450.0);
    let test = async {
        for (waited, begins) in [(449, true), (451, false)] {
            let (pool, up, opened) = slow(Effect::Deduplicated { scope: DeduplicationScope::All, window }, 1);
            let owed = pool.submit(exchange("id")).expect("taken");
            yield_now().await;
            // Its server may have run it.
            up.notify_one();
            while opened.borrow().is_empty() {
                yield_now().await;
            }
            // The repeat has been decided, in time.
            while pool.0.state.borrow().requests[&owed.id].attempts_started < 2 {
                yield_now().await;
            }
            tokio::time::advance(Duration::from_millis(waited)).await;
            up.notify_one();
            while opened.borrow().len() < 2 {
                yield_now().await;
            }
            assert_eq!(*opened.borrow(), [true, begins], "after {waited} ms");
        }
    };
    LocalSet::new().run_until(test).await;
}

/// A request that the process comes to late, as under a loaded machine, is a first try all the same: what its client said
/// tells that, and not what is left of it.
#[tokio::test(start_paused = true)]
async fn a_request_that_is_taken_up_late_is_no_second_try() {
    let test = async {
        let pool = pool(true, 9);
        let mut settings = Settings::default();
        let ms = Span::from_ms;
        (settings.classes[0].latency_objective, settings.classes[0].deadline) = (ms(5000.0), ms(10_000.0));
        pool.update_settings(settings, vec![ClassId(1)], &[]);
        for late in [0, 5] {
            let exchange = NewRequest::new(Nothing, ClassId(1), Duration::from_secs(5));
            tokio::time::advance(Duration::from_millis(late)).await;
            let owed = pool.submit(exchange).expect("taken");
            let attempts = pool.0.state.borrow().requests.get(&owed.id).map(|open| open.attempts_started);
            assert_eq!(attempts, Some(1), "sent, {late} ms late");
        }
    };
    LocalSet::new().run_until(test).await;
}
