//! The program of a council process, which `heronhoist council` becomes. It stands by itself so that an agent does not carry
//! the consensus library and the store in its memory.

use std::process::ExitCode;

fn main() -> ExitCode {
    heronhoist::council_main()
}
