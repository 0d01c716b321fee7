//! The program of a coordination process, which `heronhoist council` becomes. It stands by itself so that an agent does not
//! carry the consensus library and the store in its memory.

use std::process::ExitCode;

fn main() -> ExitCode {
    heronhoist::coordinator_main(env!("CARGO_BIN_NAME"))
}
