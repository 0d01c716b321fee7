//! New settings apply to later requests. Pending requests keep their class and their maximum number of attempts.
mod common;
use common::*;
use heronhoist_decision::*;

const READ: ClassId = ClassId(0);
/// The identifier of the class that replaces `READ`.
const REPLACEMENT: ClassId = ClassId(1);

fn new_settings(class: Class, max_attempts: u32, id: ClassId) -> Event {
    let settings = Settings { classes: vec![class], max_attempts, ..Settings::default() };
    Event::Settings { settings: Box::new(settings), class_ids: vec![id] }
}

fn harness(max_attempts: u32) -> Harness {
    let classes = vec![class(Effect::Idempotent)];
    let mut harness = Harness::new(Settings { classes, max_attempts, ..Settings::default() }, 5);
    harness.set_endpoints(fleet(6, 1, 1));
    harness
}

/// A class becomes non-idempotent while a request is pending. That request may still be retried; later ones may not.
#[test]
fn pending_request_keeps_its_effect() {
    let mut harness = harness(3);
    let (before, server) = harness.submit(READ.0);
    assert!(server.is_some());
    harness.notify(new_settings(class(Effect::AtMostOnce), 3, REPLACEMENT));
    let (after, server) = harness.submit(REPLACEMENT.0);
    assert!(server.is_some());
    harness.end_attempt(before, 0, Outcome::ServerError, 5.0);
    assert!(harness.target_of(before).is_some(), "its class was idempotent when it arrived");
    harness.end_attempt(after, 0, Outcome::ServerError, 5.0);
    assert!(is_failed(&harness.actions.clone(), after));
    harness.assert_no_violation();
}

#[test]
fn pending_request_keeps_its_max_attempts() {
    let mut harness = harness(3);
    let (before, _) = harness.submit(READ.0);
    harness.notify(new_settings(class(Effect::Idempotent), 1, READ));
    let (after, _) = harness.submit(READ.0);
    harness.end_attempt(before, 0, Outcome::ServerError, 5.0);
    assert!(harness.target_of(before).is_some());
    harness.end_attempt(after, 0, Outcome::ServerError, 5.0);
    assert!(harness.target_of(after).is_none() && is_rejected(&harness.actions.clone(), after));
}

/// A request of a class that has just been retired may have been accepted before and must be served. Long after that,
/// requests of the class are rejected.
#[test]
fn retired_class_is_served_for_a_while_and_then_dropped() {
    let mut harness = harness(3);
    let (pending, _) = harness.submit(READ.0);
    harness.notify(new_settings(class(Effect::Idempotent), 3, REPLACEMENT));
    let (accepted, server) = harness.submit(READ.0);
    assert!(server.is_some(), "a class is still served just after it was retired");
    harness.end_attempt(pending, 0, Outcome::Success, 5.0);
    harness.end_attempt(accepted, 0, Outcome::Success, 5.0);
    harness.advance(Span::from_ms(120_000.0));
    let (late, server) = harness.submit(READ.0);
    assert!(server.is_none() && is_rejected(&harness.actions.clone(), late));
    assert!(harness.submit(REPLACEMENT.0).1.is_some());
    // A dropped class can be added again.
    harness.notify(new_settings(class(Effect::Idempotent), 3, READ));
    assert!(harness.submit(READ.0).1.is_some());
}

#[test]
fn invalid_settings_change_nothing() {
    let mut harness = harness(3);
    harness.notify(new_settings(class(Effect::AtMostOnce), 0, READ));
    harness.notify(Event::Settings { settings: Box::default(), class_ids: vec![READ, REPLACEMENT] });
    let (id, _) = harness.submit(READ.0);
    harness.end_attempt(id, 0, Outcome::ServerError, 5.0);
    assert!(harness.target_of(id).is_some());
}

/// The random order of the servers is created when the number of balancers first requires it, and again after each new
/// endpoint list.
#[test]
fn subsetting_follows_the_number_of_balancers() {
    let few = Settings { classes: vec![class(Effect::Idempotent)], balancers: 1, ..Settings::default() };
    let many = Settings { balancers: 300, ..few.clone() };
    let mut harness = Harness::new(few.clone(), 5);
    harness.set_endpoints(fleet(60, 1, 1));
    let servers_used = |harness: &mut Harness| {
        let servers: std::collections::BTreeSet<_> =
            (0..400).filter_map(|_| harness.submit_and_answer(50.0)).collect();
        servers.len()
    };
    let with_few = servers_used(&mut harness);
    let apply_settings = |harness: &mut Harness, settings: &Settings| {
        let event = Event::Settings { settings: Box::new(settings.clone()), class_ids: vec![ClassId(0)] };
        harness.notify(event);
        harness.advance(Span::from_ms(100.0));
    };
    apply_settings(&mut harness, &many);
    let with_many = servers_used(&mut harness);
    // A list of other servers, and then the first list again.
    harness.set_endpoints(fleet(120, 1, 1).split_off(60));
    let after_other_list = servers_used(&mut harness);
    harness.set_endpoints(fleet(60, 1, 1));
    let after_first_list = servers_used(&mut harness);
    apply_settings(&mut harness, &few);
    let with_few_again = servers_used(&mut harness);
    let subsets = [with_many, after_other_list, after_first_list];
    assert!(subsets.iter().all(|n| (4..20).contains(n)), "{subsets:?} of 60 servers used");
    assert!(with_few > 40 && with_few_again > 40, "{with_few} and {with_few_again} of 60 servers used");
    harness.assert_no_violation();
}
