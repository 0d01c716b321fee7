//! The clock of a pool.

use heronhoist_decision::{Span, Time};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The maximum time ahead of now that [`Clock::instant`] returns, one day in microseconds. It is long enough to count as
/// never, and far from an overflow of the monotonic clock.
const MAX_AHEAD_US: u64 = 86_400_000_000;

/// A clock of Unix time in microseconds. It reads the system's wall clock once and then advances with the monotonic
/// clock, so its times can be compared with the start times in endpoint lists, and a step of the wall clock does not
/// affect it. It can't detect whether the wall clock was correct when it was read.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    unix_us: u64,
    start: Instant,
}

impl Clock {
    /// Creates a clock whose current time is `epoch`, or the system's time if `epoch` is `None`.
    pub(crate) fn new(epoch: Option<Time>) -> Self {
        let system_time =
            || SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
        Clock { unix_us: epoch.map_or_else(system_time, |epoch| epoch.0), start: Instant::now() }
    }

    pub(crate) fn now(&self) -> Time {
        Time(self.unix_us + self.start.elapsed().as_micros() as u64)
    }

    /// Returns the monotonic time at which this clock reaches `time`, or the clock's start if `time` is before it.
    pub(crate) fn instant(&self, time: Time) -> Instant {
        let epoch = Time(self.unix_us);
        let limit_us = self.now().since(epoch).0 + MAX_AHEAD_US;
        let after_start_us = time.since(epoch).0.min(limit_us);
        self.start + Duration::from_micros(after_start_us)
    }
}

/// Converts a duration to the decision module's unit, microseconds.
pub(crate) fn span(duration: Duration) -> Span {
    Span(duration.as_micros() as u64)
}
