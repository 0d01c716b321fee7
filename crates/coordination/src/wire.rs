//! What processes say to each other. Each message carries an [`Envelope`]; what does not belong here is refused by name.

use crate::lease::LeaseTerms;
use crate::node::NodeStatus;
use crate::state::{Change, CommandRequest, CommandResult, Member, Peer, Record, Revision};
use crate::{bootstrap::Identity, LimitExceeded, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The version of these messages.
pub const PROTOCOL: u32 = 1;

/// On each message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The name of the fleet.
    pub fleet: String,
    /// [`PROTOCOL`].
    pub protocol: u32,
    /// The sender's name.
    pub from: String,
    /// The sender's incarnation; 0 if it has none.
    pub incarnation: u64,
    /// The Raft term that the sender is in or has heard of; 0 if none.
    pub term: u64,
}

/// What can be asked of a council process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// Who it is; asked before a council is formed.
    Hello,
    /// To do something.
    Command(CommandRequest),
    /// To renew the sender's lease.
    Renew,
    /// To read.
    Read {
        /// As this process has it, however old.
        stale: bool,
        /// Records whose keys begin so; empty for all.
        prefix: String,
        /// Members too.
        members: bool,
    },
    /// What has changed after a revision; waits until something has.
    Watch {
        /// Of which history.
        #[serde(rename = "history")]
        cluster_id: u64,
        /// After which revision.
        after: Revision,
        /// Only of records whose keys begin so; empty for all records and members.
        prefix: String,
    },
    /// How this process stands.
    Status,
    /// A process comes in, another goes.
    Replace {
        /// Who comes, by the number of its disk.
        add: Option<(u64, Peer)>,
        /// Who goes, by number.
        remove: Option<u64>,
    },
    /// All of the state, to restore from.
    Copy,
}

/// What is answered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Response {
    /// Who it is.
    Hello(Identity),
    /// What came of a command, and the terms of leases.
    Reply(CommandResult, LeaseTerms),
    /// The lease is renewed.
    Renewed(LeaseTerms),
    /// The lease has ended: nothing may rest on it.
    Ended,
    /// The lease is not renewed any more: a newer process has the name, or waits for it.
    Displaced,
    /// What was read.
    Read(View),
    /// What has changed.
    Changes {
        /// In order, without a gap.
        changes: Vec<Change>,
        /// Watch from here on.
        upto: Revision,
    },
    /// How it stands, and how long members have been silent in microseconds, where it leads.
    Status(NodeStatus, BTreeMap<String, Time>),
    /// The council has changed.
    Replaced,
    /// All of the state, as JSON.
    Copy(String),
    /// No.
    Refused(Refusal),
}

/// The state as it was read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Of which history.
    #[serde(rename = "history")]
    pub cluster_id: u64,
    /// As of which revision.
    pub revision: Revision,
    /// How old this may be at most, in microseconds; none if the process can't tell. 0 for a read that is not stale.
    #[serde(rename = "age")]
    pub max_staleness: Option<Time>,
    /// The council's processes.
    pub peers: BTreeMap<u64, Peer>,
    /// Who takes part, if that was asked.
    pub members: BTreeMap<String, Member>,
    /// The records that were asked for.
    pub records: BTreeMap<String, Record>,
}

/// Why not.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The message is of another fleet.
    #[error("this is fleet {own:?}; the message is of {theirs:?}")]
    OtherFleet {
        /// This one.
        own: String,
        /// That one.
        theirs: String,
    },
    /// The message is of another version.
    #[error("this process speaks version {own}; the message is of {theirs}")]
    OtherProtocol {
        /// This one.
        own: u32,
        /// That one.
        theirs: u32,
    },
    /// A newer process has the sender's name.
    #[error("{name} has a newer incarnation, {newer}")]
    OlderIncarnation {
        /// The name.
        name: String,
        /// The newer one's.
        newer: u64,
    },
    /// This process does not lead.
    #[error("this process does not lead; {} may", .leader.as_ref().map_or("nobody that it knows", |peer| &peer.name))]
    NotLeader {
        /// The one that may.
        leader: Option<Peer>,
    },
    /// It may have been done or not, or be done yet.
    #[error("whether it was done is unknown; ask again with the same number")]
    Unknown,
    /// A bound was reached.
    #[error(transparent)]
    Over(LimitExceeded),
    /// A watcher was away too long, or watched another history: read all, then watch from there.
    #[error("changes are only kept from revision {oldest} of history {cluster_id} on")]
    Compacted {
        /// The history.
        #[serde(rename = "history")]
        cluster_id: u64,
        /// From here on.
        oldest: Revision,
    },
    /// This process takes part in no council yet.
    #[error("this process takes part in no council: {0}")]
    NotFormed(String),
    /// It can't be done.
    #[error("{0}")]
    Impossible(String),
}

/// Refuses what is not of this fleet or this version.
pub fn check_envelope(envelope: &Envelope, fleet: &str) -> Result<(), Refusal> {
    if envelope.fleet != fleet {
        return Err(Refusal::OtherFleet { own: fleet.into(), theirs: envelope.fleet.clone() });
    }
    if envelope.protocol != PROTOCOL {
        return Err(Refusal::OtherProtocol { own: PROTOCOL, theirs: envelope.protocol });
    }
    Ok(())
}
