//! What the counters are told and ask for, and the messages between VMs.

use std::ops::AddAssign;
use std::time::Duration;

use derive_more::Add;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::snapshot::Snapshot;
use crate::types::{Kind, Rank, Service, Time, Vm};

/// Estimated bytes of a batch without its deltas: TCP and IP headers, call, names and numbers.
const BATCH_HEADER_BYTES: usize = 160;

/// Estimated bytes of a delta without its counts.
const DELTA_HEADER_BYTES: usize = 32;

/// Estimated bytes of one count.
const COUNT_BYTES: usize = 56;

/// Estimated bytes of an acknowledgement.
const ACK_BYTES: usize = 120;

/// What is counted together.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Series {
    /// Service of the requests.
    pub service: Service,
    /// Their kind.
    pub kind: Kind,
    /// Their rank.
    pub rank: Rank,
}

/// The share of requests of a series that should be good.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Objective {
    /// Series concerned.
    pub series: Series,
    /// Share from 0 to 1.
    pub target: f64,
}

/// Numbers of good and bad requests.
#[derive(Add, Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests within their objective.
    pub good: u64,
    /// All others.
    pub bad: u64,
}

impl AddAssign for Tally {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

/// Requests of one kind and rank in a delta.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Count {
    /// Kind of the requests.
    pub kind: Kind,
    /// Their rank.
    pub rank: Rank,
    /// Their numbers.
    pub tally: Tally,
}

/// Requests that one VM finished in one report period.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Number of the delta, counted from 1 by its VM, process and service.
    pub sequence: u64,
    /// Time since the delta was closed, as of sending.
    pub age: Duration,
    /// Requests.
    pub counts: Vec<Count>,
}

/// Deltas of one VM for the aggregator of a service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// VM that reports.
    pub from: Vm,
    /// Boot number of its process.
    pub boot: u64,
    /// Service concerned.
    pub service: Service,
    /// Lowest number that the VM still has.
    pub floor: u64,
    /// Deltas in order of number, without gaps.
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

/// Answer of an aggregator to a batch.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Ack {
    /// VM that answers.
    pub from: Vm,
    /// Boot number of the process that is answered.
    pub boot: u64,
    /// Service concerned.
    pub service: Service,
    /// Number of the last delta merged.
    pub merged: u64,
    /// Number of the last delta that a stored snapshot holds.
    pub stored: u64,
}

impl Ack {
    /// Estimates the encoded size in bytes.
    #[must_use]
    pub const fn encoded_size(&self) -> usize {
        ACK_BYTES
    }
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The configuration declares other objectives.
    Objectives(Vec<Objective>),
    /// The members are others, so aggregators may have moved.
    MembersChanged,
    /// The aggregator of a service is this VM.
    AggregatorLocated {
        /// Service concerned.
        service: Service,
        /// Its aggregator by rendezvous.
        vm: Vm,
    },
    /// Another VM, or this one, reports.
    Batch(Batch),
    /// An aggregator answered.
    Ack(Ack),
    /// The snapshot of a service was read.
    SnapshotLoaded {
        /// Its content.
        snapshot: Snapshot,
        /// Time since it was stored, by the wall clock.
        age: Duration,
        /// Its entity tag.
        tag: String,
    },
    /// There is no snapshot of a service.
    SnapshotAbsent {
        /// Service concerned.
        service: Service,
    },
    /// The snapshot of a service could not be read.
    SnapshotUnreadable {
        /// Service concerned.
        service: Service,
    },
    /// The snapshot of a service was stored.
    SnapshotStored {
        /// Service concerned.
        service: Service,
        /// Its entity tag.
        tag: String,
    },
    /// It is not known whether the snapshot of a service was stored.
    StoreUnconfirmed {
        /// Service concerned.
        service: Service,
    },
    /// The snapshot of a service was not stored, since another VM stored one meanwhile.
    StoreConflict {
        /// Service concerned.
        service: Service,
    },
    /// Time passed; due about every second.
    Tick,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Find the aggregator of a service and answer with [`Event::AggregatorLocated`].
    LocateAggregator {
        /// Service concerned.
        service: Service,
    },
    /// Send a batch.
    SendBatch {
        /// Aggregator, which may be this VM.
        to: Vm,
        /// Batch.
        batch: Batch,
    },
    /// Answer a batch.
    SendAck {
        /// VM that reported.
        to: Vm,
        /// Answer.
        ack: Ack,
    },
    /// Read the snapshot of a service.
    LoadSnapshot {
        /// Service concerned.
        service: Service,
    },
    /// Store a snapshot, if the tag of the stored one is still this one or there is none yet.
    StoreSnapshot {
        /// Content.
        snapshot: Snapshot,
        /// Expected tag.
        tag: Option<String>,
    },
}

/// What to do after one event.
pub type Actions = SmallVec<[Action; 2]>;

/// A delta as its VM keeps it.
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
