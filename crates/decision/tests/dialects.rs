//! A request goes only to servers that speak one of its dialects, in its first attempt and in every other.
mod common;
use common::*;
use heronhoist_decision::*;

const OLD: DialectId = DialectId(1);

fn settings(balancers: u32) -> Settings {
    let classes = vec![
        class(Effect::Idempotent),
        class(deduplicated(DeduplicationScope::Cell, 600.0)),
        class(Effect::AtMostOnce),
    ];
    Settings { classes, balancers, max_attempts: 3, ..Settings::default() }
}

/// Old servers are those with even numbers, in cells of both kinds.
fn mixed(n: u32) -> Vec<Endpoint> {
    let dialect = |line: &Endpoint| if line.server.0 % 2 == 0 { OLD } else { DialectId(0) };
    fleet(n, 2, 3).into_iter().map(|line| Endpoint { dialect: dialect(&line), ..line }).collect()
}

/// Sends to old and to new servers of requests that may go to `dialects`; a third of all attempts fails.
fn sent(balancers: u32, dialects: Dialects, seed: u64) -> [usize; 2] {
    let mut harness = Harness::new(settings(balancers), seed);
    harness.set_endpoints(mixed(12));
    let (mut sent, mut rng) = ([0, 0], fastrand::Rng::with_seed(seed));
    let (mut all, mut tries) = (Vec::new(), std::collections::BTreeMap::new());
    for n in 0..700 {
        let left = Span::from_ms(800.0);
        let request = Request { dialects, ..Request::new(RequestId(n), ClassId(rng.usize(0..3)), left) };
        // The last hundred turns only answer.
        if n < 600 {
            harness.notify(Event::Request(request));
            all.append(&mut harness.actions);
        }
        while let Some(action) = all.pop() {
            let Action::Send { request, server, .. } = action else { continue };
            sent[usize::from(server.0 % 2 == 1)] += 1;
            let attempt = tries.entry(request).or_insert(0);
            let fate = [Outcome::Success, Outcome::Success, Outcome::ConnectFailed, Outcome::ConnectionReset];
            harness.end_attempt(request, *attempt, fate[rng.usize(0..4)], 5.0);
            *attempt += 1;
            all.append(&mut harness.actions);
        }
        all.extend(harness.advance(Span::from_ms(20.0)));
    }
    harness.assert_no_violation();
    sent
}

#[test]
fn request_goes_only_to_servers_that_speak_its_dialects() {
    for (seed, balancers) in [(1, 3), (2, 3), (3, 60), (4, 60)] {
        let [old, new] = sent(balancers, Dialects::only(OLD), seed);
        assert!(old > 50 && new == 0, "{balancers}: {old} {new}");
        let [old, new] = sent(balancers, Dialects::only(DialectId(0)), seed);
        assert!(old == 0 && new > 50, "{balancers}: {old} {new}");
        let [old, new] = sent(balancers, Dialects::ALL, seed);
        assert!(old > 50 && new > 50, "{balancers}: {old} {new}");
    }
}

#[test]
fn dialect_set_contains_what_was_added() {
    let set = Dialects::only(OLD).with(DialectId(31));
    assert!(set.contains(OLD) && set.contains(DialectId(31)) && !set.contains(DialectId(0)));
    assert!(!set.with(DialectId(200)).contains(DialectId(200)), "there are 32");
    assert!(
        set.intersects(Dialects::ALL)
            && !set.intersects(Dialects::only(DialectId(0)))
            && !set.intersects(Dialects::NONE)
    );
}
