//! The scheduler of one upstream.

use std::collections::HashMap;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::calendar::Calendar;
use super::gate::Gate;
use super::job::{Finish, Job, JobId, JobIds, Refusal};
use super::kind::KindState;
use super::lists::Lists;
use super::policy::Policy;
use super::queue::Waiting;
use super::usage::Usage;
use crate::invariant;
use crate::limit::{AdaptiveLimit, Observation};
use crate::types::{Kind, Rank, Time};

/// Queues, slots and estimates of one upstream.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pub(super) policy: Policy,
    pub(super) names: HashMap<Kind, usize>,
    pub(super) kinds: Vec<KindState>,
    /// Indices of the kinds of each rank.
    pub(super) ranks: [Vec<usize>; Rank::COUNT],
    pub(super) queued: [usize; Rank::COUNT],
    pub(super) running: [usize; Rank::COUNT],
    /// Fair-queueing clock of each rank: what the kind served last had spent.
    pub(super) clocks: [f64; Rank::COUNT],
    pub(super) usage: Usage,
    /// Slot time that the running jobs were expected to take, in microseconds.
    pub(super) work: f64,
    pub(super) gate: Gate,
    /// Since when at least one slot has been free.
    pub(super) spare: Time,
    jobs: Lists<Waiting>,
    places: FxHashMap<JobId, Place>,
    /// Waiting jobs by their latest useful start.
    starts: Calendar,
    adaptive: AdaptiveLimit,
    expired: JobIds,
}

/// Where a job is.
#[derive(Clone, Copy, Debug)]
enum Place {
    /// In its queue, under this key.
    Waiting(u32),
    /// In a slot.
    Running(Held),
    /// Out of its queue, but not reported as expired yet.
    Expired,
}

/// A job that holds a slot.
#[derive(Clone, Copy, Debug)]
struct Held {
    kind: usize,
    started: Time,
    charged: f64,
}

impl Scheduler {
    /// Opens the scheduler of an idle upstream.
    #[must_use]
    pub fn open(policy: &Policy) -> Self {
        let mut scheduler = Self {
            policy: policy.clone(),
            names: HashMap::new(),
            kinds: Vec::new(),
            ranks: [const { Vec::new() }; Rank::COUNT],
            queued: [0; Rank::COUNT],
            running: [0; Rank::COUNT],
            clocks: [0.0; Rank::COUNT],
            usage: Usage::open(policy.window),
            work: 0.0,
            gate: Gate::Open,
            spare: Time::default(),
            jobs: Lists::new(),
            places: FxHashMap::default(),
            starts: Calendar::new(),
            adaptive: AdaptiveLimit::new(policy.slots),
            expired: JobIds::new(),
        };
        scheduler.declare(&policy.kinds);
        scheduler
    }

    /// Replaces the policy; jobs that wait or run are kept.
    pub fn apply(&mut self, now: Time, policy: &Policy) {
        self.advance(now);
        self.usage.resize(policy.window);
        self.adaptive.resize(policy.slots);
        self.policy = policy.clone();
        self.declare(&policy.kinds);
    }

    /// Takes a job into its queue, or refuses it as not run.
    pub fn submit(&mut self, now: Time, job: Job) -> Result<(), Refusal> {
        self.advance(now);
        let kind = self.admit(now, &job)?;
        let latest = self.latest(kind, job.deadline);
        let rank = self.kinds[kind].rules.rank.index();
        self.wake(kind);
        let waiting = Waiting {
            id: job.id,
            kind,
            lane: 0,
            entry: 0,
            latest,
        };
        let queue = &mut self.kinds[kind].queue;
        let key = queue.push(&mut self.jobs, job.caller, waiting);
        self.places.insert(job.id, Place::Waiting(key));
        self.schedule(key, latest);
        self.queued[rank] += 1;
        Ok(())
    }

    /// Hands out the job that gets the next free slot.
    pub fn next(&mut self, now: Time) -> Option<JobId> {
        self.advance(now);
        while self.total() < self.open_slots(now) {
            let kind = self.choose(now)?;
            let waiting = self.kinds[kind].queue.pop(&mut self.jobs)?;
            self.leave(&waiting);
            if waiting.latest >= now {
                return self.start(now, &waiting);
            }
            self.places.insert(waiting.id, Place::Expired);
            self.expired.push(waiting.id);
        }
        None
    }

    /// Frees the slot of a job that was handed out.
    pub fn finish(&mut self, now: Time, id: JobId, finish: Finish) {
        self.advance(now);
        let Some(Place::Running(held)) = self.places.get(&id).copied() else {
            invariant::breach("dispatch-finish", "the job holds no slot");
            return;
        };
        self.places.remove(&id);
        if self.total() >= self.open_slots(now) {
            self.spare = now;
        }
        let took = now.since(held.started);
        let kind = &mut self.kinds[held.kind];
        kind.running -= 1;
        kind.charge(took.as_micros() as f64 - held.charged);
        self.running[kind.rules.rank.index()] -= 1;
        // An idle upstream starts from zero again, so that rounding errors never add up.
        let idle = self.total() == 0;
        self.work = if idle { 0.0 } else { self.work - held.charged };
        self.learn(now, held.kind, took, finish);
    }

    /// Takes a waiting job out of its queue; false if it is running or unknown.
    pub fn cancel(&mut self, id: JobId) -> bool {
        let Some(Place::Waiting(key)) = self.places.get(&id).copied() else {
            return false;
        };
        self.withdraw(key).is_some()
    }

    /// Returns the jobs that can no longer finish in time; none of them was run.
    pub fn expire(&mut self, now: Time) -> JobIds {
        let mut expired = std::mem::take(&mut self.expired);
        for id in &expired {
            self.places.remove(id);
        }
        while let Some(id) = self.starts.passed(now).and_then(|key| self.withdraw(key)) {
            expired.push(id);
        }
        expired
    }

    /// Stops handing out jobs while the upstream is replaced.
    pub fn pause(&mut self, now: Time) {
        self.advance(now);
        self.gate = Gate::Paused;
    }

    /// Hands out jobs again, in rank order and on few slots at first.
    pub fn resume(&mut self, now: Time) {
        self.advance(now);
        self.gate = Gate::Ramping(now);
    }

    /// Returns when `next` or `expire` should be called although nothing else happens.
    #[must_use]
    pub fn due(&self, now: Time) -> Option<Time> {
        let reported = self.expired.is_empty();
        let expiry = if reported {
            self.starts.due()
        } else {
            Some(now)
        };
        let opening = self.gate.due(now, self.limit(), self.policy.ramp);
        let opening = opening.filter(|_| self.starts.len() > 0);
        let reserve = self.reserve_end(now);
        [expiry, opening, reserve].into_iter().flatten().min()
    }

    /// Returns the number of statements that may run at once, below the declared slots when the
    /// upstream has slowed.
    #[must_use]
    pub fn limit(&self) -> usize {
        if self.policy.adaptive {
            return self.adaptive.limit();
        }
        self.policy.slots
    }

    /// Returns the number of jobs of `rank` that hold a slot.
    #[must_use]
    pub const fn running(&self, rank: Rank) -> usize {
        self.running[rank.index()]
    }

    /// Returns the number of jobs of `rank` that wait.
    #[must_use]
    pub const fn queued(&self, rank: Rank) -> usize {
        self.queued[rank.index()]
    }

    /// Returns the share of slot time that `rank` used over the window.
    #[must_use]
    pub fn share(&self, rank: Rank) -> f64 {
        self.usage.share(rank)
    }

    /// Tells whether a job with this id waits, runs or has expired without being reported yet.
    pub(super) fn knows(&self, id: JobId) -> bool {
        self.places.contains_key(&id)
    }

    /// Returns the number of slots in use.
    pub(super) fn total(&self) -> usize {
        self.running.iter().sum()
    }

    /// Returns the number of slots that may be used now.
    pub(super) fn open_slots(&self, now: Time) -> usize {
        self.gate.open_slots(now, self.limit(), self.policy.ramp)
    }

    fn advance(&mut self, now: Time) {
        let slots = self.open_slots(now);
        self.usage.advance(now, &self.running, slots);
        self.gate = self.gate.advance(now, self.policy.ramp);
    }

    fn latest(&self, kind: usize, deadline: Time) -> Time {
        let plan = self.kinds[kind].estimate.plan();
        Time(deadline.since(Time(plan.as_micros() as u64)).as_micros() as u64)
    }

    /// Notes until when the waiting job at `key` is worth starting.
    fn schedule(&mut self, key: u32, latest: Time) {
        let entry = self.starts.insert(latest, key);
        if let Some(waiting) = self.jobs.get_mut(key) {
            waiting.entry = entry;
        }
    }

    /// Keeps a kind that had no work from saving up its share.
    fn wake(&mut self, kind: usize) {
        let kind = &mut self.kinds[kind];
        if kind.queue.len() == 0 {
            let clock = self.clocks[kind.rules.rank.index()];
            kind.spent = kind.spent.max(clock);
        }
    }

    fn start(&mut self, now: Time, waiting: &Waiting) -> Option<JobId> {
        let open = self.open_slots(now);
        if self.total() >= open {
            invariant::breach("dispatch-slots", "a job was handed out without a free slot");
            return None;
        }
        let kind = &mut self.kinds[waiting.kind];
        let rank = kind.rules.rank.index();
        let charged = kind.estimate.mean();
        self.clocks[rank] = kind.spent;
        kind.charge(charged);
        kind.running += 1;
        self.running[rank] += 1;
        self.work += charged;
        let held = Held {
            kind: waiting.kind,
            started: now,
            charged,
        };
        let before = self.places.insert(waiting.id, Place::Running(held));
        if !matches!(before, Some(Place::Waiting(_))) {
            invariant::breach("dispatch-twice", "a job was handed out that did not wait");
            return None;
        }
        Some(waiting.id)
    }

    fn learn(&mut self, now: Time, kind: usize, took: Duration, finish: Finish) {
        let estimate = &mut self.kinds[kind].estimate;
        match finish {
            Finish::Done => {
                let ratio = estimate.ratio(took);
                let warm = estimate.warm();
                estimate.learn(took, self.adaptive.is_lowered());
                if warm {
                    self.adaptive.observe(now, Observation::Answered(ratio));
                }
            }
            Finish::Failed => self.adaptive.observe(now, Observation::Failed),
            Finish::Abandoned => {}
        }
    }

    fn withdraw(&mut self, key: u32) -> Option<JobId> {
        let kind = self.jobs.get(key)?.kind;
        let waiting = self.kinds[kind].queue.remove(&mut self.jobs, key)?;
        self.leave(&waiting);
        self.places.remove(&waiting.id);
        Some(waiting.id)
    }

    /// Takes a job that has left its queue out of the counts.
    fn leave(&mut self, waiting: &Waiting) {
        let rank = self.kinds[waiting.kind].rules.rank.index();
        self.queued[rank] -= 1;
        if !self.starts.remove(waiting.latest, waiting.entry) {
            invariant::breach("dispatch-starts", "a waiting job had no latest start");
        }
        if self.starts.len() != self.queued.iter().sum::<usize>() {
            invariant::breach("dispatch-count", "the queues and the latest starts differ");
        }
    }
}
