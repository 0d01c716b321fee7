//! The interface between the engine and the code that communicates with servers in their protocol.

use heronhoist_decision::{DialectId, Outcome, ServerId};
use std::cell::Cell;
use std::fmt::Debug;
use std::future::Future;
use std::hash::Hash;
use std::pin::Pin;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Counts the restarts, address changes and dialect changes of one server. Resources of an earlier incarnation, such
/// as an idle connection, must not be used for a later one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Returns the next incarnation.
    #[must_use]
    pub fn next(self) -> Self {
        Incarnation(self.0 + 1)
    }
}

/// The address of a server, and the incarnation that listens on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointAddress<A> {
    /// The server's id.
    pub server: ServerId,
    /// The address that the server listens on.
    pub address: A,
    /// The incarnation that listens on the address.
    pub incarnation: Incarnation,
    /// The dialect that this incarnation speaks.
    pub dialect: DialectId,
}

/// How much of a streaming request body has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyProgress {
    /// More of the body is expected.
    Incomplete,
    /// The last byte arrived at this time.
    Complete(Instant),
    /// The rest of the body will never arrive.
    Failed,
}

/// The body of a request that was submitted before the body's last byte had arrived.
pub trait StreamingBody {
    /// Returns how much of the body has arrived.
    fn progress(&self) -> BodyProgress;

    /// Returns whether an attempt has consumed a part that is no longer buffered, so that the request can't be sent
    /// again.
    fn is_consumed(&self) -> bool;

    /// Returns the earliest time at which the last byte can have arrived, by what is known now. It is the present if some
    /// of the body certainly has not arrived. (What the client has sent may lie unread in the transport's buffers, because
    /// the server does not take it.)
    fn earliest_completion(&self) -> Instant {
        Instant::now()
    }

    /// Waits until the last byte has arrived or will certainly never arrive.
    fn finished(&self) -> Pin<Box<dyn Future<Output = BodyProgress> + '_>>;
}

/// What the engine needs to know about a request.
pub trait RequestPayload {
    /// Returns the body if it had not completely arrived when the request was submitted.
    fn streaming_body(&self) -> Option<&dyn StreamingBody> {
        None
    }
}

/// The result of an attempt or a health check.
#[derive(Debug)]
pub struct AttemptResult<R> {
    /// The outcome as reported to the decision module.
    pub outcome: Outcome,
    /// The values of the server's load report in the order of the settings, if a valid report was received.
    pub load_report: Option<Vec<f64>>,
    /// The response, if the outcome is a success.
    pub response: Option<R>,
}

impl<R> From<Outcome> for AttemptResult<R> {
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, load_report: None, response: None }
    }
}

/// What an attempt reports of a response that is not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseProgress {
    /// A part of it has arrived, and the rest is awaited.
    Begun,
    /// No more of it has arrived for a while.
    Stalled,
}

/// Connects an attempt with the engine while its response arrives.
pub struct ResponseWatch<'a> {
    /// Called with the progress of the response.
    pub report: &'a dyn Fn(ResponseProgress),
    /// Notified once when the attempt's time is up.
    pub time_up: &'a Notify,
}

/// The send gate. An attempt opens it right before it writes its first byte, and reports to it if no byte was
/// written.
pub struct Gate<'a> {
    is_sent: &'a Cell<bool>,
    may_send: &'a dyn Fn() -> bool,
    watch: Option<ResponseWatch<'a>>,
    /// When the attempt times out.
    pub deadline: Instant,
}

impl<'a> Gate<'a> {
    /// Creates a gate that opens if `may_send` returns true. `is_sent` records whether a byte counts as written.
    pub fn new(is_sent: &'a Cell<bool>, may_send: &'a dyn Fn() -> bool, deadline: Instant) -> Self {
        Gate { is_sent, may_send, watch: None, deadline }
    }

    /// Adds the connection that is used while the response arrives.
    #[must_use]
    pub fn with_watch(mut self, watch: ResponseWatch<'a>) -> Self {
        self.watch = Some(watch);
        self
    }

    /// Reports how far a response has arrived that is not complete.
    pub fn report(&self, progress: ResponseProgress) {
        if let Some(watch) = &self.watch {
            (watch.report)(progress);
        }
    }

    /// Waits until the attempt's time is up. The attempt is then polled once more: if the part of a response that has
    /// arrived can be forwarded, it has to end with that.
    pub async fn time_up(&self) {
        match &self.watch {
            Some(watch) => watch.time_up.notified().await,
            None => std::future::pending().await,
        }
    }

    /// Returns whether the first byte may be written now. If so, it counts as written from now on.
    ///
    /// Must be called when the connection is established: in the meantime the server may have begun to drain, the
    /// client may have disconnected, or the deduplication window for a retry may have ended.
    pub fn open(&self) -> bool {
        let may_send = (self.may_send)();
        self.is_sent.set(may_send);
        may_send
    }

    /// Records that no byte was written after [`open`](Gate::open).
    pub fn mark_unsent(&self) {
        self.is_sent.set(false);
    }
}

/// Communicates with servers in their protocol. Dropping the future of an attempt or a health check cancels it at
/// once.
pub trait Upstream: 'static {
    /// The address of a server.
    type Address: Clone + Eq + Hash + Debug + 'static;
    /// A request to a server.
    type Request: RequestPayload + 'static;
    /// A server's response.
    type Response: 'static;

    /// Sends one attempt once [`Gate::open`] has returned true. The outcome determines whether the request may be
    /// sent again, so an outcome for which [`Outcome::proves_not_executed`] holds requires proof that the request did not run.
    fn attempt(
        &self,
        endpoint: EndpointAddress<Self::Address>,
        request: &Self::Request,
        gate: Gate<'_>,
    ) -> impl Future<Output = AttemptResult<Self::Response>>;

    /// Checks a server's health. Must end within a bounded time.
    fn health_check(
        &self,
        endpoint: EndpointAddress<Self::Address>,
    ) -> impl Future<Output = AttemptResult<Self::Response>>;

    /// Returns whether a response of a server is still being received although its attempt has ended. That is so for a
    /// long response, which is forwarded as it arrives.
    fn is_receiving_from(&self, server: ServerId) -> bool {
        let _ = server;
        false
    }

    /// Closes the idle connections to a server.
    fn close_idle(&self, server: ServerId);

    /// Closes the idle connections for which `is_current` returns false: their server is no longer serving, or no
    /// longer in the incarnation that they were opened to. Called periodically.
    fn close_stale(&self, is_current: &dyn Fn(ServerId, Incarnation) -> bool);
}
