//! Statistics of a pool.

use super::Pool;
use crate::servers::MissingCapacity;
use crate::upstream::Upstream;

/// A snapshot of a pool's statistics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolStats {
    /// The number of servers in the endpoint list.
    pub listed: usize,
    /// The number of listed servers that the decision module currently excludes.
    pub excluded: usize,
    /// The number of requests that wait for their response or have an attempt in flight.
    pub open_requests: usize,
}

impl<U: Upstream> Pool<U> {
    /// Returns the current statistics of the pool.
    #[must_use]
    pub fn stats(&self) -> PoolStats {
        let state = self.0.state.borrow();
        PoolStats {
            listed: state.servers.listed_count(),
            excluded: state.balancer.excluded_endpoints(self.0.clock.now()),
            open_requests: state.requests.len(),
        }
    }

    /// Returns whether at least one server is serving.
    #[must_use]
    pub fn has_serving_server(&self) -> bool {
        self.0.state.borrow().servers.has_serving()
    }

    /// Returns the servers that are missing some of their capacity, as seen by this process.
    #[must_use]
    pub fn missing_capacity(&self) -> Vec<MissingCapacity> {
        let slow_start = self.0.settings.get().slow_start;
        let now = self.0.clock.now();
        let capacity_share = |started_at| slow_start.capacity_share(now.since(started_at));
        self.0.state.borrow().servers.missing_capacity(capacity_share)
    }

    /// Returns whether nothing is in flight to the server of this name, and nothing will be sent to it until an
    /// endpoint list contains it as serving. A response that is still being received counts as in flight.
    #[must_use]
    pub fn is_drained(&self, server: &str) -> bool {
        let drain_grace = self.0.settings.get().drain_grace;
        let is_receiving_from = |server| self.0.upstream.is_receiving_from(server);
        self.0.state.borrow().servers.is_drained(server, drain_grace, is_receiving_from)
    }

    /// Returns whether no request is open and no response is being received.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let state = self.0.state.borrow();
        state.requests.is_empty() && !state.servers.any(|server| self.0.upstream.is_receiving_from(server))
    }
}
