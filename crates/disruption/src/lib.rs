//! What may be out of a fleet at a time, and how a record server is taken out by all agents together. Free of I/O and of clocks:
//! each function reads the council's records as they were read, and says what is to be written under which checks.
//!
//! - [`budget`]: how much may be out, and what is; a permit or a drain counts against it in the step that takes it.
//! - [`drain`]: drains of record servers, who has become quiet, and when a server may stop.
//! - [`seen`]: what each agent finds of the servers, so that one that is down or cold counts as out.

pub mod budget;
pub mod drain;
pub mod seen;

use heronhoist_council::state::Revision;
use heronhoist_council::wire::View;
use serde::de::DeserializeOwned;

/// A record can't be read: another version wrote it, or somebody by hand.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the record {key} can't be read: {why}")]
pub struct Unreadable {
    /// Its key.
    pub key: String,
    /// Why.
    pub why: String,
}

/// A record as its kind words it, and its revision; none if there is none.
pub(crate) fn read<T: DeserializeOwned>(view: &View, key: &str) -> Result<Option<(T, Revision)>, Unreadable> {
    let Some(record) = view.records.get(key) else { return Ok(None) };
    match serde_json::from_str(&record.value) {
        Ok(value) => Ok(Some((value, record.revision))),
        Err(why) => Err(Unreadable { key: key.into(), why: why.to_string() }),
    }
}

/// All records below a prefix, by the rest of their keys.
pub(crate) fn below<'v, T: DeserializeOwned>(
    view: &'v View,
    prefix: &'v str,
) -> impl Iterator<Item = (&'v str, Result<T, Unreadable>)> {
    let records = view.records.range(prefix.to_string()..);
    let records = records.take_while(move |(key, _)| key.starts_with(prefix));
    records.map(move |(key, record)| {
        let value = serde_json::from_str(&record.value);
        let value = value.map_err(|why| Unreadable { key: key.clone(), why: why.to_string() });
        (&key[prefix.len()..], value)
    })
}
