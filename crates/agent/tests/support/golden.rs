//! Comparison of text with a committed file.

use std::path::Path;

/// Panics with the first line that differs from the committed file of this package. The actual text is written to the build
/// directory, from where it can be copied if the change is intended.
#[track_caller]
pub fn assert_golden(committed: &str, actual: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(committed);
    let expected = std::fs::read_to_string(&path).unwrap_or_default();
    if expected == actual {
        return;
    }
    let actual_path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(committed.replace('/', "-"));
    std::fs::write(&actual_path, actual).expect("cannot write to the directory for test files");
    let differs = |(expected, actual): &(&str, &str)| expected != actual;
    let line = expected.lines().zip(actual.lines()).position(|pair| differs(&pair));
    let line = line.unwrap_or_else(|| expected.lines().count().min(actual.lines().count()));
    panic!(
        "{committed}:{}: committed {:?}, now {:?}; the actual text is in {}",
        line + 1,
        expected.lines().nth(line),
        actual.lines().nth(line),
        actual_path.display()
    );
}
