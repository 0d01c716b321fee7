//! Why a request was not taken.

use heronhoist_decision::Span;

/// When to come back to a pool that has not been told of any server, or has no room: a list takes about so long.
pub(super) const RETRY_AFTER: Span = Span(250_000);

/// Why a request was not taken. Nothing of it has been sent; the front answers at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// One with its name is still under way, or an attempt of it: servers could not tell the two apart.
    CorrelationIdInUse,
    /// The pool has not been told of any server yet.
    NoEndpoints(Span),
    /// No server is serving that speaks what it can be said in.
    NoCommonDialect(Span),
    /// The pool holds as many requests as it may.
    PoolFull(Span),
    /// The pool takes nothing new any more.
    PoolClosed(Span),
}

impl Rejection {
    /// When a new try makes sense, if it does.
    pub fn come_back(self) -> Option<Span> {
        match self {
            Rejection::CorrelationIdInUse => None,
            Rejection::NoEndpoints(after)
            | Rejection::NoCommonDialect(after)
            | Rejection::PoolFull(after)
            | Rejection::PoolClosed(after) => Some(after),
        }
    }
}
