//! The listener for clients and for the other processes, and the answers to their requests over HTTP.

use super::peer_links::Frame;
use super::Process;
use crate::accept::accept;
use crate::fleet::link::{Asked, ASK, RAFT};
use crate::gauge::Gauge;
use crate::wire::Wire;
use bytes::Bytes;
use heronhoist_coordination::wire::check_envelope;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, StatusCode};
use std::convert::Infallible;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Connections at a time; later ones are closed at once.
const CONNECTIONS_MOST: usize = 8192;
/// The largest request, and the largest batch of messages of another council process.
const REQUEST_MOST: usize = 1 << 20;
const BATCH_MOST: usize = 32 << 20;

pub(super) async fn listen(process: Rc<Process>, listener: TcpListener) {
    let open = Gauge::default();
    loop {
        let stream = accept(&listener, |_, _| {}).await;
        if open.count() >= CONNECTIONS_MOST {
            continue;
        }
        let (wire, _) = Wire::new(stream, open.enter());
        let process = Rc::clone(&process);
        spawn_local(async move {
            let service = service_fn(|request| {
                let process = Rc::clone(&process);
                async move { Ok::<_, Infallible>(process.answer(request).await) }
            });
            let mut builder = hyper::server::conn::http1::Builder::new();
            builder.header_read_timeout(None);
            let _ = builder.serve_connection(wire, service).await;
        });
    }
}

type Answer = hyper::Response<Full<Bytes>>;

fn plain(status: StatusCode, text: impl Into<Bytes>) -> Answer {
    let mut answer = hyper::Response::new(Full::new(text.into()));
    *answer.status_mut() = status;
    answer
}

impl Process {
    pub(super) async fn answer(&self, request: hyper::Request<Incoming>) -> Answer {
        if request.method() != Method::POST {
            return plain(StatusCode::METHOD_NOT_ALLOWED, "only POST\n");
        }
        let path = request.uri().path().to_string();
        let most = match path.as_str() {
            ASK => REQUEST_MOST,
            RAFT => BATCH_MOST,
            _ => return plain(StatusCode::NOT_FOUND, "there are /v1/ask and /v1/raft\n"),
        };
        let Ok(body) = Limited::new(request.into_body(), most).collect().await else {
            return plain(
                StatusCode::PAYLOAD_TOO_LARGE,
                format!("over the bound of a message: {most} bytes\n"),
            );
        };
        let body = body.to_bytes();
        if path == RAFT {
            return self.heard(&body);
        }
        match serde_json::from_slice::<Asked>(&body) {
            Err(e) => plain(StatusCode::BAD_REQUEST, format!("{e}\n")),
            Ok(asked) => {
                let response = self.respond(asked).await;
                plain(StatusCode::OK, serde_json::to_vec(&response).unwrap_or_default())
            }
        }
    }

    /// Messages of another council process.
    pub(super) fn heard(&self, body: &[u8]) -> Answer {
        let split = body.iter().position(|b| *b == b'\n').map(|at| (&body[..at], &body[at + 1..]));
        let frame = split.and_then(|(head, rest)| Some((serde_json::from_slice::<Frame>(head).ok()?, rest)));
        let Some((frame, mut rest)) = frame else {
            return plain(StatusCode::BAD_REQUEST, "messages that can't be read\n");
        };
        if let Err(refusal) = check_envelope(&frame.envelope, &self.config.fleet) {
            return plain(StatusCode::FORBIDDEN, format!("{refusal}\n"));
        }
        self.heard_from.borrow_mut().insert(frame.number, frame.address);
        let mut desk = self.desk.borrow_mut();
        let Some(desk) = desk.as_mut() else { return plain(StatusCode::OK, "") };
        while let Some((length, more)) = rest.split_first_chunk::<4>() {
            let Some((message, more)) = more.split_at_checked(u32::from_le_bytes(*length) as usize) else {
                break;
            };
            rest = more;
            if let Err(fault) = desk.receive(self.now(), message) {
                self.fail(&fault);
                return plain(StatusCode::SERVICE_UNAVAILABLE, "");
            }
        }
        self.dirty.notify_one();
        plain(StatusCode::OK, "")
    }
}
