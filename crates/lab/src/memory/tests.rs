use super::*;

#[test]
fn growth_is_that_of_the_last_third_over_the_first() {
    let looks = |held: fn(i64) -> i64| (0..60).map(|n| (n as Micros, held(n))).collect::<Vec<_>>();
    assert_eq!(growth(&looks(|_| 1000)), Some(0.0));
    assert_eq!(growth(&looks(|n| if n < 10 { 1 } else { 1000 })), Some(0.0), "tables fill at first");
    assert!(growth(&looks(|n| 1000 + n)).is_some_and(|share| (0.03..0.04).contains(&share)));
    assert_eq!(growth(&[(0, 7)]), None);
}

/// What is written down is subtracted to the byte.
#[test]
fn a_ledger_is_counted_with_all_that_it_holds() {
    let mut ledger = Ledger::default();
    assert_eq!(ledger_bytes(&ledger), 0);
    ledger.sends = Vec::with_capacity(10);
    ledger.list_versions = vec![Vec::with_capacity(3)];
    assert_eq!(ledger_bytes(&ledger), 10 * 24 + 24 + 3 * 16);
}
