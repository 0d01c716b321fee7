//! When a process whose store has failed opens it again.

use crate::Time;

/// The first pause after a failure; it doubles up to [`MAX_BACKOFF`]. Of each, half to all is waited.
pub const MIN_BACKOFF: Time = 100_000;
/// The longest pause.
pub const MAX_BACKOFF: Time = 2_000_000;
/// A store that has not failed for so long has recovered: the next failure is a first one.
pub const RECOVERY_TIME: Time = 2 * MAX_BACKOFF;

/// The pauses of one store.
#[derive(Debug, Clone, Default)]
pub struct Backoff {
    consecutive_failures: u32,
    last_failure_at: Time,
}

impl Backoff {
    /// It has failed now; after this pause it is opened again. `draw` is 0 to 1.
    pub fn record_failure(&mut self, now: Time, draw: f64) -> Time {
        if now >= self.last_failure_at.saturating_add(RECOVERY_TIME) {
            self.consecutive_failures = 0;
        }
        self.last_failure_at = now;
        let pause = (MIN_BACKOFF << self.consecutive_failures.min(10)).min(MAX_BACKOFF);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        (pause as f64 * (0.5 + 0.5 * draw.clamp(0.0, 1.0))) as Time
    }
}
