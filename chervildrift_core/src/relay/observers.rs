//! Observers: the VMs that follow the platform's store and the leaders for the other VMs.
//!
//! Each availability zone has a few observers, derived from the names of the running VMs. They
//! follow the store, sample the leaders' log positions, and vote on failovers; the other VMs of the
//! zone receive what they know with its age. Calls to the store therefore grow with the number of
//! zones and not with the number of VMs.

use std::collections::BTreeSet;

use super::cached_view::Peer;
use crate::placement::{name_hash, poller_key, rendezvous_order};
use crate::types::{Vm, Zone};

/// Minimum number of observers of a zone, so that one can be lost.
const MIN_ZONE_OBSERVERS: usize = 2;

/// Minimum number of observers of all zones together, a majority of which votes on failovers.
const MIN_OBSERVERS: usize = 7;

/// Returns the observers of a zone, most preferred first.
#[must_use]
pub fn zone_observers<'a>(zone: &Zone, peers: &'a [Peer]) -> Vec<&'a Peer> {
    let zones: BTreeSet<&Zone> = peers.iter().map(|it| &it.zone).collect();
    let count = MIN_OBSERVERS.div_ceil(zones.len().max(1));
    let members = peers.iter().filter(|it| it.zone == *zone);
    let order = rendezvous_order(&poller_key(zone), members.map(|it| &it.vm));
    let chosen = order.iter().take(count.max(MIN_ZONE_OBSERVERS));
    let find = |vm: &Vm| peers.iter().find(|it| it.vm == *vm);
    chosen.filter_map(find).collect()
}

/// Returns the observers of all zones, ordered by name.
#[must_use]
pub fn observers(peers: &[Peer]) -> Vec<&Peer> {
    let zones: BTreeSet<&Zone> = peers.iter().map(|it| &it.zone).collect();
    let mut all: Vec<&Peer> = zones
        .into_iter()
        .flat_map(|zone| zone_observers(zone, peers))
        .collect();
    all.sort_by(|a, b| a.vm.cmp(&b.vm));
    all
}

/// Returns the observer that a VM asks for its view after a number of failures in a row: each one of
/// its zone once, and then those of all zones by turns.
#[must_use]
pub fn observer_to_ask<'a>(
    vm: &Vm,
    zone: &Zone,
    peers: &'a [Peer],
    failures: usize,
) -> Option<&'a Peer> {
    let own = zone_observers(zone, peers);
    let order = if failures < own.len() {
        own
    } else {
        observers(peers)
    };
    let start = name_hash(vm.as_str()) as usize;
    let at = start.wrapping_add(failures) % order.len().max(1);
    order.get(at).copied()
}
