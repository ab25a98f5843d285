//! Entry point of the `chervildrift` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    chervildrift::cli::run()
}
