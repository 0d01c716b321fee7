//! Answers too long to be held whole: passed on as they come, no faster than the client takes them.

use crate::connections::{Connections, EndpointAddress, PooledConnection};
use crate::upload::MAX_BODY_BYTES;
use bytes::Bytes;
use heronhoist_engine::timing::DeadlineTimer;
use heronhoist_engine::Reservation;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::collections::VecDeque;
use std::io::{Error, ErrorKind};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::time::Instant;

/// A backend that is waited for must send something of the answer within this.
const SILENCE_MOST: Duration = Duration::from_secs(4);

/// How the head of an answer says where its body ends (RFC 9112, 6.3).
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum BodyLength {
    /// After so many bytes.
    Known(u64),
    /// With the last chunk.
    Chunked,
    /// With the connection. Only an orderly end is one: a reset, an error or a silence is none. Of a server that ends in order
    /// in the middle of its answer nobody can tell; that is the protocol's own limit.
    CloseDelimited,
}

impl BodyLength {
    /// The number of bytes, if the head says it.
    pub fn bytes(self) -> Option<u64> {
        match self {
            BodyLength::Known(bytes) => Some(bytes),
            BodyLength::Chunked | BodyLength::CloseDelimited => None,
        }
    }
}

/// The connection that an answer comes on, and where it goes back to when all of it has come.
pub struct Origin {
    /// The connection; closed if the answer does not come whole.
    pub connection: PooledConnection,
    /// What it leads to.
    pub place: EndpointAddress,
    /// Where it came from.
    pub connections: Rc<Connections>,
}

/// The body of an answer that is passed on while it comes.
pub struct Download {
    begun: VecDeque<Bytes>,
    rest: Incoming,
    length: BodyLength,
    given: u64,
    origin: Option<Origin>,
    waiting: bool,
    limit: DeadlineTimer,
    _reservation: Reservation,
}

impl Download {
    /// Of this answer so much has come.
    pub fn new(begun: VecDeque<Bytes>, rest: Incoming, length: BodyLength, reservation: Reservation) -> Self {
        let limit = DeadlineTimer::new(Instant::now());
        let (given, origin, waiting) = (0, None, false);
        Download { begun, rest, length, given, origin, waiting, limit, _reservation: reservation }
    }

    /// Keeps the connection as long as the answer comes on it.
    pub fn keep_connection(&mut self, origin: Origin) {
        self.origin = Some(origin);
    }

    /// All of it has come.
    fn give_back(&mut self) {
        if let Some(Origin { connection, place, connections }) = self.origin.take() {
            if !connection.monitor.has_ended() {
                connections.release(place, connection);
            }
        }
    }

    /// Nothing more comes: whether that is the end of the answer.
    fn is_whole(&self) -> bool {
        let has_ended =
            || self.origin.as_ref().is_some_and(|origin| origin.connection.monitor.has_ended_cleanly());
        self.length != BodyLength::CloseDelimited || has_ended()
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Error>>> {
        if let Some(data) = self.begun.pop_front() {
            return Poll::Ready(Some(Ok(data)));
        }
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.rest).poll_frame(cx) else {
                if !std::mem::replace(&mut self.waiting, true) {
                    self.limit.reset(Instant::now() + SILENCE_MOST);
                }
                ready!(self.limit.poll_expired(cx));
                return Poll::Ready(Some(Err(ErrorKind::TimedOut.into())));
            };
            self.waiting = false;
            match frame {
                None if self.is_whole() => return Poll::Ready(None),
                None => return Poll::Ready(Some(Err(ErrorKind::ConnectionReset.into()))),
                Some(Err(e)) => return Poll::Ready(Some(Err(Error::other(e)))),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(Ok(data)));
                    }
                }
            }
        }
    }
}

impl Body for Download {
    type Data = Bytes;
    type Error = Error;

    /// An error ends the client's connection, so that it can tell that the answer is not whole.
    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let this = self.get_mut();
        let next = ready!(this.poll_next(cx));
        Poll::Ready(match next {
            None => {
                this.give_back();
                None
            }
            Some(Ok(data)) => {
                this.given += data.len() as u64;
                if this.is_end_stream() {
                    this.give_back();
                }
                let fits = this.given <= MAX_BODY_BYTES;
                Some(if fits { Ok(Frame::data(data)) } else { Err(ErrorKind::FileTooLarge.into()) })
            }
            Some(Err(e)) => Some(Err(e)),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.length == BodyLength::Known(self.given)
    }

    fn size_hint(&self) -> SizeHint {
        let left = self.length.bytes().map(|all| all.saturating_sub(self.given));
        left.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
