//! Requests without a final response, and attempts in flight.

use super::endpoints::ServerSlot;
use crate::api::{AttemptNumber, CellId, ClassId, Request, RequestId, Span, Time, ZoneId};
use std::collections::BTreeMap;

/// Pending requests and attempts in flight. An attempt can remain in flight after its request has got its
/// final response.
#[derive(Default)]
pub(super) struct Requests {
    pub(super) pending: BTreeMap<RequestId, PendingRequest>,
    pub(super) in_flight: BTreeMap<AttemptKey, InFlightAttempt>,
}

/// Identifies an attempt; ordered by request, then by attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptKey {
    pub(super) request: RequestId,
    pub(super) attempt: AttemptNumber,
}

/// A request that has been admitted and has no final response yet.
pub(super) struct PendingRequest {
    pub(super) request: Request,
    /// When the client stops waiting.
    pub(super) deadline: Time,
    /// When its latency objective has passed. A later response earns less than its full weight, or nothing.
    pub(super) objective_deadline: Time,
    pub(super) attempts: Vec<AttemptRecord>,
    /// Whether a streaming response has begun, so that no other attempt is possible.
    pub(super) is_bound_to_stream: bool,
    /// Whether part of its body has been discarded, so that it cannot be sent again.
    pub(super) is_body_consumed: bool,
    /// The maximum number of attempts in the settings when it arrived.
    pub(super) max_attempts: usize,
    /// Whether it counted as over its tenant's quota when it arrived.
    pub(super) is_over_quota: bool,
    /// Whether candidates have been drawn for it before.
    pub(super) had_selection: bool,
}

/// An attempt in the history of a pending request.
#[derive(Debug, Clone)]
pub(super) struct AttemptRecord {
    pub(super) server: ServerSlot,
    pub(super) zone: ZoneId,
    pub(super) cell: CellId,
    pub(super) sent_at: Time,
    pub(super) state: AttemptState,
}

/// What is known about the execution of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptState {
    InFlight,
    NotExecuted,
    MaybeExecuted,
}

/// An attempt that has not ended.
pub(super) struct InFlightAttempt {
    pub(super) server: ServerSlot,
    pub(super) class: ClassId,
    pub(super) sent_at: Time,
    /// Whether it is a recovery probe of an ejected server.
    pub(super) is_recovery_probe: bool,
    /// Whether the request's body is still arriving, so that it is no load for the server yet.
    pub(super) is_streaming_in: bool,
    /// Estimated work in milliseconds.
    pub(super) work_ms: f64,
}

impl Requests {
    /// Prevents further attempts for a request whose streaming response has begun.
    pub(super) fn bind_to_stream(&mut self, request: RequestId, attempt: AttemptNumber) {
        if let Some(pending) = self.pending.get_mut(&request) {
            pending.is_bound_to_stream = (attempt.0 as usize) < pending.attempts.len();
        }
    }

    pub(super) fn record_body_consumed(&mut self, request: RequestId, is_body_consumed: bool) {
        if let Some(pending) = self.pending.get_mut(&request) {
            pending.is_body_consumed |= is_body_consumed;
        }
    }

    /// The attempts in flight for a request.
    pub(super) fn attempts_in_flight_mut(
        &mut self,
        request: RequestId,
    ) -> impl Iterator<Item = &mut InFlightAttempt> {
        let first = AttemptKey { request, attempt: AttemptNumber(0) };
        let last = AttemptKey { request, attempt: AttemptNumber(u32::MAX) };
        self.in_flight.range_mut(first..=last).map(|(_, attempt)| attempt)
    }

    /// Whether a pending request or an attempt in flight refers to a server.
    pub(super) fn refer_to_server(&self, server: ServerSlot) -> bool {
        let mut pending = self.pending.values();
        self.in_flight.values().any(|attempt| attempt.server == server)
            || pending.any(|request| request.has_tried(server))
    }

    /// Whether a pending request or an attempt in flight belongs to a class.
    pub(super) fn refer_to_class(&self, class: ClassId) -> bool {
        self.pending.values().any(|pending| pending.request.class == class)
            || self.in_flight.values().any(|attempt| attempt.class == class)
    }
}

impl PendingRequest {
    /// Restarts the client's timeout and the latency objective at `now`.
    pub(super) fn restart_deadlines(&mut self, now: Time, time_left: Span, latency_objective: Span) {
        self.deadline = now + time_left;
        self.objective_deadline = (now + latency_objective).min(self.deadline);
    }

    pub(super) fn has_tried(&self, server: ServerSlot) -> bool {
        self.attempts.iter().any(|attempt| attempt.server == server)
    }

    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state == AttemptState::InFlight)
    }
}
