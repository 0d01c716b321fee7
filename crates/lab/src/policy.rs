//! Plain policies to stand beside the engine's: they try again what may run again, and know nothing more.

use crate::judge::Answer;
use crate::sim::{Call, World};
use heronhoist_decision::Outcome;
use heronhoist_engine::{Member, State};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{timeout_at, Instant};

/// Who chooses the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Policy {
    /// The engine with its decision module.
    Heronhoist,
    /// Uniform draws.
    Random,
    /// Each server in its turn, by each agent.
    RoundRobin,
    /// Two uniform draws, the one to which the agent itself has less in flight.
    TwoChoices,
    /// The server that truly holds least: a ceiling, since no agent can see that.
    LeastLoaded,
}

impl Policy {
    /// All of them, in the order of tables.
    pub const ALL: [Policy; 5] =
        [Policy::Heronhoist, Policy::Random, Policy::RoundRobin, Policy::TwoChoices, Policy::LeastLoaded];
}

/// All agents of a plain policy.
pub struct Plain {
    policy: Policy,
    world: Rc<World>,
    told: watch::Receiver<Vec<Member<usize>>>,
    draws: RefCell<Pcg64>,
    /// By agent and server.
    in_flight: RefCell<Vec<Vec<u32>>>,
    turns: RefCell<Vec<usize>>,
}

impl Plain {
    /// So many agents, with nothing in flight.
    pub fn new(
        policy: Policy,
        world: Rc<World>,
        told: watch::Receiver<Vec<Member<usize>>>,
        agents: usize,
        seed: u64,
    ) -> Self {
        let servers = world.servers.borrow().len();
        let (in_flight, turns) = (vec![vec![0; servers]; agents], (0..agents).collect());
        let draws = RefCell::new(Pcg64::seed_from_u64(seed));
        Plain { policy, world, told, draws, in_flight: RefCell::new(in_flight), turns: RefCell::new(turns) }
    }

    /// One request, with so many attempts; `once` if it must not run twice.
    pub async fn ask(
        &self,
        agent: usize,
        call: Call,
        (attempts, once): (u32, bool),
        budget: Duration,
    ) -> Answer {
        let deadline = Instant::now() + budget;
        for _ in 0..attempts {
            let Some(server) = self.choose(agent) else { return Answer::Refused };
            self.in_flight.borrow_mut()[agent][server] += 1;
            let may_send = || self.serves(server);
            let outcome = timeout_at(deadline, self.world.attempt(server, &call, may_send)).await;
            self.in_flight.borrow_mut()[agent][server] -= 1;
            match outcome {
                Ok(Outcome::Success) => return Answer::Served,
                Ok(outcome) if outcome.never_ran() || !once => {}
                Ok(_) | Err(_) => return Answer::Failed,
            }
        }
        Answer::Refused
    }

    fn serves(&self, server: usize) -> bool {
        self.told.borrow()[server].state == State::Serving
    }

    fn choose(&self, agent: usize) -> Option<usize> {
        let open: Vec<usize> = (0..self.told.borrow().len()).filter(|&server| self.serves(server)).collect();
        if open.is_empty() {
            return None;
        }
        let mut draws = self.draws.borrow_mut();
        let mut draw = || open[draws.random_range(0..open.len())];
        Some(match self.policy {
            Policy::Heronhoist | Policy::Random => draw(),
            Policy::RoundRobin => {
                let turn = &mut self.turns.borrow_mut()[agent];
                *turn += 1;
                open[*turn % open.len()]
            }
            Policy::TwoChoices => {
                let (a, b) = (draw(), draw());
                let own = &self.in_flight.borrow()[agent];
                if own[b] < own[a] {
                    b
                } else {
                    a
                }
            }
            Policy::LeastLoaded => {
                let (from, now) = (draw(), self.world.now());
                let servers = self.world.servers.borrow();
                let key = |&server: &usize| (servers[server].load(now), server.wrapping_sub(from));
                open.iter().copied().min_by_key(key).unwrap_or(from)
            }
        })
    }
}
