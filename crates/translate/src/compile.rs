//! What a mapping file means, and all that is wrong with it: no field of either side goes without a rule, and every
//! conversion that could lose something says what is to become of it.

use crate::charset::Charset;
use crate::convert::{Cast, Condition, Rule};
use crate::field::{Clock, ClockForm, Field, Fold, Grain, Kind, Value};
use crate::file::{self, line_of, Cut, File, Function, Policy, Replace};
use crate::mapping::{Dialect, Fault, Form, Key, Mapping, MessageKind, Note, Side};
use crate::units::{self, Rounding};
use crate::wire::table::Layout;
use jiff::tz::TimeZone;
use rust_decimal::Decimal;
use std::fmt::Display;
use toml::Spanned;

const NAME: &str = "a name has letters, digits, _ and - only";

struct Compiler<'a> {
    text: &'a str,
    faults: Vec<Fault>,
    notes: Vec<Note>,
}

pub(crate) fn compile(text: &str, file: File) -> Result<Mapping, Vec<Fault>> {
    let mut compiler = Compiler { text, faults: Vec::new(), notes: Vec::new() };
    let old = compiler.dialect(Side::Old, &file.old);
    let new = compiler.dialect(Side::New, &file.new);
    if !is_name(file.name.get_ref()) {
        compiler.fault(&file.name, "name", NAME);
    }
    let charsets = (old.charset, new.charset);
    let mut rules = |message_kind: MessageKind, rules: &[file::Rule]| {
        let sides = Sides {
            message_kind,
            old: old.fields(message_kind),
            new: new.fields(message_kind),
            charsets,
            above: ["", ""],
        };
        let extensions = (old.extension.is_some(), new.extension.is_some());
        compiler.rules(&sides, rules, Some(extensions), &file.name)
    };
    let request_rules = rules(MessageKind::Request, &file.request);
    let response_rules = rules(MessageKind::Response, &file.response);
    let key = file.key.as_ref().map(|key| {
        let places = key.old.iter().filter_map(|name| {
            let place = old.request_fields.iter().position(|field| field.path == *name.get_ref());
            match place.filter(|&at| !matches!(old.request_fields[at].kind, Kind::Group(..))) {
                Some(at) => Some(at),
                None => {
                    compiler.fault(name, "key.old", "no such field of the old request");
                    None
                }
            }
        });
        Key { fields: places.collect(), namespace: key.namespace.clone(), without: key.without.clone() }
    });
    if key.as_ref().is_some_and(|key| key.fields.is_empty()) {
        compiler.fault(&file.name, "key.old", "a key is made of one field at least");
    }
    let Compiler { mut faults, notes, .. } = compiler;
    match faults.is_empty() {
        true => Ok(Mapping {
            name: file.name.into_inner(),
            version: file.version,
            class: file.class,
            old,
            new,
            notes,
            request_rules,
            response_rules,
            key,
        }),
        false => {
            faults.sort_by_key(|fault| fault.line);
            Err(faults)
        }
    }
}

/// The fields that rules speak of.
struct Sides<'a> {
    message_kind: MessageKind,
    old: &'a [Field],
    new: &'a [Field],
    charsets: (Charset, Charset),
    /// The groups that the fields are in, on each side.
    above: [&'a str; 2],
}

impl Sides<'_> {
    fn of(&self, side: Side) -> &[Field] {
        match side {
            Side::Old => self.old,
            Side::New => self.new,
        }
    }

    fn above(&self, side: Side) -> &str {
        self.above[usize::from(side == Side::New)]
    }

    /// The characters of the other side, if it does not have all that this one has.
    fn narrower(&self, side: Side) -> Option<Charset> {
        let (here, there) = match side {
            Side::Old => (self.charsets.0, self.charsets.1),
            Side::New => (self.charsets.1, self.charsets.0),
        };
        (here != there && there != Charset::Utf8).then_some(there)
    }

    fn key(&self, side: Side, name: &str) -> String {
        format!("{}.{}.{}{name}", self.message_kind.name(), side.name(), self.above(side))
    }
}

/// One direction of a rule, from the field of `side` into the other's.
#[derive(Clone, Copy)]
struct Way<'a> {
    sides: &'a Sides<'a>,
    side: Side,
    from: &'a Field,
    into: &'a Field,
    file: &'a file::Rule,
    /// Where the rule stands.
    named: &'a Spanned<String>,
}

fn is_name(text: &str) -> bool {
    let mut bytes = text.bytes();
    let first = bytes.next().is_some_and(|byte| byte.is_ascii_alphabetic() || byte == b'_');
    first
        && bytes.all(|byte| byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'-')
        && !text.contains("--")
}

impl Compiler<'_> {
    fn fault<T>(&mut self, at: &Spanned<T>, key: impl Into<String>, what: impl Into<String>) {
        let line = line_of(self.text, at.span().start);
        self.faults.push(Fault { line, key: key.into(), what: what.into() });
    }

    fn note(&mut self, sides: &Sides<'_>, from: Side, name: &str, text: impl Into<String>) {
        let field = format!("{}{name}", sides.above(from));
        self.notes.push(Note { message_kind: sides.message_kind, field, from, text: text.into() });
    }

    // ---- sides --------------------------------------------------------------------------------------------------

    fn dialect(&mut self, side: Side, file: &file::Side) -> Dialect {
        let zone = self.zone(file.zone.as_ref(), &TimeZone::UTC);
        let request_form = *file.form.get_ref();
        let response_form = file.response_form.as_ref().map_or(request_form, |form| *form.get_ref());
        let here = side.name();
        if request_form == Form::Table {
            self.fault(
                &file.form,
                format!("{here}.form"),
                "a request is a form, SOAP or JSON; tables are answers",
            );
        }
        if let Some(bad) = file.response_form.as_ref().filter(|form| *form.get_ref() == Form::Form) {
            self.fault(bad, format!("{here}.answers"), "an answer is a table, SOAP or JSON");
        }
        if (request_form == Form::Json || response_form == Form::Json) && file.charset != Charset::Utf8 {
            self.fault(&file.form, format!("{here}.charset"), "JSON is UTF-8 (RFC 8259, 8.1)");
        }
        let soap = request_form == Form::Soap || response_form == Form::Soap;
        let operation = file.operation.clone().unwrap_or_default();
        if soap && (!is_name(&operation) || file.namespace.as_deref().unwrap_or_default().is_empty()) {
            self.fault(&file.form, here, "SOAP needs an operation, which is a name, and a namespace");
        }
        if !file.path.get_ref().starts_with('/') {
            self.fault(&file.path, format!("{here}.path"), "a path begins with /");
        }
        let delimiter =
            file.delimiter.as_ref().map_or(b'|', |delimiter| match delimiter.get_ref().as_bytes() {
                &[mark] if mark == b'\t' || mark.is_ascii_punctuation() && mark != b'"' => mark,
                _ => {
                    let what = "a delimiter is one ASCII mark or a tab";
                    self.fault(delimiter, format!("{here}.delimiter"), what);
                    b'|'
                }
            });
        if let Some(bad) = file.extension.as_ref().filter(|name| !is_name(name.get_ref())) {
            self.fault(bad, format!("{here}.extension"), NAME);
        }
        let request_fields = self.fields(&format!("{here}.request"), &file.request, &zone);
        let response_fields = self.fields(&format!("{here}.answer"), &file.response, &zone);
        if let Some(extension) = &file.extension {
            if request_fields.iter().chain(&response_fields).any(|field| field.path == *extension.get_ref()) {
                self.fault(extension, format!("{here}.extension"), "a field has this name");
            }
        }
        if response_form == Form::Table {
            self.check_table(here, &file.response, &response_fields);
        }
        let extension = file.extension.as_ref().map(|name| name.get_ref().clone());
        Dialect {
            request_form,
            response_form,
            method: file.method.clone(),
            path: file.path.get_ref().clone(),
            charset: file.charset,
            delimiter,
            table_layout: Layout::of(&response_fields, extension.clone()),
            extension,
            operation,
            namespace: file.namespace.clone().unwrap_or_default(),
            request_fields,
            response_fields,
        }
    }

    /// Delimited text has rows for one level of groups, and no way to tell an empty text from none.
    fn check_table(&mut self, here: &str, files: &[file::Field], fields: &[Field]) {
        for (file, field) in files.iter().zip(fields) {
            let key = format!("{here}.answer.{}", field.path);
            let within = match &field.kind {
                Kind::Group(_, within)
                    if within.iter().any(|field| matches!(field.kind, Kind::Group(..))) =>
                {
                    self.fault(&file.name, key.clone(), "a table has no groups within groups");
                    continue;
                }
                Kind::Group(_, within) => within.as_slice(),
                _ => std::slice::from_ref(field),
            };
            if matches!(field.kind, Kind::Group(..)) && matches!(field.path.as_str(), "H" | "T" | "X") {
                self.fault(&file.name, key.clone(), "H, T and X are the tags of a table's own rows");
            }
            if within.iter().any(|field| matches!(field.kind, Kind::Text(0, _))) {
                let what = "a table does not tell an empty text from none: length from 1";
                self.fault(&file.name, key, what);
            }
        }
    }

    fn zone(&mut self, name: Option<&Spanned<String>>, otherwise: &TimeZone) -> TimeZone {
        let Some(name) = name else { return otherwise.clone() };
        TimeZone::get(name.get_ref()).unwrap_or_else(|_| {
            self.fault(name, "zone", format!("{:?} is no zone of the IANA database", name.get_ref()));
            otherwise.clone()
        })
    }

    fn fields(&mut self, above: &str, files: &[file::Field], zone: &TimeZone) -> Vec<Field> {
        let mut fields: Vec<Field> = Vec::with_capacity(files.len());
        for file in files {
            let path = file.name.get_ref();
            let key = format!("{above}.{path}");
            if !path.split('.').all(is_name) {
                self.fault(&file.name, &key, format!("{NAME}, records parted by points"));
            }
            let within = |a: &str, b: &str| {
                a.strip_prefix(b).is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
            };
            if fields.iter().any(|known| within(&known.path, path) || within(path, &known.path)) {
                self.fault(&file.name, &key, "the name is taken, as a field or as a record");
            }
            let kind = self.kind(file, &key, zone);
            fields.push(Field { path: path.clone(), kind, optional: file.optional });
        }
        fields
    }

    fn kind(&mut self, file: &file::Field, key: &str, zone: &TimeZone) -> Kind {
        let at = &file.name;
        let given = [
            ("length", file.length.is_some(), matches!(file.kind, file::Kind::Text)),
            ("range", file.range.is_some(), {
                matches!(file.kind, file::Kind::Integer | file::Kind::Decimal | file::Kind::Quantity)
            }),
            (
                "digits",
                file.digits.is_some(),
                matches!(file.kind, file::Kind::Decimal | file::Kind::Quantity),
            ),
            ("width", file.width.is_some(), matches!(file.kind, file::Kind::Integer)),
            ("unit", file.unit.is_some(), matches!(file.kind, file::Kind::Quantity)),
            ("format", file.format.is_some(), matches!(file.kind, file::Kind::Date | file::Kind::Time)),
            ("zone", file.zone.is_some(), matches!(file.kind, file::Kind::Time)),
            ("fold", file.fold.is_some(), matches!(file.kind, file::Kind::Time)),
            ("values", file.values.is_some(), matches!(file.kind, file::Kind::Choice)),
            ("words", file.words.is_some(), matches!(file.kind, file::Kind::Flag)),
            ("max", file.max.is_some(), matches!(file.kind, file::Kind::Group)),
            ("fields", !file.fields.is_empty(), matches!(file.kind, file::Kind::Group)),
        ];
        for (name, is_given, belongs) in given {
            if is_given && !belongs {
                self.fault(at, key, format!("{name} says nothing of this type"));
            }
        }
        let digits = file.digits.unwrap_or(0);
        match file.kind {
            file::Kind::Text => {
                let [least, most] = file.length.unwrap_or_default();
                if most == 0 || least > most {
                    self.fault(at, key, "a text has length = [least, most], in characters");
                }
                Kind::Text(least, most)
            }
            file::Kind::Integer => {
                let bounds = file.range.as_ref().map(|[a, b]| (a.parse(), b.parse()));
                match bounds {
                    Some((Ok(least), Ok(most))) if least <= most => {
                        Kind::Integer(least, most, file.width.unwrap_or(0).min(40))
                    }
                    _ => {
                        self.fault(at, key, "an integer has range = [\"least\", \"most\"]");
                        Kind::Integer(0, 0, 0)
                    }
                }
            }
            file::Kind::Decimal | file::Kind::Quantity => {
                let bounds = file
                    .range
                    .as_ref()
                    .map(|[a, b]| (Decimal::from_str_exact(a), Decimal::from_str_exact(b)));
                let (least, most) = match bounds {
                    Some((Ok(least), Ok(most))) if least <= most => (least, most),
                    _ => {
                        self.fault(at, key, "a decimal has range = [\"least\", \"most\"]");
                        (Decimal::ZERO, Decimal::ZERO)
                    }
                };
                if digits > 18 {
                    self.fault(at, key, "18 digits after the point at most");
                }
                if file.kind == file::Kind::Decimal {
                    return Kind::Decimal(least, most, digits.min(18));
                }
                let unit = file.unit.as_deref().and_then(units::find).unwrap_or_else(|| {
                    let known: Vec<_> = units::UNITS.iter().map(|unit| unit.symbol).collect();
                    self.fault(at, key, format!("a quantity has a unit, one of {}", known.join(", ")));
                    &units::UNITS[0]
                });
                Kind::Quantity(least, most, digits.min(18), unit)
            }
            file::Kind::Date => {
                let form = file.format.clone().unwrap_or_else(|| "%Y-%m-%d".into());
                let day = jiff::civil::date(2007, 11, 23);
                let again = jiff::fmt::strtime::format(&form, day)
                    .ok()
                    .and_then(|text| jiff::civil::Date::strptime(&form, text).ok());
                if again != Some(day) {
                    self.fault(at, key, "a date's format has to hold year, month and day, as of strftime");
                }
                Kind::Date(form)
            }
            file::Kind::Time => {
                let form = match file.format.as_deref() {
                    None | Some("rfc3339") => ClockForm::Rfc3339,
                    Some("unix") => ClockForm::Unix,
                    Some(form) => {
                        let minute = jiff::civil::date(2007, 11, 23).at(13, 47, 0, 0);
                        let again = jiff::fmt::strtime::format(form, minute)
                            .ok()
                            .and_then(|text| jiff::civil::DateTime::strptime(form, text).ok());
                        if again != Some(minute) {
                            let what = "a time's format is rfc3339, unix, or holds day, hour and minute, as of strftime";
                            self.fault(at, key, what);
                        }
                        ClockForm::Local(form.to_owned())
                    }
                };
                let zone = self.zone(file.zone.as_ref(), zone);
                let clock = Clock { form, zone, fold: file.fold.unwrap_or(Fold::Refuse) };
                if clock.is_set() && file.fold.is_none() {
                    self.fault(at, key, "a local time needs fold = \"earlier\", \"later\" or \"refuse\"");
                }
                Kind::Time(clock)
            }
            file::Kind::Choice => {
                let values = file.values.clone().unwrap_or_default();
                let mut sorted = values.clone();
                sorted.sort();
                sorted.dedup();
                if values.is_empty() || sorted.len() != values.len() || values.iter().any(String::is_empty) {
                    self.fault(at, key, "a choice has values, none empty, none twice");
                }
                Kind::Choice(values)
            }
            file::Kind::Flag => {
                let [yes, no] = file.words.clone().unwrap_or_else(|| ["true".into(), "false".into()]);
                if yes == no || yes.is_empty() || no.is_empty() {
                    self.fault(at, key, "a flag has two words that differ");
                }
                Kind::Flag(yes, no)
            }
            file::Kind::Group => {
                let fields = self.fields(key, &file.fields, zone);
                if fields.is_empty() || file.max.unwrap_or(0) == 0 {
                    self.fault(at, key, "a group has fields, and max items");
                }
                Kind::Group(file.max.unwrap_or(0), fields)
            }
        }
    }

    // ---- rules --------------------------------------------------------------------------------------------------

    /// The rules of a message or of a group's items. A group has no extension of its own.
    fn rules(
        &mut self,
        sides: &Sides<'_>,
        files: &[file::Rule],
        extensions: Option<(bool, bool)>,
        at: &Spanned<String>,
    ) -> Vec<Rule> {
        let mut used: (Vec<usize>, Vec<usize>) = (Vec::new(), Vec::new());
        let mut rules = Vec::with_capacity(files.len());
        for file in files {
            let mut places = |side: Side, names: Option<&file::Names>| -> Option<Vec<usize>> {
                let used = if side == Side::Old { &mut used.0 } else { &mut used.1 };
                let mut all = Vec::new();
                for name in names.map(file::Names::list).unwrap_or_default() {
                    let key = sides.key(side, name.get_ref());
                    match sides.of(side).iter().position(|field| field.path == *name.get_ref()) {
                        None => self.fault(name, key, "no such field"),
                        Some(at) if used.contains(&at) => {
                            self.fault(name, key, "another rule has it already");
                        }
                        Some(at) => {
                            used.push(at);
                            all.push(at);
                        }
                    }
                }
                (all.len() == names.map(file::Names::list).unwrap_or_default().len()).then_some(all)
            };
            let (old, new) = (places(Side::Old, file.old.as_ref()), places(Side::New, file.new.as_ref()));
            let (Some(old), Some(new)) = (old, new) else { continue };
            let named = file.old.as_ref().or(file.new.as_ref()).and_then(|names| names.list().first());
            let Some(named) = named else {
                self.fault(at, sides.message_kind.name(), "a rule names an old field, a new one or both");
                continue;
            };
            let rule = match (old.as_slice(), new.as_slice(), file.function) {
                (_, &[new], Some(Function::Join)) if old.len() > 1 => self.join(sides, old, new, file, named),
                (&[old], &[new], _) => self.pair(sides, old, new, file, named, &rules),
                (&[old], &[], _) => {
                    self.alone(sides, Side::Old, old, file, named, extensions.map(|both| both.1))
                }
                (&[], &[new], _) => {
                    self.alone(sides, Side::New, new, file, named, extensions.map(|both| both.0))
                }
                _ => {
                    let what = "one old field and one new one, or several old ones, one new one and function = \"join\"";
                    self.fault(named, sides.message_kind.name(), what);
                    None
                }
            };
            rules.extend(rule);
        }
        for (side, used) in [(Side::Old, &used.0), (Side::New, &used.1)] {
            let fields = sides.of(side).iter().enumerate();
            for (_, field) in fields.filter(|(place, _)| !used.contains(place)) {
                let what = "neither mapped, defaulted nor given a policy";
                self.fault(at, sides.key(side, &field.path), what);
            }
        }
        rules
    }

    fn join(
        &mut self,
        sides: &Sides<'_>,
        old: Vec<usize>,
        new: usize,
        file: &file::Rule,
        named: &Spanned<String>,
    ) -> Option<Rule> {
        let key = sides.key(Side::New, &sides.new[new].path);
        let with = file.with.clone().unwrap_or_default();
        let plain = |&at: &usize| !matches!(sides.old[at].kind, Kind::Group(..)) && !sides.old[at].optional;
        if with.is_empty() || !old.iter().all(plain) || sides.new[new].optional {
            self.fault(
                named,
                key,
                "join needs with = \"...\", and fields that are no groups and not optional",
            );
            return None;
        }
        let Kind::Text(..) = sides.new[new].kind else {
            self.fault(named, key, "join makes a text");
            return None;
        };
        self.note(
            sides,
            Side::New,
            &sides.new[new].path,
            format!(
                "refused unless it is {} parts with {with:?}, each as the old field writes it",
                old.len()
            ),
        );
        for &at in &old {
            if matches!(sides.old[at].kind, Kind::Text(..)) {
                self.note(sides, Side::Old, &sides.old[at].path, format!("refused if it has {with:?} in it"));
            }
        }
        Some(Rule::Join { old, new, with })
    }

    fn alone(
        &mut self,
        sides: &Sides<'_>,
        side: Side,
        place: usize,
        file: &file::Rule,
        named: &Spanned<String>,
        can_carry: Option<bool>,
    ) -> Option<Rule> {
        let field = &sides.of(side)[place];
        let key = sides.key(side, &field.path);
        let text = file.constant.as_ref().or(file.default.as_ref());
        let value = text.and_then(|text| self.literal(field, text, named, &key));
        let is_group = matches!(field.kind, Kind::Group(..));
        let Some(policy) = file.policy.or(file.constant.as_ref().map(|_| Policy::Refuse)) else {
            self.fault(
                named,
                key,
                "the other side has no such field: policy = \"refuse\", \"carry\" or \"drop\"",
            );
            return None;
        };
        if policy == Policy::Carry && (is_group || can_carry != Some(true)) {
            let what = match (is_group, can_carry) {
                (true, _) => "a group can't be carried",
                (_, None) => "a field of a group's items can't be carried",
                _ => "the other side has no extension to carry it in",
            };
            self.fault(named, key, what);
            return None;
        }
        if value.is_none() && !field.optional && !is_group {
            self.fault(
                named,
                key,
                "it has to be there, and the other side does not say what: default or constant",
            );
            return None;
        }
        let constant = file.constant.is_some();
        let given = text.map_or("any value".to_owned(), |text| format!("any value but {text:?}"));
        match policy {
            Policy::Drop if !constant => {
                self.note(sides, side, &field.path, "any value is dropped, with a notice");
            }
            Policy::Carry if !constant => {
                if let Some(there) = sides.narrower(side) {
                    let what = format!("characters that {} does not have are refused", there.name());
                    self.note(sides, side, &field.path, what);
                }
            }
            _ => self.note(sides, side, &field.path, format!("{given} is refused")),
        }
        Some(Rule::Alone { side, field: place, policy, value, constant })
    }

    fn literal(&mut self, field: &Field, text: &str, at: &Spanned<String>, key: &str) -> Option<Value> {
        match field.kind.parse(text) {
            Ok(value) => Some(value),
            Err(why) => {
                self.fault(at, key, format!("{text:?} is no value of it: {why}"));
                None
            }
        }
    }

    fn pair(
        &mut self,
        sides: &Sides<'_>,
        old: usize,
        new: usize,
        file: &file::Rule,
        named: &Spanned<String>,
        before: &[Rule],
    ) -> Option<Rule> {
        let (a, b) = (&sides.old[old], &sides.new[new]);
        let keys = (sides.key(Side::Old, &a.path), sides.key(Side::New, &b.path));
        let mut default = |field: &Field, text: &Option<String>, key: &str| {
            text.as_ref().and_then(|text| self.literal(field, text, named, key))
        };
        let mut cast = Cast {
            old_default: default(a, &file.old_default, &keys.0),
            new_default: default(b, &file.new_default, &keys.1),
            round: file.round,
            long: file.long,
            finer: file.finer,
            unmappable: file.unmappable,
            pairs: file.pairs.clone().unwrap_or_default(),
            function: file.function,
            rules: Vec::new(),
        };
        let when = file.when.as_ref().and_then(|when| {
            let place = sides.old.iter().position(|field| field.path == *when.old.get_ref());
            // The way back reads the field from what has been translated so far.
            let earlier =
                |&at: &usize| before.iter().any(|rule| matches!(rule, Rule::Pair { old, .. } if *old == at));
            match place.filter(earlier) {
                Some(field) => Some(Condition { field, is: when.is.clone() }),
                None => {
                    self.fault(
                        &when.old,
                        &keys.0,
                        "a condition names an old field that an earlier rule maps to a new one",
                    );
                    None
                }
            }
        });
        if file.when.is_some() && !(a.optional && b.optional) {
            self.fault(named, &keys.0, "a field with a condition is optional on both sides");
        }
        for (from, field, into, given, key) in [
            (Side::Old, a, b, cast.new_default.is_some(), &keys.1),
            (Side::New, b, a, cast.old_default.is_some(), &keys.0),
        ] {
            let is_group = matches!(field.kind, Kind::Group(..));
            if field.optional && !into.optional && !given && !is_group {
                let what = format!(
                    "it has to be there, and {:?} may be absent: {}_default",
                    field.path,
                    from.other().name()
                );
                self.fault(named, key, what);
            }
            if given {
                self.note(sides, from, &field.path, "if absent, comes back as the default");
            }
        }
        if cast.function == Some(Function::Join) {
            self.fault(named, &keys.1, "join takes several old fields");
        }
        let old_to_new = self.check(Way { sides, side: Side::Old, from: a, into: b, file, named });
        let new_to_old = self.check(Way { sides, side: Side::New, from: b, into: a, file, named });
        if !old_to_new || !new_to_old {
            return None;
        }
        if let (Kind::Group(_, had), Kind::Group(_, wanted)) = (&a.kind, &b.kind) {
            let above =
                [(Side::Old, a), (Side::New, b)].map(|(side, f)| format!("{}{}.", sides.above(side), f.path));
            let within = Sides { old: had, new: wanted, above: [&above[0], &above[1]], ..*sides };
            cast.rules = self.rules(&within, &file.rules, None, named);
        }
        Some(Rule::Pair { old, new, cast, when })
    }

    /// Whether every value of a way has a counterpart, or the rule says what becomes of those that have none.
    fn check(&mut self, way: Way<'_>) -> bool {
        let Way { sides, side, from, into, file, .. } = way;
        let before = self.faults.len();
        match (&from.kind, &into.kind) {
            (Kind::Text(least, most), Kind::Text(low, high)) => {
                if most > high {
                    self.loss(
                        way,
                        file.long.map(|cut| cut == Cut::Refuse),
                        format!("{most} characters into {high}: long = \"refuse\" or \"cut\""),
                        format!("more than {high} characters are refused"),
                        format!("cut to {high} characters, with a notice"),
                    );
                }
                if least < low {
                    self.bound(way, format!("less than {low} characters"));
                }
                if let Some(there) = sides.narrower(side) {
                    let what = format!("characters that {} does not have", there.name());
                    self.loss(
                        way,
                        file.unmappable.map(|replace| replace == Replace::Refuse),
                        format!("{what}: unmappable = \"refuse\" or \"replace\""),
                        format!("{what} are refused"),
                        format!("{what} become ?, with a notice"),
                    );
                }
                let changed = match file.function.filter(|_| side == Side::Old) {
                    Some(Function::Upper) => Some("small letters come back as capitals"),
                    Some(Function::Lower) => Some("capitals come back as small letters"),
                    Some(Function::Trim) => Some("white space at the ends does not come back"),
                    Some(Function::Join) | None => None,
                };
                changed.into_iter().for_each(|what| self.told(way, what));
            }
            (Kind::Integer(least, most, _), Kind::Integer(low, high, _)) => {
                self.range(way, least >= low && most <= high, low, high);
            }
            (Kind::Integer(least, most, _), Kind::Decimal(low, high, _)) => {
                let number = |n: i128| Decimal::try_from_i128_with_scale(n, 0).ok();
                let fits = number(*least).is_some_and(|least| least >= *low)
                    && number(*most).is_some_and(|most| most <= *high);
                self.range(way, fits, low, high);
            }
            (Kind::Decimal(least, most, digits), Kind::Integer(low, high, _)) => {
                let number = |n: i128| Decimal::try_from_i128_with_scale(n, 0).ok();
                let fits = number(*low).is_none_or(|low| *least >= low)
                    && number(*high).is_none_or(|high| *most <= high);
                self.range(way, fits, low, high);
                if *digits > 0 {
                    self.rounds(way, 0);
                }
            }
            (Kind::Decimal(least, most, digits), Kind::Decimal(low, high, kept)) => {
                self.range(way, least >= low && most <= high, low, high);
                if digits > kept {
                    self.rounds(way, *kept);
                }
            }
            (Kind::Quantity(least, most, digits, unit), Kind::Quantity(low, high, kept, to)) => {
                if unit.dimension != to.dimension {
                    self.wrong(way, format!("{} is no {} as {} is", unit.symbol, to.dimension, to.symbol));
                    return false;
                }
                if units::exact_digits(unit, to, *digits).is_none_or(|enough| enough > *kept) {
                    self.rounds(way, *kept);
                }
                let rounding = file.round.unwrap_or(Rounding::HalfEven);
                let there = |value: Decimal| {
                    units::convert(value, unit, to)
                        .and_then(|exact| exact.round(*kept, rounding))
                        .map(|(value, _)| value)
                };
                let fits = there(*least).is_some_and(|least| least >= *low)
                    && there(*most).is_some_and(|most| most <= *high);
                self.range(way, fits, low, format_args!("{high} {}", to.symbol));
            }
            (Kind::Date(_), Kind::Date(_)) | (Kind::Flag(..), Kind::Flag(..)) => {}
            (Kind::Time(clock), Kind::Time(other)) => self.clocks(way, clock, other),
            (Kind::Choice(words), Kind::Choice(others)) => self.choice(way, words, others),
            (Kind::Group(most, _), Kind::Group(high, _)) => {
                if most > high {
                    self.bound(way, format!("more than {high} items"));
                }
            }
            (a, b) => self.wrong(way, format!("a {} does not become a {}", a.name(), b.name())),
        }
        self.faults.len() == before
    }

    fn wrong(&mut self, way: Way<'_>, what: impl Into<String>) {
        self.fault(way.named, way.sides.key(way.side, &way.from.path), what);
    }

    fn told(&mut self, way: Way<'_>, what: impl Into<String>) {
        self.note(way.sides, way.side, &way.from.path, what);
    }

    /// Something can be lost: a fault unless the rule says that it is refused, or is not.
    fn loss(&mut self, way: Way<'_>, refuse: Option<bool>, unsaid: String, refused: String, lost: String) {
        match refuse {
            None => self.wrong(way, unsaid),
            Some(true) => self.told(way, refused),
            Some(false) => self.told(way, lost),
        }
    }

    fn bound(&mut self, way: Way<'_>, what: String) {
        match way.file.range {
            Some(file::Refuse::Refuse) => self.told(way, format!("{what}: refused")),
            None => self.wrong(way, format!("{what} does not fit the other side: range = \"refuse\"")),
        }
    }

    fn range(&mut self, way: Way<'_>, fits: bool, low: impl Display, high: impl Display) {
        if !fits {
            self.bound(way, format!("less than {low} or more than {high}"));
        }
    }

    fn rounds(&mut self, way: Way<'_>, kept: u32) {
        let more = format!("more than {kept} digits after the point");
        match way.file.round {
            Some(_) => self.told(way, format!("what needs {more} is rounded, with a notice")),
            None => self.wrong(way, format!("{more}: round = \"half-even\", \"half-up\" or \"down\"")),
        }
    }

    fn clocks(&mut self, way: Way<'_>, clock: &Clock, other: &Clock) {
        let grain = |clock: &Clock| match clock.grain() {
            Grain::Minute => "minutes",
            Grain::Second => "seconds",
            Grain::Fraction => "nanoseconds",
        };
        if clock.grain() > other.grain() {
            let (fine, coarse) = (grain(clock), grain(other));
            self.loss(
                way,
                way.file.finer.map(|cut| cut == Cut::Refuse),
                format!("{fine} into {coarse}: finer = \"refuse\" or \"cut\""),
                format!("anything finer than {coarse} is refused"),
                format!("cut to {coarse}, with a notice"),
            );
        }
        if clock.form == ClockForm::Rfc3339 {
            self.told(way, "leap seconds are refused");
            if other.form != ClockForm::Rfc3339 {
                self.told(way, "the same moment comes back with another offset");
            }
        }
        if other.is_set() {
            let which = match other.fold {
                Fold::Earlier => "the second",
                Fold::Later => "the first",
                Fold::Refuse => "either",
            };
            self.told(
                way,
                format!("{which} of two hours that the other side's clock shows alike is refused"),
            );
        }
        if clock.is_set() {
            self.told(way, "an hour that the clock skipped is refused");
            if clock.fold == Fold::Refuse {
                self.told(way, "an hour that the clock showed twice is refused");
            }
        }
    }

    fn choice(&mut self, way: Way<'_>, words: &[String], others: &[String]) {
        let (here, there) = if way.side == Side::Old { (0, 1) } else { (1, 0) };
        let pairs = way.file.pairs.as_deref().unwrap_or_default();
        if let Some(pair) = pairs.iter().find(|pair| !words.contains(&pair[here])) {
            self.wrong(way, format!("pairs: {:?} is none of its values", pair[here]));
        }
        let counterpart = |word: &String| match pairs {
            [] => others.iter().find(|other| *other == word),
            pairs => pairs.iter().find(|pair| pair[here] == *word).map(|pair| &pair[there]),
        };
        let alone: Vec<&str> =
            words.iter().filter(|word| counterpart(word).is_none()).map(String::as_str).collect();
        if alone.len() == words.len() {
            self.wrong(way, "none of its values has a counterpart: pairs");
        } else if !alone.is_empty() {
            let list = alone.join(", ");
            match way.file.unpaired {
                Some(_) => self.told(way, format!("{list}: refused")),
                None => self.wrong(way, format!("{list}: no counterpart; pairs, or unpaired = \"refuse\"")),
            }
        }
        for word in words {
            let back = counterpart(word).and_then(|other| match pairs {
                [] => Some(other),
                pairs => pairs.iter().find(|pair| pair[there] == *other).map(|pair| &pair[here]),
            });
            if let Some(back) = back.filter(|back| *back != word) {
                self.told(way, format!("{word} comes back as {back}"));
            }
        }
    }
}
