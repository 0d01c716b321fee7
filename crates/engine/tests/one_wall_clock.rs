//! The wall clock is read in one place: the pool's clock, once. All that is awaited, granted or measured is a span of the monotonic
//! clock, so that a wall clock that is stepped moves none of it.

use std::path::Path;

/// What reads a wall clock, or times that others took from one.
const WORDS: [&str; 9] = [
    "SystemTime",
    "UNIX_EPOCH",
    "CLOCK_REALTIME",
    "clock_gettime",
    "Timestamp::now",
    "Zoned::now",
    "chrono::",
    ".modified()",
    ".created()",
];

fn search(folder: &Path, found: &mut Vec<String>) -> usize {
    let mut files = 0;
    for entry in std::fs::read_dir(folder).expect("a folder").flatten() {
        if entry.path().is_dir() {
            files += search(&entry.path(), found);
            continue;
        }
        let text = std::fs::read_to_string(entry.path()).expect("a source");
        files += 1;
        let words = WORDS.iter().filter(|word| text.contains(*word));
        found.extend(words.map(|word| format!("{}: {word}", entry.path().display())));
    }
    files
}

#[test]
fn the_wall_clock_is_read_by_the_clock_of_a_pool_alone() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("the crates");
    let (mut found, mut files) = (Vec::new(), 0);
    for entry in std::fs::read_dir(crates).expect("a folder").flatten() {
        // The lab tells the starts of the servers that it plays, and is no part of the agent.
        if entry.file_name() != "lab" {
            files += search(&entry.path().join("src"), &mut found);
        }
    }
    assert!(files > 80, "{files} sources");
    let clock = crates.join("engine/src/clock.rs");
    found.retain(|line| !line.starts_with(&*clock.to_string_lossy()));
    assert_eq!(found, Vec::<String>::new());
    let text = std::fs::read_to_string(clock).expect("a source");
    assert_eq!(text.matches("SystemTime::now()").count(), 1, "read once");
}
