//! Every record of budgets, drains and observations, byte by byte, with its key and with the transaction that writes it: the
//! files below `golden/` are what the first version writes. A file is never changed to make a test pass: agents of both
//! versions read each other's records. Each file has one value a line, in the order of the test.

use heronhoist_council::permit;
use heronhoist_council::state::{Call, Command, Peer, Record, Reply, State, Txn};
use heronhoist_council::wire::{Request, Response, View};
use heronhoist_council::Bounds;
use heronhoist_disruption::drain::{self, DrainAcknowledgement};
use heronhoist_disruption::drain_observer::DrainObserver;
use heronhoist_disruption::observed::{self, ObservedServers};
use heronhoist_disruption::permits;
use heronhoist_disruption::records::{self, Drain};
use heronhoist_disruption::rules::{Limit, Rule, Rules, Scope, Server, UnitKind};
use heronhoist_disruption::unavailable::Unavailable;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::path::PathBuf;

/// Fails to compile where a variant is not listed, and fails where a listed one has no value.
macro_rules! has_every_variant {
    ($values:expr, $type:ty, $($variant:pat),+ $(,)?) => {{
        let _ = |value: &$type| match value { $($variant => {})+ };
        $(assert!(
            $values.iter().any(|value| matches!(value, $variant)),
            "no value of {}", stringify!($variant),
        );)+
    }};
}

fn golden_text(file: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
    std::fs::read_to_string(path).unwrap_or_else(|why| panic!("{file}: {why}"))
}

/// The values are written as the file has them, and the file is read as the values.
#[track_caller]
fn assert_golden<T>(file: &str, values: &[T])
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let golden = golden_text(file);
    let written: String =
        values.iter().map(|value| serde_json::to_string(value).expect("serializable") + "\n").collect();
    assert_eq!(written, golden, "{file} is not what is written");
    let read: Vec<T> = golden
        .lines()
        .map(|line| serde_json::from_str(line).unwrap_or_else(|why| panic!("{file}: {line}: {why}")))
        .collect();
    assert_eq!(read, values, "{file} is read otherwise");
}

/// A form that people or an earlier version write, which leaves fields out.
#[track_caller]
fn assert_reads<T: DeserializeOwned + PartialEq + Debug>(text: &str, value: &T) {
    assert_eq!(&serde_json::from_str::<T>(text).expect("read"), value);
}

/// A field that nobody knows is refused.
#[track_caller]
fn assert_refuses_unknown_field<T: Serialize + DeserializeOwned + Debug>(value: &T) {
    let text = serde_json::to_string(value).expect("serializable");
    let other = text.replacen('{', "{\"x\":1,", 1);
    let fault = serde_json::from_str::<T>(&other).expect_err("refused");
    assert!(fault.to_string().contains("unknown field `x`"), "{fault}");
}

fn sorts() -> [UnitKind; 2] {
    [UnitKind::Agents, UnitKind::Servers]
}

fn groupings() -> [Scope; 4] {
    [Scope::All, Scope::Site, Scope::Kind, Scope::Cell]
}

fn limits() -> [Limit; 4] {
    [Limit::Number(0), Limit::Number(3), Limit::Share(0.25), Limit::Share(1.0)]
}

fn server() -> Server {
    Server { site: "east".into(), kind: "m1".into(), cell: "a".into() }
}

fn rules() -> Rules {
    let rule = |of, by, only: Option<&str>, most| Rule { of, by, only: only.map(String::from), most };
    Rules {
        rules: vec![
            rule(UnitKind::Agents, Scope::Site, None, Limit::Number(2)),
            rule(UnitKind::Agents, Scope::All, None, Limit::Share(0.5)),
            rule(UnitKind::Servers, Scope::All, None, Limit::Share(0.5)),
            rule(UnitKind::Servers, Scope::Site, Some("east"), Limit::Number(2)),
            rule(UnitKind::Servers, Scope::Kind, Some("m1"), Limit::Number(2)),
            rule(UnitKind::Servers, Scope::Cell, None, Limit::Number(1)),
        ],
        servers: BTreeMap::from([
            ("s1".into(), server()),
            ("s2".into(), Server { cell: "b".into(), ..server() }),
            ("s3".into(), Server { site: "west".into(), ..Server::default() }),
        ]),
    }
}

fn drain() -> Drain {
    Drain { number: 44, by: "anna".into(), why: "a new disk".into() }
}

#[test]
fn kinds_groupings_and_limits() {
    has_every_variant!(sorts(), UnitKind, UnitKind::Agents, UnitKind::Servers);
    has_every_variant!(groupings(), Scope, Scope::All, Scope::Site, Scope::Kind, Scope::Cell);
    has_every_variant!(limits(), Limit, Limit::Number(_), Limit::Share(_));
    assert_golden("sort.jsonl", &sorts());
    assert_golden("by.jsonl", &groupings());
    assert_golden("most.jsonl", &limits());
}

#[test]
fn rule_server_and_rules() {
    let rules = rules();
    assert_golden("rule.jsonl", &rules.rules);
    assert_golden("server.jsonl", &[Server::default(), server()]);
    assert_golden("rules.jsonl", &[Rules::default(), rules.clone()]);
    assert_refuses_unknown_field(&rules.rules[0]);
    assert_refuses_unknown_field(&server());
    assert_refuses_unknown_field(&rules);
    let short = Rule { of: UnitKind::Agents, by: Scope::Site, only: None, most: Limit::Number(2) };
    assert_reads("{\"of\":\"agents\",\"by\":\"site\",\"most\":{\"number\":2}}", &short);
    assert_reads("{\"site\":\"west\"}", &Server { site: "west".into(), ..Server::default() });
    assert_reads("{\"rules\":[]}", &Rules::default());
}

#[test]
fn drain_and_quiet() {
    let quiet = DrainAcknowledgement {
        incarnation: 3,
        servers: BTreeMap::from([("s1".into(), 44), ("s2".into(), 45)]),
    };
    assert_golden("drain.jsonl", &[drain()]);
    assert_golden("quiet.jsonl", &[DrainAcknowledgement::default(), quiet.clone()]);
    assert_refuses_unknown_field(&drain());
    assert_refuses_unknown_field(&quiet);
}

#[test]
fn seen_servers() {
    let lacks = [("s1", 0.1), ("s2", 1.0), ("s3", 0.0), ("s4", 0.6)];
    let seen = ObservedServers::new(3, lacks.map(|(name, lack)| (name.into(), lack)));
    assert_golden("seen.jsonl", &[ObservedServers::default(), seen.clone()]);
    assert_refuses_unknown_field(&seen);
}

#[test]
fn keys() {
    assert_eq!(records::RULES_KEY, "budget/rules");
    assert_eq!(records::DRAIN_PREFIX, "drain/");
    assert_eq!(records::ACKNOWLEDGEMENT_PREFIX, "note/quiet/");
    assert_eq!(records::OBSERVED_PREFIX, "site/seen/");
}

struct Council {
    state: State,
    txns: Vec<Txn>,
}

impl Council {
    fn apply(&mut self, command: Command) -> Reply {
        self.state.apply(&Call { session: None, command }, &Bounds::default())
    }

    fn join(&mut self, name: &str) -> u64 {
        let [site, version, address] = ["east", "1", ""].map(String::from);
        let joining = Command::Join { name: name.into(), nonce: 1, after: 0, site, version, address };
        let reply = self.apply(joining);
        let Reply::Joined { incarnation } = reply else { panic!("{reply:?}") };
        self.apply(Command::Report { name: name.into(), incarnation, number: 1, ready: true });
        incarnation
    }

    fn view(&self) -> View {
        let State { history, revision, peers, members, records, .. } = self.state.clone();
        View { history, revision, age: Some(0), peers, members, records }
    }

    /// Keeps the transaction that is written next, which goes through.
    fn write(&mut self, txn: impl FnOnce(&View) -> Txn) {
        let txn = txn(&self.view());
        self.txns.push(txn.clone());
        let reply = self.apply(Command::Write(txn));
        assert!(matches!(reply, Reply::Done(_)), "{reply:?}");
    }
}

/// One transaction of each sort, in one history; and all records as they stand at its end.
#[test]
fn transactions_and_the_records_that_they_leave() {
    let mut council = Council { state: State::new(1, BTreeMap::<u64, Peer>::new()), txns: Vec::new() };
    let [n1, _, tool] = ["n1", "n2", "tool:r1"].map(|name| council.join(name));
    let key = permit::agents_of("east");
    council.write(|view| permit::state_number(view, &key, 1).expect("stated"));
    let take =
        |view: &View| permits::take_agent(view, &key, "n1", ("tool:r1", tool), "roll").expect("allowed");
    council.txns.push(take(&council.view()));
    council.write(|view| rules().to_transaction(view).expect("stated"));
    council.write(|view| rules().to_transaction(view).expect("stated again"));
    council.write(take);
    council.write(|view| drain::enter(view, "s1", drain(), false).expect("allowed"));
    council.write(|view| drain::enter(view, "s2", Drain { number: 45, ..drain() }, true).expect("forced"));
    let mut observer = DrainObserver::default();
    observer.on_response(Some(&Response::Read(council.view()))).expect("read");
    let quiet = observer.pending_acknowledgement(n1, |server| server == "s1").expect("something new");
    council.write(|_| quiet.to_transaction("n1"));
    council.write(|_| ObservedServers::new(n1, [("s3".into(), 0.3)]).to_transaction("n1"));
    council.write(|view| drain::end(view, "s2").expect("it drains"));
    assert_golden("txn.jsonl", &council.txns);
    let records: Vec<(String, Record)> = council.state.records.into_iter().collect();
    assert_golden("records.jsonl", &records);
}

/// The records of the file, read: drains, who is quiet, what servers lack, and what is out by which rule.
#[test]
fn records_that_were_written_are_read() {
    let mut council = Council { state: State::new(1, BTreeMap::<u64, Peer>::new()), txns: Vec::new() };
    for name in ["n1", "n2", "tool:r1"] {
        council.join(name);
    }
    for line in golden_text("records.jsonl").lines() {
        let (key, record) = serde_json::from_str(line).expect("a record");
        council.state.records.insert(key, record);
    }
    let view = council.view();
    assert_eq!(records::drains(&view).expect("read"), BTreeMap::from([("s1".into(), drain())]));
    let barrier = drain::barrier(&view, "s1").expect("read").expect("it drains");
    assert_eq!((barrier.quiet, barrier.waits_for), (vec!["n1".to_string()], vec!["n2".to_string()]));
    let lacks = observed::missing_capacity(&view).expect("read");
    assert_eq!(lacks, BTreeMap::from([("s3".into(), 0.5)]));
    let count = Unavailable::count(&view).expect("read");
    let groups: Vec<String> = count
        .groups()
        .into_iter()
        .map(|group| {
            format!(
                "{}: {} of {}, {} out: {}",
                group.name,
                group.most,
                group.all,
                group.out,
                group.who.join(", ")
            )
        })
        .collect();
    assert_eq!(groups.join("\n") + "\n", golden_text("groups.txt"));
}

/// What an agent asks for to hear of drains.
#[test]
fn questions_of_a_listener() {
    let mut observer = DrainObserver::default();
    let first = observer.next_request();
    let council = Council { state: State::new(1, BTreeMap::<u64, Peer>::new()), txns: Vec::new() };
    observer.on_response(Some(&Response::Read(council.view()))).expect("read");
    let questions: [Request; 2] = [first, observer.next_request()];
    assert_golden("listener_request.jsonl", &questions);
}
