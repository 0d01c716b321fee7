//! Text that is compared with a committed file.

use std::path::Path;

/// Fails at the first line that differs from the committed file of this package; the whole text is left beside the build, from
/// where it can be copied once a change is meant.
#[track_caller]
pub fn assert_golden(committed: &str, actual: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(committed);
    let expected = std::fs::read_to_string(&path).unwrap_or_default();
    if expected == actual {
        return;
    }
    let left = Path::new(env!("CARGO_TARGET_TMPDIR")).join(committed.replace('/', "-"));
    std::fs::write(&left, actual).expect("the folder of the tests can be written");
    let differs = |(expected, actual): &(&str, &str)| expected != actual;
    let line = expected.lines().zip(actual.lines()).position(|pair| differs(&pair));
    let line = line.unwrap_or_else(|| expected.lines().count().min(actual.lines().count()));
    panic!(
        "{committed}:{}: committed {:?}, now {:?}; all of it is in {}",
        line + 1,
        expected.lines().nth(line),
        actual.lines().nth(line),
        left.display()
    );
}
