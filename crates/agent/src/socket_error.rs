//! What an error of `accept` says, and of whom: the new connection or this machine. By Linux's page accept(2).

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

/// Descriptors of this process or of the machine, memory for a socket, or room among those that are waited for.
fn lacks_resource(error: &Error) -> bool {
    matches!(error.kind(), ErrorKind::OutOfMemory | ErrorKind::StorageFull)
        || matches!(
            Errno::from_io_error(error),
            Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM | Errno::NOSR)
        )
}

#[cfg(test)]
mod tests;
