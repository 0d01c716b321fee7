//! Neither this package nor the agent code that runs it reads a wall clock, so that a jump of a wall clock has no effect.

use std::path::Path;

fn find_clock_uses(folder: &Path, found: &mut Vec<String>) -> usize {
    let mut files = 0;
    for entry in std::fs::read_dir(folder).expect("a folder").flatten() {
        if entry.path().is_dir() {
            files += find_clock_uses(&entry.path(), found);
            continue;
        }
        let text = std::fs::read_to_string(entry.path()).unwrap_or_default();
        files += 1;
        for name in ["SystemTime", "UNIX_EPOCH", "chrono", "clock_gettime"] {
            if text.contains(name) {
                found.push(format!("{}: {name}", entry.path().display()));
            }
        }
    }
    files
}

#[test]
fn no_source_file_reads_a_wall_clock() {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut found = Vec::new();
    let folders = [package.join("src"), package.join("../agent/src/fleet")];
    let files: Vec<usize> = folders.iter().map(|folder| find_clock_uses(folder, &mut found)).collect();
    assert!(files.iter().all(|files| *files > 5), "{files:?}");
    assert_eq!(found, Vec::<String>::new());
    // The engine reads one, which proves that the search works.
    find_clock_uses(&package.join("../engine/src"), &mut found);
    assert!(!found.is_empty());
}
