//! Recovery probes: an ejected server is tried again after pauses that double, by a request or a health
//! check. Many balancers probe seldom, and by health checks where they can.

use super::endpoints::ServerSlot;
use super::outcomes::AttemptResult;
use super::outlier_detection::Ejection;
use super::requests::PendingRequest;
use super::Balancer;
use crate::api::{Action, Effect, Outcome, Span, Time};

/// The longest pause between two probes; where there are many balancers, a multiple of it.
const MAX_PROBE_INTERVAL: Span = Span(4_000_000);
/// What a probe by a request costs of the recovery budget: it may cost a client its response.
pub(super) const REQUEST_PROBE_COST: f64 = 3.0;
/// What a probe by a health check costs of the recovery budget.
const HEALTH_CHECK_COST: f64 = 1.0;
/// The load, in requests, under which a checked server counts as recovered.
const MAX_RECOVERED_LOAD: f64 = 2.0;

impl Ejection {
    /// Whether no request may go to the server now. Requests probe it one at a time, when a probe is due;
    /// where health checks do, requests help out once they are long overdue.
    pub(super) fn is_closed(&self, now: Time) -> bool {
        let awaits_health_check = self.by_health_check && now.since(self.next_probe_at) < MAX_PROBE_INTERVAL;
        awaits_health_check || !self.is_due(now)
    }

    fn is_due(&self, now: Time) -> bool {
        !self.is_probing && now >= self.next_probe_at
    }
}

impl Balancer {
    /// Whether a request may probe an ejected server now. Many balancers use only idempotent requests, unless
    /// the probe is long overdue, and only as far as the recovery budget reaches: all of them probe.
    pub(super) fn can_probe_with(&self, now: Time, ejection: &Ejection, pending: &PendingRequest) -> bool {
        if ejection.is_closed(now) {
            return false;
        }
        if !self.is_large_fleet() {
            return true;
        }
        let is_idempotent = self.class_of(pending).class.effect == Effect::Idempotent;
        let is_long_overdue = now.since(ejection.next_probe_at) > MAX_PROBE_INTERVAL;
        (is_idempotent || is_long_overdue) && self.outliers.recovery_budget.can_pay(REQUEST_PROBE_COST)
    }

    /// Ends a probe: a server that has recovered is no longer ejected; for another one the pause doubles.
    pub(super) fn finish_recovery_probe(&mut self, now: Time, slot: ServerSlot, has_recovered: bool) {
        let max_pause = MAX_PROBE_INTERVAL * self.fleet_size_factor();
        // Drawn in any case: the order of draws must not depend on what is found.
        let jitter = self.jitter();
        let server = &mut self.endpoints[slot];
        if has_recovered {
            server.ejection = None;
            server.consecutive_failures = 0;
        } else if let Some(ejection) = &mut server.ejection {
            ejection.is_probing = false;
            ejection.pause = (ejection.pause * 2.0).min(max_pause);
            ejection.next_probe_at = now + ejection.pause * jitter;
        }
    }

    /// Checks the ejected servers whose probe is due, the longest due first, as far as the recovery budget
    /// reaches.
    pub(super) fn send_health_checks(&mut self, now: Time, actions: &mut Vec<Action>) {
        let endpoints = &self.endpoints;
        self.outliers.ejected.retain(|&server| endpoints[server].is_ejected());
        if !self.settings.health_checks {
            return;
        }
        let mut due: Vec<(Time, ServerSlot)> =
            self.outliers.ejected.iter().filter_map(|&server| self.health_check_due(now, server)).collect();
        due.sort_unstable();
        for (_, slot) in due.into_iter().take(self.outliers.recovery_budget.whole_units()) {
            let server = &mut self.endpoints[slot];
            if let Some(ejection) = &mut server.ejection {
                ejection.is_probing = true;
            }
            self.outliers.recovery_budget.pay(HEALTH_CHECK_COST);
            actions.push(Action::HealthCheck { server: server.endpoint.server });
        }
    }

    /// Since when a health check of a server is due, if it is.
    fn health_check_due(&self, now: Time, slot: ServerSlot) -> Option<(Time, ServerSlot)> {
        let server = &self.endpoints[slot];
        let ejection = server.ejection.as_ref()?;
        let is_due = server.is_serving() && ejection.by_health_check && ejection.is_due(now);
        is_due.then_some((ejection.next_probe_at, slot))
    }

    /// Takes in a health check: the load that the server reports, and how long the check waited there.
    pub(super) fn health_check_ended(&mut self, now: Time, slot: ServerSlot, result: AttemptResult) {
        let reported = result.report.and_then(|report| self.read_load_report(slot, report));
        let usual_latencies = self.current_classes().map(super::class_stats::ClassState::usual_latency_ms);
        let least_usual_ms = usual_latencies.fold(f64::INFINITY, f64::min);
        let is_checked = |ejection: &Ejection| ejection.by_health_check && ejection.is_probing;
        if !self.endpoints[slot].ejection.as_ref().is_some_and(is_checked) {
            return;
        }
        let load = reported.unwrap_or_default().max(result.elapsed.as_ms() / least_usual_ms);
        let has_recovered = result.outcome == Outcome::Success && load < MAX_RECOVERED_LOAD;
        self.finish_recovery_probe(now, slot, has_recovered);
    }
}
