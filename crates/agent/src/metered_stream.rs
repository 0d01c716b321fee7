//! A TCP stream as hyper wants it, which also tells what hyper hides: how much was read and written, whether the peer
//! has closed, and what the heads of requests say of their length.

use crate::framing::{Framing, RequestTracker};
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

/// Read at a time; a message is seldom longer.
const CHUNK: usize = 16 * 1024;
/// What the machine may hold of what is to be sent: with more, a slow peer would seem to take nothing for long.
const SEND_BUFFER: usize = 64 * 1024;

thread_local! {
    /// Where bytes stand between the kernel and hyper, for one read at a time.
    static BETWEEN: RefCell<[u8; CHUNK]> = const { RefCell::new([0; CHUNK]) };
}

/// What stood behind the end of what a peer sends.
#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    /// Its FIN and nothing else.
    Orderly,
    /// A reset.
    Broken,
}

/// What a connection tells of itself.
#[derive(Default)]
struct Meter {
    end: Cell<Option<End>>,
    written: Cell<u64>,
    received: Cell<u64>,
    /// Bytes that may still be read before the connection ends; `None` for any number.
    allowance: Cell<Option<u64>>,
    /// What is asked once more right before the first byte of a request is written.
    armed: Cell<Option<Armed>>,
    /// Something came before that.
    unrequested: Cell<bool>,
    /// Since when the peer has taken nothing of what waits to be written.
    write_stalled_since: Cell<Option<Instant>>,
    /// When the machine has last taken something for sending.
    wrote_at: Cell<Option<Instant>>,
    /// The requests that come, on a client's connection.
    requests: Option<RefCell<RequestTracker>>,
    arrived: Notify,
    /// Counts an attempt once so many bytes have been written.
    tally: RefCell<Option<(u64, Rc<ClassCounters>)>>,
}

/// A request that is about to be written.
struct Armed {
    /// What had been received by then; nothing more may come before its first byte.
    received: u64,
    /// The connection of the client that waits for it, if there is one.
    client: Option<StreamMonitor>,
}

impl Meter {
    /// The one point where an attempt is counted: the machine has taken its last byte.
    fn give_out(&self, bytes: usize) {
        let written = self.written.get() + bytes as u64;
        self.written.set(written);
        if bytes > 0 {
            self.write_stalled_since.set(None);
            self.wrote_at.set(Some(Instant::now()));
        }
        let mut tally = self.tally.borrow_mut();
        if let Some((_, counters)) = tally.take_if(|(goal, _)| written >= *goal) {
            counters.attempts.increment();
        }
    }

    /// A read has found the end. A reset that came behind the peer's FIN is told by no read; it stands in the socket.
    fn end_of_stream(&self, stream: &TcpStream) {
        if self.end.get().is_none() {
            let is_orderly = matches!(stream.take_error(), Ok(None));
            self.end.set(Some(if is_orderly { End::Orderly } else { End::Broken }));
        }
    }

    fn take_in(&self, bytes: &[u8]) -> io::Result<()> {
        self.received.set(self.received.get() + bytes.len() as u64);
        if let Some(left) = self.allowance.get() {
            let left = left.checked_sub(bytes.len() as u64).ok_or(io::ErrorKind::FileTooLarge)?;
            self.allowance.set(Some(left));
        }
        if let Some(requests) = &self.requests {
            requests.borrow_mut().feed(bytes);
        }
        self.arrived.notify_one();
        Ok(())
    }
}

/// What can be asked of a connection while hyper owns it. It does not keep the socket open.
#[derive(Clone)]
pub struct StreamMonitor {
    stream: Weak<TcpStream>,
    meter: Rc<Meter>,
}

impl StreamMonitor {
    /// Bytes that the machine has taken for sending.
    pub fn bytes_written(&self) -> u64 {
        self.meter.written.get()
    }

    /// When the machine has last taken something for sending.
    pub fn last_write_at(&self) -> Option<Instant> {
        self.meter.wrote_at.get()
    }

    /// Bytes that have been read from the peer.
    pub fn bytes_received(&self) -> u64 {
        self.meter.received.get()
    }

    /// Whether the end of what the peer sends has been read.
    pub fn has_ended(&self) -> bool {
        self.meter.end.get().is_some()
    }

    /// Whether it has been read, and the peer has ended in order.
    pub fn has_ended_cleanly(&self) -> bool {
        self.meter.end.get() == Some(End::Orderly)
    }

    /// Since when the peer has taken nothing of what waits to be written.
    pub fn write_stalled_since(&self) -> Option<Instant> {
        self.meter.write_stalled_since.get()
    }

    /// Comes back once more has been read than at the last call.
    pub async fn bytes_arrived(&self) {
        self.meter.arrived.notified().await;
    }

    /// What the head of the next request says, in the order in which they came.
    pub fn next_framing(&self) -> Option<Framing> {
        self.meter.requests.as_ref().and_then(|requests| requests.borrow_mut().next_framing())
    }

    /// Another request has begun to come behind the one that was asked for last, and has been read so far.
    pub fn has_next_request(&self) -> bool {
        self.meter.requests.as_ref().is_some_and(|requests| requests.borrow().has_next_request())
    }

    /// More has come than a request, and it is not the beginning of another.
    pub fn has_trailing_garbage(&self) -> bool {
        self.meter.requests.as_ref().is_some_and(|requests| requests.borrow().has_trailing_garbage())
    }

    /// A request is about to be written. Whatever comes before its first byte is no answer to it and ends the
    /// connection instead, with nothing written, and so does the close of its `client`; after it, no more than
    /// `allowance` bytes are read.
    pub fn begin_request(&self, allowance: u64, client: Option<StreamMonitor>) {
        self.meter.armed.set(Some(Armed { received: self.bytes_received(), client }));
        self.meter.allowance.set(Some(allowance));
    }

    /// Bytes came ahead of the first one of an armed request.
    pub fn has_unrequested_bytes(&self) -> bool {
        self.meter.unrequested.get()
    }

    /// Counts an attempt for `counters` when so many bytes have been written in all.
    pub fn count_attempt_at(&self, goal: u64, counters: Option<Rc<ClassCounters>>) {
        *self.meter.tally.borrow_mut() = counters.map(|counters| (goal, counters));
        self.meter.give_out(0);
    }

    /// Of what is written nothing is counted any more.
    pub fn stop_counting(&self) {
        *self.meter.tally.borrow_mut() = None;
    }

    /// The answer that comes is a long one; whoever reads it sees to its end.
    pub fn lift_read_limit(&self) {
        self.meter.allowance.set(None);
    }

    /// True if an idle connection still is one: nothing has come on it, no close and no error either. Asked of the
    /// kernel, since the runtime may not have looked at the socket for a while.
    pub fn is_idle(&self) -> bool {
        self.stream.upgrade().is_some_and(|stream| is_quiet(&stream))
    }

    /// Comes back once the peer has closed its side, whatever it has sent before that and nobody has read. (hyper looks
    /// no further than what it has not used yet.)
    pub async fn closed_by_peer(&self) {
        if let Some(stream) = self.stream.upgrade() {
            // Of all that a socket is registered for, this interest is met by the end of what comes, and nothing else.
            if !stream.ready(Interest::PRIORITY).await.is_ok_and(|ready| !ready.is_read_closed()) {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// True if the peer has closed its side, whatever it has sent before that and nobody has read. Asked of the kernel,
    /// since the runtime may not have looked at the socket for a while.
    pub fn is_closed_by_peer(&self) -> bool {
        let Some(stream) = self.stream.upgrade() else { return true };
        match peek(&stream) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => false,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => has_hung_up(&stream),
            Ok(n) if n > 0 => has_hung_up(&stream),
            Ok(_) | Err(_) => true,
        }
    }

    /// True if the peer has sent something that waits to be read.
    pub fn has_unread_bytes(&self) -> bool {
        self.stream.upgrade().is_some_and(|stream| matches!(peek(&stream), Ok(n) if n > 0))
    }
}

/// What the peer has sent that nobody has read yet; `Ok(0)` says that it has closed.
fn peek(stream: &TcpStream) -> io::Result<usize> {
    retry_on_interrupt(|| socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit(); 1]))
}

fn is_quiet(stream: &TcpStream) -> bool {
    nothing_came(&peek(stream))
}

fn nothing_came(peeked: &io::Result<usize>) -> bool {
    matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

/// True if the peer has closed its side, be it behind bytes that nobody has read.
fn has_hung_up(stream: &TcpStream) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    let ends = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    poll(&mut polled, Some(&Timespec::default())).is_ok() && polled[0].revents().intersects(ends)
}

/// Says that nothing more will be written.
fn half_close(stream: &TcpStream) -> io::Result<()> {
    retry_on_interrupt(|| socket2::SockRef::from(stream).shutdown(std::net::Shutdown::Write))
}

/// Says that nothing more will be written, and reads on what nobody wants until the peer has closed too, or has sent more
/// than `most`. A close over bytes that nobody has read resets the connection, as do bytes that come after it, and takes
/// with it what of the last answer is still under way.
pub async fn lingering_close(stream: &TcpStream, mut most: usize) {
    let _ = half_close(stream);
    loop {
        if stream.readable().await.is_err() {
            return;
        }
        let read = BETWEEN.with_borrow_mut(|between| retry_on_interrupt(|| stream.try_read(between)));
        match read {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Ok(n) if (1..=most).contains(&n) => most -= n,
            Ok(_) | Err(_) => return,
        }
    }
}

/// The stream that hyper owns.
pub struct MeteredStream {
    stream: Rc<TcpStream>,
    meter: Rc<Meter>,
    /// Given back when the connection ends, whatever it is.
    _held: Box<dyn Any>,
}

impl MeteredStream {
    /// Wraps a stream to a backend or to discovery; small messages go out at once. What is `held` is given back when
    /// the connection ends.
    pub fn new(stream: TcpStream, held: impl Any) -> (MeteredStream, StreamMonitor) {
        MeteredStream::with(stream, Box::new(held), Meter::default())
    }

    /// Wraps a client's stream, and looks at the heads of its requests.
    pub fn for_client(stream: TcpStream) -> (MeteredStream, StreamMonitor) {
        MeteredStream::with(
            stream,
            Box::new(()),
            Meter { requests: Some(RefCell::default()), ..Meter::default() },
        )
    }

    fn with(stream: TcpStream, held: Box<dyn Any>, meter: Meter) -> (MeteredStream, StreamMonitor) {
        let _ = stream.set_nodelay(true);
        let _ = socket2::SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER);
        let (stream, meter) = (Rc::new(stream), Rc::new(meter));
        let monitor = StreamMonitor { stream: Rc::downgrade(&stream), meter: Rc::clone(&meter) };
        (MeteredStream { stream, meter, _held: held }, monitor)
    }
}

impl MeteredStream {
    /// The socket, which stays open until this is dropped too.
    pub fn stream(&self) -> Rc<TcpStream> {
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
        let room = CHUNK.min(buf.remaining());
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            let read = BETWEEN.with_borrow_mut(|between| {
                let n = retry_on_interrupt(|| read(&self.stream, &mut between[..room]))?;
                if (1..room).contains(&n) {
                    // That was all there is: the next read waits for the kernel to say that there is more, and need
                    // not ask for it in vain. (Events come on edges, so none is missed.)
                    let _ = self
                        .stream
                        .try_io(Interest::READABLE, || Err::<(), _>(io::ErrorKind::WouldBlock.into()));
                }
                if n == 0 && room > 0 && self.meter.requests.is_none() {
                    self.meter.end_of_stream(&self.stream);
                }
                buf.put_slice(&between[..n]);
                self.meter.take_in(&between[..n])
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
        if let Some(Armed { received, client }) = self.meter.armed.take() {
            let is_gone = client.is_some_and(|client| client.is_closed_by_peer());
            let peeked = peek(&self.stream);
            let has_bytes = received != self.meter.received.get() || matches!(peeked, Ok(n) if n > 0);
            if is_gone || has_bytes || !nothing_came(&peeked) {
                self.meter.unrequested.set(has_bytes);
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
                    self.meter.give_out(n);
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
