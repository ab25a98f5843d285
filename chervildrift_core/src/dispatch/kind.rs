//! State of one kind of work.

use super::estimate::Estimate;
use super::policy::KindPolicy;
use super::queue::Queue;

/// Least weight of a kind, so that a weight of zero still gets work done.
const LEAST_SHARE: f64 = 1e-3;

/// Queue, estimate and fair-queueing account of one kind.
#[derive(Clone, Debug)]
pub struct KindState {
    /// Rules of the kind.
    pub rules: KindPolicy,
    /// Whether the current policy names the kind.
    pub declared: bool,
    /// Jobs waiting.
    pub queue: Queue,
    /// Jobs holding a slot.
    pub running: usize,
    /// Service time.
    pub estimate: Estimate,
    /// Slot time spent, divided by the weight.
    pub spent: f64,
}

impl KindState {
    /// Opens a kind without work.
    pub fn open(rules: &KindPolicy) -> Self {
        Self {
            rules: rules.clone(),
            declared: true,
            queue: Queue::new(),
            running: 0,
            estimate: Estimate::open(rules.service_time),
            spent: 0.0,
        }
    }

    /// Returns the weight against other kinds.
    pub fn weight(&self) -> f64 {
        self.rules.weight.max(LEAST_SHARE)
    }

    /// Tells whether the kind has a job waiting and may run it.
    pub const fn ready(&self) -> bool {
        self.queue.len() > 0 && self.running < self.rules.concurrency
    }

    /// Tells whether the kind holds no job and no current policy names it.
    pub const fn vacant(&self) -> bool {
        !self.declared && self.running == 0 && self.queue.len() == 0
    }

    /// Returns the slot time that the waiting jobs need, in microseconds.
    pub fn backlog(&self) -> f64 {
        self.queue.len() as f64 * self.estimate.mean()
    }

    /// Charges slot time to the kind; a negative amount corrects an earlier charge.
    pub fn charge(&mut self, micros: f64) {
        self.spent += micros / self.weight();
    }
}
