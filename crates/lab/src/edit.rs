//! Changes to a scenario as text: one key set to another value, or a smaller scenario that still fails.

use crate::scenario::{self, Scenario};
use toml::{Table, Value};

/// A scenario as it was written, for changes.
#[derive(Debug, Clone, PartialEq)]
pub struct ScenarioSource(pub Table);

impl ScenarioSource {
    /// Takes the text of a sound scenario.
    pub fn new(text: &str) -> Result<ScenarioSource, String> {
        text.parse::<Table>().map(ScenarioSource).map_err(|e| e.to_string())
    }

    /// As a file would have it.
    pub fn text(&self) -> String {
        toml::to_string(&self.0).unwrap_or_default()
    }

    /// What it means; all faults in one text if it means nothing.
    pub fn scenario(&self) -> Result<Scenario, String> {
        scenario::parse(&self.text())
            .map_err(|faults| faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))
    }

    /// Sets `a.b` or `list.2.b` to a value in the form of TOML.
    pub fn set(&mut self, path: &str, value: &str) -> Result<(), String> {
        let parsed = format!("v = {value}").parse::<Table>().ok().and_then(|mut table| table.remove("v"));
        // A bare word is a text.
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
                    let place = steps.next().and_then(|n| n.parse::<usize>().ok());
                    let item = place.and_then(|n| items.get_mut(n)).and_then(Value::as_table_mut);
                    item.ok_or_else(|| format!("{path}: {step} is a list; say which of its places"))?
                }
                _ => return Err(format!("{path}: {step} is no table")),
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

/// Lists that may be shorter, and figures that may be smaller.
const LISTS: [&[&str]; 5] =
    [&["fault"], &["clients", "surge"], &["clients", "herd"], &["tenant"], &["class"]];
const FIGURES: [&str; 6] =
    ["agents.count", "length_ms", "clients.rate_per_s", "fleet.servers", "clients.tries", "fleet.buildings"];

/// Makes a scenario that fails smaller for as long as it still fails: fewer faults, fewer agents, shorter. Returns the
/// smallest one that was found, and how many were tried.
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
            // Large pieces first, then one by one.
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
                let fewer = figure(&best, &path).is_some_and(|now| now > f64::from(times));
                if fewer
                    && candidate.set(&path, &times.to_string()).is_ok()
                    && attempt(&candidate, &mut tried)
                {
                    best = candidate;
                }
            }
        }
        for path in FIGURES {
            for share in [0.5, 0.75, 0.9] {
                while let Some(now) = figure(&best, path) {
                    let smaller = (now * share).floor();
                    let mut candidate = best.clone();
                    let set =
                        smaller >= 1.0 && smaller < now && candidate.set(path, &smaller.to_string()).is_ok();
                    if set && attempt(&candidate, &mut tried) {
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

fn figure(source: &ScenarioSource, path: &str) -> Option<f64> {
    let mut value: Option<&Value> = None;
    for step in path.split('.') {
        value = match (value, step.parse::<usize>()) {
            (None, _) => source.0.get(step),
            (Some(value), Ok(place)) => value.get(place),
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
