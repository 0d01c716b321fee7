//! Why a disruption budget allows no further disruption.

use crate::records::RecordError;
use crate::rules::ROUNDING_TOLERANCE;
use heronhoist_coordination::permit;
use std::fmt;

/// Why a permit or a drain is not granted.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum BudgetDenial {
    /// A record cannot be read or written.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// The permits of a site cannot be read, or do not allow it.
    #[error(transparent)]
    Permits(#[from] permit::PermitDenial),
    /// No rules have been written.
    #[error("no budget is stated; `heronhoist fleet budgets FILE` does")]
    NoRules,
    /// The rules do not name this server, or the fleet has no such agent.
    #[error("the budgets know no server {0}")]
    UnknownUnit(String),
    /// More units of a group would be unavailable than its rule allows.
    #[error("{group}: {limit} may be out, and {} already: {}", Amount(*.unavailable), .causes.join(", "))]
    LimitReached {
        /// The group, such as `servers of site east`.
        group: String,
        /// How many of its units may be unavailable.
        limit: u32,
        /// How many are, in units; a server that is warming up counts as a fraction.
        unavailable: f64,
        /// Each unavailable unit, with the cause in parentheses.
        causes: Vec<String>,
    },
}

/// A number of units with its verb; with two decimals if it is not whole.
struct Amount(f64);

impl fmt::Display for Amount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.fract().abs() < ROUNDING_TOLERANCE {
            write!(f, "{:.0} are", self.0)
        } else {
            write!(f, "{:.2} are", self.0)
        }
    }
}
