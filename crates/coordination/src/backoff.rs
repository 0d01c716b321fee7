//! When a process whose store has failed opens it again.

use crate::Time;

/// The first pause after a failure; it doubles up to [`PAUSE_MOST`]. Of each, half to all is waited.
pub const PAUSE_LEAST: Time = 100_000;
/// The longest pause.
pub const PAUSE_MOST: Time = 2_000_000;
/// A store that has not failed for so long has recovered: the next failure is a first one.
pub const RECOVERED_AFTER: Time = 2 * PAUSE_MOST;

/// The pauses of one store.
#[derive(Debug, Clone, Default)]
pub struct Backoff {
    failures: u32,
    failed_at: Time,
}

impl Backoff {
    /// It has failed now; after this pause it is opened again. `draw` is 0 to 1.
    pub fn failed(&mut self, now: Time, draw: f64) -> Time {
        if now >= self.failed_at.saturating_add(RECOVERED_AFTER) {
            self.failures = 0;
        }
        self.failed_at = now;
        let pause = (PAUSE_LEAST << self.failures.min(10)).min(PAUSE_MOST);
        self.failures = self.failures.saturating_add(1);
        (pause as f64 * (0.5 + 0.5 * draw.clamp(0.0, 1.0))) as Time
    }
}
