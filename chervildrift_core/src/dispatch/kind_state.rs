//! Queue and accounting of one kind of work.

use super::kind_queue::KindQueue;
use super::policy::KindPolicy;
use super::service_time::ServiceTimeEstimate;

/// Lower bound on the weight of a kind, so that a kind of weight zero still makes progress.
const MIN_WEIGHT: f64 = 1e-3;

/// Queue, service time and fair-queueing state of one kind.
#[derive(Clone, Debug)]
pub struct KindState {
    /// Policy of the kind.
    pub policy: KindPolicy,
    /// Whether the current policy declares the kind.
    pub declared: bool,
    /// Waiting jobs.
    pub queue: KindQueue,
    /// Number of jobs that hold a slot.
    pub running: usize,
    /// Number of jobs that rest between two statements.
    pub resting: usize,
    /// Estimated service time of a job.
    pub estimate: ServiceTimeEstimate,
    /// Virtual runtime of fair queueing: slot time used in microseconds, divided by the weight.
    pub vruntime: f64,
}

impl KindState {
    /// Creates a kind without jobs.
    pub fn new(policy: &KindPolicy) -> Self {
        Self {
            policy: policy.clone(),
            declared: true,
            queue: KindQueue::new(),
            running: 0,
            resting: 0,
            estimate: ServiceTimeEstimate::new(policy.service_time),
            vruntime: 0.0,
        }
    }

    /// Returns the weight relative to the other kinds of the rank.
    pub fn weight(&self) -> f64 {
        self.policy.weight.max(MIN_WEIGHT)
    }

    /// Returns whether the kind has a waiting job and is below its concurrency limit.
    pub const fn is_ready(&self) -> bool {
        self.queue.len() > 0 && self.running < self.policy.concurrency
    }

    /// Returns whether the kind is no longer declared and has no jobs left.
    pub const fn is_unused(&self) -> bool {
        !self.declared && self.running + self.resting + self.queue.len() == 0
    }

    /// Returns the slot time that the waiting jobs need, in microseconds.
    pub fn backlog_us(&self) -> f64 {
        self.queue.len() as f64 * self.estimate.mean_us()
    }

    /// Charges slot time in microseconds; a negative amount corrects an earlier charge.
    pub fn charge(&mut self, slot_time_us: f64) {
        self.vruntime += slot_time_us / self.weight();
    }
}
