//! Rule two: no effect happens twice, and no request that may have been executed is rejected unless a retry is safe.
mod common;
use common::*;
use heronhoist_decision::*;

const OUTCOMES: [Outcome; 7] = [
    Outcome::ServerError,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::ConnectionReset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

/// Checks every combination of effect, outcome of the first attempt, deduplication scope, and time inside or past the
/// deduplication window, with and without hedging.
#[test]
fn retries_allowed_after_a_first_attempt() {
    for hedging in [false, true] {
        for effect in every_effect(100.0) {
            for outcome in OUTCOMES {
                for ms in [5.0, 120.0] {
                    let settings = Settings { classes: vec![class(effect)], hedging, ..Settings::default() };
                    let mut harness = Harness::new(settings, 3);
                    harness.set_endpoints(fleet(12, 3, 4));
                    let (id, first) = harness.submit(0);
                    let first = first.expect("the fleet is idle").0;
                    harness.advance(Span::from_ms(ms));
                    harness.end_attempt(id, 0, outcome, ms);
                    let (next, actions) = (harness.target_of(id), harness.actions.clone());
                    let case = format!("{effect:?} {outcome:?} after {ms} ms, hedging {hedging}");
                    let not_executed = outcome.proves_not_executed();
                    let is_inside_window = ms < 100.0;
                    match effect {
                        Effect::Idempotent => assert!(next.is_some(), "{case}"),
                        Effect::AtMostOnce => {
                            assert_eq!(next.is_some(), not_executed, "{case}");
                            assert_eq!(is_failed(&actions, id), !not_executed, "{case}");
                        }
                        Effect::Deduplicated { scope, .. } => {
                            assert_eq!(next.is_some(), not_executed || is_inside_window, "{case}");
                            let next = next.map_or(first, |server| server.0);
                            match scope {
                                _ if not_executed => {}
                                DeduplicationScope::All => {
                                    assert_eq!(is_rejected(&actions, id), !is_inside_window, "{case}");
                                }
                                DeduplicationScope::Zone => assert_eq!(next % 3, first % 3, "{case}"),
                                DeduplicationScope::Cell => assert_eq!(next % 4, first % 4, "{case}"),
                            }
                            if !not_executed && !is_inside_window && scope != DeduplicationScope::All {
                                assert!(is_failed(&actions, id), "{case}");
                            }
                        }
                    }
                    harness.assert_no_violation();
                }
            }
        }
    }
}

/// The deduplication window and scope are those of the first attempt that may have been executed, which may be neither
/// the first attempt nor the last.
#[test]
fn deduplication_scope_is_that_of_the_first_attempt_that_may_have_executed() {
    let settings = Settings {
        classes: vec![class(deduplicated(DeduplicationScope::Zone, 400.0))],
        max_attempts: 6,
        ..Settings::default()
    };
    for seed in 0..40 {
        let mut harness = Harness::new(settings.clone(), seed);
        harness.set_endpoints(fleet(9, 3, 3));
        let (id, _) = harness.submit(0);
        harness.end_attempt(id, 0, Outcome::ConnectFailed, 1.0);
        let second = harness.target_of(id).expect("not executed, so any server is allowed").0;
        harness.end_attempt(id, 1, Outcome::ConnectionReset, 1.0);
        let third = harness.target_of(id).expect("inside the window, so the same zone is allowed").0;
        assert_eq!(third % 3, second % 3);
        harness.assert_no_violation();
    }
}

/// If a later attempt was certainly not executed, an earlier one may still have been.
#[test]
fn attempt_that_was_not_executed_does_not_lift_the_rules_for_an_earlier_one() {
    let settings = Settings {
        classes: vec![class(deduplicated(DeduplicationScope::Cell, 5000.0))],
        ..Settings::default()
    };
    let mut harness = Harness::new(settings, 9);
    harness.set_endpoints(fleet(8, 2, 4));
    let (id, first) = harness.submit(0);
    harness.end_attempt(id, 0, Outcome::ServerError, 1.0);
    assert!(harness.target_of(id).is_some());
    harness.end_attempt(id, 1, Outcome::Rejected, 1.0);
    let third = harness.target_of(id).map(|server| server.0 % 4);
    assert_eq!(third.unwrap_or(first.unwrap().0 % 4), first.unwrap().0 % 4);
    assert!(!is_rejected(&harness.actions, id), "it may have been executed in the first attempt");
    harness.assert_no_violation();
}
