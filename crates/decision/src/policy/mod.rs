//! Every decision of the balancer. Its interface (settings, events, actions) is in `src/api`.
//!
//! A request is admitted (`admission`), sent to a server (`selection`, among `candidates`) or queued
//! (`queue`), and possibly retried (`retry`, within `retry_rules`). The outcomes of its attempts (`outcomes`)
//! update the statistics of its class and server, the `concurrency_limit` and `outlier_detection`.
//! `endpoints` keeps the endpoint list.
mod admission;
mod candidates;
mod class_stats;
mod concurrency_limit;
mod demand;
mod endpoints;
mod fleet_size;
mod load_reports;
mod machine_types;
mod outcomes;
mod outlier_detection;
mod queue;
mod recovery;
mod requests;
mod resubscription;
mod retry;
mod retry_rules;
mod selection;
mod slow_start;
mod subsetting;
mod tenant_quota;

use crate::api::{
    Action, ClassId, Discovery, EndpointUpdate, Event, Settings, SettingsError, Span, Time, TimerId,
};
use class_stats::ClassState;
use demand::Demand;
use endpoints::{EndpointTable, ServerSlot};
use machine_types::MachineTypes;
use outcomes::AttemptResult;
use outlier_detection::OutlierDetection;
use queue::RequestQueue;
use requests::{AttemptKey, Requests};
use resubscription::Resubscription;
use retry::TokenBucket;
use std::collections::BTreeMap;
use subsetting::Subset;
use tenant_quota::TenantUsage;

/// Interval of the periodic work while requests are queued.
const TICK_INTERVAL_QUEUED: Span = Span(10_000);
/// Interval of the periodic work while no request is queued.
const TICK_INTERVAL: Span = Span(50_000);
/// The only timer that the balancer sets.
const TICK: TimerId = TimerId(0);

/// Decides for one client process to which server, when and how often each request is sent.
pub struct Balancer {
    settings: Settings,
    /// The only source of randomness. The order of draws is part of the balancer's behaviour.
    rng: fastrand::Rng,
    endpoints: EndpointTable,
    resubscription: Resubscription,
    subset: Subset,
    /// The servers that were selected most recently, the latest first.
    remembered: Vec<ServerSlot>,
    outliers: OutlierDetection,
    requests: Requests,
    queue: RequestQueue,
    /// The classes of the current settings, and earlier classes that requests may still name.
    classes: BTreeMap<ClassId, ClassState>,
    tenant_usage: TenantUsage,
    demand: Demand,
    retry_budget: TokenBucket,
    machine_types: MachineTypes,
    next_tick_at: Time,
}

impl Balancer {
    /// Creates a balancer. Equal settings, seeds and events give equal actions.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are invalid; see [`Settings::validate`].
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let classes = settings.classes.iter().cloned().map(ClassState::new);
        Ok(Balancer {
            rng: fastrand::Rng::with_seed(seed),
            endpoints: EndpointTable::default(),
            resubscription: Resubscription::default(),
            subset: Subset::default(),
            remembered: Vec::new(),
            outliers: OutlierDetection::default(),
            requests: Requests::default(),
            queue: RequestQueue::default(),
            classes: (0..).map(ClassId).zip(classes).collect(),
            tenant_usage: TenantUsage::new(settings.tenants.len()),
            demand: Demand::default(),
            retry_budget: TokenBucket::default(),
            machine_types: MachineTypes::default(),
            next_tick_at: Time::default(),
            settings,
        })
    }

    /// Starts the periodic work and, if needed, the subscription. Must be called once, before the first
    /// event. Appends the actions to carry out to `actions`.
    pub fn start(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.settings.discovery == Discovery::OnRequest {
            actions.push(Action::Subscribe { active: true });
        }
        self.set_tick(now, TICK_INTERVAL, actions);
    }

    /// Handles an event that has happened at `now` and appends the actions to carry out to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request(request) => self.admit(now, request, actions),
            Event::FirstByte { request, attempt } => self.requests.bind_to_stream(request, attempt),
            Event::ResponseBegun { request, attempt } => {
                self.response_begun(now, AttemptKey { request, attempt });
            }
            Event::ResponseStalled { request, attempt, is_body_consumed } => {
                self.requests.record_body_consumed(request, is_body_consumed);
                self.response_begun(now, AttemptKey { request, attempt });
                self.hedge(now, request, actions);
            }
            Event::RequestComplete { request, time_left } => self.request_complete(now, request, time_left),
            Event::AttemptEnded {
                request,
                attempt,
                outcome,
                elapsed,
                report,
                is_request_finished,
                is_body_consumed,
            } => {
                self.requests.record_body_consumed(request, is_body_consumed);
                let key = AttemptKey { request, attempt };
                let result = AttemptResult { outcome, elapsed, report: report.as_deref() };
                self.attempt_ended(now, key, result, is_request_finished, actions);
            }
            Event::ClientDisconnected { request } => {
                self.requests.pending.remove(&request);
            }
            Event::Timer(TICK) => self.tick(now, actions),
            Event::Timer(_) | Event::Gossip { .. } => {}
            Event::HealthCheckResult { server, outcome, elapsed, report } => {
                let Some(server) = self.endpoints.slot_of(server) else { return };
                let result = AttemptResult { outcome, elapsed, report: report.as_deref() };
                self.health_check_ended(now, server, result);
            }
            Event::EndpointList(update) => self.update_endpoints(now, update, actions),
            Event::Settings { settings, class_ids } => self.reconfigure(now, *settings, class_ids),
        }
    }

    fn set_tick(&mut self, now: Time, after: Span, actions: &mut Vec<Action>) {
        self.next_tick_at = now + after;
        actions.push(Action::SetTimer { at: self.next_tick_at, timer: TICK });
    }

    /// Does the periodic work. Timers cannot be cancelled, so a timer that has been replaced by a later one
    /// still fires; it is ignored.
    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now < self.next_tick_at {
            return;
        }
        if self.resubscription.take_due(now) {
            actions.push(Action::Subscribe { active: true });
        }
        self.drop_removed_endpoints(now);
        self.drop_retired_classes(now);
        self.eject_unresponsive(now, actions);
        self.send_health_checks(now, actions);
        self.refresh_subset(now);
        self.dispatch_queued(now, actions);
        let interval = if self.queue.is_empty() { TICK_INTERVAL } else { TICK_INTERVAL_QUEUED };
        self.set_tick(now, interval, actions);
    }

    fn update_endpoints(&mut self, now: Time, update: EndpointUpdate, actions: &mut Vec<Action>) {
        let (entries, is_complete) = match update {
            EndpointUpdate::Failed => {
                self.resubscription.schedule(now, self.rng.f64(), self.settings.max_poll_interval);
                return;
            }
            EndpointUpdate::Changes(entries) => (entries, false),
            EndpointUpdate::Complete(entries) | EndpointUpdate::Saved(entries) => (entries, true),
        };
        self.resubscription.reset();
        self.endpoints.apply(now, entries, is_complete);
        self.subset.invalidate_ranking();
        let endpoints = &self.endpoints;
        self.remembered.retain(|&server| endpoints[server].is_serving());
        self.refresh_subset(now);
        self.dispatch_queued(now, actions);
    }
}
