//! Attempts: sent, called off, and told to the module once they are over.

use super::pending_response::FinalResponse;
use super::reserves::{reserve, ATTEMPT_RESERVE};
use super::Pool;
use crate::timing::read_until;
use crate::upstream::{AttemptResult, BodyProgress, EndpointAddress, Gate, RequestPayload, Upstream};
use heronhoist_decision::{AttemptNumber, Event, Outcome, RequestId, ServerId, Span, Time};
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::Instant;

impl<U: Upstream> Pool<U> {
    pub(super) fn send(&self, id: RequestId, server: ServerId, timeout_at: Time, begin_by: Time) {
        let now = Instant::now();
        let mut core = self.0.core.borrow_mut();
        let core = &mut *core;
        let Some(open) = core.open.get_mut(&id) else { return };
        let attempt = open.attempts;
        open.attempts += 1;
        let (cancel, cancelled) = oneshot::channel();
        open.out.push((attempt, Some(cancel)));
        // Nothing is sent for a request that has its answer, nor beyond the attempts or the time it has.
        let latest = open.deadline.map(|deadline| deadline - reserve(ATTEMPT_RESERVE, open.budget));
        let until = self.0.clock.instant(timeout_at);
        let until = latest.map_or(until, |latest| until.min(latest));
        let lawful = open.reply.is_some() && attempt < open.max_attempts && until > now;
        let place = if lawful { core.servers.enter(server) } else { None };
        let (pool, call, budget) = (self.clone(), Rc::clone(&open.call), open.budget);
        spawn_local(async move {
            let ended = match place {
                Some(place) => {
                    let ended = pool.attempt((id, begin_by), place, &call, until, budget, cancelled).await;
                    pool.0.core.borrow_mut().servers.leave(server, ended.outcome);
                    ended
                }
                None => Outcome::NotSent.into(),
            };
            pool.attempt_over((id, attempt, server), now, ended);
        });
    }

    async fn attempt(
        &self,
        (id, begin_by): (RequestId, Time),
        place: EndpointAddress<U::Address>,
        call: &U::Call,
        until: Instant,
        budget: Duration,
        cancelled: oneshot::Receiver<()>,
    ) -> AttemptResult<U::Answer> {
        let (sent, server) = (Cell::new(false), place.server);
        // A connection may take long to come up: by then the client may have gone or have its answer, and servers may have
        // forgotten the attempt that this one repeats.
        let lawful = || {
            let core = self.0.core.borrow();
            let owed = core.open.get(&id).is_some_and(|open| open.reply.is_some());
            owed && self.0.clock.now() <= begin_by && core.servers.may_send(server, self.0.drain_grace.get())
        };
        let gate = Gate::new(&sent, &lawful, until);
        let mut exchange = pin!(self.0.upstream.attempt(place, call, gate));
        // A panic costs this attempt and no more: nobody would hear of its end, and its request waited for its deadline.
        let exchange = poll_fn(|cx| {
            catch_unwind(AssertUnwindSafe(|| exchange.as_mut().poll(cx))).unwrap_or_else(|_| {
                tracing::error!(target: "heronhoist::engine", pool = self.0.name, "an attempt has panicked; going on");
                let outcome = if sent.get() { Outcome::ConnectionReset } else { Outcome::NotSent };
                Poll::Ready(outcome.into())
            })
        });
        let late = async {
            match call.arriving() {
                Some(arriving) => match arriving.ended().await {
                    BodyProgress::Complete(at) => {
                        read_until((at + budget - reserve(ATTEMPT_RESERVE, budget)).min(until)).await
                    }
                    // The exchange sees that too, and knows what it means.
                    BodyProgress::Incomplete | BodyProgress::Failed => std::future::pending().await,
                },
                None => read_until(until).await,
            }
        };
        let in_time = async {
            tokio::select! {
                biased;
                ended = exchange => Ok(ended),
                () = late => Err(()),
            }
        };
        tokio::select! {
            biased;
            ended = in_time => match ended {
                Ok(ended) => ended,
                Err(()) if sent.get() => Outcome::TimedOut.into(),
                // The time was used up by waiting for a connection.
                Err(()) => Outcome::NotSent.into(),
            },
            Ok(()) = cancelled => Outcome::Cancelled.into(),
        }
    }

    /// An attempt is over: a served request has its answer at once, whatever the module thinks of it.
    fn attempt_over(
        &self,
        (id, attempt, server): (RequestId, u32, ServerId),
        sent: Instant,
        ended: AttemptResult<U::Answer>,
    ) {
        let (closed, spent, since, class) = {
            let mut core = self.0.core.borrow_mut();
            let Some(open) = core.open.get_mut(&id) else { return };
            open.out.retain(|(out, _)| *out != attempt);
            if let Some((answer, (reply, _))) = ended.answer.and_then(|a| Some((a, open.reply.take()?))) {
                let _ = reply.send(FinalResponse::Success(answer));
            }
            let arriving = open.call.arriving();
            let spent = arriving.is_some_and(|arriving| arriving.is_spent());
            let since = match arriving.map(|arriving| arriving.state()) {
                Some(BodyProgress::Complete(at)) => at.max(sent),
                _ => sent,
            };
            (open.reply.is_none(), spent, since, open.class)
        };
        tracing::debug!(
            target: "heronhoist::attempt",
            pool = self.0.name,
            request = id.0,
            class = class.0,
            attempt,
            server = server.0,
            outcome = ?ended.outcome,
            elapsed_us = since.elapsed().as_micros() as u64,
            "attempt ended"
        );
        self.tell(Event::AttemptEnded {
            request: id,
            attempt: AttemptNumber(attempt),
            outcome: ended.outcome,
            elapsed: Span(since.elapsed().as_micros() as u64),
            report: ended.report,
            is_request_finished: closed,
            is_body_consumed: spent,
        });
        self.forget_ended(id);
    }
}
