//! Slow start: the fraction of its capacity that a server is assumed to have while it warms up.

use super::endpoints::{Server, ServerSlot};
use super::Balancer;
use crate::api::{Settings, Time};

impl Server {
    /// The minimum fraction of its capacity that the server has now. It grows linearly to 1 while the server
    /// warms up.
    pub(super) fn capacity_fraction(&self, now: Time, settings: &Settings) -> f64 {
        let Some(started_at) = self.endpoint.started_at else { return 1.0 };
        let age_ms = now.since(started_at).as_ms();
        let warm_up_ms = settings.warm_up_time.as_ms();
        if age_ms >= warm_up_ms {
            return 1.0;
        }
        let initial = settings.initial_capacity_share.min(1.0);
        initial + (1.0 - initial) * age_ms / warm_up_ms
    }
}

impl Balancer {
    pub(super) fn capacity_fraction(&self, now: Time, server: ServerSlot) -> f64 {
        self.endpoints[server].capacity_fraction(now, &self.settings)
    }

    pub(super) fn is_warming_up(&self, now: Time, server: ServerSlot) -> bool {
        self.capacity_fraction(now, server) < 1.0
    }

    /// The highest capacity fraction of the serving servers. The search stops at the first server with full
    /// capacity.
    pub(super) fn max_capacity_fraction(&self, now: Time) -> f64 {
        let mut max: f64 = 0.0;
        for &server in &self.endpoints.serving {
            let fraction = self.capacity_fraction(now, server);
            if fraction >= 1.0 {
                return fraction;
            }
            max = max.max(fraction);
        }
        max
    }

    /// The total capacity of the serving servers, as a fraction of their capacity when all have warmed up.
    pub(super) fn mean_capacity_fraction(&self, now: Time) -> f64 {
        let serving = &self.endpoints.serving;
        let total: f64 = serving.iter().map(|&server| self.capacity_fraction(now, server)).sum();
        total / serving.len().max(1) as f64
    }
}
