//! Every field of every worked message, there and back, on generated values with their edges; and bytes that are wrong.
mod worked;
use heronhoist_translate::field::{Clock, ClockForm, Field, Kind, Moment, Value};
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

const WAYS: [(MessageKind, Side); 4] = [
    (MessageKind::Request, Side::Old),
    (MessageKind::Request, Side::New),
    (MessageKind::Response, Side::Old),
    (MessageKind::Response, Side::New),
];

/// The same cases every time; so many times more for a long run, which goes on where the short one ends.
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
    // Around the hours that New York's clocks skipped and showed twice, the end of Unix time in 31 bits, a leap year.
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
        Kind::Text(least, most) => {
            let any = vec(character(), *least..=(*most).min(least + 40));
            let full = vec(proptest::char::range('a', 'z'), *most..=*most);
            prop_oneof![9 => any, 1 => full].prop_map(|text| Value::Text(text.into_iter().collect())).boxed()
        }
        Kind::Integer(least, most, _) => {
            prop_oneof![Just(*least), Just(*most), *least..=*most].prop_map(Value::Integer).boxed()
        }
        Kind::Decimal(least, most, digits) | Kind::Quantity(least, most, digits, _) => {
            let digits = *digits;
            let whole =
                |n: Decimal| (n * Decimal::from(10_u64.pow(digits))).mantissa() / 10_i128.pow((n).scale());
            let any =
                (whole(*least)..=whole(*most)).prop_map(move |n| Decimal::from_i128_with_scale(n, digits));
            prop_oneof![1 => Just(*least), 1 => Just(*most), 8 => any].prop_map(Value::Decimal).boxed()
        }
        Kind::Date(_) => {
            (1900_i16..2100, 1_i8..=12, 1_i8..=28).prop_map(|(y, m, d)| Value::Date(date(y, m, d))).boxed()
        }
        Kind::Time(clock) => {
            let clock: Clock = clock.clone();
            let offset = select(vec![None, Some(0), Some(-18_000), Some(20_700)]);
            let nanos = prop_oneof![3 => Just(0), 1 => Just(500_000_000_i32), 1 => Just(1)];
            let moment = (moments(), offset, nanos).prop_map(move |(at, offset, nanos)| {
                let offset = offset.map(|seconds| Offset::from_seconds(seconds).unwrap());
                let offset = if clock.form == ClockForm::Rfc3339 { offset } else { None };
                let at = Timestamp::new(at.as_second(), nanos).unwrap();
                clock.cut(Moment { at, offset })
            });
            moment.prop_map(Value::Time).boxed()
        }
        Kind::Choice(words) => select(words.clone()).prop_map(Value::Choice).boxed(),
        Kind::Flag(..) => any::<bool>().prop_map(Value::Flag).boxed(),
        Kind::Group(most, fields) => vec(values(fields), 0..=(*most).min(4)).prop_map(Value::Group).boxed(),
    }
}

/// A value or none for each field.
fn values(fields: &[Field]) -> BoxedStrategy<Vec<Option<Value>>> {
    let one = |field: &Field| match field.optional {
        true => prop_oneof![2 => value(&field.kind).prop_map(Some), 1 => Just(None)].boxed(),
        false => value(&field.kind).prop_map(Some).boxed(),
    };
    fields.iter().map(one).collect::<Vec<_>>().boxed()
}

/// The correction's own condition: of the three quantities the one that is named.
fn abide(mapping: &Mapping, message_kind: MessageKind, from: Side, values: &mut [Option<Value>]) {
    let fields = mapping.dialect(from).fields(message_kind);
    if mapping.name != "correction" || message_kind != MessageKind::Request {
        return;
    }
    let at = |name: &str| fields.iter().position(|f| f.path == name);
    let which = at("WHAT").or(at("quantity")).and_then(|at| values[at].clone());
    for (name, word) in [("TEMP", "T"), ("WIND", "W"), ("RAIN", "R")].into_iter().chain([
        ("temperature_c", "temperature"),
        ("wind_m_s", "wind"),
        ("rain_mm", "rain"),
    ]) {
        if let Some(at) = at(name).filter(|_| which != Some(Value::Choice(word.into()))) {
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

/// What is given comes back with the field's own name; none in a group may be told by an absent group.
fn read(mapping: &Mapping, message_kind: MessageKind, side: Side, message: &Node) -> Vec<Option<Value>> {
    let dialect = mapping.dialect(side);
    let typing = dialect.form(message_kind).typing();
    let read =
        |field: &Field| field.read(message, typing).unwrap_or_else(|why| panic!("{}: {why}", field.path));
    dialect.fields(message_kind).iter().map(read).collect()
}

fn write(mapping: &Mapping, message_kind: MessageKind, side: Side, values: &[Option<Value>]) -> Option<Node> {
    let dialect = mapping.dialect(side);
    let mut message = Node::record();
    for (field, value) in dialect.fields(message_kind).iter().zip(values) {
        if let Some(value) = value {
            message.put(&field.path, field.write(value, dialect.form(message_kind).typing()).ok()?);
        }
    }
    Some(message)
}

/// Through the wire of a side; None if its characters can't say it.
fn wire(mapping: &Mapping, message_kind: MessageKind, side: Side, message: &Node) -> Option<Node> {
    let dialect = mapping.dialect(side);
    let bytes = dialect.encode(message_kind, message).ok()?;
    Some(
        dialect
            .decode(message_kind, &bytes, Limits::default())
            .unwrap_or_else(|why| panic!("own message: {why}")),
    )
}

/// All that differs after a way there over `mapping` and back over `again`, but for what notices and notes tell of.
fn differences(
    mapping: &Mapping,
    again: &Mapping,
    (message_kind, from): (MessageKind, Side),
    given: &[Option<Value>],
) -> Option<Vec<String>> {
    let message = wire(mapping, message_kind, from, &write(mapping, message_kind, from, given)?)?;
    assert_eq!(read(mapping, message_kind, from, &message), given, "over the wire of its own side");
    let there = mapping.convert(message_kind, from, &message).ok()?;
    let sent =
        wire(mapping, message_kind, from.other(), &there.message).expect("what was converted can be written");
    assert_eq!(
        read(mapping, message_kind, from.other(), &sent),
        read(mapping, message_kind, from.other(), &there.message)
    );
    let mut told: Vec<String> = there.notices.iter().map(|notice| notice.field.clone()).collect();
    let back = match again.convert(message_kind, from.other(), &sent) {
        Ok(back) => back,
        // A rounded value may lie just outside of the bounds that it came from.
        Err(_) if !told.is_empty() => return None,
        Err(why) => return Some(vec![why.to_string()]),
    };
    let fields = mapping.dialect(from).fields(message_kind);
    told.extend(back.notices.iter().map(|notice| notice.field.clone()));
    let back = read(mapping, message_kind, from, &back.message);
    let mut differences = Vec::new();
    for ((field, a), b) in fields.iter().zip(given).zip(&back) {
        compare(field, a, b, "", &told, &mut differences);
    }
    Some(differences)
}

fn compare(
    field: &Field,
    a: &Option<Value>,
    b: &Option<Value>,
    above: &str,
    told: &[String],
    differences: &mut Vec<String>,
) {
    let path = format!("{above}{}", field.path);
    match (a, b, &field.kind) {
        (Some(Value::Group(a)), Some(Value::Group(b)), Kind::Group(_, fields)) if a.len() == b.len() => {
            for (a, b) in a.iter().zip(b) {
                for ((field, a), b) in fields.iter().zip(a).zip(b) {
                    compare(field, a, b, &format!("{path}."), told, differences);
                }
            }
        }
        // Rounded there or back: nearer than one and a half units of the coarser side's last digit.
        (Some(Value::Decimal(a)), Some(Value::Decimal(b)), Kind::Quantity(..)) => {
            if (*a - *b).abs() > Decimal::new(35, 1) {
                differences.push(format!("{path}: {a} came back as {b}"));
            }
        }
        (a, b, _) if a == b || told.contains(&path) => {}
        (a, b, _) => differences.push(format!("{path}: {a:?} came back as {b:?}")),
    }
}

#[test]
fn every_field_of_every_message_comes_back_or_is_told_of() {
    for (_, text) in WORKED {
        let mapping = mapping::read(text).unwrap();
        for (message_kind, from) in WAYS {
            let (tried, whole) = (Cell::new(0), Cell::new(0));
            let fields = mapping.dialect(from).fields(message_kind).to_vec();
            let run = runner(400).run(&values(&fields), |mut given| {
                abide(&mapping, message_kind, from, &mut given);
                tried.set(tried.get() + 1);
                if let Some(found) = differences(&mapping, &mapping, (message_kind, from), &given) {
                    prop_assert!(
                        found.is_empty(),
                        "{} {message_kind:?} from {from:?}: {found:?}",
                        mapping.name
                    );
                    whole.set(whole.get() + 1);
                }
                Ok(())
            });
            run.unwrap_or_else(|e| panic!("{e}"));
            assert!(
                whole.get() * 20 >= tried.get(),
                "{} {message_kind:?} {from:?}: {} whole",
                mapping.name,
                whole.get()
            );
        }
    }
}

/// The check above has to notice a mapping that swaps words, or measures in another unit, on the way back.
#[test]
fn a_wrong_way_back_is_noticed() {
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
        let _ = runner(200).run(&values(&fields), |mut given| {
            abide(&mapping, MessageKind::Request, Side::Old, &mut given);
            let differences = differences(&mapping, &wrong, (MessageKind::Request, Side::Old), &given);
            found.set(found.get() + usize::from(differences.is_some_and(|d| !d.is_empty())));
            Ok(())
        });
        assert!(found.get() > 0, "{from} as {to} was not noticed");
    }
}

/// Bytes that are cut, doubled, swapped or drawn: an error or a message, and no panic.
#[test]
fn wrong_bytes_are_refused_without_a_panic() {
    for (_, text) in WORKED {
        let mapping = mapping::read(text).unwrap();
        for (message_kind, from) in WAYS {
            let dialect = mapping.dialect(from);
            let fields = dialect.fields(message_kind).to_vec();
            let spoil = vec((any::<prop::sample::Index>(), any::<u8>(), 0..4_u8), 1..6);
            let run = runner(300).run(&(values(&fields), spoil), |(given, spoil)| {
                let message = write(&mapping, message_kind, from, &given);
                let Some(mut bytes) = message.and_then(|m| dialect.encode(message_kind, &m).ok()) else {
                    return Ok(());
                };
                for (index, byte, how) in spoil {
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
