//! What the program writes for other programs and for people's scripts: its flags, the file of its runs, and its lines.

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

fn run(scenario: &str, more: &[&str]) -> Output {
    let file = format!("{}/../../scenarios/{scenario}.toml", env!("CARGO_MANIFEST_DIR"));
    Command::new(PROGRAM).args(["run", &file, "--virtual"]).args(more).output().expect("it starts")
}

/// Each path to a value and the value's kind, items of lists taken together.
fn paths(at: &str, value: &Value, all: &mut BTreeSet<String>) {
    let kind = match value {
        Value::Object(_) => "object",
        Value::Array(_) => "array",
        Value::Null => "null",
        Value::Bool(_) => "bool",
        Value::Number(_) => "number",
        Value::String(_) => "string",
    };
    all.insert(format!("{at} {kind}"));
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(key, value)| paths(&format!("{at}.{key}"), value, all));
        }
        Value::Array(items) => items.iter().for_each(|value| paths(&format!("{at}[]"), value, all)),
        _ => {}
    }
}

fn paths_of(text: &str) -> String {
    let value: Value = serde_json::from_str(text).expect("JSON");
    let mut all = BTreeSet::new();
    paths("", &value, &mut all);
    all.into_iter().map(|path| path + "\n").collect()
}

/// Figures masked, since they change with each change of a decision; runs of blanks taken together.
fn masked(text: &str) -> String {
    let mut page = String::new();
    for line in text.lines() {
        let words = line.split_whitespace().map(|word| {
            let hex = word.trim_end_matches(':');
            if hex.len() == 16 && hex.chars().all(|c| c.is_ascii_hexdigit()) {
                return word.replace(hex, "DIGEST");
            }
            let mut masked = String::new();
            for c in word.chars() {
                let digit = c.is_ascii_digit();
                if !(digit && masked.ends_with('#')) {
                    masked.push(if digit { '#' } else { c });
                }
            }
            masked
        });
        page += &(words.collect::<Vec<_>>().join(" ") + "\n");
    }
    page
}

#[test]
fn commands_and_flags_stay() {
    assert_golden("tests/golden/heronhoist-lab.flags", &command_line::describe(PROGRAM, &[]));
}

/// A run that holds and one that breaks a rule; their keys, the kinds of their values, and the lines that are printed.
#[test]
fn the_file_of_the_runs_and_the_lines_stay() {
    for (name, scenario, more) in [
        ("quiet", "quiet", &["--set", "length_ms=4000", "--all"][..]),
        ("herd", "herd", &["--policy", "random"][..]),
    ] {
        let out = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("golden-{name}.json"));
        // What an earlier run has left must not stand for this one's.
        let _ = std::fs::remove_file(&out);
        let ran = run(scenario, &[more, &["--out", &out.to_string_lossy()]].concat());
        let text = std::fs::read_to_string(&out).expect("the file of the runs");
        assert_golden(&format!("tests/golden/{name}.paths"), &paths_of(&text));
        let folder = format!("{}/", env!("CARGO_TARGET_TMPDIR"));
        let said = String::from_utf8(ran.stdout).expect("UTF-8").replace(&folder, "");
        assert_golden(&format!("tests/golden/{name}.lines"), &masked(&said));
    }
}

/// Scenarios of council processes write no file; what they print is all that there is of them.
#[test]
fn the_lines_of_council_scenarios_stay() {
    for name in ["cut-disk", "stopped-leader"] {
        let ran = run(&format!("council/{name}"), &["--seeds", "1..2"]);
        let said = String::from_utf8(ran.stdout).expect("UTF-8");
        assert_golden(&format!("tests/golden/{name}.lines"), &masked(&said));
    }
}

/// A file of runs that was written before is read by the commands that take one.
#[test]
fn a_file_of_runs_from_before_is_read() {
    let file = format!("{}/tests/golden/record.json", env!("CARGO_MANIFEST_DIR"));
    let compared = Command::new(PROGRAM).args(["compare", &file, &file]).output().expect("it starts");
    assert_eq!(compared.status.code(), Some(0), "{}", String::from_utf8_lossy(&compared.stderr));
    assert_golden("tests/golden/compare.lines", &String::from_utf8(compared.stdout).expect("UTF-8"));
}
