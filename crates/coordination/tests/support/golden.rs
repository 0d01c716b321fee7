//! Compares serialized values with golden files, for the tests of this package and of packages that depend on it. The golden
//! files of a package are in its own `tests/golden`.

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;
use std::path::PathBuf;

/// Fails to compile if a variant is not listed, and panics if a listed variant has no value.
macro_rules! has_every_variant {
    ($values:expr, $type:ty, $($variant:pat),+ $(,)?) => {{
        let _ = |value: &$type| match value { $($variant => {})+ };
        $(assert!(
            $values.iter().any(|value| matches!(value, $variant)),
            "no value of {}", stringify!($variant),
        );)+
    }};
}

/// Returns the text of a golden file of the package under test.
pub fn golden_text(file: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
    std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{file}: {error}"))
}

/// Asserts that the values are serialized to the text of the file, and that the file is deserialized to the values.
#[track_caller]
pub fn assert_golden<T>(file: &str, values: &[T])
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let golden = golden_text(file);
    let written: String =
        values.iter().map(|value| serde_json::to_string(value).expect("serializable") + "\n").collect();
    assert_eq!(written, golden, "{file} differs from the serialized values");
    let read: Vec<T> = golden
        .lines()
        .map(|line| serde_json::from_str(line).unwrap_or_else(|error| panic!("{file}: {line}: {error}")))
        .collect();
    assert_eq!(read, values, "{file} is deserialized to other values");
}
