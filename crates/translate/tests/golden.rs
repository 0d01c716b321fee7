//! Messages written by hand from the grammars of the forms, with the expected translation of each.
mod worked;
use heronhoist_translate::{mapping, Limits, Mapping, MessageKind, Side};
use worked::WORKED;

fn worked(name: &str) -> Mapping {
    let file = WORKED.iter().find(|(known, _)| *known == name).unwrap();
    mapping::read(file.1).unwrap()
}

/// Returns the other side's bytes and the notices, or why the message is refused.
fn translate(
    name: &str,
    message_kind: MessageKind,
    from: Side,
    bytes: &[u8],
) -> Result<(String, Vec<String>), String> {
    let mapping = worked(name);
    let message = mapping.dialect(from).decode(message_kind, bytes, Limits::default())?;
    let done = mapping.convert(message_kind, from, &message).map_err(|reason| reason.to_string())?;
    let bytes = mapping.dialect(from.other()).encode(message_kind, &done.message)?;
    let text = mapping.dialect(from.other()).charset.decode(&bytes)?;
    Ok((text, done.notices.iter().map(ToString::to_string).collect()))
}

fn assert_translation(
    name: &str,
    message_kind: MessageKind,
    from: Side,
    bytes: &[u8],
    to: &str,
    notices: &[&str],
) {
    let (text, found_notices) = translate(name, message_kind, from, bytes).unwrap();
    assert_eq!(text, to);
    assert_eq!(found_notices, notices);
}

/// Returns why a message is refused.
fn refusal_reason(name: &str, message_kind: MessageKind, from: Side, bytes: &str) -> String {
    translate(name, message_kind, from, bytes.as_bytes()).expect_err(bytes)
}

#[test]
fn query_and_its_table_response() {
    // EST applies until 2 o'clock on 8 March 2026, EDT after it.
    assert_translation(
        "lookup",
        MessageKind::Request,
        Side::Old,
        b"STN=KMIA&BEG=03%2F08%2F2026+01%3A59&END=03%2F08%2F2026+03%3A00&WHAT=W&CLERK=Mu%F1oz",
        "station=KMIA&from=2026-03-08T01%3A59%3A00-05%3A00&to=2026-03-08T03%3A00%3A00-04%3A00&kind=wind&x_old.CLERK=Mu%C3%B1oz",
        &[],
    );
    assert_translation(
        "lookup",
        MessageKind::Request,
        Side::New,
        b"station=KMIA&from=2026-06-01T04:00:00Z&to=2026-06-01T10:00:00%2B05:30&kind=all&trace=t1&x_old.CLERK=B%C3%A9",
        "STN=KMIA&BEG=06%2F01%2F2026+00%3A00&END=06%2F01%2F2026+00%3A30&WHAT=A&CLERK=B%E9",
        &["trace dropped"],
    );
    // 77 degF = 25 degC; 9 kn = 4.63 m/s; 10 kn = 5.1444.. m/s; 0.01 in = 0.254 mm; 7 ft = 2.1336 m.
    assert_translation(
        "lookup",
        MessageKind::Response,
        Side::Old,
        b"H|KMIA|\"Miami \"\"Int'l\"\" | FL\"|7\r\nOBS|06/01/2026 00:30:15|77|9|0.01|G|\r\nOBS|06/01/2026 01:30:15||10||S|caf\xe9 \x80\r\nT|3\r\n",
        "{\"station\":{\"id\":\"KMIA\",\"name\":\"Miami \\\"Int'l\\\" | FL\",\"elevation_m\":2.1},\"observations\":[\
         {\"at\":\"2026-06-01T00:30:15-04:00\",\"temperature_c\":25,\"wind_m_s\":4.63,\"rain_mm\":0.254,\"quality\":\"good\"},\
         {\"at\":\"2026-06-01T01:30:15-04:00\",\"wind_m_s\":5.14,\"quality\":\"suspect\",\"note\":\"café €\"}]}",
        &["ELEV rounded to 2.1", "OBS.WIND rounded to 5.14"],
    );
    assert_translation(
        "lookup",
        MessageKind::Response,
        Side::New,
        "{\"station\":{\"id\":\"KMIA\",\"name\":\"Łódź\"},\"observations\":[{\"at\":\"2026-11-01T05:30:00.25Z\",\
         \"temperature_c\":-40,\"rain_mm\":25.4e0,\"quality\":\"bad\",\"note\":null}]}"
            .as_bytes(),
        "H|KMIA|?ód?|\r\nOBS|11/01/2026 01:30:00|-40||1|B|\r\nT|2\r\n",
        &["station.name replaced by ?ód?", "observations.at cut to 11/01/2026 01:30:00"],
    );
}

#[test]
fn correction_keeps_its_idempotency_key() {
    let old = b"DESK=0042&NUM=1000000000000000000&STN=KTPA&OBSDT=202612010805&WHAT=R&RAIN=1.50&URGENT=Y&CLERK=Ann&WHY=";
    assert_translation(
        "correction",
        MessageKind::Request,
        Side::Old,
        old,
        "{\"reference\":\"0042-1000000000000000000\",\"station\":\"KTPA\",\"observed_at\":\"2026-12-01T08:05:00-05:00\",\
         \"quantity\":\"rain\",\"rain_mm\":38.1,\"urgent\":true,\"clerk\":\"Ann\",\"reason\":\"\",\"schema\":2}",
        &[],
    );
    let mapping = worked("correction");
    let key = |text: &str| {
        let request = mapping.old.decode(MessageKind::Request, text.as_bytes(), Limits::default()).unwrap();
        mapping.idempotency_key(&request)
    };
    let first = key(std::str::from_utf8(old).unwrap()).unwrap();
    // A repeat may change the other fields, and write its desk number without leading zeros.
    assert_eq!(key("NUM=1000000000000000000&DESK=42&WHY=again"), Some(first.clone()));
    assert_ne!(key("DESK=0042&NUM=1000000000000000001"), Some(first));
    assert_eq!(key("DESK=0042"), None, "without a running number the request has no key");
    assert_translation(
        "correction",
        MessageKind::Response,
        Side::New,
        b"{\"status\":\"repeated\",\"revision\":7,\"applied_at\":\"2026-12-01T13:05:09Z\",\"links\":{\"self\":\"/r/7\"}}",
        "H|DUP|7|20261201080509\r\nT|1\r\n",
        &["links.self dropped"],
    );
}

#[test]
fn order_in_a_soap_envelope() {
    let around = |inner: &str| {
        format!(
            "<?xml version=\"1.0\" encoding=\"iso-8859-1\"?><soap:Envelope xmlns:soap=\"http://schemas.xmlsoap.org/soap/envelope/\">\
             <soap:Body>{inner}</soap:Body></soap:Envelope>"
        )
    };
    let fields = "<CaseNo>26-CV-7 &amp; 8</CaseNo><Station>KMIA</Station><FirstDay>28.02.2024</FirstDay>\
        <LastDay>29.02.2024</LastDay><Copies>3</Copies><Sealed>yes</Sealed><MaxFee>120.50</MaxFee>\
        <Court><Name>Third Court</Name></Court><Party><Name>Ann &lt;A&gt;</Name><Role>P</Role></Party><Printer>P9</Printer>";
    let new = "{\"case\":\"26-CV-7 & 8\",\"station\":\"KMIA\",\"period\":{\"first\":\"2024-02-28\",\"last\":\"2024-02-29\"},\
        \"copies\":3,\"sealed\":true,\"fee_limit\":120.50,\"court\":{\"name\":\"Third Court\"},\
        \"parties\":[{\"name\":\"Ann <A>\",\"role\":\"plaintiff\"}],\"language\":\"en\",\"x_old\":{\"Printer\":\"P9\"}}";
    let old = around(&format!("<m:OrderCopies xmlns:m=\"urn:desk:copies:1\">{fields}</m:OrderCopies>"));
    assert_translation("certified-copy", MessageKind::Request, Side::Old, old.as_bytes(), new, &[]);
    assert_translation("certified-copy", MessageKind::Request, Side::New, new.as_bytes(), &old, &[]);
    let seal = "0".repeat(64);
    assert_translation(
        "certified-copy",
        MessageKind::Response,
        Side::New,
        format!("{{\"order\":9,\"pages\":12,\"fee\":{{\"amount\":36.00,\"currency\":\"USD\"}},\"ready_on\":\"2026-12-04\",\"sha256\":\"{seal}\"}}")
            .as_bytes(),
        &around(&format!(
            "<m:OrderCopiesResponse xmlns:m=\"urn:desk:copies:1\"><OrderNo>9</OrderNo><Pages>12</Pages><Fee>36.00</Fee>\
             <Ready>04.12.2026</Ready><Extra><sha256>{seal}</sha256></Extra></m:OrderCopiesResponse>"
        )),
        &[],
    );
}

#[test]
fn untranslatable_field_is_refused_by_name() {
    let order = |more: &str| {
        format!(
            "{{\"case\":\"c\",\"station\":\"K\",\"period\":{{\"first\":\"2024-02-28\",\"last\":\"2024-02-29\"}},\"copies\":1,\
             \"sealed\":false,\"court\":{{\"name\":\"x\"}},\"parties\":[],{more}}}"
        )
    };
    let query = |begin: &str| format!("STN=K&BEG={begin}&END=06/01/2026+00:00&WHAT=A");
    let answer =
        |name: &str| format!("{{\"station\":{{\"id\":\"{name}\",\"name\":\"n\"}},\"observations\":[]}}");
    let at = |time: &str| format!("station=K&from={time}&to=2026-06-01T04:00:00Z&kind=all");
    for (name, message_kind, from, bytes, reason) in [
        // A field, a value and a flag that the other side does not have.
        (
            "certified-copy",
            MessageKind::Request,
            Side::New,
            order("\"language\":\"es\""),
            "\"language\": the other side has nothing",
        ),
        (
            "certified-copy",
            MessageKind::Request,
            Side::New,
            order("\"language\":\"en\",\"rush\":1"),
            "\"rush\": no such field",
        ),
        (
            "certified-copy",
            MessageKind::Request,
            Side::New,
            order("\"language\":\"en\",\"x_old\":{\"Fax\":\"1\"}"),
            "carries something",
        ),
        (
            "certified-copy",
            MessageKind::Request,
            Side::New,
            order("\"language\":1"),
            "a number where choice should be",
        ),
        // A local time that was skipped, one that occurs twice, a leap second, seconds that the other side can't
        // represent, a missing offset and an invalid date.
        ("lookup", MessageKind::Request, Side::Old, query("03/08/2026+02:30"), "set forward"),
        ("lookup", MessageKind::Request, Side::Old, query("3/8/2026+01:30"), "not a time as"),
        ("lookup", MessageKind::Request, Side::New, at("2026-11-01T06:30:00Z"), "another moment"),
        ("lookup", MessageKind::Request, Side::New, at("2016-12-31T23:59:60Z"), "leap second"),
        ("lookup", MessageKind::Request, Side::New, at("2026-06-01T04:00:01Z"), "more finely"),
        ("lookup", MessageKind::Request, Side::New, at("2026-06-01T04:00:00"), "RFC 3339"),
        ("lookup", MessageKind::Request, Side::New, at("2026-06-31T04:00:00Z"), "RFC 3339"),
        // Characters that the charset lacks, a text that is too long, missing fields.
        ("lookup", MessageKind::Response, Side::New, answer("e\u{301}"), "no character '\\u{301}'"),
        ("lookup", MessageKind::Response, Side::New, answer("123456789"), "9 characters"),
        ("lookup", MessageKind::Request, Side::New, "station=K".into(), "\"from\": missing"),
        (
            "correction",
            MessageKind::Request,
            Side::Old,
            "DESK=1&NUM=2&STN=K&OBSDT=202606010000&WHAT=T&RAIN=1&URGENT=N&CLERK=a".into(),
            "\"RAIN\": it may not be given",
        ),
        (
            "correction",
            MessageKind::Request,
            Side::Old,
            "DESK=-0x1&NUM=2&STN=K&OBSDT=202606010000&WHAT=T&URGENT=N&CLERK=a".into(),
            "whole number",
        ),
    ] {
        let error = refusal_reason(name, message_kind, from, &bytes);
        assert!(error.contains(reason), "{bytes}: {error}");
    }
}
