//! The speed of each machine type. With many balancers, each sees too few responses of one server, but enough
//! of its machine type.

use crate::api::{MachineTypeId, Span};
use std::collections::BTreeMap;

/// How strongly slowness reduces the acceptance probability. It is above 1, because queueing on a slow
/// machine grows more than proportionally.
const SLOWNESS_EXPONENT: f64 = 3.0;
/// The minimum number of responses from which the slowness of a type is known.
const MIN_SAMPLES: f64 = 3.0;
/// The mean of a type counts at most this many responses, so that each new response keeps some weight.
const MAX_SAMPLES: f64 = 60.0;
/// The minimum probability with which a drawn server is accepted.
const MIN_ACCEPTANCE_PROBABILITY: f64 = 0.05;
/// The minimum latency and work that slowness is computed with, in milliseconds.
const MIN_MS: f64 = 0.1;

/// The mean slowness of each machine type, over all its servers.
#[derive(Default)]
pub(super) struct MachineTypes(BTreeMap<MachineTypeId, Slowness>);

/// The mean logarithm of latency divided by work.
#[derive(Default)]
struct Slowness {
    mean_log: f64,
    samples: f64,
}

impl MachineTypes {
    /// Records a response of a server of this type, which took `elapsed` for `work_ms` milliseconds of
    /// work.
    pub(super) fn record(&mut self, machine_type: MachineTypeId, elapsed: Span, work_ms: f64) {
        // The logarithm keeps a response that took ten times as long from weighing as much as ten responses.
        let log = (elapsed.as_ms().max(MIN_MS) / work_ms.max(MIN_MS)).ln();
        let slowness = self.0.entry(machine_type).or_default();
        slowness.samples = (slowness.samples + 1.0).min(MAX_SAMPLES);
        slowness.mean_log += (log - slowness.mean_log) / slowness.samples;
    }

    /// The probability with which a drawn server of this type is accepted: 1 for the fastest type.
    pub(super) fn acceptance_probability(&self, machine_type: MachineTypeId) -> f64 {
        let Some(slowness) = self.0.get(&machine_type).filter(|found| found.is_known()) else { return 1.0 };
        let known = self.0.values().filter(|slowness| slowness.is_known());
        let fastest = known.map(|slowness| slowness.mean_log).fold(f64::INFINITY, f64::min);
        (SLOWNESS_EXPONENT * (fastest - slowness.mean_log)).exp().max(MIN_ACCEPTANCE_PROBABILITY)
    }
}

impl Slowness {
    fn is_known(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }
}
