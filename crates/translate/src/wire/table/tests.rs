use super::*;

fn layout() -> Layout {
    Layout {
        fields: vec!["ID".into(), "S.NAME".into()],
        groups: vec![("LINE".into(), vec!["AT".into(), "MM".into()])],
        extension: Some("EXT".into()),
    }
}

fn read(text: &str) -> Result<Node, String> {
    decode(text.as_bytes(), Charset::Utf8, b'|', &layout(), Limits::default())
}

#[test]
fn rows_are_quoted_and_counted() {
    let text = "H|7|\"a \"\"b\"\" | c\r\nd\"\r\nLINE|1|2.5\r\nLINE|2|\r\nX|seen|yes\r\nT|4\r\n";
    let message = read(text).unwrap();
    assert_eq!(message.get("S.NAME"), Some(&Node::Text("a \"b\" | c\r\nd".into())));
    assert_eq!(message.get("EXT.seen"), Some(&Node::Text("yes".into())));
    assert_eq!(encode(&message, Charset::Utf8, b'|', &layout()).unwrap(), text.as_bytes());
}

#[test]
fn truncated_or_unknown_rows_are_refused() {
    for text in [
        "",
        "H|7|a\r\n",
        "H|7|a\r\nLINE|1|2\r\nT|1\r\n",
        "H|7|a\r\nLINE|1\r\nT|2\r\n",
        "H|7|a\r\nROW|1|2\r\nT|2\r\n",
        "T|0\r\n",
        "H|7|a\r\nT|1\r\nLINE|1|2\r\n",
        "H|7|a\r\nX|n|1\r\nX|n|2\r\nT|3\r\n",
    ] {
        assert!(read(text).is_err(), "{text}");
    }
}
