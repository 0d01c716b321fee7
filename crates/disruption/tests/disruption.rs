//! Budgets, drains and what agents find, over the council's agreed state.

use heronhoist_council::permit;
use heronhoist_council::state::{Call, Command, Peer, Reply, State, Txn};
use heronhoist_council::wire::{Response, View};
use heronhoist_council::Bounds;
use heronhoist_disruption::denial::BudgetDenial;
use heronhoist_disruption::drain::{self, DrainDenial};
use heronhoist_disruption::drain_observer::DrainObserver;
use heronhoist_disruption::observed::{self, ObservedServers};
use heronhoist_disruption::records::Drain;
use heronhoist_disruption::rules::{InvalidRule, Limit, Rule, Rules, Scope, Server, UnitKind};
use heronhoist_disruption::unavailable::Unavailable;
use std::collections::BTreeMap;

struct Council(State);

impl Council {
    fn new() -> Council {
        Council(State::new(1, BTreeMap::<u64, Peer>::new()))
    }

    fn run(&mut self, command: Command) -> Reply {
        self.0.apply(&Call { session: None, command }, &Bounds::default())
    }

    /// A member of this site that can serve.
    fn join(&mut self, name: &str, site: &str) -> u64 {
        let nonce = self.0.revision + 1;
        let [site, version, address] = [site, "1", ""].map(String::from);
        let after = self.0.members.get(name).map_or(0, |member| member.incarnation);
        let joining = Command::Join { name: name.into(), nonce, after, site, version, address };
        let incarnation = match self.run(joining) {
            Reply::Joined { incarnation } => incarnation,
            other => panic!("{other:?}"),
        };
        self.run(Command::Report { name: name.into(), incarnation, number: 1, ready: true });
        incarnation
    }

    fn expire(&mut self, name: &str, incarnation: u64) {
        self.run(Command::Expire(vec![(name.into(), incarnation)]));
    }

    fn write(&mut self, txn: Txn) -> Reply {
        self.run(Command::Write(txn))
    }

    fn done(&mut self, txn: Txn) {
        let reply = self.write(txn);
        assert!(matches!(reply, Reply::Done(_)), "{reply:?}");
    }

    fn view(&self) -> View {
        let State { history, revision, peers, members, records, .. } = self.0.clone();
        View { history, revision, age: Some(0), peers, members, records }
    }
}

fn rule(of: UnitKind, by: Scope, most: Limit) -> Rule {
    Rule { of, by, only: None, most }
}

/// Two sites of three servers each; one server of a site may be out, two in all, and two agents of a site.
fn rules() -> Rules {
    let server = |n: usize| {
        let site = if n < 3 { "east" } else { "west" };
        (format!("s{n}"), Server { site: site.into(), kind: "m".into(), cell: (n % 2).to_string() })
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

fn drain(number: u64) -> Drain {
    Drain { number, by: "op".into(), why: "disk".into() }
}

fn denied(result: Result<Txn, DrainDenial>) -> String {
    result.expect_err("denied").to_string()
}

#[test]
fn a_server_may_stop_once_all_who_may_still_send_have_said_that_they_are_quiet() {
    let mut council = Council::new();
    let agents = ["n1", "n2", "n3", "n4"].map(|name| council.join(name, "east"));
    council.join("hold:n1:7", "");
    council.done(rules().to_transaction(&council.view()).expect("readable"));
    council.done(drain::enter(&council.view(), "s1", drain(7), false).expect("allowed"));
    assert!(denied(drain::enter(&council.view(), "s1", drain(8), false)).contains("for op: disk"));
    let mut observers = [(); 4].map(|()| DrainObserver::default());
    for (at, observer) in observers.iter_mut().enumerate().take(2) {
        observer.on_response(Some(&Response::Read(council.view()))).expect("readable");
        assert_eq!(observer.draining_servers().into_iter().collect::<Vec<_>>(), ["s1"]);
        assert_eq!(observer.pending_acknowledgement(agents[at], |_| false), None, "something is still out");
        let quiet =
            observer.pending_acknowledgement(agents[at], |server| server == "s1").expect("to be said");
        council.done(quiet.to_transaction(&format!("n{}", at + 1)));
        observer.on_acknowledged(quiet);
        assert_eq!(observer.pending_acknowledgement(agents[at], |_| true), None, "it is said already");
    }
    let barrier =
        |council: &Council| drain::barrier(&council.view(), "s1").expect("readable").expect("it drains");
    assert_eq!(barrier(&council).waits_for, ["n3", "n4"]);
    // One is taken over by a newer process and may still hold its lease; then it has ended.
    let join = |nonce| Command::Join {
        name: "n3".into(),
        nonce,
        after: agents[2],
        site: "east".into(),
        version: "2".into(),
        address: String::new(),
    };
    assert!(matches!(council.run(join(99)), Reply::Wait { .. }));
    assert_eq!(barrier(&council).waits_for, ["n3", "n4"]);
    council.expire("n3", agents[2]);
    assert_eq!(
        (barrier(&council).waits_for, barrier(&council).not_known),
        (vec!["n4".into()], vec!["n3".into()])
    );
    // What an earlier process of the name has said is nobody's word for this one.
    council.expire("n2", agents[1]);
    let again = council.join("n2", "east");
    assert_eq!(barrier(&council).waits_for, ["n2", "n4"]);
    observers[1].on_response(Some(&Response::Read(council.view()))).expect("readable");
    council.done(observers[1].pending_acknowledgement(again, |_| true).expect("again").to_transaction("n2"));
    council.run(Command::Leave { name: "n4".into(), incarnation: agents[3] });
    assert!(barrier(&council).is_open());
    assert_eq!(
        (barrier(&council).quiet, barrier(&council).not_known),
        (vec!["n1".into(), "n2".into()], vec!["n3".into()])
    );

    // Ended and entered anew, it is another drain.
    council.done(drain::end(&council.view(), "s1").expect("it drains"));
    assert_eq!(drain::barrier(&council.view(), "s1"), Ok(None));
    assert!(drain::end(&council.view(), "s1").is_err());
    council.done(drain::enter(&council.view(), "s1", drain(9), false).expect("allowed"));
    assert_eq!(barrier(&council).waits_for, ["n1", "n2"]);
}

#[test]
fn whatever_is_out_counts_whatever_the_reason() {
    let mut council = Council::new();
    let [n1, n2, n3] = ["n1", "n2", "n3"].map(|name| council.join(name, "east"));
    let servers = |council: &Council| {
        let count = Unavailable::count(&council.view()).expect("counted");
        (0..6).map(|n| count.allow(UnitKind::Servers, &format!("s{n}")).is_ok()).collect::<Vec<_>>()
    };
    assert_eq!(Unavailable::count(&council.view()).expect_err("no rules"), BudgetDenial::NoRules);
    council.done(rules().to_transaction(&council.view()).expect("readable"));
    assert_eq!(servers(&council), [true; 6]);
    assert!(matches!(
        Unavailable::count(&council.view()).expect("counted").allow(UnitKind::Servers, "s9"),
        Err(BudgetDenial::UnknownUnit(_))
    ));
    council.done(drain::enter(&council.view(), "s0", drain(1), false).expect("allowed"));
    assert_eq!(
        servers(&council),
        [true, false, false, true, true, true],
        "one of a site, and itself takes nothing more"
    );
    // One agent that can't reach a server says nothing; two of three do, and it counts.
    council.done(ObservedServers::new(n1, [("s3".to_string(), 1.0)]).to_transaction("n1"));
    council.done(ObservedServers::new(n2, []).to_transaction("n2"));
    council.done(ObservedServers::new(n3, []).to_transaction("n3"));
    assert_eq!(servers(&council), [true, false, false, true, true, true]);
    council.done(ObservedServers::new(n2, [("s3".to_string(), 1.0)]).to_transaction("n2"));
    assert_eq!(servers(&council), [true, false, false, true, false, false]);
    let said = denied(drain::enter(&council.view(), "s4", drain(2), false));
    assert_eq!(said, "servers of site west: 1 may be out, and 1 are already: s3 (can't be reached)");
    // It is back, and cold: what it lacks is not to be had.
    council.done(ObservedServers::new(n1, [("s3".to_string(), 0.2)]).to_transaction("n1"));
    council.done(ObservedServers::new(n2, [("s3".to_string(), 0.2)]).to_transaction("n2"));
    assert_eq!(
        observed::missing_capacity(&council.view()).expect("readable"),
        BTreeMap::from([("s3".to_string(), 0.25)])
    );
    let said = denied(drain::enter(&council.view(), "s4", drain(2), false));
    assert_eq!(said, "servers of site west: 1 may be out, and 0.25 are already: s3 (cold)");
    // A person's word is over it, and what is overdrawn then gives nothing more.
    council.done(drain::enter(&council.view(), "s4", drain(2), true).expect("a person's word"));
    let overdrawn = Unavailable::count(&council.view()).expect("counted");
    let Err(BudgetDenial::LimitReached { out, most, .. }) = overdrawn.allow(UnitKind::Servers, "s1") else {
        panic!("given")
    };
    assert!(out > f64::from(most) - 1.0);
    // Agents: crashed, not ready, left and taken out by a permit.
    let agents = |council: &Council, name| {
        Unavailable::count(&council.view()).expect("counted").allow(UnitKind::Agents, name)
    };
    assert!(agents(&council, "n1").is_ok());
    council.expire("n2", n2);
    assert!(agents(&council, "n1").is_ok());
    council.run(Command::Report { name: "n3".into(), incarnation: n3, number: 2, ready: false });
    let Err(BudgetDenial::LimitReached { who, .. }) = agents(&council, "n1") else { panic!("given") };
    assert_eq!(who, ["n2 (its lease ended)", "n3 (not ready)"]);
    assert!(agents(&council, "n2").is_ok(), "it is out already");
    council.run(Command::Forget { name: "n2".into() });
    assert!(agents(&council, "n1").is_ok(), "a person's word that it is no more");
    let key = permit::agents_of("east");
    let taker = council.join("hold:x", "");
    council.done(permit::state_number(&council.view(), &key, 9).expect("stated"));
    council.done(permit::take(&council.view(), &key, "n1", ("hold:x", taker), "kernel").expect("taken"));
    let groups = Unavailable::count(&council.view()).expect("counted").groups();
    let east = groups.iter().find(|group| group.name == "agents of site east").expect("counted");
    assert_eq!((east.out, east.most, east.all), (2.0, 2, 2));
    assert_eq!(east.who, ["n1 (taken out)", "n3 (not ready)"]);
}

/// Each of these happens between the count and the step that rests on it.
#[test]
fn a_count_that_does_not_stand_any_more_takes_nothing() {
    type Happens = fn(&mut Council, u64);
    let happenings: [(&str, Happens); 5] = [
        ("an agent dies", |council, n1| council.expire("n1", n1)),
        ("an agent can't serve", |council, n1| {
            council.run(Command::Report { name: "n1".into(), incarnation: n1, number: 2, ready: false });
        }),
        ("another server is drained", |council, _| {
            council.done(drain::enter(&council.view(), "s2", drain(5), false).expect("allowed"));
        }),
        ("a server is found down", |council, n1| {
            council.done(ObservedServers::new(n1, [("s2".to_string(), 1.0)]).to_transaction("n1"));
        }),
        ("the budget is made smaller", |council, _| {
            let mut fewer = rules();
            fewer.rules[0].most = Limit::Number(0);
            council.done(fewer.to_transaction(&council.view()).expect("readable"));
        }),
    ];
    for (what, happens) in happenings {
        let mut council = Council::new();
        let n1 = council.join("n1", "east");
        council.done(rules().to_transaction(&council.view()).expect("readable"));
        let txn = drain::enter(&council.view(), "s1", drain(1), false).expect("allowed");
        let mut still = Council(council.0.clone());
        still.done(txn.clone());
        happens(&mut council, n1);
        let reply = council.write(txn);
        assert!(matches!(reply, Reply::Conflict { .. }), "{what}: {reply:?}");
    }
}

#[test]
fn rules_that_contradict_each_other_or_give_nothing_are_told_with_their_places() {
    let mut rules = rules();
    assert_eq!(rules.validate(), []);
    rules.rules = vec![
        rule(UnitKind::Servers, Scope::Site, Limit::Number(1)),
        rule(UnitKind::Servers, Scope::Site, Limit::Number(2)),
        rule(UnitKind::Servers, Scope::All, Limit::Share(1.5)),
        rule(UnitKind::Agents, Scope::Cell, Limit::Number(1)),
        Rule { only: Some("north".into()), ..rule(UnitKind::Servers, Scope::Kind, Limit::Number(1)) },
        Rule { only: Some("east".into()), ..rule(UnitKind::Agents, Scope::All, Limit::Number(1)) },
        rule(UnitKind::Servers, Scope::Cell, Limit::Share(0.2)),
    ];
    let wanted = [
        InvalidRule::Contradiction(0, 1),
        InvalidRule::ShareOutOfRange(2),
        InvalidRule::UnsupportedAgentScope(3),
        InvalidRule::UnknownGroup(4, "north".into()),
        InvalidRule::OnlyWithoutGroups(5),
        InvalidRule::NeverAllows(6, 3),
    ];
    assert_eq!(rules.validate(), wanted);
}

#[test]
fn what_agents_tell_is_bounded_and_comes_in_steps() {
    let many = (0..2000).map(|n| (format!("s{n}"), f64::from(n) / 2000.0));
    let seen = ObservedServers::new(1, many);
    assert_eq!(seen.lacks.len(), observed::MAX_OBSERVED_SERVERS);
    assert!(seen.lacks.values().all(|lack| *lack >= 0.75), "those that lack most");
    assert_eq!(ObservedServers::new(1, [("a".into(), 0.01)]), ObservedServers::new(1, [("a".into(), 0.24)]));
}
