//! Shows that the engine is neutral: another protocol, with its failures, through the same pools. What ran is judged by
//! the ledgers of the stand-in servers and not by anything that the engine counts.
mod line;

use heronhoist_decision::{Class, DeduplicationScope, Effect, Settings, Span};
use heronhoist_engine::*;
use heronhoist_routing::{Attributes, Conditions, Rule, Table};
use line::*;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::task::{spawn_local, yield_now, JoinHandle, LocalSet};
use tokio::time::timeout;

/// Classes by their effects: idempotent, at most once, and deduplicated by all servers.
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

type EndpointSender = watch::Sender<Vec<EndpointInfo<SocketAddr>>>;

struct Fixture {
    pool: Pool<Lines>,
    endpoints: EndpointSender,
    run: JoinHandle<()>,
}

fn endpoints(servers: &[&StandIn], state: impl Fn(usize) -> EndpointState) -> Vec<EndpointInfo<SocketAddr>> {
    let line = |(n, server): (usize, &&StandIn)| EndpointInfo {
        state: state(n),
        ..EndpointInfo::serving(&format!("s{n}"), server.address)
    };
    servers.iter().enumerate().map(line).collect()
}

fn fixture_with(quota: &Rc<Quota>, servers: &[&StandIn], settings: Settings) -> Fixture {
    let lines = endpoints(servers, |_| EndpointState::Serving);
    let (sender, receiver) = watch::channel(lines.clone());
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
    let run = spawn_local(pool.clone().run(Box::new(StaticEndpoints::new(receiver))));
    Fixture { pool, endpoints: sender, run }
}

fn fixture(servers: &[&StandIn], settings: Settings) -> Fixture {
    fixture_with(&Quota::new(1000), servers, settings)
}

fn is_success(response: &Result<FinalResponse<String>, Rejection>) -> bool {
    matches!(response, Ok(FinalResponse::Success(_)))
}

/// A server dies during attempts: idempotent requests are served by the other, and what must not run twice has not.
#[tokio::test]
async fn a_server_killed_during_attempts() {
    let test = async {
        let (mut first, second) =
            (StandIn::new(Behaviour::Hold).await, StandIn::new(Behaviour::Answer).await);
        let fixture = fixture(&[&first, &second], settings(500.0));
        let requests: Vec<_> = (0..40)
            .map(|n| {
                let pool = fixture.pool.clone();
                let class = if n % 2 == 0 { READ } else { ONCE };
                spawn_local(async move { (n, class, call(&pool, &format!("r{n}"), class).await) })
            })
            .collect();
        first.wait_for(2).await;
        first.kill().await;
        let mut failed = 0;
        for request in requests {
            let (n, class, response) = request.await.unwrap();
            match class {
                READ => assert!(is_success(&response), "r{n}: {response:?}"),
                _ => failed += usize::from(!is_success(&response)),
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

/// Once the gate has closed nothing new is sent, while the requests that the server has are finished there.
#[tokio::test]
async fn a_drain_during_attempts() {
    let test = async {
        let (first, second) = (StandIn::new(Behaviour::Hold).await, StandIn::new(Behaviour::Answer).await);
        let fixture = fixture(&[&first, &second], settings(0.0));
        let pool = fixture.pool.clone();
        let open: Vec<_> = (0..8)
            .map(|n| {
                let pool = pool.clone();
                spawn_local(async move { call(&pool, &format!("held{n}"), ONCE).await })
            })
            .collect();
        first.wait_for(1).await;
        fixture.endpoints.send_replace(endpoints(&[&first, &second], |n| {
            if n == 0 {
                EndpointState::Draining
            } else {
                EndpointState::Serving
            }
        }));
        while fixture.pool.stats().excluded == 0 {
            yield_now().await;
        }
        // Connections that were being made when the drain began must not be written to: the grace is over.
        let heard = first.received.get();
        for n in 0..50 {
            assert!(is_success(&call(&pool, &format!("new{n}"), READ).await));
        }
        assert_eq!(first.received.get(), heard, "something new was sent to a server that drains");
        first.release_held();
        for open in open {
            assert!(is_success(&open.await.unwrap()), "what it had is finished");
        }
        assert!(ledger(&[&first, &second]).values().all(|&runs| runs == 1));
    };
    LocalSet::new().run_until(test).await;
}

/// The connection breaks after the last byte: the request may have run, so it is not retried, and is answered at once.
#[tokio::test]
async fn an_at_most_once_class_whose_connection_breaks_after_the_last_byte() {
    let test = async {
        let (first, second) = (StandIn::new(Behaviour::Break).await, StandIn::new(Behaviour::Break).await);
        let fixture = fixture(&[&first, &second], settings(500.0));
        for n in 0..10 {
            let response = call(&fixture.pool, &format!("once{n}"), ONCE).await;
            assert!(!is_success(&response), "{response:?}");
        }
        let runs = ledger(&[&first, &second]);
        assert!(!runs.is_empty() && runs.values().all(|&runs| runs == 1), "{runs:?}");
        // One that the servers deduplicate is retried; that the ledger shows both runs shows that it would show others.
        let _ = call(&fixture.pool, "keyed", KEYED).await;
        assert!(ledger(&[&first, &second])["keyed"] > 1);
        first.behaviour.set(Behaviour::Answer);
        second.behaviour.set(Behaviour::Answer);
    };
    LocalSet::new().run_until(test).await;
}

/// A rejected request may be retried on another server, whatever its class, and runs once.
#[tokio::test]
async fn a_rejected_request_is_retried_on_another_server() {
    let test = async {
        let (first, second) = (StandIn::new(Behaviour::Busy).await, StandIn::new(Behaviour::Answer).await);
        let fixture = fixture(&[&first, &second], settings(500.0));
        for n in 0..20 {
            assert!(is_success(&call(&fixture.pool, &format!("once{n}"), ONCE).await));
        }
        assert!(first.ran.borrow().is_empty() && first.received.get() > 0);
        assert_eq!(ledger(&[&second]).values().filter(|&&runs| runs == 1).count(), 20);
    };
    LocalSet::new().run_until(test).await;
}

/// An idempotent request is hedged where its first attempt hangs; one response comes, and a class that must not run twice is
/// not hedged.
#[tokio::test]
async fn a_hedged_request_saves_one_that_hangs() {
    let test = async {
        let servers = [StandIn::new(Behaviour::Answer).await, StandIn::new(Behaviour::Answer).await];
        let both = [&servers[0], &servers[1]];
        let fixture = fixture(&both, settings(500.0));
        // How long responses take has to be known first.
        for n in 0..30 {
            assert!(is_success(&call(&fixture.pool, &format!("quick{n}"), READ).await));
        }
        servers[0].behaviour.set(Behaviour::Hold);
        // So many at once that some go to the one that hangs.
        let slow: Vec<_> = (0..16)
            .map(|n| {
                let pool = fixture.pool.clone();
                spawn_local(async move { call(&pool, &format!("slow{n}"), READ).await })
            })
            .collect();
        for response in slow {
            assert!(is_success(&response.await.unwrap()));
        }
        let hung: Vec<String> =
            servers[0].ran.borrow().iter().filter(|n| n.starts_with("slow")).cloned().collect();
        assert!(!hung.is_empty() && hung.iter().all(|name| ledger(&both)[name] == 2), "{hung:?}");
        for n in 0..4 {
            let _ = call(&fixture.pool, &format!("once{n}"), ONCE).await;
        }
        servers[0].release_held();
        assert!(ledger(&both)
            .iter()
            .filter(|(name, _)| name.starts_with("once"))
            .all(|(_, &runs)| runs == 1));
    };
    LocalSet::new().run_until(test).await;
}

/// A reload moves a route under load and removes the pool that it led to: requests that are open there end as they began,
/// nothing new comes after, and each request has its one response.
#[tokio::test]
async fn a_reload_moves_a_route_under_load() {
    let test = async {
        let (old, new) = (StandIn::new(Behaviour::Hold).await, StandIn::new(Behaviour::Answer).await);
        let quota = Quota::new(1000);
        let (before, after) =
            (fixture_with(&quota, &[&old], settings(500.0)), fixture_with(&quota, &[&new], settings(500.0)));
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
            spawn_local(async move { call(&pool, &format!("r{n}"), ONCE).await })
        };
        let first: Vec<_> = (0..20).map(|n| send(&table, n)).collect();
        old.wait_for(1).await;
        table = to(1);
        before.pool.close();
        let second: Vec<_> = (20..60).map(|n| send(&table, n)).collect();
        for response in second {
            assert!(is_success(&response.await.unwrap()));
        }
        assert!(matches!(call(&before.pool, "late", ONCE).await, Err(Rejection::PoolClosed(_))));
        assert!(!before.run.is_finished(), "requests are open in it");
        old.release_held();
        for response in first {
            assert!(is_success(&response.await.unwrap()), "it ends under the rules that it began with");
        }
        timeout(BOUND, before.run).await.expect("a closed pool ends with its last request").unwrap();
        let runs = ledger(&[&old, &new]);
        assert_eq!((runs.len(), runs.values().sum::<usize>()), (60, 60));
        assert!((20..60).all(|n| new.ran.borrow().contains(&format!("r{n}"))));
    };
    LocalSet::new().run_until(test).await;
}

/// Two pools share what the process may hold. One pool's servers all hang and take what they can get; the other goes on
/// serving, and what finds no capacity is rejected at once with a time after which to retry.
#[tokio::test]
async fn a_pool_that_hangs_does_not_starve_the_other() {
    let test = async {
        let (mute, quick) = (StandIn::new(Behaviour::Hold).await, StandIn::new(Behaviour::Answer).await);
        let quota = Quota::new(40);
        let (hangs, goes) = (
            fixture_with(&quota, &[&mute], settings(500.0)),
            fixture_with(&quota, &[&quick], settings(500.0)),
        );
        let requests: Vec<_> = (0..100)
            .map(|n| {
                let pool = hangs.pool.clone();
                spawn_local(async move { call(&pool, &format!("mute{n}"), READ).await })
            })
            .collect();
        while hangs.pool.stats().open_requests < 30 {
            yield_now().await;
        }
        for n in 0..200 {
            assert!(is_success(&call(&goes.pool, &format!("quick{n}"), READ).await));
        }
        mute.release_held();
        let mut rejected = 0;
        for response in requests {
            match response.await.unwrap() {
                Err(Rejection::PoolFull(after)) if after > Span::ZERO => rejected += 1,
                _ => {}
            }
        }
        assert_eq!(rejected, 70, "40 in all, of which 10 are the other pool's own");
    };
    LocalSet::new().run_until(test).await;
}

/// The checker itself: it shows a request that ran twice.
#[tokio::test]
async fn a_planted_second_run_shows_in_the_ledger() {
    let test = async {
        let server = StandIn::new(Behaviour::Answer).await;
        let fixture = fixture(&[&server], settings(500.0));
        // The same name twice, one after the other, as a program would that forgot its rules.
        for _ in 0..2 {
            assert!(is_success(&call(&fixture.pool, "planted", ONCE).await));
            while fixture.pool.stats().open_requests > 0 {
                yield_now().await;
            }
        }
        assert_eq!(ledger(&[&server])["planted"], 2);
    };
    LocalSet::new().run_until(test).await;
}
