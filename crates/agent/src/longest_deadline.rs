//! The longest deadline of the settings in force: a shutdown has that much time before the platform kills the process.

use std::time::Duration;
use tokio::time::Instant;

/// How long after a reload clients may not use the new classes yet, so that the kill may still go by the former settings.
const ADOPTION_PERIOD: Duration = Duration::from_millis(1200);

/// The longest deadline of the settings in force, across reloads.
#[derive(Debug, Clone, Copy)]
pub struct LongestDeadline {
    in_force: Duration,
    /// The shortest that may still count after the last reload, and until when.
    adoption: Option<(Duration, Instant)>,
}

impl LongestDeadline {
    /// The longest deadline of the first settings.
    pub fn new(in_force: Duration) -> Self {
        LongestDeadline { in_force, adoption: None }
    }

    /// Records a reload: from `now` on, the longest deadline of the settings is `in_force`.
    pub fn replace(&mut self, now: Instant, in_force: Duration) {
        let shortest = self.at(now).min(in_force);
        *self = LongestDeadline { in_force, adoption: Some((shortest, now + ADOPTION_PERIOD)) };
    }

    /// The longest deadline that a shutdown which begins at `now` can count on.
    ///
    /// Requests in flight under former settings may have longer deadlines. They don't postpone the kill, so they don't count.
    pub fn at(&self, now: Instant) -> Duration {
        match self.adoption {
            Some((shortest, until)) if now < until => shortest,
            _ => self.in_force,
        }
    }
}

#[cfg(test)]
mod tests;
