//! The agreed state. Every council process applies the same commands in the same order, and has the same state then.

mod change;
mod command;
mod member;
mod record;
mod session;

pub use change::{Change, ChangedItem, Compacted};
pub use command::{Command, CommandRequest, CommandResult};
pub use member::{is_agent, Member, MemberStatus};
pub use record::{ChangeScope, Check, Record, Txn, Write};

use serde::{Deserialize, Serialize};
use session::Session;
use std::collections::{BTreeMap, VecDeque};

/// The place of a change in the one order of all changes; 0 is before the first.
pub type Revision = u64;

/// The kinds of records; the first part of each key.
pub const RECORD_KINDS: [&str; 7] = ["budget", "drain", "note", "permit", "release", "site", "work"];
/// The longest key, name, site, version or address, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// The most checks and writes of one transaction.
pub const MAX_TXN_OPERATIONS: usize = 64;
/// How far a restored state's revisions are ahead of its copy's: further than any council has come since the copy.
const RESTORE_REVISION_GAP: u64 = 1 << 40;

/// A process of the council.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Where the other processes reach it.
    pub address: String,
}

/// All that is agreed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Which history this is; another one after a restore.
    #[serde(rename = "history")]
    pub cluster_id: u64,
    /// The last change.
    pub revision: Revision,
    /// The processes of the council, by their numbers.
    pub peers: BTreeMap<u64, Peer>,
    /// Who takes part, by name.
    pub members: BTreeMap<String, Member>,
    /// The records, by key.
    pub records: BTreeMap<String, Record>,
    #[serde(rename = "bytes")]
    record_bytes: usize,
    sessions: BTreeMap<u64, Session>,
    changes: VecDeque<Change>,
    /// The last change of each kind of record, and, under an empty name, of the agents.
    #[serde(rename = "touched")]
    last_changed: BTreeMap<String, Revision>,
    /// Watchers from here on can be told all.
    #[serde(rename = "oldest")]
    oldest_watchable: Revision,
}

fn invalid_key(key: &str) -> Option<String> {
    let kind = key.split('/').next().unwrap_or_default();
    if !RECORD_KINDS.contains(&kind) || key.len() <= kind.len() + 1 {
        return Some(format!(
            "key {key:?}: wanted KIND/NAME, where KIND is one of {}",
            RECORD_KINDS.join(", ")
        ));
    }
    invalid_name("key", key)
}

fn invalid_name(what: &str, text: &str) -> Option<String> {
    let plain = text.chars().all(|c| !c.is_control());
    (text.len() > MAX_NAME_BYTES || !plain)
        .then(|| format!("{what}: wanted up to {MAX_NAME_BYTES} bytes without control characters"))
}

impl State {
    /// Nothing but the council itself.
    pub fn new(history: u64, peers: BTreeMap<u64, Peer>) -> State {
        State {
            cluster_id: history,
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

    /// An older copy as the beginning of another history: no member of it lives, no session goes on, and what it numbers
    /// from now on is above all that was numbered since the copy was made. Records stay as they were.
    pub fn restored_as(mut self, history: u64, peers: BTreeMap<u64, Peer>) -> State {
        self.cluster_id = history;
        self.peers = peers;
        self.revision += RESTORE_REVISION_GAP;
        self.oldest_watchable = self.revision;
        self.changes.clear();
        self.sessions.clear();
        // Nothing that was counted before the restore stands.
        for kind in RECORD_KINDS.iter().copied().chain([""]) {
            self.last_changed.insert(kind.into(), self.revision);
        }
        for member in self.members.values_mut().filter(|member| member.status.may_hold_lease()) {
            member.status = MemberStatus::Expired;
            member.ready = false;
        }
        self
    }

    /// A process of the council comes in, another goes.
    pub(crate) fn change_peers(&mut self, add: Option<(u64, Peer)>, remove: Option<u64>) {
        remove.map(|number| self.peers.remove(&number));
        self.peers.extend(add);
        self.revision += 1;
    }
}
