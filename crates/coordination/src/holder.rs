//! A member's side: it joins, renews its lease, says whether it can serve, and knows whether it may rest anything on its
//! lease. One request at a time; whatever fails is asked again.

use crate::lease::{Held, Terms};
use crate::state::{Call, Command, Reply};
use crate::wire::{Refusal, Request, Response};
use crate::Time;

/// A process that waits for an older incarnation's lease to end asks again after this.
const WAIT: Time = 300_000;

/// Who takes part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct About {
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
pub enum Stand {
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
pub struct Holder {
    about: About,
    nonce: u64,
    /// The incarnation that the name has as far as it knows.
    after: u64,
    incarnation: Option<u64>,
    reports: u64,
    held: Held,
    stand: Stand,
    ready: bool,
    reported: bool,
    /// What the report under way says.
    telling: bool,
    due: Time,
    asked: Option<Time>,
    /// The longest pause after a failure, once the term is known: a lease must not run out between two tries.
    pause_most: Time,
}

impl Holder {
    /// A process that wants to take part. `nonce` is drawn at its start.
    pub fn new(about: About, nonce: u64, now: Time) -> Holder {
        Holder {
            about,
            nonce,
            after: 0,
            incarnation: None,
            reports: 0,
            held: Held::default(),
            stand: Stand::Joining,
            ready: false,
            reported: false,
            telling: false,
            due: now,
            asked: None,
            pause_most: Time::MAX,
        }
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.about.name
    }

    /// When its belief ends, by its own clock.
    pub fn until(&self) -> Time {
        self.held.until()
    }

    /// How it stands.
    pub fn stand(&self) -> Stand {
        self.stand
    }

    /// The incarnation that it may rest something on at this moment, if any. To be asked at the last moment before.
    pub fn holds(&self, now: Time) -> Option<u64> {
        self.incarnation.filter(|_| self.held.holds(now))
    }

    /// Its incarnation, whether or not its lease has ended; 0 before it has one.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.unwrap_or(0)
    }

    /// It can serve, or can't.
    pub fn set_ready(&mut self, ready: bool, now: Time) {
        self.ready = ready;
        if self.reported != ready && self.stand == Stand::Member {
            self.due = self.due.min(now);
        }
    }

    /// When [`Holder::ask`] wants to be called, unless a request is under way.
    pub fn due(&self) -> Option<Time> {
        self.asked.is_none().then_some(self.due)
    }

    /// What to ask now, if it is time. The clock is read here, before anything is sent.
    pub fn ask(&mut self, now: Time) -> Option<Request> {
        if self.asked.is_some() || now < self.due {
            return None;
        }
        self.asked = Some(now);
        Some(match self.incarnation {
            Some(incarnation) if self.stand == Stand::Displaced => {
                let command = Command::Leave { name: self.about.name.clone(), incarnation };
                Request::Command(Call { session: None, command })
            }
            None => {
                let About { name, site, version, address } = self.about.clone();
                let (nonce, after) = (self.nonce, self.after);
                let command = Command::Join { name, nonce, after, site, version, address };
                Request::Command(Call { session: None, command })
            }
            Some(incarnation) if self.reported != self.ready && self.held.holds(now) => {
                let name = self.about.name.clone();
                self.reports += 1;
                let (number, ready) = (self.reports, self.ready);
                self.telling = ready;
                let command = Command::Report { name, incarnation, number, ready };
                Request::Command(Call { session: None, command })
            }
            Some(_) => Request::Renew,
        })
    }

    /// The answer, or none by the deadline. `again` is the pause that the caller keeps after a failure; `draw` is 0 to 1.
    /// True if the question is settled.
    pub fn answered(&mut self, now: Time, response: Option<&Response>, again: Time, draw: f64) -> bool {
        let Some(asked) = self.asked.take() else { return false };
        if self.stand == Stand::Displaced {
            let settled = matches!(
                response,
                Some(Response::Reply(..) | Response::Refused(Refusal::OlderIncarnation { .. }))
            );
            self.due = if settled { Time::MAX } else { now + again };
            return settled;
        }
        match response {
            Some(Response::Reply(Reply::Joined { incarnation }, _)) => {
                self.incarnation = Some(*incarnation);
                self.stand = Stand::Member;
                self.reported = false;
                // Only a renewal grants the lease: this answer may be a repeat, of a joining long ago.
                self.due = now;
            }
            Some(Response::Reply(Reply::Present { incarnation }, _)) => {
                self.after = *incarnation;
                self.due = now;
            }
            // A report of this process that was thought lost came after all, and then this one's copy.
            Some(Response::Reply(Reply::Outdated, _)) => self.due = now,
            Some(Response::Reply(Reply::Wait { .. }, _)) => {
                self.stand = Stand::Waiting;
                self.due = now + WAIT;
            }
            Some(Response::Reply(Reply::Done(_), _)) => {
                self.reported = self.telling;
                // The lease is as it was: it is renewed next.
                self.due = now;
            }
            Some(Response::Renewed(terms)) => self.renewed(asked, terms, now, draw),
            Some(Response::Ended | Response::Reply(Reply::NotLiving, _)) => {
                self.held.end();
                self.after = self.incarnation.take().unwrap_or(self.after);
                self.stand = Stand::Ended;
                // Another process, as far as the council is concerned.
                self.nonce = self.nonce.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(1);
                self.due = now + again.max(WAIT);
            }
            Some(Response::Displaced | Response::Refused(Refusal::OlderIncarnation { .. })) => {
                // The newer one waits for nothing but this one's word.
                self.held.end();
                self.stand = Stand::Displaced;
                self.due = now;
            }
            _ => {
                self.due = now + again.min(self.pause_most);
                return false;
            }
        }
        true
    }

    fn renewed(&mut self, asked: Time, terms: &Terms, now: Time, draw: f64) {
        self.held.granted(asked, terms);
        self.pause_most = terms.term / 8;
        self.due = if self.reported == self.ready { asked + terms.renew_after(draw) } else { now }.max(now);
    }

    /// It goes, and rests nothing on its lease from now on.
    pub fn leave(&mut self) -> Option<Request> {
        self.held.end();
        let incarnation = self.incarnation.take()?;
        self.stand = Stand::Ended;
        let command = Command::Leave { name: self.about.name.clone(), incarnation };
        Some(Request::Command(Call { session: None, command }))
    }
}
