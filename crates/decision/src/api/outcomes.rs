//! How attempts and health checks end.

/// How an attempt or a health check ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The server sent a response.
    Success,
    /// The server responded with an error; the request may have been executed.
    ServerError,
    /// The server rejected it without executing it.
    Rejected,
    /// No response in time; it may have been executed or still be executing.
    TimedOut,
    /// No connection could be established in time; it was not executed.
    ConnectFailed,
    /// The connection was lost; it may have been executed.
    ConnectionReset,
    /// Cancelled by the balancer; it may have been executed.
    Cancelled,
    /// Never sent: the request had ended, or its attempts or time were used up.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the request was not executed.
    #[must_use]
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}
