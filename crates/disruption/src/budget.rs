//! How much may be out at a time. Whatever is out counts, for any reason: taken by a permit, drained, gone, without a lease, not
//! ready, not to be reached; a cold server counts by what it lacks. A budget that crashes have overdrawn gives nothing new.
//!
//! What is out is counted over many records and all agents; the checks that [`Count::allow`] hands out make the council look,
//! in the step that takes, whether any of that has changed since it was counted.

use crate::drain;
use crate::seen;
use crate::{read, Unreadable};
use heronhoist_council::permit;
use heronhoist_council::state::{is_agent, Check, Of, Revision, Standing, Txn, Write};
use heronhoist_council::wire::View;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Where the rules stand.
pub const KEY: &str = "budget/rules";
/// Rules at most.
pub const RULES_MOST: usize = 64;
/// Sums of what servers lack are compared with this much room for rounding.
const ROUNDING: f64 = 1e-6;

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

/// Why nothing is given.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Denied {
    /// A record can't be read.
    #[error(transparent)]
    Unreadable(#[from] Unreadable),
    /// A site's permits can't be read.
    #[error(transparent)]
    Permits(#[from] permit::Denied),
    /// Nobody has stated any rule.
    #[error("no budget is stated; `heronhoist fleet budgets FILE` does")]
    NoRules,
    /// The rules know no such server.
    #[error("the budgets know no server {0}")]
    Unknown(String),
    /// It would be too many.
    #[error("{group}: {most} may be out, and {} already: {}", Amount(*.out), .who.join(", "))]
    Spent {
        /// Of which group.
        group: String,
        /// So many may be.
        most: u32,
        /// So many are.
        out: f64,
        /// Each, and why.
        who: Vec<String>,
    },
}

struct Amount(f64);

impl std::fmt::Display for Amount {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.0.fract().abs() < ROUNDING {
            write!(f, "{:.0} are", self.0)
        } else {
            write!(f, "{:.2} are", self.0)
        }
    }
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
        let check = match view.records.get(KEY) {
            Some(record) => Check::At(KEY.into(), record.revision),
            None => Check::Absent(KEY.into()),
        };
        let value = serde_json::to_string(self).unwrap_or_default();
        Ok(Txn { checks: vec![check], writes: vec![Write::Put(KEY.into(), value)] })
    }
}

fn group(by: By, server: &Server) -> &str {
    match by {
        By::All => "",
        By::Site => &server.site,
        By::Kind => &server.kind,
        By::Cell => &server.cell,
    }
}

/// Something that counts.
#[derive(Debug, Clone, PartialEq)]
struct Unit {
    place: Server,
    /// How much of it is out, 0 to 1, and why.
    out: f64,
    why: &'static str,
}

/// What is out, as of one revision.
#[derive(Debug, Clone, PartialEq)]
pub struct Count {
    rules: Rules,
    units: BTreeMap<(Sort, String), Unit>,
    revision: Revision,
}

/// One group of one rule, for people.
#[derive(Debug, Clone, PartialEq)]
pub struct Group {
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

impl Count {
    /// Counts what is out. The view must hold all members and all records, as of one linearizable read.
    pub fn new(view: &View) -> Result<Count, Denied> {
        let (rules, _) = read::<Rules>(view, KEY)?.ok_or(Denied::NoRules)?;
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
            units.insert((Sort::Agents, name.clone()), Unit { place, out, why });
        }
        let lacks = seen::lacks(view)?;
        let drains = drain::all(view)?;
        for (name, place) in &rules.servers {
            let (out, why) = match (drains.contains_key(name), lacks.get(name)) {
                (true, _) => (1.0, "drained"),
                (_, Some(lack)) if *lack >= 1.0 => (1.0, "can't be reached"),
                (_, Some(lack)) => (*lack, "cold"),
                (false, None) => (0.0, ""),
            };
            units.insert((Sort::Servers, name.clone()), Unit { place: place.clone(), out, why });
        }
        Ok(Count { rules, units, revision: view.revision })
    }

    fn group(&self, rule: &Rule, name: &str) -> Group {
        let of = |(sort, _): &&(Sort, String)| *sort == rule.of;
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
            Most::Number(most) => most,
            Most::Share(share) => (share * all as f64 + ROUNDING) as u32,
        };
        let sort = if rule.of == Sort::Agents { "agents" } else { "servers" };
        let name = match rule.by {
            By::All => format!("all {sort}"),
            By::Site => format!("{sort} of site {name}"),
            By::Kind => format!("{sort} of kind {name}"),
            By::Cell => format!("{sort} of cell {name}"),
        };
        Group { name, all, most, out, who }
    }

    /// Every group of every rule.
    pub fn groups(&self) -> Vec<Group> {
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

    /// Whether this one may be taken out now: the checks under which that still holds when it is. One that is out already takes
    /// nothing new, and is never denied.
    pub fn allow(&self, sort: Sort, name: &str) -> Result<Vec<Check>, Denied> {
        let unit = self.units.get(&(sort, name.to_string())).ok_or_else(|| Denied::Unknown(name.into()))?;
        let more = 1.0 - unit.out;
        for rule in self.rules.rules.iter().filter(|rule| rule.of == sort) {
            let own = group(rule.by, &unit.place);
            if rule.only.as_deref().is_some_and(|only| only != own) {
                continue;
            }
            let Group { name: group, most, out, who, .. } = self.group(rule, own);
            if more > 0.0 && out + more > f64::from(most) + ROUNDING {
                return Err(Denied::Spent { group, most, out, who });
            }
        }
        let kinds = ["budget", "drain", "site"].map(|kind| Of::Kind(kind.into()));
        let unchanged = |of| Check::Unchanged(of, self.revision);
        Ok([Of::Agents].into_iter().chain(kinds).map(unchanged).collect())
    }
}

/// Takes a permit for an agent under its site's number and, where rules are stated, under all of them in the same step.
pub fn take_agent(view: &View, key: &str, name: &str, taker: (&str, u64), why: &str) -> Result<Txn, Denied> {
    let mut txn = permit::take(view, key, name, taker, why)?;
    match Count::new(view) {
        Ok(count) => txn.checks.extend(count.allow(Sort::Agents, name)?),
        // A rule that is stated meanwhile is of the kind that is looked at.
        Err(Denied::NoRules) => {
            txn.checks.push(Check::Unchanged(Of::Kind("budget".into()), view.revision));
        }
        Err(why) => return Err(why),
    }
    Ok(txn)
}
