//! The member's figures for the operators' page.

use super::Member;
use std::fmt::Write as _;

impl Member {
    /// Figures for the operators' page.
    pub fn figures(&self) -> String {
        let mut page = String::new();
        let holder = self.holder.borrow();
        let silent = self.answered.get().elapsed().as_secs_f64();
        for (name, kind, value) in [
            ("fleet_lease_held", "gauge", f64::from(u8::from(holder.held_incarnation(self.now()).is_some()))),
            ("fleet_incarnation", "gauge", holder.incarnation() as f64),
            ("fleet_council_silent_seconds", "gauge", silent),
            ("fleet_servers_drained", "gauge", self.draining.get().0 as f64),
            ("fleet_servers_quiet", "gauge", self.draining.get().1 as f64),
            ("fleet_renewals_total", "counter", self.renewals.get() as f64),
            ("fleet_call_failures_total", "counter", self.failures.get() as f64),
        ] {
            let _ = writeln!(page, "# TYPE app_{name} {kind}\napp_{name} {value}");
        }
        page
    }
}
