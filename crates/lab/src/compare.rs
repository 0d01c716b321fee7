//! Two sets of runs, paired by scenario and seed, so that what the seeds have in common does not count.

use crate::record::{Record, Run};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::fmt::Write;

/// A mean and where it lies in 95 of 100 cases.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Interval {
    /// The mean.
    pub mean: f64,
    /// No less than this,
    pub low: f64,
    /// and no more than this.
    pub high: f64,
}

const DRAWS: usize = 4000;

/// The mean's interval by bootstrap, with fixed draws; `None` without values.
pub fn interval(values: &[f64]) -> Option<Interval> {
    if values.is_empty() {
        return None;
    }
    let mean = |values: &mut dyn Iterator<Item = f64>| values.sum::<f64>();
    let count = values.len() as f64;
    let mut rng = Pcg64::seed_from_u64(95);
    let mut means: Vec<f64> = (0..DRAWS)
        .map(|_| mean(&mut (0..values.len()).map(|_| values[rng.random_range(0..values.len())])) / count)
        .collect();
    means.sort_by(f64::total_cmp);
    let at = |share: f64| means[((DRAWS - 1) as f64 * share).round() as usize];
    Some(Interval { mean: mean(&mut values.iter().copied()) / count, low: at(0.025), high: at(0.975) })
}

type Figure = (&'static str, fn(&Run) -> f64);

const FIGURES: [Figure; 6] = [
    ("service, whole", |run| run.result.service.overall),
    ("service, worst 10 s", |run| run.result.service.worst_window),
    ("service, worst class", |run| run.result.service.worst_class),
    ("sends a call", |run| run.sends as f64 / run.calls.max(1) as f64),
    ("connections opened a call", |run| run.connections_opened as f64 / run.calls.max(1) as f64),
    ("worst push on a cold server", |run| run.worst_cold_load),
];

/// The differences of the second from the first, as a table.
pub fn compare(first: &Record, second: &Record) -> Result<String, String> {
    let mut pairs = Vec::new();
    for run in &first.runs {
        // Twins differ in one thing only; where both files hold several policies, each has its own.
        let same = |other: &&Run| {
            (&other.scenario, other.seed) == (&run.scenario, run.seed)
                && (other.policy == run.policy
                    || second.runs.iter().all(|r| r.policy == second.runs[0].policy))
        };
        let mut twins = second.runs.iter().filter(same);
        if let Some(twin) = twins.next() {
            pairs.push((run, twin));
        }
    }
    if pairs.is_empty() {
        return Err("no run of one file has a twin in the other: same scenario, same seed".into());
    }
    let mut text = format!("{} pairs; the second less the first, with a 95 % interval\n", pairs.len());
    for (name, figure) in FIGURES {
        let of = |runs: &mut dyn Iterator<Item = f64>| interval(&runs.collect::<Vec<_>>());
        let means =
            of(&mut pairs.iter().map(|(a, _)| figure(a))).zip(of(&mut pairs.iter().map(|(_, b)| figure(b))));
        let apart = of(&mut pairs.iter().map(|(a, b)| figure(b) - figure(a)));
        let Some(((a, b), apart)) = means.zip(apart) else { continue };
        let word = match (apart.low > 0.0, apart.high < 0.0) {
            (true, _) => "more",
            (_, true) => "less",
            _ => "no difference shown",
        };
        let _ = writeln!(
            text,
            "{name:<28} {:.4} -> {:.4}  {:+.4} ({:+.4} to {:+.4})  {word}",
            a.mean, b.mean, apart.mean, apart.low, apart.high
        );
    }
    Ok(text)
}

#[cfg(test)]
mod tests;
