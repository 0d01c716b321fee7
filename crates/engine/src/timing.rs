//! Timeouts that read what has arrived before they expire.
//!
//! A process that was held up finds all its timers due when it goes on, and what came meanwhile unread in its sockets.
//! tokio serves timers in the same turn of the event loop as sockets, or before them, so that a plain timeout throws away
//! a response that arrived long ago. The timeouts here give the sockets and the tasks that read them their turn first.

use std::cell::Cell;
use std::future::Future;
use std::pin::{pin, Pin};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant, Sleep};

/// How often a process that watches its event loop calls [`heartbeat`].
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// An event loop that is later than this has stalled. As long as a heartbeat, so that a turn with much to do is no stall.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_millis(100);
/// Turns of the event loop that are given to what has arrived when a timeout is due: one in which the sockets are
/// looked at, and some for the tasks between a socket and whoever waits for what it brings.
const MIN_CATCH_UP_TURNS: u32 = 4;
/// The same after a stall, when there is much to read: a list of thousands of lines comes in dozens of pieces.
const MAX_CATCH_UP_TURNS: u32 = 128;

thread_local! {
    /// When the event loop of this thread was last known to run and to have read what there was; `None` without heartbeats.
    static LAST_HEARTBEAT: Cell<Option<Instant>> = const { Cell::new(None) };
}

/// Records that the event loop runs. To be called every [`HEARTBEAT_INTERVAL`]; returns once what arrived during a stall
/// has had its turn.
pub async fn heartbeat() {
    catch_up().await;
    LAST_HEARTBEAT.set(Some(Instant::now()));
}

/// Since when the event loop has stalled, until what arrived meanwhile has been read; `None` while it runs.
#[must_use]
pub fn stalled_since() -> Option<Instant> {
    LAST_HEARTBEAT.get().filter(|last| last.elapsed() > HEARTBEAT_INTERVAL + MAX_HEARTBEAT_DELAY)
}

/// Returns at once while the event loop runs; after a stall, once what arrived meanwhile has had its turn.
pub async fn catch_up() {
    for _ in 0..MAX_CATCH_UP_TURNS {
        if stalled_since().is_none() {
            return;
        }
        yield_now().await;
    }
}

/// Gives what has arrived its turn, at the end of a wait that was to end at `due`.
async fn settle(due: Instant) {
    let has_stalled = due.elapsed() > MAX_HEARTBEAT_DELAY || stalled_since().is_some();
    let turns = if has_stalled { MAX_CATCH_UP_TURNS } else { MIN_CATCH_UP_TURNS };
    for _ in 0..turns {
        yield_now().await;
    }
}

/// Sleeps until a time, and until what had arrived by then has had its turn.
pub async fn sleep_until_caught_up(due: Instant) {
    sleep_until(due).await;
    settle(due).await;
}

/// A timeout has expired, and what was waited for has not come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the time is over")]
pub struct Elapsed;

/// As [`tokio::time::timeout`], except that what had arrived by then counts.
///
/// # Errors
///
/// [`Elapsed`] if the future is not ready in time.
pub async fn timeout<F: Future>(limit: Duration, future: F) -> Result<F::Output, Elapsed> {
    timeout_at(Instant::now() + limit, future).await
}

/// As [`tokio::time::timeout_at`], except that what had arrived by then counts.
///
/// # Errors
///
/// [`Elapsed`] if the future is not ready in time.
pub async fn timeout_at<F: Future>(due: Instant, future: F) -> Result<F::Output, Elapsed> {
    let future = pin!(future);
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = sleep_until_caught_up(due) => Err(Elapsed),
    }
}

/// A deadline that is polled by hand, and set anew for each wait.
pub struct DeadlineTimer {
    sleep: Pin<Box<Sleep>>,
    settling: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl DeadlineTimer {
    /// A timer that expires at `due`.
    #[must_use]
    pub fn new(due: Instant) -> Self {
        DeadlineTimer { sleep: Box::pin(sleep_until(due)), settling: None }
    }

    /// Lets it expire at `due` instead.
    pub fn reset(&mut self, due: Instant) {
        self.sleep.as_mut().reset(due);
        self.settling = None;
    }

    /// Ready once the deadline has passed and what had arrived by then has had its turn: what is waited for has to be
    /// polled first.
    pub fn poll_expired(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        ready!(self.sleep.as_mut().poll(cx));
        let due = self.sleep.deadline();
        self.settling.get_or_insert_with(|| Box::pin(settle(due))).as_mut().poll(cx)
    }
}

#[cfg(test)]
mod tests;
