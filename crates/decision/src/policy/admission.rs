//! Admission of requests and their final responses.

use super::requests::PendingRequest;
use super::Balancer;
use crate::api::{Action, ClassId, Request, RequestId, Span, Time};

/// A response is expected to take at least this fraction of its class's usual latency.
const MIN_LATENCY_FRACTION: f64 = 0.7;

impl Balancer {
    /// Counts a new request, and then dispatches, queues or finishes it.
    pub(super) fn admit(&mut self, now: Time, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        if !self.classes.contains_key(&request.class) {
            actions.push(Action::Reject { request: id, retry_after: None });
            return;
        }
        if self.requests.pending.contains_key(&id) {
            return;
        }
        let pending = self.count_request(now, request);
        let cannot_meet_deadline = self.cannot_meet_deadline(now, &pending);
        self.requests.pending.insert(id, pending);
        self.retry_budget.deposit();
        self.outliers.recovery_budget.deposit();
        if cannot_meet_deadline {
            self.finish(now, id, actions);
        } else if !self.dispatch(now, id, actions) {
            self.enqueue(now, id, actions);
        }
    }

    /// Counts a request as traffic of its class and tenant, and returns it as a pending request.
    fn count_request(&mut self, now: Time, request: Request) -> PendingRequest {
        let state = self.classes.get_mut(&request.class).expect("admit has checked that the class exists");
        let class = &state.class;
        let timeout = request.client_timeout;
        let is_first = state.usual_timeout.is_first_attempt(timeout, self.settings.event_interval);
        // The latency objective is counted from the client's first attempt.
        let elapsed = if is_first { Span::ZERO } else { class.deadline.saturating_sub(timeout) };
        let deadline = now + request.time_left;
        let objective_deadline = (now + class.latency_objective.saturating_sub(elapsed)).min(deadline);
        let objective_ms = if is_first { class.latency_objective.as_ms() } else { 0.0 };
        let decay = self.demand.record_request(now, objective_ms);
        self.tenant_usage.record_request(request.tenant, decay);
        PendingRequest {
            is_over_quota: self.is_over_quota(&request),
            request,
            deadline,
            objective_deadline,
            attempts: Vec::new(),
            is_bound_to_stream: false,
            is_body_consumed: false,
            max_attempts: self.settings.max_attempts as usize,
            had_selection: false,
        }
    }

    /// Restarts the deadlines of a request whose last part has arrived, which may be long after it was
    /// dispatched.
    pub(super) fn request_complete(&mut self, now: Time, id: RequestId, time_left: Span) {
        let Some(pending) = self.requests.pending.get_mut(&id) else { return };
        pending.request.is_streaming_in = false;
        let latency_objective = self.classes[&pending.request.class].class.latency_objective;
        pending.restart_deadlines(now, time_left, latency_objective);
        for attempt in self.requests.attempts_in_flight_mut(id) {
            attempt.sent_at = now;
            if std::mem::take(&mut attempt.is_streaming_in) {
                self.endpoints[attempt.server].in_flight += 1;
            }
        }
    }

    /// Whether the response to a request that is dispatched now would be too late to count.
    pub(super) fn cannot_meet_deadline(&self, now: Time, pending: &PendingRequest) -> bool {
        let state = self.class_of(pending);
        let min_latency = state.class.latency_objective * (MIN_LATENCY_FRACTION * state.latency_ratio);
        let counts_when_late = state.class.late_weight_share > 0.0;
        let useful_until = if counts_when_late { pending.deadline } else { pending.objective_deadline };
        now + min_latency >= useful_until
    }

    /// Gives the final response: a rejection if the client can safely retry, and a failure otherwise. The
    /// balancer gives final responses only here and for unknown classes.
    pub(super) fn finish(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.pending.remove(&id) else { return };
        if self.retry_rules(&pending, now).may_reject {
            let retry_after = self.retry_after(now, pending.request.class);
            let retry_after = self.settings.retry_after.then_some(retry_after);
            actions.push(Action::Reject { request: id, retry_after });
        } else {
            actions.push(Action::Fail { request: id });
        }
    }

    /// After how long a request of this class is likely to find capacity: the usual latency or, if all
    /// servers are ejected and this is longer, the time until the first recovery probe.
    fn retry_after(&self, now: Time, class: ClassId) -> Span {
        let usual_latency = Span::from_ms(self.classes[&class].usual_latency_ms());
        let ejection = |&server: &usize| self.endpoints[server].ejection.as_ref();
        let ejections = self.endpoints.serving.iter().map(ejection);
        // `None` if there is no server, or if one of them is not ejected.
        let first_probe = ejections
            .map(|ejection| ejection.map(|ejection| ejection.next_probe_at.since(now)))
            .min()
            .flatten();
        usual_latency.max(first_probe.unwrap_or(usual_latency)).min(self.settings.max_retry_after)
    }
}
