//! What is kept of runs: a JSON file that other commands read.

use crate::checker::{check, first_successes, service_weight, CheckResult, ClientResponse};
use crate::emulation::World;
use crate::policy::Policy;
use crate::server_model::Micros;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Which way a run was played.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// The engine in simulated time.
    Virtual,
    /// The real agent on loopback sockets.
    Real,
}

/// How a run went.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Run {
    /// The scenario's name.
    pub scenario: String,
    /// How it was played.
    pub mode: Mode,
    /// Who chose the servers.
    pub policy: Policy,
    /// What all draws came from.
    pub seed: u64,
    /// How many agents.
    pub agents: usize,
    /// How many servers.
    pub servers: usize,
    /// It was not interrupted.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// What the judge found.
    #[serde(rename = "verdict")]
    pub result: CheckResult,
    /// What clients wanted,
    pub calls: usize,
    /// how often they tried,
    #[serde(rename = "tries")]
    pub client_attempts: usize,
    /// and how often agents sent.
    pub sends: usize,
    /// Connections opened to servers.
    #[serde(rename = "connects")]
    pub connections_opened: u64,
    /// The most that one server held at once.
    #[serde(rename = "most_open")]
    pub max_open_connections: usize,
    /// Probes of servers.
    pub probes: u64,
    /// Lines of lists that discovery wrote.
    #[serde(rename = "lines")]
    pub list_entries: u64,
    /// The greatest push on a cold server, in multiples of what it bears; it falls at 3.
    #[serde(rename = "worst_push")]
    pub worst_cold_load: f64,
    /// The most memory that an agent took, in real mode.
    pub memory_mb: Option<f64>,
    /// What the process held beside what the run writes down, by milliseconds, where that is looked at.
    #[serde(default)]
    pub memory: Vec<(u64, i64)>,
    /// Requests that servers ran in the dialect that their clients do not speak: in the old one, in the new one.
    #[serde(default)]
    pub translated: (u64, u64),
    /// By class: what was served and in which time, from when each call was meant to be sent.
    pub classes: Vec<ClassTimes>,
    /// Second by second.
    #[serde(rename = "seconds_of")]
    pub class_seconds: Vec<ClassSecond>,
    /// The servers' requests in flight, now and then, by milliseconds.
    pub load: Vec<(u64, Vec<u32>)>,
    /// What happened, by milliseconds.
    pub marks: Vec<(u64, String)>,
    #[serde(default)]
    /// Tries and their answers, sends and their ends, connections, probes, lists told: what was simulated.
    pub events: u64,
    /// A digest of the whole ledger, by which two runs can be told apart.
    pub digest: String,
    /// What it took to play.
    pub seconds: f64,
}

/// Times of a class in milliseconds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClassTimes {
    /// Its name.
    pub name: String,
    /// Calls.
    pub calls: usize,
    /// Those that were served.
    pub served: usize,
    /// Half of them took no longer than this, and so on.
    pub p50: f64,
    /// 90 in 100.
    pub p90: f64,
    /// 99 in 100.
    pub p99: f64,
    /// 999 in 1000.
    pub p999: f64,
}

/// One second of one class.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClassSecond {
    /// Which second.
    pub second: u64,
    /// The class's place.
    pub class: usize,
    /// Calls that were meant to be sent in it.
    pub calls: usize,
    /// What their answers were worth.
    #[serde(rename = "worth")]
    pub service_weight: f64,
    /// Of those that were served, in milliseconds.
    pub p50: f64,
    /// 99 in 100.
    pub p99: f64,
}

/// A file of runs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Record {
    /// The form of this file.
    pub format: u32,
    /// All that was asked for has been played.
    pub complete: bool,
    /// In the order in which they were asked for.
    pub runs: Vec<Run>,
}

/// The form of the file that is written.
pub const FORMAT: u32 = 1;

impl Record {
    /// Writes the file so that a reader sees either the old one or the new one.
    pub fn write(&self, path: &Path) -> Result<(), String> {
        let text = serde_json::to_string(self).map_err(|e| format!("{}: {e}", path.display()))?;
        let fresh = path.with_extension("part");
        std::fs::write(&fresh, text)
            .and_then(|()| std::fs::rename(&fresh, path))
            .map_err(|e| format!("cannot write {}: {e}", path.display()))
    }

    /// Reads a file.
    pub fn read(path: &Path) -> Result<Record, String> {
        let text =
            std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
        let record: Record = serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
        match record.format {
            FORMAT => Ok(record),
            other => Err(format!("{}: form {other}; this program reads {FORMAT}", path.display())),
        }
    }
}

fn times() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are kept")
}

fn ms(times: &Histogram<u64>, share: f64) -> f64 {
    times.value_at_quantile(share) as f64 / 1e3
}

impl Run {
    /// The 99th percentile of the class that is slowest there, in milliseconds.
    pub fn slowest_p99(&self) -> f64 {
        self.classes.iter().map(|class| class.p99).fold(0.0, f64::max)
    }

    /// Judges what was written down.
    pub fn from_emulation(world: &World, mode: Mode, policy: Policy, seed: u64, whole: bool) -> Run {
        let scenario = &world.scenario;
        let worst_cold_load = world.worst_cold_load();
        let load = world.load_samples.take().into_iter().map(|(at, load)| (at / 1000, load)).collect();
        let ledger = world.take_ledger();
        let aims: Vec<_> =
            scenario.classes.iter().map(|class| (class.latency_objective, class.deadline)).collect();
        // FNV-1a over all that happened.
        let mut digest = 0xcbf2_9ce4_8422_2325_u64;
        let mut mix = |value: u64| digest = (digest ^ value).wrapping_mul(0x0100_0000_01b3);
        for t in &ledger.client_attempts {
            for (at, answer) in &t.responses {
                mix(*at);
                mix(match answer {
                    ClientResponse::Success => 1,
                    ClientResponse::Failed => 2,
                    ClientResponse::Rejected(wait) => 3 + wait.unwrap_or(0),
                });
            }
        }
        ledger
            .sends
            .iter()
            .for_each(|(at, server, agent)| mix(at ^ ((*server as u64) << 40) ^ ((*agent as u64) << 52)));
        let mut all: Vec<_> = scenario.classes.iter().map(|_| (0, 0, times())).collect();
        let mut slices: std::collections::BTreeMap<(Micros, usize), (usize, f64, Histogram<u64>)> =
            Default::default();
        for (call, at) in ledger.calls.iter().zip(first_successes(&ledger)) {
            let class = &mut all[call.class];
            let slice = slices
                .entry((call.scheduled_at / 1_000_000, call.class))
                .or_insert_with(|| (0, 0.0, times()));
            class.0 += 1;
            slice.0 += 1;
            slice.1 += service_weight(call, at, aims[call.class]);
            if let Some(at) = at {
                class.1 += 1;
                let took = at.saturating_sub(call.scheduled_at).max(1);
                let _ = class.2.record(took);
                let _ = slice.2.record(took);
            }
        }
        let classes = scenario.classes.iter().zip(all).map(|(class, (calls, served, times))| ClassTimes {
            name: class.name.clone(),
            calls,
            served,
            p50: ms(&times, 0.5),
            p90: ms(&times, 0.9),
            p99: ms(&times, 0.99),
            p999: ms(&times, 0.999),
        });
        let seconds_of = slices.into_iter().map(|((second, class), (calls, worth, times))| ClassSecond {
            second,
            class,
            calls,
            service_weight: worth,
            p50: ms(&times, 0.5),
            p99: ms(&times, 0.99),
        });
        Run {
            scenario: scenario.name.clone(),
            mode,
            policy,
            seed,
            agents: scenario.agents,
            servers: scenario.fleet.servers,
            complete: whole,
            result: check(&ledger, &aims, scenario.settings.drain_grace.0, &scenario.requirements),
            calls: ledger.calls.len(),
            client_attempts: ledger.client_attempts.len(),
            sends: ledger.sends.len(),
            connections_opened: ledger.connections_opened,
            max_open_connections: ledger.max_open_connections,
            probes: ledger.probes,
            list_entries: ledger.list_entries,
            worst_cold_load,
            memory_mb: ledger.memory_mb,
            translated: ledger.translated,
            memory: ledger.memory.iter().map(|(at, held)| (at / 1000, *held)).collect(),
            classes: classes.collect(),
            class_seconds: seconds_of.collect(),
            load,
            marks: scenario.events.iter().map(|event| (event.at / 1000, event.label())).collect(),
            events: (2 * (ledger.client_attempts.len() + ledger.sends.len())) as u64
                + ledger.connections_opened
                + ledger.probes
                + ledger.list_versions.iter().map(Vec::len).sum::<usize>() as u64,
            digest: format!("{digest:016x}"),
            seconds: 0.0,
        }
    }
}

#[cfg(test)]
mod tests;
