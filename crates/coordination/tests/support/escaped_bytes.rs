//! Decodes the bytes in golden files: printable ASCII is unchanged, everything else is escaped as in a Rust byte string.

/// Returns the bytes of an escaped text.
pub fn unescape(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'\\' {
            bytes.push(byte);
            continue;
        }
        bytes.push(match rest.next().expect("an escape") {
            b'x' => {
                let digits = [rest.next(), rest.next()].map(|digit| digit.expect("a digit"));
                let digits = std::str::from_utf8(&digits).expect("ASCII");
                u8::from_str_radix(digits, 16).expect("hexadecimal")
            }
            b'n' => b'\n',
            b'r' => b'\r',
            b't' => b'\t',
            escaped => escaped,
        });
    }
    bytes
}
