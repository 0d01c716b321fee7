//! An HTTP/1 connection to discovery that is reused for several calls.

use crate::connect::{connect_with_retry, Connector};
use crate::metered_stream::MeteredStream;
use bytes::Bytes;
use heronhoist_engine::timing::timeout;
use http_body_util::Empty;
use hyper::client::conn::http1::{self, SendRequest};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::AbortHandle;

/// How long a connection attempt may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long after a response a connection may take until it can be reused; one that takes longer is closed.
const REUSE_TIMEOUT: Duration = Duration::from_millis(50);

/// Why a connection could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The connection could not be established.
    #[error("cannot connect: {0}")]
    Connect(#[from] io::Error),
    /// The HTTP connection could not be set up.
    #[error("cannot set up HTTP: {0}")]
    Handshake(#[from] hyper::Error),
}

/// A connection to discovery; it is closed when this is dropped.
pub struct Connection {
    /// Sends requests, one at a time.
    pub sender: SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Connection {
    /// Connects to discovery.
    ///
    /// An attempt that fails because this machine lacks a descriptor, port or route is repeated here until it succeeds: it is not
    /// a failure of discovery, after which the decision module would back off.
    ///
    /// # Errors
    ///
    /// Discovery refuses the connection or does not accept it within [`CONNECT_TIMEOUT`].
    pub async fn open(connector: &impl Connector, address: SocketAddr) -> Result<Self, OpenError> {
        let stream = connect_with_retry(connector, address, CONNECT_TIMEOUT).await?;
        let (wire, _) = MeteredStream::new(stream, ());
        let (sender, connection) = http1::handshake(wire).await?;
        let task = tokio::task::spawn_local(async move {
            // The call that uses a failed connection reports the error.
            let _ = connection.await;
        });
        Ok(Connection { sender, task: task.abort_handle() })
    }

    /// Whether the connection can accept a request at once.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the connection can accept another request within [`REUSE_TIMEOUT`] after a response.
    pub async fn can_be_reused(&mut self) -> bool {
        let ready = timeout(REUSE_TIMEOUT, self.sender.ready()).await;
        ready.is_ok_and(|ready| ready.is_ok())
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
