//! Outlier detection: servers that hang, fail fast or become slow are avoided. Servers of a busy fleet are not ejected.
mod common;
use common::*;
use heronhoist_decision::*;

/// Submits requests one after the other and ends their attempts with the outcomes and latencies from `result`. Returns
/// the number of attempts sent to each of `n` servers.
fn serve(
    harness: &mut Harness,
    n: usize,
    count: u32,
    result: impl Fn(ServerId) -> (Outcome, f64),
) -> Vec<u32> {
    let mut sent = vec![0; n];
    for _ in 0..count {
        let (id, mut server) = harness.submit(0);
        let mut attempt = 0;
        while let Some(target) = server {
            sent[target.0 as usize] += 1;
            let (outcome, ms) = result(target);
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
    for failure in [Outcome::ServerError, Outcome::ConnectFailed, Outcome::ConnectionReset] {
        let mut harness = Harness::new(single_class(Effect::Idempotent), 11);
        harness.set_endpoints(fleet(5, 1, 1));
        let failing = ServerId(2);
        let sent = serve(&mut harness, 5, 400, |server| {
            if server == failing {
                (failure, 0.2)
            } else {
                (Outcome::Success, 30.0)
            }
        });
        assert!(sent[2] <= 12, "{failure:?}: {sent:?}, expected only recovery probes");
        assert!(sent[2] >= 3, "{failure:?}: {sent:?}, expected recovery probes");
        let recovered = serve(&mut harness, 5, 400, |_| (Outcome::Success, 30.0));
        assert!(recovered[2] > 30, "{failure:?}: {recovered:?}, expected it to be used again");
    }
}

#[test]
fn much_slower_server_is_avoided_until_it_recovers() {
    let mut harness = Harness::new(single_class(Effect::Idempotent), 11);
    harness.set_endpoints(fleet(5, 1, 1));
    let sent =
        serve(&mut harness, 5, 300, |server| (Outcome::Success, if server.0 == 2 { 300.0 } else { 30.0 }));
    assert!(sent[2] < 20, "{sent:?}");
    let recovered = serve(&mut harness, 5, 600, |_| (Outcome::Success, 30.0));
    assert!(recovered[2] > 30, "{recovered:?}");
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
    // A server with at least two requests in flight does not respond. All other servers do.
    let sent: Vec<_> = (0..8)
        .map(|_| harness.submit(0))
        .filter_map(|(id, server)| server.map(|server| (id, server)))
        .collect();
    let hung = sent
        .iter()
        .map(|request| request.1)
        .find(|server| sent.iter().filter(|request| request.1 == *server).count() > 1)
        .unwrap();
    for (id, server) in &sent {
        if *server != hung {
            harness.end_attempt(*id, 0, Outcome::Success, 20.0);
        }
    }
    let actions = harness.advance(Span::from_ms(150.0));
    for &(id, _) in sent.iter().filter(|request| request.1 == hung) {
        assert!(actions.contains(&Action::Cancel { request: id, attempt: AttemptNumber(0) }), "{actions:?}");
        harness.end_attempt(id, 0, Outcome::Cancelled, 150.0);
        assert!(harness.target_of(id).is_some_and(|server| server != hung));
        harness.end_attempt(id, 1, Outcome::Success, 20.0);
    }
    let after = serve(&mut harness, 4, 6, |_| (Outcome::Success, 20.0));
    assert_eq!(after[hung.0 as usize], 0, "the first recovery probe is not due yet");
}

/// At low load, expensive requests would otherwise eject healthy servers and be retried in vain.
#[test]
fn expensive_request_alone_on_its_server_does_not_eject_it_before_its_latency_objective() {
    let mut harness = Harness::new(single_class(Effect::Idempotent), 5);
    harness.set_endpoints(fleet(4, 1, 1));
    serve(&mut harness, 4, 40, |_| (Outcome::Success, 20.0));
    assert!(harness.submit(0).1.is_some());
    let is_ejected =
        |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Cancel { .. } | Action::Log { .. }));
    assert!(!is_ejected(&harness.advance(Span::from_ms(195.0))));
    assert!(is_ejected(&harness.advance(Span::from_ms(60.0))), "its latency objective has passed");
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

/// Without an idempotent class, non-idempotent requests must probe ejected servers after a while. Otherwise no server
/// would recover.
#[test]
fn servers_recover_without_an_idempotent_class() {
    let mut harness = Harness::new(single_class(Effect::AtMostOnce), 11);
    harness.set_endpoints(fleet(3, 1, 1));
    serve(&mut harness, 3, 100, |server| match server.0 {
        1 => (Outcome::ServerError, 0.2),
        _ => (Outcome::Success, 20.0),
    });
    let recovered = serve(&mut harness, 3, 400, |_| (Outcome::Success, 20.0));
    assert!(recovered[1] > 30, "{recovered:?}");
}

#[test]
fn partition_of_most_of_the_fleet_leaves_the_rest_in_use() {
    let mut harness = Harness::new(single_class(Effect::Idempotent), 11);
    harness.set_endpoints(fleet(8, 1, 1));
    let result = |server: ServerId| {
        if server.0 < 6 {
            (Outcome::ConnectFailed, 100.0)
        } else {
            (Outcome::Success, 20.0)
        }
    };
    serve(&mut harness, 8, 60, result);
    let sent = serve(&mut harness, 8, 100, result);
    assert!(sent[..6].iter().sum::<u32>() < 40, "{sent:?}");
    assert!(sent[6] + sent[7] >= 95, "{sent:?}");
}

#[test]
fn fleet_that_fails_as_a_whole_still_gets_attempts() {
    let mut harness = Harness::new(single_class(Effect::Idempotent), 11);
    harness.set_endpoints(fleet(4, 1, 1));
    serve(&mut harness, 4, 40, |_| (Outcome::ServerError, 1.0));
    let sent = serve(&mut harness, 4, 40, |_| (Outcome::Success, 20.0));
    assert!(sent.iter().sum::<u32>() >= 40, "{sent:?}");
}

/// Connection resets at all servers are not the fault of any one of them. If two in a row ejected a server, half of the
/// fleet would be ejected at any time, and requests would be rejected for lack of capacity.
#[test]
fn connection_resets_everywhere_eject_no_server() {
    let mut harness = Harness::new(single_class(Effect::Idempotent), 11);
    harness.set_endpoints(fleet(5, 1, 1));
    let mut ejections = 0;
    let mut random = 0_u32;
    for _ in 0..3000 {
        let (id, mut server) = harness.submit(0);
        let mut attempt = 0;
        while server.is_some() {
            random = random.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let is_reset = random >> 24 < 38;
            let (outcome, ms) =
                if is_reset { (Outcome::ConnectionReset, 5.0) } else { (Outcome::Success, 30.0) };
            harness.advance(Span::from_ms(ms));
            let actions = harness.end_attempt(id, attempt, outcome, ms);
            ejections += actions.iter().filter(|a| matches!(a, Action::Log { .. })).count();
            server = harness.target_of(id);
            attempt += 1;
        }
        harness.advance(Span::from_ms(5.0));
    }
    harness.assert_no_violation();
    assert!(ejections <= 15, "{ejections} ejections in 3,000 requests, of which 15% are reset");
}

/// The count contains the draining and the ejected servers, but not ejected servers whose recovery probe is due.
#[test]
fn excluded_endpoints_counts_draining_and_ejected_servers() {
    let mut harness = Harness::new(single_class(Effect::Idempotent), 11);
    harness.set_endpoints(fleet(5, 1, 1));
    assert_eq!(harness.balancer.excluded_endpoints(harness.now), 0);
    let failing = ServerId(2);
    let result =
        |server| if server == failing { (Outcome::ServerError, 0.2) } else { (Outcome::Success, 30.0) };
    while harness.balancer.excluded_endpoints(harness.now) == 0 {
        serve(&mut harness, 5, 1, result);
    }
    assert_eq!(
        harness.balancer.excluded_endpoints(harness.now + Span::from_ms(10_000.0)),
        0,
        "its recovery probe is due by then"
    );
    let mut endpoints = fleet(5, 1, 1);
    endpoints[0].status = Status::Draining;
    endpoints[1].status = Status::Removed;
    harness.set_endpoints(endpoints);
    assert_eq!(
        harness.balancer.excluded_endpoints(harness.now),
        2,
        "one is draining, one is ejected, and one is removed"
    );
}
