//! Statistics of request classes, and settings changes, which add and retire classes.

use super::concurrency_limit::TARGET_LATENCY_RATIO;
use super::requests::PendingRequest;
use super::Balancer;
use crate::api::{Class, ClassId, Settings, Span, Time};

/// The weight of a new response in a moving average.
const GAIN: f64 = 0.04;
/// The weight of a new response that is slower than the average. It is lower, so that congestion is not taken
/// for the normal state.
const GAIN_SLOWER: f64 = GAIN / 4.0;
/// The weight of a slower response in the minimum latency ratio, which rises slowly in case the network has
/// become slower.
const MIN_RATIO_GAIN: f64 = 0.002;
/// The target latency ratio is this multiple of the minimum latency ratio ...
const TARGET_OVER_MIN: f64 = 2.0;
/// ... but at most this.
const MAX_TARGET_LATENCY_RATIO: f64 = 0.6;
/// The latency ratio that is assumed before any response.
const INITIAL_LATENCY_RATIO: f64 = 0.2;
/// The minimum usual latency, in milliseconds.
const MIN_USUAL_LATENCY_MS: f64 = 0.001;
/// The maximum number of votes for a usual timeout. Each request with another timeout removes one vote. Once
/// there are none, the timeout of the next request becomes the usual one.
const MAX_TIMEOUT_VOTES: u32 = 50;
/// How long a class is kept after new settings have removed it: a request of this class may have been
/// accepted just before.
const RETIRED_CLASS_RETENTION: Span = Span(60_000_000);

/// A class and what is known about its requests.
pub(super) struct ClassState {
    pub(super) class: Class,
    /// Smoothed latency as a fraction of the latency objective, over all servers.
    pub(super) latency_ratio: f64,
    /// The recent minimum of the latency ratio: the round trip and the work itself, without queueing.
    min_latency_ratio: f64,
    pub(super) usual_timeout: UsualTimeout,
    /// When new settings removed the class.
    retired_at: Option<Time>,
}

/// The timeout of clients' first attempts in a class. A request with another timeout is taken for a client's
/// retry, whose timeout is the time that earlier attempts have left.
#[derive(Default)]
pub(super) struct UsualTimeout {
    timeout: Span,
    votes: u32,
}

impl UsualTimeout {
    /// Returns whether a request with this timeout is its client's first attempt, and counts its vote for or
    /// against the usual timeout.
    pub(super) fn is_first_attempt(&mut self, timeout: Span, tolerance: Span) -> bool {
        if self.votes == 0 {
            *self = UsualTimeout { timeout, votes: 1 };
            return true;
        }
        let is_shorter = self.timeout.saturating_sub(timeout) > tolerance;
        let is_longer = timeout.saturating_sub(self.timeout) > tolerance;
        if is_shorter || is_longer {
            self.votes -= 1;
            return false;
        }
        self.votes = (self.votes + 1).min(MAX_TIMEOUT_VOTES);
        true
    }
}

impl ClassState {
    pub(super) fn new(class: Class) -> Self {
        ClassState {
            class,
            latency_ratio: INITIAL_LATENCY_RATIO,
            min_latency_ratio: 1.0,
            usual_timeout: UsualTimeout::default(),
            retired_at: None,
        }
    }

    /// Records the latency ratio of a response; it is at most 1.
    pub(super) fn record_response(&mut self, latency_ratio: f64) {
        move_towards(&mut self.latency_ratio, latency_ratio);
        let risen = self.min_latency_ratio + MIN_RATIO_GAIN * (latency_ratio - self.min_latency_ratio);
        self.min_latency_ratio = risen.min(latency_ratio);
    }

    /// The fraction of the latency objective that a response should take.
    pub(super) fn target_latency_ratio(&self) -> f64 {
        (TARGET_OVER_MIN * self.min_latency_ratio).clamp(TARGET_LATENCY_RATIO, MAX_TARGET_LATENCY_RATIO)
    }

    pub(super) fn usual_latency_ms(&self) -> f64 {
        (self.latency_ratio * self.class.latency_objective.as_ms()).max(MIN_USUAL_LATENCY_MS)
    }

    fn is_retired(&self) -> bool {
        self.retired_at.is_some()
    }

    fn is_long_retired(&self, now: Time) -> bool {
        self.retired_at.is_some_and(|retired_at| now.since(retired_at) > RETIRED_CLASS_RETENTION)
    }
}

/// Moves an average towards a new value, more slowly towards a higher one.
pub(super) fn move_towards(average: &mut f64, value: f64) {
    let gain = if value < *average { GAIN } else { GAIN_SLOWER };
    *average += gain * (value - *average);
}

impl Balancer {
    pub(super) fn class_of(&self, pending: &PendingRequest) -> &ClassState {
        &self.classes[&pending.request.class]
    }

    /// The classes of the current settings.
    pub(super) fn current_classes(&self) -> impl Iterator<Item = &ClassState> {
        self.classes.values().filter(|class| !class.is_retired())
    }

    /// The estimated work of a request: the client's estimate, or else the usual latency of its class.
    pub(super) fn estimated_work_ms(&self, pending: &PendingRequest) -> f64 {
        let usual_latency_ms = || self.class_of(pending).usual_latency_ms();
        pending.request.cost_hint.map_or_else(usual_latency_ms, Span::as_ms)
    }

    /// Applies new settings; invalid ones change nothing. Pending requests keep their class and their maximum
    /// number of attempts. The statistics of servers and of unchanged classes are kept.
    pub(super) fn reconfigure(&mut self, now: Time, settings: Settings, class_ids: Vec<ClassId>) {
        if settings.validate().is_err() || class_ids.len() != settings.classes.len() {
            return;
        }
        for (id, class) in &mut self.classes {
            let is_current = class_ids.contains(id);
            class.retired_at = if is_current { None } else { class.retired_at.or(Some(now)) };
        }
        for (id, class) in class_ids.into_iter().zip(&settings.classes) {
            self.classes.entry(id).or_insert_with(|| ClassState::new(class.clone()));
        }
        self.tenant_usage.set_tenant_count(settings.tenants.len());
        self.settings = Settings { discovery: self.settings.discovery, ..settings };
    }

    /// Drops the classes that were retired long ago and that no request refers to.
    pub(super) fn drop_retired_classes(&mut self, now: Time) {
        let requests = &self.requests;
        self.classes.retain(|&id, class| !class.is_long_retired(now) || requests.refer_to_class(id));
    }
}
