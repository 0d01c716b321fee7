//! The graceful shutdown of the process: until when requests are served, and when the process may exit.
//!
//! | until | what happens |
//! | --- | --- |
//! | `accept_until` | new connections are accepted; clients take a while to notice the shutdown |
//! | `respond_by` | requests on open connections are served; then each one that is pending gets its response |
//! | `exit_by` | the last responses are delivered, and their connections close |
//! | `abandon_responses_at` | responses that are still being sent, such as long ones, continue to their end |
//!
//! The process exits earlier once nothing is pending.

use crate::server::Server;
use crate::upload::{MAX_BODY_BYTES, MIN_BYTES_PER_S};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// How long new connections are still accepted after SIGTERM.
const ACCEPT_DURATION: Duration = Duration::from_millis(500);
/// How long after that an idle process still waits for a first request on connections that have not been used yet.
const UNUSED_CONNECTION_GRACE: Duration = Duration::from_millis(400);
/// The platform kills the process some time after SIGTERM: after the longest request deadline, but at most this long, plus
/// [`KILL_SLACK`]. Until then clients keep sending requests on open connections.
const MAX_DEADLINE_BEFORE_KILL: Duration = Duration::from_secs(3);
/// The time that the platform adds to the longest deadline before the kill.
const KILL_SLACK: Duration = Duration::from_millis(700);
/// How long before the kill every request that has been read gets its response; nothing is read after that.
const KILL_MARGIN: Duration = Duration::from_millis(200);
/// How long after the longest deadline of its last requests the process exits, unless responses are still being sent.
const EXIT_SLACK: Duration = Duration::from_secs(1);
/// How long a response may continue after the shutdown began: the largest one at the lowest rate that is supported. The platform
/// kills the process earlier if it wants to; without a limit, a peer that sends or reads single bytes would hold it for days.
const MAX_RESPONSE_DURATION: Duration = Duration::from_secs(MAX_BODY_BYTES / MIN_BYTES_PER_S);
/// How often the state of the connections is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The times of a shutdown.
#[derive(Debug, Clone, Copy)]
pub struct ShutdownSchedule {
    /// Until when new connections are accepted.
    pub accept_until: Instant,
    /// When each request that has been read gets its response.
    pub respond_by: Instant,
    /// From when on an idle process no longer waits for a first request on unused connections.
    finish_idle_from: Instant,
    /// When the process exits unless responses are still being sent.
    exit_by: Instant,
    /// When responses that are still being sent are given up.
    abandon_responses_at: Instant,
}

impl ShutdownSchedule {
    /// The schedule of a shutdown that begins at `start`. `longest_deadline` is the longest one in the settings.
    pub fn new(start: Instant, longest_deadline: Duration) -> Self {
        let accept_until = start + ACCEPT_DURATION;
        ShutdownSchedule {
            accept_until,
            respond_by: start + longest_deadline.min(MAX_DEADLINE_BEFORE_KILL) + KILL_SLACK - KILL_MARGIN,
            finish_idle_from: accept_until + UNUSED_CONNECTION_GRACE,
            exit_by: accept_until + longest_deadline + EXIT_SLACK,
            abandon_responses_at: start + longest_deadline + MAX_RESPONSE_DURATION,
        }
    }
}

/// Returns once the process may exit: all responses have been delivered, or the schedule leaves no more time for them.
pub async fn wait_for_last_responses(server: &Server, schedule: &ShutdownSchedule) {
    let mut is_finishing = false;
    let mut is_overdue = false;
    while server.open_connections() > 0 {
        let now = Instant::now();
        let is_idle = server.pending_requests() == 0;
        if is_finishing && is_idle {
            return;
        }
        if !is_finishing && (is_idle && now >= schedule.finish_idle_from || now >= schedule.respond_by) {
            is_finishing = true;
            server.finish_pending();
        }
        if now >= schedule.exit_by {
            // The deadlines do not limit a response that has begun: ending the process would cut it off.
            let responses = server.responses_being_sent();
            if responses == 0 {
                return;
            }
            if now >= schedule.abandon_responses_at {
                tracing::warn!(responses, "exiting while responses are still being sent");
                return;
            }
            if !std::mem::replace(&mut is_overdue, true) {
                tracing::info!(responses, "exiting once the responses that are being sent have ended");
            }
        }
        sleep(CHECK_INTERVAL).await;
    }
}

#[cfg(test)]
mod tests;
