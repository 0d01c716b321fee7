//! An observer that checks the four rules independently of how decisions are made: exactly one final response to each
//! request, in time; no effect happens twice; no new request to a draining or removed server; and no more load for a
//! server that is warming up than its capacity fraction allows.

use heronhoist_decision::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How long after the client's deadline a final response is still accepted.
const GRACE: Span = Span(20_000);

#[derive(Debug, Clone)]
struct ObservedAttempt {
    sent_at: Time,
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
    is_bound_to_stream: bool,
}

/// Observes events and actions and records every violation of a rule.
pub struct Observer {
    pub(super) settings: Settings,
    requests: BTreeMap<RequestId, ObservedRequest>,
    servers: BTreeMap<ServerId, Endpoint>,
    /// Since when each server is draining or removed.
    leaving_since: BTreeMap<ServerId, Time>,
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
            leaving_since: BTreeMap::new(),
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
            Event::Request(request) => {
                let observed = ObservedRequest {
                    class: request.class.0,
                    work: request.cost_hint.map_or(1.0, |hint| hint.as_ms() / 40.0),
                    deadline: now + request.time_left,
                    dialects: request.dialects,
                    attempts: Vec::new(),
                    is_finished: false,
                    is_bound_to_stream: false,
                };
                self.requests.entry(request.id).or_insert(observed);
            }
            Event::AttemptEnded { request, attempt, outcome, is_request_finished, .. } => {
                if let Some(observed) = self.requests.get_mut(request) {
                    if let Some(attempt) = observed.attempts.get_mut(attempt.0 as usize) {
                        attempt.outcome.get_or_insert(*outcome);
                    }
                    observed.is_finished |= *is_request_finished;
                }
            }
            Event::FirstByte { request, .. } => {
                if let Some(observed) = self.requests.get_mut(request) {
                    observed.is_bound_to_stream = true;
                }
            }
            Event::ClientDisconnected { request } => {
                if let Some(observed) = self.requests.get_mut(request) {
                    observed.is_finished = true;
                }
            }
            Event::EndpointList(update) => {
                let (entries, is_complete) = match update {
                    EndpointUpdate::Changes(entries) => (entries, false),
                    EndpointUpdate::Complete(entries) | EndpointUpdate::Saved(entries) => (entries, true),
                    EndpointUpdate::Failed => return,
                };
                let listed: BTreeSet<ServerId> = entries.iter().map(|entry| entry.server).collect();
                if is_complete {
                    for server in self.servers.keys().filter(|server| !listed.contains(server)) {
                        self.leaving_since.entry(*server).or_insert(now);
                    }
                }
                for entry in entries {
                    let previous = self.servers.insert(entry.server, entry.clone());
                    if previous.is_some_and(|previous| previous.started_at != entry.started_at) {
                        // The server has restarted: requests to the old process are no load for the new one.
                        self.sends.retain(|(_, server, _)| *server != entry.server);
                    }
                }
                for server in listed {
                    if self.servers[&server].status == Status::Serving {
                        self.leaving_since.remove(&server);
                    } else {
                        self.leaving_since.entry(server).or_insert(now);
                    }
                }
            }
            Event::Settings { settings, class_ids } => {
                for (id, class) in class_ids.iter().zip(&settings.classes) {
                    let classes = &mut self.settings.classes;
                    classes.resize(classes.len().max(id.0 + 1), Class::default());
                    classes[id.0] = class.clone();
                }
            }
            _ => {}
        }
    }

    /// Returns the zone and cell that a retry is restricted to, or `None` if the request must not be sent at all.
    fn allowed_placement(
        &self,
        observed: &ObservedRequest,
        now: Time,
    ) -> Option<(Option<ZoneId>, Option<CellId>)> {
        let maybe_executed = observed
            .attempts
            .iter()
            .find(|attempt| attempt.outcome.is_none_or(|outcome| !outcome.proves_not_executed()));
        let Some(first) = maybe_executed else { return Some((None, None)) };
        match self.settings.classes[observed.class].effect {
            Effect::Idempotent => Some((None, None)),
            Effect::AtMostOnce => None,
            Effect::Deduplicated { window, .. } if now.since(first.sent_at) > window => None,
            Effect::Deduplicated { scope: DeduplicationScope::All, .. } => Some((None, None)),
            Effect::Deduplicated { scope: DeduplicationScope::Zone, .. } => Some((Some(first.zone), None)),
            Effect::Deduplicated { scope: DeduplicationScope::Cell, .. } => Some((None, Some(first.cell))),
        }
    }

    fn may_reject(&self, observed: &ObservedRequest) -> bool {
        let maybe_executed = observed
            .attempts
            .iter()
            .any(|attempt| attempt.outcome.is_none_or(|outcome| !outcome.proves_not_executed()));
        match self.settings.classes[observed.class].effect {
            Effect::Idempotent => true,
            Effect::AtMostOnce => !maybe_executed,
            Effect::Deduplicated { scope, .. } => !maybe_executed || scope == DeduplicationScope::All,
        }
    }

    pub fn action(&mut self, now: Time, action: &Action) {
        match action {
            Action::Send { request, server, timeout_at, .. } => {
                let Some(endpoint) = self.servers.get(server).cloned() else {
                    return self
                        .record(now, format!("sent to {server:?}, which is not in the endpoint list"));
                };
                let Some(observed) = self.requests.get(request) else {
                    return self.record(now, format!("sent {request:?}, which was never submitted"));
                };
                let work = observed.work;
                let has_attempt_in_flight = observed.attempts.iter().any(|attempt| attempt.outcome.is_none());
                let mut messages = Vec::new();
                if !observed.dialects.contains(endpoint.dialect) {
                    messages.push("sent to a server of another dialect");
                }
                if observed.is_finished {
                    messages.push("sent after its final response");
                }
                if observed.is_bound_to_stream {
                    messages.push("sent although bound to a stream");
                }
                if observed.attempts.len() >= self.settings.max_attempts as usize {
                    messages.push("sent more often than max_attempts allows");
                }
                if has_attempt_in_flight && !self.settings.hedging {
                    messages.push("two attempts in flight without hedging");
                }
                if now > observed.deadline || *timeout_at > observed.deadline {
                    messages.push("sent past its deadline");
                }
                match self.allowed_placement(observed, now) {
                    None => messages.push("sent again although it may have been executed"),
                    Some((zone, cell)) => {
                        if zone.is_some_and(|zone| zone != endpoint.zone)
                            || cell.is_some_and(|cell| cell != endpoint.cell)
                        {
                            messages.push("retried outside its deduplication scope");
                        }
                    }
                }
                if self
                    .leaving_since
                    .get(server)
                    .is_some_and(|since| now > *since + self.settings.drain_grace)
                {
                    messages.push("sent to a draining or removed server");
                }
                for text in messages {
                    self.record(now, format!("{request:?}: {text}"));
                }
                let attempt =
                    ObservedAttempt { sent_at: now, zone: endpoint.zone, cell: endpoint.cell, outcome: None };
                self.requests.get_mut(request).expect("looked up above").attempts.push(attempt);
                self.sends.push_back((now, *server, work));
                self.check_warming_server(now, *server);
            }
            Action::Reject { request, .. } => {
                if self.requests.get(request).is_some_and(|observed| !self.may_reject(observed)) {
                    self.record(now, format!("{request:?}: rejected although it may have been executed"));
                }
                self.finish(now, *request);
            }
            Action::Fail { request } => self.finish(now, *request),
            _ => {}
        }
    }

    fn finish(&mut self, now: Time, request: RequestId) {
        let text = match self.requests.get_mut(&request) {
            None => Some("finished, but it was never submitted"),
            Some(observed) if observed.is_finished => Some("finished twice"),
            Some(observed) => {
                observed.is_finished = true;
                (now > observed.deadline + GRACE).then_some("finished too late")
            }
        };
        if let Some(text) = text {
            self.record(now, format!("{request:?}: {text}"));
        }
    }

    /// Checks that this balancer sends a warming server at most the load of a warm one, times the capacity fraction
    /// and the overload factor, plus a margin for random variation, because one balancer draws few servers.
    fn check_warming_server(&mut self, now: Time, server: ServerId) {
        let window = self.settings.overload_tolerance;
        while self.sends.front().is_some_and(|(sent_at, ..)| *sent_at + window < now) {
            self.sends.pop_front();
        }
        let capacity_fraction = |endpoint: &Endpoint| {
            endpoint.started_at.map_or(1.0, |started_at| {
                let progress = (now.since(started_at).as_ms() / self.settings.warm_up_time.as_ms()).min(1.0);
                self.settings.initial_capacity_share + (1.0 - self.settings.initial_capacity_share) * progress
            })
        };
        let fraction = capacity_fraction(&self.servers[&server]);
        let warm: BTreeSet<ServerId> = self
            .servers
            .values()
            .filter(|endpoint| endpoint.status == Status::Serving && capacity_fraction(endpoint) >= 1.0)
            .map(|endpoint| endpoint.server)
            .collect();
        if warm != self.warm {
            // The fair share has changed. A full window must pass before sends can be compared with it.
            self.warm = warm.clone();
            self.warm_since = now;
        }
        let is_settled = now.since(self.warm_since) >= window || self.warm_since == Time(0);
        if fraction >= 1.0 || warm.is_empty() || !is_settled {
            return;
        }
        let to_warm =
            self.sends.iter().filter(|(_, to, _)| warm.contains(to)).map(|send| send.2).sum::<f64>();
        let to_warming = self.sends.iter().filter(|(_, to, _)| *to == server).map(|send| send.2).sum::<f64>();
        // If warm servers are ejected or full, a warming one may have its share of the average load over the fleet.
        let serving = self.servers.values().filter(|endpoint| endpoint.status == Status::Serving).count();
        let total = self.sends.iter().map(|send| send.2).sum::<f64>();
        let fair_share = (to_warm / warm.len() as f64).max(total / serving as f64);
        if to_warming > 6.0 + self.settings.overload_factor * fraction * fair_share {
            self.record(
                now,
                format!("{server:?}: warming up, sent {to_warming}; a warm one is sent {fair_share:.1}"),
            );
        }
    }

    /// Returns the number of requests whose final response is overdue.
    pub fn lost(&self, now: Time) -> usize {
        self.requests
            .values()
            .filter(|observed| {
                !observed.is_finished && !observed.is_bound_to_stream && now > observed.deadline + GRACE
            })
            .count()
    }

    pub fn forget_finished(&mut self) {
        self.requests.retain(|_, observed| {
            !observed.is_finished || observed.attempts.iter().any(|attempt| attempt.outcome.is_none())
        });
    }
}
