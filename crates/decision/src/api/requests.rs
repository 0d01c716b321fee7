//! Client requests.

use super::{ClassId, Dialects, KeyId, RequestId, Span, TenantId};

/// A client's request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Its identifier.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// The tenant that sent it.
    pub tenant: Option<TenantId>,
    /// The key of the object that it concerns.
    pub key: Option<KeyId>,
    /// The client's estimate of its work, in time on one core.
    pub cost_hint: Option<Span>,
    /// Whether the client has marked it as a retry.
    pub is_retry: bool,
    /// How long the client still waits. If `is_streaming_in` is set, this is counted from
    /// [`Event::RequestComplete`](crate::Event::RequestComplete).
    pub time_left: Span,
    /// The client's timeout, counted from the arrival of the complete request. It is at least `time_left`,
    /// because some of it may have passed before the balancer is notified.
    pub client_timeout: Span,
    /// Whether its body is still arriving. It can be forwarded already, but a server starts to execute it
    /// only when it is complete.
    pub is_streaming_in: bool,
    /// The dialects in which it can be sent. It is sent only to servers of one of these.
    pub dialects: Dialects,
}

impl Request {
    /// Returns a complete request, not marked as a retry, without tenant, key or work estimate.
    #[must_use]
    pub fn new(id: RequestId, class: ClassId, time_left: Span) -> Self {
        Request {
            id,
            class,
            tenant: None,
            key: None,
            cost_hint: None,
            is_retry: false,
            time_left,
            client_timeout: time_left,
            is_streaming_in: false,
            dialects: Dialects::ALL,
        }
    }
}
