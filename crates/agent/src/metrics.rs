//! The agent's metrics, and the page that shows them to operators in the Prometheus text format 0.0.4.

use crate::gauge::{Gauge, GaugeGuard};
use heronhoist_engine::PoolStats;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// The number of classes that have counters of their own, including classes that no longer exist; later ones share [`OTHERS`].
const MAX_NAMED_CLASSES: usize = 1000;
/// The number of pairs of a pool and a class that have histograms of their own. A pair has three, one for each outcome, of
/// about 1 kB each.
const MAX_NAMED_HISTOGRAMS: usize = 300;
/// The label that classes and pools beyond these limits share.
const OTHERS: &str = "other";
/// The upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0];

/// A counter; it never decreases.
pub struct Counter(IntCounter);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.0.inc();
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With a record server's response.
    Served,
    /// Rejected with the promise that it had no effect.
    Rejected,
    /// Without either: the request may have had an effect.
    Failed,
}

/// The counters of one request class.
pub struct ClassCounters {
    served: Counter,
    rejected: Counter,
    failed: Counter,
    /// Attempts that were written completely to record servers.
    pub attempts: Counter,
}

impl ClassCounters {
    /// Counts a request's final response; called once for each request.
    pub fn record(&self, outcome: Outcome) {
        match outcome {
            Outcome::Served => self.served.increment(),
            Outcome::Rejected => self.rejected.increment(),
            Outcome::Failed => self.failed.increment(),
        }
    }
}

/// The latencies of one class's requests in one pool, by outcome.
pub struct LatencyHistograms([prometheus::Histogram; 3]);

impl LatencyHistograms {
    /// Records a request that ended `latency` after its last byte arrived.
    pub fn record(&self, outcome: Outcome, latency: Duration) {
        self.0[outcome as usize].observe(latency.as_secs_f64());
    }
}

/// All metrics of the agent.
pub struct Metrics {
    registry: Registry,
    by_class: [IntCounterVec; 4],
    latencies: HistogramVec,
    classes: RefCell<BTreeMap<String, Rc<ClassCounters>>>,
    histograms: RefCell<BTreeMap<(String, String), Rc<LatencyHistograms>>>,
    losses: IntCounterVec,
    untranslated: IntCounterVec,
    requests: Gauge,
    gauges: [IntGauge; 3],
    /// Configuration files that were applied at SIGHUP.
    pub reloads_ok: Counter,
    /// Configuration files that were rejected at SIGHUP.
    pub reloads_failed: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new().expect("the metric names are valid and distinct")
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
        let latencies = HistogramOpts::new(
            "app_request_seconds",
            "Time from a request's last byte to its final answer, or to its head if that is passed on as it comes.",
        );
        let latencies =
            HistogramVec::new(latencies.buckets(LATENCY_BUCKETS.to_vec()), &["pool", "class", "outcome"])?;
        registry.register(Box::new(latencies.clone()))?;
        Ok(Metrics {
            by_class: [
                by_class("app_served_total", "Requests answered with a record server's answer.")?,
                by_class("app_refused_total", "Requests refused: trying again is harmless.")?,
                by_class("app_failed_total", "Requests that ended without a promise about their effect.")?,
                by_class("app_attempts_total", "Attempts written whole to record servers.")?,
            ],
            gauges: [
                gauge("app_in_flight", "Requests taken and not ended.")?,
                gauge("app_record_servers_known", "Record servers in the list.")?,
                gauge("app_record_servers_excluded", "Listed record servers that are avoided now.")?,
            ],
            reloads_ok: counter("app_reloads_ok_total", "Configuration files taken at SIGHUP.")?,
            reloads_failed: counter(
                "app_reloads_failed_total",
                "Configuration files turned down at SIGHUP.",
            )?,
            latencies,
            losses,
            untranslated,
            classes: RefCell::default(),
            histograms: RefCell::default(),
            requests: Gauge::default(),
            registry,
        })
    }

    /// Returns the counters of a class; a class that is configured again continues with its old ones.
    pub fn class_counters(&self, name: &str) -> Rc<ClassCounters> {
        let mut classes = self.classes.borrow_mut();
        let full = classes.len() >= MAX_NAMED_CLASSES && !classes.contains_key(name);
        let name = if full { OTHERS } else { name };
        if let Some(counters) = classes.get(name) {
            return Rc::clone(counters);
        }
        let counter = |family: &IntCounterVec| Counter(family.with_label_values(&[name]));
        let [served, rejected, failed, attempts] = &self.by_class;
        let (served, rejected, failed, attempts) =
            (counter(served), counter(rejected), counter(failed), counter(attempts));
        let counters = Rc::new(ClassCounters { served, rejected, failed, attempts });
        classes.insert(name.into(), Rc::clone(&counters));
        counters
    }

    /// Counts values that a translation lost. The number of labels is bounded: mappings are few and named by files.
    pub fn record_losses(&self, mapping: &str, values: usize) {
        if values > 0 {
            self.losses.with_label_values(&[mapping]).inc_by(values as u64);
        }
    }

    /// Counts a message that could not be translated.
    pub fn record_untranslated(&self, mapping: &str) {
        self.untranslated.with_label_values(&[mapping]).inc();
    }

    /// Returns the latency histograms of a class in a pool.
    pub fn latency(&self, pool: &str, class: &str) -> Rc<LatencyHistograms> {
        let mut histograms = self.histograms.borrow_mut();
        let key = (pool.to_string(), class.to_string());
        let full = histograms.len() >= MAX_NAMED_HISTOGRAMS && !histograms.contains_key(&key);
        let key = if full { (OTHERS.to_string(), OTHERS.to_string()) } else { key };
        if let Some(found) = histograms.get(&key) {
            return Rc::clone(found);
        }
        let outcomes = ["served", "refused", "failed"];
        let by_outcome = outcomes.map(|outcome| self.latencies.with_label_values(&[&key.0, &key.1, outcome]));
        let added = Rc::new(LatencyHistograms(by_outcome));
        histograms.insert(key, Rc::clone(&added));
        added
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn track_request(&self) -> GaugeGuard {
        self.requests.increment()
    }

    /// Renders the metrics page.
    pub fn render(&self, stats: &PoolStats) -> String {
        let [in_flight, known, excluded] = &self.gauges;
        in_flight.set(self.requests.count() as i64);
        known.set(stats.listed as i64);
        excluded.set(stats.excluded as i64);
        let mut page = Vec::with_capacity(8192);
        // Encoding fails only for a family without metrics; each family is encoded alone so that the others are still written.
        let families = self.registry.gather();
        for family in families.chunks(1) {
            let _ = TextEncoder::new().encode(family, &mut page);
        }
        String::from_utf8_lossy(&page).into_owned()
    }
}

#[cfg(test)]
mod tests;
