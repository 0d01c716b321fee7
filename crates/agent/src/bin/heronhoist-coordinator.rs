//! The coordinator process, which `heronhoist council` executes. It is a separate program so that an agent does not load the
//! consensus library and the store into its memory.

use std::process::ExitCode;

fn main() -> ExitCode {
    heronhoist::coordinator_main(env!("CARGO_BIN_NAME"))
}
