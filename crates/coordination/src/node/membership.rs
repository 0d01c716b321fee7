//! Adds processes to the cluster and removes them.

use super::operation::{OperationId, OperationResult};
use super::{Node, NodeError};
use crate::state::Peer;
use crate::NodeId;
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2};
use serde::{Deserialize, Serialize};

/// The context of a configuration change in the log, as JSON.
#[derive(Serialize, Deserialize)]
struct PeerChange {
    #[serde(rename = "ticket")]
    operation_id: u64,
    add: Option<(NodeId, Peer)>,
    remove: Option<NodeId>,
}

fn single_change(kind: ConfChangeType, node_id: NodeId) -> ConfChangeSingle {
    let mut change = ConfChangeSingle::default();
    change.set_change_type(kind);
    change.node_id = node_id;
    change
}

impl Node {
    /// Proposes to add a process, to remove one, or both in one step.
    pub(super) fn propose_peer_change(
        &mut self,
        id: OperationId,
        add: Option<(NodeId, Peer)>,
        remove: Option<NodeId>,
    ) {
        let added = add.iter().map(|(node_id, _)| single_change(ConfChangeType::AddNode, *node_id));
        let removed = remove.iter().map(|node_id| single_change(ConfChangeType::RemoveNode, *node_id));
        let changes: Vec<ConfChangeSingle> = added.chain(removed).collect();
        let context = PeerChange { operation_id: id.0, add, remove };
        let mut change = ConfChangeV2::default();
        change.set_changes(changes.into());
        change.set_context(serde_json::to_vec(&context).unwrap_or_default().into());
        if let Err(error) = self.raw_node.propose_conf_change(self.origin().encode(), change) {
            let reason = format!("the processes of the cluster cannot be changed now, for instance because another change is in progress: {error}");
            self.finish(id, OperationResult::Refused(reason));
        }
    }

    /// Applies a committed change. Returns the id of the operation with which its proposer submitted it.
    pub(super) fn apply_peer_change(
        &mut self,
        change: &ConfChangeV2,
    ) -> Result<Option<OperationId>, NodeError> {
        let conf_state = self.raw_node.apply_conf_change(change)?;
        self.raw_node.mut_store().set_conf_state(conf_state);
        let Ok(context) = serde_json::from_slice::<PeerChange>(&change.context) else { return Ok(None) };
        self.state.change_peers(context.add, context.remove);
        Ok(Some(OperationId(context.operation_id)))
    }
}
