//! Cached placement, which is recomputed separately for each availability zone.

use std::collections::HashMap;

use smallvec::SmallVec;

use super::{MAX_DISPATCHERS, name_hash};
use crate::rng::mix;
use crate::types::{Upstream, Vm, Zone};

/// VM and the mixed hash of its name, the part of its weight that is independent of the key.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Node {
    hash: u64,
    vm: Vm,
}

/// Live VMs of one availability zone, ordered by hash.
#[derive(Debug, Default)]
struct ZoneMembers {
    version: u64,
    nodes: Vec<Node>,
}

/// Dispatcher order computed for one upstream.
#[derive(Debug, Default)]
struct CachedOrder {
    version: u64,
    order: SmallVec<[Vm; MAX_DISPATCHERS]>,
}

/// Dispatchers of upstreams among the live VMs.
///
/// A cached order is recomputed on its next use after the membership of the upstream's own
/// availability zone has changed, so changes in other zones cost nothing.
#[derive(Debug, Default)]
pub struct Placement {
    version: u64,
    zones: HashMap<Zone, ZoneMembers>,
    vm_zones: HashMap<Vm, Zone>,
    cache: HashMap<Upstream, CachedOrder>,
}

impl Placement {
    /// Creates a placement without live VMs.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the version, which increases with every change of the live VMs.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of live VMs.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.vm_zones.len()
    }

    /// Adds a live VM, or moves it to another availability zone.
    pub fn add(&mut self, vm: &Vm, zone: &Zone) {
        if self.vm_zones.get(vm) == Some(zone) {
            return;
        }
        self.remove(vm);
        self.vm_zones.insert(vm.clone(), zone.clone());
        let node = Node {
            hash: mix(name_hash(vm.as_str())),
            vm: vm.clone(),
        };
        let members = self.zones.entry(zone.clone()).or_default();
        let index = members.nodes.partition_point(|other| *other < node);
        members.nodes.insert(index, node);
        self.version += 1;
        members.version = self.version;
    }

    /// Removes a VM that is no longer live or is leaving.
    pub fn remove(&mut self, vm: &Vm) {
        let Some(zone) = self.vm_zones.remove(vm) else {
            return;
        };
        self.version += 1;
        if let Some(members) = self.zones.get_mut(&zone) {
            members.nodes.retain(|node| node.vm != *vm);
            members.version = self.version;
        }
    }

    /// Returns the dispatcher of `upstream`, which lies in `zone`.
    pub fn dispatcher(&mut self, upstream: &Upstream, zone: &Zone) -> Option<&Vm> {
        self.dispatchers(upstream, zone).first()
    }

    /// Returns the dispatcher of `upstream`, which lies in `zone`, followed by its successors.
    pub fn dispatchers(&mut self, upstream: &Upstream, zone: &Zone) -> &[Vm] {
        let version = self.zone_version(zone);
        let fresh = self
            .cache
            .get(upstream)
            .is_some_and(|entry| entry.version == version);
        if !fresh {
            let order = self.compute_order(upstream, zone);
            let entry = CachedOrder { version, order };
            self.cache.insert(upstream.clone(), entry);
        }
        self.cache.get(upstream).map_or(&[], |entry| &entry.order)
    }

    /// Returns the VMs with the greatest weights for `key`, greatest first, among those of `zone`
    /// or of all availability zones.
    #[must_use]
    pub fn top_vms(&self, key: &str, zone: Option<&Zone>) -> SmallVec<[Vm; MAX_DISPATCHERS]> {
        let key = name_hash(key);
        let zones = self
            .zones
            .iter()
            .filter(|(other, _)| zone.is_none_or(|zone| *other == zone));
        highest_weights(key, zones.flat_map(|(_, members)| &members.nodes))
    }

    /// Drops the cached order of an upstream that is no longer declared.
    pub fn remove_upstream(&mut self, upstream: &Upstream) {
        self.cache.remove(upstream);
    }

    /// Estimates the memory used, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let node = size_of::<Node>() + size_of::<(Vm, Zone)>() + size_of::<u64>();
        let entry = size_of::<(Upstream, CachedOrder)>() + size_of::<u64>();
        self.vm_zones.capacity() * node + self.cache.capacity() * entry
    }

    /// Returns the version on which a cached order for `zone` depends.
    fn zone_version(&self, zone: &Zone) -> u64 {
        match self.zones.get(zone) {
            Some(members) if !members.nodes.is_empty() => members.version,
            _ => self.version,
        }
    }

    fn compute_order(&self, upstream: &Upstream, zone: &Zone) -> SmallVec<[Vm; MAX_DISPATCHERS]> {
        let key = name_hash(upstream.as_str());
        match self.zones.get(zone) {
            Some(members) if !members.nodes.is_empty() => highest_weights(key, &members.nodes),
            _ => highest_weights(key, self.zones.values().flat_map(|members| &members.nodes)),
        }
    }
}

/// Returns the VMs with the greatest weights, greatest first.
fn highest_weights<'a>(
    key: u64,
    nodes: impl IntoIterator<Item = &'a Node>,
) -> SmallVec<[Vm; MAX_DISPATCHERS]> {
    let mut heaviest: SmallVec<[(u64, &Vm); MAX_DISPATCHERS + 1]> = SmallVec::new();
    let mut min_weight = 0;
    for node in nodes {
        let weight = mix(key ^ node.hash);
        if weight < min_weight {
            continue;
        }
        let candidate = (weight, &node.vm);
        let index = heaviest.partition_point(|other| *other > candidate);
        heaviest.insert(index, candidate);
        heaviest.truncate(MAX_DISPATCHERS);
        min_weight = heaviest
            .get(MAX_DISPATCHERS - 1)
            .map_or(0, |(weight, _)| *weight);
    }
    heaviest.into_iter().map(|(_, vm)| vm.clone()).collect()
}
