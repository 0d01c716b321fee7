//! `application/x-www-form-urlencoded` (WHATWG URL standard, 5), in any [`Charset`].
//!
//! Records are written as `record.field`, lists as `list.1.field`, counted from 1 without gaps.

use crate::charset::Charset;
use crate::node::{LimitCounter, Limits, Node};
use std::borrow::Cow;

/// Decodes a query or a body. A repeated name is refused, because it is ambiguous which value is meant.
pub fn decode(bytes: &[u8], charset: Charset, limits: Limits) -> Result<Node, String> {
    let mut counter = LimitCounter::new(limits, bytes.len())?;
    let mut message = Node::record();
    for pair in bytes.split(|&byte| byte == b'&').filter(|pair| !pair.is_empty()) {
        let (name, value) = match pair.iter().position(|&byte| byte == b'=') {
            Some(at) => (&pair[..at], &pair[at + 1..]),
            None => (pair, &pair[pair.len()..]),
        };
        let (name, value) = (decode_component(name, charset)?, decode_component(value, charset)?);
        let steps: Vec<&str> = name.split('.').collect();
        counter.add_value(steps.len())?;
        insert_text(&mut message, &steps, value).map_err(|reason| format!("{name:?}: {reason}"))?;
    }
    Ok(message)
}

fn decode_component(bytes: &[u8], charset: Charset) -> Result<String, String> {
    let spaced: Cow<'_, [u8]> = match bytes.contains(&b'+') {
        true => bytes.iter().map(|&byte| if byte == b'+' { b' ' } else { byte }).collect(),
        false => bytes.into(),
    };
    charset.decode(&Cow::from(percent_encoding::percent_decode(&spaced)))
}

fn list_index(step: &str) -> Option<usize> {
    let plain = !step.starts_with('0') && step.bytes().all(|byte| byte.is_ascii_digit());
    plain.then(|| step.parse().ok()).flatten()
}

fn insert_text(node: &mut Node, steps: &[&str], text: String) -> Result<(), String> {
    let Some((step, rest)) = steps.split_first() else {
        *node = Node::Text(text);
        return Ok(());
    };
    // A new member is a list if the next step is a number, and a record otherwise; the last step replaces it with the
    // text.
    let new_member = || match rest.first() {
        Some(next) if list_index(next).is_some() => Node::List(Vec::new()),
        _ => Node::record(),
    };
    let next = match (node, list_index(step)) {
        (Node::List(items), Some(number)) if number == items.len() + 1 => {
            items.push(new_member());
            items.last_mut()
        }
        (Node::List(items), Some(number)) if number <= items.len() && !rest.is_empty() => {
            items.get_mut(number - 1)
        }
        (Node::List(_), _) => return Err("items are numbered from 1 without gaps, each once".into()),
        (Node::Record(members), None) => match members.iter().position(|(name, _)| name == step) {
            Some(_) if rest.is_empty() => return Err("given twice".into()),
            Some(at) => Some(&mut members[at].1),
            None => {
                members.push(((*step).to_owned(), new_member()));
                members.last_mut().map(|(_, value)| value)
            }
        },
        _ => return Err("both a value and a group of values".into()),
    };
    next.map_or(Ok(()), |next| insert_text(next, rest, text))
}

/// Encodes a message. The error names the field with a character that the charset does not contain.
pub fn encode(message: &Node, charset: Charset) -> Result<Vec<u8>, String> {
    let mut out = String::new();
    let mut path = String::new();
    write(message, &mut path, charset, &mut out)?;
    Ok(out.into_bytes())
}

fn write(node: &Node, path: &mut String, charset: Charset, out: &mut String) -> Result<(), String> {
    let mut write_member = |step: &str, value: &Node, out: &mut String| {
        let length = path.len();
        if length > 0 {
            path.push('.');
        }
        path.push_str(step);
        let result = write(value, path, charset, out);
        path.truncate(length);
        result
    };
    let text = match node {
        Node::Record(members) => {
            return members.iter().try_for_each(|(name, value)| write_member(name, value, out))
        }
        Node::List(items) => {
            return (1_usize..).zip(items).try_for_each(|(n, item)| write_member(&n.to_string(), item, out))
        }
        Node::Null => return Ok(()),
        Node::Text(text) | Node::Number(text) => Cow::from(text),
        Node::Bool(flag) => Cow::from(if *flag { "true" } else { "false" }),
    };
    let bytes = |text: &str| {
        charset.encode(text).map_err(|c| format!("{path:?}: {} has no character {c:?}", charset.name()))
    };
    if !out.is_empty() {
        out.push('&');
    }
    out.extend(form_urlencoded::byte_serialize(&bytes(path)?));
    out.push('=');
    out.extend(form_urlencoded::byte_serialize(&bytes(&text)?));
    Ok(())
}

#[cfg(test)]
mod tests;
