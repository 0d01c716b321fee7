//! Counts the agents and record servers that are unavailable.
//!
//! A unit (an agent or a record server) counts whatever the cause: it is taken out by a permit, is draining, has left, has
//! an expired lease, is not ready, is being replaced or is unreachable. A server that is warming up counts by the fraction
//! of its capacity that it is missing.

use crate::denial::BudgetDenial;
use crate::observed;
use crate::records::{self, Drain, RecordError, RULES_KEY};
use crate::rules::{Rule, Rules, Scope, Server, UnitKind};
use heronhoist_coordination::permit;
use heronhoist_coordination::state::{is_agent, Member, MemberStatus, Revision};
use heronhoist_coordination::wire::View;
use std::collections::{BTreeMap, BTreeSet};

/// An agent or record server that a rule counts.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Unit {
    pub(crate) placement: Server,
    pub(crate) outage: Outage,
}

/// How much of a unit is unavailable, and why.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Outage {
    /// 0 if the unit is available, 1 if it is fully unavailable.
    pub(crate) fraction: f64,
    /// The cause as shown to operators; empty if the unit is available.
    pub(crate) cause: &'static str,
}

impl Outage {
    const NONE: Outage = Outage { fraction: 0.0, cause: "" };

    fn full(cause: &'static str) -> Outage {
        Outage { fraction: 1.0, cause }
    }
}

/// All units and how much of each is unavailable, as of one revision.
#[derive(Debug, Clone, PartialEq)]
pub struct Unavailable {
    rules: Rules,
    units: BTreeMap<(UnitKind, String), Unit>,
    revision: Revision,
}

/// The status of one group of one rule, as shown to operators.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupStatus {
    /// The group's name, such as `servers of site east`.
    pub name: String,
    /// How many units the group has.
    pub total: usize,
    /// How many of its units may be unavailable.
    pub limit: u32,
    /// How many of its units are unavailable; a server that is warming up counts as a fraction of a unit.
    pub unavailable: f64,
    /// Each unavailable unit, with the cause in parentheses.
    pub causes: Vec<String>,
}

impl Unavailable {
    /// Counts what is unavailable. The view must hold all members and all records, as of one linearizable read.
    ///
    /// # Errors
    /// [`BudgetDenial::NoRules`] if no rules have been set; [`BudgetDenial::Record`] or [`BudgetDenial::Permits`] if a
    /// record cannot be read.
    pub fn count(view: &View) -> Result<Unavailable, BudgetDenial> {
        let rules = records::read::<Rules>(view, RULES_KEY)?.ok_or(BudgetDenial::NoRules)?.value;
        let permits = permit::units_with_permits(view)?;
        let mut units = BTreeMap::new();
        for (name, member) in view.members.iter().filter(|(name, _)| is_agent(name)) {
            let placement = Server { site: member.site.clone(), ..Server::default() };
            let outage = agent_outage(member, permits.contains(&permit::agent_unit(name)));
            units.insert((UnitKind::Agents, name.clone()), Unit { placement, outage });
        }
        let servers = ServerOutages::read(view)?;
        for (name, placement) in &rules.servers {
            let unit = Unit { placement: placement.clone(), outage: servers.of(name) };
            units.insert((UnitKind::Servers, name.clone()), unit);
        }
        Ok(Unavailable { rules, units, revision: view.revision })
    }

    /// Returns the revision as of which the units were counted.
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the unit of this kind and name, if it is counted.
    pub(crate) fn unit(&self, kind: UnitKind, name: &str) -> Option<&Unit> {
        self.units.get(&(kind, name.to_string()))
    }

    /// Returns the rules that count units of a kind.
    pub(crate) fn rules_for(&self, kind: UnitKind) -> impl Iterator<Item = &Rule> {
        self.rules.rules.iter().filter(move |rule| rule.unit_kind == kind)
    }

    /// Returns the status of one group of a rule.
    pub(crate) fn group(&self, rule: &Rule, group: &str) -> GroupStatus {
        let mut total = 0;
        let mut unavailable = 0.0;
        let mut causes = Vec::new();
        for (name, unit) in self.units_of(rule.unit_kind) {
            if rule.scope.group_of(&unit.placement) != group {
                continue;
            }
            total += 1;
            unavailable += unit.outage.fraction;
            if unit.outage.fraction > 0.0 {
                causes.push(format!("{name} ({})", unit.outage.cause));
            }
        }
        let limit = rule.limit.for_group_of(total);
        GroupStatus { name: group_name(rule, group), total, limit, unavailable, causes }
    }

    /// Returns the status of every group of every rule, in the order of the rules and then of the groups' names.
    #[must_use]
    pub fn groups(&self) -> Vec<GroupStatus> {
        let statuses_of = |rule| {
            let groups = self.group_names(rule);
            groups.into_iter().map(move |group| self.group(rule, group))
        };
        self.rules.rules.iter().flat_map(statuses_of).collect()
    }

    fn units_of(&self, kind: UnitKind) -> impl Iterator<Item = (&str, &Unit)> {
        let units = self.units.iter().filter(move |((unit_kind, _), _)| *unit_kind == kind);
        units.map(|((_, name), unit)| (name.as_str(), unit))
    }

    fn group_names(&self, rule: &Rule) -> BTreeSet<&str> {
        let groups = self.units_of(rule.unit_kind).map(|(_, unit)| rule.scope.group_of(&unit.placement));
        groups.filter(|group| rule.applies_to(group)).collect()
    }
}

fn agent_outage(member: &Member, has_permit: bool) -> Outage {
    match member.status {
        _ if has_permit => Outage::full("taken out"),
        MemberStatus::Living if member.ready => Outage::NONE,
        MemberStatus::Living => Outage::full("not ready"),
        MemberStatus::Superseded => Outage::full("being replaced"),
        MemberStatus::Left => Outage::full("left"),
        MemberStatus::Expired => Outage::full("its lease ended"),
    }
}

/// The missing capacity and the drains of all servers, as read from the records.
struct ServerOutages {
    missing_capacity: BTreeMap<String, f64>,
    drains: BTreeMap<String, Drain>,
}

impl ServerOutages {
    fn read(view: &View) -> Result<ServerOutages, RecordError> {
        let missing_capacity = observed::missing_capacity(view)?;
        let drains = records::drains(view)?;
        Ok(ServerOutages { missing_capacity, drains })
    }

    fn of(&self, server: &str) -> Outage {
        if self.drains.contains_key(server) {
            return Outage::full("drained");
        }
        match self.missing_capacity.get(server) {
            Some(missing) if *missing >= 1.0 => Outage::full("can't be reached"),
            Some(missing) => Outage { fraction: *missing, cause: "cold" },
            None => Outage::NONE,
        }
    }
}

/// Returns the name of a group as shown to operators.
fn group_name(rule: &Rule, group: &str) -> String {
    let kind = match rule.unit_kind {
        UnitKind::Agents => "agents",
        UnitKind::Servers => "servers",
    };
    match rule.scope {
        Scope::All => format!("all {kind}"),
        Scope::Site => format!("{kind} of site {group}"),
        Scope::MachineType => format!("{kind} of kind {group}"),
        Scope::Cell => format!("{kind} of cell {group}"),
    }
}
