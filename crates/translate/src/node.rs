//! The decoded message, common to all forms: names, texts and lists. The mapping adds the types.

use std::fmt;

/// A value as it is represented in a wire form.
#[derive(Debug, Clone, PartialEq)]
pub enum Node {
    /// An explicit absence: `null` in JSON (RFC 8259, 3), `xsi:nil` in SOAP.
    Null,
    /// A text.
    Text(String),
    /// A number in JSON's grammar (RFC 8259, 6), with its digits as received.
    Number(String),
    /// `true` or `false` in JSON.
    Bool(bool),
    /// Named values in their order, with unique names.
    Record(Vec<(String, Node)>),
    /// The values of a list, or of repeated elements.
    List(Vec<Node>),
}

impl Node {
    /// Returns an empty record.
    pub fn record() -> Node {
        Node::Record(Vec::new())
    }

    /// Returns the value at a path; points separate its steps.
    pub fn get(&self, path: &str) -> Option<&Node> {
        path.split('.').try_fold(self, |node, step| match node {
            Node::Record(members) => members.iter().find(|(name, _)| name == step).map(|(_, value)| value),
            _ => None,
        })
    }

    /// Sets the value at a path, and creates the records on the way. An existing value is replaced.
    pub fn insert(&mut self, path: &str, value: Node) {
        let (step, rest) = match path.split_once('.') {
            Some((step, rest)) => (step, Some(rest)),
            None => (path, None),
        };
        if !matches!(self, Node::Record(_)) {
            *self = Node::record();
        }
        let Node::Record(members) = self else { return };
        let place = members.iter().position(|(name, _)| name == step).unwrap_or_else(|| {
            members.push((step.to_owned(), Node::record()));
            members.len() - 1
        });
        match rest {
            Some(rest) => members[place].1.insert(rest, value),
            None => members[place].1 = value,
        }
    }

    /// Returns the kind of the value for error messages.
    pub fn kind(&self) -> &'static str {
        match self {
            Node::Null => "null",
            Node::Text(_) => "text",
            Node::Number(_) => "a number",
            Node::Bool(_) => "true or false",
            Node::Record(_) => "a record",
            Node::List(_) => "a list",
        }
    }
}

impl fmt::Display for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Node::Null => f.write_str("null"),
            Node::Text(text) => write!(f, "{text:?}"),
            Node::Number(digits) => f.write_str(digits),
            Node::Bool(flag) => write!(f, "{flag}"),
            Node::Record(members) => write!(f, "{{{} members}}", members.len()),
            Node::List(items) => write!(f, "[{} items]", items.len()),
        }
    }
}

/// Limits of a message in any form; a larger message is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The size of the body.
    pub max_bytes: usize,
    /// The total number of values.
    pub max_fields: usize,
    /// The nesting depth of records and lists.
    pub max_depth: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { max_bytes: 64 * 1024, max_fields: 4096, max_depth: 8 }
    }
}

/// Counts the values of a message against its limits.
#[derive(Debug)]
pub(crate) struct LimitCounter {
    limits: Limits,
    fields: usize,
}

impl LimitCounter {
    pub(crate) fn new(limits: Limits, bytes: usize) -> Result<Self, String> {
        match bytes > limits.max_bytes {
            true => Err(format!("{bytes} bytes, of {} at most", limits.max_bytes)),
            false => Ok(LimitCounter { limits, fields: 0 }),
        }
    }

    /// Counts one more value at this nesting depth.
    pub(crate) fn add_value(&mut self, depth: usize) -> Result<(), String> {
        self.fields += 1;
        if self.fields > self.limits.max_fields {
            return Err(format!("more than {} fields", self.limits.max_fields));
        }
        if depth > self.limits.max_depth {
            return Err(format!("nested deeper than {}", self.limits.max_depth));
        }
        Ok(())
    }
}
