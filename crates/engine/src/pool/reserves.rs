//! Reserves of a client's time, which ensure that its final response is ready and arrives before it stops waiting.

use std::time::Duration;

/// If the decision module has produced no final response, the client gets one this long before it stops waiting,
/// which is enough time to write and deliver it.
pub const RESPONSE_RESERVE: Duration = Duration::from_millis(6);
/// Attempts time out this long before the client's deadline, so that the decision module can still choose the final
/// response and the response can still arrive.
pub(super) const ATTEMPT_RESERVE: Duration = Duration::from_millis(15);
/// A reserve is at most the total time divided by this number: for a client that waits for 23 ms, an attempt of 20 ms
/// is more useful than one of 8 ms.
const RESERVE_DIVISOR: u32 = 8;

/// Returns the reserve of a total time: `usual`, or less if the total is short.
pub(super) fn reserve(usual: Duration, total: Duration) -> Duration {
    usual.min(total / RESERVE_DIVISOR)
}

/// Returns how long before the client's deadline its attempts time out.
pub(super) fn attempt_reserve(client_timeout: Duration) -> Duration {
    reserve(ATTEMPT_RESERVE, client_timeout)
}

/// Returns how long before its deadline the client gets its final response. With a short timeout this is half of the
/// attempts' reserve, which leaves the other half for the decision module.
pub(super) fn response_reserve(client_timeout: Duration) -> Duration {
    reserve(RESPONSE_RESERVE, client_timeout / 2)
}
