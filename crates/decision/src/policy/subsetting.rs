//! Subsetting: with many balancers, each draws from its own random subset of the fleet. Otherwise the number
//! of connections would grow as balancers times servers, and each balancer would have almost no requests in
//! flight to any one server, so that it could not compare servers.

use super::endpoints::ServerSlot;
use super::Balancer;
use crate::api::Time;

/// The minimum size of a subset, in servers at full capacity. It is at least the number of candidates that
/// one selection compares.
const MIN_CAPACITY: f64 = 4.0;
/// The number of servers at full capacity that a subset has in addition, for each request that is usually in
/// flight.
const CAPACITY_PER_REQUEST: f64 = 6.0;

/// The servers that this balancer draws from.
#[derive(Default)]
pub(super) struct Subset {
    pub(super) members: Vec<ServerSlot>,
    /// The serving servers in this balancer's random order. It is used only with many balancers.
    ranking: Vec<RankedServer>,
    is_ranking_stale: bool,
}

/// A server in the random order. Equal ranks are ordered by slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RankedServer {
    rank: u32,
    server: ServerSlot,
}

impl Subset {
    /// Marks the ranking as stale. Must be called when the endpoint list has changed.
    pub(super) fn invalidate_ranking(&mut self) {
        self.is_ranking_stale = true;
    }
}

impl Balancer {
    /// Rebuilds the subset: the first servers of the random order, until their current capacity suffices for
    /// the usual number of requests in flight. Ejected servers that are probed by health checks are skipped.
    /// This runs at each tick, so it does not visit servers beyond the subset.
    pub(super) fn refresh_subset(&mut self, now: Time) {
        if !self.is_large_fleet() {
            self.subset.members.clone_from(&self.endpoints.serving);
            return;
        }
        if std::mem::take(&mut self.subset.is_ranking_stale) {
            self.rank_serving();
        }
        let mut missing_capacity = MIN_CAPACITY + CAPACITY_PER_REQUEST * self.demand.usual_in_flight();
        self.subset.members.clear();
        for &RankedServer { server: slot, .. } in &self.subset.ranking {
            if missing_capacity <= 0.0 {
                break;
            }
            let server = &self.endpoints[slot];
            let is_health_checked =
                server.ejection.as_ref().is_some_and(|ejection| ejection.uses_health_checks);
            if !is_health_checked {
                self.subset.members.push(slot);
                missing_capacity -= server.capacity_fraction(now, &self.settings);
            }
        }
    }

    fn rank_serving(&mut self) {
        self.subset.ranking.clear();
        for index in 0..self.endpoints.serving.len() {
            let server = self.endpoints.serving[index];
            let rank = *self.endpoints[server].rank.get_or_insert_with(|| self.rng.u32(..));
            self.subset.ranking.push(RankedServer { rank, server });
        }
        self.subset.ranking.sort_unstable();
    }
}
