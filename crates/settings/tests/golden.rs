//! Reads a settings object with every key and every named value that deployments use. All values differ from the defaults
//! and from each other, so that a key or value that is no longer recognized changes the result.

use heronhoist_decision::*;
use heronhoist_settings::SettingsFile;
use serde_json::{json, Value};

const OBJECT: &str = include_str!("golden/settings.json");

fn read(object: &Value) -> SettingsFile {
    serde_json::from_value(object.clone()).expect("a valid settings object")
}

fn object() -> Value {
    serde_json::from_str(OBJECT).expect("valid JSON")
}

/// Returns the settings of the object with one key set to another value.
fn settings_with(pointer: &str, value: &str) -> Settings {
    let mut object = object();
    *object.pointer_mut(pointer).expect("a key of the object") = json!(value);
    read(&object).settings()
}

#[test]
fn scalars_limits_and_rules_are_read_by_their_keys() {
    let settings = read(&object()).settings();
    assert_eq!(settings.balancers, 17);
    assert_eq!(settings.zone, ZoneId(2));
    assert_eq!(settings.over_quota_weight, 0.31);
    assert!(settings.weight_by_work && settings.key_affinity);
    assert!(settings.cancel && settings.gossip && settings.health_checks);
    assert!(settings.retry_after && settings.hedging);
    assert_eq!(settings.max_attempts, 7);
    assert_eq!(settings.max_retry_after, Span::from_ms(2004.0));
    assert_eq!(settings.max_poll_interval, Span::from_ms(3001.0));
    assert_eq!(settings.initial_capacity_share, 0.71);
    assert_eq!(settings.warm_up_time, Span::from_ms(3002.0));
    assert_eq!(settings.drain_grace, Span::from_ms(3003.0));
    assert_eq!(settings.overload_factor, 7.25);
    assert_eq!(settings.overload_tolerance, Span::from_ms(3004.0));
    assert_eq!(settings.event_interval, Span::from_ms(61.0));
}

#[test]
fn score_weights_costs_and_tenants_are_read_by_their_keys() {
    let settings = read(&object()).settings();
    let score_weights = &settings.score_weights;
    assert_eq!(
        [
            score_weights.overall,
            score_weights.worst_class,
            score_weights.worst_tenant,
            score_weights.worst_window
        ],
        [0.11, 0.12, 0.13, 0.14]
    );
    let costs = &settings.costs;
    assert_eq!([costs.connection, costs.cross_zone, costs.handshake], [0.51, 0.52, 0.53]);
    assert_eq!([costs.late_failure, costs.health_check, costs.wasted_work], [0.54, 0.55, 0.56]);
    let tenants: Vec<_> =
        settings.tenants.iter().map(|tenant| (tenant.quota_per_second, tenant.quota_fraction)).collect();
    assert_eq!(tenants, [(41.0, 0.42), (43.0, 0.44)]);
}

#[test]
fn classes_are_read_by_their_keys_and_named_values() {
    let classes = read(&object()).settings().classes;
    let deduplicated = |scope, ms| Effect::Deduplicated { scope, window: Span::from_ms(ms) };
    let effects: Vec<_> = classes.iter().map(|class| class.effect).collect();
    assert_eq!(
        effects,
        [
            Effect::Idempotent,
            Effect::AtMostOnce,
            deduplicated(DeduplicationScope::All, 901.0),
            deduplicated(DeduplicationScope::Zone, 902.0),
            deduplicated(DeduplicationScope::Cell, 903.0),
        ]
    );
    for (class, ms) in classes.iter().zip(1..) {
        assert_eq!(class.latency_objective, Span::from_ms(200.0 + f64::from(ms)));
        assert_eq!(class.deadline, Span::from_ms(400.0 + f64::from(ms)));
    }
    let read = &classes[0];
    assert_eq!([read.objective_work_factor, read.late_weight_share, read.priority_weight], [1.5, 0.25, 2.5]);
    assert!(read.stream && !classes[1].stream);
    assert_eq!(classes[1].priority_weight, 3.5);
}

#[test]
fn names_and_settings_of_the_agent_are_read_by_their_keys() {
    let file = read(&object());
    assert_eq!(file.class_names(), ["read", "once", "all", "zone", "cell"]);
    assert_eq!(file.tenant_names(), ["courts", "clerks"]);
    assert_eq!(file.zone_names(), ["north", "south", "west"]);
    assert_eq!(file.machine_type_names(), ["small", "large"]);
    assert_eq!(
        file.report_field_names(),
        ["inflight", "queue", "util", "latency_ms", "qps", "eps", "weather"]
    );
    assert_eq!(file.connect_timeout(), Some(Span::from_ms(2001.0)));
    assert_eq!(file.keepalive(), Some(Span::from_ms(2002.0)));
    assert_eq!(file.max_open_requests(), Some(2003));
}

#[test]
fn each_named_value_keeps_its_meaning() {
    let settings = read(&object()).settings();
    let fields = [
        ReportField::InFlight,
        ReportField::Queue,
        ReportField::Utilisation,
        ReportField::ServiceTime,
        ReportField::Rate,
        ReportField::Errors,
        ReportField::Other,
    ];
    assert_eq!(settings.report_fields, fields);
    for (value, meaning) in [("pushed", Discovery::Pushed), ("on_request", Discovery::OnRequest)] {
        assert_eq!(settings_with("/discovery", value).discovery, meaning, "{value}");
    }
    for (value, meaning) in [
        ("piggyback", ReportSource::Responses),
        ("pull", ReportSource::HealthChecks),
        ("silent", ReportSource::None),
    ] {
        assert_eq!(settings_with("/feedback/source", value).report_source, meaning, "{value}");
    }
    for (value, meaning) in [
        ("silent", WeightMeaning::None),
        ("nominal", WeightMeaning::Size),
        ("rough", WeightMeaning::Size),
        ("live", WeightMeaning::CapacityPerLoad),
    ] {
        assert_eq!(settings_with("/weights", value).weight_meaning, meaning, "{value}");
    }
    assert!(settings_with("/worthBy", "work").weight_by_work);
    assert!(!settings_with("/worthBy", "request").weight_by_work);
}
