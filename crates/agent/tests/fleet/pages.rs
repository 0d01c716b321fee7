//! Compares the output that operators' scripts read with golden files: the JSON and the pages of the commands, the stored
//! records, and the metrics of a member. Values that differ from run to run are masked.

use crate::golden::assert_golden;
use crate::processes::{lookup, wait_until, Fleet, Process, Server};
use serde_json::Value;
use std::fmt::Write;
use std::net::SocketAddr;

const BUDGETS: &str = "[[budget]]\nof = \"servers\"\nby = \"all\"\nmost = 1\n\
    [[budget]]\nof = \"servers\"\nby = \"site\"\nonly = \"east\"\nmost = \"50%\"\n\
    [[budget]]\nof = \"servers\"\nby = \"kind\"\nmost = 1\n[[budget]]\nof = \"servers\"\nby = \"cell\"\nmost = 1\n\
    [[budget]]\nof = \"agents\"\nby = \"site\"\nmost = 1\n\
    [[server]]\nname = \"s1\"\nsite = \"east\"\nkind = \"large\"\ncell = \"a\"\n\
    [[server]]\nname = \"s2\"\nsite = \"west\"\nkind = \"small\"\ncell = \"b\"\n\
    [[server]]\nname = \"s3\"\nsite = \"east\"\nkind = \"small\"\ncell = \"a\"\n";

/// The prefix of the names of wrappers that hold a permit for n2.
const WRAPPER: &str = "hold:n2:";

/// Whether a text is the same in every run.
fn is_stable(text: &str) -> bool {
    !text.contains(|c: char| c.is_ascii_digit()) || (text.len() == 2 && text.starts_with(['c', 'n', 's']))
}

/// Writes each path in a JSON value, with the value if it is a stable text, or else its type. A text that is JSON itself is
/// descended into.
fn paths(at: &str, value: &Value, page: &mut String) {
    match value {
        Value::Object(fields) => {
            let _ = writeln!(page, "{at} object");
            for (key, value) in fields {
                let key = if key.parse::<u64>().is_ok() { "NUMBER" } else { key };
                // A wrapper's name contains its process id and a random number.
                let key = if key.starts_with(WRAPPER) { "WRAPPER" } else { key };
                paths(&format!("{at}.{key}"), value, page);
            }
        }
        Value::Array(items) => {
            let _ = writeln!(page, "{at} array of {}", items.len());
            items.iter().for_each(|value| paths(&format!("{at}[]"), value, page));
        }
        Value::String(text) => match serde_json::from_str::<Value>(text) {
            Ok(inner) if !inner.is_number() => paths(&format!("{at} as JSON"), &inner, page),
            _ => {
                let is_user = at.ends_with("drain.by") || at.contains("drain/") && at.ends_with(".by");
                let masked = is_user || at.ends_with(".version") || !is_stable(text);
                let shown = if masked { "string".to_string() } else { format!("{text:?}") };
                let _ = writeln!(page, "{at} {shown}");
            }
        },
        Value::Number(_) => {
            let _ = writeln!(page, "{at} number");
        }
        Value::Bool(_) | Value::Null => {
            let _ = writeln!(page, "{at} {value}");
        }
    }
}

fn paths_of(text: &str) -> String {
    let mut page = String::new();
    paths("", &serde_json::from_str(text).expect("JSON"), &mut page);
    page
}

/// Masks numbers and other variable words, and collapses white space.
fn masked(text: &str) -> String {
    let mut page = String::new();
    for line in text.lines() {
        for word in line.split_whitespace() {
            let bare = word.trim_end_matches(',');
            page += match bare {
                _ if bare.parse::<SocketAddr>().is_ok() => "ADDRESS",
                _ if bare.parse::<f64>().is_ok() => "NUMBER",
                _ if bare.starts_with(WRAPPER) => "WRAPPER",
                _ if bare == env!("CARGO_PKG_VERSION") => "VERSION",
                _ => bare,
            };
            page += &word[bare.len()..];
            page += " ";
        }
        page += "\n";
    }
    page
}

struct TestFleet {
    fleet: Fleet,
    agents: Vec<(Process, SocketAddr)>,
    _servers: [Server; 2],
}

impl TestFleet {
    /// Starts one coordinator process and two agents, sets budgets and permits, and drains a server until both agents have
    /// acknowledged the drain.
    fn drained(name: &str) -> TestFleet {
        let fleet = Fleet::new(name).with_coordinators(1);
        let servers = [Server::start(), Server::start()];
        let endpoints = [("s1", servers[0].address), ("s2", servers[1].address)];
        let agents: Vec<_> =
            ["n1", "n2"].map(|name| fleet.agent_with_servers(name, "east", &endpoints)).into();
        let mut client = fleet.client();
        for (agent, front) in &agents {
            client.wait_living(&agent.name);
            agent.wait_ready();
            assert_eq!(lookup(*front, 1), Some(200));
        }
        let test = TestFleet { fleet, agents, _servers: servers };
        let file = test.fleet.directory.join("budgets.toml");
        std::fs::write(&file, BUDGETS).expect("written");
        test.run(&["fleet", "budgets", &file.to_string_lossy()]);
        test.run(&["fleet", "permits", "--site", "east", "--most", "2"]);
        test.run(&["drain", "server", "s1", "--why", "disk", "--wait"]);
        wait_until("both agents have acknowledged the drain", || {
            let status: Value = serde_json::from_str(&test.run(&["drain", "status", "--json"])).ok()?;
            (status["drains"]["s1"]["quiet"].as_array()?.len() == 2).then_some(())
        });
        test
    }

    fn run(&self, arguments: &[&str]) -> String {
        let (code, text) = self.fleet.run(arguments);
        assert_eq!(code, 0, "{arguments:?}: {text}");
        text
    }
}

#[test]
fn json_and_pages_of_a_fleet_match_the_golden_files() {
    let test = TestFleet::drained("pages");
    // A permit that remains outstanding, because its wrapper is killed while it runs the command.
    let _ =
        test.fleet.run(&["hold", "--for", "agent:n2", "--why", "kernel", "--", "sh", "-c", "kill -9 $PPID"]);
    wait_until("the wrapper's lease has expired, and both agents have recorded their observations", || {
        let status: Value = serde_json::from_str(&test.run(&["fleet", "status", "--json"])).ok()?;
        let members = status["view"]["members"].as_object()?;
        let wrapper = members.iter().find(|(name, _)| name.starts_with(WRAPPER))?.1;
        let records = status["view"]["records"].as_object()?;
        let observed = ["site/seen/n1", "site/seen/n2"].iter().all(|key| records.contains_key(*key));
        let is_awaited = status["silent_us"].as_object()?.keys().any(|name| name.starts_with(WRAPPER));
        (wrapper["standing"] != "living" && !is_awaited && observed).then_some(())
    });
    let drains = test.run(&["drain", "status", "--json"]);
    assert_golden("tests/golden/drain-status.paths", &paths_of(&drains));
    let status = test.run(&["fleet", "status", "--json"]);
    assert_golden("tests/golden/fleet-status.paths", &paths_of(&status));
    for (name, arguments) in [
        ("fleet-status", &["fleet", "status"][..]),
        ("fleet-budgets", &["fleet", "budgets"][..]),
        ("drain-status", &["drain", "status"][..]),
    ] {
        let user = std::env::var("USER").unwrap_or_else(|_| "operator".into());
        let page = masked(&test.run(arguments)).replace(&format!("for {user}: "), "for USER: ");
        assert_golden(&format!("tests/golden/{name}.lines"), &page);
    }
    // The metrics that a member adds to the page.
    let metrics = test.agents[0].0.metrics_page();
    let names: String = metrics.lines().filter(|line| line.contains("app_fleet_")).map(masked).collect();
    assert_golden("tests/golden/metrics-member.txt", &names);
}
