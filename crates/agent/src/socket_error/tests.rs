//! Covers each error that Linux documents, by its number.

use super::*;

fn error_of(errno: Errno) -> Error {
    Error::from_raw_os_error(errno.raw_os_error())
}

#[test]
fn accept_errors_are_classified() {
    use AcceptError::*;
    for (errno, expected) in [
        // "A connection has been aborted"; "Protocol error"; "Firewall rules forbid connection".
        (Errno::CONNABORTED, ConnectionAborted),
        (Errno::PROTO, ConnectionAborted),
        (Errno::PERM, ConnectionAborted),
        // "Already-pending network errors on the new socket": to be retried.
        (Errno::NETDOWN, ConnectionAborted),
        (Errno::NOPROTOOPT, ConnectionAborted),
        (Errno::HOSTDOWN, ConnectionAborted),
        (Errno::NONET, ConnectionAborted),
        (Errno::HOSTUNREACH, ConnectionAborted),
        (Errno::OPNOTSUPP, ConnectionAborted),
        (Errno::NETUNREACH, ConnectionAborted),
        // "Various Linux kernels can return other errors such as".
        (Errno::TIMEDOUT, ConnectionAborted),
        (Errno::CONNRESET, ConnectionAborted),
        (Errno::INTR, ConnectionAborted),
        (Errno::AGAIN, ConnectionAborted),
        (Errno::MFILE, ResourceExhausted),
        (Errno::NFILE, ResourceExhausted),
        (Errno::NOBUFS, ResourceExhausted),
        (Errno::NOMEM, ResourceExhausted),
        (Errno::NOSR, ResourceExhausted),
        // From `epoll_ctl`, which registers the new socket.
        (Errno::NOSPC, ResourceExhausted),
        // The descriptor is not, or no longer, a listener.
        (Errno::BADF, Other),
        (Errno::INVAL, Other),
        (Errno::NOTSOCK, Other),
        (Errno::FAULT, Other),
    ] {
        assert_eq!(AcceptError::from(&error_of(errno)), expected, "{errno:?}");
    }
    assert_eq!(AcceptError::from(&Error::other("no number")), Other);
}

#[test]
fn connect_errors_are_classified() {
    use ConnectError::*;
    for (errno, expected) in [
        (Errno::MFILE, LocalResource),
        (Errno::NFILE, LocalResource),
        (Errno::NOBUFS, LocalResource),
        (Errno::NOMEM, LocalResource),
        (Errno::NOSPC, LocalResource),
        (Errno::ADDRNOTAVAIL, LocalResource),
        (Errno::ADDRINUSE, LocalResource),
        (Errno::AGAIN, LocalResource),
        (Errno::INTR, LocalResource),
        (Errno::NETUNREACH, NoRoute),
        (Errno::NETDOWN, NoRoute),
        (Errno::ACCESS, NoRoute),
        (Errno::PERM, NoRoute),
        (Errno::HOSTUNREACH, Remote),
        (Errno::HOSTDOWN, Remote),
        (Errno::CONNREFUSED, Remote),
        (Errno::CONNRESET, Remote),
        (Errno::TIMEDOUT, Remote),
        (Errno::PIPE, Remote),
        // An address of an unsupported family is an error of the endpoint list: that server can't be reached.
        (Errno::AFNOSUPPORT, Remote),
    ] {
        assert_eq!(ConnectError::from(&error_of(errno)), expected, "{errno:?}");
    }
    assert_eq!(ConnectError::from(&Error::other("no number")), Remote);
}
