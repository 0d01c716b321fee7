//! Outlier detection: servers that hang, fail fast or slow down are avoided; a busy fleet is not taken for outliers.
mod common;
use common::*;
use heronhoist_decision::*;

/// Submits requests one after the other, each answered by `answer`; how many went to each of `n` servers.
fn serve(
    harness: &mut Harness,
    n: usize,
    count: u32,
    answer: impl Fn(ServerId) -> (Outcome, f64),
) -> Vec<u32> {
    let mut sent = vec![0; n];
    for _ in 0..count {
        let (id, mut server) = harness.submit(0);
        let mut attempt = 0;
        while let Some(to) = server {
            sent[to.0 as usize] += 1;
            let (outcome, ms) = answer(to);
            harness.advance(Span::from_ms(ms));
            harness.end_attempt(id, attempt, outcome, ms);
            server = harness.target_of(id);
            attempt += 1;
        }
        harness.advance(Span::from_ms(5.0));
    }
    harness.assert_no_violation();
    sent
}

#[test]
fn fast_errors_do_not_attract_traffic() {
    for bad in [Outcome::ServerError, Outcome::ConnectFailed, Outcome::ConnectionReset] {
        let mut harness = Harness::new(single_class(Effect::Idempotent), 11);
        harness.set_endpoints(fleet(5, 1, 1));
        let sick = ServerId(2);
        let sent =
            serve(&mut harness, 5, 400, |s| if s == sick { (bad, 0.2) } else { (Outcome::Success, 30.0) });
        assert!(sent[2] <= 12, "{bad:?}: {sent:?}, of them trials only");
        assert!(sent[2] >= 3, "{bad:?}: {sent:?}, it is tried again");
        let well = serve(&mut harness, 5, 400, |_| (Outcome::Success, 30.0));
        assert!(well[2] > 30, "{bad:?}: {well:?}, it is taken back");
    }
}

#[test]
fn much_slower_server_is_avoided_until_it_recovers() {
    let mut harness = Harness::new(single_class(Effect::Idempotent), 11);
    harness.set_endpoints(fleet(5, 1, 1));
    let sent = serve(&mut harness, 5, 300, |s| (Outcome::Success, if s.0 == 2 { 300.0 } else { 30.0 }));
    assert!(sent[2] < 20, "{sent:?}");
    let well = serve(&mut harness, 5, 600, |_| (Outcome::Success, 30.0));
    assert!(well[2] > 30, "{well:?}");
}

#[test]
fn uniformly_slow_fleet_keeps_all_servers() {
    let mut harness = Harness::new(single_class(Effect::Idempotent), 11);
    harness.set_endpoints(fleet(5, 1, 1));
    serve(&mut harness, 5, 100, |_| (Outcome::Success, 30.0));
    let sent = serve(&mut harness, 5, 300, |_| (Outcome::Success, 110.0));
    assert!(sent.iter().all(|n| *n > 20), "{sent:?}");
}

#[test]
fn unresponsive_server_is_ejected_and_its_idempotent_requests_are_retried() {
    let mut harness = Harness::new(single_class(Effect::Idempotent), 5);
    harness.set_endpoints(fleet(4, 1, 1));
    serve(&mut harness, 4, 40, |_| (Outcome::Success, 20.0));
    // Two requests on one server, none on the others: only there nothing comes back.
    let asked: Vec<_> = (0..8).map(|_| harness.submit(0)).filter_map(|(id, s)| s.map(|s| (id, s))).collect();
    let hung = asked.iter().map(|a| a.1).find(|s| asked.iter().filter(|a| a.1 == *s).count() > 1).unwrap();
    for (id, server) in &asked {
        if *server != hung {
            harness.end_attempt(*id, 0, Outcome::Success, 20.0);
        }
    }
    let actions = harness.advance(Span::from_ms(150.0));
    for &(id, _) in asked.iter().filter(|a| a.1 == hung) {
        assert!(actions.contains(&Action::Cancel { request: id, attempt: AttemptNumber(0) }), "{actions:?}");
        harness.end_attempt(id, 0, Outcome::Cancelled, 150.0);
        assert!(harness.target_of(id).is_some_and(|s| s != hung));
        harness.end_attempt(id, 1, Outcome::Success, 20.0);
    }
    let after = serve(&mut harness, 4, 6, |_| (Outcome::Success, 20.0));
    assert_eq!(after[hung.0 as usize], 0, "not before its first trial");
}

/// At low load, expensive requests would eject healthy servers, and be retried in vain.
#[test]
fn expensive_request_alone_on_its_server_does_not_eject_it_before_its_latency_objective() {
    let mut harness = Harness::new(single_class(Effect::Idempotent), 5);
    harness.set_endpoints(fleet(4, 1, 1));
    serve(&mut harness, 4, 40, |_| (Outcome::Success, 20.0));
    assert!(harness.submit(0).1.is_some());
    let seen =
        |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Cancel { .. } | Action::Log { .. }));
    assert!(!seen(&harness.advance(Span::from_ms(195.0))));
    assert!(seen(&harness.advance(Span::from_ms(60.0))), "past its aim it counts");
}

#[test]
fn non_idempotent_attempts_are_not_cancelled() {
    let mut harness = Harness::new(single_class(Effect::AtMostOnce), 5);
    harness.set_endpoints(fleet(4, 1, 1));
    let (id, _) = harness.submit(0);
    let actions = harness.advance(Span::from_ms(790.0));
    assert!(!actions.iter().any(|a| matches!(a, Action::Cancel { .. })), "{actions:?}");
    harness.end_attempt(id, 0, Outcome::TimedOut, 800.0);
    harness.assert_no_violation();
}

/// Without an idempotent class nothing would ever probe an ejected server, so other requests must after a while.
#[test]
fn servers_recover_without_an_idempotent_class() {
    let mut harness = Harness::new(single_class(Effect::AtMostOnce), 11);
    harness.set_endpoints(fleet(3, 1, 1));
    serve(&mut harness, 3, 100, |s| match s.0 {
        1 => (Outcome::ServerError, 0.2),
        _ => (Outcome::Success, 20.0),
    });
    let well = serve(&mut harness, 3, 400, |_| (Outcome::Success, 20.0));
    assert!(well[1] > 30, "{well:?}");
}

#[test]
fn partition_of_most_of_the_fleet_leaves_the_rest_in_use() {
    let mut harness = Harness::new(single_class(Effect::Idempotent), 11);
    harness.set_endpoints(fleet(8, 1, 1));
    let cut = |s: ServerId| if s.0 < 6 { (Outcome::ConnectFailed, 100.0) } else { (Outcome::Success, 20.0) };
    serve(&mut harness, 8, 60, cut);
    let sent = serve(&mut harness, 8, 100, cut);
    assert!(sent[..6].iter().sum::<u32>() < 40, "{sent:?}");
    assert!(sent[6] + sent[7] >= 95, "{sent:?}");
}

#[test]
fn fleet_that_fails_as_a_whole_is_still_tried() {
    let mut harness = Harness::new(single_class(Effect::Idempotent), 11);
    harness.set_endpoints(fleet(4, 1, 1));
    serve(&mut harness, 4, 40, |_| (Outcome::ServerError, 1.0));
    let sent = serve(&mut harness, 4, 40, |_| (Outcome::Success, 20.0));
    assert!(sent.iter().sum::<u32>() >= 40, "{sent:?}");
}

/// Connection resets everywhere now and then say nothing of any one server: if two in a row ejected one, half of the fleet
/// would be ejected at any moment, and requests rejected for want of capacity.
#[test]
fn connection_resets_everywhere_eject_no_server() {
    let mut harness = Harness::new(single_class(Effect::Idempotent), 11);
    harness.set_endpoints(fleet(5, 1, 1));
    let mut suspects = 0;
    let mut count = 0_u32;
    for _ in 0..3000 {
        let (id, mut server) = harness.submit(0);
        let mut attempt = 0;
        while server.is_some() {
            count = count.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let breaks = count >> 24 < 38;
            let (outcome, ms) =
                if breaks { (Outcome::ConnectionReset, 5.0) } else { (Outcome::Success, 30.0) };
            harness.advance(Span::from_ms(ms));
            let actions = harness.end_attempt(id, attempt, outcome, ms);
            suspects += actions.iter().filter(|a| matches!(a, Action::Log { .. })).count();
            server = harness.target_of(id);
            attempt += 1;
        }
        harness.advance(Span::from_ms(5.0));
    }
    harness.assert_no_violation();
    assert!(suspects <= 15, "{suspects} times in 3,000 requests of which 15% break");
}

/// Operators see the draining and ejected servers, without ejected ones whose probe is due.
#[test]
fn excluded_endpoints_counts_draining_and_ejected_servers() {
    let mut harness = Harness::new(single_class(Effect::Idempotent), 11);
    harness.set_endpoints(fleet(5, 1, 1));
    assert_eq!(harness.balancer.excluded_endpoints(harness.now), 0);
    let sick = ServerId(2);
    let answer = |s| if s == sick { (Outcome::ServerError, 0.2) } else { (Outcome::Success, 30.0) };
    while harness.balancer.excluded_endpoints(harness.now) == 0 {
        serve(&mut harness, 5, 1, answer);
    }
    assert_eq!(
        harness.balancer.excluded_endpoints(harness.now + Span::from_ms(10_000.0)),
        0,
        "its trial is due by then"
    );
    let mut lines = fleet(5, 1, 1);
    lines[0].status = Status::Draining;
    lines[1].status = Status::Removed;
    harness.set_endpoints(lines);
    assert_eq!(
        harness.balancer.excluded_endpoints(harness.now),
        2,
        "one drains, one is suspect, and one is no longer listed"
    );
}
