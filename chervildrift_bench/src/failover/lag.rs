//! Failover while both replicas lag by minutes.

use std::time::Duration;

use chervildrift_model::{Fault, Party, Rule, World};

use super::{RULES, options};

/// Delay with which the replicas receive entries.
const RECEIVE_LAG: Duration = Duration::from_secs(120);

/// Time during which writes run against lagging replicas before the primary crashes.
const WRITE_TIME: Duration = Duration::from_secs(10);

/// Time for which the primary is down.
const OUTAGE: Duration = Duration::from_secs(30);

/// Time from the end of the outage until the replicas stop lagging.
const AFTER_OUTAGE: Duration = Duration::from_secs(20);

/// Prints one row for each acknowledgement rule.
pub(super) fn run(seed: u64, latency: Duration) {
    println!(
        "| Rule | Writes while behind | Acknowledged while behind | Acknowledged during the crash \
         | Writes resume after | Lost | Not run | Never settled |"
    );
    println!("|{}", " --- |".repeat(8));
    for (rule, name) in RULES {
        measure_rule(seed, rule, name, latency);
    }
}

fn measure_rule(seed: u64, rule: Rule, name: &str, latency: Duration) {
    let mut world = World::new(options(seed, rule, latency));
    world.run_for(Duration::from_secs(3));
    let primary = world.primary().unwrap_or(0);
    for index in (0..3).filter(|&index| index != primary) {
        world.inject(Fault::Lag(
            index,
            RECEIVE_LAG,
            WRITE_TIME + OUTAGE + AFTER_OUTAGE,
        ));
    }
    let (started, acked) = (world.ledger.started_writes, world.ledger.ack_count());
    world.run_for(WRITE_TIME);
    let writes = world.ledger.started_writes - started;
    let acked_behind = world.ledger.ack_count() - acked;
    let crash_time = world.now;
    world.inject(Fault::Crash(Party::Upstream(primary), OUTAGE));
    world.run_for(OUTAGE);
    let acked_in_outage = world.ledger.ack_count() - acked - acked_behind;
    world.run_for(AFTER_OUTAGE + Duration::from_secs(5));
    // Answers that were in flight at the crash do not count.
    let resumed = world
        .ledger
        .first_ack_after(crash_time + Duration::from_millis(50));
    world.set_writing(false);
    world.run_for(Duration::from_secs(20));
    let resumed = resumed.map_or("never".to_owned(), |at| {
        format!("{:.1} s", at.since(crash_time).as_secs_f64())
    });
    let lost = world
        .primary()
        .map_or(0, |index| world.ledger.count_lost(&world.upstreams[index]));
    println!(
        "| {name} | {writes} | {acked_behind} | {acked_in_outage} | {resumed} | {lost} | {} | {} |",
        world.ledger.not_run_count(),
        world.open_writes(),
    );
}
