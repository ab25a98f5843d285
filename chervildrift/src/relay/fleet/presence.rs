//! Presence record of this VM in the platform's store, and discovery of the other VMs.

use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::relay::{
    HEARD_TTL, ListedPresence, PRESENCE_TTL, Peer, Presence, due_renewals, observers, running_peers,
};
use chervildrift_core::types::{Service, Time, Upstream, Vm};
use chervildrift_platform::store::{Error, Listing, RowKey, Transaction, WriteOutcome};
use slog::warn;
use tokio::time::timeout;

use crate::relay::clock;
use crate::relay::groups::leases;
use crate::relay::groups::replicas;
use crate::relay::node::Node;
use crate::relay::quotas;
use crate::relay::stop::StopPhase;

/// Table of the records that VMs share.
pub(in crate::relay) const TABLE: &str = "chervildrift";

/// Prefix of the keys of presence records.
const VM_KEY_PREFIX: &str = "vm/";

/// Interval at which the record is renewed and the other VMs are listed.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(8);

/// Delay between the first and the second renewal, after which VMs that were started together have
/// written their records.
const SETTLE_DELAY: Duration = Duration::from_millis(1_500);

/// Age of another VM's record from which the fleet counts as running, so that the first listing is
/// complete.
const RUNNING_AGE: Duration = Duration::from_millis(2_500);

/// Interval at which a VM checks that an observer still renews its record.
const COVER_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Time since the last renewals from which an observer doesn't promise any; leaves the VMs time to
/// renew their records themselves before these expire.
const PROMISE_LIMIT: Duration = RENEWAL_INTERVAL.saturating_add(Duration::from_secs(2));

/// Maximum number of records in one call; the store accepts 100 entries, two for each record.
const MAX_BATCH: usize = 45;

/// Number of attempts to write records, some of which may have been changed by others.
const BATCH_ATTEMPTS: u32 = 3;

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Keeps the presence record renewed until the process ends or stops.
pub(in crate::relay) async fn run(node: Rc<Node>) {
    loop {
        let (result, delay) = {
            let _writing = node.presence_lock.lock().await;
            if *node.stop_phase.borrow() > StopPhase::Serving {
                return;
            }
            renew(&node).await
        };
        if let Err(err) = &result {
            warn!(node.log, "failed to renew presence record"; "event" => "presence",
                "error" => %err);
        }
        if !node.is_settled() {
            // The feeds, which notice outages otherwise, wait until the role of this VM is known.
            let now = clock::now();
            node.update_outage(|outage| match result {
                Ok(()) => outage.record_answer(),
                Err(_) => outage.record_failure(now, now),
            });
        }
        let delay = if result.is_ok() { delay } else { RETRY_DELAY };
        // After the delay the record is due in any case.
        let _requested = timeout(delay, node.presence_due.notified()).await;
    }
}

/// Deletes the presence record, once a renewal in progress has ended.
pub(in crate::relay) async fn remove_record(node: Rc<Node>) {
    let _writing = node.presence_lock.lock().await;
    let key = vm_key(&node.settings.vm);
    let write = Transaction::default().delete(row_key(&key));
    if let Err(err) = node.store.write(&write).await {
        warn!(node.log, "failed to delete presence record"; "event" => "presence", "error" => %err);
    }
}

/// Renews the record unless an observer does it for this VM; also returns the delay until the next
/// renewal.
async fn renew(node: &Rc<Node>) -> (Result<(), Error>, Duration) {
    let renewed = node
        .renewed_at
        .get()
        .is_some_and(|at| clock::now().since(at) < HEARD_TTL);
    let covered = renewed && node.is_settled() && !node.follows_store();
    if covered && !quotas::needs_announcement(node) {
        return (Ok(()), COVER_CHECK_INTERVAL);
    }
    let result = list_and_renew(node).await;
    let delay = if node.is_settled() {
        RENEWAL_INTERVAL
    } else {
        SETTLE_DELAY
    };
    (result, delay)
}

/// Lists the running VMs and renews the records that are due.
async fn list_and_renew(node: &Rc<Node>) -> Result<(), Error> {
    let read_at = clock::now();
    let listing = node.store.list(TABLE).await?;
    let records = presence_records(&listing);
    quotas::apply_listing(node, read_at, listing.now_ms, &records);
    let peers = live_peers(&listing);
    if is_fleet_running(&listing) || node.listed_before.replace(true) {
        node.apply_peers(peers);
    }
    renew_records(node, &listing, read_at).await?;
    node.renewal_at.set(Some(read_at));
    if node.is_observer() {
        leases::maintain_leases(node, &listing).await;
        check_fences(node).await;
    }
    Ok(())
}

/// Renews the own record and, as an observer, those of other VMs that it hears from.
async fn renew_records(node: &Node, listing: &Listing, read_at: Time) -> Result<(), Error> {
    let (listed, now_ms) = (listed_presence(listing), listing.now_ms);
    let own = listed.iter().find(|it| it.record.peer == own_peer(node));
    let own_age = own.map(|it| Duration::from_millis(now_ms.saturating_sub(it.record.at)));
    // The record of an earlier process of this VM counts for it as well.
    let is_due = own_age.is_none_or(|age| age >= SETTLE_DELAY * 2);
    if is_due || quotas::needs_announcement(node) {
        let key = vm_key(&node.settings.vm);
        let row = listing.rows.iter().find(|row| row.key == key);
        let version = row.map_or(0, |row| row.version);
        // The announced time counts from the write, and must not be confirmed too early.
        let store_ms = || now_ms + clock::now().since(read_at).as_millis() as u64;
        let announced = node.quotas.tenure.borrow_mut().announce(store_ms());
        let record = Presence {
            peer: own_peer(node),
            at: now_ms,
            keeps_from: Some(announced),
        };
        if write_records(node, &[(record, version)]).await? {
            node.quotas.tenure.borrow_mut().confirm(store_ms());
        }
    }
    if !node.is_observer() {
        return Ok(());
    }
    let now = clock::now();
    let heard = node.heard_at.borrow().clone();
    let silence = |vm: &Vm| heard.get(vm).map(|at| now.since(*at));
    let due = due_renewals(&listed, now_ms, silence);
    let due = due.iter().map(|it| {
        let record = Presence {
            at: now_ms,
            ..it.record.clone()
        };
        (record, it.version)
    });
    let due: Vec<(Presence, u64)> = due.collect();
    for batch in due.chunks(MAX_BATCH) {
        write_records(node, batch).await?;
    }
    Ok(())
}

/// Writes presence records whose rows still have the listed versions, so that a record that its VM
/// has deleted meanwhile stays deleted; returns whether all of them were written.
async fn write_records(node: &Node, batch: &[(Presence, u64)]) -> Result<bool, Error> {
    let keys: Vec<String> = batch.iter().map(|(it, _)| vm_key(&it.peer.vm)).collect();
    let mut unchanged = vec![true; batch.len()];
    for _ in 0..BATCH_ATTEMPTS {
        let mut write = Transaction::default();
        for (((record, version), key), _) in
            batch.iter().zip(&keys).zip(&unchanged).filter(|it| *it.1)
        {
            write = write
                .require_version(row_key(key), *version)
                .put(row_key(key), leases::encode_record(record));
        }
        match node.store.write(&write).await? {
            WriteOutcome::Committed(_) => return Ok(!unchanged.contains(&false)),
            WriteOutcome::Conflict(current) => {
                for (((_, version), key), kept) in batch.iter().zip(&keys).zip(&mut unchanged) {
                    let row = current.rows.iter().find(|row| row.key == *key);
                    *kept &= row.map_or(0, |row| row.version) == *version;
                }
            }
        }
        if !unchanged.contains(&true) {
            return Ok(false);
        }
    }
    Ok(false)
}

/// Records that another VM requested a view, and returns whether this VM renews its presence record.
pub(in crate::relay) fn renews(node: &Node, vm: &Vm) -> bool {
    let now = clock::now();
    let mut heard = node.heard_at.borrow_mut();
    heard.retain(|_, at| now.since(*at) < HEARD_TTL);
    heard.insert(vm.clone(), now);
    let renewal_at = node.renewal_at.get();
    let is_renewing = renewal_at.is_some_and(|at| now.since(at) < PROMISE_LIMIT);
    is_renewing && node.is_observer() && node.peers.borrow().iter().any(|it| it.vm == *vm)
}

/// Returns whether other VMs have been running for a while.
fn is_fleet_running(listing: &Listing) -> bool {
    let age = |it: &Presence| Duration::from_millis(listing.now_ms.saturating_sub(it.at));
    let mut records = presence_records(listing).into_iter();
    records.any(|it| (RUNNING_AGE..PRESENCE_TTL).contains(&age(&it)))
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
fn live_peers(listing: &Listing) -> Vec<Peer> {
    running_peers(&presence_records(listing), listing.now_ms)
}

fn presence_records(listing: &Listing) -> Vec<Presence> {
    let listed = listed_presence(listing).into_iter();
    listed.map(|it| it.record).collect()
}

fn listed_presence(listing: &Listing) -> Vec<ListedPresence> {
    let rows = listing
        .rows
        .iter()
        .filter(|row| row.key.starts_with(VM_KEY_PREFIX));
    rows.filter_map(|row| {
        let record = leases::decode_record(row.value.as_deref())?;
        Some(ListedPresence {
            record,
            version: row.version,
        })
    })
    .collect()
}

/// Returns the running observers, ordered by name, according to a listing of the table.
pub(in crate::relay) fn live_observers(listing: &Listing) -> Vec<Vm> {
    let peers = live_peers(listing);
    observers(&peers).iter().map(|it| it.vm.clone()).collect()
}

fn vm_key(vm: &Vm) -> String {
    format!("{VM_KEY_PREFIX}{vm}")
}

/// Returns the key of a row in the table of the VMs.
pub(in crate::relay) const fn row_key(key: &str) -> RowKey<'_> {
    RowKey {
        table: TABLE,
        part: "",
        key,
    }
}
