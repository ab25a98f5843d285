//! Claims of services, by which one VM at a time may order promotions.
//!
//! A claim is a record in the platform's store with a number that only rises, written under the
//! condition that the last one is unchanged.

use std::time::Duration;

use chervildrift_core::relay::{Authority, Lease};
use chervildrift_core::types::{Service, Vm};
use chervildrift_platform::store::{Error, Listing, Transaction, Written};
use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::{info, warn};
use tokio::time::sleep;

use super::node::Node;
use super::presence::{live_peers, row};

/// Tries of a write whose answers are lost.
const TRIES: u32 = 6;

/// Pause between such tries.
const PAUSE: Duration = Duration::from_millis(150);

/// Returns the key of a service's claim.
pub(super) fn claim_key(service: &Service) -> String {
    format!("claim/{service}")
}

/// Raises the number in a service's record; false if another VM was first.
pub(super) async fn take_claim(
    node: &Node,
    service: &Service,
    claim: &Lease,
    version: u64,
) -> Result<bool, Error> {
    let key = claim_key(service);
    let write = Transaction::default()
        .require(row(&key), version)
        .put(row(&key), encode(claim));
    let mut last = Error::NoAnswer;
    for _ in 0..TRIES {
        let taken = match node.store.write(&write).await {
            Ok(Written::Done(_)) => true,
            Ok(Written::Conflict(listing)) => {
                // An earlier try may have taken effect without an answer.
                let held = listing.rows.iter().find(|row| row.key == key);
                let held: Option<Lease> = held.and_then(|row| decode(row.value.as_deref()));
                held.is_some_and(|held| held == *claim)
            }
            Err(err) => {
                last = err;
                sleep(PAUSE).await;
                continue;
            }
        };
        if taken {
            info!(node.log, "service claimed"; "event" => "claim", "service" => %service,
                "claim" => claim.number);
            let mut claims = node.claims.borrow_mut();
            claims
                .entry(service.clone())
                .and_modify(|held| held.renew(claim.number))
                .or_insert_with(|| Authority::new(claim.number));
        }
        return Ok(taken);
    }
    Err(last)
}

/// Claims services ahead of any need, so that a leader can be replaced while the store is away.
///
/// The first VM in a service's order does so once the holder of the last claim no longer runs, and a
/// VM that was restarted takes up the claims of its earlier process.
pub(super) async fn hold_claims(node: &Node, listing: &Listing) {
    let live: Vec<Vm> = live_peers(listing).into_iter().map(|it| it.vm).collect();
    let services = node.routes.borrow().services();
    for service in services {
        let key = claim_key(&service);
        let held = listing.rows.iter().find(|row| row.key == key);
        let version = held.map_or(0, |row| row.version);
        let held: Option<Lease> = held.and_then(|row| decode(row.value.as_deref()));
        let mine = |it: &Lease| it.vm == node.settings.vm && it.boot == node.boot;
        if !held.as_ref().is_some_and(mine) && lose_claim(node, &service) {
            info!(node.log, "claim lost"; "event" => "claim", "service" => %service,
                "holder" => held.as_ref().map(|it| it.vm.as_str()), "row" => version);
        }
        let spread = chervildrift_core::placement::name_hash(service.as_str());
        let first = live.get((spread % live.len().max(1) as u64) as usize);
        let vacant = held.as_ref().is_none_or(|it| !live.contains(&it.vm));
        let inherited = held
            .as_ref()
            .is_some_and(|it| it.vm == node.settings.vm && !mine(it));
        if !(inherited || vacant && first == Some(&node.settings.vm)) {
            continue;
        }
        let claim = Lease {
            vm: node.settings.vm.clone(),
            boot: node.boot,
            number: held.map_or(0, |it| it.number) + 1,
            replaces: None,
            // Nothing was ordered under the claim, so a failover need not wait for it.
            at: 0,
        };
        if let Err(err) = take_claim(node, &service, &claim, version).await {
            warn!(node.log, "service not claimed"; "event" => "claim", "service" => %service,
                "error" => %err);
        }
    }
}

/// Gives up a claim that another VM holds now; false if this one did not hold it.
fn lose_claim(node: &Node, service: &Service) -> bool {
    let mut claims = node.claims.borrow_mut();
    let Some(authority) = claims.get_mut(service) else {
        return false;
    };
    let lost = authority.is_held();
    if !authority.mark_lost() {
        claims.remove(service);
    }
    lost
}

/// Writes a record.
pub(super) fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    // Records hold names and numbers only.
    serde_json::to_vec(record).expect("a record encodes")
}

/// Reads a record; one that can't be read counts as absent.
pub(super) fn decode<T: DeserializeOwned>(value: Option<&[u8]>) -> Option<T> {
    serde_json::from_slice(value?).ok()
}
