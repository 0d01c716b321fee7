//! Passes listening TCP sockets between processes: as file descriptors in one message on a Unix socket (`SCM_RIGHTS`).

use super::protocol::LISTENERS_MESSAGE;
use rustix::cmsg_space;
use rustix::io::retry_on_intr;
use rustix::net::{recvmsg, sendmsg};
use rustix::net::{RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags};
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;
use tokio::io::Interest;
use tokio::net::UnixStream;

/// The maximum number of listeners in one message; a configuration has no more fronts.
const MAX_LISTENERS: usize = 16;

/// Why no listeners were received.
#[derive(Debug, thiserror::Error)]
pub enum ReceiveError {
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The message carries no file descriptor, or the other process closed the connection.
    #[error("no listening socket was received")]
    NoListeners,
}

/// Receives the listeners that the other process sends.
///
/// # Errors
///
/// The connection fails, or the other process sends or closes without passing a listener.
pub async fn receive_listeners(stream: &UnixStream) -> Result<Vec<TcpListener>, ReceiveError> {
    loop {
        stream.readable().await?;
        match stream.try_io(Interest::READABLE, || receive_descriptors(stream)) {
            Ok(descriptors) if descriptors.is_empty() => return Err(ReceiveError::NoListeners),
            Ok(descriptors) => return Ok(descriptors.into_iter().map(TcpListener::from).collect()),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error.into()),
        }
    }
}

/// Reads one message and returns its file descriptors; there may be none.
fn receive_descriptors(stream: &UnixStream) -> io::Result<Vec<OwnedFd>> {
    let mut space = [MaybeUninit::uninit(); cmsg_space!(ScmRights(MAX_LISTENERS))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut payload = [0; LISTENERS_MESSAGE.len()];
    // Without this flag, programs that this process starts would inherit the listeners.
    let flags = RecvFlags::CMSG_CLOEXEC;
    retry_on_intr(|| recvmsg(stream.as_fd(), &mut [IoSliceMut::new(&mut payload)], &mut control, flags))?;
    let descriptors = control.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
        _ => None,
    });
    Ok(descriptors.flatten().collect())
}

/// Sends all listeners in one message.
///
/// # Errors
///
/// The connection fails.
pub async fn send_listeners(
    stream: &UnixStream,
    listeners: &[Rc<tokio::net::TcpListener>],
) -> io::Result<()> {
    stream.writable().await?;
    stream.try_io(Interest::WRITABLE, || send_descriptors(stream, listeners))
}

fn send_descriptors(stream: &UnixStream, listeners: &[Rc<tokio::net::TcpListener>]) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); cmsg_space!(ScmRights(MAX_LISTENERS))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let descriptors: Vec<_> = listeners.iter().map(|listener| listener.as_fd()).collect();
    control.push(SendAncillaryMessage::ScmRights(&descriptors));
    let payload = [IoSlice::new(&LISTENERS_MESSAGE)];
    retry_on_intr(|| sendmsg(stream.as_fd(), &payload, &mut control, SendFlags::NOSIGNAL))?;
    Ok(())
}

/// Removes the listener of `address` from the inherited ones and returns it.
///
/// If `address` has port 0 (any port), a listener on the same IP address matches.
pub fn take_listener(inherited: &mut Vec<TcpListener>, address: SocketAddr) -> Option<TcpListener> {
    let is_exact = |bound: SocketAddr| bound == address;
    let is_on_any_port = |bound: SocketAddr| address.port() == 0 && bound.ip() == address.ip();
    let index = position(inherited, is_exact).or_else(|| position(inherited, is_on_any_port))?;
    Some(inherited.remove(index))
}

fn position(listeners: &[TcpListener], is_match: impl Fn(SocketAddr) -> bool) -> Option<usize> {
    listeners.iter().position(|listener| listener.local_addr().is_ok_and(&is_match))
}
