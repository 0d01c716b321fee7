//! Processes that come into the council, and that go.

use super::operation::{OperationId, OperationResult};
use super::{Node, NodeError};
use crate::state::Peer;
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2};
use serde::{Deserialize, Serialize};

#[derive(Serialize, Deserialize)]
struct Replacement {
    ticket: u64,
    add: Option<(u64, Peer)>,
    remove: Option<u64>,
}

impl Node {
    pub(super) fn propose_replacement(
        &mut self,
        ticket: OperationId,
        add: Option<(u64, Peer)>,
        remove: Option<u64>,
    ) {
        let mut changes = Vec::new();
        let mut change = |kind, number| {
            let mut single = ConfChangeSingle::default();
            single.set_change_type(kind);
            single.node_id = number;
            changes.push(single);
        };
        if let Some((number, _)) = &add {
            change(ConfChangeType::AddNode, *number);
        }
        if let Some(number) = remove {
            change(ConfChangeType::RemoveNode, number);
        }
        let context = Replacement { ticket: ticket.0, add, remove };
        let mut both = ConfChangeV2::default();
        both.set_changes(changes.into());
        both.set_context(serde_json::to_vec(&context).unwrap_or_default().into());
        let own = [self.node_id(), self.boot_id].map(u64::to_le_bytes).concat();
        if let Err(fault) = self.raft.propose_conf_change(own, both) {
            self.finish(
                ticket,
                OperationResult::Refused(format!("another change is under way, or none can be: {fault}")),
            );
        }
    }

    pub(super) fn apply_membership_change(
        &mut self,
        change: &ConfChangeV2,
    ) -> Result<Option<u64>, NodeError> {
        let conf = self.raft.apply_conf_change(change).map_err(|e| NodeError::Raft(e.to_string()))?;
        self.raft.mut_store().set_conf_state(conf);
        let Ok(context) = serde_json::from_slice::<Replacement>(&change.context) else { return Ok(None) };
        self.state.change_peers(context.add, context.remove);
        Ok(Some(context.ticket))
    }
}
