//! Memory over a run in simulated time: what the process holds, less what the run itself writes down of what happens. What
//! is left belongs to the agents and the models of servers, which hold what is under way; it must not grow with time.

use crate::checker::Ledger;
use crate::server_model::Micros;
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::mem::size_of;

/// The whole process's. Runs that are measured are played one at a time.
#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// So many looks at the memory are taken in a run, evenly.
pub const SAMPLES: u64 = 60;

/// Counts from where it was begun.
pub struct HeapMeter(Region<'static, System>);

impl HeapMeter {
    /// Begins to count.
    pub fn start() -> Self {
        HeapMeter(Region::new(HEAP))
    }

    /// Bytes that are held and were not when counting began.
    pub fn held_bytes(&self) -> i64 {
        let change = self.0.change();
        change.bytes_allocated as i64 - change.bytes_deallocated as i64
    }
}

fn of<T>(all: &Vec<T>) -> usize {
    all.capacity() * size_of::<T>()
}

/// Bytes that a ledger takes.
pub fn ledger_bytes(ledger: &Ledger) -> i64 {
    let within = ledger.calls.iter().map(|call| of(&call.effects)).sum::<usize>()
        + ledger.client_attempts.iter().map(|t| of(&t.responses)).sum::<usize>()
        + ledger.list_versions.iter().map(of).sum::<usize>();
    let all = of(&ledger.calls)
        + of(&ledger.client_attempts)
        + of(&ledger.sends)
        + of(&ledger.list_versions)
        + of(&ledger.unavailable)
        + of(&ledger.memory);
    (within + all) as i64
}

/// By how much the last third of the looks lies over the first in the mean, as a share of the first; the first sixth, in
/// which tables fill, is left out. `None` of too few looks.
pub fn growth(looks: &[(Micros, i64)]) -> Option<f64> {
    let settled = &looks[looks.len() / 6..];
    let third = settled.len() / 3;
    let mean = |part: &[(Micros, i64)]| part.iter().map(|(_, held)| *held as f64).sum::<f64>() / third as f64;
    let (first, last) = (mean(settled.get(..third)?), mean(settled.get(settled.len() - third..)?));
    (third > 0 && first > 0.0).then(|| last / first - 1.0)
}

#[cfg(test)]
mod tests;
