//! The `check` command, which validates files and changes nothing.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use chervildrift_core::config::{
    Finding, check_relay_settings, check_settings, settings_reference,
};
use clap::Args;

use super::FAILURE_EXIT_CODE;
use crate::operator_files::{Error, collect};

/// Options of `check`.
#[derive(Debug, Args)]
pub(super) struct Options {
    /// Operators' files, or folders to search for files named `chervildrift.yaml`.
    paths: Vec<PathBuf>,
    /// Settings file of a VM to check as well.
    #[arg(long)]
    settings: Vec<PathBuf>,
    /// Settings file of a relaying VM to check as well.
    #[arg(long)]
    relay: Vec<PathBuf>,
    /// Prints the fields of the files with their defaults.
    #[arg(long)]
    explain: bool,
}

/// Validates the files and prints each mistake with its position and remedy.
pub(super) fn run(options: &Options) -> Result<ExitCode, Error> {
    if options.explain {
        print!("{}", settings_reference());
    }
    let mut mistakes = 0;
    for path in &options.settings {
        mistakes += check_file(path, |text| check_settings(text).err())?;
    }
    for path in &options.relay {
        mistakes += check_file(path, |text| check_relay_settings(text).err())?;
    }
    let collected = collect(&options.paths)?;
    for (path, finding) in &collected.findings {
        println!("{}:{finding}", path.display());
    }
    mistakes += collected.findings.len();
    if mistakes > 0 {
        println!("{mistakes} mistakes");
        return Ok(ExitCode::from(FAILURE_EXIT_CODE));
    }
    println!(
        "{} services are declared without mistakes",
        collected.declarations.len()
    );
    Ok(ExitCode::SUCCESS)
}

/// Prints the mistakes of a settings file and returns their number.
fn check_file(path: &Path, check: impl Fn(&str) -> Option<Vec<Finding>>) -> Result<usize, Error> {
    let text = std::fs::read_to_string(path).map_err(|err| Error::File(path.to_owned(), err))?;
    let findings = check(&text).unwrap_or_default();
    for finding in &findings {
        println!("{}:{finding}", path.display());
    }
    Ok(findings.len())
}
