//! Failures of single VMs as the membership sees them.

mod net;

use std::time::Duration;

use chervildrift_core::membership::{Action, Event, State};
use chervildrift_core::types::Vm;
use net::Net;
use proptest::prelude::*;

/// Time in which a killed or frozen VM must be known in its own availability zone.
const DETECTION: Duration = Duration::from_secs(1);

proptest! {
    #![proptest_config(net::cases(6))]

    /// Guards against a killed VM that stays in use, also when datagrams are lost.
    #[test]
    fn killed_vm(seed: u64, size in 9_usize..60, loss in 0_u64..=5) {
        let mut net = Net::filled(seed, loss, size);
        net.run(Duration::from_secs(2));
        net.nodes[0].up = false;
        let (killed, vm) = (net.now, net.nodes[0].vm.clone());
        net.run(DETECTION);
        let known = net.known(0, &vm, State::Failed);
        prop_assert!(known.is_some_and(|at| at.since(killed) <= DETECTION));
        prop_assert_eq!(net.false_failures(), 0);
    }

    /// Guards against a frozen VM that stays out after it returns, or accuses others of its own
    /// absence.
    #[test]
    fn frozen_vm(seed: u64, size in 9_usize..40, frozen_ms in 1_500_u64..20_000) {
        let mut net = Net::filled(seed, 0, size);
        net.run(Duration::from_secs(2));
        net.nodes[0].frozen = true;
        let (frozen, vm) = (net.now, net.nodes[0].vm.clone());
        net.run(DETECTION);
        let known = net.known(0, &vm, State::Failed);
        prop_assert!(known.is_some_and(|at| at.since(frozen) <= DETECTION));
        net.run(Duration::from_millis(frozen_ms));
        net.thaw(0);
        prop_assert!(net.settle(Duration::from_secs(10)));
        let accused = |one: &net::Report| one.by == 0 && one.member.state == State::Failed;
        prop_assert!(!net.reports.iter().any(accused));
    }
}

/// Guards against live VMs that are taken for failed when 5% of the datagrams are lost.
#[test]
fn lost_datagrams() {
    let mut net = Net::filled(7, 5, 60);
    net.run(Duration::from_secs(60));
    assert_eq!(net.false_failures(), 0);
    assert!(net.agrees());
}

/// Guards against an old process that goes on beside the new one of the same name, and against a
/// new one whose clock lies behind.
#[test]
fn same_name() {
    for boot in [2_000, 500] {
        let mut net = Net::filled(3, 0, 9);
        net.nodes[0].up = false;
        let old = net.start("vm-8", 2, 1_000, &[1, 2]);
        net.run(Duration::from_secs(5));
        assert!(net.nodes[8].told.contains(&Action::Replaced));
        net.nodes[8].up = false;
        net.nodes[old].frozen = true;
        net.run(Duration::from_secs(3));
        let new = net.start("vm-8", 2, boot, &[1, 2]);
        net.run(Duration::from_secs(5));
        net.thaw(old);
        net.run(Duration::from_secs(5));
        assert!(
            net.nodes[old].told.contains(&Action::Replaced),
            "boot {boot}"
        );
        assert!(
            !net.nodes[new].told.contains(&Action::Replaced),
            "boot {boot}"
        );
        net.nodes[old].up = false;
        assert!(net.settle(Duration::from_secs(10)), "boot {boot}");
    }
}

/// Guards against new work for a VM that said it is leaving, and against a suspicion of one that
/// has left.
#[test]
fn leaving_vm() {
    let mut net = Net::filled(5, 5, 12);
    net.run(Duration::from_secs(1));
    net.event(0, Event::Leave);
    net.run(Duration::from_secs(2));
    let vm = net.nodes[0].vm.clone();
    for node in &net.nodes[1..] {
        assert_eq!(node.membership.state(&vm), Some(State::Leaving));
        assert!(node.membership.live().all(|(live, _)| *live != vm));
    }
    net.event(0, Event::Stop);
    net.nodes[0].up = false;
    net.run(Duration::from_secs(5));
    for node in &net.nodes[1..] {
        assert_eq!(node.membership.state(&vm), Some(State::Left));
    }
}

/// Guards against a wait for the next probe when a peer link already showed that a VM is gone,
/// and against a failure from one cut link.
#[test]
fn link_evidence() {
    let mut net = Net::filled(11, 0, 12);
    net.run(Duration::from_secs(1));
    let (dead, alive) = (net.nodes[3].vm.clone(), net.nodes[6].vm.clone());
    net.nodes[3].up = false;
    for vm in [&dead, &alive] {
        let event = Event::LinkObserved {
            vm: vm.clone(),
            reachable: false,
        };
        net.event(0, event);
    }
    net.run(Duration::from_millis(600));
    assert_eq!(net.nodes[0].membership.state(&dead), Some(State::Failed));
    assert_eq!(net.nodes[0].membership.state(&alive), Some(State::Alive));
}

/// Guards against a platform list that lags and overrules what the protocol observes.
#[test]
fn stale_seeds() {
    let mut net = Net::filled(13, 0, 9);
    net.run(Duration::from_secs(1));
    net.nodes[4].up = false;
    net.run(Duration::from_secs(4));
    let seed = chervildrift_core::membership::Seed {
        vm: Some(net.nodes[4].vm.clone()),
        address: net::address(4),
    };
    let ghost = chervildrift_core::membership::Seed {
        vm: Some(Vm::from("ghost")),
        address: net::address(99),
    };
    for index in 0..4 {
        net.event(index, Event::Seeds(vec![seed.clone(), ghost.clone()]));
    }
    net.run(Duration::from_secs(10));
    assert!(net.agrees());
    let late = net.start("late", 0, 1, &[4, 1]);
    assert!(net.settle(Duration::from_secs(10)));
    net.run(Duration::from_secs(1));
    assert!(net.nodes[late].told.contains(&Action::Joined));
}
