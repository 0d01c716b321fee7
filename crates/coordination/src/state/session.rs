//! Sessions: a command that is repeated with the same number is executed once.

use super::command::CommandResult;
use super::{Revision, State};
use crate::Limits;
use serde::{Deserialize, Serialize};

/// The last command of a client, by which a repetition is recognised.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Session {
    /// Its number and its result.
    #[serde(rename = "last")]
    pub(super) last_command: Option<(u64, CommandResult)>,
    /// The revision at which the session was last used.
    #[serde(rename = "used")]
    pub(super) last_used: Revision,
}

impl State {
    /// Opens a session, whose number is the current revision. At the limit, the least recently used session of a non-member
    /// is dropped.
    pub(super) fn open_session(&mut self, limits: &Limits) -> Revision {
        if self.sessions.len() >= limits.sessions {
            if let Some(number) = self.least_recently_used_session() {
                self.sessions.remove(&number);
            }
        }
        self.sessions.insert(self.revision, Session { last_command: None, last_used: self.revision });
        self.revision
    }

    fn least_recently_used_session(&self) -> Option<Revision> {
        let droppable = self.sessions.iter().filter(|(number, _)| !self.is_session_of_member(**number));
        let oldest = droppable.min_by_key(|(_, session)| session.last_used);
        oldest.map(|(number, _)| *number)
    }

    /// Returns whether a session belongs to a member that may hold a lease. It has the number of the member's incarnation.
    fn is_session_of_member(&self, number: Revision) -> bool {
        self.members.values().any(|member| member.incarnation == number && member.status.may_hold_lease())
    }
}
