//! Records with revisions, and the transactions that change them.

use super::change::ChangedItem;
use super::command::CommandResult;
use super::validation::{validate_key, InvalidInput};
use super::{Revision, State, MAX_TXN_OPERATIONS};
use crate::{Incarnation, LimitExceeded, Limits};
use serde::{Deserialize, Serialize};

/// The key of [`ChangeScope::Agents`] in `last_changed`; no kind of record has an empty name.
pub(super) const AGENTS_SCOPE: &str = "";

/// A record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The value, in the format of its kind.
    pub value: String,
    /// The revision of its last write.
    pub revision: Revision,
}

/// A precondition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Check {
    /// There is no record with this key.
    Absent(String),
    /// The record with this key was last written at this revision.
    At(String, Revision),
    /// The member of this name has this incarnation, and its lease is held.
    Living(String, Incarnation),
    /// This incarnation of the name no longer holds a lease.
    Ended(String, Incarnation),
    /// Nothing in this scope has changed after the revision, so that a count over the whole scope is still correct.
    Unchanged(ChangeScope, Revision),
}

/// A set of members or records whose changes [`Check::Unchanged`] detects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeScope {
    /// The members that are agents, their incarnations and their readiness. Other members, which [`is_agent`] distinguishes,
    /// are not included, because they join and leave often.
    ///
    /// [`is_agent`]: super::is_agent
    Agents,
    /// All records of a kind.
    Kind(String),
}

impl ChangeScope {
    fn key(&self) -> &str {
        match self {
            ChangeScope::Agents => AGENTS_SCOPE,
            ChangeScope::Kind(kind) => kind,
        }
    }
}

/// A write of one record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Write {
    /// Sets the value of the record with this key.
    Put(String, String),
    /// Deletes the record with this key.
    Delete(String),
}

impl Write {
    fn key(&self) -> &str {
        match self {
            Write::Put(key, _) | Write::Delete(key) => key,
        }
    }
}

/// Writes that are executed together if all checks pass; otherwise none is executed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// The preconditions.
    pub checks: Vec<Check>,
    /// The writes, each to a different key.
    pub writes: Vec<Write>,
}

/// Why a transaction is not executed.
enum TxnError {
    Conflict { check: usize },
    Invalid(InvalidInput),
    LimitExceeded(LimitExceeded),
}

impl From<InvalidInput> for TxnError {
    fn from(invalid: InvalidInput) -> Self {
        TxnError::Invalid(invalid)
    }
}

impl From<TxnError> for CommandResult {
    fn from(error: TxnError) -> Self {
        match error {
            TxnError::Conflict { check } => CommandResult::Conflict { check },
            TxnError::Invalid(invalid) => CommandResult::Refused(invalid.to_string()),
            TxnError::LimitExceeded(limit) => CommandResult::LimitExceeded(limit),
        }
    }
}

fn limit_exceeded(limit: &str, max: usize) -> TxnError {
    TxnError::LimitExceeded(LimitExceeded::new(limit, max))
}

impl State {
    fn is_met(&self, check: &Check) -> bool {
        match check {
            Check::Absent(key) => !self.records.contains_key(key),
            Check::At(key, revision) => {
                self.records.get(key).is_some_and(|record| record.revision == *revision)
            }
            Check::Living(name, incarnation) => self.living_member(name, *incarnation).is_some(),
            Check::Ended(name, incarnation) => !self.may_hold_lease(name, *incarnation),
            Check::Unchanged(scope, since) => {
                self.last_changed.get(scope.key()).is_none_or(|changed| changed <= since)
            }
        }
    }

    pub(super) fn execute_transaction(&mut self, txn: &Txn, limits: &Limits) -> CommandResult {
        // All checks are made before the first change, so that a failed transaction changes nothing.
        match self.check_transaction(txn, limits) {
            Ok(record_bytes) => self.record_bytes = record_bytes,
            Err(error) => return error.into(),
        }
        self.revision += 1;
        for write in &txn.writes {
            self.execute_write(write, limits);
        }
        CommandResult::Done(self.revision)
    }

    fn execute_write(&mut self, write: &Write, limits: &Limits) {
        let revision = self.revision;
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
        self.record_change(ChangedItem::Record(key.clone(), value), limits);
    }

    /// Checks the preconditions, the keys and the limits. Returns the size of all records after the transaction, in bytes.
    fn check_transaction(&self, txn: &Txn, limits: &Limits) -> Result<usize, TxnError> {
        if txn.checks.len() > MAX_TXN_OPERATIONS || txn.writes.len() > MAX_TXN_OPERATIONS {
            return Err(limit_exceeded("checks and writes", MAX_TXN_OPERATIONS));
        }
        if let Some(check) = txn.checks.iter().position(|check| !self.is_met(check)) {
            return Err(TxnError::Conflict { check });
        }
        let (mut records, mut bytes) = (self.records.len(), self.record_bytes);
        for (position, write) in txn.writes.iter().enumerate() {
            let key = write.key();
            validate_key(key)?;
            if txn.writes[..position].iter().any(|earlier| earlier.key() == key) {
                return Err(InvalidInput::DuplicateKey(key.into()).into());
            }
            if let Some(existing) = self.records.get(key) {
                bytes -= key.len() + existing.value.len();
                records -= 1;
            }
            if let Write::Put(_, value) = write {
                if value.len() > limits.record_bytes {
                    return Err(limit_exceeded("record_bytes", limits.record_bytes));
                }
                bytes += key.len() + value.len();
                records += 1;
            }
        }
        // A state that exceeds a limit, because the limit was lowered, may still shrink.
        if records > limits.records && records > self.records.len() {
            return Err(limit_exceeded("records", limits.records));
        }
        if bytes > limits.state_bytes && bytes > self.record_bytes {
            return Err(limit_exceeded("state_bytes", limits.state_bytes));
        }
        Ok(bytes)
    }

    /// Returns the size of all keys and values, in bytes.
    pub fn record_bytes(&self) -> usize {
        self.record_bytes
    }
}
