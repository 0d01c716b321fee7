//! Guards the limits of the decision module: it is read aloud line by line after an outage.
use std::path::Path;

const LINES_MOST: usize = 1_200;
const WIDTH_MOST: usize = 110;

/// The files that `policy` in deploy/balancer.toml names; the limit is on all of them together.
const FILES: [&str; 2] = ["decide.rs", "kinds.rs"];

#[test]
fn the_decision_module_stays_readable_aloud() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let deploy = std::fs::read_to_string(root.join("../../deploy/balancer.toml")).expect("the deploy file");
    let policy = deploy.lines().find(|line| line.starts_with("policy")).expect("it names the policy files");
    assert_eq!(policy.matches(".rs").count(), FILES.len(), "{policy}");
    let mut lines = 0;
    for file in FILES {
        assert!(policy.contains(&format!("crates/decision/src/{file}")), "{policy}");
        let text = std::fs::read_to_string(root.join("src").join(file)).expect("a policy file");
        lines += text.lines().filter(|line| !line.trim().is_empty()).count();
        for (number, line) in text.lines().enumerate() {
            let width = line.chars().count();
            assert!(width <= WIDTH_MOST, "{file}:{}: {width} characters; at most {WIDTH_MOST}", number + 1);
        }
    }
    assert!(lines <= LINES_MOST, "{lines} lines that are not blank; at most {LINES_MOST}");
}
