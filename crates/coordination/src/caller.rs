//! How a process asks a council: which of its processes, how long it waits, and when it asks again.

use crate::Time;

/// A call has no answer by then and is given up.
pub const DEADLINE: Time = 2_000_000;
/// The first pause after a call that failed; it doubles up to [`PAUSE_MOST`]. Of each, half to all is waited.
const PAUSE_LEAST: Time = 50_000;
const PAUSE_MOST: Time = 2_000_000;

/// Whom to ask next, and when.
#[derive(Debug, Clone)]
pub struct Caller {
    targets: usize,
    at: usize,
    failures: u32,
}

impl Caller {
    /// Of so many processes; begins with the one that `draw` says.
    pub fn new(targets: usize, draw: u64) -> Caller {
        let targets = targets.max(1);
        Caller { targets, at: (draw % targets as u64) as usize, failures: 0 }
    }

    /// The place of the one to ask.
    pub fn target(&self) -> usize {
        self.at
    }

    /// There is one more process to ask; its place.
    pub fn add(&mut self) -> usize {
        self.targets += 1;
        self.targets - 1
    }

    /// An answer that settles the question.
    pub fn settled(&mut self) {
        self.failures = 0;
    }

    /// No answer, or one that settles nothing: the next one is asked after this pause. `draw` is 0 to 1.
    pub fn failed(&mut self, draw: f64) -> Time {
        self.at = (self.at + 1) % self.targets;
        self.pause(draw)
    }

    /// It does not lead; this one may. A hint is followed at once the first time, and after a pause from then on: those
    /// that hint at each other are not asked in a hurry.
    pub fn hinted(&mut self, leader: Option<usize>, draw: f64) -> Time {
        match leader {
            Some(leader) if leader < self.targets && leader != self.at => {
                self.at = leader;
                let pause = self.pause(draw);
                if self.failures <= 1 {
                    0
                } else {
                    pause
                }
            }
            _ => self.failed(draw),
        }
    }

    fn pause(&mut self, draw: f64) -> Time {
        let pause = (PAUSE_LEAST << self.failures.min(10)).min(PAUSE_MOST);
        self.failures = self.failures.saturating_add(1);
        (pause as f64 * (0.5 + 0.5 * draw.clamp(0.0, 1.0))) as Time
    }
}
