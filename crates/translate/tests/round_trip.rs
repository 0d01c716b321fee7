//! Round trips of every field of every worked message, with generated values that include edge cases, and corrupted
//! messages.
mod worked;
use heronhoist_translate::field::{Field, Kind, OffsetTimestamp, TimeFormat, TimeNotation, Value};
use heronhoist_translate::{mapping, Limits, Mapping, MessageKind, Node, Side};
use jiff::civil::date;
use jiff::tz::Offset;
use jiff::Timestamp;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rust_decimal::Decimal;
use std::cell::Cell;
use worked::WORKED;

const DIRECTIONS: [(MessageKind, Side); 4] = [
    (MessageKind::Request, Side::Old),
    (MessageKind::Request, Side::New),
    (MessageKind::Response, Side::Old),
    (MessageKind::Response, Side::New),
];

/// Runs the same cases every time. `HERONHOIST_CASES` multiplies their number; a longer run continues where the short
/// one ends.
fn runner(cases: u32) -> TestRunner {
    let times = std::env::var("HERONHOIST_CASES").ok().and_then(|times| times.parse().ok()).unwrap_or(1);
    let cases = cases.saturating_mul(times);
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn character() -> impl Strategy<Value = char> {
    prop_oneof![
        30 => proptest::char::range('!', '~'),
        3 => select(vec![' ', '"', '|', '&', '<', '>', '%', '+', '=', '.', '\\', ']', '\'', '#']),
        1 => select(vec!['\n', '\r', '\t', '\u{a0}', 'é', 'ÿ', 'ß']),
        1 => select(vec!['€', '…', 'e', '\u{301}', 'Ł', '😀']),
    ]
}

fn moments() -> BoxedStrategy<Timestamp> {
    // The hours that New York's clocks skipped and repeated, the end of 31-bit Unix time, and a leap day.
    let edges = vec![
        "2026-03-08T06:59:59Z",
        "2026-03-08T07:00:00Z",
        "2026-11-01T05:30:00Z",
        "2026-11-01T06:30:00Z",
        "2038-01-19T03:14:08Z",
        "2024-02-29T23:59:00Z",
        "1969-12-31T23:59:00Z",
        "2016-12-31T23:59:59Z",
    ];
    let edges: Vec<Timestamp> = edges.into_iter().map(|text| text.parse().unwrap()).collect();
    let any = (-2_000_000_000_i64..4_000_000_000).prop_map(|s| Timestamp::from_second(s).unwrap());
    let minutes = (0_i64..60_000_000).prop_map(|m| Timestamp::from_second(m * 60).unwrap());
    prop_oneof![select(edges), any, minutes].boxed()
}

fn value(kind: &Kind) -> BoxedStrategy<Value> {
    match kind {
        Kind::Text(min, max) => {
            let any = vec(character(), *min..=(*max).min(min + 40));
            let full = vec(proptest::char::range('a', 'z'), *max..=*max);
            prop_oneof![9 => any, 1 => full].prop_map(|text| Value::Text(text.into_iter().collect())).boxed()
        }
        Kind::Integer(min, max, _) => {
            prop_oneof![Just(*min), Just(*max), *min..=*max].prop_map(Value::Integer).boxed()
        }
        Kind::Decimal(min, max, digits) | Kind::Quantity(min, max, digits, _) => {
            let digits = *digits;
            let unscaled =
                |n: Decimal| (n * Decimal::from(10_u64.pow(digits))).mantissa() / 10_i128.pow((n).scale());
            let any =
                (unscaled(*min)..=unscaled(*max)).prop_map(move |n| Decimal::from_i128_with_scale(n, digits));
            prop_oneof![1 => Just(*min), 1 => Just(*max), 8 => any].prop_map(Value::Decimal).boxed()
        }
        Kind::Date(_) => {
            (1900_i16..2100, 1_i8..=12, 1_i8..=28).prop_map(|(y, m, d)| Value::Date(date(y, m, d))).boxed()
        }
        Kind::Time(time_format) => {
            let time_format: TimeFormat = time_format.clone();
            let offset = select(vec![None, Some(0), Some(-18_000), Some(20_700)]);
            let nanos = prop_oneof![3 => Just(0), 1 => Just(500_000_000_i32), 1 => Just(1)];
            let moment = (moments(), offset, nanos).prop_map(move |(at, offset, nanos)| {
                let offset = offset.map(|seconds| Offset::from_seconds(seconds).unwrap());
                let offset = if time_format.notation == TimeNotation::Rfc3339 { offset } else { None };
                let at = Timestamp::new(at.as_second(), nanos).unwrap();
                time_format.truncate(OffsetTimestamp { timestamp: at, offset })
            });
            moment.prop_map(Value::Time).boxed()
        }
        Kind::Choice(words) => select(words.clone()).prop_map(Value::Choice).boxed(),
        Kind::Flag(..) => any::<bool>().prop_map(Value::Flag).boxed(),
        Kind::Group(max, fields) => vec(values(fields), 0..=(*max).min(4)).prop_map(Value::Group).boxed(),
    }
}

/// Generates a value for each field; optional fields may have none.
fn values(fields: &[Field]) -> BoxedStrategy<Vec<Option<Value>>> {
    let one = |field: &Field| match field.optional {
        true => prop_oneof![2 => value(&field.kind).prop_map(Some), 1 => Just(None)].boxed(),
        false => value(&field.kind).prop_map(Some).boxed(),
    };
    fields.iter().map(one).collect::<Vec<_>>().boxed()
}

/// Applies the condition of the correction mapping: only the quantity that the request names has a value.
fn apply_correction_conditions(
    mapping: &Mapping,
    message_kind: MessageKind,
    from: Side,
    values: &mut [Option<Value>],
) {
    let fields = mapping.dialect(from).fields(message_kind);
    if mapping.name != "correction" || message_kind != MessageKind::Request {
        return;
    }
    let at = |name: &str| fields.iter().position(|f| f.path == name);
    let which = at("WHAT").or(at("quantity")).and_then(|at| values[at].clone());
    for (name, choice) in [("TEMP", "T"), ("WIND", "W"), ("RAIN", "R")].into_iter().chain([
        ("temperature_c", "temperature"),
        ("wind_m_s", "wind"),
        ("rain_mm", "rain"),
    ]) {
        if let Some(at) = at(name).filter(|_| which != Some(Value::Choice(choice.into()))) {
            values[at] = None;
        }
    }
    if let Some(at) = at("schema") {
        values[at] = Some(Value::Integer(2));
    }
    if let Some(at) = at("reference") {
        values[at] = Some(Value::Text("0042-1000000000000000000".into()));
    }
}

/// Reads all fields of a message; the panic message names a field that can't be read.
fn read(mapping: &Mapping, message_kind: MessageKind, side: Side, message: &Node) -> Vec<Option<Value>> {
    let dialect = mapping.dialect(side);
    let typing = dialect.form(message_kind).typing();
    let read = |field: &Field| {
        field.read(message, typing).unwrap_or_else(|reason| panic!("{}: {reason}", field.path))
    };
    dialect.fields(message_kind).iter().map(read).collect()
}

fn write(mapping: &Mapping, message_kind: MessageKind, side: Side, values: &[Option<Value>]) -> Option<Node> {
    let dialect = mapping.dialect(side);
    let mut message = Node::record();
    for (field, value) in dialect.fields(message_kind).iter().zip(values) {
        if let Some(value) = value {
            message.insert(&field.path, field.write(value, dialect.form(message_kind).typing()).ok()?);
        }
    }
    Some(message)
}

/// Encodes and decodes a message in the form of one side; `None` if its charset lacks a character.
fn encode_and_decode(
    mapping: &Mapping,
    message_kind: MessageKind,
    side: Side,
    message: &Node,
) -> Option<Node> {
    let dialect = mapping.dialect(side);
    let bytes = dialect.encode(message_kind, message).ok()?;
    Some(
        dialect
            .decode(message_kind, &bytes, Limits::default())
            .unwrap_or_else(|reason| panic!("an encoded message must decode: {reason}")),
    )
}

/// Converts a message with `mapping`, converts the result back with `reverse`, and returns every difference that no
/// notice or note announces.
fn differences(
    mapping: &Mapping,
    reverse: &Mapping,
    (message_kind, from): (MessageKind, Side),
    original: &[Option<Value>],
) -> Option<Vec<String>> {
    let message =
        encode_and_decode(mapping, message_kind, from, &write(mapping, message_kind, from, original)?)?;
    assert_eq!(
        read(mapping, message_kind, from, &message),
        original,
        "decoding must restore the encoded message"
    );
    let converted = mapping.convert(message_kind, from, &message).ok()?;
    let decoded = encode_and_decode(mapping, message_kind, from.other(), &converted.message)
        .expect("a converted message must encode");
    assert_eq!(
        read(mapping, message_kind, from.other(), &decoded),
        read(mapping, message_kind, from.other(), &converted.message)
    );
    let mut noticed_fields: Vec<String> =
        converted.notices.iter().map(|notice| notice.field.clone()).collect();
    let back = match reverse.convert(message_kind, from.other(), &decoded) {
        Ok(back) => back,
        // A rounded value may lie just outside the bounds of the side it came from.
        Err(_) if !noticed_fields.is_empty() => return None,
        Err(reason) => return Some(vec![reason.to_string()]),
    };
    let fields = mapping.dialect(from).fields(message_kind);
    noticed_fields.extend(back.notices.iter().map(|notice| notice.field.clone()));
    let back = read(mapping, message_kind, from, &back.message);
    let mut differences = Vec::new();
    for ((field, a), b) in fields.iter().zip(original).zip(&back) {
        compare(field, a, b, "", &noticed_fields, &mut differences);
    }
    Some(differences)
}

fn compare(
    field: &Field,
    original: &Option<Value>,
    returned: &Option<Value>,
    prefix: &str,
    noticed_fields: &[String],
    differences: &mut Vec<String>,
) {
    let path = format!("{prefix}{}", field.path);
    match (original, returned, &field.kind) {
        (Some(Value::Group(original)), Some(Value::Group(returned)), Kind::Group(_, fields))
            if original.len() == returned.len() =>
        {
            for (original, returned) in original.iter().zip(returned) {
                for ((field, original), returned) in fields.iter().zip(original).zip(returned) {
                    compare(field, original, returned, &format!("{path}."), noticed_fields, differences);
                }
            }
        }
        // Rounding in either direction may change a value by less than one and a half units of the coarser side's last
        // digit.
        (Some(Value::Decimal(original)), Some(Value::Decimal(returned)), Kind::Quantity(..)) => {
            if (*original - *returned).abs() > Decimal::new(35, 1) {
                differences.push(format!("{path}: {original} was returned as {returned}"));
            }
        }
        (original, returned, _) if original == returned || noticed_fields.contains(&path) => {}
        (original, returned, _) => {
            differences.push(format!("{path}: {original:?} was returned as {returned:?}"));
        }
    }
}

#[test]
fn every_field_survives_a_round_trip_or_its_loss_is_announced() {
    for (_, text) in WORKED {
        let mapping = mapping::read(text).unwrap();
        for (message_kind, from) in DIRECTIONS {
            let (tried, translated) = (Cell::new(0), Cell::new(0));
            let fields = mapping.dialect(from).fields(message_kind).to_vec();
            let run = runner(400).run(&values(&fields), |mut original| {
                apply_correction_conditions(&mapping, message_kind, from, &mut original);
                tried.set(tried.get() + 1);
                if let Some(found) = differences(&mapping, &mapping, (message_kind, from), &original) {
                    prop_assert!(
                        found.is_empty(),
                        "{} {message_kind:?} from {from:?}: {found:?}",
                        mapping.name
                    );
                    translated.set(translated.get() + 1);
                }
                Ok(())
            });
            run.unwrap_or_else(|e| panic!("{e}"));
            assert!(
                translated.get() * 20 >= tried.get(),
                "{} {message_kind:?} {from:?}: {} translated",
                mapping.name,
                translated.get()
            );
        }
    }
}

/// The round trip check must detect a mapping that swaps values, fields or time zones on the way back.
#[test]
fn wrong_reverse_mapping_is_detected() {
    for (text, from, to) in [
        (WORKED[0].1, "[\"W\", \"wind\"], [\"R\", \"rain\"]", "[\"R\", \"wind\"], [\"W\", \"rain\"]"),
        (WORKED[1].1, "[\"Y\", \"N\"]", "[\"N\", \"Y\"]"),
        (
            WORKED[1].1,
            "old = \"STN\"\nnew = \"station\"",
            "old = \"CLERK\"\nnew = \"station\"\nlong = \"refuse\"",
        ),
        (WORKED[0].1, "zone = \"America/New_York\"", "zone = \"America/Chicago\""),
    ] {
        assert!(text.contains(from), "{from}");
        let wrong = text.replace(from, to);
        let wrong = if to.contains("CLERK") {
            wrong.replace(
                "old = \"CLERK\"\nnew = \"clerk\"",
                "old = \"STN\"\nnew = \"clerk\"\nlong = \"refuse\"",
            )
        } else {
            wrong
        };
        let (mapping, wrong) = (mapping::read(text).unwrap(), mapping::read(&wrong).unwrap());
        let found = Cell::new(0);
        let fields = mapping.dialect(Side::Old).fields(MessageKind::Request).to_vec();
        let _ = runner(200).run(&values(&fields), |mut original| {
            apply_correction_conditions(&mapping, MessageKind::Request, Side::Old, &mut original);
            let differences = differences(&mapping, &wrong, (MessageKind::Request, Side::Old), &original);
            found.set(found.get() + usize::from(differences.is_some_and(|d| !d.is_empty())));
            Ok(())
        });
        assert!(found.get() > 0, "replacing {from} by {to} was not detected");
    }
}

/// Truncates, inserts, replaces and duplicates bytes: decoding must return an error or a message, without a panic.
#[test]
fn corrupted_bytes_do_not_cause_a_panic() {
    for (_, text) in WORKED {
        let mapping = mapping::read(text).unwrap();
        for (message_kind, from) in DIRECTIONS {
            let dialect = mapping.dialect(from);
            let fields = dialect.fields(message_kind).to_vec();
            let corruptions = vec((any::<prop::sample::Index>(), any::<u8>(), 0..4_u8), 1..6);
            let run = runner(300).run(&(values(&fields), corruptions), |(original, corruptions)| {
                let message = write(&mapping, message_kind, from, &original);
                let Some(mut bytes) = message.and_then(|m| dialect.encode(message_kind, &m).ok()) else {
                    return Ok(());
                };
                for (index, byte, how) in corruptions {
                    let at = index.index(bytes.len().max(1)).min(bytes.len().saturating_sub(1));
                    match how {
                        0 => bytes.truncate(at),
                        1 => bytes.insert(at, byte),
                        _ if bytes.is_empty() => {}
                        2 => bytes[at] = byte,
                        _ => bytes.extend_from_within(at..),
                    }
                }
                if let Ok(message) = dialect.decode(message_kind, &bytes, Limits::default()) {
                    if let Ok(done) = mapping.convert(message_kind, from, &message) {
                        let _ = mapping.dialect(from.other()).encode(message_kind, &done.message);
                    }
                }
                Ok(())
            });
            run.unwrap_or_else(|e| panic!("{e}"));
        }
    }
}
