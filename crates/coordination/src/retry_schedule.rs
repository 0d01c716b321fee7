//! How a client calls the coordination service: which process it calls, how long a call may take, and when it retries.

use crate::backoff::exponential_backoff;
use crate::Time;

/// The timeout of a call, in microseconds.
pub const CALL_TIMEOUT: Time = 2_000_000;
/// The delay after the first failed call, in microseconds. It doubles with each further failure up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Time = 50_000;
/// The maximum delay after a failed call, in microseconds.
const MAX_BACKOFF: Time = 2_000_000;

/// Selects the process to call next, and the delay before the call. Processes are identified by their index in the client's
/// list.
#[derive(Debug, Clone)]
pub struct RetrySchedule {
    target_count: usize,
    current: usize,
    consecutive_failures: u32,
}

impl RetrySchedule {
    /// Creates a schedule for `target_count` processes, at least one. `random` selects the one that is called first.
    pub fn new(target_count: usize, random: u64) -> RetrySchedule {
        let target_count = target_count.max(1);
        let current = (random % target_count as u64) as usize;
        RetrySchedule { target_count, current, consecutive_failures: 0 }
    }

    /// Returns the index of the process to call.
    pub fn target(&self) -> usize {
        self.current
    }

    /// Adds a process to the end of the list. Returns its index.
    pub fn add_target(&mut self) -> usize {
        self.target_count += 1;
        self.target_count - 1
    }

    /// Records a response that completes the request. The next failure counts as the first.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records a call without a response, or with one that does not complete the request. Selects the next process. Returns the
    /// delay before the next call, in microseconds. `random` is uniform in 0 to 1.
    pub fn record_failure(&mut self, random: f64) -> Time {
        self.current = (self.current + 1) % self.target_count;
        self.next_delay(random)
    }

    /// Records that the called process is not the leader, and the index of the process that it considers the leader. Selects
    /// that one, or the next one if the index is unusable. Returns the delay before the next call, in microseconds. `random` is
    /// uniform in 0 to 1.
    ///
    /// The first redirect is followed at once. Later ones are delayed, so that processes that redirect to each other are not
    /// called in a tight loop.
    pub fn record_redirect(&mut self, leader: Option<usize>, random: f64) -> Time {
        let usable = leader.filter(|leader| *leader < self.target_count && *leader != self.current);
        let Some(leader) = usable else {
            return self.record_failure(random);
        };
        self.current = leader;
        let delay = self.next_delay(random);
        if self.consecutive_failures <= 1 {
            return 0;
        }
        delay
    }

    fn next_delay(&mut self, random: f64) -> Time {
        let delay = exponential_backoff(MIN_BACKOFF, MAX_BACKOFF, self.consecutive_failures, random);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        delay
    }
}
