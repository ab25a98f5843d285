//! Periods and bounds of the generation.

use std::time::Duration;

/// Periods and bounds of the generation.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Period at which the program sends [`Tick`](super::Event::Tick).
    pub tick_period: Duration,
    /// Time between two reads of the head record by a poller.
    pub poll_period: Duration,
    /// Mean time between two reads by any other VM, in case it misses the announcements of its
    /// peers.
    pub idle_period: Duration,
    /// Time after which a read counts as lost.
    pub read_timeout: Duration,
    /// Time after which a fetch counts as lost.
    pub fetch_timeout: Duration,
    /// Failed fetches from peers after which the object store is used.
    pub peer_attempts: u32,
    /// Mean pause after a failed fetch from a peer.
    pub peer_backoff: Duration,
    /// Mean pause after a failed fetch from the object store.
    pub store_backoff: Duration,
    /// Maximum number of remembered peers that have the target generation.
    pub max_sources: usize,
    /// Time that a started VM waits for announcements of its peers before it counts as ready
    /// without the platform.
    pub settle_delay: Duration,
    /// Maximum number of bundles sent to other VMs at once.
    pub max_transfers: usize,
    /// Time after which a transfer counts as ended.
    pub transfer_timeout: Duration,
    /// Maximum number of patches kept for VMs that are some generations behind.
    pub max_patches: usize,
    /// Maximum size of the patches that are sent in place of a bundle, in percent of its size.
    pub patch_percent: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            tick_period: Duration::from_millis(100),
            poll_period: Duration::from_millis(500),
            idle_period: Duration::from_secs(120),
            read_timeout: Duration::from_secs(2),
            fetch_timeout: Duration::from_secs(1),
            peer_attempts: 3,
            peer_backoff: Duration::from_millis(20),
            store_backoff: Duration::from_millis(500),
            max_sources: 8,
            settle_delay: Duration::from_millis(500),
            max_transfers: 4,
            transfer_timeout: Duration::from_secs(5),
            max_patches: 16,
            patch_percent: 50,
        }
    }
}
