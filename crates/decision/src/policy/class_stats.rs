//! Accounts of classes, tenants and kinds of machine: usual answer times, traffic and shares.
use super::*;

/// Weight of a new answer in its class's pace; a slower one counts a quarter.
const CLASS_GAIN: f64 = 0.04;
/// The share of its aim that an answer should take: over it a server's limit shrinks, under it it grows.
pub(super) const TARGET: f64 = 0.25;
const TARGET_MOST: f64 = 0.6;
/// How fast the least answer time gives way to slower ones: a network may have become slower.
pub(super) const LEAST_GAIN: f64 = 0.002;
/// Traffic is counted over about this many milliseconds, and over no less than the second.
pub(super) const COUNT_MS: f64 = 3000.0;
const COUNT_LEAST_MS: f64 = 500.0;
/// Of the aims that come in, the share that is usually out.
const OUT_SHARE: f64 = 0.2;
/// A tenant is over its share at this multiple of its fraction; usage wobbles without anyone flooding.
const SHARE_SLACK: f64 = 1.4;
/// A class that new settings leave out is known for this long: a request may have been taken just before.
const RETIRED_KEPT: Span = Span(60_000_000);

/// A class and what is known of its requests.
pub(super) struct Known {
    pub(super) class: Class,
    /// Answer time as a share of the aim, over all servers, leaning to the quick ones, so that a crowd does
    /// not pass for the usual state.
    pub(super) pace: f64,
    /// The least share of late: the way there and back and the work itself, with nobody else about.
    pub(super) least: f64,
    /// The wait that most requests come with, that of a first try, and the votes for it.
    pub(super) usual_wait: (Span, u32),
    /// When new settings left it out.
    pub(super) retired_at: Option<Time>,
}

impl Known {
    pub(super) fn new(class: Class) -> Self {
        Known { class, pace: 0.2, least: 1.0, usual_wait: (Span::ZERO, 0), retired_at: None }
    }

    /// The share of its aim that an answer should take: twice the least that it takes, if the aim is tight.
    pub(super) fn target(&self) -> f64 {
        (2.0 * self.least).clamp(TARGET, TARGET_MOST)
    }

    /// The usual answer time in milliseconds.
    pub(super) fn usual(&self) -> f64 {
        (self.pace * self.class.latency_objective.as_ms()).max(0.001)
    }
}

impl Balancer {
    /// New settings: those that no decision can be made with change nothing. A request under way keeps its
    /// class and its attempts; what was learned of servers, and of classes that go on, stands.
    pub(super) fn reconfigure(&mut self, now: Time, settings: Settings, ids: Vec<ClassId>) {
        if settings.validate().is_err() || ids.len() != settings.classes.len() {
            return;
        }
        for (id, known) in &mut self.classes {
            known.retired_at = if ids.contains(id) { None } else { known.retired_at.or(Some(now)) };
        }
        for (id, class) in ids.into_iter().zip(&settings.classes) {
            self.classes.entry(id).or_insert_with(|| Known::new(class.clone()));
        }
        if settings.tenants.len() != self.tenant_asked.len() {
            self.tenant_asked = vec![0.0; settings.tenants.len()];
        }
        self.settings = Settings { discovery: self.settings.discovery, ..settings };
    }

    /// Drops the classes that were left out long ago and that nothing under way names.
    pub(super) fn forget_classes(&mut self, now: Time) {
        let (live, flights) = (&self.live, &self.flights);
        let named = |id: ClassId| {
            live.values().any(|l| l.request.class == id) || flights.values().any(|f| f.class == id)
        };
        let over = |known: &Known| known.retired_at.is_some_and(|at| now.since(at) > RETIRED_KEPT);
        self.classes.retain(|&id, known| !over(known) || named(id));
    }

    /// Keeps the traffic of the last seconds by tenant.
    pub(super) fn count(&mut self, now: Time, request: &Request, aim: f64) {
        let passed = if self.wanted == 0.0 { 0.0 } else { now.since(self.counted_at).as_ms() };
        let keep = (-passed / COUNT_MS).exp();
        self.counted_at = now;
        (self.wanted, self.counted) = (self.wanted * keep + aim, self.counted + passed);
        self.answered *= keep;
        self.tenant_asked.iter_mut().for_each(|n| *n *= keep);
        if let Some(n) = request.tenant.and_then(|t| self.tenant_asked.get_mut(t.0)) {
            *n += 1.0;
        }
    }

    /// Little's law: so many requests are out where each takes its part of the aim.
    pub(super) fn usual_out(&self) -> f64 {
        let window = COUNT_MS * (1.0 - (-self.counted.max(COUNT_LEAST_MS) / COUNT_MS).exp());
        OUT_SHARE * self.wanted / window
    }

    /// The share of what came in lately that has been answered; all of it while little has been seen.
    pub(super) fn served_share(&self) -> f64 {
        if self.counted < COUNT_MS {
            1.0
        } else {
            (self.answered / self.wanted).min(1.0)
        }
    }

    /// Of a tenant that takes more than its fraction of this balancer's traffic, the excess is over share.
    /// No balancer sees the whole; its own traffic is the sample that it has.
    pub(super) fn over_share(&mut self, request: &Request) -> bool {
        let Some(tenant) = request.tenant.filter(|t| t.0 < self.settings.tenants.len()) else { return false };
        let all: f64 = self.tenant_asked.iter().sum();
        let fair = SHARE_SLACK * self.settings.tenants[tenant.0].quota_fraction * all;
        self.settings.over_quota_weight < 1.0 && self.rng.f64() * self.tenant_asked[tenant.0] > fair.max(1.0)
    }

    /// The classes that new requests may name.
    pub(super) fn current(&self) -> impl Iterator<Item = &Known> {
        self.classes.values().filter(|known| known.retired_at.is_none())
    }

    /// A guess at a request's work: the hint, else the usual answer time of its class.
    pub(super) fn work(&self, live: &Live) -> f64 {
        live.request.cost_hint.map_or_else(|| self.classes[&live.request.class].usual(), Span::as_ms)
    }
}

/// Moves a figure towards a new one, a quarter as fast if that is slower: a crowd must not pass for usual.
pub(super) fn lean(figure: &mut f64, new: f64) {
    let gain = if new < *figure { CLASS_GAIN } else { CLASS_GAIN / 4.0 };
    *figure += gain * (new - *figure);
}
