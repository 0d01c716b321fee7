//! The member's metrics.

use super::Member;
use std::fmt::Write as _;

impl Member {
    /// Returns the metrics in the Prometheus text format.
    pub fn metrics_page(&self) -> String {
        let mut page = String::new();
        let is_lease_held = self.held_incarnation().is_some();
        let incarnation = self.lease_holder.borrow().incarnation();
        let silent_seconds = self.last_response_at.get().elapsed().as_secs_f64();
        let drains = self.drain_counts.get();
        for (name, kind, value) in [
            ("fleet_lease_held", "gauge", f64::from(u8::from(is_lease_held))),
            ("fleet_incarnation", "gauge", incarnation as f64),
            ("fleet_council_silent_seconds", "gauge", silent_seconds),
            ("fleet_servers_drained", "gauge", drains.draining as f64),
            ("fleet_servers_quiet", "gauge", drains.acknowledged as f64),
            ("fleet_renewals_total", "counter", self.renewals.get() as f64),
            ("fleet_call_failures_total", "counter", self.failed_calls.get() as f64),
        ] {
            let _ = writeln!(page, "# TYPE app_{name} {kind}\napp_{name} {value}");
        }
        page
    }
}
