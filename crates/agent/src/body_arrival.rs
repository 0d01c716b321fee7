//! When the last byte of a body that is being read may have arrived.
//!
//! The time of a request counts from its last byte. While its server takes no more, the agent reads no more, and what the client
//! has sent meanwhile lies in the buffers of the two sockets, perhaps with the last byte among it. So what is known is the latest
//! time at which some of the body certainly had not been sent; the last byte may have arrived at any time after that.

use crate::framing::UnreadBody;
use std::collections::VecDeque;
use tokio::time::Instant;

/// The maximum number of bytes that a client can have sent while they are not read: what the two socket buffers hold.
const MAX_UNREAD_BYTES: u64 = 4 * 1024 * 1024;
/// The distance of the positions in a body whose times are recorded.
const POSITION_INTERVAL_BYTES: u64 = 256 * 1024;

/// Whether the last byte may have been sent, if `unread` has not been read. `has_unread_bytes` returns whether the client's socket
/// has anything to read.
pub fn may_have_arrived(unread: Option<UnreadBody>, has_unread_bytes: impl FnOnce() -> bool) -> bool {
    match unread {
        None => true,
        Some(UnreadBody::Known(bytes)) => bytes <= MAX_UNREAD_BYTES && has_unread_bytes(),
        Some(UnreadBody::Chunks) => has_unread_bytes(),
    }
}

/// A position in a body, and when it was read.
#[derive(Debug, Clone, Copy)]
struct Position {
    bytes: u64,
    read_at: Instant,
}

/// What has been seen of the arrival of one body.
#[derive(Debug)]
pub struct BodyArrival {
    /// The latest time at which some of the body certainly had not been sent.
    incomplete_at: Instant,
    /// Positions that were read later, in order, up to [`MAX_UNREAD_BYTES`] back.
    positions: VecDeque<Position>,
}

impl BodyArrival {
    /// The arrival of a body of which nothing is known but that some of it was unread at `now`.
    pub fn new(now: Instant) -> Self {
        BodyArrival { incomplete_at: now, positions: VecDeque::new() }
    }

    /// The earliest time at which the last byte can have arrived.
    pub fn earliest_completion(&self) -> Instant {
        self.incomplete_at
    }

    /// Notes that some of the body had not been sent at this time.
    pub fn record_incomplete(&mut self, at: Instant) {
        self.incomplete_at = self.incomplete_at.max(at);
    }

    /// Notes that the first `bytes` of the body have been read. When more than [`MAX_UNREAD_BYTES`] of them were unread, some of them
    /// had not been sent.
    pub fn record_read(&mut self, now: Instant, bytes: u64) {
        while let Some(oldest) = self.positions.front().copied() {
            if bytes - oldest.bytes <= MAX_UNREAD_BYTES {
                break;
            }
            self.record_incomplete(oldest.read_at);
            self.positions.pop_front();
        }
        if self.positions.back().is_none_or(|last| bytes - last.bytes >= POSITION_INTERVAL_BYTES) {
            self.positions.push_back(Position { bytes, read_at: now });
        }
    }
}

#[cfg(test)]
mod tests;
