//! Record of this VM in the platform's store, and the count of the others.

use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::relay::{Peer, Presence, running_peers};
use chervildrift_core::types::{Service, Upstream, Vm};
use chervildrift_platform::store::{Key, Listing, Transaction};
use slog::warn;
use tokio::time::sleep;

use super::claims;
use super::node::Node;
use super::replicas;

/// Table of the VMs' own records.
pub(super) const TABLE: &str = "chervildrift";

/// Start of the keys of the VMs' records.
const PREFIX: &str = "vm/";

/// Interval at which the record is renewed and the others are counted.
const RENEWAL: Duration = Duration::from_secs(8);

/// Time after the first record until the others of a common start have written theirs.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Pause after a failed call.
const PAUSE: Duration = Duration::from_secs(1);

/// Keeps the record until the process ends.
pub(super) async fn keep(node: Rc<Node>) {
    let mut pause = SETTLE;
    loop {
        let done = renew(&node).await;
        sleep(if done { pause } else { PAUSE }).await;
        if done {
            pause = RENEWAL;
        }
    }
}

/// Drops the record.
pub(super) async fn withdraw(node: Rc<Node>) {
    let key = key(&node.settings.vm);
    let write = Transaction::default().drop_row(row(&key));
    if let Err(err) = node.store.write(&write).await {
        warn!(node.log, "record not withdrawn"; "event" => "presence", "error" => %err);
    }
}

async fn renew(node: &Rc<Node>) -> bool {
    let renewal = async {
        let listing = node.store.list(TABLE).await?;
        let record = Presence {
            peer: me(node),
            at: listing.now_ms,
        };
        let key = key(&node.settings.vm);
        let write = Transaction::default().put(row(&key), claims::encode(&record));
        node.store.write(&write).await?;
        Ok::<_, chervildrift_platform::store::Error>(listing)
    };
    match renewal.await {
        Ok(listing) => {
            let mut peers = live_peers(&listing);
            if !peers.iter().any(|it| it.vm == node.settings.vm) {
                peers.push(me(node));
            }
            node.take_peers(peers);
            claims::hold_claims(node, &listing).await;
            inspect(node).await;
            true
        }
        Err(err) => {
            warn!(node.log, "record not renewed"; "event" => "presence", "error" => %err);
            false
        }
    }
}

/// Looks at the replicas of the services whose claims this VM holds, for fences that were left behind.
async fn inspect(node: &Rc<Node>) {
    let services: Vec<Service> = node.claims.borrow().keys().cloned().collect();
    for service in services {
        let leader = node.with_group(&service, |group| group.leader().cloned());
        let others: Vec<Upstream> = {
            let directory = node.directory.borrow();
            let entries = directory.replicas(&service, leader.as_ref());
            entries.map(|it| it.upstream.clone()).collect()
        };
        for upstream in others {
            replicas::observe(node, &service, &upstream).await;
        }
    }
}

fn me(node: &Node) -> Peer {
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
        .filter(|row| row.key.starts_with(PREFIX));
    let records: Vec<Presence> = rows
        .filter_map(|row| serde_json::from_slice(row.value.as_deref()?).ok())
        .collect();
    running_peers(&records, listing.now_ms)
}

fn key(vm: &Vm) -> String {
    format!("{PREFIX}{vm}")
}

/// Names a row of the VMs' own table.
pub(super) const fn row(key: &str) -> Key<'_> {
    Key {
        table: TABLE,
        part: "",
        key,
    }
}
