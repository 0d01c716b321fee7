//! Attempts that have stalled: a server that takes no more of a request, or sends no more of a response.

use crate::metered_stream::StreamMonitor;
use crate::peer_silence::MAX_SILENCE;
use crate::stall_timeout::{StallTimeout, BASE_TIMEOUT};
use heronhoist_engine::timing::{sleep_until_caught_up, timeout};
use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// The interval at which stalled writes are checked for.
const WRITE_STALL_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Returns when the peer has accepted none of the unsent bytes for [`MAX_SILENCE`]. While its client is still sending, no
/// deadline applies to a request.
pub(super) async fn write_stalled(monitor: &StreamMonitor) {
    loop {
        sleep_until_caught_up(Instant::now() + WRITE_STALL_CHECK_INTERVAL).await;
        if monitor.write_stalled_since().is_some_and(|since| since.elapsed() > MAX_SILENCE) {
            return;
        }
    }
}

/// Calls `on_pause` each time that a response has begun and no more of it has arrived for [`BASE_TIMEOUT`]; if that returns false,
/// calls `on_stall` after the rest of the stall timeout. Such a response is not over: its server may be slow.
pub(super) async fn watch_response(
    monitor: &StreamMonitor,
    received: u64,
    got_informational: &AtomicBool,
    stall_timeout: &StallTimeout,
    on_pause: impl Fn() -> bool,
    on_stall: impl Fn(),
) -> Infallible {
    loop {
        monitor.bytes_arrived().await;
        if monitor.bytes_received() == received {
            continue;
        }
        while timeout(BASE_TIMEOUT, monitor.bytes_arrived()).await.is_ok() {}
        // After a 1xx response the final one may take its time.
        if got_informational.swap(false, Ordering::Relaxed) {
            continue;
        }
        if on_pause() {
            continue;
        }
        if let Some(extension) = stall_timeout.extension() {
            let resumed = timeout(extension, monitor.bytes_arrived()).await.is_ok();
            stall_timeout.record(resumed);
            if resumed {
                continue;
            }
        }
        on_stall();
    }
}
