//! An observer that knows the four rules, and not how decisions are made.

use heronhoist_decision::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How long after the client's deadline a final response still counts.
const GRACE: Span = Span(20_000);

#[derive(Debug, Clone)]
struct ObservedAttempt {
    at: Time,
    zone: ZoneId,
    cell: CellId,
    outcome: Option<Outcome>,
}

#[derive(Debug)]
struct ObservedRequest {
    class: usize,
    /// Estimated work, in requests of the usual size.
    work: f64,
    deadline: Time,
    dialects: Dialects,
    attempts: Vec<ObservedAttempt>,
    is_finished: bool,
    is_bound: bool,
}

/// Watches events and actions and records every violation of a rule, without knowing how decisions are made.
pub struct Observer {
    pub(super) settings: Settings,
    requests: BTreeMap<RequestId, ObservedRequest>,
    servers: BTreeMap<ServerId, Endpoint>,
    leaving: BTreeMap<ServerId, Time>,
    sends: VecDeque<(Time, ServerId, f64)>,
    warm: BTreeSet<ServerId>,
    warm_since: Time,
    pub violations: Vec<String>,
}

impl Observer {
    pub fn new(settings: &Settings) -> Self {
        Observer {
            settings: settings.clone(),
            requests: BTreeMap::new(),
            servers: BTreeMap::new(),
            leaving: BTreeMap::new(),
            sends: VecDeque::new(),
            warm: BTreeSet::new(),
            warm_since: Time(0),
            violations: Vec::new(),
        }
    }

    fn record(&mut self, now: Time, text: String) {
        self.violations.push(format!("{:.3} ms: {text}", now.as_ms()));
    }

    pub fn event(&mut self, now: Time, event: &Event) {
        match event {
            Event::Request(r) => {
                let observed = ObservedRequest {
                    class: r.class.0,
                    work: r.cost_hint.map_or(1.0, |h| h.as_ms() / 40.0),
                    deadline: now + r.time_left,
                    dialects: r.dialects,
                    attempts: Vec::new(),
                    is_finished: false,
                    is_bound: false,
                };
                self.requests.entry(r.id).or_insert(observed);
            }
            Event::AttemptEnded { request, attempt, outcome, is_request_finished: closed, .. } => {
                if let Some(observed) = self.requests.get_mut(request) {
                    if let Some(attempt) = observed.attempts.get_mut(attempt.0 as usize) {
                        attempt.outcome.get_or_insert(*outcome);
                    }
                    observed.is_finished |= *closed;
                }
            }
            Event::FirstByte { request, .. } => {
                if let Some(observed) = self.requests.get_mut(request) {
                    observed.is_bound = true;
                }
            }
            Event::ClientDisconnected { request } => {
                if let Some(observed) = self.requests.get_mut(request) {
                    observed.is_finished = true;
                }
            }
            Event::EndpointList(update) => {
                let (lines, whole) = match update {
                    EndpointUpdate::Changes(lines) => (lines, false),
                    EndpointUpdate::Complete(lines) | EndpointUpdate::Saved(lines) => (lines, true),
                    EndpointUpdate::Failed => return,
                };
                let named: BTreeSet<ServerId> = lines.iter().map(|l| l.server).collect();
                if whole {
                    for server in self.servers.keys().filter(|s| !named.contains(s)) {
                        self.leaving.entry(*server).or_insert(now);
                    }
                }
                for line in lines {
                    let before = self.servers.insert(line.server, line.clone());
                    if before.is_some_and(|b| b.started_at != line.started_at) {
                        // A new process: requests to the old one are no load for it.
                        self.sends.retain(|(_, s, _)| *s != line.server);
                    }
                }
                for server in named {
                    if self.servers[&server].status == Status::Serving {
                        self.leaving.remove(&server);
                    } else {
                        self.leaving.entry(server).or_insert(now);
                    }
                }
            }
            Event::Settings { settings, class_ids: classes } => {
                for (id, class) in classes.iter().zip(&settings.classes) {
                    let known = &mut self.settings.classes;
                    known.resize(known.len().max(id.0 + 1), Class::default());
                    known[id.0] = class.clone();
                }
            }
            _ => {}
        }
    }

    /// The zone and cell that a request which may have executed is bound to; `None` if it must not be sent at all.
    fn allowed_placement(
        &self,
        observed: &ObservedRequest,
        now: Time,
    ) -> Option<(Option<ZoneId>, Option<CellId>)> {
        let ran = observed.attempts.iter().find(|t| t.outcome.is_none_or(|o| !o.never_ran()));
        let Some(ran) = ran else { return Some((None, None)) };
        match self.settings.classes[observed.class].effect {
            Effect::Idempotent => Some((None, None)),
            Effect::AtMostOnce => None,
            Effect::Deduplicated { window, .. } if now.since(ran.at) > window => None,
            Effect::Deduplicated { scope: DeduplicationScope::All, .. } => Some((None, None)),
            Effect::Deduplicated { scope: DeduplicationScope::Zone, .. } => Some((Some(ran.zone), None)),
            Effect::Deduplicated { scope: DeduplicationScope::Cell, .. } => Some((None, Some(ran.cell))),
        }
    }

    fn may_reject(&self, observed: &ObservedRequest) -> bool {
        let ran = observed.attempts.iter().any(|t| t.outcome.is_none_or(|o| !o.never_ran()));
        match self.settings.classes[observed.class].effect {
            Effect::Idempotent => true,
            Effect::AtMostOnce => !ran,
            Effect::Deduplicated { scope: group, .. } => !ran || group == DeduplicationScope::All,
        }
    }

    pub fn action(&mut self, now: Time, action: &Action) {
        match action {
            Action::Send { request, server, timeout_at, .. } => {
                let Some(line) = self.servers.get(server).cloned() else {
                    return self.record(now, format!("sent to {server:?}, which no list names"));
                };
                let Some(observed) = self.requests.get(request) else {
                    return self.record(now, format!("sent {request:?}, which nobody asked for"));
                };
                let work = observed.work;
                let out = observed.attempts.iter().any(|t| t.outcome.is_none());
                let mut wrong = Vec::new();
                if !observed.dialects.contains(line.dialect) {
                    wrong.push("sent to a server that it can't be said to");
                }
                if observed.is_finished {
                    wrong.push("sent after its end");
                }
                if observed.is_bound {
                    wrong.push("sent though bound to a stream");
                }
                if observed.attempts.len() >= self.settings.max_attempts as usize {
                    wrong.push("sent beyond the attempts allowed");
                }
                if out && !self.settings.hedging {
                    wrong.push("two attempts at once");
                }
                if now > observed.deadline || *timeout_at > observed.deadline {
                    wrong.push("sent past its deadline");
                }
                match self.allowed_placement(observed, now) {
                    None => wrong.push("may have run and must not go out again"),
                    Some((zone, cell)) => {
                        if zone.is_some_and(|z| z != line.zone) || cell.is_some_and(|c| c != line.cell) {
                            wrong.push("repeated outside the group that drops repeats");
                        }
                    }
                }
                if self.leaving.get(server).is_some_and(|at| now > *at + self.settings.drain_grace) {
                    wrong.push("sent to a draining or gone server");
                }
                for text in wrong {
                    self.record(now, format!("{request:?}: {text}"));
                }
                let attempt = ObservedAttempt { at: now, zone: line.zone, cell: line.cell, outcome: None };
                self.requests.get_mut(request).expect("looked up above").attempts.push(attempt);
                self.sends.push_back((now, *server, work));
                self.check_warming_server(now, *server);
            }
            Action::Reject { request, .. } => {
                if self.requests.get(request).is_some_and(|observed| !self.may_reject(observed)) {
                    self.record(now, format!("{request:?}: refused though it may have run"));
                }
                self.finish(now, *request);
            }
            Action::Fail { request } => self.finish(now, *request),
            _ => {}
        }
    }

    fn finish(&mut self, now: Time, request: RequestId) {
        let text = match self.requests.get_mut(&request) {
            None => Some("ended, but nobody asked for it"),
            Some(observed) if observed.is_finished => Some("ended twice"),
            Some(observed) => {
                observed.is_finished = true;
                (now > observed.deadline + GRACE).then_some("ended too late")
            }
        };
        if let Some(text) = text {
            self.record(now, format!("{request:?}: {text}"));
        }
    }

    /// Compares what this balancer sends to a warming server with what it sends to the warm ones: its capacity
    /// fraction, times the overload factor, with a margin for chance, as one balancer draws few.
    fn check_warming_server(&mut self, now: Time, server: ServerId) {
        let window = self.settings.overload_tolerance;
        while self.sends.front().is_some_and(|(at, ..)| *at + window < now) {
            self.sends.pop_front();
        }
        let capacity_fraction = |line: &Endpoint| {
            line.started_at.map_or(1.0, |s| {
                let grown = (now.since(s).as_ms() / self.settings.warm_up_time.as_ms()).min(1.0);
                self.settings.initial_capacity_share + (1.0 - self.settings.initial_capacity_share) * grown
            })
        };
        let own = capacity_fraction(&self.servers[&server]);
        let warm: BTreeSet<ServerId> = self
            .servers
            .values()
            .filter(|l| l.status == Status::Serving && capacity_fraction(l) >= 1.0)
            .map(|l| l.server)
            .collect();
        if warm != self.warm {
            // The fair part has changed: a whole window must pass before sends can be compared with it.
            self.warm = warm.clone();
            self.warm_since = now;
        }
        let settled = now.since(self.warm_since) >= window || self.warm_since == Time(0);
        if own >= 1.0 || warm.is_empty() || !settled {
            return;
        }
        let to_warm = self.sends.iter().filter(|(_, s, _)| warm.contains(s)).map(|s| s.2).sum::<f64>();
        let to_cold = self.sends.iter().filter(|(_, s, _)| *s == server).map(|s| s.2).sum::<f64>();
        // Where warm ones are ejected or full, a warming one keeps its part of what a server of the whole fleet gets.
        let serving = self.servers.values().filter(|l| l.status == Status::Serving).count();
        let all = self.sends.iter().map(|s| s.2).sum::<f64>();
        let fair = (to_warm / warm.len() as f64).max(all / serving as f64);
        if to_cold > 6.0 + self.settings.overload_factor * own * fair {
            self.record(now, format!("{server:?}: cold, sent {to_cold} where a warm one is sent {fair:.1}"));
        }
    }

    /// The number of requests whose final response is overdue.
    pub fn lost(&self, now: Time) -> usize {
        self.requests.values().filter(|r| !r.is_finished && !r.is_bound && now > r.deadline + GRACE).count()
    }

    pub fn forget_finished(&mut self) {
        self.requests.retain(|_, r| !r.is_finished || r.attempts.iter().any(|t| t.outcome.is_none()));
    }
}
