//! The operators' address: whether this process can serve, and what it has counted. One call a connection.

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

/// Callers that are heard at once; beyond so many the one that has stalled longest makes room. Part of what the
/// configuration keeps back from requests.
const CALLERS_MOST: usize = 16;
/// A caller has this long for its call and for reading the answer.
const CALL_WAIT: Duration = Duration::from_secs(2);
/// The largest head of a call.
const HEAD_MOST: usize = 8 * 1024;

/// What the address shows; asked anew for each call.
pub trait StatusSource {
    /// Listening, with settings, and with servers to send to.
    fn is_ready(&self) -> bool;
    /// Why it is not, where there is more to say.
    fn not_ready_reason(&self) -> String {
        String::new()
    }
    /// The page of figures.
    fn metrics_page(&self) -> String;
}

/// Answers operators for as long as the agent lives.
pub async fn run(listener: impl Listener<Stream = TcpStream>, shown: Rc<impl StatusSource + 'static>) {
    let open = Gauge::default();
    let mut callers: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        let stream = accept(&listener, |_, _| {}).await;
        callers.retain(|caller| !caller.is_finished());
        if callers.len() >= CALLERS_MOST {
            if let Some(oldest) = callers.pop_front() {
                oldest.abort();
            }
        }
        let (wire, _) = MeteredStream::new(stream, open.increment());
        let shown = Rc::clone(&shown);
        let call = async move {
            let service = service_fn(|request| {
                let answer = answer(&*shown, &request);
                async { Ok::<_, Infallible>(answer) }
            });
            let mut builder = hyper::server::conn::http1::Builder::new();
            builder.keep_alive(false).header_read_timeout(None).max_buf_size(HEAD_MOST);
            let _ = timeout(CALL_WAIT, builder.serve_connection(wire, service)).await;
        };
        callers.push_back(tokio::task::spawn_local(call).abort_handle());
    }
}

fn answer(shown: &impl StatusSource, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let page = match request.uri().path() {
        "/-/ready" | "/-/metrics" if request.method() != Method::GET => {
            let mut answer = plain(StatusCode::METHOD_NOT_ALLOWED, "only GET\n".into());
            answer.headers_mut().insert(ALLOW, HeaderValue::from_static("GET"));
            return answer;
        }
        "/-/ready" if shown.is_ready() => return plain(StatusCode::OK, "ready\n".into()),
        "/-/ready" => {
            let reason = shown.not_ready_reason();
            let line = if reason.is_empty() { reason } else { reason + "\n" };
            return plain(StatusCode::SERVICE_UNAVAILABLE, format!("not ready\n{line}"));
        }
        "/-/metrics" => shown.metrics_page(),
        _ => return plain(StatusCode::NOT_FOUND, "there are /-/ready and /-/metrics\n".into()),
    };
    let mut answer = plain(StatusCode::OK, page);
    let kind = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer
}

fn plain(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(Bytes::from(text)));
    *answer.status_mut() = status;
    answer
}
