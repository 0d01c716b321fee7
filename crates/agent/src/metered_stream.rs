//! A TCP stream for hyper that also exposes what hyper hides: how much was read and written, whether the peer has closed, and
//! what the heads of requests state about their length.

use crate::framing::{Framing, RequestTracker, UnreadBody};
use crate::metrics::ClassCounters;
use crate::socket_error::retry_on_interrupt;
use hyper::rt::{Read, ReadBufCursor, Write};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{ready, Context, Poll};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The maximum number of bytes of one read; a message is seldom longer.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// The kernel's send buffer. With a larger one, a peer that reads slowly would look stalled for a long time.
const SEND_BUFFER_BYTES: usize = 64 * 1024;
/// The kernel's receive buffer. By itself it would grow to many megabytes for each peer that sends faster than its bytes are passed
/// on.
const RECEIVE_BUFFER_BYTES: usize = 128 * 1024;

thread_local! {
    /// Holds the bytes of one read on their way from the kernel to hyper.
    static READ_BUFFER: RefCell<[u8; READ_BUFFER_BYTES]> = const { RefCell::new([0; READ_BUFFER_BYTES]) };
}

/// How the stream of bytes from the peer ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    /// With a FIN and nothing else.
    Clean,
    /// With a reset.
    Reset,
}

/// The state that the stream and its monitors share.
#[derive(Default)]
struct Meter {
    end: Cell<Option<End>>,
    written: Cell<u64>,
    received: Cell<u64>,
    /// The number of bytes that may still be read before the connection fails; `None` for any number.
    read_limit: Cell<Option<u64>>,
    /// What is checked right before the first byte of a request is written.
    pending_request: Cell<Option<PendingRequest>>,
    /// Bytes had arrived before the first byte of a request was written.
    has_unrequested_bytes: Cell<bool>,
    /// Since when the peer has accepted none of the bytes that wait to be written; `None` if it has not stalled.
    write_stalled_since: Cell<Option<Instant>>,
    /// When the kernel last took bytes for sending.
    last_write_at: Cell<Option<Instant>>,
    /// The requests that arrive on a client's connection.
    requests: Option<RefCell<RequestTracker>>,
    bytes_arrived: Notify,
    /// Counts an attempt once this many bytes have been written in total.
    attempt_count: RefCell<Option<(u64, Rc<ClassCounters>)>>,
}

/// A request whose first byte has not been written yet.
struct PendingRequest {
    /// The bytes received so far; no more may arrive before the first byte is written.
    received: u64,
    /// The connection of the client that waits for the response, if there is one.
    client: Option<StreamMonitor>,
}

impl Meter {
    /// Records written bytes. This is the one place where an attempt is counted: when the kernel has taken its last byte.
    fn record_write(&self, bytes: usize) {
        let written = self.written.get() + bytes as u64;
        self.written.set(written);
        if bytes > 0 {
            self.write_stalled_since.set(None);
            self.last_write_at.set(Some(Instant::now()));
        }
        let mut attempt_count = self.attempt_count.borrow_mut();
        if let Some((_, counters)) = attempt_count.take_if(|(total_bytes, _)| written >= *total_bytes) {
            counters.attempts.increment();
        }
    }

    /// Records that a read found the end of the stream. No read reports a reset that followed the peer's FIN; it is a pending error
    /// of the socket.
    fn record_end(&self, stream: &TcpStream) {
        if self.end.get().is_none() {
            let is_clean = matches!(stream.take_error(), Ok(None));
            self.end.set(Some(if is_clean { End::Clean } else { End::Reset }));
        }
    }

    fn record_read(&self, bytes: &[u8]) -> io::Result<()> {
        self.received.set(self.received.get() + bytes.len() as u64);
        if let Some(left) = self.read_limit.get() {
            let left = left.checked_sub(bytes.len() as u64).ok_or(io::ErrorKind::FileTooLarge)?;
            self.read_limit.set(Some(left));
        }
        if let Some(requests) = &self.requests {
            requests.borrow_mut().feed(bytes);
        }
        self.bytes_arrived.notify_one();
        Ok(())
    }
}

/// Observes a stream while hyper owns it. Does not keep the socket open.
#[derive(Clone)]
pub struct StreamMonitor {
    stream: Weak<TcpStream>,
    meter: Rc<Meter>,
}

impl StreamMonitor {
    /// The bytes that the kernel has taken for sending.
    pub fn bytes_written(&self) -> u64 {
        self.meter.written.get()
    }

    /// When the kernel last took bytes for sending.
    pub fn last_write_at(&self) -> Option<Instant> {
        self.meter.last_write_at.get()
    }

    /// The bytes that have been read from the peer.
    pub fn bytes_received(&self) -> u64 {
        self.meter.received.get()
    }

    /// Whether a read has found the end of the stream.
    pub fn has_ended(&self) -> bool {
        self.meter.end.get().is_some()
    }

    /// Whether a read has found the end of the stream, and it was no reset.
    pub fn has_ended_cleanly(&self) -> bool {
        self.meter.end.get() == Some(End::Clean)
    }

    /// Since when the peer has accepted none of the bytes that wait to be written; `None` if it has not stalled.
    pub fn write_stalled_since(&self) -> Option<Instant> {
        self.meter.write_stalled_since.get()
    }

    /// Waits until more has been read than at the last call.
    pub async fn bytes_arrived(&self) {
        self.meter.bytes_arrived.notified().await;
    }

    /// Takes the framing of the next request, in the order of arrival.
    pub fn next_framing(&self) -> Option<Framing> {
        self.meter.requests.as_ref().and_then(|requests| requests.borrow_mut().next_framing())
    }

    /// Whether a part of another request has been read behind the one whose framing was taken last.
    pub fn has_next_request(&self) -> bool {
        self.meter.requests.as_ref().is_some_and(|requests| requests.borrow().has_next_request())
    }

    /// What has not been read of the body of the present request; `None` if all of it has been read.
    pub fn unread_body(&self) -> Option<UnreadBody> {
        self.meter.requests.as_ref().and_then(|requests| requests.borrow().unread_body())
    }

    /// Whether bytes after a request are not the beginning of another.
    pub fn has_trailing_garbage(&self) -> bool {
        self.meter.requests.as_ref().is_some_and(|requests| requests.borrow().has_trailing_garbage())
    }

    /// Prepares for writing a request. If bytes arrive or `client` closes before its first byte is written, the connection fails
    /// with nothing written: such bytes are no response to the request. After that, at most `max_response_bytes` are read.
    pub fn begin_request(&self, max_response_bytes: u64, client: Option<StreamMonitor>) {
        self.meter.pending_request.set(Some(PendingRequest { received: self.bytes_received(), client }));
        self.meter.read_limit.set(Some(max_response_bytes));
    }

    /// Whether bytes had arrived before the first byte of a request was written.
    pub fn has_unrequested_bytes(&self) -> bool {
        self.meter.has_unrequested_bytes.get()
    }

    /// Counts an attempt in `counters` once `total_bytes` have been written.
    pub fn count_attempt_at(&self, total_bytes: u64, counters: Option<Rc<ClassCounters>>) {
        *self.meter.attempt_count.borrow_mut() = counters.map(|counters| (total_bytes, counters));
        self.meter.record_write(0);
    }

    /// Counts no attempt from now on.
    pub fn stop_counting(&self) {
        *self.meter.attempt_count.borrow_mut() = None;
    }

    /// Removes the limit on the bytes that are read: the response is streamed, and its reader limits it.
    pub fn lift_read_limit(&self) {
        self.meter.read_limit.set(None);
    }

    /// Whether nothing has arrived on an idle connection: no bytes, no close and no error. Asks the kernel, since the runtime may
    /// not have polled the socket for a while.
    pub fn is_idle(&self) -> bool {
        self.stream.upgrade().is_some_and(|stream| is_idle(&stream))
    }

    /// Waits until the peer has closed its side, even behind bytes that have not been read. (hyper reads no further than the bytes
    /// that it has not consumed yet.)
    pub async fn closed_by_peer(&self) {
        if let Some(stream) = self.stream.upgrade() {
            // Of all interests that a socket can be registered for, only this one becomes ready by the end of the stream alone.
            if !stream.ready(Interest::PRIORITY).await.is_ok_and(|ready| !ready.is_read_closed()) {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Whether the peer has closed its side, even behind bytes that have not been read. Asks the kernel, since the runtime may not
    /// have polled the socket for a while.
    pub fn is_closed_by_peer(&self) -> bool {
        let Some(stream) = self.stream.upgrade() else { return true };
        match peek(&stream) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => false,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => has_hung_up(&stream),
            Ok(n) if n > 0 => has_hung_up(&stream),
            Ok(_) | Err(_) => true,
        }
    }

    /// The number of bytes that have arrived and have not been read. Where the kernel doesn't say how many, the most that the socket
    /// can hold.
    pub fn unread_bytes(&self) -> u64 {
        let Some(stream) = self.stream.upgrade().filter(|stream| matches!(peek(stream), Ok(n) if n > 0))
        else {
            return 0;
        };
        match rustix::io::ioctl_fionread(&*stream) {
            Ok(bytes @ 1..) => bytes,
            Ok(0) | Err(_) => {
                let capacity = socket2::SockRef::from(&*stream).recv_buffer_size();
                capacity.map_or(u64::MAX, |bytes| bytes as u64)
            }
        }
    }

    /// Whether the peer has sent bytes that have not been read.
    pub fn has_unread_bytes(&self) -> bool {
        self.stream.upgrade().is_some_and(|stream| matches!(peek(&stream), Ok(n) if n > 0))
    }
}

/// The number of unread bytes, at most 1; `Ok(0)` means that the peer has closed.
fn peek(stream: &TcpStream) -> io::Result<usize> {
    retry_on_interrupt(|| socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit(); 1]))
}

fn is_idle(stream: &TcpStream) -> bool {
    has_nothing_to_read(&peek(stream))
}

fn has_nothing_to_read(peeked: &io::Result<usize>) -> bool {
    matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

/// Whether the peer has closed its side, even behind bytes that have not been read.
fn has_hung_up(stream: &TcpStream) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    let ends = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    poll(&mut polled, Some(&Timespec::default())).is_ok() && polled[0].revents().intersects(ends)
}

/// Sends a FIN: nothing more will be written.
fn half_close(stream: &TcpStream) -> io::Result<()> {
    retry_on_interrupt(|| socket2::SockRef::from(stream).shutdown(std::net::Shutdown::Write))
}

/// Sends a FIN, then reads and drops bytes until the peer has closed too or has sent more than `max_bytes`.
///
/// Closing a socket with unread bytes resets the connection, as do bytes that arrive after the close. The reset would destroy
/// what of the last response is still in transit.
pub async fn lingering_close(stream: &TcpStream, mut max_bytes: usize) {
    let _ = half_close(stream);
    loop {
        if stream.readable().await.is_err() {
            return;
        }
        let read = READ_BUFFER.with_borrow_mut(|buffer| retry_on_interrupt(|| stream.try_read(buffer)));
        match read {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Ok(n) if (1..=max_bytes).contains(&n) => max_bytes -= n,
            Ok(_) | Err(_) => return,
        }
    }
}

/// The stream that hyper owns.
pub struct MeteredStream {
    stream: Rc<TcpStream>,
    meter: Rc<Meter>,
    /// Dropped when the connection ends, such as the guard that counts it.
    _held: Box<dyn Any>,
}

impl MeteredStream {
    /// Wraps a stream to another process, without delaying small messages. Drops `held` when the connection ends.
    pub fn new(stream: TcpStream, held: impl Any) -> (MeteredStream, StreamMonitor) {
        MeteredStream::with(stream, Box::new(held), Meter::default())
    }

    /// Wraps a client's stream, whose requests are tracked.
    pub fn for_client(stream: TcpStream) -> (MeteredStream, StreamMonitor) {
        MeteredStream::with(
            stream,
            Box::new(()),
            Meter { requests: Some(RefCell::default()), ..Meter::default() },
        )
    }

    fn with(stream: TcpStream, held: Box<dyn Any>, meter: Meter) -> (MeteredStream, StreamMonitor) {
        let _ = stream.set_nodelay(true);
        let _ = socket2::SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
        let _ = socket2::SockRef::from(&stream).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
        let (stream, meter) = (Rc::new(stream), Rc::new(meter));
        let monitor = StreamMonitor { stream: Rc::downgrade(&stream), meter: Rc::clone(&meter) };
        (MeteredStream { stream, meter, _held: held }, monitor)
    }
}

impl MeteredStream {
    /// The socket, which stays open until this is dropped too.
    pub fn socket(&self) -> Rc<TcpStream> {
        Rc::clone(&self.stream)
    }
}

impl Read for MeteredStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: ReadBufCursor<'_>) -> Poll<io::Result<()>> {
        self.read_with(cx, buf, |stream, bytes| stream.try_read(bytes))
    }
}

impl MeteredStream {
    fn read_with(
        &self,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
        mut read: impl FnMut(&TcpStream, &mut [u8]) -> io::Result<usize>,
    ) -> Poll<io::Result<()>> {
        let max_bytes = READ_BUFFER_BYTES.min(buf.remaining());
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            let read = READ_BUFFER.with_borrow_mut(|buffer| {
                let n = retry_on_interrupt(|| read(&self.stream, &mut buffer[..max_bytes]))?;
                if (1..max_bytes).contains(&n) {
                    // Nothing is left to read: the next read waits for a readiness event instead of making a system call in
                    // vain. (Events are edge-triggered, so none is missed.)
                    let _ = self
                        .stream
                        .try_io(Interest::READABLE, || Err::<(), _>(io::ErrorKind::WouldBlock.into()));
                }
                if n == 0 && max_bytes > 0 && self.meter.requests.is_none() {
                    self.meter.record_end(&self.stream);
                }
                buf.put_slice(&buffer[..n]);
                self.meter.record_read(&buffer[..n])
            });
            match read {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read),
            }
        }
    }
}

impl MeteredStream {
    fn write_with(
        &self,
        cx: &mut Context<'_>,
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        if let Some(PendingRequest { received, client }) = self.meter.pending_request.take() {
            let has_client_closed = client.is_some_and(|client| client.is_closed_by_peer());
            let peeked = peek(&self.stream);
            let has_bytes = received != self.meter.received.get() || matches!(peeked, Ok(n) if n > 0);
            if has_client_closed || has_bytes || !has_nothing_to_read(&peeked) {
                self.meter.has_unrequested_bytes.set(has_bytes);
                return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
            }
        }
        loop {
            if self.stream.poll_write_ready(cx)?.is_pending() {
                let since = self.meter.write_stalled_since.get().unwrap_or_else(Instant::now);
                self.meter.write_stalled_since.set(Some(since));
                return Poll::Pending;
            }
            match retry_on_interrupt(|| write(&self.stream)) {
                Ok(n) => {
                    self.meter.record_write(n);
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl Write for MeteredStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(half_close(&self.stream))
    }
}

#[cfg(test)]
mod tests;
