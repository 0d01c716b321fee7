//! heronhoist-lab: plays scenarios against the engine and judges them from outside.

mod judge;
mod policy;
mod scenario;
mod sim;
mod world;

use clap::{Parser, Subcommand};
use policy::Policy;
use scenario::Scenario;
use std::io::Write;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// An emulated fleet, its clients and its faults, played in simulated time and judged from outside.
#[derive(Parser)]
#[command(
    name = "heronhoist-lab",
    version,
    after_help = "Exit codes: 0 all that must hold held; 1 a rule was broken, or the service was too low; 2 a file can't be used."
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a scenario with each seed, and judge it.
    Run {
        /// The scenario.
        file: PathBuf,
        /// Seeds, as 7 or 1..20.
        #[arg(long, default_value = "1..3", value_parser = seeds)]
        seeds: RangeInclusive<u64>,
        /// Who chooses the servers; all of them side by side with --all.
        #[arg(long, value_enum, default_value = "heronhoist")]
        policy: Policy,
        /// Play every policy in turn.
        #[arg(long, conflicts_with = "policy")]
        all: bool,
        /// As many agents as this instead of the file's.
        #[arg(long)]
        agents: Option<usize>,
    },
    /// Check scenarios without playing them.
    Check {
        /// The scenarios.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
}

fn seeds(text: &str) -> Result<RangeInclusive<u64>, String> {
    let (first, last) = text.split_once("..").unwrap_or((text, text));
    let number = |text: &str| text.parse::<u64>().map_err(|e| format!("{text:?}: {e}"));
    let (first, last) = (number(first)?, number(last)?);
    if first > last || last - first >= 10_000 {
        return Err(format!("{first}..{last} is no range of up to 10000 seeds"));
    }
    Ok(first..=last)
}

fn load(path: &Path) -> Result<Scenario, ExitCode> {
    let fail = |text: String| {
        let _ = writeln!(std::io::stderr(), "{text}");
        ExitCode::from(2)
    };
    let text = std::fs::read_to_string(path)
        .map_err(|e| fail(format!("heronhoist-lab: cannot read {}: {e}", path.display())))?;
    scenario::parse(&text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(|fault| format!("{}:{fault}", path.display())).collect();
        fail(lines.join("\n"))
    })
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Check { files } => {
            for file in files {
                match load(&file) {
                    Ok(scenario) => say(&format!("{}: {} is sound", file.display(), scenario.name)),
                    Err(code) => return code,
                }
            }
            ExitCode::SUCCESS
        }
        Command::Run { file, seeds, policy, all, agents } => {
            let mut scenario = match load(&file) {
                Ok(scenario) => scenario,
                Err(code) => return code,
            };
            if let Some(agents) = agents.filter(|n| (1..=100_000).contains(n)) {
                scenario.agents = agents;
                scenario.settings.balancers = agents as u32;
            }
            let policies = if all { Policy::ALL.to_vec() } else { vec![policy] };
            let held: Vec<bool> =
                policies.iter().map(|policy| run(&scenario, *policy, seeds.clone())).collect();
            // What stands beside the engine only for comparison need not hold.
            ExitCode::from(u8::from(!held[0]))
        }
    }
}

/// Plays all seeds; true if all that must hold held.
fn run(scenario: &Scenario, policy: Policy, seeds: RangeInclusive<u64>) -> bool {
    let mut held = true;
    say(&format!(
        "{} by {policy:?}: {} agents, {} servers, {} s",
        scenario.name,
        scenario.agents,
        scenario.servers,
        scenario.length / 1_000_000
    ));
    say("seed   whole  worst 10 s  worst class  requests     sends  p50 ms  p99 ms  digest            rules");
    for seed in seeds {
        let run = sim::play(scenario, policy, seed);
        let service = &run.verdict.service;
        let broken: Vec<String> =
            run.verdict.breaches.iter().map(|(rule, n)| format!("{rule}: {n} times")).collect();
        let low = scenario.least_whole.is_some_and(|least| service.whole < least);
        held &= broken.is_empty() && !low;
        let ms = |share| run.times.value_at_quantile(share) as f64 / 1e3;
        say(&format!(
            "{seed:<5}  {:.3}  {:>10.3}  {:>11.3}  {:>8}  {:>8}  {:>6.1}  {:>6.1}  {:016x}  {}{}",
            service.whole,
            service.worst_window,
            service.worst_class,
            run.requests,
            run.sends,
            ms(0.5),
            ms(0.99),
            run.digest,
            if broken.is_empty() { "held".into() } else { broken.join(", ") },
            if low { ", service too low" } else { "" }
        ));
    }
    say(if held { "all that must hold held\n" } else { "NOT all that must hold held\n" });
    held
}

/// A reader that has gone, as `head` does, is no fault.
fn say(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}
