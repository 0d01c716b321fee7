//! The HTTP listener for requests of clients and messages of the other processes.

use super::peer_links::Frame;
use super::Coordinator;
use crate::accept::accept;
use crate::body_buffer::collect;
use crate::fleet::transport::{ClientRequest, RAFT_PATH, REQUEST_PATH};
use crate::gauge::Gauge;
use crate::metered_stream::MeteredStream;
use bytes::Bytes;
use heronhoist_coordination::node::NodeError;
use heronhoist_coordination::service::Service;
use heronhoist_coordination::wire::check_envelope;
use heronhoist_coordination::Time;
use http_body_util::{Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use std::convert::Infallible;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// The maximum number of open connections, far more than the members of a fleet; further ones are closed at once.
const MAX_CONNECTIONS: usize = 8192;
/// The maximum size of a client's request, in bytes.
const MAX_REQUEST_BYTES: usize = 1 << 20;
/// The maximum size of a batch of messages of another process, in bytes: one message may hold a complete snapshot.
const MAX_BATCH_BYTES: usize = 32 << 20;

type HttpResponse = Response<Full<Bytes>>;

/// Accepts and serves connections until the process exits.
pub(super) async fn serve_connections(coordinator: Rc<Coordinator>, listener: TcpListener) {
    let connections = Gauge::default();
    loop {
        let stream = accept(&listener, |_, _| {}).await;
        if connections.count() < MAX_CONNECTIONS {
            spawn_local(serve_connection(Rc::clone(&coordinator), stream, connections.increment()));
        }
    }
}

/// Serves one connection, which counts as open until `count_guard` is dropped.
async fn serve_connection(
    coordinator: Rc<Coordinator>,
    stream: TcpStream,
    count_guard: impl Sized + 'static,
) {
    let (wire, _) = MeteredStream::new(stream, count_guard);
    let service = service_fn(|request| {
        let coordinator = Rc::clone(&coordinator);
        async move { Ok::<_, Infallible>(coordinator.respond_to_http(request).await) }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.header_read_timeout(None);
    // An error only concerns this connection, and the peer sees it too.
    let _ = builder.serve_connection(wire, service).await;
}

fn text_response(status: StatusCode, text: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

impl Coordinator {
    async fn respond_to_http(&self, request: Request<Incoming>) -> HttpResponse {
        if request.method() != Method::POST {
            return text_response(StatusCode::METHOD_NOT_ALLOWED, "only POST\n");
        }
        let is_raft = request.uri().path() == RAFT_PATH;
        let max_bytes = match request.uri().path() {
            REQUEST_PATH => MAX_REQUEST_BYTES,
            RAFT_PATH => MAX_BATCH_BYTES,
            _ => return text_response(StatusCode::NOT_FOUND, "there are /v1/ask and /v1/raft\n"),
        };
        let Ok(body) = collect(Limited::new(request.into_body(), max_bytes)).await else {
            let text = format!("over the bound of a message: {max_bytes} bytes\n");
            return text_response(StatusCode::PAYLOAD_TOO_LARGE, text);
        };
        match is_raft {
            true => self.receive_batch(&body),
            false => self.respond_to_client(&body).await,
        }
    }

    async fn respond_to_client(&self, body: &[u8]) -> HttpResponse {
        match serde_json::from_slice::<ClientRequest>(body) {
            Err(error) => text_response(StatusCode::BAD_REQUEST, format!("{error}\n")),
            Ok(request) => {
                let response = self.handle_request(request).await;
                text_response(StatusCode::OK, serde_json::to_vec(&response).unwrap_or_default())
            }
        }
    }

    /// Passes the messages of another process to the service.
    fn receive_batch(&self, body: &[u8]) -> HttpResponse {
        let Some((frame, messages)) = split_frame(body) else {
            return text_response(StatusCode::BAD_REQUEST, "messages that can't be read\n");
        };
        if let Err(refusal) = check_envelope(&frame.envelope, &self.config.fleet) {
            return text_response(StatusCode::FORBIDDEN, format!("{refusal}\n"));
        }
        self.reported_addresses.borrow_mut().insert(frame.node_id, frame.address);
        let mut service = self.service.borrow_mut();
        let Some(service) = service.as_mut() else { return text_response(StatusCode::OK, "") };
        if let Err(error) = receive_messages(service, self.now(), messages) {
            self.fail(error);
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        self.work_pending.notify_one();
        text_response(StatusCode::OK, "")
    }
}

/// Splits a batch into its frame, which ends with a line feed, and the messages after it.
fn split_frame(body: &[u8]) -> Option<(Frame, &[u8])> {
    let end = body.iter().position(|byte| *byte == b'\n')?;
    let frame = serde_json::from_slice(&body[..end]).ok()?;
    Some((frame, &body[end + 1..]))
}

/// Passes the messages of a batch to the service. Each message is preceded by its length, a little-endian number of four bytes.
/// An incomplete message ends the batch.
fn receive_messages(service: &mut Service, now: Time, mut batch: &[u8]) -> Result<(), NodeError> {
    while let Some((length, rest)) = batch.split_first_chunk::<4>() {
        let length = u32::from_le_bytes(*length) as usize;
        let Some((message, rest)) = rest.split_at_checked(length) else { break };
        batch = rest;
        service.receive(now, message)?;
    }
    Ok(())
}
