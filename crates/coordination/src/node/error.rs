//! Why a node must not go on.

use crate::log::DiskError;
use crate::LogIndex;
use std::sync::Arc;

/// Why a node must not go on. After a [failure of the store](NodeError::is_store_failure) a new node may be made from what the
/// store returns; any other error ends the process.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum NodeError {
    /// The disk failed, or its data is unusable.
    #[error("disk: {0}")]
    Disk(#[from] DiskError),
    /// The disk lost entries that this process had acknowledged.
    #[error("this disk is older than what it has acknowledged: it ends at {last_index}, and {acknowledged_index} was acknowledged; replace this process by one with an empty disk")]
    StaleDisk {
        /// The last entry on the disk.
        last_index: LogIndex,
        /// The last entry that the leader knows this process to have had.
        acknowledged_index: LogIndex,
    },
    /// The leader has another entry at this index than the one that this process knows to be committed: disks were replaced by
    /// older copies.
    #[error("the council has another history than this disk: entry {0} was agreed otherwise; were older copies of disks put back? Stop all, and restore from a copy or from this disk")]
    DivergedHistory(LogIndex),
    /// A committed entry cannot be decoded.
    #[error("raft: entry {index} can't be read: {reason}")]
    UnreadableEntry {
        /// Its index.
        index: LogIndex,
        /// What the decoder reports.
        reason: String,
    },
    /// The Raft library reports an error.
    #[error("raft: {0}")]
    Raft(#[source] Arc<raft::Error>),
}

impl From<raft::Error> for NodeError {
    fn from(error: raft::Error) -> Self {
        NodeError::Raft(Arc::new(error))
    }
}

impl NodeError {
    /// Whether the store failed and may work again later. The node is dropped then, with everything that it has not handed
    /// out, and a new one is made from what the store returns.
    #[must_use]
    pub fn is_store_failure(&self) -> bool {
        matches!(self, NodeError::Disk(DiskError::Failed(_)))
    }
}
