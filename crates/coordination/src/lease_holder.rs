//! The client side of a lease: a member that joins, renews its lease, reports its readiness, and knows whether it may act on
//! its lease. It has one request in flight at a time, and repeats failed requests.

use crate::lease::{LeaseState, LeaseTerms};
use crate::state::{Command, CommandRequest, CommandResult};
use crate::wire::{Refusal, Request, Response};
use crate::{Incarnation, Time};

/// The interval in microseconds at which a process tries to join while an older process of its name may hold a lease.
const TAKEOVER_RETRY_INTERVAL: Time = 300_000;
/// The delay after a failed request is at most a lease's duration divided by this, so that the lease does not expire before the
/// request is repeated.
const MAX_BACKOFF_DIVISOR: Time = 8;

/// The description of a process that it sends when it joins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberInfo {
    /// Its name, unique in the fleet.
    pub name: String,
    /// The site it runs at.
    pub site: String,
    /// The version of its program.
    pub version: String,
    /// The address of its operators' interface.
    pub address: String,
}

/// The state of a process's membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipState {
    /// It has not joined yet.
    Joining,
    /// An older process of its name may still hold a lease.
    Waiting,
    /// It is a member.
    Member,
    /// Its lease has expired, or it has left. After an expiry it joins again under another incarnation.
    Ended,
    /// A newer process of its name takes over. It leaves, and does not join again.
    Superseded,
}

/// A process that is, or wants to be, a member.
#[derive(Debug, Clone)]
pub struct LeaseHolder {
    info: MemberInfo,
    nonce: u64,
    /// The last incarnation of its name that it knows, 0 for none.
    previous_incarnation: Incarnation,
    incarnation: Option<Incarnation>,
    last_report: u64,
    lease: LeaseState,
    membership_state: MembershipState,
    ready: bool,
    /// The readiness that the service has acknowledged.
    reported_ready: bool,
    /// The readiness in the report that is in flight.
    ready_in_flight: bool,
    next_request_at: Time,
    /// When the request in flight was sent.
    requested_at: Option<Time>,
    /// The maximum delay after a failure; unlimited until the duration of leases is known.
    max_backoff: Time,
}

impl LeaseHolder {
    /// Creates a process that wants to join. `nonce` is a random number that is drawn at its start.
    pub fn new(info: MemberInfo, nonce: u64, now: Time) -> LeaseHolder {
        LeaseHolder {
            info,
            nonce,
            previous_incarnation: 0,
            incarnation: None,
            last_report: 0,
            lease: LeaseState::default(),
            membership_state: MembershipState::Joining,
            ready: false,
            reported_ready: false,
            ready_in_flight: false,
            next_request_at: now,
            requested_at: None,
            max_backoff: Time::MAX,
        }
    }

    /// Returns its name.
    pub fn name(&self) -> &str {
        &self.info.name
    }

    /// Returns when its lease expires, on its own clock.
    pub fn lease_expires_at(&self) -> Time {
        self.lease.expires_at()
    }

    /// Returns the state of its membership.
    pub fn membership_state(&self) -> MembershipState {
        self.membership_state
    }

    /// Returns the incarnation under which it may act now, if it holds a lease. Call this right before the action.
    #[must_use]
    pub fn held_incarnation(&self, now: Time) -> Option<Incarnation> {
        self.incarnation.filter(|_| self.lease.is_held(now))
    }

    /// Returns its incarnation, whether or not its lease has expired; 0 if it has none.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation.unwrap_or(0)
    }

    /// Sets whether it can serve. A change is reported with the next request.
    pub fn set_ready(&mut self, ready: bool, now: Time) {
        self.ready = ready;
        if self.reported_ready != ready && self.membership_state == MembershipState::Member {
            self.next_request_at = self.next_request_at.min(now);
        }
    }

    /// Returns when to call [`LeaseHolder::next_request`] next; none while a request is in flight.
    pub fn next_request_at(&self) -> Option<Time> {
        self.requested_at.is_none().then_some(self.next_request_at)
    }

    /// Returns the request to send now, if one is due. Read the clock for `now` before the request is sent.
    pub fn next_request(&mut self, now: Time) -> Option<Request> {
        if self.requested_at.is_some() || now < self.next_request_at {
            return None;
        }
        self.requested_at = Some(now);
        Some(match self.incarnation {
            Some(incarnation) if self.membership_state == MembershipState::Superseded => {
                self.leave_request(incarnation)
            }
            None => self.join_request(),
            Some(incarnation) if self.reported_ready != self.ready && self.lease.is_held(now) => {
                self.report_request(incarnation)
            }
            Some(_) => Request::Renew,
        })
    }

    /// Processes the response to the request in flight, or none if it has timed out. `retry_delay` is the delay after a
    /// failure, in microseconds; `random` is uniform in 0 to 1. Returns whether the request is completed.
    pub fn handle_response(
        &mut self,
        now: Time,
        response: Option<&Response>,
        retry_delay: Time,
        random: f64,
    ) -> bool {
        let Some(sent_at) = self.requested_at.take() else { return false };
        if self.membership_state == MembershipState::Superseded {
            return self.handle_response_to_leave(now, response, retry_delay);
        }
        match response {
            Some(Response::Renewed(terms)) => self.handle_renewal(sent_at, terms, now, random),
            Some(Response::Reply(CommandResult::NotLiving, _)) if self.incarnation.is_some() => {
                // A report is refused after the lease has expired, and also while a newer process of the name waits, which must
                // not be displaced by joining again. The response to a renewal distinguishes the two.
                self.lease.release();
                self.next_request_at = now;
            }
            Some(Response::Expired | Response::Reply(CommandResult::NotLiving, _)) => {
                self.handle_expiry(now, retry_delay);
            }
            Some(Response::Superseded | Response::Refused(Refusal::OlderIncarnation { .. })) => {
                // The newer process waits until this one has left.
                self.lease.release();
                self.membership_state = MembershipState::Superseded;
                self.next_request_at = now;
            }
            Some(Response::Reply(result, _)) => return self.handle_command_result(result, now, retry_delay),
            _ => return self.retry_later(now, retry_delay),
        }
        true
    }

    fn retry_later(&mut self, now: Time, retry_delay: Time) -> bool {
        self.next_request_at = now + retry_delay.min(self.max_backoff);
        false
    }

    /// Returns whether the result completes the request.
    fn handle_command_result(&mut self, result: &CommandResult, now: Time, retry_delay: Time) -> bool {
        // After most results another request is due at once.
        self.next_request_at = now;
        match result {
            CommandResult::Joined { incarnation } => {
                // Only a renewal grants the lease: this may be the repeated result of a join long ago.
                self.incarnation = Some(*incarnation);
                self.membership_state = MembershipState::Member;
                self.reported_ready = false;
            }
            CommandResult::IncarnationMismatch { incarnation } => self.previous_incarnation = *incarnation,
            // A report that seemed lost was applied, and then its repetition arrived.
            CommandResult::Outdated => {}
            CommandResult::Wait { .. } => {
                self.membership_state = MembershipState::Waiting;
                self.next_request_at = now + TAKEOVER_RETRY_INTERVAL;
            }
            // A report does not renew the lease; a renewal follows.
            CommandResult::Done(_) => self.reported_ready = self.ready_in_flight,
            _ => return self.retry_later(now, retry_delay),
        }
        true
    }

    fn handle_response_to_leave(
        &mut self,
        now: Time,
        response: Option<&Response>,
        retry_delay: Time,
    ) -> bool {
        let is_completed = matches!(
            response,
            Some(Response::Reply(..) | Response::Refused(Refusal::OlderIncarnation { .. }))
        );
        self.next_request_at = if is_completed { Time::MAX } else { now + retry_delay };
        is_completed
    }

    fn handle_renewal(&mut self, sent_at: Time, terms: &LeaseTerms, now: Time, random: f64) {
        self.lease.renew(sent_at, terms);
        self.max_backoff = terms.duration / MAX_BACKOFF_DIVISOR;
        let is_report_due = self.reported_ready != self.ready;
        let next = if is_report_due { now } else { sent_at + terms.renewal_delay(random) };
        self.next_request_at = next.max(now);
    }

    /// Handles the end of the lease: the process joins again with a new nonce, so that the service treats it as another process.
    fn handle_expiry(&mut self, now: Time, retry_delay: Time) {
        self.lease.release();
        self.previous_incarnation = self.incarnation.take().unwrap_or(self.previous_incarnation);
        self.membership_state = MembershipState::Ended;
        self.nonce = next_nonce(self.nonce);
        self.next_request_at = now + retry_delay.max(TAKEOVER_RETRY_INTERVAL);
    }

    /// Gives up the lease. Returns the request that reports this, if the process is a member.
    pub fn leave(&mut self) -> Option<Request> {
        self.lease.release();
        let incarnation = self.incarnation.take()?;
        self.membership_state = MembershipState::Ended;
        Some(self.leave_request(incarnation))
    }

    fn join_request(&self) -> Request {
        let MemberInfo { name, site, version, address } = self.info.clone();
        let (nonce, previous_incarnation) = (self.nonce, self.previous_incarnation);
        command_request(Command::Join { name, nonce, previous_incarnation, site, version, address })
    }

    fn report_request(&mut self, incarnation: Incarnation) -> Request {
        self.last_report += 1;
        self.ready_in_flight = self.ready;
        let name = self.info.name.clone();
        command_request(Command::Report { name, incarnation, number: self.last_report, ready: self.ready })
    }

    fn leave_request(&self, incarnation: Incarnation) -> Request {
        command_request(Command::Leave { name: self.info.name.clone(), incarnation })
    }
}

/// Returns the request for a member's command. It needs no session, because each of these commands is safe to repeat.
fn command_request(command: Command) -> Request {
    Request::Command(CommandRequest { session: None, command })
}

/// Returns the next number of Knuth's linear congruential generator (MMIX).
fn next_nonce(nonce: u64) -> u64 {
    nonce.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(1)
}
