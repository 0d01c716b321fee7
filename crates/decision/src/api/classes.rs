//! Request classes, what retrying a request of a class may do, and tenants.

use super::Span;

/// Whether a request can be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Effect {
    /// Safe to execute any number of times.
    #[default]
    Idempotent,
    /// Carries an idempotency key: the servers of `scope` drop a duplicate within `window` of the first
    /// attempt.
    Deduplicated {
        /// Which servers recognise a duplicate.
        scope: DeduplicationScope,
        /// How long they remember the key.
        window: Span,
    },
    /// Must not be executed twice.
    AtMostOnce,
}

/// The servers that share their idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Whether a request can be executed more than once.
    pub effect: Effect,
    /// A response within this time counts with the whole `priority_weight`; above zero.
    pub latency_objective: Span,
    /// The objective grows by this multiple of the request's own work, up to the deadline.
    pub objective_work_factor: f64,
    /// How long a client waits in total, over all its retries; above zero.
    pub deadline: Span,
    /// The weight of a request that is answered within its latency objective; finite, not negative.
    pub priority_weight: f64,
    /// The fraction of the weight that a response between objective and deadline keeps.
    pub late_weight_share: f64,
    /// The response is a stream, announced by [`Event::FirstByte`](crate::Event::FirstByte).
    pub stream: bool,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            effect: Effect::Idempotent,
            latency_objective: Span::from_ms(500.0),
            objective_work_factor: 0.0,
            deadline: Span::from_ms(1000.0),
            priority_weight: 1.0,
            late_weight_share: 0.0,
            stream: false,
        }
    }
}

/// A tenant with a quota of the service.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Tenant {
    /// Its fraction of the service's traffic; finite, not negative.
    pub quota_fraction: f64,
    /// Requests per second, summed over all balancers, that are within its quota.
    pub quota_per_second: f64,
}
