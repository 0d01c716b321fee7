//! Why a request was not accepted.

use heronhoist_decision::Span;

/// When to retry with a pool that knows no server or has no capacity, in microseconds: a first list takes about 250 ms.
pub(super) const RETRY_AFTER: Span = Span(250_000);

/// Why a request was not accepted. Nothing of it has been sent; the frontend answers at once. The span is the time after
/// which a retry makes sense.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// A request with its correlation id, or an attempt of one, is still open: servers could not tell the two apart.
    #[error("a request with the same correlation id is open")]
    CorrelationIdInUse,
    /// The pool knows no endpoint list yet.
    #[error("no endpoint list is known yet")]
    NoEndpoints(Span),
    /// No serving server speaks a dialect that the request can be written in.
    #[error("no serving server speaks the request's dialects")]
    NoCommonDialect(Span),
    /// As many requests are open as the pool may hold.
    #[error("the pool holds as many requests as it may")]
    PoolFull(Span),
    /// The pool takes no new requests any more.
    #[error("the pool is closed")]
    PoolClosed(Span),
}

impl Rejection {
    /// The time after which a retry makes sense, if it does.
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
