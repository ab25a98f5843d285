//! VMs that share the connections of the upstreams.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::cached_view::Peer;

/// Age from which a VM's record no longer counts; two of its renewals may be lost.
const PRESENCE_TTL: Duration = Duration::from_secs(25);

/// Part of each upstream's connections that stays free: those of lost VMs linger for seconds, and
/// after a common loss of power all VMs open connections beside the lingering ones.
const SPARE_SHARE: f64 = 0.35;

/// Record by which a VM shows that it runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Presence {
    /// The VM.
    pub peer: Peer,
    /// Time of the platform's store at the renewal, in milliseconds.
    pub at: u64,
}

/// Returns the VMs that run, in the order of their names.
#[must_use]
pub fn running_peers(records: &[Presence], store_ms: u64) -> Vec<Peer> {
    let fresh =
        |it: &&Presence| Duration::from_millis(store_ms.saturating_sub(it.at)) < PRESENCE_TTL;
    let fresh = records.iter().filter(fresh);
    let mut peers: Vec<Peer> = fresh.map(|it| it.peer.clone()).collect();
    peers.sort_by(|a, b| a.vm.cmp(&b.vm));
    peers.dedup_by(|a, b| a.vm == b.vm);
    peers
}

/// Returns the connections that one of `vms` may hold to an upstream that takes `limit`.
#[must_use]
pub fn connections_per_vm(limit: usize, vms: usize) -> usize {
    let spare = (limit as f64 * SPARE_SHARE).ceil() as usize;
    (limit.saturating_sub(spare) / vms.max(1)).max(1)
}
