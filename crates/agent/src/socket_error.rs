//! What an error of `accept` or `connect` says, and of whom: the new connection, the peer, or this machine. By Linux's pages
//! accept(2), connect(2) and socket(2).

use rustix::io::Errno;
use std::io::{Error, ErrorKind};

/// What an error of `accept` says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptError {
    /// One connection broke off before it was accepted, or the call was interrupted. The next one may be had at once.
    ConnectionAborted,
    /// This machine has no descriptor or memory for another connection.
    ResourceExhausted,
    /// The listener itself does not do.
    Other,
}

impl From<&Error> for AcceptError {
    fn from(error: &Error) -> Self {
        if lacks_resource(error) {
            return AcceptError::ResourceExhausted;
        }
        match error.kind() {
            // Linux passes on what has already befallen the new socket, be it the network's word or a firewall's.
            ErrorKind::ConnectionAborted
            | ErrorKind::ConnectionReset
            | ErrorKind::TimedOut
            | ErrorKind::NetworkDown
            | ErrorKind::NetworkUnreachable
            | ErrorKind::HostUnreachable
            | ErrorKind::PermissionDenied
            | ErrorKind::Interrupted
            | ErrorKind::WouldBlock => AcceptError::ConnectionAborted,
            _ => match Errno::from_io_error(error) {
                Some(
                    Errno::PROTO | Errno::NOPROTOOPT | Errno::OPNOTSUPP | Errno::HOSTDOWN | Errno::NONET,
                ) => AcceptError::ConnectionAborted,
                _ => AcceptError::Other,
            },
        }
    }
}

/// What an error of `connect`, or of the `socket` before it, says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectError {
    /// This machine lacks a descriptor, memory or a port, or the call was interrupted: nothing has been asked of the network, and
    /// it says nothing of the peer.
    LocalResource,
    /// No way leads from here, or none may be taken: no route, no network, a rule of this machine. Whether that is so for this
    /// peer only does not follow from the error.
    NoRoute,
    /// The peer, or a machine next to it, has answered so or has kept silent.
    Remote,
}

impl From<&Error> for ConnectError {
    fn from(error: &Error) -> Self {
        if lacks_resource(error) {
            return ConnectError::LocalResource;
        }
        match error.kind() {
            // All ports of this machine are taken, be it by all or by connections to this peer that are just over.
            ErrorKind::AddrNotAvailable
            | ErrorKind::AddrInUse
            | ErrorKind::Interrupted
            | ErrorKind::WouldBlock => ConnectError::LocalResource,
            ErrorKind::NetworkUnreachable | ErrorKind::NetworkDown | ErrorKind::PermissionDenied => {
                ConnectError::NoRoute
            }
            // HostUnreachable too: the host does not answer its neighbours.
            _ => ConnectError::Remote,
        }
    }
}

/// Descriptors of this process or of the machine, memory for a socket, or room among those that are waited for.
fn lacks_resource(error: &Error) -> bool {
    matches!(error.kind(), ErrorKind::OutOfMemory | ErrorKind::StorageFull)
        || matches!(
            Errno::from_io_error(error),
            Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM | Errno::NOSR)
        )
}

/// A call to the system, made again for as long as signals interrupt it: that says nothing of what was asked.
pub fn retry_on_interrupt<T>(mut call: impl FnMut() -> Result<T, Error>) -> Result<T, Error> {
    loop {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

#[cfg(test)]
mod tests;
