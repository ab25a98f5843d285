//! Presence record of this VM in the platform's store, and discovery of the other VMs.

use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::relay::{Peer, Presence, running_peers};
use chervildrift_core::types::{Service, Upstream, Vm};
use chervildrift_platform::store::{Listing, RowKey, Transaction};
use slog::warn;
use tokio::time::sleep;

use super::leases;
use super::node::Node;
use super::replicas;

/// Table of the records that VMs share.
pub(super) const TABLE: &str = "chervildrift";

/// Prefix of the keys of presence records.
const VM_KEY_PREFIX: &str = "vm/";

/// Interval at which the record is renewed and the other VMs are listed.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(8);

/// Delay between the first and the second renewal, after which VMs that were started together have
/// written their records.
const SECOND_RENEWAL_DELAY: Duration = Duration::from_millis(1_500);

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Keeps the presence record renewed until the process ends.
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

/// Deletes the presence record.
pub(super) async fn remove_record(node: Rc<Node>) {
    let key = vm_key(&node.settings.vm);
    let write = Transaction::default().delete(row_key(&key));
    if let Err(err) = node.store.write(&write).await {
        warn!(node.log, "failed to delete presence record"; "event" => "presence", "error" => %err);
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
            warn!(node.log, "failed to renew presence record"; "event" => "presence",
                "error" => %err);
            false
        }
    }
}

/// Checks the replicas of all services whose leases this VM holds for stale fences.
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

/// Returns the running VMs according to a listing of the table.
pub(super) fn live_peers(listing: &Listing) -> Vec<Peer> {
    let rows = listing
        .rows
        .iter()
        .filter(|row| row.key.starts_with(VM_KEY_PREFIX));
    let records: Vec<Presence> = rows
        .filter_map(|row| serde_json::from_slice(row.value.as_deref()?).ok())
        .collect();
    running_peers(&records, listing.now_ms)
}

fn vm_key(vm: &Vm) -> String {
    format!("{VM_KEY_PREFIX}{vm}")
}

/// Returns the key of a row in the table of the VMs.
pub(super) const fn row_key(key: &str) -> RowKey<'_> {
    RowKey {
        table: TABLE,
        part: "",
        key,
    }
}
