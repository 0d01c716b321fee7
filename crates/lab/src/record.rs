//! The JSON file of runs, which other commands read.

use crate::checker::{check, first_successes, service_weight, CheckResult, ClientResponse};
use crate::emulation::World;
use crate::policy::Policy;
use crate::server_model::Micros;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// The mode in which a run was executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// The engine in simulated time.
    Virtual,
    /// The real agent on loopback sockets.
    Real,
}

/// The result of one run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Run {
    /// The name of the scenario.
    pub scenario: String,
    /// The mode.
    pub mode: Mode,
    /// The load-balancing policy.
    pub policy: Policy,
    /// The seed of all random draws.
    pub seed: u64,
    /// The number of agents.
    pub agents: usize,
    /// The number of servers.
    pub servers: usize,
    /// Whether the run was not interrupted.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// The result of the check.
    #[serde(rename = "verdict")]
    pub result: CheckResult,
    /// The number of calls of clients.
    pub calls: usize,
    /// The number of client attempts.
    #[serde(rename = "tries")]
    pub client_attempts: usize,
    /// The number of attempts of agents at servers.
    pub sends: usize,
    /// The number of connections opened to servers.
    #[serde(rename = "connects")]
    pub connections_opened: u64,
    /// The largest number of connections open at one server at once.
    #[serde(rename = "most_open")]
    pub max_open_connections: usize,
    /// The number of health probes.
    pub probes: u64,
    /// The number of endpoint list entries that the registry wrote.
    #[serde(rename = "lines")]
    pub list_entries: u64,
    /// The largest load on a cold server as a multiple of its capacity; it crashes at 3.
    #[serde(rename = "worst_push")]
    pub worst_cold_load: f64,
    /// The peak memory of any agent, in real mode.
    pub memory_mb: Option<f64>,
    /// Samples of the memory of agents and server models in bytes, by time in milliseconds, if the scenario limits
    /// their growth.
    #[serde(default)]
    pub memory: Vec<(u64, i64)>,
    /// Translated requests that servers received: in the old dialect, in the new dialect.
    #[serde(default)]
    pub translated: (u64, u64),
    /// Successes and latencies by class. Latency counts from when a call was due.
    pub classes: Vec<ClassTimes>,
    /// Values for each second and class.
    #[serde(rename = "seconds_of")]
    pub class_seconds: Vec<ClassSecond>,
    /// Samples of the requests in flight at each server, by time in milliseconds.
    pub load: Vec<(u64, Vec<u32>)>,
    /// The events of the scenario, by time in milliseconds.
    pub marks: Vec<(u64, String)>,
    #[serde(default)]
    /// The number of simulated events: client attempts, sends, connections, probes and list updates.
    pub events: u64,
    /// A digest of all responses and sends, to compare runs.
    pub digest: String,
    /// The time that the run took, in seconds.
    pub seconds: f64,
}

/// Successes and latencies of a class, in milliseconds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClassTimes {
    /// The name of the class.
    pub name: String,
    /// The number of calls.
    pub calls: usize,
    /// The number of calls that succeeded.
    pub served: usize,
    /// The median latency.
    pub p50: f64,
    /// The 90th percentile.
    pub p90: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
}

/// The values of one class in one second.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClassSecond {
    /// The second since the start of the run.
    pub second: u64,
    /// The index of the class.
    pub class: usize,
    /// The number of calls due in this second.
    pub calls: usize,
    /// The sum of their weights in the service.
    #[serde(rename = "worth")]
    pub service_weight: f64,
    /// The median latency of the calls that succeeded, in milliseconds.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
}

/// A file of runs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Record {
    /// The version of the file format.
    pub format: u32,
    /// Whether all requested runs are included and were not interrupted.
    pub complete: bool,
    /// The runs, in the requested order.
    pub runs: Vec<Run>,
}

/// The version of the file format that is written.
pub const FORMAT: u32 = 1;

impl Record {
    /// Writes the file atomically: a reader sees either the old file or the new one.
    pub fn write(&self, path: &Path) -> Result<(), String> {
        let text = serde_json::to_string(self).map_err(|e| format!("{}: {e}", path.display()))?;
        let temporary = path.with_extension("part");
        std::fs::write(&temporary, text)
            .and_then(|()| std::fs::rename(&temporary, path))
            .map_err(|e| format!("cannot write {}: {e}", path.display()))
    }

    /// Reads a file.
    pub fn read(path: &Path) -> Result<Record, String> {
        let text =
            std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
        let record: Record = serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
        match record.format {
            FORMAT => Ok(record),
            other => {
                Err(format!("{}: file format {other}; this program reads format {FORMAT}", path.display()))
            }
        }
    }
}

fn latency_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("3 significant digits are valid")
}

fn quantile_ms(latencies: &Histogram<u64>, share: f64) -> f64 {
    latencies.value_at_quantile(share) as f64 / 1e3
}

impl Run {
    /// Returns the largest 99th percentile of any class, in milliseconds.
    pub fn slowest_p99(&self) -> f64 {
        self.classes.iter().map(|class| class.p99).fold(0.0, f64::max)
    }

    /// Checks a finished run and collects its metrics.
    pub fn from_emulation(world: &World, mode: Mode, policy: Policy, seed: u64, complete: bool) -> Run {
        let scenario = &world.scenario;
        let worst_cold_load = world.worst_cold_load();
        let load = world.load_samples.take().into_iter().map(|(at, load)| (at / 1000, load)).collect();
        let ledger = world.take_ledger();
        let objectives: Vec<_> =
            scenario.classes.iter().map(|class| (class.latency_objective, class.deadline)).collect();
        // FNV-1a over all responses and sends.
        let mut digest = 0xcbf2_9ce4_8422_2325_u64;
        let mut mix = |value: u64| digest = (digest ^ value).wrapping_mul(0x0100_0000_01b3);
        for attempt in &ledger.client_attempts {
            for (at, response) in &attempt.responses {
                mix(*at);
                mix(match response {
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
        let mut totals: Vec<_> = scenario.classes.iter().map(|_| (0, 0, latency_histogram())).collect();
        let mut seconds: std::collections::BTreeMap<(Micros, usize), (usize, f64, Histogram<u64>)> =
            Default::default();
        for (call, at) in ledger.calls.iter().zip(first_successes(&ledger)) {
            let class = &mut totals[call.class];
            let second = seconds
                .entry((call.scheduled_at / 1_000_000, call.class))
                .or_insert_with(|| (0, 0.0, latency_histogram()));
            class.0 += 1;
            second.0 += 1;
            second.1 += service_weight(call, at, objectives[call.class]);
            if let Some(at) = at {
                class.1 += 1;
                let latency = at.saturating_sub(call.scheduled_at).max(1);
                let _ = class.2.record(latency);
                let _ = second.2.record(latency);
            }
        }
        let classes =
            scenario.classes.iter().zip(totals).map(|(class, (calls, served, latencies))| ClassTimes {
                name: class.name.clone(),
                calls,
                served,
                p50: quantile_ms(&latencies, 0.5),
                p90: quantile_ms(&latencies, 0.9),
                p99: quantile_ms(&latencies, 0.99),
                p999: quantile_ms(&latencies, 0.999),
            });
        let class_seconds =
            seconds.into_iter().map(|((second, class), (calls, weight, latencies))| ClassSecond {
                second,
                class,
                calls,
                service_weight: weight,
                p50: quantile_ms(&latencies, 0.5),
                p99: quantile_ms(&latencies, 0.99),
            });
        Run {
            scenario: scenario.name.clone(),
            mode,
            policy,
            seed,
            agents: scenario.agents,
            servers: scenario.fleet.servers,
            complete,
            result: check(&ledger, &objectives, scenario.settings.drain_grace.0, &scenario.requirements),
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
            class_seconds: class_seconds.collect(),
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
