//! Reads the expected keys of a TOML text, and collects all faults with their positions instead of stopping at the first.

use std::collections::BTreeSet;
use std::fmt;
use std::ops::Range;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// A fault in a file and its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The line, counted from 1.
    pub line: usize,
    /// The column in characters, counted from 1.
    pub column: usize,
    /// The full path of the key; empty if the text is not valid TOML.
    pub key: String,
    /// What was found, and what is wanted.
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

/// The source of a value in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// This line of the file.
    Line(usize),
    /// This line of the file, and the environment variables that occur in the value.
    Environment(usize, Vec<String>),
    /// The default, because the file does not set the key.
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
    /// The full path of the key.
    pub key: String,
    /// The value as it would be written in the file.
    pub value: String,
    /// Where the value comes from.
    pub source: Source,
}

/// Whether a key must be present, and what applies if it is absent.
pub enum Presence<T> {
    /// The key may be absent; this value applies then.
    Default(T),
    /// The key may be absent; there is no value then.
    Optional,
    /// An absent key is a fault.
    Required,
}

/// Looks up an environment variable.
pub type Environment<'e> = &'e dyn Fn(&str) -> Option<String>;

/// Reads one text, and collects its faults and the values in force.
pub struct Reader<'t> {
    text: &'t str,
    environment: Environment<'t>,
    /// The faults, in the order in which they were found.
    pub faults: Vec<Fault>,
    /// The values in force, in the order in which they were read.
    pub effective_values: Vec<EffectiveValue>,
}

/// A table that is being read. [`Reader::finish`] reports the keys that have not been requested as faults.
pub struct Section<'t> {
    path: String,
    table: Option<&'t DeTable<'t>>,
    span: Range<usize>,
    known_keys: BTreeSet<&'static str>,
}

impl Section<'_> {
    /// Returns the full path of a key of this table.
    pub fn key(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Returns the byte offset at which the table begins in the text.
    pub fn start(&self) -> usize {
        self.span.start
    }

    /// Returns whether the file has this table.
    pub fn is_present(&self) -> bool {
        self.table.is_some()
    }
}

/// Describes a value in the message of a fault.
fn describe(value: &DeValue<'_>) -> String {
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

/// Reads a finite number, written as an integer or as a float.
pub fn number(value: &DeValue<'_>) -> Option<f64> {
    match value {
        DeValue::Integer(n) => i64::from_str_radix(n.as_str(), n.radix()).ok().map(|n| n as f64),
        DeValue::Float(n) => n.as_str().parse().ok().filter(|n: &f64| n.is_finite()),
        _ => None,
    }
}

/// Reads an integer.
pub fn integer(value: &DeValue<'_>) -> Option<i64> {
    match value {
        DeValue::Integer(n) => i64::from_str_radix(n.as_str(), n.radix()).ok(),
        _ => None,
    }
}

/// Reads a string that is not empty. A string that contains `${` is rejected, because only [`Reader::get_expanded`] expands
/// variables.
pub fn text(value: &DeValue<'_>) -> Option<String> {
    match value {
        DeValue::String(text) if !text.is_empty() && !text.contains("${") => Some(text.to_string()),
        _ => None,
    }
}

/// Reads a boolean.
pub fn boolean(value: &DeValue<'_>) -> Option<bool> {
    match value {
        DeValue::Boolean(flag) => Some(*flag),
        _ => None,
    }
}

/// Reads the name of one of these variants.
pub fn one_of<T: Copy>(variants: &'static [(&'static str, T)]) -> impl Fn(&DeValue<'_>) -> Option<T> {
    move |value| {
        let text = text(value)?;
        variants.iter().find(|(name, _)| *name == text).map(|(_, variant)| *variant)
    }
}

/// Reads a string, or a list of strings that is not empty.
pub fn text_list(value: &DeValue<'_>) -> Option<Vec<String>> {
    match value {
        DeValue::Array(items) if !items.is_empty() => items.iter().map(|item| text(item.get_ref())).collect(),
        other => text(other).map(|text| vec![text]),
    }
}

/// Parses a text as TOML.
///
/// # Errors
/// One fault, if the text is not valid TOML.
pub fn parse_toml(text: &str) -> Result<Spanned<DeTable<'_>>, Vec<Fault>> {
    DeTable::parse(text).map_err(|error| {
        let (line, column) = position(text, error.span().map_or(0, |span| span.start));
        vec![Fault {
            line,
            column,
            key: String::new(),
            message: format!("invalid TOML: {}", error.message()),
        }]
    })
}

impl<'t> Reader<'t> {
    /// Creates a reader of a text and of the table into which [`parse_toml`] has parsed it. Also returns the root table.
    pub fn new(
        text: &'t str,
        table: &'t Spanned<DeTable<'t>>,
        environment: Environment<'t>,
    ) -> (Self, Section<'t>) {
        let reader = Reader { text, environment, faults: Vec::new(), effective_values: Vec::new() };
        let section = Section {
            path: String::new(),
            table: Some(table.get_ref()),
            span: 0..0,
            known_keys: BTreeSet::new(),
        };
        (reader, section)
    }

    fn line_at(&self, offset: usize) -> usize {
        self.text[..offset.min(self.text.len())].matches('\n').count() + 1
    }

    /// Adds a fault at a byte offset of the text.
    pub fn add_fault_at(&mut self, offset: usize, key: String, message: String) {
        let (line, column) = position(self.text, offset);
        self.faults.push(Fault { line, column, key, message });
    }

    /// Adds a fault at the position of a key, or of its table if the key is absent.
    pub fn add_fault(&mut self, section: &Section<'_>, key: &str, message: String) {
        let value = section.table.and_then(|table| table.get(key));
        let offset = value.map_or(section.span.start, |value| value.span().start);
        self.add_fault_at(offset, section.key(key), message);
    }

    /// Returns the value of a key as `parse` converts it. A value that `parse` rejects is a fault, whose message contains
    /// `expected`, a description of the values that are allowed.
    pub fn get<T: fmt::Debug>(
        &mut self,
        section: &mut Section<'t>,
        key: &'static str,
        presence: Presence<T>,
        expected: &str,
        parse: impl Fn(&DeValue<'t>) -> Option<T>,
    ) -> Option<T> {
        section.known_keys.insert(key);
        let name = section.key(key);
        match section.table.and_then(|table| table.get(key)) {
            Some(value) => match parse(value.get_ref()) {
                Some(parsed) => {
                    let source = Source::Line(self.line_at(value.span().start));
                    let value = self.text.get(value.span()).unwrap_or_default().to_string();
                    self.effective_values.push(EffectiveValue { key: name, value, source });
                    Some(parsed)
                }
                None => {
                    let message = format!("found {}; wanted {expected}", describe(value.get_ref()));
                    self.add_fault_at(value.span().start, name, message);
                    None
                }
            },
            None => match presence {
                Presence::Default(value) => {
                    let text = format_default(&format!("{value:?}"));
                    self.effective_values.push(EffectiveValue {
                        key: name,
                        value: text,
                        source: Source::Default,
                    });
                    Some(value)
                }
                Presence::Optional => None,
                Presence::Required => {
                    self.add_fault_at(section.span.start, name, format!("found nothing; wanted {expected}"));
                    None
                }
            },
        }
    }

    /// Returns the value of a key, in which `${NAME}` is replaced by an environment variable. A variable that is not set is a
    /// fault.
    pub fn get_expanded<T: fmt::Debug + Clone>(
        &mut self,
        section: &mut Section<'t>,
        key: &'static str,
        presence: Presence<T>,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let value = section.table.and_then(|table| table.get(key));
        let Some((DeValue::String(raw), span)) = value.map(|value| (value.get_ref(), value.span())) else {
            return self.get(section, key, presence, expected, |_| None);
        };
        section.known_keys.insert(key);
        let name = section.key(key);
        let mut names = Vec::new();
        let text = match expand(raw, self.environment, &mut names) {
            Ok(text) => text,
            Err(message) => {
                self.add_fault_at(span.start, name, message);
                return None;
            }
        };
        let line = self.line_at(span.start);
        let source = if names.is_empty() { Source::Line(line) } else { Source::Environment(line, names) };
        match parse(&text) {
            Some(parsed) => {
                self.effective_values.push(EffectiveValue { key: name, value: format!("{text:?}"), source });
                Some(parsed)
            }
            None => {
                self.add_fault_at(span.start, name, format!("found {text:?}; wanted {expected}"));
                None
            }
        }
    }

    /// Returns the table of a key; an absent table is read as an empty one.
    pub fn section(&mut self, parent: &mut Section<'t>, key: &'static str) -> Section<'t> {
        parent.known_keys.insert(key);
        let path = parent.key(key);
        let (table, span) = match parent.table.and_then(|table| table.get_key_value(key)) {
            Some((name, value)) => match value.get_ref() {
                DeValue::Table(table) => (Some(table), name.span()),
                other => {
                    let message = format!("found {}; wanted a table [{path}]", describe(other));
                    self.add_fault_at(value.span().start, path.clone(), message);
                    (None, value.span())
                }
            },
            None => (None, parent.span.clone()),
        };
        Section { path, table, span, known_keys: BTreeSet::new() }
    }

    /// Returns the tables of a key that may occur several times, such as `[[pool]]`.
    pub fn sections(&mut self, parent: &mut Section<'t>, key: &'static str) -> Vec<Section<'t>> {
        parent.known_keys.insert(key);
        let path = parent.key(key);
        let Some(value) = parent.table.and_then(|table| table.get(key)) else { return Vec::new() };
        let DeValue::Array(items) = value.get_ref() else {
            let message = format!("found {}; wanted tables [[{path}]]", describe(value.get_ref()));
            self.add_fault_at(value.span().start, path, message);
            return Vec::new();
        };
        let mut sections = Vec::new();
        for (index, item) in items.iter().enumerate() {
            match item.get_ref() {
                DeValue::Table(table) => sections.push(Section {
                    path: format!("{path}[{index}]"),
                    table: Some(table),
                    span: item.span(),
                    known_keys: BTreeSet::new(),
                }),
                other => {
                    let message = format!("found {}; wanted a table", describe(other));
                    self.add_fault_at(item.span().start, format!("{path}[{index}]"), message);
                }
            }
        }
        sections
    }

    /// Returns the keys and values of a table in which any key is allowed.
    pub fn pairs<T>(
        &mut self,
        section: &Section<'t>,
        expected: &str,
        parse: impl Fn(&DeValue<'t>) -> Option<T>,
    ) -> Vec<(String, T)> {
        let mut pairs = Vec::new();
        for (name, value) in section.table.into_iter().flatten() {
            match parse(value.get_ref()) {
                Some(parsed) => pairs.push((name.get_ref().to_string(), parsed)),
                None => {
                    let message = format!("found {}; wanted {expected}", describe(value.get_ref()));
                    self.add_fault_at(value.span().start, section.key(name.get_ref()), message);
                }
            }
        }
        pairs
    }

    /// Finishes the reading of a table: each key that has not been requested is a fault.
    pub fn finish(&mut self, section: Section<'t>) {
        let unknown = section.table.into_iter().flatten();
        let unknown: Vec<_> = unknown
            .filter(|(name, _)| !section.known_keys.contains(&**name.get_ref()))
            .map(|(name, _)| (name.span().start, name.get_ref().to_string()))
            .collect();
        let known: Vec<&str> = section.known_keys.iter().copied().collect();
        for (offset, name) in unknown {
            let message = format!("no such key; there are {}", known.join(", "));
            self.add_fault_at(offset, section.key(&name), message);
        }
    }
}

/// Formats the debug text of a default as it would be written in the file: the name of an enum variant becomes a quoted
/// string in lower case.
fn format_default(value: &str) -> String {
    match value.starts_with(|c: char| c.is_ascii_uppercase()) {
        true => format!("{:?}", value.to_ascii_lowercase()),
        false => value.into(),
    }
}

/// Returns the line and column of a byte offset in a text, both counted from 1.
pub fn position(text: &str, offset: usize) -> (usize, usize) {
    let before = text.get(..offset).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
    (line, column)
}

fn expand(raw: &str, environment: Environment<'_>, names: &mut Vec<String>) -> Result<String, String> {
    let (mut text, mut rest) = (String::new(), raw);
    while let Some((before, after)) = rest.split_once("${") {
        let (name, remaining) = after.split_once('}').ok_or(format!("found {raw:?}; wanted }} after ${{"))?;
        let value = environment(name).filter(|value| !value.is_empty());
        text += before;
        text += &value.ok_or(format!("found ${{{name}}}, which is not set in the environment"))?;
        names.push(name.to_string());
        rest = remaining;
    }
    Ok(text + rest)
}
