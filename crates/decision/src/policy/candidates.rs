//! The servers that are compared for a request: the remembered ones that can be sent the request, and servers
//! drawn uniformly at random from the subset.
//!
//! A drawn server that is warming up or of a slower machine type is accepted only with a certain probability.

use super::endpoints::ServerSlot;
use super::selection::REMEMBERED;
use super::Balancer;
use crate::api::{RequestId, Time};

/// The number of servers drawn for each selection. The algorithm needs at least [`REMEMBERED`].
const DRAWS: usize = 3;
/// The maximum number of random tries for each draw. After that, candidates are drawn from a list of the
/// open servers.
const MAX_TRIES: usize = 8;
/// Up to this many balancers per server, each balancer learns soon enough by its own requests how much load a
/// server that is warming up can take.
const MAX_BALANCERS_PER_SERVER: f64 = 20.0;
/// With more balancers than that, a server that is warming up is sent on average at most this fraction of the
/// load that it tolerates, even if every selection that draws it chooses it.
const SAFE_OVERLOAD_FRACTION: f64 = 0.75;

/// A selection in progress.
struct Selection {
    request: RequestId,
    now: Time,
    /// Whether it is the first selection for the request.
    is_first: bool,
    /// The servers to which the request has been sent before.
    tried: Vec<ServerSlot>,
}

impl Selection {
    fn has_tried(&self, server: ServerSlot) -> bool {
        self.tried.contains(&server)
    }
}

impl Balancer {
    /// Returns the candidates for a request. A server to which it has been sent before is a candidate only if
    /// there is no other.
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

    /// Draws from the subset until a drawn server is accepted and open.
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

    /// Whether a drawn server is accepted. A server that is warming up is accepted only in the first try of
    /// the first selection for a request: repeated tries would raise its share of the load.
    fn accepts_draw(&mut self, selection: &Selection, server: ServerSlot, try_number: usize) -> bool {
        let capacity_fraction = self.capacity_fraction(selection.now, server);
        if capacity_fraction < 1.0 {
            let probability = self.warming_probability(capacity_fraction);
            return selection.is_first && try_number == 0 && self.rng.f64() < probability;
        }
        // With many balancers, the requests in flight to a server are mostly zero and ties are broken at
        // random, which would give a slow machine as much load as a fast one.
        let is_last_try = try_number + 1 >= MAX_TRIES;
        if is_last_try || !self.is_large_fleet() {
            return true;
        }
        let machine_type = self.endpoints[server].endpoint.machine_type;
        self.rng.f64() < self.machine_types.acceptance_probability(machine_type)
    }

    /// The probability with which a drawn server that is warming up is accepted. All balancers together must
    /// not overload it: it gets its capacity fraction of a warm server's load, even if every selection that
    /// draws it chooses it. With many balancers, the requests in flight are mostly zero, so that it is chosen
    /// no more often than the other candidates, and it is never remembered.
    ///
    /// A balancer learns about the server only by its own requests. If there are so many balancers that each
    /// sends it only a few, all have sent theirs before any of them learns that it is overloaded; and while
    /// the other servers are full, it is chosen every time. With so many balancers, the probability is
    /// therefore limited further.
    fn warming_probability(&self, capacity_fraction: f64) -> f64 {
        let draws = DRAWS as f64;
        let relative_load = if self.is_large_fleet() { draws / (DRAWS + REMEMBERED) as f64 } else { draws };
        let max_balancers = MAX_BALANCERS_PER_SERVER * self.endpoints.serving.len() as f64;
        let overload_limit = self.settings.overload_factor * SAFE_OVERLOAD_FRACTION / draws;
        let exceeds_max_balancers = f64::from(self.settings.balancers) > max_balancers;
        let safe_factor = if exceeds_max_balancers { overload_limit } else { f64::INFINITY };
        (capacity_fraction / relative_load).min(capacity_fraction * safe_factor)
    }

    /// Adds the missing candidates when few servers are open. Draws them from the open servers of the subset
    /// or, if the request has been sent to all of these, of the fleet.
    fn fill_candidates(&mut self, selection: &Selection, wanted: usize, candidates: &mut Vec<ServerSlot>) {
        let subset = &self.subset.members;
        let is_open = |server: &ServerSlot| self.is_open(selection, *server);
        let has_open = subset.iter().any(|server| is_open(server) && !selection.has_tried(*server));
        let servers = if has_open { subset } else { &self.endpoints.serving };
        let open = servers.iter().copied().filter(is_open);
        let (tried, untried): (Vec<_>, Vec<_>) = open.partition(|server| selection.has_tried(*server));
        let mut eligible = if untried.is_empty() && candidates.is_empty() { tried } else { untried };
        let are_all_warming = self.max_capacity_fraction(selection.now) < 1.0;
        eligible.retain(|&server| are_all_warming || !self.is_warming_up(selection.now, server));
        let missing = wanted - candidates.len();
        for _ in 0..missing.min(eligible.len()) {
            candidates.push(eligible[self.rng.usize(0..eligible.len())]);
        }
    }

    /// Whether all candidates are warming up and this request exceeds their share of the load.
    ///
    /// If all warm servers are ejected, the acceptance probability of each draw is the only limit. If warm
    /// servers are only full and there are few balancers, the warming servers may get a share of the
    /// requests. It is a share of the requests that are answered: the same share of all requests would
    /// overload them.
    fn would_overload_warming(&mut self, now: Time, candidates: &[ServerSlot]) -> bool {
        let is_warming_up = |&server: &ServerSlot| self.is_warming_up(now, server);
        let is_warm = |&server: &ServerSlot| !self.endpoints[server].is_ejected() && !is_warming_up(&server);
        let are_all_warming = !candidates.is_empty() && candidates.iter().all(is_warming_up);
        if !are_all_warming || !self.endpoints.serving.iter().any(is_warm) {
            return false;
        }
        // With many balancers, they get no such share. With few, they get it only once traffic has been
        // observed for a while, because it is unknown before.
        if self.is_large_fleet() || !self.demand.is_observed_long_enough() {
            return true;
        }
        let share = self.demand.answered_fraction() / self.mean_capacity_fraction(now);
        self.rng.f64() >= share
    }

    /// Whether a server is open: whether the retry rules, the endpoint list, its dialect, its capacity and
    /// its ejection allow sending it the request now.
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
