//! What one of a hundred balancers does differently, as it would be harmful if all of them did it.
mod common;
use common::*;
use heronhoist_decision::*;

const SERVERS: u32 = 60;
const ZONES: u32 = 3;

/// Settings of a fleet of balancers that may send health checks.
fn settings(balancers: u32, effect: Effect) -> Settings {
    let prices = Costs { health_check: 0.08, ..Costs::default() };
    let report_fields = vec![ReportField::InFlight];
    Settings {
        balancers,
        classes: vec![class(effect)],
        health_checks: true,
        cancel: true,
        costs: prices,
        report_fields,
        ..Settings::default()
    }
}

/// A harness in which requests have been answered for a while, so that the balancer knows its traffic.
fn served(settings: Settings, seed: u64) -> Harness {
    let mut harness = Harness::new(settings, seed);
    harness.set_endpoints(fleet(SERVERS, ZONES, 1));
    for _ in 0..200 {
        assert!(harness.submit_and_answer(30.0).is_some());
        harness.advance(Span::from_ms(40.0));
    }
    harness
}

/// Submits requests one after the other to a fleet whose zone 2 is lost; how many attempts and health checks went there.
fn lose_zone(harness: &mut Harness, requests: u32) -> (u32, u32) {
    let (mut sent, mut probed) = (0, 0);
    for _ in 0..requests {
        let (id, mut server) = harness.submit(0);
        let mut attempt = 0;
        while let Some(to) = server {
            let lost = to.0 % ZONES == 2;
            let (outcome, ms) = if lost { (Outcome::ConnectFailed, 100.0) } else { (Outcome::Success, 30.0) };
            sent += u32::from(lost);
            let mut on_the_way = harness.advance(Span::from_ms(ms));
            harness.end_attempt(id, attempt, outcome, ms);
            server = harness.target_of(id);
            attempt += 1;
            on_the_way.extend(harness.advance(Span::from_ms(10.0)));
            for action in on_the_way {
                if let Action::HealthCheck { server } = action {
                    probed += 1;
                    assert_eq!(server.0 % ZONES, 2, "only suspects are probed");
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
    (sent, probed)
}

/// With 20 servers in the lost zone, each of a hundred balancers would spend 20 requests to learn of it, and more on every
/// recovery probe. One that draws from a subset meets few of them.
#[test]
fn lost_zone_costs_each_of_many_balancers_few_requests_and_health_checks() {
    for seed in 1..=5 {
        let mut harness = served(settings(100, Effect::Idempotent), seed);
        let (sent, probed) = lose_zone(&mut harness, 300);
        assert!(sent <= 8, "seed {seed}: {sent} requests went to the lost zone");
        assert!((1..=40).contains(&probed), "seed {seed}: {probed} probes for 300 requests");
        harness.assert_no_violation();
        let mut alone = served(settings(3, Effect::Idempotent), seed);
        assert!(lose_zone(&mut alone, 300).0 > 20, "seed {seed}: few balancers learn by their own requests");
    }
}

/// An ejected server is used again when a health check shows that it has recovered.
#[test]
fn recovered_zone_is_used_again_after_health_checks() {
    let mut harness = served(settings(100, Effect::Idempotent), 3);
    lose_zone(&mut harness, 100);
    assert!(harness.balancer.excluded_endpoints(harness.now) >= 1, "it has met one of the lost");
    let mut probes = 0;
    for _ in 0..400 {
        let (id, server) = harness.submit(0);
        let actions = harness.advance(Span::from_ms(30.0));
        if server.is_some() {
            harness.end_attempt(id, 0, Outcome::Success, 30.0);
        }
        for action in actions.into_iter().chain(harness.advance(Span::from_ms(40.0))) {
            if let Action::HealthCheck { server } = action {
                probes += 1;
                let (outcome, elapsed, report) = (Outcome::Success, Span::from_ms(1.0), Some(vec![0.0]));
                harness.notify(Event::HealthCheckResult { server, outcome, elapsed, report });
            }
        }
    }
    assert_eq!(harness.balancer.excluded_endpoints(harness.now), 0, "after {probes} probes");
    assert!(probes <= 30, "{probes} probes for a part of 20 servers");
}

/// The only zone is never taken for lost.
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

/// Little's law: if a fleet stops answering, a hundred balancers would fill it with all arrivals. Each keeps to what arrives
/// within a part of its latency objective, and rejects the rest long before half of the client's timeout.
#[test]
fn requests_in_flight_are_bounded_by_arrivals_and_the_rest_is_rejected_early() {
    let mut harness = served(settings(100, Effect::Idempotent), 4);
    let (mut out, mut refused) = (0, 0);
    let mut asked = Vec::new();
    for _ in 0..20 {
        let (id, server) = harness.submit(0);
        out += u32::from(server.is_some());
        asked.push((id, harness.now));
        for action in harness.advance(Span::from_ms(25.0)) {
            if let Action::Reject { request, .. } = action {
                let came = asked.iter().find(|(id, _)| *id == request).map(|a| a.1).unwrap_or_default();
                assert!(harness.now.since(came).as_ms() < 400.0, "held for too long");
                refused += 1;
            }
        }
    }
    assert!(out <= 4, "{out} of 20 requests went out within 500 ms");
    assert!(refused >= 4, "{refused} given up");
    let mut few = served(settings(3, Effect::Idempotent), 4);
    let all = (0..20).filter(|_| few.submit(0).1.is_some()).count();
    assert_eq!(all, 20, "few balancers go by their counts");
}

/// Almost nothing is in flight; without what is known of machine types, ties give a slow machine as much as a fast one.
#[test]
fn slow_machine_type_gets_less_even_with_nothing_in_flight() {
    let kind = |line: Endpoint| Endpoint { machine_type: MachineTypeId(line.server.0 % 2), ..line };
    let share = |balancers| {
        let mut harness = Harness::new(settings(balancers, Effect::Idempotent), 8);
        harness.set_endpoints(fleet(SERVERS, 1, 1).into_iter().map(kind).collect());
        let mut slow = 0;
        for _ in 0..600 {
            let (id, server) = harness.submit(0);
            let Some(server) = server else { panic!("an idle fleet") };
            let ms = if server.0 % 2 == 0 { 20.0 } else { 40.0 };
            slow += server.0 % 2;
            harness.advance(Span::from_ms(ms));
            harness.end_attempt(id, 0, Outcome::Success, ms);
            harness.advance(Span::from_ms(20.0));
        }
        f64::from(slow) / 600.0
    };
    let (many, few) = (share(100), share(3));
    assert!(many < 0.3 && few > 0.35, "{many} of many, {few} of few");
}

/// Only idempotent requests probe a server that fails fast.
#[test]
fn non_idempotent_requests_are_not_used_as_recovery_probes() {
    let mut both = settings(100, Effect::Idempotent);
    both.classes.push(class(Effect::AtMostOnce));
    let mut harness = Harness::new(both, 6);
    harness.set_endpoints(fleet(6, 1, 1));
    let sick = ServerId(0);
    let mut lost = 0;
    for n in 0..1500 {
        let class = usize::from(n % 3 == 0);
        let (id, mut server) = harness.submit(class);
        let mut attempt = 0;
        while let Some(to) = server {
            let outcome = if to == sick { Outcome::ServerError } else { Outcome::Success };
            lost += u32::from(to == sick && class == 1);
            harness.advance(Span::from_ms(20.0));
            harness.end_attempt(id, attempt, outcome, 20.0);
            server = harness.target_of(id);
            attempt += 1;
        }
        harness.advance(Span::from_ms(20.0));
    }
    assert!(lost <= 3, "{lost} certified copies were lost to a server known to fail");
    harness.assert_no_violation();
}

/// A hundred balancers together send a warming server its capacity fraction of a warm one's load: no more, or they overload
/// it, and not much less, or the warm ones bear what it could. With nothing in flight it wins one pick in four that it is
/// drawn for, so the chance that holds for balancers which go by their own requests would leave it a quarter of its part.
#[test]
fn warming_server_gets_its_capacity_fraction_from_many_balancers() {
    let (mut cold, mut warm, rounds) = (0.0, 0.0, 40);
    for seed in 0..100 {
        let mut set = settings(100, Effect::Idempotent);
        (set.initial_capacity_share, set.warm_up_time) = (0.3, Span::from_ms(60_000.0));
        let mut harness = Harness::new(set, seed);
        let started = Some(harness.now);
        let line = |line: Endpoint| Endpoint { started_at: started.filter(|_| line.server.0 < 12), ..line };
        harness.set_endpoints(fleet(SERVERS, ZONES, 1).into_iter().map(line).collect());
        for _ in 0..rounds {
            match harness.submit_and_answer(30.0) {
                Some(server) if server.0 < 12 => cold += 1.0 / 12.0,
                Some(_) => warm += 1.0 / 48.0,
                None => panic!("an idle fleet"),
            }
            harness.advance(Span::from_ms(40.0));
        }
        harness.assert_no_violation();
    }
    let part: f64 = cold / warm;
    assert!((0.2..=0.36).contains(&part), "{part} of a warm one's load at a warmth of 0.3");
}

/// Nine hundred balancers and two dozen servers: none meets a warming one twice before all have met it once, and beside warm
/// ones that load has made slow it wins most picks that it is drawn for. It withstands three times its capacity fraction, of
/// which half is left to retries, connections and chance.
#[test]
fn warming_server_beside_full_ones_is_not_overloaded_by_very_many_balancers() {
    let (mut cold, mut warm) = (0.0, 0.0);
    for seed in 0..300 {
        let mut set = settings(900, Effect::Idempotent);
        (set.initial_capacity_share, set.warm_up_time) = (0.2, Span::from_ms(60_000.0));
        set.overload_factor = 3.0;
        let mut harness = Harness::new(set, seed);
        harness.set_endpoints(fleet(24, ZONES, 1));
        for (rounds, ms, joined) in [(0..20, 20.0, false), (0..10, 110.0, true)] {
            if joined {
                let back = Endpoint { started_at: Some(harness.now), ..fleet(24, ZONES, 1).remove(5) };
                harness.notify(Event::EndpointList(EndpointUpdate::Changes(vec![back])));
            }
            for _ in rounds {
                let server = harness.submit_and_answer(ms);
                harness.advance(Span::from_ms(40.0));
                match (server, joined) {
                    (Some(ServerId(5)), true) => cold += 1.0,
                    (Some(_), true) => warm += 1.0 / 23.0,
                    _ => {}
                }
            }
        }
    }
    let part: f64 = cold / warm;
    assert!((0.1..=0.3).contains(&part), "{part} of a warm one's load at a warmth of 0.2");
}

/// The requests that one of `balancers` sends to each server, one after the other.
fn spread(balancers: u32, seed: u64, requests: u32) -> Vec<u32> {
    let mut harness = Harness::new(settings(balancers, Effect::Idempotent), seed);
    harness.set_endpoints(fleet(SERVERS, ZONES, 1));
    let mut sent = vec![0; SERVERS as usize];
    for _ in 0..requests {
        sent[harness.submit_and_answer(30.0).expect("an idle fleet").0 as usize] += 1;
        harness.advance(Span::from_ms(40.0));
    }
    sent
}

/// Connections must not grow as balancers times servers: each of a hundred keeps to its subset, and together they load the
/// fleet evenly.
#[test]
fn each_balancer_keeps_to_its_subset_and_all_together_load_the_fleet_evenly() {
    let met = |sent: &[u32]| sent.iter().filter(|n| **n > 0).count();
    let mut all = vec![0; SERVERS as usize];
    for seed in 0..100 {
        let sent = spread(100, seed, 100);
        assert!((4..=12).contains(&met(&sent)), "seed {seed}: {} servers met", met(&sent));
        all.iter_mut().zip(&sent).for_each(|(all, n)| *all += n);
    }
    let mean = f64::from(all.iter().sum::<u32>()) / f64::from(SERVERS);
    let most = f64::from(*all.iter().max().expect("servers")) / mean;
    assert!(most < 2.0 && all.iter().all(|n| *n > 0), "{most} times the mean at most; {all:?}");
    assert!(met(&spread(3, 1, 200)) > 50, "few balancers draw from all");
}

/// A subset is refilled when its servers leave, and warming servers count with their present capacity.
#[test]
fn subset_is_refilled_when_servers_leave_or_warm_up() {
    let mut harness = served(settings(100, Effect::Idempotent), 5);
    let mut met = std::collections::BTreeSet::new();
    for _ in 0..100 {
        met.extend(harness.submit_and_answer(30.0));
        harness.advance(Span::from_ms(40.0));
    }
    let part = met.len();
    let left: Vec<Endpoint> =
        fleet(SERVERS, ZONES, 1).into_iter().filter(|l| !met.contains(&l.server)).collect();
    let cold = |l: Endpoint| Endpoint { started_at: Some(harness.now), ..l };
    let lines: Vec<Endpoint> = left.into_iter().map(cold).collect();
    harness.set_endpoints(lines);
    let mut others = std::collections::BTreeSet::new();
    for _ in 0..100 {
        others.extend(harness.submit_and_answer(30.0));
        harness.advance(Span::from_ms(40.0));
    }
    assert!(others.is_disjoint(&met), "what has left gets nothing");
    assert!(others.len() > part, "{} cold ones stand for {part} warm ones", others.len());
}

/// Little's law gives the mean; of so few requests chance alone brings more at once, and rejecting those serves nobody.
#[test]
fn small_bursts_by_chance_are_dispatched() {
    for seed in 1..=5 {
        let mut harness = Harness::new(settings(100, Effect::Idempotent), seed);
        harness.set_endpoints(fleet(SERVERS, ZONES, 1));
        for _ in 0..200 {
            assert!(harness.submit_and_answer(30.0).is_some());
            harness.advance(Span::from_ms(10.0));
        }
        // One in 40 ms, an aim of 200 ms, of which a fifth: one is out in the mean, and its root is one more.
        let out = (0..6).filter(|_| harness.submit(0).1.is_some()).count();
        assert_eq!(out, 3, "seed {seed}");
    }
}

/// A health check for each request costs more than it shows, at any cost and for any number of balancers.
#[test]
fn no_health_check_is_sent_for_an_ordinary_request() {
    let prices = Costs::default();
    let mut harness = Harness::new(Settings { costs: prices, ..settings(1000, Effect::Idempotent) }, 2);
    harness.set_endpoints(fleet(6, 1, 1));
    for _ in 0..100 {
        let (id, server) = harness.submit(0);
        assert!(server.is_some(), "it is sent at once");
        assert!(!harness.actions.iter().any(|action| matches!(action, Action::HealthCheck { .. })));
        let later = harness.advance(Span::from_ms(30.0));
        assert!(!later.iter().any(|action| matches!(action, Action::HealthCheck { .. })));
        harness.end_attempt(id, 0, Outcome::Success, 30.0);
        harness.advance(Span::from_ms(30.0));
    }
}

/// A fleet that is all warming up has a part of its capacity, and no one of many balancers learns that in time: each has at
/// most one request in flight, as all of them together would overload it with two.
#[test]
fn each_of_many_balancers_has_one_request_in_flight_to_a_fleet_that_is_all_warming_up() {
    for seed in 1..=5 {
        let mut set = settings(300, Effect::Idempotent);
        (set.initial_capacity_share, set.warm_up_time) = (0.2, Span::from_ms(60_000.0));
        let out = |cold: bool| {
            let mut harness = served(set.clone(), seed);
            let started = Some(harness.now).filter(|_| cold);
            harness.set_endpoints(
                fleet(SERVERS, ZONES, 1).into_iter().map(|l| Endpoint { started_at: started, ..l }).collect(),
            );
            (0..6).filter(|_| harness.submit(0).1.is_some()).count()
        };
        let (cold, warm) = (out(true), out(false));
        assert_eq!(cold, 1, "seed {seed}");
        assert!(warm > 1, "seed {seed}: {warm} in a warm one");
    }
}

/// A fleet that has fallen behind is not sent all that clients ask for, as they retry: no more is in flight than is answered
/// in time, or it would stay behind.
#[test]
fn little_is_dispatched_while_little_is_answered() {
    for seed in 1..=5 {
        let mut harness =
            Harness::new(Settings { max_attempts: 1, ..settings(100, Effect::Idempotent) }, seed);
        harness.set_endpoints(fleet(SERVERS, ZONES, 1));
        for n in 0..400 {
            let (id, server) = harness.submit(0);
            assert!(server.is_some(), "nothing is out");
            harness.advance(Span::from_ms(30.0));
            let behind = n >= 200 && n % 5 != 0;
            harness.end_attempt(id, 0, if behind { Outcome::TimedOut } else { Outcome::Success }, 30.0);
            harness.advance(Span::from_ms(10.0));
        }
        let out = (0..6).filter(|_| harness.submit(0).1.is_some()).count();
        assert!((1..=2).contains(&out), "seed {seed}: {out} out, as many as when all was answered");
    }
}

/// One of many balancers sees few responses of each server: one that has become slow must show in these.
#[test]
fn slowed_server_is_chosen_less_after_a_few_responses() {
    for seed in 1..=5 {
        let mut harness = served(settings(100, Effect::Idempotent), seed);
        let mut share = |slow: Option<ServerId>| {
            let mut sent = std::collections::BTreeMap::<ServerId, u32>::new();
            for _ in 0..100 {
                let (id, server) = harness.submit(0);
                let server = server.expect("an idle fleet");
                *sent.entry(server).or_default() += 1;
                let ms = if Some(server) == slow { 120.0 } else { 30.0 };
                harness.advance(Span::from_ms(ms));
                harness.end_attempt(id, 0, Outcome::Success, ms);
                harness.advance(Span::from_ms(40.0));
            }
            sent
        };
        let (server, before) = share(None).into_iter().max_by_key(|(_, n)| *n).expect("servers");
        let after = share(Some(server)).get(&server).copied().unwrap_or_default();
        assert!(after * 3 < before, "seed {seed}: {after} of 100 when slow, {before} before");
    }
}

/// When few balancers become many, the servers have been listed before: each balancer still has its own subset, or all would
/// draw from the same few servers.
#[test]
fn balancers_that_become_many_draw_from_different_subsets() {
    let mut all = [0_u32; SERVERS as usize];
    for seed in 0..100 {
        let mut harness = Harness::new(settings(3, Effect::Idempotent), seed);
        harness.set_endpoints(fleet(SERVERS, ZONES, 1));
        let more = Box::new(settings(100, Effect::Idempotent));
        harness.notify(Event::Settings { settings: more, class_ids: vec![ClassId(0)] });
        for _ in 0..50 {
            harness.advance(Span::from_ms(40.0));
            all[harness.submit_and_answer(30.0).expect("an idle fleet").0 as usize] += 1;
        }
    }
    let most = all.iter().max().copied().unwrap_or_default();
    assert!(all.iter().all(|n| *n > 0) && most < 2 * 5000 / SERVERS, "{all:?}");
}
