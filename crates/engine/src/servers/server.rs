//! The state of one server in a pool.

use crate::endpoint_source::{EndpointInfo, EndpointState};
use crate::timing::stalled_since;
use crate::upstream::{EndpointAddress, Incarnation};
use heronhoist_decision::{Endpoint, Outcome, ServerId, Time};
use std::time::Duration;
use tokio::time::Instant;

/// Nothing is sent to a draining or removed server in this last part of its grace period: the process may stall for
/// up to 0.15 s between its last clock read and its write, and the transmission to the server takes time too.
const DRAIN_MARGIN: Duration = Duration::from_millis(200);
/// The number of consecutive attempts and health checks without a response after which a server counts as
/// unreachable. One or two may be caused by a single broken connection.
const UNREACHABLE_THRESHOLD: u32 = 3;

pub(super) struct Server<A> {
    pub(super) endpoint: EndpointAddress<A>,
    pub(super) is_serving: bool,
    /// Whether it is no longer in the list, as opposed to draining.
    pub(super) is_removed: bool,
    /// When this process first read that the server is draining or removed.
    unavailable_since: Option<Instant>,
    started_at: Option<Time>,
    /// The number of the list in which its present incarnation first appeared.
    pub(super) incarnation_list: u64,
    /// Its last entry for the decision module.
    pub(super) entry: Option<Endpoint>,
    /// Whether the decision module has been told that another server has taken its address.
    pub(super) is_hidden: bool,
    /// The number of attempts and health checks in flight to it.
    pub(super) in_flight: usize,
    /// The number of attempts and health checks without a response since its last response.
    consecutive_unanswered: u32,
}

impl<A: Clone + PartialEq> Server<A> {
    pub(super) fn new(id: ServerId, info: &EndpointInfo<A>, list_number: u64) -> Self {
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
            incarnation_list: list_number,
            entry: None,
            is_hidden: false,
            in_flight: 0,
            consecutive_unanswered: 0,
        }
    }

    /// Returns whether an entry of an endpoint list describes another incarnation than the current one.
    pub(super) fn is_other_incarnation(&self, info: &EndpointInfo<A>) -> bool {
        self.endpoint.address != info.address
            || self.endpoint.dialect != info.dialect
            || self.started_at != info.started_at
    }

    /// Begins the incarnation that an entry describes. Attempts in flight continue with the incarnation they began
    /// with.
    pub(super) fn begin_incarnation(&mut self, info: &EndpointInfo<A>, list_number: u64) {
        self.incarnation_list = list_number;
        self.endpoint = EndpointAddress {
            server: self.endpoint.server,
            address: info.address.clone(),
            incarnation: self.endpoint.incarnation.next(),
            dialect: info.dialect,
        };
        self.started_at = info.started_at;
        self.consecutive_unanswered = 0;
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
                // Data that is read after a stall of the event loop may have arrived right after its last iteration.
                let since = || stalled_since().unwrap_or_else(Instant::now);
                self.unavailable_since.get_or_insert_with(since);
            }
        }
    }

    /// Returns whether the first byte of an attempt may still be written to it.
    pub(super) fn may_send(&self, drain_grace: Duration) -> bool {
        self.unavailable_since.is_none_or(|since| since.elapsed() + DRAIN_MARGIN < drain_grace)
    }

    /// Returns whether nothing is in flight to it and nothing will be sent to it. `is_receiving_from` returns whether a
    /// response of a server is still being received.
    pub(super) fn is_drained(
        &self,
        drain_grace: Duration,
        is_receiving_from: impl Fn(ServerId) -> bool,
    ) -> bool {
        !self.is_in_use(is_receiving_from) && !self.may_send(drain_grace)
    }

    /// Returns whether it was removed at least `retention` ago and nothing is in flight to it.
    pub(super) fn is_expired(
        &self,
        retention: Duration,
        is_receiving_from: impl Fn(ServerId) -> bool,
    ) -> bool {
        let has_been_removed_for = |since: Instant| since.elapsed() >= retention;
        self.is_removed
            && self.unavailable_since.is_some_and(has_been_removed_for)
            && !self.is_in_use(is_receiving_from)
    }

    fn is_in_use(&self, is_receiving_from: impl Fn(ServerId) -> bool) -> bool {
        self.in_flight > 0 || is_receiving_from(self.endpoint.server)
    }

    pub(super) fn record_outcome(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Success | Outcome::ServerError | Outcome::Rejected => self.consecutive_unanswered = 0,
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::ConnectionReset => {
                self.consecutive_unanswered = self.consecutive_unanswered.saturating_add(1);
            }
            // These outcomes provide no information about the server.
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Returns the share of its capacity that is missing, from 0 to 1. `capacity_share` returns the share of capacity
    /// of a server that started at the given time.
    pub(super) fn missing_share(&self, capacity_share: impl Fn(Time) -> f64) -> f64 {
        let is_reachable = self.is_serving && self.consecutive_unanswered < UNREACHABLE_THRESHOLD;
        if !is_reachable {
            return 1.0;
        }
        self.started_at.map_or(0.0, |started_at| 1.0 - capacity_share(started_at))
    }
}
