//! Why a request was not taken.

use heronhoist_decision::Span;

/// When to come back to a pool that has not been told of any server, or has no room: a list takes about so long.
pub(super) const COME_BACK: Span = Span(250_000);

/// Why a request was not taken. Nothing of it has been sent; the front answers at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Declined {
    /// One with its name is still under way, or an attempt of it: servers could not tell the two apart.
    NameInUse,
    /// The pool has not been told of any server yet.
    NoList(Span),
    /// No server is serving that speaks what it can be said in.
    NoDialect(Span),
    /// The pool holds as many requests as it may.
    Full(Span),
    /// The pool takes nothing new any more.
    Closed(Span),
}

impl Declined {
    /// When a new try makes sense, if it does.
    pub fn come_back(self) -> Option<Span> {
        match self {
            Declined::NameInUse => None,
            Declined::NoList(after)
            | Declined::NoDialect(after)
            | Declined::Full(after)
            | Declined::Closed(after) => Some(after),
        }
    }
}
