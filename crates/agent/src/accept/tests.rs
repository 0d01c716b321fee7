//! Scripted errors from a listener that accepts a real connection in the end.

use super::*;
use rustix::io::Errno;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::Instant;

/// Fails with the scripted errors, then accepts.
struct ScriptedListener {
    errors: RefCell<VecDeque<Errno>>,
    listener: TcpListener,
    calls: Cell<usize>,
}

impl ScriptedListener {
    async fn new(errors: impl IntoIterator<Item = Errno>) -> ScriptedListener {
        let errors = RefCell::new(errors.into_iter().collect());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        ScriptedListener { errors, listener, calls: Cell::new(0) }
    }
}

impl Listener for ScriptedListener {
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

/// Accepts a connection after these errors. Returns the errors that were passed to the callback, and the time by the runtime's clock,
/// which only advances while all tasks wait.
async fn accept_after(
    errors: impl IntoIterator<Item = Errno>,
) -> (Vec<(Option<Errno>, AcceptError)>, Duration) {
    let listener = ScriptedListener::new(errors).await;
    // The connection is in the backlog before the first call, so that only pauses take time.
    let mut client = std::net::TcpStream::connect(listener.listener.local_addr().unwrap()).unwrap();
    let (mut reported, start) = (Vec::new(), Instant::now());
    let mut stream =
        accept(&listener, |error, kind| reported.push((Errno::from_io_error(error), kind))).await;
    let elapsed = start.elapsed();
    std::io::Write::write_all(&mut client, b"hello").unwrap();
    let mut read = [0; 5];
    stream.read_exact(&mut read).await.unwrap();
    assert_eq!(&read, b"hello", "it is the connection");
    (reported, elapsed)
}

/// A client that hung up, or a signal, does not delay the next client.
#[tokio::test(start_paused = true)]
async fn an_aborted_connection_is_skipped_at_once() {
    let errors = [
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
    assert_eq!(accept_after(errors).await, (Vec::new(), Duration::ZERO));
    let many = std::iter::repeat_n(Errno::CONNABORTED, MAX_ABORTED);
    assert_eq!(accept_after(many).await, (Vec::new(), Duration::ZERO), "as many as fit in the backlog");
}

/// It takes time until descriptors or memory are released.
#[tokio::test(start_paused = true)]
async fn a_lack_of_descriptors_or_memory_is_reported_and_followed_by_a_pause() {
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM] {
        let (reported, elapsed) = accept_after([errno, errno]).await;
        assert_eq!(reported, [(Some(errno), AcceptError::ResourceExhausted); 2]);
        assert!(elapsed >= 2 * ACCEPT_RETRY_DELAY, "{elapsed:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn any_other_error_is_reported_and_followed_by_a_pause() {
    let (reported, elapsed) = accept_after([Errno::INVAL]).await;
    assert_eq!(reported, [(Some(Errno::INVAL), AcceptError::Other)]);
    assert!(elapsed >= ACCEPT_RETRY_DELAY, "{elapsed:?}");
}

/// More errors in a row than the backlog can hold have another cause, and must not keep the processor busy for ever.
#[tokio::test(start_paused = true)]
async fn an_endless_row_of_aborts_is_reported_and_followed_by_a_pause() {
    let row = std::iter::repeat_n(Errno::CONNABORTED, MAX_ABORTED + 1);
    let (reported, elapsed) = accept_after(row).await;
    assert_eq!(reported, [(Some(Errno::CONNABORTED), AcceptError::Other)]);
    assert!(elapsed >= ACCEPT_RETRY_DELAY, "{elapsed:?}");
}

/// Between two errors of a row, other tasks run and sockets are polled.
#[tokio::test(start_paused = true)]
async fn a_row_of_aborts_does_not_starve_other_tasks() {
    LocalSet::new()
        .run_until(async {
            let listener =
                Rc::new(ScriptedListener::new(std::iter::repeat_n(Errno::CONNABORTED, MAX_ABORTED)).await);
            let address = listener.listener.local_addr().unwrap();
            // Another connection, which is to be served meanwhile; it has not been polled yet.
            let other = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let mut client = std::net::TcpStream::connect(other.local_addr().unwrap()).unwrap();
            std::io::Write::write_all(&mut client, b"ask").unwrap();
            let (row, calls) = (Rc::clone(&listener), Rc::new(Cell::new(None)));
            let (row_during_service, calls_at_response) = (Rc::clone(&listener), Rc::clone(&calls));
            let accepting = spawn_local(async move { accept(&*row, |_, _| {}).await });
            let serving = spawn_local(async move {
                let (mut stream, _) = other.accept().await.unwrap();
                stream.read_exact(&mut [0; 3]).await.unwrap();
                stream.write_all(b"answer").await.unwrap();
                calls_at_response.set(Some(row_during_service.calls.get()));
            });
            serving.await.unwrap();
            let calls = calls.get().expect("a response");
            assert!(calls <= MAX_ABORTED, "served before the row had ended, after {calls} calls");
            let mut read = [0; 6];
            std::io::Read::read_exact(&mut client, &mut read).unwrap();
            assert_eq!(&read, b"answer");
            let _last = std::net::TcpStream::connect(address).unwrap();
            accepting.await.unwrap();
        })
        .await;
}
