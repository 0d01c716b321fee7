//! Executes many runs: concurrently in simulated time, one after the other on sockets. Each run is written out as it ends, so
//! that an interrupted session leaves the finished runs.

use crate::emulation::INTERRUPTED;
use crate::policy::Policy;
use crate::record::{Mode, Record, Run, FORMAT};
use crate::scenario::Scenario;
use crate::{real, sim};
use indicatif::{ProgressBar, ProgressStyle};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// A run to execute.
#[derive(Debug, Clone)]
pub struct PlannedRun {
    /// The scenario.
    pub scenario: Scenario,
    /// The load-balancing policy.
    pub policy: Policy,
    /// The seed of all random draws.
    pub seed: u64,
}

/// How to execute runs.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Simulated time or sockets.
    pub mode: Mode,
    /// The agent program; by default the one in the folder of this program.
    pub agent: Option<PathBuf>,
    /// The folder for the logs of real agents.
    pub folder: PathBuf,
    /// The file to which runs are written as they end.
    pub out: Option<PathBuf>,
    /// The number of concurrent runs in simulated time.
    pub threads: usize,
}

/// Ends the runs at the first interrupt, and the program at the second.
pub fn handle_interrupts() {
    std::thread::spawn(|| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let Ok(runtime) = runtime else { return };
        runtime.block_on(async {
            while tokio::signal::ctrl_c().await.is_ok() {
                if INTERRUPTED.swap(true, Ordering::Relaxed) {
                    std::process::exit(130);
                }
            }
        });
    });
}

/// Returns the path of the agent program. Under cargo it builds the agent first, so that both come from the same sources.
pub fn agent_program(path: Option<&Path>) -> Result<PathBuf, String> {
    if let Some(path) = path {
        return Ok(path.to_path_buf());
    }
    let this_program =
        std::env::current_exe().map_err(|e| format!("cannot find the path of this program: {e}"))?;
    let default = this_program.with_file_name("heronhoist");
    if let Some(cargo) = std::env::var_os("CARGO") {
        let mut build = Command::new(cargo);
        build.args(["build", "--quiet", "--package", "heronhoist"]);
        if !cfg!(debug_assertions) {
            build.arg("--release");
        }
        let status = build.status().map_err(|e| format!("cannot build the agent: {e}"))?;
        if !status.success() {
            return Err("cannot build the agent: cargo build failed".into());
        }
    }
    if default.is_file() {
        return Ok(default);
    }
    Err(format!("there is no agent at {}; build it, or give its path with --agent", default.display()))
}

fn bar(length: u64) -> ProgressBar {
    let bar = ProgressBar::new(length);
    let style = ProgressStyle::with_template("{bar:30} {percent}% {eta} left");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar
}

/// Executes the runs. The record has them in the given order, without those that were not started.
pub fn run_all(planned_runs: &[PlannedRun], options: &RunOptions) -> Result<Record, String> {
    let finished: Mutex<Vec<Option<Run>>> = Mutex::new(vec![None; planned_runs.len()]);
    let record = |complete: bool| {
        let finished = finished.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let runs: Vec<Run> = finished.iter().flatten().cloned().collect();
        let complete = complete && runs.len() == planned_runs.len() && runs.iter().all(|run| run.complete);
        Record { format: FORMAT, complete, runs }
    };
    // Serializes the writers of the file.
    let file_lock = Mutex::new(());
    let save = |index: usize, run: Run| -> Result<(), String> {
        finished.lock().unwrap_or_else(std::sync::PoisonError::into_inner)[index] = Some(run);
        let _guard = file_lock.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        options.out.as_ref().map_or(Ok(()), |out| record(false).write(out))
    };
    let measures_memory =
        planned_runs.iter().any(|planned| planned.scenario.requirements.memory_growth.is_some());
    match options.mode {
        Mode::Real if measures_memory => {
            return Err("hold.memory_growth: memory growth is only measured in simulated time".into());
        }
        Mode::Real if planned_runs.iter().any(|planned| planned.scenario.dialects.is_some()) => {
            return Err("dialects: mixed dialects are only supported in simulated time".into());
        }
        Mode::Real => {
            let program = agent_program(options.agent.as_deref())?;
            for (index, planned) in planned_runs.iter().enumerate() {
                if INTERRUPTED.load(Ordering::Relaxed) {
                    break;
                }
                let bar = bar(planned.scenario.duration / 1000);
                let folder = options.folder.join(format!("{}-{}", planned.policy.name(), planned.seed));
                let _ = std::fs::remove_dir_all(&folder);
                let progress = |at| bar.set_position(at / 1000);
                let run = real::run(
                    &planned.scenario,
                    planned.policy,
                    planned.seed,
                    (&program, &folder),
                    progress,
                )?;
                bar.finish_and_clear();
                save(index, run)?;
            }
        }
        Mode::Virtual => {
            let bar = bar(planned_runs.iter().map(|planned| planned.scenario.duration / 1000).sum());
            let next = AtomicUsize::new(0);
            let failed: Mutex<Option<String>> = Mutex::new(None);
            std::thread::scope(|scope| {
                // Memory is measured for the whole process.
                let threads =
                    if measures_memory { 1 } else { options.threads.clamp(1, planned_runs.len().max(1)) };
                for _ in 0..threads {
                    scope.spawn(|| loop {
                        let index = next.fetch_add(1, Ordering::Relaxed);
                        let Some(planned) =
                            planned_runs.get(index).filter(|_| !INTERRUPTED.load(Ordering::Relaxed))
                        else {
                            return;
                        };
                        let reported = std::cell::Cell::new(0);
                        let run = sim::run(&planned.scenario, planned.policy, planned.seed, |at| {
                            let at = at / 1000;
                            if at > reported.get() + 500 {
                                bar.inc(at - reported.replace(at));
                            }
                        });
                        bar.inc((planned.scenario.duration / 1000).saturating_sub(reported.get()));
                        if let Err(error) = save(index, run) {
                            *failed.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = Some(error);
                        }
                    });
                }
            });
            bar.finish_and_clear();
            if let Some(error) = failed.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner) {
                return Err(error);
            }
        }
    }
    let record = record(true);
    if let Some(out) = &options.out {
        record.write(out)?;
    }
    Ok(record)
}
