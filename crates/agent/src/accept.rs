//! The one way in which this program accepts connections, whatever listens.

use crate::socket_error::AcceptError;
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use tokio::task::yield_now;
use tokio::time::sleep;

/// Pause after an accept that failed for want of descriptors or memory, or that fails at all times.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// As many connections may wait in a queue, and so may have broken off there. More errors in a row are no connections'.
const ABORTED_MOST: usize = 1024;

/// Where connections come in.
pub trait Listener {
    /// A connection.
    type Stream;

    /// The next connection.
    fn accept(&self) -> impl Future<Output = io::Result<Self::Stream>>;
}

impl Listener for TcpListener {
    type Stream = TcpStream;

    async fn accept(&self) -> io::Result<TcpStream> {
        TcpListener::accept(self).await.map(|(stream, _)| stream)
    }
}

impl Listener for UnixListener {
    type Stream = UnixStream;

    async fn accept(&self) -> io::Result<UnixStream> {
        UnixListener::accept(self).await.map(|(stream, _)| stream)
    }
}

/// The next connection that can be had. Those that have broken off in the queue are passed over at once, with a turn for everybody
/// else between two of them. Any other error is handed to `failed`, which may make room, and followed by a pause.
pub async fn accept<L: Listener>(listener: &L, mut failed: impl FnMut(&io::Error, AcceptError)) -> L::Stream {
    let mut aborted = 0;
    loop {
        let error = match listener.accept().await {
            Ok(stream) => return stream,
            Err(error) => error,
        };
        match AcceptError::from(&error) {
            AcceptError::ConnectionAborted if aborted < ABORTED_MOST => {
                aborted += 1;
                yield_now().await;
                continue;
            }
            AcceptError::ConnectionAborted => failed(&error, AcceptError::Other),
            kind => failed(&error, kind),
        }
        aborted = 0;
        sleep(ACCEPT_RETRY_DELAY).await;
    }
}

#[cfg(test)]
mod tests;
