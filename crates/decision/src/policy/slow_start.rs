//! Warmth: the share of its capacity that a server surely has since it started.
use super::*;

impl Balancer {
    /// The share of its capacity that a server surely has.
    pub(super) fn warmth(&self, s: &Server, now: Time) -> f64 {
        let Some(started) = s.listed.started_at else { return 1.0 };
        let (age, warm) = (now.since(started).as_ms(), self.settings.warm_up_time.as_ms());
        if age >= warm {
            return 1.0;
        }
        let cold = self.settings.initial_capacity_share.min(1.0);
        cold + (1.0 - cold) * age / warm
    }

    /// The warmth of the warmest server that there is to send to; looks no further than the first warm one.
    pub(super) fn warmest(&self, now: Time) -> f64 {
        let mut warmths = self.serving.iter().map(|&i| self.warmth(&self.servers[i], now));
        warmths
            .try_fold(0.0, |most: f64, w| if w < 1.0 { Ok(most.max(w)) } else { Err(w) })
            .unwrap_or_else(|w| w)
    }

    /// What the servers that there are to send to can do, as a share of what they could if all were warm.
    pub(super) fn mean_warmth(&self, now: Time) -> f64 {
        let all: f64 = self.serving.iter().map(|&i| self.warmth(&self.servers[i], now)).sum();
        all / self.serving.len().max(1) as f64
    }

    pub(super) fn is_cold(&self, now: Time, server: usize) -> bool {
        self.warmth(&self.servers[server], now) < 1.0
    }
}
