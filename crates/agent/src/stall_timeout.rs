//! How long an answer that has begun and paused is waited for, learned from those that paused before. Where peers are
//! slow most go on; where they spoil answers most never do, and whoever waits for one wastes its request's time.

use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::time::Instant;

/// How long is waited for more where pauses are mostly the end.
pub const BASE_TIMEOUT: Duration = Duration::from_millis(100);
/// And how much longer where answers mostly go on.
const LONGER: Duration = Duration::from_millis(500);
/// One in so many is waited for all the same, so that a change is noticed.
const TRY_EVERY: u32 = 8;
/// What has been seen counts half after this time.
const HALF_LIFE_S: f64 = 15.0;

/// What has become of answers that had paused.
pub struct StallTimeout {
    /// Those that went on, and those that did not.
    seen: RefCell<(f64, f64)>,
    faded_at: Cell<Instant>,
    skipped: Cell<u32>,
}

impl Default for StallTimeout {
    fn default() -> Self {
        StallTimeout { seen: RefCell::default(), faded_at: Cell::new(Instant::now()), skipped: Cell::new(0) }
    }
}

impl StallTimeout {
    /// How much longer than [`BASE_TIMEOUT`] an answer is waited for that pauses now.
    pub fn extension(&self) -> Option<Duration> {
        let (went_on, ended) = *self.seen.borrow();
        if went_on >= ended || self.skipped.get() + 1 >= TRY_EVERY {
            self.skipped.set(0);
            return Some(LONGER);
        }
        self.skipped.set(self.skipped.get() + 1);
        None
    }

    /// An answer that was waited for has gone on, or has not.
    pub fn record(&self, went_on: bool) {
        let seen = &mut *self.seen.borrow_mut();
        let keep = 0.5_f64.powf(self.faded_at.replace(Instant::now()).elapsed().as_secs_f64() / HALF_LIFE_S);
        *seen = (seen.0 * keep, seen.1 * keep);
        if went_on {
            seen.0 += 1.0;
        } else {
            seen.1 += 1.0;
        }
    }
}

#[cfg(test)]
mod tests;
