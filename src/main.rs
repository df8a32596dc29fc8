//! The `sapphirewell` command.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    sapphirewell::command::main(&arguments)
}
