//! How the number of balancers of the service changes what one of them may do.

use super::Balancer;

/// Up to this many balancers each acts for itself. Of more, each sees so little of a server that it has to
/// act as a part of all of them.
const MAX_INDEPENDENT_BALANCERS: f64 = 10.0;
/// Pauses are multiplied by a factor from here ...
const MIN_JITTER: f64 = 0.75;
/// ... to this much more.
const JITTER_RANGE: f64 = 0.5;
/// The middle of that range, where no draw is made.
const MEAN_DRAW: f64 = 0.5;

impl Balancer {
    /// How many times more balancers there are than could act independently; at least 1.
    pub(super) fn fleet_size_factor(&self) -> f64 {
        (f64::from(self.settings.balancers) / MAX_INDEPENDENT_BALANCERS).max(1.0)
    }

    /// Whether there are too many balancers for each to act independently.
    pub(super) fn is_large_fleet(&self) -> bool {
        self.fleet_size_factor() > 1.0
    }

    /// A factor for pauses: many balancers notice a fault in the same moment and must not all return in the
    /// same one.
    pub(super) fn jitter(&mut self) -> f64 {
        let draw = if self.is_large_fleet() { self.rng.f64() } else { MEAN_DRAW };
        MIN_JITTER + JITTER_RANGE * draw
    }
}
