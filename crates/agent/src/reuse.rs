//! Which servers' connections may be reused before they have been idle for the minimum time. A server that sends a
//! response twice may send the copy some milliseconds late, and bytes that arrive after the next request was written
//! can't be told from its response. So a server earns trust by connections that stay quiet while they are idle, and
//! loses it with the first unrequested byte.

use heronhoist_decision::ServerId;
use heronhoist_engine::Incarnation;
use std::cell::RefCell;
use std::collections::HashMap;

/// A server is trusted after this many quiet idle periods in a row: if it sent one response in a hundred twice, that
/// would most likely have shown by then.
const MIN_QUIET_PERIODS: u32 = 128;

/// What was observed of one incarnation of a server.
#[derive(Clone, Copy, Default)]
struct ServerHistory {
    incarnation: Incarnation,
    /// Quiet idle periods since the last unrequested byte of any server of the pool.
    quiet_periods: u32,
    /// It has sent bytes that were not requested.
    sent_unrequested: bool,
}

/// Tracks which servers of a pool are trusted to send nothing unrequested.
#[derive(Default)]
pub struct ReuseTrust(RefCell<HashMap<ServerId, ServerHistory>>);

impl ReuseTrust {
    /// Records that a connection to this incarnation stayed quiet after a response for as long as late bytes may take.
    pub fn record_quiet_idle(&self, server: ServerId, incarnation: Incarnation) {
        let mut histories = self.0.borrow_mut();
        let history = current(&mut histories, server, incarnation);
        if history.incarnation == incarnation {
            history.quiet_periods = history.quiet_periods.saturating_add(1);
        }
    }

    /// Records unrequested bytes from this incarnation. It is no longer trusted, and the other servers have to earn
    /// trust again, since all servers usually run the same build.
    pub fn record_unrequested_bytes(&self, server: ServerId, incarnation: Incarnation) {
        let mut histories = self.0.borrow_mut();
        let history = current(&mut histories, server, incarnation);
        history.sent_unrequested |= history.incarnation == incarnation;
        histories.values_mut().for_each(|history| history.quiet_periods = 0);
    }

    /// Returns whether a connection to this incarnation may be reused before the minimum idle time.
    pub fn is_trusted(&self, server: ServerId, incarnation: Incarnation) -> bool {
        let histories = self.0.borrow();
        histories.get(&server).is_some_and(|history| {
            history.incarnation == incarnation
                && !history.sent_unrequested
                && history.quiet_periods >= MIN_QUIET_PERIODS
        })
    }

    /// Forgets the servers whose recorded incarnation is no longer current.
    pub fn retain(&self, is_current: impl Fn(ServerId, Incarnation) -> bool) {
        self.0.borrow_mut().retain(|&server, history| is_current(server, history.incarnation));
    }
}

/// Returns the history of a server, reset if `incarnation` is later than the recorded one; an earlier one leaves it as it is.
fn current(
    histories: &mut HashMap<ServerId, ServerHistory>,
    server: ServerId,
    incarnation: Incarnation,
) -> &mut ServerHistory {
    let history =
        histories.entry(server).or_insert(ServerHistory { incarnation, ..ServerHistory::default() });
    if history.incarnation < incarnation {
        *history = ServerHistory { incarnation, ..ServerHistory::default() };
    }
    history
}

#[cfg(test)]
mod tests;
