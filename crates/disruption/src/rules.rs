//! The rules of the disruption budgets, and their validation.

use crate::records::{self, RecordError, RULES_KEY};
use heronhoist_coordination::state::{Check, Txn};
use heronhoist_coordination::wire::View;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of rules. It bounds the size of their record and the work of a count.
pub const MAX_RULES: usize = 64;
/// Tolerance for rounding errors where sums of fractions are compared, in units (agents or servers).
pub(crate) const ROUNDING_TOLERANCE: f64 = 1e-6;

/// The kind of the units that a rule counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnitKind {
    /// Agents.
    Agents,
    /// Record servers.
    Servers,
}

/// How a rule groups the units that it counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// All units are one group.
    All,
    /// One group per site.
    Site,
    /// One group per machine type.
    #[serde(rename = "kind")]
    MachineType,
    /// One group per deduplication cell: servers that recognise each other's repeated requests.
    Cell,
}

impl Scope {
    /// Returns the name of the group that a unit of this placement belongs to.
    pub(crate) fn group_of(self, placement: &Server) -> &str {
        match self {
            Scope::All => "",
            Scope::Site => &placement.site,
            Scope::MachineType => &placement.machine_type,
            Scope::Cell => &placement.cell,
        }
    }
}

/// How many units of a group may be unavailable at a time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Limit {
    /// This number of units.
    Number(u32),
    /// This fraction of the group, from 0 to 1. The resulting number of units is rounded down.
    Share(f64),
}

impl Limit {
    /// Returns the limit in units for a group of this size.
    pub(crate) fn for_group_of(self, size: usize) -> u32 {
        match self {
            Limit::Number(number) => number,
            Limit::Share(share) => (share * size as f64 + ROUNDING_TOLERANCE) as u32,
        }
    }
}

/// One rule of the budgets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The kind of units that the rule counts.
    #[serde(rename = "of")]
    pub unit_kind: UnitKind,
    /// How the units are grouped.
    #[serde(rename = "by")]
    pub scope: Scope,
    /// The one site, machine type or cell that the rule applies to; with `None` it applies to each group separately.
    #[serde(default)]
    pub only: Option<String>,
    /// How many units of a group may be unavailable at a time.
    #[serde(rename = "most")]
    pub limit: Limit,
}

impl Rule {
    /// Returns whether the rule applies to the group of this name.
    pub(crate) fn applies_to(&self, group: &str) -> bool {
        self.only.as_deref().is_none_or(|only| only == group)
    }

    fn has_same_groups(&self, other: &Rule) -> bool {
        self.unit_kind == other.unit_kind && self.scope == other.scope && self.only == other.only
    }
}

/// The placement of a record server: the groups that it belongs to.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Its site.
    pub site: String,
    /// Its machine type; empty if none is given.
    #[serde(default, rename = "kind")]
    pub machine_type: String,
    /// Its deduplication cell; empty if none is given.
    #[serde(default)]
    pub cell: String,
}

/// The rules of all budgets, and the record servers to which they apply.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// The rules; all of them must be met.
    pub rules: Vec<Rule>,
    /// The servers, by the names that the agents use for them.
    #[serde(default)]
    pub servers: BTreeMap<String, Server>,
}

/// A fault in the rules. A rule is identified by its index, counted from 0.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRule {
    /// There are more than [`MAX_RULES`] rules.
    #[error("rule {MAX_RULES}: at most {MAX_RULES} rules are allowed")]
    TooMany,
    /// The share is not between 0 and 1.
    #[error("rule {0}: most: the share must be from 0 to 1")]
    ShareOutOfRange(usize),
    /// Agents are grouped by something other than the site, which is all that is known of their placement.
    #[error("rule {0}: by: agents can be grouped only by \"all\" or \"site\"")]
    UnsupportedAgentScope(usize),
    /// `only` is given for a rule that counts all units together.
    #[error("rule {0}: only: requires by = \"site\", \"kind\" or \"cell\"")]
    OnlyWithoutGroups(usize),
    /// No server belongs to the group that `only` names.
    #[error("rule {rule}: only: no server belongs to {group:?}")]
    UnknownGroup {
        /// The rule.
        rule: usize,
        /// The group that it names.
        group: String,
    },
    /// Two rules set different limits for the same groups.
    #[error("rules {first} and {second} set different limits for the same groups")]
    Contradiction {
        /// The earlier rule.
        first: usize,
        /// The later rule.
        second: usize,
    },
    /// The share of the smallest group is less than one unit, so the rule never allows a disruption there. A rule that is
    /// meant to allow none sets the number 0.
    #[error(
        "rule {rule}: its share of {group_size} is less than one, so it never allows a disruption; use the number 0 if that is intended"
    )]
    NeverAllows {
        /// The rule.
        rule: usize,
        /// The size of the smallest group that it applies to, in servers.
        group_size: usize,
    },
}

impl Rules {
    /// Returns the faults of all rules, in the order of the rules. Only rules without faults may be written.
    #[must_use]
    pub fn validate(&self) -> Vec<InvalidRule> {
        let too_many = (self.rules.len() > MAX_RULES).then_some(InvalidRule::TooMany);
        let faults_of_rules = self.rules.iter().enumerate().flat_map(|(index, rule)| {
            [
                share_out_of_range(index, rule),
                unsupported_agent_scope(index, rule),
                only_without_groups(index, rule),
                self.unknown_group(index, rule),
                self.contradiction(index, rule),
                self.never_allows(index, rule),
            ]
        });
        too_many.into_iter().chain(faults_of_rules.flatten()).collect()
    }

    fn unknown_group(&self, index: usize, rule: &Rule) -> Option<InvalidRule> {
        if rule.unit_kind != UnitKind::Servers || rule.scope == Scope::All {
            return None;
        }
        let group = rule.only.as_ref()?;
        let is_known = self.servers.values().any(|server| rule.scope.group_of(server) == group);
        (!is_known).then(|| InvalidRule::UnknownGroup { rule: index, group: group.clone() })
    }

    fn contradiction(&self, index: usize, rule: &Rule) -> Option<InvalidRule> {
        let earlier = &self.rules[..index];
        let first =
            earlier.iter().position(|other| rule.has_same_groups(other) && rule.limit != other.limit)?;
        Some(InvalidRule::Contradiction { first, second: index })
    }

    fn never_allows(&self, index: usize, rule: &Rule) -> Option<InvalidRule> {
        let (UnitKind::Servers, Limit::Share(share)) = (rule.unit_kind, rule.limit) else { return None };
        let group_size = self.smallest_group(rule)?;
        let is_share_valid = share > 0.0 && share <= 1.0;
        let is_below_one_unit = share * (group_size as f64) < 1.0;
        (is_share_valid && is_below_one_unit).then_some(InvalidRule::NeverAllows { rule: index, group_size })
    }

    /// Returns the size of the smallest group of servers that a rule applies to; `None` if it applies to no group.
    fn smallest_group(&self, rule: &Rule) -> Option<usize> {
        let mut sizes: BTreeMap<&str, usize> = BTreeMap::new();
        for server in self.servers.values() {
            *sizes.entry(rule.scope.group_of(server)).or_default() += 1;
        }
        let sizes = sizes.into_iter().filter(|(group, _)| rule.applies_to(group));
        sizes.map(|(_, size)| size).min()
    }

    /// Returns the transaction that replaces the rules in force. Permits and drains that have already been granted stay.
    ///
    /// # Errors
    /// [`RecordError::Unwritable`] if the rules cannot be expressed as JSON.
    pub fn to_transaction(&self, view: &View) -> Result<Txn, RecordError> {
        let key = RULES_KEY.to_string();
        let check = match view.records.get(RULES_KEY) {
            Some(record) => Check::At(key.clone(), record.revision),
            None => Check::Absent(key.clone()),
        };
        Ok(Txn { checks: vec![check], writes: vec![records::put(key, self)?] })
    }
}

fn share_out_of_range(index: usize, rule: &Rule) -> Option<InvalidRule> {
    let Limit::Share(share) = rule.limit else { return None };
    (!(0.0..=1.0).contains(&share)).then_some(InvalidRule::ShareOutOfRange(index))
}

fn unsupported_agent_scope(index: usize, rule: &Rule) -> Option<InvalidRule> {
    let is_known_of_agents = matches!(rule.scope, Scope::All | Scope::Site);
    let is_unsupported = rule.unit_kind == UnitKind::Agents && !is_known_of_agents;
    is_unsupported.then_some(InvalidRule::UnsupportedAgentScope(index))
}

fn only_without_groups(index: usize, rule: &Rule) -> Option<InvalidRule> {
    let has_no_groups = rule.scope == Scope::All;
    (has_no_groups && rule.only.is_some()).then_some(InvalidRule::OnlyWithoutGroups(index))
}
