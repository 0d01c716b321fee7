//! Measures what a translation costs by the size of the message: decoding, converting and encoding, compared with
//! decoding and encoding the same bytes in one form. Run with `cargo bench -p heronhoist-translate`.
//!
//! The sizes are those of the incoming message, from about 100 bytes to 64 KiB: a response with more observations, and
//! an order with more parties.
#![allow(missing_docs)]

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, Throughput};
use heronhoist_translate::{mapping, Limits, Mapping, MessageKind, Side};

const LIMITS: Limits = Limits { max_bytes: 1 << 20, max_fields: 1 << 16, max_depth: 8 };

fn translate(mapping: &Mapping, message_kind: MessageKind, from: Side, bytes: &[u8]) -> Vec<u8> {
    let message = mapping.dialect(from).decode(message_kind, bytes, LIMITS).expect("the message must decode");
    let done = mapping.convert(message_kind, from, &message).expect("the message must convert");
    mapping.dialect(from.other()).encode(message_kind, &done.message).expect("the message must encode")
}

fn decode_and_encode(mapping: &Mapping, message_kind: MessageKind, from: Side, bytes: &[u8]) -> Vec<u8> {
    let dialect = mapping.dialect(from);
    dialect
        .encode(message_kind, &dialect.decode(message_kind, bytes, LIMITS).expect("the message must decode"))
        .expect("the message must encode")
}

fn observations(count: usize) -> Vec<u8> {
    let one = |n: usize| {
        let (hour, minute) = (n / 60 % 24, n % 60);
        format!(
            "{{\"at\":\"2026-06-01T{hour:02}:{minute:02}:15Z\",\"temperature_c\":25.5,\"wind_m_s\":5.14,\"rain_mm\":0.254,\
             \"quality\":\"good\",\"note\":\"gusts\"}}"
        )
    };
    let all: Vec<String> = (0..count).map(one).collect();
    let list = all.join(",");
    format!("{{\"station\":{{\"id\":\"KMIA\",\"name\":\"Miami\"}},\"observations\":[{list}]}}").into_bytes()
}

fn translation_cost(c: &mut Criterion) {
    // 64 KiB of observations need a higher item limit than the worked mapping file sets.
    let lookup = include_str!("../../../deploy/translate/lookup.toml").replace("max = 500", "max = 5000");
    let lookup = mapping::read(&lookup).expect("the mapping file must be valid");
    let mut group = c.benchmark_group("answer");
    for count in [0, 1, 8, 64, 500] {
        let new = observations(count);
        let old = translate(&lookup, MessageKind::Response, Side::New, &new);
        for (name, from, bytes) in [("json to table", Side::New, &new), ("table to json", Side::Old, &old)] {
            group.throughput(Throughput::Bytes(bytes.len() as u64));
            group.bench_with_input(BenchmarkId::new(name, bytes.len()), bytes, |b, bytes| {
                b.iter(|| translate(&lookup, MessageKind::Response, from, bytes));
            });
            group.bench_with_input(
                BenchmarkId::new(format!("{name}, read and written"), bytes.len()),
                bytes,
                |b, bytes| {
                    b.iter(|| decode_and_encode(&lookup, MessageKind::Response, from, bytes));
                },
            );
        }
    }
    group.finish();
    let correction = mapping::read(include_str!("../../../deploy/translate/correction.toml"))
        .expect("the mapping file must be valid");
    let request = b"DESK=0042&NUM=17&STN=KTPA&OBSDT=202612010805&WHAT=W&WIND=61.5&URGENT=Y&CLERK=Ann&WHY=gauge+was+stuck";
    c.bench_function("correction, form to json", |b| {
        b.iter(|| translate(&correction, MessageKind::Request, Side::Old, request));
    });
    let message =
        correction.old.decode(MessageKind::Request, request, LIMITS).expect("the message must decode");
    c.bench_function("its key", |b| b.iter(|| correction.idempotency_key(&message)));
}

criterion_group!(benches, translation_cost);
criterion_main!(benches);
