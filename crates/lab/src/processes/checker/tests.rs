use super::*;

fn done(op: Op, called: Micros, returned: Option<Micros>) -> Done {
    Done { key: "note/x".into(), op, called, returned }
}

#[test]
fn an_order_is_found_where_there_is_one_and_only_there() {
    let sound = [
        done(Op::Put(1), 0, Some(10)),
        done(Op::MaybeSwap(Some(1), 2), 12, None),
        done(Op::Read(Some(1)), 13, Some(14)),
        done(Op::Read(Some(2)), 20, Some(30)),
        done(Op::Swap(Some(1), 3, false), 31, Some(40)),
    ];
    assert_eq!(one_order(&sound), Vec::<String>::new());
    let stale = [
        done(Op::Put(1), 0, Some(10)),
        done(Op::Put(2), 11, Some(12)),
        done(Op::Read(Some(1)), 13, Some(14)),
    ];
    assert_eq!(one_order(&stale).len(), 1);
    let lost = [done(Op::Put(1), 0, Some(10)), done(Op::Read(None), 13, Some(14))];
    assert_eq!(one_order(&lost).len(), 1);
    let twice = [
        done(Op::Put(1), 0, Some(20)),
        done(Op::Read(Some(1)), 2, Some(3)),
        done(Op::Put(2), 4, Some(5)),
        done(Op::Read(Some(2)), 6, Some(7)),
        done(Op::Read(Some(1)), 8, Some(9)),
    ];
    assert_eq!(one_order(&twice).len(), 1);
}

#[test]
fn two_holders_gaps_and_overdrawn_budgets_are_seen() {
    let belief = |incarnation, from, to| Belief { name: "a".into(), incarnation, from, to };
    let none = HashMap::new();
    assert!(one_holder(&[belief(1, 0, 10), belief(2, 10, 20)], &none).is_empty());
    assert_eq!(one_holder(&[belief(1, 0, 11), belief(2, 10, 20)], &none).len(), 1);
    let ended = HashMap::from([(("a".to_string(), 1), 9)]);
    assert_eq!(one_holder(&[belief(1, 0, 10)], &ended).len(), 1);
    let what = heronhoist_coordination::state::ChangedItem::Record("note/x".into(), None);
    let change = |revision| Change { revision, item: what.clone() };
    let changes = [change(1), change(2), change(3)];
    let watched = |told: &[Revision], upto| Watched {
        stretches: vec![(
            heronhoist_coordination::state::ClusterId(1),
            1,
            told.iter().map(|r| change(*r)).collect(),
            upto,
        )],
    };
    assert!(gapless(0, &watched(&[2, 3], 3), &changes).is_empty());
    assert_eq!(gapless(0, &watched(&[3], 3), &changes).len(), 1);
    let out = |what: &str, from, to| Out { budget: "b".into(), what: what.into(), granted: from, from, to };
    assert!(within_budget(&[out("x", 0, Some(5)), out("y", 5, None)], 1).is_empty());
    assert_eq!(within_budget(&[out("x", 0, Some(6)), out("y", 5, None)], 1).len(), 1);
}

#[test]
fn servers_that_are_sent_to_and_permits_beside_the_dead_are_seen() {
    let opened = |server: &str, from, to| Opened {
        server: server.into(),
        from,
        to,
        living: BTreeMap::from([("a".to_string(), 1)]),
    };
    let sent = |incarnation, at| Sent { agent: "a".into(), incarnation, server: "s".into(), at };
    let none = HashMap::new();
    let open = [opened("s", 10, Some(20))];
    assert!(left_alone(&open, &[sent(1, 10), sent(1, 20), sent(2, 15)], &none).is_empty());
    assert_eq!(left_alone(&open, &[sent(1, 15)], &none).len(), 1);
    let ended = HashMap::from([(("a".to_string(), 1), 14)]);
    assert!(left_alone(&open, &[sent(1, 15)], &ended).is_empty(), "nobody counts on it");
    assert!(few_servers(&[opened("s", 0, Some(5)), opened("t", 5, None)], 1).is_empty());
    assert_eq!(few_servers(&[opened("s", 0, Some(6)), opened("t", 5, None)], 1).len(), 1);
    let down = |what: &str, from, to| Down { budget: "b".into(), what: what.into(), from, to };
    let out = Out { budget: "b".into(), what: "x".into(), granted: 10, from: 12, to: Some(20) };
    let outs = [out];
    assert!(counted_with_the_dead(&outs, &[down("y", 0, Some(10)), down("z", 11, None)], 1).is_empty());
    assert_eq!(counted_with_the_dead(&outs, &[down("y", 0, None)], 1).len(), 1);
    assert!(
        counted_with_the_dead(&outs, &[down("y", 0, None), down("x", 3, None)], 1).is_empty(),
        "it is down itself"
    );
}
