//! Periods and bounds of the generation.

use std::time::Duration;

/// Periods and bounds of the generation.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Period at which the program sends [`Tick`](super::Event::Tick).
    pub tick: Duration,
    /// Time between two reads of the head record by a poller.
    pub poll_period: Duration,
    /// Mean time between two reads by any other VM, in case it hears of a generation from no one.
    pub idle_period: Duration,
    /// Time after which a read counts as lost.
    pub read_wait: Duration,
    /// Time after which a fetch counts as lost.
    pub fetch_wait: Duration,
    /// Fetches from peers that may fail before the object store is asked.
    pub peer_tries: u32,
    /// Mean pause after a failed fetch from a peer.
    pub peer_pause: Duration,
    /// Mean pause after a failed fetch from the object store.
    pub store_pause: Duration,
    /// Peers remembered that have the next generation.
    pub holders: usize,
    /// Time a started VM listens to peers before it counts as ready without the platform.
    pub settle_wait: Duration,
    /// Bundles sent to other VMs at once.
    pub transfers: usize,
    /// Time after which a transfer counts as ended.
    pub transfer_wait: Duration,
    /// Patches kept for VMs that are some generations behind.
    pub patches: usize,
    /// Greatest share of a bundle that is still sent as patches, in percent.
    pub patch_percent: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(100),
            poll_period: Duration::from_millis(500),
            idle_period: Duration::from_secs(120),
            read_wait: Duration::from_secs(2),
            fetch_wait: Duration::from_secs(1),
            peer_tries: 3,
            peer_pause: Duration::from_millis(20),
            store_pause: Duration::from_millis(500),
            holders: 8,
            settle_wait: Duration::from_millis(500),
            transfers: 4,
            transfer_wait: Duration::from_secs(5),
            patches: 16,
            patch_percent: 50,
        }
    }
}
