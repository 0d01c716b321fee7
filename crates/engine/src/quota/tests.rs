use super::*;

#[test]
fn a_dropped_reservation_is_available_again_and_the_limit_holds() {
    let quota = Quota::new(10);
    let share = quota.share();
    let first = share.try_reserve(7);
    assert!(first.is_some() && share.try_reserve(4).is_none());
    let second = share.try_reserve(3);
    drop(first);
    assert!(share.try_reserve(8).is_none() && share.try_reserve(7).is_some());
    drop(second);
    let full = share.try_reserve(10);
    quota.set_limit(5);
    assert!(full.is_some() && share.try_reserve(1).is_none() && share.excess() == 5);
    drop(full);
    assert!(share.try_reserve(6).is_none() && share.try_reserve(5).is_some());
}

/// A share that reserves all it can get and releases nothing must leave every other share its guaranteed amount, for
/// any number of shares, and together they must never exceed the limit.
#[test]
fn a_share_that_releases_nothing_leaves_the_others_their_guarantee() {
    for share_count in 2..=9 {
        for limit in [1, 7, 64, 1000] {
            let quota = Quota::new(limit);
            let shares: Vec<_> = (0..share_count).map(|_| quota.share()).collect();
            let reserved: Vec<_> = std::iter::from_fn(|| shares[0].try_reserve(1)).collect();
            let guaranteed = limit / (2 * share_count);
            assert_eq!(reserved.len(), limit - guaranteed * (share_count - 1));
            for share in &shares[1..] {
                let reservations: Vec<_> = std::iter::from_fn(|| share.try_reserve(1)).collect();
                assert_eq!(reservations.len(), guaranteed, "{share_count} shares of {limit}");
            }
            assert!(
                shares[0].excess() == 0 && shares[0].has_borrowed() == (limit > guaranteed * share_count)
            );
        }
    }
}

/// The reservations of a dropped share count until they are released; then its guaranteed amount is available to the
/// others.
#[test]
fn a_dropped_share_releases_its_guarantee() {
    let quota = Quota::new(100);
    let (first, second) = (quota.share(), quota.share());
    let reservation = second.try_reserve(30);
    drop(second);
    assert!(
        first.try_reserve(71).is_none() && first.try_reserve(70).is_some(),
        "the reservation keeps its share alive"
    );
    drop(reservation);
    assert!(first.try_reserve(100).is_some());
}

#[test]
fn a_reservation_that_shrinks_releases_the_rest() {
    let share = Quota::single_share(10);
    let mut reservation = share.try_reserve(8).unwrap();
    reservation.shrink(9);
    assert_eq!(share.available(), 2);
    reservation.shrink(3);
    assert_eq!(share.available(), 7);
    drop(reservation);
    assert_eq!(share.available(), 10);
}
