//! Opens connections, and decides whether a failed one is the fault of the server or of this machine.

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

/// The delay before a connection is tried again that failed on this machine. It is short because such tries put no load
/// on others.
const LOCAL_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Two "no route" failures that are further apart belong to separate streaks.
const MAX_STREAK_GAP: Duration = Duration::from_secs(10);

/// Opens connections.
pub trait Connector {
    /// Opens a connection to this address.
    fn connect(&self, address: SocketAddr) -> impl Future<Output = io::Result<TcpStream>>;
}

/// Opens connections with the operating system's TCP.
pub struct Tcp;

impl Connector for Tcp {
    fn connect(&self, address: SocketAddr) -> impl Future<Output = io::Result<TcpStream>> {
        TcpStream::connect(address)
    }
}

/// Opens a connection, and repeats a call that was interrupted. Yields between two calls so that a timeout can end the loop.
async fn connect(connector: &impl Connector, address: SocketAddr) -> io::Result<TcpStream> {
    loop {
        match connector.connect(address).await {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => yield_now().await,
            result => return result,
        }
    }
}

/// Opens a connection for callers that have a single peer. A failure of this machine never reached the peer, so it is
/// tried again after a short delay, for as long as the caller waits. Each try may take `connect_timeout`.
pub async fn connect_with_retry(
    connector: &impl Connector,
    address: SocketAddr,
    connect_timeout: Duration,
) -> io::Result<TcpStream> {
    loop {
        match timeout(connect_timeout, connect(connector, address)).await {
            Ok(Ok(stream)) => return Ok(stream),
            Ok(Err(error)) if ConnectError::from(&error) != ConnectError::Remote => {
                sleep(LOCAL_RETRY_DELAY).await;
            }
            Ok(Err(error)) => return Err(error),
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        }
    }
}

/// Distinguishes connections that fail because of the server from those that fail because of this machine.
///
/// A lack of descriptors, memory or ports is no evidence against a server, and the attempt counts as not sent.
///
/// "No route" may be the fault of either side. A machine that has lost its network has no route to any server, and must
/// not cause all of them to be ejected. A server in a network that can't be reached from here must be ejected, since it
/// never has a request in flight and so would seem to be the least loaded. The other servers decide: the failure counts
/// against this machine until another server has been reached since the first failure of the streak, and against the
/// server from then on. A connection that was already being opened when the route was lost proves nothing. So a server
/// counts as reached only if it is reached more than the connect timeout after the first failure; waiting that long
/// costs no more than an attempt to a server that does not respond. EHOSTUNREACH counts against the server at once: the
/// host's own neighbours can't reach it.
#[derive(Default)]
pub struct Reachability {
    /// When a server was last reached while there was no route to another.
    last_reached: Cell<Option<Instant>>,
    /// Servers whose last connection failed because there was no route.
    no_route: RefCell<HashMap<ServerId, Streak>>,
}

/// A streak of "no route" failures of one server.
struct Streak {
    incarnation: Incarnation,
    first: Instant,
    last: Instant,
}

impl Reachability {
    /// Opens a connection to a server, which may take `connect_timeout`, or returns the outcome of the attempt.
    pub async fn connect(
        &self,
        connector: &impl Connector,
        endpoint: EndpointAddress,
        connect_timeout: Duration,
    ) -> Result<TcpStream, Outcome> {
        let error = match timeout(connect_timeout, connect(connector, endpoint.address)).await {
            Ok(Ok(stream)) => {
                self.no_route.borrow_mut().remove(&endpoint.server);
                self.record_reached();
                return Ok(stream);
            }
            Ok(Err(error)) => error,
            Err(_) => return Err(Outcome::ConnectFailed),
        };
        Err(match ConnectError::from(&error) {
            ConnectError::LocalResource => Outcome::NotSent,
            ConnectError::NoRoute if self.record_no_route(endpoint, connect_timeout) => {
                Outcome::ConnectFailed
            }
            ConnectError::NoRoute => Outcome::NotSent,
            ConnectError::Remote => Outcome::ConnectFailed,
        })
    }

    /// Records that a server has been reached: a connection was opened, or bytes were received on one.
    pub fn record_reached(&self) {
        // The time matters only after a failure, and usually there is none.
        if !self.no_route.borrow().is_empty() {
            self.last_reached.set(Some(Instant::now()));
        }
    }

    /// Forgets the servers for whose recorded incarnation `is_current` returns false.
    pub fn retain(&self, is_current: impl Fn(ServerId, Incarnation) -> bool) {
        self.no_route.borrow_mut().retain(|&server, streak| is_current(server, streak.incarnation));
    }

    /// Records that there is no route to a server. Returns whether other servers have been reached since its first such
    /// failure.
    fn record_no_route(&self, endpoint: EndpointAddress, connect_timeout: Duration) -> bool {
        let (now, mut no_route) = (Instant::now(), self.no_route.borrow_mut());
        let new = || Streak { incarnation: endpoint.incarnation, first: now, last: now };
        let streak = no_route.entry(endpoint.server).or_insert_with(new);
        if streak.incarnation != endpoint.incarnation || now.duration_since(streak.last) > MAX_STREAK_GAP {
            *streak = new();
        }
        streak.last = now;
        self.last_reached.get().is_some_and(|reached| reached > streak.first + connect_timeout)
    }
}

#[cfg(test)]
mod tests;
