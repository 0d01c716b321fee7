//! The lease of the member: it joins, and renews its lease.

use super::{Member, LOG_TARGET, LOOK_EVERY};
use crate::fleet::link::{CoordinationClient, Unsettled};
use heronhoist_coordination::lease_holder::SessionState;
use heronhoist_coordination::retry_schedule::CALL_TIMEOUT;
use heronhoist_coordination::wire::Response;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

impl Member {
    pub(super) async fn keep_lease(self: Rc<Self>, ready: Rc<impl Fn() -> bool>) {
        let mut client = CoordinationClient::new(&self.fleet.council);
        let mut told: Option<(SessionState, bool)> = None;
        loop {
            let now = self.now();
            self.holder.borrow_mut().set_ready(ready(), now);
            let request = self.holder.borrow_mut().next_request(now);
            if let Some(request) = request {
                let envelope = self.envelope();
                let (response, pause) = match client.call(&envelope, &request, CALL_TIMEOUT).await {
                    Ok(response) => {
                        self.answered.set(Instant::now());
                        (Some(response), 0)
                    }
                    Err(Unsettled { pause, error }) => {
                        self.failures.set(self.failures.get() + 1);
                        tracing::debug!(target: LOG_TARGET, "the council does not settle: {error}");
                        (None, pause)
                    }
                };
                if matches!(response, Some(Response::Renewed(_))) {
                    self.renewals.set(self.renewals.get() + 1);
                }
                self.holder.borrow_mut().handle_response(
                    self.now(),
                    response.as_ref(),
                    pause,
                    fastrand::f64(),
                );
            }
            let stands = (self.holder.borrow().session(), self.holds().is_some());
            // One that was just taken in has its first renewal before it.
            let begins = stands == (SessionState::Member, false)
                && told.is_none_or(|(stand, _)| stand != SessionState::Member);
            if told != Some(stands) && !begins {
                told = Some(stands);
                self.tell(stands);
            }
            let due = self.holder.borrow().next_request_at().unwrap_or(0);
            let wait = due.saturating_sub(self.now()).clamp(1000, LOOK_EVERY);
            sleep(Duration::from_micros(wait)).await;
        }
    }

    fn tell(&self, (stand, holds): (SessionState, bool)) {
        let (member, incarnation) = (&*self.fleet.member, self.holder.borrow().incarnation());
        match stand {
            SessionState::Member if holds => {
                tracing::info!(target: LOG_TARGET, member, incarnation, "takes part in the fleet");
            }
            SessionState::Member => {
                tracing::warn!(target: LOG_TARGET, member,
                    incarnation,
                    "the lease has run out; serving goes on, nothing rests on it"
                );
            }
            SessionState::Joining => tracing::info!(target: LOG_TARGET, member, "joins the fleet"),
            SessionState::Waiting => {
                tracing::info!(target: LOG_TARGET, member, "waits for the lease of an older process of its name to end");
            }
            SessionState::Ended => {
                tracing::warn!(target: LOG_TARGET, member, "the council counts the lease as ended; it joins anew");
            }
            SessionState::Displaced => {
                tracing::warn!(target: LOG_TARGET, member,
                    "a newer process has its name; this one has left the fleet and serves on"
                );
            }
        }
    }
}
