//! Rule four: a server that has just started gets only its capacity fraction of the load.
mod common;
use common::*;
use heronhoist_decision::*;

fn settings() -> Settings {
    Settings {
        classes: vec![class(Effect::Idempotent)],
        initial_capacity_share: 0.2,
        warm_up_time: Span::from_ms(10_000.0),
        overload_factor: 2.5,
        overload_tolerance: Span::from_ms(1500.0),
        balancers: 3,
        ..Settings::default()
    }
}

/// Submits `per_s` requests per second for `ms` milliseconds, each answered after 20 ms. Returns the number of requests
/// sent to `server` and the number of all requests sent.
fn load(harness: &mut Harness, per_s: f64, ms: f64, server: ServerId) -> (u32, u32) {
    let (mut to_server, mut total) = (0, 0);
    let mut in_flight: Vec<(Time, RequestId, u32)> = Vec::new();
    let end = harness.now + Span::from_ms(ms);
    while harness.now < end {
        let (id, target) = harness.submit(0);
        if let Some(target) = target {
            total += 1;
            to_server += u32::from(target == server);
            in_flight.push((harness.now + Span::from_ms(20.0), id, 0));
        }
        harness.advance(Span::from_ms(1000.0 / per_s));
        let now = harness.now;
        let due: Vec<_> = in_flight.iter().filter(|attempt| attempt.0 <= now).copied().collect();
        in_flight.retain(|attempt| attempt.0 > now);
        for (_, id, attempt) in due {
            harness.end_attempt(id, attempt, Outcome::Success, 20.0);
        }
    }
    for (_, id, attempt) in in_flight {
        harness.end_attempt(id, attempt, Outcome::Success, 20.0);
    }
    (to_server, total)
}

#[test]
fn warming_server_gets_its_capacity_fraction_of_the_load() {
    let mut harness = Harness::new(settings(), 4);
    let mut endpoints = fleet(6, 1, 1);
    endpoints[5].started_at = Some(harness.now);
    harness.set_endpoints(endpoints);
    let (to_warming, total) = load(&mut harness, 200.0, 1500.0, ServerId(5));
    let to_each_warm = f64::from(total - to_warming) / 5.0;
    assert!(f64::from(to_warming) <= 0.5 * to_each_warm, "{to_warming}, and {to_each_warm} to each warm one");
    assert!(to_warming >= 1, "a warming server must get some requests");
    load(&mut harness, 200.0, 8600.0, ServerId(5));
    let (when_warm, total) = load(&mut harness, 200.0, 1500.0, ServerId(5));
    assert!(
        f64::from(when_warm) > 0.5 * f64::from(total) / 6.0,
        "{when_warm} of {total} to a server that is warm"
    );
    harness.assert_no_violation();
}

#[test]
fn restart_while_warming_up_restarts_slow_start() {
    let mut harness = Harness::new(settings(), 4);
    let mut endpoints = fleet(6, 1, 1);
    endpoints[5].started_at = Some(harness.now);
    harness.set_endpoints(endpoints.clone());
    load(&mut harness, 200.0, 8000.0, ServerId(5));
    endpoints[5].started_at = Some(harness.now);
    harness.notify(Event::EndpointList(EndpointUpdate::Changes(vec![endpoints[5].clone()])));
    let (to_warming, total) = load(&mut harness, 200.0, 1000.0, ServerId(5));
    assert!(f64::from(to_warming) <= 0.5 * f64::from(total - to_warming) / 5.0, "{to_warming} of {total}");
    harness.assert_no_violation();
}

#[test]
fn fleet_that_is_all_warming_up_still_serves() {
    for n in [1, 4] {
        let mut harness = Harness::new(settings(), 4);
        let start = harness.now;
        harness.set_endpoints(warming_fleet(n, start));
        let (_, total) = load(&mut harness, 20.0, 1000.0, ServerId(0));
        assert!(total > 10, "{total} requests sent");
        harness.assert_no_violation();
    }
}

/// Before the first response, a fleet that is all warming up must not be sent all the requests that arrive.
#[test]
fn fleet_that_is_all_warming_up_is_limited_before_its_first_response() {
    let mut harness = Harness::new(settings(), 4);
    let start = harness.now;
    harness.set_endpoints(warming_fleet(4, start));
    let mut sent = 0;
    for _ in 0..200 {
        sent += u32::from(harness.submit(0).1.is_some());
    }
    assert!(sent <= 8, "{sent} requests sent at once to four servers at a fifth of their capacity");
}

/// A rejected request is no longer in flight, but it has still added load to a full server. The balancer must back off
/// from an overloaded warming server until that has capacity again. It need not back off from a warm one.
#[test]
fn overloaded_warming_server_is_backed_off_from() {
    let sends = |is_warming: bool, outcome: Outcome| {
        let mut harness = Harness::new(Settings { max_attempts: 1, ..settings() }, 4);
        let start = harness.now;
        harness.set_endpoints(
            fleet(1, 1, 1)
                .into_iter()
                .map(|endpoint| Endpoint { started_at: is_warming.then_some(start), ..endpoint })
                .collect(),
        );
        let mut sent = 0;
        for _ in 0..200 {
            let (id, server) = harness.submit(0);
            if server.is_some() {
                sent += 1;
                harness.end_attempt(id, 0, outcome, 1.0);
            }
            harness.advance(Span::from_ms(5.0));
        }
        sent
    };
    for outcome in [Outcome::Rejected, Outcome::TimedOut] {
        let (to_warming, to_warm) = (sends(true, outcome), sends(false, outcome));
        assert!(to_warming <= 20, "{outcome:?}: {to_warming} sends in a second to a warming server");
        assert!(
            to_warm > 3 * to_warming,
            "{outcome:?}: {to_warm} to a warm server, {to_warming} to a warming one"
        );
    }
}

/// Only warming servers are left, and their capacity is far too low. Each of many balancers must back off for longer each
/// time until a request is served, because together they would keep the servers overloaded.
#[test]
fn backoff_grows_while_a_warming_server_stays_overloaded() {
    let mut harness = Harness::new(Settings { max_attempts: 1, balancers: 45, ..settings() }, 4);
    let start = harness.now;
    harness.set_endpoints(warming_fleet(2, start));
    // The number of sends in each second. From the sixth second on, the servers respond with success.
    let mut actions = Vec::new();
    let sent: Vec<usize> = (0..8)
        .map(|second| {
            let mut sent = 0;
            for _ in 0..200 {
                harness.submit(0);
                actions.append(&mut harness.actions);
                while let Some(action) = actions.pop() {
                    let Action::Send { request, .. } = action else { continue };
                    sent += 1;
                    let outcome = if second < 5 { Outcome::Rejected } else { Outcome::Success };
                    harness.end_attempt(request, 0, outcome, 1.0);
                    actions.append(&mut harness.actions);
                }
                actions.extend(harness.advance(Span::from_ms(5.0)));
            }
            sent
        })
        .collect();
    let while_overloaded = sent[2] + sent[3] + sent[4];
    assert!(sent[0] >= 2 && while_overloaded > 0 && while_overloaded <= 2 * sent[0], "{sent:?}");
    assert!(sent[7] > sent[0], "the backoff must end once a request is served: {sent:?}");
}

/// While the only warm server is ejected, the warming ones must serve requests, but they must not get all of its load.
#[test]
fn warming_servers_replace_ejected_ones_within_their_capacity() {
    let mut harness = Harness::new(Settings { max_attempts: 1, ..settings() }, 4);
    harness.set_endpoints(fleet(3, 1, 1));
    load(&mut harness, 100.0, 500.0, ServerId(0));
    let mut endpoints = fleet(3, 1, 1);
    (endpoints[1].started_at, endpoints[2].started_at) = (Some(harness.now), Some(harness.now));
    harness.notify(Event::EndpointList(EndpointUpdate::Changes(endpoints[1..].to_vec())));
    let (mut sent, mut submitted) = (0, 0);
    for _ in 0..300 {
        let (id, server) = harness.submit(0);
        submitted += 1;
        if let Some(server) = server {
            let outcome = if server == ServerId(0) { Outcome::ConnectFailed } else { Outcome::Success };
            sent += u32::from(server != ServerId(0));
            harness.end_attempt(id, 0, outcome, 20.0);
        }
        harness.advance(Span::from_ms(10.0));
    }
    assert!(sent > submitted / 10, "only {sent} of {submitted} sent to the two warming servers");
    assert!(sent < submitted * 2 / 3, "as many as {sent} of {submitted} sent to the two warming servers");
    // No check for violations: the observer compares warming servers with warm ones, and the only warm one is down.
}

/// The remaining warm servers are always full. The warming servers must still get their share of the load, but on average
/// no more than the warm ones.
#[test]
fn warming_servers_get_their_share_while_warm_ones_are_full() {
    let mut harness =
        Harness::new(Settings { max_attempts: 1, warm_up_time: Span::from_ms(60_000.0), ..settings() }, 4);
    harness.set_endpoints(fleet(6, 1, 1));
    load(&mut harness, 100.0, 4000.0, ServerId(0));
    let mut endpoints = fleet(6, 1, 1);
    endpoints[3..].iter_mut().for_each(|endpoint| endpoint.started_at = Some(harness.now));
    harness.notify(Event::EndpointList(EndpointUpdate::Changes(endpoints[3..].to_vec())));
    // Responses take half of the latency objective, so that the concurrency limits are low.
    let response_ms = 100.0;
    let (mut in_flight, mut sent) = (Vec::new(), [0.0; 6]);
    for _ in 0..8000 {
        let (id, target) = harness.submit(0);
        if let Some(target) = target {
            sent[target.0 as usize] += 1.0;
            in_flight.push((harness.now + Span::from_ms(response_ms), id));
        }
        let actions = harness.advance(Span::from_ms(2.0));
        for action in actions.iter().chain(&harness.actions.clone()) {
            if let Action::Send { request, server, .. } = action {
                if *request != id || target.is_none() {
                    sent[server.0 as usize] += 1.0;
                    in_flight.push((harness.now + Span::from_ms(response_ms), *request));
                }
            }
        }
        let now = harness.now;
        let due: Vec<_> =
            in_flight.iter().filter(|attempt| attempt.0 <= now).map(|attempt| attempt.1).collect();
        in_flight.retain(|attempt| attempt.0 > now);
        for id in due {
            harness.end_attempt(id, 0, Outcome::Success, response_ms);
            for action in harness.actions.clone() {
                if let Action::Send { request, server, .. } = action {
                    sent[server.0 as usize] += 1.0;
                    in_flight.push((harness.now + Span::from_ms(response_ms), request));
                }
            }
        }
    }
    let (to_warm, to_warming) = (sent[..3].iter().sum::<f64>() / 3.0, sent[3..].iter().sum::<f64>() / 3.0);
    assert!(
        to_warming >= 0.05 * to_warm,
        "{to_warming} to each warming server, {to_warm} to each warm one: {sent:?}"
    );
    assert!(
        to_warming <= to_warm,
        "{to_warming} to each warming server, {to_warm} to each warm one: {sent:?}"
    );
}

/// The clock may start near zero. The balancer must not take that for a recent start of the servers.
#[test]
fn clock_near_zero_starts_no_slow_start() {
    let settings = settings();
    let mut balancer = Balancer::new(settings, 1).unwrap();
    let mut actions = Vec::new();
    balancer.start(Time(0), &mut actions);
    balancer.handle(Time(1), Event::EndpointList(EndpointUpdate::Complete(fleet(2, 1, 1))), &mut actions);
    for i in 0..4 {
        let request = Request::new(RequestId(i), ClassId(0), Span::from_ms(800.0));
        balancer.handle(Time(2), Event::Request(request), &mut actions);
    }
    assert_eq!(actions.iter().filter(|a| matches!(a, Action::Send { .. })).count(), 4);
}
