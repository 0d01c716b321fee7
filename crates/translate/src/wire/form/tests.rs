use super::*;

fn read(text: &str) -> Result<Node, String> {
    decode(text.as_bytes(), Charset::Windows1252, Limits::default())
}

#[test]
fn names_decode_to_records_and_lists() {
    let text = "A=caf%E9+%80&S.ID=7&L.1.X=1&L.1.Y=2&L.2.X=&B";
    let message = read(text).unwrap();
    assert_eq!(message.get("A"), Some(&Node::Text("café €".into())));
    assert_eq!(message.get("S.ID"), Some(&Node::Text("7".into())));
    assert!(matches!(message.get("L"), Some(Node::List(items)) if items.len() == 2));
    assert_eq!(message.get("B"), Some(&Node::Text(String::new())));
    assert_eq!(encode(&message, Charset::Windows1252).unwrap(), format!("{text}=").into_bytes());
}

#[test]
fn ambiguous_names_are_refused() {
    for text in ["A=1&A=2", "A=1&A.B=2", "L.2.X=1", "L.1.X=1&L.X=2", "L.1=1&L.1=2", "A.B=1&A=2"] {
        assert!(read(text).is_err(), "{text}");
    }
    let deep = format!("{}=1", ["A"; 9].join("."));
    assert!(read(&deep).unwrap_err().contains("deeper"));
}

#[test]
fn unmappable_character_is_named() {
    let mut message = Node::record();
    message.insert("A", Node::Text("Łódź".into()));
    assert!(encode(&message, Charset::Windows1252).unwrap_err().contains("'Ł'"));
}
