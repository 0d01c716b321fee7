//! What a balancer is notified of.

use super::{
    AttemptNumber, ClassId, EndpointUpdate, Outcome, PeerId, Request, RequestId, ServerId, Settings, Span,
    TimerId,
};

/// An event that the balancer is notified of.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request has arrived.
    Request(Request),
    /// A streaming response has begun; the request stays with this attempt.
    FirstByte {
        /// The request.
        request: RequestId,
        /// The attempt that it stays with.
        attempt: AttemptNumber,
    },
    /// The last part of a request has arrived; the client's timeout runs from here.
    RequestComplete {
        /// The request.
        request: RequestId,
        /// How long the client waits for the response.
        time_left: Span,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// How it ended.
        outcome: Outcome,
        /// The time since it was sent, or since the request's last part arrived if that was later.
        elapsed: Span,
        /// The server's load report, if it sent one.
        report: Option<Vec<f64>>,
        /// The request has its final response; otherwise one is still pending.
        is_request_finished: bool,
        /// Part of the request body is no longer held after this attempt: the request cannot be sent again.
        is_body_consumed: bool,
    },
    /// The client has disconnected; no response is pending any more.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer set by [`Action::SetTimer`](crate::Action::SetTimer) is due.
    Timer(TimerId),
    /// A health check has ended.
    HealthCheckResult {
        /// The server.
        server: ServerId,
        /// How the health check ended.
        outcome: Outcome,
        /// The time since it was sent.
        elapsed: Span,
        /// The server's load report, if it sent one.
        report: Option<Vec<f64>>,
    },
    /// The endpoint list has changed.
    EndpointList(EndpointUpdate),
    /// The settings have changed. Pending requests keep their class and the attempts that they had;
    /// [`Settings::discovery`] does not change.
    Settings {
        /// The new settings.
        settings: Box<Settings>,
        /// The number of each class, in the order of [`Settings::classes`]. A class that is unchanged
        /// keeps its number; any other gets a number that no class ever had.
        class_ids: Vec<ClassId>,
    },
    /// A message of another balancer.
    Gossip {
        /// The sender.
        from: PeerId,
        /// Its content.
        payload: Vec<u8>,
    },
}
