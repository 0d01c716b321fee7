//! Suspicion and trials: a server that fails, hangs or can't be reached is taken out of the draw, and tried
//! again after pauses that double. Many balancers believe sooner, and try seldom and by probes.
use super::*;

/// Failures in a row that make a server suspect; and how seldom as many would have to come by chance from one
/// that fails as often as the others do: where connections break everywhere, half of the fleet would be
/// suspect.
pub(super) const FAILURES: u32 = 2;
const FAILURES_CHANCE: f64 = 0.002;
/// An attempt is overdue at this multiple of its class's pace, and not before this share of its aim; the
/// second if it is alone on its server, where it may well be a costly request and no hang.
const OVERDUE: f64 = 4.0;
const OVERDUE_LEAST: f64 = 0.6;
const OVERDUE_ALONE: f64 = 1.0;
/// At most this share of the serving fleet is suspect; beyond it the trouble is not the servers'.
const SUSPECT_SHARE: f64 = 0.75;
/// First and longest pause between two trials of a suspect server.
const TRIAL_FIRST: Span = Span(250_000);
const TRIAL_MOST: Span = Span(4_000_000);
/// More balancers than these are many: each sees so little that it acts as a part of all of them. They try a
/// suspect about as often as so many would, and no more than requests have earned.
const MANY: f64 = 10.0;
/// What a trial by a request costs of that (by a probe: 1), and the load of a probed suspect that is well.
pub(super) const TRIAL_REQUEST: f64 = 3.0;
const WELL: f64 = 2.0;

pub(super) struct Suspicion {
    pub(super) next_trial: Time,
    pub(super) pause: Span,
    pub(super) on_trial: bool,
    pub(super) by_probe: bool,
}

impl Suspicion {
    /// Nothing goes to a suspect but one request at a time, at the times of its trials.
    pub(super) fn shut(&self, now: Time) -> bool {
        self.by_probe && now.since(self.next_trial) < TRIAL_MOST || !self.due(now)
    }

    pub(super) fn due(&self, now: Time) -> bool {
        !self.on_trial && now >= self.next_trial
    }
}

impl Balancer {
    /// How many times as many balancers there are as could each act for itself.
    pub(super) fn crowd(&self) -> f64 {
        (f64::from(self.settings.balancers) / MANY).max(1.0)
    }

    pub(super) fn is_many(&self) -> bool {
        self.crowd() > 1.0
    }

    /// Many balancers learn of a trouble in the same moment, and must not all come back in the same one.
    pub(super) fn jitter(&mut self) -> f64 {
        let roll = if self.is_many() { self.rng.f64() } else { 0.5 };
        0.75 + 0.5 * roll
    }

    /// How many listed servers get nothing new now: those that drain, and suspects whose trial is not due.
    pub fn excluded_endpoints(&self, now: Time) -> usize {
        let avoided = |&&i: &&usize| match self.servers[i].listed.status {
            Status::Serving => self.servers[i].suspicion.as_ref().is_some_and(|q| q.shut(now)),
            Status::Draining => true,
            Status::Removed => false,
        };
        self.index.values().filter(avoided).count()
    }

    /// Many balancers make a trial only with what may be repeated, and seldom: all of them do.
    pub(super) fn may_try(&self, now: Time, q: &Suspicion, live: &Live) -> bool {
        let fit = self.classes[&live.request.class].class.effect == Effect::Idempotent
            || now.since(q.next_trial) > TRIAL_MOST;
        !self.is_many() || fit && self.trials >= TRIAL_REQUEST
    }

    /// Takes a server out of the draw and out of memory, unless it is suspect or too many are.
    pub(super) fn suspect(&mut self, now: Time, server: usize, why: &str, out: &mut Vec<Action>) {
        let gone = self.serving.iter().filter(|&&i| self.servers[i].suspicion.is_some()).count();
        let (crowd, jitter) = (self.crowd(), self.jitter());
        let by_probe = self.is_many() && self.settings.health_checks && why != "failing";
        let s = &mut self.servers[server];
        if s.suspicion.is_some() || (gone + 1) as f64 > SUSPECT_SHARE * self.serving.len() as f64 {
            return;
        }
        let pause = TRIAL_FIRST * crowd;
        let next_trial = now + pause * jitter;
        s.suspicion = Some(Suspicion { next_trial, pause, on_trial: false, by_probe });
        self.memory.retain(|&m| m != server);
        if !self.suspects.contains(&server) {
            self.suspects.push(server);
        }
        out.push(Action::Log { text: format!("server {} {why}: suspect", s.listed.server.0) });
    }

    /// What a trial of a suspect has shown.
    pub(super) fn tried(&mut self, now: Time, server: usize, well: bool) {
        let (most, jitter) = (TRIAL_MOST * self.crowd(), self.jitter());
        let s = &mut self.servers[server];
        if well {
            (s.suspicion, s.failures) = (None, 0);
        } else if let Some(q) = &mut s.suspicion {
            q.on_trial = false;
            q.pause = (q.pause * 2.0).min(most);
            q.next_trial = now + q.pause * jitter;
        }
    }

    /// Whether a server's failures in a row are more than chance would bring from the better of the others:
    /// a cut that takes most of the fleet still leaves those.
    pub(super) fn is_unusual(&self, server: usize) -> bool {
        let others = self.serving.iter().filter(|&&i| i != server).map(|&i| self.servers[i].failing);
        let mut others: Vec<f64> = others.collect();
        others.sort_by(f64::total_cmp);
        let usual = others.get(others.len() / 4).copied().unwrap_or(0.0);
        usual.powf(f64::from(self.servers[server].failures)) < FAILURES_CHANCE
    }

    /// Probes the suspects whose trial is due, the longest due first, as far as probes are saved up.
    pub(super) fn probe_suspects(&mut self, now: Time, out: &mut Vec<Action>) {
        let servers = &self.servers;
        self.suspects.retain(|&i| servers[i].suspicion.is_some());
        let due = |i: &usize| {
            let s = &servers[*i];
            let q = s.suspicion.as_ref().filter(|q| q.by_probe && q.due(now))?;
            (s.listed.status == Status::Serving).then_some((q.next_trial, *i))
        };
        let mut due: Vec<_> =
            self.suspects.iter().filter(|_| self.settings.health_checks).filter_map(due).collect();
        due.sort_unstable();
        for (_, i) in due.into_iter().take(self.trials as usize) {
            let s = &mut self.servers[i];
            s.suspicion.iter_mut().for_each(|q| q.on_trial = true);
            self.trials -= 1.0;
            out.push(Action::HealthCheck { server: s.listed.server });
        }
    }

    /// What a probe says of a suspect: its report, and the time it had to wait there.
    pub(super) fn probed(
        &mut self,
        now: Time,
        s: usize,
        failed: bool,
        took: Span,
        report: Option<&LoadReport>,
    ) {
        let told = report.and_then(|report| self.read_report(s, report)).unwrap_or_default();
        let usual = self.current().map(Known::usual).fold(f64::INFINITY, f64::min);
        if self.servers[s].suspicion.as_ref().is_some_and(|q| q.by_probe && q.on_trial) {
            self.tried(now, s, !failed && told.max(took.as_ms() / usual) < WELL);
        }
    }

    /// A server is silent if an attempt there is overdue and nothing has come back since it was sent. What
    /// may be repeated and can still be answered in time is called back from it and sent elsewhere.
    pub(super) fn find_silent(&mut self, now: Time, out: &mut Vec<Action>) {
        let overdue = |(&key, flight): (&(RequestId, u32), &Flight)| {
            let (server, aim) =
                (&self.servers[flight.server], self.classes[&flight.class].class.latency_objective);
            let least = if server.in_flight > 1 { OVERDUE_LEAST } else { OVERDUE_ALONE };
            let pace = self.classes[&flight.class].pace.max(flight.work / aim.as_ms());
            let wait = aim * (OVERDUE * pace).max(least);
            let quiet = server.last_answer < flight.sent && !flight.arriving;
            (quiet && now.since(flight.sent) > wait).then_some((key, flight.server))
        };
        let silent: Vec<_> = self.flights.iter().filter_map(overdue).collect();
        for &((id, attempt), server) in &silent {
            self.suspect(now, server, "silent", out);
            let Some(live) = self.live.get(&id) else { continue };
            let repeatable = self.classes[&live.request.class].class.effect != Effect::AtMostOnce;
            let last = attempt as usize + 1 == live.attempts.len();
            let spare = live.attempts.len() < live.max_attempts && self.retries >= 1.0;
            if repeatable && self.settings.cancel && last && spare && !self.hopeless(now, live) {
                out.push(Action::Cancel { request: id, attempt: AttemptNumber(attempt) });
            }
        }
    }
}
