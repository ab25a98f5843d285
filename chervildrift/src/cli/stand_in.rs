//! The `stand-in` commands, which run stand-ins of external systems.

use std::net::SocketAddr;
use std::time::Duration;

use chervildrift_standin::{platform as standin_platform, upstream as standin_upstream};
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};

use super::{Error, UpstreamOptions};

/// Runs the stand-in of the platform until SIGTERM or SIGINT.
pub(super) fn run_platform(listen: SocketAddr) -> Result<(), Error> {
    let handle = standin_platform::spawn(&standin_platform::Options {
        address: listen,
        ..standin_platform::Options::default()
    })?;
    println!("listening on {}", handle.address());
    wait_for_stop_signal()?;
    drop(handle);
    Ok(())
}

/// Runs the stand-in of an upstream until SIGTERM or SIGINT.
pub(super) fn run_upstream(options: &UpstreamOptions) -> Result<(), Error> {
    let role = match options.follow {
        Some(_) => standin_upstream::Role::Replica,
        None => standin_upstream::Role::Primary,
    };
    let handle = standin_upstream::spawn(standin_upstream::Options {
        address: options.listen,
        role,
        primary_address: options.follow.map(|address| address.to_string()),
        statement_time: Duration::from_millis(options.statement_ms),
        connect_time: Duration::from_millis(options.connect_ms),
        max_connections: options.connections,
        ..standin_upstream::Options::default()
    })?;
    println!("listening on {}", handle.address());
    wait_for_stop_signal()?;
    drop(handle);
    Ok(())
}

fn wait_for_stop_signal() -> Result<(), Error> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut term = signal(SignalKind::terminate())?;
        let mut int = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        Ok(())
    })
}
