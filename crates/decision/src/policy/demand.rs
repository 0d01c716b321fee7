//! The recent traffic of this balancer, and the fraction of it that is answered.

use crate::api::Time;

/// The time constant of the exponential decay, in milliseconds.
const WINDOW_MS: f64 = 3000.0;
/// The minimum observation time that rates are computed with, in milliseconds: otherwise the first requests
/// would be taken for a high rate.
const MIN_OBSERVED_MS: f64 = 500.0;
/// The fraction of its latency objective that a request is usually in flight.
const USUAL_OBJECTIVE_FRACTION: f64 = 0.2;

/// Decayed sums of latency objectives. By Little's law, the usual number of requests in flight follows from
/// them.
#[derive(Default)]
pub(super) struct Demand {
    /// The sum over clients' first attempts, in milliseconds.
    requested_ms: f64,
    /// The sum over answered attempts, in milliseconds.
    answered_ms: f64,
    /// How long traffic has been observed, in milliseconds.
    observed_ms: f64,
    updated_at: Time,
}

impl Demand {
    /// Counts a request with its latency objective, or with zero if it is a client's retry. Returns the
    /// factor by which the sums have decayed since the previous request.
    pub(super) fn record_request(&mut self, now: Time, objective_ms: f64) -> f64 {
        let passed_ms = if self.requested_ms == 0.0 { 0.0 } else { now.since(self.updated_at).as_ms() };
        let decay = (-passed_ms / WINDOW_MS).exp();
        self.updated_at = now;
        self.requested_ms = self.requested_ms * decay + objective_ms;
        self.observed_ms += passed_ms;
        self.answered_ms *= decay;
        decay
    }

    pub(super) fn record_response(&mut self, objective_ms: f64) {
        self.answered_ms += objective_ms;
    }

    /// The usual number of requests in flight, by Little's law.
    pub(super) fn usual_in_flight(&self) -> f64 {
        let observed_ms = self.observed_ms.max(MIN_OBSERVED_MS);
        let window_ms = WINDOW_MS * (1.0 - (-observed_ms / WINDOW_MS).exp());
        USUAL_OBJECTIVE_FRACTION * self.requested_ms / window_ms
    }

    /// The fraction of the recent traffic that has been answered, or 1 until traffic has been observed for
    /// [`WINDOW_MS`].
    pub(super) fn answered_fraction(&self) -> f64 {
        if !self.is_observed_long_enough() {
            return 1.0;
        }
        (self.answered_ms / self.requested_ms).min(1.0)
    }

    pub(super) fn is_observed_long_enough(&self) -> bool {
        self.observed_ms >= WINDOW_MS
    }
}
