//! Placement of dispatchers by rendezvous hashing.
//!
//! Every VM computes the same order of VMs for a key from their names alone. When a VM is lost,
//! only the keys whose order it headed move, each to the next VM in its order.

mod cache;

use smallvec::SmallVec;

use crate::rng::mix;
use crate::types::{Service, Upstream, Vm, Zone};

pub use self::cache::Placement;

/// Number of VMs of one availability zone that poll the platform's head record.
pub const POLLERS_PER_ZONE: usize = 2;

/// Maximum number of VMs in the order of one upstream: its dispatcher and the successors.
pub const MAX_DISPATCHERS: usize = 4;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the hash of a name, which is the same on every VM and in every release.
#[must_use]
pub fn name_hash(name: &str) -> u64 {
    let fold = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    mix(name.bytes().fold(FNV_BASIS, fold))
}

/// Returns the weight of a VM for a key, both given by their [`name_hash`].
#[must_use]
pub const fn weight(key: u64, vm: u64) -> u64 {
    mix(key ^ mix(vm))
}

/// Returns the VMs in rendezvous order for `key`, greatest weight first.
#[must_use]
pub fn rendezvous_order<'a>(key: &str, vms: impl IntoIterator<Item = &'a Vm>) -> SmallVec<[Vm; 8]> {
    let key = name_hash(key);
    let mut ranked: SmallVec<[(u64, &Vm); 8]> = vms
        .into_iter()
        .map(|vm| (weight(key, name_hash(vm.as_str())), vm))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, vm)| vm.clone()).collect()
}

/// Returns the first VM in rendezvous order for `key`.
#[must_use]
pub fn rendezvous_first<'a>(key: &str, vms: impl IntoIterator<Item = &'a Vm>) -> Option<&'a Vm> {
    let key = name_hash(key);
    vms.into_iter()
        .max_by_key(|vm| (weight(key, name_hash(vm.as_str())), *vm))
}

/// Returns the dispatcher of `upstream`: a live VM of its availability zone, or of any zone if its
/// own has none.
#[must_use]
pub fn dispatcher<'a>(
    upstream: &Upstream,
    zone: &Zone,
    live: impl IntoIterator<Item = (&'a Vm, &'a Zone)> + Clone,
) -> Option<&'a Vm> {
    let local = live
        .clone()
        .into_iter()
        .filter(|(_, vm_zone)| *vm_zone == zone);
    rendezvous_first(upstream.as_str(), local.map(|(vm, _)| vm))
        .or_else(|| rendezvous_first(upstream.as_str(), live.into_iter().map(|(vm, _)| vm)))
}

/// Returns the key that selects the pollers of `zone`.
#[must_use]
pub fn poller_key(zone: &Zone) -> String {
    format!("poller/{zone}")
}

/// Returns the key that selects the aggregator of `service`.
#[must_use]
pub fn aggregator_key(service: &Service) -> String {
    format!("burn/{service}")
}

/// Returns the VMs of `zone` that poll the platform's head record.
#[must_use]
pub fn pollers<'a>(
    zone: &Zone,
    members: impl IntoIterator<Item = &'a Vm>,
) -> SmallVec<[Vm; POLLERS_PER_ZONE]> {
    rendezvous_order(&poller_key(zone), members)
        .into_iter()
        .take(POLLERS_PER_ZONE)
        .collect()
}

/// Returns the VM that aggregates the burn-rate counters of `service`.
#[must_use]
pub fn aggregator<'a>(service: &Service, live: impl IntoIterator<Item = &'a Vm>) -> Option<&'a Vm> {
    rendezvous_first(&aggregator_key(service), live)
}
