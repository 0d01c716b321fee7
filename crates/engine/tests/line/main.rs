//! Proof that the engine is neutral: another protocol, with its failures, through the same pools. What ran is judged by
//! the ledgers of the stand-in servers and not by anything that the engine counts.
mod line;

use heronhoist_decision::{Class, DeduplicationScope, Effect, Settings, Span};
use heronhoist_engine::*;
use heronhoist_routes::{Attributes, Conditions, Rule, Table};
use line::*;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::task::{spawn_local, yield_now, JoinHandle, LocalSet};
use tokio::time::timeout;

/// Classes by their effects: may be repeated, must not run twice, and dropped as a repeat by all servers.
const READ: usize = 0;
const ONCE: usize = 1;
const KEYED: usize = 2;

fn settings(grace_ms: f64) -> Settings {
    let class = |effect| Class {
        effect,
        latency_objective: Span::from_ms(2000.0),
        deadline: Span::from_ms(5000.0),
        ..Class::default()
    };
    let keyed = Effect::Deduplicated { scope: DeduplicationScope::All, window: Span::from_ms(60_000.0) };
    Settings {
        classes: vec![class(Effect::Idempotent), class(Effect::AtMostOnce), class(keyed)],
        drain_grace: Span::from_ms(grace_ms),
        hedging: true,
        retry_after: true,
        ..Settings::default()
    }
}

type Members = watch::Sender<Vec<EndpointInfo<SocketAddr>>>;

struct World {
    pool: Pool<Lines>,
    members: Members,
    run: JoinHandle<()>,
}

fn members(servers: &[&StandIn], state: impl Fn(usize) -> EndpointState) -> Vec<EndpointInfo<SocketAddr>> {
    let line = |(n, server): (usize, &&StandIn)| EndpointInfo {
        state: state(n),
        ..EndpointInfo::serving(&format!("s{n}"), server.address)
    };
    servers.iter().enumerate().map(line).collect()
}

fn world_of(quota: &Rc<Quota>, servers: &[&StandIn], settings: Settings) -> World {
    let lines = members(servers, |_| EndpointState::Serving);
    let (tell, told) = watch::channel(lines.clone());
    let pool = Pool::new(PoolOptions {
        name: "lines".into(),
        settings,
        seed: 7,
        server_names: ServerNames::default(),
        initial_list: Some(EndpointList { version: 0, is_complete: true, endpoints: lines }),
        continues_versions: true,
        epoch: None,
        upstream: Lines,
        request_quota: quota.share(),
    });
    let pool = pool.expect("usable");
    let run = spawn_local(pool.clone().run(Box::new(StaticEndpoints::new(told))));
    World { pool, members: tell, run }
}

fn world(servers: &[&StandIn], settings: Settings) -> World {
    world_of(&Quota::new(1000), servers, settings)
}

fn served(answer: &Result<FinalResponse<String>, Rejection>) -> bool {
    matches!(answer, Ok(FinalResponse::Success(_)))
}

/// A server dies in mid-attempt: what may be repeated is served by the other, and what must not run twice has not.
#[tokio::test]
async fn a_kill_in_mid_attempt() {
    let test = async {
        let (mut first, second) = (StandIn::new(Act::Hold).await, StandIn::new(Act::Answer).await);
        let world = world(&[&first, &second], settings(500.0));
        let asks: Vec<_> = (0..40)
            .map(|n| {
                let pool = world.pool.clone();
                let class = if n % 2 == 0 { READ } else { ONCE };
                spawn_local(async move { (n, class, ask(&pool, &format!("r{n}"), class).await) })
            })
            .collect();
        first.wait(2).await;
        first.kill().await;
        let mut failed = 0;
        for asked in asks {
            let (n, class, answer) = asked.await.unwrap();
            match class {
                READ => assert!(served(&answer), "r{n}: {answer:?}"),
                _ => failed += usize::from(!served(&answer)),
            }
        }
        let runs = ledger(&[&first, &second]);
        let twice = (1..40).step_by(2).filter(|n| runs.get(&format!("r{n}")).is_some_and(|&c| c > 1));
        assert_eq!(twice.count(), 0);
        let broken =
            first.ran.borrow().iter().filter(|name| name[1..].parse::<u32>().unwrap() % 2 == 1).count();
        assert_eq!(failed, broken, "no more has failed than what the dead server had begun");
    };
    LocalSet::new().run_until(test).await;
}

/// Once the gate has closed nothing new comes, while what it holds is finished there.
#[tokio::test]
async fn a_drain_during_attempts() {
    let test = async {
        let (first, second) = (StandIn::new(Act::Hold).await, StandIn::new(Act::Answer).await);
        let world = world(&[&first, &second], settings(0.0));
        let pool = world.pool.clone();
        let held: Vec<_> = (0..8)
            .map(|n| {
                let pool = pool.clone();
                spawn_local(async move { ask(&pool, &format!("held{n}"), ONCE).await })
            })
            .collect();
        first.wait(1).await;
        world.members.send_replace(members(&[&first, &second], |n| {
            if n == 0 {
                EndpointState::Draining
            } else {
                EndpointState::Serving
            }
        }));
        while world.pool.stats().excluded == 0 {
            yield_now().await;
        }
        // Connections that were on their way when the drain was told must not be written to: the grace is over.
        let heard = first.heard.get();
        for n in 0..50 {
            assert!(served(&ask(&pool, &format!("new{n}"), READ).await));
        }
        assert_eq!(first.heard.get(), heard, "something new was sent to a server that drains");
        first.go_on();
        for held in held {
            assert!(served(&held.await.unwrap()), "what it held is finished");
        }
        assert!(ledger(&[&first, &second]).values().all(|&runs| runs == 1));
    };
    LocalSet::new().run_until(test).await;
}

/// The connection breaks after the last byte: it may have run, so it is not sent again, and is answered at once.
#[tokio::test]
async fn an_at_most_once_class_whose_connection_breaks_after_the_last_byte() {
    let test = async {
        let (first, second) = (StandIn::new(Act::Break).await, StandIn::new(Act::Break).await);
        let world = world(&[&first, &second], settings(500.0));
        for n in 0..10 {
            let answer = ask(&world.pool, &format!("once{n}"), ONCE).await;
            assert!(!served(&answer), "{answer:?}");
        }
        let runs = ledger(&[&first, &second]);
        assert!(!runs.is_empty() && runs.values().all(|&runs| runs == 1), "{runs:?}");
        // One that the servers drop as a repeat is tried again; that the ledger can show more shows that it would.
        let _ = ask(&world.pool, "keyed", KEYED).await;
        assert!(ledger(&[&first, &second])["keyed"] > 1);
        first.act.set(Act::Answer);
        second.act.set(Act::Answer);
    };
    LocalSet::new().run_until(test).await;
}

/// What was turned away unseen may go elsewhere, whatever its class, and runs once.
#[tokio::test]
async fn what_was_turned_away_goes_elsewhere() {
    let test = async {
        let (first, second) = (StandIn::new(Act::Busy).await, StandIn::new(Act::Answer).await);
        let world = world(&[&first, &second], settings(500.0));
        for n in 0..20 {
            assert!(served(&ask(&world.pool, &format!("once{n}"), ONCE).await));
        }
        assert!(first.ran.borrow().is_empty() && first.heard.get() > 0);
        assert_eq!(ledger(&[&second]).values().filter(|&&runs| runs == 1).count(), 20);
    };
    LocalSet::new().run_until(test).await;
}

/// A second copy of a request that may be repeated is sent where the first one hangs; one answer comes, and a class that
/// must not run twice gets none.
#[tokio::test]
async fn a_second_copy_saves_a_request_that_hangs() {
    let test = async {
        let servers = [StandIn::new(Act::Answer).await, StandIn::new(Act::Answer).await];
        let both = [&servers[0], &servers[1]];
        let world = world(&both, settings(500.0));
        // How long answers take has to be known first.
        for n in 0..30 {
            assert!(served(&ask(&world.pool, &format!("quick{n}"), READ).await));
        }
        servers[0].act.set(Act::Hold);
        // So many at once that some go to the one that hangs.
        let slow: Vec<_> = (0..16)
            .map(|n| {
                let pool = world.pool.clone();
                spawn_local(async move { ask(&pool, &format!("slow{n}"), READ).await })
            })
            .collect();
        for answer in slow {
            assert!(served(&answer.await.unwrap()));
        }
        let hung: Vec<String> =
            servers[0].ran.borrow().iter().filter(|n| n.starts_with("slow")).cloned().collect();
        assert!(!hung.is_empty() && hung.iter().all(|name| ledger(&both)[name] == 2), "{hung:?}");
        for n in 0..4 {
            let _ = ask(&world.pool, &format!("once{n}"), ONCE).await;
        }
        servers[0].go_on();
        assert!(ledger(&both)
            .iter()
            .filter(|(name, _)| name.starts_with("once"))
            .all(|(_, &runs)| runs == 1));
    };
    LocalSet::new().run_until(test).await;
}

/// A reload moves a route under load and removes the pool that it led to: what is under way there ends as it began,
/// nothing new comes after, and each request has its one answer.
#[tokio::test]
async fn a_reload_moves_a_route_under_load() {
    let test = async {
        let (old, new) = (StandIn::new(Act::Hold).await, StandIn::new(Act::Answer).await);
        let quota = Quota::new(1000);
        let (before, after) =
            (world_of(&quota, &[&old], settings(500.0)), world_of(&quota, &[&new], settings(500.0)));
        let to = |pool| {
            let conditions = Conditions { paths: vec!["/copies/*".into()], ..Conditions::default() };
            let rule = Rule { name: "copies".into(), priority: 0, conditions, pool };
            Table::new(vec![rule], None).expect("sound")
        };
        let request = Attributes { path: "/copies/7", ..Attributes::default() };
        let pools = [before.pool.clone(), after.pool.clone()];
        let mut table = to(0);
        let send = |table: &Table, n: usize| {
            let pool = pools[table.route(&request).expect("a route")].clone();
            spawn_local(async move { ask(&pool, &format!("r{n}"), ONCE).await })
        };
        let first: Vec<_> = (0..20).map(|n| send(&table, n)).collect();
        old.wait(1).await;
        table = to(1);
        before.pool.close();
        let second: Vec<_> = (20..60).map(|n| send(&table, n)).collect();
        for answer in second {
            assert!(served(&answer.await.unwrap()));
        }
        assert!(matches!(ask(&before.pool, "late", ONCE).await, Err(Rejection::PoolClosed(_))));
        assert!(!before.run.is_finished(), "requests are under way in it");
        old.go_on();
        for answer in first {
            assert!(served(&answer.await.unwrap()), "it ends under the rules that it began with");
        }
        timeout(BOUND, before.run).await.expect("a closed pool ends with its last request").unwrap();
        let runs = ledger(&[&old, &new]);
        assert_eq!((runs.len(), runs.values().sum::<usize>()), (60, 60));
        assert!((20..60).all(|n| new.ran.borrow().contains(&format!("r{n}"))));
    };
    LocalSet::new().run_until(test).await;
}

/// Two pools share what the process may hold. One pool's servers all hang and take what they can get; the other's answers
/// go on, and what finds no room is turned away at once with a time to come back.
#[tokio::test]
async fn a_pool_that_hangs_does_not_starve_the_other() {
    let test = async {
        let (mute, quick) = (StandIn::new(Act::Hold).await, StandIn::new(Act::Answer).await);
        let quota = Quota::new(40);
        let (hangs, goes) =
            (world_of(&quota, &[&mute], settings(500.0)), world_of(&quota, &[&quick], settings(500.0)));
        let owed: Vec<_> = (0..100)
            .map(|n| {
                let pool = hangs.pool.clone();
                spawn_local(async move { ask(&pool, &format!("mute{n}"), READ).await })
            })
            .collect();
        while hangs.pool.stats().open_requests < 30 {
            yield_now().await;
        }
        for n in 0..200 {
            assert!(served(&ask(&goes.pool, &format!("quick{n}"), READ).await));
        }
        mute.go_on();
        let mut declined = 0;
        for answer in owed {
            match answer.await.unwrap() {
                Err(Rejection::PoolFull(after)) if after > Span::ZERO => declined += 1,
                _ => {}
            }
        }
        assert_eq!(declined, 70, "40 in all, of which 10 are the other pool's own");
    };
    LocalSet::new().run_until(test).await;
}

/// The checker itself: a ledger in which something ran twice is seen as such.
#[tokio::test]
async fn a_planted_second_run_shows_in_the_ledger() {
    let test = async {
        let server = StandIn::new(Act::Answer).await;
        let world = world(&[&server], settings(500.0));
        // The same name twice, one after the other, as a program would that forgot its rules.
        for _ in 0..2 {
            assert!(served(&ask(&world.pool, "planted", ONCE).await));
            while world.pool.stats().open_requests > 0 {
                yield_now().await;
            }
        }
        assert_eq!(ledger(&[&server])["planted"], 2);
    };
    LocalSet::new().run_until(test).await;
}
