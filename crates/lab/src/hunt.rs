//! Draws worlds and timelines of faults, and keeps those in which a rule breaks or the engine serves less than two plain
//! choices do.

use crate::checker::Rule;
use crate::edit::{minimize, ScenarioSource};
use crate::policy::Policy;
use crate::scenario::Scenario;
use crate::sim;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::fmt::Write;

/// What is wrong with a world.
#[derive(Debug, Clone, PartialEq)]
pub enum Finding {
    /// The engine broke these rules.
    Broken(Vec<Rule>),
    /// It served less than two plain choices, which broke none.
    Worse {
        /// Its service,
        ours: f64,
        /// and theirs.
        theirs: f64,
    },
}

impl Finding {
    /// In words.
    pub fn summary(&self) -> String {
        match self {
            Finding::Broken(rules) => {
                rules.iter().map(|rule| format!("broken: {rule}")).collect::<Vec<_>>().join(", ")
            }
            Finding::Worse { ours, theirs } => format!("serves {ours:.3}, two plain choices {theirs:.3}"),
        }
    }

    /// The same thing is wrong.
    fn is_like(&self, other: &Finding) -> bool {
        match (self, other) {
            (Finding::Broken(these), Finding::Broken(those)) => these.iter().any(|rule| those.contains(rule)),
            (Finding::Worse { .. }, Finding::Worse { .. }) => true,
            _ => false,
        }
    }
}

/// Service may be so much less before it counts.
const MARGIN: f64 = 0.02;
/// and only with this seed and the next ones, each,
const SEEDS: u64 = 3;
/// in worlds of so many calls at least.
const ENOUGH: usize = 400;

/// Plays a world and says what is wrong with it.
pub fn find_problem(scenario: &Scenario, seed: u64) -> Option<Finding> {
    let ours = sim::run(scenario, Policy::Heronhoist, seed, |_| {});
    if !ours.result.violations.is_empty() {
        return Some(Finding::Broken(ours.result.violations.into_keys().collect()));
    }
    if ours.calls < ENOUGH {
        return None;
    }
    let (mut a, mut b) = (ours.result.service.overall, 0.0);
    for again in 0..SEEDS {
        let theirs = sim::run(scenario, Policy::TwoChoices, seed + again, |_| {});
        b += theirs.result.service.overall;
        if !theirs.result.violations.is_empty() {
            return None;
        }
        if again > 0 {
            a += sim::run(scenario, Policy::Heronhoist, seed + again, |_| {}).result.service.overall;
        }
        if a >= b - MARGIN * (again + 1) as f64 {
            return None;
        }
    }
    Some(Finding::Worse { ours: a / SEEDS as f64, theirs: b / SEEDS as f64 })
}

/// A smaller world with the same fault.
pub fn shrink(
    source: &ScenarioSource,
    seed: u64,
    finding: &Finding,
    budget: usize,
) -> (ScenarioSource, usize) {
    minimize(source, budget, &mut |scenario| {
        find_problem(scenario, seed).is_some_and(|found| found.is_like(finding))
    })
}

/// A world and its faults, all drawn.
pub fn random_scenario(seed: u64) -> ScenarioSource {
    let mut rng = Pcg64::seed_from_u64(seed);
    let servers = rng.random_range(2..=16_usize);
    let cores = rng.random_range(1..=4_usize);
    let agents = *[1, 2, 5, 10, 30, 100].choose(&mut rng).unwrap_or(&1);
    let length: u64 = rng.random_range(8..=30);
    let work: f64 = rng.random_range(2.0..40.0);
    let use_of: f64 = rng.random_range(0.1..0.9);
    let rate = (servers * cores) as f64 / work * 1000.0 * use_of;
    // No world takes longer to play than others by far.
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
        let aim = work * rng.random_range(4.0..20.0);
        let _ = write!(
            text,
            "[[class]]\nname = \"{}\"\neffect = \"{effect}\"\nshare = {}\nwork_ms = {work:.2}\naim_ms = {aim:.0}\ndeadline_ms = {:.0}\n\
             hints = {}\ndedup_group = \"{}\"\ndedup_window_ms = {}\n",
            effect.replace('_', "-"),
            rng.random_range(1..=10),
            aim * rng.random_range(1.5..6.0),
            rng.random_bool(0.5),
            if rng.random_bool(0.5) { "all" } else { "cell" },
            rng.random_range(100..5000),
        );
        if rng.random_bool(0.2) {
            text += "work_tail = 1.6\n";
        }
    }
    for _ in 0..rng.random_range(0..8) {
        faults(&mut text, &mut rng, servers, agents, length * 1000);
    }
    ScenarioSource::new(&text).unwrap_or(ScenarioSource(toml::Table::new()))
}

/// A fault, and with it most often its end.
fn faults(text: &mut String, rng: &mut Pcg64, servers: usize, agents: usize, length: u64) {
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
    let (begins, ends, to) = *KINDS.choose(rng).unwrap_or(&KINDS[0]);
    let at = rng.random_range(0..length);
    let until = at + rng.random_range(100..length / 2);
    let whom = match to {
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
    let figure = |worse: bool| match begins {
        "pace" => format!("pace = {}\n", if worse { 0.2 } else { 1.0 }),
        "spoil" => format!("share = {}\n", if worse { 0.5 } else { 0.0 }),
        _ => String::new(),
    };
    let _ = write!(text, "[[fault]]\nat_ms = {at}\nwhat = \"{begins}\"\n{whom}{}", figure(true));
    if rng.random_bool(0.8) {
        let _ = write!(text, "[[fault]]\nat_ms = {until}\nwhat = \"{ends}\"\n{whom}{}", figure(false));
    }
}

#[cfg(test)]
mod tests;
