//! Responses too long to be buffered: streamed to the client as they arrive, no faster than the client takes them.

use crate::connections::{Connections, EndpointAddress, PooledConnection};
use crate::gauge::GaugeGuard;
use crate::peer_silence::MAX_SILENCE;
use crate::upload::MAX_BODY_BYTES;
use bytes::Bytes;
use heronhoist_engine::timing::DeadlineTimer;
use heronhoist_engine::Reservation;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::io::{Error, ErrorKind};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::time::Instant;

/// How the head of a response determines where its body ends (RFC 9112, 6.3).
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum BodyLength {
    /// After this many bytes.
    Known(u64),
    /// With the last chunk.
    Chunked,
    /// At the end of the connection. Only a clean close completes the body; a reset, an error or a timeout does not. A clean close in
    /// the middle of a response can't be distinguished from its end: that is a limit of the protocol.
    CloseDelimited,
}

impl BodyLength {
    /// The number of bytes, if the head states it.
    pub fn bytes(self) -> Option<u64> {
        match self {
            BodyLength::Known(bytes) => Some(bytes),
            BodyLength::Chunked | BodyLength::CloseDelimited => None,
        }
    }
}

/// The connection that a response arrives on, and the connections to which it returns once the response is complete.
pub struct Origin {
    /// The connection; closed if the response does not arrive completely.
    pub connection: PooledConnection,
    /// The record server and its address.
    pub endpoint: EndpointAddress,
    /// Counts the response as being received from its server.
    pub _receiving: GaugeGuard,
    /// The connections of the pool.
    pub connections: Rc<Connections>,
}

/// The body of a response that is streamed.
pub struct Download {
    beginning: Bytes,
    rest: Incoming,
    length: BodyLength,
    forwarded: u64,
    origin: Option<Origin>,
    is_waiting: bool,
    timer: DeadlineTimer,
    _reservation: Reservation,
}

impl Download {
    /// A response whose beginning has been read.
    pub fn new(beginning: Bytes, rest: Incoming, length: BodyLength, reservation: Reservation) -> Self {
        let timer = DeadlineTimer::new(Instant::now());
        let (forwarded, origin, is_waiting) = (0, None, false);
        Download { beginning, rest, length, forwarded, origin, is_waiting, timer, _reservation: reservation }
    }

    /// Keeps the connection for as long as the response arrives on it.
    pub fn keep_connection(&mut self, origin: Origin) {
        self.origin = Some(origin);
    }

    /// Releases the connection: the response is complete.
    fn release_connection(&mut self) {
        if let Some(Origin { connection, endpoint, connections, .. }) = self.origin.take() {
            if !connection.monitor.has_ended() {
                connections.release(endpoint, connection);
            }
        }
    }

    /// Whether the end of the stream is the end of the response.
    fn is_complete(&self) -> bool {
        let has_ended_cleanly =
            || self.origin.as_ref().is_some_and(|origin| origin.connection.monitor.has_ended_cleanly());
        self.length != BodyLength::CloseDelimited || has_ended_cleanly()
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Error>>> {
        if !self.beginning.is_empty() {
            return Poll::Ready(Some(Ok(std::mem::take(&mut self.beginning))));
        }
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.rest).poll_frame(cx) else {
                if !std::mem::replace(&mut self.is_waiting, true) {
                    self.timer.reset(Instant::now() + MAX_SILENCE);
                }
                ready!(self.timer.poll_expired(cx));
                return Poll::Ready(Some(Err(ErrorKind::TimedOut.into())));
            };
            self.is_waiting = false;
            match frame {
                None if self.is_complete() => return Poll::Ready(None),
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

    /// An error closes the client's connection, so that the client notices that the response is incomplete.
    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let this = self.get_mut();
        let next = ready!(this.poll_next(cx));
        Poll::Ready(match next {
            None => {
                this.release_connection();
                None
            }
            Some(Ok(data)) => {
                this.forwarded += data.len() as u64;
                if this.is_end_stream() {
                    this.release_connection();
                }
                let fits = this.forwarded <= MAX_BODY_BYTES;
                Some(if fits { Ok(Frame::data(data)) } else { Err(ErrorKind::FileTooLarge.into()) })
            }
            Some(Err(e)) => Some(Err(e)),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.length == BodyLength::Known(self.forwarded)
    }

    fn size_hint(&self) -> SizeHint {
        let left = self.length.bytes().map(|length| length.saturating_sub(self.forwarded));
        left.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
