//! The new process's side of a handover: takes over the listeners of the running process.

use super::listeners::{receive_listeners, ReceiveError};
use super::peers::{PeerRegistration, ProcessPeers};
use super::protocol::{read_message, send_ready};
use super::LOG_TARGET;
use heronhoist_engine::timing::timeout;
use std::io;
use std::net::TcpListener;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UnixStream;

/// How long a predecessor may take to send its listeners. One that takes longer hangs or is about to exit.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(500);

/// What a new process takes over from its predecessor.
pub struct Takeover {
    /// The listening sockets, in the order of the predecessor's fronts.
    pub listeners: Vec<TcpListener>,
    /// The connection to the predecessor.
    pub predecessor: Predecessor,
}

/// Why nothing was taken over.
#[derive(Debug, thiserror::Error)]
enum TakeoverError {
    /// Nothing accepts connections at the path: no process is running, or a killed one has left its file.
    #[error("no running process")]
    NoPredecessor(#[source] io::Error),
    /// The connection failed, or carried no listener.
    #[error(transparent)]
    Receive(#[from] ReceiveError),
    /// No message arrived within [`RECEIVE_TIMEOUT`].
    #[error("no message within {} ms", RECEIVE_TIMEOUT.as_millis())]
    TimedOut,
}

/// Takes over the listeners of the running process whose Unix socket is at `path`.
///
/// `None` if there is none, or if it does not send them, which is logged. This process then binds its own sockets.
pub async fn take_over(path: &Path, peers: &Rc<ProcessPeers>) -> Option<Takeover> {
    match request_listeners(path, peers).await {
        Ok(takeover) => return Some(takeover),
        // This is a first start; there is nothing to log.
        Err(TakeoverError::NoPredecessor(_)) => {}
        Err(TakeoverError::Receive(error)) => {
            tracing::warn!(target: LOG_TARGET, %error, "the running process has not sent its listening sockets");
        }
        Err(TakeoverError::TimedOut) => {
            tracing::warn!(target: LOG_TARGET, "the running process has not sent its listening sockets in time");
        }
    }
    None
}

async fn request_listeners(path: &Path, peers: &Rc<ProcessPeers>) -> Result<Takeover, TakeoverError> {
    let stream = UnixStream::connect(path).await.map_err(TakeoverError::NoPredecessor)?;
    let received = timeout(RECEIVE_TIMEOUT, receive_listeners(&stream)).await;
    let listeners = received.map_err(|_| TakeoverError::TimedOut)??;
    let predecessor = Predecessor { stream, _registration: peers.register() };
    Ok(Takeover { listeners, predecessor })
}

/// A connection to the predecessor, which counts as a peer until this is dropped.
pub struct Predecessor {
    stream: UnixStream,
    _registration: PeerRegistration,
}

impl Predecessor {
    /// Notifies the predecessor that this process is ready, and returns once the predecessor has exited.
    pub async fn complete_takeover(self) {
        if let Err(error) = send_ready(&self.stream).await {
            tracing::warn!(target: LOG_TARGET, %error, "cannot notify the previous process");
        }
        // A predecessor sends nothing after its listeners; only the end of the stream matters.
        while read_message(&self.stream).await.is_some() {}
        tracing::info!(
            target: LOG_TARGET,
            "the previous process has exited; its share of the limits is available"
        );
    }
}
