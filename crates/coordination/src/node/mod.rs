//! One council process: the agreed state behind the core of the Raft library, driven by hand. Messages and questions come
//! in, [`Node::advance`] writes down and hands out messages and answers; nothing here waits, and time is an argument.

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
use crate::state::State;
use crate::Time;
use raft::{RawNode, StateRole};
use read_round::Round;
use std::collections::{BTreeMap, BTreeSet};

/// One council process.
pub struct Node {
    raft: RawNode<ReplicatedLog>,
    settings: NodeSettings,
    state: State,
    applied_index: u64,
    /// What tells this life's proposals from those of other processes and earlier lives.
    boot_id: u64,
    next_id: u64,
    pending: BTreeMap<OperationId, Time>,
    next_round: Round,
    rounds_in_flight: BTreeMap<u64, Round>,
    confirmed_rounds: Vec<(u64, Round)>,
    has_ticked: bool,
    fresh_as_of: Option<Time>,
    last_round_at: Time,
    leading_term: Option<u64>,
    leases: LeaseTable,
    expiring: BTreeSet<(String, u64)>,
    snapshots_sent: BTreeMap<u64, Time>,
    results: Vec<(OperationId, OperationResult)>,
    /// What others are told beside what the library says.
    extra_messages: Vec<(u64, Vec<u8>)>,
    tick_count: u64,
    now: Time,
    /// What it must not go on after: it holds what the disk may not.
    failure: Option<NodeError>,
}

impl Node {
    /// A process as it was written down. `number` is that of its disk; `life` is drawn anew at each start.
    pub fn new(
        number: u64,
        image: &DurableState,
        settings: NodeSettings,
        life: u64,
        now: Time,
    ) -> Result<Node, NodeError> {
        let log = ReplicatedLog::new(image)?;
        let state = match log.latest_snapshot().get_data() {
            [] => State::new(0, BTreeMap::new()),
            data => decode_state(data)?,
        };
        let applied = log.latest_snapshot().get_metadata().index;
        let config = raft::Config {
            id: number,
            election_tick: settings.election_ticks,
            heartbeat_tick: settings.heartbeat_ticks,
            applied,
            max_size_per_msg: 1 << 20,
            max_inflight_msgs: 64,
            max_uncommitted_size: 16 << 20,
            check_quorum: true,
            pre_vote: true,
            ..raft::Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&config, log, &logger).map_err(|e| NodeError::Raft(e.to_string()))?;
        let mut node = Node {
            raft: raw,
            settings,
            state,
            applied_index: applied,
            boot_id: life,
            next_id: 1,
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

    /// The agreed state, as far as this process has it.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// This process's number.
    pub fn node_id(&self) -> u64 {
        self.raft.raft.id
    }

    /// Of leases.
    pub fn lease_terms(&self) -> LeaseTerms {
        self.settings.lease_terms
    }

    /// Whether it believes that it leads.
    pub fn is_leader(&self) -> bool {
        self.failure.is_none() && self.raft.raft.state == StateRole::Leader
    }

    /// The number of the leader it knows.
    pub fn leader(&self) -> Option<u64> {
        Some(self.raft.raft.leader_id).filter(|number| *number != 0)
    }

    /// The copy that restores are made of.
    pub fn export_state(&self) -> Vec<u8> {
        serde_json::to_vec(&self.state).unwrap_or_default()
    }
}

fn decode_state(data: &[u8]) -> Result<State, NodeError> {
    serde_json::from_slice(data)
        .map_err(|e| NodeError::Disk(DiskError::Unusable(format!("the snapshot can't be read: {e}"))))
}

fn numbers(context: &[u8]) -> Option<[u64; 3]> {
    let number = |at: usize| Some(u64::from_le_bytes(context.get(at..at + 8)?.try_into().ok()?));
    Some([number(0)?, number(8)?, number(16)?])
}
