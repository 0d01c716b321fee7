//! Reads TOML by what is wanted of it, and collects every fault with its place instead of stopping at the first.

use std::collections::BTreeSet;
use std::fmt;
use std::ops::Range;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// What is wrong with a file, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Counted from 1.
    pub line: usize,
    /// In characters, counted from 1.
    pub column: usize,
    /// The key, with the tables round it; empty where the text is no TOML.
    pub key: String,
    /// What was found there, and what is wanted.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault { line, column, key, message } = self;
        match key.is_empty() {
            true => write!(f, "{line}:{column}: {message}"),
            false => write!(f, "{line}:{column}: {key}: {message}"),
        }
    }
}

/// Where a value in force comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// This line of the file.
    Line(usize),
    /// This line of the file, and the environment variables that it names.
    Environment(usize, Vec<String>),
    /// The file does not say.
    Default,
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Source::Line(line) => write!(f, "line {line}"),
            Source::Environment(line, names) => write!(f, "line {line}, ${{{}}}", names.join("}, ${")),
            Source::Default => f.write_str("default"),
        }
    }
}

/// A value in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EffectiveValue {
    /// The key, with the tables round it.
    pub key: String,
    /// The value as the file would have it.
    pub value: String,
    /// Who said so.
    pub source: Source,
}

/// What stands for a key that the file does not have.
pub enum Absent<T> {
    /// This is in force.
    Default(T),
    /// Nothing, and that is no fault.
    Nothing,
    /// It is a fault.
    Fault,
}

/// The lookup of environment variables.
pub type Environment<'e> = &'e dyn Fn(&str) -> Option<String>;

/// One reading of a text.
pub struct Reader<'t> {
    text: &'t str,
    environment: Environment<'t>,
    /// What is wrong, in the order in which it was found.
    pub faults: Vec<Fault>,
    /// What is in force, in the order in which it was asked for.
    pub effective_values: Vec<EffectiveValue>,
}

/// A table that is being read. Keys of it that nobody has asked for are faults at its [end](Reader::end).
pub struct Section<'t> {
    path: String,
    table: Option<&'t DeTable<'t>>,
    at: Range<usize>,
    asked: BTreeSet<&'static str>,
}

impl Section<'_> {
    /// The key's full name.
    pub fn key(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Where it begins in the text.
    pub fn start(&self) -> usize {
        self.at.start
    }

    /// Whether the file has this table.
    pub fn is_present(&self) -> bool {
        self.table.is_some()
    }
}

/// A value in words, for faults.
fn found(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) => format!("{text:?}"),
        DeValue::Integer(number) => number.to_string(),
        DeValue::Float(number) => number.to_string(),
        DeValue::Boolean(flag) => flag.to_string(),
        DeValue::Datetime(time) => time.to_string(),
        DeValue::Array(items) => format!("a list of {}", items.len()),
        DeValue::Table(_) => "a table".into(),
    }
}

/// A number, whether written as whole or not.
pub fn number(value: &DeValue<'_>) -> Option<f64> {
    match value {
        DeValue::Integer(n) => i64::from_str_radix(n.as_str(), n.radix()).ok().map(|n| n as f64),
        DeValue::Float(n) => n.as_str().parse().ok().filter(|n: &f64| n.is_finite()),
        _ => None,
    }
}

/// A whole number.
pub fn integer(value: &DeValue<'_>) -> Option<i64> {
    match value {
        DeValue::Integer(n) => i64::from_str_radix(n.as_str(), n.radix()).ok(),
        _ => None,
    }
}

/// Text without `${...}`, which only [`Reader::get_expanded`] reads.
pub fn text(value: &DeValue<'_>) -> Option<String> {
    match value {
        DeValue::String(text) if !text.is_empty() && !text.contains("${") => Some(text.to_string()),
        _ => None,
    }
}

/// True or false.
pub fn flag(value: &DeValue<'_>) -> Option<bool> {
    match value {
        DeValue::Boolean(flag) => Some(*flag),
        _ => None,
    }
}

/// What one of these words stands for.
pub fn one_of<T: Copy>(words: &'static [(&'static str, T)]) -> impl Fn(&DeValue<'_>) -> Option<T> {
    move |value| {
        let word = text(value)?;
        words.iter().find(|(name, _)| *name == word).map(|(_, meaning)| *meaning)
    }
}

/// One text, or a list of them.
pub fn text_list(value: &DeValue<'_>) -> Option<Vec<String>> {
    match value {
        DeValue::Array(items) if !items.is_empty() => items.iter().map(|item| text(item.get_ref())).collect(),
        other => text(other).map(|one| vec![one]),
    }
}

/// The tables of a text, or the one fault that it is no TOML.
pub fn parse_toml(text: &str) -> Result<Spanned<DeTable<'_>>, Vec<Fault>> {
    DeTable::parse(text).map_err(|e| {
        let (line, column) = position(text, e.span().map_or(0, |span| span.start));
        vec![Fault { line, column, key: String::new(), message: format!("no TOML: {}", e.message()) }]
    })
}

impl<'t> Reader<'t> {
    /// Begins to read the [TOML](parse_toml) of a text.
    pub fn new(
        text: &'t str,
        table: &'t Spanned<DeTable<'t>>,
        environment: Environment<'t>,
    ) -> (Self, Section<'t>) {
        let reader = Reader { text, environment, faults: Vec::new(), effective_values: Vec::new() };
        let section =
            Section { path: String::new(), table: Some(table.get_ref()), at: 0..0, asked: BTreeSet::new() };
        (reader, section)
    }

    fn line(&self, at: usize) -> usize {
        self.text[..at.min(self.text.len())].matches('\n').count() + 1
    }

    /// Notes a fault at a place in the text.
    pub fn add_fault_at(&mut self, at: usize, key: String, message: String) {
        let (line, column) = position(self.text, at);
        self.faults.push(Fault { line, column, key, message });
    }

    /// Notes a fault of a key, or of its table if it is not there.
    pub fn add_fault(&mut self, section: &Section<'_>, key: &str, message: String) {
        let value = section.table.and_then(|table| table.get(key));
        let at = value.map_or(section.at.start, |value| value.span().start);
        self.add_fault_at(at, section.key(key), message);
    }

    /// The value of a key as `read` understands it. `wanted` says in words what that is.
    pub fn get<T: fmt::Debug>(
        &mut self,
        section: &mut Section<'t>,
        key: &'static str,
        absent: Absent<T>,
        wanted: &str,
        read: impl Fn(&DeValue<'t>) -> Option<T>,
    ) -> Option<T> {
        section.asked.insert(key);
        let name = section.key(key);
        match section.table.and_then(|table| table.get(key)) {
            Some(value) => match read(value.get_ref()) {
                Some(read) => {
                    let source = Source::Line(self.line(value.span().start));
                    let value = self.text.get(value.span()).unwrap_or_default().to_string();
                    self.effective_values.push(EffectiveValue { key: name, value, source });
                    Some(read)
                }
                None => {
                    let what = format!("found {}; wanted {wanted}", found(value.get_ref()));
                    self.add_fault_at(value.span().start, name, what);
                    None
                }
            },
            None => match absent {
                Absent::Default(value) => {
                    let said = word(&format!("{value:?}"));
                    self.effective_values.push(EffectiveValue {
                        key: name,
                        value: said,
                        source: Source::Default,
                    });
                    Some(value)
                }
                Absent::Nothing => None,
                Absent::Fault => {
                    self.add_fault_at(section.at.start, name, format!("found nothing; wanted {wanted}"));
                    None
                }
            },
        }
    }

    /// Text in which `${NAME}` stands for a variable of the environment; one that is not set is a fault.
    pub fn get_expanded<T: fmt::Debug + Clone>(
        &mut self,
        section: &mut Section<'t>,
        key: &'static str,
        absent: Absent<T>,
        wanted: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let value = section.table.and_then(|table| table.get(key));
        let Some((DeValue::String(raw), span)) = value.map(|value| (value.get_ref(), value.span())) else {
            return self.get(section, key, absent, wanted, |_| None);
        };
        section.asked.insert(key);
        let name = section.key(key);
        let mut names = Vec::new();
        let text = match expand(raw, self.environment, &mut names) {
            Ok(text) => text,
            Err(what) => {
                self.add_fault_at(span.start, name, what);
                return None;
            }
        };
        let line = self.line(span.start);
        let source = if names.is_empty() { Source::Line(line) } else { Source::Environment(line, names) };
        match read(&text) {
            Some(read) => {
                self.effective_values.push(EffectiveValue { key: name, value: format!("{text:?}"), source });
                Some(read)
            }
            None => {
                self.add_fault_at(span.start, name, format!("found {text:?}; wanted {wanted}"));
                None
            }
        }
    }

    /// The table of a key; one that is not there reads as empty.
    pub fn section(&mut self, parent: &mut Section<'t>, key: &'static str) -> Section<'t> {
        parent.asked.insert(key);
        let path = parent.key(key);
        let (table, at) = match parent.table.and_then(|table| table.get_key_value(key)) {
            Some((name, value)) => match value.get_ref() {
                DeValue::Table(table) => (Some(table), name.span()),
                other => {
                    let what = format!("found {}; wanted a table [{path}]", found(other));
                    self.add_fault_at(value.span().start, path.clone(), what);
                    (None, value.span())
                }
            },
            None => (None, parent.at.clone()),
        };
        Section { path, table, at, asked: BTreeSet::new() }
    }

    /// The tables of a key that may stand several times, such as `[[pool]]`.
    pub fn sections(&mut self, parent: &mut Section<'t>, key: &'static str) -> Vec<Section<'t>> {
        parent.asked.insert(key);
        let path = parent.key(key);
        let Some(value) = parent.table.and_then(|table| table.get(key)) else { return Vec::new() };
        let DeValue::Array(items) = value.get_ref() else {
            let what = format!("found {}; wanted tables [[{path}]]", found(value.get_ref()));
            self.add_fault_at(value.span().start, path, what);
            return Vec::new();
        };
        let mut sections = Vec::new();
        for (n, item) in items.iter().enumerate() {
            match item.get_ref() {
                DeValue::Table(table) => sections.push(Section {
                    path: format!("{path}[{n}]"),
                    table: Some(table),
                    at: item.span(),
                    asked: BTreeSet::new(),
                }),
                other => {
                    let what = format!("found {}; wanted a table", found(other));
                    self.add_fault_at(item.span().start, format!("{path}[{n}]"), what);
                }
            }
        }
        sections
    }

    /// The names and values of a table whose keys are anybody's.
    pub fn pairs<T>(
        &mut self,
        section: &Section<'t>,
        wanted: &str,
        read: impl Fn(&DeValue<'t>) -> Option<T>,
    ) -> Vec<(String, T)> {
        let mut pairs = Vec::new();
        for (name, value) in section.table.into_iter().flatten() {
            match read(value.get_ref()) {
                Some(read) => pairs.push((name.get_ref().to_string(), read)),
                None => {
                    let what = format!("found {}; wanted {wanted}", found(value.get_ref()));
                    self.add_fault_at(value.span().start, section.key(name.get_ref()), what);
                }
            }
        }
        pairs
    }

    /// All of a table has been asked for that may be: whatever else stands there is a fault.
    pub fn end(&mut self, section: Section<'t>) {
        let unknown = section.table.into_iter().flatten();
        let unknown: Vec<_> = unknown
            .filter(|(name, _)| !section.asked.contains(&**name.get_ref()))
            .map(|(name, _)| (name.span().start, name.get_ref().to_string()))
            .collect();
        let known: Vec<&str> = section.asked.iter().copied().collect();
        for (at, name) in unknown {
            let what = format!("no such key; there are {}", known.join(", "));
            self.add_fault_at(at, section.key(&name), what);
        }
    }
}

/// A value of an enumeration as the file would have it.
fn word(value: &str) -> String {
    match value.starts_with(|c: char| c.is_ascii_uppercase()) {
        true => format!("{:?}", value.to_ascii_lowercase()),
        false => value.into(),
    }
}

/// Line and column of a place in a text, both counted from 1.
pub fn position(text: &str, at: usize) -> (usize, usize) {
    let before = text.get(..at).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
    (line, column)
}

fn expand(raw: &str, environment: Environment<'_>, names: &mut Vec<String>) -> Result<String, String> {
    let (mut text, mut rest) = (String::new(), raw);
    while let Some((before, after)) = rest.split_once("${") {
        let (name, behind) = after.split_once('}').ok_or(format!("found {raw:?}; wanted }} after ${{"))?;
        let value = environment(name).filter(|value| !value.is_empty());
        text += before;
        text += &value.ok_or(format!("found ${{{name}}}, which is not set in the environment"))?;
        names.push(name.to_string());
        rest = behind;
    }
    Ok(text + rest)
}
