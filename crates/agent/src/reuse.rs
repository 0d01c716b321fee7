//! Which servers' connections may be reused before they have rested. A server that sends an answer twice may do so some
//! milliseconds late, and what comes after the next request was written can't be told from its answer. So trust is earned, by
//! connections that rested and stayed quiet, and lost at the first byte that nobody asked for.

use heronhoist_decision::ServerId;
use heronhoist_engine::Incarnation;
use std::cell::RefCell;
use std::collections::HashMap;

/// A server is trusted after so many quiet rests in a row: one of a hundred answers sent twice would most likely have shown.
const QUIET_RESTS: u32 = 128;

/// What one incarnation of a server has shown.
#[derive(Clone, Copy, Default)]
struct Conduct {
    incarnation: Incarnation,
    /// Quiet rests since the last unrequested byte of any server of the pool.
    quiet_rests: u32,
    /// It has sent bytes that nobody asked for.
    strict: bool,
}

/// How far the servers of a pool are trusted to send nothing that was not asked for.
#[derive(Default)]
pub struct ReuseTrust(RefCell<HashMap<ServerId, Conduct>>);

impl ReuseTrust {
    /// A connection to this incarnation has rested after an answer, as long as late bytes may take, and nothing came.
    pub fn record_quiet_idle(&self, server: ServerId, incarnation: Incarnation) {
        let mut all = self.0.borrow_mut();
        let conduct = current(&mut all, server, incarnation);
        if conduct.incarnation == incarnation {
            conduct.quiet_rests = conduct.quiet_rests.saturating_add(1);
        }
    }

    /// Bytes have come from this incarnation that nobody asked for: it is trusted no more, and the others have to earn it
    /// anew, since one build of the servers' program usually runs on all.
    pub fn record_unrequested_bytes(&self, server: ServerId, incarnation: Incarnation) {
        let mut all = self.0.borrow_mut();
        let conduct = current(&mut all, server, incarnation);
        conduct.strict |= conduct.incarnation == incarnation;
        all.values_mut().for_each(|conduct| conduct.quiet_rests = 0);
    }

    /// Whether a connection to this incarnation may be reused before it has rested.
    pub fn is_trusted(&self, server: ServerId, incarnation: Incarnation) -> bool {
        let all = self.0.borrow();
        all.get(&server)
            .is_some_and(|c| c.incarnation == incarnation && !c.strict && c.quiet_rests >= QUIET_RESTS)
    }

    /// Forgets the servers that are not what they were.
    pub fn retain(&self, is_current: impl Fn(ServerId, Incarnation) -> bool) {
        self.0.borrow_mut().retain(|&server, conduct| is_current(server, conduct.incarnation));
    }
}

/// The conduct of a server, begun anew if this is a later incarnation; word of an earlier one leaves it as it is.
fn current(all: &mut HashMap<ServerId, Conduct>, server: ServerId, incarnation: Incarnation) -> &mut Conduct {
    let conduct = all.entry(server).or_insert(Conduct { incarnation, ..Conduct::default() });
    if conduct.incarnation < incarnation {
        *conduct = Conduct { incarnation, ..Conduct::default() };
    }
    conduct
}

#[cfg(test)]
mod tests;
