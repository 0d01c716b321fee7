//! Subsetting: of many balancers each draws from a random part of the fleet of its own. Otherwise connections
//! would grow as balancers times servers, and the requests in flight that each sees of a server would be
//! zero.

use super::endpoints::ServerSlot;
use super::Balancer;
use crate::api::Time;

/// The least size of a subset, in servers at full capacity: at least as many as one pick compares.
const MIN_CAPACITY: f64 = 4.0;
/// Servers at full capacity that a subset has more, for each request that is usually in flight.
const CAPACITY_PER_REQUEST: f64 = 6.0;

/// The servers that this balancer draws from.
#[derive(Default)]
pub(super) struct Subset {
    pub(super) members: Vec<ServerSlot>,
    /// The serving servers in this balancer's own random order. Only kept where there are many balancers.
    ranking: Vec<RankedServer>,
    is_ranking_stale: bool,
}

/// A server in the random order; equal ranks are ordered by slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RankedServer {
    rank: u32,
    server: ServerSlot,
}

impl Subset {
    /// To be called when the endpoint list has changed.
    pub(super) fn invalidate_ranking(&mut self) {
        self.is_ranking_stale = true;
    }
}

impl Balancer {
    /// Chooses the subset anew: the first servers of the random order, until their present capacity suffices
    /// for what is usually in flight. Servers that are checked out of band are replaced by the next ones.
    /// This runs in each tick, so it looks no further into the fleet than the subset reaches.
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
            let is_checked = server.ejection.as_ref().is_some_and(|ejection| ejection.by_health_check);
            if !is_checked {
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
