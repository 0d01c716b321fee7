//! What the processes of a fleet agree on, free of I/O and of clocks: time and random seeds are handed in, messages and what
//! must be written down are handed out.
//!
//! - [`state`]: the agreed state, a deterministic function of the log: members, records under revisions, sessions, watches.
//! - [`lease`]: how long a member may believe that it holds, and how long the council waits.
//! - [`node`]: one council process: the state behind the Raft library's core.
//! - [`service`]: requests in, responses out, before a node.
//! - [`backoff`]: when a process whose store has failed opens it again.
//! - [`retry_schedule`], [`lease_holder`]: the other side: whom to ask and when; a member that joins and renews its lease.
//! - [`bootstrap`]: who may form a council, and who may not any more.
//! - [`log`]: what a process holds of the log, and what it writes down of it.
//! - [`permit`]: permits out of a stated number, as records.
//! - [`wire`]: what processes say to each other.

pub mod backoff;
pub mod bootstrap;
pub mod lease;
pub mod lease_holder;
pub mod log;
pub mod node;
pub mod permit;
pub mod retry_schedule;
pub mod service;
pub mod state;
pub mod wire;

/// Microseconds on the monotonic clock of one process, from any beginning. Never compared between processes.
pub type Time = u64;

/// What there may be at most; what is over one of these is answered with an [`LimitExceeded`] that names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Members, living and ended.
    pub members: usize,
    /// Records.
    pub records: usize,
    /// Bytes of all records together, keys and values.
    pub state_bytes: usize,
    /// Bytes of one record's value.
    pub record_bytes: usize,
    /// Sessions; the one that was silent longest makes room.
    pub sessions: usize,
    /// Changes that are kept for watchers.
    pub changes: usize,
    /// Log entries that are kept behind the newest snapshot.
    pub log_entries: usize,
    /// Bytes of one message between processes.
    pub message_bytes: usize,
    /// Commands and reads that one council process has in hand.
    pub in_flight: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            members: 4096,
            records: 8192,
            state_bytes: 16 << 20,
            record_bytes: 64 << 10,
            sessions: 4096,
            changes: 4096,
            log_entries: 4096,
            message_bytes: 32 << 20,
            in_flight: 4096,
        }
    }
}

/// A bound that was reached.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, thiserror::Error)]
#[error("over the bound of {limit}: {max}")]
pub struct LimitExceeded {
    /// Its name in [`Limits`].
    #[serde(rename = "bound")]
    pub limit: String,
    /// What it is.
    #[serde(rename = "most")]
    pub max: u64,
}

impl LimitExceeded {
    fn new(limit: &str, max: usize) -> LimitExceeded {
        LimitExceeded { limit: limit.into(), max: max as u64 }
    }
}
