//! Requests: taken in, answered, given up and forgotten.

use super::pending_response::{FinalResponse, PendingResponse};
use super::rejection::{Rejection, RETRY_AFTER};
use super::Pool;
use crate::quota::Reservation;
use crate::upstream::Upstream;
use heronhoist_decision::{ClassId, Dialects, Event, KeyId, Request, RequestId, Span, TenantId};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep, Instant};

/// A request that a front hands over.
#[derive(Debug)]
pub struct NewRequest<C> {
    /// The request itself.
    pub call: C,
    /// The client's name for it, where servers tell requests by name: it must be the only one under way.
    pub name: Option<Rc<[u8]>>,
    /// Its class.
    pub class: ClassId,
    /// Whose it is.
    pub tenant: Option<TenantId>,
    /// What it concerns.
    pub key: Option<KeyId>,
    /// A guess at its work.
    pub cost_hint: Option<Span>,
    /// The client says that it repeats an earlier one.
    pub repeat: bool,
    /// How long the client waits once the request is whole.
    pub budget: Duration,
    /// When the client stops waiting; `None` while more of the request is to come.
    pub deadline: Option<Instant>,
    /// What it can be said in.
    pub dialects: Dialects,
}

impl<C> NewRequest<C> {
    /// A whole request whose client waits for so long from now on; without name, tenant, key or hint.
    pub fn new(call: C, class: ClassId, budget: Duration) -> Self {
        NewRequest {
            call,
            name: None,
            class,
            tenant: None,
            key: None,
            cost_hint: None,
            repeat: false,
            budget,
            deadline: Some(Instant::now() + budget),
            dialects: Dialects::ALL,
        }
    }
}

/// A request that has attempts out or still owes its answer.
pub(super) struct OpenRequest<U: Upstream> {
    pub(super) call: Rc<U::Call>,
    pub(super) class: ClassId,
    pub(super) name: Option<Rc<[u8]>>,
    /// When the client stops waiting; `None` while more of the request is to come.
    pub(super) deadline: Option<Instant>,
    pub(super) budget: Duration,
    /// Where its final answer goes, and its place among those that are owed one. Gone once it has that answer or its
    /// client has left.
    pub(super) reply: Option<(oneshot::Sender<FinalResponse<U::Answer>>, Reservation)>,
    pub(super) attempts: u32,
    /// How many the settings allowed when it came.
    pub(super) max_attempts: u32,
    /// The attempts that are out, few at any time, and what calls each off.
    pub(super) out: Vec<(u32, Option<oneshot::Sender<()>>)>,
}

impl<U: Upstream> Pool<U> {
    /// Takes a request in. It is owed one final answer from here on, unless what is returned is dropped first.
    pub fn submit(&self, exchange: NewRequest<U::Call>) -> Result<PendingResponse<U>, Rejection> {
        let NewRequest { call, name, class, tenant, key, cost_hint, repeat, budget, deadline, dialects } =
            exchange;
        if *self.0.closed.borrow() {
            return Err(Rejection::PoolClosed(RETRY_AFTER));
        }
        if !self.0.has_list.get() {
            return Err(Rejection::NoEndpoints(RETRY_AFTER));
        }
        // Whoever can speak to all may find one that comes back in time; the others would wait in vain.
        if dialects != Dialects::ALL && !dialects.intersects(self.0.dialects.get()) {
            return Err(Rejection::NoCommonDialect(RETRY_AFTER));
        }
        let (reply, answer) = oneshot::channel();
        let call = Rc::new(call);
        let id = {
            let mut core = self.0.core.borrow_mut();
            if name.as_ref().is_some_and(|name| core.names.contains(name)) {
                return Err(Rejection::CorrelationIdInUse);
            }
            let portion = self.0.requests.take(1).ok_or(Rejection::PoolFull(RETRY_AFTER))?;
            core.names.extend(name.clone());
            let id = RequestId(core.next_request);
            core.next_request += 1;
            let open = OpenRequest {
                call: Rc::clone(&call),
                class,
                name,
                deadline,
                budget,
                reply: Some((reply, portion)),
                attempts: 0,
                max_attempts: self.0.max_attempts.get(),
                out: Vec::with_capacity(1),
            };
            core.open.insert(id, open);
            id
        };
        let left = deadline.map_or(budget, |at| at.saturating_duration_since(Instant::now()));
        self.tell(Event::Request(Request {
            id,
            class,
            tenant,
            key,
            cost_hint,
            is_retry: repeat,
            time_left: Span(left.as_micros() as u64),
            client_timeout: Span(budget.as_micros() as u64),
            is_streaming_in: deadline.is_none(),
            dialects,
        }));
        Ok(PendingResponse { pool: self.clone(), id, answer, call, budget, deadline })
    }

    /// The last of a request has come: its client waits until `deadline`.
    pub(super) fn arrived(&self, id: RequestId, deadline: Instant) {
        if let Some(open) = self.0.core.borrow_mut().open.get_mut(&id) {
            open.deadline = Some(deadline);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        self.tell(Event::RequestComplete { request: id, time_left: Span(left.as_micros() as u64) });
    }

    /// Comes back once a request has had no attempt out for all the time that the module may hold it. The module must have
    /// panicked over it.
    pub(super) async fn forgotten(&self, id: RequestId, budget: Duration) {
        let mut idle = 0;
        while idle < 2 {
            sleep(budget).await;
            let is_out = self.0.core.borrow().open.get(&id).is_some_and(|open| !open.out.is_empty());
            idle = if is_out { 0 } else { idle + 1 };
        }
    }

    /// Nothing is owed to a request any more: its client has gone, or its time is up.
    pub(super) fn abandon(&self, id: RequestId) {
        let owed = self.0.core.borrow_mut().open.get_mut(&id).is_some_and(|o| o.reply.take().is_some());
        if owed {
            self.tell(Event::ClientDisconnected { request: id });
            self.forget_ended(id);
        }
    }

    pub(super) fn forget_ended(&self, id: RequestId) {
        let mut core = self.0.core.borrow_mut();
        if core.open.get(&id).is_some_and(|o| o.reply.is_none() && o.out.is_empty()) {
            if let Some(name) = core.open.remove(&id).and_then(|open| open.name) {
                core.names.remove(&name);
            }
            if core.open.is_empty() {
                self.0.emptied.notify_one();
            }
        }
    }

    pub(super) fn answer(&self, id: RequestId, answer: FinalResponse<U::Answer>) {
        if let Some((reply, _)) = self.0.core.borrow_mut().open.get_mut(&id).and_then(|o| o.reply.take()) {
            let _ = reply.send(answer);
        }
        self.forget_ended(id);
    }
}
