//! Scheduler that assigns the slots of one upstream to waiting jobs.

use std::collections::HashMap;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::gate::Gate;
use super::job::{Completion, Job, JobId, JobIds, Refusal};
use super::kind_queue::{Turn, WaitingJob};
use super::kind_state::KindState;
use super::latest_starts::LatestStarts;
use super::list_arena::ListArena;
use super::policy::Policy;
use super::start_interval::StartInterval;
use super::usage::SlotUsage;
use crate::invariant;
use crate::limit::{AdaptiveLimit, Observation};
use crate::types::{Kind, Rank, Time};

/// Scheduler of one upstream, with its queues, slots and service time estimates.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pub(super) policy: Policy,
    pub(super) kind_indexes: HashMap<Kind, usize>,
    pub(super) kinds: Vec<KindState>,
    /// Indexes of the kinds of each rank.
    pub(super) rank_kinds: [Vec<usize>; Rank::COUNT],
    pub(super) queued: [usize; Rank::COUNT],
    pub(super) running: [usize; Rank::COUNT],
    /// Virtual runtime, in each rank, of the kind that was served last.
    pub(super) rank_vruntimes: [f64; Rank::COUNT],
    /// Interval between the starts of the waiting jobs of each rank.
    pub(super) start_intervals: [StartInterval; Rank::COUNT],
    pub(super) usage: SlotUsage,
    /// Sum of the expected service times of the running jobs.
    pub(super) charged_us: f64,
    pub(super) gate: Gate,
    /// Time since which at least one slot has been free.
    pub(super) free_since: Time,
    waiting_jobs: ListArena<WaitingJob>,
    job_states: FxHashMap<JobId, JobState>,
    /// Waiting jobs, indexed by their latest useful start.
    latest_starts: LatestStarts,
    adaptive_limit: AdaptiveLimit,
    expired_jobs: JobIds,
    /// Maximum number of jobs that run or rest.
    max_started: usize,
    /// Number of jobs that rest.
    resting: usize,
}

/// State of a job that is in the scheduler.
#[derive(Clone, Copy, Debug)]
enum JobState {
    /// Waiting, under this key in the arena of waiting jobs.
    Waiting(u32),
    /// Holding a slot.
    Running(RunningJob),
    /// Started and between two statements, without a slot; of the kind at this index.
    Resting(usize),
    /// Removed from its queue as expired, but not reported yet.
    Expired,
}

/// Job that holds a slot.
#[derive(Clone, Copy, Debug)]
struct RunningJob {
    kind_index: usize,
    started_at: Time,
    charged_us: f64,
}

impl Scheduler {
    /// Creates the scheduler of an idle upstream.
    #[must_use]
    pub fn new(policy: &Policy) -> Self {
        let mut scheduler = Self {
            policy: policy.clone(),
            kind_indexes: HashMap::new(),
            kinds: Vec::new(),
            rank_kinds: [const { Vec::new() }; Rank::COUNT],
            queued: [0; Rank::COUNT],
            running: [0; Rank::COUNT],
            rank_vruntimes: [0.0; Rank::COUNT],
            start_intervals: [StartInterval::default(); Rank::COUNT],
            usage: SlotUsage::new(policy.usage_window),
            charged_us: 0.0,
            gate: Gate::Open,
            free_since: Time::default(),
            waiting_jobs: ListArena::new(),
            job_states: FxHashMap::default(),
            latest_starts: LatestStarts::new(),
            adaptive_limit: AdaptiveLimit::new(policy.slots),
            expired_jobs: JobIds::new(),
            max_started: usize::MAX,
            resting: 0,
        };
        scheduler.set_kinds(&policy.kinds);
        scheduler
    }

    /// Replaces the policy and keeps the waiting and running jobs.
    pub fn apply(&mut self, now: Time, policy: &Policy) {
        self.advance(now);
        self.usage.set_window(policy.usage_window);
        self.adaptive_limit.resize(policy.slots);
        self.policy = policy.clone();
        self.set_kinds(&policy.kinds);
    }

    /// Queues a job, or refuses it without running it.
    pub fn submit(&mut self, now: Time, job: Job) -> Result<(), Refusal> {
        self.advance(now);
        let kind_index = self.admit(now, &job)?;
        let latest_start = self.latest_start(kind_index, job.deadline);
        let rank = self.kinds[kind_index].policy.rank.index();
        self.raise_vruntime(kind_index);
        let waiting = WaitingJob {
            id: job.id,
            kind_index,
            caller_queue: 0,
            start_entry: 0,
            latest_start,
        };
        let queue = &mut self.kinds[kind_index].queue;
        let key = queue.push(&mut self.waiting_jobs, &Turn::of(&job), job.caller, waiting);
        self.job_states.insert(job.id, JobState::Waiting(key));
        self.track_latest_start(key, latest_start);
        if self.queued[rank] == 0 {
            self.start_intervals[rank].begin(now);
        }
        self.queued[rank] += 1;
        Ok(())
    }

    /// Selects the job that gets the next free slot and marks it as running.
    pub fn start_next(&mut self, now: Time) -> Option<JobId> {
        self.advance(now);
        while self.running_total() < self.usable_slots(now)
            && self.running_total() + self.resting < self.max_started
        {
            let kind_index = self.select_kind(now)?;
            let waiting = self.kinds[kind_index].queue.pop(&mut self.waiting_jobs)?;
            self.untrack_waiting(&waiting);
            if waiting.latest_start >= now {
                return self.start_job(now, &waiting);
            }
            self.job_states.insert(waiting.id, JobState::Expired);
            self.expired_jobs.push(waiting.id);
        }
        None
    }

    /// Ends a running or resting job and frees its slot.
    pub fn finish(&mut self, now: Time, id: JobId, completion: Completion) {
        self.advance(now);
        match self.job_states.remove(&id) {
            Some(JobState::Running(running)) => self.free_slot(now, running, completion),
            Some(JobState::Resting(kind_index)) => self.end_rest(kind_index),
            other => {
                if let Some(state) = other {
                    self.job_states.insert(id, state);
                }
                invariant::breach("dispatch-finish", "a job that was not started was finished");
            }
        }
    }

    /// Frees the slot of a running job between two statements; the job counts as started.
    pub fn rest(&mut self, now: Time, id: JobId, completion: Completion) {
        self.advance(now);
        let Some(JobState::Running(running)) = self.job_states.get(&id).copied() else {
            return;
        };
        let resting = JobState::Resting(running.kind_index);
        self.job_states.insert(id, resting);
        self.resting += 1;
        self.kinds[running.kind_index].resting += 1;
        self.free_slot(now, running, completion);
    }

    /// Gives a resting job a slot at once, if need be beyond the usable ones.
    ///
    /// A job that was started holds a connection, and maybe locks that others need, until it ends.
    pub fn resume_job(&mut self, now: Time, id: JobId) {
        self.advance(now);
        if let Some(JobState::Resting(kind_index)) = self.job_states.get(&id).copied() {
            self.end_rest(kind_index);
            let running = self.occupy_slot(now, kind_index);
            self.job_states.insert(id, JobState::Running(running));
        }
    }

    /// Limits the number of jobs that run or rest, each of which holds a connection.
    pub const fn limit_started(&mut self, max_started: usize) {
        self.max_started = max_started;
    }

    /// Returns the number of jobs that rest.
    #[must_use]
    pub const fn resting(&self) -> usize {
        self.resting
    }

    fn end_rest(&mut self, kind_index: usize) {
        self.resting -= 1;
        self.kinds[kind_index].resting -= 1;
    }

    fn free_slot(&mut self, now: Time, running: RunningJob, completion: Completion) {
        if self.running_total() >= self.usable_slots(now) {
            self.free_since = now;
        }
        let service_time = now.since(running.started_at);
        let kind = &mut self.kinds[running.kind_index];
        kind.running -= 1;
        kind.charge(service_time.as_micros() as f64 - running.charged_us);
        self.running[kind.policy.rank.index()] -= 1;
        // Resets the sum when the upstream is idle, so that rounding errors don't accumulate.
        let idle = self.running_total() == 0;
        self.charged_us = if idle {
            0.0
        } else {
            self.charged_us - running.charged_us
        };
        self.record_completion(now, running.kind_index, service_time, completion);
    }

    fn occupy_slot(&mut self, now: Time, kind_index: usize) -> RunningJob {
        let kind = &mut self.kinds[kind_index];
        let charged_us = kind.estimate.mean_us();
        kind.charge(charged_us);
        kind.running += 1;
        self.running[kind.policy.rank.index()] += 1;
        self.charged_us += charged_us;
        RunningJob {
            kind_index,
            started_at: now,
            charged_us,
        }
    }

    /// Removes a waiting job from its queue; returns false if the job is running or unknown.
    pub fn cancel(&mut self, id: JobId) -> bool {
        let Some(JobState::Waiting(key)) = self.job_states.get(&id).copied() else {
            return false;
        };
        self.remove_waiting(key).is_some()
    }

    /// Removes and returns the jobs that can no longer finish in time; none of them was run.
    pub fn expire(&mut self, now: Time) -> JobIds {
        let mut expired = std::mem::take(&mut self.expired_jobs);
        for id in &expired {
            self.job_states.remove(id);
        }
        while let Some(id) = self
            .latest_starts
            .first_expired(now)
            .and_then(|key| self.remove_waiting(key))
        {
            expired.push(id);
        }
        expired
    }

    /// Stops starting jobs while the upstream is being replaced.
    pub fn pause(&mut self, now: Time) {
        self.advance(now);
        self.gate = Gate::Paused;
    }

    /// Starts jobs again, in the order of rank and on a growing number of slots.
    pub fn resume(&mut self, now: Time) {
        self.advance(now);
        self.gate = Gate::Ramping(now);
    }

    /// Returns when `start_next` and `expire` must be called even if no other event occurs.
    #[must_use]
    pub fn next_wakeup(&self, now: Time) -> Option<Time> {
        let all_reported = self.expired_jobs.is_empty();
        let expiry = if all_reported {
            self.latest_starts.next_expiry()
        } else {
            Some(now)
        };
        let ramp_step = self.gate.next_slot_at(now, self.limit(), self.policy.ramp);
        let ramp_step = ramp_step.filter(|_| self.latest_starts.len() > 0);
        let reserve_end = self.reserved_until(now);
        [expiry, ramp_step, reserve_end].into_iter().flatten().min()
    }

    /// Returns the number of statements that may run at once, which is below the declared slots
    /// when the upstream has slowed down.
    #[must_use]
    pub fn limit(&self) -> usize {
        let slots = if self.policy.adaptive {
            self.adaptive_limit.limit()
        } else {
            self.policy.slots
        };
        slots.min(self.max_started)
    }

    /// Returns whether the policy declares a kind.
    #[must_use]
    pub fn declares(&self, kind: &Kind) -> bool {
        self.kind_indexes.contains_key(kind)
    }

    /// Returns the number of jobs of `rank` that hold a slot.
    #[must_use]
    pub const fn running(&self, rank: Rank) -> usize {
        self.running[rank.index()]
    }

    /// Returns the number of waiting jobs of `rank`.
    #[must_use]
    pub const fn queued(&self, rank: Rank) -> usize {
        self.queued[rank.index()]
    }

    /// Returns the share of slot time that `rank` used over the usage window.
    #[must_use]
    pub fn used_share(&self, rank: Rank) -> f64 {
        self.usage.used_share(rank)
    }

    /// Returns whether a job with this id is waiting, running, or expired but not yet reported.
    pub(super) fn contains(&self, id: JobId) -> bool {
        self.job_states.contains_key(&id)
    }

    /// Returns the number of slots in use.
    pub(super) fn running_total(&self) -> usize {
        self.running.iter().sum()
    }

    /// Returns the number of slots that may be used at `now`.
    pub(super) fn usable_slots(&self, now: Time) -> usize {
        self.gate.usable_slots(now, self.limit(), self.policy.ramp)
    }

    fn advance(&mut self, now: Time) {
        let usable = self.usable_slots(now);
        self.usage.advance(now, &self.running, usable);
        self.gate = self.gate.advance(now, self.policy.ramp);
    }

    fn latest_start(&self, kind_index: usize, deadline: Time) -> Time {
        let estimate = self.kinds[kind_index].estimate.upper_estimate();
        Time(
            deadline
                .since(Time(estimate.as_micros() as u64))
                .as_micros() as u64,
        )
    }

    /// Indexes the waiting job at `key` by its latest start.
    fn track_latest_start(&mut self, key: u32, latest_start: Time) {
        let entry = self.latest_starts.insert(latest_start, key);
        if let Some(waiting) = self.waiting_jobs.get_mut(key) {
            waiting.start_entry = entry;
        }
    }

    /// Raises the virtual runtime of a kind without waiting jobs to that of its rank, so that an
    /// idle kind doesn't accumulate a claim to slots.
    fn raise_vruntime(&mut self, kind_index: usize) {
        let kind = &mut self.kinds[kind_index];
        if kind.queue.len() == 0 {
            let rank_vruntime = self.rank_vruntimes[kind.policy.rank.index()];
            kind.vruntime = kind.vruntime.max(rank_vruntime);
        }
    }

    fn start_job(&mut self, now: Time, waiting: &WaitingJob) -> Option<JobId> {
        let usable = self.usable_slots(now);
        if self.running_total() >= usable {
            invariant::breach("dispatch-slots", "a job was started without a free slot");
            return None;
        }
        let kind = &self.kinds[waiting.kind_index];
        let rank = kind.policy.rank.index();
        self.rank_vruntimes[rank] = kind.vruntime;
        self.start_intervals[rank].record_start(now);
        let running = self.occupy_slot(now, waiting.kind_index);
        let previous = self
            .job_states
            .insert(waiting.id, JobState::Running(running));
        if !matches!(previous, Some(JobState::Waiting(_))) {
            invariant::breach("dispatch-twice", "a job was started that was not waiting");
            return None;
        }
        Some(waiting.id)
    }

    fn record_completion(
        &mut self,
        now: Time,
        kind_index: usize,
        service_time: Duration,
        completion: Completion,
    ) {
        let estimate = &mut self.kinds[kind_index].estimate;
        match completion {
            Completion::Answered => {
                let slowdown = estimate.slowdown(service_time);
                let warmed_up = estimate.is_warmed_up();
                estimate.record(service_time, self.adaptive_limit.is_lowered());
                if warmed_up {
                    self.adaptive_limit
                        .observe(now, Observation::Answered(slowdown));
                }
            }
            Completion::UpstreamFailed => self.adaptive_limit.observe(now, Observation::Failed),
            Completion::Abandoned => {}
        }
    }

    fn remove_waiting(&mut self, key: u32) -> Option<JobId> {
        let kind_index = self.waiting_jobs.get(key)?.kind_index;
        let waiting = self.kinds[kind_index]
            .queue
            .remove(&mut self.waiting_jobs, key)?;
        self.untrack_waiting(&waiting);
        self.job_states.remove(&waiting.id);
        Some(waiting.id)
    }

    /// Removes a job that has left its queue from the index of latest starts and from the counts.
    fn untrack_waiting(&mut self, waiting: &WaitingJob) {
        let rank = self.kinds[waiting.kind_index].policy.rank.index();
        self.queued[rank] -= 1;
        if !self
            .latest_starts
            .remove(waiting.latest_start, waiting.start_entry)
        {
            invariant::breach(
                "dispatch-starts",
                "a waiting job was missing from the index of latest starts",
            );
        }
        if self.latest_starts.len() != self.queued.iter().sum::<usize>() {
            invariant::breach(
                "dispatch-count",
                "the queues and the index of latest starts differ in length",
            );
        }
    }
}
