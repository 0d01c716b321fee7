//! A member's side: it joins, renews its lease, says whether it can serve, and knows whether it may rest anything on its
//! lease. One request at a time; whatever fails is asked again.

use crate::lease::{LeaseState, LeaseTerms};
use crate::state::{Command, CommandRequest, CommandResult};
use crate::wire::{Refusal, Request, Response};
use crate::Time;

/// A process that waits for an older incarnation's lease to end asks again after this.
const TAKEOVER_RETRY_INTERVAL: Time = 300_000;

/// Who takes part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberInfo {
    /// Its name.
    pub name: String,
    /// Where it stands.
    pub site: String,
    /// Of the program.
    pub version: String,
    /// Where its operators call.
    pub address: String,
}

/// How it stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionState {
    /// It has not been taken in yet.
    Joining,
    /// An older incarnation of this name may still hold its lease.
    Waiting,
    /// It takes part.
    Member,
    /// Its lease has ended by the council's count; it joins anew, under a new incarnation.
    Ended,
    /// A newer process has its name: it has left, and does not join again.
    Displaced,
}

/// A member.
#[derive(Debug, Clone)]
pub struct LeaseHolder {
    info: MemberInfo,
    nonce: u64,
    /// The incarnation that the name has as far as it knows.
    follows: u64,
    incarnation: Option<u64>,
    last_report: u64,
    lease: LeaseState,
    session: SessionState,
    ready: bool,
    reported_ready: bool,
    /// What the report under way says.
    ready_in_flight: bool,
    next_request_at: Time,
    requested_at: Option<Time>,
    /// The longest pause after a failure, once the term is known: a lease must not run out between two tries.
    max_backoff: Time,
}

impl LeaseHolder {
    /// A process that wants to take part. `nonce` is drawn at its start.
    pub fn new(about: MemberInfo, nonce: u64, now: Time) -> LeaseHolder {
        LeaseHolder {
            info: about,
            nonce,
            follows: 0,
            incarnation: None,
            last_report: 0,
            lease: LeaseState::default(),
            session: SessionState::Joining,
            ready: false,
            reported_ready: false,
            ready_in_flight: false,
            next_request_at: now,
            requested_at: None,
            max_backoff: Time::MAX,
        }
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.info.name
    }

    /// When its belief ends, by its own clock.
    pub fn lease_expires_at(&self) -> Time {
        self.lease.expires_at()
    }

    /// How it stands.
    pub fn session(&self) -> SessionState {
        self.session
    }

    /// The incarnation that it may rest something on at this moment, if any. To be asked at the last moment before.
    pub fn held_incarnation(&self, now: Time) -> Option<u64> {
        self.incarnation.filter(|_| self.lease.is_held(now))
    }

    /// Its incarnation, whether or not its lease has ended; 0 before it has one.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.unwrap_or(0)
    }

    /// It can serve, or can't.
    pub fn set_ready(&mut self, ready: bool, now: Time) {
        self.ready = ready;
        if self.reported_ready != ready && self.session == SessionState::Member {
            self.next_request_at = self.next_request_at.min(now);
        }
    }

    /// When [`LeaseHolder::next_request`] wants to be called, unless a request is under way.
    pub fn next_request_at(&self) -> Option<Time> {
        self.requested_at.is_none().then_some(self.next_request_at)
    }

    /// What to ask now, if it is time. The clock is read here, before anything is sent.
    pub fn next_request(&mut self, now: Time) -> Option<Request> {
        if self.requested_at.is_some() || now < self.next_request_at {
            return None;
        }
        self.requested_at = Some(now);
        Some(match self.incarnation {
            Some(incarnation) if self.session == SessionState::Displaced => {
                let command = Command::Leave { name: self.info.name.clone(), incarnation };
                Request::Command(CommandRequest { session: None, command })
            }
            None => {
                let MemberInfo { name, site, version, address } = self.info.clone();
                let (nonce, after) = (self.nonce, self.follows);
                let command = Command::Join { name, nonce, follows: after, site, version, address };
                Request::Command(CommandRequest { session: None, command })
            }
            Some(incarnation) if self.reported_ready != self.ready && self.lease.is_held(now) => {
                let name = self.info.name.clone();
                self.last_report += 1;
                let (number, ready) = (self.last_report, self.ready);
                self.ready_in_flight = ready;
                let command = Command::Report { name, incarnation, number, ready };
                Request::Command(CommandRequest { session: None, command })
            }
            Some(_) => Request::Renew,
        })
    }

    /// The answer, or none by the deadline. `again` is the pause that the caller keeps after a failure; `draw` is 0 to 1.
    /// True if the question is settled.
    pub fn handle_response(
        &mut self,
        now: Time,
        response: Option<&Response>,
        again: Time,
        draw: f64,
    ) -> bool {
        let Some(asked) = self.requested_at.take() else { return false };
        if self.session == SessionState::Displaced {
            let settled = matches!(
                response,
                Some(Response::Reply(..) | Response::Refused(Refusal::OlderIncarnation { .. }))
            );
            self.next_request_at = if settled { Time::MAX } else { now + again };
            return settled;
        }
        match response {
            Some(Response::Reply(CommandResult::Joined { incarnation }, _)) => {
                self.incarnation = Some(*incarnation);
                self.session = SessionState::Member;
                self.reported_ready = false;
                // Only a renewal grants the lease: this answer may be a repeat, of a joining long ago.
                self.next_request_at = now;
            }
            Some(Response::Reply(CommandResult::Present { incarnation }, _)) => {
                self.follows = *incarnation;
                self.next_request_at = now;
            }
            // A report of this process that was thought lost came after all, and then this one's copy.
            Some(Response::Reply(CommandResult::Outdated, _)) => self.next_request_at = now,
            Some(Response::Reply(CommandResult::Wait { .. }, _)) => {
                self.session = SessionState::Waiting;
                self.next_request_at = now + TAKEOVER_RETRY_INTERVAL;
            }
            Some(Response::Reply(CommandResult::Done(_), _)) => {
                self.reported_ready = self.ready_in_flight;
                // The lease is as it was: it is renewed next.
                self.next_request_at = now;
            }
            Some(Response::Renewed(terms)) => self.handle_renewal(asked, terms, now, draw),
            Some(Response::Ended | Response::Reply(CommandResult::NotLiving, _)) => {
                self.lease.release();
                self.follows = self.incarnation.take().unwrap_or(self.follows);
                self.session = SessionState::Ended;
                // Another process, as far as the council is concerned.
                self.nonce = self.nonce.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(1);
                self.next_request_at = now + again.max(TAKEOVER_RETRY_INTERVAL);
            }
            Some(Response::Displaced | Response::Refused(Refusal::OlderIncarnation { .. })) => {
                // The newer one waits for nothing but this one's word.
                self.lease.release();
                self.session = SessionState::Displaced;
                self.next_request_at = now;
            }
            _ => {
                self.next_request_at = now + again.min(self.max_backoff);
                return false;
            }
        }
        true
    }

    fn handle_renewal(&mut self, asked: Time, terms: &LeaseTerms, now: Time, draw: f64) {
        self.lease.renew(asked, terms);
        self.max_backoff = terms.duration / 8;
        self.next_request_at =
            if self.reported_ready == self.ready { asked + terms.renewal_delay(draw) } else { now }.max(now);
    }

    /// It goes, and rests nothing on its lease from now on.
    pub fn leave(&mut self) -> Option<Request> {
        self.lease.release();
        let incarnation = self.incarnation.take()?;
        self.session = SessionState::Ended;
        let command = Command::Leave { name: self.info.name.clone(), incarnation };
        Some(Request::Command(CommandRequest { session: None, command }))
    }
}
