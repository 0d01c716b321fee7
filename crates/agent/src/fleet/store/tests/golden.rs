//! A file as the first version of the store made it, committed below `tests/golden/`, and what is read of it. Neither is ever
//! changed to make a test pass: disks outlive the program that wrote them. The file was made by [`write_store`].

use super::{place, Store};
use heronhoist_coordination::bootstrap::{initial_state, ClusterInfo, Identity};
use heronhoist_coordination::node::{Node, NodeSettings, Operation};
use heronhoist_coordination::state::{Check, ClusterId, Command, CommandRequest, Peer, State, Txn, Write};
use heronhoist_coordination::Limits;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

const NUMBER: u64 = 11;
/// The interval of ticks, in microseconds.
const TICK: u64 = 50_000;
/// Far more ticks than an election takes.
const TICKS: u64 = 60;

fn golden_path(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file)
}

fn golden_text(file: &str) -> String {
    std::fs::read_to_string(golden_path(file)).unwrap_or_else(|why| panic!("{file}: {why}"))
}

fn peer(name: &str) -> Peer {
    Peer { name: name.into(), address: format!("{name}.example:7400") }
}

/// So few entries that a snapshot is made and the log is cut.
fn settings() -> NodeSettings {
    NodeSettings {
        tick_interval: TICK,
        limits: Limits { log_entries: 8, ..Limits::default() },
        ..NodeSettings::default()
    }
}

fn commands() -> Vec<Command> {
    let [name, site, version, address] = ["n1", "east", "1.2", "n1.example:9100"].map(String::from);
    let put = |n: u64| {
        let checks = vec![Check::Living("n1".into(), 2)];
        let writes = vec![Write::Put(format!("note/{n}"), format!("\"value {n}\""))];
        Command::Write(Txn { checks, writes })
    };
    let mut commands = vec![
        Command::OpenSession,
        Command::Join { name, nonce: 71, previous_incarnation: 0, site, version, address },
    ];
    commands.extend((0..10).map(put));
    commands
}

/// A council of one that elects itself, carries some commands out, makes a snapshot and takes a second process in.
fn write_store(path: &Path) {
    let mut store = Store::open(path).expect("made");
    let formation = ClusterInfo { cluster_id: ClusterId(5), peers: BTreeMap::from([(NUMBER, peer("c1"))]) };
    let first = initial_state(&formation);
    let identity = Identity { node_id: NUMBER, name: "c1".into(), cluster: Some(formation) };
    store.initialize(&identity, Some(&first)).expect("begun");
    let mut node = Node::new(NUMBER, &first, settings(), 0x0102_0304, 0).expect("a node");
    let mut now = 0;
    while !node.is_leader() {
        now += TICK;
        node.tick(now);
        node.advance(&mut store, now).expect("worked");
    }
    for command in commands() {
        node.submit(now, Operation::Command(CommandRequest { session: None, command }));
        node.advance(&mut store, now).expect("worked");
    }
    node.submit(now, Operation::ChangePeers { add: Some((12, peer("c2"))), remove: None });
    node.advance(&mut store, now).expect("worked");
}

/// All that is in a store, as text.
fn contents(store: &Store) -> String {
    let identity = store.identity().expect("read").expect("an identity");
    let image = store.load().expect("read");
    let mut text = format!("identity: {}\n", serde_json::to_string(&identity).expect("serializable"));
    let _ = writeln!(text, "cut: {},{}", image.compacted.index, image.compacted.term);
    let _ = writeln!(text, "hard: {}", image.hard_state.expect("a hard state").escape_ascii());
    let _ = writeln!(text, "snapshot: {}", image.snapshot.expect("a snapshot").escape_ascii());
    for (index, entry) in image.entries {
        let _ = writeln!(text, "entry {index}: {}", entry.escape_ascii());
    }
    text
}

#[test]
fn a_file_of_the_first_version_is_read_and_gone_on_with() {
    let path = place("golden-read");
    std::fs::copy(golden_path("store.redb"), &path).expect("copied");
    let mut store = Store::open(&path).expect("opened");
    assert!(!store.was_repaired);
    assert_eq!(contents(&store), golden_text("store.txt"));
    let image = store.load().expect("read");
    let mut node = Node::new(NUMBER, &image, settings(), 9, 0).expect("a node");
    for now in (0..TICKS).map(|tick| tick * TICK) {
        node.tick(now);
        node.advance(&mut store, now).expect("worked");
    }
    let golden = golden_text("store-state.json");
    let expected: State = serde_json::from_str(&golden).expect("read");
    assert_eq!(*node.state(), expected);
    assert_eq!(serde_json::to_string(node.state()).expect("serializable") + "\n", golden);
    drop(store);
    let _ = std::fs::remove_file(&path);
}

#[test]
fn a_file_that_is_made_now_has_the_same_in_it() {
    let path = place("golden-made");
    write_store(&path);
    let store = Store::open(&path).expect("opened");
    assert_eq!(contents(&store), golden_text("store.txt"));
    drop(store);
    let _ = std::fs::remove_file(&path);
}
