//! Calls to one discovery address, one at a time.

use super::connection::{Connection, OpenError};
use super::reply::EndpointListReply;
use crate::connect::Connector;
use bytes::Bytes;
use heronhoist_engine::timing::timeout;
use heronhoist_engine::MAX_SERVERS;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The path of the complete list; with a version as parameter it is a watch for changes since that version.
pub const LIST_PATH: &str = "/registry/instances";
/// How long discovery holds a watch that has nothing new to report.
///
/// A watch that has become silent must be replaced within 6 s: after that time the decision module assumes that the endpoint
/// list includes all changes. This time, [`HEAD_TIMEOUT`] and a new call have to fit into those 6 s.
pub const HOLD_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long the head of a response may take beyond [`HOLD_TIMEOUT`] before the call fails.
pub const HEAD_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a response body may stall. A list that arrives slowly is accepted as long as data keeps arriving.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a complete response body may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The size that is allowed for each endpoint of a list, in bytes.
const ENDPOINT_BYTES: usize = 512;
/// The largest response body that is read, in bytes. Parsing takes about four times as much memory.
const MAX_BODY_BYTES: usize = MAX_SERVERS * ENDPOINT_BYTES;

/// Why a call returned no list.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection could not be opened.
    #[error(transparent)]
    Open(#[from] OpenError),
    /// The path or the address is not valid in a request.
    #[error("invalid request: {0}")]
    InvalidRequest(#[from] hyper::http::Error),
    /// The head of the response did not arrive in time.
    #[error("no response within {} ms", (HOLD_TIMEOUT + HEAD_TIMEOUT).as_millis())]
    HeadTimedOut,
    /// The connection failed before the head of the response arrived.
    #[error("no response: {0}")]
    NoResponse(#[source] hyper::Error),
    /// The status is not 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// The body was not complete within [`BODY_TIMEOUT`].
    #[error("no complete body within {} s", BODY_TIMEOUT.as_secs())]
    BodyTimedOut,
    /// No data of the body arrived for [`BODY_IDLE_TIMEOUT`].
    #[error("no data of the body within {} s", BODY_IDLE_TIMEOUT.as_secs())]
    BodyStalled,
    /// The body was truncated, or is larger than [`MAX_BODY_BYTES`].
    #[error("incomplete body: {0}")]
    IncompleteBody(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The body is not a valid list.
    #[error("invalid list: {0}")]
    InvalidList(#[from] serde_json::Error),
}

/// A client of one discovery address, which reuses its connection between calls.
pub struct Client<C> {
    connector: Rc<C>,
    address: SocketAddr,
    connection: Option<Connection>,
}

impl<C: Connector> Client<C> {
    /// Creates a client without a connection.
    pub fn new(connector: Rc<C>, address: SocketAddr) -> Self {
        Client { connector, address, connection: None }
    }

    /// Fetches the list at `path`. The connection is closed if the call fails or is dropped.
    ///
    /// # Errors
    ///
    /// Discovery cannot be reached, the response does not arrive in time, or it is not a valid list.
    pub async fn get_list(&mut self, path: &str) -> Result<EndpointListReply, CallError> {
        let mut connection = self.take_connection().await?;
        let request = Request::get(path).header(HOST, self.address.to_string()).body(Empty::<Bytes>::new())?;
        let head = timeout(HOLD_TIMEOUT + HEAD_TIMEOUT, connection.sender.send_request(request)).await;
        let response = head.map_err(|_| CallError::HeadTimedOut)?.map_err(CallError::NoResponse)?;
        if response.status() != StatusCode::OK {
            return Err(CallError::Status(response.status()));
        }
        let body = timeout(BODY_TIMEOUT, read_body(response.into_body())).await;
        let body = body.map_err(|_| CallError::BodyTimedOut)??;
        let reply = serde_json::from_slice(&body)?;
        if connection.can_be_reused().await {
            self.connection = Some(connection);
        }
        Ok(reply)
    }

    /// Returns the connection of the previous call, or a new one if discovery has closed that one, which is not a failure.
    async fn take_connection(&mut self) -> Result<Connection, OpenError> {
        match self.connection.take().filter(Connection::is_ready) {
            Some(connection) => Ok(connection),
            None => Connection::open(&*self.connector, self.address).await,
        }
    }
}

/// Reads a response body to its end.
///
/// # Errors
///
/// The body stalls, is truncated or is too large.
async fn read_body(body: Incoming) -> Result<Vec<u8>, CallError> {
    let mut body = Limited::new(body, MAX_BODY_BYTES);
    let mut read = Vec::new();
    loop {
        let frame = timeout(BODY_IDLE_TIMEOUT, body.frame()).await;
        let Some(frame) = frame.map_err(|_| CallError::BodyStalled)? else {
            return Ok(read);
        };
        if let Ok(data) = frame.map_err(CallError::IncompleteBody)?.into_data() {
            read.extend_from_slice(&data);
        }
    }
}
