use super::plan::InjectedBug;
use super::*;

fn plan(text: &str) -> Plan {
    plan::parse(text).expect("a valid scenario")
}

const FAULTS_SCENARIO: &str = include_str!("../../../../scenarios/council-faults.toml");

#[test]
fn the_same_seed_gives_the_same_run() {
    let mut plan = plan(FAULTS_SCENARIO);
    plan.duration = 8_000_000;
    let [first, again, other] = [3, 3, 4].map(|seed| simulation::run_seed(&plan, seed).digest);
    assert_eq!(first, again);
    assert_ne!(first, other);
}

/// A coordinator process must not start with a truncated disk, and must exit once it learns that its disk was set back to an older
/// copy. It is replaced in both cases.
#[test]
fn coordinators_with_truncated_or_outdated_disks_exit() {
    for (scenario, min_terminated) in [
        (include_str!("../../../../scenarios/council/cut-disk.toml"), 8),
        (include_str!("../../../../scenarios/council/old-disk.toml"), 8),
    ] {
        let plan = plan(scenario);
        let outcomes: Vec<_> = (1..=8).map(|seed| simulation::run_seed(&plan, seed)).collect();
        assert!(
            outcomes.iter().map(|outcome| outcome.self_terminated).sum::<usize>() >= min_terminated,
            "{}",
            plan.name
        );
        for outcome in outcomes {
            assert_eq!(
                checker::check(&outcome.observations, plan.permits_per_site, plan.max_servers_out),
                Vec::<String>::new()
            );
        }
    }
}

#[test]
fn without_faults_every_operation_completes_under_one_leader() {
    let mut plan = plan(FAULTS_SCENARIO);
    (plan.duration, plan.fault_interval) = (8_000_000, 0);
    let outcome = simulation::run_seed(&plan, 1);
    assert_eq!(
        checker::check(&outcome.observations, plan.permits_per_site, plan.max_servers_out),
        Vec::<String>::new()
    );
    assert_eq!((outcome.unknown, outcome.leader_changes), (0, 1));
    assert!(outcome.completed > 100, "{}", outcome.completed);
    assert_eq!(plan.injected_bug, InjectedBug::Nothing);
}

#[test]
fn scenario_errors_are_reported_with_their_position() {
    let errors = plan::parse("name = \"x\"\nlength_ms = 1000\n[council]\nprocesses = 10\nterm = 3\n")
        .expect_err("two errors");
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(
        lines[0].starts_with("4:13: council.processes") && lines[1].starts_with("5:1: council.term"),
        "{lines:?}"
    );
}

/// While disks fail for a time, no data may be lost or made up, and a process that acknowledges data that it couldn't store must be
/// detected.
#[test]
fn coordinators_continue_from_stored_data_after_disk_failures() {
    let mut plan = plan(include_str!("../../../../scenarios/council/failing-disk.toml"));
    plan.duration = 10_000_000;
    let outcomes: Vec<_> = (1..=6).map(|seed| simulation::run_seed(&plan, seed)).collect();
    let failures: usize = outcomes.iter().map(|outcome| outcome.disk_failures).sum();
    let store_reopens: usize = outcomes.iter().map(|outcome| outcome.store_reopens).sum();
    assert!(failures >= 20 && store_reopens >= 10, "{failures} {store_reopens}");
    for outcome in outcomes {
        assert_eq!(
            checker::check(&outcome.observations, plan.permits_per_site, plan.max_servers_out),
            Vec::<String>::new()
        );
    }
    plan.injected_bug = InjectedBug::AckBeforeFailedSync;
    let is_detected = |seed: u64| {
        let outcome = simulation::run_seed(&plan, seed);
        !checker::check(&outcome.observations, plan.permits_per_site, plan.max_servers_out).is_empty()
    };
    assert!((1..=6).any(is_detected));
}
