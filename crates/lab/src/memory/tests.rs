use super::*;

#[test]
fn growth_compares_the_last_third_with_the_first() {
    let samples = |held: fn(i64) -> i64| (0..60).map(|n| (n as Micros, held(n))).collect::<Vec<_>>();
    assert_eq!(growth(&samples(|_| 1000)), Some(0.0));
    assert_eq!(growth(&samples(|n| if n < 10 { 1 } else { 1000 })), Some(0.0), "the first sixth is left out");
    assert!(growth(&samples(|n| 1000 + n)).is_some_and(|share| (0.03..0.04).contains(&share)));
    assert_eq!(growth(&[(0, 7)]), None);
}

/// Bytes of the ledger that are not counted would appear as growing memory of the agents.
#[test]
fn the_size_of_a_ledger_includes_its_nested_lists() {
    let mut ledger = Ledger::default();
    assert_eq!(ledger_bytes(&ledger), 0);
    ledger.sends = Vec::with_capacity(10);
    ledger.list_versions = vec![Vec::with_capacity(3)];
    assert_eq!(ledger_bytes(&ledger), 10 * 24 + 24 + 3 * 16);
}
