//! How fast each machine type is: one of many balancers sees little of a server, but enough of its type.

use crate::api::{MachineTypeId, Span};
use std::collections::BTreeMap;

/// How sharply a slower type is drawn less often: queueing takes more than its share of the time.
const SLOWNESS_EXPONENT: f64 = 3.0;
/// The fewest responses from which a type's slowness is known.
const MIN_SAMPLES: f64 = 3.0;
/// The most responses that weigh in a type's mean; after these it follows slowly.
const MAX_SAMPLES: f64 = 60.0;
/// The least chance of a draw.
const MIN_CHANCE: f64 = 0.05;
/// Shorter times and less work count as this, in milliseconds.
const MIN_MS: f64 = 0.1;

/// Mean slowness by machine type: what one server teaches holds for all of its type.
#[derive(Default)]
pub(super) struct MachineTypes(BTreeMap<MachineTypeId, Slowness>);

/// The logarithm of response time over work.
#[derive(Default)]
struct Slowness {
    mean_log: f64,
    samples: f64,
}

impl MachineTypes {
    /// Counts a response of a server of this type, which took `elapsed` for `work_ms` milliseconds of work.
    pub(super) fn learn(&mut self, machine_type: MachineTypeId, elapsed: Span, work_ms: f64) {
        // A logarithm, as a response that took ten times as long must not weigh like ten.
        let log = (elapsed.as_ms().max(MIN_MS) / work_ms.max(MIN_MS)).ln();
        let slowness = self.0.entry(machine_type).or_default();
        slowness.samples = (slowness.samples + 1.0).min(MAX_SAMPLES);
        slowness.mean_log += (log - slowness.mean_log) / slowness.samples;
    }

    /// The chance with which a draw of this type is accepted; 1 for the fastest type.
    pub(super) fn chance(&self, machine_type: MachineTypeId) -> f64 {
        let Some(own) = self.0.get(&machine_type).filter(|own| own.is_known()) else { return 1.0 };
        let known = self.0.values().filter(|slowness| slowness.is_known());
        let fastest = known.map(|slowness| slowness.mean_log).fold(f64::INFINITY, f64::min);
        (SLOWNESS_EXPONENT * (fastest - own.mean_log)).exp().max(MIN_CHANCE)
    }
}

impl Slowness {
    fn is_known(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }
}
