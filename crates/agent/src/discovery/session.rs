//! The state that the watch and the poll of one discovery address share.

use super::client::Client;
use super::reply::EndpointListReply;
use crate::connect::Connector;
use crate::dialect::OLD;
use heronhoist_engine::{EndpointList, EndpointSink};
use std::net::SocketAddr;
use std::rc::Rc;

/// Publishes the lists of one discovery address to a pool.
pub struct Session<'a, C> {
    /// Makes the connections.
    pub connector: Rc<C>,
    /// Receives the lists.
    pub sink: &'a EndpointSink<SocketAddr>,
    /// Discovery's address.
    pub address: SocketAddr,
    /// Whether the watch runs at all times, and not only while the decision module subscribes.
    pub is_pushed: bool,
    /// The machine types whose servers speak the old dialect.
    pub legacy_machine_types: &'a [String],
}

impl<C: Connector> Session<'_, C> {
    /// Creates a client with a connection of its own.
    pub fn new_client(&self) -> Client<C> {
        Client::new(Rc::clone(&self.connector), self.address)
    }

    /// Delivers a list to the pool; false if the list is older than the current one and was ignored.
    pub fn deliver(&self, reply: EndpointListReply) -> bool {
        let mut list = EndpointList::from(reply);
        for endpoint in &mut list.endpoints {
            if self.legacy_machine_types.contains(&endpoint.machine_type) {
                endpoint.dialect = OLD;
            }
        }
        self.sink.publish(list)
    }
}
