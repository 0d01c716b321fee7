//! Edits the TOML of a scenario: sets a key to another value, or reduces a failing scenario.

use crate::scenario::{self, Scenario};
use toml::{Table, Value};

/// The TOML table of a scenario, for editing.
#[derive(Debug, Clone, PartialEq)]
pub struct ScenarioSource(pub Table);

impl ScenarioSource {
    /// Parses the text of a scenario.
    pub fn new(text: &str) -> Result<ScenarioSource, String> {
        text.parse::<Table>().map(ScenarioSource).map_err(|e| e.to_string())
    }

    /// Returns the text of a scenario file.
    pub fn text(&self) -> String {
        toml::to_string(&self.0).unwrap_or_default()
    }

    /// Parses the scenario. The error lists all its faults.
    pub fn scenario(&self) -> Result<Scenario, String> {
        scenario::parse(&self.text())
            .map_err(|faults| faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))
    }

    /// Sets the key `a.b` or `list.2.b` to a value in TOML syntax.
    pub fn set(&mut self, path: &str, value: &str) -> Result<(), String> {
        let parsed = format!("v = {value}").parse::<Table>().ok().and_then(|mut table| table.remove("v"));
        // A bare word is a string.
        let value = parsed.unwrap_or_else(|| Value::String(value.into()));
        let (parents, key) =
            path.rsplit_once('.').map_or((None, path), |(parents, key)| (Some(parents), key));
        let mut table = &mut self.0;
        let mut steps = parents.into_iter().flat_map(|parents| parents.split('.')).peekable();
        while let Some(step) = steps.next() {
            let next = table.entry(step).or_insert_with(|| Value::Table(Table::new()));
            table = match next {
                Value::Table(inner) => inner,
                Value::Array(items) => {
                    let index = steps.next().and_then(|n| n.parse::<usize>().ok());
                    let item = index.and_then(|n| items.get_mut(n)).and_then(Value::as_table_mut);
                    item.ok_or_else(|| {
                        format!("{path}: {step} is a list; an index is missing, not a number or too large")
                    })?
                }
                _ => return Err(format!("{path}: {step} is not a table")),
            };
        }
        table.insert(key.into(), value);
        Ok(())
    }

    fn list(&mut self, path: &[&str]) -> Option<&mut Vec<Value>> {
        let (last, parents) = path.split_last()?;
        let mut table = &mut self.0;
        for step in parents {
            table = table.get_mut(*step)?.as_table_mut()?;
        }
        table.get_mut(*last)?.as_array_mut()
    }
}

/// The lists that [`minimize`] shortens.
const LISTS: [&[&str]; 5] =
    [&["fault"], &["clients", "surge"], &["clients", "herd"], &["tenant"], &["class"]];
/// The numbers that [`minimize`] reduces.
const NUMBERS: [&str; 6] =
    ["agents.count", "length_ms", "clients.rate_per_s", "fleet.servers", "clients.tries", "fleet.buildings"];

/// Reduces a failing scenario while it still fails: fewer faults, fewer agents, a shorter run. Returns the smallest failing
/// scenario that was found, and the number of scenarios that were tried.
pub fn minimize(
    source: &ScenarioSource,
    budget: usize,
    fails: &mut dyn FnMut(&Scenario) -> bool,
) -> (ScenarioSource, usize) {
    let mut best = source.clone();
    let mut tried = 0;
    let mut attempt = |candidate: &ScenarioSource, tried: &mut usize| {
        if *tried >= budget || candidate.text().is_empty() {
            return false;
        }
        let Ok(scenario) = candidate.scenario() else { return false };
        *tried += 1;
        fails(&scenario)
    };
    loop {
        let before = best.clone();
        for list in LISTS {
            // Removes large pieces first, then single items.
            let mut size = best.list(list).map_or(0, |items| items.len());
            while size > 0 {
                let mut from = 0;
                while from < best.list(list).map_or(0, |items| items.len()) {
                    let mut candidate = best.clone();
                    if let Some(items) = candidate.list(list) {
                        let to = (from + size).min(items.len());
                        items.drain(from..to);
                    }
                    if attempt(&candidate, &mut tried) {
                        best = candidate;
                    } else {
                        from += size;
                    }
                }
                size /= 2;
            }
        }
        for fault in 0..best.list(&["fault"]).map_or(0, |faults| faults.len()) {
            for times in [1, 2, 4] {
                let mut candidate = best.clone();
                let path = format!("fault.{fault}.times");
                let is_fewer = number_at(&best, &path).is_some_and(|now| now > f64::from(times));
                if is_fewer
                    && candidate.set(&path, &times.to_string()).is_ok()
                    && attempt(&candidate, &mut tried)
                {
                    best = candidate;
                }
            }
        }
        for path in NUMBERS {
            for share in [0.5, 0.75, 0.9] {
                while let Some(now) = number_at(&best, path) {
                    let smaller = (now * share).floor();
                    let mut candidate = best.clone();
                    let is_smaller =
                        smaller >= 1.0 && smaller < now && candidate.set(path, &smaller.to_string()).is_ok();
                    if is_smaller && attempt(&candidate, &mut tried) {
                        best = candidate;
                    } else {
                        break;
                    }
                }
            }
        }
        if best == before || tried >= budget {
            return (best, tried);
        }
    }
}

fn number_at(source: &ScenarioSource, path: &str) -> Option<f64> {
    let mut value: Option<&Value> = None;
    for step in path.split('.') {
        value = match (value, step.parse::<usize>()) {
            (None, _) => source.0.get(step),
            (Some(value), Ok(index)) => value.get(index),
            (Some(value), Err(_)) => value.get(step),
        };
        value?;
    }
    match value? {
        Value::Integer(n) => Some(*n as f64),
        Value::Float(n) => Some(*n),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
