//! Delimited text: rows of columns, quoted as in RFC 4180. The first column is a tag.
//!
//! ```text
//! H|value|value              the message's own fields, in the order of the mapping
//! LINE|value|value           an item of the group LINE, in the order of its fields
//! X|name|value               a carried field of the other side
//! T|3                        the number of rows before this one, which reveals truncation
//! ```
//!
//! An empty column is an absent field. The compiler refuses mappings in which a table field may be an empty text.

use crate::charset::Charset;
use crate::field::{Field, Kind};
use crate::node::{LimitCounter, Limits, Node};

/// The structure of a message, in order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Layout {
    /// The paths of its own fields.
    pub fields: Vec<String>,
    /// The names of its groups, each with the paths of its fields.
    pub groups: Vec<(String, Vec<String>)>,
    /// The record of carried fields, if there is one.
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

/// Decodes rows whose columns are separated by `delimiter`, an ASCII character.
pub fn decode(
    bytes: &[u8],
    charset: Charset,
    delimiter: u8,
    layout: &Layout,
    limits: Limits,
) -> Result<Node, String> {
    let mut counter = LimitCounter::new(limits, bytes.len())?;
    let text = charset.decode(bytes)?;
    let mut reader = csv::ReaderBuilder::new()
        .delimiter(delimiter)
        .has_headers(false)
        .flexible(true)
        .from_reader(text.as_bytes());
    let (mut message, mut rows, mut is_complete) = (Node::record(), 0_usize, false);
    let mut groups: Vec<Vec<Node>> = vec![Vec::new(); layout.groups.len()];
    for row in reader.records() {
        let row = row.map_err(|e| format!("row {}: {e}", rows + 1))?;
        if is_complete {
            return Err("rows after the last".into());
        }
        let tag = row.get(0).unwrap_or_default();
        let columns = |fields: &[String], counter: &mut LimitCounter| {
            if row.len() != fields.len() + 1 {
                let (found, expected) = (row.len() - 1, fields.len());
                return Err(format!("row {}: {found} columns after its tag, not {expected}", rows + 1));
            }
            let mut record = Node::record();
            for (path, column) in
                fields.iter().zip(row.iter().skip(1)).filter(|(_, column)| !column.is_empty())
            {
                counter.add_value(1)?;
                record.insert(path, Node::Text(column.to_owned()));
            }
            Ok(record)
        };
        match tag {
            "H" if rows == 0 => message = columns(&layout.fields, &mut counter)?,
            _ if rows == 0 => return Err("the first row is no H".into()),
            "T" => {
                is_complete = row.len() == 2 && row.get(1) == Some(rows.to_string().as_str());
                if !is_complete {
                    return Err(format!("the last row does not say that {rows} came before it"));
                }
            }
            "X" => match (&layout.extension, row.get(1), row.get(2)) {
                (Some(extension), Some(name), Some(value)) if row.len() == 3 => {
                    counter.add_value(2)?;
                    let path = format!("{extension}.{name}");
                    if message.get(&path).is_some() {
                        return Err(format!("row {}: {name:?} is carried twice", rows + 1));
                    }
                    message.insert(&path, Node::Text(value.to_owned()));
                }
                _ => return Err(format!("row {}: nothing is carried like this", rows + 1)),
            },
            _ => match layout.groups.iter().position(|(name, _)| name == tag) {
                Some(at) => {
                    counter.add_value(1)?;
                    let item = columns(&layout.groups[at].1, &mut counter)?;
                    groups[at].push(item);
                }
                None => return Err(format!("row {}: no rows are called {tag:?}", rows + 1)),
            },
        }
        rows += 1;
    }
    if !is_complete {
        return Err("cut off: the last row is missing".into());
    }
    for ((name, _), items) in layout.groups.iter().zip(groups).filter(|(_, items)| !items.is_empty()) {
        message.insert(name, Node::List(items));
    }
    Ok(message)
}

/// Encodes a message. The error names what can't be encoded.
pub fn encode(message: &Node, charset: Charset, delimiter: u8, layout: &Layout) -> Result<Vec<u8>, String> {
    let mut writer = csv::WriterBuilder::new()
        .delimiter(delimiter)
        .flexible(true)
        .terminator(csv::Terminator::CRLF)
        .from_writer(Vec::new());
    let columns = |tag: &'_ str, record: &'_ Node, fields: &'_ [String]| -> Vec<String> {
        std::iter::once(tag.to_owned()).chain(fields.iter().map(|path| text(record.get(path)))).collect()
    };
    let mut table_rows = vec![columns("H", message, &layout.fields)];
    for (name, fields) in &layout.groups {
        if let Some(Node::List(items)) = message.get(name) {
            table_rows.extend(items.iter().map(|item| columns(name, item, fields)));
        }
    }
    if let Some(Node::Record(carried)) = layout.extension.as_ref().and_then(|path| message.get(path)) {
        table_rows
            .extend(carried.iter().map(|(name, value)| vec!["X".into(), name.clone(), text(Some(value))]));
    }
    table_rows.push(vec!["T".into(), table_rows.len().to_string()]);
    for row in &table_rows {
        writer.write_record(row).map_err(|e| e.to_string())?;
    }
    let bytes = writer.into_inner().map_err(|e| e.to_string())?;
    let text = String::from_utf8(bytes).map_err(|e| e.to_string())?;
    charset.encode(&text).map_err(|c| format!("{} has no character {c:?}", charset.name()))
}

fn text(node: Option<&Node>) -> String {
    match node {
        Some(Node::Text(text) | Node::Number(text)) => text.clone(),
        Some(Node::Bool(flag)) => flag.to_string(),
        _ => String::new(),
    }
}

#[cfg(test)]
mod tests;
