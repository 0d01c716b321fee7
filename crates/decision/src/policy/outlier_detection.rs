//! Outlier detection: a server that fails, does not respond or cannot be reached is ejected.

use super::endpoints::ServerSlot;
use super::requests::{AttemptKey, InFlightAttempt};
use super::retry::{EarnedBudget, RETRY_COST};
use super::Balancer;
use crate::api::{Action, Effect, Outcome, Span, Status, Time};

/// Failures in a row from which a server can be ejected.
const MIN_FAILURES: u32 = 2;
/// How unlikely so many failures must be for a server that fails as often as the better of the others: where
/// connections break everywhere, half of the fleet would be ejected otherwise.
const MAX_FAILURE_CHANCE: f64 = 0.002;
/// One server in so many fails less often than the one that others are compared with.
const BETTER_QUANTILE: usize = 4;
/// An attempt is overdue at this multiple of its class's usual latency ...
const OVERDUE_FACTOR: f64 = 4.0;
/// ... and not before this fraction of its latency objective, ...
const MIN_OVERDUE: f64 = 0.6;
/// ... or this fraction if it is alone on its server, where it may well be an expensive request.
const MIN_OVERDUE_ALONE: f64 = 1.0;
/// The largest fraction of the serving servers that is ejected: beyond it the fault is not the servers'.
const MAX_EJECTED_FRACTION: f64 = 0.75;
/// The first pause before a recovery probe.
const INITIAL_PROBE_INTERVAL: Span = Span(250_000);

/// The ejected servers, and what may be spent on probing them.
#[derive(Default)]
pub(super) struct OutlierDetection {
    /// Every ejected server, and some that are no longer.
    pub(super) ejected: Vec<ServerSlot>,
    pub(super) recovery_budget: EarnedBudget,
}

/// The ejection of a server, until a recovery probe succeeds.
pub(super) struct Ejection {
    pub(super) next_probe_at: Time,
    /// The pause between probes; doubled by each that fails.
    pub(super) pause: Span,
    /// A probe is under way.
    pub(super) is_probing: bool,
    /// Probes are health checks instead of requests.
    pub(super) by_health_check: bool,
}

/// Why a server is ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EjectionReason {
    /// Too many failures in a row.
    Failing,
    /// Nothing comes back.
    Unresponsive,
    /// No connection can be established.
    Unreachable,
    /// It rejects requests though this balancer has none there.
    Full,
}

impl EjectionReason {
    /// The word in log messages.
    fn log_word(self) -> &'static str {
        match self {
            EjectionReason::Failing => "failing",
            EjectionReason::Unresponsive => "silent",
            EjectionReason::Unreachable => "unreachable",
            EjectionReason::Full => "full",
        }
    }
}

impl Balancer {
    /// How many listed servers get no new requests now: those that drain, and ejected ones whose probe is not
    /// due.
    #[must_use]
    pub fn excluded_endpoints(&self, now: Time) -> usize {
        let is_excluded = |&slot: &ServerSlot| {
            let server = &self.endpoints[slot];
            match server.endpoint.status {
                Status::Serving => server.ejection.as_ref().is_some_and(|ejection| ejection.is_closed(now)),
                Status::Draining => true,
                Status::Removed => false,
            }
        };
        self.endpoints.slots().filter(is_excluded).count()
    }

    /// Why an attempt that has ended like this ejects its server, if it does. `is_warm` is whether the server
    /// was at full capacity.
    pub(super) fn ejection_reason(
        &self,
        slot: ServerSlot,
        outcome: Outcome,
        is_warm: bool,
    ) -> Option<EjectionReason> {
        let server = &self.endpoints[slot];
        // One of many balancers believes the first sign: the next would come seconds later.
        let believes_first_sign = self.is_large_fleet();
        match outcome {
            Outcome::ConnectFailed if believes_first_sign => Some(EjectionReason::Unreachable),
            Outcome::Rejected if believes_first_sign && server.in_flight == 0 && is_warm => {
                Some(EjectionReason::Full)
            }
            _ if self.fails_unusually_often(slot) => Some(EjectionReason::Failing),
            _ => None,
        }
    }

    /// Whether a server's failures in a row are more than chance would bring from the better of the others: a
    /// network partition that takes most of the fleet still leaves those.
    fn fails_unusually_often(&self, slot: ServerSlot) -> bool {
        let failures = self.endpoints[slot].consecutive_failures;
        if failures < MIN_FAILURES {
            return false;
        }
        let others = self.endpoints.serving.iter().filter(|&&other| other != slot);
        let mut rates: Vec<f64> = others.map(|&other| self.endpoints[other].failure_rate).collect();
        rates.sort_by(f64::total_cmp);
        let usual = rates.get(rates.len() / BETTER_QUANTILE).copied().unwrap_or(0.0);
        usual.powf(f64::from(failures)) < MAX_FAILURE_CHANCE
    }

    /// Ejects a server, unless it is ejected already or too many are.
    pub(super) fn eject(
        &mut self,
        now: Time,
        slot: ServerSlot,
        reason: EjectionReason,
        actions: &mut Vec<Action>,
    ) {
        // Drawn in any case: the order of draws must not depend on what is found.
        let jitter = self.jitter();
        let serving = &self.endpoints.serving;
        let ejected = serving.iter().filter(|&&server| self.endpoints[server].is_ejected()).count();
        let is_too_many = (ejected + 1) as f64 > MAX_EJECTED_FRACTION * serving.len() as f64;
        if self.endpoints[slot].is_ejected() || is_too_many {
            return;
        }
        let pause = INITIAL_PROBE_INTERVAL * self.fleet_size_factor();
        let can_check = self.is_large_fleet() && self.settings.health_checks;
        let server = &mut self.endpoints[slot];
        server.ejection = Some(Ejection {
            next_probe_at: now + pause * jitter,
            pause,
            is_probing: false,
            // A health check does not show that requests fail.
            by_health_check: can_check && reason != EjectionReason::Failing,
        });
        let text = format!("server {} {}: suspect", server.endpoint.server.0, reason.log_word());
        actions.push(Action::Log { text });
        self.remembered.retain(|&remembered| remembered != slot);
        if !self.outliers.ejected.contains(&slot) {
            self.outliers.ejected.push(slot);
        }
    }

    /// Ejects the servers that do not respond: an attempt there is overdue, and nothing has come back since
    /// it was sent. Cancels the overdue attempts whose requests can be retried in time.
    pub(super) fn eject_unresponsive(&mut self, now: Time, actions: &mut Vec<Action>) {
        let in_flight = self.requests.in_flight.iter();
        let unanswered: Vec<(AttemptKey, ServerSlot)> = in_flight
            .filter(|(_, attempt)| self.is_overdue(now, attempt))
            .map(|(&key, attempt)| (key, attempt.server))
            .collect();
        for (key, server) in unanswered {
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
        let min_ratio = if server.in_flight > 1 { MIN_OVERDUE } else { MIN_OVERDUE_ALONE };
        let expected_ratio = state.latency_ratio.max(attempt.work_ms / objective.as_ms());
        let overdue_after = objective * (OVERDUE_FACTOR * expected_ratio).max(min_ratio);
        let is_unresponsive = server.last_response_at < attempt.sent_at && !attempt.is_streaming_in;
        is_unresponsive && now.since(attempt.sent_at) > overdue_after
    }

    /// Whether an attempt can be cancelled in favour of a retry of its request.
    fn can_retry_instead(&self, now: Time, key: AttemptKey) -> bool {
        let Some(pending) = self.requests.pending.get(&key.request) else { return false };
        let is_repeatable = self.class_of(pending).class.effect != Effect::AtMostOnce;
        let is_latest = key.attempt.0 as usize + 1 == pending.attempts.len();
        let has_attempts_left = pending.attempts.len() < pending.max_attempts;
        is_repeatable
            && self.settings.cancel
            && is_latest
            && has_attempts_left
            && self.retry_budget.can_pay(RETRY_COST)
            && !self.cannot_meet_deadline(now, pending)
    }
}
