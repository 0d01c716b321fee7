//! Permits under the disruption budgets.
//!
//! The count goes over many records and all agents, and may be out of date when the permit is written. The checks that
//! [`Unavailable::allow`] returns make the coordination service compare, in the step that grants the permit, whether
//! anything that was counted has changed since. A budget that crashes have overdrawn allows nothing new.

use crate::denial::BudgetDenial;
use crate::rules::{UnitKind, ROUNDING_TOLERANCE};
use crate::unavailable::Unavailable;
use heronhoist_coordination::permit;
use heronhoist_coordination::state::{ChangeScope, Check, Revision, Txn};
use heronhoist_coordination::wire::View;

/// The first part of the keys of permits and rules.
const BUDGET_RECORDS: &str = "budget";
/// The kinds of records that a count goes over: the first parts of their keys.
const COUNTED_RECORDS: [&str; 3] = [BUDGET_RECORDS, "drain", "site"];

impl Unavailable {
    /// Whether the budgets allow to take this unit out of service now, and the checks under which that still holds when the
    /// transaction is carried out. A unit that is wholly unavailable takes nothing more, and is always allowed.
    ///
    /// # Errors
    /// [`BudgetDenial::UnknownUnit`] if the unit is not counted, [`BudgetDenial::LimitReached`] if a rule does not allow it.
    pub fn allow(&self, kind: UnitKind, name: &str) -> Result<Vec<Check>, BudgetDenial> {
        let unit = self.unit(kind, name).ok_or_else(|| BudgetDenial::UnknownUnit(name.into()))?;
        let additional = 1.0 - unit.outage.fraction;
        for rule in self.rules_for(kind) {
            let group = rule.scope.group_of(&unit.placement);
            if !rule.applies_to(group) {
                continue;
            }
            let status = self.group(rule, group);
            let is_over_limit =
                status.unavailable + additional > f64::from(status.limit) + ROUNDING_TOLERANCE;
            if additional > 0.0 && is_over_limit {
                return Err(BudgetDenial::LimitReached {
                    group: status.name,
                    limit: status.limit,
                    unavailable: status.unavailable,
                    causes: status.causes,
                });
            }
        }
        Ok(unchanged_since(self.revision()))
    }
}

/// The checks that nothing that a count goes over has changed since a revision.
fn unchanged_since(revision: Revision) -> Vec<Check> {
    let records = COUNTED_RECORDS.map(|kind| ChangeScope::Kind(kind.into()));
    let counted = [ChangeScope::Agents].into_iter().chain(records);
    counted.map(|of| Check::Unchanged(of, revision)).collect()
}

/// The transaction that takes a permit to take an agent out of service, under its site's number of permits and, where rules
/// have been written, under all of them in the same step. `key` is the record of the site's permits, `taker` the name and
/// incarnation of the lease that the permit is taken under.
///
/// # Errors
/// [`BudgetDenial`], if no permit is granted.
pub fn acquire_for_agent(
    view: &View,
    key: &str,
    agent: &str,
    taker: (&str, u64),
    reason: &str,
) -> Result<Txn, BudgetDenial> {
    let mut transaction = permit::acquire(view, key, agent, taker, reason)?;
    match Unavailable::count(view) {
        Ok(unavailable) => transaction.checks.extend(unavailable.allow(UnitKind::Agents, agent)?),
        // Rules that are written meanwhile change the records of this kind.
        Err(BudgetDenial::NoRules) => {
            let budget_records = ChangeScope::Kind(BUDGET_RECORDS.into());
            transaction.checks.push(Check::Unchanged(budget_records, view.revision));
        }
        Err(denial) => return Err(denial),
    }
    Ok(transaction)
}
