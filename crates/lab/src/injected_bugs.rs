//! Runs agents with one injected bug each: the checker must report each bug by its rule and by no other.

use crate::checker::{ClientResponse, Rule};
use crate::emulation::{self, AgentReply, Agents, ClientRequest, World};
use crate::policy::{Policy, Transport};
use crate::record::{Mode, Run};
use crate::scenario::{parse, EventKind};
use crate::sim::AgentConnections;
use heronhoist_decision::Outcome;
use heronhoist_engine::EndpointState;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

#[derive(Debug, Clone, Copy, PartialEq)]
enum Bug {
    /// No bug.
    Absent,
    /// Sends each certified-copy request twice.
    SendsTwice,
    /// Keeps sending to a draining server for 700 ms.
    IgnoresDrain,
    /// Responds twice to some requests.
    RespondsTwice,
    /// Never responds to some requests.
    NeverResponds,
    /// Sends all requests to a server that has just started.
    OverloadsColdServer,
    /// Rejects some requests with a Retry-After time, and rejects the retries too.
    BreaksRetryAfter,
    /// Opens a new connection for each request and closes none.
    LeaksConnections,
}

/// An agent with an injected bug that sends requests to the servers in turn.
struct BuggyAgent {
    world: Rc<World>,
    connections: Rc<AgentConnections>,
    bug: Bug,
    turn: Cell<usize>,
    /// When the agent learned of the drain.
    drain_seen: Cell<Option<u64>>,
}

/// The server that drains.
const DRAINING_SERVER: usize = 0;
/// The server that is restarted cold.
const COLD_SERVER: usize = 2;

impl BuggyAgent {
    async fn attempt(&self, server: usize, request: &ClientRequest) -> Outcome {
        self.connections.attempt(server, request, &|| true).await
    }

    fn choose(&self) -> usize {
        let states: Vec<EndpointState> = {
            let registry = self.world.registry.borrow();
            (0..3).map(|server| registry.state(server, registry.version())).collect()
        };
        let now = self.world.now();
        if states[DRAINING_SERVER] != EndpointState::Serving && self.drain_seen.get().is_none() {
            self.drain_seen.set(Some(now));
            self.world.record_list_version(0, self.world.registry.borrow().version());
        }
        let is_cold = self.world.servers.borrow()[COLD_SERVER].speed_share(now) < 1.0;
        match self.bug {
            Bug::OverloadsColdServer if is_cold && states[COLD_SERVER] == EndpointState::Serving => {
                return COLD_SERVER
            }
            Bug::IgnoresDrain if self.drain_seen.get().is_some_and(|at| now < at + 700_000) => {
                return DRAINING_SERVER
            }
            _ => {}
        }
        loop {
            self.turn.set(self.turn.get() + 1);
            let server = self.turn.get() % 3;
            // A cold server gets only a small share of the requests.
            let skip = server == COLD_SERVER && is_cold && self.turn.get() % 8 != 0;
            if states[server] == EndpointState::Serving && !skip {
                return server;
            }
        }
    }
}

impl Agents for BuggyAgent {
    async fn handle_request(&self, _: usize, request: ClientRequest) -> AgentReply {
        if self.bug == Bug::NeverResponds && request.call % 50 == 7 {
            sleep(Duration::from_secs(60)).await;
        }
        if self.bug == Bug::BreaksRetryAfter && request.call % 10 == 3 {
            return AgentReply::Response(ClientResponse::Rejected(Some(100_000)));
        }
        let server = self.choose();
        if self.bug == Bug::LeaksConnections {
            self.world.connect(server, None);
        }
        // Responds within the deadline, so that only the injected bug is reported.
        let outcome =
            timeout(request.budget, self.attempt(server, &request)).await.unwrap_or(Outcome::TimedOut);
        let is_certified_copy = self.world.scenario.classes[request.class].name == "certified-copy";
        if self.bug == Bug::SendsTwice && is_certified_copy {
            self.attempt(self.choose(), &request).await;
        }
        let response = match outcome {
            Outcome::Success => ClientResponse::Success,
            outcome if outcome.proves_not_executed() => ClientResponse::Rejected(None),
            _ => ClientResponse::Failed,
        };
        if self.bug == Bug::RespondsTwice && request.call % 50 == 7 {
            let now = self.world.now();
            self.world.ledger.borrow_mut().client_attempts[request.attempt].responses.push((now, response));
        }
        AgentReply::Response(response)
    }

    fn apply_agent_event(self: &Rc<Self>, _: usize, _: EventKind) {}
}

const SCENARIO: &str = r#"
name = "planted"
length_ms = 12000
[fleet]
servers = 3
cores = 2
room = 500
cold_share = 0.1
warm_after_ms = 60000
[agents]
count = 1
[clients]
rate_per_s = 60
tries = 2
[hold]
waits_kept = 0.9
connections_per_server = 200
[[class]]
name = "lookup"
effect = "idempotent"
work_ms = 20
aim_ms = 200
deadline_ms = 1000
[[class]]
name = "certified-copy"
effect = "at_most_once"
work_ms = 20
aim_ms = 400
deadline_ms = 2000
[[fault]]
at_ms = 1000
what = "kill"
server = 2
[[fault]]
at_ms = 2000
what = "start"
server = 2
[[fault]]
at_ms = 9000
what = "drain"
server = 0
"#;

fn run_scenario(bug: Bug) -> Run {
    let scenario = parse(SCENARIO).unwrap_or_else(|faults| panic!("{faults:?}"));
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let world = World::new(&scenario, 5);
        world.spawn_servers();
        let connections = AgentConnections::new(&world, 0);
        let (turn, drain_seen) = (Cell::new(0), Cell::new(None));
        let agent = Rc::new(BuggyAgent { world: Rc::clone(&world), connections, bug, turn, drain_seen });
        emulation::run_clients(&world, &agent, 5, |_| {}).await;
        Run::from_emulation(&world, Mode::Virtual, Policy::RoundRobin, 5, true)
    })
}

#[test]
fn each_injected_bug_is_reported_by_its_rule_only() {
    for (bug, expected) in [
        (Bug::Absent, vec![]),
        (Bug::SendsTwice, vec![Rule::NoDuplicateEffect]),
        (Bug::IgnoresDrain, vec![Rule::Drain]),
        (Bug::RespondsTwice, vec![Rule::OneFinalResponse]),
        (Bug::NeverResponds, vec![Rule::OneFinalResponse]),
        (Bug::OverloadsColdServer, vec![Rule::ColdStart]),
        (Bug::BreaksRetryAfter, vec![Rule::RetryAfter]),
        (Bug::LeaksConnections, vec![Rule::Connections]),
    ] {
        let run = run_scenario(bug);
        assert!(run.calls > 500 && run.sends > 300, "{bug:?}: {} calls, {} sends", run.calls, run.sends);
        let reported: Vec<Rule> = run.result.violations.keys().copied().collect();
        assert_eq!(reported, expected, "{bug:?}: {}", run.result.summary());
    }
}
