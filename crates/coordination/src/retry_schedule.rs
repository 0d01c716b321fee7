//! How a process asks a council: which of its processes, how long it waits, and when it asks again.

use crate::Time;

/// A call has no answer by then and is given up.
pub const CALL_TIMEOUT: Time = 2_000_000;
/// The first pause after a call that failed; it doubles up to [`MAX_BACKOFF`]. Of each, half to all is waited.
const MIN_BACKOFF: Time = 50_000;
const MAX_BACKOFF: Time = 2_000_000;

/// Whom to ask next, and when.
#[derive(Debug, Clone)]
pub struct RetrySchedule {
    target_count: usize,
    current: usize,
    consecutive_failures: u32,
}

impl RetrySchedule {
    /// Of so many processes; begins with the one that `draw` says.
    pub fn new(targets: usize, draw: u64) -> RetrySchedule {
        let targets = targets.max(1);
        RetrySchedule {
            target_count: targets,
            current: (draw % targets as u64) as usize,
            consecutive_failures: 0,
        }
    }

    /// The place of the one to ask.
    pub fn target(&self) -> usize {
        self.current
    }

    /// There is one more process to ask; its place.
    pub fn add_target(&mut self) -> usize {
        self.target_count += 1;
        self.target_count - 1
    }

    /// An answer that settles the question.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// No answer, or one that settles nothing: the next one is asked after this pause. `draw` is 0 to 1.
    pub fn record_failure(&mut self, draw: f64) -> Time {
        self.current = (self.current + 1) % self.target_count;
        self.next_pause(draw)
    }

    /// It does not lead; this one may. A hint is followed at once the first time, and after a pause from then on: those
    /// that hint at each other are not asked in a hurry.
    pub fn record_redirect(&mut self, leader: Option<usize>, draw: f64) -> Time {
        match leader {
            Some(leader) if leader < self.target_count && leader != self.current => {
                self.current = leader;
                let pause = self.next_pause(draw);
                if self.consecutive_failures <= 1 {
                    0
                } else {
                    pause
                }
            }
            _ => self.record_failure(draw),
        }
    }

    fn next_pause(&mut self, draw: f64) -> Time {
        let pause = (MIN_BACKOFF << self.consecutive_failures.min(10)).min(MAX_BACKOFF);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        (pause as f64 * (0.5 + 0.5 * draw.clamp(0.0, 1.0))) as Time
    }
}
