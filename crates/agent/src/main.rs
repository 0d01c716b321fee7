//! The agent; see `heronhoist --help`.

use std::process::ExitCode;

fn main() -> ExitCode {
    heronhoist::main()
}
