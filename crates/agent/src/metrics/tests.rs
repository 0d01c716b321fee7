use super::*;

const NO_SERVERS: PoolStats = PoolStats { listed: 0, excluded: 0, open_requests: 0 };

#[test]
fn the_page_shows_all_metrics() {
    let metrics = Metrics::default();
    let lookup = metrics.class_counters("lookup");
    (0..3).for_each(|_| lookup.record(Outcome::Served));
    lookup.attempts.increment();
    metrics.reloads_failed.increment();
    metrics.latency("main", "lookup").record(Outcome::Served, Duration::from_millis(7));
    let request_guard = metrics.track_request();
    let page = metrics.render(&PoolStats { listed: 12, excluded: 2, open_requests: 0 });
    for line in [
        "# TYPE app_served_total counter",
        "app_served_total{class=\"lookup\"} 3",
        "app_refused_total{class=\"lookup\"} 0",
        "app_attempts_total{class=\"lookup\"} 1",
        "# TYPE app_in_flight gauge",
        "app_in_flight 1",
        "app_record_servers_known 12",
        "app_record_servers_excluded 2",
        "app_reloads_ok_total 0",
        "app_reloads_failed_total 1",
        "# TYPE app_request_seconds histogram",
        "app_request_seconds_bucket{class=\"lookup\",outcome=\"served\",pool=\"main\",le=\"0.005\"} 0",
        "app_request_seconds_bucket{class=\"lookup\",outcome=\"served\",pool=\"main\",le=\"0.01\"} 1",
        "app_request_seconds_count{class=\"lookup\",outcome=\"served\",pool=\"main\"} 1",
    ] {
        assert!(page.lines().any(|shown| shown == line), "{line} is not in\n{page}");
    }
    drop(request_guard);
    assert!(metrics.render(&NO_SERVERS).contains("app_in_flight 0\n"));
}

/// A class that is removed and configured again must continue with its counters, and any name must be a valid label.
#[test]
fn counters_outlive_their_class_and_labels_are_escaped() {
    let metrics = Metrics::default();
    metrics.class_counters("a\"b\\c\nd").record(Outcome::Served);
    metrics.class_counters("a\"b\\c\nd").record(Outcome::Served);
    assert!(metrics.render(&NO_SERVERS).contains("app_served_total{class=\"a\\\"b\\\\c\\nd\"} 2\n"));
}

/// Reloads with ever new class and pool names must not make the metrics grow without bound.
#[test]
fn the_number_of_named_metrics_is_bounded() {
    let metrics = Metrics::default();
    (0..3 * MAX_NAMED_CLASSES).for_each(|n| {
        metrics.class_counters(&format!("c{n}")).record(Outcome::Served);
        metrics.latency(&format!("p{n}"), "c").record(Outcome::Served, Duration::ZERO);
    });
    assert_eq!(metrics.classes.borrow().len(), MAX_NAMED_CLASSES + 1);
    assert_eq!(metrics.histograms.borrow().len(), MAX_NAMED_HISTOGRAMS + 1);
    assert!(metrics
        .render(&NO_SERVERS)
        .contains(&format!("app_served_total{{class=\"other\"}} {}\n", 2 * MAX_NAMED_CLASSES)));
}
