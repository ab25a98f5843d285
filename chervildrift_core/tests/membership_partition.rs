//! Partitions between availability zones, and joins.

mod net;

use std::time::Duration;

use chervildrift_core::membership::{Action, Event, State};
use net::Net;
use proptest::prelude::*;

proptest! {
    #![proptest_config(net::cases(4))]

    /// Guards against two sides that keep different members after a partition has healed, and
    /// against a side that then drops its own VMs.
    #[test]
    fn healed_partition(seed: u64, size in 9_usize..45, loss in 0_u64..=5, cut_s in 20_u64..40) {
        let mut net = Net::with_members(seed, loss, size);
        net.run(Duration::from_secs(1));
        net.is_cut = |a, b| (a == 0) != (b == 0);
        net.run(Duration::from_secs(cut_s));
        let own = net.nodes[0].membership.live().count();
        prop_assert_eq!(own, size.div_ceil(3));
        net.is_cut = |_, _| false;
        let healed_at = net.now;
        prop_assert!(net.run_until_agreed(Duration::from_secs(30)));
        let drops_own = |one: &net::Report| {
            let zone = net.nodes[one.by].zone;
            let own = one.member.place.zone.as_str() == net::ZONES[zone];
            one.at > healed_at && one.member.state == State::Failed && own
        };
        prop_assert!(!net.reports.iter().any(drops_own));
    }

    /// Guards against a VM that joins through one seed and never learns all members.
    #[test]
    fn join_through_one_seed(seed: u64, size in 3_usize..60, loss in 0_u64..=5) {
        let mut net = Net::with_members(seed, loss, size);
        let late = net.start("late", 1, 1, &[0]);
        prop_assert!(net.run_until_agreed(Duration::from_secs(10)));
        net.run(Duration::from_secs(1));
        prop_assert!(net.nodes[late].notices.contains(&Action::Joined));
    }
}

/// Guards against VMs of two availability zones that are reported as failed while only the link
/// between the two is cut.
#[test]
fn partial_cut() {
    let mut net = Net::with_members(17, 0, 12);
    net.run(Duration::from_secs(1));
    net.is_cut = |a, b| a + b == 1;
    net.run(Duration::from_secs(20));
    assert_eq!(net.false_failures(), 0);
}

/// Guards against a fleet that starts from seeds alone and never agrees on its members.
#[test]
fn cold_start() {
    let mut net = Net::new(19, 2);
    for index in 0..9 {
        let seeds: Vec<usize> = (0..index).collect();
        net.start(&format!("vm-{index}"), index % 3, 1, &seeds);
    }
    assert!(net.run_until_agreed(Duration::from_secs(20)));
}

/// Guards against a lost availability zone that the others keep as alive.
#[test]
fn lost_zone() {
    let mut net = Net::with_members(23, 0, 30);
    net.run(Duration::from_secs(1));
    for node in &mut net.nodes {
        node.up = node.zone != 0;
    }
    assert!(net.run_until_agreed(Duration::from_secs(30)));
    assert_eq!(net.nodes[1].membership.live().count(), 20);
}

/// Guards against a configuration that reaches only the neighbours of the VM that has it.
#[test]
fn announced_version() {
    let mut net = Net::with_members(29, 5, 60);
    net.run(Duration::from_secs(1));
    let version = chervildrift_core::generation::Version {
        generation: 4,
        hash: chervildrift_core::generation::BundleHash([4; 32]),
    };
    net.handle_event(0, Event::VersionInstalled(version));
    for _ in 0..40 {
        net.run(Duration::from_millis(100));
        for index in 0..net.nodes.len() {
            if net.nodes[index].announced_generation == 4 {
                net.handle_event(index, Event::VersionInstalled(version));
            }
        }
    }
    assert!(
        net.nodes[1..]
            .iter()
            .all(|node| node.announced_generation == 4)
    );
}
