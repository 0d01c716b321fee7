//! Decisions that differ when there are many balancers, because the same decision by all of them at once would be
//! harmful.
mod common;
use common::*;
use heronhoist_decision::*;

const SERVERS: u32 = 60;
const ZONES: u32 = 3;

/// Returns settings for `balancers` balancers, which may send health checks.
fn settings(balancers: u32, effect: Effect) -> Settings {
    let costs = Costs { health_check: 0.08, ..Costs::default() };
    let report_fields = vec![ReportField::InFlight];
    Settings {
        balancers,
        classes: vec![class(effect)],
        health_checks: true,
        cancel: true,
        costs,
        report_fields,
        ..Settings::default()
    }
}

/// Returns a harness in which requests have been answered for a while, so that the balancer has observed its traffic.
fn harness_with_traffic(settings: Settings, seed: u64) -> Harness {
    let mut harness = Harness::new(settings, seed);
    harness.set_endpoints(fleet(SERVERS, ZONES, 1));
    for _ in 0..200 {
        assert!(harness.submit_and_answer(30.0).is_some());
        harness.advance(Span::from_ms(40.0));
    }
    harness
}

/// Submits requests one after the other while the servers of zone 2 are unreachable. Returns the numbers of attempts and
/// of health checks sent to that zone.
fn serve_with_lost_zone(harness: &mut Harness, requests: u32) -> (u32, u32) {
    let (mut sent, mut health_checks) = (0, 0);
    for _ in 0..requests {
        let (id, mut server) = harness.submit(0);
        let mut attempt = 0;
        while let Some(target) = server {
            let is_lost = target.0 % ZONES == 2;
            let (outcome, ms) =
                if is_lost { (Outcome::ConnectFailed, 100.0) } else { (Outcome::Success, 30.0) };
            sent += u32::from(is_lost);
            let mut actions = harness.advance(Span::from_ms(ms));
            harness.end_attempt(id, attempt, outcome, ms);
            server = harness.target_of(id);
            attempt += 1;
            actions.extend(harness.advance(Span::from_ms(10.0)));
            for action in actions {
                if let Action::HealthCheck { server } = action {
                    health_checks += 1;
                    assert_eq!(server.0 % ZONES, 2, "health check of a server that is not ejected");
                    harness.notify(Event::HealthCheckResult {
                        server,
                        outcome: Outcome::TimedOut,
                        elapsed: Span::from_ms(120.0),
                        report: None,
                    });
                }
            }
        }
    }
    (sent, health_checks)
}

/// The lost zone has 20 servers. If each of a hundred balancers drew from all servers, each would lose 20 requests before
/// it has ejected them, and more to recovery probes. The subset of a balancer contains only a few of them.
#[test]
fn lost_zone_costs_each_of_many_balancers_few_requests_and_health_checks() {
    for seed in 1..=5 {
        let mut harness = harness_with_traffic(settings(100, Effect::Idempotent), seed);
        let (sent, health_checks) = serve_with_lost_zone(&mut harness, 300);
        assert!(sent <= 8, "seed {seed}: {sent} attempts sent to the lost zone");
        assert!(
            (1..=40).contains(&health_checks),
            "seed {seed}: {health_checks} health checks for 300 requests"
        );
        harness.assert_no_violation();
        let mut few = harness_with_traffic(settings(3, Effect::Idempotent), seed);
        assert!(
            serve_with_lost_zone(&mut few, 300).0 > 20,
            "seed {seed}: with few balancers, each probes by its own requests"
        );
    }
}

/// An ejected server is used again when a health check shows that it has recovered.
#[test]
fn recovered_zone_is_used_again_after_health_checks() {
    let mut harness = harness_with_traffic(settings(100, Effect::Idempotent), 3);
    serve_with_lost_zone(&mut harness, 100);
    assert!(harness.balancer.excluded_endpoints(harness.now) >= 1, "no server of the lost zone is ejected");
    let mut health_checks = 0;
    for _ in 0..400 {
        let (id, server) = harness.submit(0);
        let actions = harness.advance(Span::from_ms(30.0));
        if server.is_some() {
            harness.end_attempt(id, 0, Outcome::Success, 30.0);
        }
        for action in actions.into_iter().chain(harness.advance(Span::from_ms(40.0))) {
            if let Action::HealthCheck { server } = action {
                health_checks += 1;
                let (outcome, elapsed, report) = (Outcome::Success, Span::from_ms(1.0), Some(vec![0.0]));
                harness.notify(Event::HealthCheckResult { server, outcome, elapsed, report });
            }
        }
    }
    assert_eq!(harness.balancer.excluded_endpoints(harness.now), 0, "after {health_checks} health checks");
    assert!(
        health_checks <= 30,
        "{health_checks} health checks, although the subset has only some of 20 servers"
    );
}

/// If all servers are in one zone and all attempts fail, the balancer must not eject most of them.
#[test]
fn fleet_in_one_zone_keeps_servers_whatever_fails() {
    let mut harness = Harness::new(settings(100, Effect::Idempotent), 9);
    harness.set_endpoints(fleet(SERVERS, 1, 1));
    for _ in 0..10 {
        let (id, server) = harness.submit(0);
        if server.is_some() {
            harness.advance(Span::from_ms(100.0));
            harness.end_attempt(id, 0, Outcome::ConnectFailed, 100.0);
        }
    }
    assert!(
        harness.balancer.excluded_endpoints(harness.now) < 40,
        "{}",
        harness.balancer.excluded_endpoints(harness.now)
    );
}

/// If a fleet stops responding, a hundred balancers would fill it with all requests that arrive. By Little's law, each
/// limits its requests in flight to those that arrive within a fraction of the latency objective. It rejects the others
/// before half of the client's timeout has passed.
#[test]
fn requests_in_flight_are_bounded_by_arrivals_and_the_rest_is_rejected_early() {
    let mut harness = harness_with_traffic(settings(100, Effect::Idempotent), 4);
    let (mut sent, mut rejected) = (0, 0);
    let mut submitted = Vec::new();
    for _ in 0..20 {
        let (id, server) = harness.submit(0);
        sent += u32::from(server.is_some());
        submitted.push((id, harness.now));
        for action in harness.advance(Span::from_ms(25.0)) {
            if let Action::Reject { request, .. } = action {
                let submitted_at =
                    submitted.iter().find(|(id, _)| *id == request).map(|entry| entry.1).unwrap_or_default();
                assert!(harness.now.since(submitted_at).as_ms() < 400.0, "queued for too long");
                rejected += 1;
            }
        }
    }
    assert!(sent <= 4, "{sent} of 20 requests were sent within 500 ms");
    assert!(rejected >= 4, "{rejected} requests were rejected");
    let mut few = harness_with_traffic(settings(3, Effect::Idempotent), 4);
    let sent_by_few = (0..20).filter(|_| few.submit(0).1.is_some()).count();
    assert_eq!(sent_by_few, 20, "with few balancers, only the concurrency limit of each server applies");
}

/// Almost nothing is in flight, so ties are broken at random. Without the acceptance probability of its machine type, a
/// slow machine would get as much load as a fast one.
#[test]
fn slow_machine_type_gets_less_even_with_nothing_in_flight() {
    let with_machine_type =
        |endpoint: Endpoint| Endpoint { machine_type: MachineTypeId(endpoint.server.0 % 2), ..endpoint };
    let share_of_slow = |balancers| {
        let mut harness = Harness::new(settings(balancers, Effect::Idempotent), 8);
        harness.set_endpoints(fleet(SERVERS, 1, 1).into_iter().map(with_machine_type).collect());
        let mut slow = 0;
        for _ in 0..600 {
            let (id, server) = harness.submit(0);
            let Some(server) = server else { panic!("the fleet is idle") };
            let ms = if server.0 % 2 == 0 { 20.0 } else { 40.0 };
            slow += server.0 % 2;
            harness.advance(Span::from_ms(ms));
            harness.end_attempt(id, 0, Outcome::Success, ms);
            harness.advance(Span::from_ms(20.0));
        }
        f64::from(slow) / 600.0
    };
    let (many, few) = (share_of_slow(100), share_of_slow(3));
    assert!(many < 0.3 && few > 0.35, "{many} with many balancers, {few} with few");
}

/// With many balancers, only idempotent requests may be used to probe a server that fails fast.
#[test]
fn non_idempotent_requests_are_not_used_as_recovery_probes() {
    let mut settings = settings(100, Effect::Idempotent);
    settings.classes.push(class(Effect::AtMostOnce));
    let mut harness = Harness::new(settings, 6);
    harness.set_endpoints(fleet(6, 1, 1));
    let failing = ServerId(0);
    let mut sent_to_failing = 0;
    for n in 0..1500 {
        let class = usize::from(n % 3 == 0);
        let (id, mut server) = harness.submit(class);
        let mut attempt = 0;
        while let Some(target) = server {
            let outcome = if target == failing { Outcome::ServerError } else { Outcome::Success };
            sent_to_failing += u32::from(target == failing && class == 1);
            harness.advance(Span::from_ms(20.0));
            harness.end_attempt(id, attempt, outcome, 20.0);
            server = harness.target_of(id);
            attempt += 1;
        }
        harness.advance(Span::from_ms(20.0));
    }
    assert!(sent_to_failing <= 3, "{sent_to_failing} non-idempotent attempts sent to an ejected server");
    harness.assert_no_violation();
}

/// A hundred balancers together must send a warming server its capacity fraction of a warm one's load. More would
/// overload it, and much less would leave load to the warm ones that it could take. With nothing in flight, it is chosen
/// in one of four selections that draw it, so the acceptance probability for few balancers would give it only a quarter
/// of its share.
#[test]
fn warming_server_gets_its_capacity_fraction_from_many_balancers() {
    let (mut to_warming, mut to_warm, rounds) = (0.0, 0.0, 40);
    for seed in 0..100 {
        let mut settings = settings(100, Effect::Idempotent);
        (settings.initial_capacity_share, settings.warm_up_time) = (0.3, Span::from_ms(60_000.0));
        let mut harness = Harness::new(settings, seed);
        let start = Some(harness.now);
        let with_start = |endpoint: Endpoint| Endpoint {
            started_at: start.filter(|_| endpoint.server.0 < 12),
            ..endpoint
        };
        harness.set_endpoints(fleet(SERVERS, ZONES, 1).into_iter().map(with_start).collect());
        for _ in 0..rounds {
            match harness.submit_and_answer(30.0) {
                Some(server) if server.0 < 12 => to_warming += 1.0 / 12.0,
                Some(_) => to_warm += 1.0 / 48.0,
                None => panic!("the fleet is idle"),
            }
            harness.advance(Span::from_ms(40.0));
        }
        harness.assert_no_violation();
    }
    let share: f64 = to_warming / to_warm;
    assert!((0.2..=0.36).contains(&share), "{share} of a warm server's load at a capacity fraction of 0.3");
}

/// With 900 balancers and 24 servers, all balancers send to a warming server once before any sends to it a second time,
/// so none learns in time that it is overloaded. While load has made the warm servers slow, most selections that draw the
/// warming server choose it. It tolerates three times its capacity fraction, half of which is left for retries,
/// connections and random variation.
#[test]
fn warming_server_beside_full_ones_is_not_overloaded_by_very_many_balancers() {
    let (mut to_warming, mut to_warm) = (0.0, 0.0);
    for seed in 0..300 {
        let mut settings = settings(900, Effect::Idempotent);
        (settings.initial_capacity_share, settings.warm_up_time) = (0.2, Span::from_ms(60_000.0));
        settings.overload_factor = 3.0;
        let mut harness = Harness::new(settings, seed);
        harness.set_endpoints(fleet(24, ZONES, 1));
        for (rounds, ms, has_joined) in [(0..20, 20.0, false), (0..10, 110.0, true)] {
            if has_joined {
                let joining = Endpoint { started_at: Some(harness.now), ..fleet(24, ZONES, 1).remove(5) };
                harness.notify(Event::EndpointList(EndpointUpdate::Changes(vec![joining])));
            }
            for _ in rounds {
                let server = harness.submit_and_answer(ms);
                harness.advance(Span::from_ms(40.0));
                match (server, has_joined) {
                    (Some(ServerId(5)), true) => to_warming += 1.0,
                    (Some(_), true) => to_warm += 1.0 / 23.0,
                    _ => {}
                }
            }
        }
    }
    let share: f64 = to_warming / to_warm;
    assert!((0.1..=0.3).contains(&share), "{share} of a warm server's load at a capacity fraction of 0.2");
}

/// Submits requests one after the other to one of `balancers` balancers. Returns the number of requests sent to each
/// server.
fn requests_per_server(balancers: u32, seed: u64, requests: u32) -> Vec<u32> {
    let mut harness = Harness::new(settings(balancers, Effect::Idempotent), seed);
    harness.set_endpoints(fleet(SERVERS, ZONES, 1));
    let mut sent = vec![0; SERVERS as usize];
    for _ in 0..requests {
        sent[harness.submit_and_answer(30.0).expect("the fleet is idle").0 as usize] += 1;
        harness.advance(Span::from_ms(40.0));
    }
    sent
}

/// The number of connections must not grow as balancers times servers. Each of a hundred balancers must send only to its
/// subset, and together they must load the fleet evenly.
#[test]
fn each_balancer_sends_to_its_subset_and_all_together_load_the_fleet_evenly() {
    let servers_used = |sent: &[u32]| sent.iter().filter(|n| **n > 0).count();
    let mut totals = vec![0; SERVERS as usize];
    for seed in 0..100 {
        let sent = requests_per_server(100, seed, 100);
        assert!((4..=12).contains(&servers_used(&sent)), "seed {seed}: {} servers used", servers_used(&sent));
        totals.iter_mut().zip(&sent).for_each(|(total, n)| *total += n);
    }
    let mean = f64::from(totals.iter().sum::<u32>()) / f64::from(SERVERS);
    let max_ratio = f64::from(*totals.iter().max().expect("servers")) / mean;
    assert!(
        max_ratio < 2.0 && totals.iter().all(|n| *n > 0),
        "maximum {max_ratio} times the mean: {totals:?}"
    );
    assert!(
        servers_used(&requests_per_server(3, 1, 200)) > 50,
        "with few balancers, each draws from all servers"
    );
}

/// A subset is refilled when its servers leave. Warming servers count with their current capacity, so it takes more of
/// them.
#[test]
fn subset_is_refilled_when_servers_leave_or_warm_up() {
    let mut harness = harness_with_traffic(settings(100, Effect::Idempotent), 5);
    let mut old_subset = std::collections::BTreeSet::new();
    for _ in 0..100 {
        old_subset.extend(harness.submit_and_answer(30.0));
        harness.advance(Span::from_ms(40.0));
    }
    let old_size = old_subset.len();
    let others: Vec<Endpoint> = fleet(SERVERS, ZONES, 1)
        .into_iter()
        .filter(|endpoint| !old_subset.contains(&endpoint.server))
        .collect();
    let warming = |endpoint: Endpoint| Endpoint { started_at: Some(harness.now), ..endpoint };
    let endpoints: Vec<Endpoint> = others.into_iter().map(warming).collect();
    harness.set_endpoints(endpoints);
    let mut new_subset = std::collections::BTreeSet::new();
    for _ in 0..100 {
        new_subset.extend(harness.submit_and_answer(30.0));
        harness.advance(Span::from_ms(40.0));
    }
    assert!(new_subset.is_disjoint(&old_subset), "a removed server was sent a request");
    assert!(new_subset.len() > old_size, "{} warming servers replace {old_size} warm ones", new_subset.len());
}

/// Little's law gives only the mean number of requests in flight. With so few requests, more arrive at once by chance,
/// and rejecting those would be pointless.
#[test]
fn small_random_bursts_are_dispatched() {
    for seed in 1..=5 {
        let mut harness = Harness::new(settings(100, Effect::Idempotent), seed);
        harness.set_endpoints(fleet(SERVERS, ZONES, 1));
        for _ in 0..200 {
            assert!(harness.submit_and_answer(30.0).is_some());
            harness.advance(Span::from_ms(10.0));
        }
        // One request per 40 ms and a usual latency of a fifth of the 200 ms objective: the mean in flight is one, and
        // its square root allows one more.
        let sent = (0..6).filter(|_| harness.submit(0).1.is_some()).count();
        assert_eq!(sent, 3, "seed {seed}");
    }
}

/// Health checks are sent only to ejected servers, even if they cost nothing: one for each request would be a waste.
#[test]
fn no_health_check_is_sent_for_an_ordinary_request() {
    let costs = Costs::default();
    let mut harness = Harness::new(Settings { costs, ..settings(1000, Effect::Idempotent) }, 2);
    harness.set_endpoints(fleet(6, 1, 1));
    for _ in 0..100 {
        let (id, server) = harness.submit(0);
        assert!(server.is_some(), "it must be sent at once");
        assert!(!harness.actions.iter().any(|action| matches!(action, Action::HealthCheck { .. })));
        let actions = harness.advance(Span::from_ms(30.0));
        assert!(!actions.iter().any(|action| matches!(action, Action::HealthCheck { .. })));
        harness.end_attempt(id, 0, Outcome::Success, 30.0);
        harness.advance(Span::from_ms(30.0));
    }
}

/// A fleet that is all warming up has only a fraction of its capacity, and none of many balancers learns in time that it
/// is overloaded. Each may have only one request in flight, because two of each would overload the fleet.
#[test]
fn each_of_many_balancers_has_one_request_in_flight_to_a_fleet_that_is_all_warming_up() {
    for seed in 1..=5 {
        let mut settings = settings(300, Effect::Idempotent);
        (settings.initial_capacity_share, settings.warm_up_time) = (0.2, Span::from_ms(60_000.0));
        let sent = |is_warming: bool| {
            let mut harness = harness_with_traffic(settings.clone(), seed);
            let started_at = Some(harness.now).filter(|_| is_warming);
            harness.set_endpoints(
                fleet(SERVERS, ZONES, 1)
                    .into_iter()
                    .map(|endpoint| Endpoint { started_at, ..endpoint })
                    .collect(),
            );
            (0..6).filter(|_| harness.submit(0).1.is_some()).count()
        };
        let (to_warming, to_warm) = (sent(true), sent(false));
        assert_eq!(to_warming, 1, "seed {seed}");
        assert!(to_warm > 1, "seed {seed}: {to_warm} sent to a warm fleet");
    }
}

/// A fleet that has fallen behind must not be sent all arriving requests, many of which are retries: it would never catch
/// up. The requests in flight are limited to what it answers in time.
#[test]
fn few_requests_are_dispatched_while_few_are_answered() {
    for seed in 1..=5 {
        let mut harness =
            Harness::new(Settings { max_attempts: 1, ..settings(100, Effect::Idempotent) }, seed);
        harness.set_endpoints(fleet(SERVERS, ZONES, 1));
        for n in 0..400 {
            let (id, server) = harness.submit(0);
            assert!(server.is_some(), "it must be sent, as nothing is in flight");
            harness.advance(Span::from_ms(30.0));
            let is_behind = n >= 200 && n % 5 != 0;
            harness.end_attempt(id, 0, if is_behind { Outcome::TimedOut } else { Outcome::Success }, 30.0);
            harness.advance(Span::from_ms(10.0));
        }
        let sent = (0..6).filter(|_| harness.submit(0).1.is_some()).count();
        assert!((1..=2).contains(&sent), "seed {seed}: {sent} sent, as many as when all were answered");
    }
}

/// With many balancers, each sees few responses of a server. A few must suffice to detect that a server has become slow.
#[test]
fn slowed_server_is_chosen_less_after_a_few_responses() {
    for seed in 1..=5 {
        let mut harness = harness_with_traffic(settings(100, Effect::Idempotent), seed);
        let mut requests_per_server = |slow: Option<ServerId>| {
            let mut sent = std::collections::BTreeMap::<ServerId, u32>::new();
            for _ in 0..100 {
                let (id, server) = harness.submit(0);
                let server = server.expect("the fleet is idle");
                *sent.entry(server).or_default() += 1;
                let ms = if Some(server) == slow { 120.0 } else { 30.0 };
                harness.advance(Span::from_ms(ms));
                harness.end_attempt(id, 0, Outcome::Success, ms);
                harness.advance(Span::from_ms(40.0));
            }
            sent
        };
        let (server, before) =
            requests_per_server(None).into_iter().max_by_key(|(_, n)| *n).expect("servers");
        let after = requests_per_server(Some(server)).get(&server).copied().unwrap_or_default();
        assert!(after * 3 < before, "seed {seed}: sent {after} of 100 requests when slow, {before} before");
    }
}

/// The number of balancers grows from few to many after the servers have been listed. Each balancer must still get its
/// own random subset. Otherwise all would draw from the same few servers.
#[test]
fn balancers_whose_number_grows_draw_from_different_subsets() {
    let mut totals = [0_u32; SERVERS as usize];
    for seed in 0..100 {
        let mut harness = Harness::new(settings(3, Effect::Idempotent), seed);
        harness.set_endpoints(fleet(SERVERS, ZONES, 1));
        let settings = Box::new(settings(100, Effect::Idempotent));
        harness.notify(Event::Settings { settings, class_ids: vec![ClassId(0)] });
        for _ in 0..50 {
            harness.advance(Span::from_ms(40.0));
            totals[harness.submit_and_answer(30.0).expect("the fleet is idle").0 as usize] += 1;
        }
    }
    let max = totals.iter().max().copied().unwrap_or_default();
    assert!(totals.iter().all(|n| *n > 0) && max < 2 * 5000 / SERVERS, "{totals:?}");
}
