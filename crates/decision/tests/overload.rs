//! Overload: late responses, standing queues, retry storms and unfair rejections.
mod common;
use common::*;
use heronhoist_decision::*;
use std::collections::BTreeMap;

fn settings() -> Settings {
    Settings { classes: vec![class(Effect::Idempotent)], max_attempts: 6, ..Settings::default() }
}

/// Submits `count` requests to a fleet of one server; those dispatched and those queued.
fn fill(harness: &mut Harness, count: u32) -> (Vec<RequestId>, Vec<RequestId>) {
    harness.set_endpoints(fleet(1, 1, 1));
    let asked: Vec<_> = (0..count)
        .map(|_| {
            harness.advance(Span::from_ms(1.0));
            harness.submit(0)
        })
        .collect();
    let sent = asked.iter().filter(|a| a.1.is_some()).map(|a| a.0).collect();
    (sent, asked.iter().filter(|a| a.1.is_none()).map(|a| a.0).collect())
}

/// A latency objective that leaves little over the least latency is no sign of congestion, so the limit opens all the same.
/// Latency far above the least one is.
#[test]
fn tight_latency_objective_does_not_close_the_concurrency_limit() {
    let served = |quiet: f64, crowded: f64| {
        let mut harness = Harness::new(settings(), 1);
        harness.set_endpoints(fleet(1, 1, 1));
        let mut out: Vec<(Time, RequestId)> = Vec::new();
        let mut last_second = 0;
        for round in 0..400 {
            let ms = if round < 100 { quiet } else { crowded };
            let mut sent =
                vec![harness.submit(0)].into_iter().filter_map(|(id, to)| to.map(|_| id)).collect::<Vec<_>>();
            let now = harness.now;
            let done: Vec<_> = out.iter().filter(|o| o.0 <= now).map(|o| o.1).collect();
            out.retain(|o| o.0 > now);
            let sends = |actions: &[Action]| -> Vec<RequestId> {
                let id = |action: &Action| match action {
                    Action::Send { request, .. } => Some(*request),
                    _ => None,
                };
                actions.iter().filter_map(id).collect()
            };
            for id in done {
                last_second += u32::from(round >= 300);
                sent.extend(sends(harness.end_attempt(id, 0, Outcome::Success, ms)));
            }
            sent.extend(sends(&harness.advance(Span::from_ms(10.0))));
            out.extend(sent.into_iter().map(|id| (now + Span::from_ms(ms), id)));
        }
        last_second
    };
    let (tight, crowd) = (served(70.0, 70.0), served(10.0, 70.0));
    assert!(tight > 90, "{tight} of 100 a second where answers take a third of their aim with nobody about");
    assert!(crowd < 60, "{crowd} of 100 where they take seven times what they take with nobody about");
}

/// First come, first served would make every queued request late.
#[test]
fn queued_requests_are_dispatched_newest_first() {
    let mut harness = Harness::new(settings(), 1);
    let (sent, held) = fill(&mut harness, 12);
    assert!(!sent.is_empty() && held.len() > 4);
    harness.end_attempt(sent[0], 0, Outcome::Success, 20.0);
    assert!(harness.target_of(*held.last().unwrap()).is_some());
    assert!(harness.target_of(held[0]).is_none());
}

#[test]
fn queued_requests_are_rejected_before_their_latency_objective_has_passed() {
    let mut harness = Harness::new(settings(), 1);
    let (_, held) = fill(&mut harness, 12);
    let start = harness.now;
    let mut refusals = 0;
    while harness.now.since(start) < Span::from_ms(200.0) {
        refusals += harness
            .advance(Span::from_ms(10.0))
            .iter()
            .filter(|a| matches!(a, Action::Reject { .. }))
            .count();
        if refusals == held.len() {
            break;
        }
    }
    assert_eq!(refusals, held.len());
    assert!(harness.now.since(start) < Span::from_ms(200.0), "in time for the client's next try");
}

#[test]
fn concurrency_limit_follows_latency() {
    let mut harness = Harness::new(settings(), 1);
    harness.set_endpoints(fleet(2, 1, 1));
    let mut round = |ms: f64| {
        let mut out = Vec::new();
        let held = loop {
            match harness.submit(0) {
                (id, Some(_)) => out.push(id),
                (id, None) => break id,
            }
        };
        let now = out.len();
        harness.advance(Span::from_ms(ms));
        let mut late = None;
        for id in out {
            late = late.or(target_in(harness.end_attempt(id, 0, Outcome::Success, ms), held));
        }
        if late.is_some() {
            harness.end_attempt(held, 0, Outcome::Success, ms);
        }
        harness.advance(Span::from_ms(250.0));
        now
    };
    let first = round(20.0);
    for _ in 0..10 {
        round(210.0);
    }
    let crowded = round(210.0);
    assert!(crowded < first, "{crowded} after late answers, {first} before");
    for _ in 0..60 {
        round(15.0);
    }
    assert!(round(15.0) > crowded + 2, "limits must grow again, from one and a half too");
}

/// A rejected attempt must not go round the fleet at once, again and again.
#[test]
fn rejected_attempts_are_not_retried_round_and_round() {
    let mut harness = Harness::new(settings(), 1);
    harness.set_endpoints(fleet(3, 1, 1));
    let mut sends = 0;
    let mut attempts: BTreeMap<RequestId, u32> = BTreeMap::new();
    for _ in 0..200 {
        harness.submit(0);
        let mut todo = harness.actions.clone();
        todo.extend(harness.advance(Span::from_ms(5.0)));
        while let Some(action) = todo.pop() {
            if let Action::Send { request, .. } = action {
                sends += 1;
                let attempt = attempts.entry(request).or_insert(0);
                todo.extend_from_slice(harness.end_attempt(request, *attempt, Outcome::Rejected, 1.0));
                *attempt += 1;
            }
        }
    }
    harness.advance(Span::from_ms(300.0));
    assert!(sends < 240, "{sends} attempts for 200 requests to full servers");
    harness.assert_no_violation();
}

/// A client's retry is known by its unusual timeout; when its latency objective has passed, serving it is wasted.
#[test]
fn client_retry_past_its_latency_objective_is_rejected() {
    let mut harness = Harness::new(settings(), 1);
    harness.set_endpoints(fleet(9, 1, 1));
    let mut ask = |id: u64, left: f64| {
        let request = Request::new(RequestId(1000 + id), ClassId(0), Span::from_ms(left));
        harness.notify(Event::Request(request)).iter().any(|a| matches!(a, Action::Send { .. }))
    };
    for id in 0..10 {
        assert!(ask(id, 500.0), "first tries of a class wait alike, here for 500 of 800 ms");
    }
    assert!(ask(10, 700.0), "100 ms spent: half of the aim is left");
    assert!(!ask(11, 580.0), "220 ms spent: past the aim of 200");
}

fn pressed(settings: Settings, ask: impl Fn(u32) -> Request) -> BTreeMap<(usize, Option<usize>), (u32, u32)> {
    let mut harness = Harness::new(settings, 3);
    harness.set_endpoints(fleet(2, 1, 1));
    let mut out: Vec<(Time, Request)> = Vec::new();
    let mut tally: BTreeMap<_, (u32, u32)> = BTreeMap::new();
    for i in 0..6000 {
        let request = ask(i);
        let entry = tally.entry((request.class.0, request.tenant.map(|t| t.0))).or_default();
        entry.0 += 1;
        let mut actions = harness.notify(Event::Request(request.clone())).to_vec();
        out.push((Time(u64::MAX), request));
        actions.extend(harness.advance(Span::from_ms(2.0)));
        let due: Vec<_> = out.iter().filter(|o| o.0 <= harness.now).map(|o| o.1.id).collect();
        for id in due {
            actions.extend_from_slice(harness.end_attempt(id, 0, Outcome::Success, 40.0));
            let (_, r) = out.swap_remove(out.iter().position(|o| o.1.id == id).unwrap());
            tally.get_mut(&(r.class.0, r.tenant.map(|t| t.0))).unwrap().1 += 1;
        }
        for action in actions {
            if let Action::Send { request, .. } = action {
                if let Some(o) = out.iter_mut().find(|o| o.1.id == request) {
                    o.0 = harness.now + Span::from_ms(40.0);
                }
            }
        }
    }
    tally
}

fn share(tally: &(u32, u32)) -> f64 {
    f64::from(tally.1) / f64::from(tally.0)
}

#[test]
fn overload_spares_the_class_with_the_highest_weight_for_its_work() {
    let worth = |worth| Class { priority_weight: worth, ..class(Effect::Idempotent) };
    let goal = ScoreWeights { overall: 0.7, worst_window: 0.0, worst_class: 0.3, worst_tenant: 0.0 };
    let settings = Settings {
        classes: vec![worth(1.0), worth(3.0), worth(10.0)],
        score_weights: goal,
        ..Settings::default()
    };
    let tally = pressed(settings, |i| {
        Request::new(RequestId(u64::from(i)), ClassId((i % 3) as usize), Span::from_ms(800.0))
    });
    let served: Vec<f64> = tally.values().map(share).collect();
    assert!(served[2] > served[1] + 0.05 && served[1] > served[0] + 0.05, "{served:?}");
    assert!(served[0] > 0.5, "none is starved: {served:?}");
}

#[test]
fn tenant_over_its_quota_is_shed_first() {
    let tenant = |fraction| Tenant { quota_fraction: fraction, quota_per_second: 100.0 };
    let settings = Settings {
        tenants: vec![tenant(0.3), tenant(0.7)],
        over_quota_weight: 0.1,
        classes: vec![class(Effect::Idempotent)],
        ..Settings::default()
    };
    let tally = pressed(settings, |i| Request {
        tenant: Some(TenantId(usize::from(i % 5 == 0))),
        ..Request::new(RequestId(u64::from(i)), ClassId(0), Span::from_ms(800.0))
    });
    let served: Vec<f64> = tally.values().map(share).collect();
    assert!(served[1] > served[0] + 0.05, "the one within its share: {served:?}");
}
