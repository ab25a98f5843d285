//! Running VMs, as their presence records in the platform's store tell.
//!
//! Load: every VM of a large fleet writing its own record would make the calls to the store grow with
//! the fleet. The observers of a zone hear from its VMs several times a second anyway, so they renew
//! the records of these VMs together, in one call.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use smallvec::SmallVec;

use super::cached_view::Peer;
use crate::types::Vm;

/// Age at which a VM's record expires; two of its renewals may be lost.
pub const PRESENCE_TTL: Duration = Duration::from_secs(25);

/// Age from which a record is renewed; the observers of a zone take turns by this.
pub const MIN_RENEWAL_AGE: Duration = Duration::from_secs(6);

/// Time since a VM was heard from in which it counts as running; several of its requests may be lost.
pub const HEARD_TTL: Duration = Duration::from_millis(1_500);

/// Record by which a VM announces that it is running.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Presence {
    /// VM that the record describes.
    pub peer: Peer,
    /// Time of the renewal by the clock of the platform's store, in milliseconds.
    pub at: u64,
    /// Time by the same clock from which the VM may keep shares of quotas, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub keeps_from: Option<u64>,
}

/// Returns the running VMs, ordered by name.
#[must_use]
pub fn running_peers(records: &[Presence], store_now_ms: u64) -> Vec<Peer> {
    let fresh =
        |it: &&Presence| Duration::from_millis(store_now_ms.saturating_sub(it.at)) < PRESENCE_TTL;
    let fresh = records.iter().filter(fresh);
    let mut peers: Vec<Peer> = fresh.map(|it| it.peer.clone()).collect();
    peers.sort_by(|a, b| a.vm.cmp(&b.vm));
    peers.dedup_by(|a, b| a.vm == b.vm);
    peers
}

/// Presence record as listed, with the version of its row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedPresence {
    /// Content of the record.
    pub record: Presence,
    /// Version of the row.
    pub version: u64,
}

/// Returns the listed records that an observer renews for other VMs: those that are due and whose VM
/// it has heard from recently.
///
/// A record that is missing is never written: its VM may have deleted it since it was heard from.
pub fn due_renewals(
    listed: &[ListedPresence],
    store_now_ms: u64,
    silence: impl Fn(&Vm) -> Option<Duration>,
) -> SmallVec<[&ListedPresence; 16]> {
    let age = |at: u64| Duration::from_millis(store_now_ms.saturating_sub(at));
    let is_due = |it: &&ListedPresence| {
        let age = age(it.record.at);
        age >= MIN_RENEWAL_AGE
            && age < PRESENCE_TTL
            && silence(&it.record.peer.vm).is_some_and(|silence| silence < HEARD_TTL)
    };
    listed.iter().filter(is_due).collect()
}
