//! The platform's service discovery as a source of endpoints.
//!
//! Discovery is asked over HTTP in two ways, side by side:
//!
//! * The [watch] is a sequence of long polls, each for what is newer than the version that is known.
//! * The [poll] fetches the complete list whenever the decision module asks for it.
//!
//! A reload can change discovery's address. Everything that runs against the old address ends then, and the new one is
//! asked for its complete list first, since its versions have nothing to do with those of the old one.

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
    /// Where it listens; may change.
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
    /// Feeds the pool from discovery, over connections that `connector` makes, until the owner of the address is dropped.
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
                // The calls in flight are dropped here: a late response of the old address must not overwrite the list of
                // the new one.
                changed = self.address.changed() => if changed.is_err() { return },
            }
            sink.reset_source();
        }
    }
}

#[cfg(test)]
mod tests;
