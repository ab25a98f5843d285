//! Presence records of the VMs in the platform's store.

mod relay_fleet;

use std::time::Duration;

use tokio::time::sleep;

use relay_fleet::await_true;
use relay_fleet::gated::GatedFleet;

/// Table of the records.
const PRESENCE_TABLE: &str = "chervildrift";

/// Time in which a renewal that has begun ends.
const CALL_TIME: Duration = Duration::from_secs(2);

/// Returns the store's time of the newest renewal of the follower's record.
fn renewal_time(gated: &GatedFleet) -> Option<u64> {
    let key = format!("vm/{}", gated.follower().name);
    let record = gated.fleet.platform.store.get(PRESENCE_TABLE, &key)?;
    let record: serde_json::Value = serde_json::from_slice(&record).ok()?;
    record["at"].as_u64()
}

/// Guards against a VM that counts as lost while it runs, since its observers promise to renew its
/// record and can't.
#[tokio::test(flavor = "multi_thread")]
async fn broken_promise() {
    let gated = GatedFleet::spawn().await;
    gated.mute_observers(PRESENCE_TABLE);
    sleep(CALL_TIME).await;
    let last = renewal_time(&gated);
    // Records expire after 25 s; this waits for 20 s.
    await_true("renewal", async || renewal_time(&gated) > last).await;
}
