//! Record of this VM in the platform's store, and the count of the others.

use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::relay::{Peer, Presence, live};
use chervildrift_core::types::{Service, Upstream, Vm};
use chervildrift_platform::store::{Listing, RowKey, Transaction};
use slog::warn;
use tokio::time::sleep;

use super::leases;
use super::node::Node;
use super::replicas;

/// Table of the VMs' own records.
pub(super) const TABLE: &str = "chervildrift";

/// Start of the keys of the VMs' records.
const VM_KEY_PREFIX: &str = "vm/";

/// Interval at which the record is renewed and the others are counted.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(8);

/// Time after the first record until the others of a common start have written theirs.
const SECOND_RENEWAL_DELAY: Duration = Duration::from_millis(1_500);

/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Keeps the record until the process ends.
pub(super) async fn run(node: Rc<Node>) {
    let mut delay = SECOND_RENEWAL_DELAY;
    loop {
        let renewed = renew(&node).await;
        sleep(if renewed { delay } else { RETRY_DELAY }).await;
        if renewed {
            delay = RENEWAL_INTERVAL;
        }
    }
}

/// Drops the record.
pub(super) async fn remove_record(node: Rc<Node>) {
    let key = vm_key(&node.settings.vm);
    let write = Transaction::default().delete(row_key(&key));
    if let Err(err) = node.store.write(&write).await {
        warn!(node.log, "record not withdrawn"; "event" => "presence", "error" => %err);
    }
}

async fn renew(node: &Rc<Node>) -> bool {
    let renewal = async {
        let listing = node.store.list(TABLE).await?;
        let record = Presence {
            peer: own_peer(node),
            at: listing.now_ms,
        };
        let key = vm_key(&node.settings.vm);
        let write = Transaction::default().put(row_key(&key), leases::encode_record(&record));
        node.store.write(&write).await?;
        Ok::<_, chervildrift_platform::store::Error>(listing)
    };
    match renewal.await {
        Ok(listing) => {
            let mut peers = live_peers(&listing);
            if !peers.iter().any(|it| it.vm == node.settings.vm) {
                peers.push(own_peer(node));
            }
            node.apply_peers(peers);
            leases::maintain_leases(node, &listing).await;
            check_fences(node).await;
            true
        }
        Err(err) => {
            warn!(node.log, "record not renewed"; "event" => "presence", "error" => %err);
            false
        }
    }
}

/// Looks at the replicas of the services whose claims this VM holds, for fences that were left behind.
async fn check_fences(node: &Rc<Node>) {
    let services: Vec<Service> = node.leases.borrow().keys().cloned().collect();
    for service in services {
        let leader = node.with_group(&service, |group| group.leader().cloned());
        let others: Vec<Upstream> = {
            let directory = node.directory.borrow();
            let entries = directory.replicas(&service, leader.as_ref());
            entries.map(|it| it.upstream.clone()).collect()
        };
        for upstream in others {
            replicas::observe_replica(node, &service, &upstream).await;
        }
    }
}

fn own_peer(node: &Node) -> Peer {
    Peer {
        vm: node.settings.vm.clone(),
        zone: node.settings.zone.clone(),
        address: node.settings.peers,
    }
}

/// Returns the VMs that run by a listing of the table.
pub(super) fn live_peers(listing: &Listing) -> Vec<Peer> {
    let rows = listing
        .rows
        .iter()
        .filter(|row| row.key.starts_with(VM_KEY_PREFIX));
    let records: Vec<Presence> = rows
        .filter_map(|row| serde_json::from_slice(row.value.as_deref()?).ok())
        .collect();
    live(&records, listing.now_ms)
}

fn vm_key(vm: &Vm) -> String {
    format!("{VM_KEY_PREFIX}{vm}")
}

/// Names a row of the VMs' own table.
pub(super) const fn row_key(key: &str) -> RowKey<'_> {
    RowKey {
        table: TABLE,
        part: "",
        key,
    }
}
