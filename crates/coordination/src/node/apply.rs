//! Applies committed entries to the state.

use super::context::RequestContext;
use super::operation::{OperationId, OperationResult};
use super::{Node, NodeError};
use crate::state::{Command, CommandRequest, CommandResult};
use protobuf::Message as _;
use raft::eraftpb::{ConfChangeV2, Entry, EntryType};

impl Node {
    /// Applies committed entries, then finishes the read rounds that waited for them.
    pub(super) fn apply_entries(&mut self, entries: Vec<Entry>) -> Result<(), NodeError> {
        for entry in entries {
            self.applied_index = entry.index;
            match entry.get_entry_type() {
                // A new leader proposes an empty entry.
                EntryType::EntryNormal if entry.data.is_empty() => {}
                EntryType::EntryNormal => self.apply_command(&entry)?,
                // A node proposes only changes of the second version.
                EntryType::EntryConfChange | EntryType::EntryConfChangeV2 => {
                    self.apply_conf_change(&entry)?;
                }
            }
        }
        self.finish_rounds();
        Ok(())
    }

    fn apply_command(&mut self, entry: &Entry) -> Result<(), NodeError> {
        let request: CommandRequest = serde_json::from_slice(&entry.data)
            .map_err(|e| NodeError::UnreadableEntry { index: entry.index, reason: e.to_string() })?;
        let result = self.state.apply(&request, &self.settings.limits);
        if let (Command::Join { name, .. }, CommandResult::Joined { incarnation }) =
            (&request.command, &result)
        {
            self.leases.record_join(name, *incarnation, self.now);
        }
        let context = RequestContext::decode(&entry.context);
        if let Some(context) = context.filter(|context| context.origin == self.origin()) {
            self.finish(OperationId(context.number), OperationResult::Reply(result));
        }
        Ok(())
    }

    fn apply_conf_change(&mut self, entry: &Entry) -> Result<(), NodeError> {
        let change = ConfChangeV2::parse_from_bytes(&entry.data).unwrap_or_default();
        let operation = self.apply_peer_change(&change)?;
        if let Some(id) = operation.filter(|_| entry.context == self.origin().encode()) {
            self.finish(id, OperationResult::PeersChanged);
        }
        Ok(())
    }
}
