//! The side of the new process: takes the listeners over from the process that serves.

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

/// How long a predecessor may take to send its listeners; one that takes longer hangs or is about to exit.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(500);

/// What a new process takes over from the one that has served so far.
pub struct Takeover {
    /// The listening sockets, in the order of the predecessor's fronts.
    pub listeners: Vec<TcpListener>,
    /// The process that has served so far.
    pub predecessor: Predecessor,
}

/// Why nothing is taken over.
#[derive(Debug, thiserror::Error)]
enum TakeoverError {
    /// Nothing accepts connections at the path: no process serves, or a killed one has left its file.
    #[error("no process serves")]
    NoPredecessor(#[source] io::Error),
    /// The connection fails, or carries no listener.
    #[error(transparent)]
    Receive(#[from] ReceiveError),
    /// No message arrives within [`RECEIVE_TIMEOUT`].
    #[error("no message within {} ms", RECEIVE_TIMEOUT.as_millis())]
    TimedOut,
}

/// Takes over the listeners of the process that serves at `path`.
///
/// `None` if there is none, or if it fails to send them, which is logged: this process then binds sockets of its own.
pub async fn take_over(path: &Path, peers: &Rc<ProcessPeers>) -> Option<Takeover> {
    match request_listeners(path, peers).await {
        Ok(takeover) => return Some(takeover),
        // A first start, which is nothing to log.
        Err(TakeoverError::NoPredecessor(_)) => {}
        Err(TakeoverError::Receive(error)) => {
            tracing::warn!(target: LOG_TARGET, %error, "the process that serves has not passed its socket");
        }
        Err(TakeoverError::TimedOut) => {
            tracing::warn!(target: LOG_TARGET, "the process that serves has not passed its socket in time");
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

/// The process that has served so far, which counts as a peer until this is dropped.
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
