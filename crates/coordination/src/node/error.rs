//! Errors that stop a node.

use crate::log::DiskError;
use crate::LogIndex;
use std::sync::Arc;

/// An error that stops a node. After a [failure of the store](NodeError::is_store_failure) a new node may be created from the
/// stored data; after any other error the process must end.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum NodeError {
    /// The disk failed, or its data is unusable.
    #[error("disk: {0}")]
    Disk(#[from] DiskError),
    /// The disk lost entries that this process had acknowledged.
    #[error("this disk is older than what it has acknowledged: its log ends at entry {last_index}, and entry {acknowledged_index} was acknowledged; replace this process by one with an empty disk")]
    StaleDisk {
        /// The last entry on the disk.
        last_index: LogIndex,
        /// The last entry that this process had acknowledged to the leader.
        acknowledged_index: LogIndex,
    },
    /// The leader's entry at this index differs from the one that this process knows to be committed: disks were replaced by
    /// older copies.
    #[error("the council has another history than this disk: committed entry {0} differs, probably because older copies of disks were put back; stop all processes, and restore from a backup or from this disk")]
    DivergedHistory(LogIndex),
    /// A committed entry cannot be decoded.
    #[error("raft: entry {index} can't be read: {reason}")]
    UnreadableEntry {
        /// Its index.
        index: LogIndex,
        /// The error of the decoder.
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
    /// Returns whether the store failed and may work again later. The caller then drops the node, with any output that it has
    /// not returned, and creates a new one from the stored data.
    #[must_use]
    pub fn is_store_failure(&self) -> bool {
        matches!(self, NodeError::Disk(DiskError::Failed(_)))
    }
}
