//! Events and actions of the counters, and the messages between VMs.

use std::ops::AddAssign;
use std::time::Duration;

use derive_more::Add;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::snapshot::Snapshot;
use crate::types::{Kind, Rank, Service, Time, Vm};

/// Estimated size of a batch without its deltas: TCP and IP headers, call, names and numbers.
const BATCH_HEADER_BYTES: usize = 160;

/// Estimated size of a delta without its counts.
const DELTA_HEADER_BYTES: usize = 32;

/// Estimated size of a count.
const COUNT_BYTES: usize = 56;

/// Estimated size of an acknowledgement.
const ACK_BYTES: usize = 120;

/// Series of requests that are counted together.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Series {
    /// Service of the requests.
    pub service: Service,
    /// Kind of the requests.
    pub kind: Kind,
    /// Rank of the requests.
    pub rank: Rank,
}

/// Service level objective of a series: the share of requests that should be good.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Objective {
    /// Series that the objective applies to.
    pub series: Series,
    /// Target share, from 0 to 1.
    pub target: f64,
}

/// Numbers of good and bad requests.
#[derive(Add, Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests that met their objective.
    pub good: u64,
    /// All other requests.
    pub bad: u64,
}

impl AddAssign for Tally {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

/// Tally of one kind and rank in a delta.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Count {
    /// Kind of the requests.
    pub kind: Kind,
    /// Rank of the requests.
    pub rank: Rank,
    /// Numbers of good and bad requests.
    pub tally: Tally,
}

/// Requests that one VM finished in one report period.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Sequence number, counted from 1 for each service by each process of a VM.
    pub sequence: u64,
    /// Time since the delta was closed, as of sending.
    pub age: Duration,
    /// Tallies by kind and rank.
    pub counts: Vec<Count>,
}

/// Deltas that a VM sends to the aggregator of a service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// VM that sends the deltas.
    pub from: Vm,
    /// Boot number of its process.
    pub boot: u64,
    /// Service that the deltas count requests of.
    pub service: Service,
    /// First sequence number that the VM still retains.
    pub floor: u64,
    /// Deltas in the order of their sequence numbers, without gaps.
    pub deltas: Vec<Delta>,
}

impl Batch {
    /// Estimates the encoded size in bytes.
    #[must_use]
    pub fn encoded_size(&self) -> usize {
        let counts: usize = self.deltas.iter().map(|delta| delta.counts.len()).sum();
        BATCH_HEADER_BYTES + self.deltas.len() * DELTA_HEADER_BYTES + counts * COUNT_BYTES
    }
}

/// Acknowledgement of a batch by an aggregator.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Ack {
    /// VM that acknowledges.
    pub from: Vm,
    /// Boot number of the process that sent the batch.
    pub boot: u64,
    /// Service of the deltas.
    pub service: Service,
    /// Sequence number of the last delta that was merged.
    pub merged: u64,
    /// Sequence number of the last delta that a stored snapshot includes.
    pub stored: u64,
}

impl Ack {
    /// Estimates the encoded size in bytes.
    #[must_use]
    pub const fn encoded_size(&self) -> usize {
        ACK_BYTES
    }
}

/// Event that the counters handle.
#[derive(Clone, Debug)]
pub enum Event {
    /// The declared objectives have changed.
    Objectives(Vec<Objective>),
    /// The members of the fleet have changed, so aggregators may have moved.
    MembersChanged,
    /// The aggregator of a service was determined.
    AggregatorLocated {
        /// Service that is aggregated.
        service: Service,
        /// Aggregator, chosen by rendezvous hashing.
        vm: Vm,
    },
    /// A batch arrived from another VM or from this one.
    Batch(Batch),
    /// An aggregator acknowledged a batch.
    Ack(Ack),
    /// The snapshot of a service was read.
    Loaded {
        /// Content of the snapshot.
        snapshot: Snapshot,
        /// Time since the snapshot was stored, by the wall clock.
        age: Duration,
        /// Entity tag of the snapshot.
        tag: String,
    },
    /// No snapshot of a service is stored.
    SnapshotAbsent {
        /// Service without a snapshot.
        service: Service,
    },
    /// The snapshot of a service could not be read.
    SnapshotUnreadable {
        /// Service of the snapshot.
        service: Service,
    },
    /// The snapshot of a service was stored.
    SnapshotStored {
        /// Service of the snapshot.
        service: Service,
        /// Entity tag of the stored snapshot.
        tag: String,
    },
    /// It is unknown whether the snapshot of a service was stored.
    StoreUnconfirmed {
        /// Service of the snapshot.
        service: Service,
    },
    /// The snapshot of a service was not stored, because another VM has stored one meanwhile.
    StoreConflict {
        /// Service of the snapshot.
        service: Service,
    },
    /// Time passed; expected about once a second.
    Tick,
}

/// Action requested by the counters.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Determine the aggregator of a service and reply with [`Event::AggregatorLocated`].
    LocateAggregator {
        /// Service to aggregate.
        service: Service,
    },
    /// Send a batch to an aggregator.
    SendBatch {
        /// Aggregator, which may be this VM.
        to: Vm,
        /// Batch to send.
        batch: Batch,
    },
    /// Acknowledge a batch.
    SendAck {
        /// VM that sent the batch.
        to: Vm,
        /// Acknowledgement to send.
        ack: Ack,
    },
    /// Read the stored snapshot of a service.
    LoadSnapshot {
        /// Service of the snapshot.
        service: Service,
    },
    /// Store a snapshot if the stored one still has the expected tag.
    StoreSnapshot {
        /// Snapshot to store.
        snapshot: Snapshot,
        /// Expected entity tag; none if no snapshot is stored yet.
        tag: Option<String>,
    },
}

/// Actions that follow one event.
pub type Actions = SmallVec<[Action; 2]>;

/// Delta that its VM retains until a stored snapshot includes it.
#[derive(Clone, Debug)]
pub(super) struct RetainedDelta {
    pub sequence: u64,
    pub closed_at: Time,
    pub counts: Vec<Count>,
}

impl RetainedDelta {
    pub fn to_delta(&self, now: Time) -> Delta {
        Delta {
            sequence: self.sequence,
            age: now.since(self.closed_at),
            counts: self.counts.clone(),
        }
    }
}
