//! What a council process can tell of itself.

use super::Node;
use crate::state::MemberStatus;
use crate::Time;
use serde::{Deserialize, Serialize};

/// What a process can tell of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Its number.
    #[serde(rename = "number")]
    pub node_id: u64,
    /// The term it is in.
    pub term: u64,
    /// The number of the leader it knows, 0 for none.
    pub leader: u64,
    /// The last entry it has.
    #[serde(rename = "last")]
    pub last_index: u64,
    /// The last entry that is known to be agreed.
    #[serde(rename = "committed")]
    pub commit_index: u64,
    /// Entries that it holds behind and after its newest snapshot.
    #[serde(rename = "entries")]
    pub log_entries: u64,
    /// Bytes of that snapshot.
    pub snapshot_bytes: u64,
    /// Who votes, by number.
    pub voters: Vec<u64>,
    /// How old its state may be at most, in microseconds; none if it can't tell.
    #[serde(rename = "age")]
    pub max_staleness: Option<Time>,
}

impl Node {
    /// What it can tell of itself.
    pub fn status(&self) -> NodeStatus {
        let raft = &self.raft.raft;
        let log = raft.store();
        NodeStatus {
            node_id: raft.id,
            term: raft.term,
            leader: raft.leader_id,
            last_index: log.last_entry_index(),
            commit_index: raft.raft_log.committed,
            log_entries: log.len() as u64,
            snapshot_bytes: log.latest_snapshot().get_data().len() as u64,
            voters: log.conf_state().voters.clone(),
            max_staleness: self.max_staleness(),
        }
    }

    /// How old the state may be at most: since then a majority has confirmed all that was done before.
    pub fn max_staleness(&self) -> Option<Time> {
        self.fresh_as_of.map(|at| self.now.saturating_sub(at))
    }

    /// How long ago a member was last renewed; only a leader knows.
    pub fn time_since_renewal(&self, name: &str) -> Option<Time> {
        self.leases.time_since_renewal(name, self.now)
    }

    /// Members whose lease the council counts on.
    pub fn living_members(&self) -> impl Iterator<Item = (&str, u64)> {
        let living = self.state.members.iter().filter(|(_, member)| member.status == MemberStatus::Living);
        living.map(|(name, member)| (name.as_str(), member.incarnation))
    }
}
