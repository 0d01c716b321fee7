//! Typed fields: parsing and formatting the values of each type, and validating them.

use crate::node::Node;
use crate::units::Unit;
use jiff::civil::{Date, DateTime};
use jiff::tz::{AmbiguousOffset, Offset, TimeZone};
use jiff::Timestamp;
use rust_decimal::Decimal;
use std::borrow::Cow;

/// A field of one side's message.
#[derive(Debug, Clone)]
pub struct Field {
    /// Its path; points separate the names of nested records.
    pub path: String,
    /// Its type.
    pub kind: Kind,
    /// True if a message may omit the field.
    pub optional: bool,
}

/// The type of a field.
#[derive(Debug, Clone)]
pub enum Kind {
    /// A text with a minimum and a maximum number of characters.
    Text(usize, usize),
    /// A whole number within bounds, written with at least this number of digits.
    Integer(i128, i128, usize),
    /// A decimal within bounds, with at most this number of digits after the point.
    Decimal(Decimal, Decimal, u32),
    /// A decimal within bounds, with at most this number of digits after the point, in a unit.
    Quantity(Decimal, Decimal, u32, &'static Unit),
    /// A date in this strftime format.
    Date(String),
    /// A point in time.
    Time(TimeFormat),
    /// One of these values.
    Choice(Vec<String>),
    /// True or false, written as these words in forms that have no booleans.
    Flag(String, String),
    /// A list with a maximum number of items, each with these fields.
    Group(usize, Vec<Field>),
}

/// How points in time are written.
#[derive(Debug, Clone)]
pub struct TimeFormat {
    /// The notation.
    pub notation: TimeNotation,
    /// The time zone of local times, and of times that are written with an offset but have none of their own.
    pub zone: TimeZone,
    /// How a local time is resolved if it occurs twice because clocks were set back.
    pub fold: Fold,
}

/// The notation of a point in time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TimeNotation {
    /// RFC 3339, with a UTC offset.
    Rfc3339,
    /// Seconds since 1970 (Unix time).
    Unix,
    /// A local time in this strftime format.
    Local(String),
}

/// How a local time that occurs twice is resolved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fold {
    /// The message is refused.
    Refuse,
    /// The first occurrence is meant.
    Earlier,
    /// The second occurrence is meant.
    Later,
}

/// The precision of a time notation, coarsest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Precision {
    /// Minutes.
    Minute,
    /// Seconds.
    Second,
    /// Fractions of a second.
    Fraction,
}

impl TimeFormat {
    /// Reports whether this writes local times of a zone with offset transitions, where some local times occur twice
    /// and some never.
    pub fn has_transitions(&self) -> bool {
        matches!(self.notation, TimeNotation::Local(_)) && self.zone.to_fixed_offset().is_err()
    }

    /// Returns the precision of the notation.
    pub fn precision(&self) -> Precision {
        match &self.notation {
            TimeNotation::Rfc3339 => Precision::Fraction,
            TimeNotation::Unix => Precision::Second,
            TimeNotation::Local(format) if format.contains("%f") || format.contains("%.f") => {
                Precision::Fraction
            }
            TimeNotation::Local(format) if format.contains("%S") || format.contains("%T") => {
                Precision::Second
            }
            TimeNotation::Local(_) => Precision::Minute,
        }
    }

    /// Truncates a point in time to the precision of the notation.
    pub fn truncate(&self, time: OffsetTimestamp) -> OffsetTimestamp {
        let unit = match self.precision() {
            Precision::Minute => 60,
            Precision::Second => 1,
            Precision::Fraction => return time,
        };
        let seconds = time.timestamp.as_second() - i64::from(time.timestamp.subsec_nanosecond() < 0);
        let timestamp = Timestamp::from_second(seconds - seconds.rem_euclid(unit)).unwrap_or(time.timestamp);
        OffsetTimestamp { timestamp, ..time }
    }

    fn read(&self, text: &str) -> Result<OffsetTimestamp, String> {
        match &self.notation {
            TimeNotation::Rfc3339 => rfc3339(text),
            TimeNotation::Unix => {
                let seconds = integer(text)?;
                let timestamp =
                    i64::try_from(seconds).ok().and_then(|seconds| Timestamp::from_second(seconds).ok());
                Ok(OffsetTimestamp { timestamp: timestamp.ok_or("out of the range of times")?, offset: None })
            }
            TimeNotation::Local(format) => {
                let invalid = || format!("not a time as {format:?}");
                let local = DateTime::strptime(format, text).map_err(|_| invalid())?;
                // Refuses leap seconds, missing zeros and other input that would be written back differently.
                if local.strftime(format).to_string() != text {
                    return Err(if text.contains("60") {
                        "a leap second, or not a time as its form".into()
                    } else {
                        invalid()
                    });
                }
                let ambiguous = self.zone.to_ambiguous_timestamp(local);
                let offset = match (ambiguous.offset(), self.fold) {
                    (AmbiguousOffset::Unambiguous { offset }, _) => offset,
                    (AmbiguousOffset::Gap { .. }, _) => {
                        return Err("a local time that no clock showed: it was set forward".into())
                    }
                    (AmbiguousOffset::Fold { before, .. }, Fold::Earlier) => before,
                    (AmbiguousOffset::Fold { after, .. }, Fold::Later) => after,
                    (AmbiguousOffset::Fold { .. }, Fold::Refuse) => {
                        return Err("a local time that the clock showed twice: it was set back".into())
                    }
                };
                let timestamp = offset.to_timestamp(local).map_err(|_| "out of the range of times")?;
                Ok(OffsetTimestamp { timestamp, offset: Some(offset) })
            }
        }
    }

    fn write(&self, time: OffsetTimestamp) -> Result<String, String> {
        let text = match &self.notation {
            TimeNotation::Unix => return Ok(time.timestamp.as_second().to_string()),
            TimeNotation::Rfc3339 => {
                let offset = time.offset.unwrap_or_else(|| self.zone.to_offset(time.timestamp));
                if offset.seconds() % 60 != 0 {
                    return Err("an offset of parts of a minute".into());
                }
                let local = offset.to_datetime(time.timestamp);
                if local.year() < 0 {
                    return Err("a year before the first".into());
                }
                let sign = if offset.seconds() < 0 { '-' } else { '+' };
                let minutes = offset.seconds().abs() / 60;
                // `local` is formatted as RFC 3339 without an offset (ISO 8601), with as many fractional digits as
                // needed.
                return Ok(match offset == Offset::UTC {
                    true => format!("{local}Z"),
                    false => format!("{local}{sign}{:02}:{:02}", minutes / 60, minutes % 60),
                });
            }
            TimeNotation::Local(format) => self.zone.to_datetime(time.timestamp).strftime(format).to_string(),
        };
        // Refuses times in a repeated hour that would be read back as another moment, and years that the format has no digits for.
        match self.read(&text) {
            Ok(reread) if reread.timestamp == time.timestamp => Ok(text),
            Ok(_) => Err(format!("it would be written as {text:?}, which is another moment")),
            Err(reason) => Err(format!("it would be written as {text:?}: {reason}")),
        }
    }
}

/// Parses a time of RFC 3339 (section 5.6). Accepts only capital letters, as its section 4.3 recommends.
fn rfc3339(text: &str) -> Result<OffsetTimestamp, String> {
    let bytes = text.as_bytes();
    let matches_pattern = |from: usize, like: &[u8]| {
        like.iter().enumerate().all(|(n, &c)| match bytes.get(from + n) {
            Some(byte) if c == b'0' => byte.is_ascii_digit(),
            byte => byte == Some(&c),
        })
    };
    let invalid = || "not a time as of RFC 3339".to_owned();
    if !matches_pattern(0, b"0000-00-00T00:00:00") {
        return Err(invalid());
    }
    let mut end = 19;
    if bytes.get(end) == Some(&b'.') {
        let digits = bytes[end + 1..].iter().take_while(|byte| byte.is_ascii_digit()).count();
        if !(1..=9).contains(&digits) {
            return Err("from one to nine digits of a second".into());
        }
        end += 1 + digits;
    }
    if &bytes[17..19] == b"60" {
        return Err("a leap second, which the other side has no way to write".into());
    }
    let local: DateTime = text[..end].parse().map_err(|_| invalid())?;
    let offset = match &bytes[end..] {
        b"Z" => Some(Offset::UTC),
        b"-00:00" => None,
        rest if rest.len() == 6 && (matches_pattern(end, b"+00:00") || matches_pattern(end, b"-00:00")) => {
            let part = |from: usize| text[from..from + 2].parse::<i32>().unwrap_or(99);
            let (hours, minutes) = (part(end + 1), part(end + 4));
            if hours > 23 || minutes > 59 {
                return Err(invalid());
            }
            let seconds = (hours * 60 + minutes) * if rest[0] == b'-' { -60 } else { 60 };
            Some(Offset::from_seconds(seconds).map_err(|_| invalid())?)
        }
        _ => return Err(invalid()),
    };
    let timestamp = offset.unwrap_or(Offset::UTC).to_timestamp(local).map_err(|_| invalid())?;
    Ok(OffsetTimestamp { timestamp, offset })
}

/// A point in time and the UTC offset that it was written with.
#[derive(Debug, Clone, Copy)]
pub struct OffsetTimestamp {
    /// The point in time.
    pub timestamp: Timestamp,
    /// `None` if the local offset is unknown (`-00:00`).
    pub offset: Option<Offset>,
}

/// Two values are equal if they denote the same point in time, whatever their offsets.
impl PartialEq for OffsetTimestamp {
    fn eq(&self, other: &Self) -> bool {
        self.timestamp == other.timestamp
    }
}

/// The value of a field.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// A value of [`Kind::Text`].
    Text(String),
    /// A value of [`Kind::Integer`].
    Integer(i128),
    /// A value of [`Kind::Decimal`] or [`Kind::Quantity`], in the field's unit.
    Decimal(Decimal),
    /// A value of [`Kind::Date`].
    Date(Date),
    /// A value of [`Kind::Time`].
    Time(OffsetTimestamp),
    /// A value of [`Kind::Choice`].
    Choice(String),
    /// A value of [`Kind::Flag`].
    Flag(bool),
    /// A value of [`Kind::Group`]: its items, with an optional value for each field.
    Group(Vec<Vec<Option<Value>>>),
}

/// How a form represents values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Typing {
    /// True if numbers and booleans are distinct from text.
    pub typed: bool,
    /// True if a list with one item looks like the item itself.
    pub single_item_unwrapped: bool,
}

fn integer(text: &str) -> Result<i128, String> {
    let digits = text.strip_prefix('-').unwrap_or(text);
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err("not a whole number".into());
    }
    text.parse().map_err(|_| "too large a number".into())
}

/// Parses a decimal: an optional minus, digits, and at most one point with digits on both sides.
fn decimal(text: &str) -> Result<Decimal, String> {
    let plain = text.strip_prefix('-').unwrap_or(text);
    let (whole, part) = plain.split_once('.').unwrap_or((plain, "0"));
    let digits = |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if !digits(whole) || !digits(part) {
        return Err("not a decimal".into());
    }
    // An inexact conversion would silently drop the last digits.
    Decimal::from_str_exact(text).map_err(|_| "more digits than can be kept".into())
}

/// Rewrites a JSON number without its exponent, if it can be represented so.
fn expand_exponent(number: &str) -> Result<String, String> {
    let Some((digits, exponent)) = number.split_once(['e', 'E']) else { return Ok(number.to_owned()) };
    let exponent: i32 = exponent.parse().map_err(|_| "too large a number")?;
    let value = decimal(digits)?;
    let power = Decimal::from_str_exact(&match exponent {
        0..=27 => format!("1{}", "0".repeat(exponent as usize)),
        -27..0 => format!("0.{}1", "0".repeat(exponent.unsigned_abs() as usize - 1)),
        _ => return Err("too large or too small a number".into()),
    });
    let scale = value.scale() as i32 - exponent;
    let exact = power.ok().and_then(|power| value.checked_mul(power)).filter(|_| scale <= 28);
    exact.map(|value| value.normalize().to_string()).ok_or_else(|| "too large or too small a number".into())
}

impl Field {
    /// Reads the field from a message of its side.
    pub fn read(&self, message: &Node, typing: Typing) -> Result<Option<Value>, String> {
        match message.get(&self.path) {
            None | Some(Node::Null) => match &self.kind {
                Kind::Group(..) => Ok(Some(Value::Group(Vec::new()))),
                _ if self.optional => Ok(None),
                _ => Err("missing".into()),
            },
            Some(node) => self.value(node, typing),
        }
    }

    fn value(&self, node: &Node, typing: Typing) -> Result<Option<Value>, String> {
        let invalid = || format!("{} where {} should be", node.kind(), self.kind.name());
        if let Kind::Group(max, fields) = &self.kind {
            let items = match node {
                Node::List(items) => items.as_slice(),
                item if typing.single_item_unwrapped => std::slice::from_ref(item),
                _ => return Err(invalid()),
            };
            if items.len() > *max {
                return Err(format!("{} items, of {max} at most", items.len()));
            }
            let item = |(n, item): (usize, &Node)| {
                if !matches!(item, Node::Record(_))
                    && !matches!(item, Node::Text(text) if text.trim().is_empty())
                {
                    return Err(format!("item {}: {} where a record should be", n + 1, item.kind()));
                }
                find_unknown_field(item, fields, None)
                    .map_or(Ok(()), |name| Err(format!("item {}: {name:?} is no field of it", n + 1)))?;
                let read = |field: &Field| {
                    field
                        .read(item, typing)
                        .map_err(|reason| format!("item {}, {:?}: {reason}", n + 1, field.path))
                };
                fields.iter().map(read).collect()
            };
            return items
                .iter()
                .enumerate()
                .map(item)
                .collect::<Result<_, _>>()
                .map(|all| Some(Value::Group(all)));
        }
        let text = match (node, &self.kind) {
            (Node::Bool(flag), Kind::Flag(..)) => return Ok(Some(Value::Flag(*flag))),
            (Node::Number(digits), kind) if kind.is_number() => &expand_exponent(digits)?,
            (Node::Text(text), kind)
                if !typing.typed || !kind.is_number() && !matches!(kind, Kind::Flag(..)) =>
            {
                text
            }
            _ => return Err(invalid()),
        };
        if text.is_empty() && !matches!(self.kind, Kind::Text(..)) {
            return if self.optional { Ok(None) } else { Err("empty".into()) };
        }
        self.kind.parse(text).map(Some)
    }

    /// Converts a value to its representation in a message of its side.
    pub fn write(&self, value: &Value, typing: Typing) -> Result<Node, String> {
        if let (Kind::Group(max, fields), Value::Group(items)) = (&self.kind, value) {
            if items.len() > *max {
                return Err(format!("{} items, of {max} at most", items.len()));
            }
            let item = |values: &Vec<Option<Value>>| {
                let mut record = Node::record();
                for (field, value) in fields.iter().zip(values) {
                    if let Some(value) = value {
                        record.insert(&field.path, field.write(value, typing)?);
                    }
                }
                Ok(record)
            };
            return items.iter().map(item).collect::<Result<_, String>>().map(Node::List);
        }
        self.kind.check(value)?;
        let text = self.kind.format(value)?;
        Ok(match value {
            Value::Flag(flag) if typing.typed => Node::Bool(*flag),
            _ if typing.typed && self.kind.is_number() => Node::Number(text),
            _ => Node::Text(text),
        })
    }
}

/// Returns the path of a member that belongs to none of the fields and is not `extension`.
pub fn find_unknown_field(record: &Node, fields: &[Field], extension: Option<&str>) -> Option<String> {
    fn find(node: &Node, path: &str, fields: &[Field], extension: Option<&str>) -> Option<String> {
        let Node::Record(members) = node else { return Some(path.to_owned()) };
        members.iter().find_map(|(name, value)| {
            let path: Cow<'_, str> = match path {
                "" => name.into(),
                path => format!("{path}.{name}").into(),
            };
            if extension == Some(&*path) || fields.iter().any(|field| field.path == *path) {
                return None;
            }
            let is_parent = |f: &Field| f.path.strip_prefix(&*path).is_some_and(|rest| rest.starts_with('.'));
            match (fields.iter().any(is_parent), value) {
                (true, Node::Null) => None,
                (true, _) => find(value, &path, fields, extension),
                _ => Some(path.into_owned()),
            }
        })
    }
    match record {
        Node::Record(_) => find(record, "", fields, extension),
        _ => None,
    }
}

fn check_range<T: PartialOrd + std::fmt::Display>(value: &T, min: &T, max: &T) -> Result<(), String> {
    match (min..=max).contains(&value) {
        true => Ok(()),
        false => Err(format!("{value} is not within {min} and {max}")),
    }
}

impl Kind {
    /// Returns the name used in mapping files.
    pub fn name(&self) -> &'static str {
        match self {
            Kind::Text(..) => "text",
            Kind::Integer(..) => "integer",
            Kind::Decimal(..) => "decimal",
            Kind::Quantity(..) => "quantity",
            Kind::Date(_) => "date",
            Kind::Time(_) => "time",
            Kind::Choice(_) => "choice",
            Kind::Flag(..) => "flag",
            Kind::Group(..) => "group",
        }
    }

    fn is_number(&self) -> bool {
        let unix = matches!(self, Kind::Time(TimeFormat { notation: TimeNotation::Unix, .. }));
        unix || matches!(self, Kind::Integer(..) | Kind::Decimal(..) | Kind::Quantity(..))
    }

    /// Parses a value.
    pub fn parse(&self, text: &str) -> Result<Value, String> {
        match self {
            Kind::Text(..) => self.checked(Value::Text(text.to_owned())),
            Kind::Integer(..) => self.checked(Value::Integer(integer(text)?)),
            Kind::Decimal(..) | Kind::Quantity(..) => self.checked(Value::Decimal(decimal(text)?)),
            Kind::Date(format) => {
                let day =
                    Date::strptime(format, text).ok().filter(|day| day.strftime(format).to_string() == text);
                day.map(Value::Date).ok_or_else(|| format!("not a date as {format:?}"))
            }
            Kind::Time(time_format) => time_format.read(text).map(Value::Time),
            Kind::Choice(_) => self.checked(Value::Choice(text.to_owned())),
            Kind::Flag(yes, no) => match text {
                text if text == yes => Ok(Value::Flag(true)),
                text if text == no => Ok(Value::Flag(false)),
                text => Err(format!("{text:?} is neither {yes} nor {no}")),
            },
            Kind::Group(..) => Err("text where a group should be".into()),
        }
    }

    fn checked(&self, value: Value) -> Result<Value, String> {
        self.check(&value).map(|()| value)
    }

    /// Checks that a value can be read back: its bounds, its length or its list of values.
    fn check(&self, value: &Value) -> Result<(), String> {
        match (self, value) {
            (Kind::Text(min, max), Value::Text(text)) => {
                let length = text.chars().count();
                match (*min..=*max).contains(&length) {
                    true => Ok(()),
                    false => Err(format!("{length} characters, not {min} to {max}")),
                }
            }
            (Kind::Integer(min, max, _), Value::Integer(value)) => check_range(value, min, max),
            (
                Kind::Decimal(min, max, digits) | Kind::Quantity(min, max, digits, _),
                Value::Decimal(value),
            ) => {
                if value.scale() > *digits && value.normalize().scale() > *digits {
                    return Err(format!("{value} has more than {digits} digits after the point"));
                }
                check_range(value, min, max)
            }
            (Kind::Choice(choices), Value::Choice(choice)) if !choices.contains(choice) => {
                Err(format!("{choice:?} is none of {}", choices.join(", ")))
            }
            // A year that the format has no digits for would be read back as another year.
            (Kind::Date(_), Value::Date(_)) => match self.parse(&self.format(value)?)? == *value {
                true => Ok(()),
                false => Err("it would be written as another day".into()),
            },
            // `TimeFormat::write` parses its own output.
            _ => Ok(()),
        }
    }

    /// Formats a value.
    pub fn format(&self, value: &Value) -> Result<String, String> {
        match (self, value) {
            (Kind::Text(..), Value::Text(text)) | (Kind::Choice(_), Value::Choice(text)) => Ok(text.clone()),
            (Kind::Integer(_, _, width), Value::Integer(n)) => {
                let sign = if *n < 0 { "-" } else { "" };
                Ok(format!("{sign}{:0width$}", n.unsigned_abs(), width = *width))
            }
            // A zero is written without a minus.
            (Kind::Decimal(..) | Kind::Quantity(..), Value::Decimal(n)) if n.is_zero() => {
                Ok(n.abs().to_string())
            }
            (Kind::Decimal(..) | Kind::Quantity(..), Value::Decimal(n)) => Ok(n.to_string()),
            (Kind::Date(format), Value::Date(day)) => Ok(day.strftime(format).to_string()),
            (Kind::Time(time_format), Value::Time(time)) => time_format.write(*time),
            (Kind::Flag(yes, no), Value::Flag(flag)) => Ok(if *flag { yes } else { no }.clone()),
            _ => Err(format!("no {}", self.name())),
        }
    }
}
