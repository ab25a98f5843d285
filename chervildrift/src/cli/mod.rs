//! Command line interface.

mod check;
mod error;
mod relay;
mod serve;
mod stand_in;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};

pub use self::error::Error;
pub(crate) use self::relay::read_settings as read_relay_settings;

/// Exit code of a command that found mistakes or failed.
const FAILURE_EXIT_CODE: u8 = 2;

/// A database proxy with session consistency.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs a demo fleet in one process, to try out reads and writes.
    Try(crate::try_out::Options),
    /// Runs one VM of the system.
    Serve {
        /// Settings file.
        #[arg(long)]
        config: PathBuf,
        /// Folder for traces of the failover coordinators, for `replay`.
        #[arg(long)]
        record: Option<PathBuf>,
    },
    /// Runs one VM that relays callers' sessions on the platform.
    Relay {
        /// Settings file.
        #[arg(long)]
        config: PathBuf,
    },
    /// Validates operators' files and settings files; changes nothing.
    Check(check::Options),
    /// Publishes operators' files as one configuration.
    Publish(crate::publish::Options),
    /// Prints a report.
    #[command(subcommand)]
    Report(Report),
    /// Explains what decided the outcome of a request, from the logs of VMs.
    Explain(crate::explain::Options),
    /// Replays a recorded trace and compares the results with the recorded outcomes.
    Replay {
        /// Trace file.
        trace: PathBuf,
    },
    /// Runs a stand-in of an external system, for tests.
    #[command(subcommand)]
    StandIn(StandIn),
}

#[derive(Debug, Subcommand)]
enum Report {
    /// Burn rates of error budgets, by service, kind and rank.
    Burn(crate::report::Options),
}

#[derive(Debug, Subcommand)]
enum StandIn {
    /// Table service, object store and list of VMs.
    Platform {
        /// Address to listen on.
        #[arg(long)]
        listen: SocketAddr,
    },
    /// One upstream of a database group.
    Upstream(UpstreamOptions),
}

#[derive(Debug, Args)]
struct UpstreamOptions {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// Address of the primary to follow; without it the upstream starts as the primary.
    #[arg(long)]
    follow: Option<SocketAddr>,
    /// Time that each statement takes, in milliseconds.
    #[arg(long, default_value_t = 0)]
    statement_ms: u64,
    /// Time that opening a connection takes, in milliseconds.
    #[arg(long, default_value_t = 0)]
    connect_ms: u64,
    /// Limit of open connections.
    #[arg(long, default_value_t = 40)]
    connections: usize,
}

/// Parses the command line and runs its command.
#[must_use]
pub fn run() -> ExitCode {
    match dispatch(Cli::parse().command) {
        Ok(code) => code,
        Err(err) => {
            eprintln!("chervildrift: {err}");
            ExitCode::from(FAILURE_EXIT_CODE)
        }
    }
}

fn dispatch(command: Command) -> Result<ExitCode, Error> {
    match command {
        Command::Try(options) => crate::try_out::run(&options)?,
        Command::Serve { config, record } => return serve::run(&config, record.as_deref()),
        Command::Relay { config } => return relay::run(&config),
        Command::Check(options) => return Ok(check::run(&options)?),
        Command::Publish(options) => return Ok(crate::publish::run(&options)?),
        Command::Report(Report::Burn(options)) => crate::report::run(&options)?,
        Command::Explain(options) => crate::explain::run(&options)?,
        Command::Replay { trace } => return Ok(crate::replay::run(&trace)?),
        Command::StandIn(StandIn::Platform { listen }) => stand_in::run_platform(listen)?,
        Command::StandIn(StandIn::Upstream(options)) => stand_in::run_upstream(&options)?,
    }
    Ok(ExitCode::SUCCESS)
}
