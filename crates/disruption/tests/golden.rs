//! Compares every record of budgets, drains and observations, with its key and the transaction that writes it, byte for byte
//! with the files below `golden/`. These hold what the first version writes, and are never changed to make a test pass,
//! because agents of different versions read each other's records. Each file has one value per line, in the order of the
//! test.

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

/// Checks that a text is read as this value. People and earlier versions write texts that leave fields out.
#[track_caller]
fn assert_reads<T: DeserializeOwned + PartialEq + Debug>(text: &str, value: &T) {
    assert_eq!(&serde_json::from_str::<T>(text).expect("readable"), value);
}

/// Checks that a value with an unknown field is rejected.
#[track_caller]
fn assert_rejects_unknown_field<T: Serialize + DeserializeOwned + Debug>(value: &T) {
    let text = serde_json::to_string(value).expect("serializable");
    let with_unknown_field = text.replacen('{', "{\"x\":1,", 1);
    let error = serde_json::from_str::<T>(&with_unknown_field).expect_err("rejected");
    assert!(error.to_string().contains("unknown field `x`"), "{error}");
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
    assert_rejects_unknown_field(&rules.rules[0]);
    assert_rejects_unknown_field(&server());
    assert_rejects_unknown_field(&rules);
    let without_only =
        Rule { unit_kind: UnitKind::Agents, scope: Scope::Site, only: None, limit: Limit::Number(2) };
    assert_reads("{\"of\":\"agents\",\"by\":\"site\",\"most\":{\"number\":2}}", &without_only);
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
    assert_rejects_unknown_field(&drain());
    assert_rejects_unknown_field(&acknowledgement);
}

#[test]
fn observed_servers() {
    let missing = [("s1", 0.1), ("s2", 1.0), ("s3", 0.0), ("s4", 0.6)];
    let observed = ObservedServers::new(3, missing.map(|(server, missing)| (server.into(), missing)));
    assert_golden("seen.jsonl", &[ObservedServers::default(), observed.clone()]);
    assert_rejects_unknown_field(&observed);
}

#[test]
fn keys() {
    assert_eq!(records::RULES_KEY, "budget/rules");
    assert_eq!(records::DRAIN_PREFIX, "drain/");
    assert_eq!(records::ACKNOWLEDGEMENT_PREFIX, "note/quiet/");
    assert_eq!(records::OBSERVED_PREFIX, "site/seen/");
}

/// Executes transactions and records them.
struct Recorder {
    coordination: Coordination,
    transactions: Vec<Txn>,
}

impl Recorder {
    /// Records the transaction that is written next, and executes it.
    fn write(&mut self, transaction: impl FnOnce(&View) -> Txn) {
        let transaction = transaction(&self.coordination.view());
        self.transactions.push(transaction.clone());
        self.coordination.commit(transaction);
    }
}

/// Executes one transaction of each kind, and compares the transactions and the records that exist at the end.
#[test]
fn transactions_and_the_records_that_they_leave() {
    let mut coordination = Coordination::new();
    let [n1, _, tool] = ["n1", "n2", "tool:r1"].map(|name| coordination.join(name, "east"));
    let mut recorder = Recorder { coordination, transactions: Vec::new() };
    let key = permit::agent_budget_key("east");
    recorder.write(|view| permit::set_limit(view, &key, 1).expect("writable"));
    let acquire = |view: &View| {
        permits::acquire_for_agent(view, &key, "n1", ("tool:r1", tool), "roll").expect("allowed")
    };
    recorder.transactions.push(acquire(&recorder.coordination.view()));
    recorder.write(|view| rules().to_transaction(view).expect("writable"));
    recorder.write(|view| rules().to_transaction(view).expect("writable again"));
    recorder.write(acquire);
    recorder.write(|view| drain::start(view, "s1", drain(), false).expect("allowed"));
    recorder.write(|view| {
        drain::start(view, "s2", Drain { id: 45, ..drain() }, true).expect("budgets overridden")
    });
    let mut observer = DrainObserver::default();
    observer.on_response(Some(&Response::Read(recorder.coordination.view()))).expect("readable");
    let acknowledgement =
        observer.pending_acknowledgement(n1, |server| server == "s1").expect("an acknowledgement to write");
    recorder.write(|_| acknowledgement.to_transaction("n1").expect("writable"));
    recorder
        .write(|_| ObservedServers::new(n1, [("s3".into(), 0.3)]).to_transaction("n1").expect("writable"));
    recorder.write(|view| drain::end(view, "s2").expect("draining"));
    assert_golden("txn.jsonl", &recorder.transactions);
    let records: Vec<(String, Record)> = recorder.coordination.0.records.into_iter().collect();
    assert_golden("records.jsonl", &records);
}

/// Reads the records of the golden file: drains, acknowledgements, missing capacity, and what each rule counts as
/// unavailable.
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
    assert_eq!(records::drains(&view).expect("readable"), BTreeMap::from([("s1".into(), drain())]));
    let barrier = drain::barrier(&view, "s1").expect("readable").expect("draining");
    assert_eq!((barrier.acknowledged, barrier.waiting_for), (vec!["n1".to_string()], vec!["n2".to_string()]));
    let missing = observed::missing_capacity(&view).expect("readable");
    assert_eq!(missing, BTreeMap::from([("s3".into(), 0.5)]));
    let unavailable = Unavailable::count(&view).expect("readable");
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

/// Compares the requests that an agent sends to follow the drains.
#[test]
fn requests_of_a_drain_observer() {
    let mut observer = DrainObserver::default();
    let first = observer.next_request();
    let coordination = Coordination::new();
    observer.on_response(Some(&Response::Read(coordination.view()))).expect("readable");
    let requests: [Request; 2] = [first, observer.next_request()];
    assert_golden("listener_request.jsonl", &requests);
}
