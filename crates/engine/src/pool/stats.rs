//! What a pool is at the moment of asking.

use super::Pool;
use crate::upstream::Upstream;
use heronhoist_decision::Time;

/// What a pool is at the moment of asking.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolStats {
    /// Servers in the list.
    pub known: usize,
    /// Those of them that the module avoids at present.
    pub excluded: usize,
    /// Requests taken that still owe their answer, or have an attempt out.
    pub open: usize,
}

impl<U: Upstream> Pool<U> {
    /// What servers lack of what they can do, as far as can be told from here, from 0 to 1; those that lack nothing are left out.
    pub fn lacks(&self) -> Vec<(String, f64)> {
        let ((warm_after, cold), now) = (self.0.warming.get(), self.0.clock.now());
        let cold = cold.min(1.0);
        let warmth = |started: Time| {
            let part = now.since(started).as_ms() / warm_after.as_ms();
            if part < 1.0 {
                cold + (1.0 - cold) * part
            } else {
                1.0
            }
        };
        self.0.core.borrow().servers.lacks(warmth)
    }

    /// Whether nothing is out to the server of this name, and nothing will be sent to it until a list says that it serves.
    pub fn is_quiet(&self, server: &str) -> bool {
        self.0.core.borrow().servers.is_quiet(server, self.0.drain_grace.get())
    }

    /// What it is now.
    pub fn levels(&self) -> PoolStats {
        let core = self.0.core.borrow();
        let excluded = core.balancer.excluded_endpoints(self.0.clock.now());
        PoolStats { known: core.servers.known(), excluded, open: core.open.len() }
    }
}
