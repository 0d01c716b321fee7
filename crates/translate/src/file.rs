//! The contents of a mapping file as written. The `compile` module interprets them.

use crate::charset::Charset;
use crate::field::Fold;
use crate::mapping::{Diagnostic, Form};
use crate::units::Rounding;
use serde::Deserialize;
use toml::Spanned;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct File {
    pub name: Spanned<String>,
    pub version: u32,
    pub class: String,
    pub old: Side,
    pub new: Side,
    #[serde(default)]
    pub request: Vec<Rule>,
    #[serde(default, rename = "answer")]
    pub response: Vec<Rule>,
    pub key: Option<Key>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Side {
    pub form: Spanned<Form>,
    /// The form of the responses, if it differs from that of the requests.
    #[serde(rename = "answers")]
    pub response_form: Option<Spanned<Form>>,
    pub method: String,
    pub path: Spanned<String>,
    #[serde(default)]
    pub charset: Charset,
    pub delimiter: Option<Spanned<String>>,
    pub zone: Option<Spanned<String>>,
    pub extension: Option<Spanned<String>>,
    pub operation: Option<String>,
    pub namespace: Option<String>,
    #[serde(default)]
    pub request: Vec<Field>,
    #[serde(default, rename = "answer")]
    pub response: Vec<Field>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Field {
    pub name: Spanned<String>,
    #[serde(rename = "type")]
    pub kind: Kind,
    #[serde(default)]
    pub optional: bool,
    pub length: Option<[usize; 2]>,
    pub range: Option<[String; 2]>,
    pub digits: Option<u32>,
    pub width: Option<usize>,
    pub unit: Option<String>,
    pub format: Option<String>,
    pub zone: Option<Spanned<String>>,
    pub fold: Option<Fold>,
    pub values: Option<Vec<String>>,
    pub words: Option<[String; 2]>,
    pub max: Option<usize>,
    #[serde(default)]
    pub fields: Vec<Field>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Kind {
    Text,
    Integer,
    Decimal,
    Quantity,
    Date,
    Time,
    Choice,
    Flag,
    Group,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Rule {
    pub old: Option<Names>,
    pub new: Option<Names>,
    pub policy: Option<Policy>,
    pub default: Option<String>,
    pub old_default: Option<String>,
    pub new_default: Option<String>,
    pub constant: Option<String>,
    pub round: Option<Rounding>,
    pub range: Option<RefuseOnly>,
    pub long: Option<CutOrRefuse>,
    pub finer: Option<CutOrRefuse>,
    pub unmappable: Option<ReplaceOrRefuse>,
    pub unpaired: Option<RefuseOnly>,
    pub pairs: Option<Vec<[String; 2]>>,
    pub function: Option<Function>,
    pub with: Option<String>,
    pub when: Option<When>,
    #[serde(default)]
    pub rules: Vec<Rule>,
}

/// One field name, or the several names that a function joins.
#[derive(Debug, Deserialize)]
#[serde(from = "Spanned<OneOrMany>")]
pub(crate) struct Names(Vec<Spanned<String>>);

#[derive(Deserialize)]
#[serde(untagged)]
enum OneOrMany {
    One(String),
    Many(Vec<String>),
}

impl From<Spanned<OneOrMany>> for Names {
    fn from(names: Spanned<OneOrMany>) -> Self {
        let span = names.span();
        let names = match names.into_inner() {
            OneOrMany::One(name) => vec![name],
            OneOrMany::Many(names) => names,
        };
        Names(names.into_iter().map(|name| Spanned::new(span.clone(), name)).collect())
    }
}

impl Names {
    pub fn list(&self) -> &[Spanned<String>] {
        &self.0
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct When {
    pub old: Spanned<String>,
    pub is: Vec<String>,
}

/// What happens to a field that the other side does not have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Policy {
    Refuse,
    Carry,
    Drop,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum RefuseOnly {
    Refuse,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum CutOrRefuse {
    Refuse,
    Cut,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum ReplaceOrRefuse {
    Refuse,
    Replace,
}

/// The functions that a rule can apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Function {
    /// Joins several old fields into one new text, separated by `with`.
    Join,
    /// Converts the old text to upper case.
    Upper,
    /// Converts the old text to lower case.
    Lower,
    /// Removes white space at both ends of the old text.
    Trim,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Key {
    pub old: Vec<Spanned<String>>,
    pub namespace: String,
    pub without: Option<String>,
}

/// Returns the number of the line that contains the byte `at`, counted from one.
pub(crate) fn line_of(text: &str, at: usize) -> usize {
    1 + text.as_bytes()[..at.min(text.len())].iter().filter(|&&byte| byte == b'\n').count()
}

pub(crate) fn parse(text: &str) -> Result<File, Vec<Diagnostic>> {
    toml::from_str(text).map_err(|e: toml::de::Error| {
        let line = e.span().map_or(1, |span| line_of(text, span.start));
        let message = e.message().lines().collect::<Vec<_>>().join("; ");
        vec![Diagnostic { line, key: String::new(), message }]
    })
}
