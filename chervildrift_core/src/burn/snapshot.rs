//! Counts of a service as they are stored.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Tally;
use crate::types::{Kind, Rank, Service, Vm};

/// Estimated bytes of one slot or reporter as JSON.
const ENTRY_BYTES: usize = 40;

/// Counts of one bucket.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BucketTally {
    /// Seconds from the bucket's middle to the snapshot.
    pub age_s: u32,
    /// Counts.
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
    /// Their rank.
    pub rank: Rank,
    /// Buckets of the last minutes.
    pub fine: Vec<BucketTally>,
    /// Buckets of the last hours, which hold the fine ones too.
    pub coarse: Vec<BucketTally>,
}

/// How far the deltas of one VM are merged.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MergedDeltas {
    /// VM that reports.
    pub vm: Vm,
    /// Boot number of its process.
    pub boot: u64,
    /// Number of the last delta merged.
    pub merged: u64,
}

/// Counts of a service, with the deltas that they hold.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Service concerned.
    pub service: Service,
    /// Counts by kind and rank.
    pub counted: Vec<SeriesCounts>,
    /// Deltas merged by VM.
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
