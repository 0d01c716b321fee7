//! Describes mappings for operators: as Markdown tables, and by converting one message field by field.

use crate::convert::{FieldConversion, Rule};
use crate::field::{Field, Fold, Kind, TimeNotation};
use crate::file::{CutOrRefuse, Function, Policy, ReplaceOrRefuse};
use crate::mapping::{Dialect, Form, Mapping, MessageKind, Side};
use crate::node::{Limits, Node};
use std::fmt::Write;

/// Describes the complete mapping as Markdown.
pub fn explain(mapping: &Mapping) -> String {
    let mut out = format!("# {}, version {}\n\nClass `{}`.\n", mapping.name, mapping.version, mapping.class);
    let _ = writeln!(out, "\n| side | request | answer |\n| --- | --- | --- |");
    for side in [Side::Old, Side::New] {
        let dialect = mapping.dialect(side);
        let (request, response) =
            (describe_form(dialect.request_form, dialect), describe_form(dialect.response_form, dialect));
        let _ = writeln!(
            out,
            "| {} | `{} {}`, {request} | {response} |",
            side.name(),
            dialect.method,
            dialect.path
        );
    }
    if let Some(key) = &mapping.key {
        let names: Vec<_> =
            key.fields.iter().map(|&at| format!("`{}`", mapping.old.request_fields[at].path)).collect();
        let names = names.join(", ");
        let _ = writeln!(
            out,
            "\n`Idempotency-Key` of an old request: hash of {names} within `{}`.",
            key.namespace
        );
        if let Some(class) = &key.class_without_key {
            let _ = writeln!(out, "A request that lacks one of them is of class `{class}`.");
        }
    }
    for message_kind in [MessageKind::Request, MessageKind::Response] {
        let _ = writeln!(out, "\n## The {}\n\n| old | new | how |\n| --- | --- | --- |", message_kind.name());
        let (old, new) = (mapping.old.fields(message_kind), mapping.new.fields(message_kind));
        write_rows(mapping.rules(message_kind), old, new, "", &mut out);
    }
    let _ = writeln!(out, "\n## What does not come back as it went\n");
    for note in &mapping.notes {
        let (message_kind, side) = (note.message_kind.name(), note.from.name());
        let _ = writeln!(out, "- {message_kind}, {side} `{}`: {}", note.field, escape_cell(&note.text));
    }
    if mapping.notes.is_empty() {
        out.push_str("Nothing.\n");
    }
    out
}

fn describe_form(form: Form, dialect: &Dialect) -> String {
    match form {
        Form::Soap => {
            format!("SOAP `{}` of `{}`, {}", dialect.operation, dialect.namespace, dialect.charset.name())
        }
        Form::Json => "JSON".into(),
        Form::Form => format!("form, {}", dialect.charset.name()),
        Form::Table => format!(
            "text parted by `{}`, {}",
            escape_cell(&char::from(dialect.delimiter).to_string()),
            dialect.charset.name()
        ),
    }
}

/// Escapes the bars in a text, which would otherwise end the table cell.
fn escape_cell(text: &str) -> String {
    text.replace('|', "\\|")
}

fn describe_field(field: &Field, prefix: &str) -> String {
    let optional = if field.optional { ", optional" } else { "" };
    let kind = match &field.kind {
        Kind::Text(min, max) => format!("text of {min} to {max}"),
        Kind::Integer(min, max, _) => format!("integer from {min} to {max}"),
        Kind::Decimal(min, max, digits) => format!("decimal from {min} to {max}, {digits} digits"),
        Kind::Quantity(min, max, digits, unit) => {
            format!("{} from {min} to {max}, {digits} digits", unit.symbol)
        }
        Kind::Date(format) => format!("date {format}"),
        Kind::Time(time_format) => match &time_format.notation {
            TimeNotation::Rfc3339 => "time, RFC 3339".into(),
            TimeNotation::Unix => "time, Unix seconds".into(),
            TimeNotation::Local(format) => {
                let fold = match time_format.fold {
                    Fold::Refuse => "no doubled hour",
                    Fold::Earlier => "the first of doubled hours",
                    Fold::Later => "the second of doubled hours",
                };
                format!("time {format} in {}, {fold}", time_format.zone.iana_name().unwrap_or("UTC"))
            }
        },
        Kind::Choice(choices) => format!("one of {}", choices.join(", ")),
        Kind::Flag(yes, no) => format!("{yes} or {no}"),
        Kind::Group(max, _) => format!("up to {max} items"),
    };
    format!("`{prefix}{}` {}{optional}", field.path, escape_cell(&kind))
}

fn write_rows(rules: &[Rule], old: &[Field], new: &[Field], prefix: &str, out: &mut String) {
    for rule in rules {
        match rule {
            Rule::Pair { old: old_field, new: new_field, conversion, when } => {
                let mut how = describe_conversion(conversion);
                if let Some(when) = when {
                    how.push(format!("only if `{}` is {}", old[when.field].path, when.values.join(" or ")));
                }
                let (old_field, new_field) = (&old[*old_field], &new[*new_field]);
                let _ = writeln!(
                    out,
                    "| {} | {} | {} |",
                    describe_field(old_field, prefix),
                    describe_field(new_field, prefix),
                    escape_cell(&how.join("; "))
                );
                if let (Kind::Group(_, source_fields), Kind::Group(_, target_fields)) =
                    (&old_field.kind, &new_field.kind)
                {
                    write_rows(
                        &conversion.rules,
                        source_fields,
                        target_fields,
                        &format!("{prefix}{}.", old_field.path),
                        out,
                    );
                }
            }
            Rule::Join { old: parts, new: new_field, separator } => {
                let parts: Vec<_> = parts.iter().map(|&at| describe_field(&old[at], prefix)).collect();
                let _ = writeln!(
                    out,
                    "| {} | {} | joined by `{}` |",
                    parts.join("; "),
                    describe_field(&new[*new_field], prefix),
                    escape_cell(separator)
                );
            }
            Rule::OneSided { side, field, policy, value, constant } => {
                let fields = if *side == Side::Old { old } else { new };
                let field = &fields[*field];
                let mut how = match policy {
                    _ if *constant => "always the same".to_owned(),
                    Policy::Refuse => "refused if given".into(),
                    Policy::Carry => "carried".into(),
                    Policy::Drop => "dropped, with a notice".into(),
                };
                if let Some(text) = value.as_ref().and_then(|value| field.kind.format(value).ok()) {
                    let _ = write!(how, "; filled with {text:?}");
                }
                let description = describe_field(field, prefix);
                let (old_cell, new_cell) = if *side == Side::Old {
                    (description, String::new())
                } else {
                    (String::new(), description)
                };
                let _ = writeln!(out, "| {old_cell} | {new_cell} | {} |", escape_cell(&how));
            }
        }
    }
}

fn describe_conversion(conversion: &FieldConversion) -> Vec<String> {
    let mut how: Vec<String> = conversion.pairs.iter().map(|[a, b]| format!("{a} = {b}")).collect();
    how.extend(conversion.round.map(|rounding| format!("rounded {}", rounding.name())));
    how.extend(conversion.long.filter(|cut| *cut == CutOrRefuse::Cut).map(|_| "cut if long".to_owned()));
    how.extend(conversion.finer.filter(|cut| *cut == CutOrRefuse::Cut).map(|_| "cut if finer".to_owned()));
    how.extend(
        conversion
            .unmappable
            .filter(|r| *r == ReplaceOrRefuse::Replace)
            .map(|_| "? for other characters".to_owned()),
    );
    how.extend(conversion.function.map(|function| match function {
        Function::Upper => "in capitals".to_owned(),
        Function::Lower => "in small letters".to_owned(),
        Function::Trim => "without white space at its ends".to_owned(),
        Function::Join => String::new(),
    }));
    how
}

/// Converts one message and returns what each field became, followed by the encoded message.
pub fn explain_message(
    mapping: &Mapping,
    message_kind: MessageKind,
    from: Side,
    bytes: &[u8],
) -> Result<String, String> {
    let (source, target) = (mapping.dialect(from), mapping.dialect(from.other()));
    let message = source.decode(message_kind, bytes, Limits::default())?;
    let mut output = String::new();
    let converted = mapping.convert(message_kind, from, &message);
    let result = converted.as_ref().ok().map(|converted| &converted.message);
    let mut lines: Vec<[String; 3]> = Vec::new();
    for rule in mapping.rules(message_kind) {
        let (old, new) = match rule {
            Rule::Pair { old, new, .. } => (vec![*old], Some(*new)),
            Rule::Join { old, new, .. } => (old.clone(), Some(*new)),
            Rule::OneSided { side: Side::Old, field, .. } => (vec![*field], None),
            Rule::OneSided { side: Side::New, field, .. } => (Vec::new(), Some(*field)),
        };
        let side = |side: Side, places: &[usize]| -> String {
            let shown = |&at: &usize| {
                let field = &mapping.dialect(side).fields(message_kind)[at];
                let node = if side == from {
                    message.get(&field.path)
                } else {
                    result.and_then(|r| r.get(&field.path))
                };
                format!("{} = {}", field.path, node.map_or("(absent)".into(), Node::to_string))
            };
            places.iter().map(shown).collect::<Vec<_>>().join(", ")
        };
        let new: Vec<usize> = new.into_iter().collect();
        let (old_text, new_text) = (side(Side::Old, &old), side(Side::New, &new));
        let (from, to) = if from == Side::Old { (old_text, new_text) } else { (new_text, old_text) };
        let arrow = if from.is_empty() || to.is_empty() { "  " } else { "->" };
        lines.push([from, arrow.into(), to]);
    }
    let width = lines.iter().map(|line| line[0].chars().count()).max().unwrap_or(0).min(60);
    for [from, arrow, to] in &lines {
        let _ = writeln!(output, "{}", format!("{from:width$}  {arrow}  {to}").trim_end());
    }
    match converted {
        Err(error) => {
            let _ = writeln!(output, "\nrefused: {error}");
            Err(output)
        }
        Ok(converted) => {
            for notice in &converted.notices {
                let _ = writeln!(output, "notice: {notice}");
            }
            if let (MessageKind::Request, Side::Old) = (message_kind, from) {
                if let Some(key) = mapping.idempotency_key(&message) {
                    let _ = writeln!(output, "Idempotency-Key: {key}");
                }
            }
            let bytes = target.encode(message_kind, &converted.message)?;
            let text = target.charset.decode(&bytes)?;
            let _ = writeln!(output, "\n{}", text.trim_end());
            Ok(output)
        }
    }
}
