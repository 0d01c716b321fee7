//! Versioned endpoint lists, which name the servers of a pool, and the sources that publish them.

mod sink;
mod static_endpoints;
mod subscription;

pub use sink::EndpointSink;
pub use static_endpoints::StaticEndpoints;
pub(crate) use subscription::Subscription;

use heronhoist_decision::{DialectId, Status, Time};
use std::future::Future;
use std::pin::Pin;

/// The state of a server in an endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// The server accepts requests.
    Serving,
    /// The server finishes the requests that it has and accepts no new ones.
    Draining,
    /// The server is no longer in the list.
    Removed,
}

impl From<EndpointState> for Status {
    fn from(state: EndpointState) -> Status {
        match state {
            EndpointState::Serving => Status::Serving,
            EndpointState::Draining => Status::Draining,
            EndpointState::Removed => Status::Removed,
        }
    }
}

/// One server in an endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointInfo<A> {
    /// The server's name. A different name means a different server, even at the same address.
    pub name: String,
    /// The address that it listens on.
    pub address: A,
    /// The name of its zone.
    pub zone: String,
    /// The name of its machine type.
    pub machine_type: String,
    /// The group of servers that it belongs to; the servers of a cell deduplicate each other's requests.
    pub cell: u32,
    /// The dialect that it speaks. A change of dialect begins a new incarnation of the server.
    pub dialect: DialectId,
    /// Its current state.
    pub state: EndpointState,
    /// Its capacity relative to the other servers, if the list contains it.
    pub weight: Option<f64>,
    /// When it last started, if that was recent. The time is by the source's clock until the [`EndpointSink`]
    /// converts it to the pool's time.
    pub started_at: Option<Time>,
}

impl<A> EndpointInfo<A> {
    /// Creates a serving endpoint with default values for zone, machine type, cell, dialect, weight and start time.
    #[must_use]
    pub fn serving(name: &str, address: A) -> Self {
        EndpointInfo {
            name: name.into(),
            address,
            zone: String::new(),
            machine_type: String::new(),
            cell: 0,
            dialect: DialectId(0),
            state: EndpointState::Serving,
            weight: None,
            started_at: None,
        }
    }
}

/// A complete endpoint list, or the changes to one.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointList<A> {
    /// The version of the list, which increases with each change at the source.
    pub version: i64,
    /// Whether the list is complete; servers that are not in a complete list have been removed.
    pub is_complete: bool,
    /// The servers.
    pub endpoints: Vec<EndpointInfo<A>>,
}

/// Receives the endpoint lists that an endpoint source publishes.
pub trait EndpointObserver<A> {
    /// Called with each list, which is no older than the one before.
    fn on_endpoints(&self, list: EndpointList<A>);

    /// Called when a fetch or a subscription that the decision module requested has failed.
    fn on_failure(&self);
}

/// A source of endpoint lists. It runs as long as its pool.
pub trait EndpointSource<A> {
    /// Publishes lists to `sink` until dropped.
    fn run(self: Box<Self>, sink: EndpointSink<A>) -> Pin<Box<dyn Future<Output = ()>>>;
}

#[cfg(test)]
pub(crate) mod tests;
