//! The latest changes, which are kept for watches.

use super::member::{is_agent, Member};
use super::record::AGENTS_SCOPE;
use super::validation::kind_of;
use super::{Revision, State, MAX_TXN_OPERATIONS};
use crate::Limits;
use serde::{Deserialize, Serialize};

/// A change of one record or member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Its revision, which all writes of one transaction share.
    pub revision: Revision,
    /// The changed record or member.
    #[serde(rename = "what")]
    pub item: ChangedItem,
}

/// A changed record or member, with its new value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangedItem {
    /// The value of the record with this key; none if it was deleted.
    Record(String, Option<String>),
    /// The member of this name; none if it was forgotten.
    Member(String, Option<Member>),
}

/// Some changes after the requested revision are no longer kept: read the state, and watch from its revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("only changes after revision {oldest} are kept; read the state, and watch from its revision")]
pub struct Compacted {
    /// The oldest revision that can be watched from.
    pub oldest: Revision,
}

impl State {
    /// Records a change at the current revision.
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

    /// Drops the oldest changes until no more than `max` are left. Drops all changes of a revision together, and never those of
    /// the current one.
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

    /// Returns about `max` changes after a revision, in order, and the revision up to which they are complete. The changes of
    /// one revision are never split.
    ///
    /// # Errors
    ///
    /// Fails if some changes after this revision are no longer kept.
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
