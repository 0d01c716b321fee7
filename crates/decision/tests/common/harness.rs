//! A test harness around a balancer.

use super::observer::Observer;
use super::target_in;
use heronhoist_decision::*;
use std::collections::BTreeSet;

/// A balancer with an observer and a clock that the test advances.
pub struct Harness {
    pub balancer: Balancer,
    pub observer: Observer,
    pub now: Time,
    pub actions: Vec<Action>,
    timers: BTreeSet<(Time, TimerId)>,
    next_id: u64,
}

impl Harness {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let observer = Observer::new(&settings);
        let balancer = Balancer::new(settings, seed).expect("usable settings");
        let mut harness = Harness {
            balancer,
            observer,
            now: Time::from_ms(50_000.0),
            actions: Vec::new(),
            timers: BTreeSet::new(),
            next_id: 0,
        };
        let mut actions = Vec::new();
        harness.balancer.start(harness.now, &mut actions);
        harness.observe_actions(actions);
        harness
    }

    fn observe_actions(&mut self, actions: Vec<Action>) {
        for action in &actions {
            self.observer.action(self.now, action);
            if let Action::SetTimer { at, timer } = action {
                self.timers.insert((*at, *timer));
            }
        }
        self.actions = actions;
    }

    /// Passes an event to the balancer. Its actions are in `actions` afterwards.
    pub fn notify(&mut self, event: Event) -> &[Action] {
        self.observer.event(self.now, &event);
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.observe_actions(actions);
        &self.actions
    }

    /// Advances the clock and fires the timers that are due. Returns all their actions.
    pub fn advance(&mut self, span: Span) -> Vec<Action> {
        let end = self.now + span;
        let mut all = Vec::new();
        while let Some(&(at, timer)) = self.timers.iter().next().filter(|(at, _)| *at <= end) {
            self.timers.remove(&(at, timer));
            self.now = self.now.max(at);
            all.extend_from_slice(self.notify(Event::Timer(timer)));
        }
        self.now = end;
        all
    }

    pub fn set_endpoints(&mut self, endpoints: Vec<Endpoint>) {
        self.notify(Event::EndpointList(EndpointUpdate::Complete(endpoints)));
    }

    /// Submits a new request of a class. Returns its identifier and the server that it was sent to, if any.
    pub fn submit(&mut self, class: usize) -> (RequestId, Option<ServerId>) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let time_left = self.observer.settings.classes[class].deadline;
        self.notify(Event::Request(Request::new(id, ClassId(class), time_left)));
        (id, self.target_of(id))
    }

    /// Submits a request of class 0 and ends its attempt with success after `ms` milliseconds. Returns the server
    /// that it was sent to, if it was sent within that time.
    pub fn submit_and_answer(&mut self, ms: f64) -> Option<ServerId> {
        let (id, server) = self.submit(0);
        let server = server.or(target_in(&self.advance(Span::from_ms(ms)), id));
        if server.is_some() {
            self.end_attempt(id, 0, Outcome::Success, ms);
        }
        server
    }

    /// Returns the server to which the last actions sent a request.
    pub fn target_of(&self, id: RequestId) -> Option<ServerId> {
        target_in(&self.actions, id)
    }

    pub fn end_attempt(&mut self, id: RequestId, attempt: u32, outcome: Outcome, ms: f64) -> &[Action] {
        self.end_attempt_with_report(id, attempt, outcome, ms, None)
    }

    pub fn end_attempt_with_report(
        &mut self,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        ms: f64,
        report: Option<Vec<f64>>,
    ) -> &[Action] {
        self.notify(Event::AttemptEnded {
            request,
            attempt: AttemptNumber(attempt),
            outcome,
            elapsed: Span::from_ms(ms),
            report,
            is_request_finished: outcome == Outcome::Success,
            is_body_consumed: false,
        })
    }

    pub fn assert_no_violation(&self) {
        assert!(self.observer.violations.is_empty(), "{:#?}", self.observer.violations);
        assert_eq!(self.observer.lost(self.now), 0, "requests without a final response");
    }
}
