//! Load on the whole request path, against a demo fleet in this process.

mod changes;
mod error;
mod idle;
mod load;
mod target;
mod usage;

use std::time::Duration;

use chervildrift::try_out::DemoFleet;
use chervildrift_core::config::LogLevel;
use clap::Args as ClapArgs;
use hdrhistogram::Histogram;
use tokio::runtime::Builder;

use self::error::Error;
use self::load::PhaseResult;
use self::target::{Target, Work};

/// Threads that produce the load.
const LOAD_THREADS: usize = 3;

/// Name of the threads that produce the load.
const LOAD_THREAD_NAME: &str = "load";

/// Number of rows that reads select from.
const ROWS: u64 = 1_000;

/// Options of the measurement.
#[derive(Debug, ClapArgs)]
pub struct Args {
    /// Duration of each phase in seconds.
    #[arg(long, default_value_t = 3)]
    seconds: u64,
    /// Connections that load the VMs at one time.
    #[arg(long, default_value_t = 32)]
    connections: usize,
    /// Seed of the run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Changes of primary under writes, instead of the load.
    #[arg(long, default_value_t = 0)]
    failover: u64,
}

/// Runs the measurement and prints its table.
pub fn run(args: &Args) {
    if let Err(err) = start(args) {
        eprintln!("the measurement failed: {err}");
        std::process::exit(1);
    }
}

fn start(args: &Args) -> Result<(), Error> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(LOAD_THREADS)
        .thread_name(LOAD_THREAD_NAME)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let fleet = DemoFleet::spawn(0, LogLevel::Error).await?;
        let measured = if args.failover > 0 {
            changes::measure(&fleet, args).await
        } else {
            measure(&fleet, args).await
        };
        fleet.stop().await;
        measured
    })
}

async fn measure(fleet: &DemoFleet, args: &Args) -> Result<(), Error> {
    let targets = target::all(fleet);
    load::create_tables(&targets[1], ROWS).await?;
    println!(
        "| Target | Work | Connections | /s | Ratio | p50 us | p99 us | Added p50 us | Added p99 us | CPU us/request | Failed |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for connections in [1, args.connections] {
        for work in [Work::Read, Work::Write] {
            compare(&targets, work, connections, args).await?;
        }
    }
    idle::measure(fleet).await
}

/// Loads each target in turn and prints a row for each, compared with the first.
async fn compare(
    targets: &[Target],
    work: Work,
    connections: usize,
    args: &Args,
) -> Result<(), Error> {
    let span = Duration::from_secs(args.seconds);
    let mut baseline: Option<PhaseResult> = None;
    for target in targets {
        let measured = load::run(target, work, connections, span, args.seed).await?;
        let first = baseline.get_or_insert_with(|| measured.clone());
        print_row(target, work, connections, &measured, first);
    }
    Ok(())
}

fn print_row(
    target: &Target,
    work: Work,
    connections: usize,
    result: &PhaseResult,
    baseline: &PhaseResult,
) {
    let added = |share| quantile(&result.latency, share) - quantile(&baseline.latency, share);
    println!(
        "| {} | {work:?} | {connections} | {:.0} | {:.3} | {} | {} | {} | {} | {:.1} | {} |",
        target.name,
        result.requests_per_second(),
        result.requests_per_second() / baseline.requests_per_second(),
        quantile(&result.latency, 0.5),
        quantile(&result.latency, 0.99),
        added(0.5),
        added(0.99),
        result.cpu_us_per_request(),
        result.failed,
    );
    eprintln!("{}", result.describe_threads());
}

fn quantile(latency: &Histogram<u64>, share: f64) -> i64 {
    i64::try_from(latency.value_at_quantile(share)).unwrap_or(i64::MAX)
}
