//! Tenants' use of their quotas.

use super::Balancer;
use crate::api::{Request, TenantId};

/// A tenant is over its quota at this multiple of its fraction: usage fluctuates without anyone flooding.
const QUOTA_TOLERANCE: f64 = 1.4;
/// What a tenant may always have, in recent requests.
const MIN_QUOTA: f64 = 1.0;

/// The recent requests of each tenant, decayed like [`Demand`](super::Demand).
pub(super) struct TenantUsage {
    requests: Vec<f64>,
}

impl TenantUsage {
    pub(super) fn new(tenants: usize) -> Self {
        TenantUsage { requests: vec![0.0; tenants] }
    }

    /// Starts counting anew if the number of tenants has changed, as their numbers mean others then.
    pub(super) fn set_tenant_count(&mut self, tenants: usize) {
        if tenants != self.requests.len() {
            *self = TenantUsage::new(tenants);
        }
    }

    /// Lets the counts decay and counts a request.
    pub(super) fn record_request(&mut self, tenant: Option<TenantId>, decay: f64) {
        self.requests.iter_mut().for_each(|count| *count *= decay);
        if let Some(count) = tenant.and_then(|tenant| self.requests.get_mut(tenant.0)) {
            *count += 1.0;
        }
    }
}

impl Balancer {
    /// Whether a request counts as over its tenant's quota. Of a tenant that takes more than its fraction of
    /// this balancer's traffic, the excess does, by chance. No balancer sees all traffic; its own is its
    /// sample.
    pub(super) fn is_over_quota(&mut self, request: &Request) -> bool {
        let known = request.tenant.filter(|tenant| tenant.0 < self.settings.tenants.len());
        let Some(tenant) = known else { return false };
        if self.settings.over_quota_weight >= 1.0 {
            return false;
        }
        let all: f64 = self.tenant_usage.requests.iter().sum();
        let quota = QUOTA_TOLERANCE * self.settings.tenants[tenant.0].quota_fraction * all;
        self.rng.f64() * self.tenant_usage.requests[tenant.0] > quota.max(MIN_QUOTA)
    }
}
