//! Sessions: a command that is asked again is carried out once.

use super::command::CommandResult;
use super::{Revision, State};
use crate::Limits;
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Session {
    /// The number and reply of its last command.
    #[serde(rename = "last")]
    pub(super) last_command: Option<(u64, CommandResult)>,
    #[serde(rename = "used")]
    pub(super) last_used: Revision,
}

impl State {
    /// A session under the present revision. The one that was silent longest makes room; members' never do.
    pub(super) fn open_session(&mut self, bounds: &Limits) -> u64 {
        if self.sessions.len() >= bounds.sessions {
            let mut spare = self.sessions.iter().filter(|(number, _)| !self.is_session_of_member(**number));
            let oldest =
                spare.by_ref().min_by_key(|(_, session)| session.last_used).map(|(number, _)| *number);
            oldest.map(|number| self.sessions.remove(&number));
        }
        self.sessions.insert(self.revision, Session { last_command: None, last_used: self.revision });
        self.revision
    }

    fn is_session_of_member(&self, session: u64) -> bool {
        self.members.values().any(|member| member.incarnation == session && member.status.may_hold_lease())
    }
}
