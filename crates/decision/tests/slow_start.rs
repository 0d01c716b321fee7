//! Rule four: a server that has just started gets only its part of the load.
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

/// Sends at `per_s` for `ms`, each answered after 20 ms; how many went to `server`, of how many.
fn load(harness: &mut Harness, per_s: f64, ms: f64, server: ServerId) -> (u32, u32) {
    let (mut there, mut all) = (0, 0);
    let mut out: Vec<(Time, RequestId, u32)> = Vec::new();
    let end = harness.now + Span::from_ms(ms);
    while harness.now < end {
        let (id, sent) = harness.submit(0);
        if let Some(sent) = sent {
            all += 1;
            there += u32::from(sent == server);
            out.push((harness.now + Span::from_ms(20.0), id, 0));
        }
        harness.advance(Span::from_ms(1000.0 / per_s));
        let now = harness.now;
        let due: Vec<_> = out.iter().filter(|o| o.0 <= now).copied().collect();
        out.retain(|o| o.0 > now);
        for (_, id, attempt) in due {
            harness.end_attempt(id, attempt, Outcome::Success, 20.0);
        }
    }
    for (_, id, attempt) in out {
        harness.end_attempt(id, attempt, Outcome::Success, 20.0);
    }
    (there, all)
}

#[test]
fn warming_server_gets_its_capacity_fraction_of_the_load() {
    let mut harness = Harness::new(settings(), 4);
    let mut lines = fleet(6, 1, 1);
    lines[5].started_at = Some(harness.now);
    harness.set_endpoints(lines);
    let (cold, all) = load(&mut harness, 200.0, 1500.0, ServerId(5));
    let warm = f64::from(all - cold) / 5.0;
    assert!(f64::from(cold) <= 0.5 * warm, "cold {cold}, a warm one {warm}");
    assert!(cold >= 1, "it is not shut out either");
    load(&mut harness, 200.0, 8600.0, ServerId(5));
    let (then, all) = load(&mut harness, 200.0, 1500.0, ServerId(5));
    assert!(f64::from(then) > 0.5 * f64::from(all) / 6.0, "warm by then: {then} of {all}");
    harness.assert_no_violation();
}

#[test]
fn restart_while_warming_up_restarts_slow_start() {
    let mut harness = Harness::new(settings(), 4);
    let mut lines = fleet(6, 1, 1);
    lines[5].started_at = Some(harness.now);
    harness.set_endpoints(lines.clone());
    load(&mut harness, 200.0, 8000.0, ServerId(5));
    lines[5].started_at = Some(harness.now);
    harness.notify(Event::EndpointList(EndpointUpdate::Changes(vec![lines[5].clone()])));
    let (cold, all) = load(&mut harness, 200.0, 1000.0, ServerId(5));
    assert!(f64::from(cold) <= 0.5 * f64::from(all - cold) / 5.0, "{cold} of {all}");
    harness.assert_no_violation();
}

#[test]
fn fleet_that_is_all_warming_up_still_serves() {
    for n in [1, 4] {
        let mut harness = Harness::new(settings(), 4);
        let start = harness.now;
        harness.set_endpoints(warming_fleet(n, start));
        let (_, all) = load(&mut harness, 20.0, 1000.0, ServerId(0));
        assert!(all > 10, "{all} sent");
        harness.assert_no_violation();
    }
}

/// Before anything is answered, a warming fleet must not be flooded by the first seconds' arrivals.
#[test]
fn fleet_that_is_all_warming_up_is_paced_by_its_responses() {
    let mut harness = Harness::new(settings(), 4);
    let start = harness.now;
    harness.set_endpoints(warming_fleet(4, start));
    let mut sent = 0;
    for _ in 0..200 {
        sent += u32::from(harness.submit(0).1.is_some());
    }
    assert!(sent <= 8, "{sent} sent at once to four servers at a fifth of their capacity");
}

/// A rejected request is not in flight, and loads a full server all the same. A warming server is left alone for as long as
/// it needs to have capacity again; a warm one is not.
#[test]
fn overloaded_warming_server_is_backed_off_from() {
    let sends = |started: bool, fate: Outcome| {
        let mut harness = Harness::new(Settings { max_attempts: 1, ..settings() }, 4);
        let start = harness.now;
        harness.set_endpoints(
            fleet(1, 1, 1)
                .into_iter()
                .map(|l| Endpoint { started_at: started.then_some(start), ..l })
                .collect(),
        );
        let mut sent = 0;
        for _ in 0..200 {
            let (id, to) = harness.submit(0);
            if to.is_some() {
                sent += 1;
                harness.end_attempt(id, 0, fate, 1.0);
            }
            harness.advance(Span::from_ms(5.0));
        }
        sent
    };
    for fate in [Outcome::Rejected, Outcome::TimedOut] {
        let (cold, warm) = (sends(true, fate), sends(false, fate));
        assert!(cold <= 20, "{cold} sends in a second to a server that is cold, {fate:?}");
        assert!(warm > 3 * cold, "{warm} to a warm one, {cold} to a cold one, {fate:?}");
    }
}

/// Where only warming servers are left, with far too little capacity, each of many balancers backs off ever longer until a
/// request is served: together they would overload them.
#[test]
fn backoff_grows_while_a_warming_server_stays_overloaded() {
    let mut harness = Harness::new(Settings { max_attempts: 1, balancers: 45, ..settings() }, 4);
    let start = harness.now;
    harness.set_endpoints(warming_fleet(2, start));
    // Sends in each second; from the sixth on the servers serve.
    let mut all = Vec::new();
    let sent: Vec<usize> = (0..8)
        .map(|second| {
            let mut sent = 0;
            for _ in 0..200 {
                harness.submit(0);
                all.append(&mut harness.actions);
                while let Some(action) = all.pop() {
                    let Action::Send { request, .. } = action else { continue };
                    sent += 1;
                    let fate = if second < 5 { Outcome::Rejected } else { Outcome::Success };
                    harness.end_attempt(request, 0, fate, 1.0);
                    all.append(&mut harness.actions);
                }
                all.extend(harness.advance(Span::from_ms(5.0)));
            }
            sent
        })
        .collect();
    let later = sent[2] + sent[3] + sent[4];
    assert!(sent[0] >= 2 && later > 0 && later <= 2 * sent[0], "{sent:?}");
    assert!(sent[7] > sent[0], "those that have served are asked again as before: {sent:?}");
}

/// An ejected warm server is no reason to leave warming ones idle, nor to send them all of its load.
#[test]
fn warming_servers_stand_in_for_ejected_ones_within_their_part() {
    let mut harness = Harness::new(Settings { max_attempts: 1, ..settings() }, 4);
    harness.set_endpoints(fleet(3, 1, 1));
    load(&mut harness, 100.0, 500.0, ServerId(0));
    let mut lines = fleet(3, 1, 1);
    (lines[1].started_at, lines[2].started_at) = (Some(harness.now), Some(harness.now));
    harness.notify(Event::EndpointList(EndpointUpdate::Changes(lines[1..].to_vec())));
    let (mut sent, mut asked) = (0, 0);
    for _ in 0..300 {
        let (id, to) = harness.submit(0);
        asked += 1;
        if let Some(to) = to {
            let fate = if to == ServerId(0) { Outcome::ConnectFailed } else { Outcome::Success };
            sent += u32::from(to != ServerId(0));
            harness.end_attempt(id, 0, fate, 20.0);
        }
        harness.advance(Span::from_ms(10.0));
    }
    assert!(sent > asked / 10, "{sent} of {asked} sent to the two that live");
    assert!(sent < asked * 2 / 3, "{sent} of {asked} sent to two that are cold");
    // The observer measures cold ones by what warm ones are sent, and the only warm one here is dead.
}

/// Where too few warm servers are left, they are always full. Warming ones beside them still serve their part, and each no
/// more than its capacity fraction of what a warm one is sent.
#[test]
fn warming_servers_beside_full_ones_serve_their_part() {
    let mut harness =
        Harness::new(Settings { max_attempts: 1, warm_up_time: Span::from_ms(60_000.0), ..settings() }, 4);
    harness.set_endpoints(fleet(6, 1, 1));
    load(&mut harness, 100.0, 4000.0, ServerId(0));
    let mut lines = fleet(6, 1, 1);
    lines[3..].iter_mut().for_each(|line| line.started_at = Some(harness.now));
    harness.notify(Event::EndpointList(EndpointUpdate::Changes(lines[3..].to_vec())));
    // Each takes so much of the aim for a request now that few may be out to it at a time.
    let answer_ms = 100.0;
    let (mut out, mut sent) = (Vec::new(), [0.0; 6]);
    for _ in 0..8000 {
        let (id, to) = harness.submit(0);
        if let Some(to) = to {
            sent[to.0 as usize] += 1.0;
            out.push((harness.now + Span::from_ms(answer_ms), id));
        }
        let held = harness.advance(Span::from_ms(2.0));
        for action in held.iter().chain(&harness.actions.clone()) {
            if let Action::Send { request, server, .. } = action {
                if *request != id || to.is_none() {
                    sent[server.0 as usize] += 1.0;
                    out.push((harness.now + Span::from_ms(answer_ms), *request));
                }
            }
        }
        let now = harness.now;
        let due: Vec<_> = out.iter().filter(|o| o.0 <= now).map(|o| o.1).collect();
        out.retain(|o| o.0 > now);
        for id in due {
            harness.end_attempt(id, 0, Outcome::Success, answer_ms);
            for action in harness.actions.clone() {
                if let Action::Send { request, server, .. } = action {
                    sent[server.0 as usize] += 1.0;
                    out.push((harness.now + Span::from_ms(answer_ms), request));
                }
            }
        }
    }
    let (warm, cold) = (sent[..3].iter().sum::<f64>() / 3.0, sent[3..].iter().sum::<f64>() / 3.0);
    assert!(cold >= 0.05 * warm, "cold ones are sent {cold}, warm ones {warm} each: {sent:?}");
    assert!(cold <= warm, "cold ones are sent {cold}, warm ones {warm} each: {sent:?}");
}

/// The clock may start near zero; that is no restart.
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
