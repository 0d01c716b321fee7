//! How a cluster of coordination processes is formed, and how a backup is restored.
//!
//! A random number is drawn for each new disk and is the [`NodeId`] of its process. A process that restarts under its old name
//! with an empty disk is therefore another node, which has no vote. A cluster is formed once, by all configured processes
//! together, when all of them are known to have empty disks.

use crate::log::{encode, DurableState, LogPosition};
use crate::state::{ClusterId, Peer, State};
use crate::NodeId;
use raft::eraftpb::{HardState, Snapshot};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The position of the snapshot with which every node of a new cluster starts.
const INITIAL_POSITION: LogPosition = LogPosition { index: 1, term: 1 };

/// A cluster: its id, and the processes in it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterInfo {
    /// A random number, drawn by the process that forms the cluster.
    #[serde(rename = "history")]
    pub cluster_id: ClusterId,
    /// The processes.
    pub peers: BTreeMap<NodeId, Peer>,
}

/// The identity of a coordination process, as its disk stores it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The random number that was drawn when the disk was initialized.
    #[serde(rename = "number")]
    pub node_id: NodeId,
    /// The process's name.
    pub name: String,
    /// The cluster that it belongs to, if any.
    #[serde(rename = "formation")]
    pub cluster: Option<ClusterInfo>,
}

/// The next step of a process towards being part of a cluster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BootstrapStep {
    /// The process waits for these others, and asks them for their identities again.
    Wait(Vec<String>),
    /// The process stores this cluster and becomes a node of it.
    Form(ClusterInfo),
    /// The disk is empty, and a cluster exists without it. The process neither votes nor forms another cluster; an operator has
    /// to add it.
    Excluded {
        /// The existing cluster.
        cluster_id: ClusterId,
        /// Whether the cluster contains a process of the same name with another disk.
        is_disk_replaced: bool,
    },
}

/// Returns the next step of the process `own`. `peers` are all configured processes, including `own`. `responses` are the
/// identities of the others that responded, by name. `new_id` is the id of the cluster if this process forms one.
#[must_use]
pub fn next_step(
    own: &Identity,
    peers: &[Peer],
    responses: &BTreeMap<String, Identity>,
    new_id: ClusterId,
) -> BootstrapStep {
    if let Some(cluster) = &own.cluster {
        return BootstrapStep::Form(cluster.clone());
    }
    if let Some(cluster) = responses.values().find_map(|other| other.cluster.as_ref()) {
        return step_for_existing_cluster(own, cluster);
    }
    let has_not_responded = |peer: &&Peer| peer.name != own.name && !responses.contains_key(&peer.name);
    let mut awaited: Vec<String> =
        peers.iter().filter(has_not_responded).map(|peer| peer.name.clone()).collect();
    let lowest_name = peers.iter().map(|peer| &peer.name).min();
    if awaited.is_empty() && lowest_name.is_some_and(|name| *name != own.name) {
        // Only the process with the lowest name forms the cluster; the others learn of it from that process's identity.
        awaited.extend(lowest_name.cloned());
    }
    if !awaited.is_empty() {
        return BootstrapStep::Wait(awaited);
    }
    let node_id = |name: &str| responses.get(name).map_or(own.node_id, |other| other.node_id);
    let peers = peers.iter().map(|peer| (node_id(&peer.name), peer.clone())).collect();
    BootstrapStep::Form(ClusterInfo { cluster_id: new_id, peers })
}

fn step_for_existing_cluster(own: &Identity, cluster: &ClusterInfo) -> BootstrapStep {
    if cluster.peers.contains_key(&own.node_id) {
        return BootstrapStep::Form(cluster.clone());
    }
    let is_disk_replaced = cluster.peers.values().any(|peer| peer.name == own.name);
    BootstrapStep::Excluded { cluster_id: cluster.cluster_id, is_disk_replaced }
}

/// Returns the first durable state of the nodes of a new cluster, which is the same on all of them.
#[must_use]
pub fn initial_state(cluster: &ClusterInfo) -> DurableState {
    durable_state_of(&State::new(cluster.cluster_id, cluster.peers.clone()))
}

/// Returns the first durable state of the only node of a cluster that is restored from a backup. Further nodes are added
/// later.
#[must_use]
pub fn restored_state(backup: State, cluster_id: ClusterId, node_id: NodeId, peer: Peer) -> DurableState {
    durable_state_of(&backup.restored_as(cluster_id, BTreeMap::from([(node_id, peer)])))
}

fn durable_state_of(state: &State) -> DurableState {
    let mut snapshot = Snapshot::default();
    snapshot.set_data(serde_json::to_vec(state).unwrap_or_default().into());
    let metadata = snapshot.mut_metadata();
    metadata.index = INITIAL_POSITION.index;
    metadata.term = INITIAL_POSITION.term;
    metadata.mut_conf_state().voters = state.peers.keys().copied().collect();
    let hard_state =
        HardState { term: INITIAL_POSITION.term, commit: INITIAL_POSITION.index, ..HardState::default() };
    DurableState {
        hard_state: Some(encode(&hard_state)),
        snapshot: Some(encode(&snapshot)),
        entries: BTreeMap::new(),
        compacted: INITIAL_POSITION,
    }
}
