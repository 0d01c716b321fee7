//! Generates random scenarios and keeps those in which the engine breaks a rule or gives worse service than the two-choices
//! policy.

use crate::checker::Rule;
use crate::edit::{minimize, ScenarioSource};
use crate::policy::Policy;
use crate::scenario::Scenario;
use crate::sim;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::fmt::Write;

/// A problem found in a scenario.
#[derive(Debug, Clone, PartialEq)]
pub enum Finding {
    /// The engine broke these rules.
    Broken(Vec<Rule>),
    /// The engine gave worse service than the two-choices policy, which broke no rule.
    Worse {
        /// The service of the engine.
        ours: f64,
        /// The service of the two-choices policy.
        theirs: f64,
    },
}

impl Finding {
    /// Describes the finding in one line.
    pub fn summary(&self) -> String {
        match self {
            Finding::Broken(rules) => {
                rules.iter().map(|rule| format!("broken: {rule}")).collect::<Vec<_>>().join(", ")
            }
            Finding::Worse { ours, theirs } => format!("service {ours:.3}, with two-choices {theirs:.3}"),
        }
    }

    /// Returns whether both findings are the same problem.
    fn is_same_problem(&self, other: &Finding) -> bool {
        match (self, other) {
            (Finding::Broken(these), Finding::Broken(those)) => these.iter().any(|rule| those.contains(rule)),
            (Finding::Worse { .. }, Finding::Worse { .. }) => true,
            _ => false,
        }
    }
}

/// The minimum difference in mean service with which the engine counts as worse.
const MIN_DIFFERENCE: f64 = 0.02;
/// The number of consecutive seeds; the mean service must be worse after each of them.
const SEEDS: u64 = 3;
/// Runs with fewer calls are not compared.
const MIN_CALLS: usize = 400;

/// Runs a scenario and returns the problem that it shows, if any.
pub fn find_problem(scenario: &Scenario, seed: u64) -> Option<Finding> {
    let ours = sim::run(scenario, Policy::Heronhoist, seed, |_| {});
    if !ours.result.violations.is_empty() {
        return Some(Finding::Broken(ours.result.violations.into_keys().collect()));
    }
    if ours.calls < MIN_CALLS {
        return None;
    }
    let (mut our_sum, mut their_sum) = (ours.result.service.overall, 0.0);
    for offset in 0..SEEDS {
        let theirs = sim::run(scenario, Policy::TwoChoices, seed + offset, |_| {});
        their_sum += theirs.result.service.overall;
        if !theirs.result.violations.is_empty() {
            return None;
        }
        if offset > 0 {
            our_sum += sim::run(scenario, Policy::Heronhoist, seed + offset, |_| {}).result.service.overall;
        }
        if our_sum >= their_sum - MIN_DIFFERENCE * (offset + 1) as f64 {
            return None;
        }
    }
    Some(Finding::Worse { ours: our_sum / SEEDS as f64, theirs: their_sum / SEEDS as f64 })
}

/// Reduces a scenario while it shows the same problem. Returns the result and the number of scenarios that were tried.
pub fn shrink(
    source: &ScenarioSource,
    seed: u64,
    finding: &Finding,
    budget: usize,
) -> (ScenarioSource, usize) {
    minimize(source, budget, &mut |scenario| {
        find_problem(scenario, seed).is_some_and(|found| found.is_same_problem(finding))
    })
}

/// Generates a random scenario with faults.
pub fn random_scenario(seed: u64) -> ScenarioSource {
    let mut rng = Pcg64::seed_from_u64(seed);
    let servers = rng.random_range(2..=16_usize);
    let cores = rng.random_range(1..=4_usize);
    let agents = *[1, 2, 5, 10, 30, 100].choose(&mut rng).unwrap_or(&1);
    let length: u64 = rng.random_range(8..=30);
    let work: f64 = rng.random_range(2.0..40.0);
    let utilization: f64 = rng.random_range(0.1..0.9);
    let rate = (servers * cores) as f64 / work * 1000.0 * utilization;
    // Limits the number of calls, so that no scenario takes much longer than others.
    let rate = rate.min(60_000.0 / length as f64);
    let mut text = format!(
        "name = \"wild {seed}\"\nlength_ms = {}\n[fleet]\nservers = {servers}\ncores = {cores}\nroom = {}\nbuildings = {}\n\
         crowding = {:.2}\ncold_share = {:.2}\nwarm_after_ms = {}\none_way_ms = {:.2}\nconnect_work_ms = {:.2}\n\
         cancels = {}\nslow_share = {:.2}\nnoisy_share = {:.2}\nconnections = {}\n",
        length * 1000,
        rng.random_range(2..60),
        rng.random_range(1..=3.min(servers)),
        rng.random_range(0.0..1.0),
        rng.random_range(0.05..0.6),
        rng.random_range(1000..20_000),
        rng.random_range(0.1..5.0),
        rng.random_range(0.0..2.0),
        rng.random_bool(0.7),
        if rng.random_bool(0.3) { 0.3 } else { 0.0 },
        if rng.random_bool(0.3) { 0.2 } else { 0.0 },
        rng.random_range(20..2000),
    );
    let _ = write!(text, "[registry]\nlate_ms = {}\n", rng.random_range(10..3000));
    if rng.random_bool(0.3) {
        let _ = writeln!(text, "lines_per_s = {}", rng.random_range(20..2000));
    }
    let _ = write!(
        text,
        "[agents]\ncount = {agents}\nmax_attempts = {}\nsecond_copies = {}\ncancel = {}\nprobes = {}\nload_reports = {}\n",
        rng.random_range(1..=5),
        rng.random_bool(0.5),
        rng.random_bool(0.7),
        rng.random_bool(0.7),
        rng.random_bool(0.5),
    );
    let _ = write!(
        text,
        "[clients]\nrate_per_s = {rate:.1}\ntries = {}\nbackoff_ms = {}\nheeds_waits = {}\nimpatient = {:.2}\nwave = {:.2}\n",
        rng.random_range(1..=4),
        rng.random_range(10..500),
        rng.random_bool(0.7),
        if rng.random_bool(0.3) { 0.05 } else { 0.0 },
        if rng.random_bool(0.3) { 0.5 } else { 0.0 },
    );
    for effect in ["idempotent", "deduplicated", "at_most_once"] {
        let objective = work * rng.random_range(4.0..20.0);
        let _ = write!(
            text,
            "[[class]]\nname = \"{}\"\neffect = \"{effect}\"\nshare = {}\nwork_ms = {work:.2}\naim_ms = {objective:.0}\ndeadline_ms = {:.0}\n\
             hints = {}\ndedup_group = \"{}\"\ndedup_window_ms = {}\n",
            effect.replace('_', "-"),
            rng.random_range(1..=10),
            objective * rng.random_range(1.5..6.0),
            rng.random_bool(0.5),
            if rng.random_bool(0.5) { "all" } else { "cell" },
            rng.random_range(100..5000),
        );
        if rng.random_bool(0.2) {
            text += "work_tail = 1.6\n";
        }
    }
    for _ in 0..rng.random_range(0..8) {
        add_fault(&mut text, &mut rng, servers, agents, length * 1000);
    }
    ScenarioSource::new(&text).unwrap_or(ScenarioSource(toml::Table::new()))
}

/// Adds a random fault and, in most cases, its end.
fn add_fault(text: &mut String, rng: &mut Pcg64, servers: usize, agents: usize, length: u64) {
    const KINDS: [(&str, &str, char); 9] = [
        ("kill", "start", 's'),
        ("crash", "start", 's'),
        ("drain", "replace", 's'),
        ("cut", "mend", 's'),
        ("choke", "unchoke", 's'),
        ("pace", "pace", 's'),
        ("spoil", "spoil", 's'),
        ("kill-agent", "start-agent", 'a'),
        ("registry-down", "registry-up", '-'),
    ];
    let (begin_kind, end_kind, target) = *KINDS.choose(rng).unwrap_or(&KINDS[0]);
    let at = rng.random_range(0..length);
    let end = at + rng.random_range(100..length / 2);
    let targets = match target {
        's' => {
            let first = rng.random_range(0..servers);
            format!("server = {first}\nto_server = {}\n", rng.random_range(first..servers))
        }
        'a' => {
            let first = rng.random_range(0..agents);
            format!("agent = {first}\nto_agent = {}\n", rng.random_range(first..agents))
        }
        _ => String::new(),
    };
    let severity = |is_active: bool| match begin_kind {
        "pace" => format!("pace = {}\n", if is_active { 0.2 } else { 1.0 }),
        "spoil" => format!("share = {}\n", if is_active { 0.5 } else { 0.0 }),
        _ => String::new(),
    };
    let _ = write!(text, "[[fault]]\nat_ms = {at}\nwhat = \"{begin_kind}\"\n{targets}{}", severity(true));
    if rng.random_bool(0.8) {
        let _ = write!(text, "[[fault]]\nat_ms = {end}\nwhat = \"{end_kind}\"\n{targets}{}", severity(false));
    }
}

#[cfg(test)]
mod tests;
