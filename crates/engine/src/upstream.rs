//! What the engine asks of the side that speaks to servers.

use heronhoist_decision::{DialectId, Outcome, ServerId};
use std::cell::Cell;
use std::fmt::Debug;
use std::future::Future;
use std::pin::Pin;
use tokio::time::Instant;

/// A server's address, and which of its lives this is: what belongs to an earlier one is not used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointAddress<A> {
    /// The server.
    pub server: ServerId,
    /// Where it listens.
    pub address: A,
    /// Counts its restarts and moves, and changes of what it speaks.
    pub life: u64,
    /// What it speaks in that life.
    pub dialect: DialectId,
}

/// How far a request that came in parts has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyProgress {
    /// More of it is to come.
    Incomplete,
    /// Its last byte came then.
    Complete(Instant),
    /// It will not come whole.
    Failed,
}

/// A request whose last part had not come when it was submitted.
pub trait StreamingBody {
    /// How far it has come.
    fn state(&self) -> BodyProgress;
    /// QuotaShare of it went with an attempt and is not held any more, so that it can't be sent again.
    fn is_spent(&self) -> bool;
    /// Since when its client may have sent all of it with nobody reading on; `None` if somebody has, or if it can't have.
    fn unread_since(&self) -> Option<Instant> {
        None
    }
    /// Comes back when the last of it has come, or never will.
    fn ended(&self) -> Pin<Box<dyn Future<Output = BodyProgress> + '_>>;
}

/// A request as a front hands it over; the engine looks at nothing else of it.
pub trait RequestPayload {
    /// The request as it comes, if it was not whole from the start.
    fn arriving(&self) -> Option<&dyn StreamingBody> {
        None
    }
}

/// How an attempt or a probe ended.
#[derive(Debug)]
pub struct AttemptResult<A> {
    /// In the module's terms.
    pub outcome: Outcome,
    /// The load report, if a readable one came, in the order of the settings.
    pub report: Option<Vec<f64>>,
    /// The answer, if the outcome is a success.
    pub answer: Option<A>,
}

impl<A> From<Outcome> for AttemptResult<A> {
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, report: None, answer: None }
    }
}

/// What an attempt has to ask before its first byte, and tell after it.
pub struct Gate<'a> {
    sent: &'a Cell<bool>,
    lawful: &'a dyn Fn() -> bool,
    /// When the attempt is called off as timed out.
    pub until: Instant,
}

impl<'a> Gate<'a> {
    /// Open as long as `lawful` says so; `sent` shows whether a byte counts as written.
    pub fn new(sent: &'a Cell<bool>, lawful: &'a dyn Fn() -> bool, until: Instant) -> Self {
        Gate { sent, lawful, until }
    }

    /// Whether this server may still be sent something new, and the request still owes its answer. Asked when the first byte
    /// could go, since a server may have been told to drain, or a client have gone, while a connection was on its way. If so,
    /// a byte counts as written from here on.
    pub fn open(&self) -> bool {
        let lawful = (self.lawful)();
        self.sent.set(lawful);
        lawful
    }

    /// It has turned out that no byte was written after all.
    pub fn nothing_was_sent(&self) {
        self.sent.set(false);
    }
}

/// Speaks to servers in their own protocol. An attempt or a probe whose future is dropped is called off at once.
pub trait Upstream: 'static {
    /// How a server is reached.
    type Address: Clone + PartialEq + Debug + 'static;
    /// A request.
    type Call: RequestPayload + 'static;
    /// A server's answer.
    type Answer: 'static;

    /// Sends one attempt, once `gate` is [open](Gate::open). What it reports decides whether the request may be sent
    /// again, so an outcome that [never ran](Outcome::never_ran) needs proof.
    fn attempt(
        &self,
        place: EndpointAddress<Self::Address>,
        call: &Self::Call,
        gate: Gate<'_>,
    ) -> impl Future<Output = AttemptResult<Self::Answer>>;

    /// Asks a server how it is; ends within a bounded time.
    fn probe(
        &self,
        place: EndpointAddress<Self::Address>,
    ) -> impl Future<Output = AttemptResult<Self::Answer>>;

    /// Closes what rests of the connections to a server.
    fn close_idle(&self, server: ServerId);

    /// Closes connections that rest where they are of no use: `is_current` tells of a server and a life whether it
    /// serves and still is in that life. Called now and then.
    fn retire(&self, is_current: &dyn Fn(ServerId, u64) -> bool);
}
