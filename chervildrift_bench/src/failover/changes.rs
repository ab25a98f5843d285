//! A series of primary changes, each caused by a fault.

use std::time::Duration;

use chervildrift_core::rng::Rng;
use chervildrift_core::types::Time;
use chervildrift_model::{Fault, Network, Party, Rule, World};

use super::figures::{Figures, record};
use super::{VMS, options};

/// Changes in one world, few enough that its whole log can be checked.
const CHANGES_PER_WORLD: usize = 10;

/// Time without faults before each change.
const QUIET_TIME: Duration = Duration::from_secs(2);

/// Length of a fault.
const FAULT_DURATION: Duration = Duration::from_secs(8);

/// Time after the last fault in which all writes get an outcome.
const SETTLE_TIME: Duration = Duration::from_secs(12);

/// Cause of the changes of a series.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Cause {
    /// The primary fails, in half of the cases together with a VM.
    Fault,
    /// The primary is listed as leaving.
    Leave,
}

/// Runs a series of changes under one rule.
pub(super) fn run(
    seed: u64,
    changes: usize,
    rule: Rule,
    latency: Duration,
    cause: Cause,
) -> Figures {
    let mut figures = Figures::new();
    let mut done = 0;
    while done < changes {
        let count = CHANGES_PER_WORLD.min(changes - done);
        let mut world = World::new(options(seed + done as u64, rule, latency));
        let mut rng = Rng::new(seed ^ done as u64);
        world.run_for(QUIET_TIME);
        for index in 0..count {
            run_change(&mut world, &mut rng, done + index, cause, &mut figures);
        }
        finish_world(&mut world, &mut figures);
        done += count;
    }
    figures
}

fn run_change(
    world: &mut World,
    rng: &mut Rng,
    number: usize,
    cause: Cause,
    figures: &mut Figures,
) {
    let latency_count = world.ledger.latencies.len();
    world.run_for(QUIET_TIME + rng.jitter(QUIET_TIME / 4));
    for &latency in &world.ledger.latencies[latency_count..] {
        record(&mut figures.write_latency, latency);
    }
    let Some(primary) = world.primary() else {
        figures.unreplaced += 1;
        return;
    };
    let start = world.now;
    for fault in faults(number, primary, cause) {
        world.inject(fault);
    }
    world.run_for(FAULT_DURATION);
    record_change(world, start, figures);
    world.heal();
}

/// Returns the faults of a change; half of the changes have a second fault at a VM.
fn faults(number: usize, primary: usize, cause: Cause) -> Vec<Fault> {
    if cause == Cause::Leave {
        return vec![Fault::Leave(primary, FAULT_DURATION)];
    }
    let me = Party::Upstream(primary);
    let first = match number % 4 {
        0 => Fault::Crash(me, FAULT_DURATION),
        1 => Fault::Freeze(me, FAULT_DURATION),
        2 => Fault::Partition(me, unreachable_parties(primary), FAULT_DURATION),
        _ => Fault::Partition(me, all_other_parties(primary), FAULT_DURATION),
    };
    let vm = Party::Vm(number / 4 % VMS);
    let second = match number / 4 % 4 {
        0 => Some(Fault::Crash(vm, FAULT_DURATION)),
        1 => Some(Fault::Freeze(vm, FAULT_DURATION)),
        _ => None,
    };
    std::iter::once(first).chain(second).collect()
}

/// Returns the parties of the primary's availability zone and the other upstreams.
///
/// VMs of the other availability zones still reach the primary, and so do their callers.
fn unreachable_parties(primary: usize) -> Vec<Party> {
    let zone = Network::zone(Party::Upstream(primary));
    let vms_in_zone = (0..VMS)
        .map(Party::Vm)
        .filter(|&vm| Network::zone(vm) == zone);
    other_upstreams(primary).chain(vms_in_zone).collect()
}

fn all_other_parties(primary: usize) -> Vec<Party> {
    other_upstreams(primary)
        .chain((0..VMS).map(Party::Vm))
        .collect()
}

fn other_upstreams(primary: usize) -> impl Iterator<Item = Party> {
    let upstreams = (0..3).filter(move |&index| index != primary);
    upstreams.map(Party::Upstream)
}

fn record_change(world: &World, start: Time, figures: &mut Figures) {
    let ledger = &world.ledger;
    let mut later = ledger
        .changes
        .iter()
        .filter(|change| change.promoted_at > start);
    let change = later.find(|change| change.first_ack.is_some());
    let Some((change, acked)) = change.and_then(|change| Some((change, change.first_ack?))) else {
        figures.unreplaced += 1;
        return;
    };
    figures.changes += 1;
    let last = ledger.last_ack_before(start).unwrap_or(start);
    record(&mut figures.gap, acked.since(last));
    record(&mut figures.detection, change.check_start.since(start));
    record(
        &mut figures.agreement,
        change.promote_start.since(change.check_start),
    );
    record(&mut figures.promotion, acked.since(change.promote_start));
}

fn finish_world(world: &mut World, figures: &mut Figures) {
    world.run_for(QUIET_TIME);
    world.set_writing(false);
    world.run_for(SETTLE_TIME);
    figures.acked += world.ledger.ack_count();
    figures.unknown += world.ledger.unknown_outcomes;
    figures.open_writes += world.open_writes();
    if let Some(index) = world.primary() {
        let World {
            ledger, upstreams, ..
        } = world;
        figures.lost += ledger.count_lost(&upstreams[index]);
        figures.duplicated += ledger.count_duplicates(upstreams[index].log());
        ledger.check_log(&upstreams[index]);
    }
    figures.violations += world.ledger.violations.len();
}
