//! Bodies of requests: what is short is held whole; of what is longer the beginning is held, and the rest goes on to
//! a backend as it comes, no faster than that backend takes it.

use bytes::Bytes;
use heronhoist_engine::timing::DeadlineTimer;
use heronhoist_engine::StreamingBody;
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

/// The largest body that either side may send.
pub const MAX_BODY_BYTES: u64 = 32 * 1024 * 1024;
/// Of a body so much is held; one that is no longer can be sent again.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// A client that is waited for must send something within this,
const SILENCE_MOST: Duration = Duration::from_millis(1200);
/// and over the whole body be waited for no longer than this and a time for each byte. Clients may send 64 kB a
/// second; half of that leaves room for what the machine delays.
const WAIT_BASE: Duration = Duration::from_millis(1500);
const WAIT_BYTES_PER_S: f64 = 32_000.0;

/// Of a body whose rest nobody reads, this much at most may have left its client all the same: what the two sockets can hold.
const UNREAD_MOST: u64 = 4 * 1024 * 1024;
/// What lies in the socket is read without so long a wait.
const PAUSE_LEAST: Duration = Duration::from_millis(10);

/// Why a body did not come whole.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum UploadError {
    /// Its connection or its coding broke.
    Unreadable,
    /// It came too slowly or stopped.
    TooSlow,
    /// There is more of it than may be.
    TooLarge,
}

/// A body as it comes from a client, at the pace of whoever reads it.
pub struct BodyReader {
    body: Incoming,
    read: u64,
    /// How long the client was waited for in all, and since when it is now.
    waited: Duration,
    waiting_since: Option<Instant>,
    /// It was waited for in earnest since this was last set to false: then not all of it had come.
    has_paused: bool,
    limit: DeadlineTimer,
}

impl BodyReader {
    /// Nothing read yet.
    pub fn new(body: Incoming) -> Self {
        let limit = DeadlineTimer::new(Instant::now());
        BodyReader { body, read: 0, waited: Duration::ZERO, waiting_since: None, has_paused: false, limit }
    }

    /// The next bytes; `None` at the end. Time counts against the client only while it is waited for.
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, UploadError>>> {
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) else {
                if self.waiting_since.is_none() {
                    let now = Instant::now();
                    self.waiting_since = Some(now);
                    let earned = Duration::from_secs_f64(self.read as f64 / WAIT_BYTES_PER_S);
                    let left = (WAIT_BASE + earned).saturating_sub(self.waited);
                    self.limit.reset(now + left.min(SILENCE_MOST));
                }
                ready!(self.limit.poll_expired(cx));
                return Poll::Ready(Some(Err(UploadError::TooSlow)));
            };
            if let Some(since) = self.waiting_since.take() {
                let wait = since.elapsed();
                // What this process was held up itself is not all the client's.
                self.waited += wait.min(SILENCE_MOST);
                self.has_paused |= wait >= PAUSE_LEAST;
            }
            return Poll::Ready(match frame {
                None => None,
                Some(Err(_)) => Some(Err(UploadError::Unreadable)),
                Some(Ok(frame)) => match frame.into_data() {
                    // Trailers say nothing that a backend needs.
                    Err(_) => continue,
                    Ok(data) => {
                        self.read += data.len() as u64;
                        let fits = self.read <= MAX_BODY_BYTES;
                        Some(if fits { Ok(data) } else { Err(UploadError::TooLarge) })
                    }
                },
            });
        }
    }

    /// The next bytes; `None` at the end.
    pub async fn next(&mut self) -> Option<Result<Bytes, UploadError>> {
        poll_fn(|cx| self.poll_next(cx)).await
    }

    /// Reads on what nobody wants, so that its client comes to read its answer; what it says too late or too long
    /// ends it.
    pub async fn discard(mut self) {
        while let Some(Ok(_)) = self.next().await {}
    }
}

/// How far a long body has come.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum UploadState {
    /// More of it is to come.
    Incomplete,
    /// Its last byte came then.
    Complete(Instant),
    /// It will not come whole.
    Failed(UploadError),
}

/// A body too long to be held whole.
pub struct Upload {
    /// Its beginning, until more than that has been taken.
    held: RefCell<Vec<Bytes>>,
    rest: RefCell<Option<BodyReader>>,
    /// Bytes of it in all, if its head says so.
    length: Option<u64>,
    spent: Cell<bool>,
    /// Since when nobody has read on in it, and for how long that was so before an attempt did.
    unread_since: Instant,
    unread_for: Cell<Option<Duration>>,
    coming: watch::Sender<UploadState>,
}

impl Upload {
    /// A body of which this has come.
    pub fn new(held: Vec<Bytes>, rest: BodyReader, length: Option<u64>) -> Rc<Self> {
        let coming = watch::Sender::new(UploadState::Incomplete);
        let (held, rest) = (RefCell::new(held), RefCell::new(Some(rest)));
        let (spent, unread_since, unread_for) = (Cell::new(false), Instant::now(), Cell::new(None));
        Rc::new(Upload { held, rest, length, spent, unread_since, unread_for, coming })
    }

    /// Since when its client may have sent all of it with nobody reading on; `None` if somebody has, or if it can't.
    pub fn unread_since(&self) -> Option<Instant> {
        let may_be_whole = self.length.is_none_or(|bytes| bytes <= UNREAD_MOST);
        (may_be_whole && self.unread_for.get().is_none()).then_some(self.unread_since)
    }

    /// The last of it has been read. If it was never waited for, it lay here whole before an attempt read on.
    fn whole(&self, rest: &BodyReader) -> UploadState {
        let lay = self.unread_for.get().filter(|_| !rest.has_paused && rest.read <= UNREAD_MOST);
        let now = Instant::now();
        UploadState::Complete(now.checked_sub(lay.unwrap_or_default()).unwrap_or(now))
    }

    /// What it holds is not all that an attempt had any more.
    pub fn is_consumed(&self) -> bool {
        self.spent.get()
    }

    /// How far it has come.
    pub fn state(&self) -> UploadState {
        *self.coming.borrow()
    }

    /// Comes back when the last of it has come, or never will.
    pub async fn wait_until_finished(&self) -> UploadState {
        let mut coming = self.coming.subscribe();
        let wait_until_finished = coming.wait_for(|coming| *coming != UploadState::Incomplete).await;
        wait_until_finished.map_or(UploadState::Failed(UploadError::Unreadable), |coming| *coming)
    }

    /// How many bytes an attempt must have written of it to have written all; `None` while nobody knows.
    pub fn total_bytes(&self) -> Option<u64> {
        match (self.length, self.state(), &*self.rest.borrow()) {
            (Some(length), ..) => Some(length),
            (None, UploadState::Complete(_), Some(rest)) => Some(rest.read),
            _ => None,
        }
    }

    /// Nothing will be sent of it any more. What its client may still be writing has to be read, or it would not come
    /// to read its answer; `None` if there is no more.
    pub fn abandon(&self) -> Option<BodyReader> {
        self.spent.set(true);
        let more = self.coming.send_if_modified(|coming| {
            let more = *coming == UploadState::Incomplete;
            if more {
                *coming = UploadState::Failed(UploadError::Unreadable);
            }
            more
        });
        self.rest.borrow_mut().take().filter(|_| more)
    }

    fn poll_rest(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, UploadError>>> {
        if let UploadState::Complete(_) = self.state() {
            return Poll::Ready(None);
        }
        let mut rest = self.rest.borrow_mut();
        let Some(rest) = rest.as_mut() else { return Poll::Ready(Some(Err(UploadError::Unreadable))) };
        if self.unread_for.get().is_none() {
            self.unread_for.set(Some(self.unread_since.elapsed()));
            rest.has_paused = false;
        }
        let next = ready!(rest.poll_next(cx));
        match &next {
            Some(Ok(_)) => {
                self.spent.set(true);
                self.held.borrow_mut().clear();
                if self.length == Some(rest.read) {
                    self.coming.send_replace(self.whole(rest));
                }
            }
            Some(Err(broken)) => drop(self.coming.send_replace(UploadState::Failed(*broken))),
            None => drop(self.coming.send_replace(self.whole(rest))),
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

    fn unread_since(&self) -> Option<Instant> {
        Upload::unread_since(self)
    }

    fn finished(&self) -> Pin<Box<dyn Future<Output = heronhoist_engine::BodyProgress> + '_>> {
        Box::pin(async { Upload::wait_until_finished(self).await.into() })
    }
}

impl From<UploadState> for heronhoist_engine::BodyProgress {
    fn from(coming: UploadState) -> Self {
        match coming {
            UploadState::Incomplete => heronhoist_engine::BodyProgress::Incomplete,
            UploadState::Complete(at) => heronhoist_engine::BodyProgress::Complete(at),
            UploadState::Failed(_) => heronhoist_engine::BodyProgress::Failed,
        }
    }
}

/// The body of a request that is passed on.
#[derive(Clone)]
pub enum RequestBody {
    /// All of it.
    Buffered(Bytes),
    /// Its beginning; the rest is to come.
    Streaming(Rc<Upload>),
}

impl RequestBody {
    /// The long body that this is, if it is one.
    pub fn upload(&self) -> Option<&Rc<Upload>> {
        match self {
            RequestBody::Buffered(_) => None,
            RequestBody::Streaming(upload) => Some(upload),
        }
    }

    /// As one attempt sends it.
    pub fn attempt_body(&self) -> AttemptBody {
        match self {
            RequestBody::Buffered(bytes) => AttemptBody::Buffered(Full::new(bytes.clone())),
            RequestBody::Streaming(upload) => {
                AttemptBody::Streaming { upload: Rc::clone(upload), next: 0, written: 0 }
            }
        }
    }
}

/// A request's body on its way to a backend.
pub enum AttemptBody {
    /// Held whole.
    Buffered(Full<Bytes>),
    /// What is held, and then what comes.
    Streaming {
        /// Where it comes from.
        upload: Rc<Upload>,
        /// The next held piece.
        next: usize,
        /// Bytes given out so far.
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
            AttemptBody::Streaming { upload, next, written } => {
                let held = upload.held.borrow().get(*next).cloned();
                let data = match held {
                    Some(data) => {
                        *next += 1;
                        Some(Ok(data))
                    }
                    None => ready!(upload.poll_rest(cx)),
                };
                let broken = |_| std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
                Poll::Ready(data.map(|data| {
                    let data = data.map_err(broken)?;
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
                upload.length.map_or_else(SizeHint::default, |all| SizeHint::with_exact(all - written))
            }
        }
    }
}
