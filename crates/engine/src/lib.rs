//! The engine connects a frontend, which must give each client exactly one final response, with the servers that a
//! decision module selects. It manages time and tasks and is independent of any protocol.
//!
//! A [`Pool`] combines one fleet of servers with one decision module, one [`Upstream`] that communicates with the
//! servers and one [`EndpointSource`] that lists them. A frontend passes a [`NewRequest`] to [`Pool::submit`] and
//! awaits [`PendingResponse::wait`]. Dropping a pending response means that the client has disconnected. If a process
//! has several pools, a [`Quota`] divides the resources of the process between them, so that a fleet that hangs can't
//! starve the others.
//!
//! Everything runs on one thread, in a [`tokio::task::LocalSet`].

mod clock;
mod drainable_source;
mod endpoint_source;
mod pool;
mod quota;
mod request_claims;
mod servers;
mod start_times;
pub mod timing;
mod upstream;

pub use drainable_source::DrainableSource;
pub use endpoint_source::{
    EndpointInfo, EndpointList, EndpointObserver, EndpointSink, EndpointSource, EndpointState,
    StaticEndpoints,
};
pub use pool::{
    FinalResponse, NewRequest, PendingResponse, Pool, PoolOptions, PoolStats, Rejection, RESPONSE_RESERVE,
};
pub use quota::{Quota, QuotaShare, Reservation};
pub use request_claims::{CorrelationId, LocalClaims, RecentClaims, RequestClaims};
pub use servers::{MissingCapacity, ServerNames, MAX_SERVERS};
pub use upstream::{
    AttemptResult, BodyProgress, EndpointAddress, Gate, Incarnation, RequestPayload, ResponseProgress,
    ResponseWatch, StreamingBody, Upstream,
};
