//! The `check` command, which validates files and changes nothing.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use chervildrift_core::config::{
    Finding, check_relay_settings, check_settings, settings_reference,
};
use chervildrift_core::relay::{
    ConfigurationChange, ConfigurationFinding, Routes, Severity, check_configuration,
    compare_configurations,
};
use chervildrift_platform::catalog::decode_routes;
use clap::Args;
use serde::Serialize;
use serde_json::json;

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
    /// Configuration of the platform to check before it is published.
    #[arg(long, conflicts_with_all = ["paths", "settings", "relay", "explain"])]
    routes: Option<PathBuf>,
    /// Configuration in force, with which that of `--routes` is compared.
    #[arg(long, requires = "routes")]
    against: Option<PathBuf>,
    /// Prints what was found in the configuration as JSON.
    #[arg(long, requires = "routes")]
    json: bool,
    /// Prints the fields of the files with their defaults.
    #[arg(long)]
    explain: bool,
}

/// Validates the files and prints each mistake with its position and remedy.
pub(super) fn run(options: &Options) -> Result<ExitCode, Error> {
    if options.explain {
        print!("{}", settings_reference());
    }
    if let Some(path) = &options.routes {
        return check_routes(path, options.against.as_deref(), options.json);
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

/// Findings of a configuration of the platform.
#[derive(Debug, Default, Serialize)]
struct RoutesReport {
    findings: Vec<ConfigurationFinding>,
    changes: Vec<ConfigurationChange>,
}

impl RoutesReport {
    /// Reads a configuration that follows on `before`; `None` if it can't be decoded.
    fn read(&mut self, path: &Path, before: &Routes) -> Result<Option<Routes>, Error> {
        let content = std::fs::read(path).map_err(|err| Error::File(path.to_owned(), err))?;
        match decode_routes(&content, before) {
            Ok(decoded) => {
                let odd = decoded.odd.iter().map(ToString::to_string);
                let error = |place| ConfigurationFinding::error(place, "can't be decoded");
                self.findings.extend(odd.map(error));
                Ok(Some(decoded.routes))
            }
            Err(err) => {
                let place = path.display().to_string();
                let finding = ConfigurationFinding::error(place, err.to_string());
                self.findings.push(finding);
                Ok(None)
            }
        }
    }
}

/// Checks a configuration of the platform, and compares it with the one in force if that is given.
fn check_routes(path: &Path, in_force: Option<&Path>, json: bool) -> Result<ExitCode, Error> {
    let mut report = RoutesReport::default();
    let before = match in_force {
        Some(path) => report.read(path, &Routes::default())?,
        None => None,
    };
    let known = before.clone().unwrap_or_default();
    if let Some(after) = report.read(path, &known)? {
        report.findings.extend(check_configuration(&after));
        if let Some(before) = before {
            let (changes, outdated) = compare_configurations(&before, &after);
            report.changes = changes;
            report.findings.extend(outdated);
        }
    }
    if json {
        println!("{}", json!(report));
    } else {
        report.findings.iter().for_each(|it| println!("{it}"));
        report.changes.iter().for_each(|it| println!("{it}"));
        let (findings, changes) = (report.findings.len(), report.changes.len());
        println!("{findings} findings, {changes} changes");
    }
    let is_error = |it: &ConfigurationFinding| it.severity == Severity::Error;
    Ok(if report.findings.iter().any(is_error) {
        ExitCode::from(FAILURE_EXIT_CODE)
    } else {
        ExitCode::SUCCESS
    })
}
