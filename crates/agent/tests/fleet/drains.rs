//! Drains of record servers that several agents apply, checked by the requests that the servers receive.

use crate::processes::{
    begin_long_lookup, lookup, unused_address, wait_until, Fleet, Process, Server, LONG_BYTES,
};
use heronhoist_coordination::state::MemberStatus;
use std::io::Read;
use std::net::SocketAddr;

const BUDGETS: &str = "[[budget]]\nof = \"servers\"\nby = \"all\"\nmost = 1\n\
    [[budget]]\nof = \"agents\"\nby = \"site\"\nmost = 1\n\
    [[server]]\nname = \"s1\"\nsite = \"east\"\n[[server]]\nname = \"s2\"\nsite = \"west\"\n";

struct TestFleet {
    fleet: Fleet,
    servers: [Server; 2],
    agents: Vec<(Process, SocketAddr)>,
    request_count: usize,
}

impl TestFleet {
    fn new(name: &str, agents: &[&str]) -> TestFleet {
        let fleet = Fleet::new(name).with_coordinators(1);
        let servers = [Server::start(), Server::start()];
        let endpoints = [("s1", servers[0].address), ("s2", servers[1].address)];
        let agents: Vec<_> =
            agents.iter().map(|name| fleet.agent_with_servers(name, "east", &endpoints)).collect();
        let mut client = fleet.client();
        for (agent, _) in &agents {
            client.wait_living(&agent.name);
            agent.wait_ready();
        }
        std::fs::write(fleet.directory.join("budgets.toml"), BUDGETS).expect("written");
        let file = fleet.directory.join("budgets.toml").to_string_lossy().into_owned();
        let stated = fleet.run(&["fleet", "budgets", &file]);
        assert!(stated.0 == 0 && stated.1.contains("all servers"), "{stated:?}");
        TestFleet { fleet, servers, agents, request_count: 0 }
    }

    /// Sends this number of requests to each of these agents; each must get a successful response.
    fn send_requests(&mut self, agents: &[usize], times: usize) {
        for agent in agents.iter().copied().cycle().take(times * agents.len()) {
            self.request_count += 1;
            let status = lookup(self.agents[agent].1, self.request_count);
            assert_eq!(status, Some(200), "request {} at agent {agent}", self.request_count);
        }
    }

    fn status(&self) -> serde_json::Value {
        let (code, text) = self.fleet.run(&["drain", "status", "--json"]);
        assert_eq!(code, 0, "{text}");
        serde_json::from_str(&text).expect("JSON")
    }
}

/// Once all agents have acknowledged a drain, its barrier opens, and no agent may send to the server until the drain ends.
#[test]
fn no_requests_are_sent_to_a_server_once_its_barrier_is_open() {
    let mut test = TestFleet::new("drain", &["n1", "n2", "n3"]);
    test.send_requests(&[0, 1, 2], 20);
    assert!(test.servers[0].count() > 0 && test.servers[1].count() > 0);
    let drained = test.fleet.run(&["drain", "server", "s1", "--why", "disk", "--wait"]);
    assert!(drained.0 == 0 && drained.1.contains("s1 may stop: 3 agents"), "{drained:?}");
    let before = test.servers[0].count();
    test.send_requests(&[0, 1, 2], 20);
    assert_eq!(test.servers[0].count(), before, "a request after the barrier opened");
    // Only one server may be drained, and a new agent too applies the drain before it acknowledges it.
    let denied = test.fleet.run(&["drain", "server", "s2", "--why", "too"]);
    assert!(denied.0 == 3 && denied.1.contains("s1 (drained)"), "{denied:?}");
    let again = test.fleet.run(&["drain", "server", "s1", "--why", "too"]);
    assert!(again.0 == 3 && again.1.contains("drains already"), "{again:?}");
    let endpoints = [("s1", test.servers[0].address), ("s2", test.servers[1].address)];
    let late = test.fleet.agent_with_servers("n4", "east", &endpoints);
    test.fleet.client().wait_living("n4");
    wait_until("the new agent has acknowledged the drain", || {
        let quiet = test.status()["drains"]["s1"]["quiet"].to_string();
        quiet.contains("n4").then_some(())
    });
    test.agents.push(late);
    let before = test.servers[0].count();
    test.send_requests(&[3], 20);
    assert_eq!(test.servers[0].count(), before, "a request from the new agent");
    assert_eq!(test.fleet.run(&["undrain", "server", "s1"]).0, 0);
    assert_eq!(test.fleet.run(&["undrain", "server", "s1"]).0, 3);
    wait_until("requests are sent to it again", || {
        test.send_requests(&[0, 1, 2], 1);
        (test.servers[0].count() > before).then_some(())
    });
}

/// The operator stops a server once its barrier is open. That must not cut off a long response that an agent is still receiving from
/// it, although the request's attempt ended with the first bytes.
#[test]
fn a_barrier_waits_for_long_responses() {
    let mut test = TestFleet::new("drain-long", &["n1", "n2"]);
    let mut response = begin_long_lookup(test.agents[0].1, 1 << 20);
    let (sender, other) = if test.servers[0].count() > 0 { ("s1", "s2") } else { ("s2", "s1") };
    assert_eq!(test.fleet.run(&["drain", "server", sender, "--why", "disk"]).0, 0);
    let quiet = |test: &TestFleet| test.status()["drains"][sender]["quiet"].to_string();
    wait_until("the other agent has acknowledged the drain", || quiet(&test).contains("n2").then_some(()));
    // Far longer than the difference between two agents.
    std::thread::sleep(std::time::Duration::from_secs(1));
    assert!(!quiet(&test).contains("n1"), "acknowledged while {sender} is still sending a response");
    assert_eq!(test.status()["drains"][sender]["open"], false);
    test.send_requests(&[0, 1], 5);
    test.servers.iter().for_each(Server::release_long_responses);
    let mut body = Vec::new();
    response.read_to_end(&mut body).expect("the whole response");
    assert_eq!(body.len(), LONG_BYTES);
    wait_until("the barrier opens", || (test.status()["drains"][sender]["open"] == true).then_some(()));
    assert!(test.fleet.run(&["drain", "server", other, "--why", "too"]).1.contains("(drained)"));
}

/// During an upgrade the new process acknowledges drains for the agent. It must not do so while the old one is still receiving a
/// long response from the server.
#[test]
fn a_barrier_waits_for_long_responses_of_the_predecessor() {
    let mut test = TestFleet::new("drain-upgrade", &["n1"]);
    let front = test.agents[0].1;
    let old_incarnation = test.fleet.client().wait_living("n1");
    let mut response = begin_long_lookup(front, 1 << 20);
    let sender = if test.servers[0].count() > 0 { "s1" } else { "s2" };
    let endpoints = [("s1", test.servers[0].address), ("s2", test.servers[1].address)];
    let successor = test.fleet.agent_at_front("n1", "east", &endpoints, front);
    successor.wait_ready();
    test.agents[0].0.signal("TERM");
    let mut client = test.fleet.client();
    wait_until("the new process holds the lease", || {
        (client.wait_living("n1") > old_incarnation && successor.lease()?.0).then_some(())
    });
    assert_eq!(test.fleet.run(&["drain", "server", sender, "--why", "disk"]).0, 0);
    // Without the old process, the drain is acknowledged in half of this time.
    std::thread::sleep(std::time::Duration::from_secs(4));
    assert!(test.agents[0].0.is_running(), "the old process has cut off the response");
    assert_eq!(test.status()["drains"][sender]["open"], false, "opened while a response was being received");
    test.send_requests(&[0], 5);
    test.servers.iter().for_each(Server::release_long_responses);
    let mut body = Vec::new();
    response.read_to_end(&mut body).expect("the whole response");
    assert_eq!(body.len(), LONG_BYTES);
    wait_until("the barrier opens", || (test.status()["drains"][sender]["open"] == true).then_some(()));
}

/// An agent is stopped by a signal before it learns of the drain. The barrier must wait until the agent's lease has expired, and
/// then lists it as unconfirmed. Resumed, the agent applies the drain under a new incarnation.
#[test]
fn a_barrier_waits_for_a_stopped_agent_until_its_lease_has_expired() {
    let mut test = TestFleet::new("drain-stopped", &["n1", "n2"]);
    test.send_requests(&[0, 1], 10);
    test.agents[1].0.signal("STOP");
    assert_eq!(test.fleet.run(&["drain", "server", "s1", "--why", "disk"]).0, 0);
    let mut client = test.fleet.client();
    wait_until("the barrier opens", || {
        // The member's status is read after the barrier: if the barrier was open, the lease must have expired by then.
        let status = test.status();
        let expired = client.read("").members["n2"].status == MemberStatus::Expired;
        let (open, waits) =
            (status["drains"]["s1"]["open"] == true, status["drains"]["s1"]["waits_for"].to_string());
        assert!(expired || !open, "the barrier opened although the lease was held");
        assert!(open || !expired || waits.contains("n1") || waits.contains("n2"), "{waits}");
        open.then_some(())
    });
    assert_eq!(test.status()["drains"]["s1"]["not_known"].to_string(), "[\"n2\"]");
    let before = test.servers[0].count();
    test.send_requests(&[0], 20);
    assert_eq!(test.servers[0].count(), before);
    // An agent without a lease counts as unavailable in the budgets, so that no other may be taken out of service.
    assert_eq!(test.fleet.run(&["fleet", "permits", "--site", "east", "--most", "2"]).0, 0);
    let held = test.fleet.run(&["hold", "--for", "agent:n1", "--why", "kernel", "--", "true"]);
    assert!(held.0 == 3 && held.1.contains("n2 (its lease ended)"), "{held:?}");
    test.agents[1].0.signal("CONT");
    wait_until("the resumed agent has acknowledged the drain", || {
        let quiet = test.status()["drains"]["s1"]["quiet"].to_string();
        quiet.contains("n2").then_some(())
    });
    let before = test.servers[0].count();
    test.send_requests(&[0, 1], 20);
    assert_eq!(test.servers[0].count(), before, "a request from the resumed agent");
}

/// Without a coordinator process, agents keep the drains that they know and continue to serve, and no new drain can start.
#[test]
fn without_a_coordinator_drains_remain_and_agents_serve() {
    let mut test = TestFleet::new("drain-alone", &["n1", "n2"]);
    assert_eq!(test.fleet.run(&["drain", "server", "s1", "--why", "disk", "--wait"]).0, 0);
    let before = test.servers[0].count();
    test.fleet.kill("c1");
    test.send_requests(&[0, 1], 20);
    for (agent, _) in &test.agents {
        wait_until("the lease has expired", || (!agent.lease()?.0).then_some(()));
    }
    test.send_requests(&[0, 1], 20);
    assert_eq!(test.servers[0].count(), before);
    let drained = test.fleet.run(&["drain", "server", "s2", "--why", "disk"]);
    assert_eq!(drained.0, 5, "{drained:?}");
    test.fleet.start("c1");
    wait_until("both agents have acknowledged the drain again", || {
        let status = test.status();
        (status["drains"]["s1"]["quiet"].as_array()?.len() == 2).then_some(())
    });
    assert_eq!(test.servers[0].count(), before);
}

/// A server that agents find unreachable counts as unavailable in the budgets, so that no other may be drained.
#[test]
fn an_unreachable_server_counts_as_unavailable() {
    let mut test = TestFleet::new("drain-down", &["n1", "n2"]);
    // Agents of another site have the same names of servers, but nothing listens on the address of their s2.
    let endpoints = [("s1", test.servers[0].address), ("s2", unused_address())];
    let others = ["n3", "n4", "n5"].map(|name| test.fleet.agent_with_servers(name, "west", &endpoints));
    let mut client = test.fleet.client();
    for (agent, _) in &others {
        client.wait_living(&agent.name);
        agent.wait_ready();
    }
    test.agents.extend(others);
    let shown = || test.fleet.run(&["fleet", "budgets"]).1;
    assert!(!shown().contains("can't be reached"), "no request was sent to it yet");
    let mut request_count = 10_000;
    wait_until("three of five agents report the server", || {
        for (_, front) in &test.agents[2..] {
            request_count += 1;
            // The other server responds.
            assert_eq!(lookup(*front, request_count), Some(200));
        }
        shown().contains("s2 (can't be reached)").then_some(())
    });
    let denied = test.fleet.run(&["drain", "server", "s1", "--why", "disk"]);
    assert!(denied.0 == 3 && denied.1.contains("s2 (can't be reached)"), "{denied:?}");
    assert_eq!(test.fleet.run(&["drain", "server", "s1", "--why", "disk", "--over-budget"]).0, 0);
    test.send_requests(&[0, 1], 5);
}
