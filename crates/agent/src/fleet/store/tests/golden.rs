//! A file that the first version of the store created, committed below `tests/golden/`, and the content that is read from it.
//! Neither is ever changed to make a test pass, because files outlive the program version that wrote them. The file was created
//! by [`write_store`].

use super::{temporary_path, Store};
use heronhoist_coordination::bootstrap::{initial_state, ClusterInfo, Identity};
use heronhoist_coordination::node::{Node, NodeSettings, Operation};
use heronhoist_coordination::state::{Check, ClusterId, Command, CommandRequest, Peer, State, Txn, Write};
use heronhoist_coordination::Limits;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

const NODE_ID: u64 = 11;
/// The interval of ticks, in microseconds.
const TICK_INTERVAL: u64 = 50_000;
/// The number of ticks that are run, far more than an election takes.
const TICK_COUNT: u64 = 60;

fn golden_path(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file)
}

fn golden_text(file: &str) -> String {
    std::fs::read_to_string(golden_path(file)).unwrap_or_else(|error| panic!("{file}: {error}"))
}

fn peer(name: &str) -> Peer {
    Peer { name: name.into(), address: format!("{name}.example:7400") }
}

/// Returns settings with so few log entries that a snapshot is taken and the log is compacted.
fn settings() -> NodeSettings {
    NodeSettings {
        tick_interval: TICK_INTERVAL,
        limits: Limits { log_entries: 8, ..Limits::default() },
        ..NodeSettings::default()
    }
}

fn commands() -> Vec<Command> {
    let [name, site, version, address] = ["n1", "east", "1.2", "n1.example:9100"].map(String::from);
    let put = |index: u64| {
        let checks = vec![Check::Living("n1".into(), 2)];
        let writes = vec![Write::Put(format!("note/{index}"), format!("\"value {index}\""))];
        Command::Write(Txn { checks, writes })
    };
    let mut commands = vec![
        Command::OpenSession,
        Command::Join { name, nonce: 71, previous_incarnation: 0, site, version, address },
    ];
    commands.extend((0..10).map(put));
    commands
}

/// Writes the store of a single process that elects itself, executes some commands, takes a snapshot and adds a second process.
fn write_store(path: &Path) {
    let mut store = Store::open(path).expect("created");
    let cluster = ClusterInfo { cluster_id: ClusterId(5), peers: BTreeMap::from([(NODE_ID, peer("c1"))]) };
    let initial = initial_state(&cluster);
    let identity = Identity { node_id: NODE_ID, name: "c1".into(), cluster: Some(cluster) };
    store.initialize(&identity, Some(&initial)).expect("initialized");
    let mut node = Node::new(NODE_ID, &initial, settings(), 0x0102_0304, 0).expect("a node");
    let mut now = 0;
    while !node.is_leader() {
        now += TICK_INTERVAL;
        node.tick(now);
        node.advance(&mut store, now).expect("advanced");
    }
    for command in commands() {
        node.submit(now, Operation::Command(CommandRequest { session: None, command }));
        node.advance(&mut store, now).expect("advanced");
    }
    node.submit(now, Operation::ChangePeers { add: Some((12, peer("c2"))), remove: None });
    node.advance(&mut store, now).expect("advanced");
}

/// Returns the whole content of a store as text.
fn contents(store: &Store) -> String {
    let identity = store.identity().expect("read").expect("an identity");
    let state = store.load().expect("read");
    let mut text = format!("identity: {}\n", serde_json::to_string(&identity).expect("serializable"));
    let _ = writeln!(text, "cut: {},{}", state.compacted.index, state.compacted.term);
    let _ = writeln!(text, "hard: {}", state.hard_state.expect("a hard state").escape_ascii());
    let _ = writeln!(text, "snapshot: {}", state.snapshot.expect("a snapshot").escape_ascii());
    for (index, entry) in state.entries {
        let _ = writeln!(text, "entry {index}: {}", entry.escape_ascii());
    }
    text
}

#[test]
fn a_file_of_the_first_version_is_read_and_used() {
    let path = temporary_path("golden-read");
    std::fs::copy(golden_path("store.redb"), &path).expect("copied");
    let mut store = Store::open(&path).expect("opened");
    assert!(!store.was_repaired);
    assert_eq!(contents(&store), golden_text("store.txt"));
    let state = store.load().expect("read");
    let mut node = Node::new(NODE_ID, &state, settings(), 9, 0).expect("a node");
    for now in (0..TICK_COUNT).map(|tick| tick * TICK_INTERVAL) {
        node.tick(now);
        node.advance(&mut store, now).expect("advanced");
    }
    let golden = golden_text("store-state.json");
    let expected: State = serde_json::from_str(&golden).expect("read");
    assert_eq!(*node.state(), expected);
    assert_eq!(serde_json::to_string(node.state()).expect("serializable") + "\n", golden);
    drop(store);
    let _ = std::fs::remove_file(&path);
}

#[test]
fn a_new_file_has_the_same_content() {
    let path = temporary_path("golden-made");
    write_store(&path);
    let store = Store::open(&path).expect("opened");
    assert_eq!(contents(&store), golden_text("store.txt"));
    drop(store);
    let _ = std::fs::remove_file(&path);
}
