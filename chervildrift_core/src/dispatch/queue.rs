//! Queue of one kind: round robin by caller, in order of arrival within a caller.

use std::collections::HashMap;

use super::JobId;
use super::lists::{List, Lists};
use crate::types::{Caller, Time};

/// A job that waits for a slot.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Id the program gave the job.
    pub id: JobId,
    /// Index of the kind.
    pub kind: usize,
    /// Key of the caller's lane in the kind's queue.
    pub lane: u32,
    /// Entry in the calendar of latest starts.
    pub entry: u32,
    /// Latest start that still meets the deadline.
    pub latest: Time,
}

#[derive(Clone, Debug)]
struct Lane {
    caller: Caller,
    jobs: List,
}

/// Jobs of one kind, one lane for each caller that has any.
#[derive(Clone, Debug)]
pub struct Queue {
    lanes: Lists<Lane>,
    ring: List,
    callers: HashMap<Caller, u32>,
    len: usize,
}

impl Queue {
    /// Builds an empty queue.
    pub fn new() -> Self {
        Self {
            lanes: Lists::new(),
            ring: List::new(),
            callers: HashMap::new(),
            len: 0,
        }
    }

    /// Returns the number of jobs.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns the number of jobs of `caller`.
    pub fn depth(&self, caller: &Caller) -> usize {
        let lane = self
            .callers
            .get(caller)
            .and_then(|key| self.lanes.get(*key));
        lane.map_or(0, |lane| lane.jobs.len())
    }

    /// Returns the number of jobs that go before the next job of a caller with `depth` jobs.
    ///
    /// Each caller gets one turn a round, so the job waits for at most `depth + 1` rounds.
    pub fn ahead(&self, depth: usize) -> usize {
        self.len.min((depth + 1).saturating_mul(self.ring.len()))
    }

    /// Appends a job to its caller's lane and returns its key.
    pub fn push(&mut self, jobs: &mut Lists<Waiting>, caller: Caller, mut job: Waiting) -> u32 {
        let key = self.lane(caller);
        job.lane = key;
        self.len += 1;
        match self.lanes.get_mut(key) {
            Some(lane) => jobs.push(&mut lane.jobs, job),
            None => jobs.push(&mut List::new(), job),
        }
    }

    /// Takes the job whose turn it is.
    pub fn pop(&mut self, jobs: &mut Lists<Waiting>) -> Option<Waiting> {
        let lane = self.ring.first()?;
        let key = self.lanes.get(lane)?.jobs.first()?;
        let job = self.remove(jobs, key)?;
        if self.lanes.get(lane).is_some() {
            self.lanes.rotate(&mut self.ring, lane);
        }
        Some(job)
    }

    /// Takes out the job at `key`.
    pub fn remove(&mut self, jobs: &mut Lists<Waiting>, key: u32) -> Option<Waiting> {
        let at = jobs.get(key)?.lane;
        let lane = self.lanes.get_mut(at)?;
        let job = jobs.remove(&mut lane.jobs, key)?;
        self.len -= 1;
        if lane.jobs.len() == 0 {
            self.close(at);
        }
        Some(job)
    }

    fn lane(&mut self, caller: Caller) -> u32 {
        if let Some(key) = self.callers.get(&caller) {
            return *key;
        }
        let lane = Lane {
            caller: caller.clone(),
            jobs: List::new(),
        };
        let key = self.lanes.push(&mut self.ring, lane);
        self.callers.insert(caller, key);
        key
    }

    fn close(&mut self, key: u32) {
        if let Some(lane) = self.lanes.remove(&mut self.ring, key) {
            self.callers.remove(&lane.caller);
        }
    }
}
