//! A request's claim to its one final answer.

use super::reserves::{reserve, RESPONSE_RESERVE};
use super::Pool;
use crate::timing::read_until;
use crate::upstream::{BodyProgress, RequestPayload, Upstream};
use heronhoist_decision::{RequestId, Span};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The final answer to a client.
#[derive(Debug)]
pub enum FinalResponse<A> {
    /// A server's answer.
    Success(A),
    /// Not run, or harmless to repeat; with the time to come back after, if the module gives one.
    Rejected(Option<Span>),
    /// No promise about the effect.
    Failed,
    /// The client's time is up and the module has said nothing; no promise about the effect.
    DeadlineExceeded,
    /// The request did not come whole, so nothing is owed to it.
    IncompleteRequest,
}

/// A request that is owed its final answer. Dropped before that, its client counts as gone.
pub struct PendingResponse<U: Upstream> {
    pub(super) pool: Pool<U>,
    pub(super) id: RequestId,
    pub(super) answer: oneshot::Receiver<FinalResponse<U::Answer>>,
    pub(super) call: Rc<U::Call>,
    pub(super) budget: Duration,
    pub(super) deadline: Option<Instant>,
}

impl<U: Upstream> PendingResponse<U> {
    /// The request's number in its pool, as events name it.
    pub fn id(&self) -> u64 {
        self.id.0
    }

    /// The one final answer, no later than [`RESPONSE_RESERVE`] before the client stops waiting (less for a short budget):
    /// that promise does not hang on the module. `whole` is called once the last of the request has come, with the time
    /// until which its client waits; what it gives back is the time by which this one is answered.
    pub async fn answer(mut self, whole: impl FnOnce(Instant) -> Instant) -> FinalResponse<U::Answer> {
        let call = Rc::clone(&self.call);
        if let (None, Some(arriving)) = (self.deadline, call.arriving()) {
            // Where nobody reads on, its client may be waiting already.
            let unread = async {
                if let Some(since) = arriving.unread_since() {
                    read_until(since + self.budget - reserve(RESPONSE_RESERVE, self.budget / 2)).await;
                }
                if arriving.unread_since().is_none() {
                    std::future::pending::<()>().await;
                }
            };
            let coming = {
                let answer = pin!(&mut self.answer);
                tokio::select! {
                    biased;
                    answer = answer => return answer.unwrap_or(FinalResponse::Failed),
                    coming = arriving.ended() => coming,
                    () = unread => return FinalResponse::DeadlineExceeded,
                    // Nobody reads on what no attempt sends, so its end would never come.
                    () = self.pool.forgotten(self.id, self.budget) => return FinalResponse::DeadlineExceeded,
                }
            };
            let BodyProgress::Complete(at) = coming else { return FinalResponse::IncompleteRequest };
            let deadline = at + self.budget;
            self.deadline = Some(deadline);
            self.pool.arrived(self.id, deadline);
        }
        // One that never comes in parts and has no deadline waits as long as its budget says.
        let deadline = whole(self.deadline.unwrap_or_else(|| Instant::now() + self.budget));
        let left = deadline.saturating_duration_since(Instant::now());
        // Half of what the attempts keep back is left for the module's word.
        let last = deadline - reserve(RESPONSE_RESERVE, self.budget / 2).min(left);
        tokio::select! {
            biased;
            answer = &mut self.answer => answer.unwrap_or(FinalResponse::Failed),
            () = read_until(last) => FinalResponse::DeadlineExceeded,
        }
    }
}

impl<U: Upstream> Drop for PendingResponse<U> {
    fn drop(&mut self) {
        self.pool.abandon(self.id);
    }
}
