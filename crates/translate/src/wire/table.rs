//! Delimited text: rows of columns quoted as in RFC 4180, the first of each a tag.
//!
//! ```text
//! H|value|value              the message's own fields, in the order of the mapping
//! LINE|value|value           an item of the group LINE, in the order of its fields
//! X|name|value               what is carried for the other side
//! T|3                        the number of rows before this one: an answer that was cut off shows
//! ```
//!
//! An empty column is a field that is not there; the mapping's check sees to it that no field needs the difference.

use crate::charset::Charset;
use crate::field::{Field, Kind};
use crate::node::{Count, Limits, Node};

/// What a message holds, in its order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Layout {
    /// Paths of its own fields.
    pub fields: Vec<String>,
    /// Names of its groups and of their fields.
    pub groups: Vec<(String, Vec<String>)>,
    /// Where carried fields stand, if anywhere.
    pub extension: Option<String>,
}

impl Layout {
    pub(crate) fn of(fields: &[Field], extension: Option<String>) -> Layout {
        let mut layout = Layout { extension, ..Layout::default() };
        for field in fields {
            match &field.kind {
                Kind::Group(_, within) => {
                    layout.groups.push((field.path.clone(), within.iter().map(|f| f.path.clone()).collect()));
                }
                _ => layout.fields.push(field.path.clone()),
            }
        }
        layout
    }
}

/// Reads rows parted by `delimiter`, an ASCII character.
pub fn decode(
    bytes: &[u8],
    charset: Charset,
    delimiter: u8,
    layout: &Layout,
    limits: Limits,
) -> Result<Node, String> {
    let mut count = Count::new(limits, bytes.len())?;
    let text = charset.decode(bytes)?;
    let mut reader = csv::ReaderBuilder::new()
        .delimiter(delimiter)
        .has_headers(false)
        .flexible(true)
        .from_reader(text.as_bytes());
    let (mut message, mut rows, mut whole) = (Node::record(), 0_usize, false);
    let mut groups: Vec<Vec<Node>> = vec![Vec::new(); layout.groups.len()];
    for row in reader.records() {
        let row = row.map_err(|e| format!("row {}: {e}", rows + 1))?;
        if whole {
            return Err("rows after the last".into());
        }
        let tag = row.get(0).unwrap_or_default();
        let columns = |fields: &[String], count: &mut Count| {
            if row.len() != fields.len() + 1 {
                let (has, wants) = (row.len() - 1, fields.len());
                return Err(format!("row {}: {has} columns after its tag, not {wants}", rows + 1));
            }
            let mut record = Node::record();
            for (path, column) in
                fields.iter().zip(row.iter().skip(1)).filter(|(_, column)| !column.is_empty())
            {
                count.value(1)?;
                record.put(path, Node::Text(column.to_owned()));
            }
            Ok(record)
        };
        match tag {
            "H" if rows == 0 => message = columns(&layout.fields, &mut count)?,
            _ if rows == 0 => return Err("the first row is no H".into()),
            "T" => {
                whole = row.len() == 2 && row.get(1) == Some(rows.to_string().as_str());
                if !whole {
                    return Err(format!("the last row does not say that {rows} came before it"));
                }
            }
            "X" => match (&layout.extension, row.get(1), row.get(2)) {
                (Some(extension), Some(name), Some(value)) if row.len() == 3 => {
                    count.value(2)?;
                    let path = format!("{extension}.{name}");
                    if message.at(&path).is_some() {
                        return Err(format!("row {}: {name:?} is carried twice", rows + 1));
                    }
                    message.put(&path, Node::Text(value.to_owned()));
                }
                _ => return Err(format!("row {}: nothing is carried like this", rows + 1)),
            },
            _ => match layout.groups.iter().position(|(name, _)| name == tag) {
                Some(at) => {
                    count.value(1)?;
                    let item = columns(&layout.groups[at].1, &mut count)?;
                    groups[at].push(item);
                }
                None => return Err(format!("row {}: no rows are called {tag:?}", rows + 1)),
            },
        }
        rows += 1;
    }
    if !whole {
        return Err("cut off: the last row is missing".into());
    }
    for ((name, _), items) in layout.groups.iter().zip(groups).filter(|(_, items)| !items.is_empty()) {
        message.put(name, Node::List(items));
    }
    Ok(message)
}

/// Writes a message. The error names what can't be written.
pub fn encode(message: &Node, charset: Charset, delimiter: u8, layout: &Layout) -> Result<Vec<u8>, String> {
    let mut writer = csv::WriterBuilder::new()
        .delimiter(delimiter)
        .flexible(true)
        .terminator(csv::Terminator::CRLF)
        .from_writer(Vec::new());
    let columns = |tag: &'_ str, record: &'_ Node, fields: &'_ [String]| -> Vec<String> {
        std::iter::once(tag.to_owned()).chain(fields.iter().map(|path| text(record.at(path)))).collect()
    };
    let mut all = vec![columns("H", message, &layout.fields)];
    for (name, fields) in &layout.groups {
        if let Some(Node::List(items)) = message.at(name) {
            all.extend(items.iter().map(|item| columns(name, item, fields)));
        }
    }
    if let Some(Node::Record(carried)) = layout.extension.as_ref().and_then(|path| message.at(path)) {
        all.extend(carried.iter().map(|(name, value)| vec!["X".into(), name.clone(), text(Some(value))]));
    }
    all.push(vec!["T".into(), all.len().to_string()]);
    for row in &all {
        writer.write_record(row).map_err(|e| e.to_string())?;
    }
    let bytes = writer.into_inner().map_err(|e| e.to_string())?;
    let text = String::from_utf8(bytes).map_err(|e| e.to_string())?;
    charset.encode(&text).map_err(|c| format!("{} has no character {c:?}", charset.name()))
}

fn text(node: Option<&Node>) -> String {
    match node {
        Some(Node::Text(text) | Node::Number(text)) => text.clone(),
        Some(Node::Flag(flag)) => flag.to_string(),
        _ => String::new(),
    }
}

#[cfg(test)]
mod tests;
