//! What operators' scripts read of a fleet: the JSON and the pages of the tools, the records that the council keeps, and the figures
//! of a member. Compared with committed files; what differs from run to run is masked.

use crate::golden::assert_golden;
use crate::processes::{lookup, wait, Fleet, Process, Server};
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

/// How the sessions of wrappers that hold a permit for n2 are named.
const WRAPPER: &str = "hold:n2:";

/// Words that stay from run to run, and mean something to those who read them.
fn is_steady(text: &str) -> bool {
    !text.contains(|c: char| c.is_ascii_digit()) || (text.len() == 2 && text.starts_with(['c', 'n', 's']))
}

/// Each path to a value and the value, where it is a word, or its kind; a text that is JSON itself is opened.
fn paths(at: &str, value: &Value, page: &mut String) {
    match value {
        Value::Object(fields) => {
            let _ = writeln!(page, "{at} object");
            for (key, value) in fields {
                let key = if key.parse::<u64>().is_ok() { "NUMBER" } else { key };
                // The session of a wrapper is named by its process and a random number.
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
                let masked = is_user || at.ends_with(".version") || !is_steady(text);
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

/// Numbers masked and blanks taken together.
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

struct Play {
    fleet: Fleet,
    agents: Vec<(Process, SocketAddr)>,
    _servers: [Server; 2],
}

impl Play {
    /// One council process, two agents, stated budgets and permits, and a drain for which both are quiet.
    fn drained(name: &str) -> Play {
        let fleet = Fleet::new(name).council(1);
        let servers = [Server::start(), Server::start()];
        let named = [("s1", servers[0].address), ("s2", servers[1].address)];
        let agents: Vec<_> = ["n1", "n2"].map(|name| fleet.agent_of(name, "east", &named)).into();
        let mut client = fleet.client();
        for (agent, front) in &agents {
            client.living(&agent.name);
            agent.wait_ready();
            assert_eq!(lookup(*front, 1), Some(200));
        }
        let play = Play { fleet, agents, _servers: servers };
        let file = play.fleet.folder.join("budgets.toml");
        std::fs::write(&file, BUDGETS).expect("written");
        play.said(&["fleet", "budgets", &file.to_string_lossy()]);
        play.said(&["fleet", "permits", "--site", "east", "--most", "2"]);
        play.said(&["drain", "server", "s1", "--why", "disk", "--wait"]);
        wait("both are quiet", || {
            let status: Value = serde_json::from_str(&play.said(&["drain", "status", "--json"])).ok()?;
            (status["drains"]["s1"]["quiet"].as_array()?.len() == 2).then_some(())
        });
        play
    }

    fn said(&self, words: &[&str]) -> String {
        let (code, text) = self.fleet.tool(words);
        assert_eq!(code, 0, "{words:?}: {text}");
        text
    }
}

#[test]
fn the_json_and_the_pages_of_a_fleet_stay() {
    let play = Play::drained("pages");
    // A permit that stays out: its wrapper is killed while it runs the command.
    let _ =
        play.fleet.tool(&["hold", "--for", "agent:n2", "--why", "kernel", "--", "sh", "-c", "kill -9 $PPID"]);
    wait("the wrapper's lease is over, and both agents have told what they lack", || {
        let status: Value = serde_json::from_str(&play.said(&["fleet", "status", "--json"])).ok()?;
        let members = status["view"]["members"].as_object()?;
        let wrapper = members.iter().find(|(name, _)| name.starts_with(WRAPPER))?.1;
        let records = status["view"]["records"].as_object()?;
        let told = ["site/seen/n1", "site/seen/n2"].iter().all(|key| records.contains_key(*key));
        let heard_of = status["silent_us"].as_object()?.keys().any(|name| name.starts_with(WRAPPER));
        (wrapper["standing"] != "living" && !heard_of && told).then_some(())
    });
    let drains = play.said(&["drain", "status", "--json"]);
    assert_golden("tests/golden/drain-status.paths", &paths_of(&drains));
    let status = play.said(&["fleet", "status", "--json"]);
    assert_golden("tests/golden/fleet-status.paths", &paths_of(&status));
    for (name, words) in [
        ("fleet-status", &["fleet", "status"][..]),
        ("fleet-budgets", &["fleet", "budgets"][..]),
        ("drain-status", &["drain", "status"][..]),
    ] {
        let user = std::env::var("USER").unwrap_or_else(|_| "operator".into());
        let page = masked(&play.said(words)).replace(&format!("for {user}: "), "for USER: ");
        assert_golden(&format!("tests/golden/{name}.lines"), &page);
    }
    // The figures that a member adds to the page, below those of all agents.
    let figures = play.agents[0].0.figures();
    let names: String = figures.lines().filter(|line| line.contains("app_fleet_")).map(masked).collect();
    assert_golden("tests/golden/metrics-member.txt", &names);
}
