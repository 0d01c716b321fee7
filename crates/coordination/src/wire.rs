//! The requests and responses that processes exchange, as JSON. Each request is sent with an [`Envelope`]. The field and
//! variant names on the wire are fixed; a serde `rename` keeps them where the name in the code differs.

use crate::bootstrap::Identity;
use crate::lease::LeaseTerms;
use crate::node::NodeStatus;
use crate::state::{Change, ClusterId, CommandRequest, CommandResult, Member, Peer, Record, Revision};
use crate::{Incarnation, LimitExceeded, NodeId, Term, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The version of the protocol.
pub const PROTOCOL: u32 = 1;

/// The fields that describe the sender of a request.
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
        /// Whether the state of this process may be returned, however old it is; otherwise the read is linearizable.
        stale: bool,
        /// The prefix of the keys to read; empty for all records.
        prefix: String,
        /// Whether members are read.
        members: bool,
    },
    /// Waits for changes after a revision.
    Watch {
        /// The cluster that the revision belongs to.
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
    /// The lease is not renewed: a newer process of the same name has joined, or waits to join.
    #[serde(rename = "displaced")]
    Superseded,
    /// The members and records that were read.
    Read(View),
    /// Changes for a watch.
    Changes {
        /// The changes in order, without gaps.
        changes: Vec<Change>,
        /// The revision to watch from next.
        upto: Revision,
    },
    /// The status of the process and, if it is the leader, the microseconds since each member renewed its lease.
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

/// The members and records at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The cluster that the revision belongs to.
    #[serde(rename = "history")]
    pub cluster_id: ClusterId,
    /// The revision.
    pub revision: Revision,
    /// The maximum age of the view in microseconds; 0 for a linearizable read, none if it is unknown.
    #[serde(rename = "age")]
    pub max_staleness: Option<Time>,
    /// The processes of the cluster.
    pub peers: BTreeMap<NodeId, Peer>,
    /// The members by name, if they were requested.
    pub members: BTreeMap<String, Member>,
    /// The requested records by key.
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
        /// The fleet in the message.
        #[serde(rename = "theirs")]
        received: String,
    },
    /// The sender uses another version of the protocol.
    #[error("this process uses version {expected} of the protocol; the message has version {received}")]
    #[serde(rename = "other_protocol")]
    ProtocolMismatch {
        /// The version of this process.
        #[serde(rename = "own")]
        expected: u32,
        /// The version in the message.
        #[serde(rename = "theirs")]
        received: u32,
    },
    /// A newer process of the sender's name has joined.
    #[error("{name} has a newer incarnation, {newer}")]
    OlderIncarnation {
        /// The name.
        name: String,
        /// The newer incarnation.
        newer: Incarnation,
    },
    /// This process is not the leader.
    #[error("this process is not the leader; the leader is {}", .leader.as_ref().map_or("unknown", |peer| &peer.name))]
    NotLeader {
        /// The leader, if this process knows one.
        leader: Option<Peer>,
    },
    /// The outcome is unknown: the request may have been executed, or may still be. Repeat it with the same number.
    #[error("the outcome of the request is unknown; repeat it with the same number")]
    Unknown,
    /// A limit would be exceeded.
    #[error(transparent)]
    #[serde(rename = "over")]
    LimitExceeded(LimitExceeded),
    /// Some of the changes that a watch requests are no longer kept, or belong to another cluster. Read the state, and watch
    /// from its revision.
    #[error("only changes after revision {oldest} of cluster {cluster_id} are kept")]
    Compacted {
        /// The cluster of this process.
        #[serde(rename = "history")]
        cluster_id: ClusterId,
        /// The oldest revision that can be watched from.
        oldest: Revision,
    },
    /// This process is not part of a cluster yet, for this reason.
    #[error("this process is not part of a council: {0}")]
    NotFormed(String),
    /// The request cannot be executed, for this reason.
    #[error("{0}")]
    #[serde(rename = "impossible")]
    FailedPrecondition(String),
}

/// Checks that a request belongs to this fleet and has this version of the protocol.
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
