//! The commands and flags of the agent's programs must stay compatible with the scripts of operators.

#[path = "support/command_line.rs"]
mod command_line;
#[path = "support/golden.rs"]
mod golden;

#[test]
fn commands_and_flags_of_the_agent_stay() {
    let page = command_line::describe(env!("CARGO_BIN_EXE_heronhoist"), &[]);
    golden::assert_golden("tests/golden/heronhoist.flags", &page);
}

#[test]
fn flags_of_the_coordinator_process_stay() {
    let page = command_line::describe(env!("CARGO_BIN_EXE_heronhoist-council"), &[]);
    golden::assert_golden("tests/golden/heronhoist-council.flags", &page);
}
