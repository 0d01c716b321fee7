use super::*;

#[test]
fn a_key_is_its_parts_and_nothing_else() {
    // By hand: sha256sum of the bytes that the formula states. A change of it would let repeats run twice.
    assert_eq!(key("gulf", ["0042", "1001"]), KNOWN);
    assert_eq!(key("gulf", ["0042", "1001"]), key("gulf", ["0042", "1001"]));
    let others =
        [key("gulf", ["00421", "001"]), key("gulf2", ["0042", "1001"]), key("gulf", ["0042", "1002"])];
    assert!(others.iter().all(|other| *other != KNOWN));
}

const KNOWN: &str = "7f7b17aaff2884c99d09b182ea3290c6";
