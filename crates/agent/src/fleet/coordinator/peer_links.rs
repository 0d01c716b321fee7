//! Links to the other processes: Raft messages in batches.

use super::{Process, LOG_TARGET};
use crate::fleet::link::{Link, RAFT};
use heronhoist_coordination::wire::Envelope;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Messages that wait for one other process; what is over is lost, as on a bad link.
pub(super) const QUEUE_MOST: usize = 1024;
/// Messages that go out together, but for one that is larger than all of them.
const BATCH_BYTES: usize = 1 << 20;
/// A batch that is not taken by then is lost.
const BATCH_WAIT: Duration = Duration::from_secs(2);
/// Pause after a batch that was lost.
const LINK_PAUSE: Duration = Duration::from_millis(50);

/// Before the messages of another council process.
#[derive(Serialize, Deserialize)]
pub(super) struct Frame {
    pub(super) envelope: Envelope,
    pub(super) number: u64,
    pub(super) address: SocketAddr,
}

impl Process {
    /// Where the others reach this process.
    fn advertised(&self) -> SocketAddr {
        let own = self.config.peers.iter().find(|(name, _)| *name == self.config.name);
        own.map_or(self.config.listen, |(_, address)| *address)
    }

    fn address_of(&self, number: u64) -> Option<SocketAddr> {
        let desk = self.desk.borrow();
        let peer =
            desk.as_ref().and_then(|desk| desk.node().state().peers.get(&number)?.address.parse().ok());
        peer.or_else(|| self.heard_from.borrow().get(&number).copied())
    }

    /// Carries messages to one other process, a batch at a time.
    pub(super) async fn carry(self: Rc<Self>, to: u64, mut waiting: mpsc::Receiver<Vec<u8>>) {
        let mut link: Option<Link> = None;
        while let Some(first) = waiting.recv().await {
            let Some(address) = self.address_of(to) else { continue };
            let link = match &mut link {
                Some(link) if link.address() == address => link,
                other => other.insert(Link::new(address)),
            };
            let frame = Frame {
                envelope: self.envelope(),
                number: self.identity.borrow().node_id,
                address: self.advertised(),
            };
            let mut body = serde_json::to_vec(&frame).unwrap_or_default();
            body.push(b'\n');
            let mut message = Some(first);
            while let Some(bytes) = message {
                body.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
                body.extend_from_slice(&bytes);
                message = if body.len() < BATCH_BYTES { waiting.try_recv().ok() } else { None };
            }
            match link.post(RAFT, body, BATCH_WAIT).await {
                Ok((StatusCode::OK, _)) => {}
                Ok((status, why)) => {
                    tracing::warn!(target: LOG_TARGET, %address, %status, "refused: {}", String::from_utf8_lossy(&why).trim_end());
                    sleep(LINK_PAUSE).await;
                }
                Err(why) => {
                    tracing::debug!(target: LOG_TARGET, %address, "a batch was lost: {why}");
                    sleep(LINK_PAUSE).await;
                }
            }
        }
    }
}
