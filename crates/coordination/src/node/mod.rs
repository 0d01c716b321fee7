//! One coordination process: the replicated state on top of the Raft library.
//!
//! Input arrives through [`Node::tick`], [`Node::receive`] and [`Node::submit`]. [`Node::advance`] then stores what must be
//! durable and returns the messages to send and the results of operations. No method blocks, and time is an argument.

mod apply;
mod context;
mod election;
mod error;
mod membership;
mod message;
mod operation;
mod read_round;
mod ready;
mod settings;
mod status;

pub use error::NodeError;
pub use operation::{Operation, OperationId, OperationResult};
pub use ready::Output;
pub use settings::NodeSettings;
pub use status::NodeStatus;

use crate::lease::{LeaseTable, LeaseTerms};
use crate::log::{DiskError, DurableState, ReplicatedLog};
use crate::state::{ClusterId, State};
use crate::{Incarnation, LogIndex, NodeId, Term, Time};
use raft::{RawNode, StateRole};
use read_round::{ConfirmedRound, Round};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum size of the entries in one message.
const MAX_MESSAGE_ENTRY_BYTES: u64 = 1 << 20;
/// The maximum number of messages with entries in flight to one follower.
const MAX_MESSAGES_IN_FLIGHT: usize = 64;
/// The maximum size of entries that are proposed but not committed; further proposals are rejected.
const MAX_UNCOMMITTED_BYTES: u64 = 16 << 20;

/// One coordination process.
pub struct Node {
    raw_node: RawNode<ReplicatedLog>,
    settings: NodeSettings,
    state: State,
    applied_index: LogIndex,
    /// Distinguishes this node's proposals from those before its last restart.
    boot_id: u64,
    /// The number of the next operation or read round.
    next_number: u64,
    /// Operations without a result, and when each was submitted.
    pending: BTreeMap<OperationId, Time>,
    /// Reads and renewals that wait for the next round.
    next_round: Round,
    rounds_in_flight: BTreeMap<u64, Round>,
    confirmed_rounds: Vec<ConfirmedRound>,
    /// Whether there was a tick since the last round started.
    has_ticked: bool,
    /// The state contains all changes that completed before this time.
    fresh_as_of: Option<Time>,
    last_round_at: Time,
    /// The current term, if this node is its leader.
    leading_term: Option<Term>,
    leases: LeaseTable,
    /// Leases whose expiry this leader has proposed.
    expiring: BTreeSet<(String, Incarnation)>,
    /// When each snapshot that is not acknowledged yet was sent, by receiver.
    snapshots_sent: BTreeMap<NodeId, Time>,
    results: Vec<(OperationId, OperationResult)>,
    /// Messages that this node sends in addition to those of the Raft library.
    extra_messages: Vec<(NodeId, Vec<u8>)>,
    tick_count: u64,
    now: Time,
    /// The error that stopped the node. Its memory may be ahead of the disk.
    failure: Option<NodeError>,
}

impl Node {
    /// Creates a node from the data on its disk. `node_id` is the id of that disk; `boot_id` is a random number for this start.
    ///
    /// # Errors
    ///
    /// Fails if the stored data is unusable.
    pub fn new(
        node_id: NodeId,
        stored: &DurableState,
        settings: NodeSettings,
        boot_id: u64,
        now: Time,
    ) -> Result<Node, NodeError> {
        let log = ReplicatedLog::new(stored)?;
        let snapshot = log.latest_snapshot();
        let applied_index = snapshot.get_metadata().index;
        let state = match snapshot.get_data() {
            [] => State::new(ClusterId::NONE, BTreeMap::new()),
            data => decode_state(data)?,
        };
        let config = raft_config(node_id, applied_index, &settings);
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let mut node = Node {
            raw_node: RawNode::new(&config, log, &logger)?,
            settings,
            state,
            applied_index,
            boot_id,
            next_number: 1,
            pending: BTreeMap::new(),
            next_round: Round::default(),
            rounds_in_flight: BTreeMap::new(),
            confirmed_rounds: Vec::new(),
            has_ticked: false,
            fresh_as_of: None,
            last_round_at: now,
            leading_term: None,
            leases: LeaseTable::default(),
            expiring: BTreeSet::new(),
            snapshots_sent: BTreeMap::new(),
            results: Vec::new(),
            extra_messages: Vec::new(),
            tick_count: 0,
            now,
            failure: None,
        };
        node.draw_election_timeout();
        Ok(node)
    }

    /// Returns the replicated state up to the last log entry that this node has applied.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the id of this node.
    pub fn node_id(&self) -> NodeId {
        self.raw_node.raft.id
    }

    /// Returns the terms of leases.
    pub fn lease_terms(&self) -> LeaseTerms {
        self.settings.lease_terms
    }

    /// Returns whether this node considers itself the leader.
    pub fn is_leader(&self) -> bool {
        self.failure.is_none() && self.raw_node.raft.state == StateRole::Leader
    }

    /// Returns the leader that this node knows, if any.
    pub fn leader(&self) -> Option<NodeId> {
        Some(self.raw_node.raft.leader_id).filter(|node_id| *node_id != raft::INVALID_ID)
    }

    /// Returns the whole state as JSON, for backups and snapshots.
    pub fn export_state(&self) -> Vec<u8> {
        serde_json::to_vec(&self.state).unwrap_or_default()
    }
}

fn raft_config(node_id: NodeId, applied_index: LogIndex, settings: &NodeSettings) -> raft::Config {
    raft::Config {
        id: node_id,
        election_tick: settings.election_ticks,
        heartbeat_tick: settings.heartbeat_ticks,
        applied: applied_index,
        max_size_per_msg: MAX_MESSAGE_ENTRY_BYTES,
        max_inflight_msgs: MAX_MESSAGES_IN_FLIGHT,
        max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
        check_quorum: true,
        pre_vote: true,
        ..raft::Config::default()
    }
}

/// Decodes the data of a snapshot.
fn decode_state(data: &[u8]) -> Result<State, NodeError> {
    let state = serde_json::from_slice(data);
    Ok(state.map_err(|e| DiskError::Unusable(format!("the snapshot can't be read: {e}")))?)
}
