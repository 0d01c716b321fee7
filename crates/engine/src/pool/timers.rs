//! The decision module's timers.

use super::Pool;
use crate::upstream::Upstream;
use heronhoist_decision::{Event, Time, TimerId};
use std::cmp::Reverse;
use tokio::time::sleep_until;

impl<U: Upstream> Pool<U> {
    pub(super) fn set_timer(&self, at: Time, timer: TimerId) {
        self.0.state.borrow_mut().timers.push(Reverse((at, timer.0)));
        self.0.timers_changed.notify_one();
    }

    /// Tells the decision module of each timer when it is due. Never returns.
    pub(super) async fn run_timers(&self) {
        loop {
            let next = self.0.state.borrow().timers.peek().map(|Reverse((at, _))| *at);
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
        let Reverse((at, _)) = *state.timers.peek()?;
        if at > self.0.clock.now() {
            return None;
        }
        state.timers.pop().map(|Reverse((_, id))| TimerId(id))
    }
}
