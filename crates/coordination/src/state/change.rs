//! The latest changes, which are kept for watchers.

use super::member::{is_agent, Member};
use super::record::AGENTS_SCOPE;
use super::validation::kind_of;
use super::{Revision, State, MAX_TXN_OPERATIONS};
use crate::Limits;
use serde::{Deserialize, Serialize};

/// A change of one record or member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Its revision. The writes of one transaction share one.
    pub revision: Revision,
    /// What has changed.
    #[serde(rename = "what")]
    pub item: ChangedItem,
}

/// What has changed, with its new value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangedItem {
    /// The value of the record with this key; none if it was deleted.
    Record(String, Option<String>),
    /// The member of this name; none if it was forgotten.
    Member(String, Option<Member>),
}

/// The changes after a revision are not all kept any more: read everything, and watch from there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("changes are only kept from revision {oldest} on; read all, and watch from there")]
pub struct Compacted {
    /// The oldest revision that can be watched from.
    pub oldest: Revision,
}

impl State {
    /// Keeps a change at the current revision for watchers.
    pub(super) fn record_change(&mut self, item: ChangedItem, limits: &Limits) {
        let scope = match &item {
            ChangedItem::Record(key, _) => Some(kind_of(key)),
            ChangedItem::Member(name, _) => is_agent(name).then_some(AGENTS_SCOPE),
        };
        if let Some(scope) = scope {
            self.last_changed.insert(scope.into(), self.revision);
        }
        self.changes.push_back(Change { revision: self.revision, item });
        self.drop_oldest_changes(limits.changes.max(MAX_TXN_OPERATIONS));
    }

    /// Drops the oldest changes down to a number, always whole revisions, and never the current one.
    fn drop_oldest_changes(&mut self, max: usize) {
        while self.changes.len() > max {
            let Some(oldest) = self.changes.front().map(|change| change.revision) else { return };
            if oldest == self.revision {
                return;
            }
            while self.changes.front().is_some_and(|change| change.revision == oldest) {
                self.changes.pop_front();
            }
            self.oldest_watchable = oldest;
        }
    }

    /// The changes after a revision, in order, and the revision up to which they are complete. Returns about `max` changes;
    /// those of one revision stay together.
    ///
    /// # Errors
    ///
    /// Fails if not all changes after this revision are kept any more.
    pub fn changes_after(
        &self,
        revision: Revision,
        max: usize,
    ) -> Result<(Vec<Change>, Revision), Compacted> {
        if revision < self.oldest_watchable {
            return Err(Compacted { oldest: self.oldest_watchable });
        }
        let mut changes: Vec<Change> = Vec::new();
        for change in self.changes.iter().skip_while(|change| change.revision <= revision) {
            let last_revision = changes.last().map(|last| last.revision);
            if let Some(up_to) = last_revision.filter(|last| *last != change.revision) {
                if changes.len() >= max {
                    return Ok((changes, up_to));
                }
            }
            changes.push(change.clone());
        }
        Ok((changes, self.revision.max(revision)))
    }
}
