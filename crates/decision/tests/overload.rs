//! Overload must not lead to late responses, standing queues, retry storms or unfair rejections.
mod common;
use common::*;
use heronhoist_decision::*;
use std::collections::BTreeMap;

fn settings() -> Settings {
    Settings { classes: vec![class(Effect::Idempotent)], max_attempts: 6, ..Settings::default() }
}

/// Submits `count` requests to a fleet of one server. Returns the dispatched requests and the queued ones.
fn fill(harness: &mut Harness, count: u32) -> (Vec<RequestId>, Vec<RequestId>) {
    harness.set_endpoints(fleet(1, 1, 1));
    let submitted: Vec<_> = (0..count)
        .map(|_| {
            harness.advance(Span::from_ms(1.0));
            harness.submit(0)
        })
        .collect();
    let sent = submitted.iter().filter(|request| request.1.is_some()).map(|request| request.0).collect();
    (sent, submitted.iter().filter(|request| request.1.is_none()).map(|request| request.0).collect())
}

/// A latency objective only a little above the minimum latency is not a sign of congestion, so the concurrency limit must
/// still grow. A latency far above the minimum is such a sign, and the limit must stay low.
#[test]
fn tight_latency_objective_does_not_reduce_the_concurrency_limit() {
    let served_in_last_second = |first_ms: f64, later_ms: f64| {
        let mut harness = Harness::new(settings(), 1);
        harness.set_endpoints(fleet(1, 1, 1));
        let mut in_flight: Vec<(Time, RequestId)> = Vec::new();
        let mut last_second = 0;
        for round in 0..400 {
            let ms = if round < 100 { first_ms } else { later_ms };
            let mut sent = vec![harness.submit(0)]
                .into_iter()
                .filter_map(|(id, server)| server.map(|_| id))
                .collect::<Vec<_>>();
            let now = harness.now;
            let due: Vec<_> =
                in_flight.iter().filter(|attempt| attempt.0 <= now).map(|attempt| attempt.1).collect();
            in_flight.retain(|attempt| attempt.0 > now);
            let sends = |actions: &[Action]| -> Vec<RequestId> {
                let id = |action: &Action| match action {
                    Action::Send { request, .. } => Some(*request),
                    _ => None,
                };
                actions.iter().filter_map(id).collect()
            };
            for id in due {
                last_second += u32::from(round >= 300);
                sent.extend(sends(harness.end_attempt(id, 0, Outcome::Success, ms)));
            }
            sent.extend(sends(&harness.advance(Span::from_ms(10.0))));
            in_flight.extend(sent.into_iter().map(|id| (now + Span::from_ms(ms), id)));
        }
        last_second
    };
    let (tight, congested) = (served_in_last_second(70.0, 70.0), served_in_last_second(10.0, 70.0));
    assert!(
        tight > 90,
        "{tight} of 100 served in a second if the minimum latency is a third of the latency objective"
    );
    assert!(
        congested < 60,
        "{congested} of 100 served in a second if the latency is seven times the minimum"
    );
}

/// In first-in, first-out order, every queued request would wait until its response is late.
#[test]
fn queued_requests_are_dispatched_newest_first() {
    let mut harness = Harness::new(settings(), 1);
    let (sent, queued) = fill(&mut harness, 12);
    assert!(!sent.is_empty() && queued.len() > 4);
    harness.end_attempt(sent[0], 0, Outcome::Success, 20.0);
    assert!(harness.target_of(*queued.last().unwrap()).is_some());
    assert!(harness.target_of(queued[0]).is_none());
}

#[test]
fn queued_requests_are_rejected_before_their_latency_objective_has_passed() {
    let mut harness = Harness::new(settings(), 1);
    let (_, queued) = fill(&mut harness, 12);
    let start = harness.now;
    let mut rejections = 0;
    while harness.now.since(start) < Span::from_ms(200.0) {
        rejections += harness
            .advance(Span::from_ms(10.0))
            .iter()
            .filter(|a| matches!(a, Action::Reject { .. }))
            .count();
        if rejections == queued.len() {
            break;
        }
    }
    assert_eq!(rejections, queued.len());
    assert!(harness.now.since(start) < Span::from_ms(200.0), "too late for a useful retry of the client");
}

#[test]
fn concurrency_limit_follows_latency() {
    let mut harness = Harness::new(settings(), 1);
    harness.set_endpoints(fleet(2, 1, 1));
    let mut round = |ms: f64| {
        let mut in_flight = Vec::new();
        let queued = loop {
            match harness.submit(0) {
                (id, Some(_)) => in_flight.push(id),
                (id, None) => break id,
            }
        };
        let limit = in_flight.len();
        harness.advance(Span::from_ms(ms));
        let mut target = None;
        for id in in_flight {
            target = target.or(target_in(harness.end_attempt(id, 0, Outcome::Success, ms), queued));
        }
        if target.is_some() {
            harness.end_attempt(queued, 0, Outcome::Success, ms);
        }
        harness.advance(Span::from_ms(250.0));
        limit
    };
    let initial = round(20.0);
    for _ in 0..10 {
        round(210.0);
    }
    let reduced = round(210.0);
    assert!(reduced < initial, "{reduced} in flight after late responses, {initial} before");
    for _ in 0..60 {
        round(15.0);
    }
    assert!(round(15.0) > reduced + 2, "the limits must grow again, even from as low as 1.5");
}

/// A request whose attempts are rejected must not be sent at once to one full server after another.
#[test]
fn rejected_attempts_are_retried_only_within_the_retry_budget() {
    let mut harness = Harness::new(settings(), 1);
    harness.set_endpoints(fleet(3, 1, 1));
    let mut sends = 0;
    let mut attempts: BTreeMap<RequestId, u32> = BTreeMap::new();
    for _ in 0..200 {
        harness.submit(0);
        let mut actions = harness.actions.clone();
        actions.extend(harness.advance(Span::from_ms(5.0)));
        while let Some(action) = actions.pop() {
            if let Action::Send { request, .. } = action {
                sends += 1;
                let attempt = attempts.entry(request).or_insert(0);
                actions.extend_from_slice(harness.end_attempt(request, *attempt, Outcome::Rejected, 1.0));
                *attempt += 1;
            }
        }
    }
    harness.advance(Span::from_ms(300.0));
    assert!(sends < 240, "{sends} attempts for 200 requests to full servers");
    harness.assert_no_violation();
}

/// A client's retry is recognized by its unusual timeout. If its latency objective has already passed, it must be
/// rejected, because a response would be of no use.
#[test]
fn client_retry_past_its_latency_objective_is_rejected() {
    let mut harness = Harness::new(settings(), 1);
    harness.set_endpoints(fleet(9, 1, 1));
    let mut is_sent = |id: u64, time_left_ms: f64| {
        let request = Request::new(RequestId(1000 + id), ClassId(0), Span::from_ms(time_left_ms));
        harness.notify(Event::Request(request)).iter().any(|a| matches!(a, Action::Send { .. }))
    };
    for id in 0..10 {
        assert!(is_sent(id, 500.0), "a timeout of 500 ms is the usual one, although the deadline is 800 ms");
    }
    assert!(is_sent(10, 700.0), "100 ms have passed, half of the latency objective");
    assert!(!is_sent(11, 580.0), "220 ms have passed, more than the latency objective of 200 ms");
}

/// Submits more requests than two servers can serve. Returns the numbers of submitted and of served requests, by class
/// and tenant.
fn serve_under_overload(
    settings: Settings,
    new_request: impl Fn(u32) -> Request,
) -> BTreeMap<(usize, Option<usize>), (u32, u32)> {
    let mut harness = Harness::new(settings, 3);
    harness.set_endpoints(fleet(2, 1, 1));
    let mut pending: Vec<(Time, Request)> = Vec::new();
    let mut counts: BTreeMap<_, (u32, u32)> = BTreeMap::new();
    for i in 0..6000 {
        let request = new_request(i);
        let count = counts.entry((request.class.0, request.tenant.map(|tenant| tenant.0))).or_default();
        count.0 += 1;
        let mut actions = harness.notify(Event::Request(request.clone())).to_vec();
        pending.push((Time(u64::MAX), request));
        actions.extend(harness.advance(Span::from_ms(2.0)));
        let due: Vec<_> =
            pending.iter().filter(|request| request.0 <= harness.now).map(|request| request.1.id).collect();
        for id in due {
            actions.extend_from_slice(harness.end_attempt(id, 0, Outcome::Success, 40.0));
            let (_, served) =
                pending.swap_remove(pending.iter().position(|request| request.1.id == id).unwrap());
            counts.get_mut(&(served.class.0, served.tenant.map(|tenant| tenant.0))).unwrap().1 += 1;
        }
        for action in actions {
            if let Action::Send { request, .. } = action {
                if let Some(sent) = pending.iter_mut().find(|sent| sent.1.id == request) {
                    sent.0 = harness.now + Span::from_ms(40.0);
                }
            }
        }
    }
    counts
}

fn served_fraction(count: &(u32, u32)) -> f64 {
    f64::from(count.1) / f64::from(count.0)
}

#[test]
fn overload_spares_the_class_with_the_highest_weight_for_its_work() {
    let class_of_weight = |priority_weight| Class { priority_weight, ..class(Effect::Idempotent) };
    let score_weights = ScoreWeights { overall: 0.7, worst_window: 0.0, worst_class: 0.3, worst_tenant: 0.0 };
    let settings = Settings {
        classes: vec![class_of_weight(1.0), class_of_weight(3.0), class_of_weight(10.0)],
        score_weights,
        ..Settings::default()
    };
    let counts = serve_under_overload(settings, |i| {
        Request::new(RequestId(u64::from(i)), ClassId((i % 3) as usize), Span::from_ms(800.0))
    });
    let served: Vec<f64> = counts.values().map(served_fraction).collect();
    assert!(served[2] > served[1] + 0.05 && served[1] > served[0] + 0.05, "{served:?}");
    assert!(served[0] > 0.5, "no class must be starved: {served:?}");
}

#[test]
fn tenant_over_its_quota_is_shed_first() {
    let tenant = |quota_fraction| Tenant { quota_fraction, quota_per_second: 100.0 };
    let settings = Settings {
        tenants: vec![tenant(0.3), tenant(0.7)],
        over_quota_weight: 0.1,
        classes: vec![class(Effect::Idempotent)],
        ..Settings::default()
    };
    let counts = serve_under_overload(settings, |i| Request {
        tenant: Some(TenantId(usize::from(i % 5 == 0))),
        ..Request::new(RequestId(u64::from(i)), ClassId(0), Span::from_ms(800.0))
    });
    let served: Vec<f64> = counts.values().map(served_fraction).collect();
    assert!(served[1] > served[0] + 0.05, "the tenant within its quota must be served better: {served:?}");
}
