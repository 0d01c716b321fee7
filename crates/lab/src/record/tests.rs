use super::*;

/// A record that contains every key and every enum value of the format.
const RECORD_JSON: &str = include_str!("../../tests/golden/record.json");

/// A key that is lost, renamed or moved would break the readers of existing files. Keys that may be absent have values in the file
/// that differ from their defaults.
#[test]
fn a_record_is_written_as_it_was_read() {
    let record: Record = serde_json::from_str(RECORD_JSON).expect("a record");
    assert_eq!(serde_json::to_string(&record).expect("JSON"), RECORD_JSON.trim_end());
    assert_eq!((record.format, FORMAT), (1, 1));
}
