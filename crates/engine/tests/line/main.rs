//! Tests that the engine is independent of the protocol: the pools carry a protocol other than HTTP, and its
//! failures. The tests check the executions that the test servers recorded, not any counts of the engine.
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

// The classes by their effects.
const IDEMPOTENT: usize = 0;
const AT_MOST_ONCE: usize = 1;
/// Deduplicated by all servers.
const DEDUPLICATED: usize = 2;

fn settings(grace_ms: f64) -> Settings {
    let class = |effect| Class {
        effect,
        latency_objective: Span::from_ms(2000.0),
        deadline: Span::from_ms(5000.0),
        ..Class::default()
    };
    let deduplicated =
        Effect::Deduplicated { scope: DeduplicationScope::All, window: Span::from_ms(60_000.0) };
    Settings {
        classes: vec![class(Effect::Idempotent), class(Effect::AtMostOnce), class(deduplicated)],
        drain_grace: Span::from_ms(grace_ms),
        hedging: true,
        retry_after: true,
        ..Settings::default()
    }
}

type EndpointSender = watch::Sender<Vec<EndpointInfo<SocketAddr>>>;

struct Fixture {
    pool: Pool<LineUpstream>,
    endpoints: EndpointSender,
    run: JoinHandle<()>,
}

fn endpoints(
    servers: &[&TestServer],
    state: impl Fn(usize) -> EndpointState,
) -> Vec<EndpointInfo<SocketAddr>> {
    let endpoint = |(index, server): (usize, &&TestServer)| EndpointInfo {
        state: state(index),
        ..EndpointInfo::serving(&format!("s{index}"), server.address)
    };
    servers.iter().enumerate().map(endpoint).collect()
}

fn fixture_with(quota: &Rc<Quota>, servers: &[&TestServer], settings: Settings) -> Fixture {
    let initial_endpoints = endpoints(servers, |_| EndpointState::Serving);
    let (sender, receiver) = watch::channel(initial_endpoints.clone());
    let pool = Pool::new(PoolOptions {
        name: "lines".into(),
        settings,
        seed: 7,
        server_names: ServerNames::default(),
        initial_list: Some(EndpointList { version: 0, is_complete: true, endpoints: initial_endpoints }),
        continues_versions: true,
        epoch: None,
        upstream: LineUpstream,
        request_quota: quota.share(),
        claims: LocalClaims::new(9),
    });
    let pool = pool.expect("valid settings");
    let run = spawn_local(pool.clone().run(Box::new(StaticEndpoints::new(receiver))));
    Fixture { pool, endpoints: sender, run }
}

fn fixture(servers: &[&TestServer], settings: Settings) -> Fixture {
    fixture_with(&Quota::new(1000), servers, settings)
}

fn is_success(response: &Result<FinalResponse<String>, Rejection>) -> bool {
    matches!(response, Ok(FinalResponse::Success(_)))
}

/// If a server is killed during attempts, the other one must serve the idempotent requests, and no at-most-once
/// request may be executed twice.
#[tokio::test]
async fn a_server_killed_during_attempts() {
    let test = async {
        let (mut first, second) =
            (TestServer::new(Behaviour::Hold).await, TestServer::new(Behaviour::Respond).await);
        let fixture = fixture(&[&first, &second], settings(500.0));
        let requests: Vec<_> = (0..40)
            .map(|n| {
                let pool = fixture.pool.clone();
                let class = if n % 2 == 0 { IDEMPOTENT } else { AT_MOST_ONCE };
                spawn_local(async move { (n, class, call(&pool, &format!("r{n}"), class).await) })
            })
            .collect();
        first.wait_for_received(2).await;
        first.kill().await;
        let mut failed_count = 0;
        for request in requests {
            let (n, class, response) = request.await.unwrap();
            match class {
                IDEMPOTENT => assert!(is_success(&response), "r{n}: {response:?}"),
                _ => failed_count += usize::from(!is_success(&response)),
            }
        }
        let counts = execution_counts(&[&first, &second]);
        let repeated =
            (1..40).step_by(2).filter(|n| counts.get(&format!("r{n}")).is_some_and(|&count| count > 1));
        assert_eq!(repeated.count(), 0);
        let interrupted_count =
            first.executed.borrow().iter().filter(|name| name[1..].parse::<u32>().unwrap() % 2 == 1).count();
        assert_eq!(
            failed_count, interrupted_count,
            "only requests that the killed server had begun may fail"
        );
    };
    LocalSet::new().run_until(test).await;
}

/// Once the grace period of a drain is over, nothing may be sent to the server, but the requests that it has must be
/// finished.
#[tokio::test]
async fn a_drain_during_attempts() {
    let test = async {
        let (first, second) =
            (TestServer::new(Behaviour::Hold).await, TestServer::new(Behaviour::Respond).await);
        let fixture = fixture(&[&first, &second], settings(0.0));
        let pool = fixture.pool.clone();
        let held: Vec<_> = (0..8)
            .map(|n| {
                let pool = pool.clone();
                spawn_local(async move { call(&pool, &format!("held{n}"), AT_MOST_ONCE).await })
            })
            .collect();
        first.wait_for_received(1).await;
        fixture.endpoints.send_replace(endpoints(&[&first, &second], |index| {
            if index == 0 {
                EndpointState::Draining
            } else {
                EndpointState::Serving
            }
        }));
        while fixture.pool.stats().excluded == 0 {
            yield_now().await;
        }
        // Connections that were being established when the drain began must not be written to: the grace period is
        // over.
        let received_before = first.received.get();
        for n in 0..50 {
            assert!(is_success(&call(&pool, &format!("new{n}"), IDEMPOTENT).await));
        }
        assert_eq!(first.received.get(), received_before, "a request was sent to a draining server");
        first.release_held();
        for response in held {
            assert!(is_success(&response.await.unwrap()), "requests in flight are finished");
        }
        assert!(execution_counts(&[&first, &second]).values().all(|&count| count == 1));
    };
    LocalSet::new().run_until(test).await;
}

/// If the connection is closed after the last byte of an at-most-once request, the request may have been executed. It
/// must not be retried, and must get its final response.
#[tokio::test]
async fn an_at_most_once_request_whose_connection_is_closed_after_the_last_byte() {
    let test = async {
        let (first, second) =
            (TestServer::new(Behaviour::Disconnect).await, TestServer::new(Behaviour::Disconnect).await);
        let fixture = fixture(&[&first, &second], settings(500.0));
        for n in 0..10 {
            let response = call(&fixture.pool, &format!("once{n}"), AT_MOST_ONCE).await;
            assert!(!is_success(&response), "{response:?}");
        }
        let counts = execution_counts(&[&first, &second]);
        assert!(!counts.is_empty() && counts.values().all(|&count| count == 1), "{counts:?}");
        // A deduplicated request is retried. This also shows that the test servers record repeated executions.
        let _ = call(&fixture.pool, "deduplicated", DEDUPLICATED).await;
        assert!(execution_counts(&[&first, &second])["deduplicated"] > 1);
        first.behaviour.set(Behaviour::Respond);
        second.behaviour.set(Behaviour::Respond);
    };
    LocalSet::new().run_until(test).await;
}

/// A rejected request must be retried on another server, whatever its class, and be executed once.
#[tokio::test]
async fn a_rejected_request_is_retried_on_another_server() {
    let test = async {
        let (first, second) =
            (TestServer::new(Behaviour::Reject).await, TestServer::new(Behaviour::Respond).await);
        let fixture = fixture(&[&first, &second], settings(500.0));
        for n in 0..20 {
            assert!(is_success(&call(&fixture.pool, &format!("once{n}"), AT_MOST_ONCE).await));
        }
        assert!(first.executed.borrow().is_empty() && first.received.get() > 0);
        assert_eq!(execution_counts(&[&second]).values().filter(|&&count| count == 1).count(), 20);
    };
    LocalSet::new().run_until(test).await;
}

/// An idempotent request must be hedged if its first attempt hangs, and get one response. An at-most-once request
/// must not be hedged.
#[tokio::test]
async fn a_hedged_attempt_replaces_one_that_hangs() {
    let test = async {
        let servers = [TestServer::new(Behaviour::Respond).await, TestServer::new(Behaviour::Respond).await];
        let both = [&servers[0], &servers[1]];
        let fixture = fixture(&both, settings(500.0));
        // Hedging requires known response times.
        for n in 0..30 {
            assert!(is_success(&call(&fixture.pool, &format!("quick{n}"), IDEMPOTENT).await));
        }
        servers[0].behaviour.set(Behaviour::Hold);
        // With this many concurrent requests, some are sent to the server that hangs.
        let slow: Vec<_> = (0..16)
            .map(|n| {
                let pool = fixture.pool.clone();
                spawn_local(async move { call(&pool, &format!("slow{n}"), IDEMPOTENT).await })
            })
            .collect();
        for response in slow {
            assert!(is_success(&response.await.unwrap()));
        }
        let hedged: Vec<String> =
            servers[0].executed.borrow().iter().filter(|name| name.starts_with("slow")).cloned().collect();
        assert!(
            !hedged.is_empty() && hedged.iter().all(|name| execution_counts(&both)[name] == 2),
            "{hedged:?}"
        );
        for n in 0..4 {
            let _ = call(&fixture.pool, &format!("once{n}"), AT_MOST_ONCE).await;
        }
        servers[0].release_held();
        assert!(execution_counts(&both)
            .iter()
            .filter(|(name, _)| name.starts_with("once"))
            .all(|(_, &count)| count == 1));
    };
    LocalSet::new().run_until(test).await;
}

/// A reload under load changes the pool of a route and closes the old pool. Requests that are open there must be
/// finished there, no further ones may be accepted, and each request must get exactly one response.
#[tokio::test]
async fn a_reload_under_load_changes_the_pool_of_a_route() {
    let test = async {
        let (old_server, new_server) =
            (TestServer::new(Behaviour::Hold).await, TestServer::new(Behaviour::Respond).await);
        let quota = Quota::new(1000);
        let (old_fixture, new_fixture) = (
            fixture_with(&quota, &[&old_server], settings(500.0)),
            fixture_with(&quota, &[&new_server], settings(500.0)),
        );
        let table_to = |pool| {
            let conditions = Conditions { paths: vec!["/copies/*".into()], ..Conditions::default() };
            let rule = Rule { name: "copies".into(), priority: 0, conditions, pool };
            Table::new(vec![rule], None).expect("valid rules")
        };
        let request = Attributes { path: "/copies/7", ..Attributes::default() };
        let pools = [old_fixture.pool.clone(), new_fixture.pool.clone()];
        let mut table = table_to(0);
        let send = |table: &Table, n: usize| {
            let pool = pools[table.route(&request).expect("a matching route")].clone();
            spawn_local(async move { call(&pool, &format!("r{n}"), AT_MOST_ONCE).await })
        };
        let first: Vec<_> = (0..20).map(|n| send(&table, n)).collect();
        old_server.wait_for_received(1).await;
        table = table_to(1);
        old_fixture.pool.close();
        let second: Vec<_> = (20..60).map(|n| send(&table, n)).collect();
        for response in second {
            assert!(is_success(&response.await.unwrap()));
        }
        assert!(matches!(call(&old_fixture.pool, "late", AT_MOST_ONCE).await, Err(Rejection::PoolClosed(_))));
        assert!(!old_fixture.run.is_finished(), "the closed pool has open requests");
        old_server.release_held();
        for response in first {
            assert!(is_success(&response.await.unwrap()), "an open request is finished in its pool");
        }
        timeout(TEST_TIMEOUT, old_fixture.run)
            .await
            .expect("a closed pool ends with its last request")
            .unwrap();
        let counts = execution_counts(&[&old_server, &new_server]);
        assert_eq!((counts.len(), counts.values().sum::<usize>()), (60, 60));
        assert!((20..60).all(|n| new_server.executed.borrow().contains(&format!("r{n}"))));
    };
    LocalSet::new().run_until(test).await;
}

/// Two pools share the quota of the process. If all servers of one pool hang and its requests use all the quota that
/// they can get, the other pool must keep serving. Requests beyond the quota must be rejected at once with a delay
/// before the retry.
#[tokio::test]
async fn a_pool_that_hangs_does_not_starve_the_other() {
    let test = async {
        let (hanging_server, responsive_server) =
            (TestServer::new(Behaviour::Hold).await, TestServer::new(Behaviour::Respond).await);
        let quota = Quota::new(40);
        let (hanging, responsive) = (
            fixture_with(&quota, &[&hanging_server], settings(500.0)),
            fixture_with(&quota, &[&responsive_server], settings(500.0)),
        );
        let requests: Vec<_> = (0..100)
            .map(|n| {
                let pool = hanging.pool.clone();
                spawn_local(async move { call(&pool, &format!("hanging{n}"), IDEMPOTENT).await })
            })
            .collect();
        while hanging.pool.stats().open_requests < 30 {
            yield_now().await;
        }
        for n in 0..200 {
            assert!(is_success(&call(&responsive.pool, &format!("quick{n}"), IDEMPOTENT).await));
        }
        hanging_server.release_held();
        let mut rejected = 0;
        for response in requests {
            match response.await.unwrap() {
                Err(Rejection::PoolFull(after)) if after > Span::ZERO => rejected += 1,
                _ => {}
            }
        }
        assert_eq!(rejected, 70, "of 40 in total, 10 are guaranteed to the other pool");
    };
    LocalSet::new().run_until(test).await;
}

/// Checks the test servers themselves: they must record a request that is executed twice.
#[tokio::test]
async fn a_second_execution_is_recorded() {
    let test = async {
        let server = TestServer::new(Behaviour::Respond).await;
        let fixture = fixture(&[&server], settings(500.0));
        // Send the same request twice in sequence, as a faulty program would.
        for _ in 0..2 {
            assert!(is_success(&call(&fixture.pool, "repeated", AT_MOST_ONCE).await));
            while fixture.pool.stats().open_requests > 0 {
                yield_now().await;
            }
        }
        assert_eq!(execution_counts(&[&server])["repeated"], 2);
    };
    LocalSet::new().run_until(test).await;
}
