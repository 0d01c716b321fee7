//! The replicated log of one coordination process. The Raft library reads it through [`ReplicatedLog`]; a [`Disk`] stores it.

use crate::{LogIndex, Term};
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use std::cell::Cell;
use std::collections::BTreeMap;

/// Why a disk did not store, or does not return, what it was given.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DiskError {
    /// A write, a sync or a read failed, for instance because the disk is full. The batch being written may be stored or
    /// not; only reading it back tells. A later attempt may succeed.
    #[error("{0}")]
    Failed(String),
    /// The stored data is damaged, or belongs to another process. No later attempt succeeds.
    #[error("{0}")]
    Unusable(String),
}

/// The place of an entry in the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LogPosition {
    /// Its index.
    pub index: LogIndex,
    /// The term in which it was proposed.
    pub term: Term,
}

/// What is written in one atomic step.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WriteBatch {
    /// Raft's term, vote and commit index, encoded.
    pub hard_state: Option<Vec<u8>>,
    /// The latest snapshot, encoded.
    pub snapshot: Option<Vec<u8>>,
    /// The snapshot was received from the leader: all stored entries are dropped before those below are written.
    pub replaces_log: bool,
    /// Encoded entries by index. Stored entries from the first of these indexes on are replaced.
    pub entries: Vec<(LogIndex, Vec<u8>)>,
    /// Entries up to this one are dropped, since a snapshot covers them.
    pub compacted: Option<LogPosition>,
}

impl WriteBatch {
    /// Whether there is nothing to write.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == WriteBatch::default()
    }
}

/// Everything that a disk stores of a node.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DurableState {
    /// Raft's term, vote and commit index, encoded.
    pub hard_state: Option<Vec<u8>>,
    /// The latest snapshot, encoded.
    pub snapshot: Option<Vec<u8>>,
    /// Encoded entries by index, without a gap.
    pub entries: BTreeMap<LogIndex, Vec<u8>>,
    /// The last entry that was dropped; the first stored one follows it.
    pub compacted: LogPosition,
}

impl DurableState {
    /// Applies a batch, as a disk does that stores it.
    pub fn apply(&mut self, batch: &WriteBatch) {
        if batch.hard_state.is_some() {
            self.hard_state.clone_from(&batch.hard_state);
        }
        if batch.snapshot.is_some() {
            self.snapshot.clone_from(&batch.snapshot);
        }
        if batch.replaces_log {
            self.entries.clear();
        }
        if let Some((first, _)) = batch.entries.first() {
            self.entries.split_off(first);
            self.entries.extend(batch.entries.iter().cloned());
        }
        if let Some(compacted) = batch.compacted {
            self.compacted = compacted;
            self.entries = self.entries.split_off(&(compacted.index + 1));
        }
    }
}

/// The storage of a node.
pub trait Disk {
    /// Stores a batch. When this returns `Ok`, the batch survives any crash.
    ///
    /// # Errors
    ///
    /// After an error it is unknown whether the batch is stored: drop the node, and make a new one from what is read back.
    fn save(&mut self, batch: &WriteBatch) -> Result<(), DiskError>;
}

/// The log of one process in memory.
pub struct ReplicatedLog {
    hard_state: HardState,
    conf_state: ConfState,
    snapshot: Snapshot,
    entries: Vec<Entry>,
    compacted: LogPosition,
    /// The Raft library needs a snapshot that is newer than the latest one.
    is_snapshot_requested: Cell<bool>,
}

fn decode<M: protobuf::Message>(what: &str, bytes: &[u8]) -> Result<M, DiskError> {
    M::parse_from_bytes(bytes).map_err(|e| DiskError::Unusable(format!("{what} can't be read: {e}")))
}

fn decode_or_default<M: protobuf::Message>(what: &str, bytes: Option<&[u8]>) -> Result<M, DiskError> {
    bytes.map_or_else(|| Ok(M::new()), |bytes| decode(what, bytes))
}

/// Encodes one of the Raft library's messages.
pub(crate) fn encode<M: protobuf::Message>(message: &M) -> Vec<u8> {
    // Fails only for required fields, which these messages do not have.
    message.write_to_bytes().unwrap_or_default()
}

/// Decodes entries that must follow a position without a gap.
fn decode_entries(stored: &BTreeMap<LogIndex, Vec<u8>>, after: LogIndex) -> Result<Vec<Entry>, DiskError> {
    let mut entries = Vec::new();
    for (expected, (index, bytes)) in (after + 1..).zip(stored) {
        let entry: Entry = decode(&format!("entry {index}"), bytes)?;
        if *index != expected || entry.index != expected {
            return Err(DiskError::Unusable(format!("the log has no entry {expected}")));
        }
        entries.push(entry);
    }
    Ok(entries)
}

impl ReplicatedLog {
    /// The log that a disk stores.
    ///
    /// # Errors
    ///
    /// Fails if something cannot be decoded, if an entry is missing, or if the log ends before its snapshot or its commit
    /// index.
    pub fn new(stored: &DurableState) -> Result<ReplicatedLog, DiskError> {
        let hard_state: HardState = decode_or_default("the vote", stored.hard_state.as_deref())?;
        let snapshot: Snapshot = decode_or_default("the snapshot", stored.snapshot.as_deref())?;
        let entries = decode_entries(&stored.entries, stored.compacted.index)?;
        let last_index = stored.compacted.index + entries.len() as LogIndex;
        let snapshot_index = snapshot.get_metadata().index;
        let is_snapshot_outside = snapshot_index < stored.compacted.index || snapshot_index > last_index;
        if is_snapshot_outside || hard_state.commit >= (last_index + 1).max(1) {
            return Err(DiskError::Unusable(format!(
                "the log ends at {last_index}, before its snapshot at {snapshot_index} or what was committed, {}",
                hard_state.commit
            )));
        }
        let conf_state = snapshot.get_metadata().get_conf_state().clone();
        Ok(ReplicatedLog {
            hard_state,
            conf_state,
            snapshot,
            entries,
            compacted: stored.compacted,
            is_snapshot_requested: Cell::new(false),
        })
    }

    /// The latest snapshot.
    pub fn latest_snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// The index of the last entry.
    pub fn last_entry_index(&self) -> LogIndex {
        self.compacted.index + self.entries.len() as LogIndex
    }

    /// The number of entries in memory.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no entry is in memory.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether the Raft library has asked for a newer snapshot since the last call.
    pub(crate) fn take_snapshot_request(&self) -> bool {
        self.is_snapshot_requested.replace(false)
    }

    pub(crate) fn hard_state(&self) -> &HardState {
        &self.hard_state
    }

    pub(crate) fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state;
    }

    pub(crate) fn set_commit(&mut self, commit: LogIndex) {
        self.hard_state.commit = commit;
    }

    pub(crate) fn conf_state(&self) -> &ConfState {
        &self.conf_state
    }

    pub(crate) fn set_conf_state(&mut self, conf_state: ConfState) {
        self.conf_state = conf_state;
    }

    /// Replaces the whole log by a snapshot that the leader sent.
    pub(crate) fn install_snapshot(&mut self, snapshot: Snapshot) {
        let metadata = snapshot.get_metadata();
        self.compacted = LogPosition { index: metadata.index, term: metadata.term };
        self.conf_state = metadata.get_conf_state().clone();
        self.entries.clear();
        self.snapshot = snapshot;
    }

    /// Appends entries; those from the first of their indexes on are replaced.
    pub(crate) fn append(&mut self, entries: &[Entry]) {
        if let Some(first) = entries.first() {
            let kept = first.index.saturating_sub(self.compacted.index + 1) as usize;
            self.entries.truncate(kept);
            self.entries.extend_from_slice(entries);
        }
    }

    /// Sets a snapshot that this process made, and drops entries but for the last `keep` before it. Returns the last entry
    /// that was dropped.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, keep: u64) -> LogPosition {
        let up_to = snapshot.get_metadata().index.saturating_sub(keep).max(self.compacted.index);
        let term = self.term(up_to).unwrap_or(self.compacted.term);
        self.entries.drain(..(up_to - self.compacted.index) as usize);
        self.compacted = LogPosition { index: up_to, term };
        self.snapshot = snapshot;
        self.compacted
    }

    /// Where an entry that is in memory stands.
    fn offset(&self, index: LogIndex) -> usize {
        (index - self.compacted.index - 1) as usize
    }
}

impl Storage for ReplicatedLog {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState { hard_state: self.hard_state.clone(), conf_state: self.conf_state.clone() })
    }

    fn entries(
        &self,
        low: LogIndex,
        high: LogIndex,
        max_size: impl Into<Option<u64>>,
        _context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.compacted.index {
            return Err(StorageError::Compacted.into());
        }
        if high > self.last_entry_index() + 1 {
            return Err(StorageError::Unavailable.into());
        }
        let mut entries = self.entries[self.offset(low)..self.offset(high)].to_vec();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: LogIndex) -> raft::Result<Term> {
        if index == self.compacted.index {
            return Ok(self.compacted.term);
        }
        if index < self.compacted.index {
            return Err(StorageError::Compacted.into());
        }
        let entry = self.entries.get(self.offset(index));
        entry.map(|entry| entry.term).ok_or(StorageError::Unavailable.into())
    }

    fn first_index(&self) -> raft::Result<LogIndex> {
        Ok(self.compacted.index + 1)
    }

    fn last_index(&self) -> raft::Result<LogIndex> {
        Ok(self.last_entry_index())
    }

    /// The latest snapshot, if it covers `request_index` and names the process `to`. A process that joined the cluster after
    /// the snapshot was made would reject it, so that a newer one is requested.
    fn snapshot(&self, request_index: LogIndex, to: u64) -> raft::Result<Snapshot> {
        let metadata = self.snapshot.get_metadata();
        let conf_state = metadata.get_conf_state();
        let names_receiver = conf_state.voters.contains(&to) || conf_state.learners.contains(&to);
        if metadata.index < request_index || !names_receiver {
            self.is_snapshot_requested.set(true);
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok(self.snapshot.clone())
    }
}
