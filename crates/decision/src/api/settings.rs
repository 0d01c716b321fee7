//! The settings of a balancer and their defaults.

use super::{Class, ReportField, ReportSource, Span, Tenant, ZoneId};

/// How endpoint-list updates reach the balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Discovery {
    /// The caller delivers them without being asked.
    #[default]
    Pushed,
    /// The caller delivers them only after [`Action::Subscribe`](crate::Action::Subscribe) or
    /// [`Action::FetchEndpoints`](crate::Action::FetchEndpoints).
    OnRequest,
}

/// What [`Endpoint::weight`](crate::Endpoint::weight) means.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum WeightMeaning {
    /// Nothing: weights carry no information.
    #[default]
    None,
    /// The capacity of the machine, exact or approximate.
    Size,
    /// The capacity of the machine divided by its load, as measured some time ago.
    CapacityPerLoad,
}

/// The weights of the parts of the service's overall score. They need not sum to one.
#[derive(Debug, Clone, PartialEq)]
pub struct ScoreWeights {
    /// Weight of the score over all requests.
    pub overall: f64,
    /// Weight of the score in the worst time window.
    pub worst_window: f64,
    /// Weight of the score of the class with the lowest score.
    pub worst_class: f64,
    /// Weight of the score of the tenant with the lowest score within its quota.
    pub worst_tenant: f64,
}

impl Default for ScoreWeights {
    fn default() -> Self {
        ScoreWeights { overall: 1.0, worst_window: 0.0, worst_class: 0.0, worst_tenant: 0.0 }
    }
}

/// Costs of side effects. Each is the fraction of the score that is lost if every request causes one.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Costs {
    /// An attempt that leaves the balancer's zone.
    pub cross_zone: f64,
    /// A health check.
    pub health_check: f64,
    /// A new connection.
    pub handshake: f64,
    /// An open connection, for each hundred servers.
    pub connection: f64,
    /// Work of a server that led to no response.
    pub wasted_work: f64,
    /// A request that fails after its latency objective has passed.
    pub late_failure: f64,
}

/// The configuration of a balancer.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The number of balancers of this service, including this one.
    pub balancers: u32,
    /// The zone in which this balancer runs.
    pub zone: ZoneId,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The fraction of its priority weight that a request over its tenant's quota earns.
    pub over_quota_weight: f64,
    /// Whether priority weights apply to units of work instead of requests.
    pub weight_by_work: bool,
    /// The weights of the parts of the overall score.
    pub score_weights: ScoreWeights,
    /// The costs of side effects.
    pub costs: Costs,
    /// How endpoint-list updates reach the balancer.
    pub discovery: Discovery,
    /// The longest time between two polls of the endpoint list when there is no subscription.
    pub max_poll_interval: Span,
    /// Which messages of a server carry its load report.
    pub report_source: ReportSource,
    /// The fields of a load report, in order.
    pub report_fields: Vec<ReportField>,
    /// What the weights of the endpoint list mean.
    pub weight_meaning: WeightMeaning,
    /// Whether a server that has recently served a key can serve it again with less work. The balancer does
    /// not use this.
    pub key_affinity: bool,
    /// The maximum number of attempts for one request. Must be at least 1.
    pub max_attempts: u32,
    /// Whether a request may have several attempts in flight (hedged requests).
    pub hedging: bool,
    /// Whether [`Action::Cancel`](crate::Action::Cancel) is allowed.
    pub cancel: bool,
    /// Whether [`Action::HealthCheck`](crate::Action::HealthCheck) is allowed.
    pub health_checks: bool,
    /// Whether [`Action::Gossip`](crate::Action::Gossip) is allowed.
    pub gossip: bool,
    /// Whether [`Action::Reject`](crate::Action::Reject) carries a Retry-After for the client.
    pub retry_after: bool,
    /// The longest Retry-After that clients honour.
    pub max_retry_after: Span,
    /// How long after the update of the endpoint list a draining or removed server may still receive new
    /// attempts.
    pub drain_grace: Span,
    /// The minimum fraction of its capacity that a server has when it starts.
    pub initial_capacity_share: f64,
    /// How long after its start a server has its full capacity.
    pub warm_up_time: Span,
    /// A server that is warming up is overloaded above this multiple of its current capacity.
    pub overload_factor: f64,
    /// How long a server that is warming up tolerates an overload before it fails.
    pub overload_tolerance: Span,
    /// The shortest time between two deliveries of events. Timeouts that differ by no more than this count as
    /// equal.
    pub event_interval: Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            balancers: 1,
            zone: ZoneId(0),
            classes: vec![Class::default()],
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            weight_by_work: false,
            score_weights: ScoreWeights::default(),
            costs: Costs::default(),
            discovery: Discovery::Pushed,
            max_poll_interval: Span::from_ms(10_000.0),
            report_source: ReportSource::None,
            report_fields: Vec::new(),
            weight_meaning: WeightMeaning::None,
            key_affinity: false,
            max_attempts: 3,
            hedging: false,
            cancel: true,
            health_checks: false,
            gossip: false,
            retry_after: false,
            max_retry_after: Span::from_ms(1000.0),
            drain_grace: Span::from_ms(1000.0),
            initial_capacity_share: 0.1,
            warm_up_time: Span::from_ms(20_000.0),
            overload_factor: 2.0,
            overload_tolerance: Span::from_ms(1000.0),
            event_interval: Span::from_ms(1.0),
        }
    }
}
