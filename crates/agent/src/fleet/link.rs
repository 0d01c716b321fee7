//! Calls between processes: one at a time on a connection that is kept, with a timeout on each, so that nothing piles up behind
//! a slow response.

use crate::metered_stream::MeteredStream;
use bytes::Bytes;
use heronhoist_coordination::retry_schedule::RetrySchedule;
use heronhoist_coordination::wire::{Envelope, Refusal, Request, Response};
use heronhoist_coordination::Time;
use heronhoist_engine::timing::timeout;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// The path of clients' requests.
pub const REQUEST_PATH: &str = "/v1/ask";
/// The path of Raft messages between the processes of the service.
pub const RAFT_PATH: &str = "/v1/raft";
/// The largest response that is read, in bytes: a read may return the whole state.
const MAX_RESPONSE_BYTES: usize = 32 << 20;
/// Processes that a client calls, including those that it learned of by redirects.
const MAX_TARGETS: usize = 16;
/// A connection that is not established by then has failed, so that a call has time left for another process.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The pause of a client that has no process to call, in microseconds.
const NO_TARGET_RETRY_INTERVAL: Time = 1_000_000;

/// A client's request, as it is sent.
#[derive(Serialize, Deserialize)]
pub struct ClientRequest {
    /// Who sends it.
    pub envelope: Envelope,
    /// The request.
    pub request: Request,
}

/// Why a call over a link fails.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The connection was not established in time.
    #[error("no connection in time")]
    ConnectTimeout,
    /// The connection could not be established.
    #[error("{0}")]
    Connect(io::Error),
    /// The connection failed, or the peer does not speak HTTP.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The request can't be made.
    #[error(transparent)]
    InvalidRequest(#[from] hyper::http::Error),
    /// The request can't be serialized.
    #[error("{0}")]
    Serialize(serde_json::Error),
    /// The response's body is too large, or was cut short.
    #[error("{0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The response did not come in time.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    /// The response has another status than 200.
    #[error("answered {status}: {text}")]
    Status {
        /// The status.
        status: StatusCode,
        /// The body.
        text: String,
    },
    /// The response can't be parsed.
    #[error("an answer that can't be read: {0}")]
    InvalidResponse(serde_json::Error),
}

/// The response to a POST request.
pub struct PostResponse {
    /// The status.
    pub status: StatusCode,
    /// The whole body.
    pub body: Bytes,
}

impl PostResponse {
    /// The body as text, without line feeds at its end.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).trim_end().to_string()
    }
}

/// An established connection.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: tokio::task::AbortHandle,
}

impl Connection {
    async fn open(address: SocketAddr) -> Result<Connection, LinkError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| LinkError::ConnectTimeout)?.map_err(LinkError::Connect)?;
        let (wire, _) = MeteredStream::new(stream, ());
        let (sender, connection) = http1::handshake(wire).await?;
        let task = tokio::task::spawn_local(async move {
            // Its errors reach the call too.
            let _ = connection.await;
        });
        Ok(Connection { sender, task: task.abort_handle() })
    }

    async fn post(
        &mut self,
        address: SocketAddr,
        path: &str,
        body: Vec<u8>,
    ) -> Result<PostResponse, LinkError> {
        let request = hyper::Request::post(path)
            .header(HOST, address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))?;
        let response = self.sender.send_request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        Ok(PostResponse { status, body: body.map_err(LinkError::Body)?.to_bytes() })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Calls to one process.
pub struct Link {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl Link {
    /// A link to a process. The first call connects it.
    pub fn new(address: SocketAddr) -> Link {
        Link { address, connection: None }
    }

    /// The process's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends one POST request. A connection over which a call has failed or was cancelled is not used again.
    ///
    /// # Errors
    /// [`LinkError`], if there is no response within `time_limit`.
    pub async fn post(
        &mut self,
        path: &str,
        body: Vec<u8>,
        time_limit: Duration,
    ) -> Result<PostResponse, LinkError> {
        let kept = self.connection.take().filter(|connection| connection.sender.is_ready());
        let call = async {
            let mut connection = match kept {
                Some(connection) => connection,
                None => Connection::open(self.address).await?,
            };
            let response = connection.post(self.address, path, body).await?;
            Ok::<_, LinkError>((connection, response))
        };
        let result = timeout(time_limit, call).await;
        let (connection, response) = result.map_err(|_| LinkError::Timeout(time_limit))??;
        self.connection = Some(connection);
        Ok(response)
    }

    /// Sends one request of a client.
    ///
    /// # Errors
    /// [`LinkError`], if there is no response with status 200 within `time_limit`.
    pub async fn request(
        &mut self,
        envelope: &Envelope,
        request: &Request,
        time_limit: Duration,
    ) -> Result<Response, LinkError> {
        let request = ClientRequest { envelope: envelope.clone(), request: request.clone() };
        let body = serde_json::to_vec(&request).map_err(LinkError::Serialize)?;
        let response = self.post(REQUEST_PATH, body, time_limit).await?;
        if response.status != StatusCode::OK {
            return Err(LinkError::Status { status: response.status, text: response.text() });
        }
        serde_json::from_slice(&response.body).map_err(LinkError::InvalidResponse)
    }
}

/// Why a call settles nothing.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The client has no address to call.
    #[error("no address of a council process")]
    NoTarget,
    /// The process is not the leader.
    #[error(transparent)]
    Redirected(Refusal),
    /// The process refused the request, which another one may accept.
    #[error("{address}: {refusal}")]
    Refused {
        /// The process's address.
        address: SocketAddr,
        /// Why it refused.
        refusal: Refusal,
    },
    /// The process gave no response.
    #[error("{address}: {error}")]
    NoResponse {
        /// The process's address.
        address: SocketAddr,
        /// Why there is none.
        error: LinkError,
    },
}

/// A call that settled nothing; the outcome of its request is unknown.
#[derive(Debug)]
pub struct Unsettled {
    /// The pause before the next call, in microseconds.
    pub pause: Time,
    /// Why.
    pub error: CallError,
}

/// Calls the coordination service through whichever of its processes responds.
pub struct CoordinationClient {
    links: Vec<Link>,
    schedule: RetrySchedule,
}

impl CoordinationClient {
    /// A client of the service whose processes listen on these addresses.
    pub fn new(addresses: &[SocketAddr]) -> CoordinationClient {
        let links: Vec<Link> = addresses.iter().map(|address| Link::new(*address)).collect();
        let schedule = RetrySchedule::new(links.len(), fastrand::u64(..));
        CoordinationClient { links, schedule }
    }

    /// The links to the service's processes.
    pub fn links(&mut self) -> &mut [Link] {
        &mut self.links
    }

    /// One call, which takes `time_limit` microseconds at most.
    ///
    /// # Errors
    /// [`Unsettled`], if there is no response that settles the request; it may be sent again after the pause.
    pub async fn call(
        &mut self,
        envelope: &Envelope,
        request: &Request,
        time_limit: Time,
    ) -> Result<Response, Unsettled> {
        let Some(link) = self.links.get_mut(self.schedule.target()) else {
            return Err(Unsettled { pause: NO_TARGET_RETRY_INTERVAL, error: CallError::NoTarget });
        };
        let address = link.address();
        let result = link.request(envelope, request, Duration::from_micros(time_limit)).await;
        let random = fastrand::f64();
        let error = match result {
            Ok(Response::Refused(refusal @ Refusal::NotLeader { .. })) => {
                return Err(self.redirect(refusal, random));
            }
            Ok(Response::Refused(refusal)) if is_of_this_process(&refusal) => {
                CallError::Refused { address, refusal }
            }
            Ok(response) => {
                self.schedule.record_success();
                return Ok(response);
            }
            Err(error) => CallError::NoResponse { address, error },
        };
        Err(Unsettled { pause: self.schedule.record_failure(random), error })
    }

    /// The next call goes to the leader that a refusal names, if it names one.
    fn redirect(&mut self, refusal: Refusal, random: f64) -> Unsettled {
        let leader = match &refusal {
            Refusal::NotLeader { leader: Some(peer) } => peer.address.parse().ok(),
            _ => None,
        };
        let target = leader.and_then(|address| self.target_index(address));
        let pause = self.schedule.record_redirect(target, random);
        Unsettled { pause, error: CallError::Redirected(refusal) }
    }

    /// The index of the process at an address, which may have been added after the configuration was written.
    fn target_index(&mut self, address: SocketAddr) -> Option<usize> {
        let known = self.links.iter().position(|link| link.address() == address);
        if known.is_none() && self.links.len() < MAX_TARGETS {
            self.links.push(Link::new(address));
            return Some(self.schedule.add_target());
        }
        known
    }
}

/// Whether a refusal is the process's own, so that the request may be sent again, also to another process.
fn is_of_this_process(refusal: &Refusal) -> bool {
    matches!(
        refusal,
        Refusal::Unknown
            | Refusal::NotFormed(_)
            | Refusal::LimitExceeded(_)
            | Refusal::FleetMismatch { .. }
            | Refusal::ProtocolMismatch { .. }
    )
}
