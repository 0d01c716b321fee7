//! Selects the pool that a request is sent to. A [`Table`] holds rules that match the [`Attributes`] of a request.
//! Rules are evaluated in order of descending priority, and the first rule that matches determines the pool. If no
//! rule matches, the default pool is used.
//!
//! A table is validated when it is created. It is an error if no request can reach a rule, or if two rules of equal
//! priority select different pools for some requests while neither rule is a special case of the other. The check is
//! exact: it enumerates every combination of attribute values that the rules can distinguish. [`MAX_CASES`] limits
//! the number of evaluations.
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
//! let table = Table::new(vec![rule("copies", "certified-copy", 1)], Some(0)).expect("valid rules");
//! let request = Attributes { front: "http", class: "certified-copy", path: "/certified-copy/7", ..Attributes::default() };
//! assert_eq!(table.route(&request), Some(1));
//! // No request reaches the second rule.
//! let twice = vec![rule("copies", "certified-copy", 1), rule("again", "certified-copy", 2)];
//! assert!(Table::new(twice, Some(0)).is_err());
//! ```

use std::collections::BTreeMap;
use std::fmt;

/// The maximum number of rule evaluations (combinations of attribute values times rules) when a table is validated.
pub const MAX_CASES: usize = 200_000;

/// Returns the value of a label by its name.
pub type Labels<'a> = &'a dyn Fn(&str) -> Option<&'a str>;

/// The attributes of a request that a front knows.
#[derive(Clone, Copy, Default)]
pub struct Attributes<'a> {
    /// The name of the front that received it.
    pub front: &'a str,
    /// The name of its class.
    pub class: &'a str,
    /// The tenant that it belongs to, if known.
    pub tenant: Option<&'a str>,
    /// Its path, or the type of its message; segments are separated by `/`.
    pub path: &'a str,
    /// Returns the value of a label, such as a header or a field, by its lower-case name.
    pub labels: Option<Labels<'a>>,
}

/// The conditions that a request must meet to match a rule. An empty list matches every request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Conditions {
    /// The front is one of these.
    pub fronts: Vec<String>,
    /// The class is one of these.
    pub classes: Vec<String>,
    /// The tenant is one of these.
    pub tenants: Vec<String>,
    /// The path equals one of these, or is at or below one that ends with `/*`.
    pub paths: Vec<String>,
    /// Each of these labels has one of its listed values.
    pub labels: BTreeMap<String, Vec<String>>,
}

/// Sends the requests that meet its conditions to a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rule {
    /// The rule's name, for error messages and the log.
    pub name: String,
    /// Rules with a higher priority are evaluated first; rules of equal priority keep the order of the list.
    pub priority: i64,
    /// The conditions that a request must meet.
    pub conditions: Conditions,
    /// The index of the pool.
    pub pool: usize,
}

/// A validated set of rules.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Table {
    rules: Vec<Rule>,
    default: Option<usize>,
}

/// An error in a set of rules. A rule is identified by its index in the list and its name.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum TableError {
    /// No request can reach the rule.
    Unreachable {
        /// The rule that is never reached.
        rule: (usize, String),
        /// The names of the rules that match all of its requests first.
        shadowed_by: Vec<String>,
    },
    /// Two rules of equal priority match some of the same requests but select different pools.
    Overlap {
        /// The rule that is evaluated first.
        first: (usize, String),
        /// The other rule.
        second: (usize, String),
        /// A request that both rules match.
        example: String,
    },
    /// The rules distinguish too many combinations of attribute values to be validated.
    TooManyCases {
        /// The number of rule evaluations that validation needs.
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
                write!(f, "checking the routes needs {cases} evaluations; at most {MAX_CASES} are allowed")
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
        let label_value = |name: &str| request.labels.and_then(|labels| labels(name));
        one_of(&self.fronts, Some(request.front))
            && one_of(&self.classes, Some(request.class))
            && one_of(&self.tenants, request.tenant)
            && (self.paths.is_empty() || self.paths.iter().any(|pattern| path_matches(pattern, request.path)))
            && self.labels.iter().all(|(name, values)| one_of(values, label_value(name)))
    }
}

/// Returns whether a path equals the pattern or, if the pattern ends with `/*`, is at or below it.
fn path_matches(pattern: &str, path: &str) -> bool {
    match pattern.strip_suffix("/*") {
        Some(parent) => {
            path.strip_prefix(parent).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        }
        None => pattern == path,
    }
}

impl Table {
    /// Validates the rules and creates a table. Without a default pool, requests that match no rule have no pool.
    pub fn new(rules: Vec<Rule>, default: Option<usize>) -> Result<Table, Vec<TableError>> {
        let mut indexed: Vec<(usize, Rule)> = rules.into_iter().enumerate().collect();
        indexed.sort_by_key(|(_, rule)| std::cmp::Reverse(rule.priority));
        let errors = find_errors(&indexed);
        if errors.is_empty() {
            Ok(Table { rules: indexed.into_iter().map(|(_, rule)| rule).collect(), default })
        } else {
            Err(errors)
        }
    }

    /// Returns the pool of a request; `None` if no rule matches and there is no default.
    pub fn route(&self, request: &Attributes<'_>) -> Option<usize> {
        let rule = self.rules.iter().find(|rule| rule.conditions.matches(request));
        rule.map(|rule| rule.pool).or(self.default)
    }

    /// Returns the rules in the order in which they are evaluated.
    pub fn rules(&self) -> &[Rule] {
        &self.rules
    }

    /// Returns the pool of requests that match no rule.
    pub fn default_pool(&self) -> Option<usize> {
        self.default
    }
}

/// The values of one attribute that the rules can distinguish, and `None` for all other values.
struct Axis<'a> {
    label: Option<&'a str>,
    values: Vec<Option<String>>,
}

/// Returns all axes: front, class, tenant, path, then the labels.
fn axes(rules: &[(usize, Rule)]) -> Vec<Axis<'_>> {
    let axis_values = |listed: fn(&Conditions) -> &Vec<String>| {
        let mut values: Vec<_> =
            rules.iter().flat_map(|(_, rule)| listed(&rule.conditions).iter().cloned().map(Some)).collect();
        values.push(None);
        values
    };
    let mut paths = Vec::new();
    for pattern in axis_values(|conditions| &conditions.paths).into_iter().flatten() {
        // The path itself, and one below it that no rule names.
        let parent = pattern.strip_suffix("/*").unwrap_or(&pattern).to_string();
        paths.push(Some(format!("{parent}/\u{0}")));
        paths.push(Some(parent));
    }
    paths.push(None);
    let mut labels: BTreeMap<&str, Vec<Option<String>>> = BTreeMap::new();
    for (name, values) in rules.iter().flat_map(|(_, rule)| &rule.conditions.labels) {
        labels.entry(name).or_insert_with(|| vec![None]).extend(values.iter().cloned().map(Some));
    }
    let fixed = [
        axis_values(|conditions| &conditions.fronts),
        axis_values(|conditions| &conditions.classes),
        axis_values(|conditions| &conditions.tenants),
        paths,
    ]
    .into_iter();
    let fixed = fixed.map(|values| Axis { label: None, values });
    let labelled = labels.into_iter().map(|(name, values)| Axis { label: Some(name), values });
    let mut axes: Vec<Axis<'_>> = fixed.chain(labelled).collect();
    for axis in &mut axes {
        axis.values.sort();
        axis.values.dedup();
    }
    axes
}

fn find_errors(rules: &[(usize, Rule)]) -> Vec<TableError> {
    let axes = axes(rules);
    let cases = axes.iter().fold(1_usize, |product, axis| product.saturating_mul(axis.values.len()));
    if cases.saturating_mul(rules.len()) > MAX_CASES {
        return vec![TableError::TooManyCases { cases: cases.saturating_mul(rules.len()) }];
    }
    let count = rules.len();
    // For each rule, the number of cases in which it is the first match.
    let mut first_match_counts = vec![0_usize; count];
    // For each rule, the rules that are the first match in a case that it matches too.
    let mut shadowed_by = vec![Vec::new(); count];
    // For each pair of rules that match a common case, an example of one.
    let mut overlap_examples: BTreeMap<(usize, usize), String> = BTreeMap::new();
    // For each pair of rules, whether the first matches a case that the second does not.
    let mut matches_alone = vec![vec![false; count]; count];
    // The current case, as an index into the values of each axis.
    let mut case = vec![0_usize; axes.len()];
    for _ in 0..cases {
        let matching = matching_rules(rules, &axes, &case);
        if let Some(&first_match) = matching.first() {
            first_match_counts[first_match] += 1;
            for &other in &matching[1..] {
                shadowed_by[other].push(first_match);
                shadowed_by[other].sort_unstable();
                shadowed_by[other].dedup();
            }
        }
        for (position, &first) in matching.iter().enumerate() {
            (0..count)
                .filter(|other| !matching.contains(other))
                .for_each(|other| matches_alone[first][other] = true);
            for &second in &matching[position + 1..] {
                overlap_examples.entry((first, second)).or_insert_with(|| example(&axes, &case));
            }
        }
        for (index, axis) in case.iter_mut().zip(&axes) {
            *index += 1;
            if *index < axis.values.len() {
                break;
            }
            *index = 0;
        }
    }
    let identify = |index: usize| (rules[index].0, rules[index].1.name.clone());
    let unreachable =
        (0..count).filter(|&index| first_match_counts[index] == 0).map(|index| TableError::Unreachable {
            rule: identify(index),
            shadowed_by: shadowed_by[index]
                .iter()
                .map(|&other: &usize| rules[other].1.name.clone())
                .collect(),
        });
    let overlaps = overlap_examples.iter().filter(|((first_index, second_index), _)| {
        let (first, second) = (&rules[*first_index].1, &rules[*second_index].1);
        first.priority == second.priority
            && first.pool != second.pool
            && matches_alone[*first_index][*second_index]
            && matches_alone[*second_index][*first_index]
            && first_match_counts[*second_index] > 0
    });
    let overlaps = overlaps.map(|((first, second), example)| TableError::Overlap {
        first: identify(*first),
        second: identify(*second),
        example: example.clone(),
    });
    unreachable.chain(overlaps).collect()
}

fn value_at<'a>(axes: &'a [Axis<'_>], case: &[usize], axis: usize) -> Option<&'a str> {
    axes[axis].values[case[axis]].as_deref()
}

/// Returns the indices of the rules that match a case, in the order in which they are evaluated.
fn matching_rules(rules: &[(usize, Rule)], axes: &[Axis<'_>], case: &[usize]) -> Vec<usize> {
    let value = |axis| value_at(axes, case, axis);
    let label_value = |name: &str| {
        let index = axes.iter().position(|axis| axis.label == Some(name))?;
        value_at(axes, case, index)
    };
    // No rule contains a value with this character.
    let unlisted = "\u{0}";
    let request = Attributes {
        front: value(0).unwrap_or(unlisted),
        class: value(1).unwrap_or(unlisted),
        tenant: value(2),
        path: value(3).unwrap_or(unlisted),
        labels: Some(&label_value),
    };
    (0..rules.len()).filter(|&index| rules[index].1.conditions.matches(&request)).collect()
}

/// Describes a request of a case, for error messages.
fn example(axes: &[Axis<'_>], case: &[usize]) -> String {
    let names = ["front", "class", "tenant", "path"];
    let parts = axes.iter().enumerate().filter_map(|(index, axis)| {
        let name = axis.label.unwrap_or_else(|| names[index]);
        Some(format!("{name} {}", value_at(axes, case, index)?.replace('\u{0}', "...")))
    });
    let parts: Vec<String> = parts.collect();
    if parts.is_empty() {
        "any request".into()
    } else {
        parts.join(", ")
    }
}

#[cfg(test)]
mod tests;
