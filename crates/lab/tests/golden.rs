//! Golden tests of the interfaces that other programs and scripts use: the flags, the file of runs and the printed lines.

#[path = "../../agent/tests/support/command_line.rs"]
mod command_line;
#[path = "../../agent/tests/support/golden.rs"]
mod golden;

use golden::assert_golden;
use serde_json::Value;
use std::collections::BTreeSet;
use std::path::Path;
use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_heronhoist-lab");

fn run(scenario: &str, arguments: &[&str]) -> Output {
    let file = format!("{}/../../scenarios/{scenario}.toml", env!("CARGO_MANIFEST_DIR"));
    Command::new(PROGRAM)
        .args(["run", &file, "--virtual"])
        .args(arguments)
        .output()
        .expect("the program cannot be started")
}

/// Collects the path and the type of each value; all items of a list share one path.
fn collect_paths(path: &str, value: &Value, paths: &mut BTreeSet<String>) {
    let kind = match value {
        Value::Object(_) => "object",
        Value::Array(_) => "array",
        Value::Null => "null",
        Value::Bool(_) => "bool",
        Value::Number(_) => "number",
        Value::String(_) => "string",
    };
    paths.insert(format!("{path} {kind}"));
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(key, value)| collect_paths(&format!("{path}.{key}"), value, paths));
        }
        Value::Array(items) => {
            items.iter().for_each(|value| collect_paths(&format!("{path}[]"), value, paths));
        }
        _ => {}
    }
}

fn value_paths(text: &str) -> String {
    let value: Value = serde_json::from_str(text).expect("JSON");
    let mut paths = BTreeSet::new();
    collect_paths("", &value, &mut paths);
    paths.into_iter().map(|path| path + "\n").collect()
}

/// Masks numbers and digests, since any change of a decision changes them, and collapses runs of spaces.
fn mask(text: &str) -> String {
    let mut output = String::new();
    for line in text.lines() {
        let words = line.split_whitespace().map(|word| {
            let hex = word.trim_end_matches(':');
            if hex.len() == 16 && hex.chars().all(|character| character.is_ascii_hexdigit()) {
                return word.replace(hex, "DIGEST");
            }
            let mut masked = String::new();
            for character in word.chars() {
                let digit = character.is_ascii_digit();
                if !(digit && masked.ends_with('#')) {
                    masked.push(if digit { '#' } else { character });
                }
            }
            masked
        });
        output += &(words.collect::<Vec<_>>().join(" ") + "\n");
    }
    output
}

#[test]
fn commands_and_flags_are_stable() {
    assert_golden("tests/golden/heronhoist-lab.flags", &command_line::describe(PROGRAM, &[]));
}

/// Compares keys, value types and printed lines of a run that passes and of one that breaks a rule.
#[test]
fn the_file_of_runs_and_the_printed_lines_are_stable() {
    for (name, scenario, arguments) in [
        ("quiet", "quiet", &["--set", "length_ms=4000", "--all"][..]),
        ("herd", "herd", &["--policy", "random"][..]),
    ] {
        let out = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("golden-{name}.json"));
        // A file left by an earlier test run must not be taken for the result of this one.
        let _ = std::fs::remove_file(&out);
        let result = run(scenario, &[arguments, &["--out", &out.to_string_lossy()]].concat());
        let text = std::fs::read_to_string(&out).expect("the file of runs cannot be read");
        assert_golden(&format!("tests/golden/{name}.paths"), &value_paths(&text));
        let folder = format!("{}/", env!("CARGO_TARGET_TMPDIR"));
        let output = String::from_utf8(result.stdout).expect("UTF-8").replace(&folder, "");
        assert_golden(&format!("tests/golden/{name}.lines"), &mask(&output));
    }
}

/// Scenarios of coordinator processes write no file, so only the printed lines are compared.
#[test]
fn the_lines_of_council_scenarios_are_stable() {
    for name in ["cut-disk", "stopped-leader"] {
        let result = run(&format!("council/{name}"), &["--seeds", "1..2"]);
        let output = String::from_utf8(result.stdout).expect("UTF-8");
        assert_golden(&format!("tests/golden/{name}.lines"), &mask(&output));
    }
}

/// A file of runs written by an earlier version can still be read.
#[test]
fn a_file_of_runs_from_an_earlier_version_is_read() {
    let file = format!("{}/tests/golden/record.json", env!("CARGO_MANIFEST_DIR"));
    let compared = Command::new(PROGRAM)
        .args(["compare", &file, &file])
        .output()
        .expect("the program cannot be started");
    assert_eq!(compared.status.code(), Some(0), "{}", String::from_utf8_lossy(&compared.stderr));
    assert_golden("tests/golden/compare.lines", &String::from_utf8(compared.stdout).expect("UTF-8"));
}
