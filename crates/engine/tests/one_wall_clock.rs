//! Guards against further reads of the wall clock: only the pool's clock reads it, once. All timeouts and
//! measurements use the monotonic clock, so that a step of the wall clock does not affect them.

use std::path::Path;

/// Names whose use reads a wall clock, or a time that was taken from one.
const WALL_CLOCK_NAMES: [&str; 9] = [
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

/// Adds the uses of [`WALL_CLOCK_NAMES`] below a folder to `found`, and returns the number of files.
fn search(folder: &Path, found: &mut Vec<String>) -> usize {
    let mut file_count = 0;
    for entry in std::fs::read_dir(folder).expect("readable folder").flatten() {
        if entry.path().is_dir() {
            file_count += search(&entry.path(), found);
            continue;
        }
        let text = std::fs::read_to_string(entry.path()).expect("readable source file");
        file_count += 1;
        let names = WALL_CLOCK_NAMES.iter().filter(|name| text.contains(*name));
        found.extend(names.map(|name| format!("{}: {name}", entry.path().display())));
    }
    file_count
}

#[test]
fn only_the_clock_of_a_pool_reads_the_wall_clock() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("the folder of the crates");
    let (mut found, mut file_count) = (Vec::new(), 0);
    for entry in std::fs::read_dir(crates).expect("readable folder").flatten() {
        // The emulator reports the start times of the servers that it emulates, and is not part of the agent.
        if entry.file_name() != "lab" {
            file_count += search(&entry.path().join("src"), &mut found);
        }
    }
    assert!(file_count > 80, "{file_count} source files");
    let clock = crates.join("engine/src/clock.rs");
    found.retain(|line| !line.starts_with(&*clock.to_string_lossy()));
    assert_eq!(found, Vec::<String>::new());
    let text = std::fs::read_to_string(clock).expect("readable source file");
    assert_eq!(text.matches("SystemTime::now()").count(), 1, "it is read once");
}
