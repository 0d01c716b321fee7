//! Timeouts that process data that has already arrived before they expire.
//!
//! When a stalled process resumes, all its timers are due, and the data that arrived meanwhile is unread in its
//! sockets. tokio processes timers in the same iteration of the event loop as sockets, or before them, so a plain
//! timeout discards a response that arrived long ago. The timeouts in this module let the sockets and the tasks that
//! read them run first.

use std::cell::Cell;
use std::future::Future;
use std::pin::{pin, Pin};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant, Sleep};

/// The interval at which a process that monitors its event loop calls [`heartbeat`].
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// A heartbeat or timeout that is later than this means that the event loop has stalled. It equals the heartbeat
/// interval, so that one busy iteration does not count as a stall.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_millis(100);
/// Number of times that a due timeout yields to the event loop: once to poll the sockets, and more for the tasks
/// between a socket and the task that waits for its data.
const MIN_CATCH_UP_YIELDS: u32 = 4;
/// The same after a stall, when there is more to read: a list of thousands of entries arrives in dozens of chunks.
const MAX_CATCH_UP_YIELDS: u32 = 128;
/// After this time and [`MIN_CATCH_UP_YIELDS`] a due timeout expires. In a busy event loop each yield takes long, and a
/// final response must not be late by many of them.
const MAX_TIMEOUT_DELAY: Duration = Duration::from_millis(30);
/// The same for [`catch_up`], on which more depends: nothing may be sent by an endpoint list that a newer one, which has
/// arrived, replaces. It is shorter than the time after which a heartbeat is late, so that a busy event loop does not
/// count as stalled all the time.
const MAX_CATCH_UP_DURATION: Duration = MAX_HEARTBEAT_DELAY;

thread_local! {
    /// When the event loop of this thread last ran and had read all available data; `None` if there are no
    /// heartbeats.
    static LAST_HEARTBEAT: Cell<Option<Instant>> = const { Cell::new(None) };
}

/// Records that the event loop is running. Must be called every [`HEARTBEAT_INTERVAL`]. Returns once the data that
/// arrived during a stall has been processed.
pub async fn heartbeat() {
    catch_up().await;
    LAST_HEARTBEAT.set(Some(Instant::now()));
}

/// Returns since when the event loop has been stalled; `None` while it is running. A stall ends with the next
/// heartbeat, once the data that arrived meanwhile has been read.
#[must_use]
pub fn stalled_since() -> Option<Instant> {
    LAST_HEARTBEAT.get().filter(|last| last.elapsed() > HEARTBEAT_INTERVAL + MAX_HEARTBEAT_DELAY)
}

/// Returns at once while the event loop is running; after a stall, once the data that arrived meanwhile has been
/// processed, or after a short time if the event loop is busy.
pub async fn catch_up() {
    yield_while(MAX_CATCH_UP_DURATION, || stalled_since().is_some()).await;
}

/// Yields to the event loop while `condition` holds, for about `max_duration`.
async fn yield_while(max_duration: Duration, condition: impl Fn() -> bool) {
    let start = Instant::now();
    for yields in 0..MAX_CATCH_UP_YIELDS {
        let is_out_of_time = yields >= MIN_CATCH_UP_YIELDS && start.elapsed() >= max_duration;
        if is_out_of_time || !condition() {
            return;
        }
        yield_now().await;
    }
}

/// Lets the tasks process the data that has arrived, at the end of a wait that was due at `due`.
async fn yield_to_event_loop(due: Instant) {
    let has_stalled = due.elapsed() > MAX_HEARTBEAT_DELAY || stalled_since().is_some();
    if has_stalled {
        yield_while(MAX_TIMEOUT_DELAY, || true).await;
        return;
    }
    for _ in 0..MIN_CATCH_UP_YIELDS {
        yield_now().await;
    }
}

/// Sleeps until `due`, and then until the data that had arrived by then has been processed.
pub async fn sleep_until_caught_up(due: Instant) {
    sleep_until(due).await;
    yield_to_event_loop(due).await;
}

/// The error of a timeout that expired before its future was ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("deadline has elapsed")]
pub struct Elapsed;

/// Like [`tokio::time::timeout`], but processes data that arrived before the timeout before it expires.
///
/// # Errors
///
/// Returns [`Elapsed`] if the future is not ready in time.
pub async fn timeout<F: Future>(limit: Duration, future: F) -> Result<F::Output, Elapsed> {
    timeout_at(Instant::now() + limit, future).await
}

/// Like [`tokio::time::timeout_at`], but processes data that arrived before `due` before it expires.
///
/// # Errors
///
/// Returns [`Elapsed`] if the future is not ready in time.
pub async fn timeout_at<F: Future>(due: Instant, future: F) -> Result<F::Output, Elapsed> {
    let future = pin!(future);
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = sleep_until_caught_up(due) => Err(Elapsed),
    }
}

/// A deadline for use in `poll` functions, which can be reset for each wait.
pub struct DeadlineTimer {
    sleep: Pin<Box<Sleep>>,
    catching_up: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl DeadlineTimer {
    /// Creates a timer that expires at `due`.
    #[must_use]
    pub fn new(due: Instant) -> Self {
        DeadlineTimer { sleep: Box::pin(sleep_until(due)), catching_up: None }
    }

    /// Changes the time at which the timer expires to `due`.
    pub fn reset(&mut self, due: Instant) {
        self.sleep.as_mut().reset(due);
        self.catching_up = None;
    }

    /// Is ready once the deadline has passed and the data that had arrived by then has been processed. The caller
    /// must poll the future that it waits for before this.
    pub fn poll_expired(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        ready!(self.sleep.as_mut().poll(cx));
        let due = self.sleep.deadline();
        self.catching_up.get_or_insert_with(|| Box::pin(yield_to_event_loop(due))).as_mut().poll(cx)
    }
}

#[cfg(test)]
mod tests;
