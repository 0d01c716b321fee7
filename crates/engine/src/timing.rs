//! Limits on waiting that read first and believe afterwards.
//!
//! A process that was held up finds all its timers due when it goes on, and what came meanwhile unread in its sockets.
//! tokio serves timers in the same turn of the event loop as sockets, or before them, so that a plain timeout throws away
//! an answer that has long been there. The ones here give the sockets and the tasks that read them their turn first.

use std::cell::Cell;
use std::fmt::{Display, Formatter};
use std::future::Future;
use std::pin::{pin, Pin};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant, Sleep};

/// How often a process that looks after its event loop calls [`heartbeat`].
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// What is later than this says that the event loop has stood still.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_millis(100);
/// Turns of the event loop that are given to what has come when a limit is over: one in which the sockets are looked at, and
/// some for the tasks between a socket and whoever waits for what it brings.
const MIN_CATCH_UP_TURNS: u32 = 4;
/// The same after the event loop has stood still, when there is much to read: a list of thousands of lines comes in dozens of
/// pieces.
const MAX_CATCH_UP_TURNS: u32 = 128;

thread_local! {
    /// When the event loop of this thread was last known to run and to have read what there was; `None` where nobody looks.
    static LAST_BEAT: Cell<Option<Instant>> = const { Cell::new(None) };
}

/// The event loop runs. To be called every [`HEARTBEAT_INTERVAL`]; comes back once what came while it stood still has had its turn.
pub async fn heartbeat() {
    caught_up().await;
    LAST_BEAT.set(Some(Instant::now()));
}

/// Since when the event loop has stood still, until what came meanwhile has been read; `None` while it runs.
pub fn stalled_since() -> Option<Instant> {
    LAST_BEAT.get().filter(|last| last.elapsed() > HEARTBEAT_INTERVAL + MAX_HEARTBEAT_DELAY)
}

/// Comes back at once while the event loop runs; after it has stood still, once what came meanwhile has had its turn.
pub async fn caught_up() {
    for _ in 0..MAX_CATCH_UP_TURNS {
        if stalled_since().is_none() {
            return;
        }
        yield_now().await;
    }
}

/// Gives what has come its turn, at the end of a wait that was to end at `due`.
async fn settle(due: Instant) {
    let stood_still = due.elapsed() > MAX_HEARTBEAT_DELAY || stalled_since().is_some();
    for _ in 0..if stood_still { MAX_CATCH_UP_TURNS } else { MIN_CATCH_UP_TURNS } {
        yield_now().await;
    }
}

/// Comes back at this time, and no sooner than what had come by then has had its turn.
pub async fn read_until(due: Instant) {
    sleep_until(due).await;
    settle(due).await;
}

/// The time is over, and what was waited for has not come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed;

impl Display for Elapsed {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("the time is over")
    }
}

impl std::error::Error for Elapsed {}

/// As [`tokio::time::timeout`], and what had come by then counts.
pub async fn timeout<F: Future>(limit: Duration, future: F) -> Result<F::Output, Elapsed> {
    timeout_at(Instant::now() + limit, future).await
}

/// As [`tokio::time::timeout_at`], and what had come by then counts.
pub async fn timeout_at<F: Future>(due: Instant, future: F) -> Result<F::Output, Elapsed> {
    let future = pin!(future);
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = read_until(due) => Err(Elapsed),
    }
}

/// A time limit that is polled by hand, and set anew for each wait.
pub struct DeadlineTimer {
    sleep: Pin<Box<Sleep>>,
    settling: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl DeadlineTimer {
    /// Over at this time.
    pub fn new(due: Instant) -> Self {
        DeadlineTimer { sleep: Box::pin(sleep_until(due)), settling: None }
    }

    /// Over at this time instead.
    pub fn reset(&mut self, due: Instant) {
        self.sleep.as_mut().reset(due);
        self.settling = None;
    }

    /// Ready once it is over and what had come by then has had its turn: what is waited for has to be polled first.
    pub fn poll_over(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        ready!(self.sleep.as_mut().poll(cx));
        let due = self.sleep.deadline();
        self.settling.get_or_insert_with(|| Box::pin(settle(due))).as_mut().poll(cx)
    }
}

#[cfg(test)]
mod tests;
