//! The reasons why a pool rejects a request.

use heronhoist_decision::Span;

/// The delay before a retry if a pool has no endpoint list or no capacity, in microseconds. A first list takes about
/// 250 ms to arrive.
pub(super) const RETRY_AFTER: Span = Span(250_000);

/// The reason why a pool rejects a request. Nothing of the request was sent, and the frontend responds at once. The
/// `Span` is the delay before a useful retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// A request with the same correlation id, or an attempt of one, is still open; servers could not distinguish the
    /// two.
    #[error("a request with the same correlation id is open")]
    CorrelationIdInUse,
    /// The pool has no endpoint list yet.
    #[error("no endpoint list is available yet")]
    NoEndpoints(Span),
    /// No serving server speaks a dialect that the request can be encoded in.
    #[error("no serving server speaks the request's dialects")]
    NoCommonDialect(Span),
    /// The pool has reached its maximum number of open requests.
    #[error("the pool has reached its maximum number of open requests")]
    PoolFull(Span),
    /// The pool is closed and no longer accepts requests.
    #[error("the pool is closed")]
    PoolClosed(Span),
}

impl Rejection {
    /// Returns the delay before a retry, if a retry is useful.
    #[must_use]
    pub fn retry_after(self) -> Option<Span> {
        match self {
            Rejection::CorrelationIdInUse => None,
            Rejection::NoEndpoints(after)
            | Rejection::NoCommonDialect(after)
            | Rejection::PoolFull(after)
            | Rejection::PoolClosed(after) => Some(after),
        }
    }
}
