//! Output of pages that are refreshed periodically (`--watch`).

use std::io::{self, Write};
use std::time::Duration;

/// How often a page is refreshed.
pub const WATCH_INTERVAL: Duration = Duration::from_secs(1);
/// Clears the terminal and moves the cursor to its first line.
const CLEAR_SCREEN: &str = "\u{1b}[2J\u{1b}[H";

/// Writes a page to standard output; with `clear`, the terminal is cleared first.
///
/// # Errors
/// Fails if standard output is closed.
pub fn show(page: &str, clear: bool) -> io::Result<()> {
    let clear = if clear { CLEAR_SCREEN } else { "" };
    let mut out = io::stdout();
    out.write_all(format!("{clear}{page}").as_bytes())?;
    out.flush()
}
