//! Responses that have begun and stalled: another attempt may begin beside them, within the rules on repeats, and they are not cancelled.
mod common;
use common::*;
use heronhoist_decision::*;

fn stalled(request: RequestId, is_body_consumed: bool) -> Event {
    Event::ResponseStalled { request, attempt: AttemptNumber(0), is_body_consumed }
}

/// Checks every effect and scope, inside and past the deduplication window, with and without hedging, and with a body that is gone.
#[test]
fn a_stalled_response_is_hedged_only_where_a_second_copy_is_allowed() {
    for effect in every_effect(100.0) {
        for (hedging, is_body_consumed, ms) in [
            (true, false, 50.0),
            (true, false, 120.0),
            (true, true, 50.0),
            (false, false, 50.0),
            (false, false, 120.0),
        ] {
            let settings = Settings { classes: vec![class(effect)], hedging, ..Settings::default() };
            let mut harness = Harness::new(settings, 3);
            harness.set_endpoints(fleet(12, 3, 4));
            let (id, first) = harness.submit(0);
            let first = first.expect("the fleet is idle").0;
            harness.advance(Span::from_ms(ms));
            harness.notify(stalled(id, is_body_consumed));
            let (next, actions) = (harness.target_of(id), harness.actions.clone());
            let case =
                format!("{effect:?} after {ms} ms, hedging {hedging}, body consumed {is_body_consumed}");
            let is_repeatable = match effect {
                Effect::Idempotent => true,
                Effect::AtMostOnce => false,
                Effect::Deduplicated { .. } => ms < 100.0,
            };
            assert_eq!(next.is_some(), hedging && !is_body_consumed && is_repeatable, "{case}");
            if let (Some(next), Effect::Deduplicated { scope, .. }) = (next, effect) {
                match scope {
                    DeduplicationScope::All => {}
                    DeduplicationScope::Zone => assert_eq!(next.0 % 3, first % 3, "{case}"),
                    DeduplicationScope::Cell => assert_eq!(next.0 % 4, first % 4, "{case}"),
                }
            }
            let ends = |action: &Action| {
                matches!(action, Action::Cancel { .. } | Action::Reject { .. } | Action::Fail { .. })
            };
            assert!(!actions.iter().any(ends), "{case}: {actions:?}");
            harness.assert_no_violation();
        }
    }
}

/// A server that has begun its response is not silent, however long the rest takes: its attempt is not cancelled for another.
#[test]
fn an_attempt_whose_response_has_begun_is_not_cancelled() {
    for has_begun in [true, false] {
        let class = Class { late_weight_share: 0.5, ..class(Effect::Idempotent) };
        let settings = Settings { classes: vec![class], cancel: true, ..Settings::default() };
        let mut harness = Harness::new(settings, 5);
        harness.set_endpoints(fleet(12, 1, 1));
        for _ in 0..200 {
            harness.submit_and_answer(2.0);
        }
        let (id, _) = harness.submit(0);
        if has_begun {
            harness.advance(Span::from_ms(1.0));
            harness.notify(Event::ResponseBegun { request: id, attempt: AttemptNumber(0) });
        }
        let mut cancelled = 0;
        for _ in 0..60 {
            let actions = harness.advance(Span::from_ms(10.0));
            cancelled += actions.iter().filter(|action| matches!(action, Action::Cancel { .. })).count();
        }
        assert_eq!(cancelled > 0, !has_begun, "begun: {has_begun}");
    }
}
