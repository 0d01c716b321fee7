//! The queue of requests for which no server has capacity.

use super::requests::PendingRequest;
use super::{Balancer, TICK_INTERVAL_QUEUED};
use crate::api::{Action, RequestId, Time};

/// The maximum number of requests in the queue.
const MAX_QUEUED: usize = 500;
/// A queued request is finished when less than this multiple of its class's usual latency remains until its
/// objective deadline ...
const MARGIN_OVER_LATENCY: f64 = 2.0;
/// ... or less than this fraction of its latency objective, if that is shorter.
const MAX_MARGIN: f64 = 0.7;
/// If there are many balancers, a request that has not been sent yet is queued for at most this fraction of
/// the time that its client waits.
const MAX_QUEUED_FRACTION: f64 = 0.4;
/// Weights are multiplied by this and compared as integers.
const WEIGHT_RESOLUTION: f64 = 1e6;

/// The queued requests, newest first within each priority.
#[derive(Default)]
pub(super) struct RequestQueue(Vec<RequestId>);

impl RequestQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// The order in which queued requests are dispatched: the lowest value first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePriority {
    is_over_quota: bool,
    negative_weight: i64,
}

impl Balancer {
    /// Queues a request, or finishes it if the queue is full.
    pub(super) fn enqueue(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        if self.queue.0.len() >= MAX_QUEUED {
            self.finish(now, id, actions);
            return;
        }
        self.queue.0.insert(0, id);
        // A tick that is due sooner is not postponed: otherwise requests that are queued at each tick would
        // postpone it forever.
        if self.next_tick_at > now + TICK_INTERVAL_QUEUED {
            self.set_tick(now, TICK_INTERVAL_QUEUED, actions);
        }
    }

    /// Dispatches the queued requests for which a server has capacity, newest first within each priority, and
    /// finishes those that cannot be answered in time. In first-in, first-out order, each request would wait
    /// until little of its time is left, and its response would be late.
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

    /// The priority of a request: its weight per unit of work, where the usual latency is the estimate of
    /// work.
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
        let min_time_left = pending.request.time_left * (1.0 - MAX_QUEUED_FRACTION);
        let is_unsent = pending.attempts.is_empty();
        is_late || self.is_large_fleet() && is_unsent && now + min_time_left >= pending.deadline
    }
}
