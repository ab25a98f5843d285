//! The whole path against running processes.

use clap::Args as ClapArgs;

/// Options of the measurement.
#[derive(Debug, ClapArgs)]
pub struct Args {
    /// Seed of the run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs the measurement and prints its table.
pub fn run(args: &Args) {
    println!("no measurement yet (seed {})", args.seed);
}
