use super::*;

/// A file with each key and each word that a file of runs can hold.
const WRITTEN: &str = include_str!("../../tests/golden/record.json");

/// Nothing is lost, renamed or moved: what is read is written again with the same bytes. Keys that may be absent are in the file with
/// values unlike those that stand for absent ones.
#[test]
fn a_file_is_written_as_it_was_read() {
    let record: Record = serde_json::from_str(WRITTEN).expect("a record");
    assert_eq!(serde_json::to_string(&record).expect("JSON"), WRITTEN.trim_end());
    assert_eq!((record.format, FORMAT), (1, 1));
}
