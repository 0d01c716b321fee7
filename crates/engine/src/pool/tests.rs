use super::rejection::RETRY_AFTER;
use super::reserves::ATTEMPT_RESERVE;
use super::*;
use crate::clock::span;
use crate::endpoint_source::{EndpointInfo, EndpointList};
use crate::quota::Quota;
use crate::request_claims::LocalClaims;
use crate::upstream::{
    AttemptResult, BodyProgress, EndpointAddress, Gate, Incarnation, RequestPayload, StreamingBody,
};
use heronhoist_decision::{AttemptNumber, DeduplicationScope, Effect, Outcome, ServerId, Span};
use std::future::Future;
use std::marker::PhantomData;
use std::pin::Pin;
use tokio::task::{yield_now, LocalSet};
use tokio::time::Instant;

struct EmptyRequest;
impl RequestPayload for EmptyRequest {}

/// An upstream whose servers never respond.
struct SilentUpstream<R>(PhantomData<R>);

impl<R> Default for SilentUpstream<R> {
    fn default() -> Self {
        SilentUpstream(PhantomData)
    }
}

impl<R: RequestPayload + 'static> Upstream for SilentUpstream<R> {
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
        claims: LocalClaims::new(9),
    }
}

fn pool_with<U: Upstream<Address = u16>>(options: PoolOptions<U>) -> Pool<U> {
    Pool::new(options).expect("valid settings")
}

/// Creates a pool with one server that never responds.
fn silent_pool() -> Pool<SilentUpstream<EmptyRequest>> {
    pool_with(options(SilentUpstream::default(), &[SERVER]))
}

fn request(name: &str) -> NewRequest<EmptyRequest> {
    let name = Some(name.as_bytes().into());
    NewRequest { correlation_id: name, ..NewRequest::new(EmptyRequest, ClassId(0), Duration::from_secs(60)) }
}

/// A request that ends right after one of its attempts was cancelled must not be removed before the attempt's outcome
/// is reported, or the decision module would miscount what is in flight.
#[tokio::test]
async fn a_cancelled_attempt_is_reported_after_its_request_has_ended() {
    let test = async {
        let pool = silent_pool();
        let pending = pool.submit(request("id")).expect("accepted");
        let id = pending.id;
        let cancel = Action::Cancel { request: id, attempt: AttemptNumber(0) };
        pool.perform(vec![cancel, Action::Fail { request: id }]);
        assert!(matches!(pending.wait(|deadline| deadline).await, FinalResponse::Failed));
        assert!(
            pool.0.state.borrow().requests.contains_key(&id),
            "the outcome of its attempt has not been reported"
        );
        assert_eq!(pool.submit(request("id")).err(), Some(Rejection::CorrelationIdInUse));
        while pool.stats().open_requests > 0 {
            yield_now().await;
        }
        assert!(pool.submit(request("id")).is_ok(), "the correlation id is available again");
    };
    LocalSet::new().run_until(test).await;
}

/// No client may get two responses, and a finished request must be removed.
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

/// The attempt of a client that waits for 23 ms must get most of that time, and the final response must still be in
/// time.
#[tokio::test(start_paused = true)]
async fn a_short_client_timeout_is_not_consumed_by_reserves() {
    let test = async {
        let (pool, started_at, client_timeout) = (silent_pool(), Instant::now(), Duration::from_millis(23));
        let mut settings = Settings::default();
        settings.classes[0].latency_objective = Span::from_ms(11.0);
        pool.update_settings(settings, vec![ClassId(1)], &[]);
        let pending =
            pool.submit(NewRequest::new(EmptyRequest, ClassId(1), client_timeout)).expect("accepted");
        let response = pending.wait(|deadline| deadline).await;
        let waited = started_at.elapsed();
        assert!(!matches!(response, FinalResponse::Success(())), "the server never responds");
        assert!((Duration::from_millis(18)..client_timeout).contains(&waited), "{waited:?}");
    };
    LocalSet::new().run_until(test).await;
}

/// A request that can't be accepted must be rejected at once, with a delay before the retry.
#[tokio::test(start_paused = true)]
async fn a_pool_without_endpoints_or_capacity_rejects_at_once() {
    let test = async {
        let empty = pool_with(PoolOptions {
            initial_list: None,
            ..options(SilentUpstream::<EmptyRequest>::default(), &[])
        });
        let rejection = empty.submit(request("a")).err().expect("rejected");
        assert_eq!(rejection, Rejection::NoEndpoints(RETRY_AFTER));
        assert!(rejection.retry_after().is_some());
        empty.on_endpoints(endpoint_list(&[SERVER]));
        assert!(empty.submit(request("a")).is_ok());
        let single_request = Quota::single_share(1);
        let full = pool_with(PoolOptions {
            request_quota: single_request,
            ..options(SilentUpstream::<EmptyRequest>::default(), &[SERVER])
        });
        let first = full.submit(request("a")).expect("accepted");
        assert_eq!(full.submit(request("b")).err(), Some(Rejection::PoolFull(RETRY_AFTER)));
        drop(first);
        full.close();
        assert_eq!(full.submit(request("b")).err(), Some(Rejection::PoolClosed(RETRY_AFTER)));
    };
    LocalSet::new().run_until(test).await;
}

/// An upstream whose connections are established when `connected` is notified. The connections of the first `resets`
/// attempts are then reset after the request has been sent.
struct SlowUpstream {
    connected: Rc<Notify>,
    resets: Cell<u32>,
    /// For each attempt, whether the send gate opened.
    gate_results: Rc<RefCell<Vec<bool>>>,
}

impl Upstream for SlowUpstream {
    type Address = u16;
    type Request = EmptyRequest;
    type Response = ();
    async fn attempt(&self, _: EndpointAddress<u16>, _: &EmptyRequest, gate: Gate<'_>) -> AttemptResult<()> {
        self.connected.notified().await;
        let may_send = gate.open();
        self.gate_results.borrow_mut().push(may_send);
        match self.resets.get() {
            0 if may_send => std::future::pending().await,
            0 => Outcome::NotSent.into(),
            remaining => {
                self.resets.set(remaining - 1);
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

/// Creates a pool whose class has the given effect. Also returns the notification that establishes its connections,
/// and for each attempt whether the send gate opened.
fn slow_pool(effect: Effect, resets: u32) -> (Pool<SlowUpstream>, Rc<Notify>, Rc<RefCell<Vec<bool>>>) {
    let (connected, gate_results) = (Rc::new(Notify::new()), Rc::default());
    let upstream = SlowUpstream {
        connected: Rc::clone(&connected),
        resets: Cell::new(resets),
        gate_results: Rc::clone(&gate_results),
    };
    let mut options = options(upstream, &[SERVER, OTHER_SERVER]);
    options.settings.classes[0].effect = effect;
    (pool_with(options), connected, gate_results)
}

/// Nothing may be sent for a client that has disconnected while a connection was being established.
#[tokio::test(start_paused = true)]
async fn no_attempt_is_sent_for_a_disconnected_client() {
    let test = async {
        for has_disconnected in [false, true] {
            let (pool, connected, gate_results) = slow_pool(Effect::Idempotent, 0);
            let pending = pool.submit(request("id")).expect("accepted");
            yield_now().await;
            let kept_pending = (!has_disconnected).then_some(pending);
            connected.notify_one();
            while gate_results.borrow().is_empty() {
                yield_now().await;
            }
            assert_eq!(*gate_results.borrow(), [!has_disconnected]);
            drop(kept_pending);
        }
    };
    LocalSet::new().run_until(test).await;
}

/// An upstream whose attempts panic: the first before it is sent, the others after.
struct PanickingUpstream(Cell<u32>);

impl Upstream for PanickingUpstream {
    type Address = u16;
    type Request = EmptyRequest;
    type Response = ();
    async fn attempt(&self, _: EndpointAddress<u16>, _: &EmptyRequest, gate: Gate<'_>) -> AttemptResult<()> {
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

/// A panic of an attempt must be handled like any other failure: the request gets its final response long before its
/// deadline and is removed.
#[tokio::test(start_paused = true)]
async fn a_panic_of_an_attempt_ends_only_that_attempt() {
    let test = async {
        let pool = pool_with(options(PanickingUpstream(Cell::new(0)), &[SERVER, OTHER_SERVER]));
        let started_at = Instant::now();
        let pending = pool.submit(request("id")).expect("accepted");
        let response = pending.wait(|deadline| deadline).await;
        assert!(matches!(response, FinalResponse::Failed | FinalResponse::Rejected(_)), "{response:?}");
        assert!(
            started_at.elapsed() < Duration::from_secs(1),
            "the final response must not wait for the client timeout of 60 s"
        );
        assert_eq!(pool.stats().open_requests, 0);
        assert!(pool.submit(request("id")).is_ok(), "the correlation id is available again");
    };
    LocalSet::new().run_until(test).await;
}

/// A request whose body never ends.
struct EndlessRequest;

impl StreamingBody for EndlessRequest {
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

impl RequestPayload for EndlessRequest {
    fn streaming_body(&self) -> Option<&dyn StreamingBody> {
        Some(self)
    }
}

/// A request must get its final response even if the decision module loses it while its body is arriving: it is sent
/// to no server, so nothing reads its body to the end. A request that is being sent must not be ended by this.
#[tokio::test(start_paused = true)]
async fn a_streaming_request_that_the_module_loses_gets_a_response() {
    for is_lost in [true, false] {
        let test = async {
            let pool = pool_with(options(SilentUpstream::<EndlessRequest>::default(), &[SERVER]));
            let client_timeout = Duration::from_secs(60);
            let streaming =
                NewRequest { deadline: None, ..NewRequest::new(EndlessRequest, ClassId(0), client_timeout) };
            let pending = pool.submit(streaming).expect("accepted");
            if is_lost {
                pool.handle_event(Event::ClientDisconnected { request: pending.id });
                pool.perform(vec![Action::Cancel { request: pending.id, attempt: AttemptNumber(0) }]);
            }
            let response = tokio::time::timeout(10 * client_timeout, pending.wait(|deadline| deadline)).await;
            match response {
                Ok(response) => {
                    assert!(is_lost && matches!(response, FinalResponse::DeadlineExceeded), "{response:?}");
                }
                Err(_) => assert!(!is_lost, "no response"),
            }
        };
        LocalSet::new().run_until(test).await;
    }
}

/// A request whose body its client has sent completely, and of which its server takes nothing.
struct UntakenRequest {
    sent_at: Instant,
}

impl StreamingBody for UntakenRequest {
    fn progress(&self) -> BodyProgress {
        BodyProgress::Incomplete
    }
    fn is_consumed(&self) -> bool {
        true
    }
    fn earliest_completion(&self) -> Instant {
        self.sent_at
    }
    fn finished(&self) -> Pin<Box<dyn Future<Output = BodyProgress> + '_>> {
        Box::pin(std::future::pending())
    }
}

impl RequestPayload for UntakenRequest {
    fn streaming_body(&self) -> Option<&dyn StreamingBody> {
        Some(self)
    }
}

/// A server that stops taking a body must not delay the final response beyond the client's timeout, which runs since the
/// client has sent the last byte. The attempt must end by its timeout, or nothing would be learned about the server.
#[tokio::test(start_paused = true)]
async fn a_body_that_its_server_does_not_take_is_answered_in_the_clients_time() {
    let test = async {
        let client_timeout = Duration::from_secs(1);
        let mut options = options(SilentUpstream::<UntakenRequest>::default(), &[SERVER]);
        options.settings.classes[0].effect = Effect::AtMostOnce;
        options.settings.classes[0].deadline = span(client_timeout);
        let pool = pool_with(options);
        let sent_at = Instant::now();
        let request = UntakenRequest { sent_at };
        let streaming = NewRequest { deadline: None, ..NewRequest::new(request, ClassId(0), client_timeout) };
        let pending = pool.submit(streaming).expect("accepted");
        let response = tokio::time::timeout(client_timeout, pending.wait(|deadline| deadline)).await;
        let response = response.expect("a response in the client's time");
        assert!(
            matches!(response, FinalResponse::Failed),
            "{response:?} is not that of an attempt's timeout"
        );
        let unused = client_timeout.saturating_sub(sent_at.elapsed());
        assert!(unused <= ATTEMPT_RESERVE, "the attempt ended {unused:?} before the client's timeout");
    };
    LocalSet::new().run_until(test).await;
}

/// A retry must not be sent if the deduplication window ends while its connection is being established.
#[tokio::test(start_paused = true)]
async fn no_retry_is_sent_after_the_deduplication_window() {
    let window = Span::from_ms(450.0);
    let test = async {
        for (waited_ms, is_sent) in [(449, true), (451, false)] {
            let (pool, connected, gate_results) =
                slow_pool(Effect::Deduplicated { scope: DeduplicationScope::All, window }, 1);
            let pending = pool.submit(request("id")).expect("accepted");
            yield_now().await;
            // The connection is reset, so the server may have run the request.
            connected.notify_one();
            while gate_results.borrow().is_empty() {
                yield_now().await;
            }
            // Wait until the retry has started, within the window.
            while pool.0.state.borrow().requests[&pending.id].attempts_started < 2 {
                yield_now().await;
            }
            tokio::time::advance(Duration::from_millis(waited_ms)).await;
            connected.notify_one();
            while gate_results.borrow().len() < 2 {
                yield_now().await;
            }
            assert_eq!(*gate_results.borrow(), [true, is_sent], "after {waited_ms} ms");
        }
    };
    LocalSet::new().run_until(test).await;
}

/// A request that the process handles late, as on a loaded machine, must still count as a first request. Whether it
/// is a retry depends only on what the client declared, not on the client's remaining time.
#[tokio::test(start_paused = true)]
async fn a_request_that_is_processed_late_is_no_retry() {
    let test = async {
        let pool = silent_pool();
        let mut settings = Settings::default();
        let ms = Span::from_ms;
        (settings.classes[0].latency_objective, settings.classes[0].deadline) = (ms(5000.0), ms(10_000.0));
        pool.update_settings(settings, vec![ClassId(1)], &[]);
        for delay_ms in [0, 5] {
            let request = NewRequest::new(EmptyRequest, ClassId(1), Duration::from_secs(5));
            tokio::time::advance(Duration::from_millis(delay_ms)).await;
            let pending = pool.submit(request).expect("accepted");
            let attempts = pool.0.state.borrow().requests.get(&pending.id).map(|open| open.attempts_started);
            assert_eq!(attempts, Some(1), "processed {delay_ms} ms late");
        }
    };
    LocalSet::new().run_until(test).await;
}

/// A health check that was sent to a server's former address says nothing about the server: another one may listen there.
#[tokio::test]
async fn a_health_check_at_a_former_address_does_not_count() {
    const CHECKS: usize = 3;
    let test = async {
        for has_moved in [true, false] {
            let pool = silent_pool();
            pool.perform(vec![Action::HealthCheck { server: ServerId(0) }; CHECKS]);
            let port = if has_moved { SERVER.1 + 1 } else { SERVER.1 };
            pool.apply_endpoint_list(endpoint_list(&[(SERVER.0, port)]));
            for _ in 0..CHECKS * 4 {
                yield_now().await;
            }
            assert_eq!(pool.missing_capacity().is_empty(), has_moved, "moved: {has_moved}");
        }
    };
    LocalSet::new().run_until(test).await;
}
