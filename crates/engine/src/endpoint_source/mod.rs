//! Which servers there are: lists with versions, from whoever knows.

mod sink;
mod static_endpoints;

pub use sink::EndpointSink;
pub(crate) use sink::Subscription;
pub use static_endpoints::StaticEndpoints;

use heronhoist_decision::{DialectId, Time};
use std::future::Future;
use std::pin::Pin;

/// The states of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes requests.
    Serving,
    /// Finishes what it has.
    Draining,
    /// Has left.
    Removed,
}

/// A line of a list.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointInfo<A> {
    /// The server's name; another name is another server, whatever its address.
    pub name: String,
    /// Where it is reached.
    pub address: A,
    /// The name of its zone.
    pub zone: String,
    /// The name of its kind of machine.
    pub kind: String,
    /// The group of servers that drop each other's repeats.
    pub cell: u32,
    /// What it speaks. One that speaks otherwise from now on is another process, in a life of its own.
    pub dialect: DialectId,
    /// What it does at present.
    pub state: EndpointState,
    /// Its size among the others, if the list says.
    pub weight: Option<f64>,
    /// When it last started, if that was lately; by the source's clock until its list has passed the [`EndpointSink`], and in the
    /// pool's time from there on.
    pub started: Option<Time>,
}

impl<A> EndpointInfo<A> {
    /// A server that serves, in no zone, kind or cell of its own.
    pub fn serving(name: &str, address: A) -> Self {
        let (zone, kind) = (String::new(), String::new());
        let (cell, dialect, weight, started) = (0, DialectId(0), None, None);
        EndpointInfo {
            name: name.into(),
            address,
            zone,
            kind,
            cell,
            dialect,
            state: EndpointState::Serving,
            weight,
            started,
        }
    }
}

/// A list, or what has changed of one.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointList<A> {
    /// Grows with each change at the source.
    pub version: i64,
    /// This is all of it: what it leaves out has left.
    pub whole: bool,
    /// Its lines.
    pub members: Vec<EndpointInfo<A>>,
}

/// What a pool does with what its membership says.
pub trait EndpointObserver<A> {
    /// A list has come, no older than the one before it.
    fn listed(&self, list: EndpointList<A>);
    /// What the module had asked for could not be had.
    fn failed(&self);
}

/// A source of lists. It runs for as long as its pool does, and hands over what it hears.
pub trait EndpointSource<A> {
    /// Runs until dropped.
    fn run(self: Box<Self>, feed: EndpointSink<A>) -> Pin<Box<dyn Future<Output = ()>>>;
}

#[cfg(test)]
mod tests;
