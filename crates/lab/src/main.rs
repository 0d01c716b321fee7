//! heronhoist-lab: an emulated fleet, its clients and its faults, played against the engine in simulated time or against the
//! real agent on loopback, and judged from outside.

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

/// An emulated fleet, its clients and its faults, judged from outside.
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

/// How runs are played.
#[derive(Args)]
struct RunArgs {
    /// Seeds, as 7 or 1..20.
    #[arg(long, default_value = "1..1", value_parser = seeds)]
    seeds: RangeInclusive<u64>,
    /// On loopback sockets, against the real agent.
    #[arg(long, conflicts_with = "simulated")]
    real: bool,
    /// In simulated time.
    #[arg(long = "virtual")]
    simulated: bool,
    /// Who chooses the servers.
    #[arg(long, value_enum, default_value = "heronhoist")]
    policy: Policy,
    /// Play every policy in turn.
    #[arg(long, conflicts_with = "policy")]
    all: bool,
    /// Change a key of the scenario, as agents.count=200.
    #[arg(long, value_name = "PATH=VALUE")]
    set: Vec<String>,
    /// The real agent's program.
    #[arg(long)]
    agent: Option<PathBuf>,
    /// Judge only what does not hang on how fast the machine is: answers, effects, and agents that end by themselves.
    #[arg(long)]
    timeless: bool,
    /// Runs side by side, in simulated time.
    #[arg(long, default_value_t = 4)]
    threads: usize,
    /// Write the runs here as they end, as JSON.
    #[arg(long)]
    out: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Play a scenario with each seed, and judge it.
    Run {
        /// The scenario.
        file: PathBuf,
        #[command(flatten)]
        how: RunArgs,
    },
    /// Play a scenario with each of several values of a key: --set agents.count=10,100,1000.
    Sweep {
        /// The scenario.
        file: PathBuf,
        #[command(flatten)]
        how: RunArgs,
    },
    /// Play scenarios by all policies, and write a table in Markdown.
    Table {
        /// The scenarios.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[command(flatten)]
        how: RunArgs,
    },
    /// Play a scenario in both modes by every policy, and see whether they agree: in service, and in the order of policies.
    Agree {
        /// The scenario.
        file: PathBuf,
        #[command(flatten)]
        how: RunArgs,
    },
    /// Compare two files of runs, paired by scenario and seed.
    Compare {
        /// The first,
        first: PathBuf,
        /// and the second.
        second: PathBuf,
    },
    /// Make one HTML file of a file of runs.
    Report {
        /// The runs.
        runs: PathBuf,
        /// The page; beside the runs if it is not said.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Make a scenario that fails as small as it can be.
    Minimize {
        /// The scenario.
        file: PathBuf,
        /// The seed with which it fails.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// At most so many plays.
        #[arg(long, default_value_t = 300)]
        plays: usize,
        /// Where the smaller one is written.
        #[arg(long)]
        out: PathBuf,
    },
    /// Draw worlds and faults, and keep those in which a rule breaks or two plain choices serve better.
    Hunt {
        /// For how long.
        #[arg(long, default_value_t = 1.0)]
        minutes: f64,
        /// The first world's seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Where findings are written, as scenarios.
        #[arg(long)]
        out: PathBuf,
        /// Worlds side by side.
        #[arg(long, default_value_t = 4)]
        threads: usize,
        /// Plays to make each finding smaller.
        #[arg(long, default_value_t = 120)]
        plays: usize,
    },
    /// Leave a fleet with its agents up, for tests by hand.
    Fleet {
        /// The scenario; its faults and clients are left out.
        file: PathBuf,
        /// The real agent's program.
        #[arg(long)]
        agent: Option<PathBuf>,
        /// End by itself after so many seconds.
        #[arg(long)]
        seconds: Option<u64>,
    },
    /// Send requests to an address, and tell how it answered.
    Load(load::Load),
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

/// Reads a scenario; all its faults, with their places, if it has any.
fn read(path: &Path) -> Result<ScenarioSource, String> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| format!("heronhoist-lab: cannot read {}: {e}", path.display()))?;
    let Err(faults) = scenario::parse(&text) else { return ScenarioSource::new(&text) };
    let lines: Vec<String> = faults.iter().map(|fault| format!("{}:{fault}", path.display())).collect();
    Err(lines.join("\n"))
}

fn changed(source: &ScenarioSource, set: &[(String, String)]) -> Result<ScenarioSource, String> {
    let mut source = source.clone();
    for (path, value) in set {
        source.set(path, value)?;
    }
    source.scenario()?;
    Ok(source)
}

/// `path=value`, and for a sweep `path=a,b,c`.
fn sets(texts: &[String]) -> Result<Vec<(String, Vec<String>)>, String> {
    let one = |text: &String| {
        let (path, values) =
            text.split_once('=').ok_or_else(|| format!("--set {text}: wanted PATH=VALUE"))?;
        Ok((path.to_string(), values.split(',').map(String::from).collect()))
    };
    texts.iter().map(one).collect()
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    runner::handle_interrupts();
    match carry_out(arguments.command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(why) => {
            let _ = writeln!(std::io::stderr(), "{why}");
            ExitCode::from(2)
        }
    }
}

fn means(how: &RunArgs, scenario: &scenario::Scenario) -> RunOptions {
    let mode = match (how.real, how.simulated) {
        (true, _) => Mode::Real,
        (_, true) => Mode::Virtual,
        _ => scenario.mode,
    };
    RunOptions {
        mode,
        agent: how.agent.clone(),
        folder: std::env::temp_dir().join(format!("heronhoist-lab-{}", std::process::id())),
        out: how.out.clone(),
        threads: how.threads,
    }
}

fn policies(how: &RunArgs) -> Vec<Policy> {
    if how.all {
        Policy::ALL.to_vec()
    } else {
        vec![how.policy]
    }
}

fn jobs(source: &ScenarioSource, how: &RunArgs) -> Result<Vec<PlannedRun>, String> {
    let scenario = source.scenario()?;
    let job = |policy| how.seeds.clone().map(move |seed| (policy, seed));
    let pairs = policies(how).into_iter().flat_map(job);
    Ok(pairs.map(|(policy, seed)| PlannedRun { scenario: scenario.clone(), policy, seed }).collect())
}

fn carry_out(command: Command) -> Result<bool, String> {
    match command {
        Command::Check { files } => {
            for file in files {
                if let Some(plan) = agreed(&file, &[])? {
                    say(&format!("{}: {} is sound", file.display(), plan.name));
                    continue;
                }
                let scenario = read(&file)?.scenario()?;
                say(&format!("{}: {} is sound", file.display(), scenario.name));
            }
            Ok(true)
        }
        Command::Run { file, how } => run(&file, how),
        Command::Sweep { file, how } => sweep(&file, &how),
        Command::Table { files, how } => table(&files, &how),
        Command::Agree { file, how } => agree(&file, how),
        Command::Compare { first, second } => {
            say(compare::compare(&Record::read(&first)?, &Record::read(&second)?)?.trim_end());
            Ok(true)
        }
        Command::Report { runs, out } => {
            let out = out.unwrap_or_else(|| runs.with_extension("html"));
            write_report(&Record::read(&runs)?, &out)?;
            say(&format!("report: {}", out.display()));
            Ok(true)
        }
        Command::Minimize { file, seed, plays, out } => {
            let source = read(&file)?;
            let Some(finding) = hunt::find_problem(&source.scenario()?, seed) else {
                return Err(format!("{} with seed {seed}: nothing fails", file.display()));
            };
            keep(&source, seed, &finding, plays, &out)?;
            Ok(true)
        }
        Command::Hunt { minutes, seed, out, threads, plays } => {
            go_hunting(minutes, seed, &out, threads, plays)
        }
        Command::Fleet { file, agent, seconds } => fleet(&file, agent.as_deref(), seconds),
        Command::Load(load) => {
            let (text, any) = load::run(&load)?;
            say(text.trim_end());
            Ok(any)
        }
    }
}

fn write_report(record: &Record, out: &Path) -> Result<(), String> {
    std::fs::write(out, report::html(record)?).map_err(|e| format!("cannot write {}: {e}", out.display()))
}

const HEAD: &str =
    "policy           seed   whole  worst 10 s  worst class    calls     sends  p99 ms  push  connects  digest            verdict";

fn line(run: &Run) -> String {
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

/// A scenario of several processes that agree, with changes.
fn agreed(file: &Path, set: &[(String, String)]) -> Result<Option<processes::plan::Plan>, String> {
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
    if set.is_empty() {
        return Ok(Some(plan));
    }
    let mut source = ScenarioSource::new(&text)?;
    for (path, value) in set {
        source.set(path, value)?;
    }
    parse(&source.text()).map(Some)
}

fn run(file: &Path, mut how: RunArgs) -> Result<bool, String> {
    let mut set = Vec::new();
    for (path, values) in sets(&how.set)? {
        set.push((path, values.join(",")));
    }
    if let Some(plan) = agreed(file, &set)? {
        say(&format!(
            "{}, {} mode: {} council processes, {} agents, {} s of faults",
            plan.name,
            if how.real { "real" } else { "virtual" },
            plan.coordinators,
            plan.agents,
            plan.duration / 1_000_000
        ));
        if how.real {
            let program = runner::agent_program(how.agent.as_deref())?;
            let folder = std::env::temp_dir().join(format!("heronhoist-lab-{}", std::process::id()));
            let held = processes::run_real(&plan, how.seeds, (&program, &folder), say)?;
            if held {
                let _ = std::fs::remove_dir_all(&folder);
            }
            return Ok(held);
        }
        return Ok(processes::run(&plan, how.seeds, how.threads, say));
    }
    let source = changed(&read(file)?, &set)?;
    let scenario = source.scenario()?;
    if how.out.is_none() && scenario.mode == Mode::Real && !how.simulated {
        let name = file.file_stem().unwrap_or_default().to_string_lossy();
        how.out = Some(std::env::temp_dir().join(format!("heronhoist-lab-{name}.json")));
    }
    let means = means(&how, &scenario);
    say(&format!(
        "{}, {:?} mode: {} agents, {} servers, {} s of clients",
        scenario.name,
        means.mode,
        scenario.agents,
        scenario.fleet.servers,
        scenario.duration / 1_000_000
    ));
    let record = runner::run_all(&jobs(&source, &how)?, &means)?;
    say(HEAD);
    record.runs.iter().for_each(|run| say(&line(run)));
    // What stands beside the engine only for comparison need not hold.
    let judged = |run: &&Run| !how.all || run.policy == Policy::Heronhoist;
    let holds = |run: &Run| match how.timeless {
        false => run.result.held(),
        true => run.result.violations.keys().all(|rule| rule.depends_on_timing()),
    };
    let held = record.complete && record.runs.iter().filter(judged).all(holds);
    say(if held { "all that must hold held" } else { "NOT all that must hold held" });
    if let Some(out) = &means.out {
        let page = out.with_extension("html");
        write_report(&record, &page)?;
        say(&format!("runs: {}\nreport: {}", out.display(), page.display()));
    }
    if means.mode == Mode::Real && !held {
        say(&format!("the agents' logs: {}", means.folder.display()));
    } else {
        let _ = std::fs::remove_dir_all(&means.folder);
    }
    Ok(held)
}

/// The mean of a figure over runs, with its interval.
fn mean(runs: &[&Run], figure: impl Fn(&Run) -> f64) -> String {
    let values: Vec<f64> = runs.iter().map(|run| figure(run)).collect();
    compare::interval(&values).map_or("-".into(), |i| format!("{:.3} ({:.3}-{:.3})", i.mean, i.low, i.high))
}

fn sweep(file: &Path, how: &RunArgs) -> Result<bool, String> {
    let source = read(file)?;
    let mut cases: Vec<Vec<(String, String)>> = vec![Vec::new()];
    for (path, values) in sets(&how.set)? {
        let with = |case: &Vec<(String, String)>, value: &String| {
            case.iter().cloned().chain([(path.clone(), value.clone())]).collect()
        };
        cases = cases
            .iter()
            .flat_map(|case| values.iter().map(|value| with(case, value)).collect::<Vec<_>>())
            .collect();
    }
    if cases.len() > 1000 {
        return Err(format!("{} cases; 1000 at most", cases.len()));
    }
    let mut all = Record { format: record::FORMAT, complete: true, runs: Vec::new() };
    let mut held = true;
    say("case                                     policy           whole                  worst 10 s             sends/call  connects/agent  probes/agent  lines/agent  push  seconds  events/s  verdict");
    for case in cases {
        let source = changed(&source, &case)?;
        let mut means = means(how, &source.scenario()?);
        means.out = None;
        let record = runner::run_all(&jobs(&source, how)?, &means)?;
        let name: Vec<String> = case.iter().map(|(path, value)| format!("{path}={value}")).collect();
        for policy in policies(how) {
            let runs: Vec<&Run> = record.runs.iter().filter(|run| run.policy == policy).collect();
            let per = |figure: fn(&Run) -> f64, of: fn(&Run) -> f64| {
                runs.iter().map(|run| figure(run) / of(run)).sum::<f64>() / runs.len().max(1) as f64
            };
            let broken = runs.iter().filter(|run| !run.result.held()).count();
            held &= broken == 0 || policy != Policy::Heronhoist;
            say(&format!(
                "{:<40} {:<15}  {}  {}  {:>9.2}  {:>14.1}  {:>12.1}  {:>11.1}  {:>4.1}  {:>7.1}  {:>8.0}  {}",
                name.join(" "),
                policy.name(),
                mean(&runs, |run| run.result.service.overall),
                mean(&runs, |run| run.result.service.worst_window),
                per(|run| run.sends as f64, |run| run.calls as f64),
                per(|run| run.connections_opened as f64, |run| run.agents as f64),
                per(|run| run.probes as f64, |run| run.agents as f64),
                per(|run| run.list_entries as f64, |run| run.agents as f64),
                runs.iter().map(|run| run.worst_cold_load).fold(0.0, f64::max),
                per(|run| run.seconds, |_| 1.0),
                per(|run| run.events as f64, |run| run.seconds.max(1e-9)),
                if broken == 0 { "held".into() } else { format!("{broken} of {} did not hold", runs.len()) }
            ));
        }
        all.complete &= record.complete;
        all.runs.extend(record.runs);
        if let Some(out) = &how.out {
            all.write(out)?;
        }
    }
    Ok(held && all.complete)
}

/// Service in the two modes may differ by this much.
const AGREES: f64 = 0.05;
/// Policies that are closer than this in one mode have no order.
const APART: f64 = 0.02;

fn agree(file: &Path, mut how: RunArgs) -> Result<bool, String> {
    let source = read(file)?;
    let scenario = source.scenario()?;
    how.all = true;
    let jobs = jobs(&source, &how)?;
    let mut services = Vec::new();
    for mode in [Mode::Virtual, Mode::Real] {
        let means = RunOptions { mode, out: None, ..means(&how, &scenario) };
        let record = runner::run_all(&jobs, &means)?;
        let _ = std::fs::remove_dir_all(&means.folder);
        if let Some(run) = record.runs.iter().find(|run| run.result.void.is_some()) {
            say(&format!("{} by {}: {}", scenario.name, run.policy.name(), run.result.summary()));
            return Ok(false);
        }
        let service = |policy: Policy| {
            let runs = record.runs.iter().filter(|run| run.policy == policy);
            let whole: Vec<f64> = runs.map(|run| run.result.service.overall).collect();
            whole.iter().sum::<f64>() / whole.len().max(1) as f64
        };
        services.push(Policy::ALL.map(service));
    }
    let (simulated, real) = (services[0], services[1]);
    say("policy           virtual   real    apart");
    let mut agrees = true;
    for (at, policy) in Policy::ALL.into_iter().enumerate() {
        let apart = real[at] - simulated[at];
        agrees &= apart.abs() <= AGREES;
        say(&format!("{:<15}  {:.3}     {:.3}  {apart:+.3}", policy.name(), simulated[at], real[at]));
        for other in at + 1..Policy::ALL.len() {
            let (a, b) = (simulated[at] - simulated[other], real[at] - real[other]);
            if a.abs() > APART && b.abs() > APART && (a > 0.0) != (b > 0.0) {
                agrees = false;
                say(&format!("{} and {} change places", policy.name(), Policy::ALL[other].name()));
            }
        }
    }
    say(if agrees { "the modes agree" } else { "the modes do NOT agree" });
    Ok(agrees)
}

fn table(files: &[PathBuf], how: &RunArgs) -> Result<bool, String> {
    let (first, last) = (how.seeds.start(), how.seeds.end());
    let mut text = format!(
        "# Results of the lab\n\nSeeds {first} to {last} of each scenario, by each policy; means, with an interval that holds the mean in 95 of 100\n\
         cases (bootstrap over seeds). Service: 1 is every call within its aim, half for within its deadline. `push` is the worst on\n\
         a cold server, in multiples of what it bears; it falls at 3. The plain policies hear of changes as late as others and keep no rule;\n\
         `least-loaded` sees the truth, which no agent can. Written by:\n\n    sh scenarios/results.sh\n"
    );
    let mut held = true;
    for file in files {
        let source = read(file)?;
        let scenario = source.scenario()?;
        let mut means = means(how, &scenario);
        means.out = None;
        let policies =
            Policy::ALL.into_iter().flat_map(|policy| how.seeds.clone().map(move |seed| (policy, seed)));
        let jobs: Vec<PlannedRun> =
            policies.map(|(policy, seed)| PlannedRun { scenario: scenario.clone(), policy, seed }).collect();
        let record = runner::run_all(&jobs, &means)?;
        let _ = write!(
            text,
            "\n## {}\n\n{} agents, {} servers, {} s, {:?} mode.\n\n| policy | whole | worst 10 s | worst class | sends a call | p99 ms of the slowest class | push | rules |\n|---|---|---|---|---|---|---|---|\n",
            scenario.name,
            scenario.agents,
            scenario.fleet.servers,
            scenario.duration / 1_000_000,
            means.mode
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
            let average = |figure: fn(&Run) -> f64| {
                runs.iter().map(|run| figure(run)).sum::<f64>() / runs.len().max(1) as f64
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
        say(&format!("{}: done", scenario.name));
    }
    match &how.out {
        Some(out) => std::fs::write(out, text).map_err(|e| format!("cannot write {}: {e}", out.display()))?,
        None => say(&text),
    }
    Ok(held)
}

/// Makes a finding small, and writes it as a scenario that shows it again.
fn keep(
    source: &ScenarioSource,
    seed: u64,
    finding: &hunt::Finding,
    plays: usize,
    out: &Path,
) -> Result<(), String> {
    let (small, tried) = hunt::shrink(source, seed, finding, plays);
    let again = hunt::find_problem(&small.scenario()?, seed).unwrap_or_else(|| finding.clone());
    let text = format!(
        "# {}\n# Shown again by: heronhoist-lab run {} --seeds {seed} --all\n{}",
        again.summary(),
        out.display(),
        small.text()
    );
    std::fs::write(out, text).map_err(|e| format!("cannot write {}: {e}", out.display()))?;
    say(&format!("{}: {} (made small by {tried} plays)", out.display(), again.summary()));
    Ok(())
}

fn go_hunting(minutes: f64, seed: u64, out: &Path, threads: usize, plays: usize) -> Result<bool, String> {
    if !(minutes > 0.0 && minutes <= 10_000.0) {
        return Err("minutes must be above 0, up to 10000".into());
    }
    std::fs::create_dir_all(out).map_err(|e| format!("cannot make {}: {e}", out.display()))?;
    let ends = Instant::now() + Duration::from_secs_f64(minutes * 60.0);
    let next = std::sync::atomic::AtomicU64::new(seed);
    let (worlds, found) = (std::sync::atomic::AtomicUsize::new(0), std::sync::atomic::AtomicUsize::new(0));
    let order = std::sync::atomic::Ordering::Relaxed;
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, 64) {
            scope.spawn(|| {
                while Instant::now() < ends && !emulation::INTERRUPTED.load(order) {
                    let seed = next.fetch_add(1, order);
                    let source = hunt::random_scenario(seed);
                    let Ok(scenario) = source.scenario() else { continue };
                    worlds.fetch_add(1, order);
                    let Some(finding) = hunt::find_problem(&scenario, seed) else { continue };
                    found.fetch_add(1, order);
                    let file = out.join(format!("wild-{seed}.toml"));
                    if let Err(why) = keep(&source, seed, &finding, plays, &file) {
                        let _ = writeln!(std::io::stderr(), "{why}");
                    }
                }
            });
        }
    });
    let (worlds, found) = (worlds.into_inner(), found.into_inner());
    say(&format!("{worlds} worlds, seeds {seed} to {}; {found} findings", next.into_inner() - 1));
    Ok(found == 0)
}

fn fleet(file: &Path, agent: Option<&Path>, seconds: Option<u64>) -> Result<bool, String> {
    let scenario = read(file)?.scenario()?;
    let program = runner::agent_program(agent)?;
    let folder = std::env::temp_dir().join(format!("heronhoist-lab-{}", std::process::id()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let testbed =
            real::Testbed::new(&scenario, 1).map_err(|e| format!("no sockets for the servers: {e}"))?;
        let agents = testbed.start_agents(&program, &folder).await?;
        for (server, address) in testbed.servers().iter().enumerate() {
            say(&format!("server {server}: {address}"));
        }
        for (number, address) in agents.addresses().enumerate() {
            say(&format!("agent {number}: {address}"));
        }
        let class = &scenario.classes[0].name;
        let to = agents.addresses().next().map_or_else(String::new, |to| to.to_string());
        say(&format!("try: heronhoist-lab load --to {to} --class {class}; Ctrl-C ends it all"));
        let begun = Instant::now();
        while !emulation::INTERRUPTED.load(std::sync::atomic::Ordering::Relaxed)
            && seconds.is_none_or(|most| begun.elapsed() < Duration::from_secs(most))
        {
            tokio::time::sleep(Duration::from_secs(1)).await;
            let _ = write!(std::io::stderr(), "\r{} ", testbed.status());
        }
        agents.end_all().await;
        let _ = std::fs::remove_dir_all(&folder);
        Ok(true)
    })
}

/// A reader that has gone, as `head` does, is no fault.
fn say(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}
