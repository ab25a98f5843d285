//! Balance of dispatchers over VMs, and how many of them move when a VM is lost.

use std::collections::HashMap;
use std::time::Instant;

use chervildrift_core::placement::Placement;
use chervildrift_core::types::{Upstream, Vm, Zone};

use super::link::Links;
use super::vm;

/// Number of upstreams of the two-year size.
const FLEET_UPSTREAMS: usize = 22_200;

/// Number of VMs of the two-year size.
const FLEET_VMS: usize = 3_400;

/// Figures of the placement of dispatchers.
#[derive(Clone, Copy, Debug, Default)]
pub struct DispatcherFigures {
    /// Number of upstreams that were placed.
    pub upstreams: usize,
    /// Upstreams of the most loaded VM, divided by the mean over the VMs.
    pub imbalance: f64,
    /// Dispatchers on other VMs that moved when one VM was lost.
    pub moved_others: usize,
    /// Dispatchers on the lost VM that moved.
    pub moved_lost: usize,
    /// Nanoseconds to look up a dispatcher that is in the cache.
    pub warm_ns: f64,
    /// Nanoseconds to compute a dispatcher that is not in the cache.
    pub cold_ns: f64,
}

/// Measures the placement of as many upstreams per VM as the two-year size has.
pub fn measure(size: usize) -> DispatcherFigures {
    let links = Links::new(size, chervildrift_core::rng::Rng::new(1));
    let mut placement = Placement::new();
    for index in 0..size {
        placement.add(&vm::vm_name(index), &links.zone_name(index));
    }
    let upstreams: Vec<(Upstream, Zone)> = (0..FLEET_UPSTREAMS * size / FLEET_VMS)
        .map(|number| {
            (
                Upstream::from(format!("db-{number}")),
                links.zone_name(number),
            )
        })
        .collect();
    let started = Instant::now();
    let before = place_all(&mut placement, &upstreams);
    let cold = started.elapsed();
    let started = Instant::now();
    let again = place_all(&mut placement, &upstreams);
    let warm = started.elapsed();
    debug_assert_eq!(before, again);
    let count = upstreams.len().max(1) as f64;
    let lost = vm::vm_name(size / 2);
    placement.remove(&lost);
    let after = place_all(&mut placement, &upstreams);
    let changed = before.iter().zip(&after).filter(|(old, new)| old != new);
    let held = changed.clone().filter(|(old, _)| **old == lost).count();
    DispatcherFigures {
        upstreams: upstreams.len(),
        imbalance: imbalance(&before, size),
        moved_others: changed.count() - held,
        moved_lost: held,
        warm_ns: warm.as_nanos() as f64 / count,
        cold_ns: cold.as_nanos() as f64 / count,
    }
}

fn place_all(placement: &mut Placement, upstreams: &[(Upstream, Zone)]) -> Vec<Vm> {
    let placed = upstreams
        .iter()
        .filter_map(|(upstream, zone)| placement.dispatcher(upstream, zone).cloned());
    placed.collect()
}

fn imbalance(dispatchers: &[Vm], size: usize) -> f64 {
    let mut counts: HashMap<&Vm, usize> = HashMap::new();
    for vm in dispatchers {
        *counts.entry(vm).or_default() += 1;
    }
    let greatest = counts.into_values().max().unwrap_or(0) as f64;
    greatest * size as f64 / dispatchers.len().max(1) as f64
}
