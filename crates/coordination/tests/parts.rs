//! Formation, leases, permits and callers, each by itself.

use heronhoist_coordination::bootstrap::{next_step, BootstrapStep, ClusterInfo, Identity};
use heronhoist_coordination::lease::{LeaseState, LeaseTable, LeaseTerms};
use heronhoist_coordination::permit::{self, PermitDenial};
use heronhoist_coordination::retry_schedule::RetrySchedule;
use heronhoist_coordination::state::{ClusterId, Command, CommandRequest, CommandResult, Peer, State};
use heronhoist_coordination::wire::{check_envelope, Envelope, Refusal, View, PROTOCOL};
use heronhoist_coordination::Limits;
use std::collections::BTreeMap;

fn identity(number: u64, name: &str, formation: Option<ClusterInfo>) -> Identity {
    Identity { node_id: number, name: name.into(), cluster: formation }
}

#[test]
fn a_council_is_formed_once_by_all_and_an_empty_disk_stays_outside() {
    let peer = |name: &str| Peer { name: name.into(), address: String::new() };
    let peers = ["c1", "c2", "c3"].map(peer);
    let hear =
        |others: &[Identity]| others.iter().map(|i| (i.name.clone(), i.clone())).collect::<BTreeMap<_, _>>();
    let [c1, c2, c3] = [identity(11, "c1", None), identity(12, "c2", None), identity(13, "c3", None)];
    assert_eq!(
        next_step(&c1, &peers, &hear(std::slice::from_ref(&c2)), ClusterId(5)),
        BootstrapStep::Wait(vec!["c3".into()]),
        "not without all"
    );
    assert_eq!(
        next_step(&c2, &peers, &hear(&[c1.clone(), c3.clone()]), ClusterId(6)),
        BootstrapStep::Wait(vec!["c1".into()]),
        "one alone forms it"
    );
    let BootstrapStep::Form(formed) = next_step(&c1, &peers, &hear(&[c2.clone(), c3.clone()]), ClusterId(5))
    else {
        panic!("not formed")
    };
    assert_eq!(formed.peers.keys().copied().collect::<Vec<_>>(), [11, 12, 13]);
    let known = identity(11, "c1", Some(formed.clone()));
    assert_eq!(
        next_step(&c2, &peers, &hear(std::slice::from_ref(&known)), ClusterId(6)),
        BootstrapStep::Form(formed)
    );
    // It comes back under its old name with an empty disk.
    let lost = identity(99, "c3", None);
    assert_eq!(
        next_step(&lost, &peers, &hear(&[known.clone(), c2]), ClusterId(7)),
        BootstrapStep::Outside { cluster_id: ClusterId(5), is_replaced: true }
    );
    assert_eq!(
        next_step(&identity(98, "c9", None), &peers, &hear(&[known]), ClusterId(7)),
        BootstrapStep::Outside { cluster_id: ClusterId(5), is_replaced: false }
    );
}

/// Whatever the two clocks do within the stated drift, belief ends first.
#[test]
fn belief_ends_before_the_count_at_the_ends_of_drift() {
    for drift in [0.0, 0.01, 0.2] {
        let terms = LeaseTerms { duration: 9_000_000, max_clock_drift: drift };
        for (holder, council) in [(1.0 - drift, 1.0 + drift), (1.0 + drift, 1.0 - drift)] {
            let believed = terms.holder_duration() as f64 / holder;
            let counted = terms.duration as f64 / council;
            assert!(believed <= counted, "{drift}: {believed} {counted}");
        }
    }
    let terms = LeaseTerms { duration: 9_000_000, max_clock_drift: 0.01 };
    let mut held = LeaseState::default();
    held.renew(1_000_000, &terms);
    assert!(held.is_held(1_000_001));
    assert!(!held.is_held(31_000_000), "a process that was stopped for 30 s");
    held.renew(500_000, &terms);
    assert_eq!(held.expires_at(), 1_000_000 + terms.holder_duration(), "a late grant takes nothing away");
}

#[test]
fn a_new_leader_and_one_that_was_stopped_give_everybody_a_whole_term() {
    let terms = LeaseTerms { duration: 1_000, max_clock_drift: 0.0 };
    let members = || [("a", 1), ("b", 2)].into_iter();
    let mut table = LeaseTable::default();
    assert_eq!(table.find_expired(members(), 50_000, &terms), [], "whoever does not lead counts nothing");
    table.set_leading(50_000, true);
    table.record_renewal("a", 1, 50_700);
    for now in (50_100..51_000).step_by(100) {
        assert_eq!(table.find_expired(members(), now, &terms), []);
    }
    assert_eq!(table.find_expired(members(), 51_000, &terms), [("b".to_string(), 2)]);
    assert_eq!(table.find_expired(members(), 60_000, &terms), [], "it was stopped itself");
    for now in (60_100..61_000).step_by(100) {
        assert_eq!(table.find_expired(members(), now, &terms), []);
    }
    assert_eq!(table.find_expired(members(), 61_000, &terms).len(), 2);
    table.record_renewal("a", 1, 61_000);
    assert_eq!(
        table.find_expired([("a", 3)].into_iter(), 61_050, &terms),
        [("a".to_string(), 3)],
        "another incarnation"
    );
}

/// The state behind a few commands, as a reader sees it.
struct Council(State);

impl Council {
    fn new() -> Council {
        Council(State::new(ClusterId(1), BTreeMap::new()))
    }

    fn join(&mut self, name: &str, nonce: u64) -> u64 {
        let [site, version, address] = ["east", "1", ""].map(String::from);
        let after = self.0.members.get(name).map_or(0, |member| member.incarnation);
        match self.run(Command::Join { name: name.into(), nonce, follows: after, site, version, address }) {
            CommandResult::Joined { incarnation } => incarnation,
            other => panic!("{other:?}"),
        }
    }

    fn run(&mut self, command: Command) -> CommandResult {
        self.0.apply(&CommandRequest { session: None, command }, &Limits::default())
    }

    fn view(&self) -> View {
        let State { cluster_id: history, revision, peers, members, records, .. } = self.0.clone();
        View { cluster_id: history, revision, max_staleness: Some(0), peers, members, records }
    }

    fn write(
        &mut self,
        txn: Result<heronhoist_coordination::state::Txn, PermitDenial>,
    ) -> Result<CommandResult, PermitDenial> {
        txn.map(|txn| self.run(Command::Write(txn)))
    }
}

#[test]
fn permits_are_counted_where_they_are_taken_and_never_freed_by_silence() {
    let key = permit::agent_budget_key("east");
    let mut council = Council::new();
    let agents: Vec<u64> = (0..3).map(|n| council.join(&format!("n{n}"), n)).collect();
    let taker = council.join("hold:x", 9);
    let me = ("hold:x", taker);
    assert_eq!(
        permit::acquire(&council.view(), &key, "n0", me, ""),
        Err(PermitDenial::NoBudget(key.clone()))
    );
    council.write(permit::set_limit(&council.view(), &key, 2)).expect("stated");
    let stale = council.view();
    council.write(permit::acquire(&stale, &key, "n0", me, "kernel")).expect("the first");
    // Two who saw the same budget: the second does not pass.
    assert_eq!(
        council.write(permit::acquire(&stale, &key, "n1", me, "")),
        Ok(CommandResult::Conflict { check: 1 })
    );
    council.write(permit::acquire(&council.view(), &key, "n1", me, "")).expect("the second");
    assert!(matches!(
        permit::acquire(&council.view(), &key, "n2", me, ""),
        Err(PermitDenial::AllOut { max: 2, .. })
    ));
    assert!(matches!(
        permit::acquire(&council.view(), &key, "n0", me, ""),
        Err(PermitDenial::OutAlready { .. })
    ));
    // A number made smaller while permits are out takes none away, and gives none.
    council.write(permit::set_limit(&council.view(), &key, 1)).expect("stated");
    assert!(matches!(permit::acquire(&council.view(), &key, "n2", me, ""), Err(PermitDenial::AllOut { .. })));

    // While its taker may be at it, the agent does not free it, whatever incarnation it is.
    assert!(matches!(
        permit::give_back(&council.view(), &key, "n0", agents[0]),
        Err(PermitDenial::TakerLives(_))
    ));
    council.write(permit::start(&council.view(), &key, "n0", me)).expect("started");
    council.run(Command::Expire(vec![("hold:x".into(), taker)]));
    assert!(matches!(
        permit::give_back(&council.view(), &key, "n0", agents[0]),
        Err(PermitDenial::NotBack(_))
    ));
    assert!(matches!(
        council.write(permit::finish(&council.view(), &key, "n0", me)),
        Ok(CommandResult::Conflict { check: 0 })
    ));
    council.run(Command::Expire(vec![("n0".into(), agents[0])]));
    let back = council.join("n0", 77);
    assert!(matches!(
        council.write(permit::give_back(&council.view(), &key, "n0", back)),
        Ok(CommandResult::Done(_))
    ));
    // Nothing had been begun with the other one: that its taker has ended is proof enough.
    assert!(matches!(
        council.write(permit::give_back(&council.view(), &key, "n1", agents[1])),
        Ok(CommandResult::Done(_))
    ));
    assert_eq!(permit::budgets_with_permit_for(&council.view(), "n1"), Vec::<String>::new());
}

#[test]
fn a_permit_whose_taker_has_finished_is_given_back_by_the_agent_alone() {
    let key = permit::agent_budget_key("east");
    let mut council = Council::new();
    let (agent, taker) = (council.join("n0", 1), council.join("hold:x", 9));
    let me = ("hold:x", taker);
    council.write(permit::set_limit(&council.view(), &key, 1)).expect("stated");
    council.write(permit::acquire(&council.view(), &key, "n0", me, "")).expect("taken");
    council.write(permit::start(&council.view(), &key, "n0", me)).expect("started");
    council.write(permit::finish(&council.view(), &key, "n0", me)).expect("finished");
    assert_eq!(
        permit::finish(&council.view(), &key, "n0", ("hold:y", 1)),
        Err(PermitDenial::NotYours("hold:x".into()))
    );
    // A dead agent whose lease has not ended can't say so; the words of one that has do not count.
    let word = permit::give_back(&council.view(), &key, "n0", agent);
    council.run(Command::Leave { name: "n0".into(), incarnation: agent });
    assert!(matches!(council.write(word), Ok(CommandResult::Conflict { check: 0 })));
    let back = council.join("n0", 2);
    assert!(matches!(
        council.write(permit::give_back(&council.view(), &key, "n0", back)),
        Ok(CommandResult::Done(_))
    ));
}

#[test]
fn callers_go_on_to_others_follow_hints_and_slow_down() {
    let mut caller = RetrySchedule::new(3, 1);
    assert_eq!(caller.record_redirect(Some(2), 1.0), 0, "a first hint is followed at once");
    assert_eq!(caller.target(), 2);
    let pauses: Vec<u64> = (0..12).map(|n| caller.record_redirect(Some(n % 2), 1.0)).collect();
    assert!(pauses.windows(2).all(|two| two[0] <= two[1]) && pauses[11] == 2_000_000, "{pauses:?}");
    caller.record_success();
    assert!(caller.record_failure(0.0) <= 50_000);
    assert!(caller.record_redirect(Some(99), 0.0) > 0, "a hint to nobody is none");
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
    assert_eq!(check_envelope(&envelope("gulf", PROTOCOL), "gulf"), Ok(()));
    let refusal = check_envelope(&envelope("other", PROTOCOL), "gulf").expect_err("another fleet");
    assert_eq!(refusal.to_string(), "this is fleet \"gulf\"; the message is of \"other\"");
    assert!(matches!(
        check_envelope(&envelope("gulf", 9), "gulf"),
        Err(Refusal::OtherProtocol { theirs: 9, .. })
    ));
}
