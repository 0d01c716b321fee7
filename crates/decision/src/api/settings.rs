//! The settings of a balancer and their defaults.

use super::{Class, ReportField, ReportSource, Span, Tenant, ZoneId};

/// How endpoint-list updates reach the balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Discovery {
    /// The caller delivers them unasked.
    #[default]
    Pushed,
    /// Only after [`Action::Subscribe`](crate::Action::Subscribe) or
    /// [`Action::FetchEndpoints`](crate::Action::FetchEndpoints).
    OnRequest,
}

/// What [`Endpoint::weight`](crate::Endpoint::weight) means.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum WeightMeaning {
    /// Weights carry no information.
    #[default]
    None,
    /// The capacity of the machine, exactly or roughly.
    Size,
    /// The capacity divided by a load that was measured a while ago.
    CapacityPerLoad,
}

/// How the service weighs the parts of its overall score; the weights need not sum to one.
#[derive(Debug, Clone, PartialEq)]
pub struct ScoreWeights {
    /// Weight of all requests together.
    pub overall: f64,
    /// Weight of the worst time window.
    pub worst_window: f64,
    /// Weight of the class that is served worst.
    pub worst_class: f64,
    /// Weight of the tenant that is served worst within its quota.
    pub worst_tenant: f64,
}

impl Default for ScoreWeights {
    fn default() -> Self {
        ScoreWeights { overall: 1.0, worst_window: 0.0, worst_class: 0.0, worst_tenant: 0.0 }
    }
}

/// Costs of side effects, each as the fraction of the score lost if every request caused one.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Costs {
    /// An attempt that leaves the balancer's zone.
    pub cross_zone: f64,
    /// A health check.
    pub health_check: f64,
    /// A new connection.
    pub handshake: f64,
    /// An open connection, per hundred servers.
    pub connection: f64,
    /// Server work that led to no response.
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
    /// The fraction of its priority weight that a request over its tenant's quota keeps.
    pub over_quota_weight: f64,
    /// Priority weights apply to units of work instead of requests.
    pub weight_by_work: bool,
    /// How the overall score is weighed.
    pub score_weights: ScoreWeights,
    /// What side effects cost.
    pub costs: Costs,
    /// How endpoint-list updates arrive.
    pub discovery: Discovery,
    /// Without a subscription the endpoint list must be polled at least this often.
    pub poll_within: Span,
    /// Where load reports come from.
    pub report_source: ReportSource,
    /// The fields of a load report, in order.
    pub report_fields: Vec<ReportField>,
    /// What the weights of the endpoint list mean.
    pub weight_meaning: WeightMeaning,
    /// A server that has recently served a key serves it again with less work. The balancer makes no use of
    /// this.
    pub key_affinity: bool,
    /// The maximum number of attempts for one request; at least 1.
    pub max_attempts: u32,
    /// A request may have several attempts in flight (hedged requests).
    pub hedging: bool,
    /// [`Action::Cancel`](crate::Action::Cancel) is allowed.
    pub cancel: bool,
    /// [`Action::HealthCheck`](crate::Action::HealthCheck) is allowed.
    pub health_checks: bool,
    /// [`Action::Gossip`](crate::Action::Gossip) is allowed.
    pub gossip: bool,
    /// Rejections carry a Retry-After for the client, in [`Action::Reject`](crate::Action::Reject).
    pub retry_after: bool,
    /// The longest Retry-After that clients honour.
    pub max_retry_after: Span,
    /// How long after the update a draining or removed server may still receive new attempts.
    pub drain_grace: Span,
    /// The fraction of its capacity, at least, with which a server starts.
    pub initial_capacity_share: f64,
    /// How long after its start a server reaches its full capacity.
    pub warm_up_time: Span,
    /// The multiple of its present capacity above which a server that is warming up is overloaded.
    pub overload_factor: f64,
    /// How long a server that is warming up withstands an overload before it fails.
    pub overload_tolerance: Span,
    /// The least time between two deliveries of events; timeouts that differ by no more count as equal.
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
            poll_within: Span::from_ms(10_000.0),
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
