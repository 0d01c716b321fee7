//! HTTP calls between processes. A link makes one call at a time on a connection that it keeps open. Each call has a timeout, so
//! that calls don't queue up behind a slow response.

use crate::body_buffer::collect;
use crate::metered_stream::MeteredStream;
use bytes::Bytes;
use heronhoist_coordination::retry_schedule::RetrySchedule;
use heronhoist_coordination::wire::{Envelope, Refusal, Request, Response};
use heronhoist_coordination::Time;
use heronhoist_engine::timing::timeout;
use http_body_util::{Full, Limited};
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
/// The maximum number of processes that a client calls, including those that it learned of by redirects.
const MAX_TARGETS: usize = 16;
/// How long a connection may take to be established. It is short, so that there is time left to call another process.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay before the next call of a client that has no process to call, in microseconds.
const NO_TARGET_RETRY_DELAY: Time = 1_000_000;

/// A client's request in its serialized form.
#[derive(Serialize, Deserialize)]
pub struct ClientRequest {
    /// Names the fleet, the protocol and the sender.
    pub envelope: Envelope,
    /// The request.
    pub request: Request,
}

/// Why a call over a link fails.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The connection was not established in time.
    #[error("connection not established in time")]
    ConnectTimeout,
    /// The connection could not be established.
    #[error("{0}")]
    Connect(io::Error),
    /// The connection failed, or the peer does not use HTTP.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The request can't be built.
    #[error(transparent)]
    InvalidRequest(#[from] hyper::http::Error),
    /// The request can't be serialized.
    #[error("{0}")]
    Serialize(serde_json::Error),
    /// The response's body is too large or incomplete.
    #[error("{0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The response did not arrive in time.
    #[error("no response within {0:?}")]
    Timeout(Duration),
    /// The response's status is not 200.
    #[error("response with status {status}: {text}")]
    Status {
        /// The status.
        status: StatusCode,
        /// The body.
        text: String,
    },
    /// The response can't be parsed.
    #[error("cannot parse the response: {0}")]
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
    /// Returns the body as text, without trailing white space.
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
            // The call that uses the connection returns its errors too.
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
        let body = collect(Limited::new(response.into_body(), MAX_RESPONSE_BYTES)).await;
        Ok(PostResponse { status, body: body.map_err(LinkError::Body)? })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Calls one process, over a connection that is kept open between calls.
pub struct Link {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl Link {
    /// Creates a link to a process. The first call opens the connection.
    pub fn new(address: SocketAddr) -> Link {
        Link { address, connection: None }
    }

    /// Returns the process's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends one POST request. A connection is not reused after a call on it failed or was cancelled.
    ///
    /// # Errors
    /// [`LinkError`], if there is no response within `time_limit`.
    pub async fn post(
        &mut self,
        path: &str,
        body: Vec<u8>,
        time_limit: Duration,
    ) -> Result<PostResponse, LinkError> {
        let idle_connection = self.connection.take().filter(|connection| connection.sender.is_ready());
        let call = async {
            let mut connection = match idle_connection {
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

    /// Sends a client's request and parses the response.
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

/// Why a call has no conclusive response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The client has no address to call.
    #[error("no address of a council process is known")]
    NoTarget,
    /// The process is not the leader.
    #[error(transparent)]
    Redirected(Refusal),
    /// The process refused the request; another process may accept it.
    #[error("{address}: {refusal}")]
    Refused {
        /// The process's address.
        address: SocketAddr,
        /// Why the process refused.
        refusal: Refusal,
    },
    /// There is no valid response from the process.
    #[error("{address}: {error}")]
    NoResponse {
        /// The process's address.
        address: SocketAddr,
        /// Why there is none.
        error: LinkError,
    },
}

/// A call without a conclusive response; the outcome of its request is unknown.
#[derive(Debug)]
pub struct Unsettled {
    /// The delay before the next call, in microseconds.
    pub retry_delay: Time,
    /// Why there is none.
    pub error: CallError,
}

/// Calls the coordination service through any of its processes that responds.
pub struct CoordinationClient {
    links: Vec<Link>,
    schedule: RetrySchedule,
}

impl CoordinationClient {
    /// Creates a client of the service whose processes listen on these addresses.
    pub fn new(addresses: &[SocketAddr]) -> CoordinationClient {
        let links: Vec<Link> = addresses.iter().map(|address| Link::new(*address)).collect();
        let schedule = RetrySchedule::new(links.len(), fastrand::u64(..));
        CoordinationClient { links, schedule }
    }

    /// Returns the links to the service's processes.
    pub fn links(&mut self) -> &mut [Link] {
        &mut self.links
    }

    /// Makes one call, which takes at most `time_limit` microseconds.
    ///
    /// # Errors
    /// [`Unsettled`], if there is no conclusive response; the request may be sent again after the delay.
    pub async fn call(
        &mut self,
        envelope: &Envelope,
        request: &Request,
        time_limit: Time,
    ) -> Result<Response, Unsettled> {
        let Some(link) = self.links.get_mut(self.schedule.target()) else {
            return Err(Unsettled { retry_delay: NO_TARGET_RETRY_DELAY, error: CallError::NoTarget });
        };
        let address = link.address();
        let result = link.request(envelope, request, Duration::from_micros(time_limit)).await;
        let random = fastrand::f64();
        let error = match result {
            Ok(Response::Refused(refusal @ Refusal::NotLeader { .. })) => {
                return Err(self.redirect(refusal, random));
            }
            Ok(Response::Refused(refusal)) if is_process_specific(&refusal) => {
                CallError::Refused { address, refusal }
            }
            Ok(response) => {
                self.schedule.record_success();
                return Ok(response);
            }
            Err(error) => CallError::NoResponse { address, error },
        };
        Err(Unsettled { retry_delay: self.schedule.record_failure(random), error })
    }

    /// Directs the next call to the leader that the refusal names, if it names one.
    fn redirect(&mut self, refusal: Refusal, random: f64) -> Unsettled {
        let leader = match &refusal {
            Refusal::NotLeader { leader: Some(peer) } => peer.address.parse().ok(),
            _ => None,
        };
        let target = leader.and_then(|address| self.target_index(address));
        let retry_delay = self.schedule.record_redirect(target, random);
        Unsettled { retry_delay, error: CallError::Redirected(refusal) }
    }

    /// Returns the index of the link to an address, and adds a link where there is none: the process may have been added to the
    /// service after the configuration was written.
    fn target_index(&mut self, address: SocketAddr) -> Option<usize> {
        let known = self.links.iter().position(|link| link.address() == address);
        if known.is_none() && self.links.len() < MAX_TARGETS {
            self.links.push(Link::new(address));
            return Some(self.schedule.add_target());
        }
        known
    }
}

/// Whether a refusal concerns only this process, so that the request may be sent again, also to another process.
fn is_process_specific(refusal: &Refusal) -> bool {
    matches!(
        refusal,
        Refusal::Unknown
            | Refusal::NotFormed(_)
            | Refusal::LimitExceeded(_)
            | Refusal::FleetMismatch { .. }
            | Refusal::ProtocolMismatch { .. }
    )
}
