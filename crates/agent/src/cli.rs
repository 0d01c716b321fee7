//! The command line.

use crate::config::{Config, ConfigError};
use crate::fleet::command_error::CommandError;
use crate::fleet::{drain, fleet_command, hold};
use crate::log;
use crate::plan::{PoolEndpoints, PoolPlan, ServingPlan};
use crate::translate;
use clap::{CommandFactory, FromArgMatches, Parser, Subcommand};
use heronhoist_decision::Effect;
use std::fmt::Write as _;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Carries an application's requests to a fleet of record servers, giving each exactly one final answer.
#[derive(Parser)]
#[command(
    name = "heronhoist",
    version,
    after_help = "Without a command it is the platform's agent: LB_CONFIG names its file, and LB_LISTEN, LB_DISCOVERY and LB_OPS\noverrule the addresses in it; LB_LOG sets the levels of its log, and LB_LOG_PER_SECOND the lines a second.\n\nExit codes: 0 all is well; 1 a file has a fault, or the agent could not start; 2 the command line is wrong, or a file\ncan't be read."
)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

/// Runs a process of the fleet's council until SIGTERM.
#[derive(Parser)]
#[command(version)]
struct Council {
    /// Its file, as deploy/council.toml.
    #[arg(short, long, value_name = "FILE")]
    config: PathBuf,
    /// Begin anew, alone, with a copy that `heronhoist fleet copy` wrote; only on a new disk.
    #[arg(long, value_name = "COPY")]
    restore: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Run the agent until SIGTERM; SIGHUP reads the file again, and takes all of it or nothing.
    Run {
        /// The file, as deploy/heronhoist.toml; without it the platform's, which LB_CONFIG names.
        #[arg(short, long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Check files as `run` would, and show what would be served. Nothing is started.
    Check {
        /// The files; one that ends in .json is of the platform's form.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Show each value in force and where it comes from.
    Config {
        /// The file; without it the platform's, which LB_CONFIG names.
        #[arg(short, long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Check, try and explain the files by which messages are translated.
    Translate {
        #[command(subcommand)]
        command: translate::Command,
    },
    /// Run a process of the fleet's council until SIGTERM.
    #[command(alias = "coordinator")]
    Council(Council),
    /// Ask the fleet's council, and tell it what operators want.
    Fleet {
        #[command(subcommand)]
        tool: fleet_command::FleetCommand,
    },
    Hold(hold::Hold),
    /// Take record servers out of all agents together.
    Drain {
        #[command(subcommand)]
        tool: drain::DrainCommand,
    },
    /// Let agents send to record servers again.
    Undrain {
        #[command(subcommand)]
        tool: drain::UndrainCommand,
    },
    /// Write a completion script for a shell to standard output.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

/// The program of a coordination process, and its earlier name.
const COORDINATOR: &str = "heronhoist-coordinator";
const COORDINATOR_EARLIER: &str = "heronhoist-council";

/// The exit code for a file that can't be read; clap uses the same for what it can't understand.
const UNREAD: u8 = 2;

/// Does what the command line says.
pub fn main() -> ExitCode {
    // The platform's agent has no command line to read, and holds nothing that reading one takes.
    if std::env::args_os().len() <= 1 {
        return run(Config::from_env());
    }
    match Arguments::parse().command {
        None => run(Config::from_env()),
        Some(Command::Run { config }) => run(load(config)),
        Some(Command::Check { files }) => check(&files),
        Some(Command::Config { config }) => match load(config) {
            Ok(config) => print(&entries(&config)),
            Err(fault) => fail(&fault.to_string(), code_of(&fault)),
        },
        Some(Command::Translate { command }) => match translate::main(command) {
            Ok(text) => print(&text),
            Err(translate::TranslateError::Unreadable(fault)) => fail(&fault, UNREAD),
            Err(translate::TranslateError::Invalid(faults)) => {
                let _ = writeln!(io::stderr(), "{faults}");
                ExitCode::from(1)
            }
        },
        Some(Command::Council(what)) => fail(&become_coordinator(&what), 1),
        Some(Command::Fleet { tool }) => match crate::run_local(fleet_command::run(tool)) {
            Ok(Ok(text)) => print(&text),
            Ok(Err(error)) => fail(&error.to_string(), 1),
            Err(fault) => fail(&fault, 1),
        },
        Some(Command::Hold(what)) => match crate::run_local(hold::run(what)) {
            Ok(code) => ExitCode::from(code),
            Err(fault) => fail(&fault, 1),
        },
        Some(Command::Drain { tool }) => shown(crate::run_local(drain::run(tool))),
        Some(Command::Undrain { tool }) => shown(crate::run_local(drain::run_undrain(tool))),
        Some(Command::Completions { shell }) => {
            clap_complete::generate(shell, &mut Arguments::command(), "heronhoist", &mut io::stdout());
            ExitCode::SUCCESS
        }
    }
}

/// Prints what a command on drains returns, or ends with its exit code.
fn shown(done: Result<Result<String, CommandError>, String>) -> ExitCode {
    match done {
        Ok(Ok(text)) => print(&text),
        Ok(Err(error)) => fail(&error.to_string(), error.exit_code()),
        Err(why) => fail(&why, 1),
    }
}

/// The program of a coordination process stands beside this one, and takes this one's place. Only why it did not comes back.
fn become_coordinator(options: &Council) -> String {
    let program = match std::env::current_exe() {
        Ok(this) => this.with_file_name(COORDINATOR),
        Err(e) => return format!("where is this program? {e}"),
    };
    let fault = exec(&program, options);
    if fault.kind() != io::ErrorKind::NotFound {
        return format!("cannot run {}: {fault}", program.display());
    }
    // An installation that copies programs by name has the one of the earlier name.
    let earlier = program.with_file_name(COORDINATOR_EARLIER);
    let fault = exec(&earlier, options);
    format!("cannot run {}: {fault}", earlier.display())
}

/// Replaces this process by the program; returns only why that failed.
fn exec(program: &Path, options: &Council) -> io::Error {
    let mut command = std::process::Command::new(program);
    command.arg("--config").arg(&options.config);
    if let Some(copy) = &options.restore {
        command.arg("--restore").arg(copy);
    }
    std::os::unix::process::CommandExt::exec(&mut command)
}

/// The program of a coordination process, under the name that its usage text shows.
pub fn coordinator_main(program: &'static str) -> ExitCode {
    let mut matches = Council::command().name(program).get_matches();
    let Council { config, restore } = match Council::from_arg_matches_mut(&mut matches) {
        Ok(options) => options,
        Err(fault) => fault.exit(),
    };
    council(&config, restore.as_deref())
}

fn council(path: &Path, restore: Option<&Path>) -> ExitCode {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) => return fail(&format!("cannot read {}: {e}", path.display()), UNREAD),
    };
    let variable = |name: &str| std::env::var(name).ok();
    let config = match heronhoist_config::parse_coordinator_config(&text, &variable) {
        Ok(config) => config,
        Err(faults) => return fail(&ConfigError::InvalidEntries(path.into(), faults).to_string(), 1),
    };
    let log::LogOptions { format, levels, lines_per_second } = log::LogOptions::default();
    match levels.parse() {
        Ok(levels) => log::init(format, levels, lines_per_second),
        Err(e) => return fail(&format!("log level {levels:?}: {e}"), 1),
    }
    match crate::fleet::coordinator::run(config, path.parent().unwrap_or(Path::new("")), restore) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error.to_string(), 1),
    }
}

fn load(file: Option<PathBuf>) -> Result<Config, ConfigError> {
    file.map_or_else(Config::from_env, |file| Config::from_file(&file))
}

fn run(config: Result<Config, ConfigError>) -> ExitCode {
    let config = match config {
        Ok(config) => config,
        Err(fault) => return fail(&fault.to_string(), code_of(&fault)),
    };
    let log::LogOptions { format, levels, lines_per_second } = &config.log;
    match levels.parse() {
        Ok(levels) => log::init(*format, levels, *lines_per_second),
        Err(e) => return fail(&format!("log.level {levels:?}: {e}"), 1),
    }
    match crate::run_agent(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => fail(&fault, 1),
    }
}

fn code_of(fault: &ConfigError) -> u8 {
    match fault {
        ConfigError::Unreadable(_) => UNREAD,
        ConfigError::Invalid(_) | ConfigError::InvalidEntries(..) => 1,
    }
}

/// One plain line, and the end.
fn fail(fault: &str, code: u8) -> ExitCode {
    let _ = writeln!(io::stderr(), "heronhoist: {fault}");
    ExitCode::from(code)
}

/// A reader that has gone, as `head` does, is no fault.
fn print(text: &str) -> ExitCode {
    let _ = io::stdout().write_all(text.as_bytes());
    ExitCode::SUCCESS
}

fn check(files: &[PathBuf]) -> ExitCode {
    let mut worst = 0;
    for path in files {
        match Config::from_file(path) {
            Ok(config) => {
                print(&format!("{}: sound\n\n{}", path.display(), served(&config)));
            }
            Err(fault) => {
                worst = worst.max(code_of(&fault));
                match &fault {
                    ConfigError::InvalidEntries(path, faults) => {
                        for fault in faults {
                            let _ = writeln!(io::stderr(), "{}:{fault}", path.display());
                        }
                    }
                    other => drop(fail(&other.to_string(), 1)),
                }
            }
        }
    }
    ExitCode::from(worst)
}

/// What would be served.
fn served(config: &Config) -> String {
    let ServingPlan { classes, pools, routes, .. } = &config.plan;
    let name = |place: Option<usize>| {
        place.and_then(|p| pools.get(p)).map_or("none: 404".to_string(), |pool| pool.name.clone())
    };
    let mut text = String::new();
    let fronts = config
        .fronts
        .iter()
        .map(|front| [front.name.to_string(), front.protocol.name().into(), front.listen.to_string()]);
    text += &table(["front", "protocol", "listens on"], fronts);
    let mappings = config.plan.mappings.all().iter().map(|mapping| {
        let old = &mapping.old;
        [
            format!("{} {}", old.method, old.path),
            mapping.class.clone(),
            format!("{} {}", mapping.name, mapping.version),
        ]
    });
    if mappings.len() > 0 {
        text += &table(["old request", "class", "mapping"], mappings);
    }
    if let Some(ops) = config.ops {
        let _ = writeln!(text, "operators call at {ops}\n");
    }
    let terms = pools.first().map_or(&[][..], |pool| &pool.settings.classes);
    let effect = |effect: &Effect| match effect {
        Effect::Idempotent => "idempotent".to_string(),
        Effect::AtMostOnce => "at most once".to_string(),
        Effect::Deduplicated { scope: group, window } => {
            format!("deduplicated by {} for {} ms", format!("{group:?}").to_lowercase(), window.as_ms())
        }
    };
    let rows = classes.iter().zip(terms).map(|(name, class)| {
        [
            name.clone(),
            effect(&class.effect),
            format!("{} of {} ms", class.latency_objective.as_ms(), class.deadline.as_ms()),
        ]
    });
    text += &table(["class", "effect", "aim of deadline"], rows);
    let endpoints = |pool: &PoolPlan| match &pool.endpoints {
        PoolEndpoints::Discovery(address) => format!("discovery at {address}"),
        PoolEndpoints::Static(servers) => {
            let list = servers.iter().map(|server| format!("{} at {}", server.name, server.address));
            list.collect::<Vec<_>>().join(", ")
        }
    };
    let rows = pools.iter().map(|pool| {
        let settings = &pool.settings;
        let rules = format!(
            "{} attempts, {}drain {} ms",
            settings.max_attempts,
            if settings.hedging { "second copies, " } else { "" },
            settings.drain_grace.as_ms()
        );
        [pool.name.clone(), rules, endpoints(pool)]
    });
    text += &table(["pool", "rules", "servers"], rows);
    let rows = routes.rules().iter().map(|rule| {
        let asks = &rule.conditions;
        let lists = [
            ("front", &asks.fronts),
            ("class", &asks.classes),
            ("tenant", &asks.tenants),
            ("path", &asks.paths),
        ];
        let lists = lists.into_iter().chain(asks.labels.iter().map(|(name, values)| (name.as_str(), values)));
        let asks: Vec<String> = lists
            .filter(|(_, list)| !list.is_empty())
            .map(|(name, list)| format!("{name} {}", list.join(" or ")))
            .collect();
        [rule.name.clone(), asks.join(", "), name(Some(rule.pool))]
    });
    let last = [["any other".to_string(), String::new(), name(routes.default_pool())]];
    text += &table(["route", "asks for", "pool"], rows.chain(last));
    text
}

/// Columns as wide as what stands in them.
fn table(head: [&str; 3], rows: impl IntoIterator<Item = [String; 3]>) -> String {
    let mut lines = vec![head.map(String::from)];
    lines.extend(rows);
    let width = |column: usize| lines.iter().map(|line| line[column].chars().count()).max().unwrap_or(0);
    let (first, second) = (width(0), width(1));
    let mut text = String::new();
    for [a, b, c] in &lines {
        let line = format!("{a:first$}  {b:second$}  {c}");
        let _ = writeln!(text, "{}", line.trim_end());
    }
    text + "\n"
}

fn entries(config: &Config) -> String {
    let mut text = String::new();
    for (key, value, source) in config.entries() {
        let _ = writeln!(text, "{key} = {value}  # {source}");
    }
    text
}
