//! The replicated state: commands are executed once, transactions are atomic, limits hold, and watches get every change.

use heronhoist_coordination::state::{
    ChangeScope, ChangedItem, Check, ClusterId, Command, CommandRequest, CommandResult, MemberStatus, State,
    Txn, Write,
};
use heronhoist_coordination::Limits;
use std::collections::BTreeMap;

fn new_state() -> State {
    State::new(ClusterId(7), BTreeMap::new())
}

fn request(command: Command) -> CommandRequest {
    CommandRequest { session: None, command }
}

fn join(name: &str, nonce: u64) -> CommandRequest {
    join_with_previous(name, nonce, 0)
}

fn join_with_previous(name: &str, nonce: u64, previous_incarnation: u64) -> CommandRequest {
    let [site, version, address] = ["east", "1", "127.0.0.1:1"].map(String::from);
    request(Command::Join { name: name.into(), nonce, previous_incarnation, site, version, address })
}

fn put(key: &str, value: &str) -> Command {
    Command::Write(Txn { checks: Vec::new(), writes: vec![Write::Put(key.into(), value.into())] })
}

fn put_if(check: Check, key: &str, value: &str) -> CommandRequest {
    request(Command::Write(Txn { checks: vec![check], writes: vec![Write::Put(key.into(), value.into())] }))
}

fn joined_incarnation(result: &CommandResult) -> u64 {
    match result {
        CommandResult::Joined { incarnation } => *incarnation,
        other => panic!("not joined: {other:?}"),
    }
}

#[test]
fn a_repeated_command_is_executed_once() {
    let (mut state, limits) = (new_state(), Limits::default());
    let CommandResult::SessionOpened(session) = state.apply(&request(Command::OpenSession), &limits) else {
        panic!("no session")
    };
    let first = CommandRequest { session: Some((session, 1)), command: put("note/a", "1") };
    let done = state.apply(&first, &limits);
    state.apply(&request(put("note/a", "2")), &limits);
    assert_eq!(state.apply(&first, &limits), done, "the same result");
    assert_eq!(state.records["note/a"].value, "2", "no second effect");
    let second = CommandRequest { session: Some((session, 2)), command: put("note/b", "1") };
    assert!(matches!(state.apply(&second, &limits), CommandResult::Done(_)));
    assert_eq!(
        state.apply(&first, &limits),
        CommandResult::Outdated,
        "a delayed older command has no effect"
    );
    let other = CommandRequest { session: Some((session + 1, 1)), command: put("note/b", "9") };
    assert_eq!(state.apply(&other, &limits), CommandResult::NoSession);
}

#[test]
fn a_transaction_over_several_records_is_atomic() {
    let (mut state, limits) = (new_state(), Limits::default());
    let CommandResult::Done(revision) = state.apply(&request(put("budget/x", "0")), &limits) else {
        panic!("not written")
    };
    let txn = Txn {
        checks: vec![Check::At("budget/x".into(), revision), Check::Absent("permit/x".into())],
        writes: vec![Write::Put("budget/x".into(), "1".into()), Write::Put("permit/x".into(), "n1".into())],
    };
    assert!(matches!(state.apply(&request(Command::Write(txn.clone())), &limits), CommandResult::Done(_)));
    assert_eq!(state.apply(&request(Command::Write(txn)), &limits), CommandResult::Conflict { check: 0 });
    assert_eq!(
        state.apply(&put_if(Check::Absent("permit/x".into()), "budget/x", "9"), &limits),
        CommandResult::Conflict { check: 0 }
    );
    assert_eq!(state.records["budget/x"].value, "1", "a transaction that conflicts changes nothing");
    let duplicate = Txn { checks: Vec::new(), writes: vec![Write::Delete("note/a".into()); 2] };
    assert!(matches!(state.apply(&request(Command::Write(duplicate)), &limits), CommandResult::Refused(_)));
    for key in ["nothing", "note/", "other/x", "note/\n"] {
        assert!(
            matches!(state.apply(&request(put(key, "1")), &limits), CommandResult::Refused(_)),
            "{key:?}"
        );
    }
}

#[test]
fn a_name_has_one_living_incarnation() {
    let (mut state, limits) = (new_state(), Limits::default());
    let first = joined_incarnation(&state.apply(&join("n1", 1), &limits));
    assert_eq!(
        joined_incarnation(&state.apply(&join("n1", 1), &limits)),
        first,
        "a repeated join is recognised by its nonce"
    );
    assert_eq!(
        state.apply(&join("n1", 2), &limits),
        CommandResult::IncarnationMismatch { incarnation: first }
    );
    assert_eq!(
        state.members["n1"].status,
        MemberStatus::Living,
        "a join without the current incarnation changes nothing"
    );
    assert_eq!(
        state.apply(&join_with_previous("n1", 2, first), &limits),
        CommandResult::Wait { incarnation: first }
    );
    assert_eq!(state.members["n1"].status, MemberStatus::Superseded);
    assert!(matches!(
        state.apply(&put_if(Check::Living("n1".into(), first), "note/a", "1"), &limits),
        CommandResult::Conflict { .. }
    ));
    assert!(matches!(
        state.apply(&put_if(Check::Ended("n1".into(), first), "note/a", "1"), &limits),
        CommandResult::Conflict { .. }
    ));
    state.apply(&request(Command::Expire(vec![("n1".into(), first)])), &limits);
    let second = joined_incarnation(&state.apply(&join_with_previous("n1", 2, first), &limits));
    assert!(second > first);
    // Delayed joins have no effect, neither that of the former process nor that of one that knows only the former incarnation.
    for late in [join("n1", 1), join_with_previous("n1", 9, first)] {
        assert_eq!(state.apply(&late, &limits), CommandResult::IncarnationMismatch { incarnation: second });
    }
    assert_eq!(state.members["n1"].status, MemberStatus::Living, "delayed joins do not supersede it");
    let report =
        |number, ready| request(Command::Report { name: "n1".into(), incarnation: second, number, ready });
    assert!(matches!(state.apply(&report(1, true), &limits), CommandResult::Done(_)));
    assert!(matches!(state.apply(&report(2, false), &limits), CommandResult::Done(_)));
    assert_eq!(state.apply(&report(1, true), &limits), CommandResult::Outdated, "a delayed report");
    assert!(!state.members["n1"].ready);
    assert!(matches!(
        state.apply(&put_if(Check::Ended("n1".into(), first), "note/a", "1"), &limits),
        CommandResult::Done(_)
    ));
    let late = Command::Report { name: "n1".into(), incarnation: first, number: 1, ready: true };
    assert_eq!(state.apply(&request(late), &limits), CommandResult::NotLiving);
    assert!(!state.members["n1"].ready);
}

#[test]
fn exceeded_limits_are_named_and_an_oversized_state_may_shrink() {
    let limits = Limits {
        members: 1,
        records: 2,
        state_bytes: 64,
        record_bytes: 40,
        sessions: 2,
        ..Limits::default()
    };
    let mut state = new_state();
    let exceeded_limit = |result: CommandResult| match result {
        CommandResult::LimitExceeded(exceeded) => exceeded.limit,
        other => panic!("{other:?}"),
    };
    state.apply(&join("n1", 1), &limits);
    assert_eq!(exceeded_limit(state.apply(&join("n2", 1), &limits)), "members");
    assert_eq!(
        exceeded_limit(state.apply(&request(put("note/a", &"x".repeat(41))), &limits)),
        "record_bytes"
    );
    state.apply(&request(put("note/a", &"x".repeat(40))), &limits);
    assert_eq!(exceeded_limit(state.apply(&request(put("note/b", &"x".repeat(40))), &limits)), "state_bytes");
    assert!(matches!(state.apply(&request(put("note/b", "x")), &limits), CommandResult::Done(_)));
    assert_eq!(exceeded_limit(state.apply(&request(put("note/c", "")), &limits)), "records");
    let lower_limits = Limits { state_bytes: 10, ..limits.clone() };
    assert!(matches!(state.apply(&request(put("note/a", "x")), &lower_limits), CommandResult::Done(_)));
    // The least recently used session is dropped, but never that of a living member.
    let open = |state: &mut State| match state.apply(&request(Command::OpenSession), &limits) {
        CommandResult::SessionOpened(session) => session,
        other => panic!("{other:?}"),
    };
    let first = open(&mut state);
    let second = open(&mut state);
    let write_in = |session| CommandRequest { session: Some((session, 1)), command: put("note/a", "y") };
    assert_eq!(state.apply(&write_in(first), &limits), CommandResult::NoSession);
    assert!(matches!(state.apply(&write_in(second), &limits), CommandResult::Done(_)));
    let member = state.members["n1"].incarnation;
    assert!(matches!(state.apply(&write_in(member), &limits), CommandResult::Done(_)));
}

#[test]
fn watchers_get_every_change_or_a_compaction_error() {
    let limits = Limits { changes: 64, ..Limits::default() };
    let mut state = new_state();
    let pair = Txn {
        checks: Vec::new(),
        writes: vec![Write::Put("note/a".into(), "1".into()), Write::Put("note/b".into(), "1".into())],
    };
    for _ in 0..20 {
        state.apply(&request(Command::Write(pair.clone())), &limits);
    }
    let (mut last_seen, mut count) = (0, 0);
    loop {
        let (changes, upto) = state.changes_after(last_seen, 3).expect("all changes are kept");
        if changes.is_empty() {
            break;
        }
        assert!(changes.iter().all(|change| change.revision > last_seen && change.revision <= upto));
        assert_eq!(changes.len() % 2, 0, "the changes of a revision are not split");
        count += changes.len();
        last_seen = upto;
    }
    assert_eq!((last_seen, count), (state.revision, 40));
    for _ in 0..100 {
        state.apply(&request(Command::Write(pair.clone())), &limits);
    }
    let compacted = state.changes_after(last_seen, 3).expect_err("the changes are no longer kept");
    let (changes, _) =
        state.changes_after(compacted.oldest, usize::MAX).expect("all changes after the oldest revision");
    assert_eq!(changes.first().map(|change| change.revision), Some(compacted.oldest + 1));
    assert!(matches!(&changes[0].item, ChangedItem::Record(key, Some(_)) if key == "note/a"));
}

#[test]
fn a_restored_backup_is_another_cluster_without_living_members_and_with_all_permits() {
    let (mut state, limits) = (new_state(), Limits::default());
    let first = joined_incarnation(&state.apply(&join("n1", 1), &limits));
    state.apply(&request(put("budget/x", "taken")), &limits);
    let backup = state.clone();
    let later = (0..50).map(|nonce| state.apply(&join(&format!("m{nonce}"), nonce), &limits)).last();
    let later = joined_incarnation(&later.expect("a join"));
    let mut restored = backup.restored_as(ClusterId(8), BTreeMap::new());
    assert_eq!((restored.cluster_id, restored.members["n1"].status), (ClusterId(8), MemberStatus::Expired));
    assert_eq!(restored.records["budget/x"].value, "taken");
    assert!(restored.changes_after(first, 9).is_err(), "watches of the original cluster are refused");
    assert!(
        joined_incarnation(&restored.apply(&join_with_previous("n1", 2, first), &limits)) > later,
        "above all revisions since the backup"
    );
}

/// A transaction that relies on a count over many records or all agents must conflict after any change of these, and after a
/// restore.
#[test]
fn an_unchanged_check_conflicts_after_any_change_in_its_scope() {
    let (mut state, limits) = (new_state(), Limits::default());
    let unchanged = |scope: ChangeScope, since| put_if(Check::Unchanged(scope, since), "note/x", "1");
    let kind = || ChangeScope::Kind("drain".into());
    state.apply(&request(put("drain/a", "1")), &limits);
    let counted_at = state.revision;
    state.apply(&request(put("budget/a", "1")), &limits);
    state.apply(&join("hold:n1", 1), &limits);
    assert!(
        matches!(state.apply(&unchanged(kind(), counted_at), &limits), CommandResult::Done(_)),
        "no record of this kind has changed"
    );
    assert!(
        matches!(state.apply(&unchanged(ChangeScope::Agents, counted_at), &limits), CommandResult::Done(_)),
        "the new member is not an agent"
    );
    state.apply(
        &request(Command::Write(Txn { checks: Vec::new(), writes: vec![Write::Delete("drain/a".into())] })),
        &limits,
    );
    assert_eq!(state.apply(&unchanged(kind(), counted_at), &limits), CommandResult::Conflict { check: 0 });
    let joined = joined_incarnation(&state.apply(&join("n1", 2), &limits));
    assert_eq!(
        state.apply(&unchanged(ChangeScope::Agents, counted_at), &limits),
        CommandResult::Conflict { check: 0 }
    );
    let counted_at = state.revision;
    state.apply(
        &request(Command::Report { name: "n1".into(), incarnation: joined, number: 1, ready: true }),
        &limits,
    );
    assert_eq!(
        state.apply(&unchanged(ChangeScope::Agents, counted_at), &limits),
        CommandResult::Conflict { check: 0 }
    );
    let counted_at = state.revision;
    let mut restored = state.restored_as(ClusterId(8), BTreeMap::new());
    assert_eq!(restored.apply(&unchanged(kind(), counted_at), &limits), CommandResult::Conflict { check: 0 });
}
