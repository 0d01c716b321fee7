//! The platform's service discovery as a source of endpoints.
//!
//! Discovery is queried over HTTP in two ways, side by side:
//!
//! * The [watch] is a sequence of long polls, each for changes since the known version.
//! * The [poll] fetches the complete list whenever the decision module asks for it.
//!
//! A reload can change discovery's address. All calls to the old address are then dropped, and the complete list is fetched from
//! the new one first, since the versions of the two are unrelated.

mod client;
mod connection;
mod poll;
mod reply;
mod session;
mod watch;

pub use reply::EndpointListReply;

use crate::connect::{Connector, Tcp};
use heronhoist_engine::{EndpointSink, EndpointSource};
use session::Session;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use tokio::sync::watch::Receiver;

/// The platform's service discovery.
pub struct Discovery {
    /// Its address, which a reload can change.
    pub address: Receiver<SocketAddr>,
    /// Whether the watch runs at all times, and not only while the decision module subscribes.
    pub is_pushed: bool,
    /// The machine types whose servers speak the old dialect.
    pub legacy_machine_types: Vec<String>,
}

impl EndpointSource<SocketAddr> for Discovery {
    fn run(self: Box<Self>, sink: EndpointSink<SocketAddr>) -> Pin<Box<dyn Future<Output = ()>>> {
        Box::pin(self.run_with(Tcp, sink))
    }
}

impl Discovery {
    /// Publishes discovery's lists to the pool, over connections that `connector` makes, until the sender of the address is dropped.
    async fn run_with(mut self, connector: impl Connector + 'static, sink: EndpointSink<SocketAddr>) {
        let connector = Rc::new(connector);
        if self.is_pushed {
            sink.subscribe();
        }
        loop {
            let session = Session {
                connector: Rc::clone(&connector),
                sink: &sink,
                address: *self.address.borrow_and_update(),
                is_pushed: self.is_pushed,
                legacy_machine_types: &self.legacy_machine_types,
            };
            tokio::select! {
                () = session.watch() => return,
                () = session.poll() => return,
                // The calls in flight are dropped here: a late response from the old address must not overwrite the list of
                // the new one.
                changed = self.address.changed() => if changed.is_err() { return },
            }
            sink.reset_source();
        }
    }
}

#[cfg(test)]
mod tests;
