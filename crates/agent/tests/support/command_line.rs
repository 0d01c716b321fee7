//! The command line that a program accepts, read from the short help of each of its commands, without the descriptions.

use std::process::Command;

/// Returns the name, value, default and possible values of an option or argument, without its description.
fn signature(line: &str) -> String {
    let line = line.trim();
    let name = line.split("  ").next().unwrap_or_default();
    let bracketed = |label: &str| {
        let start = line.find(&format!("[{label}: "))?;
        let text = &line[start..];
        Some(&text[..=text.find(']')?])
    };
    let values: Vec<&str> = ["default", "possible values"].into_iter().filter_map(bracketed).collect();
    [&[name], &values[..]].concat().join(" ")
}

/// Returns one line for the usage and for each argument, option and command, and then the same for each subcommand.
pub fn describe(program: &str, commands: &[&str]) -> String {
    // The width is large so that descriptions, and the brackets at their ends, are not wrapped.
    let help = Command::new(program)
        .args(commands)
        .arg("-h")
        .env("COLUMNS", "1000")
        .output()
        .expect("cannot start the program");
    assert_eq!(help.status.code(), Some(0), "{commands:?}");
    let help = String::from_utf8(help.stdout).expect("UTF-8");
    let mut page = String::new();
    let mut section = "";
    let mut subcommands = Vec::new();
    for line in help.lines() {
        let heading = ["Arguments:", "Options:", "Commands:"].into_iter().find(|heading| *heading == line);
        section = heading.unwrap_or(if line.is_empty() { "" } else { section });
        if line.starts_with("Usage: ") {
            page += &format!("{line}\n");
        } else if heading.is_none() && !section.is_empty() {
            page += &format!("  {} {}\n", section.to_lowercase(), signature(line));
            let command = line.split_whitespace().next().unwrap_or_default();
            if section == "Commands:" && command != "help" {
                subcommands.push(command);
            }
        }
    }
    for command in subcommands {
        page += &describe(program, &[commands, &[command]].concat());
    }
    page
}
