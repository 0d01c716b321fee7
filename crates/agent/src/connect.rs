//! How this program makes connections, and of whom a connection that fails says anything.

use crate::connections::EndpointAddress;
use crate::socket_error::ConnectError;
use heronhoist_decision::{Outcome, ServerId};
use heronhoist_engine::timing::timeout;
use heronhoist_engine::Incarnation;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{sleep, Instant};

/// Pause before a connection is tried again that this machine could not begin. That costs nobody else anything.
const AGAIN_PAUSE: Duration = Duration::from_millis(150);
/// Two failures for want of a route that lie further apart are two troubles.
const SPELL_GAP: Duration = Duration::from_secs(10);

/// Makes connections.
pub trait Connector {
    /// A connection to this address.
    fn connect(&self, address: SocketAddr) -> impl Future<Output = io::Result<TcpStream>>;
}

/// Makes them by the machine's own TCP.
pub struct Tcp;

impl Connector for Tcp {
    fn connect(&self, address: SocketAddr) -> impl Future<Output = io::Result<TcpStream>> {
        TcpStream::connect(address)
    }
}

/// A connection; a call that was interrupted is made again. Others get a turn between two, or its time could not end it.
async fn connect(connector: &impl Connector, address: SocketAddr) -> io::Result<TcpStream> {
    loop {
        match connector.connect(address).await {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => yield_now().await,
            done => return done,
        }
    }
}

/// A connection, for callers with one peer: a failure of this machine is no answer of the peer, which nothing has been asked,
/// and is tried again soon, for as long as the caller waits. Each try may take so long.
pub async fn connect_with_retry(
    connector: &impl Connector,
    address: SocketAddr,
    within: Duration,
) -> io::Result<TcpStream> {
    loop {
        match timeout(within, connect(connector, address)).await {
            Ok(Ok(stream)) => return Ok(stream),
            Ok(Err(error)) if ConnectError::from(&error) != ConnectError::Remote => sleep(AGAIN_PAUSE).await,
            Ok(Err(error)) => return Err(error),
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        }
    }
}

/// Tells connections that fail for want of a server from those that fail for want of something here.
///
/// A want of descriptors, memory or ports says nothing of a server, and its attempt counts as not sent.
///
/// "No route" may be either's fault: a machine that has lost its network has no route to anybody, and must not have all of its
/// servers ejected; a server in a net that can't be reached from here must be, since nothing is ever out to it and so it would
/// seem to be the lightest of all. The others tell the two apart: it is this machine's fault as long as nobody else has been
/// reached since the server's first such failure, and the server's from then on. "Since" leaves as much time between as a
/// connection may take to come up, so that what was still under way when the route went is no proof; a server that says
/// nothing costs an attempt as much. A host that its neighbours can't reach is itself away: EHOSTUNREACH is the server's at once.
#[derive(Default)]
pub struct Reachability {
    /// When anybody was reached last while there were unrouted ones.
    reached: Cell<Option<Instant>>,
    /// Servers to which no route led when they were last asked for.
    unrouted: RefCell<HashMap<ServerId, Spell>>,
}

/// A row of failures for want of a route.
struct Spell {
    incarnation: Incarnation,
    first: Instant,
    last: Instant,
}

impl Reachability {
    /// A connection to a server, which may take so long; without one, what that says of the server.
    pub async fn connect(
        &self,
        connector: &impl Connector,
        place: EndpointAddress,
        within: Duration,
    ) -> Result<TcpStream, Outcome> {
        let error = match timeout(within, connect(connector, place.address)).await {
            Ok(Ok(stream)) => {
                self.unrouted.borrow_mut().remove(&place.server);
                self.record_reached();
                return Ok(stream);
            }
            Ok(Err(error)) => error,
            Err(_) => return Err(Outcome::ConnectFailed),
        };
        Err(match ConnectError::from(&error) {
            ConnectError::LocalResource => Outcome::NotSent,
            ConnectError::NoRoute if self.is_only_unrouted(place, within) => Outcome::ConnectFailed,
            ConnectError::NoRoute => Outcome::NotSent,
            ConnectError::Remote => Outcome::ConnectFailed,
        })
    }

    /// Somebody has been reached: a connection has come up, or bytes have come on one.
    pub fn record_reached(&self) {
        // Only what comes after a failure is asked about, and usually there is none.
        if !self.unrouted.borrow().is_empty() {
            self.reached.set(Some(Instant::now()));
        }
    }

    /// Forgets servers that are not what they were: `is_current` tells of a server and an incarnation whether that still is.
    pub fn retain(&self, is_current: impl Fn(ServerId, Incarnation) -> bool) {
        self.unrouted.borrow_mut().retain(|&server, spell| is_current(server, spell.incarnation));
    }

    /// No route leads to a server while others have been reached.
    fn is_only_unrouted(&self, place: EndpointAddress, within: Duration) -> bool {
        let (now, mut unrouted) = (Instant::now(), self.unrouted.borrow_mut());
        let new = || Spell { incarnation: place.incarnation, first: now, last: now };
        let spell = unrouted.entry(place.server).or_insert_with(new);
        if spell.incarnation != place.incarnation || now.duration_since(spell.last) > SPELL_GAP {
            *spell = new();
        }
        spell.last = now;
        self.reached.get().is_some_and(|reached| reached > spell.first + within)
    }
}

#[cfg(test)]
mod tests;
