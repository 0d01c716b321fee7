use super::*;

#[test]
fn what_is_dropped_is_free_again_and_no_more_than_all_is_given() {
    let quota = Quota::new(10);
    let part = quota.part();
    let first = part.take(7);
    assert!(first.is_some() && part.take(4).is_none());
    let second = part.take(3);
    drop(first);
    assert!(part.take(8).is_none() && part.take(7).is_some());
    drop(second);
    let all = part.take(10);
    quota.set(5);
    assert!(all.is_some() && part.take(1).is_none() && part.excess() == 5);
    drop(all);
    assert!(part.take(6).is_none() && part.take(5).is_some());
}

/// A part that takes all it can get and gives nothing back leaves each other part its reserve, at any number of
/// parts, and the parts never hold more than there is.
#[test]
fn a_part_that_hangs_leaves_the_others_their_reserve() {
    for parts in 2..=9 {
        for most in [1, 7, 64, 1000] {
            let quota = Quota::new(most);
            let all: Vec<_> = (0..parts).map(|_| quota.part()).collect();
            let greedy: Vec<_> = std::iter::from_fn(|| all[0].take(1)).collect();
            let reserve = most / (2 * parts);
            assert_eq!(greedy.len(), most - reserve * (parts - 1));
            for part in &all[1..] {
                let own: Vec<_> = std::iter::from_fn(|| part.take(1)).collect();
                assert_eq!(own.len(), reserve, "{parts} parts of {most}");
            }
            assert!(all[0].excess() == 0 && all[0].borrows() == (most > reserve * parts));
        }
    }
}

/// What a part that is gone held is still counted until it is given back, and its reserve goes to the others.
#[test]
fn a_part_that_leaves_frees_its_reserve() {
    let quota = Quota::new(100);
    let (first, second) = (quota.part(), quota.part());
    let kept = second.take(30);
    drop(second);
    assert!(first.take(71).is_none() && first.take(70).is_some(), "the portion keeps its part alive");
    drop(kept);
    assert!(first.take(100).is_some());
}
