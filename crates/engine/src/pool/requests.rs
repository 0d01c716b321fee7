//! The life cycle of requests: they are submitted, get their final response and are removed.

use super::pending_response::{FinalResponse, PendingResponse};
use super::rejection::{Rejection, RETRY_AFTER};
use super::{Pool, PoolState};
use crate::clock::span;
use crate::quota::Reservation;
use crate::request_claims::{CorrelationId, RequestClaims};
use crate::upstream::Upstream;
use heronhoist_decision::{
    AttemptNumber, ClassId, Dialects, Event, KeyId, Request, RequestId, Span, TenantId,
};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep, Instant};

/// The number of consecutive client timeouts without an attempt after which the decision module must have lost a
/// request. The module may hold a request that is still arriving for one full timeout. Attempts are checked only at
/// the end of each timeout, so one may have been in flight until just before the first check.
const MAX_IDLE_TIMEOUTS: u32 = 2;

/// A request that a frontend submits to a pool.
#[derive(Debug)]
pub struct NewRequest<R> {
    /// The request itself.
    pub request: R,
    /// Identifies the request to servers that distinguish requests by an id; it must be unique among the open
    /// requests.
    pub correlation_id: Option<CorrelationId>,
    /// Whether the request may run more than once. If not, its correlation id is claimed before it is sent.
    pub is_idempotent: bool,
    /// The request's class.
    pub class: ClassId,
    /// The tenant that the request belongs to.
    pub tenant: Option<TenantId>,
    /// The key of the record that the request concerns.
    pub key: Option<KeyId>,
    /// An estimate of the work that the request causes, in microseconds.
    pub cost_hint: Option<Span>,
    /// Whether the client declares that this is a retry of an earlier request.
    pub is_retry: bool,
    /// How long the client waits after the complete request has arrived.
    pub client_timeout: Duration,
    /// When the client stops waiting; `None` until the complete request has arrived.
    pub deadline: Option<Instant>,
    /// The dialects that the request can be encoded in.
    pub dialects: Dialects,
}

impl<R> NewRequest<R> {
    /// Creates a complete request whose client waits for `client_timeout` from now on. It has no correlation id,
    /// tenant, key or cost hint, is idempotent, and can be encoded in any dialect.
    #[must_use]
    pub fn new(request: R, class: ClassId, client_timeout: Duration) -> Self {
        NewRequest {
            request,
            correlation_id: None,
            is_idempotent: true,
            class,
            tenant: None,
            key: None,
            cost_hint: None,
            is_retry: false,
            client_timeout,
            deadline: Some(Instant::now() + client_timeout),
            dialects: Dialects::ALL,
        }
    }
}

/// A request that waits for its final response or has attempts in flight.
pub(super) struct OpenRequest<U: Upstream> {
    pub(super) request: Rc<U::Request>,
    pub(super) class: ClassId,
    correlation_id: Option<CorrelationId>,
    claim: Claim,
    /// Whether an attempt that has ended may have been executed.
    pub(super) may_have_run: bool,
    /// When the client stops waiting; `None` until the complete request has arrived.
    pub(super) deadline: Option<Instant>,
    pub(super) client_timeout: Duration,
    /// `None` once the final response has been sent or the client has disconnected.
    pub(super) responder: Option<Responder<U::Response>>,
    /// The number of attempts that have been started, which is the number of the next attempt.
    pub(super) attempts_started: u32,
    /// The maximum number of attempts, by the settings at the time of submission.
    pub(super) max_attempts: u32,
    /// The attempts in flight, which are few.
    pub(super) in_flight: Vec<InFlightAttempt>,
}

/// The claim of a request's correlation id.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Claim {
    /// The request is idempotent or has no correlation id.
    NotNeeded,
    /// It must be made before the first attempt.
    Needed,
    /// This request has made it.
    Held,
}

impl<U: Upstream> OpenRequest<U> {
    /// Claims the request's correlation id if it is not idempotent. Returns false if another request holds the claim;
    /// this one must not be sent then.
    pub(super) fn claim(&mut self, claims: &dyn RequestClaims) -> bool {
        let (Claim::Needed, Some(id)) = (self.claim, &self.correlation_id) else { return true };
        if !claims.claim(id) {
            return false;
        }
        self.claim = Claim::Held;
        true
    }

    /// Ends the claim of a finished request that has certainly not run.
    fn release_claim(&self, claims: &dyn RequestClaims) {
        if let (Claim::Held, false, Some(id)) = (self.claim, self.may_have_run, &self.correlation_id) {
            claims.release(id);
        }
    }

    /// Returns whether the client still waits for the final response.
    pub(super) fn is_pending(&self) -> bool {
        self.responder.is_some()
    }

    fn is_finished(&self) -> bool {
        !self.is_pending() && self.in_flight.is_empty()
    }
}

/// Sends the final response to a request, and holds the request's reservation in the pool's quota.
pub(super) struct Responder<R> {
    sender: oneshot::Sender<FinalResponse<R>>,
    _reservation: Reservation,
}

impl<R> Responder<R> {
    /// Sends the final response. It is discarded if the client has disconnected.
    pub(super) fn send(self, response: FinalResponse<R>) {
        let _ = self.sender.send(response);
    }
}

/// An attempt that has not ended.
pub(super) struct InFlightAttempt {
    pub(super) number: AttemptNumber,
    /// `None` once it has been cancelled.
    pub(super) cancel: Option<oneshot::Sender<()>>,
}

impl<U: Upstream> PoolState<U> {
    /// Adds a request under a new id that was never used in this pool.
    fn add_request(&mut self, open: OpenRequest<U>) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        self.correlation_ids.extend(open.correlation_id.clone());
        self.requests.insert(id, open);
        id
    }
}

impl<U: Upstream> Pool<U> {
    /// Submits a request. Once accepted, it gets exactly one final response unless the pending response is dropped
    /// first.
    ///
    /// # Errors
    ///
    /// Returns a [`Rejection`] if the pool does not accept the request. Nothing of it has been sent.
    pub fn submit(&self, new: NewRequest<U::Request>) -> Result<PendingResponse<U>, Rejection> {
        self.check_accepts(new.dialects)?;
        let (sender, response) = oneshot::channel();
        let request = Rc::new(new.request);
        let id = {
            let mut state = self.0.state.borrow_mut();
            if new.correlation_id.as_ref().is_some_and(|id| state.correlation_ids.contains(id)) {
                return Err(Rejection::CorrelationIdInUse);
            }
            let needs_claim = !new.is_idempotent && new.correlation_id.is_some();
            if needs_claim && new.correlation_id.as_ref().is_some_and(|id| self.0.claims.is_claimed(id)) {
                return Err(Rejection::CorrelationIdInUse);
            }
            let reservation = self.0.request_quota.try_reserve(1).ok_or(Rejection::PoolFull(RETRY_AFTER))?;
            state.add_request(OpenRequest {
                request: Rc::clone(&request),
                class: new.class,
                correlation_id: new.correlation_id,
                claim: if needs_claim { Claim::Needed } else { Claim::NotNeeded },
                may_have_run: false,
                deadline: new.deadline,
                client_timeout: new.client_timeout,
                responder: Some(Responder { sender, _reservation: reservation }),
                attempts_started: 0,
                max_attempts: self.0.settings.get().max_attempts,
                in_flight: Vec::with_capacity(1),
            })
        };
        let (client_timeout, deadline) = (new.client_timeout, new.deadline);
        self.handle_event(Event::Request(Request {
            id,
            class: new.class,
            tenant: new.tenant,
            key: new.key,
            cost_hint: new.cost_hint,
            is_retry: new.is_retry,
            time_left: span(deadline.map_or(client_timeout, time_until)),
            client_timeout: span(client_timeout),
            is_streaming_in: deadline.is_none(),
            dialects: new.dialects,
        }));
        Ok(PendingResponse::new(self.clone(), id, response, request, client_timeout, deadline))
    }

    fn check_accepts(&self, dialects: Dialects) -> Result<(), Rejection> {
        if *self.0.is_closed.borrow() {
            return Err(Rejection::PoolClosed(RETRY_AFTER));
        }
        if !self.0.has_endpoint_list.get() {
            return Err(Rejection::NoEndpoints(RETRY_AFTER));
        }
        // A request in any dialect can still succeed if a server returns in time. One that needs certain dialects is
        // rejected while no serving server speaks them.
        let needs_certain_dialects = dialects != Dialects::ALL;
        if needs_certain_dialects && !dialects.intersects(self.serving_dialects()) {
            return Err(Rejection::NoCommonDialect(RETRY_AFTER));
        }
        Ok(())
    }

    /// Records that a request has arrived completely, and that its client waits until `deadline`.
    pub(super) fn request_complete(&self, id: RequestId, deadline: Instant) {
        if let Some(open) = self.0.state.borrow_mut().requests.get_mut(&id) {
            open.deadline = Some(deadline);
        }
        let time_left = span(time_until(deadline));
        self.handle_event(Event::RequestComplete { request: id, time_left });
    }

    /// Waits until a request has had no attempt in flight for longer than the decision module may hold it. The module
    /// must have lost the request in a panic.
    pub(super) async fn request_orphaned(&self, id: RequestId, client_timeout: Duration) {
        let mut idle_timeouts = 0;
        while idle_timeouts < MAX_IDLE_TIMEOUTS {
            sleep(client_timeout).await;
            let has_attempt = {
                let state = self.0.state.borrow();
                state.requests.get(&id).is_some_and(|open| !open.in_flight.is_empty())
            };
            idle_timeouts = if has_attempt { 0 } else { idle_timeouts + 1 };
        }
    }

    /// Records that nothing waits for a request's final response any more: its client has disconnected, or its
    /// deadline was reached.
    pub(super) fn client_disconnected(&self, id: RequestId) {
        let was_pending = {
            let mut state = self.0.state.borrow_mut();
            state.requests.get_mut(&id).is_some_and(|open| open.responder.take().is_some())
        };
        if was_pending {
            self.handle_event(Event::ClientDisconnected { request: id });
            self.remove_if_finished(id);
        }
    }

    /// Sends the final response to a request. Any later response to the same request is discarded.
    pub(super) fn respond(&self, id: RequestId, response: FinalResponse<U::Response>) {
        let responder = {
            let mut state = self.0.state.borrow_mut();
            state.requests.get_mut(&id).and_then(|open| open.responder.take())
        };
        if let Some(responder) = responder {
            responder.send(response);
        }
        self.remove_if_finished(id);
    }

    pub(super) fn remove_if_finished(&self, id: RequestId) {
        let mut state = self.0.state.borrow_mut();
        if !state.requests.get(&id).is_some_and(OpenRequest::is_finished) {
            return;
        }
        let Some(finished) = state.requests.remove(&id) else { return };
        finished.release_claim(&*self.0.claims);
        if let Some(correlation_id) = finished.correlation_id {
            state.correlation_ids.remove(&correlation_id);
        }
        if state.requests.is_empty() {
            self.0.last_request_ended.notify_one();
        }
    }
}

fn time_until(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
