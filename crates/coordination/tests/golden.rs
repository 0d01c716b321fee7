//! Every form that the coordination side sends, stores or keeps in a snapshot, byte by byte: the files below `golden/` are
//! what the first version of the protocol writes. A file is never changed to make a test pass: processes of both versions
//! run side by side, and disks outlive them.
//!
//! Each `.jsonl` file has one value a line, in the order of the test. A `.bytes` file has one named value a line, with
//! bytes that are not printable ASCII as in a Rust byte string.

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

/// Named bytes are those of the file.
#[track_caller]
fn assert_golden_bytes(file: &str, values: &[(String, Vec<u8>)]) {
    let written: String =
        values.iter().map(|(name, bytes)| format!("{name}: {}\n", bytes.escape_ascii())).collect();
    assert_eq!(written, golden_text(file), "{file} is not what is written");
}

/// The named bytes of a file.
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

fn member(standing: MemberStatus) -> Member {
    Member {
        incarnation: 3,
        nonce: 77,
        site: "east".into(),
        version: "1.2".into(),
        address: "n1.example:9100".into(),
        ready: true,
        last_report: 4,
        status: standing,
        revision: 5,
    }
}

fn record() -> Record {
    Record { value: "{\"most\":1}".into(), revision: 9 }
}

fn terms() -> LeaseTerms {
    LeaseTerms { duration: 9_000_000, max_clock_drift: 0.01 }
}

fn excess() -> LimitExceeded {
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

fn joining(after: u64) -> Command {
    Command::Join {
        name: "n1".into(),
        nonce: 77,
        previous_incarnation: after,
        site: "east".into(),
        version: "1.2".into(),
        address: "n1.example:9100".into(),
    }
}

fn commands() -> Vec<Command> {
    vec![
        Command::OpenSession,
        joining(2),
        Command::Report { name: "n1".into(), incarnation: 3, number: 4, ready: true },
        Command::Leave { name: "n1".into(), incarnation: 3 },
        Command::Expire(vec![("n1".into(), 3), ("n2".into(), 2)]),
        Command::Forget { name: "n1".into() },
        Command::Write(Txn { checks: checks(), writes: writes() }),
    ]
}

fn replies() -> Vec<CommandResult> {
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
        CommandResult::LimitExceeded(excess()),
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
    let formation = ClusterInfo { cluster_id: ClusterId(5), peers: peers() };
    vec![
        Identity { node_id: 11, name: "c1".into(), cluster: None },
        Identity { node_id: 11, name: "c1".into(), cluster: Some(formation) },
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

fn standpoints() -> Vec<NodeStatus> {
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
        Refusal::LimitExceeded(excess()),
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
    let [leader, without_leader] = <[NodeStatus; 2]>::try_from(standpoints()).expect("two");
    let silent = BTreeMap::from([("n1".into(), 250_000)]);
    let mut responses: Vec<Response> = identities().into_iter().map(Response::Identity).collect();
    responses.extend(replies().into_iter().map(|reply| Response::Reply(reply, terms())));
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
fn view_and_standpoint() {
    assert_golden("view.jsonl", &views());
    assert_golden("standpoint.jsonl", &standpoints());
}

#[test]
fn refusal_and_excess() {
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
    assert_golden("excess.jsonl", &[excess()]);
    assert_golden("compacted.jsonl", &[Compacted { oldest: 9 }]);
}

#[test]
fn command_and_call() {
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
    let calls = [
        CommandRequest { session: None, command: Command::OpenSession },
        CommandRequest { session: Some((6, 1)), command: Command::Forget { name: "n1".into() } },
    ];
    assert_golden("call.jsonl", &calls);
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
fn reply() {
    let replies = replies();
    has_every_variant!(
        replies,
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
    assert_golden("reply.jsonl", &replies);
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
    let standings =
        [MemberStatus::Living, MemberStatus::Superseded, MemberStatus::Left, MemberStatus::Expired];
    has_every_variant!(
        standings,
        MemberStatus,
        MemberStatus::Living,
        MemberStatus::Superseded,
        MemberStatus::Left,
        MemberStatus::Expired,
    );
    assert_golden("standing.jsonl", &standings);
    assert_golden("member.jsonl", &standings.map(member));
    assert_golden("peer.jsonl", &[peer("c1")]);
    assert_golden("record.jsonl", &[record()]);
}

#[test]
fn identity_and_formation() {
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

/// The numbers and names that are written beside the types.
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
    // Fields that an earlier version did not write.
    let short: Budget = serde_json::from_str("{\"most\":2}").expect("read");
    assert_eq!(short, Budget { max: 2, permits: BTreeMap::new() });
    let short: Permit = serde_json::from_str("{\"taker\":[\"t\",4],\"why\":\"w\"}").expect("read");
    assert_eq!(short, Permit { taker: ("t".into(), 4), reason: "w".into(), started: None, finished: false });
    // Fields that nobody knows.
    serde_json::from_str::<Budget>("{\"most\":2,\"x\":1}").expect_err("refused");
    serde_json::from_str::<Permit>("{\"taker\":[\"t\",4],\"why\":\"w\",\"x\":1}").expect_err("refused");
}

fn call(session: Option<(u64, u64)>, command: Command) -> CommandRequest {
    CommandRequest { session, command }
}

/// What each step of a permit writes, as the commands that ask for it.
#[test]
fn transactions_of_permits() {
    let key = permit::agent_budget_key("east");
    let mut state = agreed_state();
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
    type BootstrapStep<'s> = Box<dyn Fn(&View) -> Result<Txn, permit::PermitDenial> + 's>;
    let steps: [BootstrapStep<'_>; 7] = [
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
        let reply = state.apply(&call(None, Command::Write(txn.clone())), &Limits::default());
        assert!(matches!(reply, CommandResult::Done(_)), "{reply:?}");
        txns.push(txn);
    }
    txns.push(permit::force_release(&view(&state), &key, "n1").expect("allowed"));
    state.apply(
        &call(None, Command::Leave { name: taker.0.into(), incarnation: taker.1 }),
        &Limits::default(),
    );
    txns.push(permit::release(&view(&state), &key, "n1", n1).expect("the taker has gone"));
    assert_golden("permit_txn.jsonl", &txns);
}

/// The names of bounds in replies, each provoked.
#[test]
fn names_of_bounds() {
    let bounds = Limits { members: 0, records: 1, state_bytes: 40, record_bytes: 20, ..Limits::default() };
    let put = |key: &str, length: usize| Write::Put(key.into(), "x".repeat(length));
    let write = |writes| Command::Write(Txn { checks: Vec::new(), writes });
    let state = State::new(ClusterId(5), peers());
    let reply = |command| state.clone().apply(&call(None, command), &bounds);
    let mut replies = vec![
        reply(joining(0)),
        reply(write(vec![put("note/a", 1); 65])),
        reply(write(vec![put("note/a", 21)])),
        reply(write(vec![put("note/a", 1), put("note/b", 1)])),
    ];
    let few_bytes = Limits { state_bytes: 10, ..Limits::default() };
    replies.push(state.clone().apply(&call(None, write(vec![put("note/a", 20)])), &few_bytes));
    assert_golden("bounds.jsonl", &replies);
    let formation = ClusterInfo { cluster_id: ClusterId(5), peers: peers() };
    let bounds = Limits { in_flight: 0, ..Limits::default() };
    let settings = NodeSettings { limits: bounds, ..NodeSettings::default() };
    let mut node = Node::new(11, &initial_state(&formation), settings, 1, 0).expect("a node");
    node.submit(0, Operation::Read);
    let answers = node.advance(&mut Recorder::default(), 0).expect("worked").results;
    let over = OperationResult::LimitExceeded(LimitExceeded { limit: "in_flight".into(), max: 0 });
    assert_eq!(answers.into_iter().map(|(_, answer)| answer).collect::<Vec<_>>(), [over]);
}

/// A state with something in each of its fields.
fn agreed_state() -> State {
    let mut state = State::new(ClusterId(5), peers());
    // Of this many changes only the last are kept.
    let bounds = Limits { changes: 64, ..Limits::default() };
    let mut apply = |session, command| state.apply(&call(session, command), &bounds);
    let join = |name: &str, nonce, after| Command::Join {
        name: name.into(),
        nonce,
        previous_incarnation: after,
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

/// A whole state, as it stands in a snapshot and in a copy.
#[test]
fn whole_state() {
    let state = agreed_state();
    let restored = state.clone().restored_as(ClusterId(6), BTreeMap::from([(13, peer("c3"))]));
    assert_golden("state.jsonl", &[State::new(ClusterId(5), peers()), state, restored]);
}

/// The same as it is read: the next commands find the sessions, members, records and changes of the file.
#[test]
fn a_state_that_was_read_goes_on() {
    let golden = golden_text("state.jsonl");
    let mut state: State = serde_json::from_str(golden.lines().nth(1).expect("a state")).expect("read");
    let bounds = Limits::default();
    let again = Command::Report { name: "n1".into(), incarnation: 1, number: 9, ready: false };
    assert_eq!(state.apply(&call(Some((1, 1)), again.clone()), &bounds), CommandResult::Done(5), "a repeat");
    assert_eq!(
        state.apply(&call(Some((80, 1)), again.clone()), &bounds),
        CommandResult::Conflict { check: 0 }
    );
    assert_eq!(state.apply(&call(Some((2, 1)), again), &bounds), CommandResult::Done(82));
    assert_eq!(state.changes_after(15, 4), Err(Compacted { oldest: 16 }));
    assert!(state.changes_after(16, 4).is_ok());
}

fn named_image(name: &str, image: &DurableState) -> Vec<(String, Vec<u8>)> {
    let cut = format!("{},{}", image.compacted.index, image.compacted.term).into_bytes();
    let mut named = vec![(format!("{name} cut"), cut)];
    named.extend(image.hard_state.iter().map(|hard| (format!("{name} hard"), hard.clone())));
    named.extend(image.snapshot.iter().map(|snapshot| (format!("{name} snapshot"), snapshot.clone())));
    named.extend(image.entries.iter().map(|(index, entry)| (format!("{name} entry {index}"), entry.clone())));
    named
}

fn image_of(named: &[(String, Vec<u8>)], name: &str) -> DurableState {
    let mut image = DurableState::default();
    for (part, bytes) in named {
        let Some(part) = part.strip_prefix(name).and_then(|part| part.strip_prefix(' ')) else { continue };
        match part.split_once(' ') {
            Some((_, index)) => {
                image.entries.insert(index.parse().expect("an index"), bytes.clone());
            }
            None if part == "hard" => image.hard_state = Some(bytes.clone()),
            None if part == "snapshot" => image.snapshot = Some(bytes.clone()),
            None => {
                let cut = std::str::from_utf8(bytes).ok().and_then(|cut| cut.split_once(','));
                let (index, term) = cut.expect("an index and a term");
                let index = index.parse().expect("an index");
                image.compacted = LogPosition { index, term: term.parse().expect("a term") };
            }
        }
    }
    image
}

/// What a disk has at first.
#[test]
fn first_images() {
    let formed = initial_state(&ClusterInfo { cluster_id: ClusterId(5), peers: peers() });
    let restored = restored_state(agreed_state(), ClusterId(6), 13, peer("c3"));
    let named = [named_image("formed", &formed), named_image("restored", &restored)].concat();
    assert_golden_bytes("first_images.bytes", &named);
    let read = golden_bytes("first_images.bytes");
    assert_eq!(image_of(&read, "formed"), formed);
    assert_eq!(image_of(&read, "restored"), restored);
}

/// Keeps each step, and all of them.
#[derive(Default)]
struct Recorder {
    image: DurableState,
}

impl Disk for Recorder {
    fn save(&mut self, save: &WriteBatch) -> Result<(), DiskError> {
        self.image.apply(save);
        Ok(())
    }
}

/// A council of one that has carried out some commands and taken a second process in, which does not answer.
fn council_of_one() -> (DurableState, State) {
    let formation = ClusterInfo { cluster_id: ClusterId(5), peers: BTreeMap::from([(11, peer("c1"))]) };
    let mut disk = Recorder { image: initial_state(&formation) };
    let mut node = Node::new(11, &disk.image, NodeSettings::default(), 0x0102_0304, 0).expect("a node");
    let mut now = 0;
    while !node.is_leader() {
        now += 50_000;
        node.tick(now);
        node.advance(&mut disk, now).expect("worked");
    }
    let mut answers = Vec::new();
    for command in [
        Command::OpenSession,
        joining(0),
        Command::Write(Txn { checks: vec![Check::Absent("note/a".into())], writes: writes() }),
    ] {
        node.submit(now, Operation::Command(call(None, command)));
        answers.extend(node.advance(&mut disk, now).expect("worked").results);
    }
    node.submit(now, Operation::ChangePeers { add: Some((12, peer("c2"))), remove: None });
    answers.extend(node.advance(&mut disk, now).expect("worked").results);
    let answers: Vec<OperationResult> = answers.into_iter().map(|(_, answer)| answer).collect();
    let done =
        [CommandResult::SessionOpened(1), CommandResult::Joined { incarnation: 2 }, CommandResult::Done(3)]
            .map(OperationResult::Reply);
    assert_eq!(answers, [&done[..], &[OperationResult::PeersChanged]].concat());
    (disk.image, node.state().clone())
}

/// What a node writes to its log: calls and changes of the council as entries, with the bytes of their contexts.
#[test]
fn log_of_a_node() {
    let (image, state) = council_of_one();
    assert_golden_bytes("log.bytes", &named_image("c1", &image));
    assert_golden("log_state.jsonl", &[state]);
}

/// A node that begins with the log of the file comes to the state of the file.
#[test]
fn a_log_that_was_written_is_read() {
    let image = image_of(&golden_bytes("log.bytes"), "c1");
    let mut disk = Recorder { image: image.clone() };
    let mut node = Node::new(11, &image, NodeSettings::default(), 9, 0).expect("a node");
    for now in (0..3_000_000).step_by(50_000) {
        node.tick(now);
        node.advance(&mut disk, now).expect("worked");
    }
    let expected: State = serde_json::from_str(golden_text("log_state.jsonl").trim()).expect("read");
    assert_eq!(*node.state(), expected);
    let voters: BTreeSet<u64> = node.status().voters.into_iter().collect();
    assert_eq!(voters, BTreeSet::from([11, 12]));
}

/// What the processes of a council of two say to each other until a command of the first has been answered.
#[test]
fn messages_between_nodes() {
    let formation = ClusterInfo { cluster_id: ClusterId(5), peers: peers() };
    let mut said = Vec::new();
    let mut processes: Vec<(Node, Recorder)> = Vec::new();
    for number in [11, 12] {
        let disk = Recorder { image: initial_state(&formation) };
        let node = Node::new(number, &disk.image, NodeSettings::default(), number, 0).expect("a node");
        processes.push((node, disk));
    }
    let (mut now, mut asked, mut answered) = (0, false, false);
    while !answered {
        now += 50_000;
        assert!(now < 10_000_000, "no answer: {said:?}");
        // The second one's clock stands still: only the first one stands for election.
        processes[0].0.tick(now);
        if processes[0].0.is_leader() && !asked {
            asked = true;
            processes[0].0.submit(now, Operation::Command(call(None, commands()[0].clone())));
            processes[0].0.submit(now, Operation::Read);
        }
        loop {
            let mut messages = Vec::new();
            for (node, disk) in &mut processes {
                let output = node.advance(disk, now).expect("worked");
                answered |=
                    output.results.iter().any(|(_, answer)| matches!(answer, OperationResult::Reply(_)));
                messages.extend(output.messages);
            }
            if messages.is_empty() {
                break;
            }
            for (to, message) in messages {
                let at = usize::from(to == 12);
                processes[at].0.receive(now, &message).expect("heard");
                said.push((format!("to {to}"), message));
            }
        }
    }
    assert!(said.iter().any(|(_, message)| message.windows(6).any(|w| w == b"\"open\"")), "{said:?}");
    assert_golden_bytes("messages.bytes", &said);
}
