//! Changes of primary under writes through the running VMs.

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
use super::target::VmLink;

/// Writers at each VM.
const WRITERS: usize = 4;

/// Longest wait for service after a fault, and for the group to settle after it is undone.
const SETTLE_LIMIT: Duration = Duration::from_secs(15);

/// Pause between two looks at the state of the group.
const POLL: Duration = Duration::from_millis(5);

/// Time between the return of service and the end of the fault.
const HOLD: Duration = Duration::from_millis(200);

/// What the writers saw.
#[derive(Debug, Default)]
struct Seen {
    confirmed: Mutex<Vec<(i64, Instant)>>,
    unknown: AtomicI64,
    refused: AtomicI64,
    next: AtomicI64,
    stop: AtomicBool,
}

/// Changes the primary again and again and prints what became of the writes.
pub(super) async fn measure(embedded: &DemoFleet, args: &Args) -> Result<(), Error> {
    let link = VmLink::open(embedded.callers()[0], embedded.credential())?;
    let table = "create table change_note (id integer)";
    link.send("save", table, &json!([])).await?;
    let seen = Arc::new(Seen::default());
    let mut writers = JoinSet::new();
    for address in embedded.callers() {
        for _ in 0..WRITERS {
            let link = VmLink::open(address, embedded.credential())?;
            writers.spawn(write(link, Arc::clone(&seen)));
        }
    }
    let mut rng = Rng::new(args.seed);
    let mut gaps = histogram();
    let mut unsettled = None;
    for change in 0..args.failover {
        match change_primary(embedded, &seen, &mut rng, change).await {
            Ok(gap) => gaps.saturating_record(gap.as_millis() as u64),
            Err(err) => {
                unsettled = Some(err);
                break;
            }
        }
    }
    seen.stop.store(true, Ordering::Release);
    while let Some(ended) = writers.join_next().await {
        ended??;
    }
    let rows = counts(&link).await?;
    let confirmed = take(&seen);
    let found = |id: &i64| rows.get(id).copied().unwrap_or_default();
    let lost = confirmed.iter().filter(|(id, _)| found(id) == 0).count();
    let doubled = rows.values().filter(|count| **count > 1).count();
    println!(
        "| Changes | Confirmed | Lost | Doubled | Unknown | Not run or failed | Gap p50 ms | p99 ms | max ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    println!(
        "| {} | {} | {lost} | {doubled} | {} | {} | {} | {} | {} |",
        gaps.len(),
        confirmed.len(),
        seen.unknown.load(Ordering::Acquire),
        seen.refused.load(Ordering::Acquire),
        gaps.value_at_quantile(0.5),
        gaps.value_at_quantile(0.99),
        gaps.max(),
    );
    unsettled.map_or(Ok(()), Err)
}

async fn write(link: VmLink, seen: Arc<Seen>) -> Result<(), Error> {
    while !seen.stop.load(Ordering::Acquire) {
        let id = seen.next.fetch_add(1, Ordering::Relaxed);
        let sql = "insert into change_note values ($1)";
        let response = link.send("save", sql, &json!([id])).await?;
        if response.status().is_success() {
            lock(&seen).push((id, Instant::now()));
            continue;
        }
        let problem: Value = response.json().await?;
        if problem["state"] == "unknown" {
            seen.unknown.fetch_add(1, Ordering::Relaxed);
        } else {
            seen.refused.fetch_add(1, Ordering::Relaxed);
        }
    }
    Ok(())
}

fn lock(seen: &Seen) -> std::sync::MutexGuard<'_, Vec<(i64, Instant)>> {
    seen.confirmed
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}

fn take(seen: &Seen) -> Vec<(i64, Instant)> {
    std::mem::take(&mut *lock(seen))
}

/// Fails the primary, waits for its successor and returns the longest time without a confirmation.
async fn change_primary(
    embedded: &DemoFleet,
    seen: &Seen,
    rng: &mut Rng,
    change: u64,
) -> Result<Duration, Error> {
    let upstreams = embedded.upstreams();
    let old = primary(upstreams).ok_or(Error::Unsettled(change))?;
    let freeze = rng.below(2) == 0;
    let from = Instant::now();
    fail(&upstreams[old], freeze, 1);
    let served = await_service(upstreams, seen, old, change).await;
    sleep(HOLD).await;
    fail(&upstreams[old], freeze, 0);
    served?;
    let gap = longest_gap(seen, from);
    await_follower(&upstreams[old], change).await?;
    Ok(gap)
}

/// Sets or undoes the fault of a primary.
fn fail(upstream: &Handle, freeze: bool, value: i64) {
    upstream.set_fault(Fault::RefuseConnections, value);
    if freeze {
        upstream.set_fault(Fault::Freeze, value);
    } else {
        upstream.set_fault(Fault::Disconnect, value);
    }
}

fn primary(upstreams: &[Handle]) -> Option<usize> {
    let leads = |it: &Handle| it.status().role == Role::Primary;
    upstreams.iter().position(leads)
}

/// Waits until another upstream is primary and a write after that is confirmed.
async fn await_service(
    upstreams: &[Handle],
    seen: &Seen,
    old: usize,
    change: u64,
) -> Result<(), Error> {
    let start = Instant::now();
    let leads = |(index, it): (usize, &Handle)| index != old && it.status().role == Role::Primary;
    while !upstreams.iter().enumerate().any(leads) {
        check(start, change)?;
        sleep(POLL).await;
    }
    let promoted = Instant::now();
    while lock(seen).last().is_none_or(|(_, at)| *at < promoted) {
        check(start, change)?;
        sleep(POLL).await;
    }
    Ok(())
}

async fn await_follower(old: &Handle, change: u64) -> Result<(), Error> {
    let start = Instant::now();
    while old.status().role == Role::Primary {
        check(start, change)?;
        sleep(POLL).await;
    }
    Ok(())
}

fn check(start: Instant, change: u64) -> Result<(), Error> {
    if start.elapsed() < SETTLE_LIMIT {
        return Ok(());
    }
    Err(Error::Unsettled(change))
}

fn longest_gap(seen: &Seen, from: Instant) -> Duration {
    let confirmed = lock(seen);
    let after = confirmed.iter().map(|(_, at)| *at).filter(|at| *at > from);
    let mut times: Vec<Instant> = std::iter::once(from).chain(after).collect();
    times.sort_unstable();
    let gaps = times
        .windows(2)
        .map(|pair| pair[1].saturating_duration_since(pair[0]));
    gaps.max().unwrap_or_default()
}

/// Reads how often each write is there.
async fn counts(link: &VmLink) -> Result<HashMap<i64, i64>, Error> {
    let sql = "select id, count(*) from change_note group by id";
    let response = link.send("look", sql, &json!([])).await?;
    let body: Value = response.json().await?;
    let rows = body["results"][0]["rows"].as_array();
    let rows = rows.ok_or_else(|| Error::Answer(body.to_string()))?;
    let pair = |row: &Value| Some((row[0].as_i64()?, row[1].as_i64()?));
    Ok(rows.iter().filter_map(pair).collect())
}
