//! Outcomes of attempts and health checks.

/// How an attempt or a health check ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The server sent a response.
    Success,
    /// The server responded with an error. The request may have been executed.
    ServerError,
    /// The server rejected the request without executing it.
    Rejected,
    /// No response arrived in time. The request may have been executed or may still be executing.
    TimedOut,
    /// No connection could be established in time. The request was not executed.
    ConnectFailed,
    /// The connection was lost. The request may have been executed.
    ConnectionReset,
    /// The balancer cancelled the attempt. The request may have been executed.
    Cancelled,
    /// The attempt was not sent: the request was finished, or its attempts or its time were used up.
    NotSent,
}

impl Outcome {
    /// Returns whether this outcome proves that the request was not executed.
    #[must_use]
    pub fn proves_not_executed(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}
