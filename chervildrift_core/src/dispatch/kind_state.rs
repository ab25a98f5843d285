//! State of one kind of work.

use super::kind_queue::KindQueue;
use super::policy::KindPolicy;
use super::service_time::ServiceTimeEstimate;

/// Least weight of a kind, so that a weight of zero still gets work done.
const MIN_WEIGHT: f64 = 1e-3;

/// Queue, estimate and fair-queueing account of one kind.
#[derive(Clone, Debug)]
pub struct KindState {
    /// Rules of the kind.
    pub policy: KindPolicy,
    /// Whether the current policy names the kind.
    pub declared: bool,
    /// Jobs waiting.
    pub queue: KindQueue,
    /// Jobs holding a slot.
    pub running: usize,
    /// Service time.
    pub estimate: ServiceTimeEstimate,
    /// Slot time spent, divided by the weight.
    pub vruntime: f64,
}

impl KindState {
    /// Opens a kind without work.
    pub fn open(policy: &KindPolicy) -> Self {
        Self {
            policy: policy.clone(),
            declared: true,
            queue: KindQueue::new(),
            running: 0,
            estimate: ServiceTimeEstimate::open(policy.service_time),
            vruntime: 0.0,
        }
    }

    /// Returns the weight against other kinds.
    pub fn weight(&self) -> f64 {
        self.policy.weight.max(MIN_WEIGHT)
    }

    /// Tells whether the kind has a job waiting and may run it.
    pub const fn is_ready(&self) -> bool {
        self.queue.len() > 0 && self.running < self.policy.concurrency
    }

    /// Tells whether the kind holds no job and no current policy names it.
    pub const fn is_unused(&self) -> bool {
        !self.declared && self.running == 0 && self.queue.len() == 0
    }

    /// Returns the slot time that the waiting jobs need, in microseconds.
    pub fn backlog_us(&self) -> f64 {
        self.queue.len() as f64 * self.estimate.mean_us()
    }

    /// Charges slot time to the kind; a negative amount corrects an earlier charge.
    pub fn charge(&mut self, slot_time_us: f64) {
        self.vruntime += slot_time_us / self.weight();
    }
}
