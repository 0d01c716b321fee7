use super::*;

fn read(text: &str) -> Result<Node, String> {
    decode(text.as_bytes(), Limits::default())
}

#[test]
fn numbers_keep_their_digits() {
    let text = r#"{"a":1.10,"b":123456789012345678901234567890.5,"c":-0,"d":[1,"x\n",null,true],"e":{}}"#;
    let message = read(text).unwrap();
    assert_eq!(message.get("a"), Some(&Node::Number("1.10".into())));
    assert_eq!(String::from_utf8(encode(&message)).unwrap(), text);
}

#[test]
fn invalid_messages_are_refused() {
    for text in ["", "[]", "1", "{\"a\":1,\"a\":2}", "{\"a\":01}", "{\"a\":1}x", "{\"a\":NaN}", "{a:1}"] {
        assert!(read(text).is_err(), "{text}");
    }
    let deep = format!("{}1{}", "{\"a\":".repeat(9), "}".repeat(9));
    assert!(read(&deep).unwrap_err().contains("deeper"));
    let many = Limits { max_fields: 3, ..Limits::default() };
    assert!(decode(b"{\"a\":[1,2,3]}", many).unwrap_err().contains("more than 3"));
}
