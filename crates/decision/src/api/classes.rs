//! Request classes, whether their requests can be retried safely, and tenants.

use super::Span;

/// Whether it is safe to execute a request more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Effect {
    /// The request can be executed any number of times.
    #[default]
    Idempotent,
    /// The request carries an idempotency key: the servers of `scope` drop duplicates that arrive within
    /// `window` after the first attempt.
    Deduplicated {
        /// The servers that recognize a duplicate.
        scope: DeduplicationScope,
        /// How long these servers remember the key.
        window: Span,
    },
    /// The request must not be executed twice.
    AtMostOnce,
}

/// The set of servers that recognize each other's idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// The servers of the same zone.
    Zone,
    /// The servers of the same cell.
    Cell,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Whether it is safe to execute a request more than once.
    pub effect: Effect,
    /// A response within this time earns the full `priority_weight`. Must be greater than zero.
    pub latency_objective: Span,
    /// The latency objective is extended by this multiple of the request's own work, up to the deadline.
    pub objective_work_factor: f64,
    /// How long a client waits in total, including all its retries. Must be greater than zero.
    pub deadline: Span,
    /// The weight of a response within the latency objective. Must be finite and not negative.
    pub priority_weight: f64,
    /// The fraction of `priority_weight` that a response between objective and deadline earns.
    pub late_weight_share: f64,
    /// Whether the response is a stream, announced by [`Event::FirstByte`](crate::Event::FirstByte).
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

/// A tenant and its quota.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Tenant {
    /// The fraction of the service's traffic that is within its quota. Must be finite and not negative.
    pub quota_fraction: f64,
    /// The requests per second, summed over all balancers, that are within its quota.
    pub quota_per_second: f64,
}
