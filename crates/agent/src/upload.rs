//! Bodies of requests. A short body is buffered completely. Of a longer one the beginning is buffered, and the rest is streamed to
//! a record server, no faster than the server takes it.

use crate::body_arrival::BodyArrival;
use crate::body_buffer::BodyBuffer;
use crate::metered_stream::StreamMonitor;
use crate::send_buffer::max_send_buffer_bytes;
use bytes::Bytes;
use heronhoist_engine::timing::{stalled_since, DeadlineTimer};
use heronhoist_engine::{QuotaShare, Reservation, StreamingBody};
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// The largest body that either side may send, in bytes.
pub const MAX_BODY_BYTES: u64 = 32 * 1024 * 1024;
/// The part of a body that is buffered, in bytes; a body that fits can be sent again.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// The maximum size of the buffered beginning after more has been read ahead, ...
const MAX_READ_AHEAD_BYTES: usize = 1024 * 1024;
/// ... for which memory is reserved in steps.
const READ_AHEAD_STEP_BYTES: usize = 64 * 1024;
/// How long a read may wait for the next bytes from the client.
const READ_TIMEOUT: Duration = Duration::from_millis(1200);
/// How long all reads of a body may wait together, apart from a time for each byte.
const BASE_BODY_TIMEOUT: Duration = Duration::from_millis(1500);
/// The lowest rate at which bodies are transferred; the time for a read grows with the bytes at this rate. Clients may send at
/// 64 kB/s; half of that leaves a margin for delays of this machine.
pub const MIN_BYTES_PER_S: u64 = 32_000;

/// Why a body did not arrive completely.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum UploadError {
    /// The connection failed, or its transfer coding is invalid.
    Unreadable,
    /// It arrived too slowly, or stopped.
    TooSlow,
    /// It has more than [`MAX_BODY_BYTES`].
    TooLarge,
}

/// Reads a client's body, with a limit on its size and on the time that reads wait for the client.
pub struct BodyReader {
    body: Incoming,
    bytes_read: u64,
    /// The time that reads have waited for the client so far.
    waited: Duration,
    /// When the present read began to wait.
    waiting_since: Option<Instant>,
    timer: DeadlineTimer,
}

impl BodyReader {
    /// A reader of this body, of which nothing has been read.
    pub fn new(body: Incoming) -> Self {
        let timer = DeadlineTimer::new(Instant::now());
        BodyReader { body, bytes_read: 0, waited: Duration::ZERO, waiting_since: None, timer }
    }

    /// Reads the next bytes; `None` at the end. Time counts against the client only while a read waits for it.
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, UploadError>>> {
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) else {
                if self.waiting_since.is_none() {
                    let now = Instant::now();
                    self.waiting_since = Some(now);
                    let earned = Duration::from_secs_f64(self.bytes_read as f64 / MIN_BYTES_PER_S as f64);
                    let left = (BASE_BODY_TIMEOUT + earned).saturating_sub(self.waited);
                    self.timer.reset(now + left.min(READ_TIMEOUT));
                }
                ready!(self.timer.poll_expired(cx));
                return Poll::Ready(Some(Err(UploadError::TooSlow)));
            };
            if let Some(since) = self.waiting_since.take() {
                let wait = since.elapsed();
                // The time may include a delay of this process itself, so no more than the timeout counts.
                self.waited += wait.min(READ_TIMEOUT);
            }
            return Poll::Ready(match frame {
                None => None,
                Some(Err(_)) => Some(Err(UploadError::Unreadable)),
                Some(Ok(frame)) => match frame.into_data() {
                    // No server needs trailers.
                    Err(_) => continue,
                    Ok(data) => {
                        self.bytes_read += data.len() as u64;
                        let fits = self.bytes_read <= MAX_BODY_BYTES;
                        Some(if fits { Ok(data) } else { Err(UploadError::TooLarge) })
                    }
                },
            });
        }
    }

    /// Reads the next bytes; `None` at the end.
    pub async fn next(&mut self) -> Option<Result<Bytes, UploadError>> {
        poll_fn(|cx| self.poll_next(cx)).await
    }

    /// Reads the rest and drops it, so that the client gets to read its response; ends early if the rest is too slow or too large.
    pub async fn discard(mut self) {
        while let Some(Ok(_)) = self.next().await {}
    }
}

/// How much of a streamed body has arrived.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum UploadState {
    /// Not all of it.
    Incomplete,
    /// All of it, the last byte at this time.
    Complete(Instant),
    /// Not all of it, and no more is expected.
    Failed(UploadError),
}

/// A streamed body: one that is too long to be buffered.
pub struct Upload {
    /// Its beginning, until an attempt takes more than that.
    buffered: RefCell<Option<BodyBuffer>>,
    /// The memory for what has been read ahead.
    read_ahead: RefCell<Vec<Reservation>>,
    rest: RefCell<Option<BodyReader>>,
    /// Its total length, if the head states it.
    length: Option<u64>,
    is_consumed: Cell<bool>,
    /// When its last byte may have arrived.
    arrival: RefCell<BodyArrival>,
    /// The connection that it arrives on.
    client: StreamMonitor,
    /// The present read found nothing to read, and has waited for the client since.
    awaits_client: Cell<bool>,
    state: watch::Sender<UploadState>,
}

impl Upload {
    /// A body whose beginning has been read from this connection.
    pub fn new(
        buffered: BodyBuffer,
        rest: BodyReader,
        length: Option<u64>,
        client: StreamMonitor,
    ) -> Rc<Self> {
        let state = watch::Sender::new(UploadState::Incomplete);
        let arrival = RefCell::new(BodyArrival::new(Instant::now(), max_send_buffer_bytes()));
        let (buffered, rest) = (RefCell::new(Some(buffered)), RefCell::new(Some(rest)));
        let (is_consumed, awaits_client) = (Cell::new(false), Cell::new(false));
        let read_ahead = RefCell::default();
        Rc::new(Upload {
            buffered,
            read_ahead,
            rest,
            length,
            is_consumed,
            arrival,
            client,
            awaits_client,
            state,
        })
    }

    /// The earliest time at which the last byte can have arrived, by what has been seen until now. It is the present if some of the
    /// body certainly has not arrived.
    pub fn earliest_completion(&self) -> Instant {
        if let UploadState::Complete(at) = self.state() {
            return at;
        }
        self.observe_arrival();
        self.arrival.borrow().earliest_completion()
    }

    /// Notes the time if some of the body certainly has not arrived. Returns whether that is so.
    fn observe_arrival(&self) -> bool {
        self.observe_arrival_with(self.client.unread_bytes())
    }

    /// The same if so many bytes lie in the client's socket.
    fn observe_arrival_with(&self, in_socket: u64) -> bool {
        let mut arrival = self.arrival.borrow_mut();
        let may_be_complete = arrival.may_be_complete(self.client.unread_body(), in_socket);
        if !may_be_complete {
            arrival.record_incomplete(Instant::now());
        }
        !may_be_complete
    }

    /// Notes that a read has returned bytes.
    fn record_read(&self, bytes_read: u64) {
        let (now, in_socket) = (Instant::now(), self.client.unread_bytes());
        if self.awaits_client.take() {
            // They have just arrived, or while the process was suspended.
            self.arrival.borrow_mut().record_incomplete(stalled_since().unwrap_or(now));
        }
        self.arrival.borrow_mut().record_read(now, bytes_read, in_socket);
        self.observe_arrival_with(in_socket);
    }

    /// The state once the last byte has been read.
    fn complete_state(&self) -> UploadState {
        UploadState::Complete(self.arrival.borrow().earliest_completion())
    }

    /// Whether an attempt has taken more than the buffered beginning, so that no other can send the whole body.
    pub fn is_consumed(&self) -> bool {
        self.is_consumed.get()
    }

    /// How much of it has arrived.
    pub fn state(&self) -> UploadState {
        *self.state.borrow()
    }

    /// Waits until all of it has arrived, or no more is expected.
    pub async fn wait_until_finished(&self) -> UploadState {
        let mut state = self.state.subscribe();
        let finished = state.wait_for(|state| *state != UploadState::Incomplete).await;
        finished.map_or(UploadState::Failed(UploadError::Unreadable), |state| *state)
    }

    /// The total length; `None` while it is unknown.
    pub fn total_bytes(&self) -> Option<u64> {
        match (self.length, self.state(), &*self.rest.borrow()) {
            (Some(length), ..) => Some(length),
            (None, UploadState::Complete(_), Some(rest)) => Some(rest.bytes_read),
            _ => None,
        }
    }

    /// Ends the use of the body. Returns the rest that the client may still be writing, which must be read so that the client gets to
    /// read its response; `None` if there is no rest.
    pub fn abandon(&self) -> Option<BodyReader> {
        self.is_consumed.set(true);
        let is_incomplete = self.state.send_if_modified(|state| {
            let is_incomplete = *state == UploadState::Incomplete;
            if is_incomplete {
                *state = UploadState::Failed(UploadError::Unreadable);
            }
            is_incomplete
        });
        self.rest.borrow_mut().take().filter(|_| is_incomplete)
    }

    /// Buffers more of the body while `condition` holds and more has arrived, within the quota for `bodies`. Returns false if there is
    /// no room for more, or an attempt has begun to send the body.
    pub async fn read_ahead(&self, bodies: &Rc<QuotaShare>, condition: impl Fn() -> bool) -> bool {
        while condition() && self.state() == UploadState::Incomplete {
            let buffered = self.buffered.borrow().as_ref().map_or(MAX_READ_AHEAD_BYTES, BodyBuffer::len);
            if buffered >= MAX_READ_AHEAD_BYTES || !self.reserve_for(buffered, bodies) {
                return false;
            }
            let next = poll_fn(|cx| self.poll_next(cx)).await;
            if let (Some(Ok(data)), Some(buffer)) = (next, &mut *self.buffered.borrow_mut()) {
                buffer.push(data);
            }
        }
        true
    }

    /// Reserves memory for more bytes behind the first `buffered` ones; returns false if there is none.
    fn reserve_for(&self, buffered: usize, bodies: &Rc<QuotaShare>) -> bool {
        let mut reservations = self.read_ahead.borrow_mut();
        // The beginning, and one read beyond it, are reserved for already.
        let reserved = MAX_BUFFERED_BYTES + reservations.len() * READ_AHEAD_STEP_BYTES;
        if buffered >= reserved {
            reservations.extend(bodies.try_reserve(READ_AHEAD_STEP_BYTES));
        }
        buffered < MAX_BUFFERED_BYTES + reservations.len() * READ_AHEAD_STEP_BYTES
    }

    /// Reads on for an attempt, after which the body can't be sent again.
    fn poll_rest(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, UploadError>>> {
        let next = ready!(self.poll_next(cx));
        if let Some(Ok(_)) = next {
            self.is_consumed.set(true);
            self.buffered.borrow_mut().take();
            self.read_ahead.borrow_mut().clear();
        }
        Poll::Ready(next)
    }

    fn poll_next(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, UploadError>>> {
        if let UploadState::Complete(_) = self.state() {
            return Poll::Ready(None);
        }
        let mut rest = self.rest.borrow_mut();
        let Some(rest) = rest.as_mut() else { return Poll::Ready(Some(Err(UploadError::Unreadable))) };
        let Poll::Ready(next) = rest.poll_next(cx) else {
            if !self.awaits_client.get() {
                self.awaits_client.set(self.observe_arrival());
            }
            return Poll::Pending;
        };
        match &next {
            Some(Ok(_)) => {
                self.record_read(rest.bytes_read);
                if self.length == Some(rest.bytes_read) {
                    self.state.send_replace(self.complete_state());
                }
            }
            Some(Err(error)) => drop(self.state.send_replace(UploadState::Failed(*error))),
            None => {
                self.record_read(rest.bytes_read);
                self.state.send_replace(self.complete_state());
            }
        }
        Poll::Ready(next)
    }
}

impl StreamingBody for Upload {
    fn progress(&self) -> heronhoist_engine::BodyProgress {
        Upload::state(self).into()
    }

    fn is_consumed(&self) -> bool {
        Upload::is_consumed(self)
    }

    fn earliest_completion(&self) -> Instant {
        Upload::earliest_completion(self)
    }

    fn finished(&self) -> Pin<Box<dyn Future<Output = heronhoist_engine::BodyProgress> + '_>> {
        Box::pin(async { Upload::wait_until_finished(self).await.into() })
    }
}

impl From<UploadState> for heronhoist_engine::BodyProgress {
    fn from(state: UploadState) -> Self {
        match state {
            UploadState::Incomplete => heronhoist_engine::BodyProgress::Incomplete,
            UploadState::Complete(at) => heronhoist_engine::BodyProgress::Complete(at),
            UploadState::Failed(_) => heronhoist_engine::BodyProgress::Failed,
        }
    }
}

/// The body of a request that is forwarded.
#[derive(Clone)]
pub enum RequestBody {
    /// The whole body.
    Buffered(Bytes),
    /// A body that is still arriving.
    Streaming(Rc<Upload>),
}

impl RequestBody {
    /// The streamed body, if this is one.
    pub fn upload(&self) -> Option<&Rc<Upload>> {
        match self {
            RequestBody::Buffered(_) => None,
            RequestBody::Streaming(upload) => Some(upload),
        }
    }

    /// The body for one attempt.
    pub fn attempt_body(&self) -> AttemptBody {
        match self {
            RequestBody::Buffered(bytes) => AttemptBody::Buffered(Full::new(bytes.clone())),
            RequestBody::Streaming(upload) => {
                // Between two attempts nothing is read, so what arrives then is not seen to arrive.
                upload.awaits_client.set(false);
                AttemptBody::Streaming { upload: Rc::clone(upload), has_begun: false, written: 0 }
            }
        }
    }
}

/// A request's body as one attempt sends it.
pub enum AttemptBody {
    /// The whole body.
    Buffered(Full<Bytes>),
    /// The buffered beginning, then the rest as it arrives.
    Streaming {
        /// The body.
        upload: Rc<Upload>,
        /// The buffered beginning has been passed to hyper.
        has_begun: bool,
        /// The number of bytes passed to hyper so far.
        written: u64,
    },
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        match self.get_mut() {
            AttemptBody::Buffered(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            AttemptBody::Streaming { upload, has_begun, written } => {
                let buffered = match &mut *upload.buffered.borrow_mut() {
                    Some(buffer) if !*has_begun => Some(buffer.share()),
                    _ => None,
                };
                let data = match buffered {
                    Some(data) => {
                        *has_begun = true;
                        Some(Ok(data))
                    }
                    None => ready!(upload.poll_rest(cx)),
                };
                let incomplete = |_| std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
                Poll::Ready(data.map(|data| {
                    let data = data.map_err(incomplete)?;
                    *written += data.len() as u64;
                    Ok(Frame::data(data))
                }))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AttemptBody::Buffered(body) => body.is_end_stream(),
            AttemptBody::Streaming { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AttemptBody::Buffered(body) => body.size_hint(),
            AttemptBody::Streaming { upload, written, .. } => {
                upload.length.map_or_else(SizeHint::default, |length| SizeHint::with_exact(length - written))
            }
        }
    }
}
