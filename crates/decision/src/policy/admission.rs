//! Taking in: a request comes, is sent on or held, and gets its one final answer.
//!
//! `arrive` counts it and ends it at once if it is hopeless. One of many balancers lets out no more than
//! Little's law gives it (`is_full`). What finds no room is held within a bound; `pump` sends it when room
//! comes, or ends it when it could no longer be answered in time. `end` is the only place from which refusals
//! and failures come.
use super::*;

/// A held request must have this multiple of its class's present answer time left, or this share of its aim.
const WAIT_MARGIN: f64 = 2.0;
const WAIT_MOST: f64 = 0.7;
const HELD_MOST: usize = 500;
/// Votes that a class's usual wait can gather; a new habit of the clients is believed after as many.
const VOTES_MOST: u32 = 50;
/// The longest that one of many holds a request unsent, as a share of what its client waits.
const HOLD_MOST: f64 = 0.4;
/// What one of many may have out at least, however little comes in.
const OUT_LEAST: f64 = 0.5;

impl Balancer {
    pub(super) fn arrive(&mut self, now: Time, request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        let Some(known) = self.classes.get_mut(&request.class) else {
            out.push(Action::Reject { request: id, retry_after: None });
            return;
        };
        if self.live.contains_key(&id) {
            return;
        }
        // First tries of a class wait alike; another wait is what earlier tries have left of the deadline.
        let period = self.settings.event_interval;
        let (class, (usual, votes)) = (&known.class, &mut known.usual_wait);
        let near = request.client_timeout.saturating_sub(*usual) <= period
            && usual.saturating_sub(request.client_timeout) <= period;
        let alike = near || *votes == 0;
        match *votes {
            0 => (*usual, *votes) = (request.client_timeout, 1),
            _ if alike => *votes = (*votes + 1).min(VOTES_MOST),
            _ => *votes -= 1,
        }
        let spent = if alike { Span::ZERO } else { class.deadline.saturating_sub(request.client_timeout) };
        let deadline = now + request.time_left;
        let wanted_by = (now + class.latency_objective.saturating_sub(spent)).min(deadline);
        let aim = if alike { class.latency_objective.as_ms() } else { 0.0 };
        self.count(now, &request, aim);
        let over_share = self.over_share(&request);
        let (attempts, bound, spent, drawn) = (Vec::new(), false, false, false);
        let max_attempts = self.settings.max_attempts as usize;
        let live =
            Live { request, deadline, wanted_by, attempts, bound, spent, max_attempts, over_share, drawn };
        let hopeless = self.hopeless(now, &live);
        self.live.insert(id, live);
        for saved in [&mut self.retries, &mut self.trials] {
            *saved = (*saved + EARN).min(BURST);
        }
        if hopeless {
            self.end(now, id, out);
        } else if !self.place(now, id, out) {
            self.hold(now, id, out);
        }
    }

    /// The last part of a request has come, perhaps long after it was sent on: only now can it be late.
    pub(super) fn arrived(&mut self, now: Time, id: RequestId, time_left: Span) {
        let Some(live) = self.live.get_mut(&id) else { return };
        live.request.is_streaming_in = false;
        live.start_over(now, time_left, self.classes[&live.request.class].class.latency_objective);
        for (_, flight) in self.flights.range_mut((id, 0)..=(id, u32::MAX)) {
            flight.sent = now;
            if std::mem::take(&mut flight.arriving) {
                self.servers[flight.server].in_flight += 1;
            }
        }
    }

    /// Little's law with square-root staffing: no more is out than is answered within the time that it should
    /// take and, as so few vary much by chance, the root of that; suspects are left aside. By what comes in
    /// alone, with clients that ask again, a fleet that has fallen behind would be sent ever more; one that
    /// is all cold too much, by all balancers before any of them has learned of it.
    pub(super) fn is_full(&self, now: Time) -> bool {
        if !self.is_many() {
            return false;
        }
        let trusted = |f: &&Flight| !f.arriving && self.servers[f.server].suspicion.is_none();
        let out = self.flights.values().filter(trusted).count() as f64;
        let usual = self.usual_out() * self.served_share() * self.warmest(now);
        out >= OUT_LEAST + usual + usual.sqrt()
    }

    /// Sent now, it would not be answered while that is worth something.
    pub(super) fn hopeless(&self, now: Time, live: &Live) -> bool {
        let Known { class: c, pace, .. } = &self.classes[&live.request.class];
        let soon = c.latency_objective * (0.7 * pace);
        now + soon >= if c.late_weight_share > 0.0 { live.deadline } else { live.wanted_by }
    }

    /// Keeps a request for later, or ends it if that is hopeless.
    pub(super) fn hold(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        if self.held.len() >= HELD_MOST {
            self.end(now, id, out);
            return;
        }
        self.held.insert(0, id);
        // A tick that is due is never put off: requests held at each tick would starve it and lose requests.
        if self.tick_at > now + TICK_BUSY {
            self.set_tick(now, TICK_BUSY, out);
        }
    }

    /// Sends what is held and can go, newest first, and ends what can no longer be answered in time: first
    /// come first served would let every request wait until it is nearly too late, and then be late.
    pub(super) fn pump(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.held.is_empty() {
            return;
        }
        let mut held = std::mem::take(&mut self.held);
        let cheap = |l: &Live| {
            let (c, by_work) = (&self.classes[&l.request.class], self.settings.weight_by_work);
            (-1e6 * c.class.priority_weight / if by_work { 1.0 } else { c.usual() }) as i64
        };
        held.sort_by_cached_key(|id| self.live.get(id).map(|l| (l.over_share, cheap(l))));
        held.retain(|&id| {
            let Some(live) = self.live.get(&id) else { return false };
            let Known { class, pace, .. } = &self.classes[&live.request.class];
            let margin = (WAIT_MARGIN * pace).min(WAIT_MOST);
            let left = live.request.time_left * (1.0 - HOLD_MOST);
            let long = self.is_many() && live.attempts.is_empty() && now + left >= live.deadline;
            if long || self.hopeless(now, live) || now + class.latency_objective * margin >= live.wanted_by {
                self.end(now, id, out);
                return false;
            }
            !self.place(now, id, out)
        });
        self.held = held;
    }

    /// The final answer from here: a refusal if that is true to the client, else a failure.
    pub(super) fn end(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(live) = self.live.remove(&id) else { return };
        if self.lawful(&live, now).refuse {
            let advice = self.come_back(now, live.request.class);
            let retry_after = self.settings.retry_after.then_some(advice);
            out.push(Action::Reject { request: id, retry_after });
        } else {
            out.push(Action::Fail { request: id });
        }
    }

    /// When a request of this class may find room: a place is free when an answer has come, and if nobody
    /// is open, when the first suspect is tried again.
    pub(super) fn come_back(&self, now: Time, class: ClassId) -> Span {
        let suspicion = |&i: &usize| self.servers[i].suspicion.as_ref();
        let open = self.serving.iter().any(|i| suspicion(i).is_none());
        let trials = self.serving.iter().filter(|_| !open).filter_map(suspicion);
        let usual = Span::from_ms(self.classes[&class].usual());
        let soonest = trials.map(|q| q.next_trial.since(now)).min().unwrap_or(usual);
        usual.max(soonest).min(self.settings.max_retry_after)
    }
}
