//! The whole path against the embedded default in this process.

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
use self::load::Measured;
use self::target::{Target, Work};

/// Threads that produce the load.
const LOAD_THREADS: usize = 3;

/// Name of the threads that produce the load.
const LOAD_NAME: &str = "load";

/// Rows that reads pick from.
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
        .thread_name(LOAD_NAME)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let embedded = DemoFleet::spawn(0, LogLevel::Error).await?;
        let measured = if args.failover > 0 {
            changes::measure(&embedded, args).await
        } else {
            measure(&embedded, args).await
        };
        embedded.stop().await;
        measured
    })
}

async fn measure(embedded: &DemoFleet, args: &Args) -> Result<(), Error> {
    let targets = target::all(embedded);
    load::fill(&targets[1], ROWS).await?;
    println!(
        "| Target | Work | Connections | /s | Ratio | p50 us | p99 us | Added p50 us | Added p99 us | CPU us/request | Failed |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for connections in [1, args.connections] {
        for work in [Work::Read, Work::Write] {
            compare(&targets, work, connections, args).await?;
        }
    }
    idle::measure(embedded).await
}

/// Loads each target in turn and prints a row for each, compared with the first.
async fn compare(
    targets: &[Target],
    work: Work,
    connections: usize,
    args: &Args,
) -> Result<(), Error> {
    let span = Duration::from_secs(args.seconds);
    let mut base: Option<Measured> = None;
    for target in targets {
        let measured = load::run(target, work, connections, span, args.seed).await?;
        let first = base.get_or_insert_with(|| measured.clone());
        print_row(target, work, connections, &measured, first);
    }
    Ok(())
}

fn print_row(target: &Target, work: Work, connections: usize, it: &Measured, base: &Measured) {
    let added = |share| quantile(&it.latency, share) - quantile(&base.latency, share);
    println!(
        "| {} | {work:?} | {connections} | {:.0} | {:.3} | {} | {} | {} | {} | {:.1} | {} |",
        target.name,
        it.rate(),
        it.rate() / base.rate(),
        quantile(&it.latency, 0.5),
        quantile(&it.latency, 0.99),
        added(0.5),
        added(0.99),
        it.cpu_us(),
        it.failed,
    );
    eprintln!("{}", it.threads());
}

fn quantile(latency: &Histogram<u64>, share: f64) -> i64 {
    i64::try_from(latency.value_at_quantile(share)).unwrap_or(i64::MAX)
}
