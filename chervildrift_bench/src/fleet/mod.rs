//! Control cost of one VM in fleets of several sizes.
//!
//! Runs the core's membership, configuration generations and burn counters of every VM in virtual
//! time, with delays, lost datagrams and a simulated platform. Prints Markdown tables of the
//! messages, processor time and memory of one VM.

mod calls;
mod cost;
mod dispatchers;
pub mod event_queue;
mod fit;
mod link;
mod platform;
mod run;
mod table;
mod vm;
mod world;

use std::time::Duration;

use clap::Args as ClapArgs;

use self::run::{Outcome, Plan};

/// Options of the measurement.
#[derive(Debug, ClapArgs)]
pub struct Args {
    /// Seed of the run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Numbers of VMs to measure.
    #[arg(long, value_delimiter = ',', default_values_t = [10, 100, 1_000, 3_400])]
    sizes: Vec<usize>,
    /// Virtual seconds per size, shared by the five phases.
    #[arg(long, default_value_t = 100)]
    seconds: u64,
    /// Percentage of datagrams lost, except in the first phase.
    #[arg(long, default_value_t = 5)]
    loss_percent: u64,
    /// Size of the configuration bundle in KB.
    #[arg(long, default_value_t = 64)]
    bundle_kb: usize,
    /// Seconds for which an availability zone is cut off at the end; 0 leaves that out.
    #[arg(long, default_value_t = 20)]
    cut_seconds: u64,
    /// Milliseconds between two probes of one VM in its availability zone.
    #[arg(long, default_value_t = 100)]
    probe_ms: u64,
}

/// Runs the measurement and prints its tables.
pub fn run(args: &Args) {
    let outcomes: Vec<Outcome> = args.sizes.iter().map(|size| measure(args, *size)).collect();
    table::print(&outcomes);
}

fn measure(args: &Args, size: usize) -> Outcome {
    let plan = Plan {
        size,
        seed: args.seed,
        phase_length: Duration::from_secs(args.seconds) / run::PHASE_COUNT,
        loss_percent: args.loss_percent,
        bundle_bytes: args.bundle_kb * 1024,
        probe_period: Duration::from_millis(args.probe_ms),
        cut_length: Duration::from_secs(args.cut_seconds),
    };
    let started = std::time::Instant::now();
    let outcome = run::run(&plan);
    eprintln!("{size} VMs: {:.1} s", started.elapsed().as_secs_f64());
    outcome
}
