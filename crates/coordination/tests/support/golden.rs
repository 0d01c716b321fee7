//! Comparison of serialized values with golden files, for the tests of this package and of those that build on it. A package's
//! golden files lie in its own `tests/golden`.

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;
use std::path::PathBuf;

/// Fails to compile where a variant is not listed, and fails where a listed one has no value.
macro_rules! has_every_variant {
    ($values:expr, $type:ty, $($variant:pat),+ $(,)?) => {{
        let _ = |value: &$type| match value { $($variant => {})+ };
        $(assert!(
            $values.iter().any(|value| matches!(value, $variant)),
            "no value of {}", stringify!($variant),
        );)+
    }};
}

/// The text of a golden file of the package under test.
pub fn golden_text(file: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
    std::fs::read_to_string(path).unwrap_or_else(|why| panic!("{file}: {why}"))
}

/// The values are written as the file has them, and the file is read as the values.
#[track_caller]
pub fn assert_golden<T>(file: &str, values: &[T])
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let golden = golden_text(file);
    let written: String =
        values.iter().map(|value| serde_json::to_string(value).expect("serializable") + "\n").collect();
    assert_eq!(written, golden, "{file} is not what is written");
    let read: Vec<T> = golden
        .lines()
        .map(|line| serde_json::from_str(line).unwrap_or_else(|why| panic!("{file}: {line}: {why}")))
        .collect();
    assert_eq!(read, values, "{file} is read otherwise");
}
