//! Sessions: a command that is asked again is carried out once.

use super::command::Reply;
use super::{Revision, State};
use crate::Bounds;
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Session {
    /// The number and reply of its last command.
    pub(super) last: Option<(u64, Reply)>,
    pub(super) used: Revision,
}

impl State {
    /// A session under the present revision. The one that was silent longest makes room; members' never do.
    pub(super) fn open(&mut self, bounds: &Bounds) -> u64 {
        if self.sessions.len() >= bounds.sessions {
            let mut spare = self.sessions.iter().filter(|(number, _)| !self.is_members(**number));
            let oldest = spare.by_ref().min_by_key(|(_, session)| session.used).map(|(number, _)| *number);
            oldest.map(|number| self.sessions.remove(&number));
        }
        self.sessions.insert(self.revision, Session { last: None, used: self.revision });
        self.revision
    }

    fn is_members(&self, session: u64) -> bool {
        self.members.values().any(|member| member.incarnation == session && member.standing.may_hold())
    }
}
