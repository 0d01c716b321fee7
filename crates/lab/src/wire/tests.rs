use super::*;

#[test]
fn only_complete_messages_are_parsed() {
    let text = b"POST /a HTTP/1.1\r\nX-Call-Id: 7\r\nContent-Length: 3\r\n\r\nabcGET";
    for end in 0..text.len() - 3 {
        assert!(parse(&text[..end], false).unwrap().is_none(), "{end}");
    }
    let (message, used) = parse(text, false).unwrap().unwrap();
    assert_eq!((message.method.as_str(), message.target.as_str(), used), ("POST", "/a", text.len() - 3));
    assert_eq!((message.header("x-call-id"), message.body.as_slice()), (Some("7"), b"abc".as_slice()));
    let text = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    assert!(parse(&text[..text.len() - 2], true).unwrap().is_none());
    let (message, used) = parse(text, true).unwrap().unwrap();
    assert_eq!((message.status, message.body.as_slice(), used), (200, b"abc".as_slice(), text.len()));
    assert!(parse(b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", true).is_err());
    assert!(parse(b"\0\r\n\r\n", false).is_err());
}
