//! Bootstrap, leases, permits, retries and envelopes, each in isolation.

use heronhoist_coordination::bootstrap::{next_step, BootstrapStep, ClusterInfo, Identity};
use heronhoist_coordination::lease::{LeaseState, LeaseTable, LeaseTerms};
use heronhoist_coordination::permit::{self, PermitDenial};
use heronhoist_coordination::retry_schedule::RetrySchedule;
use heronhoist_coordination::state::{ClusterId, Command, CommandRequest, CommandResult, Peer, State};
use heronhoist_coordination::wire::{check_envelope, Envelope, Refusal, View, PROTOCOL};
use heronhoist_coordination::Limits;
use std::collections::BTreeMap;

fn identity(node_id: u64, name: &str, cluster: Option<ClusterInfo>) -> Identity {
    Identity { node_id, name: name.into(), cluster }
}

#[test]
fn a_cluster_is_formed_once_by_all_and_an_empty_disk_stays_outside() {
    let peer = |name: &str| Peer { name: name.into(), address: String::new() };
    let peers = ["c1", "c2", "c3"].map(peer);
    let responses =
        |others: &[Identity]| others.iter().map(|i| (i.name.clone(), i.clone())).collect::<BTreeMap<_, _>>();
    let [c1, c2, c3] = [identity(11, "c1", None), identity(12, "c2", None), identity(13, "c3", None)];
    assert_eq!(
        next_step(&c1, &peers, &responses(std::slice::from_ref(&c2)), ClusterId(5)),
        BootstrapStep::Wait(vec!["c3".into()]),
        "c3 has not responded"
    );
    assert_eq!(
        next_step(&c2, &peers, &responses(&[c1.clone(), c3.clone()]), ClusterId(6)),
        BootstrapStep::Wait(vec!["c1".into()]),
        "only c1 forms the cluster"
    );
    let BootstrapStep::Form(formed) =
        next_step(&c1, &peers, &responses(&[c2.clone(), c3.clone()]), ClusterId(5))
    else {
        panic!("not formed")
    };
    assert_eq!(formed.peers.keys().copied().collect::<Vec<_>>(), [11, 12, 13]);
    let c1_in_cluster = identity(11, "c1", Some(formed.clone()));
    assert_eq!(
        next_step(&c2, &peers, &responses(std::slice::from_ref(&c1_in_cluster)), ClusterId(6)),
        BootstrapStep::Form(formed)
    );
    // A process restarts under its old name with an empty disk.
    let new_c3 = identity(99, "c3", None);
    assert_eq!(
        next_step(&new_c3, &peers, &responses(&[c1_in_cluster.clone(), c2]), ClusterId(7)),
        BootstrapStep::Excluded { cluster_id: ClusterId(5), is_disk_replaced: true }
    );
    assert_eq!(
        next_step(&identity(98, "c9", None), &peers, &responses(&[c1_in_cluster]), ClusterId(7)),
        BootstrapStep::Excluded { cluster_id: ClusterId(5), is_disk_replaced: false }
    );
}

/// At the extremes of the allowed clock drift, the holder still stops before the leader expires the lease.
#[test]
fn holder_stops_before_leader_expires_lease_at_maximum_drift() {
    for drift in [0.0, 0.01, 0.2] {
        let terms = LeaseTerms { duration: 9_000_000, max_clock_drift: drift };
        for (holder, leader) in [(1.0 - drift, 1.0 + drift), (1.0 + drift, 1.0 - drift)] {
            let holder_time = terms.holder_duration() as f64 / holder;
            let leader_time = terms.duration as f64 / leader;
            assert!(holder_time <= leader_time, "{drift}: {holder_time} {leader_time}");
        }
    }
    let terms = LeaseTerms { duration: 9_000_000, max_clock_drift: 0.01 };
    let mut lease = LeaseState::default();
    lease.renew(1_000_000, &terms);
    assert!(lease.is_held(1_000_001));
    assert!(!lease.is_held(31_000_000), "a process that was paused for 30 s");
    lease.renew(500_000, &terms);
    assert_eq!(
        lease.expires_at(),
        1_000_000 + terms.holder_duration(),
        "a late grant does not shorten the lease"
    );
}

#[test]
fn a_new_or_paused_leader_grants_every_member_a_full_lease() {
    let terms = LeaseTerms { duration: 1_000, max_clock_drift: 0.0 };
    let members = || [("a", 1), ("b", 2)].into_iter();
    let mut table = LeaseTable::default();
    assert_eq!(
        table.find_expired(members(), 50_000, &terms),
        [],
        "a process that does not lead expires nothing"
    );
    table.set_leading(50_000, true);
    table.record_renewal("a", 1, 50_700);
    for now in (50_100..51_000).step_by(100) {
        assert_eq!(table.find_expired(members(), now, &terms), []);
    }
    assert_eq!(table.find_expired(members(), 51_000, &terms), [("b".to_string(), 2)]);
    assert_eq!(table.find_expired(members(), 60_000, &terms), [], "the leader was paused itself");
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

/// The replicated state, as a client reads and changes it.
struct Replica(State);

impl Replica {
    fn new() -> Replica {
        Replica(State::new(ClusterId(1), BTreeMap::new()))
    }

    fn join(&mut self, name: &str, nonce: u64) -> u64 {
        let [site, version, address] = ["east", "1", ""].map(String::from);
        let previous_incarnation = self.0.members.get(name).map_or(0, |member| member.incarnation);
        match self.execute(Command::Join {
            name: name.into(),
            nonce,
            previous_incarnation,
            site,
            version,
            address,
        }) {
            CommandResult::Joined { incarnation } => incarnation,
            other => panic!("{other:?}"),
        }
    }

    fn execute(&mut self, command: Command) -> CommandResult {
        self.0.apply(&CommandRequest { session: None, command }, &Limits::default())
    }

    fn view(&self) -> View {
        let State { cluster_id, revision, peers, members, records, .. } = self.0.clone();
        View { cluster_id, revision, max_staleness: Some(0), peers, members, records }
    }

    fn write(
        &mut self,
        txn: Result<heronhoist_coordination::state::Txn, PermitDenial>,
    ) -> Result<CommandResult, PermitDenial> {
        txn.map(|txn| self.execute(Command::Write(txn)))
    }
}

#[test]
fn permits_are_limited_by_compare_and_set_and_never_released_by_timeout() {
    let key = permit::agent_budget_key("east");
    let mut replica = Replica::new();
    let agents: Vec<u64> = (0..3).map(|n| replica.join(&format!("n{n}"), n)).collect();
    let taker_incarnation = replica.join("hold:x", 9);
    let taker = ("hold:x", taker_incarnation);
    assert_eq!(
        permit::acquire(&replica.view(), &key, "n0", taker, ""),
        Err(PermitDenial::NoBudget(key.clone()))
    );
    replica.write(permit::set_limit(&replica.view(), &key, 2)).expect("the limit is set");
    let stale = replica.view();
    replica.write(permit::acquire(&stale, &key, "n0", taker, "kernel")).expect("the first permit");
    // Two clients read the same budget: the second transaction conflicts.
    assert_eq!(
        replica.write(permit::acquire(&stale, &key, "n1", taker, "")),
        Ok(CommandResult::Conflict { check: 1 })
    );
    replica.write(permit::acquire(&replica.view(), &key, "n1", taker, "")).expect("the second permit");
    assert!(matches!(
        permit::acquire(&replica.view(), &key, "n2", taker, ""),
        Err(PermitDenial::Exhausted { max: 2, .. })
    ));
    assert!(matches!(
        permit::acquire(&replica.view(), &key, "n0", taker, ""),
        Err(PermitDenial::AlreadyTaken { .. })
    ));
    // Lowering the limit releases no taken permit, and no further one can be taken.
    replica.write(permit::set_limit(&replica.view(), &key, 1)).expect("the limit is set");
    assert!(matches!(
        permit::acquire(&replica.view(), &key, "n2", taker, ""),
        Err(PermitDenial::Exhausted { .. })
    ));

    // While the taker may be working on the agent, the agent cannot release the permit, whatever its incarnation.
    assert!(matches!(
        permit::release(&replica.view(), &key, "n0", agents[0]),
        Err(PermitDenial::TakerActive(_))
    ));
    replica.write(permit::start(&replica.view(), &key, "n0", taker)).expect("started");
    replica.execute(Command::Expire(vec![("hold:x".into(), taker_incarnation)]));
    assert!(matches!(
        permit::release(&replica.view(), &key, "n0", agents[0]),
        Err(PermitDenial::NotRestarted(_))
    ));
    assert!(matches!(
        replica.write(permit::finish(&replica.view(), &key, "n0", taker)),
        Ok(CommandResult::Conflict { check: 0 })
    ));
    replica.execute(Command::Expire(vec![("n0".into(), agents[0])]));
    let new_incarnation = replica.join("n0", 77);
    assert!(matches!(
        replica.write(permit::release(&replica.view(), &key, "n0", new_incarnation)),
        Ok(CommandResult::Done(_))
    ));
    // The taker had not started with the other agent, so that the end of the taker's lease suffices.
    assert!(matches!(
        replica.write(permit::release(&replica.view(), &key, "n1", agents[1])),
        Ok(CommandResult::Done(_))
    ));
    assert_eq!(permit::budgets_with_permit_for(&replica.view(), "n1"), Vec::<String>::new());
}

#[test]
fn a_finished_permit_is_released_by_the_agent_alone() {
    let key = permit::agent_budget_key("east");
    let mut replica = Replica::new();
    let (agent, taker_incarnation) = (replica.join("n0", 1), replica.join("hold:x", 9));
    let taker = ("hold:x", taker_incarnation);
    replica.write(permit::set_limit(&replica.view(), &key, 1)).expect("the limit is set");
    replica.write(permit::acquire(&replica.view(), &key, "n0", taker, "")).expect("taken");
    replica.write(permit::start(&replica.view(), &key, "n0", taker)).expect("started");
    replica.write(permit::finish(&replica.view(), &key, "n0", taker)).expect("finished");
    assert_eq!(
        permit::finish(&replica.view(), &key, "n0", ("hold:y", 1)),
        Err(PermitDenial::OtherTaker("hold:x".into()))
    );
    // A transaction that the agent prepared conflicts once its lease has ended.
    let txn = permit::release(&replica.view(), &key, "n0", agent);
    replica.execute(Command::Leave { name: "n0".into(), incarnation: agent });
    assert!(matches!(replica.write(txn), Ok(CommandResult::Conflict { check: 0 })));
    let new_incarnation = replica.join("n0", 2);
    assert!(matches!(
        replica.write(permit::release(&replica.view(), &key, "n0", new_incarnation)),
        Ok(CommandResult::Done(_))
    ));
}

#[test]
fn retry_schedule_rotates_follows_redirects_and_backs_off() {
    let mut schedule = RetrySchedule::new(3, 1);
    assert_eq!(schedule.record_redirect(Some(2), 1.0), 0, "the first redirect is followed at once");
    assert_eq!(schedule.target(), 2);
    let delays: Vec<u64> = (0..12).map(|n| schedule.record_redirect(Some(n % 2), 1.0)).collect();
    assert!(delays.windows(2).all(|two| two[0] <= two[1]) && delays[11] == 2_000_000, "{delays:?}");
    schedule.record_success();
    assert!(schedule.record_failure(0.0) <= 50_000);
    assert!(schedule.record_redirect(Some(99), 0.0) > 0, "an index out of range is ignored");
}

#[test]
fn envelopes_of_other_fleets_and_protocols_are_refused_by_name() {
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
        Err(Refusal::ProtocolMismatch { received: 9, .. })
    ));
}
