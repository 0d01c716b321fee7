//! The final response that a request waits for.

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
    /// A server's response.
    Success(R),
    /// The request did not run, or is harmless to retry; with the time after which to, if the decision module gives one.
    Rejected(Option<Span>),
    /// The request failed; it may have run or not.
    Failed,
    /// The client's time is up and the decision module has not decided; the request may have run or not.
    DeadlineExceeded,
    /// The request did not arrive whole, so that no response is due.
    IncompleteRequest,
}

/// A request that waits for its final response. Dropped before that, its client counts as disconnected.
pub struct PendingResponse<U: Upstream> {
    pool: Pool<U>,
    pub(super) id: RequestId,
    response: oneshot::Receiver<FinalResponse<U::Response>>,
    request: Rc<U::Request>,
    client_timeout: Duration,
    /// When the client stops waiting; `None` while more of the request is to come.
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

    /// The request's number in its pool, as events name it.
    #[must_use]
    pub fn id(&self) -> u64 {
        self.id.0
    }

    /// Waits for the one final response. It comes no later than [`RESPONSE_RESERVE`](super::RESPONSE_RESERVE) before the
    /// client stops waiting (less for a short timeout), whatever the decision module does. `on_complete` is called once
    /// the last of the request has arrived, with the time until which its client waits; it returns the time until which
    /// this one does.
    pub async fn wait(mut self, on_complete: impl FnOnce(Instant) -> Instant) -> FinalResponse<U::Response> {
        let request = Rc::clone(&self.request);
        if let (None, Some(body)) = (self.deadline, request.streaming_body()) {
            if let Some(early) = self.wait_for_body(body).await {
                return early;
            }
        }
        // One without a body to wait for and without a deadline waits for its client's whole timeout.
        let deadline = on_complete(self.deadline.unwrap_or_else(|| Instant::now() + self.client_timeout));
        let time_left = deadline.saturating_duration_since(Instant::now());
        let latest = deadline - response_reserve(self.client_timeout).min(time_left);
        tokio::select! {
            biased;
            response = &mut self.response => response.unwrap_or(FinalResponse::Failed),
            () = sleep_until_caught_up(latest) => FinalResponse::DeadlineExceeded,
        }
    }

    /// Waits until the last of the body has arrived; returns a final response that comes before.
    ///
    /// The body's end alone may never come, because nobody reads on in a body that no attempt sends. Two watchers are
    /// needed beside it, because neither covers the other's cases:
    ///
    /// - `unread_too_long` is for a client that may have sent all of a short body already and waits, while no attempt has
    ///   read on. Its timeout runs since then, so it needs its response within that one timeout. It says nothing about a
    ///   body that is too long to be under way whole, nor about one that an attempt has read on in.
    /// - `request_orphaned` is for just these: the attempt has ended, or there was none, and the decision module has lost
    ///   track of the request. It can't come sooner than after more than one timeout, because the module may hold a
    ///   request for that long, and it must not come at all while an attempt sends the body, however long that takes.
    async fn wait_for_body(&mut self, body: &dyn StreamingBody) -> Option<FinalResponse<U::Response>> {
        let progress = tokio::select! {
            biased;
            response = &mut self.response => return Some(response.unwrap_or(FinalResponse::Failed)),
            progress = body.finished() => progress,
            () = unread_too_long(body, self.client_timeout) => return Some(FinalResponse::DeadlineExceeded),
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

/// Waits until the timeout of a client is over that may have sent its whole body with nobody reading on. Never returns
/// once somebody has read on, or if the client can't have sent all of it.
async fn unread_too_long(body: &dyn StreamingBody, client_timeout: Duration) {
    if let Some(since) = body.unread_since() {
        sleep_until_caught_up(since + client_timeout - response_reserve(client_timeout)).await;
    }
    if body.unread_since().is_none() {
        std::future::pending::<()>().await;
    }
}

impl<U: Upstream> Drop for PendingResponse<U> {
    fn drop(&mut self) {
        self.pool.client_disconnected(self.id);
    }
}
