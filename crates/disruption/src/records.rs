//! The coordination records of budgets, drains and observations: their keys, and how they are read and written.
//!
//! Every record is one JSON object. Agents of different versions read each other's records, so the names in the records are
//! fixed; serde's `rename` maps a field that has another name in the code.

use heronhoist_coordination::state::{Revision, Write};
use heronhoist_coordination::wire::View;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The key of the [rules](crate::rules::Rules).
pub const RULES_KEY: &str = "budget/rules";
/// The key of a [`Drain`] is this prefix and the server's name.
pub const DRAIN_PREFIX: &str = "drain/";
/// The key of a [`DrainAcknowledgement`](crate::drain::DrainAcknowledgement) is this prefix and the agent's name.
pub const ACKNOWLEDGEMENT_PREFIX: &str = "note/quiet/";
/// The key of the [`ObservedServers`](crate::observed::ObservedServers) of an agent is this prefix and the agent's name.
pub const OBSERVED_PREFIX: &str = "site/seen/";

/// The record of one server's drain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// A random number that distinguishes this drain from earlier drains of the same server.
    #[serde(rename = "number")]
    pub id: u64,
    /// The operator who requested the drain.
    #[serde(rename = "by")]
    pub requested_by: String,
    /// The reason that the operator gave.
    #[serde(rename = "why")]
    pub reason: String,
}

/// A record that cannot be read or written.
#[derive(Debug, Clone, thiserror::Error)]
pub enum RecordError {
    /// The record's value does not have the expected form: another version wrote it, or somebody edited it manually.
    #[error("the record {key} can't be read: {source}")]
    Unreadable {
        /// The record's key.
        key: String,
        /// The fault in the value.
        source: Arc<serde_json::Error>,
    },
    /// The value cannot be expressed as JSON.
    #[error("the record {key} can't be written: {source}")]
    Unwritable {
        /// The record's key.
        key: String,
        /// The fault in the value.
        source: Arc<serde_json::Error>,
    },
}

/// Two errors are equal if they have the same message, which contains the record's key.
impl PartialEq for RecordError {
    fn eq(&self, other: &RecordError) -> bool {
        self.to_string() == other.to_string()
    }
}

impl Eq for RecordError {}

/// A record's value, and the revision at which it was last written.
pub(crate) struct Versioned<T> {
    pub(crate) value: T,
    pub(crate) revision: Revision,
}

/// Reads one record; `None` if no record has this key.
///
/// # Errors
/// [`RecordError::Unreadable`] if the record's value does not have the expected form.
pub(crate) fn read<T: DeserializeOwned>(view: &View, key: &str) -> Result<Option<Versioned<T>>, RecordError> {
    let Some(record) = view.records.get(key) else { return Ok(None) };
    let value = parse(key, &record.value)?;
    Ok(Some(Versioned { value, revision: record.revision }))
}

/// Reads all records whose keys begin with a prefix, and returns each with the rest of its key.
pub(crate) fn read_all<'view, T: DeserializeOwned>(
    view: &'view View,
    prefix: &'view str,
) -> impl Iterator<Item = (&'view str, Result<T, RecordError>)> {
    view.records
        .range(prefix.to_string()..)
        .take_while(move |(key, _)| key.starts_with(prefix))
        .map(move |(key, record)| (&key[prefix.len()..], parse(key, &record.value)))
}

/// Returns the write that stores a value under a key.
///
/// # Errors
/// [`RecordError::Unwritable`] if the value cannot be expressed as JSON.
pub(crate) fn put<T: Serialize>(key: String, value: &T) -> Result<Write, RecordError> {
    match serde_json::to_string(value) {
        Ok(text) => Ok(Write::Put(key, text)),
        Err(source) => Err(RecordError::Unwritable { key, source: Arc::new(source) }),
    }
}

fn parse<T: DeserializeOwned>(key: &str, text: &str) -> Result<T, RecordError> {
    serde_json::from_str(text)
        .map_err(|source| RecordError::Unreadable { key: key.into(), source: Arc::new(source) })
}

/// Returns the key of a server's drain.
pub(crate) fn drain_key(server: &str) -> String {
    format!("{DRAIN_PREFIX}{server}")
}

/// Returns all drains, by the names of the servers.
///
/// # Errors
/// [`RecordError::Unreadable`] if the record of a drain does not have the expected form.
pub fn drains(view: &View) -> Result<BTreeMap<String, Drain>, RecordError> {
    read_all::<Drain>(view, DRAIN_PREFIX).map(|(server, drain)| Ok((server.to_string(), drain?))).collect()
}
