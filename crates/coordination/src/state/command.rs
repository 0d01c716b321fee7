//! What can be asked of the state, and what comes of it.

use super::change::ChangedItem;
use super::member::MemberStatus;
use super::record::Txn;
use super::session::Session;
use super::{Revision, State};
use crate::{LimitExceeded, Limits};
use serde::{Deserialize, Serialize};

/// What can be asked of the state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// A session for somebody who is no member.
    Open,
    /// A process takes part.
    Join {
        /// Its name.
        name: String,
        /// Drawn at its start.
        nonce: u64,
        /// The incarnation that the name has as far as this process knows, 0 for none: a joining that comes late, when the name
        /// has gone on to another, does nothing.
        #[serde(rename = "after")]
        follows: u64,
        /// Where it stands.
        site: String,
        /// Of the program.
        version: String,
        /// Where its operators call.
        address: String,
    },
    /// A member can serve, or can't.
    Report {
        /// Its name.
        name: String,
        /// Which one.
        incarnation: u64,
        /// Grows with each report: one that comes late does nothing.
        number: u64,
        /// It can.
        ready: bool,
    },
    /// A member goes, and rests nothing on its lease any more.
    Leave {
        /// Its name.
        name: String,
        /// Which one.
        incarnation: u64,
    },
    /// Leases that have run out by the leader's count; only a leader may say so.
    Expire(Vec<(String, u64)>),
    /// A member that has ended is not named any more.
    Forget {
        /// Its name.
        name: String,
    },
    /// Records change.
    Write(Txn),
}

/// A command, and which one of its sender's it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandRequest {
    /// The sender's session and the command's number in it; a repeat under the same number is not carried out again.
    /// Numbers grow; none is sent before the one before it was answered.
    pub session: Option<(u64, u64)>,
    /// What is asked.
    pub command: Command,
}

/// What came of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandResult {
    /// The number of the new session.
    Opened(u64),
    /// The process takes part under this incarnation, which is the number of its session too.
    Joined {
        /// Its incarnation.
        incarnation: u64,
    },
    /// A process of this name may still hold its lease; ask again.
    Wait {
        /// Its incarnation.
        incarnation: u64,
    },
    /// The name has this incarnation, 0 for none, and not the one that was named; nothing was done.
    Present {
        /// Its incarnation.
        incarnation: u64,
    },
    /// Done, at this revision.
    Done(Revision),
    /// Not done: this check, counted from 0, did not hold.
    Conflict {
        /// Which.
        check: usize,
    },
    /// There is no such member or incarnation, or it has ended.
    NotLiving,
    /// There is no such session, or it made room for others. Whether an earlier command was carried out is unknown.
    NoSession,
    /// A later command of this session has been answered.
    Outdated,
    /// Something is too large or too many.
    Over(LimitExceeded),
    /// It can't be understood, and why.
    Refused(String),
}

impl State {
    /// Carries out a command. The same commands in the same order have the same outcome everywhere.
    pub fn apply(&mut self, call: &CommandRequest, bounds: &Limits) -> CommandResult {
        let Some((session, number)) = call.session else { return self.execute(&call.command, bounds) };
        let Some(known) = self.sessions.get(&session) else { return CommandResult::NoSession };
        if let Some((last, reply)) = &known.last_command {
            match number.cmp(last) {
                std::cmp::Ordering::Equal => return reply.clone(),
                std::cmp::Ordering::Less => return CommandResult::Outdated,
                std::cmp::Ordering::Greater => {}
            }
        }
        let reply = self.execute(&call.command, bounds);
        let last_used = self.revision;
        if let Some(session) = self.sessions.get_mut(&session) {
            *session = Session { last_command: Some((number, reply.clone())), last_used };
        }
        reply
    }

    fn execute(&mut self, command: &Command, bounds: &Limits) -> CommandResult {
        match command {
            Command::Open => {
                self.revision += 1;
                CommandResult::Opened(self.open_session(bounds))
            }
            Command::Join { name, nonce, follows: after, site, version, address } => {
                self.join(name, (*nonce, *after), [site, version, address], bounds)
            }
            Command::Report { name, incarnation, number, ready } => {
                let Some(member) = self.living_member(name, *incarnation) else {
                    return CommandResult::NotLiving;
                };
                let (is, at) = (member.ready, member.revision);
                if member.last_report >= *number {
                    return CommandResult::Outdated;
                }
                if let Some(member) = self.members.get_mut(name) {
                    member.last_report = *number;
                }
                match is == *ready {
                    true => CommandResult::Done(at),
                    false => self.update_member(name, bounds, |member| member.ready = *ready),
                }
            }
            Command::Leave { name, incarnation } => {
                self.end_member(name, *incarnation, MemberStatus::Left, bounds)
            }
            Command::Expire(leases) => {
                for (name, incarnation) in leases {
                    self.end_member(name, *incarnation, MemberStatus::Expired, bounds);
                }
                CommandResult::Done(self.revision)
            }
            Command::Forget { name } => match self.members.get(name) {
                Some(member) if !member.status.may_hold_lease() => {
                    self.members.remove(name);
                    self.revision += 1;
                    self.record_change(ChangedItem::Member(name.clone(), None), bounds);
                    CommandResult::Done(self.revision)
                }
                Some(_) => CommandResult::Refused(format!("{name} has not ended")),
                None => CommandResult::NotLiving,
            },
            Command::Write(txn) => self.execute_transaction(txn, bounds),
        }
    }
}
