//! Service by rank in floods of each rank.

mod breaker;
mod deployment;
mod dispatcher;
mod entry;
mod load;
mod model;
mod outcome;
mod table;
mod variant;

use clap::Args as ClapArgs;

/// Options of the measurement.
#[derive(Debug, ClapArgs)]
pub struct Args {
    /// Deployment whose sizes are used.
    #[arg(long, value_enum, default_value_t = deployment::DeploymentName::Federation)]
    deployment: deployment::DeploymentName,
    /// Seed of the run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Measured time of each run, in virtual seconds.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
}

/// Runs the measurement and prints its tables.
pub fn run(args: &Args) {
    table::print(args);
}
