//! Guards new settings: they hold for what comes after them, and nothing under way changes its class.
mod common;
use common::*;
use heronhoist_decision::*;

const READ: ClassId = ClassId(0);
const LATER: ClassId = ClassId(1);

fn new_settings(class: Class, max_attempts: u32, id: ClassId) -> Event {
    let settings = Settings { classes: vec![class], max_attempts, ..Settings::default() };
    Event::Settings { settings: Box::new(settings), class_ids: vec![id] }
}

fn rig(max_attempts: u32) -> Rig {
    let classes = vec![class(Effect::Idempotent)];
    let mut rig = Rig::new(Settings { classes, max_attempts, ..Settings::default() }, 5);
    rig.list(fleet(6, 1, 1));
    rig
}

/// A class that turns strict while a request is out: that one may still be repeated, the next may not.
#[test]
fn a_request_under_way_keeps_its_effect() {
    let mut rig = rig(3);
    let (before, server) = rig.ask(READ.0);
    assert!(server.is_some());
    rig.tell(new_settings(class(Effect::AtMostOnce), 3, LATER));
    let (after, server) = rig.ask(LATER.0);
    assert!(server.is_some());
    rig.answer(before, 0, Outcome::ServerError, 5.0);
    assert!(rig.sent_to(before).is_some(), "it came while its class was safe to repeat");
    rig.answer(after, 0, Outcome::ServerError, 5.0);
    assert!(failed(&rig.actions.clone(), after));
    rig.assert_rules();
}

#[test]
fn a_request_under_way_keeps_its_attempts() {
    let mut rig = rig(3);
    let (before, _) = rig.ask(READ.0);
    rig.tell(new_settings(class(Effect::Idempotent), 1, READ));
    let (after, _) = rig.ask(READ.0);
    rig.answer(before, 0, Outcome::ServerError, 5.0);
    assert!(rig.sent_to(before).is_some());
    rig.answer(after, 0, Outcome::ServerError, 5.0);
    assert!(rig.sent_to(after).is_none() && refused(&rig.actions.clone(), after));
}

/// A request of a class that has just vanished was taken before and is served; long after, nobody can name it.
#[test]
fn a_vanished_class_is_served_for_a_while_and_then_forgotten() {
    let mut rig = rig(3);
    let (open, _) = rig.ask(READ.0);
    rig.tell(new_settings(class(Effect::Idempotent), 3, LATER));
    let (taken, server) = rig.ask(READ.0);
    assert!(server.is_some(), "its head came before the new settings did");
    rig.answer(open, 0, Outcome::Success, 5.0);
    rig.answer(taken, 0, Outcome::Success, 5.0);
    rig.wait(Span::from_ms(120_000.0));
    let (late, server) = rig.ask(READ.0);
    assert!(server.is_none() && refused(&rig.actions.clone(), late));
    assert!(rig.ask(LATER.0).1.is_some());
    // And it may come back.
    rig.tell(new_settings(class(Effect::Idempotent), 3, READ));
    assert!(rig.ask(READ.0).1.is_some());
}

#[test]
fn settings_that_cannot_be_used_change_nothing() {
    let mut rig = rig(3);
    rig.tell(new_settings(class(Effect::AtMostOnce), 0, READ));
    rig.tell(Event::Settings { settings: Box::default(), class_ids: vec![READ, LATER] });
    let (id, _) = rig.ask(READ.0);
    rig.answer(id, 0, Outcome::ServerError, 5.0);
    assert!(rig.sent_to(id).is_some());
}

/// The order that a part of the fleet is taken by is made when it is first needed, and again after each list.
#[test]
fn one_that_becomes_one_of_many_draws_from_a_part_and_from_all_again() {
    let few = Settings { classes: vec![class(Effect::Idempotent)], balancers: 1, ..Settings::default() };
    let many = Settings { balancers: 300, ..few.clone() };
    let mut rig = Rig::new(few.clone(), 5);
    rig.list(fleet(60, 1, 1));
    let asked_of = |rig: &mut Rig| {
        let servers: std::collections::BTreeSet<_> =
            (0..400).filter_map(|_| rig.ask_and_answer(50.0)).collect();
        servers.len()
    };
    let by_few = asked_of(&mut rig);
    let tell = |rig: &mut Rig, settings: &Settings| {
        let event = Event::Settings { settings: Box::new(settings.clone()), class_ids: vec![ClassId(0)] };
        rig.tell(event);
        rig.wait(Span::from_ms(100.0));
    };
    tell(&mut rig, &many);
    let by_many = asked_of(&mut rig);
    // All others, and the old ones again.
    rig.list(fleet(120, 1, 1).split_off(60));
    let after_a_list = asked_of(&mut rig);
    rig.list(fleet(60, 1, 1));
    let after_the_old_list = asked_of(&mut rig);
    tell(&mut rig, &few);
    let by_few_again = asked_of(&mut rig);
    let parts = [by_many, after_a_list, after_the_old_list];
    assert!(parts.iter().all(|n| (4..20).contains(n)), "{parts:?} of 60");
    assert!(by_few > 40 && by_few_again > 40, "{by_few}, {by_few_again} of 60");
    rig.assert_rules();
}
