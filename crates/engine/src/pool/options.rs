//! The options of a pool, and the settings that the engine itself uses.

use crate::endpoint_source::EndpointList;
use crate::quota::QuotaShare;
use crate::request_claims::RequestClaims;
use crate::servers::ServerNames;
use crate::upstream::Upstream;
use heronhoist_decision::{Settings, Span, Time};
use std::rc::Rc;
use std::time::Duration;

/// The options that a pool is created with.
pub struct PoolOptions<U: Upstream> {
    /// The pool's name, for the log.
    pub name: String,
    /// The decision module's settings.
    pub settings: Settings,
    /// The seed of the decision module's random numbers.
    pub seed: u64,
    /// The names of the zones and machine types whose ids the settings contain.
    pub server_names: ServerNames,
    /// The last known endpoint list, which may be outdated.
    pub initial_list: Option<EndpointList<U::Address>>,
    /// Whether the source's versions continue those of the initial list.
    pub continues_versions: bool,
    /// The Unix time at which the pool's clock starts, for simulations; `None` for the system's clock.
    pub epoch: Option<Time>,
    /// The upstream that communicates with the servers.
    pub upstream: U,
    /// The quota share for requests that wait for their response in this pool.
    pub request_quota: Rc<QuotaShare>,
    /// The claims of the ids of requests that may have run.
    pub claims: Rc<dyn RequestClaims>,
}

/// The part of the settings that the engine itself uses.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineSettings {
    /// The maximum number of attempts for one request.
    pub(super) max_attempts: u32,
    /// The grace period after the beginning of a drain in which requests may still be sent to a server.
    pub(super) drain_grace: Duration,
    /// How servers warm up.
    pub(super) slow_start: SlowStart,
}

impl From<&Settings> for EngineSettings {
    fn from(settings: &Settings) -> Self {
        EngineSettings {
            max_attempts: settings.max_attempts,
            drain_grace: settings.drain_grace.into(),
            slow_start: SlowStart {
                warm_up_time: settings.warm_up_time,
                initial_capacity_share: settings.initial_capacity_share,
            },
        }
    }
}

/// The parameters of slow start: how servers warm up after their start.
#[derive(Debug, Clone, Copy)]
pub(super) struct SlowStart {
    warm_up_time: Span,
    initial_capacity_share: f64,
}

impl SlowStart {
    /// Returns the share of its capacity, up to 1, that a server of this age has. It grows linearly.
    pub(super) fn capacity_share(&self, age: Span) -> f64 {
        let initial = self.initial_capacity_share.min(1.0);
        let progress = age.as_ms() / self.warm_up_time.as_ms();
        // With a warm-up time of zero, the progress of a server that has just started is NaN, for which this
        // comparison is false.
        if progress < 1.0 {
            initial + (1.0 - initial) * progress
        } else {
            1.0
        }
    }
}
