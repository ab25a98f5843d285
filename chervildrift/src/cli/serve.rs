//! The `serve` command, which runs one VM.

use std::path::Path;
use std::process::ExitCode;

use chervildrift_core::config::{Settings, check_settings};
use slog::{info, warn};
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::Error;
use crate::logs::Logs;
use crate::serve;

/// Runs a VM until a signal or another process with its name stops it.
///
/// The first SIGTERM or SIGINT starts a graceful stop, a second one exits at once.
pub(super) fn run(config: &Path, record: Option<&Path>) -> Result<ExitCode, Error> {
    let settings = read_settings(config)?;
    let logs = Logs::new(settings.log, settings.vm.as_str());
    let log = logs.logger();
    let handle = serve::spawn(settings, record, log.clone())?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let graceful = runtime.block_on(async {
        let mut term = signal(SignalKind::terminate())?;
        let mut int = signal(SignalKind::interrupt())?;
        tokio::select! {
            () = wait_for_either(&mut term, &mut int) => info!(log, "stopping"),
            () = handle.wait_replaced() => info!(log, "stopping: another process uses this VM name"),
        }
        tokio::select! {
            graceful = handle.stop() => Ok::<_, std::io::Error>(graceful),
            () = wait_for_either(&mut term, &mut int) => {
                warn!(log, "ending at once on a second signal");
                Ok(false)
            }
        }
    })?;
    Ok(if graceful {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

async fn wait_for_either(term: &mut Signal, int: &mut Signal) {
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}

fn read_settings(path: &Path) -> Result<Settings, Error> {
    let text = std::fs::read_to_string(path).map_err(|err| Error::File(path.to_owned(), err))?;
    check_settings(&text).map_err(|mut findings| {
        // A settings file that can't be parsed has exactly one finding.
        Error::Settings(path.to_owned(), findings.remove(0))
    })
}
