//! Tests budgets, drains and observations on the replicated state of the coordination service.

mod common;

use common::Coordination;
use heronhoist_coordination::permit;
use heronhoist_coordination::state::{Command, CommandResult, Record, Txn};
use heronhoist_coordination::wire::Response;
use heronhoist_disruption::denial::BudgetDenial;
use heronhoist_disruption::drain::{self, DrainDenial};
use heronhoist_disruption::drain_observer::DrainObserver;
use heronhoist_disruption::observed::{self, ObservedServers};
use heronhoist_disruption::records::Drain;
use heronhoist_disruption::rules::{InvalidRule, Limit, Rule, Rules, Scope, Server, UnitKind};
use heronhoist_disruption::unavailable::Unavailable;
use std::collections::BTreeMap;
use std::error::Error;

fn expire(coordination: &mut Coordination, name: &str, incarnation: u64) {
    coordination.apply(Command::Expire(vec![(name.into(), incarnation)]));
}

/// Writes the record of what an agent observes.
fn observe<const N: usize>(
    coordination: &mut Coordination,
    agent: &str,
    incarnation: u64,
    missing_capacity: [(&str, f64); N],
) {
    let missing_capacity = missing_capacity.map(|(server, missing)| (server.to_string(), missing));
    let observed = ObservedServers::new(incarnation, missing_capacity);
    coordination.commit(observed.to_transaction(agent).expect("writable"));
}

fn rule(unit_kind: UnitKind, scope: Scope, limit: Limit) -> Rule {
    Rule { unit_kind, scope, only: None, limit }
}

/// Returns rules for two sites of three servers each: at most one server per site, two servers in all and two agents per
/// site may be unavailable.
fn rules() -> Rules {
    let server = |n: usize| {
        let site = if n < 3 { "east" } else { "west" };
        (format!("s{n}"), Server { site: site.into(), machine_type: "m".into(), cell: (n % 2).to_string() })
    };
    Rules {
        rules: vec![
            rule(UnitKind::Servers, Scope::Site, Limit::Number(1)),
            rule(UnitKind::Servers, Scope::All, Limit::Share(0.34)),
            rule(UnitKind::Agents, Scope::Site, Limit::Number(2)),
        ],
        servers: (0..6).map(server).collect(),
    }
}

fn drain(id: u64) -> Drain {
    Drain { id, requested_by: "op".into(), reason: "disk".into() }
}

fn denied(result: Result<Txn, DrainDenial>) -> String {
    result.expect_err("denied").to_string()
}

#[test]
fn a_server_may_stop_once_every_agent_that_may_hold_its_lease_has_acknowledged() {
    let mut coordination = Coordination::new();
    let agents = ["n1", "n2", "n3", "n4"].map(|name| coordination.join(name, "east"));
    coordination.join("hold:n1:7", "");
    coordination.commit(rules().to_transaction(&coordination.view()).expect("readable"));
    coordination.commit(drain::start(&coordination.view(), "s1", drain(7), false).expect("allowed"));
    assert!(denied(drain::start(&coordination.view(), "s1", drain(8), false)).contains("for op: disk"));
    let mut observers = [(); 4].map(|()| DrainObserver::default());
    for (index, observer) in observers.iter_mut().enumerate().take(2) {
        observer.on_response(Some(&Response::Read(coordination.view()))).expect("readable");
        assert_eq!(observer.draining_servers().into_iter().collect::<Vec<_>>(), ["s1"]);
        assert_eq!(
            observer.pending_acknowledgement(agents[index], |_| false),
            None,
            "a request is still in flight"
        );
        let acknowledgement = observer
            .pending_acknowledgement(agents[index], |server| server == "s1")
            .expect("an acknowledgement to write");
        coordination.commit(acknowledgement.to_transaction(&format!("n{}", index + 1)).expect("writable"));
        observer.on_acknowledged(acknowledgement);
        assert_eq!(
            observer.pending_acknowledgement(agents[index], |_| true),
            None,
            "it is already acknowledged"
        );
    }
    let barrier = |coordination: &Coordination| {
        drain::barrier(&coordination.view(), "s1").expect("readable").expect("draining")
    };
    assert_eq!(barrier(&coordination).waiting_for, ["n3", "n4"]);
    // A newer process replaces one that may still hold its lease; then the old lease expires.
    let join = |nonce| Command::Join {
        name: "n3".into(),
        nonce,
        previous_incarnation: agents[2],
        site: "east".into(),
        version: "2".into(),
        address: String::new(),
    };
    assert!(matches!(coordination.apply(join(99)), CommandResult::Wait { .. }));
    assert_eq!(barrier(&coordination).waiting_for, ["n3", "n4"]);
    expire(&mut coordination, "n3", agents[2]);
    assert_eq!(
        (barrier(&coordination).waiting_for, barrier(&coordination).unconfirmed),
        (vec!["n4".into()], vec!["n3".into()])
    );
    // An acknowledgement of an earlier incarnation does not count for the current one.
    expire(&mut coordination, "n2", agents[1]);
    let rejoined = coordination.join("n2", "east");
    assert_eq!(barrier(&coordination).waiting_for, ["n2", "n4"]);
    observers[1].on_response(Some(&Response::Read(coordination.view()))).expect("readable");
    coordination.commit(
        observers[1]
            .pending_acknowledgement(rejoined, |_| true)
            .expect("a new acknowledgement")
            .to_transaction("n2")
            .expect("writable"),
    );
    coordination.apply(Command::Leave { name: "n4".into(), incarnation: agents[3] });
    assert!(barrier(&coordination).is_open());
    assert_eq!(
        (barrier(&coordination).acknowledged, barrier(&coordination).unconfirmed),
        (vec!["n1".into(), "n2".into()], vec!["n3".into()])
    );

    // A drain that is ended and started again has another id, so earlier acknowledgements do not count.
    coordination.commit(drain::end(&coordination.view(), "s1").expect("draining"));
    assert_eq!(drain::barrier(&coordination.view(), "s1"), Ok(None));
    assert!(drain::end(&coordination.view(), "s1").is_err());
    coordination.commit(drain::start(&coordination.view(), "s1", drain(9), false).expect("allowed"));
    assert_eq!(barrier(&coordination).waiting_for, ["n1", "n2"]);
}

#[test]
fn a_server_counts_as_unavailable_whatever_the_cause() {
    let mut coordination = Coordination::new();
    let [n1, n2, n3] = ["n1", "n2", "n3"].map(|name| coordination.join(name, "east"));
    let allowed_servers = |coordination: &Coordination| {
        let count = Unavailable::count(&coordination.view()).expect("counted");
        (0..6).map(|n| count.allow(UnitKind::Servers, &format!("s{n}")).is_ok()).collect::<Vec<_>>()
    };
    assert_eq!(Unavailable::count(&coordination.view()).expect_err("no rules"), BudgetDenial::NoRules);
    coordination.commit(rules().to_transaction(&coordination.view()).expect("readable"));
    assert_eq!(allowed_servers(&coordination), [true; 6]);
    assert!(matches!(
        Unavailable::count(&coordination.view()).expect("counted").allow(UnitKind::Servers, "s9"),
        Err(BudgetDenial::UnknownUnit(_))
    ));
    coordination.commit(drain::start(&coordination.view(), "s0", drain(1), false).expect("allowed"));
    assert_eq!(
        allowed_servers(&coordination),
        [true, false, false, true, true, true],
        "one per site; the draining server itself adds nothing"
    );
    // The median decides whether a server is unreachable: one agent of three is not enough, two are.
    observe(&mut coordination, "n1", n1, [("s3", 1.0)]);
    observe(&mut coordination, "n2", n2, []);
    observe(&mut coordination, "n3", n3, []);
    assert_eq!(allowed_servers(&coordination), [true, false, false, true, true, true]);
    observe(&mut coordination, "n2", n2, [("s3", 1.0)]);
    assert_eq!(allowed_servers(&coordination), [true, false, false, true, false, false]);
    let denial = denied(drain::start(&coordination.view(), "s4", drain(2), false));
    assert_eq!(denial, "servers of site west: 1 may be out, and 1 are already: s3 (can't be reached)");
    // The server is reachable again and warming up: the fraction of its capacity that it is missing counts.
    observe(&mut coordination, "n1", n1, [("s3", 0.2)]);
    observe(&mut coordination, "n2", n2, [("s3", 0.2)]);
    assert_eq!(
        observed::missing_capacity(&coordination.view()).expect("readable"),
        BTreeMap::from([("s3".to_string(), 0.25)])
    );
    let denial = denied(drain::start(&coordination.view(), "s4", drain(2), false));
    assert_eq!(denial, "servers of site west: 1 may be out, and 0.25 are already: s3 (cold)");
    // An operator may override the budgets; a budget that is exceeded allows no further disruption.
    coordination
        .commit(drain::start(&coordination.view(), "s4", drain(2), true).expect("budgets overridden"));
    let exceeded = Unavailable::count(&coordination.view()).expect("counted");
    let Err(BudgetDenial::LimitReached { unavailable, limit, .. }) = exceeded.allow(UnitKind::Servers, "s1")
    else {
        panic!("allowed")
    };
    assert!(unavailable > f64::from(limit) - 1.0);
}

/// The causes are a crash, a process that is not ready and a permit.
#[test]
fn an_agent_counts_as_unavailable_whatever_the_cause() {
    let mut coordination = Coordination::new();
    let [_, n2, n3] = ["n1", "n2", "n3"].map(|name| coordination.join(name, "east"));
    coordination.commit(rules().to_transaction(&coordination.view()).expect("writable"));
    let allow_agent = |coordination: &Coordination, name| {
        Unavailable::count(&coordination.view()).expect("counted").allow(UnitKind::Agents, name)
    };
    assert!(allow_agent(&coordination, "n1").is_ok());
    expire(&mut coordination, "n2", n2);
    assert!(allow_agent(&coordination, "n1").is_ok());
    coordination.apply(Command::Report { name: "n3".into(), incarnation: n3, number: 2, ready: false });
    let Err(BudgetDenial::LimitReached { causes, .. }) = allow_agent(&coordination, "n1") else {
        panic!("allowed")
    };
    assert_eq!(causes, ["n2 (its lease ended)", "n3 (not ready)"]);
    assert!(allow_agent(&coordination, "n2").is_ok(), "it is already unavailable");
    coordination.apply(Command::Forget { name: "n2".into() });
    assert!(allow_agent(&coordination, "n1").is_ok(), "an operator removed the crashed agent");
    let key = permit::agent_budget_key("east");
    let holder = coordination.join("hold:x", "");
    coordination.commit(permit::set_limit(&coordination.view(), &key, 9).expect("limit set"));
    coordination.commit(
        permit::acquire(&coordination.view(), &key, "n1", ("hold:x", holder), "kernel")
            .expect("permit acquired"),
    );
    let groups = Unavailable::count(&coordination.view()).expect("counted").groups();
    let east = groups.iter().find(|group| group.name == "agents of site east").expect("counted");
    assert_eq!((east.unavailable, east.limit, east.total), (2.0, 2, 2));
    assert_eq!(east.causes, ["n1 (taken out)", "n3 (not ready)"]);
}

/// A transaction must fail if one of these events happens between the count and the execution of the transaction.
#[test]
fn a_count_that_is_out_of_date_grants_nothing() {
    type Event = fn(&mut Coordination, u64);
    let events: [(&str, Event); 5] = [
        ("an agent crashes", |coordination, n1| expire(coordination, "n1", n1)),
        ("an agent is not ready", |coordination, n1| {
            coordination.apply(Command::Report {
                name: "n1".into(),
                incarnation: n1,
                number: 2,
                ready: false,
            });
        }),
        ("another server is drained", |coordination, _| {
            coordination.commit(drain::start(&coordination.view(), "s2", drain(5), false).expect("allowed"));
        }),
        ("a server is unreachable", |coordination, n1| {
            observe(coordination, "n1", n1, [("s2", 1.0)]);
        }),
        ("a limit is lowered", |coordination, _| {
            let mut lowered = rules();
            lowered.rules[0].limit = Limit::Number(0);
            coordination.commit(lowered.to_transaction(&coordination.view()).expect("readable"));
        }),
    ];
    for (name, apply_event) in events {
        let mut coordination = Coordination::new();
        let n1 = coordination.join("n1", "east");
        coordination.commit(rules().to_transaction(&coordination.view()).expect("readable"));
        let transaction = drain::start(&coordination.view(), "s1", drain(1), false).expect("allowed");
        let mut without_event = coordination.clone();
        without_event.commit(transaction.clone());
        apply_event(&mut coordination, n1);
        let result = coordination.apply(Command::Write(transaction));
        assert!(matches!(result, CommandResult::Conflict { .. }), "{name}: {result:?}");
    }
}

#[test]
fn rules_that_contradict_each_other_or_never_allow_anything_are_reported_with_their_index() {
    let mut rules = rules();
    assert_eq!(rules.validate(), []);
    rules.rules = vec![
        rule(UnitKind::Servers, Scope::Site, Limit::Number(1)),
        rule(UnitKind::Servers, Scope::Site, Limit::Number(2)),
        rule(UnitKind::Servers, Scope::All, Limit::Share(1.5)),
        rule(UnitKind::Agents, Scope::Cell, Limit::Number(1)),
        Rule { only: Some("north".into()), ..rule(UnitKind::Servers, Scope::MachineType, Limit::Number(1)) },
        Rule { only: Some("east".into()), ..rule(UnitKind::Agents, Scope::All, Limit::Number(1)) },
        rule(UnitKind::Servers, Scope::Cell, Limit::Share(0.2)),
    ];
    let expected = [
        InvalidRule::Contradiction { first: 0, second: 1 },
        InvalidRule::ShareOutOfRange(2),
        InvalidRule::UnsupportedAgentScope(3),
        InvalidRule::UnknownGroup { rule: 4, group: "north".into() },
        InvalidRule::OnlyWithoutGroups(5),
        InvalidRule::NeverAllows { rule: 6, group_size: 3 },
    ];
    assert_eq!(rules.validate(), expected);
}

#[test]
fn an_observation_is_bounded_and_rounded_up_to_steps() {
    let observations = (0..2000).map(|n| (format!("s{n}"), f64::from(n) / 2000.0));
    let observed = ObservedServers::new(1, observations);
    assert_eq!(observed.missing_capacity.len(), observed::MAX_OBSERVED_SERVERS);
    assert!(
        observed.missing_capacity.values().all(|missing| *missing >= 0.75),
        "the servers with the most missing capacity are kept"
    );
    assert_eq!(ObservedServers::new(1, [("a".into(), 0.01)]), ObservedServers::new(1, [("a".into(), 0.24)]));
}

#[test]
fn an_unreadable_record_is_reported_with_its_key_and_its_fault() {
    let mut coordination = Coordination::new();
    let record = Record { value: "{}".into(), revision: 1 };
    coordination.0.records.insert("drain/s1".into(), record);
    let error = drain::barrier(&coordination.view(), "s1").expect_err("unreadable");
    let text = "the record drain/s1 can't be read: missing field `number` at line 1 column 2";
    assert_eq!(error.to_string(), text);
    let source = error.source().expect("the fault").to_string();
    assert_eq!(source, "missing field `number` at line 1 column 2");
    let denial = drain::start(&coordination.view(), "s2", drain(1), false).expect_err("unreadable");
    assert_eq!(denial, DrainDenial::Record(error));
}
