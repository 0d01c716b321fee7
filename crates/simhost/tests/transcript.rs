//! A committed run of two instances with fixed salts: the lines that a simulator writes, and the exact lines that come back.
//! Actions and their order are part of it, so that it also holds what is decided; a change of a decision has to record it anew.

use std::io::Write;
use std::process::{Command, Stdio};

const INPUT: &str = include_str!("golden/input.jsonl");
const OUTPUT: &str = include_str!("golden/output.jsonl");

/// What the program answers to these lines.
fn answer(input: &str) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_heronhoist-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut stdin = child.stdin.take().expect("piped");
    let text = input.to_string();
    let writer = std::thread::spawn(move || stdin.write_all(text.as_bytes()));
    let output = child.wait_with_output().expect("the program ends");
    writer.join().expect("no panic").expect("all is read");
    assert!(output.status.success(), "{:?}", output.status);
    String::from_utf8(output.stdout).expect("UTF-8")
}

#[test]
fn a_recorded_run_is_answered_byte_for_byte() {
    let answered = answer(INPUT);
    for ((answered, recorded), round) in answered.lines().zip(OUTPUT.lines()).zip(1..) {
        assert_eq!(answered, recorded, "line {round}");
    }
    assert_eq!(answered.len(), OUTPUT.len());
}

/// The recording holds each kind of message that instances are sent, and each that has a cause in it; the decision module never
/// asks for `CLOSE_IDLE`, ANNOUNCE and PULL, and BUG is a fault of the host's own. Those are held by the tests of the wire alone.
#[test]
fn the_recording_holds_the_messages() {
    for kind in [
        "ATTACH",
        "RETIRE",
        "CATALOG",
        "REGISTRY",
        "REQUEST",
        "FIRST_BYTE",
        "DONE",
        "ABORTED",
        "ELAPSED",
        "PROBED",
        "MAIL",
    ] {
        assert!(INPUT.contains(&format!("{{\"{kind}\":{{")), "{kind}");
    }
    for kind in
        ["ROUTE", "ABANDON", "OVERLOAD_REPLY", "ABORT", "TIMER", "HEALTH_CHECK", "FOLLOW", "NOTE_DOWN"]
    {
        assert!(OUTPUT.contains(&format!("{{\"{kind}\":{{")), "{kind}");
    }
}
