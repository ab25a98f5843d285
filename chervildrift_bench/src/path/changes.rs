//! Changes of primary while callers write through the running VMs.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use chervildrift::try_out::DemoFleet;
use chervildrift_core::rng::Rng;
use chervildrift_standin::upstream::{Fault, Handle, Role};
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::Args;
use super::error::Error;
use super::load::histogram;
use super::target::VmConnection;

/// Writers at each VM.
const WRITERS: usize = 4;

/// Longest wait for service after a fault, and for the old primary to follow after its end.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Interval between two checks of the state of the group.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time for which the fault lasts after service has resumed.
const FAULT_EXTENSION: Duration = Duration::from_millis(200);

/// Outcomes of the writes of all writers.
#[derive(Debug, Default)]
struct WriteResults {
    confirmed: Mutex<Vec<(i64, Instant)>>,
    unknown: AtomicI64,
    refused: AtomicI64,
    next_id: AtomicI64,
    stop: AtomicBool,
}

/// Changes the primary repeatedly under writes, and prints the outcomes and the service gaps.
pub(super) async fn measure(fleet: &DemoFleet, args: &Args) -> Result<(), Error> {
    let connection = VmConnection::new(fleet.callers()[0], fleet.credential())?;
    let table = "create table change_note (id integer)";
    connection.send("save", table, &json!([])).await?;
    let results = Arc::new(WriteResults::default());
    let mut writers = JoinSet::new();
    for address in fleet.callers() {
        for _ in 0..WRITERS {
            let connection = VmConnection::new(address, fleet.credential())?;
            writers.spawn(run_writer(connection, Arc::clone(&results)));
        }
    }
    let mut rng = Rng::new(args.seed);
    let mut gaps = histogram();
    let mut failure = None;
    for change in 0..args.failover {
        match change_primary(fleet, &results, &mut rng, change).await {
            Ok(gap) => gaps.saturating_record(gap.as_millis() as u64),
            Err(err) => {
                failure = Some(err);
                break;
            }
        }
    }
    results.stop.store(true, Ordering::Release);
    while let Some(result) = writers.join_next().await {
        result??;
    }
    let rows = count_rows(&connection).await?;
    let confirmed = take_confirmed(&results);
    let row_count = |id: &i64| rows.get(id).copied().unwrap_or_default();
    let lost = confirmed
        .iter()
        .filter(|(id, _)| row_count(id) == 0)
        .count();
    let duplicated = rows.values().filter(|count| **count > 1).count();
    println!(
        "| Changes | Confirmed | Lost | Doubled | Unknown | Not run or failed | Gap p50 ms | p99 ms | max ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    println!(
        "| {} | {} | {lost} | {duplicated} | {} | {} | {} | {} | {} |",
        gaps.len(),
        confirmed.len(),
        results.unknown.load(Ordering::Acquire),
        results.refused.load(Ordering::Acquire),
        gaps.value_at_quantile(0.5),
        gaps.value_at_quantile(0.99),
        gaps.max(),
    );
    failure.map_or(Ok(()), Err)
}

async fn run_writer(connection: VmConnection, results: Arc<WriteResults>) -> Result<(), Error> {
    while !results.stop.load(Ordering::Acquire) {
        let id = results.next_id.fetch_add(1, Ordering::Relaxed);
        let sql = "insert into change_note values ($1)";
        let response = connection.send("save", sql, &json!([id])).await?;
        if response.status().is_success() {
            lock_confirmed(&results).push((id, Instant::now()));
            continue;
        }
        let problem: Value = response.json().await?;
        if problem["state"] == "unknown" {
            results.unknown.fetch_add(1, Ordering::Relaxed);
        } else {
            results.refused.fetch_add(1, Ordering::Relaxed);
        }
    }
    Ok(())
}

fn lock_confirmed(results: &WriteResults) -> std::sync::MutexGuard<'_, Vec<(i64, Instant)>> {
    results
        .confirmed
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}

fn take_confirmed(results: &WriteResults) -> Vec<(i64, Instant)> {
    std::mem::take(&mut *lock_confirmed(results))
}

/// Fails the primary, waits for the next one and returns the longest time without a confirmation.
async fn change_primary(
    fleet: &DemoFleet,
    results: &WriteResults,
    rng: &mut Rng,
    change: u64,
) -> Result<Duration, Error> {
    let upstreams = fleet.upstreams();
    let old_primary = primary(upstreams).ok_or(Error::Unsettled(change))?;
    let freeze = rng.below(2) == 0;
    let from = Instant::now();
    set_fault(&upstreams[old_primary], freeze, 1);
    let served = await_service(upstreams, results, old_primary, change).await;
    sleep(FAULT_EXTENSION).await;
    set_fault(&upstreams[old_primary], freeze, 0);
    served?;
    let gap = longest_gap(results, from);
    await_follower(&upstreams[old_primary], change).await?;
    Ok(gap)
}

/// Starts or ends the fault of a primary.
fn set_fault(upstream: &Handle, freeze: bool, value: i64) {
    upstream.set_fault(Fault::RefuseConnections, value);
    if freeze {
        upstream.set_fault(Fault::Freeze, value);
    } else {
        upstream.set_fault(Fault::Disconnect, value);
    }
}

fn primary(upstreams: &[Handle]) -> Option<usize> {
    let is_primary = |it: &Handle| it.status().role == Role::Primary;
    upstreams.iter().position(is_primary)
}

/// Waits until another upstream is primary and a write after that is confirmed.
async fn await_service(
    upstreams: &[Handle],
    results: &WriteResults,
    old_primary: usize,
    change: u64,
) -> Result<(), Error> {
    let start = Instant::now();
    let is_primary =
        |(index, it): (usize, &Handle)| index != old_primary && it.status().role == Role::Primary;
    while !upstreams.iter().enumerate().any(is_primary) {
        check_timeout(start, change)?;
        sleep(POLL_INTERVAL).await;
    }
    let promoted = Instant::now();
    while lock_confirmed(results)
        .last()
        .is_none_or(|(_, at)| *at < promoted)
    {
        check_timeout(start, change)?;
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

async fn await_follower(old_primary: &Handle, change: u64) -> Result<(), Error> {
    let start = Instant::now();
    while old_primary.status().role == Role::Primary {
        check_timeout(start, change)?;
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

fn check_timeout(start: Instant, change: u64) -> Result<(), Error> {
    if start.elapsed() < SETTLE_TIMEOUT {
        return Ok(());
    }
    Err(Error::Unsettled(change))
}

fn longest_gap(results: &WriteResults, from: Instant) -> Duration {
    let confirmed = lock_confirmed(results);
    let after = confirmed.iter().map(|(_, at)| *at).filter(|at| *at > from);
    let mut times: Vec<Instant> = std::iter::once(from).chain(after).collect();
    times.sort_unstable();
    let gaps = times
        .windows(2)
        .map(|pair| pair[1].saturating_duration_since(pair[0]));
    gaps.max().unwrap_or_default()
}

/// Reads how many rows each write has left.
async fn count_rows(connection: &VmConnection) -> Result<HashMap<i64, i64>, Error> {
    let sql = "select id, count(*) from change_note group by id";
    let response = connection.send("look", sql, &json!([])).await?;
    let body: Value = response.json().await?;
    let rows = body["results"][0]["rows"].as_array();
    let rows = rows.ok_or_else(|| Error::Answer(body.to_string()))?;
    let pair = |row: &Value| Some((row[0].as_i64()?, row[1].as_i64()?));
    Ok(rows.iter().filter_map(pair).collect())
}
