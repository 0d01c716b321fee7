//! The responses to clients: those of record servers, and the agent's own.

use crate::backend::{ResponseBody, UpstreamResponse};
use crate::client_connections::ClientConnection;
use crate::download::Download;
use crate::gauge::GaugeGuard;
use crate::intake::RequestError;
use crate::metrics::{ClassCounters, Outcome};
use bytes::Bytes;
use heronhoist_decision::Span;
use heronhoist_engine::Reservation;
use heronhoist_translate::wire::error_response::ErrorResponse;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

/// A server's response, unchanged.
pub fn forwarded_response(
    connection: &Rc<ClientConnection>,
    response: UpstreamResponse,
    in_flight: Option<GaugeGuard>,
) -> Response<ClientBody> {
    let body = match response.body {
        ResponseBody::Buffered(bytes, reservation) => {
            ClientBody::Buffered(Full::new(bytes), Some(reservation))
        }
        ResponseBody::Streaming(download) => {
            let (connection, counters) = (Rc::clone(connection), None);
            connection.begin_streaming();
            ClientBody::Streaming(StreamedBody {
                download,
                connection,
                counters,
                is_complete: false,
                _in_flight: in_flight,
            })
        }
    };
    let mut forwarded = Response::new(body);
    if let Some(content_type) = response.content_type {
        forwarded.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    forwarded
}

/// The body of a response to a client.
pub enum ClientBody {
    /// The whole body, and the memory that is reserved for it.
    Buffered(
        Full<Bytes>,
        #[expect(dead_code, reason = "held until the client has the bytes")] Option<Reservation>,
    ),
    /// A body that is still arriving.
    Streaming(StreamedBody),
}

/// A body that is forwarded as it arrives.
pub struct StreamedBody {
    download: Box<Download>,
    connection: Rc<ClientConnection>,
    counters: Option<Rc<ClassCounters>>,
    is_complete: bool,
    _in_flight: Option<GaugeGuard>,
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        if let Some(counters) = &self.counters {
            counters.record(if self.is_complete { Outcome::Served } else { Outcome::Failed });
        }
        self.connection.end_streaming();
    }
}

impl Body for ClientBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        match self.get_mut() {
            ClientBody::Buffered(body, _) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            ClientBody::Streaming(streaming) => {
                let frame = Pin::new(&mut streaming.download).poll_frame(cx);
                streaming.connection.set_awaiting_server(frame.is_pending());
                let frame = ready!(frame);
                streaming.is_complete = streaming.download.is_end_stream() || frame.is_none();
                Poll::Ready(frame)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ClientBody::Buffered(body, _) => body.is_end_stream(),
            ClientBody::Streaming(streaming) => streaming.download.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ClientBody::Buffered(body, _) => body.size_hint(),
            ClientBody::Streaming(streaming) => streaming.download.size_hint(),
        }
    }
}

/// Counts a response by its status. One that is streamed is counted when it ends.
pub fn count(response: &mut Response<ClientBody>, counters: Rc<ClassCounters>) {
    let outcome = outcome_of(response.status());
    match response.body_mut() {
        ClientBody::Streaming(streaming) => streaming.counters = Some(counters),
        ClientBody::Buffered(..) => counters.record(outcome),
    }
}

/// How a request ended, by the status of its response.
pub fn outcome_of(status: StatusCode) -> Outcome {
    match status {
        StatusCode::OK => Outcome::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Outcome::Rejected,
        _ => Outcome::Failed,
    }
}

/// A response of the agent's own, in plain text.
pub fn text_response(status: StatusCode, text: &'static str) -> Response<ClientBody> {
    let mut response =
        Response::new(ClientBody::Buffered(Full::new(Bytes::from_static(text.as_bytes())), None));
    *response.status_mut() = status;
    response
}

/// The response to a rejected request.
pub fn rejected(retry_after: Option<Span>) -> Response<ClientBody> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "refused");
    if let Some(Ok(value)) = retry_after.map(|s| HeaderValue::try_from(format!("{:.3}", s.as_ms() / 1e3))) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// An error response in a legacy client's form.
pub fn legacy_response(error: ErrorResponse) -> Response<ClientBody> {
    let mut response = Response::new(ClientBody::Buffered(Full::new(error.body.into()), None));
    *response.status_mut() = StatusCode::from_u16(error.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(error.content_type));
    response.headers_mut().extend(error.retry_after.map(|seconds| (RETRY_AFTER, HeaderValue::from(seconds))));
    response
}

/// Adds the header by which the connection is closed after the response.
pub fn with_close(mut response: Response<ClientBody>) -> Response<ClientBody> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// The response to an invalid request, after which the connection is closed.
pub fn error_response((status, reason): RequestError, retry_after: Option<Span>) -> Response<ClientBody> {
    with_close(match status {
        StatusCode::SERVICE_UNAVAILABLE => rejected(retry_after),
        status => text_response(status, reason),
    })
}
