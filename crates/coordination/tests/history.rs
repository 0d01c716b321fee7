//! Disks that were put back to older copies: whoever can see that says so and ends, and the library never has to panic.

use heronhoist_coordination::bootstrap::{initial_state, ClusterInfo};
use heronhoist_coordination::log::{Disk, DiskError, DurableState, WriteBatch};
use heronhoist_coordination::node::{Node, NodeError, NodeSettings, Operation, OperationResult};
use heronhoist_coordination::state::{ClusterId, Command, CommandRequest, CommandResult, Peer, Txn, Write};
use std::collections::BTreeMap;

#[derive(Clone)]
struct Kept(DurableState);

impl Disk for Kept {
    fn save(&mut self, save: &WriteBatch) -> Result<(), DiskError> {
        self.0.apply(save);
        Ok(())
    }
}

struct Process {
    node: Node,
    disk: Kept,
    /// Nothing of it reaches others, and nothing of theirs reaches it.
    apart: bool,
    fault: Option<NodeError>,
}

struct Council {
    processes: BTreeMap<u64, Process>,
    now: u64,
    lives: u64,
}

fn write(key: &str) -> CommandRequest {
    let writes = vec![Write::Put(format!("note/{key}"), "x".into())];
    CommandRequest { session: None, command: Command::Write(Txn { checks: Vec::new(), writes }) }
}

impl Council {
    fn new() -> Council {
        let peers = [1, 2, 3].map(|n| (n, Peer { name: format!("c{n}"), address: String::new() }));
        let image = initial_state(&ClusterInfo { cluster_id: ClusterId(1), peers: peers.into() });
        let mut council = Council { processes: BTreeMap::new(), now: 0, lives: 0 };
        for number in 1..=3 {
            council.start(number, Kept(image.clone()));
        }
        council
    }

    fn start(&mut self, number: u64, disk: Kept) {
        self.lives += 7919; // not such that all draw the same time-outs
        let node =
            Node::new(number, &disk.0, NodeSettings::default(), self.lives, self.now).expect("a sound disk");
        self.processes.insert(number, Process { node, disk, apart: false, fault: None });
    }

    /// One tick of each, and all messages that come of it. A process that has met a fault says nothing more.
    fn step(&mut self) -> Vec<OperationResult> {
        self.now += NodeSettings::default().tick_interval;
        for process in self.processes.values_mut() {
            process.node.tick(self.now);
        }
        self.exchange()
    }

    /// All messages that there are, and what comes of them.
    fn exchange(&mut self) -> Vec<OperationResult> {
        let now = self.now;
        let mut answers = Vec::new();
        loop {
            let mut sent = Vec::new();
            for process in self.processes.values_mut().filter(|process| process.fault.is_none()) {
                let output = process.node.advance(&mut process.disk, now).expect("it goes on");
                answers.extend(output.results.into_iter().map(|(_, answer)| answer));
                sent.extend(output.messages.into_iter().filter(|_| !process.apart));
            }
            if sent.is_empty() {
                return answers;
            }
            for (to, message) in sent {
                let Some(process) = self.processes.get_mut(&to) else { continue };
                if !process.apart && process.fault.is_none() {
                    process.fault = process.node.receive(now, &message).err();
                }
            }
        }
    }

    /// The one that leads among those that reach each other.
    fn leader(&mut self) -> u64 {
        for _ in 0..200 {
            let mut near = self.processes.iter().filter(|(_, process)| !process.apart);
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
fn one_that_knows_what_the_others_have_lost_ends() {
    let mut council = Council::new();
    council.written("a");
    council.steps(20);
    let copies: Vec<(u64, Kept)> =
        council.processes.iter().map(|(number, process)| (*number, process.disk.clone())).collect();
    for key in ["b", "c", "d"] {
        council.written(key);
    }
    council.steps(20);
    let apart = council.leader();
    council.processes.get_mut(&apart).expect("one of three").apart = true;
    for (number, copy) in copies.into_iter().filter(|(number, _)| *number != apart) {
        council.start(number, copy);
    }
    for key in ["e", "f", "g", "h"] {
        council.written(key);
    }
    council.processes.get_mut(&apart).expect("one of three").apart = false;
    council.steps(60);
    let fault = council.processes[&apart].fault.clone();
    assert!(matches!(fault, Some(NodeError::OtherHistory(_))), "{fault:?}");
    council.written("i");
}

#[test]
fn one_whose_disk_was_put_back_ends_though_entries_come_before_heartbeats() {
    let mut council = Council::new();
    council.written("a");
    council.steps(20);
    let leader = council.leader();
    let follower = council.processes.keys().copied().find(|number| *number != leader).expect("one of three");
    let copy = council.processes[&follower].disk.clone();
    for key in ["b", "c"] {
        council.written(key);
    }
    council.steps(20);
    council.start(follower, copy);
    // The next word to it is an entry behind those that it has lost.
    let process = council.processes.get_mut(&leader).expect("one of three");
    process.node.submit(council.now, Operation::Command(write("d")));
    council.exchange();
    council.steps(20);
    let fault = council.processes[&follower].fault.clone();
    assert!(matches!(fault, Some(NodeError::OldDisk { .. })), "{fault:?}");
    assert_eq!(council.leader(), leader);
    council.written("e");
}
