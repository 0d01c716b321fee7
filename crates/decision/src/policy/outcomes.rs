//! Limits and retries: what an answer teaches of a server and its class, how many requests of its own a
//! balancer gives a server at once, and whether a failed attempt is followed by another.
use super::*;

/// Weight of a new answer in a server's pace: about the last eight answers count.
const PACE_GAIN: f64 = 0.12;
/// Weight of a new answer in how slow one of many takes a server to be: it sees few from each.
const STRETCH_MANY: f64 = 0.2;
/// Weight of a new answer in a server's share of failures.
const FAILING_GAIN: f64 = 0.05;
/// What an answer past its aim leaves of a server's limit.
const LATE_CUT: f64 = 0.85;
/// A limit in full use grows by the first in the time that it takes to use it once, and shrinks by the second
/// of its overshoot an answer.
const GROWTH: f64 = 0.1;
const SHRINK: f64 = 0.02;
/// Own requests in flight that a server is first thought to bear, and the most it is ever given.
pub(super) const LIMIT_FIRST: f64 = 2.0;
const LIMIT_MOST: f64 = 1000.0;
/// Each request earns this much of a further attempt, and of a trial, saved up to the burst.
pub(super) const EARN: f64 = 0.1;
pub(super) const BURST: f64 = 10.0;
/// An attempt after a break costs less than one after a full server or a wait, which load brings about and
/// more attempts make worse.
const RETRY_BROKEN: f64 = 0.4;
/// A connect that fails within this share of the aim has been refused or reset.
const AT_ONCE: f64 = 0.2;

impl Balancer {
    /// Room by the learned limit, of which a cold server gets its warmth's part.
    pub(super) fn has_room(&self, now: Time, server: usize) -> bool {
        let s = &self.servers[server];
        let full = s.full.is_some_and(|(until, _)| now < until || s.in_flight > 0);
        !full && f64::from(s.in_flight) < (s.limit * self.warmth(s, now)).max(1.0)
    }

    /// The load that a report tells, if it tells one.
    pub(super) fn read_report(&mut self, server: usize, report: &LoadReport) -> Option<f64> {
        let mut fields = self.settings.report_fields.iter().zip(report);
        let load = |f: &ReportField| matches!(f, ReportField::InFlight | ReportField::Queue);
        let told = fields.rfind(|(field, value)| load(field) && value.is_finite())?.1;
        self.servers[server].told = told.clamp(0.0, 1e6);
        Some(self.servers[server].told)
    }

    pub(super) fn outcome(&mut self, now: Time, key: Key, ended: Ended, closed: bool, out: &mut Vec<Action>) {
        let (outcome, elapsed, report) = ended;
        let Some(flight) = self.flights.remove(&key) else { return };
        self.servers[flight.server].in_flight -= u32::from(!flight.arriving);
        if let Some(report) = report {
            self.read_report(flight.server, report);
        }
        self.learn(now, &flight, ended, out);
        let id = key.0;
        if closed {
            self.live.remove(&id);
        } else if let Some(live) = self.live.get_mut(&id) {
            let fate = if outcome.never_ran() { Fate::NeverRan } else { Fate::MayHaveRun };
            live.attempts[key.1 as usize].fate = fate;
            if live.request.is_streaming_in {
                // It waits for a place again, and not longer than if it were whole.
                let (time_left, aim) =
                    (live.request.time_left, self.classes[&flight.class].class.latency_objective);
                live.start_over(now, time_left, aim);
            }
            // One that never came up has been waited for, as has a full server.
            let at_once = elapsed < self.classes[&flight.class].class.latency_objective * AT_ONCE;
            let broken = matches!(outcome, Outcome::ConnectionReset | Outcome::ServerError)
                || outcome == Outcome::ConnectFailed && at_once;
            self.follow_up(now, id, if broken { RETRY_BROKEN } else { 1.0 }, out);
        }
        self.pump(now, out);
    }

    /// The request still owes its answer after an attempt has failed; another costs so much of what is
    /// saved up.
    pub(super) fn follow_up(&mut self, now: Time, id: RequestId, cost: f64, out: &mut Vec<Action>) {
        let live = &self.live[&id];
        if live.attempts.iter().any(|a| a.fate == Fate::Out) {
            return;
        }
        // What was turned away pays too, or it would go round a fleet of full servers.
        let lawful = self.lawful(live, now).send != Reach::Nowhere;
        if lawful && !self.hopeless(now, live) && self.retries >= cost {
            self.retries -= cost;
            if !self.place(now, id, out) {
                self.hold(now, id, out);
            }
        } else {
            self.end(now, id, out);
        }
    }

    pub(super) fn learn(&mut self, now: Time, flight: &Flight, ended: Ended, out: &mut Vec<Action>) {
        let (outcome, elapsed, _) = ended;
        let (warmth, many) = (self.warmth(&self.servers[flight.server], now), self.is_many());
        let Some(known) = self.classes.get_mut(&flight.class) else { return };
        let aim = known.class.latency_objective.as_ms();
        let s = &mut self.servers[flight.server];
        let used = match outcome {
            // Late is late: one costly request must not weigh like ten. Called back is not stopped.
            Outcome::Success => (elapsed.as_ms() / aim).min(1.0),
            Outcome::TimedOut | Outcome::Rejected | Outcome::Cancelled => 1.0,
            _ => 0.0,
        };
        match outcome {
            Outcome::NotSent | Outcome::Cancelled | Outcome::TimedOut => {}
            Outcome::Success => {
                (s.failures, s.full) = (0, None);
                s.last_answer = now;
                lean(&mut known.pace, used);
                let slower = known.least + LEAST_GAIN * (used - known.least);
                known.least = slower.min(used);
                self.answered += aim;
                let stretch = (used / known.pace.max(0.001)).clamp(0.05, 8.0);
                if many {
                    s.stretch += STRETCH_MANY * (stretch - s.stretch);
                } else {
                    lean(&mut s.stretch, stretch);
                }
            }
            // A full server is no sick one: it is only sent less.
            Outcome::Rejected => s.last_answer = now,
            Outcome::ConnectFailed => s.failures += 1,
            _ => (s.failures, s.last_answer) = (s.failures + 1, now),
        }
        let answered = matches!(outcome, Outcome::Success | Outcome::TimedOut | Outcome::Cancelled);
        if answered && warmth == 1.0 && s.suspicion.is_none() {
            self.kinds.learn(s.listed.machine_type, elapsed, flight.work);
        }
        if warmth < 1.0 && matches!(outcome, Outcome::Rejected | Outcome::TimedOut) {
            let least = Span::from_ms(known.usual()) * (1.0 / warmth.max(0.01));
            let again = |(until, pause)| if now < until || !many { pause } else { pause * 2.0 };
            let pause = s.full.map_or(least, again).min(self.settings.overload_tolerance * 0.5).max(least);
            s.full = Some((now + pause, pause));
        }
        match outcome {
            Outcome::NotSent | Outcome::Cancelled | Outcome::TimedOut | Outcome::Rejected => {}
            Outcome::Success => s.failing -= FAILING_GAIN * s.failing,
            _ => s.failing += FAILING_GAIN * (1.0 - s.failing),
        }
        let share = used * TARGET / known.target();
        if used > 0.0 {
            s.pace = if s.pace == 0.0 { share } else { s.pace + PACE_GAIN * (share - s.pace) };
            // Slower than the pace forgets, or its lag would drive the limit down too far; an answer past its
            // aim or a full queue is sure evidence and counts at once.
            let over = (s.pace / TARGET - 1.0).min(2.0);
            let factor = if used >= 1.0 { LATE_CUT } else { 1.0 - SHRINK * over.max(0.0) };
            s.limit = (s.limit * factor).max(1.0);
            if over <= 0.0 && used < 1.0 && f64::from(s.in_flight) + 1.0 >= (0.7 * s.limit).floor() {
                s.limit = (s.limit + GROWTH / s.limit.max(1.0)).min(LIMIT_MOST);
            }
        }
        if flight.trial {
            let well = outcome == Outcome::Success && used < 1.0;
            if well {
                (s.pace, s.stretch) = (share, 1.0);
            }
            return self.tried(now, flight.server, well);
        }
        let why = match outcome {
            // One of many believes the first sign: the next would come seconds later.
            Outcome::ConnectFailed if many => "unreachable",
            Outcome::Rejected if many && s.in_flight == 0 && warmth == 1.0 => "full",
            _ if s.failures >= FAILURES && self.is_unusual(flight.server) => "failing",
            _ => return,
        };
        self.suspect(now, flight.server, why, out);
    }
}
