//! Guards where decisions are made: the files that the deploy file lists under `policy` are the decision module, all of it,
//! and nothing else that is linked into the programs chooses a server or ends a request.
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const POLICY: &str = "crates/decision/src/policy";
const WIDTH_MOST: usize = 110;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(file: &str) -> String {
    std::fs::read_to_string(root().join(file)).unwrap_or_else(|e| panic!("{file}: {e}"))
}

/// Every file below a folder, by its path from the root.
fn files_below(folder: &str) -> BTreeSet<String> {
    let mut files = BTreeSet::new();
    let mut folders = vec![folder.to_string()];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(root().join(&folder)).expect("a folder") {
            let entry = entry.expect("an entry");
            let path = format!("{folder}/{}", entry.file_name().into_string().expect("a plain name"));
            match entry.file_type().expect("its type").is_dir() {
                true => folders.push(path),
                false => drop(files.insert(path)),
            }
        }
    }
    files
}

/// The sources of the packages that know the decision module, its own left out and its policy too. The lab knows it to
/// play plain policies beside it, and no program that is deployed is linked with the lab.
fn sources_elsewhere() -> Vec<(String, String)> {
    let mut sources = Vec::new();
    for entry in std::fs::read_dir(root().join("crates")).expect("the packages") {
        let package = entry.expect("an entry").file_name().into_string().expect("a plain name");
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
    assert!(sources.len() > 30, "{} sources only", sources.len());
    sources
}

/// The identifiers and keywords of a source.
fn words(code: &str) -> impl Iterator<Item = &str> {
    code.split(|c: char| !c.is_ascii_alphanumeric() && c != '_').filter(|word| !word.is_empty())
}

fn without_comment(line: &str) -> String {
    line.split("//").next().unwrap_or_default().to_string()
}

/// The variants of the module's `Action`, as its interface declares them.
fn actions() -> BTreeSet<String> {
    let api = read("crates/decision/src/api/actions.rs");
    let (_, declared) = api.split_once("pub enum Action {").expect("the actions");
    let (declared, _) = declared.split_once("\n}").expect("their end");
    let one_deep = |line: &&str| line.starts_with("    ") && !line.starts_with("     ");
    let names = declared.lines().filter(one_deep).map(str::trim);
    let names = names.filter(|name| name.starts_with(|c: char| c.is_ascii_uppercase()));
    names.map(|name| name.chars().take_while(char::is_ascii_alphanumeric).collect()).collect()
}

/// What follows a variant's name, its fields left out.
fn behind_fields(text: &str) -> &str {
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
    let policy = deploy.lines().find(|line| line.starts_with("policy")).expect("it names the policy files");
    let named: Vec<String> = policy.split('"').skip(1).step_by(2).map(String::from).collect();
    let named_once: BTreeSet<String> = named.iter().cloned().collect();
    assert_eq!(named.len(), named_once.len(), "one is named twice");
    assert_eq!(named_once, files_below(POLICY));
    // Each belongs to the module that is built: a file that nothing declares decides nothing.
    let module = read(&format!("{POLICY}/mod.rs"));
    let declared = module.lines().filter_map(|line| line.strip_prefix("mod ")?.strip_suffix(';'));
    let mut built: BTreeSet<String> = declared.map(|name| format!("{POLICY}/{name}.rs")).collect();
    built.insert(format!("{POLICY}/mod.rs"));
    assert_eq!(built, named_once);
    for file in named {
        for (number, line) in read(&file).lines().enumerate() {
            let width = line.chars().count();
            assert!(width <= WIDTH_MOST, "{file}:{}: {width} characters; at most {WIDTH_MOST}", number + 1);
        }
    }
}

/// Other packages match on actions to carry them out; whoever creates one decides.
#[test]
fn only_the_policy_creates_actions() {
    let actions = actions();
    assert!(actions.contains("Send") && actions.len() > 8, "{actions:?}");
    let (mut carried_out, mut made) = (BTreeSet::new(), Vec::new());
    for (file, code) in sources_elsewhere() {
        for (at, _) in code.match_indices("Action") {
            let own_word = !code[..at].ends_with(|c: char| c.is_ascii_alphanumeric() || c == '_');
            let Some(rest) = code[at + "Action".len()..].strip_prefix("::").filter(|_| own_word) else {
                let renamed = code[at + "Action".len()..].trim_start().starts_with("as ");
                assert!(!renamed || !own_word, "{file}: actions under another name can't be followed");
                continue;
            };
            assert!(!rest.starts_with(['{', '*']), "{file}: actions without their name can't be followed");
            let name: String = rest.chars().take_while(char::is_ascii_alphanumeric).collect();
            if !actions.contains(&name) {
                continue;
            }
            let behind = behind_fields(&rest[name.len()..]);
            let is_pattern = ["=>", "| ", "if ", "= "].iter().any(|next| behind.starts_with(next));
            match is_pattern {
                true => drop(carried_out.insert(name)),
                false => made.push(format!("{file}: Action::{name}")),
            }
        }
    }
    assert!(made.is_empty(), "made outside of {POLICY}: {made:#?}");
    assert_eq!(carried_out, actions, "each action is carried out somewhere");
}

/// A server is chosen by draws, and draws are made by the policy: whoever else draws at random (names, pauses, the seed
/// of the draws) knows no server as the module numbers them, and what passes requests on has no draws at all.
#[test]
fn only_the_policy_draws_servers() {
    for (file, code) in sources_elsewhere() {
        let draws = ["fastrand", "rand::", "getrandom", "RandomState"].iter().any(|word| code.contains(word));
        // The types that hold a server's number; an `EndpointInfo` of a list names a server and has none.
        let numbered = ["ServerId", "Endpoint", "EndpointUpdate", "EndpointAddress", "Balancer"];
        let knows_servers = words(&code).any(|word| numbered.contains(&word));
        assert!(!draws || !knows_servers, "{file} draws at random, and knows servers");
    }
    for package in ["engine", "routing", "settings", "simhost", "config"] {
        let manifest = read(&format!("crates/{package}/Cargo.toml"));
        assert!(!manifest.contains("rand"), "{package} draws at random");
    }
}

/// An attempt begins in one place: where the engine carries out [`Action::Send`](heronhoist_decision::Action::Send).
#[test]
fn attempts_begin_only_where_a_send_is_carried_out() {
    let mut begun = Vec::new();
    for (file, code) in sources_elsewhere() {
        let calls = code.matches("upstream.attempt(").count() + code.matches("upstream().attempt(").count();
        begun.extend(std::iter::repeat_n(file, calls));
    }
    assert_eq!(begun, ["crates/engine/src/pool/attempts.rs"]);
    let is_code = |file: &String| file.ends_with(".rs") && !file.ends_with("/tests.rs");
    let code: Vec<String> = files_below("crates/engine/src").into_iter().filter(is_code).collect();
    let lines = code.iter().flat_map(|file| read(file).lines().map(String::from).collect::<Vec<_>>());
    let sends = lines.filter(|line| line.contains("self.send(")).count();
    let events = read("crates/engine/src/pool/events.rs");
    let (_, carried_out) = events.split_once("Action::Send {").expect("where a send is carried out");
    let (arm, _) = carried_out.split_once("Action::Cancel").expect("the next action");
    assert!(sends == 1 && arm.contains("self.send(request, server, timeout_at, begin_by)"), "{sends} calls");
}
