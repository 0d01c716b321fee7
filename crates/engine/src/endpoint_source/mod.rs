//! Which servers there are: versioned endpoint lists, and the sources that they come from.

mod sink;
mod static_endpoints;
mod subscription;

pub use sink::EndpointSink;
pub use static_endpoints::StaticEndpoints;
pub(crate) use subscription::Subscription;

use heronhoist_decision::{DialectId, Status, Time};
use std::future::Future;
use std::pin::Pin;

/// The states of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes requests.
    Serving,
    /// Finishes the requests that it has and takes no new ones.
    Draining,
    /// Is no longer in the list.
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
    /// The server's name. Another name is another server, whatever its address.
    pub name: String,
    /// Where it is reached.
    pub address: A,
    /// The name of its zone.
    pub zone: String,
    /// The name of its machine type.
    pub machine_type: String,
    /// The group of servers that deduplicate each other's requests.
    pub cell: u32,
    /// What it speaks. A change of it is a new incarnation of the server.
    pub dialect: DialectId,
    /// What it does at present.
    pub state: EndpointState,
    /// Its size relative to the others, if the list says.
    pub weight: Option<f64>,
    /// When it last started, if that was lately: by the source's clock until its list has passed the [`EndpointSink`],
    /// and in the pool's time from there on.
    pub started_at: Option<Time>,
}

impl<A> EndpointInfo<A> {
    /// A server that serves, without zone, machine type, cell, weight and start time of its own.
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

/// An endpoint list, or what has changed in one.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointList<A> {
    /// Grows with each change at the source.
    pub version: i64,
    /// Whether this is the whole list, so that a server that it lacks has been removed.
    pub is_complete: bool,
    /// The servers.
    pub endpoints: Vec<EndpointInfo<A>>,
}

/// Receives what an endpoint source publishes.
pub trait EndpointObserver<A> {
    /// A list has come, no older than the one before it.
    fn on_endpoints(&self, list: EndpointList<A>);

    /// What the decision module asked of the source failed.
    fn on_failure(&self);
}

/// A source of endpoint lists. It runs for as long as its pool does.
pub trait EndpointSource<A> {
    /// Publishes lists to `sink` until dropped.
    fn run(self: Box<Self>, sink: EndpointSink<A>) -> Pin<Box<dyn Future<Output = ()>>>;
}

#[cfg(test)]
pub(crate) mod tests;
