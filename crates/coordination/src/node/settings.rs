//! What a council process goes by.

use crate::lease::LeaseTerms;
use crate::{Limits, Time};

/// What a process goes by. All processes of a council must agree in `terms` and `bounds`.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// Of leases.
    pub lease_terms: LeaseTerms,
    /// What there may be at most.
    pub limits: Limits,
    /// [`Node::tick`](super::Node::tick) is called so often.
    pub tick_interval: Time,
    /// A follower that hears nothing for one to two times so many ticks stands for election.
    pub election_ticks: usize,
    /// A leader sends heartbeats every so many ticks.
    pub heartbeat_ticks: usize,
    /// Questions that have no answer by then are answered as unknown.
    pub operation_timeout: Time,
    /// How often a process makes sure how fresh its state is.
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
