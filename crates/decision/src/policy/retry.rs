//! The retry budget, and the retry of requests after a failed attempt.

use super::retry_rules::AllowedTargets;
use super::Balancer;
use crate::api::{Action, Outcome, RequestId, Span, Time};

/// The number of tokens that each request adds.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// The capacity of a bucket, in tokens.
const MAX_TOKENS: f64 = 10.0;
/// The cost of a retry, in tokens, after a server was full or slow. It is higher, because more attempts would
/// add to the load that caused this.
pub(super) const RETRY_COST: f64 = 1.0;
/// The cost of a retry, in tokens, after a connection or a server failed.
const RETRY_COST_AFTER_FAULT: f64 = 0.4;
/// A connection attempt that fails within this fraction of the latency objective was refused or reset. A
/// later failure counts like a full server, because the request has waited for it.
const IMMEDIATE_CONNECT_FAILURE: f64 = 0.2;

/// A token bucket that is filled by requests.
pub(super) struct TokenBucket {
    tokens: f64,
}

impl Default for TokenBucket {
    fn default() -> Self {
        TokenBucket { tokens: MAX_TOKENS }
    }
}

impl TokenBucket {
    /// Adds the tokens of one request.
    pub(super) fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    pub(super) fn has_tokens(&self, cost: f64) -> bool {
        self.tokens >= cost
    }

    /// Removes `cost` tokens. The number of tokens may become negative.
    pub(super) fn withdraw(&mut self, cost: f64) {
        self.tokens -= cost;
    }

    /// The number of whole tokens; 0 if it is negative.
    pub(super) fn whole_tokens(&self) -> usize {
        self.tokens as usize
    }
}

/// The cost of a retry, in tokens, after an attempt with this outcome.
pub(super) fn retry_cost(outcome: Outcome, elapsed: Span, latency_objective: Span) -> f64 {
    let is_immediate = elapsed < latency_objective * IMMEDIATE_CONNECT_FAILURE;
    match outcome {
        Outcome::ConnectionReset | Outcome::ServerError => RETRY_COST_AFTER_FAULT,
        Outcome::ConnectFailed if is_immediate => RETRY_COST_AFTER_FAULT,
        _ => RETRY_COST,
    }
}

impl Balancer {
    /// Sends a request to another server while its attempt is still in flight, if the rules, the deadline
    /// and the retry budget allow it. The request is never queued or finished for this: its attempt may still
    /// succeed.
    pub(super) fn hedge(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.pending.get(&id) else { return };
        let is_allowed = self.retry_rules(pending, now).targets != AllowedTargets::Nowhere;
        let is_useful = !pending.request.is_streaming_in && !self.cannot_meet_deadline(now, pending);
        if is_allowed && is_useful && self.retry_budget.has_tokens(RETRY_COST_AFTER_FAULT) {
            let has_been_sent = self.dispatch(now, id, actions);
            let cost = if has_been_sent { RETRY_COST_AFTER_FAULT } else { 0.0 };
            self.retry_budget.withdraw(cost);
        }
    }

    /// Retries a request after a failed attempt if this is allowed, can meet the deadline and is within the
    /// retry budget, and finishes it otherwise. A retry after a rejection has a cost too, or the request
    /// would be sent to one full server after another.
    pub(super) fn retry_or_finish(&mut self, now: Time, id: RequestId, cost: f64, actions: &mut Vec<Action>) {
        let pending = &self.requests.pending[&id];
        if pending.has_attempt_in_flight() {
            return;
        }
        let is_allowed = self.retry_rules(pending, now).targets != AllowedTargets::Nowhere;
        if !is_allowed || self.cannot_meet_deadline(now, pending) || !self.retry_budget.has_tokens(cost) {
            self.finish(now, id, actions);
            return;
        }
        self.retry_budget.withdraw(cost);
        if !self.dispatch(now, id, actions) {
            self.enqueue(now, id, actions);
        }
    }
}
