//! What a pool is made from, and what it needs itself of the decision module's settings.

use crate::endpoint_source::EndpointList;
use crate::quota::QuotaShare;
use crate::servers::ServerNames;
use crate::upstream::Upstream;
use heronhoist_decision::{Settings, Span, Time};
use std::rc::Rc;
use std::time::Duration;

/// What a pool is made from.
pub struct PoolOptions<U: Upstream> {
    /// The pool's name, for the log.
    pub name: String,
    /// The decision module's settings.
    pub settings: Settings,
    /// The seed of the decision module's draws.
    pub seed: u64,
    /// What the settings' numbers of zones and machine types mean.
    pub server_names: ServerNames,
    /// The endpoint list as it was last known; it may be old.
    pub initial_list: Option<EndpointList<U::Address>>,
    /// Whether the source's versions continue that list's.
    pub continues_versions: bool,
    /// The Unix time at which the pool begins, for a simulation; `None` for the system's clock.
    pub epoch: Option<Time>,
    /// Speaks to the servers.
    pub upstream: U,
    /// How many requests may wait for their response in this pool.
    pub request_quota: Rc<QuotaShare>,
}

/// What the engine itself needs of the settings.
#[derive(Debug, Clone, Copy)]
pub(super) struct SettingsInForce {
    /// The most attempts of one request.
    pub(super) max_attempts: u32,
    /// How long after the beginning of a drain something may still be sent to a server.
    pub(super) drain_grace: Duration,
    /// How servers warm up.
    pub(super) slow_start: SlowStart,
}

impl From<&Settings> for SettingsInForce {
    fn from(settings: &Settings) -> Self {
        SettingsInForce {
            max_attempts: settings.max_attempts,
            drain_grace: settings.drain_grace.into(),
            slow_start: SlowStart {
                warm_up_time: settings.warm_up_time,
                initial_capacity_share: settings.initial_capacity_share,
            },
        }
    }
}

/// How servers warm up after their start.
#[derive(Debug, Clone, Copy)]
pub(super) struct SlowStart {
    warm_up_time: Span,
    initial_capacity_share: f64,
}

impl SlowStart {
    /// The share of its capacity, up to 1, that a server has which started so long ago. It grows linearly.
    pub(super) fn capacity_share(&self, age: Span) -> f64 {
        let initial = self.initial_capacity_share.min(1.0);
        let progress = age.as_ms() / self.warm_up_time.as_ms();
        // In this order, because without a warm-up time the progress of a server that has just started is not a number.
        if progress < 1.0 {
            initial + (1.0 - initial) * progress
        } else {
            1.0
        }
    }
}
