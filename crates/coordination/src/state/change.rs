//! What has changed, kept for watchers.

use super::member::{is_agent, Member};
use super::{Revision, State, MAX_TXN_OPERATIONS};
use crate::Limits;
use serde::{Deserialize, Serialize};

/// What a watcher is told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// When.
    pub revision: Revision,
    /// What.
    #[serde(rename = "what")]
    pub item: ChangedItem,
}

/// One thing that has changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangedItem {
    /// A record has this value, or is gone.
    Record(String, Option<String>),
    /// A member is so, or is not named any more.
    Member(String, Option<Member>),
}

/// A watcher was away for too long: it has to read all, and go on from there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("changes are only kept from revision {oldest} on; read all, and watch from there")]
pub struct Compacted {
    /// The oldest revision that can be watched from.
    pub oldest: Revision,
}

impl State {
    /// Keeps a change of the present revision for watchers. What is cut off is always whole revisions.
    pub(super) fn record_change(&mut self, what: ChangedItem, bounds: &Limits) {
        let touched = match &what {
            ChangedItem::Record(key, _) => key.split('/').next(),
            ChangedItem::Member(name, _) => is_agent(name).then_some(""),
        };
        if let Some(touched) = touched {
            self.last_changed.insert(touched.into(), self.revision);
        }
        self.changes.push_back(Change { revision: self.revision, item: what });
        while self.changes.len() > bounds.changes.max(MAX_TXN_OPERATIONS) {
            let Some(cut) = self.changes.front().map(|change| change.revision) else { return };
            if cut == self.revision {
                return;
            }
            while self.changes.front().is_some_and(|change| change.revision == cut) {
                self.changes.pop_front();
            }
            self.oldest_watchable = cut;
        }
    }

    /// What has changed after a revision, in order, and up to which revision that is all there is. About `most` changes at a
    /// time; a revision is never cut in two.
    pub fn changes_after(
        &self,
        revision: Revision,
        most: usize,
    ) -> Result<(Vec<Change>, Revision), Compacted> {
        if revision < self.oldest_watchable {
            return Err(Compacted { oldest: self.oldest_watchable });
        }
        let mut after: Vec<Change> = Vec::new();
        for change in self.changes.iter().skip_while(|change| change.revision <= revision) {
            if after.len() >= most && after.last().is_some_and(|last| last.revision != change.revision) {
                let upto = after.last().map_or(revision, |last| last.revision);
                return Ok((after, upto));
            }
            after.push(change.clone());
        }
        Ok((after, self.revision.max(revision)))
    }
}
