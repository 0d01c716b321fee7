use super::*;

fn read(text: &str) -> Result<Body, String> {
    decode(text.as_bytes(), Charset::Utf8, Limits::default())
}

fn envelope(inner: &str) -> String {
    format!("<s:Envelope xmlns:s='{ENVELOPE}'><s:Body>{inner}</s:Body></s:Envelope>")
}

#[test]
fn call_is_decoded_and_encoded() {
    let text = envelope(
        "<m:Get xmlns:m='urn:x'><A>1 &lt; &#233;<![CDATA[<&]]></A><B/><L><X>1</X></L><L><X>2</X></L>\
             <N xmlns:xsi='http://www.w3.org/2001/XMLSchema-instance' xsi:nil='1'/><!-- c --></m:Get>",
    );
    let Body::Call { namespace, name, fields } = read(&text).unwrap() else { panic!() };
    assert_eq!((namespace.as_str(), name.as_str()), ("urn:x", "Get"));
    assert_eq!(fields.get("A"), Some(&Node::Text("1 < é<&".into())));
    assert_eq!(fields.get("N"), Some(&Node::Null));
    assert!(matches!(fields.get("L"), Some(Node::List(items)) if items.len() == 2));
    let written = encode(&namespace, &name, &fields, Charset::Windows1252).unwrap();
    let Body::Call { fields: again, .. } = decode(&written, Charset::Windows1252, Limits::default()).unwrap()
    else {
        panic!()
    };
    assert_eq!(again.get("A"), fields.get("A"));
    assert_eq!(again.get("N"), None);
}

#[test]
fn unsafe_or_ambiguous_envelopes_are_refused() {
    let bomb = format!("<!DOCTYPE x [<!ENTITY a 'b'>]>{}", envelope("<g><A>&a;</A></g>"));
    for text in [
        bomb,
        envelope("<g><A>&a;</A></g>"),
        envelope("<g><?php x ?></g>"),
        envelope("<g hidden='1'><A>1</A></g>"),
        envelope("<g>text<A>1</A></g>"),
        envelope("<g>&#1;</g>"),
        envelope("<g/><h/>"),
        envelope(""),
        envelope("<m:g/>"),
        envelope("<g><A>1</A>"),
        "<Envelope/>".into(),
        envelope("<g/>").replace("<s:Body>", "<s:Header><t s:mustUnderstand='1'/></s:Header><s:Body>"),
        envelope(&format!("<g>{}{}</g>", "<a>".repeat(20), "</a>".repeat(20))),
        format!("{}{}", envelope("<g/>"), envelope("<g/>")),
    ] {
        assert!(read(&text).is_err(), "{text}");
    }
}

#[test]
fn fault_is_distinguished_from_a_response() {
    let encoded = encode_fault("Server.Busy", "full \u{1} <now>", Some(("retryAfterSeconds", "2".into())));
    let Body::Fault { code, text } = read(&encoded).unwrap() else { panic!() };
    assert_eq!((code.as_str(), text.as_str()), ("Server.Busy", "full ? <now>"));
}
