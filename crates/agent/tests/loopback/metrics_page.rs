//! Compares the complete metrics page, with all names and labels, to golden files: dashboards and alerts depend on it.

use crate::common::*;
use crate::golden::assert_golden;
use crate::legacy::{mappings, new_server, order, CLASSES, ORDER};

/// Returns a line of the page, without its value where that depends on how long something took.
fn without_timing(line: &str) -> String {
    let timed = ["app_request_seconds_bucket{", "app_request_seconds_sum{", "app_record_servers_excluded "];
    let is_timed = timed.into_iter().any(|name| line.starts_with(name)) && !line.starts_with('#');
    match line.rsplit_once(' ') {
        Some((name, _)) if is_timed && !line.contains("le=\"+Inf\"") => format!("{name} TIME\n"),
        _ => format!("{line}\n"),
    }
}

/// Returns the metrics page once no request is in flight.
fn metrics_page(agent: &Agent) -> String {
    agent.wait_for_metric("app_in_flight", 0.0);
    let response = agent.ops_request("GET", "/-/metrics");
    let content_type = response.header("content-type").expect("a content type");
    let text = String::from_utf8(response.body.clone()).expect("UTF-8");
    let lines: String = text.lines().map(without_timing).collect();
    format!("{} {content_type}\n{lines}", response.status())
}

/// An agent with the platform's configuration: served and failed requests of several classes, and reloads that were applied
/// and rejected.
#[test]
fn metrics_page_of_the_platforms_agent_is_unchanged() {
    let server = RecordServer::new(|message| match message.path() {
        path if path.starts_with("/once") => status(500, ""),
        _ => ok("x"),
    });
    let line = serving("s0", server.address);
    let discovery = Discovery::new(line.clone());
    let text = with_ops(&config(discovery.address, &line, SETTINGS, 1024));
    let agent = Agent::start(&text);
    let mut client = Client::connect(&agent);
    for _ in 0..3 {
        assert_eq!(client.exchange(&request("read", 9000)).status(), 200);
    }
    assert_eq!(client.exchange(&request("once", 9000)).status(), 502);
    agent.reload(&text);
    agent.wait_for_metric("app_reloads_ok_total", 1.0);
    agent.reload("{");
    agent.wait_for_metric("app_reloads_failed_total", 1.0);
    assert_golden("tests/golden/metrics-platform.txt", &metrics_page(&agent));
}

fn agent_with_toml(protocol: &str, server: &RecordServer, dialect: &str) -> Agent {
    let mappings = mappings();
    let text = format!(
        "[ops]\nlisten = \"127.0.0.1:0\"\n{CLASSES}\n[translate]\nmappings = {mappings:?}\n\
         [[front]]\nname = \"desk\"\nprotocol = \"{protocol}\"\nlisten = \"127.0.0.1:0\"\n\
         [[pool]]\nname = \"main\"\nmembership = \"static\"\nmax_attempts = 2\n\
         [[pool.server]]\nname = \"s0\"\naddress = \"{}\"\n{dialect}\n",
        server.address
    );
    Agent::start_with_toml(&temp_dir(), &text)
}

/// Legacy clients and a new server: a rounded value is counted under its mapping.
#[test]
fn metrics_page_of_a_legacy_front_is_unchanged() {
    let server = new_server();
    let agent = agent_with_toml("legacy", &server, "");
    let mut client = Client::connect(&agent);
    assert_eq!(client.exchange(&order(ORDER)).status(), 200);
    let query = "STN=KMIA&BEG=03%2F08%2F2026+01%3A59&END=03%2F08%2F2026+03%3A00&WHAT=W&CLERK=Ann";
    let lookup = format!("GET /desk/lookup.cgi?{query} HTTP/1.0\r\n\r\n");
    assert_eq!(Client::connect(&agent).exchange(&lookup).status(), 200);
    assert_golden("tests/golden/metrics-legacy.txt", &metrics_page(&agent));
}

/// A new client and an old server whose response can't be translated.
#[test]
fn metrics_page_of_a_pool_with_an_old_server_is_unchanged() {
    let server = RecordServer::new(|_| ok("H|QUEUED|7|20261201080509\r\nT|1\r\n"));
    let agent = agent_with_toml("http", &server, "dialect = \"old\"");
    let body = "{\"case\":\"7\",\"station\":\"K\",\"period\":{\"first\":\"2026-02-01\",\"last\":\"2026-02-02\"},\"copies\":1,\
        \"sealed\":false,\"court\":{\"name\":\"x\"},\"parties\":[{\"name\":\"a\",\"role\":\"plaintiff\"}],\"language\":\"en\"}";
    let request = format!(
        "POST /certified-copy HTTP/1.1\r\nHost: x\r\nX-Call-Id: new-1\r\nX-Call-Class: certified-copy\r\n\
         X-Budget-Ms: 9000\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    assert_eq!(Client::connect(&agent).exchange(&request).status(), 502);
    assert_golden("tests/golden/metrics-mixed.txt", &metrics_page(&agent));
}
