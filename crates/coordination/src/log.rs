//! The replicated log of one coordination process. The Raft library reads it through [`ReplicatedLog`]; a [`Disk`] stores it.

use crate::{LogIndex, Term};
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use std::cell::Cell;
use std::collections::BTreeMap;

/// An error of the storage of a node.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DiskError {
    /// A write, a sync or a read failed, for instance because the disk is full. Whether the batch is stored is unknown until it
    /// is read back. A later attempt may succeed.
    #[error("{0}")]
    Failed(String),
    /// The stored data is damaged, or belongs to another process. No later attempt succeeds.
    #[error("{0}")]
    Unusable(String),
}

/// The position of an entry in the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LogPosition {
    /// Its index.
    pub index: LogIndex,
    /// The term in which it was proposed.
    pub term: Term,
}

/// Data that is written atomically.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WriteBatch {
    /// Raft's term, vote and commit index, encoded.
    pub hard_state: Option<Vec<u8>>,
    /// The latest snapshot, encoded.
    pub snapshot: Option<Vec<u8>>,
    /// Whether all stored entries are deleted before `entries` are written, because the snapshot was received from the leader.
    pub replaces_log: bool,
    /// Encoded entries by index. They replace all stored entries from the first of these indexes on.
    pub entries: Vec<(LogIndex, Vec<u8>)>,
    /// Entries up to this one are deleted, because a snapshot covers them.
    pub compacted: Option<LogPosition>,
}

impl WriteBatch {
    /// Returns whether there is nothing to write.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == WriteBatch::default()
    }
}

/// All data of a node on its disk.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DurableState {
    /// Raft's term, vote and commit index, encoded.
    pub hard_state: Option<Vec<u8>>,
    /// The latest snapshot, encoded.
    pub snapshot: Option<Vec<u8>>,
    /// Encoded entries by index, without gaps.
    pub entries: BTreeMap<LogIndex, Vec<u8>>,
    /// The last deleted entry; the first stored one follows it.
    pub compacted: LogPosition,
}

impl DurableState {
    /// Applies a batch, with the same effect as storing it on a disk.
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
    /// After an error it is unknown whether the batch is stored: drop the node, and create a new one from the data that is read
    /// back.
    fn save(&mut self, batch: &WriteBatch) -> Result<(), DiskError>;
}

/// The log of one process in memory.
pub struct ReplicatedLog {
    hard_state: HardState,
    conf_state: ConfState,
    snapshot: Snapshot,
    entries: Vec<Entry>,
    compacted: LogPosition,
    /// Whether the Raft library needs a snapshot that is newer than the latest one.
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
    // Encoding fails only if a required field is missing, and these messages have no required fields.
    message.write_to_bytes().unwrap_or_default()
}

/// Decodes entries, which must follow the index `after` without gaps.
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
    /// Creates the log from the data on a disk.
    ///
    /// # Errors
    ///
    /// Fails if the data cannot be decoded, if an entry is missing, or if the log ends before its snapshot or its commit index.
    pub fn new(stored: &DurableState) -> Result<ReplicatedLog, DiskError> {
        let hard_state: HardState = decode_or_default("the vote", stored.hard_state.as_deref())?;
        let snapshot: Snapshot = decode_or_default("the snapshot", stored.snapshot.as_deref())?;
        let entries = decode_entries(&stored.entries, stored.compacted.index)?;
        let last_index = stored.compacted.index + entries.len() as LogIndex;
        let snapshot_index = snapshot.get_metadata().index;
        let is_snapshot_outside = snapshot_index < stored.compacted.index || snapshot_index > last_index;
        if is_snapshot_outside || hard_state.commit >= (last_index + 1).max(1) {
            return Err(DiskError::Unusable(format!(
                "the log ends at {last_index}, which does not fit its snapshot at {snapshot_index} or its commit index {}",
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

    /// Returns the latest snapshot.
    pub fn latest_snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the index of the last entry.
    pub fn last_entry_index(&self) -> LogIndex {
        self.compacted.index + self.entries.len() as LogIndex
    }

    /// Returns the number of entries in memory.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no entry is in memory.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether the Raft library has requested a newer snapshot since the last call.
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

    /// Appends entries. They replace existing entries from the first of their indexes on.
    pub(crate) fn append(&mut self, entries: &[Entry]) {
        if let Some(first) = entries.first() {
            let kept = first.index.saturating_sub(self.compacted.index + 1) as usize;
            self.entries.truncate(kept);
            self.entries.extend_from_slice(entries);
        }
    }

    /// Sets a snapshot that this process made, and drops all but the last `keep` entries before it. Returns the position of the
    /// last dropped entry.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, keep: u64) -> LogPosition {
        let up_to = snapshot.get_metadata().index.saturating_sub(keep).max(self.compacted.index);
        let term = self.term(up_to).unwrap_or(self.compacted.term);
        self.entries.drain(..(up_to - self.compacted.index) as usize);
        self.compacted = LogPosition { index: up_to, term };
        self.snapshot = snapshot;
        self.compacted
    }

    /// Returns the position in `entries` of the entry with this index.
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

    /// Returns the latest snapshot, if it covers `request_index` and contains the process `to`. Otherwise a newer one is
    /// requested: a process that was added after the snapshot was made would reject it.
    fn snapshot(&self, request_index: LogIndex, to: u64) -> raft::Result<Snapshot> {
        let metadata = self.snapshot.get_metadata();
        let conf_state = metadata.get_conf_state();
        let contains_receiver = conf_state.voters.contains(&to) || conf_state.learners.contains(&to);
        if metadata.index < request_index || !contains_receiver {
            self.is_snapshot_requested.set(true);
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok(self.snapshot.clone())
    }
}
