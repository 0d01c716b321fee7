//! What a council process can tell of itself.

use super::Node;
use crate::state::Standing;
use crate::Time;
use serde::{Deserialize, Serialize};

/// What a process can tell of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standpoint {
    /// Its number.
    pub number: u64,
    /// The term it is in.
    pub term: u64,
    /// The number of the leader it knows, 0 for none.
    pub leader: u64,
    /// The last entry it has.
    pub last: u64,
    /// The last entry that is known to be agreed.
    pub committed: u64,
    /// Entries that it holds behind and after its newest snapshot.
    pub entries: u64,
    /// Bytes of that snapshot.
    pub snapshot_bytes: u64,
    /// Who votes, by number.
    pub voters: Vec<u64>,
    /// How old its state may be at most, in microseconds; none if it can't tell.
    pub age: Option<Time>,
}

impl Node {
    /// What it can tell of itself.
    pub fn standpoint(&self) -> Standpoint {
        let raft = &self.raw.raft;
        let log = raft.store();
        Standpoint {
            number: raft.id,
            term: raft.term,
            leader: raft.leader_id,
            last: log.last(),
            committed: raft.raft_log.committed,
            entries: log.len() as u64,
            snapshot_bytes: log.newest().get_data().len() as u64,
            voters: log.conf().voters.clone(),
            age: self.age(),
        }
    }

    /// How old the state may be at most: since then a majority has confirmed all that was done before.
    pub fn age(&self) -> Option<Time> {
        self.fresh_at.map(|at| self.now.saturating_sub(at))
    }

    /// How long ago a member was last renewed; only a leader knows.
    pub fn silent_for(&self, name: &str) -> Option<Time> {
        self.table.silent_for(name, self.now)
    }

    /// Members whose lease the council counts on.
    pub fn living(&self) -> impl Iterator<Item = (&str, u64)> {
        let living = self.state.members.iter().filter(|(_, member)| member.standing == Standing::Living);
        living.map(|(name, member)| (name.as_str(), member.incarnation))
    }
}
