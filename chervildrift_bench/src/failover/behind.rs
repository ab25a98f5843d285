//! Failover while both replicas are minutes behind.

use std::time::Duration;

use chervildrift_model::{Fault, Party, Rule, World};

use super::{RULES, options};

/// Time by which the replicas receive entries late.
const LAG: Duration = Duration::from_secs(120);

/// Time of writing while the replicas are behind.
const BEHIND: Duration = Duration::from_secs(10);

/// Time for which the primary is down.
const OUTAGE: Duration = Duration::from_secs(30);

/// Time after which the replicas catch up again.
const AFTER: Duration = Duration::from_secs(20);

/// Prints what each rule does.
pub(super) fn run(seed: u64, latency: Duration) {
    println!(
        "| Rule | Writes while behind | Acknowledged while behind | Acknowledged during the crash \
         | Writes resume after | Lost | Not run | Never settled |"
    );
    println!("|{}", " --- |".repeat(8));
    for (rule, name) in RULES {
        measure(seed, rule, name, latency);
    }
}

fn measure(seed: u64, rule: Rule, name: &str, latency: Duration) {
    let mut world = World::new(options(seed, rule, latency));
    world.run_for(Duration::from_secs(3));
    let primary = world.primary().unwrap_or(0);
    for index in (0..3).filter(|&index| index != primary) {
        world.inject(Fault::Lag(index, LAG, BEHIND + OUTAGE + AFTER));
    }
    let (started, acked) = (world.ledger.started_writes, world.ledger.ack_count());
    world.run_for(BEHIND);
    let writes = world.ledger.started_writes - started;
    let behind = world.ledger.ack_count() - acked;
    let crash = world.now;
    world.inject(Fault::Crash(Party::Upstream(primary), OUTAGE));
    world.run_for(OUTAGE);
    let during = world.ledger.ack_count() - acked - behind;
    world.run_for(AFTER + Duration::from_secs(5));
    // Answers that were on their way at the crash do not count.
    let resumed = world
        .ledger
        .first_ack_after(crash + Duration::from_millis(50));
    world.set_writing(false);
    world.run_for(Duration::from_secs(20));
    let resumed = resumed.map_or("never".to_owned(), |at| {
        format!("{:.1} s", at.since(crash).as_secs_f64())
    });
    let lost = world
        .primary()
        .map_or(0, |index| world.ledger.count_lost(&world.upstreams[index]));
    println!(
        "| {name} | {writes} | {behind} | {during} | {resumed} | {lost} | {} | {} |",
        world.ledger.not_run_count(),
        world.open_writes(),
    );
}
