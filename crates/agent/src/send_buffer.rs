//! What a peer's kernel can hold of what the peer has written and this process has not received.

use std::sync::OnceLock;

/// The largest send buffer that the kernel chooses by itself: the last of three numbers.
const AUTOMATIC_LIMIT_FILE: &str = "/proc/sys/net/ipv4/tcp_wmem";
/// The largest send buffer that a program can ask for; the kernel grants twice as much, for its own overhead.
const REQUESTED_LIMIT_FILE: &str = "/proc/sys/net/core/wmem_max";
/// The kernel's default for [`AUTOMATIC_LIMIT_FILE`].
const DEFAULT_LIMIT: u64 = 4 * 1024 * 1024;
/// The kernel checks the limit before each segment, so the last one may exceed it.
const MAX_SEGMENT_BYTES: u64 = 64 * 1024;

/// The maximum number of bytes that a program on this machine can have written to a connection while its kernel has not sent them,
/// or has no acknowledgement of them. Programs on other machines are assumed to have the same limits.
pub fn max_send_buffer_bytes() -> u64 {
    static BYTES: OnceLock<u64> = OnceLock::new();
    *BYTES.get_or_init(|| {
        let automatic = last_number(AUTOMATIC_LIMIT_FILE).unwrap_or(DEFAULT_LIMIT);
        let requested = last_number(REQUESTED_LIMIT_FILE).unwrap_or_default().saturating_mul(2);
        automatic.max(requested).saturating_add(MAX_SEGMENT_BYTES)
    })
}

/// The last number in a file of the kernel's settings.
fn last_number(path: &str) -> Option<u64> {
    std::fs::read_to_string(path).ok()?.split_whitespace().last()?.parse().ok()
}
