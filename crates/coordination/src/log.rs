//! What a council process holds of the log, and what it writes down of it. The Raft library reads it from here; a
//! [`Disk`] keeps it.

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use std::cell::Cell;
use std::collections::BTreeMap;

/// Why a disk did not keep, or does not give back, what it was given.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DiskError {
    /// A write, a sync or a read failed, as where there is no room. A step that was under way is there or is not; only
    /// what is read back tells. It may work again later.
    #[error("{0}")]
    Failed(String),
    /// What is there is not what was written, or is not this process's. It stays so.
    #[error("{0}")]
    Unusable(String),
}

/// What is written down in one step: all of it, or nothing.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WriteBatch {
    /// Term, vote and what is known to be committed.
    pub hard_state: Option<Vec<u8>>,
    /// The newest snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// All entries that were there are replaced by those below: the snapshot came from another process.
    pub replaces_log: bool,
    /// Entries by index. What was there from the first of them on is replaced.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// Entries up to this index are not needed any more; its term.
    pub compacted: Option<(u64, u64)>,
}

impl WriteBatch {
    /// Nothing has to be written.
    pub fn is_empty(&self) -> bool {
        *self == WriteBatch::default()
    }
}

/// All that was written down.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DurableState {
    /// Term, vote and what is known to be committed.
    pub hard_state: Option<Vec<u8>>,
    /// The newest snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// Entries by index, without a gap.
    pub entries: BTreeMap<u64, Vec<u8>>,
    /// What the entries follow: an index and its term.
    pub compacted: (u64, u64),
}

impl DurableState {
    /// What is there after a step was written.
    pub fn apply(&mut self, save: &WriteBatch) {
        if save.hard_state.is_some() {
            self.hard_state.clone_from(&save.hard_state);
        }
        if save.snapshot.is_some() {
            self.snapshot.clone_from(&save.snapshot);
        }
        if save.replaces_log {
            self.entries.clear();
        }
        if let Some((first, _)) = save.entries.first() {
            self.entries.split_off(first);
            self.entries.extend(save.entries.iter().cloned());
        }
        if let Some(cut) = save.compacted {
            self.compacted = cut;
            self.entries = self.entries.split_off(&(cut.0 + 1));
        }
    }
}

/// Where a process writes down.
pub trait Disk {
    /// Keeps a step. Once this has come back without a fault, the step is there after any crash. After a fault nobody knows
    /// whether it is there: the node must be dropped, and made anew from what is read back.
    fn save(&mut self, save: &WriteBatch) -> Result<(), DiskError>;
}

/// The log of one process.
pub struct ReplicatedLog {
    hard_state: HardState,
    conf_state: ConfState,
    snapshot: Snapshot,
    entries: Vec<Entry>,
    compacted: (u64, u64),
    /// A newer snapshot is needed than there is.
    is_snapshot_requested: Cell<bool>,
}

fn decode<M: protobuf::Message>(what: &str, bytes: &[u8]) -> Result<M, DiskError> {
    M::parse_from_bytes(bytes).map_err(|e| DiskError::Unusable(format!("{what} can't be read: {e}")))
}

/// Bytes of one of the library's messages.
pub(crate) fn encode<M: protobuf::Message>(message: &M) -> Vec<u8> {
    // Fails only for fields that are required, which these messages do not have.
    message.write_to_bytes().unwrap_or_default()
}

impl ReplicatedLog {
    /// What was written down. A gap, an entry under a wrong index or a term and vote that do not fit are faults.
    pub fn new(image: &DurableState) -> Result<ReplicatedLog, DiskError> {
        let hard: HardState =
            image.hard_state.as_deref().map_or(Ok(HardState::default()), |b| decode("the vote", b))?;
        let snapshot: Snapshot =
            image.snapshot.as_deref().map_or(Ok(Snapshot::default()), |b| decode("the snapshot", b))?;
        let mut entries = Vec::new();
        let mut next = image.compacted.0 + 1;
        for (index, bytes) in &image.entries {
            let entry: Entry = decode(&format!("entry {index}"), bytes)?;
            if *index != next || entry.index != next {
                return Err(DiskError::Unusable(format!("the log has no entry {next}")));
            }
            next += 1;
            entries.push(entry);
        }
        let at = snapshot.get_metadata().index;
        if at < image.compacted.0 || at >= next || hard.commit >= next.max(1) {
            return Err(DiskError::Unusable(format!(
                "the log ends at {}, before its snapshot at {at} or what was committed, {}",
                next - 1,
                hard.commit
            )));
        }
        let conf = snapshot.get_metadata().get_conf_state().clone();
        Ok(ReplicatedLog {
            hard_state: hard,
            conf_state: conf,
            snapshot,
            entries,
            compacted: image.compacted,
            is_snapshot_requested: Cell::new(false),
        })
    }

    /// The newest snapshot.
    pub fn latest_snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// The index of the last entry.
    pub fn last_entry_index(&self) -> u64 {
        self.compacted.0 + self.entries.len() as u64
    }

    /// Entries that are held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no entry is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether a newer snapshot has been asked for since the last call.
    pub(crate) fn take_snapshot_request(&self) -> bool {
        self.is_snapshot_requested.replace(false)
    }

    pub(crate) fn set_hard_state(&mut self, hard: HardState) {
        self.hard_state = hard;
    }

    pub(crate) fn set_commit(&mut self, commit: u64) {
        self.hard_state.commit = commit;
    }

    pub(crate) fn hard_state(&self) -> &HardState {
        &self.hard_state
    }

    pub(crate) fn set_conf_state(&mut self, conf: ConfState) {
        self.conf_state = conf;
    }

    pub(crate) fn conf_state(&self) -> &ConfState {
        &self.conf_state
    }

    /// A snapshot that came takes the place of all.
    pub(crate) fn install_snapshot(&mut self, snapshot: Snapshot) {
        let about = snapshot.get_metadata();
        self.compacted = (about.index, about.term);
        self.conf_state = about.get_conf_state().clone();
        self.entries.clear();
        self.snapshot = snapshot;
    }

    pub(crate) fn append(&mut self, entries: &[Entry]) {
        if let Some(first) = entries.first() {
            self.entries.truncate(first.index.saturating_sub(self.compacted.0 + 1) as usize);
            self.entries.extend_from_slice(entries);
        }
    }

    /// A snapshot of one's own; entries up to `keep` before it are not needed any more. Says what is cut.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, keep: u64) -> (u64, u64) {
        let upto = snapshot.get_metadata().index.saturating_sub(keep).max(self.compacted.0);
        let term = self.term(upto).unwrap_or(self.compacted.1);
        self.entries.drain(..(upto - self.compacted.0) as usize);
        self.compacted = (upto, term);
        self.snapshot = snapshot;
        self.compacted
    }
}

impl Storage for ReplicatedLog {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState { hard_state: self.hard_state.clone(), conf_state: self.conf_state.clone() })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.compacted.0 {
            return Err(StorageError::Compacted.into());
        }
        if high > self.last_entry_index() + 1 {
            return Err(StorageError::Unavailable.into());
        }
        let place = |index: u64| (index - self.compacted.0 - 1) as usize;
        let mut entries = self.entries[place(low)..place(high)].to_vec();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.compacted.0 {
            return Ok(self.compacted.1);
        }
        if index < self.compacted.0 {
            return Err(StorageError::Compacted.into());
        }
        let entry = self.entries.get((index - self.compacted.0 - 1) as usize);
        entry.map(|entry| entry.term).ok_or(StorageError::Unavailable.into())
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.compacted.0 + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last_entry_index())
    }

    /// Whoever was taken in after the newest snapshot was made does not find itself in it, and would not take it.
    fn snapshot(&self, request_index: u64, to: u64) -> raft::Result<Snapshot> {
        let about = self.snapshot.get_metadata();
        let conf = about.get_conf_state();
        if about.index < request_index || !(conf.voters.contains(&to) || conf.learners.contains(&to)) {
            self.is_snapshot_requested.set(true);
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok(self.snapshot.clone())
    }
}
