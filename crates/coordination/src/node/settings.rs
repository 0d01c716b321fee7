//! What a council process goes by.

use crate::lease::Terms;
use crate::{Bounds, Time};

/// What a process goes by. All processes of a council must agree in `terms` and `bounds`.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Of leases.
    pub terms: Terms,
    /// What there may be at most.
    pub bounds: Bounds,
    /// [`Node::tick`](super::Node::tick) is called so often.
    pub tick: Time,
    /// A follower that hears nothing for one to two times so many ticks stands for election.
    pub election_ticks: usize,
    /// A leader sends heartbeats every so many ticks.
    pub heartbeat_ticks: usize,
    /// Questions that have no answer by then are answered as unknown.
    pub answer_within: Time,
    /// How often a process makes sure how fresh its state is.
    pub fresh_every: Time,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            terms: Terms { term: 9_000_000, drift: 0.01 },
            bounds: Bounds::default(),
            tick: 50_000,
            election_ticks: 10,
            heartbeat_ticks: 2,
            answer_within: 5_000_000,
            fresh_every: 1_000_000,
        }
    }
}
