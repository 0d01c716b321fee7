//! Outlier detection: ejects servers that fail, do not respond, cannot be reached or are full.

use super::endpoints::ServerSlot;
use super::requests::{AttemptKey, InFlightAttempt};
use super::retry::{TokenBucket, RETRY_COST};
use super::Balancer;
use crate::api::{Action, Effect, Outcome, Span, Status, Time};

/// The minimum number of consecutive failures for which a server is ejected.
const MIN_FAILURES: u32 = 2;
/// A server is ejected if its consecutive failures have less than this probability at the reference failure
/// rate. Without this condition, half of the fleet would be ejected when connections break at all
/// servers.
const MAX_FAILURE_PROBABILITY: f64 = 0.002;
/// The reference failure rate is the quantile 1/n of the other servers' failure rates, where n is this
/// number.
const REFERENCE_QUANTILE_DIVISOR: usize = 4;
/// An attempt is overdue at this multiple of its class's usual latency ...
const OVERDUE_FACTOR: f64 = 4.0;
/// ... but not before this fraction of its latency objective, ...
const MIN_OVERDUE: f64 = 0.6;
/// ... or this fraction if no other attempt is in flight to its server: it may be an expensive request then.
const MIN_OVERDUE_ALONE: f64 = 1.0;
/// The maximum fraction of the serving servers that is ejected. If more seem to fail, the servers are not the
/// cause.
const MAX_EJECTED_FRACTION: f64 = 0.75;
/// The time from an ejection to the first recovery probe, before scaling and jitter.
const INITIAL_PROBE_INTERVAL: Span = Span(250_000);

/// The ejected servers and the budget for probing them.
#[derive(Default)]
pub(super) struct OutlierDetection {
    /// All ejected servers, and possibly some that are not ejected any more.
    pub(super) ejected: Vec<ServerSlot>,
    pub(super) recovery_budget: TokenBucket,
}

/// The ejection of a server, until a recovery probe succeeds.
pub(super) struct Ejection {
    pub(super) next_probe_at: Time,
    /// The interval between probes. Each failed probe doubles it.
    pub(super) probe_interval: Span,
    /// Whether a probe is in flight.
    pub(super) is_probing: bool,
    /// Whether health checks are used as probes instead of requests.
    pub(super) uses_health_checks: bool,
}

/// Why a server is ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EjectionReason {
    /// Too many consecutive failures.
    Failing,
    /// Attempts are overdue, and no response has arrived since they were sent.
    Unresponsive,
    /// No connection can be established.
    Unreachable,
    /// The server rejects requests although this balancer has none in flight to it.
    Full,
}

impl EjectionReason {
    /// The name of the reason in log messages.
    fn log_name(self) -> &'static str {
        match self {
            EjectionReason::Failing => "failing",
            EjectionReason::Unresponsive => "silent",
            EjectionReason::Unreachable => "unreachable",
            EjectionReason::Full => "full",
        }
    }
}

impl Balancer {
    /// Returns the number of listed servers that get no new requests now: draining servers, and ejected
    /// servers whose recovery probe is not due.
    #[must_use]
    pub fn excluded_endpoints(&self, now: Time) -> usize {
        let is_excluded = |&slot: &ServerSlot| {
            let server = &self.endpoints[slot];
            match server.endpoint.status {
                Status::Serving => {
                    server.ejection.as_ref().is_some_and(|ejection| ejection.blocks_requests(now))
                }
                Status::Draining => true,
                Status::Removed => false,
            }
        };
        self.endpoints.slots().filter(is_excluded).count()
    }

    /// Returns why a server is to be ejected after an attempt with this outcome, or `None` if it is not to be
    /// ejected. `is_warm` is whether the server had its full capacity.
    pub(super) fn ejection_reason(
        &self,
        slot: ServerSlot,
        outcome: Outcome,
        is_warm: bool,
    ) -> Option<EjectionReason> {
        let server = &self.endpoints[slot];
        // With many balancers, each sends so few requests that a second failure would take seconds to occur.
        let ejects_at_first_failure = self.is_large_fleet();
        match outcome {
            Outcome::ConnectFailed if ejects_at_first_failure => Some(EjectionReason::Unreachable),
            Outcome::Rejected if ejects_at_first_failure && server.in_flight == 0 && is_warm => {
                Some(EjectionReason::Full)
            }
            _ if self.fails_unusually_often(slot) => Some(EjectionReason::Failing),
            _ => None,
        }
    }

    /// Whether a server's consecutive failures are too many to be explained by the reference failure rate.
    /// This is the lower quartile of the other servers' rates, which stays low even if a network partition
    /// cuts off most of the fleet.
    fn fails_unusually_often(&self, slot: ServerSlot) -> bool {
        let failures = self.endpoints[slot].consecutive_failures;
        if failures < MIN_FAILURES {
            return false;
        }
        let others = self.endpoints.serving.iter().filter(|&&other| other != slot);
        let mut rates: Vec<f64> = others.map(|&other| self.endpoints[other].failure_rate).collect();
        rates.sort_by(f64::total_cmp);
        let reference_rate = rates.get(rates.len() / REFERENCE_QUANTILE_DIVISOR).copied().unwrap_or(0.0);
        reference_rate.powf(f64::from(failures)) < MAX_FAILURE_PROBABILITY
    }

    /// Ejects a server, unless it is already ejected or too many servers are.
    pub(super) fn eject(
        &mut self,
        now: Time,
        slot: ServerSlot,
        reason: EjectionReason,
        actions: &mut Vec<Action>,
    ) {
        // Drawn unconditionally: the order of draws must not depend on the checks below.
        let jitter = self.jitter();
        let serving = &self.endpoints.serving;
        let ejected = serving.iter().filter(|&&server| self.endpoints[server].is_ejected()).count();
        let exceeds_max_ejected = (ejected + 1) as f64 > MAX_EJECTED_FRACTION * serving.len() as f64;
        if self.endpoints[slot].is_ejected() || exceeds_max_ejected {
            return;
        }
        let probe_interval = INITIAL_PROBE_INTERVAL * self.fleet_size_factor();
        let can_use_health_checks = self.is_large_fleet() && self.settings.health_checks;
        let server = &mut self.endpoints[slot];
        server.ejection = Some(Ejection {
            next_probe_at: now + probe_interval * jitter,
            probe_interval,
            is_probing: false,
            // A health check can succeed while requests fail.
            uses_health_checks: can_use_health_checks && reason != EjectionReason::Failing,
        });
        let text = format!("server {} {}: suspect", server.endpoint.server.0, reason.log_name());
        actions.push(Action::Log { text });
        self.remembered.retain(|&remembered| remembered != slot);
        if !self.outliers.ejected.contains(&slot) {
            self.outliers.ejected.push(slot);
        }
    }

    /// Ejects the servers that do not respond: an attempt to them is overdue, and no response has arrived
    /// since it was sent. Cancels the overdue attempts whose requests can be retried in time.
    pub(super) fn eject_unresponsive(&mut self, now: Time, actions: &mut Vec<Action>) {
        let in_flight = self.requests.in_flight.iter();
        let overdue: Vec<(AttemptKey, ServerSlot)> = in_flight
            .filter(|(_, attempt)| self.is_overdue(now, attempt))
            .map(|(&key, attempt)| (key, attempt.server))
            .collect();
        for (key, server) in overdue {
            self.eject(now, server, EjectionReason::Unresponsive, actions);
            if self.can_retry_instead(now, key) {
                actions.push(Action::Cancel { request: key.request, attempt: key.attempt });
            }
        }
    }

    fn is_overdue(&self, now: Time, attempt: &InFlightAttempt) -> bool {
        let server = &self.endpoints[attempt.server];
        let state = &self.classes[&attempt.class];
        let objective = state.class.latency_objective;
        let min_overdue_ratio = if server.in_flight > 1 { MIN_OVERDUE } else { MIN_OVERDUE_ALONE };
        let expected_ratio = state.latency_ratio.max(attempt.work_ms / objective.as_ms());
        let overdue_after = objective * (OVERDUE_FACTOR * expected_ratio).max(min_overdue_ratio);
        let is_unresponsive = server.last_response_at < attempt.sent_at && !attempt.is_streaming_in;
        is_unresponsive && now.since(attempt.sent_at) > overdue_after
    }

    /// Whether an attempt can be cancelled and its request be retried instead.
    fn can_retry_instead(&self, now: Time, key: AttemptKey) -> bool {
        let Some(pending) = self.requests.pending.get(&key.request) else { return false };
        let is_retryable = self.class_of(pending).class.effect != Effect::AtMostOnce;
        let is_latest = key.attempt.0 as usize + 1 == pending.attempts.len();
        let has_attempts_left = pending.attempts.len() < pending.max_attempts;
        is_retryable
            && self.settings.cancel
            && is_latest
            && has_attempts_left
            && self.retry_budget.has_tokens(RETRY_COST)
            && !self.cannot_meet_deadline(now, pending)
    }
}
