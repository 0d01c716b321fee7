//! Virtual mode: the engine with its decision module, or a plain policy, in simulated time. One thread, tasks in the order
//! in which they become ready, and every draw from a seed, so that a run can be repeated to the byte.

use crate::judge::{judge, Answer, Ledger, Offered, Repeats, Verdict};
use crate::policy::{Plain, Policy};
use crate::scenario::{Event, Scenario, What};
use crate::world::{Fate, Micros, Reach, Server};
use hdrhistogram::Histogram;
use heronhoist_decision::{ClassId, Outcome, ServerId};
use heronhoist_engine::*;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, Instant};

/// How a run went.
#[derive(Debug, Clone)]
pub struct Run {
    /// What the judge found.
    pub verdict: Verdict,
    /// Requests offered.
    pub requests: usize,
    /// Attempts sent.
    pub sends: usize,
    /// Times of served requests in microseconds, from when each was meant to be sent.
    pub times: Histogram<u64>,
    /// A digest of the whole ledger, by which two runs can be told apart.
    pub digest: u64,
}

/// A connection that is not up by then has failed.
const CONNECT_WAIT: Duration = Duration::from_millis(250);

/// A request on its way.
pub struct Call {
    id: usize,
    work: Micros,
}

impl Payload for Call {}

/// The servers, and the ledger of what happens on them.
pub struct World {
    start: Instant,
    one_way: Duration,
    /// The truth about each server.
    pub servers: RefCell<Vec<Server>>,
    ledger: RefCell<Ledger>,
}

impl World {
    /// The time of the run.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// One attempt at a server; `may_send` is asked when the first byte could go.
    pub async fn attempt(&self, server: usize, call: &Call, may_send: impl Fn() -> bool) -> Outcome {
        sleep(self.one_way).await;
        let reach = self.servers.borrow()[server].reach();
        match reach {
            Reach::Up => {}
            Reach::Down => return Outcome::ConnectFailed,
            Reach::Silent => {
                sleep(CONNECT_WAIT).await;
                return Outcome::ConnectFailed;
            }
        }
        if !may_send() {
            return Outcome::NotSent;
        }
        self.ledger.borrow_mut().sends.push((self.now(), server));
        sleep(self.one_way).await;
        let now = self.now();
        let fate = self.servers.borrow_mut()[server].offer(now, call.work);
        match fate {
            Fate::Answers(at, life) => {
                self.ledger.borrow_mut().requests[call.id].runs.push((now, server));
                sleep_until(self.start + Duration::from_micros(at)).await;
                sleep(self.one_way).await;
                let (is_same, reach) = {
                    let servers = self.servers.borrow();
                    (servers[server].life() == life, servers[server].reach())
                };
                match (is_same, reach) {
                    (true, Reach::Up) => Outcome::Success,
                    (true, Reach::Down | Reach::Silent) => std::future::pending().await,
                    (false, _) => Outcome::ConnectionReset,
                }
            }
            Fate::Rejected => {
                sleep(self.one_way).await;
                Outcome::Rejected
            }
            Fate::Down => Outcome::ConnectionReset,
            Fate::Silent => std::future::pending().await,
        }
    }
}

/// How an agent of ours reaches the servers.
struct Simulated(Rc<World>);

impl Upstream for Simulated {
    type Address = usize;
    type Call = Call;
    type Answer = ();

    async fn attempt(&self, place: Place<usize>, call: &Call, gate: Gate<'_>) -> Ended<()> {
        let outcome = self.0.attempt(place.address, call, || gate.open()).await;
        Ended { answer: (outcome == Outcome::Success).then_some(()), ..outcome.into() }
    }

    async fn probe(&self, _: Place<usize>) -> Ended<()> {
        Outcome::NotSent.into()
    }
    fn close_idle(&self, _: ServerId) {}
    fn retire(&self, _: &dyn Fn(ServerId, u64) -> bool) {}
}

/// A request that is to be sent.
struct Arrival {
    at: Micros,
    agent: usize,
    class: usize,
    work: Micros,
}

/// All arrivals are drawn ahead, so that a slow answer never slows the next.
fn arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let shares: f64 = scenario.classes.iter().map(|class| class.share).sum();
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / scenario.rate * 1e6;
        if at >= scenario.length as f64 {
            return arrivals;
        }
        let mut left = rng.random::<f64>() * shares;
        let drawn = scenario.classes.iter().position(|class| {
            left -= class.share;
            left < 0.0
        });
        let class = drawn.unwrap_or(scenario.classes.len() - 1);
        let mix = &scenario.classes[class];
        // Its mean is the class's work, however wide it is.
        let scale =
            LogNormal::new(-mix.spread * mix.spread / 2.0, mix.spread).map_or(1.0, |d| d.sample(&mut rng));
        let work = (mix.work as f64 * scale).max(1.0) as Micros;
        arrivals.push(Arrival { at: at as Micros, agent: rng.random_range(0..scenario.agents), class, work });
    }
}

/// Plays a scenario with a seed.
pub fn play(scenario: &Scenario, policy: Policy, seed: u64) -> Run {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.expect("a runtime without sockets");
    LocalSet::new().block_on(&runtime, run(scenario, policy, seed))
}

type Members = Vec<Member<usize>>;

fn members(states: &[State], lives: &[Option<Micros>]) -> Members {
    let line = |(server, state): (usize, &State)| Member {
        state: *state,
        started: lives[server].map(heronhoist_decision::Time),
        ..Member::serving(&format!("s{server}"), server)
    };
    states.iter().enumerate().map(line).collect()
}

async fn run(scenario: &Scenario, policy: Policy, seed: u64) -> Run {
    let world = Rc::new(World {
        start: Instant::now(),
        one_way: Duration::from_micros(scenario.one_way),
        servers: RefCell::new(vec![Server::new(scenario.kind.clone()); scenario.servers]),
        ledger: RefCell::default(),
    });
    let states = vec![State::Serving; scenario.servers];
    let first = members(&states, &vec![None; scenario.servers]);
    let (tell, told) = watch::channel(first.clone());
    let mut agents = Vec::new();
    if policy == Policy::Heronhoist {
        for agent in 0..scenario.agents {
            let setup = Setup {
                name: format!("a{agent}"),
                settings: scenario.settings.clone(),
                seed: seed.wrapping_mul(1_000_003).wrapping_add(agent as u64),
                names: ServerNames::default(),
                known: Some(List { version: 0, whole: true, members: first.clone() }),
                known_stands: true,
                epoch: Some(heronhoist_decision::Time(0)),
                upstream: Simulated(Rc::clone(&world)),
                requests: Quota::alone(100_000),
            };
            let pool = Pool::new(setup).expect("a scenario's settings are usable");
            spawn_local(pool.clone().run(Box::new(Fixed::new(told.clone()))));
            agents.push(pool);
        }
    }
    let timeline = spawn_local(play_faults(Rc::clone(&world), scenario.clone(), tell));
    let arrivals = arrivals(scenario, seed);
    let pending = Rc::new(Cell::new(0_usize));
    let plain = Rc::new(Plain::new(policy, Rc::clone(&world), told, scenario.agents, !seed));
    for arrival in &arrivals {
        sleep_until(world.start + Duration::from_micros(arrival.at)).await;
        let mix = &scenario.classes[arrival.class];
        let id = {
            let mut ledger = world.ledger.borrow_mut();
            ledger.requests.push(Offered {
                at: world.now(),
                class: arrival.class,
                repeats: mix.repeats,
                answers: Vec::new(),
                runs: Vec::new(),
            });
            ledger.requests.len() - 1
        };
        let call = Call { id, work: arrival.work };
        let budget = Duration::from_micros(mix.deadline);
        let agent = agents.get(arrival.agent).cloned();
        let (world, pending, plain) = (Rc::clone(&world), Rc::clone(&pending), Rc::clone(&plain));
        let (number, class, attempts) = (arrival.agent, arrival.class, scenario.settings.max_attempts);
        let once = mix.repeats == Repeats::Doubled;
        pending.set(pending.get() + 1);
        spawn_local(async move {
            let answer = match agent {
                Some(pool) => ask(&pool, call, class, budget).await,
                None => plain.ask(number, call, (attempts, once), budget).await,
            };
            let now = world.now();
            world.ledger.borrow_mut().requests[id].answers.push((now, answer));
            pending.set(pending.get() - 1);
        });
    }
    while pending.get() > 0 {
        sleep(Duration::from_millis(10)).await;
    }
    let _ = timeline.await;
    agents.iter().for_each(Pool::close);
    let mut ledger = world.ledger.take();
    ledger.falls = world.servers.borrow().iter().map(|server| server.falls).sum();
    told_run(scenario, &ledger)
}

fn told_run(scenario: &Scenario, ledger: &Ledger) -> Run {
    let classes: Vec<_> = scenario.classes.iter().map(|class| (class.aim, class.deadline)).collect();
    let mut times = Histogram::new(3).expect("three digits are kept");
    // FNV-1a over all that happened.
    let mut digest = 0xcbf2_9ce4_8422_2325_u64;
    let mut mix = |value: u64| digest = (digest ^ value).wrapping_mul(0x0100_0000_01b3);
    for request in &ledger.requests {
        for (at, answer) in &request.answers {
            mix(*at);
            mix(*answer as u64);
            if *answer == Answer::Served {
                let _ = times.record(at - request.at);
            }
        }
        request.runs.iter().for_each(|(at, server)| mix(at ^ *server as u64));
    }
    let verdict = judge(ledger, &classes, scenario.settings.drain_grace.0);
    Run { verdict, requests: ledger.requests.len(), sends: ledger.sends.len(), times, digest }
}

async fn ask(pool: &Pool<Simulated>, call: Call, class: usize, budget: Duration) -> Answer {
    let owed = pool.submit(Exchange::new(call, ClassId(class), budget));
    match owed {
        Err(_) => Answer::Refused,
        Ok(owed) => match owed.answer(|| {}).await {
            Final::Served(()) => Answer::Served,
            Final::Refused(_) => Answer::Refused,
            Final::Failed | Final::OutOfTime | Final::Unfinished => Answer::Failed,
        },
    }
}

/// Plays the timeline of faults; the list follows later.
async fn play_faults(world: Rc<World>, scenario: Scenario, tell: watch::Sender<Members>) {
    let states = Rc::new(RefCell::new(vec![State::Serving; scenario.servers]));
    let lives = Rc::new(RefCell::new(vec![None; scenario.servers]));
    let tell = Rc::new(tell);
    for Event { at, what, servers } in scenario.events.clone() {
        sleep_until(world.start + Duration::from_micros(at)).await;
        let now = world.now();
        for server in servers.clone() {
            let mut all = world.servers.borrow_mut();
            match what {
                What::Kill => all[server].kill(),
                What::Start => {
                    all[server].start(now);
                    lives.borrow_mut()[server] = Some(now);
                }
                What::Drain => {}
                What::Cut => all[server].cut(true),
                What::Mend => all[server].cut(false),
                What::Pace(pace) => all[server].set_pace(pace),
            }
            let state = match what {
                What::Kill => State::Gone,
                What::Start => State::Serving,
                What::Drain => State::Draining,
                What::Cut | What::Mend | What::Pace(_) => continue,
            };
            states.borrow_mut()[server] = state;
            let told_at = now + scenario.told_after;
            let mut ledger = world.ledger.borrow_mut();
            match state {
                State::Serving => {
                    for off in ledger.off.iter_mut().filter(|off| off.0 == server && off.2.is_none()) {
                        off.2 = Some(told_at);
                    }
                }
                State::Draining | State::Gone => ledger.off.push((server, told_at, None)),
            }
        }
        let (states, lives, tell) = (Rc::clone(&states), Rc::clone(&lives), Rc::clone(&tell));
        let late = Duration::from_micros(scenario.told_after);
        spawn_local(async move {
            sleep(late).await;
            let list = members(&states.borrow(), &lives.borrow());
            tell.send_replace(list);
        });
    }
    sleep(Duration::from_micros(scenario.told_after)).await;
    sleep(Duration::from_millis(1)).await;
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::judge::Rule;
    use crate::scenario::parse;

    fn scenario(fleet: &str, rate: f64, faults: &str) -> Scenario {
        let source = format!(
            "name = \"small\"\nlength_ms = 8000\n[fleet]\n{fleet}\n[agents]\ncount = 5\n[clients]\nrate_per_s = {rate}\n\
             [[class]]\nname = \"read\"\neffect = \"idempotent\"\nwork_ms = 10\naim_ms = 200\ndeadline_ms = 1000\n\
             [[class]]\nname = \"once\"\neffect = \"at_most_once\"\nwork_ms = 10\naim_ms = 200\ndeadline_ms = 1000\n{faults}"
        );
        parse(&source).unwrap_or_else(|faults| panic!("{faults:?}"))
    }

    const RELEASE: &str = "[[fault]]\nat_ms = 1000\nwhat = \"drain\"\nserver = 0\n\
        [[fault]]\nat_ms = 2500\nwhat = \"kill\"\nserver = 0\n\
        [[fault]]\nat_ms = 3000\nwhat = \"start\"\nserver = 0\n\
        [[fault]]\nat_ms = 4000\nwhat = \"kill\"\nserver = 1\n";

    #[test]
    fn a_run_is_the_same_each_time_and_other_with_another_seed() {
        let scenario = scenario("servers = 4", 300.0, RELEASE);
        for policy in Policy::ALL {
            let (first, second) = (play(&scenario, policy, 7), play(&scenario, policy, 7));
            assert_eq!(
                (first.digest, first.requests, first.sends),
                (second.digest, second.requests, second.sends)
            );
            assert_ne!(first.digest, play(&scenario, policy, 8).digest);
        }
    }

    #[test]
    fn the_engine_keeps_the_rules_through_a_release_and_a_kill() {
        let scenario = scenario("servers = 4", 300.0, RELEASE);
        for seed in 1..=3 {
            let run = play(&scenario, Policy::Heronhoist, seed);
            assert_eq!(run.verdict.breaches, Default::default(), "seed {seed}");
            assert!(run.requests > 2000 && run.sends > 1000 && run.times.len() > 1000);
            assert!(run.verdict.service.whole > 0.8, "seed {seed}: {:?}", run.verdict.service);
        }
    }

    /// What the model holds against a careless sender is seen by the judge: turns without regard push a cold server over.
    #[test]
    fn a_careless_policy_pushes_a_cold_server_over() {
        let start = "[[fault]]\nat_ms = 1000\nwhat = \"kill\"\nserver = 0\n[[fault]]\nat_ms = 1500\nwhat = \"start\"\nserver = 0\n";
        let fleet = "servers = 3\ncold_share = 0.05\nwarm_after_ms = 60000\nroom = 500";
        let careless = play(&scenario(fleet, 400.0, start), Policy::RoundRobin, 1);
        assert!(careless.verdict.breaches.contains_key(&Rule::Cold), "{:?}", careless.verdict);
        let careful = play(&scenario(fleet, 400.0, start), Policy::Heronhoist, 1);
        assert_eq!(careful.verdict.breaches, Default::default());
    }
}
