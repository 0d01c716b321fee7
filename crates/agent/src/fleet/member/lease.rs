//! The lease of the member: it joins, and renews its lease.

use super::{Member, CHECK_INTERVAL, LOG_TARGET, MIN_PAUSE};
use crate::fleet::link::{CoordinationClient, Unsettled};
use heronhoist_coordination::lease_holder::MembershipState;
use heronhoist_coordination::retry_schedule::CALL_TIMEOUT;
use heronhoist_coordination::wire::{Request, Response};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Where the member stands with the service.
#[derive(Clone, Copy, PartialEq, Eq)]
struct LeaseStatus {
    session: MembershipState,
    is_lease_held: bool,
}

impl LeaseStatus {
    /// Whether the member has just joined: its first renewal is still to come, which is no event.
    fn has_just_joined(self, previous: Option<LeaseStatus>) -> bool {
        let was_member = previous.is_some_and(|status| status.session == MembershipState::Member);
        self.session == MembershipState::Member && !self.is_lease_held && !was_member
    }
}

impl Member {
    /// Joins, and renews the lease, for as long as the agent lives.
    pub(super) async fn maintain_lease(self: Rc<Self>, is_ready: Rc<impl Fn() -> bool>) {
        let mut client = CoordinationClient::new(&self.fleet.coordinators);
        let mut logged: Option<LeaseStatus> = None;
        loop {
            let now = self.now();
            self.lease_holder.borrow_mut().set_ready(is_ready(), now);
            let request = self.lease_holder.borrow_mut().next_request(now);
            if let Some(request) = request {
                self.send_lease_request(&mut client, &request).await;
            }
            let status = self.lease_status();
            if logged != Some(status) && !status.has_just_joined(logged) {
                logged = Some(status);
                self.log_lease_status(status);
            }
            let due_at = self.lease_holder.borrow().next_request_at().unwrap_or(0);
            let pause = due_at.saturating_sub(self.now()).clamp(MIN_PAUSE, CHECK_INTERVAL);
            sleep(Duration::from_micros(pause)).await;
        }
    }

    /// Sends one request of the lease holder, and gives it the response.
    async fn send_lease_request(&self, client: &mut CoordinationClient, request: &Request) {
        let envelope = self.envelope();
        let (response, pause) = match client.call(&envelope, request, CALL_TIMEOUT).await {
            Ok(response) => {
                self.last_response_at.set(Instant::now());
                (Some(response), 0)
            }
            Err(Unsettled { pause, error }) => {
                self.failed_calls.set(self.failed_calls.get() + 1);
                tracing::debug!(target: LOG_TARGET, "the council does not settle: {error}");
                (None, pause)
            }
        };
        if matches!(response, Some(Response::Renewed(_))) {
            self.renewals.set(self.renewals.get() + 1);
        }
        let random = fastrand::f64();
        self.lease_holder.borrow_mut().handle_response(self.now(), response.as_ref(), pause, random);
    }

    fn lease_status(&self) -> LeaseStatus {
        let session = self.lease_holder.borrow().membership_state();
        LeaseStatus { session, is_lease_held: self.held_incarnation().is_some() }
    }

    fn log_lease_status(&self, status: LeaseStatus) {
        let member = &*self.fleet.member;
        let incarnation = self.lease_holder.borrow().incarnation();
        match status.session {
            MembershipState::Member if status.is_lease_held => {
                tracing::info!(target: LOG_TARGET, member, incarnation, "takes part in the fleet");
            }
            MembershipState::Member => {
                let text = "the lease has run out; serving goes on, nothing rests on it";
                tracing::warn!(target: LOG_TARGET, member, incarnation, "{text}");
            }
            MembershipState::Joining => tracing::info!(target: LOG_TARGET, member, "joins the fleet"),
            MembershipState::Waiting => {
                let text = "waits for the lease of an older process of its name to end";
                tracing::info!(target: LOG_TARGET, member, "{text}");
            }
            MembershipState::Ended => {
                let text = "the council counts the lease as ended; it joins anew";
                tracing::warn!(target: LOG_TARGET, member, "{text}");
            }
            MembershipState::Superseded => {
                let text = "a newer process has its name; this one has left the fleet and serves on";
                tracing::warn!(target: LOG_TARGET, member, "{text}");
            }
        }
    }
}
