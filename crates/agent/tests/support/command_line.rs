//! What a program's command line takes, read from the short help of each of its commands, without the prose.

use std::process::Command;

/// The name, value, default and possible values of an option or argument, without its description.
fn form(line: &str) -> String {
    let line = line.trim();
    let name = line.split("  ").next().unwrap_or_default();
    let bracketed = |what: &str| {
        let from = line.find(&format!("[{what}: "))?;
        let text = &line[from..];
        Some(&text[..=text.find(']')?])
    };
    let more: Vec<&str> = ["default", "possible values"].into_iter().filter_map(bracketed).collect();
    [&[name], &more[..]].concat().join(" ")
}

/// One line for the usage, each argument, each option and each command, and the same of each command below.
pub fn of(program: &str, commands: &[&str]) -> String {
    // Lines of a terminal's width would break descriptions, and with them what stands in brackets at their ends.
    let help =
        Command::new(program).args(commands).arg("-h").env("COLUMNS", "1000").output().expect("it starts");
    assert_eq!(help.status.code(), Some(0), "{commands:?}");
    let help = String::from_utf8(help.stdout).expect("UTF-8");
    let mut page = String::new();
    let mut section = "";
    let mut below = Vec::new();
    for line in help.lines() {
        let heading = ["Arguments:", "Options:", "Commands:"].into_iter().find(|heading| *heading == line);
        section = heading.unwrap_or(if line.is_empty() { "" } else { section });
        if line.starts_with("Usage: ") {
            page += &format!("{line}\n");
        } else if heading.is_none() && !section.is_empty() {
            page += &format!("  {} {}\n", section.to_lowercase(), form(line));
            let command = line.split_whitespace().next().unwrap_or_default();
            if section == "Commands:" && command != "help" {
                below.push(command);
            }
        }
    }
    for command in below {
        page += &of(program, &[commands, &[command]].concat());
    }
    page
}
