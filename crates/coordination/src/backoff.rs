//! Exponential backoff with jitter, before a failed store is opened again and before a failed call is repeated.

use crate::Time;

/// The delay after the first failure of a store, in microseconds. It doubles with each further failure up to [`MAX_BACKOFF`].
pub const MIN_BACKOFF: Time = 100_000;
/// The maximum delay after a failure of a store, in microseconds.
pub const MAX_BACKOFF: Time = 2_000_000;
/// A store that works for this many microseconds has recovered: its next failure counts as the first.
pub const RECOVERY_TIME: Time = 2 * MAX_BACKOFF;
/// The maximum number of doublings, so that the shift cannot overflow.
const MAX_DOUBLINGS: u32 = 10;

/// Returns the delay after a failure, in microseconds: `min`, doubled for each of the `earlier_failures` in a row, at most
/// `max`, and shortened by a jitter of up to one half. `random` is uniform in 0 to 1.
#[must_use]
pub(crate) fn exponential_backoff(min: Time, max: Time, earlier_failures: u32, random: f64) -> Time {
    let delay = (min << earlier_failures.min(MAX_DOUBLINGS)).min(max);
    (delay as f64 * (0.5 + 0.5 * random.clamp(0.0, 1.0))) as Time
}

/// The backoff of one store.
#[derive(Debug, Clone, Default)]
pub struct Backoff {
    consecutive_failures: u32,
    last_failure_at: Time,
}

impl Backoff {
    /// Records a failure of the store at `now`. Returns the delay before the store is opened again, in microseconds. `random`
    /// is uniform in 0 to 1.
    pub fn record_failure(&mut self, now: Time, random: f64) -> Time {
        if now >= self.last_failure_at.saturating_add(RECOVERY_TIME) {
            self.consecutive_failures = 0;
        }
        self.last_failure_at = now;
        let delay = exponential_backoff(MIN_BACKOFF, MAX_BACKOFF, self.consecutive_failures, random);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        delay
    }
}
