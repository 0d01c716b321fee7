//! One council process: the agreed state behind the core of the Raft library, driven by hand. Messages and questions come
//! in, [`Node::work`] writes down and hands out messages and answers; nothing here waits, and time is an argument.

mod fault;
mod leadership;
mod question;
mod receive;
mod replacement;
mod round;
mod settings;
mod standpoint;
mod work;

pub use fault::Fault;
pub use question::{Answer, Ask, Ticket};
pub use settings::Settings;
pub use standpoint::Standpoint;
pub use work::Output;

use crate::lease::{Table, Terms};
use crate::log::{DiskFault, Image, Log};
use crate::state::State;
use crate::Time;
use raft::{RawNode, StateRole};
use round::Round;
use std::collections::{BTreeMap, BTreeSet};

/// One council process.
pub struct Node {
    raw: RawNode<Log>,
    settings: Settings,
    state: State,
    applied: u64,
    /// What tells this life's proposals from those of other processes and earlier lives.
    life: u64,
    next: u64,
    pending: BTreeMap<Ticket, Time>,
    gathered: Round,
    rounds: BTreeMap<u64, Round>,
    confirmed: Vec<(u64, Round)>,
    ticked: bool,
    fresh_at: Option<Time>,
    fresh_asked: Time,
    led: Option<u64>,
    table: Table,
    ending: BTreeSet<(String, u64)>,
    snapshots_sent: BTreeMap<u64, Time>,
    answers: Vec<(Ticket, Answer)>,
    /// What others are told beside what the library says.
    told: Vec<(u64, Vec<u8>)>,
    ticks: u64,
    now: Time,
    /// What it must not go on after: it holds what the disk may not.
    failed: Option<Fault>,
}

impl Node {
    /// A process as it was written down. `number` is that of its disk; `life` is drawn anew at each start.
    pub fn new(number: u64, image: &Image, settings: Settings, life: u64, now: Time) -> Result<Node, Fault> {
        let log = Log::new(image)?;
        let state = match log.newest().get_data() {
            [] => State::new(0, BTreeMap::new()),
            data => read_state(data)?,
        };
        let applied = log.newest().get_metadata().index;
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
        let raw = RawNode::new(&config, log, &logger).map_err(|e| Fault::Raft(e.to_string()))?;
        let mut node = Node {
            raw,
            settings,
            state,
            applied,
            life,
            next: 1,
            pending: BTreeMap::new(),
            gathered: Round::default(),
            rounds: BTreeMap::new(),
            confirmed: Vec::new(),
            ticked: false,
            fresh_at: None,
            fresh_asked: now,
            led: None,
            table: Table::default(),
            ending: BTreeSet::new(),
            snapshots_sent: BTreeMap::new(),
            answers: Vec::new(),
            told: Vec::new(),
            ticks: 0,
            now,
            failed: None,
        };
        node.draw_timeout();
        Ok(node)
    }

    /// The agreed state, as far as this process has it.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// This process's number.
    pub fn number(&self) -> u64 {
        self.raw.raft.id
    }

    /// Of leases.
    pub fn terms(&self) -> Terms {
        self.settings.terms
    }

    /// Whether it believes that it leads.
    pub fn leads(&self) -> bool {
        self.failed.is_none() && self.raw.raft.state == StateRole::Leader
    }

    /// The number of the leader it knows.
    pub fn leader(&self) -> Option<u64> {
        Some(self.raw.raft.leader_id).filter(|number| *number != 0)
    }

    /// The copy that restores are made of.
    pub fn copy(&self) -> Vec<u8> {
        serde_json::to_vec(&self.state).unwrap_or_default()
    }
}

fn read_state(data: &[u8]) -> Result<State, Fault> {
    serde_json::from_slice(data)
        .map_err(|e| Fault::Disk(DiskFault::Unusable(format!("the snapshot can't be read: {e}"))))
}

fn numbers(context: &[u8]) -> Option<[u64; 3]> {
    let number = |at: usize| Some(u64::from_le_bytes(context.get(at..at + 8)?.try_into().ok()?));
    Some([number(0)?, number(8)?, number(16)?])
}
