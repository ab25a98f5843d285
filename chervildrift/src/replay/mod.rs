//! The `replay` command, which replays recorded traces.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use chervildrift_core::trace;
use quick_error::quick_error;

/// Exit code of a replay whose outcomes differ from the trace.
const FAILURE_EXIT_CODE: u8 = 2;

/// Limit of differences that are printed.
const MAX_PRINTED_DIFFERENCES: usize = 10;

quick_error! {
    /// Error of replaying a trace.
    #[derive(Debug)]
    pub enum Error {
        /// The file can't be read.
        File(path: PathBuf, err: std::io::Error) {
            display("{}: {}", path.display(), err)
            source(err)
        }
        /// The trace is not valid.
        Trace(path: PathBuf, err: trace::Error) {
            display("{}: {}", path.display(), err)
            source(err)
        }
    }
}

/// Replays a trace and compares the outcomes with the recorded ones.
pub fn run(path: &Path) -> Result<ExitCode, Error> {
    let text = std::fs::read_to_string(path).map_err(|err| Error::File(path.to_owned(), err))?;
    let report = trace::replay(&text).map_err(|err| Error::Trace(path.to_owned(), err))?;
    for difference in report.differences.iter().take(MAX_PRINTED_DIFFERENCES) {
        println!("{}:{}", path.display(), difference.line);
        println!("  stated:   {}", difference.expected);
        println!("  replayed: {}", difference.actual);
    }
    println!(
        "{} events, {} differences",
        report.events,
        report.differences.len()
    );
    let identical = report.differences.is_empty();
    Ok(if identical {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(FAILURE_EXIT_CODE)
    })
}
