//! Formation, leases, permits and callers, each by itself.

use heronhoist_coordination::caller::Caller;
use heronhoist_coordination::formation::{step, Formation, Identity, Step};
use heronhoist_coordination::lease::{Held, Table, Terms};
use heronhoist_coordination::permit::{self, Denied};
use heronhoist_coordination::state::{Call, Command, Peer, Reply, State};
use heronhoist_coordination::wire::{belongs, Envelope, Refusal, View, PROTOCOL};
use heronhoist_coordination::Bounds;
use std::collections::BTreeMap;

fn identity(number: u64, name: &str, formation: Option<Formation>) -> Identity {
    Identity { number, name: name.into(), formation }
}

#[test]
fn a_council_is_formed_once_by_all_and_an_empty_disk_stays_outside() {
    let peer = |name: &str| Peer { name: name.into(), address: String::new() };
    let peers = ["c1", "c2", "c3"].map(peer);
    let hear =
        |others: &[Identity]| others.iter().map(|i| (i.name.clone(), i.clone())).collect::<BTreeMap<_, _>>();
    let [c1, c2, c3] = [identity(11, "c1", None), identity(12, "c2", None), identity(13, "c3", None)];
    assert_eq!(
        step(&c1, &peers, &hear(std::slice::from_ref(&c2)), 5),
        Step::Wait(vec!["c3".into()]),
        "not without all"
    );
    assert_eq!(
        step(&c2, &peers, &hear(&[c1.clone(), c3.clone()]), 6),
        Step::Wait(vec!["c1".into()]),
        "one alone forms it"
    );
    let Step::Form(formed) = step(&c1, &peers, &hear(&[c2.clone(), c3.clone()]), 5) else {
        panic!("not formed")
    };
    assert_eq!(formed.peers.keys().copied().collect::<Vec<_>>(), [11, 12, 13]);
    let known = identity(11, "c1", Some(formed.clone()));
    assert_eq!(step(&c2, &peers, &hear(std::slice::from_ref(&known)), 6), Step::Form(formed));
    // It comes back under its old name with an empty disk.
    let lost = identity(99, "c3", None);
    assert_eq!(
        step(&lost, &peers, &hear(&[known.clone(), c2]), 7),
        Step::Outside { history: 5, replaced: true }
    );
    assert_eq!(
        step(&identity(98, "c9", None), &peers, &hear(&[known]), 7),
        Step::Outside { history: 5, replaced: false }
    );
}

/// Whatever the two clocks do within the stated drift, belief ends first.
#[test]
fn belief_ends_before_the_count_at_the_ends_of_drift() {
    for drift in [0.0, 0.01, 0.2] {
        let terms = Terms { term: 9_000_000, drift };
        for (holder, council) in [(1.0 - drift, 1.0 + drift), (1.0 + drift, 1.0 - drift)] {
            let believed = terms.holder_term() as f64 / holder;
            let counted = terms.term as f64 / council;
            assert!(believed <= counted, "{drift}: {believed} {counted}");
        }
    }
    let terms = Terms { term: 9_000_000, drift: 0.01 };
    let mut held = Held::default();
    held.granted(1_000_000, &terms);
    assert!(held.holds(1_000_001));
    assert!(!held.holds(31_000_000), "a process that was stopped for 30 s");
    held.granted(500_000, &terms);
    assert_eq!(held.until(), 1_000_000 + terms.holder_term(), "a late grant takes nothing away");
}

#[test]
fn a_new_leader_and_one_that_was_stopped_give_everybody_a_whole_term() {
    let terms = Terms { term: 1_000, drift: 0.0 };
    let members = || [("a", 1), ("b", 2)].into_iter();
    let mut table = Table::default();
    assert_eq!(table.run_out(members(), 50_000, &terms), [], "whoever does not lead counts nothing");
    table.lead(50_000, true);
    table.renew("a", 1, 50_700);
    for now in (50_100..51_000).step_by(100) {
        assert_eq!(table.run_out(members(), now, &terms), []);
    }
    assert_eq!(table.run_out(members(), 51_000, &terms), [("b".to_string(), 2)]);
    assert_eq!(table.run_out(members(), 60_000, &terms), [], "it was stopped itself");
    for now in (60_100..61_000).step_by(100) {
        assert_eq!(table.run_out(members(), now, &terms), []);
    }
    assert_eq!(table.run_out(members(), 61_000, &terms).len(), 2);
    table.renew("a", 1, 61_000);
    assert_eq!(
        table.run_out([("a", 3)].into_iter(), 61_050, &terms),
        [("a".to_string(), 3)],
        "another incarnation"
    );
}

/// The state behind a few commands, as a reader sees it.
struct Council(State);

impl Council {
    fn new() -> Council {
        Council(State::new(1, BTreeMap::new()))
    }

    fn join(&mut self, name: &str, nonce: u64) -> u64 {
        let [site, version, address] = ["east", "1", ""].map(String::from);
        let after = self.0.members.get(name).map_or(0, |member| member.incarnation);
        match self.run(Command::Join { name: name.into(), nonce, after, site, version, address }) {
            Reply::Joined { incarnation } => incarnation,
            other => panic!("{other:?}"),
        }
    }

    fn run(&mut self, command: Command) -> Reply {
        self.0.apply(&Call { session: None, command }, &Bounds::default())
    }

    fn view(&self) -> View {
        let State { history, revision, peers, members, records, .. } = self.0.clone();
        View { history, revision, age: Some(0), peers, members, records }
    }

    fn write(&mut self, txn: Result<heronhoist_coordination::state::Txn, Denied>) -> Result<Reply, Denied> {
        txn.map(|txn| self.run(Command::Write(txn)))
    }
}

#[test]
fn permits_are_counted_where_they_are_taken_and_never_freed_by_silence() {
    let key = permit::agents_of("east");
    let mut council = Council::new();
    let agents: Vec<u64> = (0..3).map(|n| council.join(&format!("n{n}"), n)).collect();
    let taker = council.join("hold:x", 9);
    let me = ("hold:x", taker);
    assert_eq!(permit::take(&council.view(), &key, "n0", me, ""), Err(Denied::NoBudget(key.clone())));
    council.write(permit::state_number(&council.view(), &key, 2)).expect("stated");
    let stale = council.view();
    council.write(permit::take(&stale, &key, "n0", me, "kernel")).expect("the first");
    // Two who saw the same budget: the second does not pass.
    assert_eq!(council.write(permit::take(&stale, &key, "n1", me, "")), Ok(Reply::Conflict { check: 1 }));
    council.write(permit::take(&council.view(), &key, "n1", me, "")).expect("the second");
    assert!(matches!(permit::take(&council.view(), &key, "n2", me, ""), Err(Denied::AllOut { most: 2, .. })));
    assert!(matches!(permit::take(&council.view(), &key, "n0", me, ""), Err(Denied::OutAlready { .. })));
    // A number made smaller while permits are out takes none away, and gives none.
    council.write(permit::state_number(&council.view(), &key, 1)).expect("stated");
    assert!(matches!(permit::take(&council.view(), &key, "n2", me, ""), Err(Denied::AllOut { .. })));

    // While its taker may be at it, the agent does not free it, whatever incarnation it is.
    assert!(matches!(permit::give_back(&council.view(), &key, "n0", agents[0]), Err(Denied::TakerLives(_))));
    council.write(permit::start(&council.view(), &key, "n0", me)).expect("started");
    council.run(Command::Expire(vec![("hold:x".into(), taker)]));
    assert!(matches!(permit::give_back(&council.view(), &key, "n0", agents[0]), Err(Denied::NotBack(_))));
    assert!(matches!(
        council.write(permit::finish(&council.view(), &key, "n0", me)),
        Ok(Reply::Conflict { check: 0 })
    ));
    council.run(Command::Expire(vec![("n0".into(), agents[0])]));
    let back = council.join("n0", 77);
    assert!(matches!(
        council.write(permit::give_back(&council.view(), &key, "n0", back)),
        Ok(Reply::Done(_))
    ));
    // Nothing had been begun with the other one: that its taker has ended is proof enough.
    assert!(matches!(
        council.write(permit::give_back(&council.view(), &key, "n1", agents[1])),
        Ok(Reply::Done(_))
    ));
    assert_eq!(permit::out_for(&council.view(), "n1"), Vec::<String>::new());
}

#[test]
fn a_permit_whose_taker_has_finished_is_given_back_by_the_agent_alone() {
    let key = permit::agents_of("east");
    let mut council = Council::new();
    let (agent, taker) = (council.join("n0", 1), council.join("hold:x", 9));
    let me = ("hold:x", taker);
    council.write(permit::state_number(&council.view(), &key, 1)).expect("stated");
    council.write(permit::take(&council.view(), &key, "n0", me, "")).expect("taken");
    council.write(permit::start(&council.view(), &key, "n0", me)).expect("started");
    council.write(permit::finish(&council.view(), &key, "n0", me)).expect("finished");
    assert_eq!(
        permit::finish(&council.view(), &key, "n0", ("hold:y", 1)),
        Err(Denied::NotYours("hold:x".into()))
    );
    // A dead agent whose lease has not ended can't say so; the words of one that has do not count.
    let word = permit::give_back(&council.view(), &key, "n0", agent);
    council.run(Command::Leave { name: "n0".into(), incarnation: agent });
    assert!(matches!(council.write(word), Ok(Reply::Conflict { check: 0 })));
    let back = council.join("n0", 2);
    assert!(matches!(
        council.write(permit::give_back(&council.view(), &key, "n0", back)),
        Ok(Reply::Done(_))
    ));
}

#[test]
fn callers_go_on_to_others_follow_hints_and_slow_down() {
    let mut caller = Caller::new(3, 1);
    assert_eq!(caller.hinted(Some(2), 1.0), 0, "a first hint is followed at once");
    assert_eq!(caller.target(), 2);
    let pauses: Vec<u64> = (0..12).map(|n| caller.hinted(Some(n % 2), 1.0)).collect();
    assert!(pauses.windows(2).all(|two| two[0] <= two[1]) && pauses[11] == 2_000_000, "{pauses:?}");
    caller.settled();
    assert!(caller.failed(0.0) <= 50_000);
    assert!(caller.hinted(Some(99), 0.0) > 0, "a hint to nobody is none");
}

#[test]
fn what_is_of_another_fleet_or_version_is_refused_by_name() {
    let envelope = |fleet: &str, protocol| Envelope {
        fleet: fleet.into(),
        protocol,
        from: "n1".into(),
        incarnation: 0,
        term: 0,
    };
    assert_eq!(belongs(&envelope("gulf", PROTOCOL), "gulf"), Ok(()));
    let refusal = belongs(&envelope("other", PROTOCOL), "gulf").expect_err("another fleet");
    assert_eq!(refusal.to_string(), "this is fleet \"gulf\"; the message is of \"other\"");
    assert!(matches!(belongs(&envelope("gulf", 9), "gulf"), Err(Refusal::OtherProtocol { theirs: 9, .. })));
}
