//! Jobs, refusals and load as the program sees them.

use std::time::Duration;

use derive_more::{Display, From, Into};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::types::{Caller, Kind, Rank, Time};

/// Id of a job, unique among the jobs that the scheduler holds.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    Eq,
    From,
    Hash,
    Into,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct JobId(pub u64);

/// Short list of jobs.
pub type JobIds = SmallVec<[JobId; 8]>;

/// One statement that asks for a slot.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id of the job.
    pub id: JobId,
    /// Kind of work, which decides the rank.
    pub kind: Kind,
    /// Caller that the work is for.
    pub caller: Caller,
    /// Time by which the job must have finished.
    pub deadline: Time,
}

/// How a job that held a slot ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Completion {
    /// The upstream answered, with a result or with an error of the statement itself.
    Answered,
    /// The upstream failed: the connection broke or no answer came in time.
    UpstreamFailed,
    /// The job gave up its slot for a reason that says nothing about the upstream.
    Abandoned,
}

quick_error! {
    /// Why a job was not taken; a refused job was not run.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Refusal {
        /// No declaration names the kind.
        UnknownKind(kind: Kind) {
            display("not run: kind {kind} is not declared")
        }
        /// A job with this id is waiting or running.
        DuplicateId(id: JobId) {
            display("not run: job {id} is already known")
        }
        /// The queue of the rank is full.
        QueueFull(rank: Rank) {
            display("not run: the {rank} queue is full")
        }
        /// The kind fills too much of the queue of its rank.
        KindOverShare(rank: Rank) {
            display("not run: the kind fills its part of the {rank} queue")
        }
        /// The caller fills too much of the queue of its rank.
        CallerOverShare(rank: Rank) {
            display("not run: the caller fills its part of the {rank} queue")
        }
        /// The job would finish after its deadline.
        TooLate(wait: Duration, service: Duration) {
            display("not run: a wait of {wait:?} and {service:?} of service pass the deadline")
        }
    }
}

impl Refusal {
    /// Returns the estimated wait behind the jobs that were there, if it was the reason.
    #[must_use]
    pub const fn estimated_wait(&self) -> Duration {
        match self {
            Self::TooLate(wait, _) => *wait,
            _ => Duration::ZERO,
        }
    }
}

/// Load of one rank at a dispatcher.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RankLoad {
    /// Jobs waiting.
    pub queued: usize,
    /// Shortest estimated wait of a caller that has no job waiting.
    pub wait: Duration,
    /// Shortest service time to plan with.
    pub service: Duration,
}

impl RankLoad {
    /// Tells whether a job with `left` until its deadline is worth forwarding.
    ///
    /// `age` is the time since the load was reported; the queue is assumed to drain meanwhile.
    #[must_use]
    pub fn admits(&self, age: Duration, remaining: Duration) -> bool {
        self.wait.saturating_sub(age) + self.service <= remaining
    }
}

/// Load of a dispatcher by rank, carried on its replies.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Load of each rank, in the order of [`Rank::ALL`].
    pub ranks: [RankLoad; Rank::COUNT],
}

impl Load {
    /// Returns the load of `rank`.
    #[must_use]
    pub const fn rank(&self, rank: Rank) -> &RankLoad {
        &self.ranks[rank.index()]
    }
}
