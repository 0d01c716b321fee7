//! Tenants' usage of their quotas.

use super::Balancer;
use crate::api::{Request, TenantId};

/// A tenant is over its quota above this multiple of its quota fraction, as normal usage fluctuates.
const QUOTA_TOLERANCE: f64 = 1.4;
/// The number of recent requests that is always within a tenant's quota.
const MIN_QUOTA: f64 = 1.0;

/// The number of recent requests of each tenant, decayed like [`Demand`](super::Demand).
pub(super) struct TenantUsage {
    requests: Vec<f64>,
}

impl TenantUsage {
    pub(super) fn new(tenants: usize) -> Self {
        TenantUsage { requests: vec![0.0; tenants] }
    }

    /// Resets the counts if the number of tenants has changed, because their identifiers are indices and may
    /// refer to other tenants then.
    pub(super) fn set_tenant_count(&mut self, tenants: usize) {
        if tenants != self.requests.len() {
            *self = TenantUsage::new(tenants);
        }
    }

    /// Multiplies all counts by `decay` and counts a request.
    pub(super) fn record_request(&mut self, tenant: Option<TenantId>, decay: f64) {
        self.requests.iter_mut().for_each(|count| *count *= decay);
        if let Some(count) = tenant.and_then(|tenant| self.requests.get_mut(tenant.0)) {
            *count += 1.0;
        }
    }
}

impl Balancer {
    /// Whether a request counts as over its tenant's quota. If a tenant has more than its quota fraction of
    /// this balancer's traffic, the excess counts as over quota; the requests that make it up are chosen at
    /// random. A balancer sees only its own traffic and takes it as a sample of all traffic.
    pub(super) fn is_over_quota(&mut self, request: &Request) -> bool {
        let known = request.tenant.filter(|tenant| tenant.0 < self.settings.tenants.len());
        let Some(tenant) = known else { return false };
        if self.settings.over_quota_weight >= 1.0 {
            return false;
        }
        let total: f64 = self.tenant_usage.requests.iter().sum();
        let quota = QUOTA_TOLERANCE * self.settings.tenants[tenant.0].quota_fraction * total;
        self.rng.f64() * self.tenant_usage.requests[tenant.0] > quota.max(MIN_QUOTA)
    }
}
