//! How much traffic reaches this balancer and how much of it is answered, over the last seconds.

use crate::api::Time;

/// Time constant of the exponential decay, in milliseconds.
const WINDOW_MS: f64 = 3000.0;
/// Less observation than this counts as this much, in milliseconds, so that the first requests are not taken
/// for a high rate.
const MIN_OBSERVED_MS: f64 = 500.0;
/// The fraction of its latency objective that a request is usually in flight.
const USUAL_OBJECTIVE_FRACTION: f64 = 0.2;

/// Sums of latency objectives: by Little's law they say how many requests are in flight.
#[derive(Default)]
pub(super) struct Demand {
    /// Of clients' first attempts, decayed, in milliseconds.
    requested_ms: f64,
    /// Of answered attempts, decayed, in milliseconds.
    answered_ms: f64,
    /// How long traffic has been observed, in milliseconds.
    observed_ms: f64,
    updated_at: Time,
}

impl Demand {
    /// Counts a request with its latency objective; zero for a client's retry. Returns the factor by which
    /// everything that was counted before has decayed since the last request.
    pub(super) fn record_request(&mut self, now: Time, objective_ms: f64) -> f64 {
        let passed_ms = if self.requested_ms == 0.0 { 0.0 } else { now.since(self.updated_at).as_ms() };
        let decay = (-passed_ms / WINDOW_MS).exp();
        self.updated_at = now;
        self.requested_ms = self.requested_ms * decay + objective_ms;
        self.observed_ms += passed_ms;
        self.answered_ms *= decay;
        decay
    }

    pub(super) fn record_answer(&mut self, objective_ms: f64) {
        self.answered_ms += objective_ms;
    }

    /// The number of requests that are usually in flight, by Little's law.
    pub(super) fn usual_in_flight(&self) -> f64 {
        let observed_ms = self.observed_ms.max(MIN_OBSERVED_MS);
        let window_ms = WINDOW_MS * (1.0 - (-observed_ms / WINDOW_MS).exp());
        USUAL_OBJECTIVE_FRACTION * self.requested_ms / window_ms
    }

    /// The fraction of the recent traffic that has been answered; 1 until traffic has been observed for a
    /// window.
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
