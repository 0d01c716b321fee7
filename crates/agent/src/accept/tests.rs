//! Errors in a forced order from a listener that stands in for the machine's; what it accepts in the end is a real connection.

use super::*;
use rustix::io::Errno;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::Instant;

/// Fails as it is told, and then accepts.
struct Scripted {
    errors: RefCell<VecDeque<Errno>>,
    listener: TcpListener,
    calls: Cell<usize>,
}

impl Scripted {
    async fn new(errors: impl IntoIterator<Item = Errno>) -> Scripted {
        let errors = RefCell::new(errors.into_iter().collect());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Scripted { errors, listener, calls: Cell::new(0) }
    }
}

impl Listener for Scripted {
    type Stream = TcpStream;

    async fn accept(&self) -> io::Result<TcpStream> {
        self.calls.set(self.calls.get() + 1);
        let error = self.errors.borrow_mut().pop_front();
        match error {
            Some(errno) => Err(io::Error::from_raw_os_error(errno.raw_os_error())),
            None => Listener::accept(&self.listener).await,
        }
    }
}

/// Accepts after these errors; what was handed on of them, and how long it took by the runtime's clock, which stands while there is
/// anything to do.
async fn accepted(errors: impl IntoIterator<Item = Errno>) -> (Vec<(Option<Errno>, AcceptError)>, Duration) {
    let listener = Scripted::new(errors).await;
    // It waits in the queue before the first call, so that nothing is waited for but pauses.
    let mut client = std::net::TcpStream::connect(listener.listener.local_addr().unwrap()).unwrap();
    let (mut failed, begun) = (Vec::new(), Instant::now());
    let mut stream = accept(&listener, |error, kind| failed.push((Errno::from_io_error(error), kind))).await;
    let took = begun.elapsed();
    std::io::Write::write_all(&mut client, b"hello").unwrap();
    let mut read = [0; 5];
    stream.read_exact(&mut read).await.unwrap();
    assert_eq!(&read, b"hello", "it is the connection");
    (failed, took)
}

/// That one client has hung up, or a signal has come, costs the next client nothing.
#[tokio::test(start_paused = true)]
async fn what_befell_one_connection_is_passed_over_at_once() {
    let one = [
        Errno::CONNABORTED,
        Errno::PROTO,
        Errno::PERM,
        Errno::INTR,
        Errno::NETDOWN,
        Errno::NOPROTOOPT,
        Errno::HOSTDOWN,
        Errno::NONET,
        Errno::HOSTUNREACH,
        Errno::OPNOTSUPP,
        Errno::NETUNREACH,
    ];
    assert_eq!(accepted(one).await, (Vec::new(), Duration::ZERO));
    let many = std::iter::repeat_n(Errno::CONNABORTED, ABORTED_MOST);
    assert_eq!(accepted(many).await, (Vec::new(), Duration::ZERO), "as many as may wait in a queue");
}

/// Whoever holds what is lacking needs time to give it up.
#[tokio::test(start_paused = true)]
async fn want_of_descriptors_or_memory_is_told_and_followed_by_a_pause() {
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM] {
        let (failed, took) = accepted([errno, errno]).await;
        assert_eq!(failed, [(Some(errno), AcceptError::ResourceExhausted); 2]);
        assert!(took >= 2 * ACCEPT_RETRY_DELAY, "{took:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn any_other_error_is_told_and_followed_by_a_pause() {
    let (failed, took) = accepted([Errno::INVAL]).await;
    assert_eq!(failed, [(Some(Errno::INVAL), AcceptError::Other)]);
    assert!(took >= ACCEPT_RETRY_DELAY, "{took:?}");
}

/// More in a row than can have waited is no connection's fault; it must not cost the processor for ever.
#[tokio::test(start_paused = true)]
async fn an_endless_row_is_told_and_followed_by_a_pause() {
    let row = std::iter::repeat_n(Errno::CONNABORTED, ABORTED_MOST + 1);
    let (failed, took) = accepted(row).await;
    assert_eq!(failed, [(Some(Errno::CONNABORTED), AcceptError::Other)]);
    assert!(took >= ACCEPT_RETRY_DELAY, "{took:?}");
}

/// Everybody else has a turn between two of a row, the sockets too.
#[tokio::test(start_paused = true)]
async fn a_row_does_not_starve_the_others() {
    LocalSet::new()
        .run_until(async {
            let listener =
                Rc::new(Scripted::new(std::iter::repeat_n(Errno::CONNABORTED, ABORTED_MOST)).await);
            let address = listener.listener.local_addr().unwrap();
            // Another connection, which is served meanwhile; nobody has looked at it yet.
            let served = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let mut client = std::net::TcpStream::connect(served.local_addr().unwrap()).unwrap();
            std::io::Write::write_all(&mut client, b"ask").unwrap();
            let (row, calls) = (Rc::clone(&listener), Rc::new(Cell::new(None)));
            let (seen, answered) = (Rc::clone(&listener), Rc::clone(&calls));
            let accepting = spawn_local(async move { accept(&*row, |_, _| {}).await });
            let serving = spawn_local(async move {
                let (mut stream, _) = served.accept().await.unwrap();
                stream.read_exact(&mut [0; 3]).await.unwrap();
                stream.write_all(b"answer").await.unwrap();
                answered.set(Some(seen.calls.get()));
            });
            serving.await.unwrap();
            let calls = calls.get().expect("answered");
            assert!(calls <= ABORTED_MOST, "answered before the row had ended, after {calls} calls");
            let mut read = [0; 6];
            std::io::Read::read_exact(&mut client, &mut read).unwrap();
            assert_eq!(&read, b"answer");
            let _last = std::net::TcpStream::connect(address).unwrap();
            accepting.await.unwrap();
        })
        .await;
}
