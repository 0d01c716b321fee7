//! Rule three: no new request goes to a draining or removed server.
mod common;
use common::*;
use heronhoist_decision::*;

fn drained(update: impl Fn(Vec<Endpoint>) -> EndpointUpdate) {
    let settings = single_class(Effect::Idempotent);
    let mut harness = Harness::new(settings, 2);
    harness.set_endpoints(fleet(2, 1, 1));
    harness.notify(Event::EndpointList(update(fleet(2, 1, 1))));
    for _ in 0..50 {
        let (id, sent) = harness.submit(0);
        assert_eq!(sent, Some(ServerId(1)));
        harness.advance(Span::from_ms(10.0));
        harness.end_attempt(id, 0, Outcome::Success, 10.0);
    }
    harness.assert_no_violation();
}

#[test]
fn draining_or_removed_by_a_change_gets_no_requests() {
    for status in [Status::Draining, Status::Removed] {
        drained(|lines| EndpointUpdate::Changes(vec![Endpoint { status, ..lines[0].clone() }]));
    }
}

#[test]
fn omitted_from_a_complete_list_gets_no_requests() {
    drained(|lines| EndpointUpdate::Complete(lines[1..].to_vec()));
}

#[test]
fn last_of_two_entries_for_a_server_counts() {
    drained(|lines| {
        let gone = Endpoint { status: Status::Draining, ..lines[0].clone() };
        EndpointUpdate::Complete(vec![lines[0].clone(), lines[1].clone(), gone])
    });
}

#[test]
fn failed_subscription_is_retried_and_the_old_list_stays_in_force() {
    let settings = Settings {
        discovery: Discovery::OnRequest,
        classes: vec![class(Effect::Idempotent)],
        ..Settings::default()
    };
    let mut harness = Harness::new(settings, 2);
    assert!(harness.actions.contains(&Action::Subscribe { active: true }), "followed from the start");
    harness.set_endpoints(fleet(2, 1, 1));
    let mut asked = 0;
    for _ in 0..5 {
        harness.notify(Event::EndpointList(EndpointUpdate::Failed));
        let (id, sent) = harness.submit(0);
        assert!(sent.is_some());
        harness.end_attempt(id, 0, Outcome::Success, 10.0);
        let actions = harness.advance(Span::from_ms(5000.0));
        asked += actions.iter().filter(|a| **a == Action::Subscribe { active: true }).count();
    }
    assert_eq!(asked, 5, "one more call after each failure, within half of what the site asks");
    harness.assert_no_violation();
}
