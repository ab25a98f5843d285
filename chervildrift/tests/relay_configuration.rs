//! Configurations of the operator that must be in force at all VMs in time.

mod relay_fleet;

use std::time::{Duration, Instant};

use chervildrift_standin::deployment::Options;
use tokio::time::sleep;

use relay_fleet::gated::{GatedFleet, VM_COUNT};
use relay_fleet::{Fleet, ROUTES, Session, Vm, await_true};

/// Time in which a configuration must be in force; the default of the settings.
const APPLY_TIME: Duration = Duration::from_secs(4);

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

/// Guards against a VM that trusts the views of its observers, though they can't read the
/// configuration any more, since they still read the upstreams.
#[tokio::test(flavor = "multi_thread")]
async fn blind_observers() {
    let gated = GatedFleet::spawn().await;
    let platform = &gated.fleet.platform;
    let mut routes = ROUTES.to_vec();
    routes.push(("early", "primary", 0));
    platform.configure(2, &routes);
    await_everywhere(&gated.fleet, "early").await;
    gated.mute_observers(CONFIG_TABLE);
    routes.push(("late", "primary", 0));
    platform.configure(3, &routes);
    let published = Instant::now();
    let follower = gated.follower();
    await_true("new route", async || serves(follower, "late").await).await;
    let elapsed = published.elapsed();
    assert!(elapsed <= APPLY_TIME, "in force after {elapsed:?}");
    await_everywhere(&gated.fleet, "late").await;
}
