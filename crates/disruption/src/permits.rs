//! Permits and drains under the budgets. The checks that [`Unavailable::allow`] hands out make the council look, in the step that takes,
//! whether anything that was counted has changed since.

use crate::denial::BudgetDenial;
use crate::rules::{group, UnitKind, ROUNDING_TOLERANCE};
use crate::unavailable::{GroupStatus, Unavailable};
use heronhoist_council::permit;
use heronhoist_council::state::{Check, Of, Txn};
use heronhoist_council::wire::View;

impl Unavailable {
    /// Whether this one may be taken out now: the checks under which that still holds when it is. One that is out already takes
    /// nothing new, and is never denied.
    pub fn allow(&self, sort: UnitKind, name: &str) -> Result<Vec<Check>, BudgetDenial> {
        let unit = self
            .units
            .get(&(sort, name.to_string()))
            .ok_or_else(|| BudgetDenial::UnknownUnit(name.into()))?;
        let more = 1.0 - unit.out;
        for rule in self.rules.rules.iter().filter(|rule| rule.of == sort) {
            let own = group(rule.by, &unit.place);
            if rule.only.as_deref().is_some_and(|only| only != own) {
                continue;
            }
            let GroupStatus { name: group, most, out, who, .. } = self.group(rule, own);
            if more > 0.0 && out + more > f64::from(most) + ROUNDING_TOLERANCE {
                return Err(BudgetDenial::LimitReached { group, most, out, who });
            }
        }
        let kinds = ["budget", "drain", "site"].map(|kind| Of::Kind(kind.into()));
        let unchanged = |of| Check::Unchanged(of, self.revision);
        Ok([Of::Agents].into_iter().chain(kinds).map(unchanged).collect())
    }
}

/// Takes a permit for an agent under its site's number and, where rules are stated, under all of them in the same step.
pub fn take_agent(
    view: &View,
    key: &str,
    name: &str,
    taker: (&str, u64),
    why: &str,
) -> Result<Txn, BudgetDenial> {
    let mut txn = permit::take(view, key, name, taker, why)?;
    match Unavailable::count(view) {
        Ok(count) => txn.checks.extend(count.allow(UnitKind::Agents, name)?),
        // A rule that is stated meanwhile is of the kind that is looked at.
        Err(BudgetDenial::NoRules) => {
            txn.checks.push(Check::Unchanged(Of::Kind("budget".into()), view.revision));
        }
        Err(why) => return Err(why),
    }
    Ok(txn)
}
