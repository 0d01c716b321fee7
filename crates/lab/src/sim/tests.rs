use super::*;
use crate::checker::Rule;
use crate::scenario::parse;

fn scenario(fleet: &str, rate: f64, tables: &str) -> Scenario {
    let source = format!(
            "name = \"small\"\nlength_ms = 8000\n[fleet]\n{fleet}\n[agents]\ncount = 5\n[clients]\nrate_per_s = {rate}\n\
             [[class]]\nname = \"read\"\neffect = \"idempotent\"\nwork_ms = 10\naim_ms = 200\ndeadline_ms = 1000\n\
             [[class]]\nname = \"once\"\neffect = \"at_most_once\"\nwork_ms = 10\naim_ms = 200\ndeadline_ms = 1000\n{tables}"
        );
    parse(&source).unwrap_or_else(|faults| panic!("{faults:?}"))
}

fn run(scenario: &Scenario, policy: Policy, seed: u64) -> Run {
    super::run(scenario, policy, seed, |_| {})
}

const RELEASE_EVENTS: &str = "[[fault]]\nat_ms = 1000\nwhat = \"drain\"\nserver = 0\n\
        [[fault]]\nat_ms = 2500\nwhat = \"kill\"\nserver = 0\n\
        [[fault]]\nat_ms = 2700\nwhat = \"kill-agent\"\nagent = 1\n\
        [[fault]]\nat_ms = 3000\nwhat = \"replace\"\nserver = 0\n\
        [[fault]]\nat_ms = 3100\nwhat = \"start-agent\"\nagent = 1\n\
        [[fault]]\nat_ms = 3500\nwhat = \"upgrade-agent\"\nagent = 2\n\
        [[fault]]\nat_ms = 4000\nwhat = \"kill\"\nserver = 1\n";

#[test]
fn a_run_is_reproducible_from_its_seed_and_differs_with_another_seed() {
    let scenario = scenario("servers = 4\nnoisy_share = 0.2", 300.0, RELEASE_EVENTS);
    for policy in Policy::ALL {
        let (first, second) = (run(&scenario, policy, 7), run(&scenario, policy, 7));
        assert_eq!((&first.digest, first.calls, first.sends), (&second.digest, second.calls, second.sends));
        assert_ne!(first.digest, run(&scenario, policy, 8).digest);
    }
}

#[test]
fn the_engine_breaks_no_invariant_during_a_release_and_a_kill() {
    let scenario = scenario("servers = 4", 300.0, RELEASE_EVENTS);
    for seed in 1..=3 {
        let run = run(&scenario, Policy::Heronhoist, seed);
        assert_eq!(run.result.violations, Default::default(), "seed {seed}");
        assert!(run.calls > 2000 && run.sends > 1000 && run.connections_opened > 20);
        assert!(run.result.service.overall > 0.7, "seed {seed}: {:?}", run.result.service);
    }
}

/// The checker must report a policy that ignores cold starts: round robin sends a cold server more than it can handle.
#[test]
fn a_policy_that_ignores_cold_starts_overloads_a_cold_server() {
    let start_events = "[[fault]]\nat_ms = 1000\nwhat = \"kill\"\nserver = 0\n[[fault]]\nat_ms = 1500\nwhat = \"start\"\nserver = 0\n";
    let fleet = "servers = 3\ncold_share = 0.05\nwarm_after_ms = 60000\nroom = 500";
    let round_robin = run(&scenario(fleet, 400.0, start_events), Policy::RoundRobin, 1);
    assert!(round_robin.result.violations.contains_key(&Rule::ColdStart), "{:?}", round_robin.result);
    let engine = run(&scenario(fleet, 400.0, start_events), Policy::Heronhoist, 1);
    assert_eq!(engine.result.violations, Default::default());
}

/// Discovery that is down or overloaded for a while must delay the agents' lists without breaking an invariant.
#[test]
fn agents_survive_discovery_that_is_overloaded_or_down() {
    let tables = "[[fault]]\nat_ms = 500\nwhat = \"registry-down\"\n\
            [[fault]]\nat_ms = 800\nwhat = \"kill\"\nserver = 0\n\
            [[fault]]\nat_ms = 4000\nwhat = \"registry-up\"\n[registry]\nlines_per_s = 5\n";
    let run = run(&scenario("servers = 4", 200.0, tables), Policy::Heronhoist, 3);
    assert_eq!(run.result.violations, Default::default());
    assert!(
        run.list_entries >= 5,
        "not every agent was sent the changed list: {} entries written",
        run.list_entries
    );
}
