//! Randomised runs of one group with rival candidates, writers and faults.
//!
//! `CHERVILDRIFT_SEED` replaces the seed and `CHERVILDRIFT_CASES` the number of cases.

use std::cell::Cell;
use std::env;
use std::time::Duration;

use chervildrift_core::failover::Limits;
use chervildrift_core::invariant;
use chervildrift_core::rng::Rng;
use chervildrift_model::{Fault, FaultGenerator, Network, Options, Party, Rule, World};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

/// Seed of the runs in CI.
const SEED: u64 = 20;

/// Longest service gap of a failover that the design page allows.
const MAX_GAP: Duration = Duration::from_secs(3);

const VMS: usize = 3;

fn runner(cases: u32) -> TestRunner {
    let read = |name| {
        env::var(name)
            .ok()
            .and_then(|text: String| text.parse().ok())
    };
    let seed = read("CHERVILDRIFT_SEED").unwrap_or(SEED);
    let cases = read("CHERVILDRIFT_CASES").map_or(cases, |cases| cases as u32);
    TestRunner::new(Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 0,
        ..Config::default()
    })
}

fn options(seed: u64, rule: Rule) -> Options {
    Options {
        seed,
        vms: VMS,
        rule,
        limits: Limits::default(),
        network: Network::new(Duration::from_millis(1)),
        write_interval: Duration::from_millis(10),
        write_timeout: Duration::from_secs(4),
        write_timeout_spread: Duration::ZERO,
    }
}

fn fault_generator() -> FaultGenerator {
    FaultGenerator {
        vms: VMS,
        min_duration: Duration::from_millis(50),
        duration_spread: Duration::from_secs(3),
    }
}

/// Injects overlapping faults, ends them all, and runs on until writes have their outcomes.
fn run_faults(seed: u64, rule: Rule) -> World {
    // Some callers time out while their write is in flight.
    let mut world = World::new(Options {
        write_timeout: Duration::from_millis(250),
        write_timeout_spread: Duration::from_secs(4),
        ..options(seed, rule)
    });
    let mut rng = Rng::new(seed ^ 1);
    world.run_for(Duration::from_secs(1));
    for _fault in 0..8 {
        let fault = fault_generator().generate(&mut rng);
        world.inject(fault);
        world.run_for(rng.jitter(Duration::from_millis(1_500)));
    }
    world.heal();
    world.run_for(Duration::from_secs(3));
    world.set_writing(false);
    world.run_for(Duration::from_secs(9));
    world
}

/// Checks the ledger against the log of the last primary.
fn check_ledger(world: &mut World) -> Result<(), TestCaseError> {
    let primary = world.primary();
    prop_assert!(primary.is_some(), "no primary after all faults ended");
    prop_assert_eq!(world.open_writes(), 0, "writes without an outcome");
    if let Some(index) = primary {
        let World {
            ledger, upstreams, ..
        } = world;
        ledger.check_log(&upstreams[index]);
    }
    prop_assert!(
        world.ledger.violations.is_empty(),
        "{:?}",
        world.ledger.violations
    );
    Ok(())
}

/// Sums over all cases.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    events: u64,
    changes: usize,
    acked: usize,
    refused: usize,
    unknown: u64,
    served: u64,
}

impl Totals {
    fn add(self, world: &World) -> Self {
        Self {
            events: self.events + world.events,
            changes: self.changes + world.ledger.changes.len(),
            acked: self.acked + world.ledger.ack_count(),
            refused: self.refused + world.ledger.not_run_count(),
            unknown: self.unknown + world.ledger.unknown_outcomes,
            served: self.served + world.ledger.reads_served,
        }
    }
}

/// Guards against lost, duplicated or falsely refused writes, two primaries in one term and stale
/// reads under overlapping faults.
#[test]
fn overlapping_faults() {
    let before = invariant::count();
    let totals = Cell::new(Totals::default());
    let outcome = runner(30).run(&any::<u64>(), |seed| {
        let mut world = run_faults(seed, Rule::Majority);
        check_ledger(&mut world)?;
        totals.set(totals.get().add(&world));
        Ok(())
    });
    println!("{:?}", totals.get());
    outcome.unwrap();
    assert_eq!(invariant::count(), before);
}

/// Guards against faults too weak to lose a write: without the majority rule some must be lost.
#[test]
fn majority_rule_prevents_loss() {
    let lost = Cell::new(0);
    let outcome = runner(12).run(&any::<u64>(), |seed| {
        let world = run_faults(seed, Rule::Primary);
        let primary = world.primary().expect("a primary after all faults ended");
        lost.set(lost.get() + world.ledger.count_lost(&world.upstreams[primary]));
        Ok(())
    });
    outcome.unwrap();
    println!(
        "{} acknowledged writes lost without the majority rule",
        lost.get()
    );
    assert!(lost.get() > 0);
}

/// Guards against rival candidates that keep superseding each other's terms, so that service
/// stops for longer than the allowed gap.
#[test]
fn rivals_agree() {
    let outcome = runner(16).run(&any::<u64>(), |seed| {
        let mut world = World::new(options(seed, Rule::Majority));
        world.run_for(Duration::from_secs(2));
        let primary = world.primary();
        prop_assert!(primary.is_some(), "no first primary within 2 s");
        let start = world.now;
        let fault = primary_fault(seed, primary.unwrap_or(0));
        world.inject(fault);
        world.run_for(Duration::from_secs(6));
        let resumed = world
            .ledger
            .changes
            .iter()
            .find(|change| change.promoted_at > start);
        prop_assert!(resumed.is_some(), "the primary was not replaced");
        let acked = resumed.and_then(|change| change.first_ack);
        let gap = acked.map(|acked| acked.since(start));
        prop_assert!(gap.is_some_and(|gap| gap <= MAX_GAP), "gap of {gap:?}");
        heal_and_check(&mut world)
    });
    outcome.unwrap();
}

fn heal_and_check(world: &mut World) -> Result<(), TestCaseError> {
    world.heal();
    world.set_writing(false);
    world.run_for(Duration::from_secs(9));
    check_ledger(world)
}

/// Returns one of several long faults that separate the primary from its replicas.
fn primary_fault(seed: u64, primary: usize) -> Fault {
    let span = Duration::from_secs(20);
    let me = Party::Upstream(primary);
    let mut others = fault_generator().parties();
    others.retain(|party| *party != me);
    match seed % 4 {
        0 => Fault::Crash(me, span),
        1 => Fault::Freeze(me, span),
        2 => Fault::Partition(me, others, span),
        // VMs still reach the primary, but replicas don't.
        _ => {
            others.retain(|party| matches!(party, Party::Upstream(_)));
            Fault::Partition(me, others, span)
        }
    }
}

/// Guards against a planned change of primary that refuses writes, leaves them without an outcome
/// or stops service for longer than the allowed gap.
#[test]
fn planned_leave() {
    let outcome = runner(10).run(&any::<u64>(), |seed| {
        let mut world = World::new(options(seed, Rule::Majority));
        world.run_for(Duration::from_secs(2));
        let leaving = world.primary();
        prop_assert!(leaving.is_some(), "no first primary within 2 s");
        let start = world.now;
        world.inject(Fault::Leave(leaving.unwrap_or(0), Duration::from_secs(20)));
        world.run_for(Duration::from_secs(3));
        prop_assert_ne!(world.primary(), leaving);
        let change = world.ledger.changes.last().copied();
        let acked = change.and_then(|change| change.first_ack);
        let gap = acked.map(|acked| acked.since(start));
        prop_assert!(gap.is_some_and(|gap| gap <= MAX_GAP), "gap of {gap:?}");
        prop_assert_eq!(world.ledger.not_run_count(), 0);
        heal_and_check(&mut world)
    });
    outcome.unwrap();
}
