//! Periods and bounds of the protocol.

use std::time::Duration;

/// Periods and bounds of the protocol; all VMs of a fleet use the same.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Period at which the program sends [`Tick`](super::Event::Tick).
    pub tick_period: Duration,
    /// Neighbours in the own availability zone that each VM probes in turn.
    pub neighbours: usize,
    /// Time between two probes in the own availability zone.
    pub probe_period: Duration,
    /// Time after which an unanswered probe is repeated through intermediaries; after half of this
    /// time it is sent again directly.
    pub direct_timeout: Duration,
    /// Time after which an unanswered probe raises a suspicion.
    pub probe_timeout: Duration,
    /// Time in which a suspected VM of the own availability zone can refute the suspicion.
    pub suspicion_timeout: Duration,
    /// Time between two probes across availability zones.
    pub remote_period: Duration,
    /// As `direct_timeout`, across availability zones.
    pub remote_direct: Duration,
    /// As `probe_timeout`, across availability zones.
    pub remote_timeout: Duration,
    /// As `suspicion_timeout`, across availability zones.
    pub remote_suspicion: Duration,
    /// VMs through which an unanswered probe is repeated.
    pub intermediaries: usize,
    /// VMs that a new change is pushed to at once.
    pub fanout: usize,
    /// Minimum time between two rounds that push new changes.
    pub push_period: Duration,
    /// Time between two gossip rounds, which send the changes that are still pending.
    pub gossip_period: Duration,
    /// Time between two anti-entropy exchanges without differences.
    pub sync_period: Duration,
    /// Time between two anti-entropy exchanges after one that found differences.
    pub repair_period: Duration,
    /// Time between two exchanges of a VM that joins.
    pub join_period: Duration,
    /// Time after which a VM that no seed answers completes its join alone.
    pub join_timeout: Duration,
    /// Buckets sent in one anti-entropy exchange.
    pub sync_buckets: u8,
    /// Buckets sent in one exchange of a VM that joins.
    pub join_buckets: u8,
    /// Sustained rate for changes in bytes per second, independent of the size of the fleet.
    pub gossip_rate: u32,
    /// Maximum burst of changes after a quiet time, in bytes.
    pub gossip_burst: u32,
    /// As `gossip_rate`, for the pages of anti-entropy; a separate rate keeps changes from starving
    /// them.
    pub page_rate: u32,
    /// As `gossip_burst`, for the pages of anti-entropy.
    pub page_burst: u32,
    /// Time for which a VM that failed or left is remembered.
    pub forget_after: Duration,
    /// Maximum number of remembered seeds that are not members yet.
    pub max_seeds: usize,
}

impl Default for Limits {
    /// Returns the limits for the size that the fleet is expected to have in two years.
    ///
    /// A killed VM is known as failed in its availability zone after at most `neighbours *
    /// probe_period + probe_timeout + suspicion_timeout` and a few ticks. That has to stay below 1
    /// s; more frequent probes increase the traffic in proportion.
    fn default() -> Self {
        Self {
            tick_period: Duration::from_millis(25),
            neighbours: 3,
            probe_period: Duration::from_millis(100),
            direct_timeout: Duration::from_millis(75),
            probe_timeout: Duration::from_millis(200),
            suspicion_timeout: Duration::from_millis(350),
            remote_period: Duration::from_secs(1),
            remote_direct: Duration::from_millis(250),
            remote_timeout: Duration::from_secs(1),
            remote_suspicion: Duration::from_secs(3),
            intermediaries: 3,
            fanout: 4,
            push_period: Duration::from_millis(25),
            gossip_period: Duration::from_millis(100),
            sync_period: Duration::from_secs(5),
            repair_period: Duration::from_millis(500),
            join_period: Duration::from_millis(50),
            join_timeout: Duration::from_secs(3),
            sync_buckets: 8,
            join_buckets: 8,
            gossip_rate: 5_000,
            gossip_burst: 256_000,
            page_rate: 5_000,
            page_burst: 128_000,
            forget_after: Duration::from_secs(3_600),
            max_seeds: 128,
        }
    }
}
