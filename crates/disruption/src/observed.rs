//! What agents find of the record servers. Each agent keeps one record of its own, and changes it only when what it finds has
//! changed by a step; what the fleet goes by is the middle of what its living agents say, so that one agent with a bad link
//! takes no server out of the count, nor back into it.

use crate::records::{below, Unreadable, OBSERVED_PREFIX};
use heronhoist_council::state::{Check, Standing, Txn, Write};
use heronhoist_council::wire::View;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Parts that a server's lack is told in: a record changes that seldom while a server warms up.
const STEPS: f64 = 4.0;
/// Servers that one agent tells of at most; those that lack most come first.
pub const MAX_OBSERVED_SERVERS: usize = 512;

/// What an agent finds: what each server lacks of what it can do, from 0 (nothing) to 1 (it can't be reached). Servers that
/// lack nothing are left out.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObservedServers {
    /// The agent's incarnation.
    pub incarnation: u64,
    /// What servers lack, by their names.
    pub lacks: BTreeMap<String, f64>,
}

impl ObservedServers {
    /// In the steps that are told.
    pub fn new(incarnation: u64, lacks: impl IntoIterator<Item = (String, f64)>) -> ObservedServers {
        let stepped = |lack: f64| (lack.clamp(0.0, 1.0) * STEPS).ceil() / STEPS;
        let mut lacks: Vec<(String, f64)> =
            lacks.into_iter().map(|(name, lack)| (name, stepped(lack))).collect();
        lacks.retain(|(_, lack)| *lack > 0.0);
        lacks.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        lacks.truncate(MAX_OBSERVED_SERVERS);
        ObservedServers { incarnation, lacks: lacks.into_iter().collect() }
    }

    /// What an agent writes down of this.
    pub fn to_transaction(&self, agent: &str) -> Txn {
        let value = serde_json::to_string(self).unwrap_or_default();
        Txn {
            checks: vec![Check::Living(agent.into(), self.incarnation)],
            writes: vec![Write::Put(format!("{OBSERVED_PREFIX}{agent}"), value)],
        }
    }
}

/// What each server lacks by the fleet's count: the upper median of what the living agents say. Servers that lack nothing are
/// left out.
pub fn missing_capacity(view: &View) -> Result<BTreeMap<String, f64>, Unreadable> {
    let mut said: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    let mut agents = 0;
    for (agent, seen) in below::<ObservedServers>(view, OBSERVED_PREFIX) {
        let seen = seen?;
        let member = view.members.get(agent);
        if !member.is_some_and(|m| m.incarnation == seen.incarnation && m.standing == Standing::Living) {
            continue;
        }
        agents += 1;
        for (server, lack) in seen.lacks {
            said.entry(server).or_default().push(lack);
        }
    }
    let middle = |mut lacks: Vec<f64>| {
        lacks.resize(agents, 0.0);
        lacks.sort_by(f64::total_cmp);
        lacks[agents / 2]
    };
    Ok(said
        .into_iter()
        .map(|(server, lacks)| (server, middle(lacks)))
        .filter(|(_, lack)| *lack > 0.0)
        .collect())
}
