//! Converts a message of one side into a message of the other, field by field.

use crate::charset::Charset;
use crate::field::{find_unknown_field, Field, Kind, Value};
use crate::file::{CutOrRefuse, Function, Policy, ReplaceOrRefuse};
use crate::mapping::{Mapping, MessageKind, Side};
use crate::node::Node;
use crate::units::{convert, Ratio, Rounding};
use rust_decimal::Decimal;
use std::fmt;

/// A compiled rule. Fields are given by their index in the fields of their side.
#[derive(Debug, Clone)]
pub(crate) enum Rule {
    /// One old field corresponds to one new field.
    Pair { old: usize, new: usize, conversion: FieldConversion, when: Option<Condition> },
    /// Several old fields are joined into one new text.
    Join { old: Vec<usize>, new: usize, separator: String },
    /// The field exists on one side only.
    OneSided { side: Side, field: usize, policy: Policy, value: Option<Value>, constant: bool },
}

/// How a value is converted between the two fields of a pair.
#[derive(Debug, Clone, Default)]
pub(crate) struct FieldConversion {
    /// The value that replaces a missing one, for each side that requires a value.
    pub old_default: Option<Value>,
    pub new_default: Option<Value>,
    pub round: Option<Rounding>,
    pub long: Option<CutOrRefuse>,
    pub finer: Option<CutOrRefuse>,
    pub unmappable: Option<ReplaceOrRefuse>,
    pub pairs: Vec<[String; 2]>,
    pub function: Option<Function>,
    pub rules: Vec<Rule>,
}

/// A condition that is met if the old field has one of these values.
#[derive(Debug, Clone)]
pub(crate) struct Condition {
    pub field: usize,
    pub values: Vec<String>,
}

/// Why a message can't be converted. Nothing of such a message is sent on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConversionError {
    /// The side of the field.
    pub side: Side,
    /// The path of the field.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

impl ConversionError {
    fn new(side: Side, field: impl Into<String>, reason: impl Into<String>) -> Self {
        ConversionError { side, field: field.into(), reason: reason.into() }
    }
}

impl fmt::Display for ConversionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} field {:?}: {}", self.side.name(), self.field, self.reason)
    }
}

/// A loss that the mapping allows. It is reported to the client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Notice {
    /// The path of the field in the message that was converted.
    pub field: String,
    /// What was lost.
    pub loss: Loss,
}

/// How a converted value differs from the original.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Loss {
    /// The field has no counterpart and was left out.
    Dropped,
    /// The value was rounded to this one.
    Rounded(String),
    /// The value was shortened, or reduced to a coarser precision, to this one.
    Cut(String),
    /// Characters that the other side's set lacks were replaced, which gave this text.
    Replaced(String),
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.loss {
            Loss::Dropped => write!(f, "{} dropped", self.field),
            Loss::Rounded(to) => write!(f, "{} rounded to {to}", self.field),
            Loss::Cut(to) => write!(f, "{} cut to {to}", self.field),
            Loss::Replaced(to) => write!(f, "{} replaced by {to}", self.field),
        }
    }
}

/// The result of a conversion.
#[derive(Debug, Clone, PartialEq)]
pub struct Converted {
    /// The message of the other side.
    pub message: Node,
    /// The losses of the conversion.
    pub notices: Vec<Notice>,
}

/// Returns the name of a carried field in the extension. Two hyphens separate the steps of its path; no field name
/// contains two hyphens.
fn carried_name(path: &str) -> String {
    path.replace('.', "--")
}

impl Mapping {
    pub(crate) fn rules(&self, message_kind: MessageKind) -> &[Rule] {
        match message_kind {
            MessageKind::Request => &self.request_rules,
            MessageKind::Response => &self.response_rules,
        }
    }

    /// Converts a message of `from` into one of the other side. A message that can't be converted completely is
    /// refused.
    pub fn convert(
        &self,
        message_kind: MessageKind,
        from: Side,
        message: &Node,
    ) -> Result<Converted, ConversionError> {
        let (source, target) = (self.dialect(from), self.dialect(from.other()));
        let (source_fields, target_fields) = (source.fields(message_kind), target.fields(message_kind));
        if let Some(name) = find_unknown_field(message, source_fields, source.extension.as_deref()) {
            return Err(ConversionError::new(from, name, "no such field"));
        }
        let typing = source.form(message_kind).typing();
        let read = |field: &Field| {
            field.read(message, typing).map_err(|reason| ConversionError::new(from, &field.path, reason))
        };
        let values = source_fields.iter().map(read).collect::<Result<Vec<_>, _>>()?;

        let mut converter = Converter {
            from,
            charset: target.charset,
            notices: Vec::new(),
            carried: Vec::new(),
            extension: source.extension.as_deref().and_then(|path| message.get(path)),
            restored: 0,
        };
        let target_values =
            converter.apply_rules(self.rules(message_kind), source_fields, &values, target_fields, "")?;
        let extension_members = match converter.extension {
            Some(Node::Record(members)) => members.len(),
            None | Some(Node::Null) => 0,
            Some(_) => usize::MAX,
        };
        if extension_members != converter.restored {
            let path = source.extension.as_deref().unwrap_or_default();
            return Err(ConversionError::new(from, path, "it carries something that nothing stands for"));
        }
        let mut converted = Node::record();
        let typing = target.form(message_kind).typing();
        for (field, value) in target_fields.iter().zip(&target_values) {
            match value {
                Some(Value::Group(items)) if items.is_empty() && field.optional => {}
                Some(value) => {
                    let node = field.write(value, typing);
                    converted.insert(
                        &field.path,
                        node.map_err(|reason| ConversionError::new(from.other(), &field.path, reason))?,
                    );
                }
                None if field.optional => {}
                None => {
                    return Err(ConversionError::new(from.other(), &field.path, "nothing to fill it with"))
                }
            }
        }
        if let (Some(extension), false) = (&target.extension, converter.carried.is_empty()) {
            converted.insert(extension, Node::Record(converter.carried));
        }
        Ok(Converted { message: converted, notices: converter.notices })
    }
}

struct Converter<'a> {
    from: Side,
    charset: Charset,
    notices: Vec<Notice>,
    carried: Vec<(String, Node)>,
    extension: Option<&'a Node>,
    restored: usize,
}

impl Converter<'_> {
    fn error(&self, field: &str, reason: impl Into<String>) -> ConversionError {
        ConversionError::new(self.from, field, reason)
    }

    fn unmappable_character(&self, field: &str, character: char) -> ConversionError {
        self.error(field, format!("{} has no character {character:?}", self.charset.name()))
    }

    fn record_loss(&mut self, field: &str, loss: Loss) {
        self.notices.push(Notice { field: field.to_owned(), loss });
    }

    fn apply_rules(
        &mut self,
        rules: &[Rule],
        source_fields: &[Field],
        values: &[Option<Value>],
        target_fields: &[Field],
        prefix: &str,
    ) -> Result<Vec<Option<Value>>, ConversionError> {
        let mut target_values: Vec<Option<Value>> = vec![None; target_fields.len()];
        let from_old = self.from == Side::Old;
        let name = |field: &Field| format!("{prefix}{}", field.path);
        for rule in rules {
            match rule {
                Rule::Pair { old, new, conversion, when } => {
                    let (source, target) = if from_old { (*old, *new) } else { (*new, *old) };
                    let (field, target_field) = (&source_fields[source], &target_fields[target]);
                    let path = name(field);
                    let applies = when.as_ref().is_none_or(|when| {
                        let (side, value) = match from_old {
                            true => (&source_fields[when.field], &values[when.field]),
                            false => (&target_fields[when.field], &target_values[when.field]),
                        };
                        let text = value.as_ref().and_then(|value| side.kind.format(value).ok());
                        text.is_some_and(|text| when.values.contains(&text))
                    });
                    let default = if from_old { &conversion.new_default } else { &conversion.old_default };
                    target_values[target] = match &values[source] {
                        Some(_) if !applies => {
                            return Err(self.error(&path, "it may not be given with these others"))
                        }
                        Some(value) => {
                            Some(self.convert_value(value, field, target_field, conversion, &path)?)
                        }
                        None if applies => default.clone(),
                        None => None,
                    };
                }
                Rule::Join { old, new, separator } => {
                    if from_old {
                        let part = |&at: &usize| {
                            let text = values[at]
                                .as_ref()
                                .and_then(|value| source_fields[at].kind.format(value).ok());
                            let text =
                                text.ok_or_else(|| self.error(&name(&source_fields[at]), "missing"))?;
                            match text.contains(separator.as_str()) {
                                true => Err(self
                                    .error(&name(&source_fields[at]), format!("it has {separator:?} in it"))),
                                false => Ok(text),
                            }
                        };
                        let parts = old.iter().map(part).collect::<Result<Vec<_>, _>>()?;
                        target_values[*new] = Some(Value::Text(parts.join(separator)));
                    } else if let Some(Value::Text(text)) = &values[*new] {
                        let parts: Vec<&str> = text.split(separator.as_str()).collect();
                        let path = name(&source_fields[*new]);
                        if parts.len() != old.len() {
                            return Err(
                                self.error(&path, format!("not {} parts with {separator:?}", old.len()))
                            );
                        }
                        for (&at, part) in old.iter().zip(&parts) {
                            let kind = &target_fields[at].kind;
                            let value = kind.parse(part).map_err(|reason| self.error(&path, reason))?;
                            // Refuses a spelling that the conversion back would not restore.
                            if kind.format(&value).as_deref() != Ok(part) {
                                return Err(self.error(&path, format!("{part:?} is not written so")));
                            }
                            target_values[at] = Some(value);
                        }
                    }
                }
                Rule::OneSided { side, field, policy, value, constant } if *side == self.from => {
                    let path = name(&source_fields[*field]);
                    let Some(source_value) = values[*field].as_ref() else { continue };
                    let is_empty = matches!(source_value, Value::Group(items) if items.is_empty());
                    let is_default = value.as_ref() == Some(source_value);
                    match policy {
                        _ if is_empty || *constant && is_default => {}
                        _ if *constant => return Err(self.error(&path, "it may have one value only")),
                        // The reader of the other side's message fills in this same value.
                        Policy::Refuse if is_default => {}
                        Policy::Refuse => return Err(self.error(&path, "the other side has nothing like it")),
                        Policy::Drop => self.record_loss(&path, Loss::Dropped),
                        Policy::Carry => {
                            let text = source_fields[*field]
                                .kind
                                .format(source_value)
                                .map_err(|reason| self.error(&path, reason))?;
                            if let Some(c) = text.chars().find(|&c| !self.charset.contains(c)) {
                                return Err(self.unmappable_character(&path, c));
                            }
                            self.carried.push((carried_name(&path), Node::Text(text)));
                        }
                    }
                }
                Rule::OneSided { field, policy, value, .. } => {
                    let target_field = &target_fields[*field];
                    let carried = match self.extension {
                        Some(Node::Record(members)) if *policy == Policy::Carry => {
                            let carried = carried_name(&name(target_field));
                            members.iter().find(|(name, _)| *name == carried)
                        }
                        _ => None,
                    };
                    target_values[*field] = match carried {
                        Some((_, Node::Text(text))) => {
                            self.restored += 1;
                            Some(
                                target_field
                                    .kind
                                    .parse(text)
                                    .map_err(|reason| self.error(&name(target_field), reason))?,
                            )
                        }
                        Some(_) => return Err(self.error(&name(target_field), "carried, and no text")),
                        None => value.clone(),
                    };
                }
            }
        }
        Ok(target_values)
    }

    fn convert_value(
        &mut self,
        value: &Value,
        field: &Field,
        target_field: &Field,
        conversion: &FieldConversion,
        path: &str,
    ) -> Result<Value, ConversionError> {
        match (value, &field.kind, &target_field.kind) {
            (Value::Group(items), Kind::Group(_, source_fields), Kind::Group(_, target_fields)) => {
                let (mut all, prefix) = (Vec::with_capacity(items.len()), format!("{path}."));
                for item in items {
                    let values =
                        self.apply_rules(&conversion.rules, source_fields, item, target_fields, &prefix)?;
                    if let Some((field, _)) =
                        target_fields.iter().zip(&values).find(|(f, v)| v.is_none() && !f.optional)
                    {
                        return Err(self.error(path, format!("nothing to fill {:?} with", field.path)));
                    }
                    all.push(values);
                }
                Ok(Value::Group(all))
            }
            (Value::Text(text), _, Kind::Text(_, max)) => {
                self.convert_text(text, *max, conversion, path).map(Value::Text)
            }
            (Value::Choice(choice), _, Kind::Choice(choices)) => {
                let from_old = self.from == Side::Old;
                let pair = conversion.pairs.iter().find(|pair| pair[usize::from(!from_old)] == *choice);
                match pair.map(|pair| pair[usize::from(from_old)].clone()) {
                    Some(choice) => Ok(Value::Choice(choice)),
                    None if conversion.pairs.is_empty() && choices.contains(choice) => Ok(value.clone()),
                    None => Err(self.error(path, format!("{choice:?} has no counterpart"))),
                }
            }
            (Value::Integer(n), _, Kind::Decimal(..)) => match Decimal::try_from_i128_with_scale(*n, 0) {
                Ok(n) => Ok(Value::Decimal(n)),
                Err(_) => Err(self.error(path, "too large a number")),
            },
            (Value::Decimal(n), _, Kind::Integer(..)) => {
                let n = self.round_number(*n, Ratio::from_decimal(*n), 0, conversion, path)?;
                Ok(Value::Integer(n.mantissa()))
            }
            (Value::Decimal(n), Kind::Quantity(_, _, _, from), Kind::Quantity(_, _, digits, to)) => {
                match from == to && n.scale() <= *digits {
                    true => Ok(value.clone()),
                    false => {
                        let n = self.round_number(*n, convert(*n, from, to), *digits, conversion, path)?;
                        Ok(Value::Decimal(n.normalize()))
                    }
                }
            }
            (Value::Decimal(n), _, Kind::Decimal(_, _, digits)) => match n.normalize().scale() <= *digits {
                true => Ok(value.clone()),
                false => self
                    .round_number(*n, Ratio::from_decimal(*n), *digits, conversion, path)
                    .map(Value::Decimal),
            },
            (Value::Time(time), _, Kind::Time(time_format)) => {
                let truncated = time_format.truncate(*time);
                if truncated != *time {
                    if conversion.finer != Some(CutOrRefuse::Cut) {
                        return Err(self.error(path, "it tells time more finely than the other side can"));
                    }
                    let text =
                        target_field.kind.format(&Value::Time(truncated)).unwrap_or_else(|reason| reason);
                    self.record_loss(path, Loss::Cut(text));
                }
                Ok(Value::Time(truncated))
            }
            _ => Ok(value.clone()),
        }
    }

    fn round_number(
        &mut self,
        n: Decimal,
        exact: Option<Ratio>,
        digits: u32,
        conversion: &FieldConversion,
        path: &str,
    ) -> Result<Decimal, ConversionError> {
        let rounding = conversion.round.unwrap_or(Rounding::HalfEven);
        let rounded = exact.and_then(|exact| exact.round(digits, rounding));
        let (value, lost) = rounded.ok_or_else(|| self.error(path, format!("{n} is too large a number")))?;
        match (lost, conversion.round) {
            (true, None) => Err(self.error(path, format!("{n} has too many digits for the other side"))),
            (true, Some(_)) => {
                self.record_loss(path, Loss::Rounded(value.to_string()));
                Ok(value)
            }
            (false, _) => Ok(value),
        }
    }

    fn convert_text(
        &mut self,
        text: &str,
        max: usize,
        conversion: &FieldConversion,
        path: &str,
    ) -> Result<String, ConversionError> {
        let text = match conversion.function {
            Some(Function::Upper) if self.from == Side::Old => text.to_uppercase(),
            Some(Function::Lower) if self.from == Side::Old => text.to_lowercase(),
            Some(Function::Trim) if self.from == Side::Old => text.trim().to_owned(),
            _ => text.to_owned(),
        };
        let text = match text.chars().find(|&c| !self.charset.contains(c)) {
            None => text,
            Some(_) if conversion.unmappable == Some(ReplaceOrRefuse::Replace) => {
                let charset = self.charset;
                let replaced: String =
                    text.chars().map(|c| if charset.contains(c) { c } else { '?' }).collect();
                self.record_loss(path, Loss::Replaced(replaced.clone()));
                replaced
            }
            Some(c) => return Err(self.unmappable_character(path, c)),
        };
        match text.chars().count() > max {
            false => Ok(text),
            true if conversion.long == Some(CutOrRefuse::Cut) => {
                let truncated: String = text.chars().take(max).collect();
                self.record_loss(path, Loss::Cut(truncated.clone()));
                Ok(truncated)
            }
            true => Err(self.error(path, format!("longer than the {max} characters of the other side"))),
        }
    }
}
