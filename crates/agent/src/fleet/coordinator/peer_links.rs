//! Sends Raft messages to the other processes, in batches.

use super::{Coordinator, LOG_TARGET};
use crate::fleet::transport::{Link, RAFT_PATH};
use heronhoist_coordination::wire::Envelope;
use heronhoist_coordination::NodeId;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The maximum number of messages in the queue to one process. Further messages are dropped; Raft sends them again.
const MAX_QUEUED_MESSAGES: usize = 1024;
/// No message is added to a batch once it has this size, in bytes. A single message may be larger.
const FULL_BATCH_BYTES: usize = 1 << 20;
/// A batch without a response by then is treated as lost.
const BATCH_TIMEOUT: Duration = Duration::from_secs(2);
/// The delay after a lost or refused batch, so that a process that is down is not called continuously.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The first line of a batch of messages.
#[derive(Serialize, Deserialize)]
pub(super) struct Frame {
    pub(super) envelope: Envelope,
    /// The sender's id.
    #[serde(rename = "number")]
    pub(super) node_id: NodeId,
    /// The address at which the sender receives messages.
    pub(super) address: SocketAddr,
}

impl Coordinator {
    /// Queues a message for another process. If the queue is full, the message is dropped, as if the network had lost it.
    pub(super) fn send_to_peer(self: &Rc<Self>, peer: NodeId, message: Vec<u8>) {
        let mut queues = self.peer_queues.borrow_mut();
        let queue = queues.entry(peer).or_insert_with(|| {
            let (queue, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
            spawn_local(Rc::clone(self).send_batches(peer, messages));
            queue
        });
        let _ = queue.try_send(message);
    }

    /// Sends the queued messages to one process, a batch at a time.
    async fn send_batches(self: Rc<Self>, peer: NodeId, mut messages: mpsc::Receiver<Vec<u8>>) {
        let mut link: Option<Link> = None;
        while let Some(first) = messages.recv().await {
            let Some(address) = self.peer_address(peer) else { continue };
            let link = match &mut link {
                Some(link) if link.address() == address => link,
                other => other.insert(Link::new(address)),
            };
            let batch = self.next_batch(first, &mut messages);
            match link.post(RAFT_PATH, batch, BATCH_TIMEOUT).await {
                Ok(response) if response.status == StatusCode::OK => continue,
                Ok(response) => {
                    let status = response.status;
                    tracing::warn!(target: LOG_TARGET, %address, %status, "a batch was refused: {}", response.text());
                }
                Err(error) => tracing::debug!(target: LOG_TARGET, %address, "a batch was lost: {error}"),
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Returns the body of a batch: its frame, and the queued messages, each preceded by its length in four bytes.
    fn next_batch(&self, first: Vec<u8>, messages: &mut mpsc::Receiver<Vec<u8>>) -> Vec<u8> {
        let frame = Frame {
            envelope: self.envelope(),
            node_id: self.identity.borrow().node_id,
            address: self.advertised_address(),
        };
        let mut batch = serde_json::to_vec(&frame).unwrap_or_default();
        batch.push(b'\n');
        let mut next = Some(first);
        while let Some(message) = next {
            batch.extend_from_slice(&(message.len() as u32).to_le_bytes());
            batch.extend_from_slice(&message);
            next = if batch.len() < FULL_BATCH_BYTES { messages.try_recv().ok() } else { None };
        }
        batch
    }

    /// Returns the address at which the others reach this process.
    fn advertised_address(&self) -> SocketAddr {
        let own = self.config.peers.iter().find(|(name, _)| *name == self.config.name);
        own.map_or(self.config.listen, |(_, address)| *address)
    }

    /// Returns the address of another process: the one in the state, or else the one that the process sent itself.
    fn peer_address(&self, peer: NodeId) -> Option<SocketAddr> {
        let address_in_state = self.service.borrow().as_ref().and_then(|service| {
            let peer = service.node().state().peers.get(&peer)?;
            peer.address.parse().ok()
        });
        address_in_state.or_else(|| self.reported_addresses.borrow().get(&peer).copied())
    }
}
