//! Disks that were replaced by older copies: a node that detects this ends with an error, and the Raft library never panics.

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
    fault: Option<NodeError>,
}

struct Cluster {
    processes: BTreeMap<u64, Process>,
    now: u64,
    boots: u64,
}

fn write(key: &str) -> CommandRequest {
    let writes = vec![Write::Put(format!("note/{key}"), "x".into())];
    CommandRequest { session: None, command: Command::Write(Txn { checks: Vec::new(), writes }) }
}

impl Cluster {
    fn new() -> Cluster {
        let peers = [1, 2, 3].map(|n| (n, Peer { name: format!("c{n}"), address: String::new() }));
        let initial = initial_state(&ClusterInfo { cluster_id: ClusterId(1), peers: peers.into() });
        let mut cluster = Cluster { processes: BTreeMap::new(), now: 0, boots: 0 };
        for number in 1..=3 {
            cluster.start(number, MemoryDisk(initial.clone()));
        }
        cluster
    }

    fn start(&mut self, number: u64, disk: MemoryDisk) {
        self.boots += 7919; // a prime step, so that the nodes draw different timeouts
        let node =
            Node::new(number, &disk.0, NodeSettings::default(), self.boots, self.now).expect("a sound disk");
        self.processes.insert(number, Process { node, disk, isolated: false, fault: None });
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
        let mut answers = Vec::new();
        loop {
            let mut sent = Vec::new();
            for process in self.processes.values_mut().filter(|process| process.fault.is_none()) {
                let output = process.node.advance(&mut process.disk, now).expect("it goes on");
                answers.extend(output.results.into_iter().map(|(_, answer)| answer));
                sent.extend(output.messages.into_iter().filter(|_| !process.isolated));
            }
            if sent.is_empty() {
                return answers;
            }
            for (to, message) in sent {
                let Some(process) = self.processes.get_mut(&to) else { continue };
                if !process.isolated && process.fault.is_none() {
                    process.fault = process.node.receive(now, &message).err();
                }
            }
        }
    }

    /// The leader among the nodes that are not isolated.
    fn leader(&mut self) -> u64 {
        for _ in 0..200 {
            let mut near = self.processes.iter().filter(|(_, process)| !process.isolated);
            if let Some((number, _)) = near.find(|(_, process)| process.node.is_leader()) {
                return *number;
            }
            self.step();
        }
        panic!("nobody leads");
    }

    fn written(&mut self, key: &str) {
        let leader = self.leader();
        let process = self.processes.get_mut(&leader).expect("one of three");
        process.node.submit(self.now, Operation::Command(write(key)));
        for _ in 0..20 {
            if self
                .step()
                .iter()
                .any(|answer| matches!(answer, OperationResult::Reply(CommandResult::Done(_))))
            {
                return;
            }
        }
        panic!("{key} was not written");
    }

    fn steps(&mut self, count: usize) {
        (0..count).for_each(|_| drop(self.step()));
    }
}

#[test]
fn a_node_ends_when_the_others_have_lost_committed_entries() {
    let mut cluster = Cluster::new();
    cluster.written("a");
    cluster.steps(20);
    let copies: Vec<(u64, MemoryDisk)> =
        cluster.processes.iter().map(|(number, process)| (*number, process.disk.clone())).collect();
    for key in ["b", "c", "d"] {
        cluster.written(key);
    }
    cluster.steps(20);
    let isolated = cluster.leader();
    cluster.processes.get_mut(&isolated).expect("one of three").isolated = true;
    for (number, copy) in copies.into_iter().filter(|(number, _)| *number != isolated) {
        cluster.start(number, copy);
    }
    for key in ["e", "f", "g", "h"] {
        cluster.written(key);
    }
    cluster.processes.get_mut(&isolated).expect("one of three").isolated = false;
    cluster.steps(60);
    let fault = cluster.processes[&isolated].fault.clone();
    assert!(matches!(fault, Some(NodeError::DivergedHistory(_))), "{fault:?}");
    cluster.written("i");
}

#[test]
fn a_node_with_an_older_disk_ends_even_if_entries_arrive_before_a_heartbeat() {
    let mut cluster = Cluster::new();
    cluster.written("a");
    cluster.steps(20);
    let leader = cluster.leader();
    let follower = cluster.processes.keys().copied().find(|number| *number != leader).expect("one of three");
    let copy = cluster.processes[&follower].disk.clone();
    for key in ["b", "c"] {
        cluster.written(key);
    }
    cluster.steps(20);
    cluster.start(follower, copy);
    // The next message to it is an entry after those that it has lost.
    let process = cluster.processes.get_mut(&leader).expect("one of three");
    process.node.submit(cluster.now, Operation::Command(write("d")));
    cluster.exchange();
    cluster.steps(20);
    let fault = cluster.processes[&follower].fault.clone();
    assert!(matches!(fault, Some(NodeError::StaleDisk { .. })), "{fault:?}");
    assert_eq!(cluster.leader(), leader);
    cluster.written("e");
}
