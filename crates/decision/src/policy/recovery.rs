//! Recovery probes: an ejected server is probed by a request or a health check, at intervals that double.
//! With many balancers, the intervals are longer and health checks are used if possible.

use super::endpoints::ServerSlot;
use super::outcomes::AttemptResult;
use super::outlier_detection::Ejection;
use super::requests::PendingRequest;
use super::Balancer;
use crate::api::{Action, Effect, Outcome, Span, Time};

/// The maximum interval between two probes; with many balancers, it is a multiple of this.
const MAX_PROBE_INTERVAL: Span = Span(4_000_000);
/// The cost of probing with a request, in tokens of the recovery budget. It is higher than that of a health
/// check, because the request may fail.
pub(super) const REQUEST_PROBE_COST: f64 = 3.0;
/// The cost of probing with a health check, in tokens of the recovery budget.
const HEALTH_CHECK_COST: f64 = 1.0;
/// The load, in requests, below which a server counts as recovered after a health check.
const MAX_RECOVERED_LOAD: f64 = 2.0;

impl Ejection {
    /// Whether no request may be sent to the server now. When a probe is due, one request at a time probes
    /// the server. If health checks are used as probes, requests do so only when the health check is long
    /// overdue.
    pub(super) fn blocks_requests(&self, now: Time) -> bool {
        let awaits_health_check =
            self.uses_health_checks && now.since(self.next_probe_at) < MAX_PROBE_INTERVAL;
        awaits_health_check || !self.is_due(now)
    }

    fn is_due(&self, now: Time) -> bool {
        !self.is_probing && now >= self.next_probe_at
    }
}

impl Balancer {
    /// Whether a request may probe an ejected server now. With many balancers, the server is probed by all of
    /// them, so only idempotent requests are used, unless the probe is long overdue, and only within the
    /// recovery budget.
    pub(super) fn can_probe_with(&self, now: Time, ejection: &Ejection, pending: &PendingRequest) -> bool {
        if ejection.blocks_requests(now) {
            return false;
        }
        if !self.is_large_fleet() {
            return true;
        }
        let is_idempotent = self.class_of(pending).class.effect == Effect::Idempotent;
        let is_long_overdue = now.since(ejection.next_probe_at) > MAX_PROBE_INTERVAL;
        (is_idempotent || is_long_overdue) && self.outliers.recovery_budget.has_tokens(REQUEST_PROBE_COST)
    }

    /// Handles the end of a probe: ends the ejection if the server has recovered, and doubles the probe
    /// interval otherwise.
    pub(super) fn finish_recovery_probe(&mut self, now: Time, slot: ServerSlot, has_recovered: bool) {
        let max_interval = MAX_PROBE_INTERVAL * self.fleet_size_factor();
        // Drawn unconditionally: the order of draws must not depend on the checks below.
        let jitter = self.jitter();
        let server = &mut self.endpoints[slot];
        if has_recovered {
            server.ejection = None;
            server.consecutive_failures = 0;
        } else if let Some(ejection) = &mut server.ejection {
            ejection.is_probing = false;
            ejection.probe_interval = (ejection.probe_interval * 2.0).min(max_interval);
            ejection.next_probe_at = now + ejection.probe_interval * jitter;
        }
    }

    /// Sends health checks to the ejected servers whose probe is due, longest overdue first, within the
    /// recovery budget.
    pub(super) fn send_health_checks(&mut self, now: Time, actions: &mut Vec<Action>) {
        let endpoints = &self.endpoints;
        self.outliers.ejected.retain(|&server| endpoints[server].is_ejected());
        if !self.settings.health_checks {
            return;
        }
        let mut due: Vec<(Time, ServerSlot)> =
            self.outliers.ejected.iter().filter_map(|&server| self.health_check_due(now, server)).collect();
        due.sort_unstable();
        for (_, slot) in due.into_iter().take(self.outliers.recovery_budget.whole_tokens()) {
            let server = &mut self.endpoints[slot];
            if let Some(ejection) = &mut server.ejection {
                ejection.is_probing = true;
            }
            self.outliers.recovery_budget.withdraw(HEALTH_CHECK_COST);
            actions.push(Action::HealthCheck { server: server.endpoint.server });
        }
    }

    /// Returns the server with the time since which a health check of it is due, or `None` if none is due.
    fn health_check_due(&self, now: Time, slot: ServerSlot) -> Option<(Time, ServerSlot)> {
        let server = &self.endpoints[slot];
        let ejection = server.ejection.as_ref()?;
        let is_due = server.is_serving() && ejection.uses_health_checks && ejection.is_due(now);
        is_due.then_some((ejection.next_probe_at, slot))
    }

    /// Handles the result of a health check. The server's load is estimated from its load report and from how
    /// long the health check took.
    pub(super) fn health_check_ended(&mut self, now: Time, slot: ServerSlot, result: AttemptResult) {
        let reported = result.report.and_then(|report| self.read_load_report(slot, report));
        let usual_latencies = self.current_classes().map(super::class_stats::ClassState::usual_latency_ms);
        let min_usual_latency_ms = usual_latencies.fold(f64::INFINITY, f64::min);
        let is_awaiting_result = |ejection: &Ejection| ejection.uses_health_checks && ejection.is_probing;
        if !self.endpoints[slot].ejection.as_ref().is_some_and(is_awaiting_result) {
            return;
        }
        let load = reported.unwrap_or_default().max(result.elapsed.as_ms() / min_usual_latency_ms);
        let has_recovered = result.outcome == Outcome::Success && load < MAX_RECOVERED_LOAD;
        self.finish_recovery_probe(now, slot, has_recovered);
    }
}
