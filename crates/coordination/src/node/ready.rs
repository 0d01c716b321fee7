//! What is written down, sent and answered.

use super::operation::{OperationId, OperationResult};
use super::{decode_state, numbers, Node, NodeError};
use crate::log::{encode, Disk, WriteBatch};
use crate::state::{Command, CommandRequest, CommandResult};
use crate::Time;
use protobuf::Message as _;
use raft::eraftpb::{ConfChangeV2, Entry, EntryType, MessageType};

/// What a step gives.
#[derive(Debug, Default)]
pub struct Output {
    /// Messages to other processes of the council, by their numbers.
    pub messages: Vec<(u64, Vec<u8>)>,
    /// Answers to questions.
    pub results: Vec<(OperationId, OperationResult)>,
}

impl Node {
    /// Carries on with all that has come in: writes down, and says what is to be sent and answered. After a fault nothing
    /// is, ever: the process ends, or goes on with another node where [the store has failed](NodeError::is_store_failure).
    pub fn advance(&mut self, disk: &mut dyn Disk, now: Time) -> Result<Output, NodeError> {
        if let Some(fault) = &self.failure {
            return Err(fault.clone());
        }
        let output = self.advance_until_idle(disk, now);
        self.failure = output.as_ref().err().cloned();
        output
    }

    fn advance_until_idle(&mut self, disk: &mut dyn Disk, now: Time) -> Result<Output, NodeError> {
        self.now = self.now.max(now);
        let mut output = Output::default();
        self.start_round();
        while self.raft.has_ready() {
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
        let mut ready = self.raft.ready();
        let mut messages = ready.take_messages();
        let mut save = WriteBatch::default();
        if ready.snapshot().get_metadata().index != 0 {
            let snapshot = ready.snapshot().clone();
            self.state = decode_state(snapshot.get_data())?;
            self.applied_index = snapshot.get_metadata().index;
            save.snapshot = Some(encode(&snapshot));
            save.replaces_log = true;
            save.compacted = Some((self.applied_index, snapshot.get_metadata().term));
            self.raft.mut_store().install_snapshot(snapshot);
        }
        if !ready.entries().is_empty() {
            save.entries = ready.entries().iter().map(|entry| (entry.index, encode(entry))).collect();
            self.raft.mut_store().append(ready.entries());
        }
        if let Some(hard) = ready.hs() {
            self.raft.mut_store().set_hard_state(hard.clone());
            save.hard_state = Some(encode(hard));
        }
        if !save.is_empty() {
            disk.save(&save)?;
        }
        messages.append(&mut ready.take_persisted_messages());
        let committed = ready.take_committed_entries();
        self.confirm(ready.take_read_states());
        self.apply_entries(committed)?;
        let mut light = self.raft.advance(ready);
        if let Some(commit) = light.commit_index() {
            // Not written down by itself: it is found again from the others.
            self.raft.mut_store().set_commit(commit);
        }
        messages.append(&mut light.take_messages());
        self.apply_entries(light.take_committed_entries())?;
        self.raft.advance_apply();
        for message in messages {
            if message.get_msg_type() == MessageType::MsgSnapshot {
                self.snapshots_sent.insert(message.to, self.now);
            }
            output.messages.push((message.to, encode(&message)));
        }
        Ok(())
    }

    fn apply_entries(&mut self, entries: Vec<Entry>) -> Result<(), NodeError> {
        for entry in entries {
            self.applied_index = entry.index;
            let mine = numbers(&entry.context).filter(|it| (it[0], it[1]) == (self.node_id(), self.boot_id));
            match entry.get_entry_type() {
                EntryType::EntryNormal if entry.data.is_empty() => {}
                EntryType::EntryNormal => {
                    let call: CommandRequest = serde_json::from_slice(&entry.data)
                        .map_err(|e| NodeError::Raft(format!("entry {} can't be read: {e}", entry.index)))?;
                    let reply = self.state.apply(&call, &self.settings.limits);
                    if let (Command::Join { name, .. }, CommandResult::Joined { incarnation }) =
                        (&call.command, &reply)
                    {
                        self.leases.record_join(name, *incarnation, self.now);
                    }
                    if let Some([_, _, ticket]) = mine {
                        self.finish(OperationId(ticket), OperationResult::Reply(reply));
                    }
                }
                // Only changes of the second kind are proposed here.
                EntryType::EntryConfChange | EntryType::EntryConfChangeV2 => {
                    let change = ConfChangeV2::parse_from_bytes(&entry.data).unwrap_or_default();
                    let ticket = self.apply_membership_change(&change)?;
                    let own = [self.node_id(), self.boot_id].map(u64::to_le_bytes).concat();
                    if let Some(ticket) = ticket.filter(|_| entry.context == own) {
                        self.finish(OperationId(ticket), OperationResult::Replaced);
                    }
                }
            }
        }
        self.finish_rounds();
        Ok(())
    }

    /// Once the log is long enough, a snapshot takes the place of its older half.
    fn compact(&mut self, disk: &mut dyn Disk) -> Result<(), NodeError> {
        let most = self.settings.limits.log_entries;
        let log = self.raft.store();
        let due = log.take_snapshot_request() || log.len() >= most;
        if !due || self.applied_index <= log.latest_snapshot().get_metadata().index {
            return Ok(());
        }
        let term =
            raft::Storage::term(log, self.applied_index).map_err(|e| NodeError::Raft(e.to_string()))?;
        let mut snapshot = raft::eraftpb::Snapshot::default();
        snapshot.set_data(self.export_state().into());
        let about = snapshot.mut_metadata();
        (about.index, about.term) = (self.applied_index, term);
        about.set_conf_state(self.raft.store().conf_state().clone());
        let written = encode(&snapshot);
        let cut = self.raft.mut_store().compact(snapshot, most as u64 / 2);
        // What is committed is not before the snapshot, once it is read again.
        let hard = Some(encode(self.raft.store().hard_state()));
        disk.save(&WriteBatch {
            hard_state: hard,
            snapshot: Some(written),
            compacted: Some(cut),
            ..WriteBatch::default()
        })?;
        Ok(())
    }
}
