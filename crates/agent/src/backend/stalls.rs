//! Attempts that have stalled: a server that takes no more of a request, or sends no more of a response.

use crate::metered_stream::StreamMonitor;
use crate::stall_timeout::{StallTimeout, BASE_TIMEOUT};
use heronhoist_engine::timing::{sleep_until_caught_up, timeout};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// An attempt is given up when its server accepts no more bytes of the request for this long.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(3);
/// The interval at which stalled writes are checked for.
const WRITE_STALL_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Returns when the peer has accepted none of the unsent bytes for [`WRITE_STALL_TIMEOUT`].
pub(super) async fn write_stalled(monitor: &StreamMonitor) {
    loop {
        sleep_until_caught_up(Instant::now() + WRITE_STALL_CHECK_INTERVAL).await;
        if monitor.write_stalled_since().is_some_and(|since| since.elapsed() > WRITE_STALL_TIMEOUT) {
            return;
        }
    }
}

/// Returns when a response has begun and no more of it has arrived for the stall timeout: it is broken, and waiting for more
/// would take until the attempt times out.
pub(super) async fn response_stalled(
    monitor: &StreamMonitor,
    received: u64,
    got_informational: &AtomicBool,
    stall_timeout: &StallTimeout,
) {
    loop {
        monitor.bytes_arrived().await;
        if monitor.bytes_received() == received {
            continue;
        }
        loop {
            while timeout(BASE_TIMEOUT, monitor.bytes_arrived()).await.is_ok() {}
            if got_informational.swap(false, Ordering::Relaxed) {
                break;
            }
            let Some(extension) = stall_timeout.extension() else { return };
            let resumed = timeout(extension, monitor.bytes_arrived()).await.is_ok();
            stall_timeout.record(resumed);
            if !resumed {
                return;
            }
        }
    }
}
