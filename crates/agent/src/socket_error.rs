//! Classifies errors of `accept` and `connect` by whom they concern: the new connection, the peer, or this machine. Follows
//! the Linux manual pages accept(2), connect(2) and socket(2).

use rustix::io::Errno;
use std::io::{Error, ErrorKind};

/// The meaning of an error of `accept`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptError {
    /// A connection was aborted before it was accepted, or the call was interrupted. The next connection can be
    /// accepted at once.
    ConnectionAborted,
    /// This machine has no descriptor or memory for another connection.
    ResourceExhausted,
    /// The listener itself is unusable.
    Other,
}

impl From<&Error> for AcceptError {
    fn from(error: &Error) -> Self {
        if lacks_resource(error) {
            return AcceptError::ResourceExhausted;
        }
        match error.kind() {
            // Linux reports errors that are already pending on the new socket, whether from the network or a firewall.
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

/// The meaning of an error of `connect`, or of the `socket` call before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectError {
    /// This machine lacks a descriptor, memory or a port, or the call was interrupted. Nothing was sent to the network, so the
    /// error is no evidence against the peer.
    LocalResource,
    /// There is no route from this machine, its network is down, or a local rule forbids the connection. The error does
    /// not show whether that applies to this peer only.
    NoRoute,
    /// The peer or a machine next to it reported the error, or did not respond.
    Remote,
}

impl From<&Error> for ConnectError {
    fn from(error: &Error) -> Self {
        if lacks_resource(error) {
            return ConnectError::LocalResource;
        }
        match error.kind() {
            // All local ports are in use, whether overall or by recently closed connections to this peer.
            ErrorKind::AddrNotAvailable
            | ErrorKind::AddrInUse
            | ErrorKind::Interrupted
            | ErrorKind::WouldBlock => ConnectError::LocalResource,
            ErrorKind::NetworkUnreachable | ErrorKind::NetworkDown | ErrorKind::PermissionDenied => {
                ConnectError::NoRoute
            }
            // Includes HostUnreachable: the host does not respond to its neighbours.
            _ => ConnectError::Remote,
        }
    }
}

/// Returns whether the error reports a lack of descriptors of this process or machine, of memory for a socket, or of capacity
/// to poll another one.
fn lacks_resource(error: &Error) -> bool {
    matches!(error.kind(), ErrorKind::OutOfMemory | ErrorKind::StorageFull)
        || matches!(
            Errno::from_io_error(error),
            Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM | Errno::NOSR)
        )
}

/// Repeats a system call for as long as signals interrupt it; an interruption is no result of the call.
pub fn retry_on_interrupt<T>(mut call: impl FnMut() -> Result<T, Error>) -> Result<T, Error> {
    loop {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

#[cfg(test)]
mod tests;
