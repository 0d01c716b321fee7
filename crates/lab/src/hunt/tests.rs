use super::*;

#[test]
fn every_wild_world_can_be_played_and_is_the_same_again() {
    for seed in 0..200 {
        wild(seed).scenario().unwrap_or_else(|faults| panic!("seed {seed}: {faults}"));
    }
    assert_eq!(wild(7), wild(7));
    assert_ne!(wild(7), wild(8));
}
