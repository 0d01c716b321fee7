//! The earlier name of `heronhoist-coordinator`, under which existing installations start the same program.

use std::process::ExitCode;

fn main() -> ExitCode {
    heronhoist::coordinator_main(env!("CARGO_BIN_NAME"))
}
