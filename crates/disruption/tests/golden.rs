//! Every record of budgets, drains and observations, byte by byte, with its key and with the transaction that writes it: the
//! files below `golden/` are what the first version writes. A file is never changed to make a test pass: agents of both
//! versions read each other's records. Each file has one value a line, in the order of the test.

mod common;
#[macro_use]
#[path = "../../coordination/tests/support/golden.rs"]
mod support;

use common::Coordination;
use heronhoist_coordination::permit;
use heronhoist_coordination::state::{Record, Txn};
use heronhoist_coordination::wire::{Request, Response, View};
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
use support::{assert_golden, golden_text};

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

fn unit_kinds() -> [UnitKind; 2] {
    [UnitKind::Agents, UnitKind::Servers]
}

fn scopes() -> [Scope; 4] {
    [Scope::All, Scope::Site, Scope::MachineType, Scope::Cell]
}

fn limits() -> [Limit; 4] {
    [Limit::Number(0), Limit::Number(3), Limit::Share(0.25), Limit::Share(1.0)]
}

fn server() -> Server {
    Server { site: "east".into(), machine_type: "m1".into(), cell: "a".into() }
}

fn rules() -> Rules {
    let rule = |unit_kind, scope, only: Option<&str>, limit| Rule {
        unit_kind,
        scope,
        only: only.map(String::from),
        limit,
    };
    Rules {
        rules: vec![
            rule(UnitKind::Agents, Scope::Site, None, Limit::Number(2)),
            rule(UnitKind::Agents, Scope::All, None, Limit::Share(0.5)),
            rule(UnitKind::Servers, Scope::All, None, Limit::Share(0.5)),
            rule(UnitKind::Servers, Scope::Site, Some("east"), Limit::Number(2)),
            rule(UnitKind::Servers, Scope::MachineType, Some("m1"), Limit::Number(2)),
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
    Drain { id: 44, requested_by: "anna".into(), reason: "a new disk".into() }
}

#[test]
fn unit_kinds_scopes_and_limits() {
    has_every_variant!(unit_kinds(), UnitKind, UnitKind::Agents, UnitKind::Servers);
    has_every_variant!(scopes(), Scope, Scope::All, Scope::Site, Scope::MachineType, Scope::Cell);
    has_every_variant!(limits(), Limit, Limit::Number(_), Limit::Share(_));
    assert_golden("sort.jsonl", &unit_kinds());
    assert_golden("by.jsonl", &scopes());
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
    let short = Rule { unit_kind: UnitKind::Agents, scope: Scope::Site, only: None, limit: Limit::Number(2) };
    assert_reads("{\"of\":\"agents\",\"by\":\"site\",\"most\":{\"number\":2}}", &short);
    assert_reads("{\"site\":\"west\"}", &Server { site: "west".into(), ..Server::default() });
    assert_reads("{\"rules\":[]}", &Rules::default());
}

#[test]
fn drain_and_acknowledgement() {
    let acknowledgement = DrainAcknowledgement {
        incarnation: 3,
        drain_ids: BTreeMap::from([("s1".into(), 44), ("s2".into(), 45)]),
    };
    assert_golden("drain.jsonl", &[drain()]);
    assert_golden("quiet.jsonl", &[DrainAcknowledgement::default(), acknowledgement.clone()]);
    assert_refuses_unknown_field(&drain());
    assert_refuses_unknown_field(&acknowledgement);
}

#[test]
fn observed_servers() {
    let missing = [("s1", 0.1), ("s2", 1.0), ("s3", 0.0), ("s4", 0.6)];
    let observed = ObservedServers::new(3, missing.map(|(server, missing)| (server.into(), missing)));
    assert_golden("seen.jsonl", &[ObservedServers::default(), observed.clone()]);
    assert_refuses_unknown_field(&observed);
}

#[test]
fn keys() {
    assert_eq!(records::RULES_KEY, "budget/rules");
    assert_eq!(records::DRAIN_PREFIX, "drain/");
    assert_eq!(records::ACKNOWLEDGEMENT_PREFIX, "note/quiet/");
    assert_eq!(records::OBSERVED_PREFIX, "site/seen/");
}

/// Carries out transactions and keeps them.
struct Recorder {
    coordination: Coordination,
    transactions: Vec<Txn>,
}

impl Recorder {
    /// Keeps the transaction that is written next, and carries it out.
    fn write(&mut self, transaction: impl FnOnce(&View) -> Txn) {
        let transaction = transaction(&self.coordination.view());
        self.transactions.push(transaction.clone());
        self.coordination.commit(transaction);
    }
}

/// One transaction of each kind, in one history; and all records as they stand at its end.
#[test]
fn transactions_and_the_records_that_they_leave() {
    let mut coordination = Coordination::new();
    let [n1, _, tool] = ["n1", "n2", "tool:r1"].map(|name| coordination.join(name, "east"));
    let mut recorder = Recorder { coordination, transactions: Vec::new() };
    let key = permit::agent_budget_key("east");
    recorder.write(|view| permit::set_limit(view, &key, 1).expect("stated"));
    let take = |view: &View| {
        permits::acquire_for_agent(view, &key, "n1", ("tool:r1", tool), "roll").expect("allowed")
    };
    recorder.transactions.push(take(&recorder.coordination.view()));
    recorder.write(|view| rules().to_transaction(view).expect("stated"));
    recorder.write(|view| rules().to_transaction(view).expect("stated again"));
    recorder.write(take);
    recorder.write(|view| drain::start(view, "s1", drain(), false).expect("allowed"));
    recorder.write(|view| drain::start(view, "s2", Drain { id: 45, ..drain() }, true).expect("forced"));
    let mut observer = DrainObserver::default();
    observer.on_response(Some(&Response::Read(recorder.coordination.view()))).expect("read");
    let acknowledgement =
        observer.pending_acknowledgement(n1, |server| server == "s1").expect("something new");
    recorder.write(|_| acknowledgement.to_transaction("n1").expect("writable"));
    recorder
        .write(|_| ObservedServers::new(n1, [("s3".into(), 0.3)]).to_transaction("n1").expect("writable"));
    recorder.write(|view| drain::end(view, "s2").expect("it drains"));
    assert_golden("txn.jsonl", &recorder.transactions);
    let records: Vec<(String, Record)> = recorder.coordination.0.records.into_iter().collect();
    assert_golden("records.jsonl", &records);
}

/// The records of the file, read: drains, acknowledgements, missing capacity, and what is unavailable by which rule.
#[test]
fn records_that_were_written_are_read() {
    let mut coordination = Coordination::new();
    for name in ["n1", "n2", "tool:r1"] {
        coordination.join(name, "east");
    }
    for line in golden_text("records.jsonl").lines() {
        let (key, record) = serde_json::from_str(line).expect("a record");
        coordination.0.records.insert(key, record);
    }
    let view = coordination.view();
    assert_eq!(records::drains(&view).expect("read"), BTreeMap::from([("s1".into(), drain())]));
    let barrier = drain::barrier(&view, "s1").expect("read").expect("it drains");
    assert_eq!((barrier.acknowledged, barrier.waiting_for), (vec!["n1".to_string()], vec!["n2".to_string()]));
    let missing = observed::missing_capacity(&view).expect("read");
    assert_eq!(missing, BTreeMap::from([("s3".into(), 0.5)]));
    let unavailable = Unavailable::count(&view).expect("read");
    let groups: Vec<String> = unavailable
        .groups()
        .into_iter()
        .map(|group| {
            format!(
                "{}: {} of {}, {} out: {}",
                group.name,
                group.limit,
                group.total,
                group.unavailable,
                group.causes.join(", ")
            )
        })
        .collect();
    assert_eq!(groups.join("\n") + "\n", golden_text("groups.txt"));
}

/// What an agent requests to follow the drains.
#[test]
fn requests_of_a_drain_observer() {
    let mut observer = DrainObserver::default();
    let first = observer.next_request();
    let coordination = Coordination::new();
    observer.on_response(Some(&Response::Read(coordination.view()))).expect("read");
    let requests: [Request; 2] = [first, observer.next_request()];
    assert_golden("listener_request.jsonl", &requests);
}
