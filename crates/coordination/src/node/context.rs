//! What a node attaches to its proposals and read requests, to recognise them when they return.

use super::Node;
use crate::NodeId;

/// The sender of a proposal or read request: a node since its last start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Origin {
    pub(super) node_id: NodeId,
    pub(super) boot_id: u64,
}

impl Origin {
    /// 16 bytes: both numbers, little-endian.
    pub(super) fn encode(self) -> Vec<u8> {
        [self.node_id, self.boot_id].map(u64::to_le_bytes).concat()
    }

    /// The context of a proposal or read request of this sender with this number.
    pub(super) fn with_number(self, number: u64) -> RequestContext {
        RequestContext { origin: self, number }
    }
}

/// The context of a proposal or read request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RequestContext {
    pub(super) origin: Origin,
    /// The operation or the round that it belongs to.
    pub(super) number: u64,
}

impl RequestContext {
    /// 24 bytes: the origin and the number, little-endian.
    pub(super) fn encode(self) -> Vec<u8> {
        let Origin { node_id, boot_id } = self.origin;
        [node_id, boot_id, self.number].map(u64::to_le_bytes).concat()
    }

    /// Decodes a context; none if the bytes are too short to be one.
    pub(super) fn decode(bytes: &[u8]) -> Option<RequestContext> {
        let number = |at: usize| Some(u64::from_le_bytes(bytes.get(at..at + 8)?.try_into().ok()?));
        let origin = Origin { node_id: number(0)?, boot_id: number(8)? };
        Some(RequestContext { origin, number: number(16)? })
    }
}

impl Node {
    pub(super) fn origin(&self) -> Origin {
        Origin { node_id: self.node_id(), boot_id: self.boot_id }
    }
}
