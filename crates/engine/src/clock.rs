//! The clock of a pool.

use heronhoist_decision::{Span, Time};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The furthest that a time is taken to lie ahead, one day in microseconds: as good as never, and far from an overflow
/// of the monotonic clock.
const MAX_AHEAD_US: u64 = 86_400_000_000;

/// Unix time in microseconds, read once and then advanced by the monotonic clock: it can be compared with the start
/// times in endpoint lists, and a step of the wall clock moves nothing. Whether the wall clock was right when it was
/// read can't be told from here.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    unix_us: u64,
    start: Instant,
}

impl Clock {
    /// A clock that shows `epoch` now, or the system's time if none is given.
    pub(crate) fn new(epoch: Option<Time>) -> Self {
        let system = || SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
        Clock { unix_us: epoch.map_or_else(system, |epoch| epoch.0), start: Instant::now() }
    }

    pub(crate) fn now(&self) -> Time {
        Time(self.unix_us + self.start.elapsed().as_micros() as u64)
    }

    /// The monotonic time at which this clock shows `time`; its start for an earlier one.
    pub(crate) fn instant(&self, time: Time) -> Instant {
        let epoch = Time(self.unix_us);
        let furthest_us = self.now().since(epoch).0 + MAX_AHEAD_US;
        let after_start_us = time.since(epoch).0.min(furthest_us);
        self.start + Duration::from_micros(after_start_us)
    }
}

/// A duration in the decision module's unit, microseconds.
pub(crate) fn span(duration: Duration) -> Span {
    Span(duration.as_micros() as u64)
}
