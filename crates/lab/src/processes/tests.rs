use super::plan::InjectedBug;
use super::*;

fn plan(text: &str) -> Plan {
    plan::parse(text).expect("sound")
}

const FAULTS: &str = include_str!("../../../../scenarios/council-faults.toml");

#[test]
fn a_seed_is_one_run() {
    let mut plan = plan(FAULTS);
    plan.duration = 8_000_000;
    let [first, again, other] = [3, 3, 4].map(|seed| simulation::play(&plan, seed).digest);
    assert_eq!(first, again);
    assert_ne!(first, other);
}

/// One whose file is cut does not start, and one whose disk is put back to an older copy ends; each is replaced.
#[test]
fn processes_whose_disks_are_not_what_they_left_there_end() {
    for (scenario, least) in [
        (include_str!("../../../../scenarios/council/cut-disk.toml"), 8),
        (include_str!("../../../../scenarios/council/old-disk.toml"), 8),
    ] {
        let plan = plan(scenario);
        let outcomes: Vec<_> = (1..=8).map(|seed| simulation::play(&plan, seed)).collect();
        assert!(outcomes.iter().map(|outcome| outcome.ended).sum::<usize>() >= least, "{}", plan.name);
        for outcome in outcomes {
            assert_eq!(checker::check(&outcome.seen, plan.permits, plan.servers_out), Vec::<String>::new());
        }
    }
}

#[test]
fn a_council_without_faults_settles_every_operation_under_one_leader() {
    let mut plan = plan(FAULTS);
    (plan.duration, plan.every) = (8_000_000, 0);
    let outcome = simulation::play(&plan, 1);
    assert_eq!(checker::check(&outcome.seen, plan.permits, plan.servers_out), Vec::<String>::new());
    assert_eq!((outcome.unknown, outcome.leaders), (0, 1));
    assert!(outcome.settled > 100, "{}", outcome.settled);
    assert_eq!(plan.planted, InjectedBug::Nothing);
}

#[test]
fn faults_of_scenarios_are_told_with_their_place() {
    let faults = plan::parse("name = \"x\"\nlength_ms = 1000\n[council]\nprocesses = 10\nterm = 3\n")
        .expect_err("two");
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(
        lines[0].starts_with("4:13: council.processes") && lines[1].starts_with("5:1: council.term"),
        "{lines:?}"
    );
}

/// Disks that fail for a while: nothing is lost or invented, and whoever acknowledges what it could not keep is found.
#[test]
fn processes_whose_disks_fail_go_on_from_what_is_kept() {
    let mut plan = plan(include_str!("../../../../scenarios/council/failing-disk.toml"));
    plan.duration = 10_000_000;
    let outcomes: Vec<_> = (1..=6).map(|seed| simulation::play(&plan, seed)).collect();
    let failures: usize = outcomes.iter().map(|outcome| outcome.disk_failures).sum();
    let reopened: usize = outcomes.iter().map(|outcome| outcome.reopened).sum();
    assert!(failures >= 20 && reopened >= 10, "{failures} {reopened}");
    for outcome in outcomes {
        assert_eq!(checker::check(&outcome.seen, plan.permits, plan.servers_out), Vec::<String>::new());
    }
    plan.planted = InjectedBug::AckBeforeFailedSync;
    let is_found = |seed: u64| {
        let outcome = simulation::play(&plan, seed);
        !checker::check(&outcome.seen, plan.permits, plan.servers_out).is_empty()
    };
    assert!((1..=6).any(is_found));
}
