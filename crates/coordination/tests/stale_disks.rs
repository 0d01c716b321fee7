//! Disks are replaced by older copies. A node that detects this must stop with an error, and the Raft library must not panic.

use heronhoist_coordination::bootstrap::{initial_state, ClusterInfo};
use heronhoist_coordination::log::{Disk, DiskError, DurableState, WriteBatch};
use heronhoist_coordination::node::{Node, NodeError, NodeSettings, Operation, OperationResult};
use heronhoist_coordination::state::{ClusterId, Command, CommandRequest, CommandResult, Peer, Txn, Write};
use std::collections::BTreeMap;

#[derive(Clone)]
struct MemoryDisk(DurableState);

impl Disk for MemoryDisk {
    fn save(&mut self, batch: &WriteBatch) -> Result<(), DiskError> {
        self.0.apply(batch);
        Ok(())
    }
}

struct Process {
    node: Node,
    disk: MemoryDisk,
    /// No message reaches it, and none of its messages reaches the others.
    isolated: bool,
    error: Option<NodeError>,
}

struct Cluster {
    processes: BTreeMap<u64, Process>,
    now: u64,
    last_boot_id: u64,
}

fn write(key: &str) -> CommandRequest {
    let writes = vec![Write::Put(format!("note/{key}"), "x".into())];
    CommandRequest { session: None, command: Command::Write(Txn { checks: Vec::new(), writes }) }
}

impl Cluster {
    fn new() -> Cluster {
        let peers = [1, 2, 3].map(|n| (n, Peer { name: format!("c{n}"), address: String::new() }));
        let initial = initial_state(&ClusterInfo { cluster_id: ClusterId(1), peers: peers.into() });
        let mut cluster = Cluster { processes: BTreeMap::new(), now: 0, last_boot_id: 0 };
        for node_id in 1..=3 {
            cluster.start(node_id, MemoryDisk(initial.clone()));
        }
        cluster
    }

    fn start(&mut self, node_id: u64, disk: MemoryDisk) {
        self.last_boot_id += 7919; // a prime step, so that the nodes draw different timeouts
        let node = Node::new(node_id, &disk.0, NodeSettings::default(), self.last_boot_id, self.now)
            .expect("a valid disk");
        self.processes.insert(node_id, Process { node, disk, isolated: false, error: None });
    }

    /// Ticks every node and delivers all messages. A node that has failed sends nothing more.
    fn step(&mut self) -> Vec<OperationResult> {
        self.now += NodeSettings::default().tick_interval;
        for process in self.processes.values_mut() {
            process.node.tick(self.now);
        }
        self.exchange()
    }

    /// Delivers messages until there are none. Returns the results of operations.
    fn exchange(&mut self) -> Vec<OperationResult> {
        let now = self.now;
        let mut results = Vec::new();
        loop {
            let mut sent = Vec::new();
            for process in self.processes.values_mut().filter(|process| process.error.is_none()) {
                let output = process.node.advance(&mut process.disk, now).expect("no error");
                results.extend(output.results.into_iter().map(|(_, result)| result));
                sent.extend(output.messages.into_iter().filter(|_| !process.isolated));
            }
            if sent.is_empty() {
                return results;
            }
            for (to, message) in sent {
                let Some(process) = self.processes.get_mut(&to) else { continue };
                if !process.isolated && process.error.is_none() {
                    process.error = process.node.receive(now, &message).err();
                }
            }
        }
    }

    /// The leader among the nodes that are not isolated.
    fn leader(&mut self) -> u64 {
        for _ in 0..200 {
            let mut connected = self.processes.iter().filter(|(_, process)| !process.isolated);
            if let Some((node_id, _)) = connected.find(|(_, process)| process.node.is_leader()) {
                return *node_id;
            }
            self.step();
        }
        panic!("no leader was elected");
    }

    fn write_and_wait(&mut self, key: &str) {
        let leader = self.leader();
        let process = self.processes.get_mut(&leader).expect("one of three");
        process.node.submit(self.now, Operation::Command(write(key)));
        for _ in 0..20 {
            if self
                .step()
                .iter()
                .any(|result| matches!(result, OperationResult::Reply(CommandResult::Done(_))))
            {
                return;
            }
        }
        panic!("{key} was not written");
    }

    fn run_steps(&mut self, count: usize) {
        (0..count).for_each(|_| drop(self.step()));
    }
}

#[test]
fn a_node_stops_when_the_others_have_lost_committed_entries() {
    let mut cluster = Cluster::new();
    cluster.write_and_wait("a");
    cluster.run_steps(20);
    let copies: Vec<(u64, MemoryDisk)> =
        cluster.processes.iter().map(|(node_id, process)| (*node_id, process.disk.clone())).collect();
    for key in ["b", "c", "d"] {
        cluster.write_and_wait(key);
    }
    cluster.run_steps(20);
    let isolated = cluster.leader();
    cluster.processes.get_mut(&isolated).expect("one of three").isolated = true;
    for (node_id, copy) in copies.into_iter().filter(|(node_id, _)| *node_id != isolated) {
        cluster.start(node_id, copy);
    }
    for key in ["e", "f", "g", "h"] {
        cluster.write_and_wait(key);
    }
    cluster.processes.get_mut(&isolated).expect("one of three").isolated = false;
    cluster.run_steps(60);
    let error = cluster.processes[&isolated].error.clone();
    assert!(matches!(error, Some(NodeError::DivergedHistory(_))), "{error:?}");
    cluster.write_and_wait("i");
}

#[test]
fn a_node_with_a_stale_disk_stops_even_if_entries_arrive_before_a_heartbeat() {
    let mut cluster = Cluster::new();
    cluster.write_and_wait("a");
    cluster.run_steps(20);
    let leader = cluster.leader();
    let follower =
        cluster.processes.keys().copied().find(|node_id| *node_id != leader).expect("one of three");
    let copy = cluster.processes[&follower].disk.clone();
    for key in ["b", "c"] {
        cluster.write_and_wait(key);
    }
    cluster.run_steps(20);
    cluster.start(follower, copy);
    // The next message to the follower has an entry after those that it has lost.
    let process = cluster.processes.get_mut(&leader).expect("one of three");
    process.node.submit(cluster.now, Operation::Command(write("d")));
    cluster.exchange();
    cluster.run_steps(20);
    let error = cluster.processes[&follower].error.clone();
    assert!(matches!(error, Some(NodeError::StaleDisk { .. })), "{error:?}");
    assert_eq!(cluster.leader(), leader);
    cluster.write_and_wait("e");
}
