//! Plain policies to stand beside the engine's: they try again what may run again, and know nothing more.

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

/// Who chooses the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The engine with its decision module.
    Heronhoist,
    /// Uniform draws.
    Random,
    /// Each server in its turn, by each agent.
    RoundRobin,
    /// Two uniform draws, the one to which the agent itself has less in flight.
    TwoChoices,
    /// The paper's plain rule: one draw and the lightest one that is remembered, by the agent's own in flight.
    OneWithMemory,
    /// The server that truly holds least among those that can be reached: a ceiling, since no agent can see that.
    LeastLoaded,
}

impl Policy {
    /// All of them, in the order of tables.
    pub const ALL: [Policy; 6] = [
        Policy::Heronhoist,
        Policy::Random,
        Policy::RoundRobin,
        Policy::TwoChoices,
        Policy::OneWithMemory,
        Policy::LeastLoaded,
    ];

    /// As on the command line.
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

/// A way to servers, simulated or over sockets.
pub trait Transport: 'static {
    /// One attempt; `may_send` is asked when the first byte could go.
    fn attempt(
        &self,
        server: usize,
        ask: &ClientRequest,
        may_send: &dyn Fn() -> bool,
    ) -> impl Future<Output = Outcome>;
}

/// All agents of a plain policy.
pub struct PlainPolicy<R> {
    policy: Policy,
    world: Rc<World>,
    ways: Vec<Rc<R>>,
    draws: RefCell<Pcg64>,
    /// By agent and server.
    in_flight: RefCell<Vec<Vec<u32>>>,
    turns: RefCell<Vec<usize>>,
    /// The server that each agent remembers.
    remembered: RefCell<Vec<usize>>,
    /// The version of the list that all of them have heard.
    heard: Cell<i64>,
    /// Which life of each agent this is; an odd one is a pause between two.
    lives: Vec<Signal<u32>>,
}

impl<R: Transport> PlainPolicy<R> {
    /// Agents with nothing in flight, each with its own way.
    pub fn new(policy: Policy, world: Rc<World>, ways: Vec<Rc<R>>, seed: u64) -> Rc<Self> {
        let (servers, agents) = (world.scenario.fleet.servers, ways.len());
        let plain = Rc::new(PlainPolicy {
            policy,
            world,
            ways,
            draws: RefCell::new(Pcg64::seed_from_u64(seed)),
            in_flight: RefCell::new(vec![vec![0; servers]; agents]),
            turns: RefCell::new((0..agents).collect()),
            remembered: RefCell::new(vec![0; agents]),
            heard: Cell::new(1),
            lives: (0..agents).map(|_| Signal::new(0)).collect(),
        });
        spawn_local(Rc::clone(&plain).hear());
        plain
    }

    /// They hear of changes as late as others do, though all at once and whatever room discovery has.
    async fn hear(self: Rc<Self>) {
        let mut seen = 0;
        loop {
            let version = self.world.registry.borrow().version();
            self.heard.set(version);
            (0..self.ways.len()).for_each(|agent| self.world.record_list_version(agent, version));
            seen = self.world.changed.wait_for(|n| n != seen).await;
            self.world.changed.wait_for(|_| !self.world.registry.borrow().is_down()).await;
            sleep(Duration::from_micros(self.world.scenario.registry.notification_delay)).await;
        }
    }

    /// What the list says, as far as they have heard.
    fn serves(&self, server: usize) -> bool {
        self.world.registry.borrow().state(server, self.heard.get()) == EndpointState::Serving
    }

    fn choose(&self, agent: usize) -> Option<usize> {
        let open: Vec<usize> =
            (0..self.world.scenario.fleet.servers).filter(|&server| self.serves(server)).collect();
        if open.is_empty() {
            return None;
        }
        let mut draws = self.draws.borrow_mut();
        let mut draw = || open[draws.random_range(0..open.len())];
        let own = &self.in_flight.borrow()[agent];
        Some(match self.policy {
            Policy::Heronhoist | Policy::Random => draw(),
            Policy::RoundRobin => {
                let turn = &mut self.turns.borrow_mut()[agent];
                *turn += 1;
                open[*turn % open.len()]
            }
            Policy::TwoChoices => {
                let (a, b) = (draw(), draw());
                if own[b] < own[a] {
                    b
                } else {
                    a
                }
            }
            Policy::OneWithMemory => {
                let remembered = &mut self.remembered.borrow_mut()[agent];
                let fresh = draw();
                if own[fresh] <= own[*remembered] || !open.contains(remembered) {
                    *remembered = fresh;
                }
                *remembered
            }
            Policy::LeastLoaded => {
                let from = draw();
                let servers = self.world.servers.borrow();
                let key = |&server: &usize| {
                    let cut = servers[server].reach() != crate::server_model::Reachability::Up;
                    (cut, servers[server].load(), server.wrapping_sub(from))
                };
                open.iter().copied().min_by_key(key).unwrap_or(from)
            }
        })
    }
}

/// One request of an agent at a server, until it ends or is called off.
struct InFlight<'a>(&'a RefCell<Vec<Vec<u32>>>, usize, usize);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.borrow_mut()[self.1][self.2] -= 1;
    }
}

impl<R: Transport> PlainPolicy<R> {
    async fn send(&self, agent: usize, ask: ClientRequest) -> AgentReply {
        let deadline = Instant::now() + ask.budget;
        let repeat_effect = self.world.scenario.classes[ask.class].repeat_effect;
        for n in 0..self.world.scenario.settings.max_attempts {
            let Some(server) = self.choose(agent) else {
                return AgentReply::Response(ClientResponse::Rejected(None));
            };
            self.in_flight.borrow_mut()[agent][server] += 1;
            let _in_flight = InFlight(&self.in_flight, agent, server);
            let may_send = || self.serves(server);
            let attempt = self.ways[agent].attempt(server, &ask, &may_send);
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

impl<R: Transport> Agents for PlainPolicy<R> {
    async fn handle_request(&self, agent: usize, ask: ClientRequest) -> AgentReply {
        let lives = &self.lives[agent];
        let life = lives.get();
        if life % 2 == 1 {
            return AgentReply::Unreachable;
        }
        tokio::select! {
            biased;
            _ = lives.wait_for(|now| now != life) => AgentReply::AgentDied,
            reply = self.send(agent, ask) => reply,
        }
    }

    /// They die and return like any other; what asks one to stop or to take over needs nothing of them.
    fn apply_agent_event(self: &Rc<Self>, agent: usize, what: EventKind) {
        let life = self.lives[agent].get();
        let dies = matches!(what, EventKind::KillAgent | EventKind::StopAgent) && life % 2 == 0;
        if dies || (what == EventKind::StartAgent && life % 2 == 1) {
            self.lives[agent].set(life + 1);
        }
    }
}
