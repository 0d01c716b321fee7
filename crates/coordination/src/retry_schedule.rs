//! How a client calls the coordination service: which of its processes, how long a call may take, and when to call again.

use crate::backoff::exponential_backoff;
use crate::Time;

/// A call that has no response after this many microseconds is given up.
pub const CALL_TIMEOUT: Time = 2_000_000;
/// The first pause after a failed call, in microseconds. It doubles with each failure up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Time = 50_000;
/// The longest pause after a failed call, in microseconds.
const MAX_BACKOFF: Time = 2_000_000;

/// Which process to call next, and after which pause. Processes are named by their position in the client's list.
#[derive(Debug, Clone)]
pub struct RetrySchedule {
    target_count: usize,
    current: usize,
    consecutive_failures: u32,
}

impl RetrySchedule {
    /// A schedule over `target_count` processes, at least one. `random` selects the first one.
    pub fn new(target_count: usize, random: u64) -> RetrySchedule {
        let target_count = target_count.max(1);
        let current = (random % target_count as u64) as usize;
        RetrySchedule { target_count, current, consecutive_failures: 0 }
    }

    /// The position of the process to call.
    pub fn target(&self) -> usize {
        self.current
    }

    /// Adds a process to the end of the list. Returns its position.
    pub fn add_target(&mut self) -> usize {
        self.target_count += 1;
        self.target_count - 1
    }

    /// Records a response that settles the request.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records a call without a response, or with one that settles nothing. Selects the next process. Returns the pause
    /// before the next call, in microseconds. `random` is uniform in 0 to 1.
    pub fn record_failure(&mut self, random: f64) -> Time {
        self.current = (self.current + 1) % self.target_count;
        self.next_pause(random)
    }

    /// Records that the process is not the leader, and which process it takes for the leader. Selects that one, or the next
    /// one where the hint is of no use. Returns the pause before the next call, in microseconds. `random` is uniform in
    /// 0 to 1.
    ///
    /// The first redirect is followed at once. Later ones are followed after a pause, so that processes that redirect to
    /// each other are not called in a tight loop.
    pub fn record_redirect(&mut self, leader: Option<usize>, random: f64) -> Time {
        let usable = leader.filter(|leader| *leader < self.target_count && *leader != self.current);
        let Some(leader) = usable else {
            return self.record_failure(random);
        };
        self.current = leader;
        let pause = self.next_pause(random);
        if self.consecutive_failures <= 1 {
            return 0;
        }
        pause
    }

    fn next_pause(&mut self, random: f64) -> Time {
        let pause = exponential_backoff(MIN_BACKOFF, MAX_BACKOFF, self.consecutive_failures, random);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        pause
    }
}
