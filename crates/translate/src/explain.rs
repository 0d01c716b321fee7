//! Mappings for people: Markdown tables, and one message field by field.

use crate::convert::{Cast, Rule};
use crate::field::{ClockForm, Field, Fold, Kind};
use crate::file::{Cut, Function, Policy, Replace};
use crate::mapping::{Dialect, Form, Mapping, MessageKind, Side};
use crate::node::{Limits, Node};
use std::fmt::Write;

/// The whole mapping as Markdown.
pub fn explain(mapping: &Mapping) -> String {
    let mut out = format!("# {}, version {}\n\nClass `{}`.\n", mapping.name, mapping.version, mapping.class);
    let _ = writeln!(out, "\n| side | request | answer |\n| --- | --- | --- |");
    for side in [Side::Old, Side::New] {
        let dialect = mapping.dialect(side);
        let (request, response) = (form(dialect.request_form, dialect), form(dialect.response_form, dialect));
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
        if let Some(class) = &key.without {
            let _ = writeln!(out, "A request that lacks one of them is of class `{class}`.");
        }
    }
    for message_kind in [MessageKind::Request, MessageKind::Response] {
        let _ = writeln!(out, "\n## The {}\n\n| old | new | how |\n| --- | --- | --- |", message_kind.name());
        let (old, new) = (mapping.old.fields(message_kind), mapping.new.fields(message_kind));
        rows(mapping.rules(message_kind), old, new, "", &mut out);
    }
    let _ = writeln!(out, "\n## What does not come back as it went\n");
    for note in &mapping.notes {
        let (message_kind, side) = (note.message_kind.name(), note.from.name());
        let _ = writeln!(out, "- {message_kind}, {side} `{}`: {}", note.field, cell(&note.text));
    }
    if mapping.notes.is_empty() {
        out.push_str("Nothing.\n");
    }
    out
}

fn form(form: Form, dialect: &Dialect) -> String {
    match form {
        Form::Soap => {
            format!("SOAP `{}` of `{}`, {}", dialect.operation, dialect.namespace, dialect.charset.name())
        }
        Form::Json => "JSON".into(),
        Form::Form => format!("form, {}", dialect.charset.name()),
        Form::Table => format!(
            "text parted by `{}`, {}",
            cell(&char::from(dialect.delimiter).to_string()),
            dialect.charset.name()
        ),
    }
}

/// Bars would end the cell.
fn cell(text: &str) -> String {
    text.replace('|', "\\|")
}

fn told(field: &Field, above: &str) -> String {
    let optional = if field.optional { ", optional" } else { "" };
    let kind = match &field.kind {
        Kind::Text(least, most) => format!("text of {least} to {most}"),
        Kind::Integer(least, most, _) => format!("integer from {least} to {most}"),
        Kind::Decimal(least, most, digits) => format!("decimal from {least} to {most}, {digits} digits"),
        Kind::Quantity(least, most, digits, unit) => {
            format!("{} from {least} to {most}, {digits} digits", unit.symbol)
        }
        Kind::Date(form) => format!("date {form}"),
        Kind::Time(clock) => match &clock.form {
            ClockForm::Rfc3339 => "time, RFC 3339".into(),
            ClockForm::Unix => "time, Unix seconds".into(),
            ClockForm::Local(form) => {
                let fold = match clock.fold {
                    Fold::Refuse => "no doubled hour",
                    Fold::Earlier => "the first of doubled hours",
                    Fold::Later => "the second of doubled hours",
                };
                format!("time {form} in {}, {fold}", clock.zone.iana_name().unwrap_or("UTC"))
            }
        },
        Kind::Choice(words) => format!("one of {}", words.join(", ")),
        Kind::Flag(yes, no) => format!("{yes} or {no}"),
        Kind::Group(most, _) => format!("up to {most} items"),
    };
    format!("`{above}{}` {}{optional}", field.path, cell(&kind))
}

fn rows(rules: &[Rule], old: &[Field], new: &[Field], above: &str, out: &mut String) {
    for rule in rules {
        match rule {
            Rule::Pair { old: a, new: b, cast, when } => {
                let mut how = how(cast);
                if let Some(when) = when {
                    how.push(format!("only if `{}` is {}", old[when.field].path, when.is.join(" or ")));
                }
                let (a, b) = (&old[*a], &new[*b]);
                let _ =
                    writeln!(out, "| {} | {} | {} |", told(a, above), told(b, above), cell(&how.join("; ")));
                if let (Kind::Group(_, had), Kind::Group(_, wanted)) = (&a.kind, &b.kind) {
                    rows(&cast.rules, had, wanted, &format!("{above}{}.", a.path), out);
                }
            }
            Rule::Join { old: parts, new: b, with } => {
                let parts: Vec<_> = parts.iter().map(|&at| told(&old[at], above)).collect();
                let _ = writeln!(
                    out,
                    "| {} | {} | joined by `{}` |",
                    parts.join("; "),
                    told(&new[*b], above),
                    cell(with)
                );
            }
            Rule::Alone { side, field, policy, value, constant } => {
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
                let told = told(field, above);
                let (a, b) = if *side == Side::Old { (told, String::new()) } else { (String::new(), told) };
                let _ = writeln!(out, "| {a} | {b} | {} |", cell(&how));
            }
        }
    }
}

fn how(cast: &Cast) -> Vec<String> {
    let mut how: Vec<String> = cast.pairs.iter().map(|[a, b]| format!("{a} = {b}")).collect();
    how.extend(cast.round.map(|rounding| format!("rounded {}", rounding.name())));
    how.extend(cast.long.filter(|cut| *cut == Cut::Cut).map(|_| "cut if long".to_owned()));
    how.extend(cast.finer.filter(|cut| *cut == Cut::Cut).map(|_| "cut if finer".to_owned()));
    how.extend(
        cast.unmappable.filter(|r| *r == Replace::Replace).map(|_| "? for other characters".to_owned()),
    );
    how.extend(cast.function.map(|function| match function {
        Function::Upper => "in capitals".to_owned(),
        Function::Lower => "in small letters".to_owned(),
        Function::Trim => "without white space at its ends".to_owned(),
        Function::Join => String::new(),
    }));
    how
}

/// One message by hand: what becomes of each field, and the other side's message.
pub fn explain_message(
    mapping: &Mapping,
    message_kind: MessageKind,
    from: Side,
    bytes: &[u8],
) -> Result<String, String> {
    let (source, target) = (mapping.dialect(from), mapping.dialect(from.other()));
    let message = source.decode(message_kind, bytes, Limits::default())?;
    let mut told = String::new();
    let done = mapping.convert(message_kind, from, &message);
    let result = done.as_ref().ok().map(|done| &done.message);
    let mut lines: Vec<[String; 3]> = Vec::new();
    for rule in mapping.rules(message_kind) {
        let (olds, new) = match rule {
            Rule::Pair { old, new, .. } => (vec![*old], Some(*new)),
            Rule::Join { old, new, .. } => (old.clone(), Some(*new)),
            Rule::Alone { side: Side::Old, field, .. } => (vec![*field], None),
            Rule::Alone { side: Side::New, field, .. } => (Vec::new(), Some(*field)),
        };
        let side = |side: Side, places: &[usize]| -> String {
            let shown = |&at: &usize| {
                let field = &mapping.dialect(side).fields(message_kind)[at];
                let node = if side == from {
                    message.at(&field.path)
                } else {
                    result.and_then(|r| r.at(&field.path))
                };
                format!("{} = {}", field.path, node.map_or("(absent)".into(), Node::to_string))
            };
            places.iter().map(shown).collect::<Vec<_>>().join(", ")
        };
        let new: Vec<usize> = new.into_iter().collect();
        let (a, b) = (side(Side::Old, &olds), side(Side::New, &new));
        let (from, to) = if from == Side::Old { (a, b) } else { (b, a) };
        let arrow = if from.is_empty() || to.is_empty() { "  " } else { "->" };
        lines.push([from, arrow.into(), to]);
    }
    let width = lines.iter().map(|line| line[0].chars().count()).max().unwrap_or(0).min(60);
    for [from, arrow, to] in &lines {
        let _ = writeln!(told, "{}", format!("{from:width$}  {arrow}  {to}").trim_end());
    }
    match done {
        Err(refused) => {
            let _ = writeln!(told, "\nrefused: {refused}");
            Err(told)
        }
        Ok(done) => {
            for notice in &done.notices {
                let _ = writeln!(told, "notice: {notice}");
            }
            if let (MessageKind::Request, Side::Old) = (message_kind, from) {
                if let Some(key) = mapping.key(&message) {
                    let _ = writeln!(told, "Idempotency-Key: {key}");
                }
            }
            let bytes = target.encode(message_kind, &done.message)?;
            let text = target.charset.decode(&bytes)?;
            let _ = writeln!(told, "\n{}", text.trim_end());
            Ok(told)
        }
    }
}
