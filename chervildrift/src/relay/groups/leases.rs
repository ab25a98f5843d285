//! Leases of services, under which one VM at a time may order promotions.
//!
//! A lease is a record in the platform's store with a number that only increases. It is written on
//! the condition that the previous record is unchanged.

use std::time::Duration;

use chervildrift_core::relay::{Authority, Lease};
use chervildrift_core::types::{Service, Vm};
use chervildrift_platform::store::{Error, Listing, Transaction, WriteOutcome};
use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::{info, warn};
use tokio::time::sleep;

use crate::relay::fleet::presence::{live_observers, row_key};
use crate::relay::node::Node;

/// Number of attempts to write a lease when calls fail or responses are lost.
const WRITE_ATTEMPTS: u32 = 6;

/// Delay between attempts to write a lease.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Returns the key of a service's lease.
pub(in crate::relay) fn lease_key(service: &Service) -> String {
    format!("claim/{service}")
}

/// Writes a lease with a higher number; returns false if another VM wrote one first.
pub(in crate::relay) async fn acquire_lease(
    node: &Node,
    service: &Service,
    lease: &Lease,
    version: u64,
) -> Result<bool, Error> {
    let key = lease_key(service);
    let write = Transaction::default()
        .require_version(row_key(&key), version)
        .put(row_key(&key), encode_record(lease));
    let mut last_error = Error::NoAnswer;
    for _ in 0..WRITE_ATTEMPTS {
        let acquired = match node.store.write(&write).await {
            Ok(WriteOutcome::Committed(_)) => true,
            Ok(WriteOutcome::Conflict(listing)) => {
                // An earlier attempt may have been committed although its response was lost.
                let current = listing.rows.iter().find(|row| row.key == key);
                let current: Option<Lease> =
                    current.and_then(|row| decode_record(row.value.as_deref()));
                current.is_some_and(|current| current == *lease)
            }
            Err(err) => {
                last_error = err;
                sleep(WRITE_RETRY_DELAY).await;
                continue;
            }
        };
        if acquired {
            info!(node.log, "lease acquired"; "event" => "claim", "service" => %service,
                "claim" => lease.number);
            let mut leases = node.leases.borrow_mut();
            leases
                .entry(service.clone())
                .and_modify(|current| current.renew(lease.number))
                .or_insert_with(|| Authority::new(lease.number));
        }
        return Ok(acquired);
    }
    Err(last_error)
}

/// Acquires leases before they are needed, so that a leader can be replaced while the store is
/// unavailable.
///
/// The VM that is first in a service's order acquires the lease once the holder no longer runs. A
/// VM that was restarted takes over the leases of its previous process.
pub(in crate::relay) async fn maintain_leases(node: &Node, listing: &Listing) {
    let live: Vec<Vm> = live_observers(listing);
    let services = node.routes.borrow().services();
    for service in services {
        let key = lease_key(&service);
        let current = listing.rows.iter().find(|row| row.key == key);
        let version = current.map_or(0, |row| row.version);
        let current: Option<Lease> = current.and_then(|row| decode_record(row.value.as_deref()));
        let is_own = |it: &Lease| it.vm == node.settings.vm && it.boot == node.boot;
        if !current.as_ref().is_some_and(is_own) && mark_lease_lost(node, &service) {
            info!(node.log, "lease lost"; "event" => "claim", "service" => %service,
                "holder" => current.as_ref().map(|it| it.vm.as_str()), "row" => version);
        }
        let hash = chervildrift_core::placement::name_hash(service.as_str());
        let preferred = live.get((hash % live.len().max(1) as u64) as usize);
        let is_vacant = current.as_ref().is_none_or(|it| !live.contains(&it.vm));
        let is_inherited = current
            .as_ref()
            .is_some_and(|it| it.vm == node.settings.vm && !is_own(it));
        // A holder that is no longer an observer, or an earlier process, may just have ordered.
        let is_settled = current
            .as_ref()
            .is_none_or(|it| it.is_settled(listing.now_ms));
        let is_due = is_inherited || is_vacant && preferred == Some(&node.settings.vm);
        if !(is_due && is_settled) {
            continue;
        }
        let lease = Lease {
            vm: node.settings.vm.clone(),
            boot: node.boot,
            number: current.map_or(0, |it| it.number) + 1,
            replaces: None,
            // Nothing has been ordered under this lease, so a failover need not wait for its
            // holder.
            at: 0,
        };
        if let Err(err) = acquire_lease(node, &service, &lease, version).await {
            warn!(node.log, "failed to acquire lease"; "event" => "claim", "service" => %service,
                "error" => %err);
        }
    }
}

/// Marks a lease that another VM holds now as lost; returns whether this VM held it.
fn mark_lease_lost(node: &Node, service: &Service) -> bool {
    let mut leases = node.leases.borrow_mut();
    let Some(authority) = leases.get_mut(service) else {
        return false;
    };
    let was_held = authority.may_promote();
    if !authority.mark_lost() {
        leases.remove(service);
    }
    was_held
}

/// Encodes a record for the store.
pub(in crate::relay) fn encode_record<T: Serialize>(record: &T) -> Vec<u8> {
    // Records contain only names and numbers, which always encode.
    serde_json::to_vec(record).expect("a record encodes")
}

/// Decodes a record of the store; a malformed one counts as absent.
pub(in crate::relay) fn decode_record<T: DeserializeOwned>(value: Option<&[u8]>) -> Option<T> {
    serde_json::from_slice(value?).ok()
}
