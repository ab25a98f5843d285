//! Placement of dispatchers.

#[path = "net/cases.rs"]
mod net;

use chervildrift_core::placement::{
    Placement, dispatcher, pollers, rendezvous_first, rendezvous_order,
};
use chervildrift_core::types::{Upstream, Vm, Zone};
use proptest::prelude::*;

fn fleet(size: usize) -> Vec<(Vm, Zone)> {
    let zone = |index: usize| Zone::from(format!("zone-{}", index % 3));
    (0..size)
        .map(|index| (Vm::from(format!("vm-{index}")), zone(index)))
        .collect()
}

fn placement_of(fleet: &[(Vm, Zone)]) -> Placement {
    let mut placement = Placement::new();
    for (vm, zone) in fleet {
        placement.add(vm, zone);
    }
    placement
}

proptest! {
    #![proptest_config(net::cases(32))]

    /// Guards against upstreams that change dispatcher although their VM is still live, and against
    /// a successor that does not become the next dispatcher.
    #[test]
    fn lost_vm(size in 4_usize..60, lost: prop::sample::Index, salt: u16) {
        let fleet = fleet(size);
        let mut placement = placement_of(&fleet);
        let removed = &fleet[lost.index(size)].0;
        for number in 0..60 {
            let upstream = Upstream::from(format!("db-{salt}-{number}"));
            let zone = &fleet[number % 3].1;
            let before = placement.dispatchers(&upstream, zone).to_vec();
            placement.remove(removed);
            let after = placement.dispatchers(&upstream, zone).to_vec();
            let remaining: Vec<_> = before.iter().filter(|vm| *vm != removed).cloned().collect();
            let shared = remaining.len().min(after.len());
            prop_assert_eq!(&remaining[..shared], &after[..shared]);
            let own_zone = fleet.iter().find(|(vm, _)| vm == removed).map(|(_, zone)| zone);
            placement.add(removed, own_zone.expect("listed"));
        }
    }

    /// Guards against a cached order that is not recomputed after a membership change.
    #[test]
    fn stale_cache(size in 1_usize..40, steps in prop::collection::vec(any::<(bool, prop::sample::Index)>(), 1..60)) {
        let fleet = fleet(size);
        let mut live: Vec<(Vm, Zone)> = Vec::new();
        let mut placement = Placement::new();
        for (join, index) in steps {
            let (vm, zone) = &fleet[index.index(size)];
            live.retain(|(other, _)| other != vm);
            if join {
                live.push((vm.clone(), zone.clone()));
                placement.add(vm, zone);
            } else {
                placement.remove(vm);
            }
            for number in 0..6 {
                let upstream = Upstream::from(format!("db-{number}"));
                let zone = &fleet[number % size].1;
                let pairs = live.iter().map(|(vm, zone)| (vm, zone));
                let expected = dispatcher(&upstream, zone, pairs);
                prop_assert_eq!(placement.dispatcher(&upstream, zone), expected);
            }
        }
    }
}

/// Guards against upstreams without a dispatcher after their availability zone has lost all VMs.
#[test]
fn empty_zone() {
    let fleet = fleet(9);
    let mut placement = placement_of(&fleet);
    let zone = Zone::from("zone-0");
    for (vm, _) in fleet.iter().filter(|(_, at)| *at == zone) {
        placement.remove(vm);
    }
    let upstream = Upstream::from("db-1");
    let chosen = placement.dispatcher(&upstream, &zone).cloned();
    let others = fleet.iter().filter(|(_, at)| *at != zone);
    let expected = rendezvous_first("db-1", others.map(|(vm, _)| vm));
    assert_eq!(chosen.as_ref(), expected);
}

/// Guards against an order that depends on the order in which a VM lists the members.
#[test]
fn listing_order() {
    let fleet = fleet(20);
    let names: Vec<&Vm> = fleet.iter().map(|(vm, _)| vm).collect();
    let forward = rendezvous_order("db-1", names.iter().copied());
    let backward = rendezvous_order("db-1", names.iter().rev().copied());
    assert_eq!(forward, backward);
    let zone = Zone::from("zone-0");
    assert_eq!(pollers(&zone, names.iter().copied()).len(), 2);
}
