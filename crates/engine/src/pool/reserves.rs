//! What is kept back of a client's time, so that its final response is ready and arrives before it stops waiting.

use std::time::Duration;

/// A client that has no final response from the decision module gets one this long before it stops waiting: time enough
/// to write it and for it to arrive.
pub const RESPONSE_RESERVE: Duration = Duration::from_millis(6);
/// Attempts time out this long before the client's deadline, so that the decision module can still decide on the final
/// response and that can still arrive.
pub(super) const ATTEMPT_RESERVE: Duration = Duration::from_millis(15);
/// No reserve takes more than this fraction (one in so many) of the time that it is taken from: a client that waits for
/// 23 ms is better served by an attempt of 20 ms than by one of 8.
const RESERVE_DIVISOR: u32 = 8;

/// What is kept back of `time`: `usual`, or less if that is little.
pub(super) fn reserve(usual: Duration, time: Duration) -> Duration {
    usual.min(time / RESERVE_DIVISOR)
}

/// How long before the client's deadline its attempts time out.
pub(super) fn attempt_reserve(client_timeout: Duration) -> Duration {
    reserve(ATTEMPT_RESERVE, client_timeout)
}

/// How long before the client's deadline it gets its final response: in a short time half of what its attempts keep back,
/// so that the other half is left for the decision module.
pub(super) fn response_reserve(client_timeout: Duration) -> Duration {
    reserve(RESPONSE_RESERVE, client_timeout / 2)
}
