//! The operators' address: shows whether this process can serve, and its metrics. Each connection carries one request.

use crate::accept::{accept, Listener};
use crate::gauge::Gauge;
use crate::metered_stream::MeteredStream;
use bytes::Bytes;
use heronhoist_engine::timing::timeout;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// The maximum number of open connections; beyond it the oldest is closed. They are part of the descriptors that the
/// configuration reserves.
const MAX_CONNECTIONS: usize = 16;
/// How long a connection may take to send its request and read the response.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// The source of what the address shows; it is queried for each request.
pub trait StatusSource {
    /// Whether the process can serve: it listens and has settings and servers to send to.
    fn is_ready(&self) -> bool;
    /// Why the process is not ready; empty if there is no further detail.
    fn not_ready_reason(&self) -> String {
        String::new()
    }
    /// The metrics page.
    fn metrics_page(&self) -> String;
}

/// Serves operators for as long as the process runs.
pub async fn run(listener: impl Listener<Stream = TcpStream>, source: Rc<impl StatusSource + 'static>) {
    let open = Gauge::default();
    let mut connections: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        let stream = accept(&listener, |_, _| {}).await;
        connections.retain(|connection| !connection.is_finished());
        if connections.len() >= MAX_CONNECTIONS {
            if let Some(oldest) = connections.pop_front() {
                oldest.abort();
            }
        }
        let (wire, _) = MeteredStream::new(stream, open.increment());
        let source = Rc::clone(&source);
        let connection = async move {
            let service = service_fn(|request| {
                let response = respond(&*source, &request);
                async { Ok::<_, Infallible>(response) }
            });
            let mut builder = hyper::server::conn::http1::Builder::new();
            builder.keep_alive(false).header_read_timeout(None).max_buf_size(MAX_HEAD_BYTES);
            let _ = timeout(CONNECTION_TIMEOUT, builder.serve_connection(wire, service)).await;
        };
        connections.push_back(tokio::task::spawn_local(connection).abort_handle());
    }
}

fn respond(source: &impl StatusSource, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let page = match request.uri().path() {
        "/-/ready" | "/-/metrics" if request.method() != Method::GET => {
            let mut response = plain_text(StatusCode::METHOD_NOT_ALLOWED, "only GET\n".into());
            response.headers_mut().insert(ALLOW, HeaderValue::from_static("GET"));
            return response;
        }
        "/-/ready" if source.is_ready() => return plain_text(StatusCode::OK, "ready\n".into()),
        "/-/ready" => {
            let reason = source.not_ready_reason();
            let line = if reason.is_empty() { reason } else { reason + "\n" };
            return plain_text(StatusCode::SERVICE_UNAVAILABLE, format!("not ready\n{line}"));
        }
        "/-/metrics" => source.metrics_page(),
        _ => return plain_text(StatusCode::NOT_FOUND, "there are /-/ready and /-/metrics\n".into()),
    };
    let mut response = plain_text(StatusCode::OK, page);
    let content_type = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

fn plain_text(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
