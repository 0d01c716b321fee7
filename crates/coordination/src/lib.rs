//! The coordination service of a fleet: membership, leases, versioned records and permits, replicated by Raft.
//!
//! The package performs no I/O. The current time and random numbers are arguments; messages to send and data to store are
//! return values. The agent's `fleet` module runs it on sockets and files, the emulator runs it in simulated time.
//!
//! Server side, from the outside in:
//!
//! - [`wire`]: the requests, responses and refusals that processes exchange.
//! - [`service`]: serves requests and watches of clients in front of a node.
//! - [`node`]: one coordination process: the replicated state on top of the Raft library.
//! - [`state`]: the replicated state machine: members, records with revisions, sessions and changes for watches.
//! - [`log`]: the replicated log in memory, and the data that is written to disk.
//! - [`lease`]: how long a holder may rely on its lease, and when the leader considers it expired.
//! - [`bootstrap`]: how processes with empty disks form a cluster, and how a backup is restored.
//! - [`backoff`]: how long a process waits before it reopens a store that failed.
//!
//! Client side:
//!
//! - [`retry_schedule`]: which coordination process a client calls, and when it retries.
//! - [`lease_holder`]: a member that joins, renews its lease and reports its readiness.
//! - [`permit`]: permits of a limited disruption budget, as transactions over records.

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

/// Microseconds on the monotonic clock of one process, from an arbitrary origin. Never compared between processes.
pub type Time = u64;

/// The Raft id of a coordination process: a random number other than 0, drawn when its disk is initialized.
pub type NodeId = u64;

/// A Raft term.
pub type Term = u64;

/// The index of an entry in the replicated log; the first entry has 1.
pub type LogIndex = u64;

/// The incarnation of a member: the revision at which it joined. A later process of the same name has a higher one.
pub type Incarnation = u64;

/// Upper limits of what a coordination process holds. A request that would exceed one fails with a [`LimitExceeded`] that
/// names the limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Members, including those that left or expired and were not removed.
    pub members: usize,
    /// Records.
    pub records: usize,
    /// Bytes of all records together, keys and values.
    pub state_bytes: usize,
    /// Bytes of one record's value.
    pub record_bytes: usize,
    /// Sessions. At the limit, the least recently used session of a non-member is dropped.
    pub sessions: usize,
    /// Changes that are kept for watches.
    pub changes: usize,
    /// Log entries. At the limit, the process makes a snapshot and drops the older half of the log.
    pub log_entries: usize,
    /// Bytes of one message between processes.
    pub message_bytes: usize,
    /// Operations in flight on one process.
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

/// The error of a request that would exceed one of the [`Limits`].
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, thiserror::Error)]
#[error("limit {limit} exceeded: at most {max}")]
pub struct LimitExceeded {
    /// The name of the limit, usually a field of [`Limits`].
    #[serde(rename = "bound")]
    pub limit: String,
    /// Its value.
    #[serde(rename = "most")]
    pub max: u64,
}

impl LimitExceeded {
    fn new(limit: &str, max: usize) -> LimitExceeded {
        LimitExceeded { limit: limit.into(), max: max as u64 }
    }
}
