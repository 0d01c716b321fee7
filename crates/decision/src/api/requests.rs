//! Requests of clients.

use super::{ClassId, Dialects, KeyId, RequestId, Span, TenantId};

/// A request of a client.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Its identifier.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// The tenant that sent it.
    pub tenant: Option<TenantId>,
    /// The key of what it concerns.
    pub key: Option<KeyId>,
    /// An estimate of its work, in time on one core.
    pub cost_hint: Option<Span>,
    /// The client marks it as a retry.
    pub is_retry: bool,
    /// How long the client still waits; counted from
    /// [`Event::RequestComplete`](crate::Event::RequestComplete) on while the request `is_streaming_in`.
    pub time_left: Span,
    /// The client's own timeout, counted from when the whole request had arrived. At least `time_left`, as
    /// some of it may have passed before the balancer is notified.
    pub client_timeout: Span,
    /// Its body is still arriving: it can be forwarded meanwhile, but no server starts to work on it.
    pub is_streaming_in: bool,
    /// It can be forwarded only to servers that speak one of these.
    pub dialects: Dialects,
}

impl Request {
    /// A complete first attempt of a client, without tenant, key or estimate.
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
