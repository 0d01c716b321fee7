//! The clock of a pool.

use heronhoist_decision::Time;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Unix time in microseconds, read once and then advanced by the monotonic clock: it can be compared with the times in
/// the list, and a wall clock that is stepped moves nothing. Whether the wall clock was right can't be told from here.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    unix_us: u64,
    start: Instant,
}

impl Clock {
    /// From this time on; by the system's clock if none is given.
    pub(crate) fn new(epoch: Option<Time>) -> Self {
        let system = || SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
        Clock { unix_us: epoch.map_or_else(system, |epoch| epoch.0), start: Instant::now() }
    }

    pub(crate) fn now(&self) -> Time {
        Time(self.unix_us + self.start.elapsed().as_micros() as u64)
    }

    pub(crate) fn instant(&self, time: Time) -> Instant {
        // A day is as good as never, and can't overflow.
        let ahead =
            time.since(Time(self.unix_us)).0.min(self.now().since(Time(self.unix_us)).0 + 86_400_000_000);
        self.start + Duration::from_micros(ahead)
    }
}
