//! Requests that are forwarded while their body is still arriving: they have no timeout, they do not count as load, and
//! they are not retried once part of their body has been discarded.
mod common;
use common::*;
use heronhoist_decision::*;

fn harness(effect: Effect) -> Harness {
    let mut harness = Harness::new(single_class(effect), 5);
    harness.set_endpoints(fleet(4, 1, 1));
    harness
}

fn submit_streaming(harness: &mut Harness, id: u64) -> Option<ServerId> {
    let request =
        Request { is_streaming_in: true, ..Request::new(RequestId(id), ClassId(0), Span::from_ms(1000.0)) };
    harness.notify(Event::Request(request));
    harness.target_of(RequestId(id))
}

fn end_attempt(harness: &mut Harness, id: u64, outcome: Outcome, is_body_consumed: bool) {
    harness.notify(Event::AttemptEnded {
        request: RequestId(id),
        attempt: AttemptNumber(0),
        outcome,
        elapsed: Span::from_ms(5.0),
        report: None,
        is_request_finished: outcome == Outcome::Success,
        is_body_consumed,
    });
}

#[test]
fn slow_upload_is_not_late_and_does_not_eject_its_server() {
    let mut harness = harness(Effect::Idempotent);
    assert!(submit_streaming(&mut harness, 900).is_some());
    let actions = harness.advance(Span::from_ms(30_000.0));
    assert!(!actions
        .iter()
        .any(|a| matches!(a, Action::Cancel { .. } | Action::Fail { .. } | Action::Reject { .. })));
    assert_eq!(harness.balancer.excluded_endpoints(harness.now), 0);
    // After its last part, its timeout and the outlier detection apply as for any other request.
    harness.notify(Event::RequestComplete { request: RequestId(900), time_left: Span::from_ms(1000.0) });
    let actions = harness.advance(Span::from_ms(900.0));
    assert!(
        actions.iter().any(|a| matches!(a, Action::Log { text } if text.contains("silent"))),
        "{actions:?}"
    );
}

/// However many requests are being uploaded, there must be capacity for complete ones.
#[test]
fn request_in_upload_is_not_load() {
    let mut harness = harness(Effect::Idempotent);
    for id in 900..1000 {
        assert!(submit_streaming(&mut harness, id).is_some(), "{id}");
    }
    assert!(harness.submit(0).1.is_some());
    // Complete requests count as load.
    for id in 900..1000 {
        harness.notify(Event::RequestComplete { request: RequestId(id), time_left: Span::from_ms(1000.0) });
    }
    assert!(harness.submit(0).1.is_none());
}

#[test]
fn request_with_consumed_body_is_not_retried() {
    for (is_body_consumed, effect) in
        [(false, Effect::Idempotent), (true, Effect::Idempotent), (true, Effect::AtMostOnce)]
    {
        let mut harness = harness(effect);
        submit_streaming(&mut harness, 900);
        end_attempt(&mut harness, 900, Outcome::ConnectFailed, is_body_consumed);
        assert_eq!(harness.target_of(RequestId(900)).is_none(), is_body_consumed, "{effect:?}");
        assert_eq!(
            is_rejected(&harness.actions.clone(), RequestId(900)),
            is_body_consumed,
            "it was not executed"
        );
    }
    let mut harness = harness(Effect::AtMostOnce);
    submit_streaming(&mut harness, 900);
    harness.notify(Event::RequestComplete { request: RequestId(900), time_left: Span::from_ms(1000.0) });
    end_attempt(&mut harness, 900, Outcome::ConnectionReset, true);
    assert!(is_failed(&harness.actions.clone(), RequestId(900)), "it may have been executed");
}
