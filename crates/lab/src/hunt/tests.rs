use super::*;

#[test]
fn every_wild_world_can_be_played_and_is_the_same_again() {
    for seed in 0..200 {
        random_scenario(seed).scenario().unwrap_or_else(|faults| panic!("seed {seed}: {faults}"));
    }
    assert_eq!(random_scenario(7), random_scenario(7));
    assert_ne!(random_scenario(7), random_scenario(8));
}
