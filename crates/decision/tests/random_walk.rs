//! Random walks: the four rules of the observer hold for random sequences of events, and equal events give equal
//! actions.
mod common;
use common::*;
use heronhoist_decision::*;
use std::collections::BTreeMap;

fn settings(seed: u64) -> Settings {
    Settings {
        balancers: 1 + (seed % 7) as u32,
        classes: vec![
            class(Effect::Idempotent),
            class(Effect::AtMostOnce),
            class(deduplicated(DeduplicationScope::All, 300.0)),
            class(deduplicated(DeduplicationScope::Zone, 200.0)),
            class(deduplicated(DeduplicationScope::Cell, 600.0)),
            Class { late_weight_share: 0.3, stream: true, ..class(Effect::Idempotent) },
        ],
        hedging: seed % 2 == 0,
        cancel: seed % 3 != 0,
        retry_after: seed % 5 == 0,
        health_checks: seed % 4 == 0,
        report_source: if seed % 3 == 0 { ReportSource::None } else { ReportSource::Responses },
        report_fields: vec![ReportField::InFlight, ReportField::ServiceTime],
        discovery: if seed % 2 == 1 { Discovery::OnRequest } else { Discovery::Pushed },
        initial_capacity_share: 0.2,
        warm_up_time: Span::from_ms(4000.0),
        ..Settings::default()
    }
}

struct Attempt {
    request: RequestId,
    attempt: u32,
    sent_at: Time,
    timeout_at: Time,
    is_streaming: bool,
}

/// Runs `steps` random events. Returns the harness and the balancer's actions at each step as text.
fn walk(seed: u64, steps: u32) -> (Harness, Vec<String>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let settings = settings(seed);
    let classes = settings.classes.clone();
    let mut harness = Harness::new(settings, seed ^ 0x5eed);
    let mut endpoints = fleet(1 + rng.u32(0..9), 3, 3);
    let mut in_flight: Vec<Attempt> = Vec::new();
    let mut attempts: BTreeMap<RequestId, u32> = BTreeMap::new();
    let mut all_actions = Vec::new();
    let mut health_checks: Vec<ServerId> = Vec::new();
    harness.notify(Event::EndpointList(EndpointUpdate::Saved(endpoints.clone())));
    for step in 0..steps {
        let mut actions = Vec::new();
        match rng.u32(0..100) {
            0..=39 => {
                let class = rng.usize(0..classes.len());
                let time_left = classes[class].deadline * (rng.f64() * 1.2).min(1.0);
                let mut request = Request::new(RequestId(u64::from(step)), ClassId(class), time_left);
                request.key = rng.bool().then(|| KeyId(rng.u64(0..5)));
                request.cost_hint = rng.bool().then(|| Span::from_ms(rng.f64() * 80.0));
                actions.extend_from_slice(harness.notify(Event::Request(request)));
            }
            40..=79 if !in_flight.is_empty() => {
                let ended = in_flight.swap_remove(rng.usize(0..in_flight.len()));
                let outcome = match rng.u32(0..10) {
                    _ if harness.now >= ended.timeout_at && !ended.is_streaming => Outcome::TimedOut,
                    0 => Outcome::ServerError,
                    1 if !ended.is_streaming => Outcome::Rejected,
                    2 if !ended.is_streaming => Outcome::ConnectFailed,
                    3 => Outcome::ConnectionReset,
                    4 if !ended.is_streaming => Outcome::NotSent,
                    _ => Outcome::Success,
                };
                let report =
                    rng.bool().then(|| vec![rng.f64() * 9.0, [f64::NAN, -4.0, 30.0][rng.usize(0..3)]]);
                let is_request_finished = outcome == Outcome::Success || ended.is_streaming;
                actions.extend_from_slice(harness.notify(Event::AttemptEnded {
                    request: ended.request,
                    attempt: AttemptNumber(ended.attempt),
                    outcome,
                    elapsed: harness.now.since(ended.sent_at),
                    report,
                    is_request_finished,
                    is_body_consumed: false,
                }));
            }
            80..=83 if !in_flight.is_empty() => {
                let i = rng.usize(0..in_flight.len());
                let begun = &mut in_flight[i];
                begun.is_streaming = true;
                let event =
                    Event::FirstByte { request: begun.request, attempt: AttemptNumber(begun.attempt) };
                actions.extend_from_slice(harness.notify(event));
            }
            84..=86 => {
                let request = RequestId(u64::from(rng.u32(0..=step)));
                actions.extend_from_slice(harness.notify(Event::ClientDisconnected { request }));
            }
            87..=90 => {
                let i = rng.usize(0..endpoints.len());
                endpoints[i].status =
                    [Status::Serving, Status::Serving, Status::Draining, Status::Removed][rng.usize(0..4)];
                if rng.bool() && endpoints[i].status == Status::Serving {
                    endpoints[i].started_at = Some(harness.now);
                }
                let update = match rng.u32(0..6) {
                    0 => EndpointUpdate::Failed,
                    1 => EndpointUpdate::Complete(endpoints.clone()),
                    _ => EndpointUpdate::Changes(vec![endpoints[i].clone()]),
                };
                actions.extend_from_slice(harness.notify(Event::EndpointList(update)));
            }
            _ => {
                for server in std::mem::take(&mut health_checks) {
                    let outcome = [Outcome::Success, Outcome::Success, Outcome::Rejected][rng.usize(0..3)];
                    let report = (outcome == Outcome::Success).then(|| vec![rng.f64() * 4.0, f64::NAN]);
                    let elapsed = Span::from_ms(1.0);
                    let event = Event::HealthCheckResult { server, outcome, elapsed, report };
                    actions.extend_from_slice(harness.notify(event));
                }
                actions.extend(harness.advance(Span::from_ms(rng.f64() * 15.0)));
            }
        }
        // Attempts past their timeout end, as they would in the caller's network.
        while let Some(i) =
            in_flight.iter().position(|attempt| harness.now >= attempt.timeout_at && !attempt.is_streaming)
        {
            let ended = in_flight.swap_remove(i);
            actions.extend_from_slice(harness.end_attempt(
                ended.request,
                ended.attempt,
                Outcome::TimedOut,
                800.0,
            ));
        }
        for action in &actions {
            match action {
                Action::Send { request, timeout_at, .. } => {
                    let number = attempts.entry(*request).or_insert(0);
                    let (attempt, sent_at, timeout_at) = (*number, harness.now, *timeout_at);
                    *number += 1;
                    in_flight.push(Attempt {
                        request: *request,
                        attempt,
                        sent_at,
                        timeout_at,
                        is_streaming: false,
                    });
                }
                Action::Cancel { request, attempt } => {
                    let is_cancelled = |sent: &Attempt| {
                        sent.request == *request && sent.attempt == attempt.0 && !sent.is_streaming
                    };
                    if let Some(cancelled) = in_flight.iter_mut().find(|sent| is_cancelled(sent)) {
                        // It ends in the next step, with `TimedOut` instead of `Cancelled`.
                        cancelled.timeout_at = harness.now;
                    }
                }
                Action::HealthCheck { server } => health_checks.push(*server),
                _ => {}
            }
        }
        all_actions.push(format!("{actions:?}"));
    }
    (harness, all_actions)
}

#[test]
fn random_walks_violate_no_rule() {
    for seed in 0..120 {
        let (harness, all_actions) = walk(seed, 1500);
        assert!(harness.observer.violations.is_empty(), "seed {seed}: {:#?}", harness.observer.violations);
        assert_eq!(harness.observer.lost(harness.now), 0, "seed {seed}");
        let steps_with_sends = all_actions.iter().filter(|actions| actions.contains("Send")).count();
        assert!(steps_with_sends > 50, "seed {seed}: attempts were sent in only {steps_with_sends} steps");
    }
}

#[test]
fn equal_events_give_equal_actions() {
    for seed in 0..10 {
        assert_eq!(walk(seed, 800).1, walk(seed, 800).1);
    }
}

#[test]
fn different_seeds_give_different_actions() {
    let actions_with = |seed| {
        let mut harness = Harness::new(settings(2), seed);
        harness.set_endpoints(fleet(9, 3, 3));
        (0..20).map(|_| harness.submit(0).1).collect::<Vec<_>>()
    };
    assert_ne!(actions_with(1), actions_with(2));
}

/// Two balancers that handle events in turn return the same actions as each does alone, because they share no state.
#[test]
fn interleaved_balancers_are_independent() {
    let step = |harness: &mut Harness, i: u32| {
        let (id, server) = harness.submit((i % 3) as usize);
        let mut actions = harness.actions.clone();
        actions.extend(harness.advance(Span::from_ms(3.0)));
        if server.is_some() && i % 4 != 0 {
            actions.extend_from_slice(harness.end_attempt(id, 0, Outcome::Success, 3.0));
        }
        actions
    };
    let start = |seed| {
        let mut harness = Harness::new(settings(seed), seed);
        harness.set_endpoints(fleet(7, 3, 3));
        harness
    };
    let alone = |seed| {
        let mut harness = start(seed);
        (0..300).map(|i| step(&mut harness, i)).collect::<Vec<_>>()
    };
    let (mut first, mut second) = (start(3), start(8));
    let (mut first_actions, mut second_actions) = (Vec::new(), Vec::new());
    for i in 0..300 {
        first_actions.push(step(&mut first, i));
        second_actions.push(step(&mut second, i));
    }
    assert_eq!((first_actions, second_actions), (alone(3), alone(8)));
}
