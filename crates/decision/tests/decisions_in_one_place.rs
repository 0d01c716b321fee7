//! Checks where decisions are made: the files listed under `policy` in `deploy/balancer.toml` are the complete decision
//! module, and no other code that is linked into the programs selects a server or finishes a request.
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const POLICY: &str = "crates/decision/src/policy";
/// The maximum line width of the policy files, in characters.
const MAX_LINE_WIDTH: usize = 110;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(file: &str) -> String {
    std::fs::read_to_string(root().join(file)).unwrap_or_else(|e| panic!("{file}: {e}"))
}

/// Returns all files below a folder, as paths relative to the root.
fn files_below(folder: &str) -> BTreeSet<String> {
    let mut files = BTreeSet::new();
    let mut folders = vec![folder.to_string()];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(root().join(&folder)).expect("a folder") {
            let entry = entry.expect("an entry");
            let path = format!("{folder}/{}", entry.file_name().into_string().expect("a UTF-8 file name"));
            match entry.file_type().expect("its type").is_dir() {
                true => folders.push(path),
                false => drop(files.insert(path)),
            }
        }
    }
    files
}

/// Returns the path and code of each source file outside the policy: of this package and of the packages that depend on
/// it. The lab is left out: it depends on this package to compare it with simpler policies, and no deployed program is
/// linked with the lab.
fn sources_elsewhere() -> Vec<(String, String)> {
    let mut sources = Vec::new();
    for entry in std::fs::read_dir(root().join("crates")).expect("the packages") {
        let package = entry.expect("an entry").file_name().into_string().expect("a UTF-8 file name");
        let manifest = read(&format!("crates/{package}/Cargo.toml"));
        if package == "lab" {
            continue;
        }
        assert!(!manifest.contains("heronhoist-lab"), "{package} is linked with the lab");
        if package != "decision" && !manifest.contains("heronhoist-decision") {
            continue;
        }
        let files = files_below(&format!("crates/{package}/src"));
        let is_test = |file: &str| file.ends_with("/tests.rs") || file.contains("/tests/");
        for file in files.into_iter().filter(|f| f.ends_with(".rs") && !f.starts_with(POLICY) && !is_test(f))
        {
            let code: Vec<String> = read(&file).lines().map(without_comment).collect();
            sources.push((file, code.join("\n")));
        }
    }
    assert!(sources.len() > 30, "found only {} source files", sources.len());
    sources
}

/// Returns the identifiers and keywords in `code`.
fn identifiers(code: &str) -> impl Iterator<Item = &str> {
    code.split(|c: char| !c.is_ascii_alphanumeric() && c != '_').filter(|word| !word.is_empty())
}

fn without_comment(line: &str) -> String {
    line.split("//").next().unwrap_or_default().to_string()
}

/// Returns the names of the variants of `Action`, read from its declaration.
fn actions() -> BTreeSet<String> {
    let api = read("crates/decision/src/api/actions.rs");
    let (_, declared) = api.split_once("pub enum Action {").expect("the declaration of Action");
    let (declared, _) = declared.split_once("\n}").expect("the end of the declaration");
    let is_variant_level = |line: &&str| line.starts_with("    ") && !line.starts_with("     ");
    let names = declared.lines().filter(is_variant_level).map(str::trim);
    let names = names.filter(|name| name.starts_with(|c: char| c.is_ascii_uppercase()));
    names.map(|name| name.chars().take_while(char::is_ascii_alphanumeric).collect()).collect()
}

/// Returns the text after the fields that `text`, which follows a variant's name, starts with.
fn after_fields(text: &str) -> &str {
    let text = text.trim_start();
    if !text.starts_with(['{', '(']) {
        return text;
    }
    let mut depth = 0;
    for (at, c) in text.char_indices() {
        match c {
            '{' | '(' => depth += 1,
            '}' | ')' => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return text[at + 1..].trim_start();
        }
    }
    ""
}

#[test]
fn deploy_file_names_exactly_the_policy_files() {
    let deploy = read("deploy/balancer.toml");
    let policy =
        deploy.lines().find(|line| line.starts_with("policy")).expect("a line with the policy files");
    let listed: Vec<String> = policy.split('"').skip(1).step_by(2).map(String::from).collect();
    let unique: BTreeSet<String> = listed.iter().cloned().collect();
    assert_eq!(listed.len(), unique.len(), "a file is listed twice");
    assert_eq!(unique, files_below(POLICY));
    // Each file is declared as a module: otherwise it would not be compiled.
    let module = read(&format!("{POLICY}/mod.rs"));
    let declared = module.lines().filter_map(|line| line.strip_prefix("mod ")?.strip_suffix(';'));
    let mut compiled: BTreeSet<String> = declared.map(|name| format!("{POLICY}/{name}.rs")).collect();
    compiled.insert(format!("{POLICY}/mod.rs"));
    assert_eq!(compiled, unique);
    for file in listed {
        for (number, line) in read(&file).lines().enumerate() {
            let width = line.chars().count();
            assert!(
                width <= MAX_LINE_WIDTH,
                "{file}:{}: {width} characters; at most {MAX_LINE_WIDTH}",
                number + 1
            );
        }
    }
}

/// Other packages match on actions to carry them out. Code that creates an action makes a decision.
#[test]
fn only_the_policy_creates_actions() {
    let actions = actions();
    assert!(actions.contains("Send") && actions.len() > 8, "{actions:?}");
    let (mut carried_out, mut created) = (BTreeSet::new(), Vec::new());
    for (file, code) in sources_elsewhere() {
        for (at, _) in code.match_indices("Action") {
            let is_whole_word = !code[..at].ends_with(|c: char| c.is_ascii_alphanumeric() || c == '_');
            let Some(rest) = code[at + "Action".len()..].strip_prefix("::").filter(|_| is_whole_word) else {
                let renamed = code[at + "Action".len()..].trim_start().starts_with("as ");
                assert!(
                    !renamed || !is_whole_word,
                    "{file}: this test cannot follow actions under another name"
                );
                continue;
            };
            assert!(
                !rest.starts_with(['{', '*']),
                "{file}: this test cannot follow imported variants of Action"
            );
            let name: String = rest.chars().take_while(char::is_ascii_alphanumeric).collect();
            if !actions.contains(&name) {
                continue;
            }
            let remaining = after_fields(&rest[name.len()..]);
            let is_pattern = ["=>", "| ", "if ", "= "].iter().any(|next| remaining.starts_with(next));
            match is_pattern {
                true => drop(carried_out.insert(name)),
                false => created.push(format!("{file}: Action::{name}")),
            }
        }
    }
    assert!(created.is_empty(), "created outside of {POLICY}: {created:#?}");
    assert_eq!(carried_out, actions, "each action must be carried out somewhere");
}

/// Servers are selected at random, and only the policy may do so. Other code that uses random numbers (for names, delays
/// or the policy's seed) must not use the types that identify servers, and the packages that forward requests must not
/// use random numbers at all.
#[test]
fn only_the_policy_draws_servers() {
    for (file, code) in sources_elsewhere() {
        let uses_randomness =
            ["fastrand", "rand::", "getrandom", "RandomState"].iter().any(|word| code.contains(word));
        // The types that contain a `ServerId`. An `EndpointInfo` has only the name of a server.
        let server_types = ["ServerId", "Endpoint", "EndpointUpdate", "EndpointAddress", "Balancer"];
        let uses_servers = identifiers(&code).any(|word| server_types.contains(&word));
        assert!(!uses_randomness || !uses_servers, "{file} uses random numbers and identifies servers");
    }
    for package in ["engine", "routing", "settings", "simhost", "config"] {
        let manifest = read(&format!("crates/{package}/Cargo.toml"));
        assert!(!manifest.contains("rand"), "{package} uses random numbers");
    }
}

/// Attempts begin in only one place: where the engine carries out [`Action::Send`](heronhoist_decision::Action::Send).
#[test]
fn attempts_begin_only_where_a_send_is_carried_out() {
    let mut callers = Vec::new();
    for (file, code) in sources_elsewhere() {
        let calls = code.matches("upstream.attempt(").count() + code.matches("upstream().attempt(").count();
        callers.extend(std::iter::repeat_n(file, calls));
    }
    assert_eq!(callers, ["crates/engine/src/pool/attempts.rs"]);
    let is_code = |file: &String| file.ends_with(".rs") && !file.ends_with("/tests.rs");
    let code: Vec<String> = files_below("crates/engine/src").into_iter().filter(is_code).collect();
    let lines = code.iter().flat_map(|file| read(file).lines().map(String::from).collect::<Vec<_>>());
    let sends = lines.filter(|line| line.contains("self.send(")).count();
    let events = read("crates/engine/src/pool/events.rs");
    let (_, carried_out) = events.split_once("Action::Send {").expect("the match arm of Action::Send");
    let (arm, _) = carried_out.split_once("Action::Cancel").expect("the match arm of Action::Cancel");
    assert!(
        sends == 1 && arm.contains("self.send(request, server, timeout_at, begin_by)"),
        "{sends} calls of send"
    );
}
