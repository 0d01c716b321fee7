//! Load reports of servers.

/// A field of a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReportField {
    /// Requests in flight on the server.
    InFlight,
    /// Requests queued on the server.
    Queue,
    /// The fraction of its cores that are busy.
    Utilisation,
    /// Its recent service time in milliseconds, without queueing.
    ServiceTime,
    /// Responses per second.
    Rate,
    /// Errors per second.
    Errors,
    /// A field that the balancer does not use.
    Other,
}

/// Where load reports come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum ReportSource {
    /// Servers send none.
    #[default]
    None,
    /// In responses and in health-check results.
    Responses,
    /// In health-check results only.
    HealthChecks,
}

/// A server's load report: one value for each of [`Settings::report_fields`](crate::Settings::report_fields).
pub type LoadReport = [f64];
