//! What the watch and the poll of one discovery address have in common.

use super::client::Client;
use super::reply::EndpointListReply;
use crate::connect::Connector;
use crate::dialect::OLD;
use heronhoist_engine::{EndpointList, EndpointSink};
use std::net::SocketAddr;
use std::rc::Rc;

/// Feeds a pool from one discovery address.
pub struct Session<'a, C> {
    /// Makes the connections.
    pub connector: Rc<C>,
    /// Where the lists go.
    pub sink: &'a EndpointSink<SocketAddr>,
    /// Discovery's address.
    pub address: SocketAddr,
    /// Whether the watch runs at all times, and not only while the decision module subscribes.
    pub is_pushed: bool,
    /// The machine types whose servers speak the old dialect.
    pub legacy_machine_types: &'a [String],
}

impl<C: Connector> Session<'_, C> {
    /// A client of its own connection.
    pub fn new_client(&self) -> Client<C> {
        Client::new(Rc::clone(&self.connector), self.address)
    }

    /// Delivers a list to the pool; false if it is older than the current one and was left out.
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
