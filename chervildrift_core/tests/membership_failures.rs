//! Detection of failures of single VMs.

mod net;

use std::time::Duration;

use chervildrift_core::membership::{Action, Event, State};
use chervildrift_core::types::Vm;
use net::Net;
use proptest::prelude::*;

/// Time in which a killed or frozen VM must be known in its own availability zone.
const DETECTION_LIMIT: Duration = Duration::from_secs(1);

proptest! {
    #![proptest_config(net::cases(6))]

    /// Guards against a killed VM that stays in use, also when datagrams are lost.
    #[test]
    fn killed_vm(seed: u64, size in 9_usize..60, loss in 0_u64..=5) {
        let mut net = Net::with_members(seed, loss, size);
        net.run(Duration::from_secs(2));
        net.nodes[0].up = false;
        let (killed_at, vm) = (net.now, net.nodes[0].vm.clone());
        net.run(DETECTION_LIMIT);
        let reported_at = net.agreed_at(0, &vm, State::Failed);
        prop_assert!(reported_at.is_some_and(|at| at.since(killed_at) <= DETECTION_LIMIT));
        prop_assert_eq!(net.false_failures(), 0);
    }

    /// Guards against a frozen VM that is not a member again after it resumes, or that then reports
    /// others as failed.
    #[test]
    fn frozen_vm(seed: u64, size in 9_usize..40, frozen_ms in 1_500_u64..20_000) {
        let mut net = Net::with_members(seed, 0, size);
        net.run(Duration::from_secs(2));
        net.nodes[0].frozen = true;
        let (frozen_at, vm) = (net.now, net.nodes[0].vm.clone());
        net.run(DETECTION_LIMIT);
        let reported_at = net.agreed_at(0, &vm, State::Failed);
        prop_assert!(reported_at.is_some_and(|at| at.since(frozen_at) <= DETECTION_LIMIT));
        net.run(Duration::from_millis(frozen_ms));
        net.unfreeze(0);
        prop_assert!(net.run_until_agreed(Duration::from_secs(10)));
        let reported_failed = |one: &net::Report| one.by == 0 && one.member.state == State::Failed;
        prop_assert!(!net.reports.iter().any(reported_failed));
    }
}

/// Guards against live VMs that are reported as failed when 5% of the datagrams are lost.
#[test]
fn lost_datagrams() {
    let mut net = Net::with_members(7, 5, 60);
    net.run(Duration::from_secs(60));
    assert_eq!(net.false_failures(), 0);
    assert!(net.all_agree());
}

/// Guards against an old process that continues beside the new one of the same name, and against a
/// new one that is rejected because its clock is behind.
#[test]
fn same_name() {
    for boot in [2_000, 500] {
        let mut net = Net::with_members(3, 0, 9);
        net.nodes[0].up = false;
        let old = net.start("vm-8", 2, 1_000, &[1, 2]);
        net.run(Duration::from_secs(5));
        assert!(net.nodes[8].notices.contains(&Action::Replaced));
        net.nodes[8].up = false;
        net.nodes[old].frozen = true;
        net.run(Duration::from_secs(3));
        let new = net.start("vm-8", 2, boot, &[1, 2]);
        net.run(Duration::from_secs(5));
        net.unfreeze(old);
        net.run(Duration::from_secs(5));
        assert!(
            net.nodes[old].notices.contains(&Action::Replaced),
            "boot {boot}"
        );
        assert!(
            !net.nodes[new].notices.contains(&Action::Replaced),
            "boot {boot}"
        );
        net.nodes[old].up = false;
        assert!(net.run_until_agreed(Duration::from_secs(10)), "boot {boot}");
    }
}

/// Guards against new work for a VM that has announced that it is leaving, and against a suspicion
/// of one that has left.
#[test]
fn leaving_vm() {
    let mut net = Net::with_members(5, 5, 12);
    net.run(Duration::from_secs(1));
    net.handle_event(0, Event::Leave);
    net.run(Duration::from_secs(2));
    let vm = net.nodes[0].vm.clone();
    for node in &net.nodes[1..] {
        assert_eq!(node.membership.state(&vm), Some(State::Leaving));
        assert!(node.membership.live().all(|(live, _)| *live != vm));
    }
    net.handle_event(0, Event::Stop);
    net.nodes[0].up = false;
    net.run(Duration::from_secs(5));
    for node in &net.nodes[1..] {
        assert_eq!(node.membership.state(&vm), Some(State::Left));
    }
}

/// Guards against waiting for the next probe when a peer connection has already shown that a VM is
/// gone, and against a failure declared because of one cut connection.
#[test]
fn link_failure() {
    let mut net = Net::with_members(11, 0, 12);
    net.run(Duration::from_secs(1));
    let (dead, alive) = (net.nodes[3].vm.clone(), net.nodes[6].vm.clone());
    net.nodes[3].up = false;
    for vm in [&dead, &alive] {
        let event = Event::LinkObserved {
            vm: vm.clone(),
            reachable: false,
        };
        net.handle_event(0, event);
    }
    net.run(Duration::from_millis(600));
    assert_eq!(net.nodes[0].membership.state(&dead), Some(State::Failed));
    assert_eq!(net.nodes[0].membership.state(&alive), Some(State::Alive));
}

/// Guards against an outdated platform list that overrides what the protocol observes.
#[test]
fn stale_seeds() {
    let mut net = Net::with_members(13, 0, 9);
    net.run(Duration::from_secs(1));
    net.nodes[4].up = false;
    net.run(Duration::from_secs(4));
    let seed = chervildrift_core::membership::Seed {
        vm: Some(net.nodes[4].vm.clone()),
        address: net::address(4),
    };
    let unknown_seed = chervildrift_core::membership::Seed {
        vm: Some(Vm::from("ghost")),
        address: net::address(99),
    };
    for index in 0..4 {
        net.handle_event(
            index,
            Event::Seeds(vec![seed.clone(), unknown_seed.clone()]),
        );
    }
    net.run(Duration::from_secs(10));
    assert!(net.all_agree());
    let late = net.start("late", 0, 1, &[4, 1]);
    assert!(net.run_until_agreed(Duration::from_secs(10)));
    net.run(Duration::from_secs(1));
    assert!(net.nodes[late].notices.contains(&Action::Joined));
}
