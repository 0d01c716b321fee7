//! Agents with a planted fault each, played like any other: the judge must catch each by its rule, and by no other.

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
enum Fault {
    /// None.
    Sound,
    /// Sends a certified-copy twice.
    SendsTwice,
    /// Keeps sending for 700 ms after a drain.
    IgnoresDrains,
    /// Answers twice.
    AnswersTwice,
    /// Never answers.
    AnswersNever,
    /// Sends all to a server that has just started.
    FloodsCold,
    /// Advises a wait and then refuses.
    BreaksAdvice,
    /// Takes a new connection for each request, and closes none.
    Hoards,
}

/// One agent that sends each request to the servers in turn.
struct Faulty {
    world: Rc<World>,
    net: Rc<AgentConnections>,
    fault: Fault,
    turn: Cell<usize>,
    /// When it was told of the drain.
    drained: Cell<Option<u64>>,
}

/// Server 0 drains, server 2 starts anew.
const DRAINS: usize = 0;
const STARTS: usize = 2;

impl Faulty {
    async fn attempt(&self, server: usize, ask: &ClientRequest) -> Outcome {
        self.net.attempt(server, ask, &|| true).await
    }

    fn choose(&self) -> usize {
        let states: Vec<EndpointState> = {
            let registry = self.world.registry.borrow();
            (0..3).map(|server| registry.state(server, registry.version())).collect()
        };
        let now = self.world.now();
        if states[DRAINS] != EndpointState::Serving && self.drained.get().is_none() {
            self.drained.set(Some(now));
            self.world.record_list_version(0, self.world.registry.borrow().version());
        }
        let is_cold = self.world.servers.borrow()[STARTS].speed_share(now) < 1.0;
        match self.fault {
            Fault::FloodsCold if is_cold && states[STARTS] == EndpointState::Serving => return STARTS,
            Fault::IgnoresDrains if self.drained.get().is_some_and(|at| now < at + 700_000) => return DRAINS,
            _ => {}
        }
        loop {
            self.turn.set(self.turn.get() + 1);
            let server = self.turn.get() % 3;
            // One that is cold gets little of it.
            let spared = server == STARTS && is_cold && self.turn.get() % 8 != 0;
            if states[server] == EndpointState::Serving && !spared {
                return server;
            }
        }
    }
}

impl Agents for Faulty {
    async fn handle_request(&self, _: usize, ask: ClientRequest) -> AgentReply {
        if self.fault == Fault::AnswersNever && ask.call % 50 == 7 {
            sleep(Duration::from_secs(60)).await;
        }
        if self.fault == Fault::BreaksAdvice && ask.call % 10 == 3 {
            return AgentReply::Response(ClientResponse::Rejected(Some(100_000)));
        }
        let server = self.choose();
        if self.fault == Fault::Hoards {
            self.world.connect(server, None);
        }
        // In time, whatever else it does.
        let outcome = timeout(ask.budget, self.attempt(server, &ask)).await.unwrap_or(Outcome::TimedOut);
        let is_copy = self.world.scenario.classes[ask.class].name == "certified-copy";
        if self.fault == Fault::SendsTwice && is_copy {
            self.attempt(self.choose(), &ask).await;
        }
        let answer = match outcome {
            Outcome::Success => ClientResponse::Success,
            outcome if outcome.proves_not_executed() => ClientResponse::Rejected(None),
            _ => ClientResponse::Failed,
        };
        if self.fault == Fault::AnswersTwice && ask.call % 50 == 7 {
            let now = self.world.now();
            self.world.ledger.borrow_mut().client_attempts[ask.attempt].responses.push((now, answer));
        }
        AgentReply::Response(answer)
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

fn run_scenario(fault: Fault) -> Run {
    let scenario = parse(SCENARIO).unwrap_or_else(|faults| panic!("{faults:?}"));
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let world = World::new(&scenario, 5);
        world.spawn_servers();
        let net = AgentConnections::new(&world, 0);
        let (turn, drained) = (Cell::new(0), Cell::new(None));
        let agent = Rc::new(Faulty { world: Rc::clone(&world), net, fault, turn, drained });
        emulation::run_clients(&world, &agent, 5, |_| {}).await;
        Run::from_emulation(&world, Mode::Virtual, Policy::RoundRobin, 5, true)
    })
}

#[test]
fn each_planted_fault_is_caught_by_its_rule_and_by_no_other() {
    for (fault, rules) in [
        (Fault::Sound, vec![]),
        (Fault::SendsTwice, vec![Rule::NoDuplicateEffect]),
        (Fault::IgnoresDrains, vec![Rule::Drain]),
        (Fault::AnswersTwice, vec![Rule::OneFinalResponse]),
        (Fault::AnswersNever, vec![Rule::OneFinalResponse]),
        (Fault::FloodsCold, vec![Rule::ColdStart]),
        (Fault::BreaksAdvice, vec![Rule::RetryAfter]),
        (Fault::Hoards, vec![Rule::Connections]),
    ] {
        let run = run_scenario(fault);
        assert!(run.calls > 500 && run.sends > 300, "{fault:?}: {} calls, {} sends", run.calls, run.sends);
        let broken: Vec<Rule> = run.result.violations.keys().copied().collect();
        assert_eq!(broken, rules, "{fault:?}: {}", run.result.summary());
    }
}
