//! How much may be out: the rules, and what is wrong with them.

use crate::records::{Unreadable, RULES_KEY};
use heronhoist_council::state::{Check, Txn, Write};
use heronhoist_council::wire::View;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Rules at most.
pub const RULES_MOST: usize = 64;
/// Sums of what servers lack are compared with this much room for rounding.
pub(crate) const ROUNDING: f64 = 1e-6;

/// What is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Sort {
    /// Agents.
    Agents,
    /// Record servers.
    Servers,
}

/// What is counted together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum By {
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
pub enum Most {
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
    pub of: Sort,
    /// Counted together.
    pub by: By,
    /// Only for this site, kind or cell; none for each of them by itself.
    #[serde(default)]
    pub only: Option<String>,
    /// At most.
    pub most: Most,
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
pub enum Senseless {
    /// There are too many.
    #[error("rule {RULES_MOST}: there may be {RULES_MOST} rules at most")]
    TooMany,
    /// A share that is none.
    #[error("rule {0}: most: wanted a share from 0 to 1")]
    Share(usize),
    /// Of agents, only their sites are known.
    #[error("rule {0}: by: agents are counted by all or by site")]
    Agents(usize),
    /// `only` goes with a site, a kind or a cell.
    #[error("rule {0}: only: goes with by = \"site\", \"kind\" or \"cell\"")]
    Only(usize),
    /// There is no such site, kind or cell among the servers.
    #[error("rule {0}: only: no server is of {1:?}")]
    Nowhere(usize, String),
    /// Two rules say different things of the same group.
    #[error("rules {0} and {1} are of the same group and say different numbers")]
    Contradiction(usize, usize),
    /// A rule never gives anything, and does not say 0.
    #[error(
        "rule {0}: its share of {1} is less than one: it never gives anything; say number 0 if that is meant"
    )]
    Nothing(usize, usize),
}

impl Rules {
    /// What is wrong with them, or would never give anything.
    pub fn check(&self) -> Vec<Senseless> {
        let mut faults = Vec::new();
        if self.rules.len() > RULES_MOST {
            faults.push(Senseless::TooMany);
        }
        for (at, rule) in self.rules.iter().enumerate() {
            if let Most::Share(share) = rule.most {
                if !(0.0..=1.0).contains(&share) {
                    faults.push(Senseless::Share(at));
                }
            }
            if rule.of == Sort::Agents && !matches!(rule.by, By::All | By::Site) {
                faults.push(Senseless::Agents(at));
            }
            if rule.by == By::All && rule.only.is_some() {
                faults.push(Senseless::Only(at));
            }
            if let (Sort::Servers, Some(only)) = (rule.of, &rule.only) {
                let known = self.servers.values().any(|server| group(rule.by, server) == only);
                if rule.by != By::All && !known {
                    faults.push(Senseless::Nowhere(at, only.clone()));
                }
            }
            let same = |other: &Rule| (other.of, other.by, &other.only) == (rule.of, rule.by, &rule.only);
            let other = self.rules[..at].iter().position(|other| same(other) && other.most != rule.most);
            faults.extend(other.map(|other| Senseless::Contradiction(other, at)));
            if let (Sort::Servers, Most::Share(share)) = (rule.of, rule.most) {
                let mut sizes: BTreeMap<&str, usize> = BTreeMap::new();
                for server in self.servers.values() {
                    *sizes.entry(group(rule.by, server)).or_default() += 1;
                }
                let sizes = sizes
                    .into_iter()
                    .filter(|(name, _)| rule.only.as_deref().is_none_or(|only| only == *name));
                let least = sizes.map(|(_, size)| size).min().unwrap_or(0);
                if least > 0 && (0.0..=1.0).contains(&share) && share > 0.0 && (share * least as f64) < 1.0 {
                    faults.push(Senseless::Nothing(at, least));
                }
            }
        }
        faults
    }

    /// What states them; permits and drains that are out stay out.
    pub fn state(&self, view: &View) -> Result<Txn, Unreadable> {
        let check = match view.records.get(RULES_KEY) {
            Some(record) => Check::At(RULES_KEY.into(), record.revision),
            None => Check::Absent(RULES_KEY.into()),
        };
        let value = serde_json::to_string(self).unwrap_or_default();
        Ok(Txn { checks: vec![check], writes: vec![Write::Put(RULES_KEY.into(), value)] })
    }
}

pub(crate) fn group(by: By, server: &Server) -> &str {
    match by {
        By::All => "",
        By::Site => &server.site,
        By::Kind => &server.kind,
        By::Cell => &server.cell,
    }
}
