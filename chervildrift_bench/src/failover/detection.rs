//! Trade-off between the detection timeout and false failovers.

use std::time::Duration;

use chervildrift_core::failover::Limits;
use chervildrift_model::{Fault, Party, Rule, World};

use super::figures::{format_quantiles, histogram, record};
use super::options;

/// Detection timeouts that are compared, in milliseconds.
const DETECTION_TIMEOUTS_MS: [u64; 8] = [100, 200, 300, 450, 600, 900, 1_200, 1_800];

/// Networks that are compared: share of lost messages and share of messages late by up to 400 ms.
const NETWORKS: [(f64, f64); 4] = [(0.0, 0.0), (0.05, 0.1), (0.15, 0.3), (0.3, 0.5)];

/// Observed time without any fault of the primary.
const OBSERVED_TIME: Duration = Duration::from_secs(600);

/// Number of primary crashes over which the gap of each detection timeout is measured.
const CRASH_COUNT: u64 = 20;

/// Prints one row for each detection timeout.
pub(super) fn run(seed: u64, latency: Duration) {
    let columns = NETWORKS.map(|(loss, slow)| {
        format!(
            "False changes in 10 min, {:.0}% lost, {:.0}% late",
            loss * 100.0,
            slow * 100.0
        )
    });
    println!(
        "| Detection | {} | Gap of a crash p50/p99/max |",
        columns.join(" | ")
    );
    println!("|{}", " --- |".repeat(NETWORKS.len() + 2));
    for millis in DETECTION_TIMEOUTS_MS {
        let detection = Duration::from_millis(millis);
        let change_counts =
            NETWORKS.map(|network| false_changes(seed, latency, detection, network));
        let change_counts = change_counts.map(|count| count.to_string());
        let gap = crash_gap(seed, latency, detection);
        println!("| {millis} ms | {} | {gap} |", change_counts.join(" | "));
    }
}

fn new_world(
    seed: u64,
    latency: Duration,
    detection_timeout: Duration,
    network: (f64, f64),
) -> World {
    let mut options = options(seed, Rule::Majority, latency);
    options.limits = Limits {
        detection_timeout,
        poll_interval: Limits::default().poll_interval.min(detection_timeout / 6),
        ..Limits::default()
    };
    (options.network.loss_share, options.network.delay_share) = network;
    options.network.max_delay = Duration::from_millis(400);
    options.write_interval = Duration::from_millis(100);
    World::new(options)
}

fn false_changes(seed: u64, latency: Duration, detection: Duration, network: (f64, f64)) -> usize {
    let mut world = new_world(seed, latency, detection, network);
    world.run_for(Duration::from_secs(10));
    let before = world.ledger.changes.len();
    world.run_for(OBSERVED_TIME);
    world.ledger.changes.len() - before
}

fn crash_gap(seed: u64, latency: Duration, detection: Duration) -> String {
    let mut gaps = histogram();
    for case in 0..CRASH_COUNT {
        let mut world = new_world(seed + case, latency, detection, (0.0, 0.0));
        world.run_for(Duration::from_secs(4));
        let start = world.now;
        let primary = Party::Upstream(world.primary().unwrap_or(0));
        world.inject(Fault::Crash(primary, Duration::from_secs(20)));
        world.run_for(Duration::from_secs(10));
        if let Some(resumed) = world
            .ledger
            .first_ack_after(start + Duration::from_millis(50))
        {
            record(&mut gaps, resumed.since(start));
        }
    }
    format_quantiles(&gaps)
}
