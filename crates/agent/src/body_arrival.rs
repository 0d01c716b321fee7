//! When the last byte of a body that is being read may have arrived.
//!
//! The time of a request counts from its last byte. While its server takes no more, the agent reads no more, and what the client
//! has sent meanwhile lies in the buffers of the two sockets, perhaps with the last byte among it. The agent sees how much lies in
//! its own socket, but not how much lies in the client's send buffer. So what is known is the latest time at which some of the body
//! certainly had not been sent; the last byte may have arrived at any time after that.

use crate::framing::UnreadBody;
use std::collections::VecDeque;
use tokio::time::Instant;

/// The distance of the positions in a body whose times are recorded.
const POSITION_INTERVAL_BYTES: u64 = 256 * 1024;
/// The maximum number of bytes that hyper has read of a body and not delivered yet.
const MAX_UNDELIVERED_BYTES: u64 = 32 * 1024;

/// A position in a body, and when it was read.
#[derive(Debug, Clone, Copy)]
struct Position {
    bytes: u64,
    /// No more bytes of the body than this had been sent then.
    max_sent: u64,
    read_at: Instant,
}

/// What has been seen of the arrival of one body.
#[derive(Debug)]
pub struct BodyArrival {
    /// The maximum number of bytes in the client's send buffer.
    max_send_buffer: u64,
    /// The latest time at which some of the body certainly had not been sent.
    incomplete_at: Instant,
    /// Positions that were read later, in order, as far back as more may have been sent then than has been read now.
    positions: VecDeque<Position>,
}

impl BodyArrival {
    /// The arrival of a body of which nothing is known but that some of it was unread at `now`.
    pub fn new(now: Instant, max_send_buffer: u64) -> Self {
        BodyArrival { max_send_buffer, incomplete_at: now, positions: VecDeque::new() }
    }

    /// Whether the last byte may have been sent. `unread` has not been read, and `in_socket` bytes of it lie in the agent's socket.
    pub fn may_be_complete(&self, unread: Option<UnreadBody>, in_socket: u64) -> bool {
        match unread {
            None => true,
            // The client's send buffer empties at once into a socket that has room.
            Some(_) if in_socket == 0 => false,
            Some(UnreadBody::Known(bytes)) => bytes <= in_socket.saturating_add(self.max_send_buffer),
            Some(UnreadBody::Chunks) => true,
        }
    }

    /// The earliest time at which the last byte can have arrived.
    pub fn earliest_completion(&self) -> Instant {
        self.incomplete_at
    }

    /// Notes that some of the body had not been sent at this time.
    pub fn record_incomplete(&mut self, at: Instant) {
        self.incomplete_at = self.incomplete_at.max(at);
    }

    /// Notes that the first `bytes` of the body have been read, and that `in_socket` more lie in the agent's socket. What has been
    /// read and could not have been sent at an earlier time shows that the body was incomplete then.
    pub fn record_read(&mut self, now: Instant, bytes: u64, in_socket: u64) {
        while let Some(oldest) = self.positions.front().copied() {
            if bytes <= oldest.max_sent {
                break;
            }
            self.record_incomplete(oldest.read_at);
            self.positions.pop_front();
        }
        if self.positions.back().is_none_or(|last| bytes - last.bytes >= POSITION_INTERVAL_BYTES) {
            let buffered = in_socket.saturating_add(self.max_send_buffer);
            let max_sent = bytes.saturating_add(MAX_UNDELIVERED_BYTES).saturating_add(buffered);
            self.positions.push_back(Position { bytes, max_sent, read_at: now });
        }
    }
}

#[cfg(test)]
mod tests;
