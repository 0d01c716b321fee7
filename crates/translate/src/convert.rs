//! One side's message into the other's, field by field.

use crate::charset::Charset;
use crate::field::{stray, Field, Kind, Value};
use crate::file::{Cut, Function, Policy, Replace};
use crate::mapping::{Mapping, MessageKind, Side};
use crate::node::Node;
use crate::units::{convert, Ratio, Rounding};
use rust_decimal::Decimal;
use std::fmt;

/// How fields become each other; places are those in the fields of the sides.
#[derive(Debug, Clone)]
pub(crate) enum Rule {
    /// One is the other.
    Pair { old: usize, new: usize, cast: Cast, when: Option<Condition> },
    /// Several old ones are one new text.
    Join { old: Vec<usize>, new: usize, with: String },
    /// The other side does not have it.
    Alone { side: Side, field: usize, policy: Policy, value: Option<Value>, constant: bool },
}

/// How a value of one side becomes one of the other.
#[derive(Debug, Clone, Default)]
pub(crate) struct Cast {
    /// What stands for a missing value, by the side that has to have one.
    pub old_default: Option<Value>,
    pub new_default: Option<Value>,
    pub round: Option<Rounding>,
    pub long: Option<Cut>,
    pub finer: Option<Cut>,
    pub unmappable: Option<Replace>,
    pub pairs: Vec<[String; 2]>,
    pub function: Option<Function>,
    pub rules: Vec<Rule>,
}

/// A rule holds if this old field is one of these.
#[derive(Debug, Clone)]
pub(crate) struct Condition {
    pub field: usize,
    pub is: Vec<String>,
}

/// Why a message has no counterpart. It is not sent on, not even in part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    /// The side that the field is of.
    pub side: Side,
    /// The field.
    pub field: String,
    /// What is wrong with it.
    pub why: String,
}

impl Refused {
    fn new(side: Side, field: impl Into<String>, why: impl Into<String>) -> Self {
        Refused { side, field: field.into(), why: why.into() }
    }
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} field {:?}: {}", self.side.name(), self.field, self.why)
    }
}

/// What was lost on the way, as the mapping allows. The client is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Notice {
    /// The field, of the side that it came from.
    pub field: String,
    /// What became of it.
    pub what: Lost,
}

/// How a value was not kept as it was.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lost {
    /// It has no counterpart and was left out.
    Dropped,
    /// It became this, which has fewer digits.
    Rounded(String),
    /// It became this, which is shorter or coarser.
    Cut(String),
    /// It became this, for want of some of its characters.
    Replaced(String),
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.what {
            Lost::Dropped => write!(f, "{} dropped", self.field),
            Lost::Rounded(to) => write!(f, "{} rounded to {to}", self.field),
            Lost::Cut(to) => write!(f, "{} cut to {to}", self.field),
            Lost::Replaced(to) => write!(f, "{} replaced by {to}", self.field),
        }
    }
}

/// A message of the other side.
#[derive(Debug, Clone, PartialEq)]
pub struct Converted {
    /// It.
    pub message: Node,
    /// What was lost.
    pub notices: Vec<Notice>,
}

/// The name of a carried field in the extension: steps of a path are parted by two hyphens, which no name has.
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

    /// Turns a message of `from` into the other side's, whole or not at all.
    pub fn convert(
        &self,
        message_kind: MessageKind,
        from: Side,
        message: &Node,
    ) -> Result<Converted, Refused> {
        let (source, target) = (self.dialect(from), self.dialect(from.other()));
        let (had, wanted) = (source.fields(message_kind), target.fields(message_kind));
        if let Some(name) = stray(message, had, source.extension.as_deref()) {
            return Err(Refused::new(from, name, "no such field"));
        }
        let typing = source.form(message_kind).typing();
        let read =
            |field: &Field| field.read(message, typing).map_err(|why| Refused::new(from, &field.path, why));
        let values = had.iter().map(read).collect::<Result<Vec<_>, _>>()?;

        let mut work = Work {
            from,
            charset: target.charset,
            notices: Vec::new(),
            carried: Vec::new(),
            extension: source.extension.as_deref().and_then(|path| message.at(path)),
            restored: 0,
        };
        let out = work.apply(self.rules(message_kind), had, &values, wanted, "")?;
        let brought = match work.extension {
            Some(Node::Record(members)) => members.len(),
            None | Some(Node::Null) => 0,
            Some(_) => usize::MAX,
        };
        if brought != work.restored {
            let path = source.extension.as_deref().unwrap_or_default();
            return Err(Refused::new(from, path, "it carries something that nothing stands for"));
        }
        let mut told = Node::record();
        let typing = target.form(message_kind).typing();
        for (field, value) in wanted.iter().zip(&out) {
            match value {
                Some(Value::Group(items)) if items.is_empty() && field.optional => {}
                Some(value) => {
                    let node = field.write(value, typing);
                    told.put(&field.path, node.map_err(|why| Refused::new(from.other(), &field.path, why))?);
                }
                None if field.optional => {}
                None => return Err(Refused::new(from.other(), &field.path, "nothing to fill it with")),
            }
        }
        if let (Some(extension), false) = (&target.extension, work.carried.is_empty()) {
            told.put(extension, Node::Record(work.carried));
        }
        Ok(Converted { message: told, notices: work.notices })
    }
}

struct Work<'a> {
    from: Side,
    charset: Charset,
    notices: Vec<Notice>,
    carried: Vec<(String, Node)>,
    extension: Option<&'a Node>,
    restored: usize,
}

impl Work<'_> {
    fn refused(&self, field: &str, why: impl Into<String>) -> Refused {
        Refused::new(self.from, field, why)
    }

    fn unmappable(&self, field: &str, character: char) -> Refused {
        self.refused(field, format!("{} has no character {character:?}", self.charset.name()))
    }

    fn lost(&mut self, field: &str, what: Lost) {
        self.notices.push(Notice { field: field.to_owned(), what });
    }

    fn apply(
        &mut self,
        rules: &[Rule],
        had: &[Field],
        values: &[Option<Value>],
        wanted: &[Field],
        above: &str,
    ) -> Result<Vec<Option<Value>>, Refused> {
        let mut out: Vec<Option<Value>> = vec![None; wanted.len()];
        let old_first = self.from == Side::Old;
        let name = |field: &Field| format!("{above}{}", field.path);
        for rule in rules {
            match rule {
                Rule::Pair { old, new, cast, when } => {
                    let (source, target) = if old_first { (*old, *new) } else { (*new, *old) };
                    let (field, into) = (&had[source], &wanted[target]);
                    let path = name(field);
                    let holds = when.as_ref().is_none_or(|when| {
                        let (side, value) = match old_first {
                            true => (&had[when.field], &values[when.field]),
                            false => (&wanted[when.field], &out[when.field]),
                        };
                        let text = value.as_ref().and_then(|value| side.kind.format(value).ok());
                        text.is_some_and(|text| when.is.contains(&text))
                    });
                    let default = if old_first { &cast.new_default } else { &cast.old_default };
                    out[target] = match &values[source] {
                        Some(_) if !holds => {
                            return Err(self.refused(&path, "it may not be given with these others"))
                        }
                        Some(value) => Some(self.cast(value, field, into, cast, &path)?),
                        None if holds => default.clone(),
                        None => None,
                    };
                }
                Rule::Join { old, new, with } => {
                    if old_first {
                        let part = |&at: &usize| {
                            let text = values[at].as_ref().and_then(|value| had[at].kind.format(value).ok());
                            let text = text.ok_or_else(|| self.refused(&name(&had[at]), "missing"))?;
                            match text.contains(with.as_str()) {
                                true => Err(self.refused(&name(&had[at]), format!("it has {with:?} in it"))),
                                false => Ok(text),
                            }
                        };
                        let parts = old.iter().map(part).collect::<Result<Vec<_>, _>>()?;
                        out[*new] = Some(Value::Text(parts.join(with)));
                    } else if let Some(Value::Text(text)) = &values[*new] {
                        let parts: Vec<&str> = text.split(with.as_str()).collect();
                        let path = name(&had[*new]);
                        if parts.len() != old.len() {
                            return Err(self.refused(&path, format!("not {} parts with {with:?}", old.len())));
                        }
                        for (&at, part) in old.iter().zip(&parts) {
                            let kind = &wanted[at].kind;
                            let value = kind.parse(part).map_err(|why| self.refused(&path, why))?;
                            // What is written otherwise would come back otherwise.
                            if kind.format(&value).as_deref() != Ok(part) {
                                return Err(self.refused(&path, format!("{part:?} is not written so")));
                            }
                            out[at] = Some(value);
                        }
                    }
                }
                Rule::Alone { side, field, policy, value, constant } if *side == self.from => {
                    let path = name(&had[*field]);
                    let Some(given) = values[*field].as_ref() else { continue };
                    let is_empty = matches!(given, Value::Group(items) if items.is_empty());
                    let same = value.as_ref() == Some(given);
                    match policy {
                        _ if is_empty || *constant && same => {}
                        _ if *constant => return Err(self.refused(&path, "it may have one value only")),
                        // The other side's message will be read with this very value.
                        Policy::Refuse if same => {}
                        Policy::Refuse => {
                            return Err(self.refused(&path, "the other side has nothing like it"))
                        }
                        Policy::Drop => self.lost(&path, Lost::Dropped),
                        Policy::Carry => {
                            let text =
                                had[*field].kind.format(given).map_err(|why| self.refused(&path, why))?;
                            if let Some(c) = text.chars().find(|&c| !self.charset.has(c)) {
                                return Err(self.unmappable(&path, c));
                            }
                            self.carried.push((carried_name(&path), Node::Text(text)));
                        }
                    }
                }
                Rule::Alone { field, policy, value, .. } => {
                    let into = &wanted[*field];
                    let carried = match self.extension {
                        Some(Node::Record(members)) if *policy == Policy::Carry => {
                            let wanted = carried_name(&name(into));
                            members.iter().find(|(name, _)| *name == wanted)
                        }
                        _ => None,
                    };
                    out[*field] = match carried {
                        Some((_, Node::Text(text))) => {
                            self.restored += 1;
                            Some(into.kind.parse(text).map_err(|why| self.refused(&name(into), why))?)
                        }
                        Some(_) => return Err(self.refused(&name(into), "carried, and no text")),
                        None => value.clone(),
                    };
                }
            }
        }
        Ok(out)
    }

    fn cast(
        &mut self,
        value: &Value,
        field: &Field,
        into: &Field,
        cast: &Cast,
        path: &str,
    ) -> Result<Value, Refused> {
        match (value, &field.kind, &into.kind) {
            (Value::Group(items), Kind::Group(_, had), Kind::Group(_, wanted)) => {
                let (mut all, above) = (Vec::with_capacity(items.len()), format!("{path}."));
                for item in items {
                    let values = self.apply(&cast.rules, had, item, wanted, &above)?;
                    if let Some((field, _)) =
                        wanted.iter().zip(&values).find(|(f, v)| v.is_none() && !f.optional)
                    {
                        return Err(self.refused(path, format!("nothing to fill {:?} with", field.path)));
                    }
                    all.push(values);
                }
                Ok(Value::Group(all))
            }
            (Value::Text(text), _, Kind::Text(_, most)) => {
                self.text(text, *most, cast, path).map(Value::Text)
            }
            (Value::Choice(word), _, Kind::Choice(words)) => {
                let old_first = self.from == Side::Old;
                let pair = cast.pairs.iter().find(|pair| pair[usize::from(!old_first)] == *word);
                match pair.map(|pair| pair[usize::from(old_first)].clone()) {
                    Some(word) => Ok(Value::Choice(word)),
                    None if cast.pairs.is_empty() && words.contains(word) => Ok(value.clone()),
                    None => Err(self.refused(path, format!("{word:?} has no counterpart"))),
                }
            }
            (Value::Integer(n), _, Kind::Decimal(..)) => match Decimal::try_from_i128_with_scale(*n, 0) {
                Ok(n) => Ok(Value::Decimal(n)),
                Err(_) => Err(self.refused(path, "too large a number")),
            },
            (Value::Decimal(n), _, Kind::Integer(..)) => {
                let n = self.number(*n, Ratio::of(*n), 0, cast, path)?;
                Ok(Value::Integer(n.mantissa()))
            }
            (Value::Decimal(n), Kind::Quantity(_, _, _, from), Kind::Quantity(_, _, digits, to)) => {
                match from == to && n.scale() <= *digits {
                    true => Ok(value.clone()),
                    false => {
                        let n = self.number(*n, convert(*n, from, to), *digits, cast, path)?;
                        Ok(Value::Decimal(n.normalize()))
                    }
                }
            }
            (Value::Decimal(n), _, Kind::Decimal(_, _, digits)) => match n.normalize().scale() <= *digits {
                true => Ok(value.clone()),
                false => self.number(*n, Ratio::of(*n), *digits, cast, path).map(Value::Decimal),
            },
            (Value::Time(moment), _, Kind::Time(clock)) => {
                let cut = clock.cut(*moment);
                if cut != *moment {
                    if cast.finer != Some(Cut::Cut) {
                        return Err(self.refused(path, "it tells time more finely than the other side can"));
                    }
                    let told = into.kind.format(&Value::Time(cut)).unwrap_or_else(|why| why);
                    self.lost(path, Lost::Cut(told));
                }
                Ok(Value::Time(cut))
            }
            _ => Ok(value.clone()),
        }
    }

    fn number(
        &mut self,
        n: Decimal,
        exact: Option<Ratio>,
        digits: u32,
        cast: &Cast,
        path: &str,
    ) -> Result<Decimal, Refused> {
        let rounding = cast.round.unwrap_or(Rounding::HalfEven);
        let rounded = exact.and_then(|exact| exact.round(digits, rounding));
        let (value, lost) =
            rounded.ok_or_else(|| self.refused(path, format!("{n} is too large a number")))?;
        match (lost, cast.round) {
            (true, None) => Err(self.refused(path, format!("{n} has too many digits for the other side"))),
            (true, Some(_)) => {
                self.lost(path, Lost::Rounded(value.to_string()));
                Ok(value)
            }
            (false, _) => Ok(value),
        }
    }

    fn text(&mut self, text: &str, most: usize, cast: &Cast, path: &str) -> Result<String, Refused> {
        let text = match cast.function {
            Some(Function::Upper) if self.from == Side::Old => text.to_uppercase(),
            Some(Function::Lower) if self.from == Side::Old => text.to_lowercase(),
            Some(Function::Trim) if self.from == Side::Old => text.trim().to_owned(),
            _ => text.to_owned(),
        };
        let text = match text.chars().find(|&c| !self.charset.has(c)) {
            None => text,
            Some(_) if cast.unmappable == Some(Replace::Replace) => {
                let charset = self.charset;
                let there: String = text.chars().map(|c| if charset.has(c) { c } else { '?' }).collect();
                self.lost(path, Lost::Replaced(there.clone()));
                there
            }
            Some(c) => return Err(self.unmappable(path, c)),
        };
        match text.chars().count() > most {
            false => Ok(text),
            true if cast.long == Some(Cut::Cut) => {
                let cut: String = text.chars().take(most).collect();
                self.lost(path, Lost::Cut(cut.clone()));
                Ok(cut)
            }
            true => Err(self.refused(path, format!("longer than the {most} characters of the other side"))),
        }
    }
}
