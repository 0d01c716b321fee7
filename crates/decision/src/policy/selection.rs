//! Drawing and choosing: `place` compares the remembered lightest servers with fresh uniform draws
//! (`candidates` -> `lightest` -> `send`), by this balancer's own requests in flight; a coin settles ties.
//!
//! A draw of a cold server, or of a slower kind of machine, stands only with the chance that is its part.
use super::*;

/// Remembered servers (m) and fresh draws (d) of each pick; the paper asks for d >= m.
const REMEMBERED: usize = 1;
const DRAWS: usize = 3;
/// Tries for each fresh draw to hit a server that is open; after that the whole list is gone through.
const DRAW_TRIES: usize = 8;
/// Balancers to a server up to which they learn soon enough of a cold one; and of more than these, the part
/// of what it bears that it is sent at most, in the mean, if it wins every pick.
const LEARNS_MOST: f64 = 20.0;
const SURE: f64 = 0.75;
/// A server in another zone weighs this much more for each 1% of a request that crossing is priced at; never
/// as much as one request more at zero, so that the price alone does not fill a zone.
const AWAY: f64 = 0.25;
const AWAY_MOST: f64 = 1.8;
/// Loads that differ by less than this (as a logarithm) are alike: a quarter is well within chance.
const ALIKE: f64 = 0.25;

impl Balancer {
    /// Draws candidates for a request and sends it to the lightest; false if no server is open to it.
    pub(super) fn place(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) -> bool {
        if !self.live.contains_key(&id) {
            return true;
        }
        if self.is_full(now) {
            return false;
        }
        let candidates = self.candidates(now, id);
        let live = &self.live[&id];
        let heavy = (self.work(live) / self.classes[&live.request.class].usual()).clamp(1.0, 9.0).sqrt();
        let Some(server) = self.lightest(&candidates, heavy) else { return false };
        self.memory.retain(|&m| m != server);
        self.memory.insert(0, server);
        self.memory.truncate(REMEMBERED);
        self.send(now, id, server, out);
        true
    }

    /// The remembered servers that are open to a request, and fresh uniform draws from those that this
    /// balancer draws from. One that it has tried comes in only if there is no other.
    pub(super) fn candidates(&mut self, now: Time, id: RequestId) -> Vec<usize> {
        let many = self.is_many();
        let Some(live) = self.live.get_mut(&id) else { return Vec::new() };
        let first = !std::mem::replace(&mut live.drawn, true);
        let tries: Vec<usize> = live.attempts.iter().map(|a| a.server).collect();
        let open = |i: &usize| !tries.contains(i) && !self.is_cold(now, *i) && self.open_to(now, id, *i);
        let mut candidates: Vec<usize> = self.memory.iter().copied().filter(open).collect();
        let all = candidates.len() + DRAWS;
        let all_cold = self.warmest(now) < 1.0;
        // Each learns of a cold server by its own requests: so many balancers that each sends few to a server
        // have all sent theirs before any has learned, and where others are crowded these win every pick.
        let unlearned = f64::from(self.settings.balancers) > LEARNS_MOST * self.serving.len() as f64;
        let bears = self.settings.overload_factor * SURE / DRAWS as f64;
        let surely = if unlearned { bears } else { f64::INFINITY };
        for _ in 0..DRAWS {
            for turn in 0..DRAW_TRIES.min(self.near.len()) {
                let i = self.near[self.rng.usize(0..self.near.len())];
                // All balancers together must not push a cold server over: it gets its warmth's part of a
                // warm one's load, even if it wins every pick it is drawn for; where many hold zero counts,
                // it wins no more than others, and is never remembered. What waits has no second roll.
                let warmth = self.warmth(&self.servers[i], now);
                let wins = if many { DRAWS as f64 / (DRAWS + REMEMBERED) as f64 } else { DRAWS as f64 };
                let chance = (warmth / wins).min(warmth * surely);
                let shut = warmth < 1.0 && (!first || turn > 0 || self.rng.f64() >= chance);
                // Where counts are zero the coin decides, which gives a slow machine as much as a quick one.
                let slow = warmth == 1.0 && turn + 1 < DRAW_TRIES && many && {
                    self.rng.f64() >= self.kinds.chance(self.servers[i].listed.machine_type)
                };
                if !shut && !slow && !tries.contains(&i) && self.open_to(now, id, i) {
                    candidates.push(i);
                    break;
                }
            }
        }
        if candidates.len() < all {
            // Few are open: draw from a list of them.
            let open = |i: &usize| self.open_to(now, id, *i);
            let near = self.near.iter().any(|i| open(i) && !tries.contains(i));
            let open = if near { &self.near } else { &self.serving }.iter().copied().filter(open);
            let (again, fresh): (Vec<_>, Vec<_>) = open.partition(|i| tries.contains(i));
            let mut pool = if fresh.is_empty() && candidates.is_empty() { again } else { fresh };
            pool.retain(|&i| all_cold || !self.is_cold(now, i));
            for _ in 0..(all - candidates.len()).min(pool.len()) {
                candidates.push(pool[self.rng.usize(0..pool.len())]);
            }
        }
        // Cold ones stand in for suspect warm ones, each with its roll. For full ones each of few balancers
        // gives them their part of what is served; of what is asked for, a crowd would ask too much of them.
        let stands = |&i: &usize| self.servers[i].suspicion.is_none() && !self.is_cold(now, i);
        let only_cold = !candidates.is_empty() && candidates.iter().all(|&i| self.is_cold(now, i));
        if only_cold && self.serving.iter().any(stands) {
            let part = self.served_share() / self.mean_warmth(now);
            // Nobody can tell that part before traffic has been counted for a while.
            if many || self.counted < COUNT_MS || self.rng.f64() >= part {
                candidates.clear();
            }
        }
        candidates
    }

    /// Whether a server may be sent a request now: by rules, list, dialect, room and suspicion.
    pub(super) fn open_to(&self, now: Time, id: RequestId, server: usize) -> bool {
        let (s, live) = (&self.servers[server], &self.live[&id]);
        let lawful = match self.lawful(live, now).send {
            Reach::Nowhere => false,
            Reach::Anywhere => true,
            Reach::Zone(zone) => s.listed.zone == zone,
            Reach::Cell(cell) => s.listed.cell == cell,
        };
        lawful
            && s.listed.status == Status::Serving
            && live.request.dialects.contains(s.listed.dialect)
            && self.has_room(now, server)
            && !s.suspicion.as_ref().is_some_and(|q| q.shut(now) || !self.may_try(now, q, live))
    }

    /// The candidate with the least load: own requests in flight, scaled by a slow machine and a priced
    /// crossing. A coin is last.
    pub(super) fn lightest(&mut self, candidates: &[usize], heavy: f64) -> Option<usize> {
        let coins: Vec<u32> = candidates.iter().map(|_| self.rng.u32(..)).collect();
        let away = (1.0 + 100.0 * AWAY * self.settings.costs.cross_zone).clamp(1.0, AWAY_MOST);
        let many = self.is_many();
        let key = |c: usize, coin: u32| {
            let s = &self.servers[c];
            let far = if s.listed.zone == self.settings.zone { 1.0 } else { away };
            // A suspect drawn for its trial goes first: by its own record it would never be tried.
            let count = if s.suspicion.is_some() { 0.0 } else { f64::from(s.in_flight) + 1.0 };
            let load = (count * far * s.stretch.powf(0.5 * heavy)).ln();
            // Sends since a report that never comes would make many take turns, on slow and quick alike.
            let told = if many { 0.0 } else { s.told.round() };
            ((load / ALIKE).round() as i32, told as i32, coin)
        };
        candidates.iter().zip(coins).min_by_key(|&(&c, coin)| key(c, coin)).map(|(&c, _)| c)
    }

    pub(super) fn send(&mut self, now: Time, id: RequestId, server: usize, out: &mut Vec<Action>) {
        let (work, begin_by) = (self.work(&self.live[&id]), self.lawful(&self.live[&id], now).begin_by);
        let Some(live) = self.live.get_mut(&id) else { return };
        if live.request.is_streaming_in {
            // No time runs for it until its last part has come; the caller sees to it that it goes on coming.
            (live.deadline, live.wanted_by) = (Time(u64::MAX), Time(u64::MAX));
        }
        let (class, timeout_at) = (live.request.class, live.deadline);
        let s = &mut self.servers[server];
        let attempt = live.attempts.len() as u32;
        let (zone, cell) = (s.listed.zone, s.listed.cell);
        live.attempts.push(Attempt { server, zone, cell, sent: now, fate: Fate::Out });
        let arriving = live.request.is_streaming_in;
        s.in_flight += u32::from(!arriving);
        s.told += 1.0;
        let trial = match &mut s.suspicion {
            Some(q) => {
                q.on_trial = true;
                self.trials -= TRIAL_REQUEST;
                true
            }
            None => false,
        };
        self.flights.insert((id, attempt), Flight { server, class, sent: now, trial, arriving, work });
        out.push(Action::Send { request: id, server: s.listed.server, timeout_at, begin_by });
    }
}
