use super::*;

fn operation(op: Op, called: Micros, returned: Option<Micros>) -> Done {
    Done { key: "note/x".into(), op, called, returned }
}

#[test]
fn only_linearizable_histories_pass() {
    let sound = [
        operation(Op::Put(1), 0, Some(10)),
        operation(Op::MaybeSwap(Some(1), 2), 12, None),
        operation(Op::Read(Some(1)), 13, Some(14)),
        operation(Op::Read(Some(2)), 20, Some(30)),
        operation(Op::Swap(Some(1), 3, false), 31, Some(40)),
    ];
    assert_eq!(check_linearizability(&sound), Vec::<String>::new());
    let stale = [
        operation(Op::Put(1), 0, Some(10)),
        operation(Op::Put(2), 11, Some(12)),
        operation(Op::Read(Some(1)), 13, Some(14)),
    ];
    assert_eq!(check_linearizability(&stale).len(), 1);
    let lost = [operation(Op::Put(1), 0, Some(10)), operation(Op::Read(None), 13, Some(14))];
    assert_eq!(check_linearizability(&lost).len(), 1);
    let twice = [
        operation(Op::Put(1), 0, Some(20)),
        operation(Op::Read(Some(1)), 2, Some(3)),
        operation(Op::Put(2), 4, Some(5)),
        operation(Op::Read(Some(2)), 6, Some(7)),
        operation(Op::Read(Some(1)), 8, Some(9)),
    ];
    assert_eq!(check_linearizability(&twice).len(), 1);
}

#[test]
fn shared_leases_missing_changes_and_exceeded_budgets_are_detected() {
    let belief = |incarnation, from, to| Belief { name: "a".into(), incarnation, from, to };
    let no_lease_ends = HashMap::new();
    assert!(check_lease_exclusivity(&[belief(1, 0, 10), belief(2, 10, 20)], &no_lease_ends).is_empty());
    assert_eq!(check_lease_exclusivity(&[belief(1, 0, 11), belief(2, 10, 20)], &no_lease_ends).len(), 1);
    let lease_ends = HashMap::from([(("a".to_string(), 1), 9)]);
    assert_eq!(check_lease_exclusivity(&[belief(1, 0, 10)], &lease_ends).len(), 1);
    let item = heronhoist_coordination::state::ChangedItem::Record("note/x".into(), None);
    let change = |revision| Change { revision, item: item.clone() };
    let changes = [change(1), change(2), change(3)];
    let watch_log = |received: &[Revision], upto| WatchLog {
        segments: vec![(
            heronhoist_coordination::state::ClusterId(1),
            1,
            received.iter().map(|r| change(*r)).collect(),
            upto,
        )],
    };
    assert!(check_watch_log(0, &watch_log(&[2, 3], 3), &changes).is_empty());
    assert_eq!(check_watch_log(0, &watch_log(&[3], 3), &changes).len(), 1);
    let outage =
        |agent: &str, from, to| Outage { budget: "b".into(), agent: agent.into(), granted: from, from, to };
    assert!(check_outages(&[outage("x", 0, Some(5)), outage("y", 5, None)], 1).is_empty());
    assert_eq!(check_outages(&[outage("x", 0, Some(6)), outage("y", 5, None)], 1).len(), 1);
}

#[test]
fn requests_to_stopping_servers_and_permits_beyond_the_budget_are_detected() {
    let barrier = |server: &str, from, to| OpenBarrier {
        server: server.into(),
        from,
        to,
        lease_holders: BTreeMap::from([("a".to_string(), 1)]),
    };
    let request =
        |incarnation, sent_at| SentRequest { agent: "a".into(), incarnation, server: "s".into(), sent_at };
    let no_lease_ends = HashMap::new();
    let barriers = [barrier("s", 10, Some(20))];
    assert!(check_requests_after_barrier(
        &barriers,
        &[request(1, 10), request(1, 20), request(2, 15)],
        &no_lease_ends
    )
    .is_empty());
    assert_eq!(check_requests_after_barrier(&barriers, &[request(1, 15)], &no_lease_ends).len(), 1);
    let lease_ends = HashMap::from([(("a".to_string(), 1), 14)]);
    assert!(
        check_requests_after_barrier(&barriers, &[request(1, 15)], &lease_ends).is_empty(),
        "the lease had ended, so the barrier no longer covers this agent"
    );
    assert!(check_open_barriers(&[barrier("s", 0, Some(5)), barrier("t", 5, None)], 1).is_empty());
    assert_eq!(check_open_barriers(&[barrier("s", 0, Some(6)), barrier("t", 5, None)], 1).len(), 1);
    let downtime = |agent: &str, from, to| Downtime { budget: "b".into(), agent: agent.into(), from, to };
    let outage = Outage { budget: "b".into(), agent: "x".into(), granted: 10, from: 12, to: Some(20) };
    let outages = [outage];
    assert!(check_grants_with_downtime(&outages, &[downtime("y", 0, Some(10)), downtime("z", 11, None)], 1)
        .is_empty());
    assert_eq!(check_grants_with_downtime(&outages, &[downtime("y", 0, None)], 1).len(), 1);
    assert!(
        check_grants_with_downtime(&outages, &[downtime("y", 0, None), downtime("x", 3, None)], 1).is_empty(),
        "an agent that is down already may get a permit"
    );
}
