//! One phase of load on one target.

use std::time::{Duration, Instant};

use chervildrift_core::rng::{Rng, mix};
use hdrhistogram::Histogram;
use serde_json::json;
use tokio::task::JoinSet;

use super::error::Error;
use super::target::{Link, Target, Work};
use super::usage::{self, Threads};
use super::{LOAD_NAME, ROWS};

/// Time for which a phase runs before it is counted.
const WARM_UP: Duration = Duration::from_millis(200);

/// Significant digits of the latencies.
const DIGITS: u8 = 3;

/// Greatest value that a histogram tells apart, a minute in microseconds.
///
/// The bound is explicit because a saturating record does not grow an auto-sized histogram.
const GREATEST: u64 = 60_000_000;

/// What a phase showed.
#[derive(Clone, Debug)]
pub(super) struct Measured {
    /// Latencies of the successful requests in microseconds.
    pub latency: Histogram<u64>,
    pub failed: u64,
    span: Duration,
    threads: Threads,
}

impl Measured {
    /// Returns the successful requests per second.
    pub(super) fn rate(&self) -> f64 {
        self.latency.len() as f64 / self.span.as_secs_f64()
    }

    /// Returns the processor time per request of all threads but those of the load.
    pub(super) fn cpu_us(&self) -> f64 {
        let others = self.threads.iter().filter(|(name, _)| *name != LOAD_NAME);
        let used: u64 = others.map(|(_, us)| us).sum();
        used as f64 / self.latency.len().max(1) as f64
    }

    /// Describes the processor time per request of each thread name.
    pub(super) fn threads(&self) -> String {
        let requests = self.latency.len().max(1) as f64;
        let used = self.threads.iter().filter(|(_, us)| **us > 0);
        let parts: Vec<String> = used
            .map(|(name, us)| format!("{name} {:.1}", *us as f64 / requests))
            .collect();
        format!("  CPU us/request by thread name: {}", parts.join(", "))
    }
}

/// Makes the tables and the rows that reads pick from.
pub(super) async fn fill(target: &Target, rows: u64) -> Result<(), Error> {
    let Link::Vm(link) = target.open().await? else {
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
        let response = link.send("save", sql, &json!([])).await?;
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
) -> Result<Measured, Error> {
    let mut tasks = JoinSet::new();
    let begin = Instant::now() + WARM_UP;
    for index in 0..connections {
        let link = target.open().await?;
        let rng = Rng::new(mix(seed ^ index as u64));
        tasks.spawn(drive(link, work, rng, begin, span));
    }
    tokio::time::sleep_until(begin.into()).await;
    let before = usage::threads()?;
    tokio::time::sleep_until((begin + span).into()).await;
    let threads = usage::since(&before, usage::threads()?);
    let mut latency = histogram();
    let mut failed = 0;
    while let Some(ended) = tasks.join_next().await {
        let (part, errors) = ended??;
        latency += &part;
        failed += errors;
    }
    Ok(Measured {
        latency,
        failed,
        span,
        threads,
    })
}

async fn drive(
    link: Link,
    work: Work,
    mut rng: Rng,
    begin: Instant,
    span: Duration,
) -> Result<(Histogram<u64>, u64), Error> {
    let mut latency = histogram();
    let mut failed = 0;
    while begin.elapsed() < span {
        let sent = Instant::now();
        let good = link.run(work, rng.below(ROWS).cast_signed()).await?;
        let counted = sent >= begin && begin.elapsed() < span;
        if counted && good {
            latency.saturating_record(sent.elapsed().as_micros() as u64);
        } else if counted {
            failed += 1;
        }
    }
    Ok((latency, failed))
}

/// Opens a histogram of values up to [`GREATEST`].
pub(super) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, GREATEST, DIGITS).expect("the bounds are valid")
}
