//! The agent's program; see `heronhoist --help`.

use std::process::ExitCode;

fn main() -> ExitCode {
    heronhoist::main()
}
