//! Load tool and measurements.
//!
//! The subcommands print the tables of `docs/measurements.md` and `docs/CAPACITY.md`.

mod connections;
mod failover;
mod fleet;
mod floods;
mod path;
mod reads;

use clap::{Parser, Subcommand};

/// Load tool and measurements of chervildrift.
#[derive(Debug, Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Compares rules for the connections that stay open for organisations.
    Connections(connections::Args),
    /// Measures the gap and the safety of primary changes.
    Failover(failover::Args),
    /// Measures the control cost of one VM in fleets of several sizes.
    Fleet(fleet::Args),
    /// Measures service by rank in floods of each rank.
    Floods(floods::Args),
    /// Measures the whole path against running processes.
    Path(path::Args),
    /// Measures the share of reads served by replicas.
    Reads(reads::Args),
}

fn main() {
    match Cli::parse().command {
        Command::Connections(args) => connections::run(&args),
        Command::Failover(args) => failover::run(&args),
        Command::Fleet(args) => fleet::run(&args),
        Command::Floods(args) => floods::run(&args),
        Command::Path(args) => path::run(&args),
        Command::Reads(args) => reads::run(&args),
    }
}
