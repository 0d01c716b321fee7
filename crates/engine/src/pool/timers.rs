//! Runs the timers of the decision module.

use super::Pool;
use crate::upstream::Upstream;
use heronhoist_decision::{Event, Time, TimerId};
use std::cmp::Reverse;
use tokio::time::sleep_until;

/// A pending timer. Timers are ordered by the time at which they are due, then by their ids.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ScheduledTimer {
    at: Time,
    id: u64,
}

impl<U: Upstream> Pool<U> {
    pub(super) fn set_timer(&self, at: Time, timer: TimerId) {
        self.0.state.borrow_mut().timers.push(Reverse(ScheduledTimer { at, id: timer.0 }));
        self.0.timers_changed.notify_one();
    }

    /// Passes each timer to the decision module when it is due. Never returns.
    pub(super) async fn run_timers(&self) {
        loop {
            let next = self.0.state.borrow().timers.peek().map(|Reverse(timer)| timer.at);
            match next {
                None => self.0.timers_changed.notified().await,
                Some(at) => tokio::select! {
                    biased;
                    () = sleep_until(self.0.clock.instant(at)) => {}
                    () = self.0.timers_changed.notified() => continue,
                },
            }
            while let Some(timer) = self.pop_due_timer() {
                self.handle_event(Event::Timer(timer));
            }
        }
    }

    fn pop_due_timer(&self) -> Option<TimerId> {
        let mut state = self.0.state.borrow_mut();
        let Reverse(next) = *state.timers.peek()?;
        if next.at > self.0.clock.now() {
            return None;
        }
        state.timers.pop().map(|Reverse(timer)| TimerId(timer.id))
    }
}
