use super::*;

#[test]
fn every_random_scenario_is_valid_and_depends_only_on_its_seed() {
    for seed in 0..200 {
        random_scenario(seed).scenario().unwrap_or_else(|faults| panic!("seed {seed}: {faults}"));
    }
    assert_eq!(random_scenario(7), random_scenario(7));
    assert_ne!(random_scenario(7), random_scenario(8));
}
