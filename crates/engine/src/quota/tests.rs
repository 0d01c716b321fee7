use super::*;

#[test]
fn what_is_dropped_is_free_again_and_no_more_than_all_is_given() {
    let quota = Quota::new(10);
    let part = quota.share();
    let first = part.try_reserve(7);
    assert!(first.is_some() && part.try_reserve(4).is_none());
    let second = part.try_reserve(3);
    drop(first);
    assert!(part.try_reserve(8).is_none() && part.try_reserve(7).is_some());
    drop(second);
    let all = part.try_reserve(10);
    quota.set_limit(5);
    assert!(all.is_some() && part.try_reserve(1).is_none() && part.excess() == 5);
    drop(all);
    assert!(part.try_reserve(6).is_none() && part.try_reserve(5).is_some());
}

/// A part that takes all it can get and gives nothing back leaves each other part its reserve, at any number of
/// parts, and the parts never hold more than there is.
#[test]
fn a_part_that_hangs_leaves_the_others_their_reserve() {
    for parts in 2..=9 {
        for most in [1, 7, 64, 1000] {
            let quota = Quota::new(most);
            let all: Vec<_> = (0..parts).map(|_| quota.share()).collect();
            let greedy: Vec<_> = std::iter::from_fn(|| all[0].try_reserve(1)).collect();
            let reserve = most / (2 * parts);
            assert_eq!(greedy.len(), most - reserve * (parts - 1));
            for part in &all[1..] {
                let own: Vec<_> = std::iter::from_fn(|| part.try_reserve(1)).collect();
                assert_eq!(own.len(), reserve, "{parts} parts of {most}");
            }
            assert!(all[0].excess() == 0 && all[0].has_borrowed() == (most > reserve * parts));
        }
    }
}

/// What a part that is gone held is still counted until it is given back, and its reserve goes to the others.
#[test]
fn a_part_that_leaves_frees_its_reserve() {
    let quota = Quota::new(100);
    let (first, second) = (quota.share(), quota.share());
    let kept = second.try_reserve(30);
    drop(second);
    assert!(
        first.try_reserve(71).is_none() && first.try_reserve(70).is_some(),
        "the portion keeps its part alive"
    );
    drop(kept);
    assert!(first.try_reserve(100).is_some());
}
