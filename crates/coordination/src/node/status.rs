//! The status of a node.

use super::Node;
use crate::state::MemberStatus;
use crate::{Incarnation, LogIndex, NodeId, Term, Time};
use serde::{Deserialize, Serialize};

/// The status of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Its id.
    #[serde(rename = "number")]
    pub node_id: NodeId,
    /// Its Raft term.
    pub term: Term,
    /// The leader that it knows, 0 for none.
    pub leader: NodeId,
    /// The index of the last entry of its log.
    #[serde(rename = "last")]
    pub last_index: LogIndex,
    /// The index of the last entry that it knows to be committed.
    #[serde(rename = "committed")]
    pub commit_index: LogIndex,
    /// The number of log entries that it keeps.
    #[serde(rename = "entries")]
    pub log_entries: u64,
    /// The size of its latest snapshot's data, in bytes.
    pub snapshot_bytes: u64,
    /// The voting nodes.
    pub voters: Vec<NodeId>,
    /// The maximum age of its state in microseconds; none if it is unknown.
    #[serde(rename = "age")]
    pub max_staleness: Option<Time>,
}

impl Node {
    /// Returns the status of this node.
    pub fn status(&self) -> NodeStatus {
        let raft = &self.raw_node.raft;
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

    /// Returns the maximum age of the state in microseconds: it contains all changes that completed before that. Returns none
    /// until a majority has confirmed a read round.
    pub fn max_staleness(&self) -> Option<Time> {
        self.fresh_as_of.map(|as_of| self.now.saturating_sub(as_of))
    }

    /// Returns the microseconds since a member last renewed its lease. Only the leader knows this.
    pub fn time_since_renewal(&self, name: &str) -> Option<Time> {
        self.leases.time_since_renewal(name, self.now)
    }

    /// Returns the members whose leases are held, each as a name and an incarnation.
    pub fn living_members(&self) -> impl Iterator<Item = (&str, Incarnation)> {
        let living = self.state.members.iter().filter(|(_, member)| member.status == MemberStatus::Living);
        living.map(|(name, member)| (name.as_str(), member.incarnation))
    }
}
