//! The retry budget, and what follows when an attempt has failed.

use super::retry_rules::AllowedTargets;
use super::Balancer;
use crate::api::{Action, Outcome, RequestId, Span, Time};

/// What each request earns.
const EARNED_PER_REQUEST: f64 = 0.1;
/// What can be saved up at most.
const MAX_SAVED: f64 = 10.0;
/// What a retry costs after a server was full or slow: more attempts would add to the load that caused it.
pub(super) const RETRY_COST: f64 = 1.0;
/// What a retry costs after a connection or a server broke.
const RETRY_COST_AFTER_BREAK: f64 = 0.4;
/// A connect that fails within this fraction of the latency objective was refused or reset. A later failure
/// has been waited for, like a full server.
const IMMEDIATE_CONNECT_FAILURE: f64 = 0.2;

/// A token bucket that requests fill.
pub(super) struct EarnedBudget {
    saved: f64,
}

impl Default for EarnedBudget {
    fn default() -> Self {
        EarnedBudget { saved: MAX_SAVED }
    }
}

impl EarnedBudget {
    /// Adds what one request earns.
    pub(super) fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_REQUEST).min(MAX_SAVED);
    }

    pub(super) fn can_pay(&self, cost: f64) -> bool {
        self.saved >= cost
    }

    /// Takes `cost` out; the budget may become negative.
    pub(super) fn pay(&mut self, cost: f64) {
        self.saved -= cost;
    }

    /// How many times a cost of 1 can be paid.
    pub(super) fn whole_units(&self) -> usize {
        self.saved as usize
    }
}

/// What a retry costs after an attempt that has ended like this.
pub(super) fn retry_cost(outcome: Outcome, elapsed: Span, latency_objective: Span) -> f64 {
    let is_immediate = elapsed < latency_objective * IMMEDIATE_CONNECT_FAILURE;
    match outcome {
        Outcome::ConnectionReset | Outcome::ServerError => RETRY_COST_AFTER_BREAK,
        Outcome::ConnectFailed if is_immediate => RETRY_COST_AFTER_BREAK,
        _ => RETRY_COST,
    }
}

impl Balancer {
    /// After a failed attempt: retries the request if that is allowed, useful and paid for, and ends it
    /// otherwise. A rejected attempt pays too, or its request would go round a fleet of full servers.
    pub(super) fn retry_or_finish(&mut self, now: Time, id: RequestId, cost: f64, actions: &mut Vec<Action>) {
        let pending = &self.requests.pending[&id];
        if pending.has_attempt_in_flight() {
            return;
        }
        let is_allowed = self.retry_rules(pending, now).targets != AllowedTargets::Nowhere;
        if !is_allowed || self.cannot_meet_deadline(now, pending) || !self.retry_budget.can_pay(cost) {
            self.finish(now, id, actions);
            return;
        }
        self.retry_budget.pay(cost);
        if !self.dispatch(now, id, actions) {
            self.enqueue(now, id, actions);
        }
    }
}
