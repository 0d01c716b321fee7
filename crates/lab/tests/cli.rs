//! Tests of the command line program.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};

fn lab_command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_heronhoist-lab"));
    command.args(arguments).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

fn run(arguments: &[&str]) -> Output {
    lab_command(arguments).output().expect("the program cannot be started")
}

fn scenario(name: &str) -> String {
    format!("{}/../../scenarios/{name}.toml", env!("CARGO_MANIFEST_DIR"))
}

fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()))
}

fn text(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_default()
}

#[test]
fn runs_are_written_reported_and_compared() {
    let (a, b) = (file("a.json"), file("b.json"));
    let quiet = scenario("quiet");
    for (out, rate) in [(&a, "clients.rate_per_s=60"), (&b, "clients.rate_per_s=600")] {
        let out = out.to_string_lossy();
        let result =
            run(&["run", &quiet, "--seeds", "1..3", "--set", "length_ms=5000", "--set", rate, "--out", &out]);
        let output = String::from_utf8_lossy(&result.stdout).into_owned();
        assert_eq!(output.matches("  held").count(), 3, "{output}");
    }
    assert!(text(&a).contains("\"complete\":true"));
    let page = text(&a.with_extension("html"));
    assert!(page.contains("<svg") && page.ends_with("</html>\n") && !page.contains("src="));
    let compared = run(&["compare", &a.to_string_lossy(), &b.to_string_lossy()]);
    let output = String::from_utf8_lossy(&compared.stdout).into_owned();
    assert!(output.contains("3 pairs") && output.lines().count() == 7, "{output}");
}

fn digests(path: &Path) -> Vec<String> {
    text(path).split("\"digest\":\"").skip(1).map(|rest| rest[..16].to_string()).collect()
}

#[test]
fn the_number_of_threads_does_not_change_the_runs() {
    let files = ["1", "3"].map(|threads| {
        let out = file(&format!("threads-{threads}.json"));
        let path = out.to_string_lossy().into_owned();
        let result =
            run(&["run", &scenario("zone-cut"), "--seeds", "1..4", "--threads", threads, "--out", &path]);
        let digests = digests(&out);
        assert_eq!(digests.len(), 4, "{}: {}", result.status, String::from_utf8_lossy(&result.stderr));
        digests
    });
    assert_eq!(files[0], files[1]);
}

#[test]
fn an_invalid_scenario_is_rejected_with_the_positions_of_its_faults() {
    let bad = file("bad.toml");
    std::fs::write(
        &bad,
        text(Path::new(&scenario("quiet"))).replace("servers = 12", "servers = 0\nnobody = 1"),
    )
    .unwrap();
    let result = run(&["run", &bad.to_string_lossy()]);
    let output = String::from_utf8_lossy(&result.stderr).into_owned();
    assert_eq!(result.status.code(), Some(2));
    assert!(
        output.contains("bad.toml:6:11: fleet.servers: found 0")
            && output.contains("fleet.nobody: no such key"),
        "{output}"
    );
    assert!(result.stdout.is_empty());
    let result = run(&["run", &scenario("quiet"), "--set", "agents.cuont=3"]);
    assert_eq!(result.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&result.stderr).contains("agents.cuont"));
}

fn interrupt(child: &Child) {
    let pid = child.id().to_string();
    assert!(Command::new("kill").args(["-INT", &pid]).status().expect("kill").success());
}

/// The runs finished before an interrupt are written, marked as incomplete, and can be read by the other commands.
#[test]
fn an_interrupted_run_leaves_a_readable_partial_report() {
    let out = file("partial.json");
    let _ = std::fs::remove_file(&out);
    let path = out.to_string_lossy().into_owned();
    let mut child = lab_command(&[
        "run",
        &scenario("rolling-release"),
        "--seeds",
        "1..500",
        "--threads",
        "1",
        "--out",
        &path,
    ])
    .spawn()
    .unwrap();
    while !out.exists() {
        assert!(child.try_wait().unwrap().is_none(), "the program ended before it was interrupted");
        std::thread::yield_now();
    }
    assert!(text(&out).contains("\"complete\":false"));
    interrupt(&child);
    let result = child.wait_with_output().unwrap();
    assert_eq!(result.status.code(), Some(1), "{}", String::from_utf8_lossy(&result.stderr));
    assert!(text(&out).contains("\"complete\":false"));
    let page = file("partial.html");
    let result = run(&["report", &path, "--out", &page.to_string_lossy()]);
    assert_eq!(result.status.code(), Some(0));
    assert!(text(&page).contains("Not all requested runs are complete"));
}

/// The engine cannot be made to break a rule on demand, so the test uses a scenario in which the random policy breaks one.
#[test]
fn a_broken_rule_gives_exit_code_1_unless_it_depends_on_timing() {
    let herd = scenario("herd");
    let with_timing = run(&["run", &herd, "--policy", "random"]);
    assert_eq!(with_timing.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&with_timing.stdout).contains("no cold server pushed over"));
    let timeless = run(&["run", &herd, "--policy", "random", "--timeless"]);
    assert_eq!(timeless.status.code(), Some(0));
}
