//! Jobs, refusals and load reports: the interface of the scheduler.

use std::time::Duration;

use derive_more::{Display, From, Into};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::types::{Caller, Kind, Organisation, Rank, Time};

/// Id of a job, unique among the jobs that are in the scheduler.
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

/// List of job ids, usually short.
pub type JobIds = SmallVec<[JobId; 8]>;

/// Statement that needs a slot.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id of the job.
    pub id: JobId,
    /// Kind of work, which determines the rank.
    pub kind: Kind,
    /// Caller that sent the statement.
    pub caller: Caller,
    /// Organisation of the caller, if known; its callers share one turn.
    pub organisation: Option<Organisation>,
    /// Time by which the job must finish.
    pub deadline: Time,
}

/// How a job that held a slot ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Completion {
    /// The upstream answered, with a result or with an error caused by the statement.
    Answered,
    /// The upstream failed: the connection broke or no answer came in time.
    UpstreamFailed,
    /// The job released its slot for a reason that says nothing about the upstream's health.
    Abandoned,
}

quick_error! {
    /// Reason why a job was refused; a refused job was not run.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Refusal {
        /// The kind is not declared.
        UnknownKind(kind: Kind) {
            display("not run: kind {kind} is not declared")
        }
        /// A job with this id is already in the scheduler.
        DuplicateId(id: JobId) {
            display("not run: job {id} is already known")
        }
        /// The queue of the rank is full.
        QueueFull(rank: Rank) {
            display("not run: the {rank} queue is full")
        }
        /// The kind fills its part of the queue of its rank.
        KindOverShare(rank: Rank) {
            display("not run: the kind fills its part of the {rank} queue")
        }
        /// The caller fills its part of the queue of its rank.
        CallerOverShare(rank: Rank) {
            display("not run: the caller fills its part of the {rank} queue")
        }
        /// The job is expected to finish after its deadline.
        TooLate(wait: Duration, service: Duration) {
            display("not run: a wait of {wait:?} and {service:?} of service pass the deadline")
        }
    }
}

impl Refusal {
    /// Returns the estimated wait if it was the reason for the refusal, otherwise zero.
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
    /// Number of waiting jobs.
    pub queued: usize,
    /// Estimated wait, for a caller without waiting jobs, of the kind that would finish first.
    pub wait: Duration,
    /// Upper estimate of that kind's service time.
    pub service: Duration,
}

impl RankLoad {
    /// Returns whether a job with `remaining` time until its deadline is worth forwarding.
    ///
    /// `age` is the time since the load was reported; the queue is assumed to have drained by as
    /// much.
    #[must_use]
    pub fn admits(&self, age: Duration, remaining: Duration) -> bool {
        self.wait.saturating_sub(age) + self.service <= remaining
    }
}

/// Load of a dispatcher by rank, attached to its replies.
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
