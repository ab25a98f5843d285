//! Queue of one kind: round robin between organisations, between the callers of one, and first in,
//! first out within a caller.
//!
//! Answers the load of an organisation that sends from many sessions at once: it gets no more turns
//! than one with a single session.

use std::collections::HashMap;

use super::job::{Job, JobId};
use super::list_arena::{List, ListArena};
use crate::types::{Caller, Organisation, Time};

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

/// Whose turn a job takes: that of its organisation, or of its caller if that has none.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Turn {
    /// Turn of all callers of an organisation.
    Organisation(Organisation),
    /// Turn of a single caller.
    Caller(Caller),
}

impl Turn {
    /// Returns the turn of a job.
    pub fn of(job: &Job) -> Self {
        job.organisation
            .clone()
            .map_or_else(|| Self::Caller(job.caller.clone()), Self::Organisation)
    }
}

/// Callers with waiting jobs that share a turn.
#[derive(Clone, Debug)]
struct TurnQueue {
    turn: Turn,
    callers: List,
    len: usize,
}

#[derive(Clone, Debug)]
struct CallerQueue {
    caller: Caller,
    /// Key of the turn that the caller shares.
    turn_key: u32,
    jobs: List,
}

/// Waiting jobs of one kind, with a queue for each turn and caller that has any.
#[derive(Clone, Debug)]
pub struct KindQueue {
    turn_queues: ListArena<TurnQueue>,
    turn_order: List,
    turn_keys: HashMap<Turn, u32>,
    caller_queues: ListArena<CallerQueue>,
    caller_keys: HashMap<(u32, Caller), u32>,
    len: usize,
}

impl KindQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            turn_queues: ListArena::new(),
            turn_order: List::new(),
            turn_keys: HashMap::new(),
            caller_queues: ListArena::new(),
            caller_keys: HashMap::new(),
            len: 0,
        }
    }

    /// Returns the number of waiting jobs.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns the number of waiting jobs of a turn.
    pub fn depth(&self, turn: &Turn) -> usize {
        let turn_queue = self.turn_queue(turn);
        turn_queue.map_or(0, |(_, turn_queue)| turn_queue.len)
    }

    /// Returns the number of jobs of a turn that are served before a new job of `caller`.
    pub fn rounds_ahead(&self, turn: &Turn, caller: &Caller) -> usize {
        let Some((turn_key, turn_queue)) = self.turn_queue(turn) else {
            return 0;
        };
        let own = self.caller_keys.get(&(turn_key, caller.clone()));
        let own = own.and_then(|key| self.caller_queues.get(*key));
        let own = own.map_or(0, |queue| queue.jobs.len());
        let per_round = turn_queue.callers.len();
        turn_queue.len.min((own + 1).saturating_mul(per_round))
    }

    /// Returns the number of jobs ahead of a new job after `rounds` further jobs of its turn.
    pub fn jobs_ahead(&self, rounds: usize) -> usize {
        self.len
            .min((rounds + 1).saturating_mul(self.turn_order.len()))
    }

    /// Appends a job to its caller's queue and returns its key in `jobs`.
    pub fn push(
        &mut self,
        jobs: &mut ListArena<WaitingJob>,
        turn: &Turn,
        caller: Caller,
        mut job: WaitingJob,
    ) -> u32 {
        let queue_key = self.caller_queue(turn, caller);
        job.caller_queue = queue_key;
        self.len += 1;
        let Some(caller_queue) = self.caller_queues.get_mut(queue_key) else {
            return jobs.push(&mut List::new(), job);
        };
        if let Some(turn_queue) = self.turn_queues.get_mut(caller_queue.turn_key) {
            turn_queue.len += 1;
        }
        jobs.push(&mut caller_queue.jobs, job)
    }

    /// Removes the first job of the caller whose turn it is.
    pub fn pop(&mut self, jobs: &mut ListArena<WaitingJob>) -> Option<WaitingJob> {
        let turn_key = self.turn_order.first()?;
        let queue_key = self.turn_queues.get(turn_key)?.callers.first()?;
        let job_key = self.caller_queues.get(queue_key)?.jobs.first()?;
        let job = self.remove(jobs, job_key)?;
        let has_jobs = self.caller_queues.get(queue_key).is_some();
        if let Some(turn_queue) = self.turn_queues.get_mut(turn_key) {
            if has_jobs {
                self.caller_queues
                    .move_to_back(&mut turn_queue.callers, queue_key);
            }
            self.turn_queues
                .move_to_back(&mut self.turn_order, turn_key);
        }
        Some(job)
    }

    /// Removes the job at `key`.
    pub fn remove(&mut self, jobs: &mut ListArena<WaitingJob>, key: u32) -> Option<WaitingJob> {
        let queue_key = jobs.get(key)?.caller_queue;
        let caller_queue = self.caller_queues.get_mut(queue_key)?;
        let job = jobs.remove(&mut caller_queue.jobs, key)?;
        self.len -= 1;
        let (turn_key, is_empty) = (caller_queue.turn_key, caller_queue.jobs.len() == 0);
        if let Some(turn_queue) = self.turn_queues.get_mut(turn_key) {
            turn_queue.len -= 1;
        }
        if is_empty {
            self.remove_caller(queue_key);
        }
        Some(job)
    }

    fn turn_queue(&self, turn: &Turn) -> Option<(u32, &TurnQueue)> {
        let key = *self.turn_keys.get(turn)?;
        Some((key, self.turn_queues.get(key)?))
    }

    /// Returns the key of the queue of a caller, which is created if it has no waiting jobs.
    fn caller_queue(&mut self, turn: &Turn, caller: Caller) -> u32 {
        let turn_key = self.turn_key(turn);
        if let Some(key) = self.caller_keys.get(&(turn_key, caller.clone())) {
            return *key;
        }
        let caller_queue = CallerQueue {
            caller: caller.clone(),
            turn_key,
            jobs: List::new(),
        };
        let key = match self.turn_queues.get_mut(turn_key) {
            Some(turn_queue) => self
                .caller_queues
                .push(&mut turn_queue.callers, caller_queue),
            None => self.caller_queues.push(&mut List::new(), caller_queue),
        };
        self.caller_keys.insert((turn_key, caller), key);
        key
    }

    /// Returns the key of a turn, which is appended to the order if it has no waiting jobs.
    fn turn_key(&mut self, turn: &Turn) -> u32 {
        if let Some(key) = self.turn_keys.get(turn) {
            return *key;
        }
        let turn_queue = TurnQueue {
            turn: turn.clone(),
            callers: List::new(),
            len: 0,
        };
        let key = self.turn_queues.push(&mut self.turn_order, turn_queue);
        self.turn_keys.insert(turn.clone(), key);
        key
    }

    /// Removes a caller without waiting jobs, and its turn if it was the last one to share it.
    fn remove_caller(&mut self, key: u32) {
        let Some(turn_key) = self.caller_queues.get(key).map(|it| it.turn_key) else {
            return;
        };
        let Some(turn_queue) = self.turn_queues.get_mut(turn_key) else {
            return;
        };
        if let Some(removed) = self.caller_queues.remove(&mut turn_queue.callers, key) {
            self.caller_keys.remove(&(turn_key, removed.caller));
        }
        if turn_queue.callers.len() == 0
            && let Some(removed) = self.turn_queues.remove(&mut self.turn_order, turn_key)
        {
            self.turn_keys.remove(&removed.turn);
        }
    }
}
