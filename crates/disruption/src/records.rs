//! The records that budgets, drains and observations stand in: their keys, and how they are read.

use heronhoist_council::state::Revision;
use heronhoist_council::wire::View;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Where the rules stand.
pub const RULES_KEY: &str = "budget/rules";
/// Below this stand the drains, by the servers' names.
pub const DRAIN_PREFIX: &str = "drain/";
/// Below this stands which drains agents keep, by the agents' names.
pub const ACKNOWLEDGEMENT_PREFIX: &str = "note/quiet/";
/// Below this stands what agents find.
pub const OBSERVED_PREFIX: &str = "site/seen/";

/// A drain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Drawn when it was entered: tells it from earlier ones of the server.
    pub number: u64,
    /// Who entered it.
    pub by: String,
    /// Why.
    pub why: String,
}

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

/// All drains, by server.
pub fn drains(view: &View) -> Result<BTreeMap<String, Drain>, Unreadable> {
    below::<Drain>(view, DRAIN_PREFIX).map(|(name, drain)| Ok((name.to_string(), drain?))).collect()
}
