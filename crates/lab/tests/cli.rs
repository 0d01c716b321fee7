//! The program as a user has it.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};

fn lab(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_heronhoist-lab"));
    command.args(arguments).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

fn run(arguments: &[&str]) -> Output {
    lab(arguments).output().expect("the program starts")
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
        let ran =
            run(&["run", &quiet, "--seeds", "1..3", "--set", "length_ms=5000", "--set", rate, "--out", &out]);
        let said = String::from_utf8_lossy(&ran.stdout).into_owned();
        assert_eq!(said.matches("  held").count(), 3, "{said}");
    }
    assert!(text(&a).contains("\"complete\":true"));
    let page = text(&a.with_extension("html"));
    assert!(page.contains("<svg") && page.ends_with("</html>\n") && !page.contains("src="));
    let compared = run(&["compare", &a.to_string_lossy(), &b.to_string_lossy()]);
    let said = String::from_utf8_lossy(&compared.stdout).into_owned();
    assert!(said.contains("3 pairs") && said.lines().count() == 7, "{said}");
}

fn digests(path: &Path) -> Vec<String> {
    text(path).split("\"digest\":\"").skip(1).map(|rest| rest[..16].to_string()).collect()
}

#[test]
fn runs_are_the_same_whatever_the_number_of_threads() {
    let files = ["1", "3"].map(|threads| {
        let out = file(&format!("threads-{threads}.json"));
        let path = out.to_string_lossy().into_owned();
        let ran =
            run(&["run", &scenario("zone-cut"), "--seeds", "1..4", "--threads", threads, "--out", &path]);
        let digests = digests(&out);
        assert_eq!(digests.len(), 4, "{}: {}", ran.status, String::from_utf8_lossy(&ran.stderr));
        digests
    });
    assert_eq!(files[0], files[1]);
}

#[test]
fn a_bad_file_is_told_with_its_places_and_plays_nothing() {
    let bad = file("bad.toml");
    std::fs::write(
        &bad,
        text(Path::new(&scenario("quiet"))).replace("servers = 12", "servers = 0\nnobody = 1"),
    )
    .unwrap();
    let ran = run(&["run", &bad.to_string_lossy()]);
    let said = String::from_utf8_lossy(&ran.stderr).into_owned();
    assert_eq!(ran.status.code(), Some(2));
    assert!(
        said.contains("bad.toml:6:11: fleet.servers: found 0") && said.contains("fleet.nobody: no such key"),
        "{said}"
    );
    assert!(ran.stdout.is_empty());
    let ran = run(&["run", &scenario("quiet"), "--set", "agents.cuont=3"]);
    assert_eq!(ran.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&ran.stderr).contains("agents.cuont"));
}

fn interrupt(child: &Child) {
    let pid = child.id().to_string();
    assert!(Command::new("kill").args(["-INT", &pid]).status().expect("kill").success());
}

/// What has been played by then is written, says that it is not all, and can be read by the other commands.
#[test]
fn an_interrupted_run_leaves_a_readable_partial_report() {
    let out = file("partial.json");
    let _ = std::fs::remove_file(&out);
    let path = out.to_string_lossy().into_owned();
    let mut child =
        lab(&["run", &scenario("rolling-release"), "--seeds", "1..500", "--threads", "1", "--out", &path])
            .spawn()
            .unwrap();
    while !out.exists() {
        assert!(child.try_wait().unwrap().is_none(), "it ended before it was interrupted");
        std::thread::yield_now();
    }
    assert!(text(&out).contains("\"complete\":false"));
    interrupt(&child);
    let ended = child.wait_with_output().unwrap();
    assert_eq!(ended.status.code(), Some(1), "{}", String::from_utf8_lossy(&ended.stderr));
    assert!(text(&out).contains("\"complete\":false"));
    let page = file("partial.html");
    let made = run(&["report", &path, "--out", &page.to_string_lossy()]);
    assert_eq!(made.status.code(), Some(0));
    assert!(text(&page).contains("Not all that was asked for has been played"));
}

/// An engine that could be told to break a rule is not at hand, but a world in which a plain policy breaks one is.
#[test]
fn a_broken_rule_is_an_exit_code() {
    let herd = scenario("herd");
    let careless = run(&["run", &herd, "--policy", "random"]);
    assert_eq!(careless.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&careless.stdout).contains("no cold server pushed over"));
    let timeless = run(&["run", &herd, "--policy", "random", "--timeless"]);
    assert_eq!(timeless.status.code(), Some(0));
}
