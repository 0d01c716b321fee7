//! What is kept back of a client's time, so that its final answer is worded and arrives before it stops waiting.

use std::time::Duration;

/// A client that hears nothing from the module gets its answer this long before it stops waiting.
pub const RESPONSE_RESERVE: Duration = Duration::from_millis(6);
/// No attempt is waited for longer than until this before the client's deadline, so that the module can still
/// word the final answer, and that can still arrive.
pub(super) const ATTEMPT_RESERVE: Duration = Duration::from_millis(15);
/// No reserve takes more than this part of what it is taken from: a client that waits for 23 ms is better served by an
/// attempt of 20 ms than by one of 8.
const RESERVE_DIVISOR: u32 = 8;

/// What is kept back of so much time.
pub(super) fn reserve(usual: Duration, time: Duration) -> Duration {
    usual.min(time / RESERVE_DIVISOR)
}
