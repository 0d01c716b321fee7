//! Permits of a limited disruption budget, as transactions over records.
//!
//! A budget is one record that contains its permits, so that one compare-and-set both counts the permits and takes one. A
//! permit has no timeout: it is released by the agent that it was taken for, or by an operator.
//!
//! The functions here read a [`View`] and return the transaction to write. The transaction conflicts if the budget has changed
//! since the view was read.

use crate::state::{Check, Member, Record, Revision, Txn, Write};
use crate::wire::View;
use crate::Incarnation;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The limit of a budget and the permits taken from it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// The number of permits that may be taken at the same time.
    #[serde(rename = "most")]
    pub max: u32,
    /// The taken permits by the unit that each is for, such as `agent:n3`.
    #[serde(default, rename = "out")]
    pub permits: BTreeMap<String, Permit>,
}

/// A permit to take one unit out of service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Permit {
    /// The name and incarnation of the member that took it.
    pub taker: (String, Incarnation),
    /// The reason, which is shown to operators.
    #[serde(rename = "why")]
    pub reason: String,
    /// The revision after which the taker may have disrupted the unit; none if it has not started.
    #[serde(default)]
    pub started: Option<Revision>,
    /// Whether the taker has finished its work on the unit. The unit may still be out of service.
    #[serde(default)]
    pub finished: bool,
}

/// Why a permit cannot be taken, changed or released.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PermitDenial {
    /// The record of this key does not contain a budget, for this reason.
    #[error("the record {0} does not contain a budget: {1}")]
    Unreadable(String, String),
    /// No limit has been set for the budget of this key.
    #[error("no limit is set for the budget {0}")]
    NoBudget(String),
    /// All permits are taken.
    #[error("all {max} permits of {budget} are taken: {units}")]
    Exhausted {
        /// The budget's key.
        budget: String,
        /// Its limit.
        max: u32,
        /// The units that permits are taken for, separated by commas.
        units: String,
    },
    /// A permit for this unit is already taken.
    #[error("a permit for {unit} is already taken by {taker}: {reason}")]
    AlreadyTaken {
        /// The unit.
        unit: String,
        /// Who took the permit.
        taker: String,
        /// The reason.
        reason: String,
    },
    /// No permit for this unit is taken.
    #[error("no permit for {0} is taken")]
    NotTaken(String),
    /// This unit has the incarnation that was to be taken out of service; only a newer one proves that it is back.
    #[error("{0} has not joined again since it was taken out of service")]
    NotRestarted(String),
    /// This member took the permit, and may still be working on the unit.
    #[error("{0} took the permit, and may still be using it")]
    TakerActive(String),
    /// This member took the permit, not the one that wants to change it.
    #[error("the permit is {0}'s")]
    OtherTaker(String),
}

/// The prefix of the keys of budgets.
const BUDGET_PREFIX: &str = "budget/";

/// Returns the key of the budget for the agents of a site.
#[must_use]
pub fn agent_budget_key(site: &str) -> String {
    format!("{BUDGET_PREFIX}agents:{site}")
}

/// Returns the unit under which a budget lists the permit for an agent.
#[must_use]
pub fn agent_unit(name: &str) -> String {
    format!("agent:{name}")
}

/// A budget and the revision of its record.
struct StoredBudget {
    budget: Budget,
    revision: Revision,
}

impl StoredBudget {
    /// Reads the budget of a key, if there is such a record.
    fn find(view: &View, key: &str) -> Result<Option<StoredBudget>, PermitDenial> {
        let Some(Record { value, revision }) = view.records.get(key) else { return Ok(None) };
        let budget: Budget =
            serde_json::from_str(value).map_err(|e| PermitDenial::Unreadable(key.into(), e.to_string()))?;
        Ok(Some(StoredBudget { budget, revision: *revision }))
    }

    /// Reads the budget of a key; it is an error if there is none.
    fn read(view: &View, key: &str) -> Result<StoredBudget, PermitDenial> {
        StoredBudget::find(view, key)?.ok_or_else(|| PermitDenial::NoBudget(key.into()))
    }

    /// Returns the transaction that replaces the budget, unless it has changed since it was read.
    fn replace(&self, key: &str, mut checks: Vec<Check>) -> Txn {
        checks.push(Check::At(key.into(), self.revision));
        Txn { checks, writes: vec![put_budget(key, &self.budget)] }
    }
}

fn put_budget(key: &str, budget: &Budget) -> Write {
    Write::Put(key.into(), serde_json::to_string(budget).unwrap_or_default())
}

/// Sets the limit of a budget, and creates the budget if there is none. Taken permits stay taken.
///
/// # Errors
///
/// Fails if the record does not contain a budget.
pub fn set_limit(view: &View, key: &str, max: u32) -> Result<Txn, PermitDenial> {
    let Some(mut stored) = StoredBudget::find(view, key)? else {
        let budget = Budget { max, permits: BTreeMap::new() };
        return Ok(Txn { checks: vec![Check::Absent(key.into())], writes: vec![put_budget(key, &budget)] });
    };
    stored.budget.max = max;
    Ok(stored.replace(key, Vec::new()))
}

/// Takes a permit for an agent. `taker` is the name and incarnation of the member that takes it.
///
/// # Errors
///
/// Fails if there is no budget, if a permit for this agent is already taken, or if all permits are taken.
pub fn acquire(
    view: &View,
    key: &str,
    agent: &str,
    taker: (&str, Incarnation),
    reason: &str,
) -> Result<Txn, PermitDenial> {
    let mut stored = StoredBudget::read(view, key)?;
    let Budget { max, permits } = &mut stored.budget;
    let unit = agent_unit(agent);
    if let Some(permit) = permits.get(&unit) {
        let (taker, reason) = (permit.taker.0.clone(), permit.reason.clone());
        return Err(PermitDenial::AlreadyTaken { unit, taker, reason });
    }
    if permits.len() >= *max as usize {
        let units = permits.keys().cloned().collect::<Vec<_>>().join(", ");
        return Err(PermitDenial::Exhausted { budget: key.into(), max: *max, units });
    }
    let taker = (taker.0.to_string(), taker.1);
    let check = Check::Living(taker.0.clone(), taker.1);
    permits.insert(unit, Permit { taker, reason: reason.into(), started: None, finished: false });
    Ok(stored.replace(key, vec![check]))
}

/// Records that the taker is about to disrupt the agent. It must not do so before this is written, nor after its own lease has
/// expired.
///
/// # Errors
///
/// Fails if there is no such permit, or if another member took it.
pub fn start(view: &View, key: &str, agent: &str, taker: (&str, Incarnation)) -> Result<Txn, PermitDenial> {
    let revision = view.revision;
    change_permit(view, key, agent, taker, |permit| permit.started = Some(revision))
}

/// Records that the taker has finished its work on the agent.
///
/// # Errors
///
/// Fails if there is no such permit, or if another member took it.
pub fn finish(view: &View, key: &str, agent: &str, taker: (&str, Incarnation)) -> Result<Txn, PermitDenial> {
    change_permit(view, key, agent, taker, |permit| permit.finished = true)
}

fn change_permit(
    view: &View,
    key: &str,
    agent: &str,
    (taker, incarnation): (&str, Incarnation),
    change: impl FnOnce(&mut Permit),
) -> Result<Txn, PermitDenial> {
    let mut stored = StoredBudget::read(view, key)?;
    let unit = agent_unit(agent);
    let Some(permit) = stored.budget.permits.get_mut(&unit) else { return Err(PermitDenial::NotTaken(unit)) };
    if permit.taker != (taker.to_string(), incarnation) {
        return Err(PermitDenial::OtherTaker(permit.taker.0.clone()));
    }
    change(permit);
    Ok(stored.replace(key, vec![Check::Living(taker.into(), incarnation)]))
}

/// Returns the permit that is taken for an agent, if any.
#[must_use]
pub fn find(view: &View, key: &str, agent: &str) -> Option<Permit> {
    let mut stored = StoredBudget::find(view, key).ok()??;
    stored.budget.permits.remove(&agent_unit(agent))
}

/// Releases the permit for an agent on behalf of the agent itself, which serves again under `incarnation`. If the taker has
/// finished, the agent proves that it is back in service by writing this.
///
/// If the taker's lease ended before it finished, only an incarnation that is newer than the start of its work proves that the
/// agent is back. If the taker had not started, any incarnation proves it.
///
/// # Errors
///
/// Fails if there is no such permit, if the taker may still be working on the agent, or if the incarnation is not new enough.
pub fn release(view: &View, key: &str, agent: &str, incarnation: Incarnation) -> Result<Txn, PermitDenial> {
    let mut stored = StoredBudget::read(view, key)?;
    let unit = agent_unit(agent);
    let Some(permit) = stored.budget.permits.remove(&unit) else { return Err(PermitDenial::NotTaken(unit)) };
    let mut checks = vec![Check::Living(agent.into(), incarnation)];
    if !permit.finished {
        let (taker, taker_incarnation) = permit.taker;
        let may_work =
            |member: &Member| member.incarnation == taker_incarnation && member.status.may_hold_lease();
        if view.members.get(&taker).is_some_and(may_work) {
            return Err(PermitDenial::TakerActive(taker));
        }
        if permit.started.is_some_and(|started| incarnation <= started) {
            return Err(PermitDenial::NotRestarted(unit));
        }
        checks.push(Check::Ended(taker, taker_incarnation));
    }
    Ok(stored.replace(key, checks))
}

/// Releases the permit for an agent without any check, on the responsibility of an operator.
///
/// # Errors
///
/// Fails if there is no such permit.
pub fn force_release(view: &View, key: &str, agent: &str) -> Result<Txn, PermitDenial> {
    let mut stored = StoredBudget::read(view, key)?;
    let unit = agent_unit(agent);
    if stored.budget.permits.remove(&unit).is_none() {
        return Err(PermitDenial::NotTaken(unit));
    }
    Ok(stored.replace(key, Vec::new()))
}

/// Returns the keys of the budgets that contain a permit for an agent.
#[must_use]
pub fn budgets_with_permit_for(view: &View, agent: &str) -> Vec<String> {
    let unit = agent_unit(agent);
    let has_permit = |key: &&String| {
        key.starts_with(BUDGET_PREFIX)
            && matches!(StoredBudget::find(view, key), Ok(Some(stored)) if stored.budget.permits.contains_key(&unit))
    };
    view.records.keys().filter(has_permit).cloned().collect()
}

/// Returns the units for which permits are taken, out of the agent budgets of all sites.
///
/// # Errors
///
/// Fails if one of these records does not contain a budget.
pub fn units_with_permits(view: &View) -> Result<BTreeSet<String>, PermitDenial> {
    let prefix = agent_budget_key("");
    let mut units = BTreeSet::new();
    for key in view.records.keys().filter(|key| key.starts_with(&prefix)) {
        let stored = StoredBudget::find(view, key)?;
        units.extend(stored.into_iter().flat_map(|stored| stored.budget.permits.into_keys()));
    }
    Ok(units)
}
