//! Guards the limits of the decision module: it is read aloud line by line after an outage.
use std::path::Path;

const LINES_MOST: usize = 1_200;
const WIDTH_MOST: usize = 110;

#[test]
fn the_decision_module_stays_readable_aloud() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let deploy = std::fs::read_to_string(root.join("../../deploy/balancer.toml")).expect("the deploy file");
    let policy = deploy.lines().find(|line| line.starts_with("policy")).expect("it names the policy files");
    // Every file of the module is named, none that is not; every line counts, blank ones and comments too.
    let mut named: Vec<String> = policy.split('"').skip(1).step_by(2).map(String::from).collect();
    let folder = "crates/decision/src/policy";
    let entries = std::fs::read_dir(root.join("../..").join(folder)).expect("the module's folder");
    let there = entries.map(|e| e.expect("an entry").file_name().into_string().expect("a plain name"));
    let mut there: Vec<String> = there.map(|name| format!("{folder}/{name}")).collect();
    named.sort();
    there.sort();
    assert_eq!(named, there);
    let mut lines = 0;
    for file in named {
        let text = std::fs::read_to_string(root.join("../..").join(&file)).expect("a policy file");
        lines += text.lines().count();
        for (number, line) in text.lines().enumerate() {
            let width = line.chars().count();
            assert!(width <= WIDTH_MOST, "{file}:{}: {width} characters; at most {WIDTH_MOST}", number + 1);
        }
    }
    assert!(lines <= LINES_MOST, "{lines} lines; at most {LINES_MOST}");
}
