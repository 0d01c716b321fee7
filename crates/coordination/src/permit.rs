//! Permits out of a stated number, as records of the council. A budget is one record that holds its permits, so that the
//! number is checked and taken in one compare-and-set. A permit never ends by silence.

use crate::state::{Check, Member, Record, Revision, Txn, Write};
use crate::wire::View;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What may be out at a time, and what is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// So many permits at a time.
    #[serde(rename = "most")]
    pub max: u32,
    /// Those that are out, by the thing that each is for, as `agent:n3`.
    #[serde(default, rename = "out")]
    pub permits: BTreeMap<String, Permit>,
}

/// Leave to take one thing out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Permit {
    /// The name under which the taker takes part, and its incarnation.
    pub taker: (String, u64),
    /// What it is for, in words.
    pub why: String,
    /// From when on the taker may have touched the thing; none if it has not yet.
    #[serde(default)]
    pub started: Option<Revision>,
    /// The taker has finished with the thing, which may be back or not.
    #[serde(default)]
    pub finished: bool,
}

/// Why no permit is given, or none is given back.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PermitDenial {
    /// The record is not one of a budget.
    #[error("the record {0} is no budget: {1}")]
    Unreadable(String, String),
    /// Nobody has stated a number.
    #[error("no number of permits is stated for {0}")]
    NoBudget(String),
    /// All permits are out; for these.
    #[error("all {max} permits of {budget} are out: {units}")]
    AllOut {
        /// The budget's key.
        budget: String,
        /// Its number.
        max: u32,
        /// What they are out for.
        units: String,
    },
    /// There is one for this thing already.
    #[error("{thing} is out already, for {taker}: {why}")]
    OutAlready {
        /// What is out.
        thing: String,
        /// Who took it out.
        taker: String,
        /// Why.
        why: String,
    },
    /// There is no permit for this thing.
    #[error("there is no permit for {0}")]
    NotOut(String),
    /// It was this incarnation that was to be taken out; only a newer one is back.
    #[error("{0} has not come back since it was taken out")]
    NotBack(String),
    /// Whoever took it may still be at it.
    #[error("{0} may still be at it")]
    TakerLives(String),
    /// The permit is another's.
    #[error("the permit is {0}'s")]
    NotYours(String),
}

/// The key of the budget of a site's agents.
pub fn agent_budget_key(site: &str) -> String {
    format!("budget/agents:{site}")
}

/// The name that a permit for an agent goes by.
pub fn agent_unit(name: &str) -> String {
    format!("agent:{name}")
}

fn read_budget(key: &str, view: &View) -> Result<Option<(Budget, Revision)>, PermitDenial> {
    let Some(Record { value, revision }) = view.records.get(key) else { return Ok(None) };
    let budget: Budget =
        serde_json::from_str(value).map_err(|e| PermitDenial::Unreadable(key.into(), e.to_string()))?;
    Ok(Some((budget, *revision)))
}

fn write_budget(key: &str, budget: &Budget, mut checks: Vec<Check>, at: Option<Revision>) -> Txn {
    checks.push(at.map_or(Check::Absent(key.into()), |revision| Check::At(key.into(), revision)));
    Txn { checks, writes: vec![Write::Put(key.into(), serde_json::to_string(budget).unwrap_or_default())] }
}

/// States a number; permits that are out stay out.
pub fn set_limit(view: &View, key: &str, most: u32) -> Result<Txn, PermitDenial> {
    let (budget, at) = match read_budget(key, view)? {
        Some((budget, at)) => (Budget { max: most, ..budget }, Some(at)),
        None => (Budget { max: most, permits: BTreeMap::new() }, None),
    };
    Ok(write_budget(key, &budget, Vec::new(), at))
}

/// Takes a permit for an agent: the transaction to be written, which does not pass if anything was changed meanwhile.
pub fn acquire(
    view: &View,
    key: &str,
    name: &str,
    taker: (&str, u64),
    why: &str,
) -> Result<Txn, PermitDenial> {
    let Some((mut budget, at)) = read_budget(key, view)? else {
        return Err(PermitDenial::NoBudget(key.into()));
    };
    let thing = agent_unit(name);
    if let Some(permit) = budget.permits.get(&thing) {
        return Err(PermitDenial::OutAlready {
            thing,
            taker: permit.taker.0.clone(),
            why: permit.why.clone(),
        });
    }
    if budget.permits.len() >= budget.max as usize {
        let for_what = budget.permits.keys().cloned().collect::<Vec<_>>().join(", ");
        return Err(PermitDenial::AllOut { budget: key.into(), max: budget.max, units: for_what });
    }
    let taker = (taker.0.to_string(), taker.1);
    let check = Check::Living(taker.0.clone(), taker.1);
    let permit = Permit { taker, why: why.into(), started: None, finished: false };
    budget.permits.insert(thing, permit);
    Ok(write_budget(key, &budget, vec![check], Some(at)))
}

/// The taker is about to touch the thing. Nothing may be done to it before this is written, and nothing once the taker's
/// lease has ended.
pub fn start(view: &View, key: &str, name: &str, taker: (&str, u64)) -> Result<Txn, PermitDenial> {
    let revision = view.revision;
    change_permit(view, key, name, taker, |permit| permit.started = Some(revision))
}

/// The taker has finished with the thing.
pub fn finish(view: &View, key: &str, name: &str, taker: (&str, u64)) -> Result<Txn, PermitDenial> {
    change_permit(view, key, name, taker, |permit| permit.finished = true)
}

fn change_permit(
    view: &View,
    key: &str,
    name: &str,
    (taker, incarnation): (&str, u64),
    change: impl FnOnce(&mut Permit),
) -> Result<Txn, PermitDenial> {
    let Some((mut budget, at)) = read_budget(key, view)? else {
        return Err(PermitDenial::NoBudget(key.into()));
    };
    let thing = agent_unit(name);
    let Some(permit) = budget.permits.get_mut(&thing) else { return Err(PermitDenial::NotOut(thing)) };
    if permit.taker != (taker.to_string(), incarnation) {
        return Err(PermitDenial::NotYours(permit.taker.0.clone()));
    }
    change(permit);
    Ok(write_budget(key, &budget, vec![Check::Living(taker.into(), incarnation)], Some(at)))
}

/// The permit that is out for an agent, if one is.
pub fn find(view: &View, key: &str, name: &str) -> Option<Permit> {
    read_budget(key, view).ok()??.0.permits.remove(&agent_unit(name))
}

/// An agent that serves gives the permit for itself back: that it can say so, after the taker has finished, is the proof
/// that it is back. Where the taker's lease has ended before it finished, only a newer incarnation than the one that was to
/// be taken out is back, unless nothing was begun. Nobody else gives a permit back, and nothing else does.
pub fn give_back(view: &View, key: &str, name: &str, incarnation: u64) -> Result<Txn, PermitDenial> {
    let Some((mut budget, at)) = read_budget(key, view)? else {
        return Err(PermitDenial::NoBudget(key.into()));
    };
    let thing = agent_unit(name);
    let Some(permit) = budget.permits.remove(&thing) else { return Err(PermitDenial::NotOut(thing)) };
    let mut checks = vec![Check::Living(name.into(), incarnation)];
    if !permit.finished {
        let (taker, of) = permit.taker;
        if view.members.get(&taker).is_some_and(|m: &Member| m.incarnation == of && m.status.may_hold_lease())
        {
            return Err(PermitDenial::TakerLives(taker));
        }
        if permit.started.is_some_and(|started| incarnation <= started) {
            return Err(PermitDenial::NotBack(thing));
        }
        checks.push(Check::Ended(taker, of));
    }
    Ok(write_budget(key, &budget, checks, Some(at)))
}

/// A person takes a permit back, and answers for it.
pub fn force_release(view: &View, key: &str, name: &str) -> Result<Txn, PermitDenial> {
    let Some((mut budget, at)) = read_budget(key, view)? else {
        return Err(PermitDenial::NoBudget(key.into()));
    };
    let thing = agent_unit(name);
    if budget.permits.remove(&thing).is_none() {
        return Err(PermitDenial::NotOut(thing));
    }
    Ok(write_budget(key, &budget, Vec::new(), Some(at)))
}

/// The budgets that hold a permit for this agent.
pub fn budgets_with_permit_for(view: &View, name: &str) -> Vec<String> {
    let thing = agent_unit(name);
    let budgets = view.records.iter().filter(|(key, _)| key.starts_with("budget/"));
    let holds = budgets.filter(
        |(key, _)| matches!(read_budget(key, view), Ok(Some((budget, _))) if budget.permits.contains_key(&thing)),
    );
    holds.map(|(key, _)| key.clone()).collect()
}

/// All things that are out by permits of any site's agents.
pub fn units_out(view: &View) -> Result<BTreeSet<String>, PermitDenial> {
    let first = agent_budget_key("");
    let keys = view.records.keys().filter(|key| key.starts_with(&first));
    let budgets = keys.map(|key| read_budget(key, view)).collect::<Result<Vec<_>, PermitDenial>>()?;
    Ok(budgets.into_iter().flatten().flat_map(|(budget, _)| budget.permits.into_keys()).collect())
}
