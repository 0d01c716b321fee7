//! Rule one: every admitted request gets exactly one final response, in time, and no attempt is sent afterwards.
mod common;
use common::*;
use heronhoist_decision::*;

fn two_classes() -> Settings {
    Settings { classes: vec![class(Effect::Idempotent), class(Effect::AtMostOnce)], ..Settings::default() }
}

#[test]
fn empty_fleet_queues_then_rejects() {
    let mut harness = Harness::new(two_classes(), 1);
    let (id, server) = harness.submit(0);
    assert_eq!(server, None);
    assert!(!is_rejected(&harness.actions, id), "it must be queued first");
    let actions = harness.advance(Span::from_ms(800.0));
    assert!(is_rejected(&actions, id));
    harness.assert_no_violation();
}

#[test]
fn queued_request_is_dispatched_when_the_list_arrives() {
    let mut harness = Harness::new(two_classes(), 1);
    let (id, _) = harness.submit(1);
    harness.set_endpoints(fleet(3, 1, 1));
    assert!(harness.target_of(id).is_some());
    harness.end_attempt(id, 0, Outcome::Success, 20.0);
    harness.assert_no_violation();
}

/// A client's last retry can arrive when none of its time is left. This happened in a simulation.
#[test]
fn request_without_time_left_is_rejected_at_once() {
    for servers in [0, 3] {
        let mut harness = Harness::new(two_classes(), 1);
        harness.set_endpoints(fleet(servers, 1, 1));
        let id = RequestId(77);
        harness.notify(Event::Request(Request::new(id, ClassId(0), Span::ZERO)));
        assert!(is_rejected(&harness.actions, id));
        harness.assert_no_violation();
    }
}

#[test]
fn timed_out_non_idempotent_request_fails_at_its_deadline() {
    let mut harness = Harness::new(two_classes(), 1);
    harness.set_endpoints(fleet(3, 1, 1));
    let (id, _) = harness.submit(1);
    harness.advance(Span::from_ms(800.0));
    harness.end_attempt(id, 0, Outcome::TimedOut, 800.0);
    assert!(is_failed(&harness.actions, id));
    harness.assert_no_violation();
}

#[test]
fn late_duplicate_and_unknown_events_are_ignored() {
    let mut harness = Harness::new(two_classes(), 1);
    harness.set_endpoints(fleet(3, 1, 1));
    let (id, _) = harness.submit(0);
    harness.end_attempt(id, 0, Outcome::Success, 20.0);
    for _ in 0..2 {
        assert!(harness.end_attempt(id, 0, Outcome::TimedOut, 20.0).is_empty());
        assert!(harness.end_attempt(id, 9, Outcome::Success, 20.0).is_empty());
        assert!(harness.notify(Event::ClientDisconnected { request: id }).is_empty());
        assert!(harness.end_attempt(RequestId(999), 0, Outcome::ServerError, 1.0).is_empty());
        assert!(harness.notify(Event::FirstByte { request: id, attempt: AttemptNumber(0) }).is_empty());
        let probe = Event::HealthCheckResult {
            server: ServerId(99),
            outcome: Outcome::Success,
            elapsed: Span::ZERO,
            report: Some(vec![1.0]),
        };
        assert!(harness.notify(probe).is_empty());
    }
    let (_, server) = harness.submit(0);
    assert!(server.is_some());
    harness.assert_no_violation();
}

#[test]
fn nothing_is_sent_for_a_disconnected_client() {
    let mut harness = Harness::new(two_classes(), 1);
    harness.set_endpoints(fleet(3, 1, 1));
    let (id, _) = harness.submit(0);
    harness.notify(Event::ClientDisconnected { request: id });
    assert!(harness.end_attempt(id, 0, Outcome::ServerError, 5.0).is_empty());
    harness.assert_no_violation();
}

#[test]
fn attempts_stay_within_max_attempts() {
    for max_attempts in 1..4 {
        let mut harness = Harness::new(Settings { max_attempts, ..two_classes() }, 5);
        harness.set_endpoints(fleet(9, 1, 1));
        let (id, _) = harness.submit(0);
        let mut sends = 1;
        for attempt in 0..max_attempts {
            harness.end_attempt(id, attempt, Outcome::Rejected, 1.0);
            sends += u32::from(harness.target_of(id).is_some());
        }
        assert_eq!(sends, max_attempts);
        assert!(is_rejected(&harness.actions, id));
        harness.assert_no_violation();
    }
}

/// A request that was queued at the time of a tick used to postpone the tick. A steady stream of such requests kept the
/// tick from ever firing, and queued requests passed their deadline without a response. This happened in a simulation.
#[test]
fn requests_that_arrive_with_each_tick_do_not_postpone_it() {
    let mut harness = Harness::new(two_classes(), 1);
    let (first, _) = harness.submit(0);
    let mut actions = Vec::new();
    for _ in 0..200 {
        harness.now = harness.now + Span::from_ms(5.0);
        harness.submit(0);
        actions.extend(harness.advance(Span::ZERO));
    }
    assert!(is_rejected(&actions, first));
    assert_eq!(harness.observer.lost(harness.now), 0);
    harness.assert_no_violation();
}
