//! Joins the fleet and renews the member's lease.

use super::{Member, CHECK_INTERVAL, LOG_TARGET, MIN_DELAY};
use crate::fleet::transport::{CoordinationClient, Unsettled};
use heronhoist_coordination::lease_holder::MembershipState;
use heronhoist_coordination::retry_schedule::CALL_TIMEOUT;
use heronhoist_coordination::wire::{Request, Response};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// The state of the membership and of the lease, as it is logged.
#[derive(Clone, Copy, PartialEq, Eq)]
struct LeaseStatus {
    membership: MembershipState,
    is_lease_held: bool,
}

impl LeaseStatus {
    /// Whether the member has just joined and its lease is not renewed yet; this state is not logged.
    fn has_just_joined(self, previous: Option<LeaseStatus>) -> bool {
        let was_member = previous.is_some_and(|status| status.membership == MembershipState::Member);
        self.membership == MembershipState::Member && !self.is_lease_held && !was_member
    }
}

impl Member {
    /// Joins the fleet and renews the lease until the task is aborted.
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
            let next_request_at = self.lease_holder.borrow().next_request_at().unwrap_or(0);
            let delay = next_request_at.saturating_sub(self.now()).clamp(MIN_DELAY, CHECK_INTERVAL);
            sleep(Duration::from_micros(delay)).await;
        }
    }

    /// Sends one request of the lease holder, and passes the response to it.
    async fn send_lease_request(&self, client: &mut CoordinationClient, request: &Request) {
        let envelope = self.envelope();
        let (response, retry_delay) = match client.call(&envelope, request, CALL_TIMEOUT).await {
            Ok(response) => {
                self.last_response_at.set(Instant::now());
                (Some(response), 0)
            }
            Err(Unsettled { retry_delay, error }) => {
                self.failed_calls.set(self.failed_calls.get() + 1);
                tracing::debug!(target: LOG_TARGET, "no conclusive response from the council: {error}");
                (None, retry_delay)
            }
        };
        if matches!(response, Some(Response::Renewed(_))) {
            self.renewals.set(self.renewals.get() + 1);
        }
        let random = fastrand::f64();
        self.lease_holder.borrow_mut().handle_response(self.now(), response.as_ref(), retry_delay, random);
    }

    fn lease_status(&self) -> LeaseStatus {
        let membership = self.lease_holder.borrow().membership_state();
        LeaseStatus { membership, is_lease_held: self.held_incarnation().is_some() }
    }

    fn log_lease_status(&self, status: LeaseStatus) {
        let member = &*self.fleet.member;
        let incarnation = self.lease_holder.borrow().incarnation();
        match status.membership {
            MembershipState::Member if status.is_lease_held => {
                tracing::info!(target: LOG_TARGET, member, incarnation, "holds a lease as a member of the fleet");
            }
            MembershipState::Member => {
                let text = "the lease has expired; requests are served as before";
                tracing::warn!(target: LOG_TARGET, member, incarnation, "{text}");
            }
            MembershipState::Joining => tracing::info!(target: LOG_TARGET, member, "joining the fleet"),
            MembershipState::Waiting => {
                let text = "waiting until the lease of an older process of the same name ends";
                tracing::info!(target: LOG_TARGET, member, "{text}");
            }
            MembershipState::Ended => {
                let text = "the council has ended the lease; joining again";
                tracing::warn!(target: LOG_TARGET, member, "{text}");
            }
            MembershipState::Superseded => {
                let text = "a newer process of the same name has taken over; this one has left the fleet and continues to serve";
                tracing::warn!(target: LOG_TARGET, member, "{text}");
            }
        }
    }
}
