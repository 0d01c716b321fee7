//! Runs scenarios of cooperating processes with faulty links and disks, in simulated time or with real processes, and checks their
//! invariants from outside.

pub mod checker;
mod cluster;
mod links;
pub mod plan;
pub mod simulation;
mod workload;

use plan::Plan;
use std::fmt::Write as _;
use std::ops::RangeInclusive;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// The result of the run of one seed.
#[derive(Debug)]
pub struct SeedRun {
    /// The seed.
    pub seed: u64,
    /// The outcome of the run.
    pub outcome: simulation::Outcome,
    /// The violated invariants.
    pub violations: Vec<String>,
}

/// Runs the seeds in simulated time on this many threads, and passes each result to `on_result` when its run ends.
pub fn simulate(
    plan: &Plan,
    seeds: RangeInclusive<u64>,
    threads: usize,
    on_result: impl FnMut(SeedRun) + Send,
) {
    let next_seed = AtomicU64::new(*seeds.start());
    let on_result = Mutex::new(on_result);
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, 64) {
            scope.spawn(|| loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed > *seeds.end() || crate::emulation::INTERRUPTED.load(Ordering::Relaxed) {
                    return;
                }
                let outcome = simulation::run_seed(plan, seed);
                let violations =
                    checker::check(&outcome.observations, plan.permits_per_site, plan.max_servers_out);
                let mut on_result = on_result.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                on_result(SeedRun { seed, outcome, violations });
            });
        }
    });
}

/// Describes the result of a seed: whether all invariants held, and the first violations.
fn describe_result(violations: &[String]) -> String {
    let mut text = String::from(if violations.is_empty() { "held" } else { "BROKEN" });
    for violation in violations.iter().take(5) {
        let truncated: String = violation.chars().take(600).collect();
        let _ = write!(text, "\n  {truncated}");
    }
    text
}

/// Runs the seeds in simulated time and prints a summary, and also one line for each seed, or only for each failed seed if there
/// are more than five. Returns whether all seeds were run and all invariants held.
pub fn run(
    plan: &Plan,
    seeds: RangeInclusive<u64>,
    threads: usize,
    mut print: impl FnMut(&str) + Send,
) -> bool {
    let seed_count = seeds.end() - seeds.start() + 1;
    let (mut failed, mut completed) = (0, 0);
    let (mut sums, mut max_out) = ([0usize; 6], (0, 0));
    let mut leaderless_periods: Vec<f64> = Vec::new();
    let quiet = seed_count > 5;
    simulate(plan, seeds, threads, |seed_run| {
        completed += 1;
        let SeedRun { seed, outcome, violations } = seed_run;
        let counts = [
            outcome.completed,
            outcome.unknown,
            outcome.faults_started,
            outcome.leader_changes,
            outcome.permits_granted,
            outcome.observations.lease_beliefs.len(),
        ];
        sums.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
        leaderless_periods.extend(outcome.leaderless_periods);
        let seed_max_out = checker::max_out(&outcome.observations);
        max_out = (max_out.0.max(seed_max_out.0), max_out.1.max(seed_max_out.1));
        if !quiet || !violations.is_empty() {
            let mut line = format!(
                "seed {seed}: {} operations, {} of unknown outcome, {} faults, {} leaders, {} permits, digest {:016x}: ",
                counts[0], counts[1], counts[2], counts[3], counts[4], outcome.digest
            );
            if !outcome.observations.open_barriers.is_empty() {
                let (drains, late_requests) = (
                    outcome.observations.open_barriers.len(),
                    outcome.observations.requests_to_draining.len(),
                );
                let _ = write!(
                    line,
                    "{drains} drains came to stand, {late_requests} sent to servers that drained, "
                );
            }
            if outcome.self_terminated > 0 {
                let _ = write!(line, "{} ended by themselves, ", outcome.self_terminated);
            }
            if outcome.disk_failures > 0 {
                let (failures, reopened) = (outcome.disk_failures, outcome.store_reopens);
                let _ = write!(line, "{failures} disk failures, {reopened} times opened again, ");
            }
            if let Some((messages, bytes)) = outcome.leader_traffic {
                let _ =
                    write!(line, "at the leader {messages:.0} messages and {:.1} kB a second, ", bytes / 1e3);
            }
            line += &describe_result(&violations);
            print(&line);
        }
        failed += usize::from(!violations.is_empty());
    });
    leaderless_periods.sort_by(f64::total_cmp);
    let percentile = |share: f64| {
        leaderless_periods.get((leaderless_periods.len() as f64 * share) as usize).copied().unwrap_or(0.0)
    };
    print(&format!(
        "{completed} of {seed_count} seeds, {} operations ({} of unknown outcome), {} faults, {} leaders, {} permits, {} leases held\n\
         without a leader, in election timeouts: p50 {:.1}, p90 {:.1}, p99 {:.1} of {}\n{}",
        sums[0], sums[1], sums[2], sums[3], sums[4], sums[5],
        percentile(0.5), percentile(0.9), percentile(0.99), leaderless_periods.len(),
        if failed == 0 && completed == seed_count { "all that must hold held".into() } else { format!("NOT all held: {failed} seeds broken") }
    ));
    if plan.servers > 0 {
        print(&format!(
            "most out at once: {} servers that might stop, {} agents of a site by permits",
            max_out.0, max_out.1
        ));
    }
    failed == 0 && completed == seed_count
}

/// Runs the seeds one after the other with real processes of the agent's program. Returns whether all invariants held. The logs of
/// a failed seed are left in the folder.
pub fn run_real(
    plan: &Plan,
    seeds: RangeInclusive<u64>,
    (program, folder): (&Path, &Path),
    mut print: impl FnMut(&str),
) -> Result<bool, String> {
    let mut failed = 0;
    for seed in seeds {
        if crate::emulation::INTERRUPTED.load(Ordering::Relaxed) {
            break;
        }
        let seed_folder = folder.join(format!("seed-{seed}"));
        let _ = std::fs::remove_dir_all(&seed_folder);
        let outcome = cluster::run_seed(plan, seed, program, &seed_folder)?;
        let violations = checker::check(&outcome.observations, plan.permits_per_site, plan.max_servers_out);
        let mut line = format!(
            "seed {seed}: {} operations, {} of unknown outcome, {} faults, {} out by permits, {} looks at leases, {} ended by themselves, {} watched stretches: ",
            outcome.completed,
            outcome.unknown,
            outcome.faults_started,
            outcome.permits_granted,
            outcome.lease_checks,
            outcome.self_terminated,
            outcome.observations.watch_logs.iter().map(|log| log.segments.len()).sum::<usize>()
        );
        if plan.servers > 0 {
            let (served, failed_calls) = outcome.calls;
            let drains = outcome.observations.open_barriers.len();
            let _ =
                write!(line, "{drains} drains came to stand, {served} calls answered, {failed_calls} not, ");
        }
        line += &describe_result(&violations);
        print(&line);
        failed += usize::from(!violations.is_empty());
        if violations.is_empty() {
            let _ = std::fs::remove_dir_all(&seed_folder);
        } else {
            print(&format!("  logs: {}", seed_folder.display()));
        }
    }
    print(if failed == 0 { "all that must hold held" } else { "NOT all that must hold held" });
    Ok(failed == 0)
}

#[cfg(test)]
mod tests;
