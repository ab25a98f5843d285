//! Observers that a VM asks for their views.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use chervildrift_core::relay::{Peer, observer_to_ask, observers, zone_observers};
use chervildrift_core::types::{Vm, Zone};

/// Returns a fleet of three zones with ten VMs each.
fn fleet() -> Vec<Peer> {
    let peer = |number: u16| Peer {
        vm: Vm::from(format!("vm-{number}")),
        zone: Zone::from(format!("z{}", number % 3)),
        address: SocketAddr::from(([10, 0, 0, 1], 7_000 + number)),
    };
    (0..30).map(peer).collect()
}

/// Guards against a VM that asks the observers of its zone again after all of them have failed,
/// while its view gets old.
#[test]
fn other_zones() {
    let peers = fleet();
    for asking in &peers {
        let ask = |failures| observer_to_ask(&asking.vm, &asking.zone, &peers, failures);
        let own = zone_observers(&asking.zone, &peers).len();
        let first: BTreeSet<&Vm> = (0..own).filter_map(ask).map(|it| &it.vm).collect();
        assert_eq!(first.len(), own);
        let all = observers(&peers).len();
        let next: BTreeSet<&Vm> = (own..own + all).filter_map(ask).map(|it| &it.vm).collect();
        assert_eq!(next.len(), all);
    }
}
