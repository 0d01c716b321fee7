//! Compares all data that coordination processes send, store or keep in a snapshot with golden files, byte by byte. The files
//! in `golden/` are what the first version of the protocol writes. A file is never changed to make a test pass: processes of
//! different versions run side by side, and a newer version reads the disks of an older one.
//!
//! Each `.jsonl` file has one value per line, in the order of the test. A `.bytes` file has one named value per line, with
//! bytes that are not printable ASCII escaped as in a Rust byte string.

#[path = "support/escaped_bytes.rs"]
mod escaped_bytes;
#[macro_use]
#[path = "support/golden.rs"]
mod support;

use escaped_bytes::unescape;
use heronhoist_coordination::bootstrap::{initial_state, restored_state, ClusterInfo, Identity};
use heronhoist_coordination::lease::LeaseTerms;
use heronhoist_coordination::log::{Disk, DiskError, DurableState, LogPosition, WriteBatch};
use heronhoist_coordination::node::{Node, NodeSettings, NodeStatus, Operation, OperationResult};
use heronhoist_coordination::permit::{self, Budget, Permit};
use heronhoist_coordination::state::{
    Change, ChangeScope, ChangedItem, Check, ClusterId, Command, CommandRequest, CommandResult, Compacted,
    Member, MemberStatus, Peer, Record, State, Txn, Write, RECORD_KINDS,
};
use heronhoist_coordination::wire::{Envelope, Refusal, Request, Response, View, PROTOCOL};
use heronhoist_coordination::{LimitExceeded, Limits};
use std::collections::{BTreeMap, BTreeSet};
use support::{assert_golden, golden_text};

/// Asserts that the named bytes are those of the file.
#[track_caller]
fn assert_golden_bytes(file: &str, values: &[(String, Vec<u8>)]) {
    let written: String =
        values.iter().map(|(name, bytes)| format!("{name}: {}\n", bytes.escape_ascii())).collect();
    assert_eq!(written, golden_text(file), "{file} differs from the serialized values");
}

/// Returns the named bytes of a file.
fn golden_bytes(file: &str) -> Vec<(String, Vec<u8>)> {
    let text = golden_text(file);
    let line = |line: &str| {
        let (name, escaped) = line.split_once(": ").expect("a name and bytes");
        (name.to_string(), unescape(escaped))
    };
    text.lines().map(line).collect()
}

fn peer(name: &str) -> Peer {
    Peer { name: name.into(), address: format!("{name}.example:7400") }
}

fn peers() -> BTreeMap<u64, Peer> {
    BTreeMap::from([(11, peer("c1")), (12, peer("c2"))])
}

fn member(status: MemberStatus) -> Member {
    Member {
        incarnation: 3,
        nonce: 77,
        site: "east".into(),
        version: "1.2".into(),
        address: "n1.example:9100".into(),
        ready: true,
        last_report: 4,
        status,
        revision: 5,
    }
}

fn record() -> Record {
    Record { value: "{\"most\":1}".into(), revision: 9 }
}

fn terms() -> LeaseTerms {
    LeaseTerms { duration: 9_000_000, max_clock_drift: 0.01 }
}

fn limit_exceeded() -> LimitExceeded {
    LimitExceeded { limit: "members".into(), max: 4096 }
}

fn checks() -> Vec<Check> {
    vec![
        Check::Absent("note/a".into()),
        Check::At("note/b".into(), 7),
        Check::Living("n1".into(), 3),
        Check::Ended("n2".into(), 2),
        Check::Unchanged(ChangeScope::Agents, 8),
        Check::Unchanged(ChangeScope::Kind("drain".into()), 8),
    ]
}

fn writes() -> Vec<Write> {
    vec![Write::Put("note/a".into(), "\"value\"".into()), Write::Delete("note/b".into())]
}

fn join_command(previous_incarnation: u64) -> Command {
    Command::Join {
        name: "n1".into(),
        nonce: 77,
        previous_incarnation,
        site: "east".into(),
        version: "1.2".into(),
        address: "n1.example:9100".into(),
    }
}

fn commands() -> Vec<Command> {
    vec![
        Command::OpenSession,
        join_command(2),
        Command::Report { name: "n1".into(), incarnation: 3, number: 4, ready: true },
        Command::Leave { name: "n1".into(), incarnation: 3 },
        Command::Expire(vec![("n1".into(), 3), ("n2".into(), 2)]),
        Command::Forget { name: "n1".into() },
        Command::Write(Txn { checks: checks(), writes: writes() }),
    ]
}

fn command_results() -> Vec<CommandResult> {
    vec![
        CommandResult::SessionOpened(6),
        CommandResult::Joined { incarnation: 3 },
        CommandResult::Wait { incarnation: 3 },
        CommandResult::IncarnationMismatch { incarnation: 0 },
        CommandResult::Done(9),
        CommandResult::Conflict { check: 1 },
        CommandResult::NotLiving,
        CommandResult::NoSession,
        CommandResult::Outdated,
        CommandResult::LimitExceeded(limit_exceeded()),
        CommandResult::Refused("why".into()),
    ]
}

fn changes() -> Vec<Change> {
    vec![
        Change { revision: 9, item: ChangedItem::Record("note/a".into(), Some("1".into())) },
        Change { revision: 10, item: ChangedItem::Record("note/a".into(), None) },
        Change { revision: 11, item: ChangedItem::Member("n1".into(), Some(member(MemberStatus::Living))) },
        Change { revision: 12, item: ChangedItem::Member("n1".into(), None) },
    ]
}

fn identities() -> Vec<Identity> {
    let cluster = ClusterInfo { cluster_id: ClusterId(5), peers: peers() };
    vec![
        Identity { node_id: 11, name: "c1".into(), cluster: None },
        Identity { node_id: 11, name: "c1".into(), cluster: Some(cluster) },
    ]
}

fn views() -> Vec<View> {
    let empty = View {
        cluster_id: ClusterId(5),
        revision: 0,
        max_staleness: None,
        peers: BTreeMap::new(),
        members: BTreeMap::new(),
        records: BTreeMap::new(),
    };
    let full = View {
        cluster_id: ClusterId(5),
        revision: 12,
        max_staleness: Some(250_000),
        peers: peers(),
        members: BTreeMap::from([("n1".into(), member(MemberStatus::Living))]),
        records: BTreeMap::from([("note/a".into(), record())]),
    };
    vec![empty, full]
}

fn node_statuses() -> Vec<NodeStatus> {
    let leader = NodeStatus {
        node_id: 11,
        term: 2,
        leader: 11,
        last_index: 40,
        commit_index: 39,
        log_entries: 20,
        snapshot_bytes: 512,
        voters: vec![11, 12],
        max_staleness: Some(100),
    };
    vec![leader.clone(), NodeStatus { leader: 0, max_staleness: None, ..leader }]
}

fn refusals() -> Vec<Refusal> {
    vec![
        Refusal::FleetMismatch { expected: "gulf".into(), received: "lake".into() },
        Refusal::ProtocolMismatch { expected: 1, received: 2 },
        Refusal::OlderIncarnation { name: "n1".into(), newer: 8 },
        Refusal::NotLeader { leader: None },
        Refusal::NotLeader { leader: Some(peer("c2")) },
        Refusal::Unknown,
        Refusal::LimitExceeded(limit_exceeded()),
        Refusal::Compacted { cluster_id: ClusterId(5), oldest: 9 },
        Refusal::NotFormed("it waits for c2".into()),
        Refusal::FailedPrecondition("why".into()),
    ]
}

#[test]
fn envelope() {
    let envelope =
        Envelope { fleet: "gulf".into(), protocol: PROTOCOL, from: "n1".into(), incarnation: 3, term: 2 };
    assert_golden("envelope.jsonl", &[envelope]);
}

#[test]
fn request() {
    let mut requests = vec![
        Request::Identify,
        Request::Command(CommandRequest { session: Some((6, 1)), command: Command::OpenSession }),
        Request::Renew,
        Request::Read { stale: true, prefix: "drain/".into(), members: false },
        Request::Watch { cluster_id: ClusterId(5), after: 12, prefix: "drain/".into() },
        Request::Status,
        Request::ChangePeers { add: Some((13, peer("c3"))), remove: Some(12) },
        Request::ChangePeers { add: None, remove: None },
        Request::Backup,
    ];
    has_every_variant!(
        requests,
        Request,
        Request::Identify,
        Request::Command(_),
        Request::Renew,
        Request::Read { .. },
        Request::Watch { .. },
        Request::Status,
        Request::ChangePeers { .. },
        Request::Backup,
    );
    let command = |command| Request::Command(CommandRequest { session: None, command });
    requests.extend(commands().into_iter().map(command));
    assert_golden("request.jsonl", &requests);
}

#[test]
fn response() {
    let [empty, full] = <[View; 2]>::try_from(views()).expect("two");
    let [leader, without_leader] = <[NodeStatus; 2]>::try_from(node_statuses()).expect("two");
    let silent = BTreeMap::from([("n1".into(), 250_000)]);
    let mut responses: Vec<Response> = identities().into_iter().map(Response::Identity).collect();
    responses.extend(command_results().into_iter().map(|result| Response::Reply(result, terms())));
    responses.extend([
        Response::Renewed(terms()),
        Response::Expired,
        Response::Superseded,
        Response::Read(empty),
        Response::Read(full),
        Response::Changes { changes: changes(), upto: 12 },
        Response::Changes { changes: Vec::new(), upto: 0 },
        Response::Status(leader, silent),
        Response::Status(without_leader, BTreeMap::new()),
        Response::PeersChanged,
        Response::Backup("{\"history\":5}".into()),
    ]);
    responses.extend(refusals().into_iter().map(Response::Refused));
    has_every_variant!(
        responses,
        Response,
        Response::Identity(_),
        Response::Reply(..),
        Response::Renewed(_),
        Response::Expired,
        Response::Superseded,
        Response::Read(_),
        Response::Changes { .. },
        Response::Status(..),
        Response::PeersChanged,
        Response::Backup(_),
        Response::Refused(_),
    );
    assert_golden("response.jsonl", &responses);
}

#[test]
fn view_and_node_status() {
    assert_golden("view.jsonl", &views());
    assert_golden("standpoint.jsonl", &node_statuses());
}

#[test]
fn refusal_and_limit_exceeded() {
    let refusals = refusals();
    has_every_variant!(
        refusals,
        Refusal,
        Refusal::FleetMismatch { .. },
        Refusal::ProtocolMismatch { .. },
        Refusal::OlderIncarnation { .. },
        Refusal::NotLeader { .. },
        Refusal::Unknown,
        Refusal::LimitExceeded(_),
        Refusal::Compacted { .. },
        Refusal::NotFormed(_),
        Refusal::FailedPrecondition(_),
    );
    assert_golden("refusal.jsonl", &refusals);
    assert_golden("excess.jsonl", &[limit_exceeded()]);
    assert_golden("compacted.jsonl", &[Compacted { oldest: 9 }]);
}

#[test]
fn command_and_request() {
    let commands = commands();
    has_every_variant!(
        commands,
        Command,
        Command::OpenSession,
        Command::Join { .. },
        Command::Report { .. },
        Command::Leave { .. },
        Command::Expire(_),
        Command::Forget { .. },
        Command::Write(_),
    );
    assert_golden("command.jsonl", &commands);
    let requests = [
        CommandRequest { session: None, command: Command::OpenSession },
        CommandRequest { session: Some((6, 1)), command: Command::Forget { name: "n1".into() } },
    ];
    assert_golden("call.jsonl", &requests);
}

#[test]
fn transaction() {
    let (checks, writes) = (checks(), writes());
    has_every_variant!(
        checks,
        Check,
        Check::Absent(_),
        Check::At(..),
        Check::Living(..),
        Check::Ended(..),
        Check::Unchanged(ChangeScope::Agents, _),
        Check::Unchanged(ChangeScope::Kind(_), _),
    );
    has_every_variant!(writes, Write, Write::Put(..), Write::Delete(_));
    assert_golden("check.jsonl", &checks);
    assert_golden("of.jsonl", &[ChangeScope::Agents, ChangeScope::Kind("drain".into())]);
    assert_golden("write.jsonl", &writes);
    assert_golden("txn.jsonl", &[Txn::default(), Txn { checks, writes }]);
}

#[test]
fn command_result() {
    let command_results = command_results();
    has_every_variant!(
        command_results,
        CommandResult,
        CommandResult::SessionOpened(_),
        CommandResult::Joined { .. },
        CommandResult::Wait { .. },
        CommandResult::IncarnationMismatch { .. },
        CommandResult::Done(_),
        CommandResult::Conflict { .. },
        CommandResult::NotLiving,
        CommandResult::NoSession,
        CommandResult::Outdated,
        CommandResult::LimitExceeded(_),
        CommandResult::Refused(_),
    );
    assert_golden("reply.jsonl", &command_results);
}

#[test]
fn change() {
    let changes = changes();
    has_every_variant!(
        changes,
        Change,
        Change { item: ChangedItem::Record(..), .. },
        Change { item: ChangedItem::Member(..), .. },
    );
    assert_golden("change.jsonl", &changes);
    let changed: Vec<ChangedItem> = changes.into_iter().map(|change| change.item).collect();
    assert_golden("changed.jsonl", &changed);
}

#[test]
fn member_peer_and_record() {
    let statuses =
        [MemberStatus::Living, MemberStatus::Superseded, MemberStatus::Left, MemberStatus::Expired];
    has_every_variant!(
        statuses,
        MemberStatus,
        MemberStatus::Living,
        MemberStatus::Superseded,
        MemberStatus::Left,
        MemberStatus::Expired,
    );
    assert_golden("standing.jsonl", &statuses);
    assert_golden("member.jsonl", &statuses.map(member));
    assert_golden("peer.jsonl", &[peer("c1")]);
    assert_golden("record.jsonl", &[record()]);
}

#[test]
fn identity_and_cluster_info() {
    assert_golden("identity.jsonl", &identities());
    assert_golden("formation.jsonl", &[ClusterInfo { cluster_id: ClusterId(5), peers: peers() }]);
}

#[test]
fn lease_terms() {
    assert_golden("terms.jsonl", &[terms()]);
}

fn permits() -> BTreeMap<String, Permit> {
    let permit =
        Permit { taker: ("tool:r1".into(), 4), reason: "roll".into(), started: None, finished: false };
    let finished = Permit { started: Some(12), finished: true, ..permit.clone() };
    BTreeMap::from([(permit::agent_unit("n1"), permit), (permit::agent_unit("n2"), finished)])
}

/// The numbers and names on the wire that are not part of a type.
#[test]
fn protocol_number_kinds_and_keys() {
    assert_eq!(PROTOCOL, 1);
    assert_eq!(RECORD_KINDS, ["budget", "drain", "note", "permit", "release", "site", "work"]);
    assert_eq!(permit::agent_budget_key("east"), "budget/agents:east");
    assert_eq!(permit::agent_unit("n1"), "agent:n1");
}

#[test]
fn budget_and_permit() {
    let budget = Budget { max: 2, permits: permits() };
    assert_golden("budget.jsonl", &[Budget { max: 0, permits: BTreeMap::new() }, budget.clone()]);
    assert_golden("permit.jsonl", &budget.permits.into_values().collect::<Vec<_>>());
    // Fields that an earlier version did not write may be missing.
    let short: Budget = serde_json::from_str("{\"most\":2}").expect("read");
    assert_eq!(short, Budget { max: 2, permits: BTreeMap::new() });
    let short: Permit = serde_json::from_str("{\"taker\":[\"t\",4],\"why\":\"w\"}").expect("read");
    assert_eq!(short, Permit { taker: ("t".into(), 4), reason: "w".into(), started: None, finished: false });
    // Unknown fields are refused.
    serde_json::from_str::<Budget>("{\"most\":2,\"x\":1}").expect_err("refused");
    serde_json::from_str::<Permit>("{\"taker\":[\"t\",4],\"why\":\"w\",\"x\":1}").expect_err("refused");
}

fn command_request(session: Option<(u64, u64)>, command: Command) -> CommandRequest {
    CommandRequest { session, command }
}

/// The transactions that each step of a permit writes.
#[test]
fn transactions_of_permits() {
    let key = permit::agent_budget_key("east");
    let mut state = populated_state();
    let mut txns = Vec::new();
    let view = |state: &State| View {
        cluster_id: state.cluster_id,
        revision: state.revision,
        max_staleness: Some(0),
        peers: state.peers.clone(),
        members: state.members.clone(),
        records: state.records.clone(),
    };
    let taker = ("tool:r1", state.members["tool:r1"].incarnation);
    let n1 = state.members["n1"].incarnation;
    type PermitStep<'s> = Box<dyn Fn(&View) -> Result<Txn, permit::PermitDenial> + 's>;
    let steps: [PermitStep<'_>; 7] = [
        Box::new(|view| permit::set_limit(view, &key, 1)),
        Box::new(|view| permit::set_limit(view, &key, 2)),
        Box::new(|view| permit::acquire(view, &key, "n1", taker, "roll")),
        Box::new(|view| permit::start(view, &key, "n1", taker)),
        Box::new(|view| permit::finish(view, &key, "n1", taker)),
        Box::new(|view| permit::release(view, &key, "n1", n1)),
        Box::new(|view| permit::acquire(view, &key, "n1", taker, "roll again")),
    ];
    for step in steps {
        let txn = step(&view(&state)).expect("allowed");
        let result = state.apply(&command_request(None, Command::Write(txn.clone())), &Limits::default());
        assert!(matches!(result, CommandResult::Done(_)), "{result:?}");
        txns.push(txn);
    }
    txns.push(permit::force_release(&view(&state), &key, "n1").expect("allowed"));
    state.apply(
        &command_request(None, Command::Leave { name: taker.0.into(), incarnation: taker.1 }),
        &Limits::default(),
    );
    txns.push(permit::release(&view(&state), &key, "n1", n1).expect("the taker has left"));
    assert_golden("permit_txn.jsonl", &txns);
}

/// The names of limits in results, each from a command that exceeds the limit.
#[test]
fn names_of_limits() {
    let limits = Limits { members: 0, records: 1, state_bytes: 40, record_bytes: 20, ..Limits::default() };
    let put = |key: &str, length: usize| Write::Put(key.into(), "x".repeat(length));
    let write = |writes| Command::Write(Txn { checks: Vec::new(), writes });
    let state = State::new(ClusterId(5), peers());
    let execute = |command| state.clone().apply(&command_request(None, command), &limits);
    let mut command_results = vec![
        execute(join_command(0)),
        execute(write(vec![put("note/a", 1); 65])),
        execute(write(vec![put("note/a", 21)])),
        execute(write(vec![put("note/a", 1), put("note/b", 1)])),
    ];
    let few_bytes = Limits { state_bytes: 10, ..Limits::default() };
    command_results
        .push(state.clone().apply(&command_request(None, write(vec![put("note/a", 20)])), &few_bytes));
    assert_golden("bounds.jsonl", &command_results);
    let cluster = ClusterInfo { cluster_id: ClusterId(5), peers: peers() };
    let limits = Limits { in_flight: 0, ..Limits::default() };
    let settings = NodeSettings { limits, ..NodeSettings::default() };
    let mut node = Node::new(11, &initial_state(&cluster), settings, 1, 0).expect("a node");
    node.submit(0, Operation::Read);
    let results = node.advance(&mut MemoryDisk::default(), 0).expect("no error").results;
    let over = OperationResult::LimitExceeded(LimitExceeded { limit: "in_flight".into(), max: 0 });
    assert_eq!(results.into_iter().map(|(_, result)| result).collect::<Vec<_>>(), [over]);
}

/// A state with something in each of its fields.
fn populated_state() -> State {
    let mut state = State::new(ClusterId(5), peers());
    // Fewer than are made below, so that only the last changes are kept.
    let limits = Limits { changes: 64, ..Limits::default() };
    let mut apply = |session, command| state.apply(&command_request(session, command), &limits);
    let join = |name: &str, nonce, previous_incarnation| Command::Join {
        name: name.into(),
        nonce,
        previous_incarnation,
        site: "east".into(),
        version: "1.2".into(),
        address: format!("{name}.example:9100"),
    };
    let put = |key: &str, value: &str| {
        let writes = vec![Write::Put(key.into(), value.into())];
        Command::Write(Txn { checks: Vec::new(), writes })
    };
    assert_eq!(apply(None, join("n1", 71, 0)), CommandResult::Joined { incarnation: 1 });
    assert_eq!(apply(None, join("n2", 72, 0)), CommandResult::Joined { incarnation: 2 });
    assert_eq!(apply(None, join("n3", 73, 0)), CommandResult::Joined { incarnation: 3 });
    assert_eq!(apply(None, join("tool:r1", 74, 0)), CommandResult::Joined { incarnation: 4 });
    let report = Command::Report { name: "n1".into(), incarnation: 1, number: 1, ready: true };
    assert_eq!(apply(Some((1, 1)), report), CommandResult::Done(5));
    assert_eq!(apply(None, join("n2", 75, 2)), CommandResult::Wait { incarnation: 2 });
    assert_eq!(apply(None, Command::Leave { name: "n3".into(), incarnation: 3 }), CommandResult::Done(7));
    assert_eq!(apply(None, join("n4", 76, 0)), CommandResult::Joined { incarnation: 8 });
    assert_eq!(apply(None, Command::Expire(vec![("n4".into(), 8)])), CommandResult::Done(9));
    for n in 0..70 {
        apply(None, put("note/many", &n.to_string()));
    }
    assert_eq!(apply(None, Command::OpenSession), CommandResult::SessionOpened(80));
    let conflict = Txn { checks: vec![Check::Absent("note/many".into())], writes: Vec::new() };
    assert_eq!(apply(Some((80, 1)), Command::Write(conflict)), CommandResult::Conflict { check: 0 });
    apply(None, put("drain/s1", "{\"number\":4,\"by\":\"anna\",\"why\":\"disk\"}"));
    state
}

/// A whole state, as it is part of snapshots and backups.
#[test]
fn whole_state() {
    let state = populated_state();
    let restored = state.clone().restored_as(ClusterId(6), BTreeMap::from([(13, peer("c3"))]));
    assert_golden("state.jsonl", &[State::new(ClusterId(5), peers()), state, restored]);
}

/// A state that is read from the file has its sessions, members, records and changes: further commands rely on them.
#[test]
fn a_deserialized_state_continues() {
    let golden = golden_text("state.jsonl");
    let mut state: State = serde_json::from_str(golden.lines().nth(1).expect("a state")).expect("read");
    let limits = Limits::default();
    let report = Command::Report { name: "n1".into(), incarnation: 1, number: 9, ready: false };
    assert_eq!(
        state.apply(&command_request(Some((1, 1)), report.clone()), &limits),
        CommandResult::Done(5),
        "a repeated command"
    );
    assert_eq!(
        state.apply(&command_request(Some((80, 1)), report.clone()), &limits),
        CommandResult::Conflict { check: 0 }
    );
    assert_eq!(state.apply(&command_request(Some((2, 1)), report), &limits), CommandResult::Done(82));
    assert_eq!(state.changes_after(15, 4), Err(Compacted { oldest: 16 }));
    assert!(state.changes_after(16, 4).is_ok());
}

fn named_parts(name: &str, durable_state: &DurableState) -> Vec<(String, Vec<u8>)> {
    let compacted =
        format!("{},{}", durable_state.compacted.index, durable_state.compacted.term).into_bytes();
    let mut named = vec![(format!("{name} cut"), compacted)];
    named.extend(durable_state.hard_state.iter().map(|hard| (format!("{name} hard"), hard.clone())));
    named
        .extend(durable_state.snapshot.iter().map(|snapshot| (format!("{name} snapshot"), snapshot.clone())));
    named.extend(
        durable_state.entries.iter().map(|(index, entry)| (format!("{name} entry {index}"), entry.clone())),
    );
    named
}

fn durable_state_of(named: &[(String, Vec<u8>)], name: &str) -> DurableState {
    let mut durable_state = DurableState::default();
    for (part, bytes) in named {
        let Some(part) = part.strip_prefix(name).and_then(|part| part.strip_prefix(' ')) else { continue };
        match part.split_once(' ') {
            Some((_, index)) => {
                durable_state.entries.insert(index.parse().expect("an index"), bytes.clone());
            }
            None if part == "hard" => durable_state.hard_state = Some(bytes.clone()),
            None if part == "snapshot" => durable_state.snapshot = Some(bytes.clone()),
            None => {
                let compacted = std::str::from_utf8(bytes).ok().and_then(|text| text.split_once(','));
                let (index, term) = compacted.expect("an index and a term");
                let index = index.parse().expect("an index");
                durable_state.compacted = LogPosition { index, term: term.parse().expect("a term") };
            }
        }
    }
    durable_state
}

/// The first data on the disk of a node, after the formation of a cluster and after a restore.
#[test]
fn first_durable_states() {
    let formed = initial_state(&ClusterInfo { cluster_id: ClusterId(5), peers: peers() });
    let restored = restored_state(populated_state(), ClusterId(6), 13, peer("c3"));
    let named = [named_parts("formed", &formed), named_parts("restored", &restored)].concat();
    assert_golden_bytes("first_images.bytes", &named);
    let read = golden_bytes("first_images.bytes");
    assert_eq!(durable_state_of(&read, "formed"), formed);
    assert_eq!(durable_state_of(&read, "restored"), restored);
}

/// A disk that keeps all saved data in memory.
#[derive(Default)]
struct MemoryDisk {
    durable_state: DurableState,
}

impl Disk for MemoryDisk {
    fn save(&mut self, batch: &WriteBatch) -> Result<(), DiskError> {
        self.durable_state.apply(batch);
        Ok(())
    }
}

/// A cluster of one process that has executed some commands and added a second process, which does not respond.
fn cluster_of_one() -> (DurableState, State) {
    let cluster = ClusterInfo { cluster_id: ClusterId(5), peers: BTreeMap::from([(11, peer("c1"))]) };
    let mut disk = MemoryDisk { durable_state: initial_state(&cluster) };
    let mut node =
        Node::new(11, &disk.durable_state, NodeSettings::default(), 0x0102_0304, 0).expect("a node");
    let mut now = 0;
    while !node.is_leader() {
        now += 50_000;
        node.tick(now);
        node.advance(&mut disk, now).expect("no error");
    }
    let mut results = Vec::new();
    for command in [
        Command::OpenSession,
        join_command(0),
        Command::Write(Txn { checks: vec![Check::Absent("note/a".into())], writes: writes() }),
    ] {
        node.submit(now, Operation::Command(command_request(None, command)));
        results.extend(node.advance(&mut disk, now).expect("no error").results);
    }
    node.submit(now, Operation::ChangePeers { add: Some((12, peer("c2"))), remove: None });
    results.extend(node.advance(&mut disk, now).expect("no error").results);
    let results: Vec<OperationResult> = results.into_iter().map(|(_, result)| result).collect();
    let done =
        [CommandResult::SessionOpened(1), CommandResult::Joined { incarnation: 2 }, CommandResult::Done(3)]
            .map(OperationResult::Reply);
    assert_eq!(results, [&done[..], &[OperationResult::PeersChanged]].concat());
    (disk.durable_state, node.state().clone())
}

/// The log of a node: commands and changes of the cluster as entries, with their contexts.
#[test]
fn log_of_a_node() {
    let (durable_state, state) = cluster_of_one();
    assert_golden_bytes("log.bytes", &named_parts("c1", &durable_state));
    assert_golden("log_state.jsonl", &[state]);
}

/// A node that starts with the log of the file reaches the state of the file.
#[test]
fn a_log_that_was_written_is_read() {
    let durable_state = durable_state_of(&golden_bytes("log.bytes"), "c1");
    let mut disk = MemoryDisk { durable_state: durable_state.clone() };
    let mut node = Node::new(11, &durable_state, NodeSettings::default(), 9, 0).expect("a node");
    for now in (0..3_000_000).step_by(50_000) {
        node.tick(now);
        node.advance(&mut disk, now).expect("no error");
    }
    let expected: State = serde_json::from_str(golden_text("log_state.jsonl").trim()).expect("read");
    assert_eq!(*node.state(), expected);
    let voters: BTreeSet<u64> = node.status().voters.into_iter().collect();
    assert_eq!(voters, BTreeSet::from([11, 12]));
}

/// The messages between two processes until a command of the first has its result.
#[test]
fn messages_between_nodes() {
    let cluster = ClusterInfo { cluster_id: ClusterId(5), peers: peers() };
    let mut sent = Vec::new();
    let mut processes: Vec<(Node, MemoryDisk)> = Vec::new();
    for node_id in [11, 12] {
        let disk = MemoryDisk { durable_state: initial_state(&cluster) };
        let node =
            Node::new(node_id, &disk.durable_state, NodeSettings::default(), node_id, 0).expect("a node");
        processes.push((node, disk));
    }
    let (mut now, mut submitted, mut completed) = (0, false, false);
    while !completed {
        now += 50_000;
        assert!(now < 10_000_000, "no result: {sent:?}");
        // Only the first process has ticks, so that only the first is a candidate.
        processes[0].0.tick(now);
        if processes[0].0.is_leader() && !submitted {
            submitted = true;
            processes[0].0.submit(now, Operation::Command(command_request(None, commands()[0].clone())));
            processes[0].0.submit(now, Operation::Read);
        }
        loop {
            let mut messages = Vec::new();
            for (node, disk) in &mut processes {
                let output = node.advance(disk, now).expect("no error");
                completed |=
                    output.results.iter().any(|(_, result)| matches!(result, OperationResult::Reply(_)));
                messages.extend(output.messages);
            }
            if messages.is_empty() {
                break;
            }
            for (to, message) in messages {
                let at = usize::from(to == 12);
                processes[at].0.receive(now, &message).expect("accepted");
                sent.push((format!("to {to}"), message));
            }
        }
    }
    assert!(sent.iter().any(|(_, message)| message.windows(6).any(|w| w == b"\"open\"")), "{sent:?}");
    assert_golden_bytes("messages.bytes", &sent);
}
