//! `heronhoist fleet budgets`: how much may be out, from a file.

use super::client::{Client, Where};
use heronhoist_config::reader::{one_of, tables, text, whole, Absent, Reader, Section};
use heronhoist_config::Fault;
use heronhoist_disruption::records;
use heronhoist_disruption::rules::{self, InvalidRule, Limit, Rule, Rules, Scope, Server, UnitKind};
use heronhoist_disruption::unavailable::{GroupStatus, Unavailable};
use std::fmt::Write as _;
use std::path::Path;
use toml::de::DeValue;

/// The groups of the budgets, and what of them is unavailable.
pub fn groups(groups: &[GroupStatus]) -> String {
    let mut page = format!("\n{:<28} {:>5} {:>9} {:>6}  who\n", "budget", "all", "may be", "out");
    for GroupStatus { name, total, limit, unavailable, causes } in groups {
        let over = if *unavailable > f64::from(*limit) { "  OVERDRAWN" } else { "" };
        let _ = writeln!(
            page,
            "{name:<28} {total:>5} {limit:>9} {unavailable:>6.2}  {}{over}",
            causes.join(", ")
        );
    }
    page
}

/// States budgets from a file, or shows what is out against those that are stated.
pub async fn run(file: Option<&Path>, at: &Where) -> Result<String, String> {
    let mut client = Client::new(at, "operator")?;
    let Some(path) = file else {
        let count = Unavailable::count(&client.read("").await?).map_err(|why| why.to_string())?;
        return Ok(groups(&count.groups()));
    };
    let content =
        std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    let rules = parse(&content).map_err(|faults| {
        let faults: Vec<String> = faults.iter().map(|fault| format!("{}:{fault}", path.display())).collect();
        faults.join("\n")
    })?;
    let stated = client.change(records::RULES_KEY, |view| rules.to_transaction(view)).await?;
    stated.map_err(|why| why.to_string())?;
    let count = Unavailable::count(&client.read("").await?).map_err(|why| why.to_string())?;
    Ok(groups(&count.groups()))
}

const UNIT_KINDS: [(&str, UnitKind); 2] = [("agents", UnitKind::Agents), ("servers", UnitKind::Servers)];
const SCOPES: [(&str, Scope); 4] =
    [("all", Scope::All), ("site", Scope::Site), ("kind", Scope::MachineType), ("cell", Scope::Cell)];

fn limit(value: &DeValue<'_>) -> Option<Limit> {
    if let Some(number) = whole(value) {
        return u32::try_from(number).ok().map(Limit::Number);
    }
    let share: f64 = text(value)?.strip_suffix('%')?.trim().parse().ok()?;
    (0.0..=100.0).contains(&share).then_some(Limit::Share(share / 100.0))
}

/// Reads the file of the budgets. Every fault is told with its place.
fn parse(content: &str) -> Result<Rules, Vec<Fault>> {
    let table = tables(content)?;
    let (mut reader, mut root) = Reader::new(content, &table, &|_| None);
    let mut rules = Rules::default();
    let mut sections: Vec<Section<'_>> = Vec::new();
    for mut section in reader.sections(&mut root, "budget") {
        let unit_kind =
            reader.get(&mut section, "of", Absent::Fault, "agents or servers", one_of(&UNIT_KINDS));
        let scope = reader.get(&mut section, "by", Absent::Fault, "all, site, kind or cell", one_of(&SCOPES));
        let only = reader.get(&mut section, "only", Absent::Nothing, "a site, kind or cell", text);
        let wanted = "a number as 2, or a share as \"25%\"";
        let limit = reader.get(&mut section, "most", Absent::Fault, wanted, limit);
        // Each keeps its place, so that what is said of it later finds its line.
        rules.rules.push(Rule {
            unit_kind: unit_kind.unwrap_or(UnitKind::Servers),
            scope: scope.unwrap_or(Scope::All),
            only,
            limit: limit.unwrap_or(Limit::Number(0)),
        });
        sections.push(section);
    }
    for mut section in reader.sections(&mut root, "server") {
        let name = reader.get(&mut section, "name", Absent::Fault, "a server's name", text);
        let mut place = |key| reader.get(&mut section, key, Absent::Default(String::new()), "a name", text);
        let [site, machine_type, cell] =
            ["site", "kind", "cell"].map(&mut place).map(Option::unwrap_or_default);
        if let Some(name) = name {
            if rules.servers.contains_key(&name) {
                reader.fault(&section, "name", "found a second time; wanted a name of its own".into());
            }
            rules.servers.insert(name, Server { site, machine_type, cell });
        }
        reader.end(section);
    }
    reader.end(root);
    // What the rules mean is looked at once each of them can be read.
    let invalid_rules = if reader.faults.is_empty() { rules.validate() } else { Vec::new() };
    for fault in invalid_rules {
        let (at, key) = match &fault {
            InvalidRule::TooMany => (rules::MAX_RULES, "of"),
            InvalidRule::UnsupportedAgentScope(at) => (*at, "by"),
            InvalidRule::OnlyWithoutGroups(at) | InvalidRule::UnknownGroup { rule: at, .. } => (*at, "only"),
            InvalidRule::ShareOutOfRange(at)
            | InvalidRule::Contradiction { second: at, .. }
            | InvalidRule::NeverAllows { rule: at, .. } => (*at, "most"),
        };
        if let Some(section) = sections.get(at) {
            reader.fault(section, key, fault.to_string());
        }
    }
    sections.into_iter().for_each(|section| reader.end(section));
    let mut faults = std::mem::take(&mut reader.faults);
    faults.sort_by_key(|fault| (fault.line, fault.column));
    if faults.is_empty() {
        Ok(rules)
    } else {
        Err(faults)
    }
}

#[cfg(test)]
mod tests;
