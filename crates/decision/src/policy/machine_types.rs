//! How quick each kind of machine is: one of many balancers sees little of a server, but enough of a kind.

use super::*;

/// How sharply a slower kind is drawn less: work that waits takes more than its share of the time.
const KIND_POWER: f64 = 3.0;
/// Answers that a kind's figure rests on, at least and at most.
const KIND_LEAST: f64 = 3.0;
const KIND_MOST: f64 = 60.0;
/// The chance that is left to the slowest.
const CHANCE_LEAST: f64 = 0.05;

/// Answer time over work, by kind of machine: what is learned of one server holds for all of its kind.
#[derive(Default)]
pub(crate) struct Kinds(BTreeMap<MachineTypeId, (f64, f64)>);

impl Kinds {
    /// A server of this kind has taken `elapsed` over so many milliseconds of work.
    pub(crate) fn learn(&mut self, kind: MachineTypeId, elapsed: Span, work: f64) {
        // As a logarithm: one that took ten times as long must not weigh like ten.
        let slow = (elapsed.as_ms().max(0.1) / work.max(0.1)).ln();
        let (mean, n) = self.0.entry(kind).or_default();
        *n = (*n + 1.0).min(KIND_MOST);
        *mean += (slow - *mean) / *n;
    }

    /// The chance with which a draw of this kind stands: the quickest kind's draws all do.
    pub(crate) fn chance(&self, kind: MachineTypeId) -> f64 {
        let known = |&&(_, n): &&(f64, f64)| n >= KIND_LEAST;
        let best = self.0.values().filter(known).map(|kind| kind.0).fold(f64::INFINITY, f64::min);
        let own = self.0.get(&kind).filter(known);
        own.map_or(1.0, |own| (KIND_POWER * (best - own.0)).exp().max(CHANCE_LEAST))
    }
}
