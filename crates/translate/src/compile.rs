//! Compiles a parsed mapping file into a [`Mapping`], or reports every error in it. Each field of both sides needs a
//! rule, and a rule whose conversion can lose something must state what happens then.

use crate::charset::Charset;
use crate::convert::{Condition, FieldConversion, Rule};
use crate::field::{Field, Fold, Kind, Precision, TimeFormat, TimeNotation, Value};
use crate::file::{self, line_of, CutOrRefuse, File, Function, Policy, ReplaceOrRefuse};
use crate::mapping::{Diagnostic, Dialect, Form, Key, Mapping, MessageKind, Note, Side};
use crate::units::{self, Rounding};
use crate::wire::table::Layout;
use jiff::tz::TimeZone;
use rust_decimal::Decimal;
use std::fmt::Display;
use toml::Spanned;

const NAME: &str = "a name may contain only letters, digits, _ and -";

struct Compiler<'a> {
    text: &'a str,
    diagnostics: Vec<Diagnostic>,
    notes: Vec<Note>,
}

pub(crate) fn compile(text: &str, file: File) -> Result<Mapping, Vec<Diagnostic>> {
    let mut compiler = Compiler { text, diagnostics: Vec::new(), notes: Vec::new() };
    let old = compiler.dialect(Side::Old, &file.old);
    let new = compiler.dialect(Side::New, &file.new);
    if !is_name(file.name.get_ref()) {
        compiler.add_diagnostic(&file.name, "name", NAME);
    }
    let charsets = (old.charset, new.charset);
    let mut rules = |message_kind: MessageKind, rules: &[file::Rule]| {
        let scope = Scope {
            message_kind,
            old: old.fields(message_kind),
            new: new.fields(message_kind),
            charsets,
            prefix: ["", ""],
        };
        let extensions = (old.extension.is_some(), new.extension.is_some());
        compiler.rules(&scope, rules, Some(extensions), &file.name)
    };
    let request_rules = rules(MessageKind::Request, &file.request);
    let response_rules = rules(MessageKind::Response, &file.response);
    let key = file.key.as_ref().map(|key| {
        let indexes = key.old.iter().filter_map(|name| {
            let index = old.request_fields.iter().position(|field| field.path == *name.get_ref());
            match index.filter(|&at| !matches!(old.request_fields[at].kind, Kind::Group(..))) {
                Some(at) => Some(at),
                None => {
                    compiler.add_diagnostic(name, "key.old", "no such field of the old request");
                    None
                }
            }
        });
        Key {
            fields: indexes.collect(),
            namespace: key.namespace.clone(),
            class_without_key: key.without.clone(),
        }
    });
    if key.as_ref().is_some_and(|key| key.fields.is_empty()) {
        compiler.add_diagnostic(&file.name, "key.old", "a key needs at least one field");
    }
    let Compiler { mut diagnostics, notes, .. } = compiler;
    match diagnostics.is_empty() {
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
            diagnostics.sort_by_key(|diagnostic| diagnostic.line);
            Err(diagnostics)
        }
    }
}

/// The fields of both sides that a list of rules applies to.
struct Scope<'a> {
    message_kind: MessageKind,
    old: &'a [Field],
    new: &'a [Field],
    charsets: (Charset, Charset),
    /// The path of the enclosing groups on each side, ending with a point.
    prefix: [&'a str; 2],
}

impl Scope<'_> {
    fn of(&self, side: Side) -> &[Field] {
        match side {
            Side::Old => self.old,
            Side::New => self.new,
        }
    }

    fn prefix(&self, side: Side) -> &str {
        self.prefix[usize::from(side == Side::New)]
    }

    /// Returns the other side's character set if it lacks characters that this side's set contains.
    fn narrower_charset(&self, side: Side) -> Option<Charset> {
        let (source_charset, target_charset) = match side {
            Side::Old => (self.charsets.0, self.charsets.1),
            Side::New => (self.charsets.1, self.charsets.0),
        };
        (source_charset != target_charset && target_charset != Charset::Utf8).then_some(target_charset)
    }

    fn key(&self, side: Side, name: &str) -> String {
        format!("{}.{}.{}{name}", self.message_kind.name(), side.name(), self.prefix(side))
    }
}

/// One direction of a rule: from the field of `side` to the other side's field.
#[derive(Clone, Copy)]
struct Direction<'a> {
    scope: &'a Scope<'a>,
    side: Side,
    from: &'a Field,
    into: &'a Field,
    file: &'a file::Rule,
    /// The position in the file that diagnostics refer to.
    location: &'a Spanned<String>,
}

fn is_name(text: &str) -> bool {
    let mut bytes = text.bytes();
    let first = bytes.next().is_some_and(|byte| byte.is_ascii_alphabetic() || byte == b'_');
    first
        && bytes.all(|byte| byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'-')
        && !text.contains("--")
}

impl Compiler<'_> {
    fn add_diagnostic<T>(&mut self, at: &Spanned<T>, key: impl Into<String>, message: impl Into<String>) {
        let line = line_of(self.text, at.span().start);
        self.diagnostics.push(Diagnostic { line, key: key.into(), message: message.into() });
    }

    fn note(&mut self, scope: &Scope<'_>, from: Side, name: &str, text: impl Into<String>) {
        let field = format!("{}{name}", scope.prefix(from));
        self.notes.push(Note { message_kind: scope.message_kind, field, from, text: text.into() });
    }

    // ---- sides --------------------------------------------------------------------------------------------------

    fn dialect(&mut self, side: Side, file: &file::Side) -> Dialect {
        let zone = self.zone(file.zone.as_ref(), &TimeZone::UTC);
        let request_form = *file.form.get_ref();
        let response_form = file.response_form.as_ref().map_or(request_form, |form| *form.get_ref());
        let side_name = side.name();
        if request_form == Form::Table {
            self.add_diagnostic(
                &file.form,
                format!("{side_name}.form"),
                "a request must be a form, SOAP or JSON; only answers can be tables",
            );
        }
        if let Some(bad) = file.response_form.as_ref().filter(|form| *form.get_ref() == Form::Form) {
            self.add_diagnostic(
                bad,
                format!("{side_name}.answers"),
                "an answer must be a table, SOAP or JSON",
            );
        }
        if (request_form == Form::Json || response_form == Form::Json) && file.charset != Charset::Utf8 {
            self.add_diagnostic(&file.form, format!("{side_name}.charset"), "JSON is UTF-8 (RFC 8259, 8.1)");
        }
        let soap = request_form == Form::Soap || response_form == Form::Soap;
        let operation = file.operation.clone().unwrap_or_default();
        if soap && (!is_name(&operation) || file.namespace.as_deref().unwrap_or_default().is_empty()) {
            self.add_diagnostic(
                &file.form,
                side_name,
                "SOAP needs an operation, which must be a name, and a namespace",
            );
        }
        if !file.path.get_ref().starts_with('/') {
            self.add_diagnostic(&file.path, format!("{side_name}.path"), "a path must begin with /");
        }
        let delimiter =
            file.delimiter.as_ref().map_or(b'|', |delimiter| match delimiter.get_ref().as_bytes() {
                &[mark] if mark == b'\t' || mark.is_ascii_punctuation() && mark != b'"' => mark,
                _ => {
                    let message =
                        "a delimiter must be a tab or one ASCII punctuation character, but no quotation mark";
                    self.add_diagnostic(delimiter, format!("{side_name}.delimiter"), message);
                    b'|'
                }
            });
        if let Some(bad) = file.extension.as_ref().filter(|name| !is_name(name.get_ref())) {
            self.add_diagnostic(bad, format!("{side_name}.extension"), NAME);
        }
        let request_fields = self.fields(&format!("{side_name}.request"), &file.request, &zone);
        let response_fields = self.fields(&format!("{side_name}.answer"), &file.response, &zone);
        if let Some(extension) = &file.extension {
            if request_fields.iter().chain(&response_fields).any(|field| field.path == *extension.get_ref()) {
                self.add_diagnostic(
                    extension,
                    format!("{side_name}.extension"),
                    "a field already has this name",
                );
            }
        }
        if response_form == Form::Table {
            self.check_table(side_name, &file.response, &response_fields);
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

    /// Checks a response in delimited text, which supports one level of groups and can't distinguish an empty text from
    /// an absent one.
    fn check_table(&mut self, side_name: &str, files: &[file::Field], fields: &[Field]) {
        for (file, field) in files.iter().zip(fields) {
            let key = format!("{side_name}.answer.{}", field.path);
            let within = match &field.kind {
                Kind::Group(_, within)
                    if within.iter().any(|field| matches!(field.kind, Kind::Group(..))) =>
                {
                    self.add_diagnostic(
                        &file.name,
                        key.clone(),
                        "a table can't contain groups within groups",
                    );
                    continue;
                }
                Kind::Group(_, within) => within.as_slice(),
                _ => std::slice::from_ref(field),
            };
            if matches!(field.kind, Kind::Group(..)) && matches!(field.path.as_str(), "H" | "T" | "X") {
                self.add_diagnostic(&file.name, key.clone(), "H, T and X are reserved tags of a table");
            }
            if within.iter().any(|field| matches!(field.kind, Kind::Text(0, _))) {
                let message = "a table can't distinguish an empty text from an absent one: the minimum length must be 1";
                self.add_diagnostic(&file.name, key, message);
            }
        }
    }

    fn zone(&mut self, name: Option<&Spanned<String>>, default: &TimeZone) -> TimeZone {
        let Some(name) = name else { return default.clone() };
        TimeZone::get(name.get_ref()).unwrap_or_else(|_| {
            self.add_diagnostic(
                name,
                "zone",
                format!("{:?} is not a time zone of the IANA database", name.get_ref()),
            );
            default.clone()
        })
    }

    fn fields(&mut self, prefix: &str, files: &[file::Field], zone: &TimeZone) -> Vec<Field> {
        let mut fields: Vec<Field> = Vec::with_capacity(files.len());
        for file in files {
            let path = file.name.get_ref();
            let key = format!("{prefix}.{path}");
            if !path.split('.').all(is_name) {
                self.add_diagnostic(&file.name, &key, format!("{NAME}; points separate nested records"));
            }
            let within = |a: &str, b: &str| {
                a.strip_prefix(b).is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
            };
            if fields.iter().any(|known| within(&known.path, path) || within(path, &known.path)) {
                self.add_diagnostic(&file.name, &key, "the name is already used by a field or a record");
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
                self.add_diagnostic(at, key, format!("{name} does not apply to this type"));
            }
        }
        let digits = file.digits.unwrap_or(0);
        match file.kind {
            file::Kind::Text => {
                let [min, max] = file.length.unwrap_or_default();
                if max == 0 || min > max {
                    self.add_diagnostic(at, key, "a text needs length = [min, max], in characters");
                }
                Kind::Text(min, max)
            }
            file::Kind::Integer => {
                let bounds = file.range.as_ref().map(|[a, b]| (a.parse(), b.parse()));
                match bounds {
                    Some((Ok(min), Ok(max))) if min <= max => {
                        Kind::Integer(min, max, file.width.unwrap_or(0).min(40))
                    }
                    _ => {
                        self.add_diagnostic(at, key, "an integer needs range = [\"min\", \"max\"]");
                        Kind::Integer(0, 0, 0)
                    }
                }
            }
            file::Kind::Decimal | file::Kind::Quantity => {
                let bounds = file
                    .range
                    .as_ref()
                    .map(|[a, b]| (Decimal::from_str_exact(a), Decimal::from_str_exact(b)));
                let (min, max) = match bounds {
                    Some((Ok(min), Ok(max))) if min <= max => (min, max),
                    _ => {
                        self.add_diagnostic(at, key, "a decimal needs range = [\"min\", \"max\"]");
                        (Decimal::ZERO, Decimal::ZERO)
                    }
                };
                if digits > 18 {
                    self.add_diagnostic(at, key, "at most 18 digits after the point are supported");
                }
                if file.kind == file::Kind::Decimal {
                    return Kind::Decimal(min, max, digits.min(18));
                }
                let unit = file.unit.as_deref().and_then(units::find).unwrap_or_else(|| {
                    let known: Vec<_> = units::UNITS.iter().map(|unit| unit.symbol).collect();
                    self.add_diagnostic(
                        at,
                        key,
                        format!("a quantity needs a unit, one of {}", known.join(", ")),
                    );
                    &units::UNITS[0]
                });
                Kind::Quantity(min, max, digits.min(18), unit)
            }
            file::Kind::Date => {
                let format = file.format.clone().unwrap_or_else(|| "%Y-%m-%d".into());
                let sample = jiff::civil::date(2007, 11, 23);
                let parsed = jiff::fmt::strtime::format(&format, sample)
                    .ok()
                    .and_then(|text| jiff::civil::Date::strptime(&format, text).ok());
                if parsed != Some(sample) {
                    self.add_diagnostic(
                        at,
                        key,
                        "a date's format must be a strftime format with year, month and day",
                    );
                }
                Kind::Date(format)
            }
            file::Kind::Time => {
                let notation = match file.format.as_deref() {
                    None | Some("rfc3339") => TimeNotation::Rfc3339,
                    Some("unix") => TimeNotation::Unix,
                    Some(format) => {
                        let sample = jiff::civil::date(2007, 11, 23).at(13, 47, 0, 0);
                        let parsed = jiff::fmt::strtime::format(format, sample)
                            .ok()
                            .and_then(|text| jiff::civil::DateTime::strptime(format, text).ok());
                        if parsed != Some(sample) {
                            let message = "a time's format must be rfc3339, unix, or a strftime format with date, hour and minute";
                            self.add_diagnostic(at, key, message);
                        }
                        TimeNotation::Local(format.to_owned())
                    }
                };
                let zone = self.zone(file.zone.as_ref(), zone);
                let time_format = TimeFormat { notation, zone, fold: file.fold.unwrap_or(Fold::Refuse) };
                if time_format.has_transitions() && file.fold.is_none() {
                    self.add_diagnostic(
                        at,
                        key,
                        "a local time needs fold = \"earlier\", \"later\" or \"refuse\"",
                    );
                }
                Kind::Time(time_format)
            }
            file::Kind::Choice => {
                let values = file.values.clone().unwrap_or_default();
                let mut sorted = values.clone();
                sorted.sort();
                sorted.dedup();
                if values.is_empty() || sorted.len() != values.len() || values.iter().any(String::is_empty) {
                    self.add_diagnostic(at, key, "a choice needs values that are neither empty nor repeated");
                }
                Kind::Choice(values)
            }
            file::Kind::Flag => {
                let [yes, no] = file.words.clone().unwrap_or_else(|| ["true".into(), "false".into()]);
                if yes == no || yes.is_empty() || no.is_empty() {
                    self.add_diagnostic(at, key, "a flag needs two different words that are not empty");
                }
                Kind::Flag(yes, no)
            }
            file::Kind::Group => {
                let fields = self.fields(key, &file.fields, zone);
                if fields.is_empty() || file.max.unwrap_or(0) == 0 {
                    self.add_diagnostic(
                        at,
                        key,
                        "a group needs fields, and max, its largest number of items",
                    );
                }
                Kind::Group(file.max.unwrap_or(0), fields)
            }
        }
    }

    // ---- rules --------------------------------------------------------------------------------------------------

    /// Compiles the rules of a message or of a group's items. `extensions` states whether the old and the new side have a record
    /// for carried fields; it is `None` for the items of a group, whose fields can't be carried.
    fn rules(
        &mut self,
        scope: &Scope<'_>,
        files: &[file::Rule],
        extensions: Option<(bool, bool)>,
        at: &Spanned<String>,
    ) -> Vec<Rule> {
        let mut used: (Vec<usize>, Vec<usize>) = (Vec::new(), Vec::new());
        let mut rules = Vec::with_capacity(files.len());
        for file in files {
            let mut indexes = |side: Side, names: Option<&file::Names>| -> Option<Vec<usize>> {
                let used = if side == Side::Old { &mut used.0 } else { &mut used.1 };
                let mut all = Vec::new();
                for name in names.map(file::Names::list).unwrap_or_default() {
                    let key = scope.key(side, name.get_ref());
                    match scope.of(side).iter().position(|field| field.path == *name.get_ref()) {
                        None => self.add_diagnostic(name, key, "no such field"),
                        Some(at) if used.contains(&at) => {
                            self.add_diagnostic(name, key, "another rule already names this field");
                        }
                        Some(at) => {
                            used.push(at);
                            all.push(at);
                        }
                    }
                }
                (all.len() == names.map(file::Names::list).unwrap_or_default().len()).then_some(all)
            };
            let (old, new) = (indexes(Side::Old, file.old.as_ref()), indexes(Side::New, file.new.as_ref()));
            let (Some(old), Some(new)) = (old, new) else { continue };
            let location = file.old.as_ref().or(file.new.as_ref()).and_then(|names| names.list().first());
            let Some(location) = location else {
                self.add_diagnostic(
                    at,
                    scope.message_kind.name(),
                    "a rule must name an old field, a new field or both",
                );
                continue;
            };
            let rule = match (old.as_slice(), new.as_slice(), file.function) {
                (_, &[new], Some(Function::Join)) if old.len() > 1 => {
                    self.join(scope, old, new, file, location)
                }
                (&[old], &[new], _) => self.pair(scope, old, new, file, location, &rules),
                (&[old], &[], _) => {
                    self.one_sided(scope, Side::Old, old, file, location, extensions.map(|both| both.1))
                }
                (&[], &[new], _) => {
                    self.one_sided(scope, Side::New, new, file, location, extensions.map(|both| both.0))
                }
                _ => {
                    let message = "a rule maps one old field to one new field, or several old fields to one new field with function = \"join\"";
                    self.add_diagnostic(location, scope.message_kind.name(), message);
                    None
                }
            };
            rules.extend(rule);
        }
        for (side, used) in [(Side::Old, &used.0), (Side::New, &used.1)] {
            let fields = scope.of(side).iter().enumerate();
            for (_, field) in fields.filter(|(index, _)| !used.contains(index)) {
                let message = "neither mapped, defaulted nor given a policy";
                self.add_diagnostic(at, scope.key(side, &field.path), message);
            }
        }
        rules
    }

    fn join(
        &mut self,
        scope: &Scope<'_>,
        old: Vec<usize>,
        new: usize,
        file: &file::Rule,
        location: &Spanned<String>,
    ) -> Option<Rule> {
        let key = scope.key(Side::New, &scope.new[new].path);
        let separator = file.with.clone().unwrap_or_default();
        let plain = |&at: &usize| !matches!(scope.old[at].kind, Kind::Group(..)) && !scope.old[at].optional;
        if separator.is_empty() || !old.iter().all(plain) || scope.new[new].optional {
            self.add_diagnostic(
                location,
                key,
                "join needs with = \"...\", and fields that are neither groups nor optional",
            );
            return None;
        }
        let Kind::Text(..) = scope.new[new].kind else {
            self.add_diagnostic(location, key, "the result of join must be a text");
            return None;
        };
        self.note(
            scope,
            Side::New,
            &scope.new[new].path,
            format!(
                "refused unless it is {} parts with {separator:?}, each as the old field writes it",
                old.len()
            ),
        );
        for &at in &old {
            if matches!(scope.old[at].kind, Kind::Text(..)) {
                self.note(
                    scope,
                    Side::Old,
                    &scope.old[at].path,
                    format!("refused if it has {separator:?} in it"),
                );
            }
        }
        Some(Rule::Join { old, new, separator })
    }

    fn one_sided(
        &mut self,
        scope: &Scope<'_>,
        side: Side,
        index: usize,
        file: &file::Rule,
        location: &Spanned<String>,
        can_carry: Option<bool>,
    ) -> Option<Rule> {
        let field = &scope.of(side)[index];
        let key = scope.key(side, &field.path);
        let text = file.constant.as_ref().or(file.default.as_ref());
        let value = text.and_then(|text| self.literal(field, text, location, &key));
        let is_group = matches!(field.kind, Kind::Group(..));
        let Some(policy) = file.policy.or(file.constant.as_ref().map(|_| Policy::Refuse)) else {
            self.add_diagnostic(
                location,
                key,
                "the other side has no such field: policy = \"refuse\", \"carry\" or \"drop\"",
            );
            return None;
        };
        if policy == Policy::Carry && (is_group || can_carry != Some(true)) {
            let message = match (is_group, can_carry) {
                (true, _) => "a group can't be carried",
                (_, None) => "a field of a group's items can't be carried",
                _ => "the other side has no extension to carry it in",
            };
            self.add_diagnostic(location, key, message);
            return None;
        }
        if value.is_none() && !field.optional && !is_group {
            self.add_diagnostic(
                location,
                key,
                "a required field that the other side does not have needs a default or a constant",
            );
            return None;
        }
        let constant = file.constant.is_some();
        let given = text.map_or("any value".to_owned(), |text| format!("any value but {text:?}"));
        match policy {
            Policy::Drop if !constant => {
                self.note(scope, side, &field.path, "any value is dropped, with a notice");
            }
            Policy::Carry if !constant => {
                if let Some(target_charset) = scope.narrower_charset(side) {
                    let message =
                        format!("characters that {} does not have are refused", target_charset.name());
                    self.note(scope, side, &field.path, message);
                }
            }
            _ => self.note(scope, side, &field.path, format!("{given} is refused")),
        }
        Some(Rule::OneSided { side, field: index, policy, value, constant })
    }

    fn literal(&mut self, field: &Field, text: &str, at: &Spanned<String>, key: &str) -> Option<Value> {
        match field.kind.parse(text) {
            Ok(value) => Some(value),
            Err(reason) => {
                self.add_diagnostic(at, key, format!("{text:?} is not a valid value: {reason}"));
                None
            }
        }
    }

    fn pair(
        &mut self,
        scope: &Scope<'_>,
        old: usize,
        new: usize,
        file: &file::Rule,
        location: &Spanned<String>,
        before: &[Rule],
    ) -> Option<Rule> {
        let (old_field, new_field) = (&scope.old[old], &scope.new[new]);
        let keys = (scope.key(Side::Old, &old_field.path), scope.key(Side::New, &new_field.path));
        let mut default = |field: &Field, text: &Option<String>, key: &str| {
            text.as_ref().and_then(|text| self.literal(field, text, location, key))
        };
        let mut conversion = FieldConversion {
            old_default: default(old_field, &file.old_default, &keys.0),
            new_default: default(new_field, &file.new_default, &keys.1),
            round: file.round,
            long: file.long,
            finer: file.finer,
            unmappable: file.unmappable,
            pairs: file.pairs.clone().unwrap_or_default(),
            function: file.function,
            rules: Vec::new(),
        };
        let when = file.when.as_ref().and_then(|when| {
            let index = scope.old.iter().position(|field| field.path == *when.old.get_ref());
            // The conversion from new to old reads the field from the part of the message that is already converted.
            let earlier =
                |&at: &usize| before.iter().any(|rule| matches!(rule, Rule::Pair { old, .. } if *old == at));
            match index.filter(earlier) {
                Some(field) => Some(Condition { field, values: when.is.clone() }),
                None => {
                    self.add_diagnostic(
                        &when.old,
                        &keys.0,
                        "a condition must name an old field that an earlier rule maps to a new field",
                    );
                    None
                }
            }
        });
        if file.when.is_some() && !(old_field.optional && new_field.optional) {
            self.add_diagnostic(location, &keys.0, "a field with a condition must be optional on both sides");
        }
        for (from, field, into, given, key) in [
            (Side::Old, old_field, new_field, conversion.new_default.is_some(), &keys.1),
            (Side::New, new_field, old_field, conversion.old_default.is_some(), &keys.0),
        ] {
            let is_group = matches!(field.kind, Kind::Group(..));
            if field.optional && !into.optional && !given && !is_group {
                let message = format!(
                    "the field is required, and {:?} may be absent: {}_default is needed",
                    field.path,
                    from.other().name()
                );
                self.add_diagnostic(location, key, message);
            }
            if given {
                self.note(scope, from, &field.path, "if absent, comes back as the default");
            }
        }
        if conversion.function == Some(Function::Join) {
            self.add_diagnostic(location, &keys.1, "join needs several old fields");
        }
        let old_to_new = self.check_direction(Direction {
            scope,
            side: Side::Old,
            from: old_field,
            into: new_field,
            file,
            location,
        });
        let new_to_old = self.check_direction(Direction {
            scope,
            side: Side::New,
            from: new_field,
            into: old_field,
            file,
            location,
        });
        if !old_to_new || !new_to_old {
            return None;
        }
        if let (Kind::Group(_, source_fields), Kind::Group(_, target_fields)) =
            (&old_field.kind, &new_field.kind)
        {
            let prefix = [(Side::Old, old_field), (Side::New, new_field)]
                .map(|(side, f)| format!("{}{}.", scope.prefix(side), f.path));
            let item_scope =
                Scope { old: source_fields, new: target_fields, prefix: [&prefix[0], &prefix[1]], ..*scope };
            conversion.rules = self.rules(&item_scope, &file.rules, None, location);
        }
        Some(Rule::Pair { old, new, conversion, when })
    }

    /// Returns true if every value has a counterpart in this direction, or the rule states what happens to values
    /// without one.
    fn check_direction(&mut self, direction: Direction<'_>) -> bool {
        let Direction { scope, side, from, into, file, .. } = direction;
        let before = self.diagnostics.len();
        match (&from.kind, &into.kind) {
            (Kind::Text(min, max), Kind::Text(target_min, target_max)) => {
                if max > target_max {
                    self.check_loss(
                        direction,
                        file.long.map(|cut| cut == CutOrRefuse::Refuse),
                        format!("{max} characters into {target_max}: long = \"refuse\" or \"cut\""),
                        format!("more than {target_max} characters are refused"),
                        format!("cut to {target_max} characters, with a notice"),
                    );
                }
                if min < target_min {
                    self.check_bound(direction, format!("less than {target_min} characters"));
                }
                if let Some(target_charset) = scope.narrower_charset(side) {
                    let message = format!("characters that {} does not have", target_charset.name());
                    self.check_loss(
                        direction,
                        file.unmappable.map(|replace| replace == ReplaceOrRefuse::Refuse),
                        format!("{message}: unmappable = \"refuse\" or \"replace\""),
                        format!("{message} are refused"),
                        format!("{message} become ?, with a notice"),
                    );
                }
                let changed = match file.function.filter(|_| side == Side::Old) {
                    Some(Function::Upper) => Some("small letters come back as capitals"),
                    Some(Function::Lower) => Some("capitals come back as small letters"),
                    Some(Function::Trim) => Some("white space at the ends does not come back"),
                    Some(Function::Join) | None => None,
                };
                changed.into_iter().for_each(|message| self.add_note(direction, message));
            }
            (Kind::Integer(min, max, _), Kind::Integer(target_min, target_max, _)) => {
                self.check_range(direction, min >= target_min && max <= target_max, target_min, target_max);
            }
            (Kind::Integer(min, max, _), Kind::Decimal(target_min, target_max, _)) => {
                let number = |n: i128| Decimal::try_from_i128_with_scale(n, 0).ok();
                let fits = number(*min).is_some_and(|min| min >= *target_min)
                    && number(*max).is_some_and(|max| max <= *target_max);
                self.check_range(direction, fits, target_min, target_max);
            }
            (Kind::Decimal(min, max, digits), Kind::Integer(target_min, target_max, _)) => {
                let number = |n: i128| Decimal::try_from_i128_with_scale(n, 0).ok();
                let fits = number(*target_min).is_none_or(|target_min| *min >= target_min)
                    && number(*target_max).is_none_or(|target_max| *max <= target_max);
                self.check_range(direction, fits, target_min, target_max);
                if *digits > 0 {
                    self.check_rounding(direction, 0);
                }
            }
            (Kind::Decimal(min, max, digits), Kind::Decimal(target_min, target_max, kept)) => {
                self.check_range(direction, min >= target_min && max <= target_max, target_min, target_max);
                if digits > kept {
                    self.check_rounding(direction, *kept);
                }
            }
            (Kind::Quantity(min, max, digits, unit), Kind::Quantity(target_min, target_max, kept, to)) => {
                if unit.dimension != to.dimension {
                    self.add_error(
                        direction,
                        format!("{} is not a unit of {}, as {} is", unit.symbol, to.dimension, to.symbol),
                    );
                    return false;
                }
                if units::exact_digits(unit, to, *digits).is_none_or(|enough| enough > *kept) {
                    self.check_rounding(direction, *kept);
                }
                let rounding = file.round.unwrap_or(Rounding::HalfEven);
                let convert = |value: Decimal| {
                    units::convert(value, unit, to)
                        .and_then(|exact| exact.round(*kept, rounding))
                        .map(|(value, _)| value)
                };
                let fits = convert(*min).is_some_and(|min| min >= *target_min)
                    && convert(*max).is_some_and(|max| max <= *target_max);
                self.check_range(direction, fits, target_min, format_args!("{target_max} {}", to.symbol));
            }
            (Kind::Date(_), Kind::Date(_)) | (Kind::Flag(..), Kind::Flag(..)) => {}
            (Kind::Time(time_format), Kind::Time(target_format)) => {
                self.check_times(direction, time_format, target_format);
            }
            (Kind::Choice(values), Kind::Choice(target_values)) => {
                self.check_choices(direction, values, target_values);
            }
            (Kind::Group(max, _), Kind::Group(target_max, _)) => {
                if max > target_max {
                    self.check_bound(direction, format!("more than {target_max} items"));
                }
            }
            (a, b) => {
                self.add_error(direction, format!("a {} can't be converted to a {}", a.name(), b.name()));
            }
        }
        self.diagnostics.len() == before
    }

    fn add_error(&mut self, direction: Direction<'_>, message: impl Into<String>) {
        self.add_diagnostic(
            direction.location,
            direction.scope.key(direction.side, &direction.from.path),
            message,
        );
    }

    fn add_note(&mut self, direction: Direction<'_>, message: impl Into<String>) {
        self.note(direction.scope, direction.side, &direction.from.path, message);
    }

    /// Handles a conversion that can lose something: a diagnostic if the rule has no policy for it, otherwise a note
    /// that states what the policy does.
    fn check_loss(
        &mut self,
        direction: Direction<'_>,
        refuse: Option<bool>,
        missing_policy: String,
        refused: String,
        lost: String,
    ) {
        match refuse {
            None => self.add_error(direction, missing_policy),
            Some(true) => self.add_note(direction, refused),
            Some(false) => self.add_note(direction, lost),
        }
    }

    fn check_bound(&mut self, direction: Direction<'_>, message: String) {
        match direction.file.range {
            Some(file::RefuseOnly::Refuse) => self.add_note(direction, format!("{message}: refused")),
            None => self
                .add_error(direction, format!("{message} does not fit the other side: range = \"refuse\"")),
        }
    }

    fn check_range(
        &mut self,
        direction: Direction<'_>,
        fits: bool,
        target_min: impl Display,
        target_max: impl Display,
    ) {
        if !fits {
            self.check_bound(direction, format!("less than {target_min} or more than {target_max}"));
        }
    }

    fn check_rounding(&mut self, direction: Direction<'_>, kept: u32) {
        let more = format!("more than {kept} digits after the point");
        match direction.file.round {
            Some(_) => self.add_note(direction, format!("what needs {more} is rounded, with a notice")),
            None => {
                self.add_error(direction, format!("{more}: round = \"half-even\", \"half-up\" or \"down\""));
            }
        }
    }

    fn check_times(
        &mut self,
        direction: Direction<'_>,
        time_format: &TimeFormat,
        target_format: &TimeFormat,
    ) {
        let precision = |time_format: &TimeFormat| match time_format.precision() {
            Precision::Minute => "minutes",
            Precision::Second => "seconds",
            Precision::Fraction => "nanoseconds",
        };
        if time_format.precision() > target_format.precision() {
            let (fine, coarse) = (precision(time_format), precision(target_format));
            self.check_loss(
                direction,
                direction.file.finer.map(|cut| cut == CutOrRefuse::Refuse),
                format!("{fine} into {coarse}: finer = \"refuse\" or \"cut\""),
                format!("anything finer than {coarse} is refused"),
                format!("cut to {coarse}, with a notice"),
            );
        }
        if time_format.notation == TimeNotation::Rfc3339 {
            self.add_note(direction, "leap seconds are refused");
            if target_format.notation != TimeNotation::Rfc3339 {
                self.add_note(direction, "the same moment comes back with another offset");
            }
        }
        if target_format.has_transitions() {
            let which = match target_format.fold {
                Fold::Earlier => "the second",
                Fold::Later => "the first",
                Fold::Refuse => "either",
            };
            self.add_note(
                direction,
                format!("{which} of two hours that the other side's clock shows alike is refused"),
            );
        }
        if time_format.has_transitions() {
            self.add_note(direction, "an hour that the clock skipped is refused");
            if time_format.fold == Fold::Refuse {
                self.add_note(direction, "an hour that the clock showed twice is refused");
            }
        }
    }

    fn check_choices(&mut self, direction: Direction<'_>, values: &[String], target_values: &[String]) {
        let (source_index, target_index) = if direction.side == Side::Old { (0, 1) } else { (1, 0) };
        let pairs = direction.file.pairs.as_deref().unwrap_or_default();
        if let Some(pair) = pairs.iter().find(|pair| !values.contains(&pair[source_index])) {
            self.add_error(
                direction,
                format!("pairs: {:?} is not one of the field's values", pair[source_index]),
            );
        }
        let counterpart = |choice: &String| match pairs {
            [] => target_values.iter().find(|other| *other == choice),
            pairs => pairs.iter().find(|pair| pair[source_index] == *choice).map(|pair| &pair[target_index]),
        };
        let unpaired_values: Vec<&str> =
            values.iter().filter(|choice| counterpart(choice).is_none()).map(String::as_str).collect();
        if unpaired_values.len() == values.len() {
            self.add_error(direction, "no value has a counterpart: pairs are needed");
        } else if !unpaired_values.is_empty() {
            let list = unpaired_values.join(", ");
            match direction.file.unpaired {
                Some(_) => self.add_note(direction, format!("{list}: refused")),
                None => self
                    .add_error(direction, format!("{list}: no counterpart; pairs, or unpaired = \"refuse\"")),
            }
        }
        for choice in values {
            let back = counterpart(choice).and_then(|other| match pairs {
                [] => Some(other),
                pairs => {
                    pairs.iter().find(|pair| pair[target_index] == *other).map(|pair| &pair[source_index])
                }
            });
            if let Some(back) = back.filter(|back| *back != choice) {
                self.add_note(direction, format!("{choice} comes back as {back}"));
            }
        }
    }
}
