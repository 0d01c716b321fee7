//! All attempts of a request are sent only to servers of one of its dialects.
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

/// Returns `n` servers, of which those with even numbers use the old dialect. Each cell has servers of both dialects.
fn mixed_fleet(n: u32) -> Vec<Endpoint> {
    let dialect = |endpoint: &Endpoint| if endpoint.server.0 % 2 == 0 { OLD } else { DialectId(0) };
    fleet(n, 2, 3).into_iter().map(|endpoint| Endpoint { dialect: dialect(&endpoint), ..endpoint }).collect()
}

/// Submits requests that can be sent in `dialects`; half of their attempts fail. Returns the number of attempts sent to
/// servers of the old dialect and to the others.
fn sent(balancers: u32, dialects: Dialects, seed: u64) -> [usize; 2] {
    let mut harness = Harness::new(settings(balancers), seed);
    harness.set_endpoints(mixed_fleet(12));
    let (mut sent, mut rng) = ([0, 0], fastrand::Rng::with_seed(seed));
    let (mut actions, mut attempts) = (Vec::new(), std::collections::BTreeMap::new());
    for n in 0..700 {
        let time_left = Span::from_ms(800.0);
        let request = Request { dialects, ..Request::new(RequestId(n), ClassId(rng.usize(0..3)), time_left) };
        // The last hundred rounds only end the remaining attempts.
        if n < 600 {
            harness.notify(Event::Request(request));
            actions.append(&mut harness.actions);
        }
        while let Some(action) = actions.pop() {
            let Action::Send { request, server, .. } = action else { continue };
            sent[usize::from(server.0 % 2 == 1)] += 1;
            let attempt = attempts.entry(request).or_insert(0);
            let outcomes =
                [Outcome::Success, Outcome::Success, Outcome::ConnectFailed, Outcome::ConnectionReset];
            harness.end_attempt(request, *attempt, outcomes[rng.usize(0..4)], 5.0);
            *attempt += 1;
            actions.append(&mut harness.actions);
        }
        actions.extend(harness.advance(Span::from_ms(20.0)));
    }
    harness.assert_no_violation();
    sent
}

#[test]
fn request_is_sent_only_to_servers_of_its_dialects() {
    for (seed, balancers) in [(1, 3), (2, 3), (3, 60), (4, 60)] {
        let [old, new] = sent(balancers, Dialects::only(OLD), seed);
        assert!(old > 50 && new == 0, "{balancers} balancers: {old} to old servers, {new} to new ones");
        let [old, new] = sent(balancers, Dialects::only(DialectId(0)), seed);
        assert!(old == 0 && new > 50, "{balancers} balancers: {old} to old servers, {new} to new ones");
        let [old, new] = sent(balancers, Dialects::ALL, seed);
        assert!(old > 50 && new > 50, "{balancers} balancers: {old} to old servers, {new} to new ones");
    }
}

#[test]
fn dialect_set_contains_what_was_added() {
    let set = Dialects::only(OLD).with(DialectId(31));
    assert!(set.contains(OLD) && set.contains(DialectId(31)) && !set.contains(DialectId(0)));
    assert!(!set.with(DialectId(200)).contains(DialectId(200)), "a set holds only the dialects 0 to 31");
    assert!(
        set.intersects(Dialects::ALL)
            && !set.intersects(Dialects::only(DialectId(0)))
            && !set.intersects(Dialects::NONE)
    );
}
