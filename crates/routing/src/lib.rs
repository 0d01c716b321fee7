//! Which pool a request goes to. A [`Table`] holds rules over what a front knows of a request ([`Attributes`]); the
//! first rule that matches, the highest priority first, names the pool, and else the default does.
//!
//! A table is checked when it is made: a rule that no request can reach, and two rules of one priority that disagree on
//! some requests while neither is a special case of the other, are errors. The check is exact. It walks over every
//! combination of what the rules can tell apart, of which there may be [`MAX_CASES`] at most.
//!
//! ```
//! use heronhoist_routing::{Attributes, Conditions, Rule, Table};
//!
//! let rule = |name: &str, class: &str, pool| Rule {
//!     name: name.into(),
//!     priority: 0,
//!     conditions: Conditions { classes: vec![class.into()], ..Conditions::default() },
//!     pool,
//! };
//! let table = Table::new(vec![rule("copies", "certified-copy", 1)], Some(0)).expect("sound");
//! let request = Attributes { front: "http", class: "certified-copy", path: "/certified-copy/7", ..Attributes::default() };
//! assert_eq!(table.route(&request), Some(1));
//! // The second rule can never be reached.
//! let twice = vec![rule("copies", "certified-copy", 1), rule("again", "certified-copy", 2)];
//! assert!(Table::new(twice, Some(0)).is_err());
//! ```

use std::collections::BTreeMap;
use std::fmt;

/// Combinations of conditions that are looked at for the check.
pub const MAX_CASES: usize = 200_000;

/// Finds a label by its name.
pub type Labels<'a> = &'a dyn Fn(&str) -> Option<&'a str>;

/// What a front knows of a request.
#[derive(Clone, Copy, Default)]
pub struct Attributes<'a> {
    /// The name of the front that it came by.
    pub front: &'a str,
    /// The name of its class.
    pub class: &'a str,
    /// Whose it is, if that is known.
    pub tenant: Option<&'a str>,
    /// Its path, or the type of its message; text that is read by `/`.
    pub path: &'a str,
    /// Finds a label, such as a header or a field, by its name in small letters.
    pub labels: Option<Labels<'a>>,
}

/// What a rule asks of a request. An empty list asks nothing.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Conditions {
    /// One of these fronts.
    pub fronts: Vec<String>,
    /// One of these classes.
    pub classes: Vec<String>,
    /// One of these tenants.
    pub tenants: Vec<String>,
    /// One of these paths, or with `/*` at its end what lies at or below it.
    pub paths: Vec<String>,
    /// Each of these labels, with one of the values.
    pub labels: BTreeMap<String, Vec<String>>,
}

/// Sends what meets its conditions to a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rule {
    /// For errors and the log.
    pub name: String,
    /// The highest is asked first; among equals the order of the list counts.
    pub priority: i64,
    /// What it asks.
    pub conditions: Conditions,
    /// The pool's place among the pools.
    pub pool: usize,
}

/// Rules that have been checked.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Table {
    rules: Vec<Rule>,
    default: Option<usize>,
}

/// Why rules make no table. A rule is given by its place in the list and its name.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum TableError {
    /// No request can reach the rule.
    Unreachable {
        /// The rule.
        rule: (usize, String),
        /// The names of those that take all it could match.
        shadowed_by: Vec<String>,
    },
    /// Requests exist that both match, of which each could be meant.
    Overlap {
        /// The rule that is asked first.
        first: (usize, String),
        /// The other.
        second: (usize, String),
        /// Such a request.
        example: String,
    },
    /// The rules tell so many cases apart that they can't be checked.
    TooManyCases {
        /// How many.
        cases: usize,
    },
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TableError::Unreachable { rule, shadowed_by } => {
                write!(f, "no request reaches route {:?}: {:?} would take it first", rule.1, shadowed_by)
            }
            TableError::Overlap { first, second, example } => write!(
                f,
                "routes {:?} and {:?} both match {example} and neither is a special case of the other; give one a priority",
                first.1, second.1
            ),
            TableError::TooManyCases { cases } => {
                write!(f, "the routes tell {cases} cases apart; {MAX_CASES} at most can be checked")
            }
        }
    }
}

impl std::error::Error for TableError {}

impl Conditions {
    fn matches(&self, request: &Attributes<'_>) -> bool {
        let one_of = |list: &[String], value: Option<&str>| {
            list.is_empty() || value.is_some_and(|value| list.iter().any(|item| item == value))
        };
        let label = |name: &str| request.labels.and_then(|labels| labels(name));
        one_of(&self.fronts, Some(request.front))
            && one_of(&self.classes, Some(request.class))
            && one_of(&self.tenants, request.tenant)
            && (self.paths.is_empty() || self.paths.iter().any(|pattern| path_matches(pattern, request.path)))
            && self.labels.iter().all(|(name, values)| one_of(values, label(name)))
    }
}

/// Whether a path is what the pattern says, or with `/*` at the pattern's end lies at or below it.
fn path_matches(pattern: &str, path: &str) -> bool {
    match pattern.strip_suffix("/*") {
        Some(top) => path.strip_prefix(top).is_some_and(|rest| rest.is_empty() || rest.starts_with('/')),
        None => pattern == path,
    }
}

impl Table {
    /// Checks the rules. Those without a default leave some requests without a pool, if their conditions do.
    pub fn new(rules: Vec<Rule>, default: Option<usize>) -> Result<Table, Vec<TableError>> {
        let mut placed: Vec<(usize, Rule)> = rules.into_iter().enumerate().collect();
        placed.sort_by_key(|(_, rule)| std::cmp::Reverse(rule.priority));
        let faults = faults_of(&placed);
        if faults.is_empty() {
            Ok(Table { rules: placed.into_iter().map(|(_, rule)| rule).collect(), default })
        } else {
            Err(faults)
        }
    }

    /// The pool of a request; `None` if no rule matches and there is no default.
    pub fn route(&self, request: &Attributes<'_>) -> Option<usize> {
        let rule = self.rules.iter().find(|rule| rule.conditions.matches(request));
        rule.map(|rule| rule.pool).or(self.default)
    }

    /// The rules in the order in which they are asked.
    pub fn rules(&self) -> &[Rule] {
        &self.rules
    }

    /// Where what no rule matches goes.
    pub fn default_pool(&self) -> Option<usize> {
        self.default
    }
}

/// The values of one attribute that the rules can tell apart, and one that stands for all others.
struct Axis<'a> {
    label: Option<&'a str>,
    values: Vec<Option<String>>,
}

/// All axes: front, class, tenant, path, and the labels.
fn axes(rules: &[(usize, Rule)]) -> Vec<Axis<'_>> {
    let axis = |of: fn(&Conditions) -> &Vec<String>| {
        let mut values: Vec<_> =
            rules.iter().flat_map(|(_, r)| of(&r.conditions).iter().cloned().map(Some)).collect();
        values.push(None);
        values
    };
    let mut paths = Vec::new();
    for pattern in axis(|c| &c.paths).into_iter().flatten() {
        // A path, and one below it that no rule names.
        let top = pattern.strip_suffix("/*").unwrap_or(&pattern).to_string();
        paths.push(Some(format!("{top}/\u{0}")));
        paths.push(Some(top));
    }
    paths.push(None);
    let mut labels: BTreeMap<&str, Vec<Option<String>>> = BTreeMap::new();
    for (name, values) in rules.iter().flat_map(|(_, r)| &r.conditions.labels) {
        labels.entry(name).or_insert_with(|| vec![None]).extend(values.iter().cloned().map(Some));
    }
    let plain = [axis(|c| &c.fronts), axis(|c| &c.classes), axis(|c| &c.tenants), paths].into_iter();
    let plain = plain.map(|values| Axis { label: None, values });
    let labelled = labels.into_iter().map(|(name, values)| Axis { label: Some(name), values });
    let mut all: Vec<Axis<'_>> = plain.chain(labelled).collect();
    for axis in &mut all {
        axis.values.sort();
        axis.values.dedup();
    }
    all
}

fn faults_of(rules: &[(usize, Rule)]) -> Vec<TableError> {
    let axes = axes(rules);
    let cases = axes.iter().fold(1_usize, |n, axis| n.saturating_mul(axis.values.len()));
    if cases.saturating_mul(rules.len()) > MAX_CASES {
        return vec![TableError::TooManyCases { cases: cases.saturating_mul(rules.len()) }];
    }
    let count = rules.len();
    let mut wins = vec![0_usize; count];
    // Who won a case that the rule matched too; and of two rules whether some case is in both, and some in one alone.
    let mut shadowed_by = vec![Vec::new(); count];
    let mut shared: BTreeMap<(usize, usize), String> = BTreeMap::new();
    let mut alone = vec![vec![false; count]; count];
    let mut choice = vec![0_usize; axes.len()];
    for _ in 0..cases {
        let matched = matched(rules, &axes, &choice);
        if let Some(&winner) = matched.first() {
            wins[winner] += 1;
            for &other in &matched[1..] {
                shadowed_by[other].push(winner);
                shadowed_by[other].sort_unstable();
                shadowed_by[other].dedup();
            }
        }
        for (n, &a) in matched.iter().enumerate() {
            (0..count).filter(|b| !matched.contains(b)).for_each(|b| alone[a][b] = true);
            for &b in &matched[n + 1..] {
                shared.entry((a, b)).or_insert_with(|| example(&axes, &choice));
            }
        }
        for (at, axis) in choice.iter_mut().zip(&axes) {
            *at += 1;
            if *at < axis.values.len() {
                break;
            }
            *at = 0;
        }
    }
    let named = |at: usize| (rules[at].0, rules[at].1.name.clone());
    let unreachable = (0..count).filter(|&at| wins[at] == 0).map(|at| TableError::Unreachable {
        rule: named(at),
        shadowed_by: shadowed_by[at].iter().map(|&other: &usize| rules[other].1.name.clone()).collect(),
    });
    let overlaps = shared.iter().filter(|((a, b), _)| {
        let (first, second) = (&rules[*a].1, &rules[*b].1);
        first.priority == second.priority
            && first.pool != second.pool
            && alone[*a][*b]
            && alone[*b][*a]
            && wins[*b] > 0
    });
    let overlaps = overlaps.map(|((a, b), example)| TableError::Overlap {
        first: named(*a),
        second: named(*b),
        example: example.clone(),
    });
    unreachable.chain(overlaps).collect()
}

fn value<'a>(axes: &'a [Axis<'_>], choice: &[usize], at: usize) -> Option<&'a str> {
    axes[at].values[choice[at]].as_deref()
}

fn matched(rules: &[(usize, Rule)], axes: &[Axis<'_>], choice: &[usize]) -> Vec<usize> {
    let of = |at| value(axes, choice, at);
    let label = |name: &str| {
        let at = axes.iter().position(|axis| axis.label == Some(name))?;
        value(axes, choice, at)
    };
    // No rule names a value with this character.
    let other = "\u{0}";
    let request = Attributes {
        front: of(0).unwrap_or(other),
        class: of(1).unwrap_or(other),
        tenant: of(2),
        path: of(3).unwrap_or(other),
        labels: Some(&label),
    };
    (0..rules.len()).filter(|&at| rules[at].1.conditions.matches(&request)).collect()
}

fn example(axes: &[Axis<'_>], choice: &[usize]) -> String {
    let names = ["front", "class", "tenant", "path"];
    let told = axes.iter().enumerate().filter_map(|(at, axis)| {
        let name = axis.label.unwrap_or_else(|| names[at]);
        Some(format!("{name} {}", value(axes, choice, at)?.replace('\u{0}', "...")))
    });
    let told: Vec<String> = told.collect();
    if told.is_empty() {
        "any request".into()
    } else {
        told.join(", ")
    }
}

#[cfg(test)]
mod tests;
