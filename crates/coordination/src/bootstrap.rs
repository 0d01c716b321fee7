//! Who may form a council. Each disk draws a number when it is new, and that number is its process's number in Raft: a process
//! that comes back under its old name with an empty disk is another one, whose vote nobody counts. A council is formed
//! once, by all the processes that the files name, when each is known to have an empty disk.

use crate::log::{encode, DurableState};
use crate::state::{Peer, State};
use raft::eraftpb::{HardState, Snapshot};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The beginning of a council: which history it is, and who is in it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterInfo {
    /// Drawn by whoever formed it.
    #[serde(rename = "history")]
    pub cluster_id: u64,
    /// The processes, by the numbers of their disks.
    pub peers: BTreeMap<u64, Peer>,
}

/// What a disk says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Drawn when the disk was new; not 0.
    #[serde(rename = "number")]
    pub node_id: u64,
    /// The process's name.
    pub name: String,
    /// What it takes part in, if anything yet.
    #[serde(rename = "formation")]
    pub cluster: Option<ClusterInfo>,
}

/// What a process does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BootstrapStep {
    /// It asks again: these have not answered.
    Wait(Vec<String>),
    /// It writes this down, and takes part.
    Form(ClusterInfo),
    /// It has an empty disk, and a council exists. It neither votes nor forms another; it waits to be taken in.
    Outside {
        /// The council's history.
        cluster_id: u64,
        /// Its name is in the council under another disk.
        is_replaced: bool,
    },
}

/// Decides from what has been heard. `peers` are all processes that the file names, with this one; `heard` are the answers
/// of the others by name.
pub fn next_step(
    own: &Identity,
    peers: &[Peer],
    heard: &BTreeMap<String, Identity>,
    history: u64,
) -> BootstrapStep {
    if let Some(formation) = &own.cluster {
        return BootstrapStep::Form(formation.clone());
    }
    if let Some(formation) = heard.values().find_map(|other| other.cluster.as_ref()) {
        if formation.peers.contains_key(&own.node_id) {
            return BootstrapStep::Form(formation.clone());
        }
        let replaced = formation.peers.values().any(|peer| peer.name == own.name);
        return BootstrapStep::Outside { cluster_id: formation.cluster_id, is_replaced: replaced };
    }
    let silent = peers.iter().filter(|peer| peer.name != own.name && !heard.contains_key(&peer.name));
    let mut silent: Vec<String> = silent.map(|peer| peer.name.clone()).collect();
    let first = peers.iter().map(|peer| &peer.name).min();
    if silent.is_empty() && first.is_some_and(|first| *first != own.name) {
        // One alone forms it, and the others hear of it.
        silent.extend(first.cloned());
    }
    if !silent.is_empty() {
        return BootstrapStep::Wait(silent);
    }
    let number = |name: &str| heard.get(name).map_or(own.node_id, |other| other.node_id);
    BootstrapStep::Form(ClusterInfo {
        cluster_id: history,
        peers: peers.iter().map(|peer| (number(&peer.name), peer.clone())).collect(),
    })
}

/// What a process writes down at first: the same at all.
pub fn initial_state(formation: &ClusterInfo) -> DurableState {
    durable_state_of(&State::new(formation.cluster_id, formation.peers.clone()))
}

/// What the one process of a council begins with that is made of a copy. Others are taken in afterwards.
pub fn restored_state(copy: State, history: u64, number: u64, peer: Peer) -> DurableState {
    durable_state_of(&copy.restored_as(history, BTreeMap::from([(number, peer)])))
}

fn durable_state_of(state: &State) -> DurableState {
    let mut snapshot = Snapshot::default();
    snapshot.set_data(serde_json::to_vec(state).unwrap_or_default().into());
    let about = snapshot.mut_metadata();
    (about.index, about.term) = (1, 1);
    about.mut_conf_state().voters = state.peers.keys().copied().collect();
    let hard = HardState { term: 1, commit: 1, ..HardState::default() };
    DurableState {
        hard_state: Some(encode(&hard)),
        snapshot: Some(encode(&snapshot)),
        entries: BTreeMap::new(),
        compacted: (1, 1),
    }
}
