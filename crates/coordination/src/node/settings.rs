//! The settings of a coordination process.

use crate::lease::LeaseTerms;
use crate::{Limits, Time};

/// The settings of a coordination process. `lease_terms` and `limits` must be the same on all processes of a cluster.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// The duration of leases and the maximum clock drift.
    pub lease_terms: LeaseTerms,
    /// Upper limits of the state and of operations.
    pub limits: Limits,
    /// The interval at which [`Node::tick`](super::Node::tick) is called, in microseconds.
    pub tick_interval: Time,
    /// A follower that receives nothing from a leader for one to two times this many ticks starts an election.
    pub election_ticks: usize,
    /// The interval of a leader's heartbeats, in ticks.
    pub heartbeat_ticks: usize,
    /// An operation without a result after this many microseconds ends with an unknown outcome.
    pub operation_timeout: Time,
    /// The interval at which a process confirms the age of its state, in microseconds.
    pub freshness_interval: Time,
}

impl Default for NodeSettings {
    fn default() -> Self {
        NodeSettings {
            lease_terms: LeaseTerms { duration: 9_000_000, max_clock_drift: 0.01 },
            limits: Limits::default(),
            tick_interval: 50_000,
            election_ticks: 10,
            heartbeat_ticks: 2,
            operation_timeout: 5_000_000,
            freshness_interval: 1_000_000,
        }
    }
}
