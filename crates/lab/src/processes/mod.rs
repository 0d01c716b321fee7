//! Scenarios of several processes that agree, their links and their disks: played, and judged from outside.

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

/// One seed's run, judged.
#[derive(Debug)]
pub struct SeedRun {
    /// The seed.
    pub seed: u64,
    /// What it came to.
    pub outcome: simulation::Outcome,
    /// What was wrong.
    pub wrongs: Vec<String>,
}

/// Plays seeds in simulated time, so many side by side; each is given to `each` as it ends.
pub fn simulate(plan: &Plan, seeds: RangeInclusive<u64>, threads: usize, each: impl FnMut(SeedRun) + Send) {
    let next = AtomicU64::new(*seeds.start());
    let each = Mutex::new(each);
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, 64) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed > *seeds.end() || crate::emulation::INTERRUPTED.load(Ordering::Relaxed) {
                    return;
                }
                let outcome = simulation::play(plan, seed);
                let wrongs = checker::check(&outcome.seen, plan.permits, plan.servers_out);
                let mut each = each.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                each(SeedRun { seed, outcome, wrongs });
            });
        }
    });
}

/// Whether a seed held, and the first things that were wrong.
fn verdict(wrongs: &[String]) -> String {
    let mut text = String::from(if wrongs.is_empty() { "held" } else { "BROKEN" });
    for wrong in wrongs.iter().take(5) {
        let cut: String = wrong.chars().take(600).collect();
        let _ = write!(text, "\n  {cut}");
    }
    text
}

/// A line for each seed that is wrong, and one for all; whether all held.
pub fn run(
    plan: &Plan,
    seeds: RangeInclusive<u64>,
    threads: usize,
    mut say: impl FnMut(&str) + Send,
) -> bool {
    let count = seeds.end() - seeds.start() + 1;
    let (mut broken, mut played) = (0, 0);
    let (mut sums, mut most) = ([0usize; 6], (0, 0));
    let mut leaderless: Vec<f64> = Vec::new();
    let many = count > 5;
    simulate(plan, seeds, threads, |one| {
        played += 1;
        let SeedRun { seed, outcome, wrongs } = one;
        let figures = [
            outcome.settled,
            outcome.unknown,
            outcome.faults,
            outcome.leaders,
            outcome.permits,
            outcome.seen.beliefs.len(),
        ];
        sums.iter_mut().zip(figures).for_each(|(sum, figure)| *sum += figure);
        leaderless.extend(outcome.leaderless);
        let out = checker::most_out(&outcome.seen);
        most = (most.0.max(out.0), most.1.max(out.1));
        if !many || !wrongs.is_empty() {
            let mut line = format!(
                "seed {seed}: {} operations, {} of unknown outcome, {} faults, {} leaders, {} permits, digest {:016x}: ",
                figures[0], figures[1], figures[2], figures[3], figures[4], outcome.digest
            );
            if !outcome.seen.opened.is_empty() {
                let (drains, late) = (outcome.seen.opened.len(), outcome.seen.sent.len());
                let _ = write!(line, "{drains} drains came to stand, {late} sent to servers that drained, ");
            }
            if outcome.ended > 0 {
                let _ = write!(line, "{} ended by themselves, ", outcome.ended);
            }
            if outcome.disk_failures > 0 {
                let (failures, reopened) = (outcome.disk_failures, outcome.reopened);
                let _ = write!(line, "{failures} disk failures, {reopened} times opened again, ");
            }
            if let Some((messages, bytes)) = outcome.at_leader {
                let _ =
                    write!(line, "at the leader {messages:.0} messages and {:.1} kB a second, ", bytes / 1e3);
            }
            line += &verdict(&wrongs);
            say(&line);
        }
        broken += usize::from(!wrongs.is_empty());
    });
    leaderless.sort_by(f64::total_cmp);
    let part =
        |share: f64| leaderless.get((leaderless.len() as f64 * share) as usize).copied().unwrap_or(0.0);
    say(&format!(
        "{played} of {count} seeds, {} operations ({} of unknown outcome), {} faults, {} leaders, {} permits, {} leases held\n\
         without a leader, in election timeouts: p50 {:.1}, p90 {:.1}, p99 {:.1} of {}\n{}",
        sums[0], sums[1], sums[2], sums[3], sums[4], sums[5],
        part(0.5), part(0.9), part(0.99), leaderless.len(),
        if broken == 0 && played == count { "all that must hold held".into() } else { format!("NOT all held: {broken} seeds broken") }
    ));
    if plan.servers > 0 {
        say(&format!(
            "most out at once: {} servers that might stop, {} agents of a site by permits",
            most.0, most.1
        ));
    }
    broken == 0 && played == count
}

/// The same with processes of the program, one seed after the other; whether all held. Logs of what did not are left in the
/// folder.
pub fn run_real(
    plan: &Plan,
    seeds: RangeInclusive<u64>,
    (program, folder): (&Path, &Path),
    mut say: impl FnMut(&str),
) -> Result<bool, String> {
    let mut broken = 0;
    for seed in seeds {
        if crate::emulation::INTERRUPTED.load(Ordering::Relaxed) {
            break;
        }
        let place = folder.join(format!("seed-{seed}"));
        let _ = std::fs::remove_dir_all(&place);
        let outcome = cluster::play(plan, seed, program, &place)?;
        let wrongs = checker::check(&outcome.seen, plan.permits, plan.servers_out);
        let mut line = format!(
            "seed {seed}: {} operations, {} of unknown outcome, {} faults, {} out by permits, {} looks at leases, {} ended by themselves, {} watched stretches: ",
            outcome.settled,
            outcome.unknown,
            outcome.faults,
            outcome.permits,
            outcome.looks,
            outcome.ended,
            outcome.seen.watched.iter().map(|watched| watched.stretches.len()).sum::<usize>()
        );
        if plan.servers > 0 {
            let (answered, others) = outcome.calls;
            let drains = outcome.seen.opened.len();
            let _ = write!(line, "{drains} drains came to stand, {answered} calls answered, {others} not, ");
        }
        line += &verdict(&wrongs);
        say(&line);
        broken += usize::from(!wrongs.is_empty());
        if wrongs.is_empty() {
            let _ = std::fs::remove_dir_all(&place);
        } else {
            say(&format!("  logs: {}", place.display()));
        }
    }
    say(if broken == 0 { "all that must hold held" } else { "NOT all that must hold held" });
    Ok(broken == 0)
}

#[cfg(test)]
mod tests;
