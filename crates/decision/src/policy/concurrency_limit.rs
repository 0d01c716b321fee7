//! How many requests may be in flight: to one server, by what its responses have taught, and from this
//! balancer at all.

use super::endpoints::{Server, ServerSlot};
use super::requests::InFlightAttempt;
use super::Balancer;
use crate::api::Time;

/// The fraction of its latency objective that a response should take, unless its class needs more.
pub(super) const TARGET_LATENCY_RATIO: f64 = 0.25;
/// A server's limit before anything is known about it, in requests.
pub(super) const INITIAL_LIMIT: f64 = 2.0;
const MIN_LIMIT: f64 = 1.0;
const MAX_LIMIT: f64 = 1000.0;
/// The weight of a new response in a server's latency ratio: about the last eight responses count.
const LATENCY_GAIN: f64 = 0.12;
/// What remains of the limit after a late response.
const LATE_FACTOR: f64 = 0.85;
/// By how much a limit in full use grows in the time that it takes to use it once.
const GROWTH: f64 = 0.1;
/// The fraction by which a limit shrinks with each response, for each unit of overshoot.
const SHRINK: f64 = 0.02;
/// The most overshoot that counts.
const MAX_OVERSHOOT: f64 = 2.0;
/// A limit is in full use from this fraction on.
const FULL_USE: f64 = 0.7;
/// What one of many balancers may always have in flight, in requests.
const MIN_FLEET_SHARE: f64 = 0.5;

/// How long a response has taken.
#[derive(Debug, Clone, Copy)]
pub(super) struct ResponseLatency {
    /// Over its class's target, scaled so that [`TARGET_LATENCY_RATIO`] is on target.
    pub(super) target_ratio: f64,
    /// It was no better than late.
    pub(super) is_late: bool,
}

impl Server {
    /// Adapts the limit to a response.
    pub(super) fn adjust_limit(&mut self, latency: ResponseLatency) {
        let ratio = latency.target_ratio;
        if self.latency_ratio == 0.0 {
            self.latency_ratio = ratio;
        } else {
            self.latency_ratio += LATENCY_GAIN * (ratio - self.latency_ratio);
        }
        // The limit shrinks more slowly than the average forgets, or the lag would drive it down too far. A
        // late response or a full queue is sure evidence and counts at once.
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
    /// Whether a server may get another request; one that is warming up has a part of its limit.
    pub(super) fn has_capacity(&self, now: Time, server: ServerSlot) -> bool {
        let capacity_fraction = self.capacity_fraction(now, server);
        let server = &self.endpoints[server];
        let is_backing_off =
            server.backoff.is_some_and(|backoff| now < backoff.until || server.in_flight > 0);
        let limit = (server.concurrency_limit * capacity_fraction).max(MIN_LIMIT);
        !is_backing_off && f64::from(server.in_flight) < limit
    }

    /// Whether one of many balancers has its part of the fleet's load in flight: Little's law with
    /// square-root staffing. It is what is answered in the usual time and, as so few requests vary much by
    /// chance, the root of that. By what arrives alone, with clients that retry, a fleet that has fallen
    /// behind would be sent ever more, and one that is all warming up too much, by all balancers before any
    /// of them has learned of it.
    pub(super) fn has_reached_fleet_share(&self, now: Time) -> bool {
        if !self.is_large_fleet() {
            return false;
        }
        let counts = |attempt: &&InFlightAttempt| {
            !attempt.is_streaming_in && !self.endpoints[attempt.server].is_ejected()
        };
        let in_flight = self.requests.in_flight.values().filter(counts).count() as f64;
        let usual =
            self.demand.usual_in_flight() * self.demand.answered_fraction() * self.max_capacity_fraction(now);
        in_flight >= MIN_FLEET_SHARE + usual + usual.sqrt()
    }
}
