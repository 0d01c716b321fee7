//! Each error that Linux documents, by its number.

use super::*;

fn raw(errno: Errno) -> Error {
    Error::from_raw_os_error(errno.raw_os_error())
}

#[test]
fn each_error_of_accept_says_of_whom_it_is() {
    use AcceptError::*;
    for (errno, says) in [
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
        // Of `epoll_ctl`, by which the new socket is waited for.
        (Errno::NOSPC, ResourceExhausted),
        // The listener is none (any more).
        (Errno::BADF, Other),
        (Errno::INVAL, Other),
        (Errno::NOTSOCK, Other),
        (Errno::FAULT, Other),
    ] {
        assert_eq!(AcceptError::from(&raw(errno)), says, "{errno:?}");
    }
    assert_eq!(AcceptError::from(&Error::other("no number")), Other);
}

#[test]
fn each_error_of_connect_says_of_whom_it_is() {
    use ConnectError::*;
    for (errno, says) in [
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
        // An address that this machine has no family for is the list's fault: that server can't be reached.
        (Errno::AFNOSUPPORT, Remote),
    ] {
        assert_eq!(ConnectError::from(&raw(errno)), says, "{errno:?}");
    }
    assert_eq!(ConnectError::from(&Error::other("no number")), Remote);
}
