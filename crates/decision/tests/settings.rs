//! Invalid settings, and settings without any optional feature.
mod common;
use common::*;
use heronhoist_decision::*;

#[test]
fn invalid_settings_are_errors_and_not_panics() {
    let error_with = |change: fn(&mut Settings)| {
        let mut settings = Settings::default();
        change(&mut settings);
        Balancer::new(settings, 1).err()
    };
    assert_eq!(error_with(|settings| settings.classes.clear()), Some(SettingsError::NoClasses));
    assert_eq!(error_with(|settings| settings.max_attempts = 0), Some(SettingsError::NoAttempts));
    assert_eq!(
        error_with(|settings| settings.classes[0].latency_objective = Span::ZERO),
        Some(SettingsError::ZeroSpan { setting: "aim" })
    );
    assert_eq!(
        error_with(|settings| settings.classes[0].deadline = Span::ZERO),
        Some(SettingsError::ZeroSpan { setting: "deadline" })
    );
    assert!(matches!(
        error_with(|settings| settings.initial_capacity_share = f64::NAN),
        Some(SettingsError::BadNumber { .. })
    ));
    assert!(matches!(
        error_with(|settings| settings.overload_factor = -1.0),
        Some(SettingsError::BadNumber { .. })
    ));
    assert!(matches!(
        error_with(|settings| settings.classes[0].priority_weight = f64::INFINITY),
        Some(SettingsError::BadNumber { .. })
    ));
    assert_eq!(error_with(|_| ()), None);
}

/// Requests are served without load reports, keys, tenants, health checks, cancellation, Retry-After and score weights.
#[test]
fn a_class_is_the_only_setting_needed() {
    let settings = Settings {
        classes: vec![class(Effect::Idempotent)],
        cancel: false,
        score_weights: ScoreWeights { overall: 0.0, worst_window: 0.0, worst_class: 0.0, worst_tenant: 0.0 },
        warm_up_time: Span::ZERO,
        ..Settings::default()
    };
    let mut harness = Harness::new(settings, 1);
    harness.set_endpoints(fleet(3, 1, 1));
    for _ in 0..100 {
        let (id, server) = harness.submit(0);
        assert!(server.is_some());
        harness.advance(Span::from_ms(10.0));
        harness.end_attempt_with_report(id, 0, Outcome::Success, 10.0, Some(vec![f64::NAN, -1.0, 1e300]));
    }
    harness.assert_no_violation();
}

#[test]
fn request_of_an_unknown_class_is_rejected() {
    let mut harness = Harness::new(Settings::default(), 1);
    harness.set_endpoints(fleet(3, 1, 1));
    let request = Request::new(RequestId(5), ClassId(9), Span::from_ms(100.0));
    let mut actions = Vec::new();
    harness.balancer.handle(harness.now, Event::Request(request), &mut actions);
    assert!(is_rejected(&actions, RequestId(5)));
    assert!(!actions.iter().any(|a| matches!(a, Action::Send { .. })));
}
