//! Actions: what a balancer asks its caller to do.

use super::{AttemptNumber, PeerId, RequestId, ServerId, Span, Time, TimerId};

/// An instruction to the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt. The attempts of a request are numbered from 0 in the order of these actions.
    Send {
        /// The request.
        request: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// When the attempt times out.
        timeout_at: Time,
        /// The latest time at which its first byte may be sent. Later, the servers may no longer recognize
        /// its idempotency key.
        begin_by: Time,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Give the final response: rejected. The client can safely retry.
    Reject {
        /// The request.
        request: RequestId,
        /// After how long a retry is likely to succeed; `None` if the response has no Retry-After.
        retry_after: Option<Span>,
    },
    /// Give the final response: failed. The request may or may not have been executed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Deliver [`Event::Timer`](crate::Event::Timer) at this time. Timers are never cancelled.
    SetTimer {
        /// When the timer is due.
        at: Time,
        /// The identifier to deliver.
        timer: TimerId,
    },
    /// Send a health check to a server.
    HealthCheck {
        /// The server to check.
        server: ServerId,
    },
    /// Close the idle connections to a server.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
    /// Send a message to another balancer, or to all of them.
    Gossip {
        /// The receiver; `None` for all.
        to: Option<PeerId>,
        /// The content.
        payload: Vec<u8>,
    },
    /// Open or close the subscription to the endpoint list.
    Subscribe {
        /// `true` opens the subscription, `false` closes it.
        active: bool,
    },
    /// Fetch the complete endpoint list once.
    FetchEndpoints,
    /// Write a line to the log for operators.
    Log {
        /// The text.
        text: String,
    },
}
