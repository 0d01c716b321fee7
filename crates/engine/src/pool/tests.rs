use super::rejection::RETRY_AFTER;
use super::*;
use crate::endpoint_source::{EndpointInfo, EndpointList};
use crate::quota::Quota;
use crate::upstream::{
    AttemptResult, BodyProgress, EndpointAddress, Gate, Incarnation, RequestPayload, StreamingBody,
};
use heronhoist_decision::{AttemptNumber, DeduplicationScope, Effect, Outcome, ServerId, Span};
use std::future::Future;
use std::marker::PhantomData;
use std::pin::Pin;
use tokio::task::{yield_now, LocalSet};
use tokio::time::Instant;

struct Nothing;
impl RequestPayload for Nothing {}

/// Its servers never answer.
struct Silent<R>(PhantomData<R>);

impl<R> Default for Silent<R> {
    fn default() -> Self {
        Silent(PhantomData)
    }
}

impl<R: RequestPayload + 'static> Upstream for Silent<R> {
    type Address = u16;
    type Request = R;
    type Response = ();
    async fn attempt(&self, _: EndpointAddress<u16>, _: &R, gate: Gate<'_>) -> AttemptResult<()> {
        gate.open();
        std::future::pending().await
    }
    async fn health_check(&self, _: EndpointAddress<u16>) -> AttemptResult<()> {
        Outcome::TimedOut.into()
    }
    fn close_idle(&self, _: ServerId) {}
    fn close_stale(&self, _: &dyn Fn(ServerId, Incarnation) -> bool) {}
}

const SERVER: (&str, u16) = ("s", 80);
const OTHER_SERVER: (&str, u16) = ("t", 81);

fn endpoint_list(servers: &[(&str, u16)]) -> EndpointList<u16> {
    let endpoints = servers.iter().map(|(name, port)| EndpointInfo::serving(name, *port)).collect();
    EndpointList { version: 1, is_complete: true, endpoints }
}

fn options<U: Upstream<Address = u16>>(upstream: U, servers: &[(&str, u16)]) -> PoolOptions<U> {
    PoolOptions {
        name: "main".into(),
        settings: Settings::default(),
        seed: 7,
        server_names: ServerNames::default(),
        initial_list: Some(endpoint_list(servers)),
        continues_versions: true,
        epoch: None,
        upstream,
        request_quota: Quota::single_share(9),
    }
}

fn pool_with<U: Upstream<Address = u16>>(options: PoolOptions<U>) -> Pool<U> {
    Pool::new(options).expect("valid settings")
}

/// A pool of one server that never answers.
fn silent_pool() -> Pool<Silent<Nothing>> {
    pool_with(options(Silent::default(), &[SERVER]))
}

fn request(name: &str) -> NewRequest<Nothing> {
    let name = Some(name.as_bytes().into());
    NewRequest { correlation_id: name, ..NewRequest::new(Nothing, ClassId(0), Duration::from_secs(60)) }
}

/// Guards the module's counts of what is in flight: a request that ends right after one of its attempts was cancelled must
/// not be forgotten before that attempt's outcome is reported.
#[tokio::test]
async fn a_cancelled_attempt_is_reported_though_its_request_has_ended() {
    let test = async {
        let pool = silent_pool();
        let pending = pool.submit(request("id")).expect("accepted");
        let id = pending.id;
        let cancel = Action::Cancel { request: id, attempt: AttemptNumber(0) };
        pool.perform(vec![cancel, Action::Fail { request: id }]);
        assert!(matches!(pending.wait(|deadline| deadline).await, FinalResponse::Failed));
        assert!(pool.0.state.borrow().requests.contains_key(&id), "its outcome has not been reported");
        assert_eq!(pool.submit(request("id")).err(), Some(Rejection::CorrelationIdInUse));
        while pool.stats().open_requests > 0 {
            yield_now().await;
        }
        assert!(pool.submit(request("id")).is_ok(), "its correlation id is free again");
    };
    LocalSet::new().run_until(test).await;
}

/// No client gets two responses, and nothing is kept of a finished request.
#[tokio::test]
async fn the_first_response_is_the_only_one() {
    let test = async {
        let pool = silent_pool();
        let pending = pool.submit(request("id")).expect("accepted");
        let id = pending.id;
        pool.perform(vec![Action::Fail { request: id }, Action::Reject { request: id, retry_after: None }]);
        assert!(matches!(pending.wait(|deadline| deadline).await, FinalResponse::Failed));
        pool.perform(vec![Action::Cancel { request: id, attempt: AttemptNumber(0) }]);
        while pool.stats().open_requests > 0 {
            yield_now().await;
        }
    };
    LocalSet::new().run_until(test).await;
}

/// A client that waits for 23 ms gets nearly all of them for its attempt, and its final response in time.
#[tokio::test(start_paused = true)]
async fn a_short_client_timeout_is_not_spent_on_reserves() {
    let test = async {
        let (pool, started_at, client_timeout) = (silent_pool(), Instant::now(), Duration::from_millis(23));
        let mut settings = Settings::default();
        settings.classes[0].latency_objective = Span::from_ms(11.0);
        pool.update_settings(settings, vec![ClassId(1)], &[]);
        let pending = pool.submit(NewRequest::new(Nothing, ClassId(1), client_timeout)).expect("accepted");
        let response = pending.wait(|deadline| deadline).await;
        let waited = started_at.elapsed();
        assert!(!matches!(response, FinalResponse::Success(())), "its server never answers");
        assert!((Duration::from_millis(18)..client_timeout).contains(&waited), "{waited:?}");
    };
    LocalSet::new().run_until(test).await;
}

/// What can't be accepted is rejected at once, with a time after which to retry.
#[tokio::test(start_paused = true)]
async fn a_pool_without_endpoints_or_capacity_rejects_at_once() {
    let test = async {
        let empty =
            pool_with(PoolOptions { initial_list: None, ..options(Silent::<Nothing>::default(), &[]) });
        let rejection = empty.submit(request("a")).err().expect("rejected");
        assert_eq!(rejection, Rejection::NoEndpoints(RETRY_AFTER));
        assert!(rejection.retry_after().is_some());
        empty.on_endpoints(endpoint_list(&[SERVER]));
        assert!(empty.submit(request("a")).is_ok());
        let one_request = Quota::single_share(1);
        let full = pool_with(PoolOptions {
            request_quota: one_request,
            ..options(Silent::<Nothing>::default(), &[SERVER])
        });
        let first = full.submit(request("a")).expect("accepted");
        assert_eq!(full.submit(request("b")).err(), Some(Rejection::PoolFull(RETRY_AFTER)));
        drop(first);
        full.close();
        assert_eq!(full.submit(request("b")).err(), Some(Rejection::PoolClosed(RETRY_AFTER)));
    };
    LocalSet::new().run_until(test).await;
}

/// Its connections come up when it is notified; so many requests are then read and their connections reset.
struct SlowToConnect {
    connected: Rc<Notify>,
    resets: Cell<u32>,
    opened: Rc<RefCell<Vec<bool>>>,
}

impl Upstream for SlowToConnect {
    type Address = u16;
    type Request = Nothing;
    type Response = ();
    async fn attempt(&self, _: EndpointAddress<u16>, _: &Nothing, gate: Gate<'_>) -> AttemptResult<()> {
        self.connected.notified().await;
        let opens = gate.open();
        self.opened.borrow_mut().push(opens);
        match self.resets.get() {
            0 if opens => std::future::pending().await,
            0 => Outcome::NotSent.into(),
            left => {
                self.resets.set(left - 1);
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

/// A pool whose class has this effect, what brings its connections up, and whether the gate opened for each.
fn slow_pool(effect: Effect, resets: u32) -> (Pool<SlowToConnect>, Rc<Notify>, Rc<RefCell<Vec<bool>>>) {
    let (connected, opened) = (Rc::new(Notify::new()), Rc::default());
    let upstream = SlowToConnect {
        connected: Rc::clone(&connected),
        resets: Cell::new(resets),
        opened: Rc::clone(&opened),
    };
    let mut options = options(upstream, &[SERVER, OTHER_SERVER]);
    options.settings.classes[0].effect = effect;
    (pool_with(options), connected, opened)
}

/// Nothing is sent for a client that has disconnected while a connection came up; for one that waits it is.
#[tokio::test(start_paused = true)]
async fn no_attempt_begins_for_a_disconnected_client() {
    let test = async {
        for has_disconnected in [false, true] {
            let (pool, connected, opened) = slow_pool(Effect::Idempotent, 0);
            let pending = pool.submit(request("id")).expect("accepted");
            yield_now().await;
            let kept_pending = (!has_disconnected).then_some(pending);
            connected.notify_one();
            while opened.borrow().is_empty() {
                yield_now().await;
            }
            assert_eq!(*opened.borrow(), [!has_disconnected]);
            drop(kept_pending);
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Its attempts panic, some once they have been sent.
struct Panicking(Cell<u32>);

impl Upstream for Panicking {
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

/// A panic of an attempt is an end of it like any other: its request has its final response long before its deadline, and
/// nothing of it is left.
#[tokio::test(start_paused = true)]
async fn a_panic_of_an_attempt_ends_that_attempt_only() {
    let test = async {
        let pool = pool_with(options(Panicking(Cell::new(0)), &[SERVER, OTHER_SERVER]));
        let start = Instant::now();
        let pending = pool.submit(request("id")).expect("accepted");
        let response = pending.wait(|deadline| deadline).await;
        assert!(matches!(response, FinalResponse::Failed | FinalResponse::Rejected(_)), "{response:?}");
        assert!(start.elapsed() < Duration::from_secs(1), "of a minute, by the test's own clock");
        assert_eq!(pool.stats().open_requests, 0);
        assert!(pool.submit(request("id")).is_ok(), "its correlation id is free again");
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

/// That each request gets its final response does not hang on the module, also while its body streams in: what the module
/// forgets goes to no server, so nobody would read to its end. One that is being sent may take its time.
#[tokio::test(start_paused = true)]
async fn a_request_that_the_module_forgets_while_it_streams_in_is_answered() {
    for forgets in [true, false] {
        let test = async {
            let pool = pool_with(options(Silent::<Endless>::default(), &[SERVER]));
            let client_timeout = Duration::from_secs(60);
            let streaming =
                NewRequest { deadline: None, ..NewRequest::new(Endless, ClassId(0), client_timeout) };
            let pending = pool.submit(streaming).expect("accepted");
            if forgets {
                pool.handle_event(Event::ClientDisconnected { request: pending.id });
                pool.perform(vec![Action::Cancel { request: pending.id, attempt: AttemptNumber(0) }]);
            }
            let response = tokio::time::timeout(10 * client_timeout, pending.wait(|deadline| deadline)).await;
            match response {
                Ok(response) => {
                    assert!(forgets && matches!(response, FinalResponse::DeadlineExceeded), "{response:?}");
                }
                Err(_) => assert!(!forgets, "no response"),
            }
        };
        LocalSet::new().run_until(test).await;
    }
}

/// The deduplication window runs on while the retry's connection comes up: nothing is sent after it.
#[tokio::test(start_paused = true)]
async fn no_retry_begins_after_the_deduplication_window() {
    let window = Span::from_ms(450.0);
    let test = async {
        for (waited, begins) in [(449, true), (451, false)] {
            let (pool, connected, opened) =
                slow_pool(Effect::Deduplicated { scope: DeduplicationScope::All, window }, 1);
            let pending = pool.submit(request("id")).expect("accepted");
            yield_now().await;
            // Its server may have run it.
            connected.notify_one();
            while opened.borrow().is_empty() {
                yield_now().await;
            }
            // The retry has been decided on, in time.
            while pool.0.state.borrow().requests[&pending.id].attempts_started < 2 {
                yield_now().await;
            }
            tokio::time::advance(Duration::from_millis(waited)).await;
            connected.notify_one();
            while opened.borrow().len() < 2 {
                yield_now().await;
            }
            assert_eq!(*opened.borrow(), [true, begins], "after {waited} ms");
        }
    };
    LocalSet::new().run_until(test).await;
}

/// A request that the process comes to late, as on a loaded machine, is a first try all the same: what its client said tells
/// that, and not how much of its time is left.
#[tokio::test(start_paused = true)]
async fn a_request_that_is_processed_late_is_no_retry() {
    let test = async {
        let pool = silent_pool();
        let mut settings = Settings::default();
        let ms = Span::from_ms;
        (settings.classes[0].latency_objective, settings.classes[0].deadline) = (ms(5000.0), ms(10_000.0));
        pool.update_settings(settings, vec![ClassId(1)], &[]);
        for late in [0, 5] {
            let request = NewRequest::new(Nothing, ClassId(1), Duration::from_secs(5));
            tokio::time::advance(Duration::from_millis(late)).await;
            let pending = pool.submit(request).expect("accepted");
            let attempts = pool.0.state.borrow().requests.get(&pending.id).map(|open| open.attempts_started);
            assert_eq!(attempts, Some(1), "sent, {late} ms late");
        }
    };
    LocalSet::new().run_until(test).await;
}
