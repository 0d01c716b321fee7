//! The list: which servers there are, by what the caller was told of them.
use super::*;

/// The servers that one of many draws from: at least as many as one pick compares, and so many more for each
/// of its requests that is usually out.
const NEAR_LEAST: f64 = 4.0;
const NEAR_OUT: f64 = 6.0;
/// Pause before the list is asked for again, doubled on each failure up to five times as long.
pub(super) const ASK_AGAIN: Span = Span(200_000);

impl Balancer {
    pub(super) fn list(&mut self, now: Time, update: EndpointUpdate, out: &mut Vec<Action>) {
        let (lines, complete) = match update {
            EndpointUpdate::Failed => {
                self.ask_at = Some(now + self.ask_pause * (0.5 + self.rng.f64()));
                let most = (self.settings.poll_within * 0.25).min(ASK_AGAIN * 5.0);
                self.ask_pause = (self.ask_pause * 2.0).min(most);
                return;
            }
            EndpointUpdate::Changes(lines) => (lines, false),
            EndpointUpdate::Complete(lines) | EndpointUpdate::Saved(lines) => (lines, true),
        };
        self.ask_pause = ASK_AGAIN;
        if complete {
            for s in &mut self.servers {
                s.listed.status = Status::Removed;
            }
        }
        for line in lines {
            let server = line.server;
            match self.index.get(&server) {
                Some(&i) => {
                    let s = &mut self.servers[i];
                    if line.started_at.is_some() && line.started_at != s.listed.started_at {
                        // A new process: what was learned of the old one says nothing, and it is cold.
                        let (in_flight, last_answer) = (s.in_flight, s.last_answer);
                        *s = Server { in_flight, last_answer, ..Server::new(line, now) };
                    } else {
                        s.listed = line;
                    }
                }
                None => {
                    let place = self.free.pop().unwrap_or(self.servers.len());
                    self.index.insert(server, place);
                    self.servers.resize_with(self.servers.len().max(place + 1), Server::default);
                    self.servers[place] = Server::new(line, now);
                }
            }
        }
        for s in &mut self.servers {
            let gone = s.listed.status == Status::Removed;
            s.gone_at = gone.then(|| s.gone_at.unwrap_or(now));
        }
        let servers = &self.servers;
        self.serving = (0..servers.len()).filter(|&i| servers[i].listed.status == Status::Serving).collect();
        self.leaving = self.index.values().copied().filter(|&i| servers[i].gone_at.is_some()).collect();
        self.rank_again = true;
        self.memory.retain(|&m| servers[m].listed.status == Status::Serving);
        self.gather(now);
        self.pump(now, out);
    }

    /// Many balancers draw each from a random part of the fleet of its own, or connections would grow as
    /// balancers times servers, and counts by server would be zero. The part grows with what is usually out
    /// here, is made up by its servers' warmth, and takes in others for those that are lost. This is done at
    /// each tick, and looks no further into the fleet than the part reaches.
    pub(super) fn gather(&mut self, now: Time) {
        if !self.is_many() {
            self.near.clone_from(&self.serving);
            return;
        }
        if std::mem::take(&mut self.rank_again) {
            self.ranked.clear();
            for &i in &self.serving {
                let rank = *self.servers[i].rank.get_or_insert_with(|| self.rng.u32(..));
                self.ranked.push((rank, i));
            }
            self.ranked.sort_unstable();
        }
        let mut room = NEAR_LEAST + NEAR_OUT * self.usual_out();
        let mut near = std::mem::take(&mut self.near);
        near.clear();
        for &(_, i) in &self.ranked {
            let s = &self.servers[i];
            if room <= 0.0 {
                break;
            }
            if s.suspicion.as_ref().is_none_or(|q| !q.by_probe) {
                near.push(i);
                room -= self.warmth(s, now);
            }
        }
        self.near = near;
    }

    /// Drops the servers that have left for good and that nothing refers to any more; one that is named
    /// again starts afresh. Under ever new names they would fill the memory, and each look at the fleet
    /// would take longer.
    pub(super) fn forget(&mut self, now: Time) {
        let grace = self.settings.drain_grace;
        let over = |s: &Server| s.gone_at.is_some_and(|at| now.since(at) > grace);
        let mut dropped: Vec<usize> =
            self.leaving.iter().copied().filter(|&i| over(&self.servers[i])).collect();
        if dropped.is_empty() {
            return;
        }
        let tried = |i: usize| self.live.values().any(|live| live.attempts.iter().any(|a| a.server == i));
        let flown = |i: usize| self.flights.values().any(|flight| flight.server == i);
        dropped.retain(|&i| !flown(i) && !tried(i));
        for &i in &dropped {
            self.index.remove(&self.servers[i].listed.server);
        }
        self.leaving.retain(|i| !dropped.contains(i));
        self.free.extend(dropped);
    }
}
