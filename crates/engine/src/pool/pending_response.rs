//! Waits for the final response to a request.

use super::reserves::response_reserve;
use super::Pool;
use crate::timing::sleep_until_caught_up;
use crate::upstream::{BodyProgress, RequestPayload, StreamingBody, Upstream};
use heronhoist_decision::{RequestId, Span};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The final response to a client.
#[derive(Debug)]
pub enum FinalResponse<R> {
    /// The response of a server.
    Success(R),
    /// The request did not run or is safe to retry; with the delay before the retry, if the decision module set one.
    Rejected(Option<Span>),
    /// The request failed; it may have run.
    Failed,
    /// The client's deadline was reached before the decision module decided; the request may have run.
    DeadlineExceeded,
    /// The request did not arrive completely, so no response is required.
    IncompleteRequest,
}

/// A request that waits for its final response. If it is dropped before that, its client counts as disconnected.
pub struct PendingResponse<U: Upstream> {
    pool: Pool<U>,
    pub(super) id: RequestId,
    response: oneshot::Receiver<FinalResponse<U::Response>>,
    request: Rc<U::Request>,
    client_timeout: Duration,
    /// When the client stops waiting; `None` until the complete request has arrived.
    deadline: Option<Instant>,
}

impl<U: Upstream> PendingResponse<U> {
    pub(super) fn new(
        pool: Pool<U>,
        id: RequestId,
        response: oneshot::Receiver<FinalResponse<U::Response>>,
        request: Rc<U::Request>,
        client_timeout: Duration,
        deadline: Option<Instant>,
    ) -> Self {
        PendingResponse { pool, id, response, request, client_timeout, deadline }
    }

    /// Returns the request's id in its pool, as used in events.
    #[must_use]
    pub fn id(&self) -> u64 {
        self.id.0
    }

    /// Waits for the final response. It is returned at least [`RESPONSE_RESERVE`](super::RESPONSE_RESERVE) before the
    /// client stops waiting (less for a short timeout), whatever the decision module does. `on_complete` is called
    /// when the complete request has arrived. It receives the time until which the client waits, and returns the time
    /// until which this method waits.
    pub async fn wait(mut self, on_complete: impl FnOnce(Instant) -> Instant) -> FinalResponse<U::Response> {
        let request = Rc::clone(&self.request);
        if let (None, Some(body)) = (self.deadline, request.streaming_body()) {
            if let Some(response) = self.wait_for_body(body).await {
                return response;
            }
        }
        // A request without a streaming body and without a deadline waits for the client's full timeout.
        let deadline = on_complete(self.deadline.unwrap_or_else(|| Instant::now() + self.client_timeout));
        let time_left = deadline.saturating_duration_since(Instant::now());
        let latest = deadline - response_reserve(self.client_timeout).min(time_left);
        tokio::select! {
            biased;
            response = &mut self.response => response.unwrap_or(FinalResponse::Failed),
            () = sleep_until_caught_up(latest) => FinalResponse::DeadlineExceeded,
        }
    }

    /// Waits until the complete body has arrived; returns a final response that is available before.
    ///
    /// The end of the body may never be read: nothing reads a body that no attempt sends, and an attempt reads no more
    /// than its server takes. Two further conditions end the wait; neither covers the cases of the other:
    ///
    /// - `client_timed_out` handles a client that may already have sent its complete body and waits. Its timeout has
    ///   been running since then. This condition does not apply while the body certainly has not arrived.
    /// - `request_orphaned` handles those bodies if the attempt has ended, or there was none, and the decision module
    ///   has lost the request. It completes only after more than one timeout, because the module may hold a request
    ///   for that long, and never while an attempt sends the body, however long that takes.
    async fn wait_for_body(&mut self, body: &dyn StreamingBody) -> Option<FinalResponse<U::Response>> {
        let progress = tokio::select! {
            biased;
            response = &mut self.response => return Some(response.unwrap_or(FinalResponse::Failed)),
            progress = body.finished() => progress,
            () = client_timed_out(body, self.client_timeout, response_reserve(self.client_timeout)) => {
                return Some(FinalResponse::DeadlineExceeded);
            }
            () = self.pool.request_orphaned(self.id, self.client_timeout) => {
                return Some(FinalResponse::DeadlineExceeded);
            }
        };
        let BodyProgress::Complete(at) = progress else { return Some(FinalResponse::IncompleteRequest) };
        let deadline = at + self.client_timeout;
        self.deadline = Some(deadline);
        self.pool.request_complete(self.id, deadline);
        None
    }
}

/// Waits until `reserve` before the end of a client's timeout, counted from the earliest time at which the last byte of
/// its body can have arrived. Never returns while some of the body certainly has not arrived.
pub(super) async fn client_timed_out(body: &dyn StreamingBody, client_timeout: Duration, reserve: Duration) {
    loop {
        let due = body.earliest_completion() + client_timeout - reserve;
        if due <= Instant::now() {
            return;
        }
        // More may have been learned about the body by then.
        sleep_until_caught_up(due).await;
    }
}

impl<U: Upstream> Drop for PendingResponse<U> {
    fn drop(&mut self) {
        self.pool.client_disconnected(self.id);
    }
}
