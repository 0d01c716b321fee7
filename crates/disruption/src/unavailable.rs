//! What is out, and why, counted over many records and all agents.

use crate::denial::BudgetDenial;
use crate::observed;
use crate::records::{self, read, RULES_KEY};
use crate::rules::{group, Limit, Rule, Rules, Scope, Server, UnitKind, ROUNDING_TOLERANCE};
use heronhoist_council::permit;
use heronhoist_council::state::{is_agent, Revision, Standing};
use heronhoist_council::wire::View;
use std::collections::{BTreeMap, BTreeSet};

/// Something that counts.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Unit {
    pub(crate) place: Server,
    /// How much of it is out, 0 to 1, and why.
    pub(crate) out: f64,
    pub(crate) why: &'static str,
}

/// What is out, as of one revision.
#[derive(Debug, Clone, PartialEq)]
pub struct Unavailable {
    pub(crate) rules: Rules,
    pub(crate) units: BTreeMap<(UnitKind, String), Unit>,
    pub(crate) revision: Revision,
}

/// One group of one rule, for people.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupStatus {
    /// As `servers of site east`.
    pub name: String,
    /// All that there are.
    pub all: usize,
    /// So many may be out.
    pub most: u32,
    /// So many are.
    pub out: f64,
    /// Each, and why.
    pub who: Vec<String>,
}

impl Unavailable {
    /// Counts what is out. The view must hold all members and all records, as of one linearizable read.
    pub fn count(view: &View) -> Result<Unavailable, BudgetDenial> {
        let (rules, _) = read::<Rules>(view, RULES_KEY)?.ok_or(BudgetDenial::NoRules)?;
        let mut units = BTreeMap::new();
        let permits: BTreeSet<String> = permit::all_out(view)?;
        for (name, member) in view.members.iter().filter(|(name, _)| is_agent(name)) {
            let place = Server { site: member.site.clone(), ..Server::default() };
            let (out, why) = match member.standing {
                _ if permits.contains(&permit::agent(name)) => (1.0, "taken out"),
                Standing::Living if member.ready => (0.0, ""),
                Standing::Living => (1.0, "not ready"),
                Standing::Superseded => (1.0, "being replaced"),
                Standing::Left => (1.0, "left"),
                Standing::Expired => (1.0, "its lease ended"),
            };
            units.insert((UnitKind::Agents, name.clone()), Unit { place, out, why });
        }
        let lacks = observed::missing_capacity(view)?;
        let drains = records::drains(view)?;
        for (name, place) in &rules.servers {
            let (out, why) = match (drains.contains_key(name), lacks.get(name)) {
                (true, _) => (1.0, "drained"),
                (_, Some(lack)) if *lack >= 1.0 => (1.0, "can't be reached"),
                (_, Some(lack)) => (*lack, "cold"),
                (false, None) => (0.0, ""),
            };
            units.insert((UnitKind::Servers, name.clone()), Unit { place: place.clone(), out, why });
        }
        Ok(Unavailable { rules, units, revision: view.revision })
    }

    pub(crate) fn group(&self, rule: &Rule, name: &str) -> GroupStatus {
        let of = |(sort, _): &&(UnitKind, String)| *sort == rule.of;
        let units = self.units.iter().filter(|(key, unit)| of(key) && group(rule.by, &unit.place) == name);
        let (mut all, mut out, mut who) = (0, 0.0, Vec::new());
        for ((_, unit_name), unit) in units {
            all += 1;
            out += unit.out;
            if unit.out > 0.0 {
                who.push(format!("{unit_name} ({})", unit.why));
            }
        }
        let most = match rule.most {
            Limit::Number(most) => most,
            Limit::Share(share) => (share * all as f64 + ROUNDING_TOLERANCE) as u32,
        };
        let sort = if rule.of == UnitKind::Agents { "agents" } else { "servers" };
        let name = match rule.by {
            Scope::All => format!("all {sort}"),
            Scope::Site => format!("{sort} of site {name}"),
            Scope::Kind => format!("{sort} of kind {name}"),
            Scope::Cell => format!("{sort} of cell {name}"),
        };
        GroupStatus { name, all, most, out, who }
    }

    /// Every group of every rule.
    pub fn groups(&self) -> Vec<GroupStatus> {
        let mut groups = Vec::new();
        for rule in &self.rules.rules {
            let units = self.units.iter().filter(|((sort, _), _)| *sort == rule.of);
            let names: BTreeSet<&str> = units.map(|(_, unit)| group(rule.by, &unit.place)).collect();
            let names =
                names.into_iter().filter(|name| rule.only.as_deref().is_none_or(|only| only == *name));
            groups.extend(names.map(|name| self.group(rule, name)));
        }
        groups
    }
}
