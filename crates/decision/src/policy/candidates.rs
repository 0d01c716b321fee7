//! The servers that are compared for a request: the remembered ones that are open to it, and fresh uniform
//! draws from the subset.
//!
//! A draw of a server that is warming up, or of a slower machine type, is accepted only with a chance.

use super::endpoints::ServerSlot;
use super::selection::REMEMBERED;
use super::Balancer;
use crate::api::{RequestId, Time};

/// Fresh draws for each pick; the algorithm asks for no fewer than the remembered ones.
const DRAWS: usize = 3;
/// Tries for each draw to hit a server that is open; after that the whole list is gone through.
const MAX_TRIES: usize = 8;
/// Up to this many balancers for each server they learn soon enough about one that is warming up.
const MAX_LEARNING_BALANCERS: f64 = 20.0;
/// The part of the load that a warming server withstands that more balancers than these send it at most, on
/// average, if it wins every pick.
const SAFE_OVERLOAD_FRACTION: f64 = 0.75;

/// A selection under way.
struct Selection {
    request: RequestId,
    now: Time,
    /// It is the first one for the request.
    is_first: bool,
    /// The servers that the request was sent to before.
    tried: Vec<ServerSlot>,
}

impl Selection {
    fn has_tried(&self, server: ServerSlot) -> bool {
        self.tried.contains(&server)
    }
}

impl Balancer {
    /// The candidates for a request. A server that it was sent to before is one only if there is no other.
    pub(super) fn candidates(&mut self, now: Time, id: RequestId) -> Vec<ServerSlot> {
        let Some(pending) = self.requests.pending.get_mut(&id) else { return Vec::new() };
        let selection = Selection {
            request: id,
            now,
            is_first: !std::mem::replace(&mut pending.had_selection, true),
            tried: pending.attempts.iter().map(|attempt| attempt.server).collect(),
        };
        let mut candidates = self.remembered_candidates(&selection);
        let wanted = candidates.len() + DRAWS;
        for _ in 0..DRAWS {
            candidates.extend(self.draw_candidate(&selection));
        }
        if candidates.len() < wanted {
            self.fill_candidates(&selection, wanted, &mut candidates);
        }
        if self.would_overload_warming(now, &candidates) {
            candidates.clear();
        }
        candidates
    }

    fn remembered_candidates(&self, selection: &Selection) -> Vec<ServerSlot> {
        let is_candidate = |&server: &ServerSlot| {
            !selection.has_tried(server)
                && !self.is_warming_up(selection.now, server)
                && self.is_open(selection, server)
        };
        self.remembered.iter().copied().filter(is_candidate).collect()
    }

    /// Draws from the subset until a server is accepted and open.
    fn draw_candidate(&mut self, selection: &Selection) -> Option<ServerSlot> {
        for try_number in 0..MAX_TRIES.min(self.subset.members.len()) {
            let server = self.subset.members[self.rng.usize(0..self.subset.members.len())];
            let is_accepted = self.accepts_draw(selection, server, try_number);
            if is_accepted && !selection.has_tried(server) && self.is_open(selection, server) {
                return Some(server);
            }
        }
        None
    }

    /// Whether a drawn server stands. One that is warming up does only in the first try for a request that is
    /// selected for the first time: what waits has no second chance.
    fn accepts_draw(&mut self, selection: &Selection, server: ServerSlot, try_number: usize) -> bool {
        let capacity_fraction = self.capacity_fraction(selection.now, server);
        if capacity_fraction < 1.0 {
            let chance = self.warming_chance(capacity_fraction);
            return selection.is_first && try_number == 0 && self.rng.f64() < chance;
        }
        // Where requests in flight are mostly zero, ties are broken by chance, which would give a slow
        // machine as much as a fast one.
        let is_last_try = try_number + 1 >= MAX_TRIES;
        if is_last_try || !self.is_large_fleet() {
            return true;
        }
        let machine_type = self.endpoints[server].endpoint.machine_type;
        self.rng.f64() < self.machine_types.chance(machine_type)
    }

    /// The chance of a draw of a server that is warming up. All balancers together must not overload it: it
    /// gets its capacity fraction of a warm server's load, even if it wins every pick that it is drawn for.
    /// Where there are many balancers, most requests in flight are zero: there it wins no more than others,
    /// and is never remembered.
    ///
    /// Each balancer learns about the server by its own requests. So many balancers that each sends few to a
    /// server have all sent theirs before any has learned, and where others are full these win every pick.
    fn warming_chance(&self, capacity_fraction: f64) -> f64 {
        let draws = DRAWS as f64;
        let wins = if self.is_large_fleet() { draws / (DRAWS + REMEMBERED) as f64 } else { draws };
        let learnable = MAX_LEARNING_BALANCERS * self.endpoints.serving.len() as f64;
        let withstood = self.settings.overload_factor * SAFE_OVERLOAD_FRACTION / draws;
        let is_unlearnable = f64::from(self.settings.balancers) > learnable;
        let safe_factor = if is_unlearnable { withstood } else { f64::INFINITY };
        (capacity_fraction / wins).min(capacity_fraction * safe_factor)
    }

    /// Few servers are open: draws the missing candidates from a list of them, of the subset if possible.
    fn fill_candidates(&mut self, selection: &Selection, wanted: usize, candidates: &mut Vec<ServerSlot>) {
        let subset = &self.subset.members;
        let is_open = |server: &ServerSlot| self.is_open(selection, *server);
        let has_open = subset.iter().any(|server| is_open(server) && !selection.has_tried(*server));
        let servers = if has_open { subset } else { &self.endpoints.serving };
        let open = servers.iter().copied().filter(is_open);
        let (tried, fresh): (Vec<_>, Vec<_>) = open.partition(|server| selection.has_tried(*server));
        let mut pool = if fresh.is_empty() && candidates.is_empty() { tried } else { fresh };
        let are_all_warming = self.max_capacity_fraction(selection.now) < 1.0;
        pool.retain(|&server| are_all_warming || !self.is_warming_up(selection.now, server));
        let missing = wanted - candidates.len();
        for _ in 0..missing.min(pool.len()) {
            candidates.push(pool[self.rng.usize(0..pool.len())]);
        }
    }

    /// Whether the candidates are all warming up, and this request is not among the part that they may get.
    ///
    /// They stand in for ejected warm servers, each with its chance. Beside full ones, few balancers give
    /// them their part of what is answered; their part of all requests would overload them.
    fn would_overload_warming(&mut self, now: Time, candidates: &[ServerSlot]) -> bool {
        let is_warming_up = |&server: &ServerSlot| self.is_warming_up(now, server);
        let is_warm = |&server: &ServerSlot| !self.endpoints[server].is_ejected() && !is_warming_up(&server);
        let are_all_warming = !candidates.is_empty() && candidates.iter().all(is_warming_up);
        if !are_all_warming || !self.endpoints.serving.iter().any(is_warm) {
            return false;
        }
        // Nobody can tell the part before traffic has been observed for a while.
        if self.is_large_fleet() || !self.demand.is_observed_long_enough() {
            return true;
        }
        let part = self.demand.answered_fraction() / self.mean_capacity_fraction(now);
        self.rng.f64() >= part
    }

    /// Whether a server may be sent the request now: by rules, endpoint list, dialect, capacity and ejection.
    fn is_open(&self, selection: &Selection, slot: ServerSlot) -> bool {
        let (server, now) = (&self.endpoints[slot], selection.now);
        let pending = &self.requests.pending[&selection.request];
        let is_blocked = |ejection| !self.can_probe_with(now, ejection, pending);
        self.retry_rules(pending, now).targets.include(&server.endpoint)
            && server.is_serving()
            && pending.request.dialects.contains(server.endpoint.dialect)
            && self.has_capacity(now, slot)
            && !server.ejection.as_ref().is_some_and(is_blocked)
    }
}
