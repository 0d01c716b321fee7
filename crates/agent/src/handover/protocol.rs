//! The messages that the two processes of a handover exchange over their Unix connection.
//!
//! | sender | message | meaning |
//! | --- | --- | --- |
//! | predecessor | [`LISTENERS_MESSAGE`] with file descriptors | its listening sockets, all in one message |
//! | successor | [`READY`] | it can serve |
//! | either | end of stream | it has exited |

use crate::socket_error::retry_on_interrupt;
use std::io;
use tokio::net::UnixStream;

/// The payload that accompanies the file descriptors; a message without payload cannot carry descriptors.
pub const LISTENERS_MESSAGE: [u8; 1] = *b"L";
/// The message that a successor sends once it can serve.
pub const READY: u8 = b'R';
/// The size of a read in bytes; all messages are shorter.
const READ_BYTES: usize = 16;

/// Reads the next bytes that the other process sends.
///
/// `None` once the other process has exited, which closes its end, or the connection has failed.
pub async fn read_message(stream: &UnixStream) -> Option<Vec<u8>> {
    let mut buffer = [0; READ_BYTES];
    loop {
        stream.readable().await.ok()?;
        match retry_on_interrupt(|| stream.try_read(&mut buffer)) {
            Ok(0) => return None,
            Ok(length) => return Some(buffer[..length].to_vec()),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return None,
        }
    }
}

/// Notifies the predecessor that this process can serve.
///
/// # Errors
///
/// The connection has failed.
pub async fn send_ready(stream: &UnixStream) -> io::Result<()> {
    stream.writable().await?;
    retry_on_interrupt(|| stream.try_write(&[READY]))?;
    Ok(())
}
