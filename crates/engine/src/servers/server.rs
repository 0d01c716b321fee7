//! What a pool knows of one server.

use crate::endpoint_source::{EndpointInfo, EndpointState};
use crate::timing::stalled_since;
use crate::upstream::{EndpointAddress, Incarnation};
use heronhoist_decision::{Outcome, ServerId, Time};
use std::time::Duration;
use tokio::time::Instant;

/// A server that drains or is removed is sent nothing in this last part of its grace: a process may be held up for 0.15 s
/// between its last look at the clock and its write, and the way to the server takes a little too.
const DRAIN_RESERVE: Duration = Duration::from_millis(200);
/// A server that has not answered so many attempts and health checks in a row can't be reached, as far as this process
/// can tell. One or two may be the fault of a single connection.
const UNANSWERED_LIMIT: u32 = 3;

pub(super) struct Server<A> {
    pub(super) endpoint: EndpointAddress<A>,
    pub(super) is_serving: bool,
    /// Whether it is no longer in the list, and not only draining.
    pub(super) is_removed: bool,
    /// When this process first read that it drains or is removed.
    unavailable_since: Option<Instant>,
    started_at: Option<Time>,
    /// Attempts and health checks in flight to it.
    pub(super) in_flight: usize,
    /// Attempts and health checks since its last answer that ended without one.
    unanswered_in_a_row: u32,
}

impl<A: Clone + PartialEq> Server<A> {
    pub(super) fn new(id: ServerId, info: &EndpointInfo<A>) -> Self {
        Server {
            endpoint: EndpointAddress {
                server: id,
                address: info.address.clone(),
                incarnation: Incarnation::default(),
                dialect: info.dialect,
            },
            is_serving: false,
            is_removed: false,
            unavailable_since: None,
            started_at: info.started_at,
            in_flight: 0,
            unanswered_in_a_row: 0,
        }
    }

    /// Whether a list's line is about another incarnation than the one known here.
    pub(super) fn is_other_incarnation(&self, info: &EndpointInfo<A>) -> bool {
        self.endpoint.address != info.address
            || self.endpoint.dialect != info.dialect
            || self.started_at != info.started_at
    }

    /// Begins the incarnation that a list's line is about. Attempts that are in flight end as they began.
    pub(super) fn begin_incarnation(&mut self, info: &EndpointInfo<A>) {
        self.endpoint = EndpointAddress {
            server: self.endpoint.server,
            address: info.address.clone(),
            incarnation: self.endpoint.incarnation.next(),
            dialect: info.dialect,
        };
        self.started_at = info.started_at;
        self.unanswered_in_a_row = 0;
    }
}

impl<A> Server<A> {
    pub(super) fn set_state(&mut self, state: EndpointState) {
        self.is_removed = state == EndpointState::Removed;
        match state {
            EndpointState::Serving => {
                self.is_serving = true;
                self.unavailable_since = None;
            }
            EndpointState::Draining | EndpointState::Removed => {
                self.is_serving = false;
                // What is read after a stall of the event loop may have come right after its last turn.
                let since = || stalled_since().unwrap_or_else(Instant::now);
                self.unavailable_since.get_or_insert_with(since);
            }
        }
    }

    /// Whether something new may still be written to it: in a drain the first byte of an attempt counts.
    pub(super) fn may_send(&self, drain_grace: Duration) -> bool {
        self.unavailable_since.is_none_or(|since| since.elapsed() + DRAIN_RESERVE < drain_grace)
    }

    /// Whether nothing is in flight to it and nothing will be sent to it.
    pub(super) fn is_drained(&self, drain_grace: Duration) -> bool {
        self.in_flight == 0 && !self.may_send(drain_grace)
    }

    /// Whether it was removed at least `retention` ago and nothing is in flight to it.
    pub(super) fn is_expired(&self, retention: Duration) -> bool {
        let has_been_removed_for = |since: Instant| since.elapsed() >= retention;
        self.is_removed && self.in_flight == 0 && self.unavailable_since.is_some_and(has_been_removed_for)
    }

    pub(super) fn record_outcome(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Success | Outcome::ServerError | Outcome::Rejected => self.unanswered_in_a_row = 0,
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::ConnectionReset => {
                self.unanswered_in_a_row = self.unanswered_in_a_row.saturating_add(1);
            }
            // These say nothing about the server.
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// The share of its capacity that it lacks, from 0 to 1. `capacity_share` gives the share that a server has that
    /// started at a time.
    pub(super) fn missing_share(&self, capacity_share: impl Fn(Time) -> f64) -> f64 {
        let is_reachable = self.is_serving && self.unanswered_in_a_row < UNANSWERED_LIMIT;
        if !is_reachable {
            return 1.0;
        }
        self.started_at.map_or(0.0, |started_at| 1.0 - capacity_share(started_at))
    }
}
