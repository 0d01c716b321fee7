//! Why nothing is given.

use crate::records::Unreadable;
use crate::rules::ROUNDING_TOLERANCE;
use heronhoist_council::permit;

/// Why nothing is given.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum BudgetDenial {
    /// A record can't be read.
    #[error(transparent)]
    Unreadable(#[from] Unreadable),
    /// A site's permits can't be read.
    #[error(transparent)]
    Permits(#[from] permit::Denied),
    /// Nobody has stated any rule.
    #[error("no budget is stated; `heronhoist fleet budgets FILE` does")]
    NoRules,
    /// The rules know no such server.
    #[error("the budgets know no server {0}")]
    UnknownUnit(String),
    /// It would be too many.
    #[error("{group}: {most} may be out, and {} already: {}", Amount(*.out), .who.join(", "))]
    LimitReached {
        /// Of which group.
        group: String,
        /// So many may be.
        most: u32,
        /// So many are.
        out: f64,
        /// Each, and why.
        who: Vec<String>,
    },
}

struct Amount(f64);

impl std::fmt::Display for Amount {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.0.fract().abs() < ROUNDING_TOLERANCE {
            write!(f, "{:.0} are", self.0)
        } else {
            write!(f, "{:.2} are", self.0)
        }
    }
}
