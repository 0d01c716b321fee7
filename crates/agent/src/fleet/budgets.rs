//! `heronhoist fleet budgets`: sets the rules of the disruption budgets from a file, and shows what is unavailable against them.

use super::client::{Client, ClientError, TargetArgs, OPERATOR};
use heronhoist_config::reader::{integer, one_of, parse_toml, text, Presence, Reader, Section};
use heronhoist_config::Fault;
use heronhoist_disruption::denial::BudgetDenial;
use heronhoist_disruption::records::{RecordError, RULES_KEY};
use heronhoist_disruption::rules::{InvalidRule, Limit, Rule, Rules, Scope, Server, UnitKind, MAX_RULES};
use heronhoist_disruption::unavailable::{GroupStatus, Unavailable};
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use toml::de::DeValue;

/// Why the budgets can't be written or shown.
#[derive(Debug, thiserror::Error)]
pub enum BudgetsError {
    /// The coordination service can't be called, or did not respond.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The rules can't be written.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// What is unavailable can't be counted.
    #[error(transparent)]
    Denial(#[from] BudgetDenial),
    /// The file can't be read.
    #[error("cannot read {}: {source}", .path.display())]
    UnreadableFile {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file is invalid.
    #[error("{}", all_faults(.path, .faults))]
    FaultyFile {
        /// The file.
        path: PathBuf,
        /// Its faults, ordered by line and column.
        faults: Vec<Fault>,
    },
}

/// Formats the faults, one per line.
fn all_faults(path: &Path, faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(|fault| format!("{}:{fault}", path.display())).collect();
    lines.join("\n")
}

/// Formats the budgets' groups and what is unavailable in each as a table.
pub fn table(groups: &[GroupStatus]) -> String {
    let mut page = format!("\n{:<28} {:>5} {:>9} {:>6}  who\n", "budget", "all", "may be", "out");
    for GroupStatus { name, total, limit, unavailable, causes } in groups {
        let overdrawn = if *unavailable > f64::from(*limit) { "  OVERDRAWN" } else { "" };
        let _ = writeln!(
            page,
            "{name:<28} {total:>5} {limit:>9} {unavailable:>6.2}  {}{overdrawn}",
            causes.join(", ")
        );
    }
    page
}

/// Stores the rules of a file, if one is given; returns a table of what is unavailable against the rules in force.
///
/// # Errors
/// [`BudgetsError`], if the rules are not stored, if it is unknown whether they are, or if nothing can be shown.
pub async fn run(file: Option<&Path>, target: &TargetArgs) -> Result<String, BudgetsError> {
    let mut client = Client::new(target, OPERATOR)?;
    if let Some(path) = file {
        let rules = read_rules(path)?;
        client.change(RULES_KEY, |view| rules.to_transaction(view)).await??;
    }
    let unavailable = Unavailable::count(&client.read("").await?)?;
    Ok(table(&unavailable.groups()))
}

fn read_rules(path: &Path) -> Result<Rules, BudgetsError> {
    let content = std::fs::read_to_string(path)
        .map_err(|source| BudgetsError::UnreadableFile { path: path.into(), source })?;
    parse(&content).map_err(|faults| BudgetsError::FaultyFile { path: path.into(), faults })
}

/// The file's names of the unit kinds.
const UNIT_KINDS: [(&str, UnitKind); 2] = [("agents", UnitKind::Agents), ("servers", UnitKind::Servers)];
/// The file's names of the scopes.
const SCOPES: [(&str, Scope); 4] =
    [("all", Scope::All), ("site", Scope::Site), ("kind", Scope::MachineType), ("cell", Scope::Cell)];

/// Parses a limit: a number, or a share in percent.
fn limit(value: &DeValue<'_>) -> Option<Limit> {
    if let Some(number) = integer(value) {
        return u32::try_from(number).ok().map(Limit::Number);
    }
    let share: f64 = text(value)?.strip_suffix('%')?.trim().parse().ok()?;
    (0.0..=100.0).contains(&share).then_some(Limit::Share(share / 100.0))
}

/// Parses the text of the file. Each fault is reported with its line and column.
fn parse(content: &str) -> Result<Rules, Vec<Fault>> {
    let table = parse_toml(content)?;
    let (mut reader, mut root) = Reader::new(content, &table, &|_| None);
    let mut rules = Rules::default();
    let mut rule_sections: Vec<Section<'_>> = Vec::new();
    for mut section in reader.sections(&mut root, "budget") {
        rules.rules.push(parse_rule(&mut reader, &mut section));
        rule_sections.push(section);
    }
    for section in reader.sections(&mut root, "server") {
        parse_server(&mut reader, section, &mut rules);
    }
    reader.finish(root);
    // Rules are validated once each of them can be read.
    if reader.faults.is_empty() {
        report_invalid_rules(&mut reader, &rule_sections, &rules);
    }
    rule_sections.into_iter().for_each(|section| reader.finish(section));
    let mut faults = std::mem::take(&mut reader.faults);
    faults.sort_by_key(|fault| (fault.line, fault.column));
    if faults.is_empty() {
        Ok(rules)
    } else {
        Err(faults)
    }
}

/// Reads one rule. A value that can't be read is replaced by a default, so that each rule keeps its index.
fn parse_rule<'text>(reader: &mut Reader<'text>, section: &mut Section<'text>) -> Rule {
    let unit_kind = reader.get(section, "of", Presence::Required, "agents or servers", one_of(&UNIT_KINDS));
    let scope = reader.get(section, "by", Presence::Required, "all, site, kind or cell", one_of(&SCOPES));
    let only = reader.get(section, "only", Presence::Optional, "a site, kind or cell", text);
    let expected = "a number as 2, or a share as \"25%\"";
    let limit = reader.get(section, "most", Presence::Required, expected, limit);
    Rule {
        unit_kind: unit_kind.unwrap_or(UnitKind::Servers),
        scope: scope.unwrap_or(Scope::All),
        only,
        limit: limit.unwrap_or(Limit::Number(0)),
    }
}

/// Reads one server and adds it to the rules.
fn parse_server<'text>(reader: &mut Reader<'text>, mut section: Section<'text>, rules: &mut Rules) {
    let name = reader.get(&mut section, "name", Presence::Required, "a server's name", text);
    let mut placement = |key| reader.get(&mut section, key, Presence::Default(String::new()), "a name", text);
    let [site, machine_type, cell] =
        ["site", "kind", "cell"].map(&mut placement).map(Option::unwrap_or_default);
    if let Some(name) = name {
        if rules.servers.contains_key(&name) {
            reader.add_fault(&section, "name", "found a second time; expected a unique name".into());
        }
        rules.servers.insert(name, Server { site, machine_type, cell });
    }
    reader.finish(section);
}

/// Validates the rules, all of which could be read, and reports each fault at its key.
fn report_invalid_rules(reader: &mut Reader<'_>, sections: &[Section<'_>], rules: &Rules) {
    for fault in rules.validate() {
        let (rule, key) = locate_fault(&fault);
        if let Some(section) = sections.get(rule) {
            reader.add_fault(section, key, fault.to_string());
        }
    }
}

/// Returns the index of the invalid rule, and the key.
fn locate_fault(fault: &InvalidRule) -> (usize, &'static str) {
    match fault {
        InvalidRule::TooMany => (MAX_RULES, "of"),
        InvalidRule::UnsupportedAgentScope(rule) => (*rule, "by"),
        InvalidRule::OnlyWithoutGroups(rule) | InvalidRule::UnknownGroup { rule, .. } => (*rule, "only"),
        InvalidRule::ShareOutOfRange(rule)
        | InvalidRule::Contradiction { second: rule, .. }
        | InvalidRule::NeverAllows { rule, .. } => (*rule, "most"),
    }
}

#[cfg(test)]
mod tests;
