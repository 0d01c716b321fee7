//! Sends attempts, cancels them, and reports them to the decision module when they have ended.

use super::pending_response::{client_timed_out, FinalResponse};
use super::requests::InFlightAttempt;
use super::reserves::attempt_reserve;
use super::Pool;
use crate::clock::span;
use crate::timing::sleep_until_caught_up;
use crate::upstream::{
    AttemptResult, BodyProgress, EndpointAddress, Gate, Incarnation, RequestPayload, ResponseProgress,
    ResponseWatch, StreamingBody, Upstream,
};
use heronhoist_decision::{AttemptNumber, Event, Outcome, RequestId, ServerId, Time};
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::task::spawn_local;
use tokio::time::Instant;

/// One attempt of one request.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    request: RequestId,
    number: AttemptNumber,
    server: ServerId,
    started_at: Instant,
}

/// The time limits of an attempt.
#[derive(Debug, Clone, Copy)]
struct AttemptDeadlines {
    /// The latest time at which its first byte may be written.
    begin_by: Time,
    /// When it times out.
    timeout_at: Instant,
    /// How long the client waits after the complete request has arrived.
    client_timeout: Duration,
}

impl<U: Upstream> Pool<U> {
    /// Starts an attempt. Each attempt that the decision module requests is reported back to it, even if it is not
    /// sent.
    pub(super) fn send(&self, request_id: RequestId, server: ServerId, timeout_at: Time, begin_by: Time) {
        let started_at = Instant::now();
        let mut state = self.0.state.borrow_mut();
        let state = &mut *state;
        let Some(open) = state.requests.get_mut(&request_id) else { return };
        let number = AttemptNumber(open.attempts_started);
        open.attempts_started += 1;
        let (cancel, cancelled) = oneshot::channel();
        open.in_flight.push(InFlightAttempt { number, cancel: Some(cancel) });

        let client_timeout = open.client_timeout;
        let timeout_at = self.0.clock.instant(timeout_at);
        let latest = open.deadline.map(|deadline| deadline - attempt_reserve(client_timeout));
        let timeout_at = latest.map_or(timeout_at, |latest| timeout_at.min(latest));
        // A request that has come again under an id that may have run fails without an attempt.
        let is_claimed = open.claim(&*self.0.claims);
        if let Some(responder) = open.responder.take_if(|_| !is_claimed) {
            tracing::debug!(
                target: "heronhoist::request",
                pool = self.0.name,
                request = request_id.0,
                "the request has run under the same id, here or in another process"
            );
            responder.send(FinalResponse::Failed);
        }
        // Nothing is sent if the request has its response, or if its attempts or its time are used up.
        let is_allowed = open.is_pending() && number.0 < open.max_attempts && timeout_at > started_at;
        let endpoint = if is_allowed { state.servers.begin_use(server) } else { None };

        let attempt = Attempt { request: request_id, number, server, started_at };
        let deadlines = AttemptDeadlines { begin_by, timeout_at, client_timeout };
        let (pool, request) = (self.clone(), Rc::clone(&open.request));
        spawn_local(async move {
            let result = match endpoint {
                Some(endpoint) => {
                    let result = pool.attempt_server(attempt, endpoint, &request, deadlines, cancelled).await;
                    pool.0.state.borrow_mut().servers.end_use(server, result.outcome);
                    result
                }
                None => Outcome::NotSent.into(),
            };
            pool.finish_attempt(attempt, result);
        });
    }

    /// Cancels an attempt. It stays in flight until its outcome has been reported, because its request must not be
    /// removed before.
    pub(super) fn cancel(&self, request: RequestId, number: AttemptNumber) {
        let mut state = self.0.state.borrow_mut();
        let Some(open) = state.requests.get_mut(&request) else { return };
        for attempt in open.in_flight.iter_mut().filter(|attempt| attempt.number == number) {
            if let Some(cancel) = attempt.cancel.take() {
                let _ = cancel.send(());
            }
        }
    }

    /// Runs an attempt at the server's address. If the server has moved before anything was sent, it begins again at the
    /// new address.
    async fn attempt_server(
        &self,
        attempt: Attempt,
        mut endpoint: EndpointAddress<U::Address>,
        request: &U::Request,
        deadlines: AttemptDeadlines,
        mut cancelled: oneshot::Receiver<()>,
    ) -> AttemptResult<U::Response> {
        loop {
            let result =
                self.run_attempt(attempt, endpoint.clone(), request, deadlines, &mut cancelled).await;
            let current = self.0.state.borrow().servers.endpoint(attempt.server);
            match current {
                Some(current)
                    if result.outcome == Outcome::NotSent
                        && current.incarnation != endpoint.incarnation
                        && Instant::now() < deadlines.timeout_at =>
                {
                    endpoint = current;
                }
                _ => return result,
            }
        }
    }

    async fn run_attempt(
        &self,
        attempt: Attempt,
        endpoint: EndpointAddress<U::Address>,
        request: &U::Request,
        deadlines: AttemptDeadlines,
        cancelled: &mut oneshot::Receiver<()>,
    ) -> AttemptResult<U::Response> {
        let (is_sent, server, incarnation) = (Cell::new(false), endpoint.server, endpoint.incarnation);
        let may_send = || self.may_send(attempt.request, server, incarnation, deadlines.begin_by);
        let report = |progress| self.report_progress(attempt, progress);
        let time_up = Notify::new();
        let watch = ResponseWatch { report: &report, time_up: &time_up };
        let gate = Gate::new(&is_sent, &may_send, deadlines.timeout_at).with_watch(watch);
        // Pinned here so that it is dropped only after `is_sent` has been read.
        let result = pin!(self.0.upstream.attempt(endpoint, request, gate));
        let mut result = pin!(self.catch_panic(&is_sent, result));
        tokio::select! {
            biased;
            result = result.as_mut() => return result,
            () = wait_for_timeout(request, deadlines) => time_up.notify_one(),
            Ok(()) = cancelled => return Outcome::Cancelled.into(),
        }
        // A long response that has begun is forwarded from here on.
        tokio::select! {
            biased;
            result = result => result,
            () = std::future::ready(()) => {
                // If no byte was sent, the time was spent waiting for a connection.
                let outcome = if is_sent.get() { Outcome::TimedOut } else { Outcome::NotSent };
                outcome.into()
            }
        }
    }

    /// Tells the decision module how far the response to an attempt has arrived.
    fn report_progress(&self, attempt: Attempt, progress: ResponseProgress) {
        let (request, attempt) = (attempt.request, attempt.number);
        self.handle_event(match progress {
            ResponseProgress::Begun => Event::ResponseBegun { request, attempt },
            ResponseProgress::Stalled => {
                let is_body_consumed = {
                    let state = self.0.state.borrow();
                    let body = state.requests.get(&request).and_then(|open| open.request.streaming_body());
                    body.is_some_and(StreamingBody::is_consumed)
                };
                Event::ResponseStalled { request, attempt, is_body_consumed }
            }
        });
    }

    /// Returns whether the first byte of an attempt may be written now. Connecting may take long: by then the client
    /// may have disconnected or received its response, the deduplication window for a retry may have ended, and the
    /// server may have left its address to another one.
    fn may_send(
        &self,
        request: RequestId,
        server: ServerId,
        incarnation: Incarnation,
        begin_by: Time,
    ) -> bool {
        let state = self.0.state.borrow();
        let is_pending = state.requests.get(&request).is_some_and(super::requests::OpenRequest::is_pending);
        is_pending
            && self.0.clock.now() <= begin_by
            && state.servers.may_send(server, incarnation, self.0.settings.get().drain_grace)
    }

    /// Converts a panic of an attempt into an outcome, so that it affects only this attempt. Without an outcome the
    /// request would wait until its deadline.
    async fn catch_panic(
        &self,
        is_sent: &Cell<bool>,
        mut attempt: Pin<&mut impl Future<Output = AttemptResult<U::Response>>>,
    ) -> AttemptResult<U::Response> {
        poll_fn(|cx| {
            catch_unwind(AssertUnwindSafe(|| attempt.as_mut().poll(cx))).unwrap_or_else(|_| {
                tracing::error!(target: "heronhoist::engine", pool = self.0.name, "an attempt has panicked; going on");
                let outcome = if is_sent.get() { Outcome::ConnectionReset } else { Outcome::NotSent };
                Poll::Ready(outcome.into())
            })
        })
        .await
    }

    /// Reports an attempt that has ended. If it has a response, the client receives it at once, before the decision
    /// module handles the outcome.
    fn finish_attempt(&self, attempt: Attempt, result: AttemptResult<U::Response>) {
        let (is_request_finished, is_body_consumed, measured_from, class) = {
            let mut state = self.0.state.borrow_mut();
            let Some(open) = state.requests.get_mut(&attempt.request) else { return };
            open.in_flight.retain(|in_flight| in_flight.number != attempt.number);
            open.may_have_run |= !result.outcome.proves_not_executed();
            if let Some(response) = result.response {
                if let Some(responder) = open.responder.take() {
                    responder.send(FinalResponse::Success(response));
                }
            }
            let body = open.request.streaming_body();
            let is_body_consumed = body.is_some_and(StreamingBody::is_consumed);
            // A server can't respond before it has the complete request.
            let measured_from = match body.map(StreamingBody::progress) {
                Some(BodyProgress::Complete(at)) => at.max(attempt.started_at),
                _ => attempt.started_at,
            };
            (!open.is_pending(), is_body_consumed, measured_from, open.class)
        };
        tracing::debug!(
            target: "heronhoist::attempt",
            pool = self.0.name,
            request = attempt.request.0,
            class = class.0,
            attempt = attempt.number.0,
            server = attempt.server.0,
            outcome = ?result.outcome,
            elapsed_us = measured_from.elapsed().as_micros() as u64,
            "attempt ended"
        );
        self.handle_event(Event::AttemptEnded {
            request: attempt.request,
            attempt: attempt.number,
            outcome: result.outcome,
            elapsed: span(measured_from.elapsed()),
            report: result.load_report,
            is_request_finished,
            is_body_consumed,
        });
        self.remove_if_finished(attempt.request);
    }
}

/// Waits until an attempt times out. While the request body is still arriving, the attempt does not time out. Once it
/// is complete, the attempt is limited by the client's timeout too, and so it is once the body may be complete: a server
/// that does not take the body must not delay the response beyond the client's timeout.
async fn wait_for_timeout(request: &impl RequestPayload, deadlines: AttemptDeadlines) {
    let Some(body) = request.streaming_body() else {
        return sleep_until_caught_up(deadlines.timeout_at).await;
    };
    let client_timeout = deadlines.client_timeout;
    let reserve = attempt_reserve(client_timeout);
    let progress = tokio::select! {
        biased;
        progress = body.finished() => progress,
        () = client_timed_out(body, client_timeout, reserve) => return,
    };
    match progress {
        BodyProgress::Complete(at) => {
            let latest = at + client_timeout - reserve;
            sleep_until_caught_up(latest.min(deadlines.timeout_at)).await;
        }
        // The attempt notices this too and ends with a suitable outcome.
        BodyProgress::Incomplete | BodyProgress::Failed => std::future::pending().await,
    }
}
