//! How long a peer may be silent within a response: its server that sends nothing, or its client that reads nothing.
//!
//! No deadline applies to a response that has begun. A peer that is cut off for a while is silent, and so is one that will never go
//! on; nothing tells them apart. So a response waits for longer than any outage that it must outlast, and gives way earlier only to
//! clients that find no connection.

use std::time::Duration;

/// A response ends without its rest when its peer has been silent for this long.
///
/// Outages of a zone last up to 20 s. TCP retransmits at intervals that double from 0.2 s on, so its first segment after such an
/// outage is sent up to 25.4 s after the outage began.
pub const MAX_SILENCE: Duration = Duration::from_secs(26);
/// After this silence, the response's client connection may be closed if other clients need to connect.
pub const MIN_EVICTABLE_SILENCE: Duration = Duration::from_secs(4);
