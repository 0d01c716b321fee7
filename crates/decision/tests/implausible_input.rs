//! Implausible load reports and a jump of the clock do not distort decisions.
mod common;
use common::*;
use heronhoist_decision::*;

fn settings() -> Settings {
    Settings {
        classes: vec![class(Effect::Idempotent)],
        report_fields: vec![ReportField::InFlight],
        ..Settings::default()
    }
}

/// Sends requests to four servers, the first of which sends `report`. Returns the number of requests to each.
fn requests_per_server(report: Vec<f64>) -> [u32; 4] {
    let mut harness = Harness::new(settings(), 3);
    harness.set_endpoints(fleet(4, 1, 1));
    let mut sent = [0; 4];
    for _ in 0..200 {
        let (id, server) = harness.submit(0);
        let server = server.expect("the fleet is idle");
        sent[server.0 as usize] += 1;
        harness.advance(Span::from_ms(20.0));
        let report = if server.0 == 0 { report.clone() } else { vec![0.0] };
        harness.end_attempt_with_report(id, 0, Outcome::Success, 20.0, Some(report));
        harness.advance(Span::from_ms(10.0));
    }
    harness.assert_no_violation();
    sent
}

#[test]
fn implausible_reports_neither_stop_nor_starve_a_server() {
    for report in [vec![], vec![f64::NAN], vec![f64::INFINITY], vec![0.0], vec![-1e300], vec![1e300, 1.0]] {
        let sent = requests_per_server(report.clone());
        assert!(sent[1..].iter().all(|n| *n > 20), "{report:?}: {sent:?}");
    }
    let sent = requests_per_server(vec![f64::NAN]);
    assert!(sent[0] > 0, "a report that is not a number must be ignored: {sent:?}");
}

#[test]
fn clock_jump_of_an_hour_leaves_fleet_in_use_and_no_request_unanswered() {
    let mut harness = Harness::new(settings(), 3);
    harness.set_endpoints(fleet(4, 1, 1));
    let pending: Vec<_> = (0..6).map(|_| harness.submit(0).0).collect();
    harness.now = harness.now + Span::from_ms(3_600_000.0);
    for id in pending {
        harness.end_attempt(id, 0, Outcome::TimedOut, 800.0);
    }
    harness.advance(Span::from_ms(1000.0));
    let served = (0..40).filter(|_| {
        let (id, server) = harness.submit(0);
        harness.advance(Span::from_ms(20.0));
        if server.is_some() {
            harness.end_attempt(id, 0, Outcome::Success, 20.0);
        }
        harness.advance(Span::from_ms(200.0));
        server.is_some()
    });
    assert!(served.count() > 30);
    assert_eq!(harness.observer.lost(harness.now), 0);
}
