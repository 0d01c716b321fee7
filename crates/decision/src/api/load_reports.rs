//! Load reports of servers.

/// A field of a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReportField {
    /// The number of requests in flight on the server.
    InFlight,
    /// The number of requests queued on the server.
    Queue,
    /// The fraction of the server's cores that are busy.
    Utilisation,
    /// The server's recent service time in milliseconds, without queueing.
    ServiceTime,
    /// Responses per second.
    Rate,
    /// Errors per second.
    Errors,
    /// A field that the balancer does not use.
    Other,
}

/// Which messages of a server carry its load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum ReportSource {
    /// None: servers send no load reports.
    #[default]
    None,
    /// Responses and health-check results.
    Responses,
    /// Health-check results only.
    HealthChecks,
}

/// A load report: one value for each of [`Settings::report_fields`](crate::Settings::report_fields).
pub type LoadReport = [f64];
