//! The `relay` command, which runs one VM that relays callers' sessions.

use std::path::Path;
use std::process::ExitCode;

use chervildrift_core::config::{RelaySettings, check_relay_settings};

use super::Error;
use crate::logs::Logs;
use crate::relay;

/// Runs a relaying VM until it stops.
pub(super) fn run(config: &Path) -> Result<ExitCode, Error> {
    let settings = read_settings(config)?;
    let logs = Logs::new(settings.log, settings.vm.as_str());
    let graceful = relay::run(settings, config, logs.logger().clone())?;
    Ok(if graceful {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Reads the settings file of a relaying VM.
pub(crate) fn read_settings(path: &Path) -> Result<RelaySettings, Error> {
    let text = std::fs::read_to_string(path).map_err(|err| Error::File(path.to_owned(), err))?;
    check_relay_settings(&text).map_err(|mut findings| {
        // Only the first finding is reported; a file that can't be parsed has exactly one.
        Error::Settings(path.to_owned(), findings.remove(0))
    })
}
