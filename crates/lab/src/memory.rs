//! Measures memory over a run in simulated time: the heap of the process minus what the emulator records about the run. The
//! rest belongs to the agents and the server models, which hold only requests in flight; it must not grow with time.

use crate::checker::Ledger;
use crate::server_model::Micros;
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::mem::size_of;

/// The heap of the whole process. Runs that measure memory therefore run one at a time.
#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// The number of evenly spaced memory samples in a run.
pub const SAMPLES: u64 = 60;

/// Measures the change of the heap since its start.
pub struct HeapMeter(Region<'static, System>);

impl HeapMeter {
    /// Starts measuring.
    pub fn start() -> Self {
        HeapMeter(Region::new(HEAP))
    }

    /// Returns by how many bytes the heap has grown since the start.
    pub fn held_bytes(&self) -> i64 {
        let change = self.0.change();
        change.bytes_allocated as i64 - change.bytes_deallocated as i64
    }
}

fn vec_bytes<T>(items: &Vec<T>) -> usize {
    items.capacity() * size_of::<T>()
}

/// Returns the heap size of a ledger in bytes.
pub fn ledger_bytes(ledger: &Ledger) -> i64 {
    let nested = ledger.calls.iter().map(|call| vec_bytes(&call.effects)).sum::<usize>()
        + ledger.client_attempts.iter().map(|attempt| vec_bytes(&attempt.responses)).sum::<usize>()
        + ledger.list_versions.iter().map(vec_bytes).sum::<usize>();
    let outer = vec_bytes(&ledger.calls)
        + vec_bytes(&ledger.client_attempts)
        + vec_bytes(&ledger.sends)
        + vec_bytes(&ledger.list_versions)
        + vec_bytes(&ledger.unavailable)
        + vec_bytes(&ledger.memory);
    (nested + outer) as i64
}

/// Returns the growth of the mean from the first third of the samples to the last, as a share of the first. The first sixth, in
/// which tables fill, is left out. Returns `None` if there are too few samples.
pub fn growth(samples: &[(Micros, i64)]) -> Option<f64> {
    let settled = &samples[samples.len() / 6..];
    let third = settled.len() / 3;
    let mean = |part: &[(Micros, i64)]| part.iter().map(|(_, held)| *held as f64).sum::<f64>() / third as f64;
    let (first, last) = (mean(settled.get(..third)?), mean(settled.get(settled.len() - third..)?));
    (third > 0 && first > 0.0).then(|| last / first - 1.0)
}

#[cfg(test)]
mod tests;
