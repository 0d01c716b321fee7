//! The side of the running process: sends its listeners to each successor and follows it until it exits.

use super::listeners::send_listeners;
use super::peers::{PeerRegistration, ProcessPeers};
use super::protocol::{read_message, READY};
use super::LOG_TARGET;
use crate::accept::accept;
use std::rc::Rc;
use tokio::net::{TcpListener, UnixListener, UnixStream};

/// The most processes that share the limits beside this one, so that each of them keeps a usable share.
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
                tokio::task::spawn_local(follow_successor(stream, registration));
            }
            Err(error) => {
                tracing::warn!(target: LOG_TARGET, %error, "cannot pass the listening socket");
            }
        }
    }
}

/// Follows a successor until it exits, and keeps it registered for that long.
async fn follow_successor(stream: UnixStream, mut registration: PeerRegistration) {
    tracing::info!(target: LOG_TARGET, "another process has taken the listening socket");
    while let Some(message) = read_message(&stream).await {
        if message.contains(&READY) && !registration.is_ready() {
            registration.mark_ready();
            tracing::info!(target: LOG_TARGET, "the other process can serve");
        }
    }
    tracing::info!(target: LOG_TARGET, "the other process has exited");
}
