//! heronhoist-lab: runs an emulated fleet with clients and injected faults against the engine in simulated time or against
//! the real agent on loopback, and checks the runs from outside.

mod checker;
mod compare;
mod edit;
mod emulation;
mod hunt;
#[cfg(test)]
mod injected_bugs;
mod load;
mod memory;
mod messages;
mod policy;
mod processes;
mod real;
mod record;
mod registry;
mod report;
mod runner;
mod scenario;
mod server_model;
mod signal;
mod sim;
mod wire;

use clap::{Args, Parser, Subcommand};
use edit::ScenarioSource;
use policy::Policy;
use record::{Mode, Record, Run};
use runner::{PlannedRun, RunOptions};
use std::fmt::Write as _;
use std::io::Write;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Runs an emulated fleet with clients and injected faults, and checks from outside that the agents keep the rules.
#[derive(Parser)]
#[command(
    name = "heronhoist-lab",
    version,
    after_help = "Exit codes: 0 all that must hold held; 1 something did not; 2 it could not be played."
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

/// The options of the commands that run scenarios.
#[derive(Args)]
struct RunArgs {
    /// One seed (7) or a range of seeds (1..20).
    #[arg(long, default_value = "1..1", value_parser = seeds)]
    seeds: RangeInclusive<u64>,
    /// Run the real agent on loopback sockets.
    #[arg(long, conflicts_with = "simulated")]
    real: bool,
    /// Run in simulated time.
    #[arg(long = "virtual")]
    simulated: bool,
    /// The load-balancing policy.
    #[arg(long, value_enum, default_value = "heronhoist")]
    policy: Policy,
    /// Run every policy in turn.
    #[arg(long, conflicts_with = "policy")]
    all: bool,
    /// Override a key of the scenario, for example agents.count=200.
    #[arg(long, value_name = "PATH=VALUE")]
    set: Vec<String>,
    /// The path of the agent program.
    #[arg(long)]
    agent: Option<PathBuf>,
    /// Check only the rules that do not depend on the speed of the machine: responses, effects, translation and agent crashes.
    #[arg(long)]
    timeless: bool,
    /// The number of concurrent runs in simulated time.
    #[arg(long, default_value_t = 4)]
    threads: usize,
    /// Write each run to this JSON file as it ends.
    #[arg(long)]
    out: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Run a scenario with each seed and check the runs.
    Run {
        /// The scenario.
        file: PathBuf,
        #[command(flatten)]
        arguments: RunArgs,
    },
    /// Run a scenario with each of several values of a key: --set agents.count=10,100,1000.
    Sweep {
        /// The scenario.
        file: PathBuf,
        #[command(flatten)]
        arguments: RunArgs,
    },
    /// Run scenarios with all policies and write a Markdown table.
    Table {
        /// The scenarios.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[command(flatten)]
        arguments: RunArgs,
    },
    /// Run a scenario in both modes with every policy, and check that the modes agree on the service and on the order of policies.
    Agree {
        /// The scenario.
        file: PathBuf,
        #[command(flatten)]
        arguments: RunArgs,
    },
    /// Compare two files of runs, paired by scenario and seed.
    Compare {
        /// The first file.
        first: PathBuf,
        /// The second file.
        second: PathBuf,
    },
    /// Write an HTML report of a file of runs.
    Report {
        /// The file of runs.
        runs: PathBuf,
        /// The report; by default it is written next to the file of runs.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Reduce a failing scenario to a smaller one that still fails.
    Minimize {
        /// The scenario.
        file: PathBuf,
        /// The seed with which the scenario fails.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The maximum number of runs.
        #[arg(long = "plays", value_name = "PLAYS", default_value_t = 300)]
        max_runs: usize,
        /// Where to write the smaller scenario.
        #[arg(long)]
        out: PathBuf,
    },
    /// Generate random scenarios, and keep those in which a rule is broken or the two-choices policy gives better service.
    Hunt {
        /// How long to search, in minutes.
        #[arg(long, default_value_t = 1.0)]
        minutes: f64,
        /// The seed of the first scenario.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The folder for the scenarios that are found.
        #[arg(long)]
        out: PathBuf,
        /// The number of concurrent runs.
        #[arg(long, default_value_t = 4)]
        threads: usize,
        /// The maximum number of runs to reduce each finding.
        #[arg(long = "plays", value_name = "PLAYS", default_value_t = 120)]
        max_runs: usize,
    },
    /// Start a fleet with its agents and leave it running, for manual tests.
    Fleet {
        /// The scenario; its faults and clients are ignored.
        file: PathBuf,
        /// The path of the agent program.
        #[arg(long)]
        agent: Option<PathBuf>,
        /// Exit after this many seconds.
        #[arg(long)]
        seconds: Option<u64>,
    },
    /// Send requests to an address and report status codes and latencies.
    Load(load::Load),
    /// Validate scenarios without running them.
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
        return Err(format!("{first}..{last} is not a range of 1 to 10000 seeds"));
    }
    Ok(first..=last)
}

/// Reads a scenario file. The error lists all its faults with their positions.
fn read(path: &Path) -> Result<ScenarioSource, String> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| format!("heronhoist-lab: cannot read {}: {e}", path.display()))?;
    let Err(faults) = scenario::parse(&text) else { return ScenarioSource::new(&text) };
    let lines: Vec<String> = faults.iter().map(|fault| format!("{}:{fault}", path.display())).collect();
    Err(lines.join("\n"))
}

fn with_overrides(source: &ScenarioSource, overrides: &[(String, String)]) -> Result<ScenarioSource, String> {
    let mut source = source.clone();
    for (path, value) in overrides {
        source.set(path, value)?;
    }
    source.scenario()?;
    Ok(source)
}

/// Parses the arguments of `--set`: `path=value`, or `path=a,b,c` for a sweep.
fn parse_overrides(texts: &[String]) -> Result<Vec<(String, Vec<String>)>, String> {
    let one = |text: &String| {
        let (path, values) =
            text.split_once('=').ok_or_else(|| format!("--set {text}: expected PATH=VALUE"))?;
        Ok((path.to_string(), values.split(',').map(String::from).collect()))
    };
    texts.iter().map(one).collect()
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    runner::handle_interrupts();
    match execute(arguments.command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            let _ = writeln!(std::io::stderr(), "{error}");
            ExitCode::from(2)
        }
    }
}

fn options(arguments: &RunArgs, scenario: &scenario::Scenario) -> RunOptions {
    let mode = match (arguments.real, arguments.simulated) {
        (true, _) => Mode::Real,
        (_, true) => Mode::Virtual,
        _ => scenario.mode,
    };
    RunOptions {
        mode,
        agent: arguments.agent.clone(),
        folder: std::env::temp_dir().join(format!("heronhoist-lab-{}", std::process::id())),
        out: arguments.out.clone(),
        threads: arguments.threads,
    }
}

fn policies(arguments: &RunArgs) -> Vec<Policy> {
    if arguments.all {
        Policy::ALL.to_vec()
    } else {
        vec![arguments.policy]
    }
}

fn planned_runs(source: &ScenarioSource, arguments: &RunArgs) -> Result<Vec<PlannedRun>, String> {
    let scenario = source.scenario()?;
    let with_seeds = |policy| arguments.seeds.clone().map(move |seed| (policy, seed));
    let pairs = policies(arguments).into_iter().flat_map(with_seeds);
    Ok(pairs.map(|(policy, seed)| PlannedRun { scenario: scenario.clone(), policy, seed }).collect())
}

fn execute(command: Command) -> Result<bool, String> {
    match command {
        Command::Check { files } => {
            for file in files {
                if let Some(plan) = coordinator_plan(&file, &[])? {
                    print(&format!("{}: {} is sound", file.display(), plan.name));
                    continue;
                }
                let scenario = read(&file)?.scenario()?;
                print(&format!("{}: {} is sound", file.display(), scenario.name));
            }
            Ok(true)
        }
        Command::Run { file, arguments } => run(&file, arguments),
        Command::Sweep { file, arguments } => sweep(&file, &arguments),
        Command::Table { files, arguments } => table(&files, &arguments),
        Command::Agree { file, arguments } => agree(&file, arguments),
        Command::Compare { first, second } => {
            print(compare::compare(&Record::read(&first)?, &Record::read(&second)?)?.trim_end());
            Ok(true)
        }
        Command::Report { runs, out } => {
            let out = out.unwrap_or_else(|| runs.with_extension("html"));
            write_report(&Record::read(&runs)?, &out)?;
            print(&format!("report: {}", out.display()));
            Ok(true)
        }
        Command::Minimize { file, seed, max_runs, out } => {
            let source = read(&file)?;
            let Some(finding) = hunt::find_problem(&source.scenario()?, seed) else {
                return Err(format!(
                    "{} with seed {seed}: no rule is broken and the service is not worse",
                    file.display()
                ));
            };
            write_finding(&source, seed, &finding, max_runs, &out)?;
            Ok(true)
        }
        Command::Hunt { minutes, seed, out, threads, max_runs } => {
            hunt(minutes, seed, &out, threads, max_runs)
        }
        Command::Fleet { file, agent, seconds } => fleet(&file, agent.as_deref(), seconds),
        Command::Load(load) => {
            let (text, any) = load::run(&load)?;
            print(text.trim_end());
            Ok(any)
        }
    }
}

fn write_report(record: &Record, out: &Path) -> Result<(), String> {
    std::fs::write(out, report::html(record)?).map_err(|e| format!("cannot write {}: {e}", out.display()))
}

const HEADER: &str =
    "policy           seed   whole  worst 10 s  worst class    calls     sends  p99 ms  push  connects  digest            verdict";

fn format_run(run: &Run) -> String {
    let service = &run.result.service;
    format!(
        "{:<15}  {:<5}  {:.3}  {:>10.3}  {:>11.3}  {:>7}  {:>8}  {:>6.0}  {:>4.1}  {:>8}  {}  {}{}",
        run.policy.name(),
        run.seed,
        service.overall,
        service.worst_window,
        service.worst_class,
        run.calls,
        run.sends,
        run.slowest_p99(),
        run.worst_cold_load,
        run.connections_opened,
        run.digest,
        run.result.summary(),
        if run.complete { "" } else { " (interrupted)" }
    )
}

/// Reads a scenario of coordinator processes and applies the overrides; `None` for any other scenario.
fn coordinator_plan(
    file: &Path,
    overrides: &[(String, String)],
) -> Result<Option<processes::plan::Plan>, String> {
    let text = std::fs::read_to_string(file)
        .map_err(|e| format!("heronhoist-lab: cannot read {}: {e}", file.display()))?;
    if !processes::plan::is_council_scenario(&text) {
        return Ok(None);
    }
    let parse = |text: &str| {
        processes::plan::parse(text).map_err(|faults| {
            let lines: Vec<String> =
                faults.iter().map(|fault| format!("{}:{fault}", file.display())).collect();
            lines.join("\n")
        })
    };
    let plan = parse(&text)?;
    if overrides.is_empty() {
        return Ok(Some(plan));
    }
    let mut source = ScenarioSource::new(&text)?;
    for (path, value) in overrides {
        source.set(path, value)?;
    }
    parse(&source.text()).map(Some)
}

fn run(file: &Path, mut arguments: RunArgs) -> Result<bool, String> {
    let mut overrides = Vec::new();
    for (path, values) in parse_overrides(&arguments.set)? {
        overrides.push((path, values.join(",")));
    }
    if let Some(plan) = coordinator_plan(file, &overrides)? {
        print(&format!(
            "{}, {} mode: {} council processes, {} agents, {} s of faults",
            plan.name,
            if arguments.real { "real" } else { "virtual" },
            plan.coordinators,
            plan.agents,
            plan.duration / 1_000_000
        ));
        if arguments.real {
            let program = runner::agent_program(arguments.agent.as_deref())?;
            let folder = std::env::temp_dir().join(format!("heronhoist-lab-{}", std::process::id()));
            let held = processes::run_real(&plan, arguments.seeds, (&program, &folder), print)?;
            if held {
                let _ = std::fs::remove_dir_all(&folder);
            }
            return Ok(held);
        }
        return Ok(processes::run(&plan, arguments.seeds, arguments.threads, print));
    }
    let source = with_overrides(&read(file)?, &overrides)?;
    let scenario = source.scenario()?;
    if arguments.out.is_none() && scenario.mode == Mode::Real && !arguments.simulated {
        let name = file.file_stem().unwrap_or_default().to_string_lossy();
        arguments.out = Some(std::env::temp_dir().join(format!("heronhoist-lab-{name}.json")));
    }
    let options = options(&arguments, &scenario);
    print(&format!(
        "{}, {:?} mode: {} agents, {} servers, {} s of clients",
        scenario.name,
        options.mode,
        scenario.agents,
        scenario.fleet.servers,
        scenario.duration / 1_000_000
    ));
    let record = runner::run_all(&planned_runs(&source, &arguments)?, &options)?;
    print(HEADER);
    record.runs.iter().for_each(|run| print(&format_run(run)));
    // The other policies run only for comparison and need not keep the rules.
    let is_checked = |run: &&Run| !arguments.all || run.policy == Policy::Heronhoist;
    let passes = |run: &Run| match arguments.timeless {
        false => run.result.held(),
        true => run.result.violations.keys().all(|rule| rule.depends_on_timing()),
    };
    let held = record.complete && record.runs.iter().filter(is_checked).all(passes);
    print(if held { "all that must hold held" } else { "NOT all that must hold held" });
    if let Some(out) = &options.out {
        let page = out.with_extension("html");
        write_report(&record, &page)?;
        print(&format!("runs: {}\nreport: {}", out.display(), page.display()));
    }
    if options.mode == Mode::Real && !held {
        print(&format!("the agents' logs: {}", options.folder.display()));
    } else {
        let _ = std::fs::remove_dir_all(&options.folder);
    }
    Ok(held)
}

/// Formats the mean of a metric over runs with its confidence interval.
fn mean(runs: &[&Run], metric: impl Fn(&Run) -> f64) -> String {
    let values: Vec<f64> = runs.iter().map(|run| metric(run)).collect();
    compare::interval(&values).map_or("-".into(), |i| format!("{:.3} ({:.3}-{:.3})", i.mean, i.low, i.high))
}

fn sweep(file: &Path, arguments: &RunArgs) -> Result<bool, String> {
    let source = read(file)?;
    let mut cases: Vec<Vec<(String, String)>> = vec![Vec::new()];
    for (path, values) in parse_overrides(&arguments.set)? {
        let extend = |case: &Vec<(String, String)>, value: &String| {
            case.iter().cloned().chain([(path.clone(), value.clone())]).collect()
        };
        cases = cases
            .iter()
            .flat_map(|case| values.iter().map(|value| extend(case, value)).collect::<Vec<_>>())
            .collect();
    }
    if cases.len() > 1000 {
        return Err(format!("--set gives {} combinations of values; the maximum is 1000", cases.len()));
    }
    let mut all = Record { format: record::FORMAT, complete: true, runs: Vec::new() };
    let mut held = true;
    print("case                                     policy           whole                  worst 10 s             sends/call  connects/agent  probes/agent  lines/agent  push  seconds  events/s  verdict");
    for case in cases {
        let source = with_overrides(&source, &case)?;
        let mut options = options(arguments, &source.scenario()?);
        options.out = None;
        let record = runner::run_all(&planned_runs(&source, arguments)?, &options)?;
        let name: Vec<String> = case.iter().map(|(path, value)| format!("{path}={value}")).collect();
        for policy in policies(arguments) {
            let runs: Vec<&Run> = record.runs.iter().filter(|run| run.policy == policy).collect();
            let mean_ratio = |metric: fn(&Run) -> f64, divisor: fn(&Run) -> f64| {
                runs.iter().map(|run| metric(run) / divisor(run)).sum::<f64>() / runs.len().max(1) as f64
            };
            let broken = runs.iter().filter(|run| !run.result.held()).count();
            held &= broken == 0 || policy != Policy::Heronhoist;
            print(&format!(
                "{:<40} {:<15}  {}  {}  {:>9.2}  {:>14.1}  {:>12.1}  {:>11.1}  {:>4.1}  {:>7.1}  {:>8.0}  {}",
                name.join(" "),
                policy.name(),
                mean(&runs, |run| run.result.service.overall),
                mean(&runs, |run| run.result.service.worst_window),
                mean_ratio(|run| run.sends as f64, |run| run.calls as f64),
                mean_ratio(|run| run.connections_opened as f64, |run| run.agents as f64),
                mean_ratio(|run| run.probes as f64, |run| run.agents as f64),
                mean_ratio(|run| run.list_entries as f64, |run| run.agents as f64),
                runs.iter().map(|run| run.worst_cold_load).fold(0.0, f64::max),
                mean_ratio(|run| run.seconds, |_| 1.0),
                mean_ratio(|run| run.events as f64, |run| run.seconds.max(1e-9)),
                if broken == 0 { "held".into() } else { format!("{broken} of {} did not hold", runs.len()) }
            ));
        }
        all.complete &= record.complete;
        all.runs.extend(record.runs);
        if let Some(out) = &arguments.out {
            all.write(out)?;
        }
    }
    Ok(held && all.complete)
}

/// The largest difference in service with which the two modes agree.
const MAX_MODE_DIFFERENCE: f64 = 0.05;
/// Policies whose service differs by no more than this in one of the modes are not ranked.
const MIN_POLICY_DIFFERENCE: f64 = 0.02;

fn agree(file: &Path, mut arguments: RunArgs) -> Result<bool, String> {
    let source = read(file)?;
    let scenario = source.scenario()?;
    arguments.all = true;
    let planned = planned_runs(&source, &arguments)?;
    let mut services = Vec::new();
    for mode in [Mode::Virtual, Mode::Real] {
        let options = RunOptions { mode, out: None, ..options(&arguments, &scenario) };
        let record = runner::run_all(&planned, &options)?;
        let _ = std::fs::remove_dir_all(&options.folder);
        if let Some(run) = record.runs.iter().find(|run| run.result.void.is_some()) {
            print(&format!("{} by {}: {}", scenario.name, run.policy.name(), run.result.summary()));
            return Ok(false);
        }
        let service = |policy: Policy| {
            let runs = record.runs.iter().filter(|run| run.policy == policy);
            let overall: Vec<f64> = runs.map(|run| run.result.service.overall).collect();
            overall.iter().sum::<f64>() / overall.len().max(1) as f64
        };
        services.push(Policy::ALL.map(service));
    }
    let (simulated, real) = (services[0], services[1]);
    print("policy           virtual   real    apart");
    let mut agrees = true;
    for (index, policy) in Policy::ALL.into_iter().enumerate() {
        let difference = real[index] - simulated[index];
        agrees &= difference.abs() <= MAX_MODE_DIFFERENCE;
        print(&format!(
            "{:<15}  {:.3}     {:.3}  {difference:+.3}",
            policy.name(),
            simulated[index],
            real[index]
        ));
        for other in index + 1..Policy::ALL.len() {
            let (a, b) = (simulated[index] - simulated[other], real[index] - real[other]);
            if a.abs() > MIN_POLICY_DIFFERENCE && b.abs() > MIN_POLICY_DIFFERENCE && (a > 0.0) != (b > 0.0) {
                agrees = false;
                print(&format!(
                    "{} and {} are in a different order",
                    policy.name(),
                    Policy::ALL[other].name()
                ));
            }
        }
    }
    print(if agrees { "the modes agree" } else { "the modes do NOT agree" });
    Ok(agrees)
}

fn table(files: &[PathBuf], arguments: &RunArgs) -> Result<bool, String> {
    let (first, last) = (arguments.seeds.start(), arguments.seeds.end());
    let mut text = format!(
        "# Results of the lab\n\nSeeds {first} to {last} of each scenario with each policy; means with a 95 % confidence interval (bootstrap over seeds).\n\
         Service: a call counts 1 within its latency objective and one half within its deadline. `push` is the largest load on a\n\
         cold server as a multiple of its capacity; it crashes at 3. The simple policies learn of changes as late as the engine does, and\n\
         keep no rules; `least-loaded` knows the actual load of all servers, which no agent can. Written by:\n\n    sh scenarios/results.sh\n"
    );
    let mut held = true;
    for file in files {
        let source = read(file)?;
        let scenario = source.scenario()?;
        let mut options = options(arguments, &scenario);
        options.out = None;
        let policies = Policy::ALL
            .into_iter()
            .flat_map(|policy| arguments.seeds.clone().map(move |seed| (policy, seed)));
        let planned: Vec<PlannedRun> =
            policies.map(|(policy, seed)| PlannedRun { scenario: scenario.clone(), policy, seed }).collect();
        let record = runner::run_all(&planned, &options)?;
        let _ = write!(
            text,
            "\n## {}\n\n{} agents, {} servers, {} s, {:?} mode.\n\n| policy | whole | worst 10 s | worst class | sends a call | p99 ms of the slowest class | push | rules |\n|---|---|---|---|---|---|---|---|\n",
            scenario.name,
            scenario.agents,
            scenario.fleet.servers,
            scenario.duration / 1_000_000,
            options.mode
        );
        for policy in Policy::ALL {
            let runs: Vec<&Run> = record.runs.iter().filter(|run| run.policy == policy).collect();
            let broken: Vec<&&Run> = runs.iter().filter(|run| !run.result.violations.is_empty()).collect();
            if policy == Policy::Heronhoist {
                held &= runs.iter().all(|run| run.result.held());
            }
            let rules: std::collections::BTreeSet<String> =
                broken.iter().flat_map(|run| run.result.violations.keys().map(ToString::to_string)).collect();
            let rules = match broken.len() {
                0 => "held".into(),
                n => format!(
                    "{n} of {} broke: {}",
                    runs.len(),
                    rules.into_iter().collect::<Vec<_>>().join(", ")
                ),
            };
            let average = |metric: fn(&Run) -> f64| {
                runs.iter().map(|run| metric(run)).sum::<f64>() / runs.len().max(1) as f64
            };
            let _ = writeln!(
                text,
                "| {} | {} | {} | {} | {:.3} | {:.0} | {:.1} | {rules} |",
                policy.name(),
                mean(&runs, |run| run.result.service.overall),
                mean(&runs, |run| run.result.service.worst_window),
                mean(&runs, |run| run.result.service.worst_class),
                average(|run| run.sends as f64 / run.calls.max(1) as f64),
                average(Run::slowest_p99),
                runs.iter().map(|run| run.worst_cold_load).fold(0.0, f64::max),
            );
        }
        print(&format!("{}: done", scenario.name));
    }
    match &arguments.out {
        Some(out) => std::fs::write(out, text).map_err(|e| format!("cannot write {}: {e}", out.display()))?,
        None => print(&text),
    }
    Ok(held)
}

/// Reduces a finding and writes it as a scenario that reproduces it.
fn write_finding(
    source: &ScenarioSource,
    seed: u64,
    finding: &hunt::Finding,
    max_runs: usize,
    out: &Path,
) -> Result<(), String> {
    let (small, tried) = hunt::shrink(source, seed, finding, max_runs);
    let reproduced = hunt::find_problem(&small.scenario()?, seed).unwrap_or_else(|| finding.clone());
    let text = format!(
        "# {}\n# Reproduce with: heronhoist-lab run {} --seeds {seed} --all\n{}",
        reproduced.summary(),
        out.display(),
        small.text()
    );
    std::fs::write(out, text).map_err(|e| format!("cannot write {}: {e}", out.display()))?;
    print(&format!("{}: {} (reduced in {tried} runs)", out.display(), reproduced.summary()));
    Ok(())
}

fn hunt(minutes: f64, seed: u64, out: &Path, threads: usize, max_runs: usize) -> Result<bool, String> {
    if !(minutes > 0.0 && minutes <= 10_000.0) {
        return Err("--minutes must be above 0 and at most 10000".into());
    }
    std::fs::create_dir_all(out).map_err(|e| format!("cannot create {}: {e}", out.display()))?;
    let deadline = Instant::now() + Duration::from_secs_f64(minutes * 60.0);
    let next = std::sync::atomic::AtomicU64::new(seed);
    let (scenarios, found) = (std::sync::atomic::AtomicUsize::new(0), std::sync::atomic::AtomicUsize::new(0));
    let order = std::sync::atomic::Ordering::Relaxed;
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, 64) {
            scope.spawn(|| {
                while Instant::now() < deadline && !emulation::INTERRUPTED.load(order) {
                    let seed = next.fetch_add(1, order);
                    let source = hunt::random_scenario(seed);
                    let Ok(scenario) = source.scenario() else { continue };
                    scenarios.fetch_add(1, order);
                    let Some(finding) = hunt::find_problem(&scenario, seed) else { continue };
                    found.fetch_add(1, order);
                    let file = out.join(format!("wild-{seed}.toml"));
                    if let Err(error) = write_finding(&source, seed, &finding, max_runs, &file) {
                        let _ = writeln!(std::io::stderr(), "{error}");
                    }
                }
            });
        }
    });
    let (scenarios, found) = (scenarios.into_inner(), found.into_inner());
    print(&format!("{scenarios} scenarios, seeds {seed} to {}; {found} findings", next.into_inner() - 1));
    Ok(found == 0)
}

fn fleet(file: &Path, agent: Option<&Path>, seconds: Option<u64>) -> Result<bool, String> {
    let scenario = read(file)?.scenario()?;
    let program = runner::agent_program(agent)?;
    let folder = std::env::temp_dir().join(format!("heronhoist-lab-{}", std::process::id()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot create the async runtime: {e}"))?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let testbed =
            real::Testbed::new(&scenario, 1).map_err(|e| format!("cannot open the servers' sockets: {e}"))?;
        let agents = testbed.start_agents(&program, &folder).await?;
        for (server, address) in testbed.servers().iter().enumerate() {
            print(&format!("server {server}: {address}"));
        }
        for (number, address) in agents.addresses().enumerate() {
            print(&format!("agent {number}: {address}"));
        }
        let class = &scenario.classes[0].name;
        let to = agents.addresses().next().map_or_else(String::new, |to| to.to_string());
        print(&format!("try: heronhoist-lab load --to {to} --class {class}; Ctrl-C stops the fleet"));
        let started_at = Instant::now();
        while !emulation::INTERRUPTED.load(std::sync::atomic::Ordering::Relaxed)
            && seconds.is_none_or(|limit| started_at.elapsed() < Duration::from_secs(limit))
        {
            tokio::time::sleep(Duration::from_secs(1)).await;
            let _ = write!(std::io::stderr(), "\r{} ", testbed.status());
        }
        agents.end_all().await;
        let _ = std::fs::remove_dir_all(&folder);
        Ok(true)
    })
}

/// Prints a line. A closed pipe, for example to `head`, is not an error.
fn print(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}
