//! Memory does not grow with the number of requests and servers.
mod common;
use common::*;
use heronhoist_decision::*;

/// Returns the resident memory of this process in KiB, or `None` if the operating system does not report it.
fn resident_kib() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/status").ok()?;
    text.lines().find(|line| line.starts_with("VmRSS"))?.split_whitespace().nth(1)?.parse().ok()
}

#[test]
fn memory_does_not_grow_with_requests() {
    let settings = single_class(Effect::Idempotent);
    let mut balancer = Balancer::new(settings, 1).unwrap();
    let mut actions = Vec::new();
    let mut now = Time::from_ms(1000.0);
    balancer.start(now, &mut actions);
    balancer.handle(now, Event::EndpointList(EndpointUpdate::Complete(fleet(6, 2, 2))), &mut actions);
    let mut serve = |from: u64, count: u64| {
        for id in from..from + count {
            now = now + Span::from_ms(5.0);
            actions.clear();
            let mut request = Request::new(RequestId(id), ClassId(0), Span::from_ms(800.0));
            request.key = Some(KeyId(id));
            balancer.handle(now, Event::Request(request), &mut actions);
            assert!(actions.iter().any(|a| matches!(a, Action::Send { .. })), "request {id} was not sent");
            let outcome = Event::AttemptEnded {
                request: RequestId(id),
                attempt: AttemptNumber(0),
                outcome: Outcome::Success,
                elapsed: Span::from_ms(20.0),
                report: None,
                is_request_finished: true,
                is_body_consumed: false,
            };
            balancer.handle(now, outcome, &mut actions);
        }
    };
    serve(0, 50_000);
    let Some(before) = resident_kib() else { return };
    serve(50_000, 400_000);
    let grown = resident_kib().expect("it was reported before").saturating_sub(before);
    assert!(grown < 16 * 1024, "memory grew by {grown} KiB in 400,000 requests");
}

/// All servers are replaced again and again. A new server must start with new statistics, not with those of the dropped
/// server whose slot it reuses.
#[test]
fn memory_does_not_grow_with_replaced_servers() {
    let settings = single_class(Effect::Idempotent);
    let mut balancer = Balancer::new(settings, 1).unwrap();
    let (mut now, mut actions) = (Time::from_ms(1000.0), Vec::new());
    balancer.start(now, &mut actions);
    let Some(before) = resident_kib() else { return };
    for generation in 0..50_000 {
        actions.clear();
        let endpoints = (0..4).map(|i| Endpoint::serving(ServerId(generation * 4 + i))).collect();
        balancer.handle(now, Event::EndpointList(EndpointUpdate::Complete(endpoints)), &mut actions);
        // The timer drops the removed servers, whose grace period has passed by then.
        now = now + Span::from_ms(1200.0);
        balancer.handle(now, Event::Timer(TimerId(0)), &mut actions);
        let request = RequestId(u64::from(generation));
        balancer.handle(
            now,
            Event::Request(Request::new(request, ClassId(0), Span::from_ms(800.0))),
            &mut actions,
        );
        let server = target_in(&actions, request).expect("all servers are new, so none is ejected");
        assert_eq!(server.0 / 4, generation, "sent to a removed server");
        let (attempt, outcome, elapsed) = (AttemptNumber(0), Outcome::ConnectionReset, Span::from_ms(1.0));
        let outcome = Event::AttemptEnded {
            request,
            attempt,
            outcome,
            elapsed,
            report: None,
            is_request_finished: true,
            is_body_consumed: false,
        };
        balancer.handle(now, outcome, &mut actions);
    }
    let grown = resident_kib().expect("it was reported before").saturating_sub(before);
    assert!(grown < 8 * 1024, "memory grew by {grown} KiB with 200,000 servers");
}
