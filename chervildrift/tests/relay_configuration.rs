//! Configurations of the operator that must be in force at all VMs in time.

mod relay_fleet;

use std::time::{Duration, Instant};

use chervildrift_standin::deployment::Options;
use tokio::time::sleep;

use relay_fleet::{Fleet, ROUTES, Session, Vm, await_true};

/// Time in which a configuration must be in force; the default of the settings.
const APPLY_TIME: Duration = Duration::from_secs(4);

/// Number of VMs of one zone of which one is not an observer.
const VM_COUNT: usize = 8;

/// Table of the configuration.
const CONFIG_TABLE: &str = "op";

/// Returns whether a VM has a route to a database.
async fn serves(vm: &Vm, database: &str) -> bool {
    let mut probe = Session::connect(vm.callers).await;
    probe.send(&format!("START {database} tester")).await.ready == "READY I -"
}

/// Waits until all VMs have a route to a database.
async fn await_everywhere(fleet: &Fleet, database: &str) {
    for vm in &fleet.vms {
        await_true("new route", async || serves(vm, database).await).await;
    }
}

/// Guards against a configuration that is in force late since the calls that wait for it are lost
/// at all observers at once, right after they began.
#[tokio::test(flavor = "multi_thread")]
async fn lost_feeds() {
    let fleet = Fleet::spawn(VM_COUNT, &Options::default()).await;
    let mut routes = ROUTES.to_vec();
    routes.push(("early", "primary", 0));
    fleet.platform.configure(2, &routes);
    await_everywhere(&fleet, "early").await;
    fleet.platform.store.silence_connections();
    sleep(Duration::from_millis(100)).await;
    routes.push(("late", "primary", 0));
    fleet.platform.configure(3, &routes);
    let published = Instant::now();
    await_everywhere(&fleet, "late").await;
    let elapsed = published.elapsed();
    assert!(elapsed <= APPLY_TIME, "in force after {elapsed:?}");
}

/// Returns the role that a VM has logged last: whether it is an observer.
fn logged_role(vm: &Vm) -> Option<bool> {
    let log = vm.log();
    let mut roles = log.iter().rev().filter(|line| line["event"] == "observer");
    roles.find_map(|line| line["observer"].as_bool())
}

/// Returns whether all VMs know each other, and one of them is not an observer.
fn has_settled(fleet: &Fleet) -> bool {
    let knows_all = |vm: &Vm| {
        let log = vm.log();
        let mut counts = log.iter().rev().filter(|line| line["event"] == "presence");
        counts.find_map(|line| line["vms"].as_u64()) == Some(VM_COUNT as u64)
    };
    let others = fleet.vms.iter().filter(|vm| logged_role(vm) == Some(false));
    fleet.vms.iter().all(knows_all) && others.count() == 1
}

/// Guards against a VM that trusts the views of its observers, though they can't read the
/// configuration any more, since they still read the upstreams.
#[tokio::test(flavor = "multi_thread")]
async fn blind_observers() {
    let mut fleet = Fleet::spawn(0, &Options::default()).await;
    let mut gates = Vec::new();
    for _ in 0..VM_COUNT {
        let gate = fleet.platform.with_own_address().await.expect("a gate");
        fleet.store_address = gate.address;
        fleet.add_vm("");
        gates.push(gate);
    }
    await_true("settled fleet", async || has_settled(&fleet)).await;
    let mut routes = ROUTES.to_vec();
    routes.push(("early", "primary", 0));
    fleet.platform.configure(2, &routes);
    await_everywhere(&fleet, "early").await;
    for (vm, gate) in fleet.vms.iter().zip(&gates) {
        if logged_role(vm) == Some(true) {
            gate.mute_reads(CONFIG_TABLE);
        }
    }
    routes.push(("late", "primary", 0));
    fleet.platform.configure(3, &routes);
    let published = Instant::now();
    let follower = fleet.vms.iter().find(|vm| logged_role(vm) == Some(false));
    let follower = follower.expect("a VM that follows observers");
    await_true("new route", async || serves(follower, "late").await).await;
    let elapsed = published.elapsed();
    assert!(elapsed <= APPLY_TIME, "in force after {elapsed:?}");
    await_everywhere(&fleet, "late").await;
}
