//! Stored counts of a service.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Tally;
use crate::types::{Kind, Rank, Service, Vm};

/// Estimated size of a bucket or reporter in JSON.
const ENTRY_BYTES: usize = 40;

/// Tally of one time bucket.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BucketTally {
    /// Seconds from the midpoint of the bucket to the snapshot.
    pub age_s: u32,
    /// Tally of the bucket.
    pub tally: Tally,
}

impl BucketTally {
    pub(super) const fn age(&self) -> Duration {
        Duration::from_secs(self.age_s as u64)
    }
}

/// Counts of one kind and rank.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SeriesCounts {
    /// Kind of the requests.
    pub kind: Kind,
    /// Rank of the requests.
    pub rank: Rank,
    /// Fine buckets, of the last minutes.
    pub fine: Vec<BucketTally>,
    /// Coarse buckets, of the last hours; they include the counts of the fine ones.
    pub coarse: Vec<BucketTally>,
}

/// Deltas of one process of a VM that a snapshot includes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MergedDeltas {
    /// VM that sent the deltas.
    pub vm: Vm,
    /// Boot number of its process.
    pub boot: u64,
    /// Sequence number of the last delta that was merged.
    pub merged: u64,
}

/// Counts of a service, with the deltas that they include.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Service of the counts.
    pub service: Service,
    /// Counts by kind and rank.
    pub counted: Vec<SeriesCounts>,
    /// Merged deltas by process of a VM.
    pub seen: Vec<MergedDeltas>,
}

impl Snapshot {
    /// Estimates the encoded size in bytes.
    #[must_use]
    pub fn encoded_size(&self) -> usize {
        let entries = |series: &SeriesCounts| series.fine.len() + series.coarse.len() + 1;
        let count = self.counted.iter().map(entries).sum::<usize>() + self.seen.len();
        count * ENTRY_BYTES
    }
}
