//! The replicated state: commands are executed once, transactions are atomic, limits hold, and watchers get every change.

use heronhoist_coordination::state::{
    ChangeScope, ChangedItem, Check, ClusterId, Command, CommandRequest, CommandResult, MemberStatus, State,
    Txn, Write,
};
use heronhoist_coordination::Limits;
use std::collections::BTreeMap;

fn state() -> State {
    State::new(ClusterId(7), BTreeMap::new())
}

fn call(command: Command) -> CommandRequest {
    CommandRequest { session: None, command }
}

fn join(name: &str, nonce: u64) -> CommandRequest {
    join_after(name, nonce, 0)
}

fn join_after(name: &str, nonce: u64, after: u64) -> CommandRequest {
    let [site, version, address] = ["east", "1", "127.0.0.1:1"].map(String::from);
    call(Command::Join { name: name.into(), nonce, previous_incarnation: after, site, version, address })
}

fn put(key: &str, value: &str) -> Command {
    Command::Write(Txn { checks: Vec::new(), writes: vec![Write::Put(key.into(), value.into())] })
}

fn swap(check: Check, key: &str, value: &str) -> CommandRequest {
    call(Command::Write(Txn { checks: vec![check], writes: vec![Write::Put(key.into(), value.into())] }))
}

fn incarnation(reply: &CommandResult) -> u64 {
    match reply {
        CommandResult::Joined { incarnation } => *incarnation,
        other => panic!("not joined: {other:?}"),
    }
}

#[test]
fn a_repeated_command_is_executed_once() {
    let (mut state, bounds) = (state(), Limits::default());
    let CommandResult::SessionOpened(session) = state.apply(&call(Command::OpenSession), &bounds) else {
        panic!("no session")
    };
    let first = CommandRequest { session: Some((session, 1)), command: put("note/a", "1") };
    let done = state.apply(&first, &bounds);
    state.apply(&call(put("note/a", "2")), &bounds);
    assert_eq!(state.apply(&first, &bounds), done, "the same answer");
    assert_eq!(state.records["note/a"].value, "2", "and no second effect");
    let second = CommandRequest { session: Some((session, 2)), command: put("note/b", "1") };
    assert!(matches!(state.apply(&second, &bounds), CommandResult::Done(_)));
    assert_eq!(
        state.apply(&first, &bounds),
        CommandResult::Outdated,
        "a late copy of an older one does nothing"
    );
    let other = CommandRequest { session: Some((session + 1, 1)), command: put("note/b", "9") };
    assert_eq!(state.apply(&other, &bounds), CommandResult::NoSession);
}

#[test]
fn a_transaction_over_several_records_is_atomic() {
    let (mut state, bounds) = (state(), Limits::default());
    let CommandResult::Done(at) = state.apply(&call(put("budget/x", "0")), &bounds) else {
        panic!("not written")
    };
    let both = Txn {
        checks: vec![Check::At("budget/x".into(), at), Check::Absent("permit/x".into())],
        writes: vec![Write::Put("budget/x".into(), "1".into()), Write::Put("permit/x".into(), "n1".into())],
    };
    assert!(matches!(state.apply(&call(Command::Write(both.clone())), &bounds), CommandResult::Done(_)));
    assert_eq!(state.apply(&call(Command::Write(both)), &bounds), CommandResult::Conflict { check: 0 });
    assert_eq!(
        state.apply(&swap(Check::Absent("permit/x".into()), "budget/x", "9"), &bounds),
        CommandResult::Conflict { check: 0 }
    );
    assert_eq!(state.records["budget/x"].value, "1", "what conflicts changes nothing");
    let twice = Txn { checks: Vec::new(), writes: vec![Write::Delete("note/a".into()); 2] };
    assert!(matches!(state.apply(&call(Command::Write(twice)), &bounds), CommandResult::Refused(_)));
    for key in ["nothing", "note/", "other/x", "note/\n"] {
        assert!(matches!(state.apply(&call(put(key, "1")), &bounds), CommandResult::Refused(_)), "{key:?}");
    }
}

#[test]
fn a_name_has_one_living_incarnation() {
    let (mut state, bounds) = (state(), Limits::default());
    let first = incarnation(&state.apply(&join("n1", 1), &bounds));
    assert_eq!(incarnation(&state.apply(&join("n1", 1), &bounds)), first, "a repeat is known by its nonce");
    assert_eq!(
        state.apply(&join("n1", 2), &bounds),
        CommandResult::IncarnationMismatch { incarnation: first }
    );
    assert_eq!(state.members["n1"].status, MemberStatus::Living, "whoever does not know of it takes nothing");
    assert_eq!(state.apply(&join_after("n1", 2, first), &bounds), CommandResult::Wait { incarnation: first });
    assert_eq!(state.members["n1"].status, MemberStatus::Superseded);
    assert!(matches!(
        state.apply(&swap(Check::Living("n1".into(), first), "note/a", "1"), &bounds),
        CommandResult::Conflict { .. }
    ));
    assert!(matches!(
        state.apply(&swap(Check::Ended("n1".into(), first), "note/a", "1"), &bounds),
        CommandResult::Conflict { .. }
    ));
    state.apply(&call(Command::Expire(vec![("n1".into(), first)])), &bounds);
    let second = incarnation(&state.apply(&join_after("n1", 2, first), &bounds));
    assert!(second > first);
    // Joins that arrive late, of the former process and of one that is gone, have no effect.
    for late in [join("n1", 1), join_after("n1", 9, first)] {
        assert_eq!(state.apply(&late, &bounds), CommandResult::IncarnationMismatch { incarnation: second });
    }
    assert_eq!(state.members["n1"].status, MemberStatus::Living, "it is not displaced by one of them");
    let report =
        |number, ready| call(Command::Report { name: "n1".into(), incarnation: second, number, ready });
    assert!(matches!(state.apply(&report(1, true), &bounds), CommandResult::Done(_)));
    assert!(matches!(state.apply(&report(2, false), &bounds), CommandResult::Done(_)));
    assert_eq!(state.apply(&report(1, true), &bounds), CommandResult::Outdated, "a report that comes late");
    assert!(!state.members["n1"].ready);
    assert!(matches!(
        state.apply(&swap(Check::Ended("n1".into(), first), "note/a", "1"), &bounds),
        CommandResult::Done(_)
    ));
    let late = Command::Report { name: "n1".into(), incarnation: first, number: 1, ready: true };
    assert_eq!(state.apply(&call(late), &bounds), CommandResult::NotLiving);
    assert!(!state.members["n1"].ready);
}

#[test]
fn exceeded_limits_are_named_and_an_oversized_state_may_shrink() {
    let bounds = Limits {
        members: 1,
        records: 2,
        state_bytes: 64,
        record_bytes: 40,
        sessions: 2,
        ..Limits::default()
    };
    let mut state = state();
    let over = |reply: CommandResult| match reply {
        CommandResult::LimitExceeded(excess) => excess.limit,
        other => panic!("{other:?}"),
    };
    state.apply(&join("n1", 1), &bounds);
    assert_eq!(over(state.apply(&join("n2", 1), &bounds)), "members");
    assert_eq!(over(state.apply(&call(put("note/a", &"x".repeat(41))), &bounds)), "record_bytes");
    state.apply(&call(put("note/a", &"x".repeat(40))), &bounds);
    assert_eq!(over(state.apply(&call(put("note/b", &"x".repeat(40))), &bounds)), "state_bytes");
    assert!(matches!(state.apply(&call(put("note/b", "x")), &bounds), CommandResult::Done(_)));
    assert_eq!(over(state.apply(&call(put("note/c", "")), &bounds)), "records");
    let tighter = Limits { state_bytes: 10, ..bounds.clone() };
    assert!(matches!(state.apply(&call(put("note/a", "x")), &tighter), CommandResult::Done(_)));
    // The least recently used session is dropped, but never that of a living member.
    let open = |state: &mut State| match state.apply(&call(Command::OpenSession), &bounds) {
        CommandResult::SessionOpened(session) => session,
        other => panic!("{other:?}"),
    };
    let first = open(&mut state);
    let second = open(&mut state);
    let under = |session| CommandRequest { session: Some((session, 1)), command: put("note/a", "y") };
    assert_eq!(state.apply(&under(first), &bounds), CommandResult::NoSession);
    assert!(matches!(state.apply(&under(second), &bounds), CommandResult::Done(_)));
    let member = state.members["n1"].incarnation;
    assert!(matches!(state.apply(&under(member), &bounds), CommandResult::Done(_)));
}

#[test]
fn watchers_get_every_change_or_a_compaction_error() {
    let bounds = Limits { changes: 64, ..Limits::default() };
    let mut state = state();
    let pair = Txn {
        checks: Vec::new(),
        writes: vec![Write::Put("note/a".into(), "1".into()), Write::Put("note/b".into(), "1".into())],
    };
    for _ in 0..20 {
        state.apply(&call(Command::Write(pair.clone())), &bounds);
    }
    let (mut at, mut seen) = (0, 0);
    loop {
        let (changes, upto) = state.changes_after(at, 3).expect("all are kept");
        if changes.is_empty() {
            break;
        }
        assert!(changes.iter().all(|change| change.revision > at && change.revision <= upto));
        assert_eq!(changes.len() % 2, 0, "a revision is not cut in two");
        seen += changes.len();
        at = upto;
    }
    assert_eq!((at, seen), (state.revision, 40));
    for _ in 0..100 {
        state.apply(&call(Command::Write(pair.clone())), &bounds);
    }
    let gone = state.changes_after(at, 3).expect_err("too long away");
    let (changes, _) = state.changes_after(gone.oldest, usize::MAX).expect("from the oldest on");
    assert_eq!(changes.first().map(|change| change.revision), Some(gone.oldest + 1));
    assert!(matches!(&changes[0].item, ChangedItem::Record(key, Some(_)) if key == "note/a"));
}

#[test]
fn a_restored_backup_is_another_cluster_without_living_members_and_with_all_permits() {
    let (mut state, bounds) = (state(), Limits::default());
    let first = incarnation(&state.apply(&join("n1", 1), &bounds));
    state.apply(&call(put("budget/x", "taken")), &bounds);
    let copy = state.clone();
    let later = (0..50).map(|nonce| state.apply(&join(&format!("m{nonce}"), nonce), &bounds)).last();
    let later = incarnation(&later.expect("one"));
    let mut restored = copy.restored_as(ClusterId(8), BTreeMap::new());
    assert_eq!((restored.cluster_id, restored.members["n1"].status), (ClusterId(8), MemberStatus::Expired));
    assert_eq!(restored.records["budget/x"].value, "taken");
    assert!(restored.changes_after(first, 9).is_err(), "watchers of the old history read all");
    assert!(
        incarnation(&restored.apply(&join_after("n1", 2, first), &bounds)) > later,
        "above all that was numbered since the copy"
    );
}

/// What was counted over many records or all agents is checked in the transaction that relies on it, also after a restore.
#[test]
fn an_unchanged_check_conflicts_after_any_change_in_its_scope() {
    let (mut state, bounds) = (state(), Limits::default());
    let unchanged = |of: ChangeScope, since| swap(Check::Unchanged(of, since), "note/x", "1");
    let kind = || ChangeScope::Kind("drain".into());
    state.apply(&call(put("drain/a", "1")), &bounds);
    let seen = state.revision;
    state.apply(&call(put("budget/a", "1")), &bounds);
    state.apply(&join("hold:n1", 1), &bounds);
    assert!(
        matches!(state.apply(&unchanged(kind(), seen), &bounds), CommandResult::Done(_)),
        "nothing of it"
    );
    assert!(
        matches!(state.apply(&unchanged(ChangeScope::Agents, seen), &bounds), CommandResult::Done(_)),
        "a wrapper"
    );
    state.apply(
        &call(Command::Write(Txn { checks: Vec::new(), writes: vec![Write::Delete("drain/a".into())] })),
        &bounds,
    );
    assert_eq!(state.apply(&unchanged(kind(), seen), &bounds), CommandResult::Conflict { check: 0 });
    let joined = incarnation(&state.apply(&join("n1", 2), &bounds));
    assert_eq!(
        state.apply(&unchanged(ChangeScope::Agents, seen), &bounds),
        CommandResult::Conflict { check: 0 }
    );
    let seen = state.revision;
    state.apply(
        &call(Command::Report { name: "n1".into(), incarnation: joined, number: 1, ready: true }),
        &bounds,
    );
    assert_eq!(
        state.apply(&unchanged(ChangeScope::Agents, seen), &bounds),
        CommandResult::Conflict { check: 0 }
    );
    let seen = state.revision;
    let mut restored = state.restored_as(ClusterId(8), BTreeMap::new());
    assert_eq!(restored.apply(&unchanged(kind(), seen), &bounds), CommandResult::Conflict { check: 0 });
}
