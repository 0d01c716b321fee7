//! The engine: what lies between a front, which owes its clients exactly one final answer a request, and the servers
//! that a decision module chooses. It knows time and tasks and no protocol.
//!
//! A [`Pool`] is one fleet of servers with one decision module, one [`Upstream`] that speaks to them and one
//! [`EndpointSource`] that says which they are. A front hands an [`NewRequest`] to [`Pool::submit`] and awaits
//! [`PendingResponse::answer`]; whatever it drops unanswered is told to the module as gone. Where there are several pools in a
//! process, [`Quota`] shares what the process may hold, so that one fleet that hangs can't starve the others.
//!
//! All of it runs on one thread, in a [`tokio::task::LocalSet`].

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
pub use servers::{ServerNames, MAX_SERVERS};
pub use upstream::{
    AttemptResult, BodyProgress, EndpointAddress, Gate, RequestPayload, StreamingBody, Upstream,
};
