//! What the engine asks of the side that speaks to servers in their own protocol.

use heronhoist_decision::{DialectId, Outcome, ServerId};
use std::cell::Cell;
use std::fmt::Debug;
use std::future::Future;
use std::pin::Pin;
use tokio::time::Instant;

/// Counts the restarts and moves of one server, and the changes of its dialect. What belongs to an earlier incarnation,
/// such as an idle connection, must not be used for a later one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The incarnation after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Incarnation(self.0 + 1)
    }
}

/// Where a server is reached, and in which incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointAddress<A> {
    /// The server.
    pub server: ServerId,
    /// Where it listens.
    pub address: A,
    /// The incarnation that listens there.
    pub incarnation: Incarnation,
    /// The dialect that this incarnation speaks.
    pub dialect: DialectId,
}

/// How far a streaming request body has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyProgress {
    /// More of it is to come.
    Incomplete,
    /// Its last byte arrived at this time.
    Complete(Instant),
    /// The rest of it will never arrive.
    Failed,
}

/// The body of a request that was submitted before its last byte had arrived.
pub trait StreamingBody {
    /// How far it has arrived.
    fn progress(&self) -> BodyProgress;

    /// Whether an attempt has consumed a part that is no longer buffered, so that the request can't be sent again.
    fn is_consumed(&self) -> bool;

    /// Since when the client may have sent the whole body while nobody reads it. `None` once somebody has read on, or
    /// if the body is too long to be under way whole.
    fn unread_since(&self) -> Option<Instant> {
        None
    }

    /// Waits until the last byte has arrived or it is certain that it never will.
    fn finished(&self) -> Pin<Box<dyn Future<Output = BodyProgress> + '_>>;
}

/// All that the engine asks of a request.
pub trait RequestPayload {
    /// The body, if it had not arrived whole when the request was submitted.
    fn streaming_body(&self) -> Option<&dyn StreamingBody> {
        None
    }
}

/// How an attempt or a health check ended.
#[derive(Debug)]
pub struct AttemptResult<R> {
    /// The outcome in the decision module's terms.
    pub outcome: Outcome,
    /// The server's load report, if a readable one came; its values in the order of the settings.
    pub load_report: Option<Vec<f64>>,
    /// The response, if the outcome is a success.
    pub response: Option<R>,
}

impl<R> From<Outcome> for AttemptResult<R> {
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, load_report: None, response: None }
    }
}

/// The send gate: an attempt asks it right before its first byte, and tells it if that byte was not written after all.
pub struct Gate<'a> {
    is_sent: &'a Cell<bool>,
    may_send: &'a dyn Fn() -> bool,
    /// When the attempt times out.
    pub deadline: Instant,
}

impl<'a> Gate<'a> {
    /// A gate that opens while `may_send` holds. `is_sent` shows whether a byte counts as written.
    pub fn new(is_sent: &'a Cell<bool>, may_send: &'a dyn Fn() -> bool, deadline: Instant) -> Self {
        Gate { is_sent, may_send, deadline }
    }

    /// Whether the first byte may be written now. If so, it counts as written from here on.
    ///
    /// To be asked when the connection is up, because while it was being made the server may have begun to drain, the
    /// client may have disconnected, and the time in which a retry is deduplicated may have passed.
    pub fn open(&self) -> bool {
        let may_send = (self.may_send)();
        self.is_sent.set(may_send);
        may_send
    }

    /// Takes [`open`](Gate::open) back: no byte was written after all.
    pub fn mark_unsent(&self) {
        self.is_sent.set(false);
    }
}

/// Speaks to servers in their own protocol. Dropping the future of an attempt or a health check cancels it at once.
pub trait Upstream: 'static {
    /// How a server is reached.
    type Address: Clone + PartialEq + Debug + 'static;
    /// A request.
    type Request: RequestPayload + 'static;
    /// A server's response.
    type Response: 'static;

    /// Sends one attempt, once `gate` is [open](Gate::open). Its outcome decides whether the request may be sent
    /// again, so an outcome that [never ran](Outcome::never_ran) needs proof.
    fn attempt(
        &self,
        endpoint: EndpointAddress<Self::Address>,
        request: &Self::Request,
        gate: Gate<'_>,
    ) -> impl Future<Output = AttemptResult<Self::Response>>;

    /// Checks a server's health; ends within a bounded time.
    fn health_check(
        &self,
        endpoint: EndpointAddress<Self::Address>,
    ) -> impl Future<Output = AttemptResult<Self::Response>>;

    /// Closes the idle connections to a server.
    fn close_idle(&self, server: ServerId);

    /// Closes the idle connections to servers that no longer serve in the incarnation that they were made to, as
    /// `is_current` tells. Called periodically.
    fn close_stale(&self, is_current: &dyn Fn(ServerId, Incarnation) -> bool);
}
