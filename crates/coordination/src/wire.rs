//! The requests and responses that processes exchange, as JSON. Each request comes with an [`Envelope`]. The field and variant
//! names on the wire are fixed; a serde `rename` keeps them where the name in the code differs.

use crate::bootstrap::Identity;
use crate::lease::LeaseTerms;
use crate::node::NodeStatus;
use crate::state::{Change, ClusterId, CommandRequest, CommandResult, Member, Peer, Record, Revision};
use crate::{Incarnation, LimitExceeded, NodeId, Term, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The version of the protocol.
pub const PROTOCOL: u32 = 1;

/// What every request states about its sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The name of the fleet.
    pub fleet: String,
    /// The sender's [`PROTOCOL`].
    pub protocol: u32,
    /// The sender's name.
    pub from: String,
    /// The sender's incarnation; 0 if it has none.
    pub incarnation: Incarnation,
    /// The latest Raft term that the sender knows; 0 if none.
    pub term: Term,
}

/// A request to a coordination process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// Asks for the identity of a process that is not part of a cluster yet.
    #[serde(rename = "hello")]
    Identify,
    /// Changes the replicated state.
    Command(CommandRequest),
    /// Renews the sender's lease.
    Renew,
    /// Reads members and records.
    Read {
        /// Accept the state that this process has, however old; otherwise the read is linearizable.
        stale: bool,
        /// The prefix of the keys to read; empty for all records.
        prefix: String,
        /// Whether members are read.
        members: bool,
    },
    /// Waits for changes after a revision.
    Watch {
        /// The cluster that the revision is of.
        #[serde(rename = "history")]
        cluster_id: ClusterId,
        /// The last revision that the sender knows.
        after: Revision,
        /// The prefix of the keys to watch; empty for all records and members.
        prefix: String,
    },
    /// Asks for the status of this process.
    Status,
    /// Adds a process to the cluster, removes one, or both at once.
    #[serde(rename = "replace")]
    ChangePeers {
        /// The process to add.
        add: Option<(NodeId, Peer)>,
        /// The process to remove.
        remove: Option<NodeId>,
    },
    /// Asks for a backup of the whole state.
    #[serde(rename = "copy")]
    Backup,
}

/// The response to a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Response {
    /// The identity of the process.
    #[serde(rename = "hello")]
    Identity(Identity),
    /// The result of a command, and the terms of leases.
    Reply(CommandResult, LeaseTerms),
    /// The lease is renewed.
    Renewed(LeaseTerms),
    /// The lease has expired; the sender must not act on it.
    #[serde(rename = "ended")]
    Expired,
    /// The lease is not renewed: a newer process has the name, or waits for it.
    #[serde(rename = "displaced")]
    Superseded,
    /// The members and records that were read.
    Read(View),
    /// Changes for a watch.
    Changes {
        /// In order, without a gap.
        changes: Vec<Change>,
        /// The revision to watch from next.
        upto: Revision,
    },
    /// The status of the process and, if it leads, the microseconds since each member renewed its lease.
    Status(NodeStatus, BTreeMap<String, Time>),
    /// The processes of the cluster have been changed.
    #[serde(rename = "replaced")]
    PeersChanged,
    /// The whole state as JSON.
    #[serde(rename = "copy")]
    Backup(String),
    /// The request is refused.
    Refused(Refusal),
}

/// Members and records as of one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The cluster that the revision is of.
    #[serde(rename = "history")]
    pub cluster_id: ClusterId,
    /// The revision.
    pub revision: Revision,
    /// How old this is at most, in microseconds; none if the process cannot tell. 0 for a linearizable read.
    #[serde(rename = "age")]
    pub max_staleness: Option<Time>,
    /// The processes of the cluster.
    pub peers: BTreeMap<NodeId, Peer>,
    /// The members by name, if they were asked for.
    pub members: BTreeMap<String, Member>,
    /// The records that were asked for, by key.
    pub records: BTreeMap<String, Record>,
}

/// Why a request is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The sender belongs to another fleet.
    #[error("this is fleet {expected:?}; the message is of {received:?}")]
    #[serde(rename = "other_fleet")]
    FleetMismatch {
        /// The fleet of this process.
        #[serde(rename = "own")]
        expected: String,
        /// The sender's.
        #[serde(rename = "theirs")]
        received: String,
    },
    /// The sender speaks another version of the protocol.
    #[error("this process speaks version {expected}; the message is of {received}")]
    #[serde(rename = "other_protocol")]
    ProtocolMismatch {
        /// The version of this process.
        #[serde(rename = "own")]
        expected: u32,
        /// The sender's.
        #[serde(rename = "theirs")]
        received: u32,
    },
    /// A newer process has the sender's name.
    #[error("{name} has a newer incarnation, {newer}")]
    OlderIncarnation {
        /// The name.
        name: String,
        /// The newer incarnation.
        newer: Incarnation,
    },
    /// This process is not the leader.
    #[error("this process does not lead; {} may", .leader.as_ref().map_or("nobody that it knows", |peer| &peer.name))]
    NotLeader {
        /// The leader, if this process knows one.
        leader: Option<Peer>,
    },
    /// The outcome is unknown: the request may have been carried out, or may still be. Repeat it with the same number.
    #[error("whether it was done is unknown; ask again with the same number")]
    Unknown,
    /// A limit would be exceeded.
    #[error(transparent)]
    #[serde(rename = "over")]
    LimitExceeded(LimitExceeded),
    /// The changes that a watch asks for are not kept any more, or are of another cluster. Read everything, and watch from
    /// there.
    #[error("changes are only kept from revision {oldest} of history {cluster_id} on")]
    Compacted {
        /// The cluster of this process.
        #[serde(rename = "history")]
        cluster_id: ClusterId,
        /// The oldest revision that can be watched from.
        oldest: Revision,
    },
    /// This process is not part of a cluster yet, for this reason.
    #[error("this process takes part in no council: {0}")]
    NotFormed(String),
    /// The request cannot be carried out, for this reason.
    #[error("{0}")]
    #[serde(rename = "impossible")]
    FailedPrecondition(String),
}

/// Checks that a request is of this fleet and this version of the protocol.
///
/// # Errors
///
/// [`Refusal::FleetMismatch`] or [`Refusal::ProtocolMismatch`].
pub fn check_envelope(envelope: &Envelope, fleet: &str) -> Result<(), Refusal> {
    if envelope.fleet != fleet {
        return Err(Refusal::FleetMismatch { expected: fleet.into(), received: envelope.fleet.clone() });
    }
    if envelope.protocol != PROTOCOL {
        return Err(Refusal::ProtocolMismatch { expected: PROTOCOL, received: envelope.protocol });
    }
    Ok(())
}
