//! Processes the output of the Raft library: stores it, then sends messages and applies committed entries.

use super::operation::{OperationId, OperationResult};
use super::{decode_state, Node, NodeError};
use crate::log::{encode, Disk, LogPosition, WriteBatch};
use crate::{NodeId, Time};
use raft::eraftpb::{Message, MessageType, Snapshot};
use raft::Ready;

/// The output of [`Node::advance`].
#[derive(Debug, Default)]
pub struct Output {
    /// Encoded Raft messages, each with its receiver.
    pub messages: Vec<(NodeId, Vec<u8>)>,
    /// Results of operations.
    pub results: Vec<(OperationId, OperationResult)>,
}

impl Node {
    /// Processes all input since the last call: stores what must be durable, then returns the messages to send and the results
    /// of operations.
    ///
    /// # Errors
    ///
    /// After an error nothing is sent, and every later call fails with the same error. The caller ends the process or, if
    /// [the store failed](NodeError::is_store_failure), creates a new node.
    pub fn advance(&mut self, disk: &mut dyn Disk, now: Time) -> Result<Output, NodeError> {
        if let Some(failure) = &self.failure {
            return Err(failure.clone());
        }
        let output = self.advance_until_idle(disk, now);
        self.failure = output.as_ref().err().cloned();
        output
    }

    fn advance_until_idle(&mut self, disk: &mut dyn Disk, now: Time) -> Result<Output, NodeError> {
        self.now = self.now.max(now);
        let mut output = Output::default();
        self.start_round();
        while self.raw_node.has_ready() {
            self.handle_ready(disk, &mut output)?;
            self.observe_leadership();
            self.start_round();
        }
        self.observe_leadership();
        self.compact(disk)?;
        output.results.append(&mut self.results);
        output.messages.append(&mut self.extra_messages);
        Ok(output)
    }

    fn handle_ready(&mut self, disk: &mut dyn Disk, output: &mut Output) -> Result<(), NodeError> {
        let mut ready = self.raw_node.ready();
        let mut messages = ready.take_messages();
        self.store(&ready, disk)?;
        messages.append(&mut ready.take_persisted_messages());
        let committed = ready.take_committed_entries();
        self.confirm_rounds(ready.take_read_states());
        self.apply_entries(committed)?;
        let mut light_ready = self.raw_node.advance(ready);
        if let Some(commit) = light_ready.commit_index() {
            // The commit index alone is not stored: after a restart the node learns it again from the others.
            self.raw_node.mut_store().set_commit(commit);
        }
        messages.append(&mut light_ready.take_messages());
        self.apply_entries(light_ready.take_committed_entries())?;
        self.raw_node.advance_apply();
        for message in messages {
            self.send(&message, output);
        }
        Ok(())
    }

    /// Stores a received snapshot, entries and Raft's hard state in memory and on disk. Messages that depend on them may only
    /// be sent afterwards.
    fn store(&mut self, ready: &Ready, disk: &mut dyn Disk) -> Result<(), NodeError> {
        let mut batch = WriteBatch::default();
        if ready.snapshot().get_metadata().index != 0 {
            self.install_snapshot(ready.snapshot().clone(), &mut batch)?;
        }
        let entries = ready.entries();
        if !entries.is_empty() {
            batch.entries = entries.iter().map(|entry| (entry.index, encode(entry))).collect();
            self.raw_node.mut_store().append(entries);
        }
        if let Some(hard_state) = ready.hs() {
            self.raw_node.mut_store().set_hard_state(hard_state.clone());
            batch.hard_state = Some(encode(hard_state));
        }
        if !batch.is_empty() {
            disk.save(&batch)?;
        }
        Ok(())
    }

    /// Replaces the state and the log by a snapshot that the leader sent.
    fn install_snapshot(&mut self, snapshot: Snapshot, batch: &mut WriteBatch) -> Result<(), NodeError> {
        self.state = decode_state(snapshot.get_data())?;
        let metadata = snapshot.get_metadata();
        let position = LogPosition { index: metadata.index, term: metadata.term };
        self.applied_index = position.index;
        batch.snapshot = Some(encode(&snapshot));
        batch.replaces_log = true;
        batch.compacted = Some(position);
        self.raw_node.mut_store().install_snapshot(snapshot);
        Ok(())
    }

    fn send(&mut self, message: &Message, output: &mut Output) {
        if message.get_msg_type() == MessageType::MsgSnapshot {
            self.snapshots_sent.insert(message.to, self.now);
        }
        output.messages.push((message.to, encode(message)));
    }

    /// Makes a snapshot and shortens the log to half its limit, if the log has reached the limit or the Raft library needs a
    /// newer snapshot.
    fn compact(&mut self, disk: &mut dyn Disk) -> Result<(), NodeError> {
        let max_entries = self.settings.limits.log_entries;
        let log = self.raw_node.store();
        let is_due = log.take_snapshot_request() || log.len() >= max_entries;
        if !is_due || self.applied_index <= log.latest_snapshot().get_metadata().index {
            return Ok(());
        }
        let snapshot = self.make_snapshot()?;
        let encoded = encode(&snapshot);
        let compacted = self.raw_node.mut_store().compact(snapshot, max_entries as u64 / 2);
        // The hard state is stored too, so that the stored commit index is not behind the snapshot.
        let hard_state = encode(self.raw_node.store().hard_state());
        disk.save(&WriteBatch {
            hard_state: Some(hard_state),
            snapshot: Some(encoded),
            compacted: Some(compacted),
            ..WriteBatch::default()
        })?;
        Ok(())
    }

    fn make_snapshot(&self) -> Result<Snapshot, NodeError> {
        let log = self.raw_node.store();
        let mut snapshot = Snapshot::default();
        snapshot.set_data(self.export_state().into());
        let metadata = snapshot.mut_metadata();
        metadata.index = self.applied_index;
        metadata.term = raft::Storage::term(log, self.applied_index)?;
        metadata.set_conf_state(log.conf_state().clone());
        Ok(snapshot)
    }
}
