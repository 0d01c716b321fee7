//! What a pool reports about itself.

use super::Pool;
use crate::servers::MissingCapacity;
use crate::upstream::Upstream;

/// The state of a pool at the moment of asking.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolStats {
    /// Servers in the list.
    pub listed: usize,
    /// Listed servers that the decision module avoids at present.
    pub excluded: usize,
    /// Requests that wait for their response or have an attempt in flight.
    pub open_requests: usize,
}

impl<U: Upstream> Pool<U> {
    /// The pool's state now.
    #[must_use]
    pub fn stats(&self) -> PoolStats {
        let state = self.0.state.borrow();
        PoolStats {
            listed: state.servers.listed_count(),
            excluded: state.balancer.excluded_endpoints(self.0.clock.now()),
            open_requests: state.requests.len(),
        }
    }

    /// Whether there is a server to send to.
    #[must_use]
    pub fn has_serving_server(&self) -> bool {
        self.0.state.borrow().servers.has_serving()
    }

    /// The servers that lack some of their capacity, as far as this process can tell.
    #[must_use]
    pub fn missing_capacity(&self) -> Vec<MissingCapacity> {
        let slow_start = self.0.settings.get().slow_start;
        let now = self.0.clock.now();
        let capacity_share = |started_at| slow_start.capacity_share(now.since(started_at));
        self.0.state.borrow().servers.missing_capacity(capacity_share)
    }

    /// Whether nothing is in flight to the server of this name, and nothing will be sent to it until a list says that it
    /// serves.
    #[must_use]
    pub fn is_drained(&self, server: &str) -> bool {
        self.0.state.borrow().servers.is_drained(server, self.0.settings.get().drain_grace)
    }
}
