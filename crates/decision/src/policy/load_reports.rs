//! Load reports of servers.

use super::endpoints::ServerSlot;
use super::Balancer;
use crate::api::{LoadReport, ReportField};

/// The highest load that a report can set, in requests.
const MAX_REPORTED_LOAD: f64 = 1e6;

impl Balancer {
    /// Stores and returns the load, in requests, that a server reports; `None` if the report contains none.
    pub(super) fn read_load_report(&mut self, server: ServerSlot, report: &LoadReport) -> Option<f64> {
        let is_load = |field: &ReportField| matches!(field, ReportField::InFlight | ReportField::Queue);
        let mut fields = self.settings.report_fields.iter().zip(report);
        let (_, load) = fields.rfind(|(field, value)| is_load(field) && value.is_finite())?;
        let load = load.clamp(0.0, MAX_REPORTED_LOAD);
        self.endpoints[server].reported_load = load;
        Some(load)
    }
}
