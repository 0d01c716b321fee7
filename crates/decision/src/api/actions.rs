//! What a balancer asks its caller to do.

use super::{AttemptNumber, PeerId, RequestId, ServerId, Span, Time, TimerId};

/// Something that the caller has to do for the balancer.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt; attempts of a request are numbered in the order of their sends.
    Send {
        /// The request.
        request: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// When the attempt times out.
        timeout_at: Time,
        /// The latest time for its first byte; after that it must not be sent, because the servers may have
        /// forgotten the idempotency key by then.
        begin_by: Time,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Final response: rejected; a retry is safe.
    Reject {
        /// The request.
        request: RequestId,
        /// When a retry is likely to succeed, if the client is to be advised.
        retry_after: Option<Span>,
    },
    /// Final response: failed; it may or may not have been executed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Deliver [`Event::Timer`](crate::Event::Timer) at this time; timers are never cancelled.
    SetTimer {
        /// When it is due.
        at: Time,
        /// The identifier to deliver.
        timer: TimerId,
    },
    /// Send a health check.
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
        /// Whether it is to be open.
        active: bool,
    },
    /// Poll the complete endpoint list once.
    FetchEndpoints,
    /// Write a line to the log for the engineers on call.
    Log {
        /// The text.
        text: String,
    },
}
