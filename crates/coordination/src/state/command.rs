//! Commands that change the state, and their results.

use super::member::{JoinRequest, MemberStatus};
use super::record::Txn;
use super::session::Session;
use super::{Revision, State};
use crate::{Incarnation, LimitExceeded, Limits};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;

/// A command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Opens a session for a client that is not a member.
    #[serde(rename = "open")]
    OpenSession,
    /// Makes a process a member.
    Join {
        /// Its name.
        name: String,
        /// A random number that it drew at its start, by which a repeated command is recognised.
        nonce: u64,
        /// The last incarnation of the name that the process knows, 0 for none. The command has no effect if the name has
        /// another one, for instance because the command arrives late.
        #[serde(rename = "after")]
        previous_incarnation: Incarnation,
        /// The site it runs at.
        site: String,
        /// The version of its program.
        version: String,
        /// The address of its operators' interface.
        address: String,
    },
    /// Sets whether a member can serve.
    Report {
        /// Its name.
        name: String,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The number of the report, which increases with each report. A report that arrives late has no effect.
        number: u64,
        /// Whether it can serve.
        ready: bool,
    },
    /// Ends a membership on behalf of the member, which no longer acts on its lease.
    Leave {
        /// Its name.
        name: String,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// Ends memberships, each a name and an incarnation, whose leases have expired on the leader's clock. Only the leader
    /// itself proposes this.
    Expire(Vec<(String, Incarnation)>),
    /// Removes a member that left or expired.
    Forget {
        /// Its name.
        name: String,
    },
    /// Executes a transaction over records.
    Write(Txn),
}

/// A command and its number in the sender's session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandRequest {
    /// The session and the command's number in it. A command that is repeated with the same number is not executed again.
    /// Numbers increase, and the next command is sent only after the result of the previous one.
    pub session: Option<(Revision, u64)>,
    /// The command.
    pub command: Command,
}

/// The result of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandResult {
    /// A session with this number was opened.
    #[serde(rename = "opened")]
    SessionOpened(Revision),
    /// The process is a member.
    Joined {
        /// Its incarnation, which is also the number of its session.
        incarnation: Incarnation,
    },
    /// An older process of the name may still hold a lease. Repeat the command later.
    Wait {
        /// The older process's incarnation.
        incarnation: Incarnation,
    },
    /// The name has another incarnation than the command states. Nothing was done.
    #[serde(rename = "present")]
    IncarnationMismatch {
        /// The name's incarnation, 0 for none.
        incarnation: Incarnation,
    },
    /// The command was executed; its effect is part of the state from this revision on.
    Done(Revision),
    /// A check of the transaction failed. Nothing was done.
    Conflict {
        /// The position of the check, from 0.
        check: usize,
    },
    /// There is no such member, it has another incarnation, or it has left or expired.
    NotLiving,
    /// There is no such session, or it was dropped. Whether the command was executed earlier is unknown.
    NoSession,
    /// A later command of the session, or a later report of the member, was already executed.
    Outdated,
    /// A limit would be exceeded. Nothing was done.
    #[serde(rename = "over")]
    LimitExceeded(LimitExceeded),
    /// The command is invalid, for this reason. Nothing was done.
    Refused(String),
}

impl State {
    /// Executes a command, unless it repeats one that was already executed. Deterministic: the same commands in the same order
    /// have the same results on every process.
    pub fn apply(&mut self, request: &CommandRequest, limits: &Limits) -> CommandResult {
        let Some((session_number, number)) = request.session else {
            return self.execute(&request.command, limits);
        };
        let Some(session) = self.sessions.get(&session_number) else { return CommandResult::NoSession };
        if let Some((last_number, last_result)) = &session.last_command {
            match number.cmp(last_number) {
                Ordering::Equal => return last_result.clone(),
                Ordering::Less => return CommandResult::Outdated,
                Ordering::Greater => {}
            }
        }
        let result = self.execute(&request.command, limits);
        let last_used = self.revision;
        // The command may have ended the session.
        if let Some(session) = self.sessions.get_mut(&session_number) {
            *session = Session { last_command: Some((number, result.clone())), last_used };
        }
        result
    }

    fn execute(&mut self, command: &Command, limits: &Limits) -> CommandResult {
        match command {
            Command::OpenSession => {
                self.revision += 1;
                CommandResult::SessionOpened(self.open_session(limits))
            }
            Command::Join { name, nonce, previous_incarnation, site, version, address } => {
                let (nonce, previous_incarnation) = (*nonce, *previous_incarnation);
                self.join(&JoinRequest { name, nonce, previous_incarnation, site, version, address }, limits)
            }
            Command::Report { name, incarnation, number, ready } => {
                self.report(name, *incarnation, *number, *ready, limits)
            }
            Command::Leave { name, incarnation } => {
                self.end_member(name, *incarnation, MemberStatus::Left, limits)
            }
            Command::Expire(leases) => {
                for (name, incarnation) in leases {
                    self.end_member(name, *incarnation, MemberStatus::Expired, limits);
                }
                CommandResult::Done(self.revision)
            }
            Command::Forget { name } => self.forget_member(name, limits),
            Command::Write(txn) => self.execute_transaction(txn, limits),
        }
    }
}
