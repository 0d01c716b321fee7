//! The running process's side of a handover: sends its listeners to each successor and tracks it until it exits.

use super::listeners::send_listeners;
use super::peers::{PeerRegistration, ProcessPeers};
use super::protocol::{read_message, READY};
use super::LOG_TARGET;
use crate::accept::accept;
use std::rc::Rc;
use tokio::net::{TcpListener, UnixListener, UnixStream};

/// The maximum number of other processes that share the limits, so that the share of each remains usable.
const MAX_PEERS: usize = 3;

/// Accepts successors and sends each of them the listeners, until dropped.
///
/// A connection beyond [`MAX_PEERS`] is closed without a message.
pub async fn serve_successors(
    handover_listener: UnixListener,
    listeners: Vec<Rc<TcpListener>>,
    peers: Rc<ProcessPeers>,
) {
    loop {
        let stream = accept(&handover_listener, |_, _| {}).await;
        if peers.count() >= MAX_PEERS {
            continue;
        }
        match send_listeners(&stream, &listeners).await {
            Ok(()) => {
                let registration = peers.register();
                tokio::task::spawn_local(track_successor(stream, registration));
            }
            Err(error) => {
                tracing::warn!(target: LOG_TARGET, %error, "cannot send the listening sockets");
            }
        }
    }
}

/// Tracks a successor until it exits; it counts as a peer until then.
async fn track_successor(stream: UnixStream, mut registration: PeerRegistration) {
    tracing::info!(target: LOG_TARGET, "another process has taken the listening socket");
    while let Some(message) = read_message(&stream).await {
        if message.contains(&READY) && !registration.is_ready() {
            registration.mark_ready();
            tracing::info!(target: LOG_TARGET, "the other process can serve");
        }
    }
    tracing::info!(target: LOG_TARGET, "the other process has exited");
}
