//! One phase of load on one target.

use std::time::{Duration, Instant};

use chervildrift_core::rng::{Rng, mix};
use hdrhistogram::Histogram;
use serde_json::json;
use tokio::task::JoinSet;

use super::error::Error;
use super::target::{Connection, Target, Work};
use super::usage::{self, ThreadTimes};
use super::{LOAD_THREAD_NAME, ROWS};

/// Time for which a phase runs before its requests are counted.
const WARM_UP: Duration = Duration::from_millis(200);

/// Significant digits of the latencies.
const LATENCY_DIGITS: u8 = 3;

/// Greatest latency that a histogram distinguishes, one minute in microseconds.
///
/// The bound is explicit because a saturating record does not grow an auto-sized histogram.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Latencies, failures and processor times of one phase.
#[derive(Clone, Debug)]
pub(super) struct PhaseResult {
    /// Latencies of the successful requests in microseconds.
    pub latency: Histogram<u64>,
    pub failed: u64,
    span: Duration,
    thread_times: ThreadTimes,
}

impl PhaseResult {
    /// Returns the successful requests per second.
    pub(super) fn requests_per_second(&self) -> f64 {
        self.latency.len() as f64 / self.span.as_secs_f64()
    }

    /// Returns the processor time per request of all threads but those of the load.
    pub(super) fn cpu_us_per_request(&self) -> f64 {
        let others = self
            .thread_times
            .iter()
            .filter(|(name, _)| *name != LOAD_THREAD_NAME);
        let used: u64 = others.map(|(_, us)| us).sum();
        used as f64 / self.latency.len().max(1) as f64
    }

    /// Describes the processor time per request of each thread name.
    pub(super) fn describe_threads(&self) -> String {
        let requests = self.latency.len().max(1) as f64;
        let used = self.thread_times.iter().filter(|(_, us)| **us > 0);
        let parts: Vec<String> = used
            .map(|(name, us)| format!("{name} {:.1}", *us as f64 / requests))
            .collect();
        format!("  CPU us/request by thread name: {}", parts.join(", "))
    }
}

/// Creates the tables and the rows that reads select from.
pub(super) async fn create_tables(target: &Target, rows: u64) -> Result<(), Error> {
    let Connection::Vm(connection) = target.connect().await? else {
        return Ok(());
    };
    let values: Vec<String> = (0..rows).map(|id| format!("({id}, 'note {id}')")).collect();
    let insert = format!("insert into note values {}", values.join(","));
    let statements = [
        "create table note (id integer primary key, body text)",
        "create table written (id integer)",
        &insert,
    ];
    for sql in statements {
        let response = connection.send("save", sql, &json!([])).await?;
        if !response.status().is_success() {
            return Err(Error::Answer(response.text().await?));
        }
    }
    Ok(())
}

/// Loads a target with as many requests in flight as there are connections.
pub(super) async fn run(
    target: &Target,
    work: Work,
    connections: usize,
    span: Duration,
    seed: u64,
) -> Result<PhaseResult, Error> {
    let mut tasks = JoinSet::new();
    let begin = Instant::now() + WARM_UP;
    for index in 0..connections {
        let connection = target.connect().await?;
        let rng = Rng::new(mix(seed ^ index as u64));
        tasks.spawn(run_connection(connection, work, rng, begin, span));
    }
    tokio::time::sleep_until(begin.into()).await;
    let before = usage::thread_times()?;
    tokio::time::sleep_until((begin + span).into()).await;
    let thread_times = usage::elapsed_since(&before, usage::thread_times()?);
    let mut latency = histogram();
    let mut failed = 0;
    while let Some(result) = tasks.join_next().await {
        let (latencies, errors) = result??;
        latency += &latencies;
        failed += errors;
    }
    Ok(PhaseResult {
        latency,
        failed,
        span,
        thread_times,
    })
}

async fn run_connection(
    connection: Connection,
    work: Work,
    mut rng: Rng,
    begin: Instant,
    span: Duration,
) -> Result<(Histogram<u64>, u64), Error> {
    let mut latency = histogram();
    let mut failed = 0;
    while begin.elapsed() < span {
        let sent = Instant::now();
        let succeeded = connection.run(work, rng.below(ROWS).cast_signed()).await?;
        let is_counted = sent >= begin && begin.elapsed() < span;
        if is_counted && succeeded {
            latency.saturating_record(sent.elapsed().as_micros() as u64);
        } else if is_counted {
            failed += 1;
        }
    }
    Ok((latency, failed))
}

/// Creates a histogram of values up to [`MAX_LATENCY_US`].
pub(super) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS).expect("the bounds are valid")
}
