//! `check`: validation of files without any change.

use std::path::PathBuf;
use std::process::ExitCode;

use chervildrift_core::config::explain;
use clap::Args;

use super::FAILURE;
use crate::declare::{Error, collect};

/// Options of `check`.
#[derive(Debug, Args)]
pub(super) struct Options {
    /// Operators' files, or folders in which files named `chervildrift.yaml` are looked for.
    paths: Vec<PathBuf>,
    /// Settings file of a VM to check as well.
    #[arg(long)]
    settings: Vec<PathBuf>,
    /// Prints the fields of the files with their defaults.
    #[arg(long)]
    explain: bool,
}

/// Checks the files and prints each mistake with its place and remedy.
pub(super) fn run(options: &Options) -> Result<ExitCode, Error> {
    if options.explain {
        print!("{}", explain());
    }
    let mut mistakes = 0;
    for path in &options.settings {
        let text = std::fs::read_to_string(path).map_err(|err| Error::File(path.clone(), err))?;
        if let Err(findings) = chervildrift_core::config::check_settings(&text) {
            mistakes += findings.len();
            for finding in &findings {
                println!("{}:{finding}", path.display());
            }
        }
    }
    let collected = collect(&options.paths)?;
    for (path, finding) in &collected.findings {
        println!("{}:{finding}", path.display());
    }
    mistakes += collected.findings.len();
    if mistakes > 0 {
        println!("{mistakes} mistakes");
        return Ok(ExitCode::from(FAILURE));
    }
    println!(
        "{} services are declared without mistakes",
        collected.declarations.len()
    );
    Ok(ExitCode::SUCCESS)
}
