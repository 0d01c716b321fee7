//! The queue of requests that no server has capacity for.

use super::requests::PendingRequest;
use super::{Balancer, TICK_INTERVAL_QUEUED};
use crate::api::{Action, RequestId, Time};

/// The most requests in the queue.
const MAX_QUEUED: usize = 500;
/// A queued request must have this multiple of its class's usual latency left ...
const MARGIN_OVER_LATENCY: f64 = 2.0;
/// ... or this fraction of its latency objective, if that is less.
const MAX_MARGIN: f64 = 0.7;
/// The longest that one of many balancers queues a request, as a fraction of its client's timeout.
const MAX_QUEUED_FRACTION: f64 = 0.4;
/// Weights are compared as integers of this resolution.
const WEIGHT_RESOLUTION: f64 = 1e6;

/// The queued requests: the newest first, within each priority.
#[derive(Default)]
pub(super) struct RequestQueue(Vec<RequestId>);

impl RequestQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// The order of dispatch: the least first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePriority {
    is_over_quota: bool,
    negative_weight: i64,
}

impl Balancer {
    /// Queues a request, or ends it if the queue is full.
    pub(super) fn enqueue(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        if self.queue.0.len() >= MAX_QUEUED {
            self.finish(now, id, actions);
            return;
        }
        self.queue.0.insert(0, id);
        // A tick that is due sooner is never put off: requests queued at each tick would put it off for ever.
        if self.next_tick_at > now + TICK_INTERVAL_QUEUED {
            self.set_tick(now, TICK_INTERVAL_QUEUED, actions);
        }
    }

    /// Dispatches the queued requests that a server has capacity for, the newest first, and ends those that
    /// cannot be answered in time. First come, first served would let each wait until it is nearly late, and
    /// then be late.
    pub(super) fn dispatch_queued(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let mut queued = std::mem::take(&mut self.queue.0);
        queued.sort_by_cached_key(|id| self.requests.pending.get(id).map(|pending| self.priority(pending)));
        queued.retain(|&id| {
            let Some(pending) = self.requests.pending.get(&id) else { return false };
            if self.has_queued_too_long(now, pending) || self.cannot_meet_deadline(now, pending) {
                self.finish(now, id, actions);
                return false;
            }
            !self.dispatch(now, id, actions)
        });
        self.queue.0 = queued;
    }

    /// By weight for each unit of work; usual latency stands for work.
    fn priority(&self, pending: &PendingRequest) -> QueuePriority {
        let state = self.class_of(pending);
        let work = if self.settings.weight_by_work { 1.0 } else { state.usual_latency_ms() };
        let negative_weight = (-WEIGHT_RESOLUTION * state.class.priority_weight / work) as i64;
        QueuePriority { is_over_quota: pending.is_over_quota, negative_weight }
    }

    fn has_queued_too_long(&self, now: Time, pending: &PendingRequest) -> bool {
        let state = self.class_of(pending);
        let margin = (MARGIN_OVER_LATENCY * state.latency_ratio).min(MAX_MARGIN);
        let is_late = now + state.class.latency_objective * margin >= pending.objective_deadline;
        let least_left = pending.request.time_left * (1.0 - MAX_QUEUED_FRACTION);
        let is_unsent = pending.attempts.is_empty();
        is_late || self.is_large_fleet() && is_unsent && now + least_left >= pending.deadline
    }
}
