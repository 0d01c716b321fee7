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

/// Carries an application's requests to a fleet of record servers and gives each exactly one final response.
#[derive(Parser)]
#[command(
    name = "heronhoist",
    version,
    after_help = "Without a command, this program runs as the platform's agent: LB_CONFIG names its configuration file, and LB_LISTEN,\nLB_DISCOVERY and LB_OPS override the addresses in it; LB_LOG sets the log levels, and LB_LOG_PER_SECOND the maximum\nnumber of log lines per second.\n\nExit codes: 0 success; 1 a file is invalid, or the agent could not start; 2 the command line is invalid, or a file\ncannot be read."
)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

/// Runs a coordinator process of the fleet until SIGTERM.
#[derive(Parser)]
#[command(version)]
struct CoordinatorOptions {
    /// The configuration file; deploy/council.toml is an example.
    #[arg(short, long, value_name = "FILE")]
    config: PathBuf,
    /// Start alone, with the state from a copy that `heronhoist fleet copy` wrote; requires a new disk.
    #[arg(long, value_name = "COPY")]
    restore: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Run the agent until SIGTERM; SIGHUP reloads the file, and an invalid file changes nothing.
    Run {
        /// The configuration file, such as deploy/heronhoist.toml; by default the platform's, which LB_CONFIG names.
        #[arg(short, long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Check configuration files as `run` would, and show what would be served. Nothing is started.
    Check {
        /// The configuration files; a .json file has the platform's format.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Show each effective value and its source.
    Config {
        /// The configuration file; by default the platform's, which LB_CONFIG names.
        #[arg(short, long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Check, try out and explain mapping files, by which messages are translated.
    Translate {
        #[command(subcommand)]
        command: translate::Command,
    },
    /// Run a coordinator process of the fleet until SIGTERM.
    #[command(alias = "coordinator")]
    Council(CoordinatorOptions),
    /// Query and administer the fleet's coordination service.
    Fleet {
        #[command(subcommand)]
        tool: fleet_command::FleetCommand,
    },
    Hold(hold::Hold),
    /// Drain record servers: all agents stop sending to them.
    Drain {
        #[command(subcommand)]
        tool: drain::DrainCommand,
    },
    /// Undo a drain: agents send to the record servers again.
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

/// The program of a coordinator process.
const COORDINATOR_PROGRAM: &str = "heronhoist-coordinator";
/// The former name of [`COORDINATOR_PROGRAM`].
const FORMER_COORDINATOR_PROGRAM: &str = "heronhoist-council";

/// The exit code for a file that cannot be read; clap uses the same code for an invalid command line.
const EXIT_UNREADABLE: u8 = 2;

/// Runs the command that the command line gives.
pub fn main() -> ExitCode {
    // The platform's agent has no arguments; it skips the argument parser and the memory that it takes.
    if std::env::args_os().len() <= 1 {
        return run(Config::from_env());
    }
    match Arguments::parse().command {
        None => run(Config::from_env()),
        Some(Command::Run { config }) => run(load_config(config)),
        Some(Command::Check { files }) => check(&files),
        Some(Command::Config { config }) => match load_config(config) {
            Ok(config) => print(&format_entries(&config)),
            Err(error) => fail(&error.to_string(), error_exit_code(&error)),
        },
        Some(Command::Translate { command }) => match translate::main(command) {
            Ok(text) => print(&text),
            Err(translate::TranslateError::Unreadable(error)) => fail(&error, EXIT_UNREADABLE),
            Err(translate::TranslateError::Invalid(faults)) => {
                let _ = writeln!(io::stderr(), "{faults}");
                ExitCode::from(1)
            }
        },
        Some(Command::Council(options)) => fail(&exec_coordinator(&options), 1),
        Some(Command::Fleet { tool }) => match crate::run_local(fleet_command::run(tool)) {
            Ok(Ok(text)) => print(&text),
            Ok(Err(error)) => fail(&error.to_string(), 1),
            Err(error) => fail(&error, 1),
        },
        Some(Command::Hold(options)) => match crate::run_local(hold::run(options)) {
            Ok(code) => ExitCode::from(code),
            Err(error) => fail(&error, 1),
        },
        Some(Command::Drain { tool }) => print_result(crate::run_local(drain::run(tool))),
        Some(Command::Undrain { tool }) => print_result(crate::run_local(drain::run_undrain(tool))),
        Some(Command::Completions { shell }) => {
            clap_complete::generate(shell, &mut Arguments::command(), "heronhoist", &mut io::stdout());
            ExitCode::SUCCESS
        }
    }
}

/// Prints the output of a drain command, or its error; returns the matching exit code.
fn print_result(result: Result<Result<String, CommandError>, String>) -> ExitCode {
    match result {
        Ok(Ok(text)) => print(&text),
        Ok(Err(error)) => fail(&error.to_string(), error.exit_code()),
        Err(reason) => fail(&reason, 1),
    }
}

/// Replaces this process by the coordinator program in the same directory; returns only if that fails, with the reason.
fn exec_coordinator(options: &CoordinatorOptions) -> String {
    let program = match std::env::current_exe() {
        Ok(this) => this.with_file_name(COORDINATOR_PROGRAM),
        Err(e) => return format!("cannot determine the path of this program: {e}"),
    };
    let error = exec(&program, options);
    if error.kind() != io::ErrorKind::NotFound {
        return format!("cannot run {}: {error}", program.display());
    }
    // An installation that copies programs by name may have only the program under its former name.
    let former = program.with_file_name(FORMER_COORDINATOR_PROGRAM);
    let error = exec(&former, options);
    format!("cannot run {}: {error}", former.display())
}

/// Replaces this process by a program; returns only if that fails, with the error.
fn exec(program: &Path, options: &CoordinatorOptions) -> io::Error {
    let mut command = std::process::Command::new(program);
    command.arg("--config").arg(&options.config);
    if let Some(copy) = &options.restore {
        command.arg("--restore").arg(copy);
    }
    std::os::unix::process::CommandExt::exec(&mut command)
}

/// The entry point of a coordinator process; `program` is the name that its usage text shows.
pub fn coordinator_main(program: &'static str) -> ExitCode {
    let mut matches = CoordinatorOptions::command().name(program).get_matches();
    let CoordinatorOptions { config, restore } = match CoordinatorOptions::from_arg_matches_mut(&mut matches)
    {
        Ok(options) => options,
        Err(error) => error.exit(),
    };
    run_coordinator(&config, restore.as_deref())
}

fn run_coordinator(path: &Path, restore: Option<&Path>) -> ExitCode {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) => return fail(&format!("cannot read {}: {e}", path.display()), EXIT_UNREADABLE),
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

fn load_config(file: Option<PathBuf>) -> Result<Config, ConfigError> {
    file.map_or_else(Config::from_env, |file| Config::from_file(&file))
}

fn run(config: Result<Config, ConfigError>) -> ExitCode {
    let config = match config {
        Ok(config) => config,
        Err(error) => return fail(&error.to_string(), error_exit_code(&error)),
    };
    let log::LogOptions { format, levels, lines_per_second } = &config.log;
    match levels.parse() {
        Ok(levels) => log::init(*format, levels, *lines_per_second),
        Err(e) => return fail(&format!("log.level {levels:?}: {e}"), 1),
    }
    match crate::run_agent(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error, 1),
    }
}

fn error_exit_code(error: &ConfigError) -> u8 {
    match error {
        ConfigError::Unreadable(_) => EXIT_UNREADABLE,
        ConfigError::Invalid(_) | ConfigError::InvalidEntries(..) => 1,
    }
}

/// Prints an error as one line and returns the exit code.
fn fail(message: &str, code: u8) -> ExitCode {
    let _ = writeln!(io::stderr(), "heronhoist: {message}");
    ExitCode::from(code)
}

/// Prints text to standard output. A reader that closes the pipe early, as `head` does, is no error.
fn print(text: &str) -> ExitCode {
    let _ = io::stdout().write_all(text.as_bytes());
    ExitCode::SUCCESS
}

fn check(files: &[PathBuf]) -> ExitCode {
    let mut exit_code = 0;
    for path in files {
        match Config::from_file(path) {
            Ok(config) => {
                print(&format!("{}: sound\n\n{}", path.display(), describe_plan(&config)));
            }
            Err(error) => {
                exit_code = exit_code.max(error_exit_code(&error));
                match &error {
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
    ExitCode::from(exit_code)
}

/// Describes what a configuration serves, as tables.
fn describe_plan(config: &Config) -> String {
    let ServingPlan { classes, pools, routes, .. } = &config.plan;
    let pool_name = |index: Option<usize>| {
        index.and_then(|index| pools.get(index)).map_or("none: 404".to_string(), |pool| pool.name.clone())
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
    let class_settings = pools.first().map_or(&[][..], |pool| &pool.settings.classes);
    let effect = |effect: &Effect| match effect {
        Effect::Idempotent => "idempotent".to_string(),
        Effect::AtMostOnce => "at most once".to_string(),
        Effect::Deduplicated { scope: group, window } => {
            format!("deduplicated by {} for {} ms", format!("{group:?}").to_lowercase(), window.as_ms())
        }
    };
    let rows = classes.iter().zip(class_settings).map(|(name, class)| {
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
        let conditions = &rule.conditions;
        let lists = [
            ("front", &conditions.fronts),
            ("class", &conditions.classes),
            ("tenant", &conditions.tenants),
            ("path", &conditions.paths),
        ];
        let lists =
            lists.into_iter().chain(conditions.labels.iter().map(|(name, values)| (name.as_str(), values)));
        let conditions: Vec<String> = lists
            .filter(|(_, list)| !list.is_empty())
            .map(|(name, list)| format!("{name} {}", list.join(" or ")))
            .collect();
        [rule.name.clone(), conditions.join(", "), pool_name(Some(rule.pool))]
    });
    let default_route = [["any other".to_string(), String::new(), pool_name(routes.default_pool())]];
    text += &table(["route", "asks for", "pool"], rows.chain(default_route));
    text
}

/// Formats a table whose columns are as wide as their widest cell.
fn table(header: [&str; 3], rows: impl IntoIterator<Item = [String; 3]>) -> String {
    let mut lines = vec![header.map(String::from)];
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

/// Lists each effective value with its source, one per line.
fn format_entries(config: &Config) -> String {
    let mut text = String::new();
    for (key, value, source) in config.entries() {
        let _ = writeln!(text, "{key} = {value}  # {source}");
    }
    text
}
