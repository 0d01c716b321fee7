//! Whether the client of a request is still connected.
//!
//! The close of a connection arrives behind all bytes that were sent before it. As long as many of them have not been read, the
//! socket's buffer is full, and a close may be on its way unseen.

use crate::metered_stream::StreamMonitor;
use std::time::Duration;
use tokio::time::Instant;

/// So long after a request has been read, its client counts as connected even if a close could not be seen. An attempt may begin up
/// to 0.1 s after the close; half of that is left for delays of this machine.
const MAX_UNCERTAIN_TIME: Duration = Duration::from_millis(50);
/// With fewer unread bytes than this, the socket has room and a close would have arrived. A client that sends one request at a time
/// leaves more only within a long body.
const MIN_HIDING_BYTES: u64 = 16 * 1024;

/// The connection of the client that waits for a response.
#[derive(Clone)]
pub struct ClientPresence {
    monitor: StreamMonitor,
    /// When its request was read, or the beginning of a long one.
    read_at: Instant,
}

impl ClientPresence {
    /// The client of a request that has just been read from this connection.
    pub fn new(monitor: StreamMonitor) -> Self {
        ClientPresence { monitor, read_at: Instant::now() }
    }

    /// The connection.
    pub fn monitor(&self) -> &StreamMonitor {
        &self.monitor
    }

    /// Whether the client has closed its connection.
    pub fn has_left(&self) -> bool {
        self.monitor.is_closed_by_peer()
    }

    /// Whether the client may have closed its connection a while ago without this being visible.
    pub fn may_have_left(&self) -> bool {
        self.read_at.elapsed() > MAX_UNCERTAIN_TIME && self.monitor.unread_bytes() >= MIN_HIDING_BYTES
    }
}
