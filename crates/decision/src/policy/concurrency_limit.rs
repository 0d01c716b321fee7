//! Limits of the requests in flight: to each server, adapted to the latency of its responses, and of this
//! balancer in total.

use super::endpoints::{Server, ServerSlot};
use super::requests::InFlightAttempt;
use super::Balancer;
use crate::api::Time;

/// The fraction of its latency objective that a response should take, unless the minimum latency of its class
/// is too high for that.
pub(super) const TARGET_LATENCY_RATIO: f64 = 0.25;
/// The concurrency limit of a server before its first response, in requests.
pub(super) const INITIAL_LIMIT: f64 = 2.0;
const MIN_LIMIT: f64 = 1.0;
const MAX_LIMIT: f64 = 1000.0;
/// The weight of a new response in a server's latency ratio, which then averages about the last eight
/// responses.
const LATENCY_GAIN: f64 = 0.12;
/// A late response multiplies the limit by this.
const LATE_FACTOR: f64 = 0.85;
/// While a limit is in full use, each response on target raises it by this divided by the limit, in requests.
const GROWTH: f64 = 0.1;
/// The fraction by which each response reduces the limit, for each unit of overshoot.
const SHRINK: f64 = 0.02;
/// The maximum overshoot that counts.
const MAX_OVERSHOOT: f64 = 2.0;
/// A limit counts as in full use if at least this fraction of it is in flight.
const FULL_USE: f64 = 0.7;
/// The number of requests in flight below which one of many balancers is never limited.
const MIN_FLEET_SHARE: f64 = 0.5;

/// The latency of a response.
#[derive(Debug, Clone, Copy)]
pub(super) struct ResponseLatency {
    /// The latency relative to the target of its class, scaled so that [`TARGET_LATENCY_RATIO`] is on target.
    pub(super) target_ratio: f64,
    /// Whether it took at least its latency objective, or counts as if it had.
    pub(super) is_late: bool,
}

impl Server {
    /// Adapts the concurrency limit to the latency of a response.
    pub(super) fn adjust_limit(&mut self, latency: ResponseLatency) {
        let ratio = latency.target_ratio;
        if self.latency_ratio == 0.0 {
            self.latency_ratio = ratio;
        } else {
            self.latency_ratio += LATENCY_GAIN * (ratio - self.latency_ratio);
        }
        // The limit must shrink more slowly than the average recovers, or it would keep falling after the
        // latency is already back on target. A late response or a rejection is certain evidence of overload
        // and reduces the limit at once.
        let overshoot = (self.latency_ratio / TARGET_LATENCY_RATIO - 1.0).min(MAX_OVERSHOOT);
        let factor = if latency.is_late { LATE_FACTOR } else { 1.0 - SHRINK * overshoot.max(0.0) };
        self.concurrency_limit = (self.concurrency_limit * factor).max(MIN_LIMIT);
        let is_in_full_use = f64::from(self.in_flight) + 1.0 >= (FULL_USE * self.concurrency_limit).floor();
        if overshoot <= 0.0 && !latency.is_late && is_in_full_use {
            let growth = GROWTH / self.concurrency_limit.max(MIN_LIMIT);
            self.concurrency_limit = (self.concurrency_limit + growth).min(MAX_LIMIT);
        }
    }
}

impl Balancer {
    /// Whether a server may be sent another request. The limit of a server that is warming up is scaled by
    /// its capacity fraction.
    pub(super) fn has_capacity(&self, now: Time, server: ServerSlot) -> bool {
        let capacity_fraction = self.capacity_fraction(now, server);
        let server = &self.endpoints[server];
        let is_backing_off =
            server.backoff.is_some_and(|backoff| now < backoff.until || server.in_flight > 0);
        let limit = (server.concurrency_limit * capacity_fraction).max(MIN_LIMIT);
        !is_backing_off && f64::from(server.in_flight) < limit
    }

    /// Whether this balancer, as one of many, has its share of the fleet's load in flight: the usual number
    /// of requests in flight by Little's law, plus its square root (square-root staffing), because such small
    /// numbers vary much by chance.
    ///
    /// The usual number is scaled by the fraction of requests that is answered: clients retry, so a fleet
    /// that has fallen behind would otherwise be sent ever more. It is also scaled by the capacity fraction:
    /// otherwise, all balancers together would overload a fleet whose servers are all warming up, before any
    /// balancer learns of it.
    pub(super) fn has_reached_fleet_share(&self, now: Time) -> bool {
        if !self.is_large_fleet() {
            return false;
        }
        let is_load = |attempt: &&InFlightAttempt| {
            !attempt.is_streaming_in && !self.endpoints[attempt.server].is_ejected()
        };
        let in_flight = self.requests.in_flight.values().filter(is_load).count() as f64;
        let usual =
            self.demand.usual_in_flight() * self.demand.answered_fraction() * self.max_capacity_fraction(now);
        in_flight >= MIN_FLEET_SHARE + usual + usual.sqrt()
    }
}
