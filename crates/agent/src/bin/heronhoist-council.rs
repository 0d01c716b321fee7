//! The former name of `heronhoist-coordinator`, kept for existing installations; both run the same code.

use std::process::ExitCode;

fn main() -> ExitCode {
    heronhoist::coordinator_main(env!("CARGO_BIN_NAME"))
}
