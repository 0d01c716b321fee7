//! Handles the end of attempts: updates the statistics of the server and the class, and retries or finishes
//! the request.

use super::class_stats::move_towards;
use super::concurrency_limit::{ResponseLatency, TARGET_LATENCY_RATIO};
use super::endpoints::{Backoff, Server};
use super::requests::{AttemptKey, AttemptState, InFlightAttempt};
use super::retry::retry_cost;
use super::Balancer;
use crate::api::{Action, LoadReport, Outcome, Span, Time};

/// The weight of a new response in a server's failure rate.
const FAILURE_GAIN: f64 = 0.05;
/// The weight of a new response in a server's slowdown ratio if there are many balancers. It is higher,
/// because each balancer sees few responses.
const LARGE_FLEET_SLOWDOWN_GAIN: f64 = 0.2;
/// The range to which slowdown ratios are clamped.
const MIN_SLOWDOWN_RATIO: f64 = 0.05;
const MAX_SLOWDOWN_RATIO: f64 = 8.0;
/// The minimum latency ratio of a class that a server is compared with.
const MIN_CLASS_LATENCY_RATIO: f64 = 0.001;
/// The minimum capacity fraction that a backoff is computed with.
const MIN_BACKOFF_CAPACITY: f64 = 0.01;
/// The maximum backoff, as a fraction of the time for which a server that is warming up tolerates an
/// overload.
const MAX_BACKOFF_FRACTION: f64 = 0.5;
const BACKOFF_FACTOR: f64 = 2.0;

/// The result of an attempt or a health check.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptResult<'a> {
    pub(super) outcome: Outcome,
    pub(super) elapsed: Span,
    pub(super) report: Option<&'a LoadReport>,
}

impl Balancer {
    /// Records that a server has begun its response to an attempt, so that the attempt does not count as
    /// overdue.
    pub(super) fn response_begun(&mut self, now: Time, key: AttemptKey) {
        if let Some(attempt) = self.requests.in_flight.get(&key) {
            self.endpoints[attempt.server].last_response_at = now;
        }
    }

    /// Handles the end of an attempt: updates statistics, and retries or finishes its request unless the
    /// request already has its final response.
    pub(super) fn attempt_ended(
        &mut self,
        now: Time,
        key: AttemptKey,
        result: AttemptResult,
        is_request_finished: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.requests.in_flight.remove(&key) else { return };
        self.endpoints[attempt.server].in_flight -= u32::from(!attempt.is_streaming_in);
        if let Some(report) = result.report {
            self.read_load_report(attempt.server, report);
        }
        self.update_statistics(now, &attempt, result, actions);
        if is_request_finished {
            self.requests.pending.remove(&key.request);
        } else {
            self.attempt_failed(now, key, &attempt, result, actions);
        }
        self.dispatch_queued(now, actions);
    }

    /// Retries or finishes the request of a failed attempt, if it is still pending.
    fn attempt_failed(
        &mut self,
        now: Time,
        key: AttemptKey,
        attempt: &InFlightAttempt,
        result: AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.pending.get_mut(&key.request) else { return };
        let is_proved = result.outcome.proves_not_executed();
        let state = if is_proved { AttemptState::NotExecuted } else { AttemptState::MaybeExecuted };
        pending.attempts[key.attempt.0 as usize].state = state;
        let latency_objective = self.classes[&attempt.class].class.latency_objective;
        if pending.request.is_streaming_in {
            // It waits for a server again. The wait is limited as if the request were complete.
            pending.restart_deadlines(now, pending.request.time_left, latency_objective);
        }
        let cost = retry_cost(result.outcome, result.elapsed, latency_objective);
        self.retry_or_finish(now, key.request, cost, actions);
    }

    /// Updates the statistics of the server and the class of an attempt, and ejects the server if it is an
    /// outlier.
    fn update_statistics(
        &mut self,
        now: Time,
        attempt: &InFlightAttempt,
        result: AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let is_large_fleet = self.is_large_fleet();
        let capacity_fraction = self.capacity_fraction(now, attempt.server);
        let is_warm = capacity_fraction == 1.0;
        let AttemptResult { outcome, elapsed, .. } = result;
        let Some(class) = self.classes.get_mut(&attempt.class) else { return };
        let server = &mut self.endpoints[attempt.server];
        let objective_ms = class.class.latency_objective.as_ms();
        let latency_ratio = latency_ratio(outcome, elapsed, objective_ms);
        server.record_outcome(now, outcome);
        if outcome == Outcome::Success {
            class.record_response(latency_ratio);
            self.demand.record_response(objective_ms);
            let slowdown_ratio = latency_ratio / class.latency_ratio.max(MIN_CLASS_LATENCY_RATIO);
            server.record_slowdown(slowdown_ratio, is_large_fleet);
        }
        let has_latency = matches!(outcome, Outcome::Success | Outcome::TimedOut | Outcome::Cancelled);
        if has_latency && is_warm && !server.is_ejected() {
            self.machine_types.record(server.endpoint.machine_type, elapsed, attempt.work_ms);
        }
        let is_overloaded = matches!(outcome, Outcome::Rejected | Outcome::TimedOut);
        if is_overloaded && capacity_fraction < 1.0 {
            let capacity = capacity_fraction.max(MIN_BACKOFF_CAPACITY);
            let min_backoff = Span::from_ms(class.usual_latency_ms()) * (1.0 / capacity);
            let max_backoff = self.settings.overload_tolerance * MAX_BACKOFF_FRACTION;
            server.back_off(now, min_backoff, max_backoff, is_large_fleet);
        }
        let latency = ResponseLatency {
            target_ratio: latency_ratio * TARGET_LATENCY_RATIO / class.target_latency_ratio(),
            is_late: latency_ratio >= 1.0,
        };
        if latency_ratio > 0.0 {
            server.adjust_limit(latency);
        }
        if attempt.is_recovery_probe {
            self.recovery_probe_ended(now, attempt, outcome, latency);
        } else if let Some(reason) = self.ejection_reason(attempt.server, outcome, is_warm) {
            self.eject(now, attempt.server, reason, actions);
        }
    }

    /// Handles the end of a recovery probe. If the server has recovered, its statistics restart with this
    /// response.
    fn recovery_probe_ended(
        &mut self,
        now: Time,
        attempt: &InFlightAttempt,
        outcome: Outcome,
        latency: ResponseLatency,
    ) {
        let has_recovered = outcome == Outcome::Success && !latency.is_late;
        if has_recovered {
            let server = &mut self.endpoints[attempt.server];
            server.latency_ratio = latency.target_ratio;
            server.slowdown_ratio = 1.0;
        }
        self.finish_recovery_probe(now, attempt.server, has_recovered);
    }
}

/// The latency of an attempt as a fraction of its latency objective. It is at most 1, so that one expensive
/// request does not weigh as much as ten, and 0 if the outcome gives no latency. A cancelled attempt counts
/// as late, because its server may still be executing it.
fn latency_ratio(outcome: Outcome, elapsed: Span, objective_ms: f64) -> f64 {
    match outcome {
        Outcome::Success => (elapsed.as_ms() / objective_ms).min(1.0),
        Outcome::TimedOut | Outcome::Rejected | Outcome::Cancelled => 1.0,
        Outcome::ServerError | Outcome::ConnectFailed | Outcome::ConnectionReset | Outcome::NotSent => 0.0,
    }
}

impl Server {
    /// Counts successes and failures. A rejection is not counted as a failure: a full server is only sent
    /// fewer requests.
    fn record_outcome(&mut self, now: Time, outcome: Outcome) {
        match outcome {
            Outcome::NotSent | Outcome::Cancelled | Outcome::TimedOut => {}
            Outcome::Rejected => self.last_response_at = now,
            Outcome::Success => {
                self.consecutive_failures = 0;
                self.backoff = None;
                self.last_response_at = now;
                self.failure_rate -= FAILURE_GAIN * self.failure_rate;
            }
            Outcome::ConnectFailed => self.record_failure(),
            Outcome::ServerError | Outcome::ConnectionReset => {
                self.last_response_at = now;
                self.record_failure();
            }
        }
    }

    fn record_failure(&mut self) {
        self.consecutive_failures += 1;
        self.failure_rate += FAILURE_GAIN * (1.0 - self.failure_rate);
    }

    fn record_slowdown(&mut self, slowdown_ratio: f64, is_large_fleet: bool) {
        let slowdown_ratio = slowdown_ratio.clamp(MIN_SLOWDOWN_RATIO, MAX_SLOWDOWN_RATIO);
        if is_large_fleet {
            self.slowdown_ratio += LARGE_FLEET_SLOWDOWN_GAIN * (slowdown_ratio - self.slowdown_ratio);
        } else {
            move_towards(&mut self.slowdown_ratio, slowdown_ratio);
        }
    }

    /// Starts or extends the backoff of a server that was overloaded while warming up. With many balancers,
    /// the duration doubles each time.
    fn back_off(&mut self, now: Time, min_backoff: Span, max_backoff: Span, is_large_fleet: bool) {
        let duration = match self.backoff {
            None => min_backoff,
            Some(backoff) if is_large_fleet && now >= backoff.until => backoff.duration * BACKOFF_FACTOR,
            Some(backoff) => backoff.duration,
        };
        let duration = duration.min(max_backoff).max(min_backoff);
        self.backoff = Some(Backoff { until: now + duration, duration });
    }
}
