//! Events that a balancer is notified of.

use super::{
    AttemptNumber, ClassId, EndpointUpdate, Outcome, PeerId, Request, RequestId, ServerId, Settings, Span,
    TimerId,
};

/// Something that happened and that the balancer has to know of.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request has arrived.
    Request(Request),
    /// A streaming response has begun. The request is bound to this attempt from now on.
    FirstByte {
        /// The request.
        request: RequestId,
        /// The attempt whose response has begun.
        attempt: AttemptNumber,
    },
    /// A part of a response has arrived, and the rest is awaited: the server is responsive.
    ResponseBegun {
        /// The request.
        request: RequestId,
        /// The attempt whose response has begun.
        attempt: AttemptNumber,
    },
    /// A response has begun, and no more of it has arrived for a while. It may still be completed. Another attempt may
    /// begin beside this one, which is not to be cancelled for that.
    ResponseStalled {
        /// The request.
        request: RequestId,
        /// The attempt whose response has stalled.
        attempt: AttemptNumber,
        /// Whether part of the request body has been discarded, so that the request cannot be sent again.
        is_body_consumed: bool,
    },
    /// The last part of a request has arrived. The client's timeout runs from now on.
    RequestComplete {
        /// The request.
        request: RequestId,
        /// How long the client waits for the response from now on.
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
        /// The time since the attempt was sent, or since the last part of the request arrived if that was
        /// later.
        elapsed: Span,
        /// The server's load report, if it sent one.
        report: Option<Vec<f64>>,
        /// Whether the request has its final response. If not, the balancer retries or finishes it.
        is_request_finished: bool,
        /// Whether part of the request body has been discarded, so that the request cannot be sent again.
        is_body_consumed: bool,
    },
    /// The client has disconnected. The request needs no response any more.
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
        /// The time since the health check was sent.
        elapsed: Span,
        /// The server's load report, if it sent one.
        report: Option<Vec<f64>>,
    },
    /// An update of the endpoint list has arrived or has failed.
    EndpointList(EndpointUpdate),
    /// The settings have changed. Pending requests keep their class and their maximum number of attempts.
    /// [`Settings::discovery`] keeps its first value.
    Settings {
        /// The new settings.
        settings: Box<Settings>,
        /// The identifier of each class, in the order of [`Settings::classes`]. An unchanged class keeps its
        /// identifier. Any other class gets an identifier that no class has had before.
        class_ids: Vec<ClassId>,
    },
    /// A message from another balancer has arrived.
    Gossip {
        /// The sender.
        from: PeerId,
        /// The content.
        payload: Vec<u8>,
    },
}
