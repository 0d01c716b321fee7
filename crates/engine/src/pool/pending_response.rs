//! A request's claim to its one final answer.

use super::reserves::{reserve, ANSWER_RESERVE};
use super::Pool;
use crate::timing::read_until;
use crate::upstream::{Coming, Payload, Upstream};
use heronhoist_decision::{RequestId, Span};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The final answer to a client.
#[derive(Debug)]
pub enum Final<A> {
    /// A server's answer.
    Served(A),
    /// Not run, or harmless to repeat; with the time to come back after, if the module gives one.
    Refused(Option<Span>),
    /// No promise about the effect.
    Failed,
    /// The client's time is up and the module has said nothing; no promise about the effect.
    OutOfTime,
    /// The request did not come whole, so nothing is owed to it.
    Unfinished,
}

/// A request that is owed its final answer. Dropped before that, its client counts as gone.
pub struct Owed<U: Upstream> {
    pub(super) pool: Pool<U>,
    pub(super) id: RequestId,
    pub(super) answer: oneshot::Receiver<Final<U::Answer>>,
    pub(super) call: Rc<U::Call>,
    pub(super) budget: Duration,
    pub(super) deadline: Option<Instant>,
}

impl<U: Upstream> Owed<U> {
    /// The request's number in its pool, as events name it.
    pub fn id(&self) -> u64 {
        self.id.0
    }

    /// The one final answer, no later than [`ANSWER_RESERVE`] before the client stops waiting (less for a short budget):
    /// that promise does not hang on the module. `whole` is called once the last of the request has come, with the time
    /// until which its client waits; what it gives back is the time by which this one is answered.
    pub async fn answer(mut self, whole: impl FnOnce(Instant) -> Instant) -> Final<U::Answer> {
        let call = Rc::clone(&self.call);
        if let (None, Some(arriving)) = (self.deadline, call.arriving()) {
            // Where nobody reads on, its client may be waiting already.
            let unread = async {
                if let Some(since) = arriving.unread_since() {
                    read_until(since + self.budget - reserve(ANSWER_RESERVE, self.budget / 2)).await;
                }
                if arriving.unread_since().is_none() {
                    std::future::pending::<()>().await;
                }
            };
            let coming = {
                let answer = pin!(&mut self.answer);
                tokio::select! {
                    biased;
                    answer = answer => return answer.unwrap_or(Final::Failed),
                    coming = arriving.ended() => coming,
                    () = unread => return Final::OutOfTime,
                    // Nobody reads on what no attempt sends, so its end would never come.
                    () = self.pool.forgotten(self.id, self.budget) => return Final::OutOfTime,
                }
            };
            let Coming::Whole(at) = coming else { return Final::Unfinished };
            let deadline = at + self.budget;
            self.deadline = Some(deadline);
            self.pool.arrived(self.id, deadline);
        }
        // One that never comes in parts and has no deadline waits as long as its budget says.
        let deadline = whole(self.deadline.unwrap_or_else(|| Instant::now() + self.budget));
        let left = deadline.saturating_duration_since(Instant::now());
        // Half of what the attempts keep back is left for the module's word.
        let last = deadline - reserve(ANSWER_RESERVE, self.budget / 2).min(left);
        tokio::select! {
            biased;
            answer = &mut self.answer => answer.unwrap_or(Final::Failed),
            () = read_until(last) => Final::OutOfTime,
        }
    }
}

impl<U: Upstream> Drop for Owed<U> {
    fn drop(&mut self) {
        self.pool.abandon(self.id);
    }
}
