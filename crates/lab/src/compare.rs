//! Compares two sets of runs, paired by scenario and seed, so that variation between seeds cancels out.

use crate::record::{Record, Run};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::fmt::Write;

/// A mean with its 95 % confidence interval.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Interval {
    /// The mean.
    pub mean: f64,
    /// The lower bound.
    pub low: f64,
    /// The upper bound.
    pub high: f64,
}

/// The number of bootstrap samples.
const SAMPLES: usize = 4000;

/// Returns the bootstrap confidence interval of the mean, using a fixed seed; `None` without values.
pub fn interval(values: &[f64]) -> Option<Interval> {
    if values.is_empty() {
        return None;
    }
    let sum = |values: &mut dyn Iterator<Item = f64>| values.sum::<f64>();
    let count = values.len() as f64;
    let mut rng = Pcg64::seed_from_u64(95);
    let mut means: Vec<f64> = (0..SAMPLES)
        .map(|_| sum(&mut (0..values.len()).map(|_| values[rng.random_range(0..values.len())])) / count)
        .collect();
    means.sort_by(f64::total_cmp);
    let quantile = |share: f64| means[((SAMPLES - 1) as f64 * share).round() as usize];
    Some(Interval {
        mean: sum(&mut values.iter().copied()) / count,
        low: quantile(0.025),
        high: quantile(0.975),
    })
}

type Metric = (&'static str, fn(&Run) -> f64);

const METRICS: [Metric; 6] = [
    ("service, whole", |run| run.result.service.overall),
    ("service, worst 10 s", |run| run.result.service.worst_window),
    ("service, worst class", |run| run.result.service.worst_class),
    ("sends a call", |run| run.sends as f64 / run.calls.max(1) as f64),
    ("connections opened a call", |run| run.connections_opened as f64 / run.calls.max(1) as f64),
    ("worst push on a cold server", |run| run.worst_cold_load),
];

/// Formats the differences between the second set of runs and the first as a table.
pub fn compare(first: &Record, second: &Record) -> Result<String, String> {
    let mut pairs = Vec::new();
    for run in &first.runs {
        // Runs are paired by policy too, unless the second file has only one policy: then policies are what is compared.
        let same = |other: &&Run| {
            (&other.scenario, other.seed) == (&run.scenario, run.seed)
                && (other.policy == run.policy
                    || second.runs.iter().all(|r| r.policy == second.runs[0].policy))
        };
        let mut matches = second.runs.iter().filter(same);
        if let Some(other) = matches.next() {
            pairs.push((run, other));
        }
    }
    if pairs.is_empty() {
        return Err("the files have no pair of runs with the same scenario and seed".into());
    }
    let mut text = format!("{} pairs; the second less the first, with a 95 % interval\n", pairs.len());
    for (name, metric) in METRICS {
        let interval_of = |runs: &mut dyn Iterator<Item = f64>| interval(&runs.collect::<Vec<_>>());
        let means = interval_of(&mut pairs.iter().map(|(a, _)| metric(a)))
            .zip(interval_of(&mut pairs.iter().map(|(_, b)| metric(b))));
        let difference = interval_of(&mut pairs.iter().map(|(a, b)| metric(b) - metric(a)));
        let Some(((a, b), difference)) = means.zip(difference) else { continue };
        let trend = match (difference.low > 0.0, difference.high < 0.0) {
            (true, _) => "more",
            (_, true) => "less",
            _ => "no difference shown",
        };
        let _ = writeln!(
            text,
            "{name:<28} {:.4} -> {:.4}  {:+.4} ({:+.4} to {:+.4})  {trend}",
            a.mean, b.mean, difference.mean, difference.low, difference.high
        );
    }
    Ok(text)
}

#[cfg(test)]
mod tests;
