//! Rule two: no effect happens twice, and nothing that may have executed is rejected.
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

/// The whole table: effect, outcome of the first attempt, deduplication scope, inside or past the window.
#[test]
fn retries_allowed_after_a_first_attempt() {
    let effects = [
        Effect::Idempotent,
        Effect::AtMostOnce,
        deduplicated(DeduplicationScope::All, 100.0),
        deduplicated(DeduplicationScope::Zone, 100.0),
        deduplicated(DeduplicationScope::Cell, 100.0),
    ];
    for copies in [false, true] {
        for effect in effects {
            for outcome in OUTCOMES {
                for ms in [5.0, 120.0] {
                    let settings =
                        Settings { classes: vec![class(effect)], hedging: copies, ..Settings::default() };
                    let mut harness = Harness::new(settings, 3);
                    harness.set_endpoints(fleet(12, 3, 4));
                    let (id, first) = harness.submit(0);
                    let first = first.expect("an idle fleet takes a request").0;
                    harness.advance(Span::from_ms(ms));
                    harness.end_attempt(id, 0, outcome, ms);
                    let (next, actions) = (harness.target_of(id), harness.actions.clone());
                    let case = format!("{effect:?} {outcome:?} after {ms} ms, copies {copies}");
                    let proven = outcome.never_ran();
                    let inside = ms < 100.0;
                    match effect {
                        Effect::Idempotent => assert!(next.is_some(), "{case}"),
                        Effect::AtMostOnce => {
                            assert_eq!(next.is_some(), proven, "{case}");
                            assert_eq!(is_failed(&actions, id), !proven, "{case}");
                        }
                        Effect::Deduplicated { scope: group, .. } => {
                            assert_eq!(next.is_some(), proven || inside, "{case}");
                            let next = next.map_or(first, |s| s.0);
                            match group {
                                _ if proven => {}
                                DeduplicationScope::All => {
                                    assert_eq!(is_rejected(&actions, id), !inside, "{case}");
                                }
                                DeduplicationScope::Zone => assert_eq!(next % 3, first % 3, "{case}"),
                                DeduplicationScope::Cell => assert_eq!(next % 4, first % 4, "{case}"),
                            }
                            if !proven && !inside && group != DeduplicationScope::All {
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

/// Window and scope are those of the first attempt that may have executed, not of the first or the last.
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
        let second = harness.target_of(id).expect("never ran: anywhere").0;
        harness.end_attempt(id, 1, Outcome::ConnectionReset, 1.0);
        let third = harness.target_of(id).expect("inside the window: same zone").0;
        assert_eq!(third % 3, second % 3);
        harness.assert_no_violation();
    }
}

/// Proof that an attempt was not executed does not clear an earlier one that may have been.
#[test]
fn later_proof_does_not_clear_an_earlier_attempt() {
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
    let third = harness.target_of(id).map(|s| s.0 % 4);
    assert_eq!(third.unwrap_or(first.unwrap().0 % 4), first.unwrap().0 % 4);
    assert!(!is_rejected(&harness.actions, id), "it may have run in the first attempt");
    harness.assert_no_violation();
}
