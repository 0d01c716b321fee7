//! An HTTP/1 connection to discovery that is kept for several calls.

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
/// How long a connection may take after a response until it can be used again; one that takes longer is closed.
const REUSE_TIMEOUT: Duration = Duration::from_millis(50);

/// Why there is no connection.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// Discovery does not accept the connection.
    #[error("cannot connect: {0}")]
    Connect(#[from] io::Error),
    /// The HTTP connection cannot be set up.
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
    /// What fails for want of a descriptor, port or route on this machine is tried again here until it succeeds: it is no
    /// failure of discovery's, after which the decision module would back off.
    ///
    /// # Errors
    ///
    /// Discovery refuses the connection or does not answer within [`CONNECT_TIMEOUT`].
    pub async fn open(connector: &impl Connector, address: SocketAddr) -> Result<Self, OpenError> {
        let stream = connect_with_retry(connector, address, CONNECT_TIMEOUT).await?;
        let (wire, _) = MeteredStream::new(stream, ());
        let (sender, connection) = http1::handshake(wire).await?;
        let task = tokio::task::spawn_local(async move {
            // A connection that fails shows at the call that uses it.
            let _ = connection.await;
        });
        Ok(Connection { sender, task: task.abort_handle() })
    }

    /// Whether the connection can take a request at once.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the connection can take another request soon after a response.
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
