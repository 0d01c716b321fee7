//! New settings hold for what comes after them; pending requests keep their class.
mod common;
use common::*;
use heronhoist_decision::*;

const READ: ClassId = ClassId(0);
const LATER: ClassId = ClassId(1);

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

/// A class turns non-idempotent while a request is pending: that one may still be retried, the next may not.
#[test]
fn pending_request_keeps_its_effect() {
    let mut harness = harness(3);
    let (before, server) = harness.submit(READ.0);
    assert!(server.is_some());
    harness.notify(new_settings(class(Effect::AtMostOnce), 3, LATER));
    let (after, server) = harness.submit(LATER.0);
    assert!(server.is_some());
    harness.end_attempt(before, 0, Outcome::ServerError, 5.0);
    assert!(harness.target_of(before).is_some(), "it came while its class was safe to repeat");
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

/// A request of a class that has just been retired was taken before and is served; long after, it is rejected.
#[test]
fn retired_class_is_served_for_a_while_and_then_dropped() {
    let mut harness = harness(3);
    let (open, _) = harness.submit(READ.0);
    harness.notify(new_settings(class(Effect::Idempotent), 3, LATER));
    let (taken, server) = harness.submit(READ.0);
    assert!(server.is_some(), "its head came before the new settings did");
    harness.end_attempt(open, 0, Outcome::Success, 5.0);
    harness.end_attempt(taken, 0, Outcome::Success, 5.0);
    harness.advance(Span::from_ms(120_000.0));
    let (late, server) = harness.submit(READ.0);
    assert!(server.is_none() && is_rejected(&harness.actions.clone(), late));
    assert!(harness.submit(LATER.0).1.is_some());
    // And it may come back.
    harness.notify(new_settings(class(Effect::Idempotent), 3, READ));
    assert!(harness.submit(READ.0).1.is_some());
}

#[test]
fn invalid_settings_change_nothing() {
    let mut harness = harness(3);
    harness.notify(new_settings(class(Effect::AtMostOnce), 0, READ));
    harness.notify(Event::Settings { settings: Box::default(), class_ids: vec![READ, LATER] });
    let (id, _) = harness.submit(READ.0);
    harness.end_attempt(id, 0, Outcome::ServerError, 5.0);
    assert!(harness.target_of(id).is_some());
}

/// The random order of the servers is made when it is first needed, and again after each list.
#[test]
fn subsetting_follows_the_number_of_balancers() {
    let few = Settings { classes: vec![class(Effect::Idempotent)], balancers: 1, ..Settings::default() };
    let many = Settings { balancers: 300, ..few.clone() };
    let mut harness = Harness::new(few.clone(), 5);
    harness.set_endpoints(fleet(60, 1, 1));
    let asked_of = |harness: &mut Harness| {
        let servers: std::collections::BTreeSet<_> =
            (0..400).filter_map(|_| harness.submit_and_answer(50.0)).collect();
        servers.len()
    };
    let by_few = asked_of(&mut harness);
    let tell = |harness: &mut Harness, settings: &Settings| {
        let event = Event::Settings { settings: Box::new(settings.clone()), class_ids: vec![ClassId(0)] };
        harness.notify(event);
        harness.advance(Span::from_ms(100.0));
    };
    tell(&mut harness, &many);
    let by_many = asked_of(&mut harness);
    // All others, and the old ones again.
    harness.set_endpoints(fleet(120, 1, 1).split_off(60));
    let after_a_list = asked_of(&mut harness);
    harness.set_endpoints(fleet(60, 1, 1));
    let after_the_old_list = asked_of(&mut harness);
    tell(&mut harness, &few);
    let by_few_again = asked_of(&mut harness);
    let parts = [by_many, after_a_list, after_the_old_list];
    assert!(parts.iter().all(|n| (4..20).contains(n)), "{parts:?} of 60");
    assert!(by_few > 40 && by_few_again > 40, "{by_few}, {by_few_again} of 60");
    harness.assert_no_violation();
}
