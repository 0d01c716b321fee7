//! Accepts connections, with retries after errors, for all listeners of this program.

use crate::socket_error::AcceptError;
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use tokio::task::yield_now;
use tokio::time::sleep;

/// Pause after an `accept` that failed because descriptors or memory ran out, or for an unknown reason.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The maximum number of connections that can be aborted in the backlog. More such errors in a row have another cause.
const MAX_ABORTED: usize = 1024;

/// A socket that accepts connections.
pub trait Listener {
    /// An accepted connection.
    type Stream;

    /// Accepts the next connection.
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

/// Accepts the next connection, however many attempts that takes.
///
/// Connections that were aborted in the backlog are skipped at once; other tasks run between two of them. Any other error is
/// passed to `on_error`, which may free resources, and is followed by a pause.
pub async fn accept<L: Listener>(
    listener: &L,
    mut on_error: impl FnMut(&io::Error, AcceptError),
) -> L::Stream {
    let mut aborted = 0;
    loop {
        let error = match listener.accept().await {
            Ok(stream) => return stream,
            Err(error) => error,
        };
        match AcceptError::from(&error) {
            AcceptError::ConnectionAborted if aborted < MAX_ABORTED => {
                aborted += 1;
                yield_now().await;
                continue;
            }
            AcceptError::ConnectionAborted => on_error(&error, AcceptError::Other),
            kind => on_error(&error, kind),
        }
        aborted = 0;
        sleep(ACCEPT_RETRY_DELAY).await;
    }
}

#[cfg(test)]
mod tests;
