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
    /// The record of a site's permits cannot be read, or allows no further permit.
    #[error(transparent)]
    Permits(#[from] permit::PermitDenial),
    /// No rules have been set.
    #[error("no disruption budgets are set; set them with `heronhoist fleet budgets FILE`")]
    NoRules,
    /// The rules do not name this server, or the fleet has no such agent.
    #[error("{0} is neither a server in the budget rules nor an agent of the fleet")]
    UnknownUnit(String),
    /// More units of a group would be unavailable than its rule allows.
    #[error("{group}: {limit} may be out, and {} already: {}", Amount(*.unavailable), .causes.join(", "))]
    LimitReached {
        /// The group, such as `servers of site east`.
        group: String,
        /// How many of its units may be unavailable.
        limit: u32,
        /// How many of its units are unavailable; a server that is warming up counts as a fraction of a unit.
        unavailable: f64,
        /// Each unavailable unit, with the cause in parentheses.
        causes: Vec<String>,
    },
}

/// Displays a number of units followed by its verb, with two decimals unless the number is an integer.
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
