//! Why a council process must not go on.

use crate::log::DiskError;

/// Why a process must not go on. After a [failure of the store](NodeError::is_store_failure) it may from what is read back.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NodeError {
    /// The disk.
    #[error("disk: {0}")]
    Disk(#[from] DiskError),
    /// The disk has lost what was acknowledged from it.
    #[error("this disk is older than what it has acknowledged: it ends at {last_index}, and {commit_index} was acknowledged; replace this process by one with an empty disk")]
    OldDisk {
        /// Its last entry.
        last_index: u64,
        /// What the leader knows it had.
        commit_index: u64,
    },
    /// The leader has another entry where this process knows that one was agreed: disks were put back to older copies.
    #[error("the council has another history than this disk: entry {0} was agreed otherwise; were older copies of disks put back? Stop all, and restore from a copy or from this disk")]
    OtherHistory(u64),
    /// The Raft library found something that can't be.
    #[error("raft: {0}")]
    Raft(String),
}

impl NodeError {
    /// The store has failed, and may work again: the node is dropped, with all that it has not handed out, and one is made
    /// from what the store holds then. Any other fault ends the process.
    pub fn is_store_failure(&self) -> bool {
        matches!(self, NodeError::Disk(DiskError::Failed(_)))
    }
}
