//! Requests that are forwarded while their body still arrives: no timeout runs for them, they count as no load, and
//! one whose body is no longer held is not retried.
mod common;
use common::*;
use heronhoist_decision::*;

fn harness(effect: Effect) -> Harness {
    let mut harness = Harness::new(single_class(effect), 5);
    harness.set_endpoints(fleet(4, 1, 1));
    harness
}

fn ask_arriving(harness: &mut Harness, id: u64) -> Option<ServerId> {
    let request =
        Request { is_streaming_in: true, ..Request::new(RequestId(id), ClassId(0), Span::from_ms(1000.0)) };
    harness.notify(Event::Request(request));
    harness.target_of(RequestId(id))
}

fn end(harness: &mut Harness, id: u64, outcome: Outcome, spent: bool) {
    harness.notify(Event::AttemptEnded {
        request: RequestId(id),
        attempt: AttemptNumber(0),
        outcome,
        elapsed: Span::from_ms(5.0),
        report: None,
        is_request_finished: outcome == Outcome::Success,
        is_body_consumed: spent,
    });
}

#[test]
fn slow_upload_is_not_late_and_does_not_eject_its_server() {
    let mut harness = harness(Effect::Idempotent);
    assert!(ask_arriving(&mut harness, 900).is_some());
    let actions = harness.advance(Span::from_ms(30_000.0));
    assert!(!actions
        .iter()
        .any(|a| matches!(a, Action::Cancel { .. } | Action::Fail { .. } | Action::Reject { .. })));
    assert_eq!(harness.balancer.excluded_endpoints(harness.now), 0);
    // From its last part on it is like any other.
    harness.notify(Event::RequestComplete { request: RequestId(900), time_left: Span::from_ms(1000.0) });
    let actions = harness.advance(Span::from_ms(900.0));
    assert!(
        actions.iter().any(|a| matches!(a, Action::Log { text } if text.contains("silent"))),
        "{actions:?}"
    );
}

/// However many are being uploaded, there is capacity for complete ones.
#[test]
fn request_in_upload_is_no_load() {
    let mut harness = harness(Effect::Idempotent);
    for id in 900..1000 {
        assert!(ask_arriving(&mut harness, id).is_some(), "{id}");
    }
    assert!(harness.submit(0).1.is_some());
    // And once they are there, they are load.
    for id in 900..1000 {
        harness.notify(Event::RequestComplete { request: RequestId(id), time_left: Span::from_ms(1000.0) });
    }
    assert!(harness.submit(0).1.is_none());
}

#[test]
fn request_with_consumed_body_is_not_retried() {
    for (spent, effect) in
        [(false, Effect::Idempotent), (true, Effect::Idempotent), (true, Effect::AtMostOnce)]
    {
        let mut harness = harness(effect);
        ask_arriving(&mut harness, 900);
        end(&mut harness, 900, Outcome::ConnectFailed, spent);
        assert_eq!(harness.target_of(RequestId(900)).is_none(), spent, "{effect:?}");
        assert_eq!(is_rejected(&harness.actions.clone(), RequestId(900)), spent, "nothing has run");
    }
    let mut harness = harness(Effect::AtMostOnce);
    ask_arriving(&mut harness, 900);
    harness.notify(Event::RequestComplete { request: RequestId(900), time_left: Span::from_ms(1000.0) });
    end(&mut harness, 900, Outcome::ConnectionReset, true);
    assert!(is_failed(&harness.actions.clone(), RequestId(900)), "it may have run");
}
