//! JSON (RFC 8259). Numbers keep their digits, and repeated names are refused.

use crate::node::{LimitCounter, Limits, Node};
use serde::de::{Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::value::RawValue;
use std::collections::HashSet;
use std::fmt;

/// Decodes a body, whose outermost value must be an object.
pub fn decode(bytes: &[u8], limits: Limits) -> Result<Node, String> {
    let mut counter = LimitCounter::new(limits, bytes.len())?;
    let raw: &RawValue = serde_json::from_slice(bytes).map_err(|e| format!("not JSON: {e}"))?;
    match value(raw, 0, &mut counter)? {
        message @ Node::Record(_) => Ok(message),
        other => Err(format!("{} where an object should be", other.kind())),
    }
}

struct Members<'de>(Vec<(String, &'de RawValue)>);
struct MembersVisitor;

impl<'de> Visitor<'de> for MembersVisitor {
    type Value = Members<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut members = Vec::new();
        while let Some(member) = map.next_entry()? {
            members.push(member);
        }
        Ok(Members(members))
    }
}

struct ItemsVisitor;

impl<'de> Visitor<'de> for ItemsVisitor {
    type Value = Vec<&'de RawValue>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an array")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Self::Value, A::Error> {
        let mut all = Vec::new();
        while let Some(item) = items.next_element()? {
            all.push(item);
        }
        Ok(all)
    }
}

fn value(raw: &RawValue, depth: usize, counter: &mut LimitCounter) -> Result<Node, String> {
    counter.add_value(depth)?;
    let text = raw.get();
    let mut reader = serde_json::Deserializer::from_str(text);
    let json_error = |e: serde_json::Error| format!("not JSON: {e}");
    match text.as_bytes().first() {
        Some(b'{') => {
            let members = reader.deserialize_map(MembersVisitor).map_err(json_error)?.0;
            let mut names = HashSet::with_capacity(members.len());
            if let Some((duplicate, _)) = members.iter().find(|(name, _)| !names.insert(name.as_str())) {
                return Err(format!("{duplicate:?}: given twice"));
            }
            drop(names);
            let members = members.into_iter().map(|(name, raw)| Ok((name, value(raw, depth + 1, counter)?)));
            members.collect::<Result<_, String>>().map(Node::Record)
        }
        Some(b'[') => {
            let items = reader.deserialize_seq(ItemsVisitor).map_err(json_error)?;
            let items = items.into_iter().map(|raw| value(raw, depth + 1, counter));
            items.collect::<Result<_, _>>().map(Node::List)
        }
        Some(b'"') => serde_json::from_str(text).map(Node::Text).map_err(json_error),
        Some(b't') => Ok(Node::Bool(true)),
        Some(b'f') => Ok(Node::Bool(false)),
        Some(b'n') => Ok(Node::Null),
        _ => Ok(Node::Number(text.to_owned())),
    }
}

/// Encodes a message without white space.
pub fn encode(message: &Node) -> Vec<u8> {
    let mut out = String::new();
    write(message, &mut out);
    out.into_bytes()
}

/// Encodes a text as a JSON string.
pub(crate) fn quoted(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}

fn write(node: &Node, out: &mut String) {
    match node {
        Node::Null => out.push_str("null"),
        Node::Bool(flag) => out.push_str(if *flag { "true" } else { "false" }),
        Node::Number(digits) => out.push_str(digits),
        Node::Text(text) => out.push_str(&quoted(text)),
        Node::Record(members) => {
            out.push('{');
            for (n, (name, value)) in members.iter().enumerate() {
                out.push_str(if n > 0 { "," } else { "" });
                out.push_str(&quoted(name));
                out.push(':');
                write(value, out);
            }
            out.push('}');
        }
        Node::List(items) => {
            out.push('[');
            for (n, item) in items.iter().enumerate() {
                out.push_str(if n > 0 { "," } else { "" });
                write(item, out);
            }
            out.push(']');
        }
    }
}

#[cfg(test)]
mod tests;
