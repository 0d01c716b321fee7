//! What agents observe of the record servers.
//!
//! Each agent writes one record, and rewrites it only when an observation has changed by at least one step. The fleet uses
//! the upper median over its living agents, so that one agent with a bad link can make a server neither unavailable nor
//! available again.

use crate::records::{self, read_all, RecordError, OBSERVED_PREFIX};
use heronhoist_coordination::state::{Check, MemberStatus, Txn};
use heronhoist_coordination::wire::View;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Missing capacity is rounded up to a multiple of 1 / `CAPACITY_STEPS`, so that a record changes seldom while a server
/// warms up.
const CAPACITY_STEPS: f64 = 4.0;
/// Maximum number of servers in one agent's record, which bounds its size; those with the most missing capacity are kept.
pub const MAX_OBSERVED_SERVERS: usize = 512;

/// What one agent observes of the record servers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObservedServers {
    /// The agent's incarnation.
    pub incarnation: u64,
    /// The fraction of its capacity that a server is missing, by the server's name: 1 if it is unreachable, less while it is
    /// warming up. Servers that miss no capacity are left out.
    #[serde(rename = "lacks")]
    pub missing_capacity: BTreeMap<String, f64>,
}

impl ObservedServers {
    /// Creates the record of an agent of this incarnation. Missing capacity is rounded up to steps, and the number of servers
    /// is bounded by [`MAX_OBSERVED_SERVERS`].
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

    /// Returns the transaction that records these observations for the agent of this name.
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
    (missing.clamp(0.0, 1.0) * CAPACITY_STEPS).ceil() / CAPACITY_STEPS
}

/// Returns the fraction of its capacity that each server is missing, by the server's name: the upper median over the
/// observations of the living agents. Servers that miss no capacity are left out.
///
/// # Errors
/// [`RecordError::Unreadable`] if the record of an agent does not have the expected form.
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

/// Returns the upper median over all observers. An observer that left the server out has observed no missing capacity.
fn upper_median(mut missing: Vec<f64>, observers: usize) -> f64 {
    missing.resize(observers, 0.0);
    missing.sort_by(f64::total_cmp);
    missing[observers / 2]
}
