//! The contexts that a node attaches to its proposals and read requests, to recognise them when the Raft library returns them.

use super::Node;
use crate::NodeId;

/// The sender of a proposal or read request: a node and its last start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Origin {
    pub(super) node_id: NodeId,
    pub(super) boot_id: u64,
}

impl Origin {
    /// Encodes both numbers, little-endian, in 16 bytes.
    pub(super) fn encode(self) -> Vec<u8> {
        [self.node_id, self.boot_id].map(u64::to_le_bytes).concat()
    }

    /// Returns the context of the proposal or read request with this number.
    pub(super) fn with_number(self, number: u64) -> RequestContext {
        RequestContext { origin: self, number }
    }
}

/// The context of a proposal or read request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RequestContext {
    pub(super) origin: Origin,
    /// The number of the operation or read round.
    pub(super) number: u64,
}

impl RequestContext {
    /// Encodes the origin and the number, little-endian, in 24 bytes.
    pub(super) fn encode(self) -> Vec<u8> {
        let Origin { node_id, boot_id } = self.origin;
        [node_id, boot_id, self.number].map(u64::to_le_bytes).concat()
    }

    /// Decodes a context. Returns none if there are too few bytes.
    pub(super) fn decode(bytes: &[u8]) -> Option<RequestContext> {
        let read_u64 = |at: usize| Some(u64::from_le_bytes(bytes.get(at..at + 8)?.try_into().ok()?));
        let origin = Origin { node_id: read_u64(0)?, boot_id: read_u64(8)? };
        Some(RequestContext { origin, number: read_u64(16)? })
    }
}

impl Node {
    pub(super) fn origin(&self) -> Origin {
        Origin { node_id: self.node_id(), boot_id: self.boot_id }
    }
}
