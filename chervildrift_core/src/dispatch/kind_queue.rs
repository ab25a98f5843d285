//! Queue of one kind: round robin between callers, first in, first out within a caller.

use std::collections::HashMap;

use super::JobId;
use super::list_arena::{List, ListArena};
use crate::types::{Caller, Time};

/// Job that waits for a slot.
#[derive(Clone, Debug)]
pub struct WaitingJob {
    /// Id of the job.
    pub id: JobId,
    /// Index of the job's kind in the scheduler.
    pub kind_index: usize,
    /// Key of the caller's queue within the kind's queue.
    pub caller_queue: u32,
    /// Key of the job's entry in the index of latest starts.
    pub start_entry: u32,
    /// Latest start that is expected to meet the deadline.
    pub latest_start: Time,
}

#[derive(Clone, Debug)]
struct CallerQueue {
    caller: Caller,
    jobs: List,
}

/// Waiting jobs of one kind, with a queue for each caller that has any.
#[derive(Clone, Debug)]
pub struct KindQueue {
    caller_queues: ListArena<CallerQueue>,
    turn_order: List,
    caller_keys: HashMap<Caller, u32>,
    len: usize,
}

impl KindQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            caller_queues: ListArena::new(),
            turn_order: List::new(),
            caller_keys: HashMap::new(),
            len: 0,
        }
    }

    /// Returns the number of waiting jobs.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns the number of waiting jobs of `caller`.
    pub fn depth(&self, caller: &Caller) -> usize {
        let caller_queue = self
            .caller_keys
            .get(caller)
            .and_then(|key| self.caller_queues.get(*key));
        caller_queue.map_or(0, |queue| queue.jobs.len())
    }

    /// Returns the number of jobs ahead of a new job whose caller has `depth` waiting jobs.
    ///
    /// Each caller gets one turn per round, so the new job waits for at most `depth + 1` rounds.
    pub fn jobs_ahead(&self, depth: usize) -> usize {
        self.len
            .min((depth + 1).saturating_mul(self.turn_order.len()))
    }

    /// Appends a job to its caller's queue and returns its key in `jobs`.
    pub fn push(
        &mut self,
        jobs: &mut ListArena<WaitingJob>,
        caller: Caller,
        mut job: WaitingJob,
    ) -> u32 {
        let queue_key = self.caller_queue(caller);
        job.caller_queue = queue_key;
        self.len += 1;
        match self.caller_queues.get_mut(queue_key) {
            Some(caller_queue) => jobs.push(&mut caller_queue.jobs, job),
            None => jobs.push(&mut List::new(), job),
        }
    }

    /// Removes the first job of the caller whose turn it is.
    pub fn pop(&mut self, jobs: &mut ListArena<WaitingJob>) -> Option<WaitingJob> {
        let queue_key = self.turn_order.first()?;
        let job_key = self.caller_queues.get(queue_key)?.jobs.first()?;
        let job = self.remove(jobs, job_key)?;
        if self.caller_queues.get(queue_key).is_some() {
            self.caller_queues
                .move_to_back(&mut self.turn_order, queue_key);
        }
        Some(job)
    }

    /// Removes the job at `key`.
    pub fn remove(&mut self, jobs: &mut ListArena<WaitingJob>, key: u32) -> Option<WaitingJob> {
        let queue_key = jobs.get(key)?.caller_queue;
        let caller_queue = self.caller_queues.get_mut(queue_key)?;
        let job = jobs.remove(&mut caller_queue.jobs, key)?;
        self.len -= 1;
        if caller_queue.jobs.len() == 0 {
            self.remove_caller(queue_key);
        }
        Some(job)
    }

    fn caller_queue(&mut self, caller: Caller) -> u32 {
        if let Some(key) = self.caller_keys.get(&caller) {
            return *key;
        }
        let caller_queue = CallerQueue {
            caller: caller.clone(),
            jobs: List::new(),
        };
        let key = self.caller_queues.push(&mut self.turn_order, caller_queue);
        self.caller_keys.insert(caller, key);
        key
    }

    fn remove_caller(&mut self, key: u32) {
        if let Some(caller_queue) = self.caller_queues.remove(&mut self.turn_order, key) {
            self.caller_keys.remove(&caller_queue.caller);
        }
    }
}
