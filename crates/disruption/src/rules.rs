//! How much may be out: the rules, and what is wrong with them.

use crate::records::{Unreadable, RULES_KEY};
use heronhoist_council::state::{Check, Txn, Write};
use heronhoist_council::wire::View;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Rules at most.
pub const MAX_RULES: usize = 64;
/// Sums of what servers lack are compared with this much room for rounding.
pub(crate) const ROUNDING_TOLERANCE: f64 = 1e-6;

/// What is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnitKind {
    /// Agents.
    Agents,
    /// Record servers.
    Servers,
}

/// What is counted together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// All of them.
    All,
    /// Those of a site.
    Site,
    /// Those of a kind of machine.
    Kind,
    /// Those that drop each other's repeats.
    Cell,
}

/// How much may be out.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Limit {
    /// So many.
    Number(u32),
    /// This share of all that there are of the group, 0 to 1, rounded down.
    Share(f64),
}

/// One rule.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Of what.
    pub of: UnitKind,
    /// Counted together.
    pub by: Scope,
    /// Only for this site, kind or cell; none for each of them by itself.
    #[serde(default)]
    pub only: Option<String>,
    /// At most.
    pub most: Limit,
}

/// Where a server stands, and what it is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Its site.
    pub site: String,
    /// Its kind of machine.
    #[serde(default)]
    pub kind: String,
    /// Its dedup cell.
    #[serde(default)]
    pub cell: String,
}

/// All rules, and the servers that there are to be counted.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// All must hold.
    pub rules: Vec<Rule>,
    /// By name, as agents know them.
    #[serde(default)]
    pub servers: BTreeMap<String, Server>,
}

/// What is wrong with rules; with the place of the rule, counted from 0.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRule {
    /// There are too many.
    #[error("rule {MAX_RULES}: there may be {MAX_RULES} rules at most")]
    TooMany,
    /// A share that is none.
    #[error("rule {0}: most: wanted a share from 0 to 1")]
    ShareOutOfRange(usize),
    /// Of agents, only their sites are known.
    #[error("rule {0}: by: agents are counted by all or by site")]
    UnsupportedAgentScope(usize),
    /// `only` goes with a site, a kind or a cell.
    #[error("rule {0}: only: goes with by = \"site\", \"kind\" or \"cell\"")]
    OnlyWithoutGroups(usize),
    /// There is no such site, kind or cell among the servers.
    #[error("rule {0}: only: no server is of {1:?}")]
    UnknownGroup(usize, String),
    /// Two rules say different things of the same group.
    #[error("rules {0} and {1} are of the same group and say different numbers")]
    Contradiction(usize, usize),
    /// A rule never gives anything, and does not say 0.
    #[error(
        "rule {0}: its share of {1} is less than one: it never gives anything; say number 0 if that is meant"
    )]
    NeverAllows(usize, usize),
}

impl Rules {
    /// What is wrong with them, or would never give anything.
    pub fn validate(&self) -> Vec<InvalidRule> {
        let mut faults = Vec::new();
        if self.rules.len() > MAX_RULES {
            faults.push(InvalidRule::TooMany);
        }
        for (at, rule) in self.rules.iter().enumerate() {
            if let Limit::Share(share) = rule.most {
                if !(0.0..=1.0).contains(&share) {
                    faults.push(InvalidRule::ShareOutOfRange(at));
                }
            }
            if rule.of == UnitKind::Agents && !matches!(rule.by, Scope::All | Scope::Site) {
                faults.push(InvalidRule::UnsupportedAgentScope(at));
            }
            if rule.by == Scope::All && rule.only.is_some() {
                faults.push(InvalidRule::OnlyWithoutGroups(at));
            }
            if let (UnitKind::Servers, Some(only)) = (rule.of, &rule.only) {
                let known = self.servers.values().any(|server| group(rule.by, server) == only);
                if rule.by != Scope::All && !known {
                    faults.push(InvalidRule::UnknownGroup(at, only.clone()));
                }
            }
            let same = |other: &Rule| (other.of, other.by, &other.only) == (rule.of, rule.by, &rule.only);
            let other = self.rules[..at].iter().position(|other| same(other) && other.most != rule.most);
            faults.extend(other.map(|other| InvalidRule::Contradiction(other, at)));
            if let (UnitKind::Servers, Limit::Share(share)) = (rule.of, rule.most) {
                let mut sizes: BTreeMap<&str, usize> = BTreeMap::new();
                for server in self.servers.values() {
                    *sizes.entry(group(rule.by, server)).or_default() += 1;
                }
                let sizes = sizes
                    .into_iter()
                    .filter(|(name, _)| rule.only.as_deref().is_none_or(|only| only == *name));
                let least = sizes.map(|(_, size)| size).min().unwrap_or(0);
                if least > 0 && (0.0..=1.0).contains(&share) && share > 0.0 && (share * least as f64) < 1.0 {
                    faults.push(InvalidRule::NeverAllows(at, least));
                }
            }
        }
        faults
    }

    /// What states them; permits and drains that are out stay out.
    pub fn to_transaction(&self, view: &View) -> Result<Txn, Unreadable> {
        let check = match view.records.get(RULES_KEY) {
            Some(record) => Check::At(RULES_KEY.into(), record.revision),
            None => Check::Absent(RULES_KEY.into()),
        };
        let value = serde_json::to_string(self).unwrap_or_default();
        Ok(Txn { checks: vec![check], writes: vec![Write::Put(RULES_KEY.into(), value)] })
    }
}

pub(crate) fn group(by: Scope, server: &Server) -> &str {
    match by {
        Scope::All => "",
        Scope::Site => &server.site,
        Scope::Kind => &server.kind,
        Scope::Cell => &server.cell,
    }
}
