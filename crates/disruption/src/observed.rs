//! What agents observe of the record servers.
//!
//! Each agent keeps one record of its own, and writes it only when what it observes has changed by a step. The fleet goes by
//! the upper median over its living agents, so that one agent with a bad link neither makes a server unavailable nor
//! available again.

use crate::records::{self, read_all, RecordError, OBSERVED_PREFIX};
use heronhoist_coordination::state::{Check, MemberStatus, Txn};
use heronhoist_coordination::wire::View;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Missing capacity is rounded up to a multiple of 1 / this, so that a record changes seldom while a server warms up.
const STEPS: f64 = 4.0;
/// Maximum number of servers in one agent's record, which bounds its size; those with the most missing capacity are kept.
pub const MAX_OBSERVED_SERVERS: usize = 512;

/// What one agent observes of the record servers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObservedServers {
    /// The agent's incarnation.
    pub incarnation: u64,
    /// The fraction of its capacity that a server is missing, by the server's name: 1 if it cannot be reached, less while it
    /// is warming up. Servers with their whole capacity are left out.
    #[serde(rename = "lacks")]
    pub missing_capacity: BTreeMap<String, f64>,
}

impl ObservedServers {
    /// What an agent of this incarnation observes, rounded up to steps and bounded by [`MAX_OBSERVED_SERVERS`].
    #[must_use]
    pub fn new(
        incarnation: u64,
        missing_capacity: impl IntoIterator<Item = (String, f64)>,
    ) -> ObservedServers {
        let mut servers: Vec<(String, f64)> = missing_capacity
            .into_iter()
            .map(|(server, missing)| (server, round_up_to_step(missing)))
            .filter(|(_, missing)| *missing > 0.0)
            .collect();
        servers.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        servers.truncate(MAX_OBSERVED_SERVERS);
        ObservedServers { incarnation, missing_capacity: servers.into_iter().collect() }
    }

    /// The transaction by which the agent of this name records what it observes.
    ///
    /// # Errors
    /// [`RecordError::Unwritable`] if the record cannot be expressed as JSON.
    pub fn to_transaction(&self, agent: &str) -> Result<Txn, RecordError> {
        Ok(Txn {
            checks: vec![Check::Living(agent.into(), self.incarnation)],
            writes: vec![records::put(format!("{OBSERVED_PREFIX}{agent}"), self)?],
        })
    }
}

fn round_up_to_step(missing: f64) -> f64 {
    (missing.clamp(0.0, 1.0) * STEPS).ceil() / STEPS
}

/// The fraction of its capacity that each server is missing as the fleet sees it, by the server's name: the upper median
/// over what the living agents observe. Servers with their whole capacity are left out.
///
/// # Errors
/// [`RecordError::Unreadable`] if one of the agents' records is not of the expected form.
pub fn missing_capacity(view: &View) -> Result<BTreeMap<String, f64>, RecordError> {
    let mut observations: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    let mut observers = 0;
    for (agent, observed) in read_all::<ObservedServers>(view, OBSERVED_PREFIX) {
        let observed = observed?;
        if !is_of_living_agent(view, agent, observed.incarnation) {
            continue;
        }
        observers += 1;
        for (server, missing) in observed.missing_capacity {
            observations.entry(server).or_default().push(missing);
        }
    }
    let medians =
        observations.into_iter().map(|(server, missing)| (server, upper_median(missing, observers)));
    Ok(medians.filter(|(_, missing)| *missing > 0.0).collect())
}

fn is_of_living_agent(view: &View, agent: &str, incarnation: u64) -> bool {
    view.members
        .get(agent)
        .is_some_and(|member| member.incarnation == incarnation && member.status == MemberStatus::Living)
}

/// The upper median over all observers; those that left the server out observe its whole capacity.
fn upper_median(mut missing: Vec<f64>, observers: usize) -> f64 {
    missing.resize(observers, 0.0);
    missing.sort_by(f64::total_cmp);
    missing[observers / 2]
}
