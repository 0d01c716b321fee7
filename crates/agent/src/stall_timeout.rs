//! How long the agent waits for the rest of a response that has stalled. The wait is learned from earlier stalls: where
//! servers are slow most responses resume; where they break responses most never do, and waiting for one wastes the
//! time of its request.

use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::time::Instant;

/// The stall timeout where most stalled responses never resume.
pub const BASE_TIMEOUT: Duration = Duration::from_millis(100);
/// Added to [`BASE_TIMEOUT`] where most stalled responses resume.
const TIMEOUT_EXTENSION: Duration = Duration::from_millis(500);
/// One in this many stalled responses gets the extension in any case, so that a change is noticed.
const SAMPLE_EVERY: u32 = 8;
/// After this time an observation counts half.
const HALF_LIFE_S: f64 = 15.0;

/// Learns whether responses that have stalled resume.
pub struct StallTimeout {
    /// The decayed counts of stalled responses that resumed and of those that did not.
    counts: RefCell<(f64, f64)>,
    decayed_at: Cell<Instant>,
    /// Stalled responses since the last one that got the extension.
    skipped: Cell<u32>,
}

impl Default for StallTimeout {
    fn default() -> Self {
        StallTimeout {
            counts: RefCell::default(),
            decayed_at: Cell::new(Instant::now()),
            skipped: Cell::new(0),
        }
    }
}

impl StallTimeout {
    /// Returns how much longer than [`BASE_TIMEOUT`] to wait for a response that stalls now, or `None` for no longer.
    pub fn extension(&self) -> Option<Duration> {
        let (resumed, ended) = *self.counts.borrow();
        if resumed >= ended || self.skipped.get() + 1 >= SAMPLE_EVERY {
            self.skipped.set(0);
            return Some(TIMEOUT_EXTENSION);
        }
        self.skipped.set(self.skipped.get() + 1);
        None
    }

    /// Records whether a response that got the extension has resumed.
    pub fn record(&self, resumed: bool) {
        let counts = &mut *self.counts.borrow_mut();
        let keep =
            0.5_f64.powf(self.decayed_at.replace(Instant::now()).elapsed().as_secs_f64() / HALF_LIFE_S);
        *counts = (counts.0 * keep, counts.1 * keep);
        if resumed {
            counts.0 += 1.0;
        } else {
            counts.1 += 1.0;
        }
    }
}

#[cfg(test)]
mod tests;
