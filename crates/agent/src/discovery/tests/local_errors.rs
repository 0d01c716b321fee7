//! Calls that this machine can't begin.

use super::*;
use rustix::io::Errno;
use std::cell::RefCell;
use std::io;
use tokio::net::TcpStream;

/// What no discovery can have caused.
const LOCAL: [Errno; 7] = [
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::ADDRNOTAVAIL,
    Errno::AGAIN,
    Errno::NETUNREACH,
];

type Calls = Rc<RefCell<Vec<Instant>>>;

/// Fails so often with an error, and then makes real connections; tells when it was called.
struct Failing {
    errno: Errno,
    times: usize,
    calls: Calls,
}

impl Connector for Failing {
    async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        self.calls.borrow_mut().push(Instant::now());
        if self.calls.borrow().len() <= self.times {
            return Err(io::Error::from_raw_os_error(self.errno.raw_os_error()));
        }
        TcpStream::connect(address).await
    }
}

struct Over(Discovery, Failing);

impl EndpointSource<SocketAddr> for Over {
    fn run(self: Box<Self>, sink: EndpointSink<SocketAddr>) -> Pin<Box<dyn Future<Output = ()>>> {
        Box::pin(self.0.follow(self.1, sink))
    }
}

/// However long this machine had no descriptor, port or route, discovery is called right after; it has not been down, and nothing
/// waits for longer and longer as for one that is.
#[test]
fn what_this_machine_could_not_begin_is_tried_again_soon() {
    for (way, errno) in [Way::Pushed, Way::OnRequest].iter().flat_map(|way| LOCAL.map(|errno| (*way, errno)))
    {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
        let calls = Calls::default();
        let connector = Failing { errno, times: 40, calls: Rc::clone(&calls) };
        let over = |discovery| Box::new(Over(discovery, connector)) as Box<dyn EndpointSource<SocketAddr>>;
        let (_, asked) =
            LocalSet::new().block_on(&runtime.unwrap(), drained_over(way, &[Act::List], false, over));
        assert!(!asked.is_empty());
        let calls = calls.borrow();
        assert!(calls.len() > 40, "{errno:?}: {}", calls.len());
        for pair in calls[..=40].windows(2) {
            let apart = pair[1] - pair[0];
            assert!(apart <= AGAIN_PAUSE + Duration::from_millis(2), "{way:?}, {errno:?}: {apart:?}");
        }
    }
}
