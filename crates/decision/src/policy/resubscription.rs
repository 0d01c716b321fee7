//! Schedules a new subscription to the endpoint list after the subscription has failed.

use crate::api::{Span, Time};

/// The first backoff.
const INITIAL_BACKOFF: Span = Span(200_000);
/// The maximum backoff, as a multiple of the first.
const MAX_BACKOFF_FACTOR: f64 = 5.0;
/// The maximum backoff, as a fraction of the longest time between two polls of the list.
const MAX_POLL_FRACTION: f64 = 0.25;
/// The backoff is multiplied by the sum of this and a random number from 0 to 1.
const MIN_JITTER: f64 = 0.5;

/// Exponential backoff before the next subscription.
pub(super) struct Resubscription {
    backoff: Span,
    due_at: Option<Time>,
}

impl Default for Resubscription {
    fn default() -> Self {
        Resubscription { backoff: INITIAL_BACKOFF, due_at: None }
    }
}

impl Resubscription {
    /// Schedules the next subscription after a failure. `draw` is a uniform random number from 0 to 1.
    pub(super) fn schedule(&mut self, now: Time, draw: f64, max_poll_interval: Span) {
        self.due_at = Some(now + self.backoff * (MIN_JITTER + draw));
        let max_backoff = (max_poll_interval * MAX_POLL_FRACTION).min(INITIAL_BACKOFF * MAX_BACKOFF_FACTOR);
        self.backoff = (self.backoff * 2.0).min(max_backoff);
    }

    /// Resets the backoff after an update of the endpoint list has arrived.
    pub(super) fn reset(&mut self) {
        self.backoff = INITIAL_BACKOFF;
    }

    /// Returns whether a subscription is due, and removes it from the schedule if it is.
    pub(super) fn take_due(&mut self, now: Time) -> bool {
        self.due_at.take_if(|due_at| now >= *due_at).is_some()
    }
}
