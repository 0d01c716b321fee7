//! Connection attempts that fail on this machine.

use super::super::watch::RETRY_INTERVAL;
use super::super::Discovery;
use super::scripted::{run_with, KnownList, Step, BOTH_MODES};
use crate::connect::Connector;
use heronhoist_engine::{EndpointSink, EndpointSource};
use rustix::io::Errno;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Errors that discovery cannot have caused.
const LOCAL_ERRORS: [Errno; 7] = [
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::ADDRNOTAVAIL,
    Errno::AGAIN,
    Errno::NETUNREACH,
];

type Attempts = Rc<RefCell<Vec<Instant>>>;

/// Fails a number of times with an error, and then makes real connections; records when it was called.
struct FailingConnector {
    errno: Errno,
    failures: usize,
    attempts: Attempts,
}

impl Connector for FailingConnector {
    async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        self.attempts.borrow_mut().push(Instant::now());
        if self.attempts.borrow().len() <= self.failures {
            return Err(io::Error::from_raw_os_error(self.errno.raw_os_error()));
        }
        TcpStream::connect(address).await
    }
}

/// Discovery with a connector that fails at first.
struct FailingDiscovery(Discovery, FailingConnector);

impl EndpointSource<SocketAddr> for FailingDiscovery {
    fn run(self: Box<Self>, sink: EndpointSink<SocketAddr>) -> Pin<Box<dyn Future<Output = ()>>> {
        Box::pin(self.0.run_with(self.1, sink))
    }
}

/// However long this machine has lacked a descriptor, port or route, discovery must be called soon after: it was never
/// unavailable, so the agent must not back off.
#[test]
fn a_connection_that_fails_on_this_machine_is_retried_soon() {
    for (mode, errno) in BOTH_MODES.iter().flat_map(|mode| LOCAL_ERRORS.map(|errno| (*mode, errno))) {
        let attempts = Attempts::default();
        let connector = FailingConnector { errno, failures: 40, attempts: Rc::clone(&attempts) };
        let run = run_with(mode, &[Step::List], KnownList::SameSource, |discovery| {
            Box::new(FailingDiscovery(discovery, connector))
        });
        assert!(!run.calls.is_empty());
        let attempts = attempts.borrow();
        assert!(attempts.len() > 40, "{errno:?}: {}", attempts.len());
        for pair in attempts[..=40].windows(2) {
            let interval = pair[1] - pair[0];
            assert!(
                interval <= RETRY_INTERVAL + Duration::from_millis(2),
                "{mode:?}, {errno:?}: {interval:?}"
            );
        }
    }
}
