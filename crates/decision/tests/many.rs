//! Guards what a balancer does that is one of a hundred: harmless for one, it would be harmful if all did otherwise.
mod common;
use common::*;
use heronhoist_decision::*;

const SERVERS: u32 = 60;
const ZONES: u32 = 3;

/// A hundred balancers that may probe.
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

/// A rig in which requests have come and been answered for a while, so that it knows its traffic.
fn served(settings: Settings, seed: u64) -> Rig {
    let mut rig = Rig::new(settings, seed);
    rig.list(fleet(SERVERS, ZONES, 1));
    for _ in 0..200 {
        assert!(rig.ask_and_answer(30.0).is_some());
        rig.wait(Span::from_ms(40.0));
    }
    rig
}

/// Requests one after the other to a fleet of which zone 2 is lost, as refused or silent; what of it was tried.
fn lose_zone(rig: &mut Rig, requests: u32) -> (u32, u32) {
    let (mut sent, mut probed) = (0, 0);
    for _ in 0..requests {
        let (id, mut server) = rig.ask(0);
        let mut attempt = 0;
        while let Some(to) = server {
            let lost = to.0 % ZONES == 2;
            let (outcome, ms) = if lost { (Outcome::ConnectFailed, 100.0) } else { (Outcome::Success, 30.0) };
            sent += u32::from(lost);
            let mut on_the_way = rig.wait(Span::from_ms(ms));
            rig.answer(id, attempt, outcome, ms);
            server = rig.sent_to(id);
            attempt += 1;
            on_the_way.extend(rig.wait(Span::from_ms(10.0)));
            for action in on_the_way {
                if let Action::HealthCheck { server } = action {
                    probed += 1;
                    assert_eq!(server.0 % ZONES, 2, "only suspects are probed");
                    rig.tell(Event::HealthCheckResult {
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

/// A building that is lost need not be learnt server by server: with 20 servers there each of a hundred balancers would
/// give 20 requests for it, and more for every trial. One that draws from a part meets few of them.
#[test]
fn a_lost_zone_costs_one_of_many_few_requests_and_few_probes() {
    for seed in 1..=5 {
        let mut rig = served(settings(100, Effect::Idempotent), seed);
        let (sent, probed) = lose_zone(&mut rig, 300);
        assert!(sent <= 8, "seed {seed}: {sent} requests went to the lost zone");
        assert!((1..=40).contains(&probed), "seed {seed}: {probed} probes for 300 requests");
        rig.assert_rules();
        let mut alone = served(settings(3, Effect::Idempotent), seed);
        assert!(lose_zone(&mut alone, 300).0 > 20, "seed {seed}: few balancers learn by their own requests");
    }
}

/// A suspect is taken back when a probe finds it well.
#[test]
fn a_zone_that_is_back_is_taken_back_when_a_probe_finds_one_well() {
    let mut rig = served(settings(100, Effect::Idempotent), 3);
    lose_zone(&mut rig, 100);
    assert!(rig.balancer.excluded_endpoints(rig.now) >= 1, "it has met one of the lost");
    let mut probes = 0;
    for _ in 0..400 {
        let (id, server) = rig.ask(0);
        let actions = rig.wait(Span::from_ms(30.0));
        if server.is_some() {
            rig.answer(id, 0, Outcome::Success, 30.0);
        }
        for action in actions.into_iter().chain(rig.wait(Span::from_ms(40.0))) {
            if let Action::HealthCheck { server } = action {
                probes += 1;
                let (outcome, elapsed, report) = (Outcome::Success, Span::from_ms(1.0), Some(vec![0.0]));
                rig.tell(Event::HealthCheckResult { server, outcome, elapsed, report });
            }
        }
    }
    assert_eq!(rig.balancer.excluded_endpoints(rig.now), 0, "after {probes} probes");
    assert!(probes <= 30, "{probes} probes for a part of 20 servers");
}

/// The one zone that there is is never taken as lost.
#[test]
fn a_fleet_in_one_zone_keeps_servers_whatever_fails() {
    let mut rig = Rig::new(settings(100, Effect::Idempotent), 9);
    rig.list(fleet(SERVERS, 1, 1));
    for _ in 0..10 {
        let (id, server) = rig.ask(0);
        if server.is_some() {
            rig.wait(Span::from_ms(100.0));
            rig.answer(id, 0, Outcome::ConnectFailed, 100.0);
        }
    }
    assert!(rig.balancer.excluded_endpoints(rig.now) < 40, "{}", rig.balancer.excluded_endpoints(rig.now));
}

/// Little's law: with a fleet that stops to answer, the hundred would fill it with all that comes; each keeps to what
/// comes in within a part of its aim, and gives up the rest long before half of the client's time.
#[test]
fn what_is_out_stays_within_what_comes_in_and_the_rest_is_given_up_early() {
    let mut rig = served(settings(100, Effect::Idempotent), 4);
    let (mut out, mut refused) = (0, 0);
    let mut asked = Vec::new();
    for _ in 0..20 {
        let (id, server) = rig.ask(0);
        out += u32::from(server.is_some());
        asked.push((id, rig.now));
        for action in rig.wait(Span::from_ms(25.0)) {
            if let Action::Reject { request, .. } = action {
                let came = asked.iter().find(|(id, _)| *id == request).map(|a| a.1).unwrap_or_default();
                assert!(rig.now.since(came).as_ms() < 400.0, "held for too long");
                refused += 1;
            }
        }
    }
    assert!(out <= 4, "{out} of 20 requests went out within 500 ms");
    assert!(refused >= 4, "{refused} given up");
    let mut few = served(settings(3, Effect::Idempotent), 4);
    let all = (0..20).filter(|_| few.ask(0).1.is_some()).count();
    assert_eq!(all, 20, "few balancers go by their counts");
}

/// Counts are zero nearly everywhere; without what is known of kinds the coin gives a slow machine as much as a quick one.
#[test]
fn a_kind_that_is_slow_gets_less_though_all_counts_are_zero() {
    let kind = |line: Endpoint| Endpoint { machine_type: MachineTypeId(line.server.0 % 2), ..line };
    let share = |balancers| {
        let mut rig = Rig::new(settings(balancers, Effect::Idempotent), 8);
        rig.list(fleet(SERVERS, 1, 1).into_iter().map(kind).collect());
        let mut slow = 0;
        for _ in 0..600 {
            let (id, server) = rig.ask(0);
            let Some(server) = server else { panic!("an idle fleet") };
            let ms = if server.0 % 2 == 0 { 20.0 } else { 40.0 };
            slow += server.0 % 2;
            rig.wait(Span::from_ms(ms));
            rig.answer(id, 0, Outcome::Success, ms);
            rig.wait(Span::from_ms(20.0));
        }
        f64::from(slow) / 600.0
    };
    let (many, few) = (share(100), share(3));
    assert!(many < 0.3 && few > 0.35, "{many} of many, {few} of few");
}

/// Only what may be repeated is given for a trial of a server that fails fast.
#[test]
fn what_must_not_run_twice_is_not_given_for_trials() {
    let mut both = settings(100, Effect::Idempotent);
    both.classes.push(class(Effect::AtMostOnce));
    let mut rig = Rig::new(both, 6);
    rig.list(fleet(6, 1, 1));
    let sick = ServerId(0);
    let mut lost = 0;
    for n in 0..1500 {
        let class = usize::from(n % 3 == 0);
        let (id, mut server) = rig.ask(class);
        let mut attempt = 0;
        while let Some(to) = server {
            let outcome = if to == sick { Outcome::ServerError } else { Outcome::Success };
            lost += u32::from(to == sick && class == 1);
            rig.wait(Span::from_ms(20.0));
            rig.answer(id, attempt, outcome, 20.0);
            server = rig.sent_to(id);
            attempt += 1;
        }
        rig.wait(Span::from_ms(20.0));
    }
    assert!(lost <= 3, "{lost} certified copies were lost to a server known to fail");
    rig.assert_rules();
}

/// A hundred balancers together send a cold server its warmth's part of a warm one's load: no more, or they push it over,
/// and not much less, or the warm ones bear what it could. Where counts are zero it wins one pick in four that it is
/// drawn for, so the roll that holds for balancers which go by counts would leave it a quarter of its part.
#[test]
fn a_cold_server_gets_its_part_of_the_load_from_many() {
    let (mut cold, mut warm, rounds) = (0.0, 0.0, 40);
    for seed in 0..100 {
        let mut set = settings(100, Effect::Idempotent);
        (set.initial_capacity_share, set.warm_up_time) = (0.3, Span::from_ms(60_000.0));
        let mut rig = Rig::new(set, seed);
        let started = Some(rig.now);
        let line = |line: Endpoint| Endpoint { started_at: started.filter(|_| line.server.0 < 12), ..line };
        rig.list(fleet(SERVERS, ZONES, 1).into_iter().map(line).collect());
        for _ in 0..rounds {
            match rig.ask_and_answer(30.0) {
                Some(server) if server.0 < 12 => cold += 1.0 / 12.0,
                Some(_) => warm += 1.0 / 48.0,
                None => panic!("an idle fleet"),
            }
            rig.wait(Span::from_ms(40.0));
        }
        rig.assert_rules();
    }
    let part: f64 = cold / warm;
    assert!((0.2..=0.36).contains(&part), "{part} of a warm one's load at a warmth of 0.3");
}

/// Nine hundred before two dozen servers: none meets a cold one twice before all have met it once, and beside warm ones that a
/// crowd has made slow it wins most picks that it is drawn for. It bears three times its warmth's part, of which half is left to
/// repeats, connections and chance.
#[test]
fn a_cold_server_beside_crowded_ones_gets_its_part_from_more_than_can_learn_of_it() {
    let (mut cold, mut warm) = (0.0, 0.0);
    for seed in 0..300 {
        let mut set = settings(900, Effect::Idempotent);
        (set.initial_capacity_share, set.warm_up_time) = (0.2, Span::from_ms(60_000.0));
        set.overload_factor = 3.0;
        let mut rig = Rig::new(set, seed);
        rig.list(fleet(24, ZONES, 1));
        for (rounds, ms, joined) in [(0..20, 20.0, false), (0..10, 110.0, true)] {
            if joined {
                let back = Endpoint { started_at: Some(rig.now), ..fleet(24, ZONES, 1).remove(5) };
                rig.tell(Event::EndpointList(EndpointUpdate::Changes(vec![back])));
            }
            for _ in rounds {
                let server = rig.ask_and_answer(ms);
                rig.wait(Span::from_ms(40.0));
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

/// What a balancer of so many is sent by one request after the other, server by server.
fn spread(balancers: u32, seed: u64, requests: u32) -> Vec<u32> {
    let mut rig = Rig::new(settings(balancers, Effect::Idempotent), seed);
    rig.list(fleet(SERVERS, ZONES, 1));
    let mut sent = vec![0; SERVERS as usize];
    for _ in 0..requests {
        sent[rig.ask_and_answer(30.0).expect("an idle fleet").0 as usize] += 1;
        rig.wait(Span::from_ms(40.0));
    }
    sent
}

/// Connections must not grow as balancers times servers: each of a hundred keeps to a part of the fleet, and together
/// they load it evenly.
#[test]
fn one_of_many_keeps_to_a_part_of_the_fleet_and_all_together_load_it_evenly() {
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

/// The part is made up by others when its servers leave, and servers that are cold count for as much as they can do.
#[test]
fn a_part_that_leaves_or_is_cold_is_made_up_by_other_servers() {
    let mut rig = served(settings(100, Effect::Idempotent), 5);
    let mut met = std::collections::BTreeSet::new();
    for _ in 0..100 {
        met.extend(rig.ask_and_answer(30.0));
        rig.wait(Span::from_ms(40.0));
    }
    let part = met.len();
    let left: Vec<Endpoint> =
        fleet(SERVERS, ZONES, 1).into_iter().filter(|l| !met.contains(&l.server)).collect();
    let cold = |l: Endpoint| Endpoint { started_at: Some(rig.now), ..l };
    let lines: Vec<Endpoint> = left.into_iter().map(cold).collect();
    rig.list(lines);
    let mut others = std::collections::BTreeSet::new();
    for _ in 0..100 {
        others.extend(rig.ask_and_answer(30.0));
        rig.wait(Span::from_ms(40.0));
    }
    assert!(others.is_disjoint(&met), "what has left gets nothing");
    assert!(others.len() > part, "{} cold ones stand for {part} warm ones", others.len());
}

/// Little's law gives the mean; of so few, chance alone brings more than that at once, and refusing those serves nobody.
#[test]
fn a_few_that_come_together_by_chance_are_let_out() {
    for seed in 1..=5 {
        let mut rig = Rig::new(settings(100, Effect::Idempotent), seed);
        rig.list(fleet(SERVERS, ZONES, 1));
        for _ in 0..200 {
            assert!(rig.ask_and_answer(30.0).is_some());
            rig.wait(Span::from_ms(10.0));
        }
        // One in 40 ms, an aim of 200 ms, of which a fifth: one is out in the mean, and its root is one more.
        let out = (0..6).filter(|_| rig.ask(0).1.is_some()).count();
        assert_eq!(out, 3, "seed {seed}");
    }
}

/// A look at servers before each request costs more than it shows, at any price of probes and any number of balancers.
#[test]
fn no_probe_is_spent_on_an_ordinary_request() {
    let prices = Costs::default();
    let mut rig = Rig::new(Settings { costs: prices, ..settings(1000, Effect::Idempotent) }, 2);
    rig.list(fleet(6, 1, 1));
    for _ in 0..100 {
        let (id, server) = rig.ask(0);
        assert!(server.is_some(), "it is sent at once");
        assert!(!rig.actions.iter().any(|action| matches!(action, Action::HealthCheck { .. })));
        let later = rig.wait(Span::from_ms(30.0));
        assert!(!later.iter().any(|action| matches!(action, Action::HealthCheck { .. })));
        rig.answer(id, 0, Outcome::Success, 30.0);
        rig.wait(Span::from_ms(30.0));
    }
}

/// A fleet that is all cold can do a part of what it does warm, and no one of many learns that in time: each has one request
/// out at most, where all of them together would push it over with two.
#[test]
fn one_of_many_has_one_request_out_in_a_fleet_that_is_all_cold() {
    for seed in 1..=5 {
        let mut set = settings(300, Effect::Idempotent);
        (set.initial_capacity_share, set.warm_up_time) = (0.2, Span::from_ms(60_000.0));
        let out = |cold: bool| {
            let mut rig = served(set.clone(), seed);
            let started = Some(rig.now).filter(|_| cold);
            rig.list(
                fleet(SERVERS, ZONES, 1).into_iter().map(|l| Endpoint { started_at: started, ..l }).collect(),
            );
            (0..6).filter(|_| rig.ask(0).1.is_some()).count()
        };
        let (cold, warm) = (out(true), out(false));
        assert_eq!(cold, 1, "seed {seed}");
        assert!(warm > 1, "seed {seed}: {warm} in a warm one");
    }
}

/// A fleet that has fallen behind is not sent as much as clients ask, who come again: no more is out than is answered
/// in time, or it would stay behind.
#[test]
fn where_little_is_answered_little_is_let_out() {
    for seed in 1..=5 {
        let mut rig = Rig::new(Settings { max_attempts: 1, ..settings(100, Effect::Idempotent) }, seed);
        rig.list(fleet(SERVERS, ZONES, 1));
        for n in 0..400 {
            let (id, server) = rig.ask(0);
            assert!(server.is_some(), "nothing is out");
            rig.wait(Span::from_ms(30.0));
            let behind = n >= 200 && n % 5 != 0;
            rig.answer(id, 0, if behind { Outcome::TimedOut } else { Outcome::Success }, 30.0);
            rig.wait(Span::from_ms(10.0));
        }
        let out = (0..6).filter(|_| rig.ask(0).1.is_some()).count();
        assert!((1..=2).contains(&out), "seed {seed}: {out} out, as many as when all was answered");
    }
}

/// One of many sees few answers of each server: one that has become slow must show in these.
#[test]
fn a_server_that_becomes_slow_is_chosen_less_after_a_few_answers() {
    for seed in 1..=5 {
        let mut rig = served(settings(100, Effect::Idempotent), seed);
        let mut share = |slow: Option<ServerId>| {
            let mut sent = std::collections::BTreeMap::<ServerId, u32>::new();
            for _ in 0..100 {
                let (id, server) = rig.ask(0);
                let server = server.expect("an idle fleet");
                *sent.entry(server).or_default() += 1;
                let ms = if Some(server) == slow { 120.0 } else { 30.0 };
                rig.wait(Span::from_ms(ms));
                rig.answer(id, 0, Outcome::Success, ms);
                rig.wait(Span::from_ms(40.0));
            }
            sent
        };
        let (server, before) = share(None).into_iter().max_by_key(|(_, n)| *n).expect("servers");
        let after = share(Some(server)).get(&server).copied().unwrap_or_default();
        assert!(after * 3 < before, "seed {seed}: {after} of 100 when slow, {before} before");
    }
}

/// Settings that grow from few balancers to many find servers that were listed before: parts are each one's own all the
/// same, or all would draw from the same few.
#[test]
fn balancers_that_become_many_do_not_all_draw_from_the_same_part() {
    let mut all = [0_u32; SERVERS as usize];
    for seed in 0..100 {
        let mut rig = Rig::new(settings(3, Effect::Idempotent), seed);
        rig.list(fleet(SERVERS, ZONES, 1));
        let more = Box::new(settings(100, Effect::Idempotent));
        rig.tell(Event::Settings { settings: more, class_ids: vec![ClassId(0)] });
        for _ in 0..50 {
            rig.wait(Span::from_ms(40.0));
            all[rig.ask_and_answer(30.0).expect("an idle fleet").0 as usize] += 1;
        }
    }
    let most = all.iter().max().copied().unwrap_or_default();
    assert!(all.iter().all(|n| *n > 0) && most < 2 * 5000 / SERVERS, "{all:?}");
}
