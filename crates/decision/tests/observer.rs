//! The other tests rely on the observer. These tests check that it detects each kind of rule violation.
mod common;
use common::*;
use heronhoist_decision::*;

fn observer_of_one_request(effect: Effect) -> (Observer, Time) {
    let settings = Settings {
        classes: vec![class(effect)],
        initial_capacity_share: 0.2,
        warm_up_time: Span::from_ms(10_000.0),
        ..Settings::default()
    };
    let now = Time::from_ms(1000.0);
    let mut observer = Observer::new(&settings);
    observer.event(now, &Event::EndpointList(EndpointUpdate::Complete(fleet(4, 2, 4))));
    observer.event(now, &Event::Request(Request::new(RequestId(1), ClassId(0), Span::from_ms(800.0))));
    (observer, now)
}

fn send(server: u32, now: Time) -> Action {
    Action::Send {
        request: RequestId(1),
        server: ServerId(server),
        timeout_at: now + Span::from_ms(1.0),
        begin_by: Time(u64::MAX),
    }
}

fn ended(outcome: Outcome, attempt: u32) -> Event {
    Event::AttemptEnded {
        request: RequestId(1),
        attempt: AttemptNumber(attempt),
        outcome,
        elapsed: Span::from_ms(1.0),
        report: None,
        is_request_finished: false,
        is_body_consumed: false,
    }
}

fn assert_violation(observer: &Observer, text: &str) {
    assert!(
        observer.violations.iter().any(|violation| violation.contains(text)),
        "{text}: {:?}",
        observer.violations
    );
}

#[test]
fn observer_detects_lost_late_and_duplicate_responses() {
    let (mut observer, now) = observer_of_one_request(Effect::Idempotent);
    assert_eq!(observer.lost(now + Span::from_ms(900.0)), 1);
    observer.action(now, &Action::Reject { request: RequestId(1), retry_after: None });
    assert!(observer.violations.is_empty());
    observer.action(now, &send(0, now));
    assert_violation(&observer, "sent after its final response");
    observer.action(now, &Action::Fail { request: RequestId(1) });
    assert_violation(&observer, "finished twice");
    let (mut observer, now) = observer_of_one_request(Effect::Idempotent);
    observer.action(now + Span::from_ms(850.0), &Action::Fail { request: RequestId(1) });
    assert_violation(&observer, "finished too late");
}

#[test]
fn observer_detects_duplicate_effects() {
    let (mut observer, now) = observer_of_one_request(Effect::AtMostOnce);
    observer.action(now, &send(0, now));
    observer.action(now, &send(1, now));
    assert_violation(&observer, "two attempts in flight");
    observer.event(now, &ended(Outcome::ServerError, 0));
    assert_violation(&observer, "sent again although it may have been executed");
    observer.action(now, &Action::Reject { request: RequestId(1), retry_after: None });
    assert_violation(&observer, "rejected although it may have been executed");

    let (mut observer, now) = observer_of_one_request(deduplicated(DeduplicationScope::Zone, 100.0));
    observer.action(now, &send(0, now));
    observer.event(now, &ended(Outcome::TimedOut, 0));
    observer.action(now, &send(2, now));
    assert!(observer.violations.is_empty(), "{:?}", observer.violations);
    observer.event(now, &ended(Outcome::TimedOut, 1));
    observer.action(now, &send(1, now));
    assert_violation(&observer, "outside its deduplication scope");
    let late = now + Span::from_ms(150.0);
    observer.event(late, &ended(Outcome::TimedOut, 2));
    observer.action(late, &send(0, late));
    assert_violation(&observer, "sent again although it may have been executed");
}

#[test]
fn observer_detects_sends_to_draining_and_overloaded_warming_servers() {
    let (mut observer, now) = observer_of_one_request(Effect::Idempotent);
    let endpoint = Endpoint { status: Status::Draining, ..Endpoint::serving(ServerId(0)) };
    observer.event(now, &Event::EndpointList(EndpointUpdate::Changes(vec![endpoint])));
    let later = now + Span::from_ms(1100.0);
    observer.event(later, &Event::Request(Request::new(RequestId(2), ClassId(0), Span::from_ms(800.0))));
    let timeout_at = later + Span::from_ms(1.0);
    observer.action(
        later,
        &Action::Send { request: RequestId(2), server: ServerId(0), timeout_at, begin_by: Time(u64::MAX) },
    );
    assert_violation(&observer, "draining or removed");

    let (mut observer, now) = observer_of_one_request(Effect::Idempotent);
    let endpoint = Endpoint { started_at: Some(now), ..Endpoint::serving(ServerId(0)) };
    observer.event(now, &Event::EndpointList(EndpointUpdate::Changes(vec![endpoint])));
    let later = now + observation_window();
    for (id, now) in (2..13).map(|id| (id, if id == 2 { now } else { later })) {
        observer.event(now, &Event::Request(Request::new(RequestId(id), ClassId(0), Span::from_ms(800.0))));
        observer.action(
            now,
            &Action::Send {
                request: RequestId(id),
                server: ServerId(0),
                timeout_at: now,
                begin_by: Time(u64::MAX),
            },
        );
    }
    assert_violation(&observer, "warming up, sent");
}

/// The time for which the set of warm servers must be unchanged before the observer checks warming servers.
fn observation_window() -> Span {
    Settings::default().overload_tolerance
}
