//! How the decisions of a balancer depend on the number of balancers of the service.

use super::Balancer;

/// Up to this many balancers, each decides by its own statistics. With more, each sees too few requests per
/// server for that and has to account for what all of them do together.
const MAX_INDEPENDENT_BALANCERS: f64 = 10.0;
/// Delays are multiplied by a jitter factor of at least this ...
const MIN_JITTER: f64 = 0.75;
/// ... and at most this much more.
const JITTER_RANGE: f64 = 0.5;
/// The draw that is assumed where there are few balancers and no draw is made.
const MEAN_DRAW: f64 = 0.5;

impl Balancer {
    /// The number of balancers relative to [`MAX_INDEPENDENT_BALANCERS`]; at least 1.
    pub(super) fn fleet_size_factor(&self) -> f64 {
        (f64::from(self.settings.balancers) / MAX_INDEPENDENT_BALANCERS).max(1.0)
    }

    /// Whether there are too many balancers for each to decide by its own statistics.
    pub(super) fn is_large_fleet(&self) -> bool {
        self.fleet_size_factor() > 1.0
    }

    /// A jitter factor for delays: many balancers notice a fault at the same time and must not all retry at
    /// the same time.
    pub(super) fn jitter(&mut self) -> f64 {
        let draw = if self.is_large_fleet() { self.rng.f64() } else { MEAN_DRAW };
        MIN_JITTER + JITTER_RANGE * draw
    }
}
