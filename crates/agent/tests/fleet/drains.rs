//! Drains of record servers that several agents keep, judged by what the servers were sent.

use crate::processes::{lookup, nobody, wait, Fleet, Process, Server};
use heronhoist_coordination::state::MemberStatus;
use std::net::SocketAddr;

const BUDGETS: &str = "[[budget]]\nof = \"servers\"\nby = \"all\"\nmost = 1\n\
    [[budget]]\nof = \"agents\"\nby = \"site\"\nmost = 1\n\
    [[server]]\nname = \"s1\"\nsite = \"east\"\n[[server]]\nname = \"s2\"\nsite = \"west\"\n";

struct Play {
    fleet: Fleet,
    servers: [Server; 2],
    agents: Vec<(Process, SocketAddr)>,
    asked: usize,
}

impl Play {
    fn new(name: &str, agents: &[&str]) -> Play {
        let fleet = Fleet::new(name).council(1);
        let servers = [Server::start(), Server::start()];
        let named = [("s1", servers[0].address), ("s2", servers[1].address)];
        let agents: Vec<_> = agents.iter().map(|name| fleet.agent_of(name, "east", &named)).collect();
        let mut client = fleet.client();
        for (agent, _) in &agents {
            client.living(&agent.name);
            agent.wait_ready();
        }
        std::fs::write(fleet.folder.join("budgets.toml"), BUDGETS).expect("written");
        let file = fleet.folder.join("budgets.toml").to_string_lossy().into_owned();
        let stated = fleet.tool(&["fleet", "budgets", &file]);
        assert!(stated.0 == 0 && stated.1.contains("all servers"), "{stated:?}");
        Play { fleet, servers, agents, asked: 0 }
    }

    /// Requests to each of these agents; each gets its one answer.
    fn ask(&mut self, agents: &[usize], times: usize) {
        for agent in agents.iter().copied().cycle().take(times * agents.len()) {
            self.asked += 1;
            let answer = lookup(self.agents[agent].1, self.asked);
            assert_eq!(answer, Some(200), "request {} at agent {agent}", self.asked);
        }
    }

    fn status(&self) -> serde_json::Value {
        let (code, text) = self.fleet.tool(&["drain", "status", "--json"]);
        assert_eq!(code, 0, "{text}");
        serde_json::from_str(&text).expect("JSON")
    }
}

/// All agents become quiet, the barrier opens, and from then on the server is sent nothing, until the drain is taken back.
#[test]
fn a_server_is_sent_nothing_once_its_barrier_is_open() {
    let mut play = Play::new("drain", &["n1", "n2", "n3"]);
    play.ask(&[0, 1, 2], 20);
    assert!(play.servers[0].count() > 0 && play.servers[1].count() > 0);
    let drained = play.fleet.tool(&["drain", "server", "s1", "--why", "disk", "--wait"]);
    assert!(drained.0 == 0 && drained.1.contains("s1 may stop: 3 agents"), "{drained:?}");
    let before = play.servers[0].count();
    play.ask(&[0, 1, 2], 20);
    assert_eq!(play.servers[0].count(), before, "nothing more");
    // Only one server may be out, and an agent that is new keeps the drain too before it counts as quiet.
    let denied = play.fleet.tool(&["drain", "server", "s2", "--why", "too"]);
    assert!(denied.0 == 3 && denied.1.contains("s1 (drained)"), "{denied:?}");
    let again = play.fleet.tool(&["drain", "server", "s1", "--why", "too"]);
    assert!(again.0 == 3 && again.1.contains("drains already"), "{again:?}");
    let named = [("s1", play.servers[0].address), ("s2", play.servers[1].address)];
    let late = play.fleet.agent_of("n4", "east", &named);
    play.fleet.client().living("n4");
    wait("the newcomer is quiet", || {
        let quiet = play.status()["drains"]["s1"]["quiet"].to_string();
        quiet.contains("n4").then_some(())
    });
    play.agents.push(late);
    let before = play.servers[0].count();
    play.ask(&[3], 20);
    assert_eq!(play.servers[0].count(), before, "nor from the newcomer");
    assert_eq!(play.fleet.tool(&["undrain", "server", "s1"]).0, 0);
    assert_eq!(play.fleet.tool(&["undrain", "server", "s1"]).0, 3);
    wait("it is sent requests again", || {
        play.ask(&[0, 1, 2], 1);
        (play.servers[0].count() > before).then_some(())
    });
}

/// One agent is stopped before it hears of the drain: the barrier waits for it until its lease has ended, and names it. Woken, it
/// hears of the drain, and takes part under a new incarnation.
#[test]
fn a_barrier_waits_for_a_stopped_agent_until_its_lease_has_ended_and_names_it() {
    let mut play = Play::new("drain-stopped", &["n1", "n2"]);
    play.ask(&[0, 1], 10);
    play.agents[1].0.signal("STOP");
    assert_eq!(play.fleet.tool(&["drain", "server", "s1", "--why", "disk"]).0, 0);
    let mut client = play.fleet.client();
    wait("the barrier opens", || {
        // What the council holds is read before and after: the lease had ended when the barrier was open.
        let status = play.status();
        let ended = client.read("").members["n2"].status == MemberStatus::Expired;
        let (open, waits) =
            (status["drains"]["s1"]["open"] == true, status["drains"]["s1"]["waits_for"].to_string());
        assert!(ended || !open, "opened over a living lease");
        assert!(open || !ended || waits.contains("n1") || waits.contains("n2"), "{waits}");
        open.then_some(())
    });
    assert_eq!(play.status()["drains"]["s1"]["not_known"].to_string(), "[\"n2\"]");
    let before = play.servers[0].count();
    play.ask(&[0], 20);
    assert_eq!(play.servers[0].count(), before);
    // An agent without a lease is out, as far as the budgets go: no other may be taken out.
    assert_eq!(play.fleet.tool(&["fleet", "permits", "--site", "east", "--most", "2"]).0, 0);
    let held = play.fleet.tool(&["hold", "--for", "agent:n1", "--why", "kernel", "--", "true"]);
    assert!(held.0 == 3 && held.1.contains("n2 (its lease ended)"), "{held:?}");
    play.agents[1].0.signal("CONT");
    wait("it is quiet", || {
        let quiet = play.status()["drains"]["s1"]["quiet"].to_string();
        quiet.contains("n2").then_some(())
    });
    let before = play.servers[0].count();
    play.ask(&[0, 1], 20);
    assert_eq!(play.servers[0].count(), before, "nor from the one that was stopped");
}

/// A council that is gone takes no drain back: agents keep what they heard, serve on, and nothing new is entered.
#[test]
fn without_a_council_drains_stay_and_serving_goes_on() {
    let mut play = Play::new("drain-alone", &["n1", "n2"]);
    assert_eq!(play.fleet.tool(&["drain", "server", "s1", "--why", "disk", "--wait"]).0, 0);
    let before = play.servers[0].count();
    play.fleet.kill("c1");
    play.ask(&[0, 1], 20);
    for (agent, _) in &play.agents {
        wait("the lease is over", || (!agent.lease()?.0).then_some(()));
    }
    play.ask(&[0, 1], 20);
    assert_eq!(play.servers[0].count(), before);
    let drained = play.fleet.tool(&["drain", "server", "s2", "--why", "disk"]);
    assert_eq!(drained.0, 5, "{drained:?}");
    play.fleet.start("c1");
    wait("they take part again", || {
        let status = play.status();
        (status["drains"]["s1"]["quiet"].as_array()?.len() == 2).then_some(())
    });
    assert_eq!(play.servers[0].count(), before);
}

/// A server that nobody reaches is out, as far as the budgets go, once the agents have found that: no other is drained beside it.
#[test]
fn a_server_that_cannot_be_reached_counts_as_out() {
    let mut play = Play::new("drain-down", &["n1", "n2"]);
    // The same names to agents of another site, whose s2 is nobody.
    let named = [("s1", play.servers[0].address), ("s2", nobody())];
    let others = ["n3", "n4", "n5"].map(|name| play.fleet.agent_of(name, "west", &named));
    let mut client = play.fleet.client();
    for (agent, _) in &others {
        client.living(&agent.name);
        agent.wait_ready();
    }
    play.agents.extend(others);
    let shown = || play.fleet.tool(&["fleet", "budgets"]).1;
    assert!(!shown().contains("can't be reached"), "nobody has asked it yet");
    let mut asked = 10_000;
    wait("three of five agents find it", || {
        for (_, front) in &play.agents[2..] {
            asked += 1;
            // Answered by the other one.
            assert_eq!(lookup(*front, asked), Some(200));
        }
        shown().contains("s2 (can't be reached)").then_some(())
    });
    let denied = play.fleet.tool(&["drain", "server", "s1", "--why", "disk"]);
    assert!(denied.0 == 3 && denied.1.contains("s2 (can't be reached)"), "{denied:?}");
    assert_eq!(play.fleet.tool(&["drain", "server", "s1", "--why", "disk", "--over-budget"]).0, 0);
    play.ask(&[0, 1], 5);
}
