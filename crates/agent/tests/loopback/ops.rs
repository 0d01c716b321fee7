//! The operators' address: readiness, figures, and callers that stall.

use crate::common::*;
use std::net::TcpStream;

fn agent(backends: &[&RecordServer]) -> (Agent, Discovery) {
    let lines: Vec<String> =
        backends.iter().enumerate().map(|(i, b)| serving(&format!("s{i}"), b.address)).collect();
    let discovery = Discovery::new(lines.join(","));
    let agent = Agent::start(&with_ops(&config(discovery.address, &lines.join(","), SETTINGS, 1024)));
    (agent, discovery)
}

/// Each end of a request has its own figure, and attempts are counted once each, by class.
#[test]
fn requests_and_attempts_are_counted_by_class_and_end() {
    let backend = RecordServer::new(|m| match m.path() {
        p if p.starts_with("/once") => status(500, ""),
        p if p.starts_with("/all") => status(503, "X-Rejected: 1\r\n"),
        _ => ok("x"),
    });
    let (agent, _discovery) = agent(&[&backend]);
    let mut client = Client::connect(&agent);
    for _ in 0..3 {
        assert_eq!(client.exchange(&request("read", 9000)).status(), 200);
    }
    assert_eq!(client.exchange(&request("once", 9000)).status(), 502);
    // Turned away by the only backend until the attempts are used up.
    assert_eq!(client.exchange(&request("all", 600)).status(), 503);
    let attempts = backend.requests.all();
    let heard = |class: &str| attempts.iter().filter(|m| m.path().starts_with(class)).count() as f64;
    for (figure, value) in [
        ("app_served_total{class=\"read\"}", 3.0),
        ("app_failed_total{class=\"once\"}", 1.0),
        ("app_refused_total{class=\"all\"}", 1.0),
        ("app_refused_total{class=\"read\"}", 0.0),
        ("app_attempts_total{class=\"read\"}", heard("/read")),
        ("app_attempts_total{class=\"once\"}", heard("/once")),
        ("app_attempts_total{class=\"all\"}", heard("/all")),
        ("app_served_total{class=\"zoned\"}", 0.0),
        ("app_in_flight", 0.0),
        ("app_record_servers_known", 1.0),
    ] {
        assert_eq!(agent.metric(figure), Some(value), "{figure}");
    }
}

/// A request that waits for its answer is in flight, and no more once it has it.
#[test]
fn a_request_is_in_flight_until_its_answer() {
    let (backend, release) = RecordServer::gated();
    let (agent, _discovery) = agent(&[&backend]);
    let mut client = Client::connect(&agent);
    client.write(&request("once", 9000));
    backend.requests.wait_for(1);
    assert_eq!(agent.metric("app_in_flight"), Some(1.0));
    assert_eq!(agent.metric("app_attempts_total{class=\"once\"}"), Some(1.0), "written, not answered");
    release.send(()).unwrap();
    assert_eq!(client.read().map(|m| m.status()), Some(200));
    agent.wait_for_metric("app_in_flight", 0.0);
}

/// A server that drains is listed and avoided; one that is gone is neither.
#[test]
fn listed_servers_that_are_avoided_are_excluded() {
    let (one, other) = (RecordServer::new(|_| ok("x")), RecordServer::new(|_| ok("x")));
    let (agent, discovery) = agent(&[&one, &other]);
    assert_eq!(agent.metric("app_record_servers_excluded"), Some(0.0));
    discovery.set_targets([serving("s0", one.address), target("s1", other.address, "DRAINING", 0)].join(","));
    agent.wait_for_metric("app_record_servers_excluded", 1.0);
    assert_eq!(agent.metric("app_record_servers_known"), Some(2.0));
    discovery.set_targets(serving("s0", one.address));
    agent.wait_for_metric("app_record_servers_known", 1.0);
    assert_eq!(agent.metric("app_record_servers_excluded"), Some(0.0));
}

/// Without a server to send to this process can't serve, and says so until it has one.
#[test]
fn it_is_ready_once_it_knows_a_server() {
    let backend = RecordServer::new(|_| ok("x"));
    let discovery = Discovery::new(String::new());
    let agent = Agent::start(&with_ops(&config(discovery.address, "", SETTINGS, 1024)));
    assert_eq!(agent.ops_request("GET", "/-/ready").status(), 503);
    discovery.set_targets(serving("s", backend.address));
    agent.wait_for_metric("app_record_servers_known", 1.0);
    assert_eq!(agent.ops_request("GET", "/-/ready").status(), 200);
}

#[test]
fn other_paths_and_methods_are_turned_down() {
    let backend = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = agent(&[&backend]);
    for (method, path, status) in [
        ("GET", "/", 404),
        ("POST", "/-/ready", 405),
        ("DELETE", "/-/metrics", 405),
        ("GET", "/-/metrics/", 404),
    ] {
        assert_eq!(agent.ops_request(method, path).status(), status, "{method} {path}");
    }
    let mut noise = TcpStream::connect(agent.ops.unwrap()).unwrap();
    std::io::Write::write_all(&mut noise, b"\0\x01 noise\r\n\r\n").unwrap();
    assert_eq!(agent.ops_request("GET", "/-/ready").status(), 200);
}

/// However many callers say nothing or half a call, the next one is answered.
#[test]
fn callers_that_stall_keep_nobody_out() {
    let backend = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = agent(&[&backend]);
    let stalled: Vec<TcpStream> = (0..100)
        .map(|n| {
            let mut caller = TcpStream::connect(agent.ops.unwrap()).unwrap();
            let half = if n % 2 == 0 { "" } else { "GET /-/metr" };
            std::io::Write::write_all(&mut caller, half.as_bytes()).unwrap();
            caller
        })
        .collect();
    assert_eq!(agent.ops_request("GET", "/-/ready").status(), 200);
    assert_eq!(agent.metric("app_record_servers_known"), Some(1.0));
    drop(stalled);
}
