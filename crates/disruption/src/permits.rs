//! Permits under the disruption budgets.
//!
//! The count covers many records and all agents, and may be out of date when the permit is written. The checks that
//! [`Unavailable::allow`] returns make the coordination service verify, in the step that grants the permit, that nothing
//! that was counted has changed since. A budget that crashes have already exceeded allows no further disruption.

use crate::denial::BudgetDenial;
use crate::rules::{UnitKind, ROUNDING_TOLERANCE};
use crate::unavailable::Unavailable;
use heronhoist_coordination::permit;
use heronhoist_coordination::state::{ChangeScope, Check, Revision, Txn};
use heronhoist_coordination::wire::View;

/// The first part of the keys under which permits and rules are stored.
const BUDGET_RECORDS: &str = "budget";
/// The kinds of records that a count covers, named by the first part of their keys.
const COUNTED_RECORDS: [&str; 3] = [BUDGET_RECORDS, "drain", "site"];

impl Unavailable {
    /// Checks whether the budgets allow taking this unit out of service now. Returns the checks under which this is still
    /// allowed when the transaction is executed. A unit that is already fully unavailable is always allowed, because taking
    /// it out adds nothing to the count.
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

/// Returns the checks that nothing that a count covers has changed since a revision.
fn unchanged_since(revision: Revision) -> Vec<Check> {
    let records = COUNTED_RECORDS.map(|kind| ChangeScope::Kind(kind.into()));
    let counted = [ChangeScope::Agents].into_iter().chain(records);
    counted.map(|scope| Check::Unchanged(scope, revision)).collect()
}

/// Returns the transaction that acquires a permit to take an agent out of service. The permit must fit the site's number of
/// permits and, if rules have been set, all rules in the same step. `key` is the key of the site's permits, `holder` the
/// name and incarnation of the lease under which the permit is acquired.
///
/// # Errors
/// [`BudgetDenial`], if no permit is granted.
pub fn acquire_for_agent(
    view: &View,
    key: &str,
    agent: &str,
    holder: (&str, u64),
    reason: &str,
) -> Result<Txn, BudgetDenial> {
    let mut transaction = permit::acquire(view, key, agent, holder, reason)?;
    match Unavailable::count(view) {
        Ok(unavailable) => transaction.checks.extend(unavailable.allow(UnitKind::Agents, agent)?),
        // No rules are set. Setting rules changes a record of this kind, so this check fails if rules are set meanwhile.
        Err(BudgetDenial::NoRules) => {
            let budget_records = ChangeScope::Kind(BUDGET_RECORDS.into());
            transaction.checks.push(Check::Unchanged(budget_records, view.revision));
        }
        Err(denial) => return Err(denial),
    }
    Ok(transaction)
}
