//! The worked mapping files of the project, by name.

/// The name and text of each file.
pub const WORKED: [(&str, &str); 3] = [
    ("lookup", include_str!("../../../../deploy/translate/lookup.toml")),
    ("correction", include_str!("../../../../deploy/translate/correction.toml")),
    ("certified-copy", include_str!("../../../../deploy/translate/certified-copy.toml")),
];
