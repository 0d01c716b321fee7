//! The engine: it stands between a frontend, which owes each client exactly one final response, and the servers that a
//! decision module selects. It knows time and tasks, and no protocol.
//!
//! A [`Pool`] is one fleet of servers with one decision module, one [`Upstream`] that speaks to the servers and one
//! [`EndpointSource`] that lists them. A frontend hands a [`NewRequest`] to [`Pool::submit`] and awaits
//! [`PendingResponse::wait`]; a pending response that is dropped counts as a client that has disconnected. Where a
//! process has several pools, a [`Quota`] shares what the process may hold, so that a fleet that hangs can't starve the
//! others.
//!
//! Everything runs on one thread, in a [`tokio::task::LocalSet`].

mod clock;
mod drainable_source;
mod endpoint_source;
mod pool;
mod quota;
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
pub use servers::{MissingCapacity, ServerNames, MAX_SERVERS};
pub use upstream::{
    AttemptResult, BodyProgress, EndpointAddress, Gate, Incarnation, RequestPayload, StreamingBody, Upstream,
};
