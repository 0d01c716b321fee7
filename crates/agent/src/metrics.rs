//! What the agent counts, and the page on which operators read it, in the Prometheus text format 0.0.4.

use crate::gauge::{Gauge, GaugeGuard};
use heronhoist_engine::PoolStats;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Classes that are counted under their own name, those that have vanished among them; later ones share [`OTHERS`].
const CLASSES_MOST: usize = 1000;
/// Pairs of a pool and a class whose times are kept under their own names; each has three outcomes, and each of those
/// about 1 kB.
const TIMED_MOST: usize = 300;
const OTHERS: &str = "other";
/// The upper bounds of the buckets for times, in seconds.
const BUCKETS: [f64; 12] = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0];

/// A figure that only grows.
pub struct Counter(IntCounter);

impl Counter {
    /// One more.
    pub fn increment(&self) {
        self.0.inc();
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With a record server's answer.
    Served,
    /// Rejected with the promise that it had no effect.
    Rejected,
    /// In any other way.
    Failed,
}

/// The counters of one request class.
pub struct ClassCounters {
    served: Counter,
    refused: Counter,
    failed: Counter,
    /// Attempts written whole to record servers.
    pub attempts: Counter,
}

impl ClassCounters {
    /// The one point where a request's final answer is counted.
    pub fn record(&self, outcome: Outcome) {
        match outcome {
            Outcome::Served => self.served.increment(),
            Outcome::Rejected => self.refused.increment(),
            Outcome::Failed => self.failed.increment(),
        }
    }
}

/// The times of one class's requests in one pool, by outcome.
pub struct LatencyHistograms([prometheus::Histogram; 3]);

impl LatencyHistograms {
    /// A request has ended so long after its last byte came.
    pub fn record(&self, outcome: Outcome, took: Duration) {
        self.0[outcome as usize].observe(took.as_secs_f64());
    }
}

/// All counters of the agent.
pub struct Metrics {
    registry: Registry,
    by_class: [IntCounterVec; 4],
    times: HistogramVec,
    classes: RefCell<BTreeMap<String, Rc<ClassCounters>>>,
    timed: RefCell<BTreeMap<(String, String), Rc<LatencyHistograms>>>,
    losses: IntCounterVec,
    untranslated: IntCounterVec,
    taken: Gauge,
    levels: [IntGauge; 3],
    /// Configuration files taken at a signal.
    pub reloads_ok: Counter,
    /// And those turned down.
    pub reloads_failed: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new().expect("the names of the figures are legal and differ")
    }
}

impl Metrics {
    fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let family = |name, help, label| {
            let family = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(family.clone())).map(|()| family)
        };
        let by_class = |name, help| family(name, help, "class");
        let by_mapping = |name, help| family(name, help, "mapping");
        let gauge = |name, help| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone())).map(|()| gauge)
        };
        let counter = |name, help| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone())).map(|()| Counter(counter))
        };
        let losses = by_mapping(
            "app_translation_losses_total",
            "Values dropped, rounded, cut or replaced, as the mapping allows; each was told to its client.",
        )?;
        let untranslated =
            by_mapping("app_translation_failed_total", "Requests and answers without a counterpart.")?;
        let times = HistogramOpts::new(
            "app_request_seconds",
            "Time from a request's last byte to its final answer, or to its head if that is passed on as it comes.",
        );
        let times = HistogramVec::new(times.buckets(BUCKETS.to_vec()), &["pool", "class", "outcome"])?;
        registry.register(Box::new(times.clone()))?;
        Ok(Metrics {
            by_class: [
                by_class("app_served_total", "Requests answered with a record server's answer.")?,
                by_class("app_refused_total", "Requests refused: trying again is harmless.")?,
                by_class("app_failed_total", "Requests that ended without a promise about their effect.")?,
                by_class("app_attempts_total", "Attempts written whole to record servers.")?,
            ],
            levels: [
                gauge("app_in_flight", "Requests taken and not ended.")?,
                gauge("app_record_servers_known", "Record servers in the list.")?,
                gauge("app_record_servers_excluded", "Listed record servers that are avoided now.")?,
            ],
            reloads_ok: counter("app_reloads_ok_total", "Configuration files taken at SIGHUP.")?,
            reloads_failed: counter(
                "app_reloads_failed_total",
                "Configuration files turned down at SIGHUP.",
            )?,
            times,
            losses,
            untranslated,
            classes: RefCell::default(),
            timed: RefCell::default(),
            taken: Gauge::default(),
            registry,
        })
    }

    /// The counters of a class; one that comes back after it had vanished goes on with its old ones.
    pub fn class_counters(&self, name: &str) -> Rc<ClassCounters> {
        let mut classes = self.classes.borrow_mut();
        let full = classes.len() >= CLASSES_MOST && !classes.contains_key(name);
        let name = if full { OTHERS } else { name };
        if let Some(counters) = classes.get(name) {
            return Rc::clone(counters);
        }
        let of = |family: &IntCounterVec| Counter(family.with_label_values(&[name]));
        let [served, refused, failed, attempts] = &self.by_class;
        let (served, refused, failed, attempts) = (of(served), of(refused), of(failed), of(attempts));
        let counters = Rc::new(ClassCounters { served, refused, failed, attempts });
        classes.insert(name.into(), Rc::clone(&counters));
        counters
    }

    /// Values were lost in a translation; mappings are few, and named by a file.
    pub fn record_losses(&self, mapping: &str, values: usize) {
        if values > 0 {
            self.losses.with_label_values(&[mapping]).inc_by(values as u64);
        }
    }

    /// A message had no counterpart.
    pub fn record_untranslated(&self, mapping: &str) {
        self.untranslated.with_label_values(&[mapping]).inc();
    }

    /// The times of a class's requests in a pool.
    pub fn latency(&self, pool: &str, class: &str) -> Rc<LatencyHistograms> {
        let mut timed = self.timed.borrow_mut();
        let key = (pool.to_string(), class.to_string());
        let full = timed.len() >= TIMED_MOST && !timed.contains_key(&key);
        let key = if full { (OTHERS.to_string(), OTHERS.to_string()) } else { key };
        if let Some(times) = timed.get(&key) {
            return Rc::clone(times);
        }
        let outcomes = ["served", "refused", "failed"];
        let times = outcomes.map(|outcome| self.times.with_label_values(&[&key.0, &key.1, outcome]));
        let times = Rc::new(LatencyHistograms(times));
        timed.insert(key, Rc::clone(&times));
        times
    }

    /// Counts a request as taken and not ended until the ticket is dropped.
    pub fn track_request(&self) -> GaugeGuard {
        self.taken.increment()
    }

    /// The page.
    pub fn render(&self, now: &PoolStats) -> String {
        let [in_flight, known, excluded] = &self.levels;
        in_flight.set(self.taken.count() as i64);
        known.set(now.listed as i64);
        excluded.set(now.excluded as i64);
        let mut page = Vec::with_capacity(8192);
        // It can only fail where a family has no figure, and the others are written all the same.
        let families = self.registry.gather();
        for family in families.chunks(1) {
            let _ = TextEncoder::new().encode(family, &mut page);
        }
        String::from_utf8_lossy(&page).into_owned()
    }
}

#[cfg(test)]
mod tests;
