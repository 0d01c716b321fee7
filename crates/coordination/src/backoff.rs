//! Exponential backoff with jitter: between attempts to open a store that failed, and between calls to the service.

use crate::Time;

/// The first pause after a failure of the store, in microseconds. It doubles with each failure up to [`MAX_BACKOFF`].
pub const MIN_BACKOFF: Time = 100_000;
/// The longest pause after a failure of the store, in microseconds.
pub const MAX_BACKOFF: Time = 2_000_000;
/// A store that has worked for this long, in microseconds, has recovered: the next failure counts as a first one.
pub const RECOVERY_TIME: Time = 2 * MAX_BACKOFF;
/// Doublings after which a pause grows no more, so that the shift cannot overflow.
const MAX_DOUBLINGS: u32 = 10;

/// The pause after so many earlier failures in a row, in microseconds: `min` doubled for each of them, at most `max`, less a
/// jitter of up to a half. `random` is uniform in 0 to 1.
#[must_use]
pub(crate) fn exponential_backoff(min: Time, max: Time, earlier_failures: u32, random: f64) -> Time {
    let pause = (min << earlier_failures.min(MAX_DOUBLINGS)).min(max);
    (pause as f64 * (0.5 + 0.5 * random.clamp(0.0, 1.0))) as Time
}

/// The backoff of one store.
#[derive(Debug, Clone, Default)]
pub struct Backoff {
    consecutive_failures: u32,
    last_failure_at: Time,
}

impl Backoff {
    /// Records that the store failed now. Returns the pause before it is opened again, in microseconds. `random` is uniform
    /// in 0 to 1.
    pub fn record_failure(&mut self, now: Time, random: f64) -> Time {
        if now >= self.last_failure_at.saturating_add(RECOVERY_TIME) {
            self.consecutive_failures = 0;
        }
        self.last_failure_at = now;
        let pause = exponential_backoff(MIN_BACKOFF, MAX_BACKOFF, self.consecutive_failures, random);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        pause
    }
}
