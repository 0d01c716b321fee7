//! The replicated state machine. Every coordination process applies the same commands in the same order, and therefore has the
//! same state after each of them.

mod change;
mod command;
mod member;
mod record;
mod session;
mod validation;

pub use change::{Change, ChangedItem, Compacted};
pub use command::{Command, CommandRequest, CommandResult};
pub use member::{is_agent, Member, MemberStatus};
pub use record::{ChangeScope, Check, Record, Txn, Write};

use crate::NodeId;
use serde::{Deserialize, Serialize};
use session::Session;
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

/// The number of a change in the total order of all changes; 0 is before the first.
pub type Revision = u64;

/// The kinds of records, which are the first part of each key.
pub const RECORD_KINDS: [&str; 7] = ["budget", "drain", "note", "permit", "release", "site", "work"];
/// The maximum length of a key, name, site, version or address, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// The maximum number of checks, and of writes, in one transaction.
pub const MAX_TXN_OPERATIONS: usize = 64;
/// The number that is added to the revision when a backup is restored. The original cluster never makes this many changes after
/// the backup, so that its revisions and those of the restored cluster do not overlap.
const RESTORE_REVISION_GAP: u64 = 1 << 40;

/// The id of a cluster. A restored cluster gets a new id, so that its revisions are not confused with those of the original.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClusterId(pub u64);

impl ClusterId {
    /// The id in the state of a process that is not part of a cluster yet.
    pub const NONE: ClusterId = ClusterId(0);
}

impl fmt::Display for ClusterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A process of the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// The address at which the other processes reach it.
    pub address: String,
}

/// The replicated state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The id of the cluster.
    #[serde(rename = "history")]
    pub cluster_id: ClusterId,
    /// The revision of the last change.
    pub revision: Revision,
    /// The processes of the cluster.
    pub peers: BTreeMap<NodeId, Peer>,
    /// The members by name.
    pub members: BTreeMap<String, Member>,
    /// The records by key.
    pub records: BTreeMap<String, Record>,
    /// The size of all keys and values, in bytes.
    #[serde(rename = "bytes")]
    record_bytes: usize,
    /// The sessions by number, which is the revision at which each was opened.
    sessions: BTreeMap<Revision, Session>,
    /// The latest changes, for watches.
    changes: VecDeque<Change>,
    /// The revision of the last change to each kind of record and, under an empty name, to the agents.
    #[serde(rename = "touched")]
    last_changed: BTreeMap<String, Revision>,
    /// The oldest revision after which all changes are kept.
    #[serde(rename = "oldest")]
    oldest_watchable: Revision,
}

impl State {
    /// Returns the empty state of a new cluster.
    pub fn new(cluster_id: ClusterId, peers: BTreeMap<NodeId, Peer>) -> State {
        State {
            cluster_id,
            revision: 0,
            peers,
            members: BTreeMap::new(),
            records: BTreeMap::new(),
            record_bytes: 0,
            sessions: BTreeMap::new(),
            changes: VecDeque::new(),
            last_changed: BTreeMap::new(),
            oldest_watchable: 0,
        }
    }

    /// Converts a backup into the first state of another cluster: records are kept, all members are expired, sessions and
    /// changes are dropped, and new revisions are higher than any that the original cluster assigns after the backup.
    #[must_use]
    pub fn restored_as(mut self, cluster_id: ClusterId, peers: BTreeMap<NodeId, Peer>) -> State {
        self.cluster_id = cluster_id;
        self.peers = peers;
        self.revision += RESTORE_REVISION_GAP;
        self.oldest_watchable = self.revision;
        self.changes.clear();
        self.sessions.clear();
        // Checks against an earlier revision must fail.
        for kind in RECORD_KINDS.iter().copied().chain([record::AGENTS_SCOPE]) {
            self.last_changed.insert(kind.into(), self.revision);
        }
        for member in self.members.values_mut().filter(|member| member.status.may_hold_lease()) {
            member.status = MemberStatus::Expired;
            member.ready = false;
        }
        self
    }

    /// Adds a process to the cluster, removes one, or both.
    pub(crate) fn change_peers(&mut self, add: Option<(NodeId, Peer)>, remove: Option<NodeId>) {
        if let Some(node_id) = remove {
            self.peers.remove(&node_id);
        }
        self.peers.extend(add);
        self.revision += 1;
    }
}
