//! Records under revisions, and the transactions that change them.

use super::change::ChangedItem;
use super::command::CommandResult;
use super::{invalid_key, Revision, State, MAX_TXN_OPERATIONS};
use crate::{LimitExceeded, Limits};
use serde::{Deserialize, Serialize};

/// A value under a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The value, as its kind words it.
    pub value: String,
    /// The revision of its last write.
    pub revision: Revision,
}

/// What must hold for a transaction to be carried out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Check {
    /// There is no record of this key.
    Absent(String),
    /// The record was last written then.
    At(String, Revision),
    /// The member of this name and incarnation is living.
    Living(String, u64),
    /// The lease of this name and incarnation has ended by the council's count.
    Ended(String, u64),
    /// Nothing of this has changed after a revision: what was counted over all of it still stands.
    Unchanged(ChangeScope, Revision),
}

/// What changes as one, as far as [`Check::Unchanged`] goes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeScope {
    /// Who of the agents takes part, with which incarnation, and whether each can serve. Agents are the members without a
    /// colon in their names; wrappers and controllers, which have one, come and go all the time.
    Agents,
    /// All records of a kind.
    Kind(String),
}

/// What a transaction changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Write {
    /// This is the record's value from now on.
    Put(String, String),
    /// There is no such record from now on.
    Delete(String),
}

/// Checks and writes that are carried out as one, or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// All must hold.
    pub checks: Vec<Check>,
    /// Then all are done.
    pub writes: Vec<Write>,
}

impl State {
    fn is_met(&self, check: &Check) -> bool {
        match check {
            Check::Absent(key) => !self.records.contains_key(key),
            Check::At(key, revision) => {
                self.records.get(key).is_some_and(|record| record.revision == *revision)
            }
            Check::Living(name, incarnation) => self.living_member(name, *incarnation).is_some(),
            Check::Unchanged(of, since) => {
                let of = match of {
                    ChangeScope::Agents => "",
                    ChangeScope::Kind(kind) => kind,
                };
                self.last_changed.get(of).is_none_or(|touched| touched <= since)
            }
            Check::Ended(name, incarnation) => !self
                .members
                .get(name)
                .is_some_and(|member| member.incarnation == *incarnation && member.status.may_hold_lease()),
        }
    }

    pub(super) fn execute_transaction(&mut self, txn: &Txn, bounds: &Limits) -> CommandResult {
        if txn.checks.len() > MAX_TXN_OPERATIONS || txn.writes.len() > MAX_TXN_OPERATIONS {
            return CommandResult::Over(LimitExceeded::new("checks and writes", MAX_TXN_OPERATIONS));
        }
        if let Some(check) = txn.checks.iter().position(|check| !self.is_met(check)) {
            return CommandResult::Conflict { check };
        }
        // All that can be wrong is looked for before anything is changed.
        let (mut records, mut bytes) = (self.records.len(), self.record_bytes);
        for (place, write) in txn.writes.iter().enumerate() {
            let key = match write {
                Write::Put(key, _) | Write::Delete(key) => key,
            };
            let twice = txn.writes[..place]
                .iter()
                .any(|other| matches!(other, Write::Put(other, _) | Write::Delete(other) if other == key));
            if let Some(fault) = invalid_key(key).or(twice.then(|| format!("key {key:?}: written twice"))) {
                return CommandResult::Refused(fault);
            }
            if let Some(old) = self.records.get(key) {
                bytes -= key.len() + old.value.len();
                records -= 1;
            }
            if let Write::Put(_, value) = write {
                if value.len() > bounds.record_bytes {
                    return CommandResult::Over(LimitExceeded::new("record_bytes", bounds.record_bytes));
                }
                bytes += key.len() + value.len();
                records += 1;
            }
        }
        // What is over a bound may still be made smaller.
        if records > bounds.records && records > self.records.len() {
            return CommandResult::Over(LimitExceeded::new("records", bounds.records));
        }
        if bytes > bounds.state_bytes && bytes > self.record_bytes {
            return CommandResult::Over(LimitExceeded::new("state_bytes", bounds.state_bytes));
        }
        self.record_bytes = bytes;
        self.revision += 1;
        let revision = self.revision;
        for write in &txn.writes {
            let (key, value) = match write {
                Write::Put(key, value) => {
                    self.records.insert(key.clone(), Record { value: value.clone(), revision });
                    (key, Some(value.clone()))
                }
                Write::Delete(key) => {
                    self.records.remove(key);
                    (key, None)
                }
            };
            self.record_change(ChangedItem::Record(key.clone(), value), bounds);
        }
        CommandResult::Done(revision)
    }

    /// Bytes of all records.
    pub fn record_bytes(&self) -> usize {
        self.record_bytes
    }
}
