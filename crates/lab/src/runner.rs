//! Plays many runs: side by side in simulated time, one after the other on sockets. What has ended is written at once, so
//! that a session which is cut off leaves what it has.

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

/// One run that is wanted.
#[derive(Debug, Clone)]
pub struct PlannedRun {
    /// What is played.
    pub scenario: Scenario,
    /// By whom.
    pub policy: Policy,
    /// With which draws.
    pub seed: u64,
}

/// How runs are played.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// On sockets or not.
    pub mode: Mode,
    /// The real agent's program, if it is not the one beside this.
    pub agent: Option<PathBuf>,
    /// Where real agents leave their logs.
    pub folder: PathBuf,
    /// Where the runs are written as they end.
    pub out: Option<PathBuf>,
    /// Runs side by side, in simulated time.
    pub threads: usize,
}

/// Ends what is played at the first interrupt, and the program at the second.
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

/// The real agent's program. Under cargo it is built first, so that it is of the same sources as this one.
pub fn agent_program(given: Option<&Path>) -> Result<PathBuf, String> {
    if let Some(given) = given {
        return Ok(given.to_path_buf());
    }
    let here = std::env::current_exe().map_err(|e| format!("where is this program? {e}"))?;
    let beside = here.with_file_name("heronhoist");
    if let Some(cargo) = std::env::var_os("CARGO") {
        let mut build = Command::new(cargo);
        build.args(["build", "--quiet", "--package", "heronhoist"]);
        if !cfg!(debug_assertions) {
            build.arg("--release");
        }
        let built = build.status().map_err(|e| format!("cannot build the agent: {e}"))?;
        if !built.success() {
            return Err("the agent does not build".into());
        }
    }
    if beside.is_file() {
        return Ok(beside);
    }
    Err(format!("there is no agent at {}; build it, or say where it is with --agent", beside.display()))
}

fn bar(length: u64) -> ProgressBar {
    let bar = ProgressBar::new(length);
    let style = ProgressStyle::with_template("{bar:30} {percent}% {eta} left");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar
}

/// Plays all; the runs come in the order of the jobs, those that were not begun left out.
pub fn run_all(jobs: &[PlannedRun], means: &RunOptions) -> Result<Record, String> {
    let done: Mutex<Vec<Option<Run>>> = Mutex::new(vec![None; jobs.len()]);
    let record = |complete: bool| {
        let done = done.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let runs: Vec<Run> = done.iter().flatten().cloned().collect();
        let complete = complete && runs.len() == jobs.len() && runs.iter().all(|run| run.complete);
        Record { format: FORMAT, complete, runs }
    };
    // One at a time: they share the file.
    let writing = Mutex::new(());
    let ended = |at: usize, run: Run| -> Result<(), String> {
        done.lock().unwrap_or_else(std::sync::PoisonError::into_inner)[at] = Some(run);
        let _alone = writing.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        means.out.as_ref().map_or(Ok(()), |out| record(false).write(out))
    };
    let is_measured = jobs.iter().any(|job| job.scenario.requirements.memory_growth.is_some());
    match means.mode {
        Mode::Real if is_measured => {
            return Err("hold.memory_growth: memory over a run is only looked at in simulated time".into());
        }
        Mode::Real if jobs.iter().any(|job| job.scenario.dialects.is_some()) => {
            return Err("dialects: both are only spoken in simulated time".into());
        }
        Mode::Real => {
            let program = agent_program(means.agent.as_deref())?;
            for (at, job) in jobs.iter().enumerate() {
                if INTERRUPTED.load(Ordering::Relaxed) {
                    break;
                }
                let bar = bar(job.scenario.duration / 1000);
                let folder = means.folder.join(format!("{}-{}", job.policy.name(), job.seed));
                let _ = std::fs::remove_dir_all(&folder);
                let progress = |at| bar.set_position(at / 1000);
                let run = real::run(&job.scenario, job.policy, job.seed, (&program, &folder), progress)?;
                bar.finish_and_clear();
                ended(at, run)?;
            }
        }
        Mode::Virtual => {
            let bar = bar(jobs.iter().map(|job| job.scenario.duration / 1000).sum());
            let next = AtomicUsize::new(0);
            let failed: Mutex<Option<String>> = Mutex::new(None);
            std::thread::scope(|scope| {
                // Memory is that of the whole process.
                let threads = if is_measured { 1 } else { means.threads.clamp(1, jobs.len().max(1)) };
                for _ in 0..threads {
                    scope.spawn(|| loop {
                        let at = next.fetch_add(1, Ordering::Relaxed);
                        let Some(job) = jobs.get(at).filter(|_| !INTERRUPTED.load(Ordering::Relaxed)) else {
                            return;
                        };
                        let told = std::cell::Cell::new(0);
                        let run = sim::run(&job.scenario, job.policy, job.seed, |at| {
                            let at = at / 1000;
                            if at > told.get() + 500 {
                                bar.inc(at - told.replace(at));
                            }
                        });
                        bar.inc((job.scenario.duration / 1000).saturating_sub(told.get()));
                        if let Err(why) = ended(at, run) {
                            *failed.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = Some(why);
                        }
                    });
                }
            });
            bar.finish_and_clear();
            if let Some(why) = failed.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner) {
                return Err(why);
            }
        }
    }
    let record = record(true);
    if let Some(out) = &means.out {
        record.write(out)?;
    }
    Ok(record)
}
