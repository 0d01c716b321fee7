//! Rule three: no new request goes to a draining or removed server.
mod common;
use common::*;
use heronhoist_decision::*;

/// Applies `update` to a list of two servers and checks that all requests are sent to server 1.
fn assert_server_0_gets_no_requests(update: impl Fn(Vec<Endpoint>) -> EndpointUpdate) {
    let settings = single_class(Effect::Idempotent);
    let mut harness = Harness::new(settings, 2);
    harness.set_endpoints(fleet(2, 1, 1));
    harness.notify(Event::EndpointList(update(fleet(2, 1, 1))));
    for _ in 0..50 {
        let (id, server) = harness.submit(0);
        assert_eq!(server, Some(ServerId(1)));
        harness.advance(Span::from_ms(10.0));
        harness.end_attempt(id, 0, Outcome::Success, 10.0);
    }
    harness.assert_no_violation();
}

#[test]
fn draining_or_removed_by_a_change_gets_no_requests() {
    for status in [Status::Draining, Status::Removed] {
        assert_server_0_gets_no_requests(|endpoints| {
            EndpointUpdate::Changes(vec![Endpoint { status, ..endpoints[0].clone() }])
        });
    }
}

#[test]
fn omitted_from_a_complete_list_gets_no_requests() {
    assert_server_0_gets_no_requests(|endpoints| EndpointUpdate::Complete(endpoints[1..].to_vec()));
}

#[test]
fn last_of_two_entries_for_a_server_takes_effect() {
    assert_server_0_gets_no_requests(|endpoints| {
        let draining = Endpoint { status: Status::Draining, ..endpoints[0].clone() };
        EndpointUpdate::Complete(vec![endpoints[0].clone(), endpoints[1].clone(), draining])
    });
}

#[test]
fn failed_subscription_is_retried_and_the_old_list_stays_in_effect() {
    let settings = Settings {
        discovery: Discovery::OnRequest,
        classes: vec![class(Effect::Idempotent)],
        ..Settings::default()
    };
    let mut harness = Harness::new(settings, 2);
    assert!(
        harness.actions.contains(&Action::Subscribe { active: true }),
        "the balancer must subscribe at its start"
    );
    harness.set_endpoints(fleet(2, 1, 1));
    let mut subscriptions = 0;
    for _ in 0..5 {
        harness.notify(Event::EndpointList(EndpointUpdate::Failed));
        let (id, server) = harness.submit(0);
        assert!(server.is_some());
        harness.end_attempt(id, 0, Outcome::Success, 10.0);
        let actions = harness.advance(Span::from_ms(5000.0));
        subscriptions += actions.iter().filter(|a| **a == Action::Subscribe { active: true }).count();
    }
    assert_eq!(subscriptions, 5, "expected one after each failure, within half of the default poll interval");
    harness.assert_no_violation();
}
