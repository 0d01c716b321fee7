//! The operators' address: readiness, metrics, and callers that stall.

use crate::common::*;
use std::net::TcpStream;

fn agent(servers: &[&RecordServer]) -> (Agent, Discovery) {
    let lines: Vec<String> = servers
        .iter()
        .enumerate()
        .map(|(index, server)| serving(&format!("s{index}"), server.address))
        .collect();
    let discovery = Discovery::new(lines.join(","));
    let agent = Agent::start(&with_ops(&config(discovery.address, &lines.join(","), SETTINGS, 1024)));
    (agent, discovery)
}

/// Requests are counted by class and by how they ended, and each attempt once, by class.
#[test]
fn requests_and_attempts_are_counted_by_class_and_end() {
    let server = RecordServer::new(|message| match message.path() {
        path if path.starts_with("/once") => status(500, ""),
        path if path.starts_with("/all") => status(503, "X-Rejected: 1\r\n"),
        _ => ok("x"),
    });
    let (agent, _discovery) = agent(&[&server]);
    let mut client = Client::connect(&agent);
    for _ in 0..3 {
        assert_eq!(client.exchange(&request("read", 9000)).status(), 200);
    }
    assert_eq!(client.exchange(&request("once", 9000)).status(), 502);
    // The only server rejects it until the attempts are used up.
    assert_eq!(client.exchange(&request("all", 600)).status(), 503);
    let attempts = server.requests.all();
    let received =
        |class: &str| attempts.iter().filter(|message| message.path().starts_with(class)).count() as f64;
    for (metric, value) in [
        ("app_served_total{class=\"read\"}", 3.0),
        ("app_failed_total{class=\"once\"}", 1.0),
        ("app_refused_total{class=\"all\"}", 1.0),
        ("app_refused_total{class=\"read\"}", 0.0),
        ("app_attempts_total{class=\"read\"}", received("/read")),
        ("app_attempts_total{class=\"once\"}", received("/once")),
        ("app_attempts_total{class=\"all\"}", received("/all")),
        ("app_served_total{class=\"zoned\"}", 0.0),
        ("app_in_flight", 0.0),
        ("app_record_servers_known", 1.0),
    ] {
        assert_eq!(agent.metric(metric), Some(value), "{metric}");
    }
}

/// A request is in flight until it has its response.
#[test]
fn request_is_in_flight_until_its_response() {
    let (server, release) = RecordServer::gated();
    let (agent, _discovery) = agent(&[&server]);
    let mut client = Client::connect(&agent);
    client.write(&request("once", 9000));
    server.requests.wait_for(1);
    assert_eq!(agent.metric("app_in_flight"), Some(1.0));
    assert_eq!(agent.metric("app_attempts_total{class=\"once\"}"), Some(1.0), "written, without a response");
    release.send(()).unwrap();
    assert_eq!(client.read().map(|m| m.status()), Some(200));
    agent.wait_for_metric("app_in_flight", 0.0);
}

/// A draining server is known and excluded; a removed one is neither.
#[test]
fn draining_servers_are_counted_as_excluded() {
    let (first, second) = (RecordServer::new(|_| ok("x")), RecordServer::new(|_| ok("x")));
    let (agent, discovery) = agent(&[&first, &second]);
    assert_eq!(agent.metric("app_record_servers_excluded"), Some(0.0));
    discovery
        .set_targets([serving("s0", first.address), target("s1", second.address, "DRAINING", 0)].join(","));
    agent.wait_for_metric("app_record_servers_excluded", 1.0);
    assert_eq!(agent.metric("app_record_servers_known"), Some(2.0));
    discovery.set_targets(serving("s0", first.address));
    agent.wait_for_metric("app_record_servers_known", 1.0);
    assert_eq!(agent.metric("app_record_servers_excluded"), Some(0.0));
}

/// Without a server the agent can't serve, so it is not ready until it knows one.
#[test]
fn agent_is_ready_once_it_knows_a_server() {
    let server = RecordServer::new(|_| ok("x"));
    let discovery = Discovery::new(String::new());
    let agent = Agent::start(&with_ops(&config(discovery.address, "", SETTINGS, 1024)));
    assert_eq!(agent.ops_request("GET", "/-/ready").status(), 503);
    discovery.set_targets(serving("s", server.address));
    agent.wait_for_metric("app_record_servers_known", 1.0);
    assert_eq!(agent.ops_request("GET", "/-/ready").status(), 200);
}

#[test]
fn other_paths_and_methods_are_rejected() {
    let server = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = agent(&[&server]);
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

/// Callers that send nothing or an incomplete request must not keep the next one from its response.
#[test]
fn stalled_callers_do_not_block_others() {
    let server = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = agent(&[&server]);
    let stalled: Vec<TcpStream> = (0..100)
        .map(|n| {
            let mut caller = TcpStream::connect(agent.ops.unwrap()).unwrap();
            let incomplete = if n % 2 == 0 { "" } else { "GET /-/metr" };
            std::io::Write::write_all(&mut caller, incomplete.as_bytes()).unwrap();
            caller
        })
        .collect();
    assert_eq!(agent.ops_request("GET", "/-/ready").status(), 200);
    assert_eq!(agent.metric("app_record_servers_known"), Some(1.0));
    drop(stalled);
}
