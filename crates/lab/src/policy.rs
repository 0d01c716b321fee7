//! Simple load-balancing policies for comparison with the engine: they retry what may be retried, and keep no other rules.

use crate::checker::{ClientResponse, RepeatEffect};
use crate::emulation::{AgentReply, Agents, ClientRequest, World};
use crate::scenario::EventKind;
use crate::signal::Signal;
use heronhoist_decision::Outcome;
use heronhoist_engine::EndpointState;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout_at, Instant};

/// How servers are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The engine with its decision module.
    Heronhoist,
    /// A uniformly random server.
    Random,
    /// Each agent uses the servers in turn.
    RoundRobin,
    /// Two random servers, and of these the one to which the agent has fewer requests in flight.
    TwoChoices,
    /// A random server or the remembered one, whichever has fewer requests of the agent in flight; that one is remembered.
    OneWithMemory,
    /// The reachable server with the lowest actual load: an upper bound, since no agent knows the actual load.
    LeastLoaded,
}

impl Policy {
    /// All policies in the order of tables.
    pub const ALL: [Policy; 6] = [
        Policy::Heronhoist,
        Policy::Random,
        Policy::RoundRobin,
        Policy::TwoChoices,
        Policy::OneWithMemory,
        Policy::LeastLoaded,
    ];

    /// Returns the name used on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Heronhoist => "heronhoist",
            Policy::Random => "random",
            Policy::RoundRobin => "round-robin",
            Policy::TwoChoices => "two-choices",
            Policy::OneWithMemory => "one-with-memory",
            Policy::LeastLoaded => "least-loaded",
        }
    }
}

/// Sends attempts to servers, simulated or over sockets.
pub trait Transport: 'static {
    /// Makes one attempt; `may_send` is called just before the first byte would be sent. If it returns false, nothing is
    /// sent.
    fn attempt(
        &self,
        server: usize,
        request: &ClientRequest,
        may_send: &dyn Fn() -> bool,
    ) -> impl Future<Output = Outcome>;
}

/// All agents of a simple policy.
pub struct SimplePolicy<R> {
    policy: Policy,
    world: Rc<World>,
    transports: Vec<Rc<R>>,
    rng: RefCell<Pcg64>,
    /// Requests in flight, by agent and server.
    in_flight: RefCell<Vec<Vec<u32>>>,
    turns: RefCell<Vec<usize>>,
    /// The server that each agent remembers.
    remembered: RefCell<Vec<usize>>,
    /// The version of the endpoint list that all agents have.
    list_version: Cell<i64>,
    /// A counter for each agent that grows when it stops or starts: even while it runs, odd while it is down.
    lifecycle: Vec<Signal<u32>>,
}

impl<R: Transport> SimplePolicy<R> {
    /// Creates the agents, each with its own transport.
    pub fn new(policy: Policy, world: Rc<World>, transports: Vec<Rc<R>>, seed: u64) -> Rc<Self> {
        let (servers, agents) = (world.scenario.fleet.servers, transports.len());
        let simple = Rc::new(SimplePolicy {
            policy,
            world,
            transports,
            rng: RefCell::new(Pcg64::seed_from_u64(seed)),
            in_flight: RefCell::new(vec![vec![0; servers]; agents]),
            turns: RefCell::new((0..agents).collect()),
            remembered: RefCell::new(vec![0; agents]),
            list_version: Cell::new(1),
            lifecycle: (0..agents).map(|_| Signal::new(0)).collect(),
        });
        spawn_local(Rc::clone(&simple).follow_list());
        simple
    }

    /// Follows the endpoint list. A change reaches all agents at once after the mean delay, whatever the load of the registry.
    async fn follow_list(self: Rc<Self>) {
        let mut seen = 0;
        loop {
            let version = self.world.registry.borrow().version();
            self.list_version.set(version);
            (0..self.transports.len()).for_each(|agent| self.world.record_list_version(agent, version));
            seen = self.world.changed.wait_for(|n| n != seen).await;
            self.world.changed.wait_for(|_| !self.world.registry.borrow().is_down()).await;
            sleep(Duration::from_micros(self.world.scenario.registry.notification_delay)).await;
        }
    }

    /// Returns whether the server is serving according to the list that the agents have.
    fn is_serving(&self, server: usize) -> bool {
        self.world.registry.borrow().state(server, self.list_version.get()) == EndpointState::Serving
    }

    fn choose(&self, agent: usize) -> Option<usize> {
        let serving: Vec<usize> =
            (0..self.world.scenario.fleet.servers).filter(|&server| self.is_serving(server)).collect();
        if serving.is_empty() {
            return None;
        }
        let mut rng = self.rng.borrow_mut();
        let mut draw = || serving[rng.random_range(0..serving.len())];
        let in_flight = &self.in_flight.borrow()[agent];
        Some(match self.policy {
            Policy::Heronhoist | Policy::Random => draw(),
            Policy::RoundRobin => {
                let position = &mut self.turns.borrow_mut()[agent];
                *position += 1;
                serving[*position % serving.len()]
            }
            Policy::TwoChoices => {
                let (a, b) = (draw(), draw());
                if in_flight[b] < in_flight[a] {
                    b
                } else {
                    a
                }
            }
            Policy::OneWithMemory => {
                let remembered = &mut self.remembered.borrow_mut()[agent];
                let candidate = draw();
                if in_flight[candidate] <= in_flight[*remembered] || !serving.contains(remembered) {
                    *remembered = candidate;
                }
                *remembered
            }
            Policy::LeastLoaded => {
                let start = draw();
                let servers = self.world.servers.borrow();
                let key = |&server: &usize| {
                    let unreachable = servers[server].reachability() != crate::server_model::Reachability::Up;
                    (unreachable, servers[server].load(), server.wrapping_sub(start))
                };
                serving.iter().copied().min_by_key(key).unwrap_or(start)
            }
        })
    }
}

/// Counts one request of an agent at a server as in flight until it ends or is cancelled.
struct InFlight<'a>(&'a RefCell<Vec<Vec<u32>>>, usize, usize);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.borrow_mut()[self.1][self.2] -= 1;
    }
}

impl<R: Transport> SimplePolicy<R> {
    async fn send(&self, agent: usize, request: ClientRequest) -> AgentReply {
        let deadline = Instant::now() + request.budget;
        let repeat_effect = self.world.scenario.classes[request.class].repeat_effect;
        for n in 0..self.world.scenario.settings.max_attempts {
            let Some(server) = self.choose(agent) else {
                return AgentReply::Response(ClientResponse::Rejected(None));
            };
            self.in_flight.borrow_mut()[agent][server] += 1;
            let _in_flight = InFlight(&self.in_flight, agent, server);
            let may_send = || self.is_serving(server);
            let attempt = self.transports[agent].attempt(server, &request, &may_send);
            match timeout_at(deadline, attempt).await {
                Ok(Outcome::Success) => return AgentReply::Response(ClientResponse::Success),
                Ok(outcome) if outcome.proves_not_executed() || repeat_effect == RepeatEffect::Harmless => {}
                Ok(_) | Err(_) => return AgentReply::Response(ClientResponse::Failed),
            }
            sleep(Duration::from_millis(1 << n.min(5))).await;
        }
        AgentReply::Response(ClientResponse::Rejected(None))
    }
}

impl<R: Transport> Agents for SimplePolicy<R> {
    async fn handle_request(&self, agent: usize, request: ClientRequest) -> AgentReply {
        let lifecycle = &self.lifecycle[agent];
        let state = lifecycle.get();
        if state % 2 == 1 {
            return AgentReply::Unreachable;
        }
        tokio::select! {
            biased;
            _ = lifecycle.wait_for(|now| now != state) => AgentReply::AgentDied,
            reply = self.send(agent, request) => reply,
        }
    }

    /// Kill, stop and start events change the state of an agent; upgrades and reloads need no action.
    fn apply_agent_event(self: &Rc<Self>, agent: usize, kind: EventKind) {
        let state = self.lifecycle[agent].get();
        let stops = matches!(kind, EventKind::KillAgent | EventKind::StopAgent) && state % 2 == 0;
        if stops || (kind == EventKind::StartAgent && state % 2 == 1) {
            self.lifecycle[agent].set(state + 1);
        }
    }
}
