//! Selection: compares the remembered servers with servers drawn uniformly at random, by the number of this
//! balancer's own requests in flight. Ties are broken at random.

use super::endpoints::{Server, ServerSlot};
use super::requests::{AttemptKey, AttemptRecord, AttemptState, InFlightAttempt};
use super::retry_rules::NO_DEADLINE;
use super::{recovery, Balancer};
use crate::api::{Action, AttemptNumber, RequestId, Time};

/// How many of the most recently selected servers are remembered.
pub(super) const REMEMBERED: usize = 1;
/// The load of a server in another zone is raised by this fraction for each percent that crossing zones
/// costs.
const CROSS_ZONE_WEIGHT: f64 = 0.25;
const PERCENT: f64 = 100.0;
/// The maximum factor for the load of a server in another zone. It is below 2, so that an idle server there
/// still ranks before a local server with one request in flight.
const MAX_CROSS_ZONE_FACTOR: f64 = 1.8;
/// The step to which logarithms of loads are rounded: a difference of a quarter is within random variation.
const EQUAL_LOAD_LOG: f64 = 0.25;
/// The maximum work of a request that counts, relative to the usual work of its class.
const MAX_RELATIVE_WORK: f64 = 9.0;
/// The exponent of the slowdown ratio in a server's load, for a request of usual work.
const SLOWDOWN_EXPONENT: f64 = 0.5;

/// The order of candidates: the lowest value is selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CandidateOrder {
    load: i32,
    reported_load: i32,
    tie_break: u32,
}

impl Balancer {
    /// Sends a request to the best candidate. Returns `false` if no server has capacity for it.
    pub(super) fn dispatch(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) -> bool {
        if !self.requests.pending.contains_key(&id) {
            return true;
        }
        if self.has_reached_fleet_share(now) {
            return false;
        }
        let candidates = self.candidates(now, id);
        let weight = self.work_weight(id);
        let Some(server) = self.least_loaded(&candidates, weight) else { return false };
        self.remember(server);
        self.send(now, id, server, actions);
        true
    }

    /// The weight of a request's work: the square root of its work relative to the usual work of its class,
    /// and at least 1.
    fn work_weight(&self, id: RequestId) -> f64 {
        let pending = &self.requests.pending[&id];
        let relative_work = self.estimated_work_ms(pending) / self.class_of(pending).usual_latency_ms();
        relative_work.clamp(1.0, MAX_RELATIVE_WORK).sqrt()
    }

    /// Returns the candidate with the lowest load: this balancer's requests in flight to it, scaled by its
    /// slowdown and by the cost of crossing zones.
    fn least_loaded(&mut self, candidates: &[ServerSlot], work_weight: f64) -> Option<ServerSlot> {
        let tie_breaks: Vec<u32> = candidates.iter().map(|_| self.rng.u32(..)).collect();
        let ordered = candidates.iter().copied().zip(tie_breaks);
        let best = ordered.min_by_key(|&(server, tie_break)| {
            self.candidate_order(&self.endpoints[server], work_weight, tie_break)
        });
        best.map(|(server, _)| server)
    }

    fn candidate_order(&self, server: &Server, work_weight: f64, tie_break: u32) -> CandidateOrder {
        let is_local = server.endpoint.zone == self.settings.zone;
        let zone_factor = if is_local { 1.0 } else { self.cross_zone_factor() };
        // An ejected server that is a candidate for its recovery probe is preferred: with its own statistics
        // it would never be selected.
        let requests = if server.is_ejected() { 0.0 } else { f64::from(server.in_flight) + 1.0 };
        let slowdown = server.slowdown_ratio.powf(SLOWDOWN_EXPONENT * work_weight);
        let load = (requests * zone_factor * slowdown).ln();
        // With many balancers, each gets few load reports. The requests sent since the last report would then
        // dominate, and slow servers would be selected as often as fast ones.
        let reported_load = if self.is_large_fleet() { 0.0 } else { server.reported_load.round() };
        CandidateOrder {
            load: (load / EQUAL_LOAD_LOG).round() as i32,
            reported_load: reported_load as i32,
            tie_break,
        }
    }

    fn cross_zone_factor(&self) -> f64 {
        let factor = 1.0 + PERCENT * CROSS_ZONE_WEIGHT * self.settings.costs.cross_zone;
        factor.clamp(1.0, MAX_CROSS_ZONE_FACTOR)
    }

    fn remember(&mut self, server: ServerSlot) {
        self.remembered.retain(|&remembered| remembered != server);
        self.remembered.insert(0, server);
        self.remembered.truncate(REMEMBERED);
    }

    fn send(&mut self, now: Time, id: RequestId, slot: ServerSlot, actions: &mut Vec<Action>) {
        let pending = &self.requests.pending[&id];
        let work_ms = self.estimated_work_ms(pending);
        let begin_by = self.retry_rules(pending, now).begin_by;
        let Some(pending) = self.requests.pending.get_mut(&id) else { return };
        let is_streaming_in = pending.request.is_streaming_in;
        if is_streaming_in {
            // Its deadlines start when its last part arrives. The caller checks that parts keep arriving.
            pending.deadline = NO_DEADLINE;
            pending.objective_deadline = NO_DEADLINE;
        }
        let server = &mut self.endpoints[slot];
        let is_recovery_probe = match &mut server.ejection {
            Some(ejection) => {
                ejection.is_probing = true;
                self.outliers.recovery_budget.withdraw(recovery::REQUEST_PROBE_COST);
                true
            }
            None => false,
        };
        server.in_flight += u32::from(!is_streaming_in);
        server.reported_load += 1.0;
        let attempt = AttemptNumber(pending.attempts.len() as u32);
        pending.attempts.push(AttemptRecord {
            server: slot,
            zone: server.endpoint.zone,
            cell: server.endpoint.cell,
            sent_at: now,
            state: AttemptState::InFlight,
        });
        let in_flight = InFlightAttempt {
            server: slot,
            class: pending.request.class,
            sent_at: now,
            is_recovery_probe,
            is_streaming_in,
            work_ms,
        };
        self.requests.in_flight.insert(AttemptKey { request: id, attempt }, in_flight);
        let (server, timeout_at) = (server.endpoint.server, pending.deadline);
        actions.push(Action::Send { request: id, server, timeout_at, begin_by });
    }
}
