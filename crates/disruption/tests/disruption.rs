//! Budgets, drains and what agents find, over the council's agreed state.

use heronhoist_council::permit;
use heronhoist_council::state::{Call, Command, Peer, Reply, State, Txn};
use heronhoist_council::wire::{Response, View};
use heronhoist_council::Bounds;
use heronhoist_disruption::denial::Denied;
use heronhoist_disruption::drain;
use heronhoist_disruption::drain_observer::Listener;
use heronhoist_disruption::records::Drain;
use heronhoist_disruption::rules::{By, Most, Rule, Rules, Senseless, Server, Sort};
use heronhoist_disruption::seen::{self, Seen};
use heronhoist_disruption::unavailable::Count;
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

fn rule(of: Sort, by: By, most: Most) -> Rule {
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
            rule(Sort::Servers, By::Site, Most::Number(1)),
            rule(Sort::Servers, By::All, Most::Share(0.34)),
            rule(Sort::Agents, By::Site, Most::Number(2)),
        ],
        servers: (0..6).map(server).collect(),
    }
}

fn drain(number: u64) -> Drain {
    Drain { number, by: "op".into(), why: "disk".into() }
}

fn denied(result: Result<Txn, drain::Denied>) -> String {
    result.expect_err("denied").to_string()
}

#[test]
fn a_server_may_stop_once_all_who_may_still_send_have_said_that_they_are_quiet() {
    let mut council = Council::new();
    let agents = ["n1", "n2", "n3", "n4"].map(|name| council.join(name, "east"));
    council.join("hold:n1:7", "");
    council.done(rules().state(&council.view()).expect("readable"));
    council.done(drain::enter(&council.view(), "s1", drain(7), false).expect("allowed"));
    assert!(denied(drain::enter(&council.view(), "s1", drain(8), false)).contains("for op: disk"));
    let mut listeners = [(); 4].map(|()| Listener::default());
    for (at, listener) in listeners.iter_mut().enumerate().take(2) {
        listener.hears(Some(&Response::Read(council.view()))).expect("readable");
        assert_eq!(listener.drained().into_iter().collect::<Vec<_>>(), ["s1"]);
        assert_eq!(listener.to_say(agents[at], |_| false), None, "something is still out");
        let quiet = listener.to_say(agents[at], |server| server == "s1").expect("to be said");
        council.done(quiet.told(&format!("n{}", at + 1)));
        listener.said(quiet);
        assert_eq!(listener.to_say(agents[at], |_| true), None, "it is said already");
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
    listeners[1].hears(Some(&Response::Read(council.view()))).expect("readable");
    council.done(listeners[1].to_say(again, |_| true).expect("again").told("n2"));
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
        let count = Count::new(&council.view()).expect("counted");
        (0..6).map(|n| count.allow(Sort::Servers, &format!("s{n}")).is_ok()).collect::<Vec<_>>()
    };
    assert_eq!(Count::new(&council.view()).expect_err("no rules"), Denied::NoRules);
    council.done(rules().state(&council.view()).expect("readable"));
    assert_eq!(servers(&council), [true; 6]);
    assert!(matches!(
        Count::new(&council.view()).expect("counted").allow(Sort::Servers, "s9"),
        Err(Denied::Unknown(_))
    ));
    council.done(drain::enter(&council.view(), "s0", drain(1), false).expect("allowed"));
    assert_eq!(
        servers(&council),
        [true, false, false, true, true, true],
        "one of a site, and itself takes nothing more"
    );
    // One agent that can't reach a server says nothing; two of three do, and it counts.
    council.done(Seen::new(n1, [("s3".to_string(), 1.0)]).told("n1"));
    council.done(Seen::new(n2, []).told("n2"));
    council.done(Seen::new(n3, []).told("n3"));
    assert_eq!(servers(&council), [true, false, false, true, true, true]);
    council.done(Seen::new(n2, [("s3".to_string(), 1.0)]).told("n2"));
    assert_eq!(servers(&council), [true, false, false, true, false, false]);
    let said = denied(drain::enter(&council.view(), "s4", drain(2), false));
    assert_eq!(said, "servers of site west: 1 may be out, and 1 are already: s3 (can't be reached)");
    // It is back, and cold: what it lacks is not to be had.
    council.done(Seen::new(n1, [("s3".to_string(), 0.2)]).told("n1"));
    council.done(Seen::new(n2, [("s3".to_string(), 0.2)]).told("n2"));
    assert_eq!(seen::lacks(&council.view()).expect("readable"), BTreeMap::from([("s3".to_string(), 0.25)]));
    let said = denied(drain::enter(&council.view(), "s4", drain(2), false));
    assert_eq!(said, "servers of site west: 1 may be out, and 0.25 are already: s3 (cold)");
    // A person's word is over it, and what is overdrawn then gives nothing more.
    council.done(drain::enter(&council.view(), "s4", drain(2), true).expect("a person's word"));
    let overdrawn = Count::new(&council.view()).expect("counted");
    let Err(Denied::Spent { out, most, .. }) = overdrawn.allow(Sort::Servers, "s1") else { panic!("given") };
    assert!(out > f64::from(most) - 1.0);
    // Agents: crashed, not ready, left and taken out by a permit.
    let agents =
        |council: &Council, name| Count::new(&council.view()).expect("counted").allow(Sort::Agents, name);
    assert!(agents(&council, "n1").is_ok());
    council.expire("n2", n2);
    assert!(agents(&council, "n1").is_ok());
    council.run(Command::Report { name: "n3".into(), incarnation: n3, number: 2, ready: false });
    let Err(Denied::Spent { who, .. }) = agents(&council, "n1") else { panic!("given") };
    assert_eq!(who, ["n2 (its lease ended)", "n3 (not ready)"]);
    assert!(agents(&council, "n2").is_ok(), "it is out already");
    council.run(Command::Forget { name: "n2".into() });
    assert!(agents(&council, "n1").is_ok(), "a person's word that it is no more");
    let key = permit::agents_of("east");
    let taker = council.join("hold:x", "");
    council.done(permit::state_number(&council.view(), &key, 9).expect("stated"));
    council.done(permit::take(&council.view(), &key, "n1", ("hold:x", taker), "kernel").expect("taken"));
    let groups = Count::new(&council.view()).expect("counted").groups();
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
            council.done(Seen::new(n1, [("s2".to_string(), 1.0)]).told("n1"));
        }),
        ("the budget is made smaller", |council, _| {
            let mut fewer = rules();
            fewer.rules[0].most = Most::Number(0);
            council.done(fewer.state(&council.view()).expect("readable"));
        }),
    ];
    for (what, happens) in happenings {
        let mut council = Council::new();
        let n1 = council.join("n1", "east");
        council.done(rules().state(&council.view()).expect("readable"));
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
    assert_eq!(rules.check(), []);
    rules.rules = vec![
        rule(Sort::Servers, By::Site, Most::Number(1)),
        rule(Sort::Servers, By::Site, Most::Number(2)),
        rule(Sort::Servers, By::All, Most::Share(1.5)),
        rule(Sort::Agents, By::Cell, Most::Number(1)),
        Rule { only: Some("north".into()), ..rule(Sort::Servers, By::Kind, Most::Number(1)) },
        Rule { only: Some("east".into()), ..rule(Sort::Agents, By::All, Most::Number(1)) },
        rule(Sort::Servers, By::Cell, Most::Share(0.2)),
    ];
    let wanted = [
        Senseless::Contradiction(0, 1),
        Senseless::Share(2),
        Senseless::Agents(3),
        Senseless::Nowhere(4, "north".into()),
        Senseless::Only(5),
        Senseless::Nothing(6, 3),
    ];
    assert_eq!(rules.check(), wanted);
}

#[test]
fn what_agents_tell_is_bounded_and_comes_in_steps() {
    let many = (0..2000).map(|n| (format!("s{n}"), f64::from(n) / 2000.0));
    let seen = Seen::new(1, many);
    assert_eq!(seen.lacks.len(), seen::TOLD_MOST);
    assert!(seen.lacks.values().all(|lack| *lack >= 0.75), "those that lack most");
    assert_eq!(Seen::new(1, [("a".into(), 0.01)]), Seen::new(1, [("a".into(), 0.24)]));
}
